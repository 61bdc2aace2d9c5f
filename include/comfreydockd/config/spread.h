/*
 * NAME
 *	config_spread - distributes applied configuration between daemons
 *
 * DESCRIPTION
 *	A state machine without I/O: the time, queries and answers come in as
 *	arguments, and requests to peers and to the platform leave through
 *	function tables. It opens no socket and reads no clock.
 *
 *	In each failure domain CONFIG_SPREAD_READERS live daemons, selected by
 *	rendezvous hashing, read the platform's head row each second. Two or
 *	three readers at once are harmless, so there is no lease. All other
 *	daemons hear of a higher head by gossip. They ask the daemon that named
 *	it for the changes, then other peers, and the platform last.
 *
 *	A large body is sent in pieces by any daemons that hold it. The pieces
 *	received are kept if a peer is lost or slow, and frames of calls can
 *	pass between them.
 *
 *	A daemon runs one fetch at a time, at a bounded rate, and answers at a
 *	bounded rate, so that 22,000 daemons that hear of one change do not
 *	overload one peer or the platform.
 *
 *	A daemon without a configuration uses the head of the platform or, if
 *	the platform does not answer, the highest head of some live peers.
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
/* A daemon that starts asks this many peers for their heads. */
#define CONFIG_SPREAD_STARTUP_PEERS 3
/* Limit of the bodies in one answer. The peer asks again for the rest. */
#define CONFIG_SPREAD_ANSWER_BYTES (256 * 1024)
/* A larger body is sent in pieces of this size. A piece occupies a link of 10
 * Mbit/s for 52 ms, and bytes of callers queue behind it. */
#define CONFIG_SPREAD_PIECE_BYTES (64 * 1024)
/* Limit of a body sent as one to a daemon that does not support pieces. A frame
 * is limited to 1 MiB, and the rest is for the names in it. */
#define CONFIG_SPREAD_WHOLE_MAX_BYTES (960 * 1024)
/* Limit of a body sent in pieces, about 20,000 routes. Parsing and adopting a
 * larger one would need more memory than a daemon has. */
#define CONFIG_SPREAD_BODY_MAX_BYTES (4 * 1024 * 1024)
#define CONFIG_SPREAD_ANSWERS_PER_S 20

struct config_spread;
struct slice_queue;

struct config_spread_ops {
	/* Sends a query to a live member. Pass its answer, if one comes, to
	 * config_spread_take_answer(). */
	void (*ask)(const struct member *member, const Cfd__ConfigQuery *query,
		    void *data);
	/* Called when this daemon has reached a new head. */
	void (*publish)(uint64_t head, void *data);
	void *data;
};

/* All pointers except host and domain must outlive the config_spread. */
struct config_spread_options {
	struct config_store *store;
	struct member_table *members;
	const char *host; /* this daemon */
	const char *domain;
	const struct config_platform_ops *platform_ops; /* NULL: no platform */
	void *platform;
	const struct config_spread_ops *ops;
	struct slice_queue *slice_queue; /* to parse bodies in; NULL: at once */
	uint64_t seed;
};

/* Registers an observer at the store, so the store must not be used after
 * config_spread_destroy(). */
struct config_spread *
config_spread_create(const struct config_spread_options *options, int64_t now_us);

/* The caller makes sure that no platform call calls back afterwards, and that no
 * job is left in the slice_queue. */
void config_spread_destroy(struct config_spread *spread);

/* Call this every CONFIG_SPREAD_TICK_US. */
void config_spread_tick(struct config_spread *spread, int64_t now_us);

/* Handles the answer of a peer. An answer without a matching query is
 * dropped. */
void config_spread_take_answer(struct config_spread *spread, const char *host,
			       const Cfd__ConfigBody *answer);

/* Answers the query of a peer. Free the answer with
 * config_spread_free_answer(); the store owns the bodies in it. */
Cfd__ConfigBody *config_spread_answer(struct config_spread *spread,
				      const Cfd__ConfigQuery *query);
void config_spread_free_answer(Cfd__ConfigBody *answer);

bool config_spread_is_reader(const struct config_spread *spread);

#endif
