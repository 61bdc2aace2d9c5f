/*
 * NAME
 *	row - one line of a comparison
 *
 * DESCRIPTION
 *	row_print() writes a line for a replay. Its columns, in shares of the
 *	calls unless they say otherwise:
 *
 *	in time		answered within the deadline
 *	refused		not run, and told so
 *	failed		the upstream's own error, or no answer until the deadline
 *	p50, p99, p99.9	of the answered, ms
 *	refusal		half of the refusals had come after so long, ms
 *	wasted		slot time of runs whose answer reached nobody in time,
 *			of the slot time used
 *	extra		attempts a call beyond the first
 *	probes		slot time of probes, of all slot time
 *	target		share of calls answered within the trace's target
 *	slow		share of starts on a host that was slow while a quicker
 *			one had a free slot
 *	gauges		questions to upstreams for their pace, a call
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
