/*
 * NAME
 *	swim - membership and failure detection by gossip (SWIM)
 *
 * DESCRIPTION
 *	A deterministic state machine. Packets, ticks and the time are passed
 *	in as arguments, packets are sent through a function table, and results
 *	go to the member table. It opens no socket, reads no clock and takes
 *	its random numbers from a seed.
 *
 *	In each period the daemon pings one member, in shuffled order. If the
 *	member doesn't answer, the daemon asks others to ping it; if that fails
 *	too, the member becomes suspect. The member has time to refute with a
 *	higher incarnation before it is declared dead. Changes are piggybacked
 *	on all packets, a bounded number of times each. A daemon whose probes
 *	fail assumes a fault of its own and slows down its probes.
 *
 *	Changes that gossip missed are found by comparing digests of the
 *	tables, bucket by bucket (anti-entropy); a joining daemon gets its
 *	whole table that way. Dead members, and for some time those that left,
 *	are pinged now and then, so that the sides of a network partition merge
 *	again and a restarted daemon is found.
 *
 *	A daemon sends less than SWIM_BYTES_PER_S on average. Pages for joining
 *	daemons and records of the quarantine don't count in that; they have
 *	limits of their own, SWIM_PAGE_BYTES_PER_S and
 *	SWIM_QUARANTINE_BYTES_PER_S.
 *
 * SOURCE
 *	Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
 *	Infection-style Process Group Membership Protocol", DSN 2002.
 *	Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing with Situational
 *	Awareness", 2017.
 */
#ifndef COMFREYDOCKD_MEMBER_SWIM_H
#define COMFREYDOCKD_MEMBER_SWIM_H

#include "comfreydockd/member/member.h"

#define SWIM_TICK_US (50 * 1000)
#define SWIM_PERIOD_US (1000 * 1000) /* between probes of a healthy daemon */
#define SWIM_PING_TIMEOUT_US (300 * 1000) /* before indirect probes */
#define SWIM_PUSH_INTERVAL_US (250 * 1000) /* between rounds of pushes */
#define SWIM_PUSH_FANOUT 2 /* peers per round */
#define SWIM_PING_REQ_FANOUT 3
/* The probe period is multiplied by at most 1 + this. */
#define SWIM_LOCAL_HEALTH_MAX 8
/* Each daemon that receives a change sends it BASE + SCALE * ln(size) times to
 * random peers. The probability that one of n daemons misses it is below
 * exp(-BASE) * n^(1 - SCALE); the comparison of digests finds the rest. */
#define SWIM_RETRANSMIT_BASE 4
#define SWIM_RETRANSMIT_SCALE 3
/* A suspicion lasts ALPHA to ALPHA * BETA periods, times log10 of the cluster
 * size. */
#define SWIM_SUSPECT_ALPHA 3
#define SWIM_SUSPECT_BETA 5
/* Further suspicions that shorten the timeout to its minimum. */
#define SWIM_CONFIRMERS 3
#define SWIM_BODY_MAX 1150 /* bytes; the envelope needs up to 30 more */
/* In bytes. Leaves room in a packet for the message's other fields. */
#define SWIM_RECORD_MAX 800
#define SWIM_BYTES_PER_S 5400
#define SWIM_PAGE_BYTES_PER_S 200000
/* A budget of its own: when hundreds of hosts start or stop, membership records
 * use up SWIM_BYTES_PER_S. */
#define SWIM_QUARANTINE_BYTES_PER_S 1500
/* Between pings of dead members. */
#define SWIM_REPROBE_INTERVAL_US (2 * 1000 * 1000)
/* A member that left is still pinged for this time, as it may return from a
 * restart; a rolling restart takes minutes. */
#define SWIM_REPROBE_LEFT_US ((int64_t)600 * 1000 * 1000)
#define SWIM_FORGET_DEAD_US ((int64_t)24 * 3600 * 1000 * 1000)
#define SWIM_FORGET_LEFT_US ((int64_t)3600 * 1000 * 1000)
/* Network delay that only a few packets exceed. */
#define SWIM_HOP_MAX_US (100 * 1000)
/* A longer gap between ticks means that this process was suspended. */
#define SWIM_FREEZE_US (1500 * 1000)

struct evacuation;
struct quarantine;
struct swim;

struct swim_ops {
	void (*send)(const char *address, uint16_t port, const uint8_t *body,
		     size_t size, void *data);
	/* A peer sent the head of its configuration, which is the number of
	 * applies so far, and how long ago the platform confirmed that head as
	 * the newest; -1 if the peer doesn't know. */
	void (*handle_config_head)(const char *host, uint64_t head,
				   int64_t told_age_us, void *data);
	/* May be NULL. RETURN VALUE: how long ago this daemon's own head was
	 * confirmed as the newest; -1 if that is unknown or if head isn't the
	 * current one any more. */
	int64_t (*config_told_age_us)(uint64_t head, void *data);
	/* swim_tick() wasn't called for gap_us; may be NULL. */
	void (*handle_freeze)(int64_t gap_us, void *data);
	/* This daemon refuted a received record about itself with this state;
	 * incarnation is its new one. May be NULL. */
	void (*handle_refuted)(enum member_state state, uint64_t incarnation,
			       void *data);
	void *data;
};

struct swim_options {
	struct member_table *table; /* empty; must outlive the swim object */
	const struct member *self; /* copied */
	uint64_t seed;
	const struct swim_ops *ops; /* must outlive the swim object */
	/* Its records are gossiped too. May be NULL; must outlive the swim
	 * object. */
	struct quarantine *quarantine;
	/* Carried by all packets. May be NULL; must outlive the swim object. */
	struct evacuation *evacuation;
};

/* Adds the self record to the table. */
struct swim *swim_create(const struct swim_options *options, int64_t now_us);
void swim_destroy(struct swim *swim);

/* To be called every SWIM_TICK_US. */
void swim_tick(struct swim *swim, int64_t now_us);

/*
 * RETURN VALUE
 *	false if the body is not a well-formed message; it is ignored then.
 */
bool swim_receive(struct swim *swim, const char *address, uint16_t port,
		  const uint8_t *body, size_t size, int64_t now_us);

/* Pings the daemon at the address to join its cluster, and keeps the address
 * as a seed. Seeds are pinged often after the start and while this daemon has
 * no peers, and rarely afterwards. */
void swim_join(struct swim *swim, const char *address, uint16_t port,
	       int64_t now_us);

/*
 * Announces the state of this daemon's upstream with a new incarnation. A drain
 * spreads before all other records.
 *
 * RETURN VALUE
 *	false if the record would not fit into a packet; nothing was changed.
 */
bool swim_announce(struct swim *swim, enum member_service_state state,
		   char **groups, uint32_t slots, uint32_t warm_ms,
		   int64_t now_us);

/* Announces that this daemon leaves, to some peers at once and to others in the
 * following rounds of pushes. */
void swim_leave(struct swim *swim, int64_t now_us);

void swim_set_config_head(struct swim *swim, uint64_t head);

/* The list of evacuated domains has changed and must spread. */
void swim_note_evacuation(struct swim *swim);
const struct member *swim_self(const struct swim *swim);

/* RETURN VALUE: true if another member is alive or suspect. */
bool swim_has_peers(const struct swim *swim);

/* RETURN VALUE: true if the last full passes added so little that the table is
 * taken to be complete. */
bool swim_table_is_complete(const struct swim *swim);

#endif
