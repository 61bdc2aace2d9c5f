/*
 * NAME
 *	services - an entry's state for each service and its upstreams
 *
 * DESCRIPTION
 *	Keeps one struct service for each group of upstreams that was called,
 *	whichever rules led there. It holds the candidates for a pick, their
 *	health, and the budgets for retries and hedges. The candidates follow
 *	the member table. A service with more upstreams than SUBSET_SIZE uses a
 *	subset of them.
 */
#ifndef COMFREYDOCKD_CALLER_SERVICES_H
#define COMFREYDOCKD_CALLER_SERVICES_H

#include <glib.h>
#include <sys/queue.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/daemon.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/hedge.h"
#include "comfreydockd/decide/pick.h"
#include "comfreydockd/decide/retry.h"
#include "comfreydockd/decide/stay.h"
#include "comfreydockd/decide/throttle.h"
#include "comfreydockd/member/member.h"

struct service;

struct service_upstream {
	TAILQ_ENTRY(service_upstream) link;
	struct service *service;
	unsigned int references; /* held by its attempts and its service */
	bool listed; /* the service still uses it */
	char host[MEMBER_HOST_MAX];
	struct pick_candidate candidate;
	struct health_upstream health;
	enum health_state logged_state;
	struct deadline_rtt rtt; /* of the network path to its host */
};

TAILQ_HEAD(service_upstream_list, service_upstream);

struct service {
	LIST_ENTRY(service) active_link;
	bool is_active; /* used recently, or attempts are out */
	int64_t used_us;
	struct services *services;
	char *group; /* that the upstreams belong to */
	uint32_t retry_budget_percent;
	uint32_t hedge_budget_percent;
	struct service_upstream_list upstreams;
	struct pick_set picks;
	struct health health;
	struct retry retry;
	struct hedge hedge;
	struct stay stay;
	struct throttle *throttle; /* NULL: the settings ask for none */
	uint64_t group_version; /* of the group's members, at the last refresh */
	bool has_evacuated; /* some upstreams are in evacuated domains */
	bool stale; /* to be refreshed whatever the version is */
};

struct services;

struct services *services_create(struct daemon *daemon);
void services_destroy(struct services *services);

/* RETURN VALUE: the service for a group, created if needed, and up to date. */
struct service *services_get(struct services *services, const char *group);

/* Brings the candidates up to date for a choice. */
void service_prepare_choice(struct service *service);

/*
 * Chooses the upstream for the next attempt by the current weights.
 *
 * RETURN VALUE: NULL if there is none.
 */
struct service_upstream *service_choose(struct service *service,
					const struct pick_tried *tried,
					int64_t now_us);

/* RETURN VALUE: the upstream on the host with this hash (member_host_hash()),
 * or NULL. */
struct service_upstream *service_find_by_host_hash(const struct service *service,
						   uint32_t host_hash);

/* RETURN VALUE: whether a call may be sent to the group. If all its owners are
 * mute, only trials may: true then counts as one, see health_may_try(). */
bool service_may_send(struct service *service, bool idempotent, int64_t now_us);

/* The upstream's owner didn't answer a question in time. After some of these it
 * counts as mute, see health.h. */
void service_upstream_note_mute(struct service_upstream *upstream,
				int64_t now_us);

/* Something was received from the upstream's owner. */
void service_upstream_note_heard(struct service_upstream *upstream,
				 int64_t now_us);

struct service_upstream *service_upstream_ref(struct service_upstream *upstream);
void service_upstream_unref(struct service_upstream *upstream);

/* Takes a load report that an owner sent unasked. */
void services_note_load(struct services *services, const char *host,
			const struct pick_load *load);

/*
 * Ends ejections and finds silent upstreams. Called ten times a second. It
 * walks only the services in use: these are few of the thousands that an entry
 * may have called, and a walk over all would delay every call that arrives
 * meanwhile.
 */
void services_tick(struct services *services, int64_t now_us);

/* Appends what is left of the retry budgets of the services in use, as
 * Prometheus text. */
void services_append_metrics(const struct services *services, GString *text);

#endif
