/*
 * NAME
 *	replay - run a trace through the decisions on a clock of its own
 *
 * DESCRIPTION
 *	A heap of events stands for the clock; there are no sockets. Around the
 *	entries' decisions stand two small fakes: owners with slots and a queue
 *	in order of arrival, and a delay between hosts. What a caller receives
 *	is the result.
 *
 *	The same trace, options and seed give the same result.
 */
#ifndef BENCH_DECIDE_REPLAY_H
#define BENCH_DECIDE_REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bench/decide/trace.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/pick.h"

struct replay_options {
	const struct pick_policy *policy; /* NULL: one queue for all, a bound */
	const struct health_policy *health; /* NULL: none */
	bool busy_refusal;
	uint32_t max_attempts;
	uint64_t seed;
};

struct replay_result {
	GArray *latencies_us; /* of int64_t, of answered calls, sorted */
	uint64_t calls;
	uint64_t answered; /* in time or late */
	uint64_t late; /* answered past the deadline */
	uint64_t not_run; /* the caller was told so */
	uint64_t errors; /* the upstream's own */
	uint64_t timeouts;
	uint64_t attempts;
	uint64_t refusals; /* busy */
	uint64_t remote; /* attempts to another domain */
};

void replay_run(const struct trace *trace, const struct replay_options *options,
		struct replay_result *result);
void replay_result_finish(struct replay_result *result);

/* RETURN VALUE: microseconds; 0 if no call was answered. share is 0..1. */
int64_t replay_percentile(const struct replay_result *result, double share);

#endif
