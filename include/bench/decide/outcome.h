/*
 * NAME
 *	outcome - compare a replay with the outcome stated for its trace
 *
 * DESCRIPTION
 *	Beside each NAME.trace stands a NAME.outcome, one statement a line; #
 *	begins a comment:
 *
 *	POLICY[+[no-]MODULE...] MEASURE <=|>= VALUE
 *
 *	POLICY is a name of pick_policy_find() or "one-queue". MODULE is one of
 *	replay_module_find(): "+all+no-fair" is all but fair. MEASURE is
 *
 *	p50_us, p99_us, p999_us		of the answered
 *	in_time, errors, timeouts, late, not_run
 *					of the calls; in_time is a share
 *	others_p99_us, others_answered	of callers other than the hot one
 *	goodput, wasted, probed		shares of all slot time
 *	unrecovered			share not answered in time afterwards
 *	refusal_us			longest way of a refusal to its caller
 *	no_hint				refused without a time to come back
 *	refusals, remote, probes, extra
 *
 *	It is the median of five replays with seeds of their own, of one where
 *	the trace has many calls. Statements about a weaker policy show that
 *	the trace asks for something.
 */
#ifndef BENCH_DECIDE_OUTCOME_H
#define BENCH_DECIDE_OUTCOME_H

#include <stdbool.h>

#include "bench/decide/replay.h"
#include "common/findings.h"

/* Reads POLICY[+[no-]MODULE...] into options. RETURN VALUE: false if it names
 * something unknown. */
bool outcome_parse_policy(const char *text, struct replay_options *options);

/* Adds an error for each statement that doesn't hold or can't be read. */
void outcome_check(const char *trace_path, struct findings *findings);

#endif
