/*
 * NAME
 *	outcome - compare a replay with the outcome stated for its trace
 *
 * DESCRIPTION
 *	Beside each NAME.trace stands a NAME.outcome, one statement a line; #
 *	begins a comment:
 *
 *	POLICY[+busy][+health] MEASURE <=|>= VALUE
 *
 *	POLICY is a name of pick_policy_find() or "one-queue"; +busy turns busy
 *	refusal on, +health the ejection of outliers. MEASURE is p50_us,
 *	p99_us, p999_us, errors, timeouts, late, not_run, refusals or remote. It is
 *	the median of five replays with seeds of their own. Statements about a weaker policy show that the trace asks
 *	for something.
 */
#ifndef BENCH_DECIDE_OUTCOME_H
#define BENCH_DECIDE_OUTCOME_H

#include <stdbool.h>

#include "common/findings.h"

/* Adds an error for each statement that doesn't hold or can't be read. */
void outcome_check(const char *trace_path, struct findings *findings);

#endif
