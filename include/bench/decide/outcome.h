/*
 * NAME
 *	outcome - check a replay against the outcome file of its trace
 *
 * DESCRIPTION
 *	Each NAME.trace has a NAME.outcome in the same folder, with one
 *	statement per line; # starts a comment:
 *
 *	POLICY[+[no-]MODULE...] MEASURE <=|>= VALUE
 *
 *	POLICY is a name of pick_policy_find() or "one-queue". MODULE is a name
 *	of replay_module_find(): "+all+no-fair" is all modules but fair. MEASURE
 *	is one of
 *
 *	p50_us, p99_us, p999_us		latencies of the answered calls
 *	in_time				share of the calls answered in time
 *	errors, timeouts, late, not_run
 *					numbers of calls
 *	on_target			share of the calls within the target
 *	others_p99_us, others_answered	of callers other than the hot one
 *	goodput, wasted, probed		shares of all slot time
 *	unrecovered			share of the calls not answered in time
 *					after the recovery time
 *	refusal_us			longest time for a refusal to reach its
 *					caller
 *	no_hint				calls refused without a time to retry
 *	slow_starts			share of the starts on a slow host
 *	gauges				pace queries to upstreams per call
 *	extra				attempts per call
 *	refusals, remote, probes	see struct replay_result
 *
 *	The checked value is the median of five replays with different seeds, or
 *	of one replay if the trace has many calls. Statements about a weaker
 *	policy show that the trace can tell policies apart.
 */
#ifndef BENCH_DECIDE_OUTCOME_H
#define BENCH_DECIDE_OUTCOME_H

#include <stdbool.h>

#include "bench/decide/replay.h"
#include "common/findings.h"

/* Parses POLICY[+[no-]MODULE...] into options. RETURN VALUE: false if the
 * policy or a module is unknown. */
bool outcome_parse_policy(const char *text, struct replay_options *options);

/* Adds an error for each statement that does not hold or is malformed. */
void outcome_check(const char *trace_path, struct findings *findings);

#endif
