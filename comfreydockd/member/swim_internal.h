/*
 * NAME
 *	swim_internal - types and functions shared by the swim_*.c files
 */
#ifndef COMFREYDOCKD_MEMBER_SWIM_INTERNAL_H
#define COMFREYDOCKD_MEMBER_SWIM_INTERNAL_H

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/swim.h"
#include "proto/gossip.pb-c.h"

#define SWIM_SEEDS_MAX 64
#define SWIM_RELAYS_MAX 32
#define SWIM_RECORDS_MAX 48
#define SWIM_QUARANTINED_MAX 8 /* quarantine records per packet */
#define SWIM_DIGESTS 64 /* per sync request */
#define SWIM_RELAYS_PER_DOMAIN 2
/* The relays of a domain and those that stand in for them if they hang. */
#define SWIM_RANKS (2 * SWIM_RELAYS_PER_DOMAIN)
/* Unanswered pings to one other domain. A sweep takes up to half of them; it has 10
 * at the usual time-out. */
#define SWIM_FLIGHTS 32

/* Protocol state of one member; its swim_data. */
struct swim_node {
	TAILQ_ENTRY(swim_node) rumour_link;
	TAILQ_ENTRY(swim_node) suspect_link;
	struct member *member;
	int64_t suspected_at_us;
	int64_t dead_at_us; /* when the suspicion times out */
	uint64_t suspected_incarnation;
	uint32_t confirmers[SWIM_CONFIRMERS + 1];
	uint8_t confirmer_count;
	uint8_t transmits; /* times that the rumour was sent */
	uint8_t final_pings;
	bool is_rumour;
	bool is_urgent;
	bool is_suspect;
	bool is_dead_or_left; /* dead or left */
	bool is_live; /* alive or suspect, and not this host */
	struct swim_domain *domain;
	guint live_index; /* in domain->live; valid if is_listed */
	bool is_listed; /* alive or suspect; this host too */
	bool has_ended; /* counts in domain->ended_count */
	uint64_t relay_weight; /* the higher, the sooner it is a relay */
	/* A relay or one that stands in for it that leaves this host's pings
	 * unanswered. It is passed over until it is heard of again. */
	bool is_silent;
	int64_t heard_us; /* when the last packet of this host came */
	int64_t changed_us; /* when its record last changed */
};

TAILQ_HEAD(swim_node_list, swim_node);

struct swim_endpoint {
	char address[MEMBER_ADDRESS_MAX];
	uint16_t port;
	const char *domain; /* interned; NULL: not known */
};

/* The first hosts of a failure domain by rendezvous hashing. */
struct swim_ranking {
	struct swim_node *nodes[SWIM_RANKS]; /* alive, not suspect */
	unsigned int count;
	/* Its first two live members are suspect: it may be lost as a whole. */
	bool is_unresponsive;
};

/* A record that a relay has to send to another domain. */
struct swim_pending {
	TAILQ_ENTRY(swim_pending) link;
	struct swim_node *node;
	uint8_t transmits;
	uint64_t seq; /* of the last ping that carried it */
	int64_t sent_at_us;
};

TAILQ_HEAD(swim_pending_list, swim_pending);

/* A ping to a host of another domain that wasn't answered yet. */
struct swim_flight {
	uint64_t seq; /* 0: free */
	char host[MEMBER_HOST_MAX];
	int64_t sent_at_us;
	uint64_t notice; /* swim->notice when it was sent */
	bool is_sweep; /* not a push, but part of a probe of all members */
	bool is_late; /* the first time-out has passed */
};

struct swim_domain {
	TAILQ_ENTRY(swim_domain) link;
	const char *name; /* interned */
	GPtrArray *live; /* nodes that are alive or suspect */
	unsigned int ended_count; /* members that are dead or have left */
	bool is_ranking_stale;
	struct swim_ranking ranking;
	/* The following are used by relays, for other domains than their own. */
	struct swim_pending_list pending;
	GHashTable *pending_of; /* node to its struct swim_pending */
	uint64_t notice; /* the last swim->notice known to the domain */
	/* Pings of this host went unanswered and none has been answered since,
	 * so that the next ones are sent through other domains as well. */
	bool is_cut;
	struct swim_flight flights[SWIM_FLIGHTS];
	int64_t next_push_us;
	int64_t next_sweep_us;
	int64_t next_silent_probe_us;
	guint sweep_cursor;
	unsigned int next_rank;
};

TAILQ_HEAD(swim_domain_list, swim_domain);

struct swim_probe {
	bool is_active;
	bool is_acked;
	bool is_indirect;
	char host[MEMBER_HOST_MAX];
	uint64_t seq;
	int64_t sent_at_us;
	unsigned int nacks_expected;
	unsigned int nacks;
};

/* A ping sent on behalf of another daemon (an indirect probe). */
struct swim_relay {
	uint64_t seq; /* of the relayed ping; 0: free */
	uint64_t requester_seq;
	struct swim_endpoint requester;
	int64_t nack_at_us;
};

struct swim_sync {
	/* A full pass over all buckets runs, as fast as the page budget allows;
	 * if false, requests are incremental. */
	bool is_full_pass;
	unsigned int stable_passes; /* full passes in a row that added little */
	guint size_before; /* other members known when the full pass began */
	struct swim_endpoint peer;
	unsigned int next_bucket;
	int64_t requested_at_us;
	int64_t last_reply_us;
	int64_t full_sync_started_us; /* when the last full pass began */
	unsigned int requested_bucket;
	/* While the table is incomplete and relays are in use: the next full
	 * pass is made with a member of the own domain. */
	bool is_next_pass_own;
	bool is_waiting; /* for the last reply to a request */
};

struct swim {
	struct member_table *table;
	struct member *self;
	const struct swim_ops *ops;
	struct quarantine *quarantine; /* or NULL */
	struct evacuation *evacuation; /* or NULL */
	uint64_t random;
	uint64_t seq;
	uint64_t config_head;
	/* Time between the last two ticks if over 2 * SWIM_TICK_US, else 0. */
	int64_t late_tick_gap_us;
	unsigned int head_transmits;
	int64_t now_us;
	int64_t ticked_at_us;
	/* Lifeguard's local health multiplier. 0: this daemon is healthy; a
	 * higher value is worse and slows down its probes. */
	unsigned int local_health;
	int64_t budget_bytes;
	/* For the requests of full passes and for sync pages: those sent, and
	 * those received in a full pass. */
	int64_t page_budget_bytes;
	int64_t quarantine_budget_bytes;
	GPtrArray *probe_order; /* nodes of all other members, in probe order */
	guint probe_cursor;
	guint sweep_cursor;
	unsigned int dead_or_left_count;
	unsigned int live_count;
	bool is_reprobe_due;
	struct swim_node_list urgent;
	struct swim_node_list rumours;
	struct swim_node_list suspects;
	struct swim_probe probe;
	struct swim_relay relays[SWIM_RELAYS_MAX];
	unsigned int next_relay;
	struct swim_sync sync;
	struct swim_endpoint seeds[SWIM_SEEDS_MAX];
	unsigned int seed_count;
	int64_t next_probe_us;
	int64_t next_push_us;
	int64_t next_sync_us;
	int64_t next_reprobe_us;
	int64_t next_seed_us;
	int64_t started_us;
	int64_t next_unknown_ping_us;
	/* Valid while received records are applied. A record from a sync page
	 * must not be spread as a rumour again. */
	bool suppress_rumours;
	/* member_host_hash() of the host that suspects the member whose record
	 * is being updated. Set before member_table_update(), whose observer
	 * may call swim_suspect_start(), which reads it. */
	uint32_t suspected_by;
	bool has_left;
	uint32_t relay_min_hosts; /* 0: no relays */
	struct swim_domain_list domains;
	unsigned int live_domains; /* domains with a live member */
	bool is_confined; /* peers are chosen in the own domain */
	bool is_relay;
	/* Incremented when something changed that every packet carries: the
	 * configuration head, the evacuated domains, the quarantine. */
	uint64_t notice;
	/* For packets to other domains while this daemon is a relay. */
	int64_t relay_budget_bytes;
	int64_t next_watch_us;
	int64_t watched_since_us;
	int64_t stand_in_until_us; /* acts as a relay until then */
	int64_t next_end_probe_us;
	guint end_probe_cursor;
	unsigned int next_sync_domain;
	bool is_foreign_sync_due;
	/* While a packet is handled: the domain of its sender, or NULL. */
	const char *sender_domain;
	bool is_receiving;
	/* The quarantine has marks from peers that were not sent yet. */
	bool has_received_marks;
};

/* A message under construction. */
struct swim_packet {
	Cfd__Gossip message;
	Cfd__MemberRecord records[SWIM_RECORDS_MAX];
	Cfd__MemberRecord *pointers[SWIM_RECORDS_MAX];
	struct quarantine_record quarantined[SWIM_QUARANTINED_MAX];
	Cfd__QuarantineRecord quarantine_records[SWIM_QUARANTINED_MAX];
	Cfd__QuarantineRecord *quarantine_pointers[SWIM_QUARANTINED_MAX];
	uint64_t evacuated[EVACUATION_DOMAINS_MAX];
	size_t size;
};

/* swim.c */
uint32_t swim_random_below(struct swim *swim, uint32_t limit);
void swim_set_state(struct swim *swim, struct member *member,
		    enum member_state state, uint32_t by);

/* swim_records.c */
/* Publishes the record as this daemon's own. Its incarnation is raised above the
 * current one and above the given one, so that the record takes precedence over
 * any that other daemons have of this host. */
void swim_publish_self(struct swim *swim, struct member *record, uint64_t above);
/* RETURN VALUE: false if a record of the message is malformed. */
bool swim_records_apply(struct swim *swim, const Cfd__Gossip *message,
			const struct swim_endpoint *from);

/* swim_relays.c: which hosts are relays, and the choice of peers */
/* RETURN VALUE: a random alive or suspect member other than except, which may
 * be NULL; NULL if none was found. While relays are in use, it is a member of
 * the own domain. */
struct member *swim_pick_peer(struct swim *swim, const char *except);
/* The same, but always a member of the own domain. */
struct member *swim_pick_own_peer(struct swim *swim);
/* Ranks the live members of a domain. */
void swim_relays_rank(const GPtrArray *live, struct swim_ranking *ranking);
/* RETURN VALUE: true if the host is one of the first two of its domain that are
 * not silent. */
bool swim_relays_has(const struct swim_ranking *ranking,
		     const struct swim_node *node);
/* RETURN VALUE: true if so many members per domain are known that relays save
 * traffic, or not much fewer and they are in use, and this host's own domain has two. */
bool swim_relays_are_on(struct swim *swim);
const struct swim_ranking *swim_relays_of(struct swim_domain *domain);
struct swim_domain *swim_own_domain(const struct swim *swim);
/* RETURN VALUE: true if the domain is known and isn't this host's own. */
bool swim_is_foreign(const struct swim *swim, const char *domain);
/* Keep the domains up to date with the members. */
void swim_relays_add(struct swim *swim, struct swim_node *node);
void swim_relays_update(struct swim *swim, struct swim_node *node);
void swim_relays_remove(struct swim *swim, struct swim_node *node);
void swim_relays_destroy(struct swim *swim);
/* Sends this daemon's own change to the relays of its domain at once. */
void swim_relays_notify(struct swim *swim);
/* Called when something changed that every packet carries. */
void swim_relays_note(struct swim *swim);
/* Called for each ping. One from a relay of another domain to a host that stands
 * in for relays means that these can't be reached from there, even if they answer
 * inside their domain. */
void swim_relays_handle_ping(struct swim *swim, const struct member *sender);
void swim_relays_tick(struct swim *swim);

/* swim_interdomain.c: what a relay exchanges with other domains */
void swim_interdomain_start(struct swim *swim);
void swim_interdomain_stop(struct swim *swim);
void swim_interdomain_tick(struct swim *swim);
/* Pushes to all other domains without waiting for the next tick. */
void swim_interdomain_push_all(struct swim *swim);
void swim_interdomain_handle_ack(struct swim *swim, uint64_t seq,
				 const char *who, bool is_direct);
/* RETURN VALUE: the peer to compare digests with; NULL if there is none. */
struct member *swim_interdomain_sync_peer(struct swim *swim);

/* swim_pending.c: records that a relay still has to send to other domains */
/* The record must be sent to other domains if this daemon is responsible. */
void swim_pending_queue(struct swim *swim, struct swim_node *node);
/* Queues what changed shortly before this daemon became a relay. */
void swim_pending_queue_recent(struct swim *swim);
void swim_pending_drop(struct swim *swim, struct swim_node *node);
void swim_pending_clear(struct swim_domain *domain);
/* A relay of another domain can't reach the target itself. Takes over the
 * records that it sent along. */
void swim_pending_take_over(struct swim *swim, const Cfd__Gossip *message);
/* Adds the records that are due. Those that were sent often enough without a
 * confirmation are left to the comparison of digests. */
void swim_pending_fill(struct swim *swim, struct swim_packet *packet,
		       struct swim_domain *domain);
/* RETURN VALUE: true if a record is due and the budget allows to send it. */
bool swim_pending_is_due(const struct swim *swim,
			 const struct swim_domain *domain);
/* The domain has the records that the ping with this number carried. */
void swim_pending_confirm(struct swim_domain *domain, uint64_t seq);

/* swim_message.c */
/* RETURN VALUE: how long ago the sender's config head was confirmed as the
 * newest; -1 if the sender doesn't know. */
int64_t swim_told_age_us(const struct swim *swim, const Cfd__Gossip *message);
void swim_packet_init(struct swim *swim, struct swim_packet *packet,
		      Cfd__GossipKind kind, uint64_t seq);
bool swim_packet_add(struct swim *swim, struct swim_packet *packet,
		     struct member *member);
void swim_packet_send(struct swim *swim, struct swim_packet *packet,
		      const struct swim_endpoint *to);
void swim_packet_send_to(struct swim *swim, struct swim_packet *packet,
			 const struct member *to);
bool swim_record_fits(struct swim *swim, struct member *member);
/* A short record (of a host that isn't alive) has an empty address.
 * RETURN VALUE: false if a field is out of bounds. */
bool swim_record_decode(const Cfd__MemberRecord *record, int64_t now_us,
			struct member *member);
bool swim_endpoint_is_valid(const char *address, uint32_t port);

/* swim_evacuation.c: every packet carries the list of evacuated domains */
void swim_evacuation_fill(const struct swim *swim, struct swim_packet *packet);
bool swim_evacuation_is_valid(const Cfd__Gossip *message);
void swim_evacuation_merge(struct swim *swim, const Cfd__Gossip *message);

/* swim_quarantine.c */
void swim_quarantine_fill(struct swim *swim, struct swim_packet *packet);
/* RETURN VALUE: false if a field of a record is out of bounds. */
bool swim_quarantine_is_valid(const struct swim *swim,
			      const Cfd__Gossip *message);
void swim_quarantine_merge(struct swim *swim, const Cfd__Gossip *message);

/* swim_rumour.c */
void swim_rumour_queue(struct swim *swim, struct swim_node *node);
void swim_rumour_drop(struct swim *swim, struct swim_node *node);
/* domain: that of the receiver, or NULL if it isn't known. */
void swim_rumour_fill(struct swim *swim, struct swim_packet *packet,
		      const char *domain);
/* Sends what is to be spread to one member. */
void swim_rumour_push(struct swim *swim, const struct member *target);
void swim_rumour_tick(struct swim *swim);
void swim_rumour_announce_leave(struct swim *swim);
/* RETURN VALUE: how many times each daemon sends a change. */
unsigned int swim_rumour_limit(const struct swim *swim);

/* swim_probe.c */
void swim_probe_tick(struct swim *swim);
void swim_probe_ping(struct swim *swim, struct member *target, uint64_t seq);
void swim_probe_handle_ping(struct swim *swim, const Cfd__Gossip *message,
			    const struct swim_endpoint *from);
void swim_probe_handle_ping_req(struct swim *swim, const Cfd__Gossip *message,
				const struct swim_endpoint *from);
void swim_probe_handle_ack(struct swim *swim, const Cfd__Gossip *message);
void swim_probe_handle_nack(struct swim *swim, const Cfd__Gossip *message);
/* Suspects the target, or confirms the suspicion. */
void swim_probe_suspect(struct swim *swim, struct member *target);

/* swim_suspect.c */
void swim_suspect_start(struct swim *swim, struct swim_node *node);
void swim_suspect_stop(struct swim *swim, struct swim_node *node);
void swim_suspect_confirm(struct swim *swim, struct swim_node *node, uint32_t by);
void swim_suspect_tick(struct swim *swim);
/* Restarts the timeout of each suspicion after this process was suspended. */
void swim_suspect_restart_all(struct swim *swim);

/* swim_sync.c */
void swim_sync_tick(struct swim *swim);
void swim_sync_start_full(struct swim *swim, const struct swim_endpoint *peer);
void swim_sync_handle_request(struct swim *swim, const Cfd__Gossip *message,
			      const struct swim_endpoint *from);
void swim_sync_handle_reply(struct swim *swim, const Cfd__Gossip *message,
			    const struct swim_endpoint *from);
/* Pings a seed or an unknown sender. The ping names no target, as this daemon
 * doesn't know the host at the address, and carries this daemon's record. */
void swim_ping_endpoint(struct swim *swim, const struct swim_endpoint *to);
void swim_sweep_tick(struct swim *swim);
/* RETURN VALUE: true if the member is dead, or left not long ago. */
bool swim_may_have_restarted(const struct swim *swim,
			     const struct member *member);

#endif
