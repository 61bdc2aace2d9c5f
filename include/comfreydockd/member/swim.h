/*
 * NAME
 *	swim - who is alive, by gossip
 *
 * DESCRIPTION
 *	A pure machine: packets, ticks and the time come in as arguments,
 *	packets leave through a function table, and what was learned goes to
 *	the member table. It opens no socket, reads no clock and takes its
 *	random numbers from a seed.
 *
 *	Each period one member, in shuffled order, is pinged; without an
 *	answer, others are asked to ping it; without that, it is suspected.
 *	It has time to refute, with a higher incarnation, before it is held
 *	dead. Changes ride on all packets, a bounded number of times each. A
 *	daemon that sees its own probes fail doubts itself and slows down.
 *	What gossip missed is found by comparing digests of the tables, bucket
 *	by bucket; a joiner gets its whole table that way. The dead, and for
 *	some time those that left, are pinged now and then, so that halves that
 *	lost each other merge again and a restarted daemon is found.
 *
 *	What is sent, pages for joiners aside, stays below
 *	SWIM_BYTES_PER_S on average; the pages below SWIM_PAGE_BYTES_PER_S,
 *	and records of the quarantine below SWIM_QUARANTINE_BYTES_PER_S.
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
#define SWIM_PERIOD_US (1000 * 1000) /* of probes, where all is well */
#define SWIM_PING_TIMEOUT_US (300 * 1000) /* then others are asked */
#define SWIM_PUSH_INTERVAL_US (250 * 1000) /* between rounds of news */
#define SWIM_PUSH_FANOUT 2
#define SWIM_PING_REQ_FANOUT 3
#define SWIM_LOCAL_HEALTH_MAX 8 /* the period is stretched by it at most */
/* A change is sent BASE + SCALE * ln(size) times by each daemon that hears of
 * it. Sent to random others, it misses one of n with a chance below
 * exp(-BASE) * n^(1 - SCALE); the digests find the rest. */
#define SWIM_RETRANSMIT_BASE 4
#define SWIM_RETRANSMIT_SCALE 3
/* Suspicion lasts ALPHA to ALPHA * BETA periods, times log10 of the size. */
#define SWIM_SUSPECT_ALPHA 3
#define SWIM_SUSPECT_BETA 5
#define SWIM_CONFIRMERS 3 /* independent suspicions that shorten it fully */
#define SWIM_BODY_MAX 1150 /* bytes; the envelope needs up to 30 more */
#define SWIM_RECORD_MAX 800 /* bytes; a record must fit beside the rest */
#define SWIM_BYTES_PER_S 5400
#define SWIM_PAGE_BYTES_PER_S 200000
/* Beside the news: where hosts come and go by the hundred these use up theirs. */
#define SWIM_QUARANTINE_BYTES_PER_S 1500
#define SWIM_REPROBE_INTERVAL_US (2 * 1000 * 1000) /* one dead member */
/* For so long one that left may be a restart: a rolling one takes minutes. */
#define SWIM_REPROBE_LEFT_US ((int64_t)600 * 1000 * 1000)
#define SWIM_FORGET_DEAD_US ((int64_t)24 * 3600 * 1000 * 1000)
#define SWIM_FORGET_LEFT_US ((int64_t)3600 * 1000 * 1000)
#define SWIM_HOP_MAX_US (100 * 1000) /* a packet's way, but for a few */
/* No tick for so long: this process was stopped. */
#define SWIM_FREEZE_US (1500 * 1000)

struct quarantine;
struct swim;

struct swim_ops {
	void (*send)(const char *address, uint16_t port, const uint8_t *body,
		     size_t size, void *data);
	/* A peer names its configuration head, and how long ago there was
	 * nothing newer; -1: it doesn't know. */
	void (*handle_config_head)(const char *host, uint64_t head,
				   int64_t told_age_us, void *data);
	/* RETURN VALUE: the same for a head of this daemon; -1 too where
	 * that isn't the one held any more. May be NULL. */
	int64_t (*config_told_age_us)(uint64_t head, void *data);
	/* Nobody ticked for gap_us; may be NULL. */
	void (*handle_freeze)(int64_t gap_us, void *data);
	/* Somebody held this daemon for suspect or dead; may be NULL. */
	void (*handle_refuted)(enum member_state state, uint64_t incarnation,
			       void *data);
	void *data;
};

struct swim_options {
	struct member_table *table; /* empty; must outlive the machine */
	const struct member *self; /* copied */
	uint64_t seed;
	const struct swim_ops *ops; /* must outlive the machine */
	/* Its records travel with the members'; NULL: none, or outlives it. */
	struct quarantine *quarantine;
};

/* Adds the self record to the table. */
struct swim *swim_create(const struct swim_options *options, int64_t now_us);
void swim_destroy(struct swim *swim);

/* To be called each SWIM_TICK_US. */
void swim_tick(struct swim *swim, int64_t now_us);

/*
 * RETURN VALUE
 *	false if the body is not a well-formed message; nothing was taken.
 */
bool swim_receive(struct swim *swim, const char *address, uint16_t port,
		  const uint8_t *body, size_t size, int64_t now_us);

/* Asks whoever is at the address; keeps the address and tries again while
 * this daemon is alone. */
void swim_join(struct swim *swim, const char *address, uint16_t port,
	       int64_t now_us);

/*
 * States this daemon's upstream, under a new incarnation. A drain goes ahead
 * of all other news.
 *
 * RETURN VALUE
 *	false if the record would not fit a packet; nothing was changed.
 */
bool swim_announce(struct swim *swim, enum member_service_state state,
		   char **groups, uint32_t slots, uint32_t warm_ms,
		   int64_t now_us);

/* Says good-bye to some at once, and in the rounds that still follow. */
void swim_leave(struct swim *swim, int64_t now_us);

void swim_set_config_head(struct swim *swim, uint64_t head);
const struct member *swim_self(const struct swim *swim);

/* True if any other member is thought to be alive. */
bool swim_has_peers(const struct swim *swim);

#endif
