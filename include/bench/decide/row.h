/*
 * NAME
 *	row - summary of a replay as one row of a table
 *
 * DESCRIPTION
 *	row_print() writes one row for a replay. Its columns are shares of the
 *	calls unless noted otherwise:
 *
 *	in_time		answered within the deadline
 *	refused		answered "not run"
 *	failed		error of the upstream itself, or no response until the
 *			deadline
 *	p50, p99, p99.9	latencies of the answered calls, ms
 *	refusal		median time until a refusal, ms
 *	wasted		share of the used slot time spent on runs whose result
 *			no caller got in time
 *	extra		attempts per call beyond the first
 *	probes		share of all slot time spent on probes
 *	goodput		share of all slot time spent on calls answered in time
 *	unrecov		share of the calls not answered in time after the
 *			trace's recovery time
 *	told		longest time for a refusal to reach its caller, ms
 *	o_time, o_p99	of all callers but the hot one: share of their calls
 *			that were answered, and p99 of the latencies, ms
 *	target		answered within the trace's latency target
 *	slow		share of the starts on a host that was slow while a
 *			faster one had a free slot
 *	gauges		pace queries to upstreams per call
 */
#ifndef BENCH_DECIDE_ROW_H
#define BENCH_DECIDE_ROW_H

#include <stdio.h>

#include "bench/decide/replay.h"

struct row {
	double in_time;
	double refused;
	double failed;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double others_p99_ms;
	double refusal_ms;
	double wasted;
	double extra;
	double probed;
	double goodput;
	double unrecovered;
	double slowest_refusal_ms;
	double others_in_time;
	double probes;
	double on_target;
	double slow_starts;
	double gauges;
};

void row_fill(struct row *row, const struct replay_result *result);
void row_print_head(FILE *out);
void row_print(const struct row *row, const char *name, FILE *out);

#endif
