/*
 * NAME
 *	pipeline - whether to start a pipelined request before earlier ones are
 *	answered
 *
 * DESCRIPTION
 *	Callers may pipeline: they send further requests on a connection before
 *	the first one is answered, and the answers go out in the order of the
 *	requests. Later requests start at once if that can do no harm, so that
 *	each one takes the time of its own work and not the sum of all earlier
 *	ones.
 *
 *	Only idempotent requests without a body start ahead of earlier answers.
 *	Requests behind an answer that closes the connection are sent again by
 *	the caller, whatever their kind: one that must run only once would then
 *	run twice.
 *
 * LOAD PATTERN
 *	Callers with three or four lookups outstanding on one connection, each
 *	of them some tenth of a second of work.
 *
 * WITHOUT IT
 *	Served one after the other, each request takes the sum of all earlier
 *	ones: half of the callers wait for twice their own work even at low
 *	load, and some miss their targets although slots are free.
 *
 * GROUNDS
 *	PIPELINE_CALLS_MAX: browsers and client libraries send up to six or
 *	eight requests at once; a higher bound would let one caller take all
 *	slots of an upstream in one burst. PIPELINE_WINDOW_BYTES: answers of
 *	lookups have a few KiB and arrive whole. PIPELINE_TOTAL_MAX: each such
 *	request buffers PIPELINE_WINDOW_BYTES at most, so all together use a
 *	quarter of the 64 MiB that a daemon may use; 256 large answers behind a
 *	slow one use 8 MiB.
 */
#ifndef COMFREYDOCKD_DECIDE_PIPELINE_H
#define COMFREYDOCKD_DECIDE_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Requests of one connection that have started and have no answer yet. */
#define PIPELINE_CALLS_MAX 8
/* Bytes taken from the owner of an answer that waits for its turn. */
#define PIPELINE_WINDOW_BYTES (32 * 1024)
/* Started ahead of their turn and not answered, over all connections of a
 * daemon. */
#define PIPELINE_TOTAL_MAX 512

struct pipeline_request {
	uint32_t unanswered; /* earlier requests on the same connection */
	bool idempotent;
	bool has_body;
	uint32_t total; /* started ahead on all connections */
};

/* RETURN VALUE: true to start the request now, false to start it once the
 * earlier ones are answered. */
bool pipeline_may_start(const struct pipeline_request *request);

#endif
