/*
 * NAME
 *	config_spread - brings what was applied anywhere to this daemon
 *
 * DESCRIPTION
 *	A pure machine: the time, questions and answers come in as arguments;
 *	what it asks of peers and of the platform leaves through function
 *	tables. It opens no socket and reads no clock.
 *
 *	In each failure domain CONFIG_SPREAD_READERS live daemons, drawn by
 *	rendezvous hash, read the platform's head row each second. That two or
 *	three do so does no harm, so no lease guards it. All others hear of a
 *	higher head by gossip and ask the daemon they heard it from for what
 *	has changed; then other peers; at last the platform.
 *
 *	A large body travels in pieces, from any daemons that hold it, so that
 *	what has come is kept when a peer is lost or slow, and the frames of
 *	calls pass between them.
 *
 *	One daemon fetches one thing at a time and at a bounded rate, and it
 *	answers at a bounded rate, so that 22,000 that hear of one change
 *	don't fall on one peer or on the platform.
 *
 *	A daemon without a configuration takes the platform's word, or, where
 *	the platform doesn't answer, the highest head of some live peers.
 *
 * SOURCE
 *	Thaler, Ravishankar, "Using name-based mappings to increase hit
 *	rates", IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous).
 */
#ifndef COMFREYDOCKD_CONFIG_SPREAD_H
#define COMFREYDOCKD_CONFIG_SPREAD_H

#include "comfreydockd/config/apply.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/member/member.h"
#include "proto/peer.pb-c.h"

#define CONFIG_SPREAD_TICK_US (100 * 1000)
#define CONFIG_SPREAD_READERS 2 /* per failure domain */
#define CONFIG_SPREAD_READ_US (1000 * 1000)
/* A daemon that starts asks so many peers for their heads. */
#define CONFIG_SPREAD_WITNESSES 3
/* Bodies in one answer; what is more is asked for again. */
#define CONFIG_SPREAD_ANSWER_BYTES (256 * 1024)
/* A larger body goes in pieces. One takes 52 ms of a link of 10 Mbit/s, for which
 * the callers' bytes behind it wait. */
#define CONFIG_SPREAD_PIECE_BYTES (64 * 1024)
/* Whole, for daemons that take no pieces: a frame may have 1 MiB, and the rest is
 * for the names in it. */
#define CONFIG_SPREAD_WHOLE_MAX_BYTES (960 * 1024)
/* In pieces; some 20,000 routes. Read and put in force a larger one would need more
 * than the memory of a daemon. */
#define CONFIG_SPREAD_BODY_MAX_BYTES (4 * 1024 * 1024)
#define CONFIG_SPREAD_ANSWERS_PER_S 20

struct config_spread;
struct slice_queue;

struct config_spread_ops {
	/* Sends a question to a live member; its answer, if it comes, goes to
	 * config_spread_take_answer(). */
	void (*ask)(const struct member *member, const Cfd__ConfigQuery *query,
		    void *data);
	/* This daemon holds a new head. */
	void (*publish)(uint64_t head, void *data);
	void *data;
};

/* All pointers but host and domain must outlive the machine. */
struct config_spread_options {
	struct config_store *store;
	struct member_table *members;
	const char *host; /* this daemon */
	const char *domain;
	const struct config_platform_ops *platform_ops; /* NULL: no platform */
	void *platform;
	const struct config_spread_ops *ops;
	struct slice_queue *slice_queue; /* for reading large bodies; NULL: at once */
	uint64_t seed;
};

/* Observes the store, so the store must not be used after the destruction. */
struct config_spread *
config_spread_create(const struct config_spread_options *options, int64_t now_us);

/* No call to the platform may call back after this. */
void config_spread_destroy(struct config_spread *spread);

/* To be called each CONFIG_SPREAD_TICK_US. */
void config_spread_tick(struct config_spread *spread, int64_t now_us);

/* An answer of a peer; one that was not asked for is dropped. */
void config_spread_take_answer(struct config_spread *spread, const char *host,
			       const Cfd__ConfigBody *answer);

/* A peer's question. The answer is to be freed with
 * config_spread_free_answer(); its bodies are the store's. */
Cfd__ConfigBody *config_spread_answer(struct config_spread *spread,
				      const Cfd__ConfigQuery *query);
void config_spread_free_answer(Cfd__ConfigBody *answer);

bool config_spread_is_reader(const struct config_spread *spread);

#endif
