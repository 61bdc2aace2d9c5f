/*
 * NAME
 *	replay - run a trace through the decisions on a clock of its own
 *
 * DESCRIPTION
 *	A heap of events stands for the clock; there are no sockets. Entries
 *	and owners ask the modules of decide/ in the order in which
 *	comfreydockd does. Two small fakes stand around them: upstreams, which
 *	are slots, and a delay between hosts. What a caller receives is the
 *	result.
 *
 *	Each module can be left out, to see what it is good for. Without queue
 *	an owner keeps what waits in order of arrival and without bound.
 *
 *	The same trace, options and seed give the same result.
 */
#ifndef BENCH_DECIDE_REPLAY_H
#define BENCH_DECIDE_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bench/decide/trace.h"
#include "comfreydockd/decide/pick.h"

enum replay_module {
	REPLAY_BUSY = 1 << 0, /* busy refusal, a part of pick */
	REPLAY_HEALTH = 1 << 1,
	REPLAY_LIMIT = 1 << 2,
	REPLAY_QUEUE = 1 << 3,
	REPLAY_FAIR = 1 << 4,
	REPLAY_RETRY = 1 << 5,
	REPLAY_HEDGE = 1 << 6,
	REPLAY_DEADLINE = 1 << 7,
	REPLAY_WARM = 1 << 8,
	REPLAY_MEASURE = 1 << 9,
	/* Where the trace's upstreams tell their pace: the gate; that it judges
	 * again when an attempt's turn has come; that owners tell entries. */
	REPLAY_PACE = 1 << 10,
	REPLAY_REJUDGE = 1 << 11,
	REPLAY_TELL = 1 << 12,
	REPLAY_ALL = (1 << 13) - 1,
};

struct replay_options {
	const struct pick_policy *policy; /* NULL: one queue for all, a bound */
	unsigned int modules; /* of enum replay_module */
	uint64_t seed;
};

/* Calls that began, or for used and goodput_us ended, in the trace's judged
 * window. */
struct replay_result {
	GArray *latencies_us; /* of int64_t, of answered calls, sorted */
	GArray *refusals_us; /* from call to refusal, sorted */
	GArray *others_us; /* latencies of all callers but the first */
	uint64_t calls;
	uint64_t all_calls; /* of the whole trace, as all down to probed_us */
	uint64_t attempts;
	uint64_t refusals; /* busy */
	uint64_t retries; /* without those after a busy refusal */
	uint64_t hedges;
	uint64_t remote; /* attempts to another domain */
	uint64_t probes;
	int64_t probed_us; /* slot time of probes */
	uint64_t answered; /* in time or late */
	uint64_t late; /* answered past the deadline */
	uint64_t on_target; /* answered within the trace's target */
	uint64_t starts;
	uint64_t slow_starts; /* of them, beside a quick host with a free slot */
	uint64_t gauges; /* questions to upstreams for their pace */
	uint64_t not_run; /* the caller was told so */
	uint64_t no_hint; /* of them, without the time to come back */
	uint64_t errors; /* the upstream's own */
	uint64_t timeouts;
	uint64_t others; /* calls of all callers but the first */
	uint64_t recovered; /* calls after the trace's recovery time */
	uint64_t unrecovered; /* of them, not answered in time */
	int64_t used_us; /* slot time */
	int64_t wasted_us; /* of it, for answers that reached nobody in time */
	int64_t goodput_us; /* work of what was answered in time */
	int64_t slot_time_us; /* of all slots in the window */
	int64_t latest_refusal_us; /* from the owner's word to the caller */
};

void replay_run(const struct trace *trace, const struct replay_options *options,
		struct replay_result *result);
void replay_result_finish(struct replay_result *result);

/* RETURN VALUE: microseconds; 0 if there are none. share is 0..1. */
int64_t replay_percentile(const GArray *sorted_us, double share);

/* RETURN VALUE: 0 if there is none of that name; "all" is REPLAY_ALL. */
unsigned int replay_module_find(const char *name);

#endif
