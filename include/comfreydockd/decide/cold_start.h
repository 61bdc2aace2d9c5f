/*
 * NAME
 *	cold_start - limits the request rate of a cold upstream
 *
 * DESCRIPTION
 *	An upstream is cold for some time after its start, and may become cold
 *	again later, for example when its caches are flushed. The operator
 *	states how many requests a cold upstream tolerates in a second. The
 *	owner starts no more than that in any window of COLD_START_WINDOW_US.
 *
 *	The owner doesn't see when a request reaches the upstream: a new
 *	connection may wait for a slot there. A request therefore counts from
 *	its start until a window after its answer began. All requests count
 *	whether or not the upstream is known to be cold: it may have become cold
 *	before its owner learned of it.
 *
 *	A daemon doesn't know what its predecessor sent to the same upstream.
 *	Until it learns more, it counts as many requests as the limit allows,
 *	all at the time of its own start. They no longer count if the upstream
 *	became cold after that, or if it was started later than this daemon; see
 *	cold_start_forget().
 *
 *	Reports of the upstream come by two ways. A heartbeat may be late, so it
 *	only prolongs the cold state. The answer of the health path is recent,
 *	so it may also end it.
 *
 * LOAD PATTERN
 *	All upstreams of a failure domain return cold, and their callers retry
 *	at once; a rolling restart; caches flushed while requests arrive.
 *
 * WITHOUT IT
 *	An upstream that takes 11 requests a second while cold gets as many as
 *	its slots allow, 30 and more, and crashes. Its callers move on to the
 *	next cold upstream.
 *
 * GROUNDS
 *	See rate_window.h for the sliding window. It is slightly longer than a
 *	second, for the way from the owner to the upstream. Health requests
 *	don't count.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_COLD_START_H
#define COMFREYDOCKD_DECIDE_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/decide/rate_window.h"

#define COLD_START_WINDOW_US ((int64_t)1030 * 1000)
/* The time that an upstream stays cold is stated in whole milliseconds, rounded
 * down. A limit that ended that much too early would let everything that waits
 * through to an upstream that is still cold. */
#define COLD_START_ROUNDING_US ((int64_t)1000)
/* A daemon that replaces another one on its host starts at least so long after
 * the other's end. An upstream and a daemon that are started together may start
 * in either order. */
#define COLD_START_SUCCESSION_US ((int64_t)10 * 1000)

/* What the operator states about the upstreams of a group. */
struct cold_start_options {
	double per_s; /* requests that a cold upstream tolerates; 0: any */
	double overage; /* factor by which that may be exceeded */
	double slack; /* requests beyond that in a second */
	uint32_t duration_ms; /* how long it stays cold; 0: unknown */
};

struct cold_start {
	struct rate_window window; /* its limit applies while cold */
	int64_t duration_us;
	int64_t until_us; /* the upstream is cold until then */
	bool is_reported; /* there was a report */
	int64_t reported_us; /* time of the last one */
};

void cold_start_init(struct cold_start *cold, int64_t now_us);
void cold_start_finish(struct cold_start *cold);
void cold_start_configure(struct cold_start *cold,
			  const struct cold_start_options *options);

/* The upstream was replaced by one that this daemon has sent nothing yet. */
void cold_start_forget(struct cold_start *cold);

/* Nothing is known of the upstream any more. It counts as cold until the next
 * report. */
void cold_start_invalidate(struct cold_start *cold);

/* A heartbeat, which may be late, reports how long the upstream stays cold. */
void cold_start_note_heartbeat(struct cold_start *cold, uint32_t remaining_ms,
			       int64_t now_us);

/* The upstream itself has just reported how long it stays cold. */
void cold_start_note_health(struct cold_start *cold, uint32_t remaining_ms,
			    int64_t now_us);

/* RETURN VALUE: true if the limit applies now. */
bool cold_start_is_limiting(const struct cold_start *cold, int64_t now_us);

/* RETURN VALUE: false if a limit is set and the upstream has not reported yet
 * whether it is cold. */
bool cold_start_is_reported(const struct cold_start *cold);

/* RETURN VALUE: the time since the last report; INT64_MAX: there was none. */
int64_t cold_start_report_age_us(const struct cold_start *cold, int64_t now_us);

/* A request is started. Once its answer begins or it ends, either it has reached
 * the upstream, or it was never written. */
void cold_start_begin(struct cold_start *cold);
void cold_start_note_arrived(struct cold_start *cold, int64_t now_us);
void cold_start_note_unsent(struct cold_start *cold);

/* RETURN VALUE: how long a request has to wait if ahead others start first; 0:
 * it may start now. */
int64_t cold_start_wait_us(const struct cold_start *cold, uint32_t ahead,
			   int64_t now_us);

/* RETURN VALUE: the number of slots that the limit keeps busy if each request
 * takes service_us, from 1 to slots; slots if the limit does not apply. */
uint32_t cold_start_slots(const struct cold_start *cold, uint32_t slots,
			  int64_t service_us, int64_t now_us);

#endif
