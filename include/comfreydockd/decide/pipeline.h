/*
 * NAME
 *	ahead - whether a request is begun before those in front are answered
 *
 * DESCRIPTION
 *	Callers may send further requests on a connection before the first is
 *	answered; the answers go out in the order of the requests. Those behind
 *	are begun at once where that can do no harm, so that each one's time
 *	is its own work and not the sum of all in front.
 *
 *	Only idempotent requests without a body are begun ahead. What stands
 *	behind an answer that closes the connection is sent again, whatever its
 *	kind: one that may run once only would then run twice.
 *
 * LOAD PATTERN
 *	Callers with three or four lookups out at once on one connection, each
 *	of them some tenth of a second of work.
 *
 * WITHOUT IT
 *	Served one after the other, each takes the sum of all in front: half of
 *	the callers wait for twice their work, also on a calm day, and some miss
 *	their targets beside free slots.
 *
 * GROUNDS
 *	PIPELINE_CALLS_MAX: browsers and client libraries send up to six or eight
 *	at once; more would let one caller take an upstream's slots at a stroke.
 *	PIPELINE_WINDOW_BYTES: answers of lookups are some KiB, and come whole.
 *	PIPELINE_TOTAL_MAX: a quarter of the 64 MiB that a daemon may keep, as
 *	each holds PIPELINE_WINDOW_BYTES at most; 256 large answers behind a slow
 *	one hold 8 MiB.
 */
#ifndef COMFREYDOCKD_DECIDE_PIPELINE_H
#define COMFREYDOCKD_DECIDE_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Requests of one connection that are begun and not answered. */
#define PIPELINE_CALLS_MAX 8
/* Of an answer that waits for its turn, so much is taken from its owner. */
#define PIPELINE_WINDOW_BYTES (32 * 1024)
/* Begun ahead and not answered, on all connections of a daemon. */
#define PIPELINE_TOTAL_MAX 512

struct pipeline_request {
	uint32_t unanswered; /* in front, on the same connection */
	bool idempotent;
	bool has_body;
	uint32_t total; /* begun ahead on all connections */
};

/* RETURN VALUE: whether to begin it now; else once those in front have their
 * answers. */
bool pipeline_may_start(const struct pipeline_request *question);

#endif
