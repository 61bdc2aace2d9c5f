/*
 * NAME
 *	quota_internal - what the files in quota/ share
 *
 * DESCRIPTION
 *	view.c knows who keeps which pool. keeper.c holds the pools of this host
 *	and decides on asks. client.c holds the tokens and the waiting requests
 *	of this host's entry; waiting.c decides on the requests. transfer.c asks
 *	the keepers of other domains.
 */
#ifndef COMFREYDOCKD_QUOTA_QUOTA_INTERNAL_H
#define COMFREYDOCKD_QUOTA_QUOTA_INTERNAL_H

#include <ev.h>

#include "comfreydockd/decide/quota_lease.h"
#include "comfreydockd/decide/quota_pool.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/quota/quota.h"

/* Within this time a live host of the same domain answers, also if its host is
 * paused for some tens of milliseconds. */
#define QUOTA_REPLY_TIMEOUT_US ((int64_t)100 * 1000)
#define QUOTA_DEPUTY_US ((int64_t)1000 * 1000)
#define QUOTA_ISOLATED_US ((int64_t)2000 * 1000)
#define QUOTA_UNAVAILABLE_COME_BACK_MS 200
/* Between asks to a keeper that is not ready. */
#define QUOTA_READY_RETRY_US ((int64_t)50 * 1000)
/* A call waits this long for tokens that the pool expects soon; then it is
 * refused, and its caller comes back. */
#define QUOTA_WAIT_MAX_US ((int64_t)300 * 1000)
/* An entry that was told when the pool has its next token does not ask before,
 * for this time at most: the messages don't grow with the requests. */
#define QUOTA_SHORT_MAX_US ((int64_t)100 * 1000)
#define QUOTA_POOL_IDLE_US ((int64_t)60 * 1000 * 1000)
#define QUOTA_CLIENT_IDLE_US ((int64_t)10 * 1000 * 1000)
/* A domain that gave nothing is not asked again for this time. */
#define QUOTA_TRANSFER_PAUSE_US ((int64_t)500 * 1000)
/* At most one ask to other domains per pool in this time. */
#define QUOTA_TRANSFER_INTERVAL_US ((int64_t)100 * 1000)
/* While tokens from another domain are on their way, entries ask again after
 * this time: two links between distant domains and some margin. */
#define QUOTA_TRANSFER_RETRY_MS 20
/* Longest name that an ask may carry; see config_organisation. */
#define QUOTA_NAME_MAX 64
/* Peers that send invented names can't fill the memory. */
#define QUOTA_POOLS_MAX 20000
#define QUOTA_WANTED_MAX 100000
#define QUOTA_RANKS 2 /* keeper and deputy */

/* Between walks over the member table. With 22,000 members a walk takes 1.1 ms,
 * and a rolling restart changes many of them each second. */
#define QUOTA_VIEW_INTERVAL_US ((int64_t)100 * 1000)

struct quota_domain {
	const char *name; /* interned */
	GPtrArray *live; /* of struct member */
};

/* Who is live, by failure domain. Valid until the member table changes. */
struct quota_view {
	GPtrArray *domains; /* of struct quota_domain; most live hosts first */
	const struct quota_domain *own;
	GPtrArray *lost; /* suspect and dead members of the own domain */
	uint32_t members; /* all except those that left gracefully */
	uint32_t counted; /* live hosts of the own domain in the share */
	int64_t recount_us; /* when the next one counts */
	uint64_t digest; /* of the live hosts of the own domain */
	uint64_t version; /* counts its changes */
	int64_t since_us; /* the later of the start and the last change */
	int64_t next_us; /* not filled again before, unless has_freed */
	bool is_stale;
	bool has_freed; /* a member in the lists was freed */
};

struct quota_pool_entry {
	char *name;
	struct quota_pool pool;
	int64_t asked_us;
	uint64_t transfer_seq; /* 0: no tokens of another domain are expected */
	int64_t transfer_us;
	uint32_t transfer_wanted;
	const char *transfer_domain;
	GHashTable *paused; /* interned domain -> until when, in us */
};

TAILQ_HEAD(quota_request_list, quota_request);

struct quota_client {
	struct quota *quota;
	char *name;
	struct quota_limit limit;
	struct quota_lease lease;
	struct quota_request_list waiting;
	uint32_t waiting_count;
	ev_timer timer; /* end of the wait for a reply, or time of the next ask */
	uint64_t ask_seq; /* 0: no reply is expected */
	uint64_t late_seq; /* the keeper's last reply that didn't come in time */
	bool asked_deputy;
	bool is_keeper_starting; /* as it replied last, or this host itself is */
	uint32_t asked_wanted;
	int64_t asked_us;
	int64_t deputy_until_us;
	int64_t next_us; /* when the pool has a token, as it replied last */
	int64_t come_back_at_us; /* for the next caller that is refused */
	int64_t short_until_us; /* until when not to ask; 0: ask */
	int64_t used_us;
	/* Keeper and deputy, as of this version of the view; "": none. */
	uint64_t ranked_version;
	char ranked[QUOTA_RANKS][MEMBER_HOST_MAX];
	struct quota_request *acquiring; /* by quota_acquire() at the moment */
	enum quota_verdict acquired;
	uint32_t acquired_come_back_ms;
	/* While this host is isolated, or NULL. */
	struct quota_pool *isolated;
};

struct quota {
	struct daemon *daemon;
	struct quota_bound bound;
	struct quota_view view;
	GHashTable *pools; /* name -> struct quota_pool_entry */
	GHashTable *clients; /* name -> struct quota_client */
	GHashTable *asks; /* seq -> struct quota_client */
	GHashTable *late_asks; /* late_seq -> struct quota_client */
	GHashTable *transfers; /* seq -> struct quota_pool_entry */
	uint64_t last_seq;
	int64_t created_us;
	int64_t ready_us; /* when the member table became complete; 0: not yet */
	unsigned int input_iteration; /* of the loop, which read all input last */
	bool keeps_pools;
	ev_timer sweep;
};

/* What a pool grants to one ask. */
struct quota_decision {
	uint32_t granted;
	uint32_t retry_after_ms; /* next token; 0: all was granted */
	uint32_t come_back_ms; /* as in QuotaGrant */
	bool not_ready;
	bool not_keeper;
};

/* view.c */
void quota_view_init(struct quota *quota);
void quota_view_finish(struct quota *quota);
void quota_view_refresh(struct quota *quota, int64_t now_us);
double quota_view_share(const struct quota *quota);

/* Ranks the live hosts of a domain for an organisation: members[0] is the keeper
 * and members[1] the deputy; NULL if there is none. */
void quota_view_rank(const struct quota_domain *domain, const char *organisation,
		     const struct member *members[QUOTA_RANKS]);
bool quota_is_self(const struct quota *quota, const struct member *member);

/*
 * RETURN VALUE
 *	QUOTA_POOL_SETTLING if a former keeper may still be granting for the
 *	organisation, of which this host has become keeper; else
 *	QUOTA_POOL_KEEPER.
 */
enum quota_pool_mode quota_view_keeper_mode(const struct quota *quota,
					    const char *organisation,
					    int64_t now_us);

/* RETURN VALUE: false while this host may know too few members. */
bool quota_is_ready(const struct quota *quota);

/* RETURN VALUE: since when this host counts as isolated; 0: it does not. */
int64_t quota_isolated_since_us(const struct quota *quota, int64_t now_us);

/* keeper.c */
struct quota_decision quota_keeper_decide(struct quota *quota,
					  const Cfd__QuotaAsk *ask,
					  int64_t now_us);
void quota_handle_ask(struct peer *peer, const Cfd__Frame *frame, void *data);
void quota_pool_entry_free(gpointer data);

/* To be called when the live hosts of the own domain have changed: drops the
 * pools that this host keeps no more. */
void quota_keeper_verify(struct quota *quota, int64_t now_us);
void quota_keeper_sweep(struct quota *quota, int64_t now_us);

/* Fills in the times for an ask that was not granted in full. */
void quota_decide_retry(struct quota_pool *pool,
			struct quota_decision *decision, int64_t now_us);

/* transfer.c */

/* Asks another domain for tokens if one may have some.
 * RETURN VALUE: when to ask the pool again; 0: no tokens are expected. */
uint32_t quota_transfer_begin(struct quota *quota, struct quota_pool_entry *entry,
			      uint32_t refused, int64_t now_us);
void quota_transfer_forget(struct quota *quota, struct quota_pool_entry *entry);
void quota_transfer_handle_grant(struct quota *quota,
				 struct quota_pool_entry *entry,
				 const Cfd__QuotaGrant *grant, int64_t now_us);

/* waiting.c */
void quota_waiting_append(struct quota_client *client,
			  struct quota_request *request);
void quota_waiting_remove(struct quota_client *client,
			  struct quota_request *request);
bool quota_waiting_take(struct quota_client *client,
			struct quota_request *request, int64_t now_us);

/* Runs the client's timer if requests wait without an ask. */
void quota_waiting_schedule(struct quota_client *client, int64_t us);

/* Gives the tokens held to the requests that wait, oldest first. A handler may
 * add requests. */
void quota_waiting_serve(struct quota_client *client, int64_t now_us);
/* Requests that a handler adds meanwhile wait for the next ask. */
void quota_waiting_fail(struct quota_client *client);

/* Asks again soon for the requests that may wait until the keeper is ready, and
 * fails the others. */
void quota_waiting_delay(struct quota_client *client, int64_t now_us);

/* Refuses the requests that would wait too long for the next token. */
void quota_waiting_refuse(struct quota_client *client, int64_t now_us);

/* client.c */
void quota_client_free(gpointer data);
void quota_client_handle_grant(struct quota_client *client,
			       const Cfd__QuotaGrant *grant, int64_t now_us);
/* The reply to an ask that had timed out. */
void quota_client_handle_late_grant(struct quota_client *client,
				    const Cfd__QuotaGrant *grant);
void quota_client_sweep(struct quota *quota, int64_t now_us);

/* quota.c */
uint64_t quota_next_seq(struct quota *quota);
void quota_send_ask(struct quota *quota, const struct member *member,
		    const Cfd__QuotaAsk *ask);

#endif
