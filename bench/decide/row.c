#include "bench/decide/row.h"

#define US_PER_MS_F 1000.0

static double ms_of(const GArray *sorted_us, double share)
{
	return (double)replay_percentile(sorted_us, share) / US_PER_MS_F;
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

void row_fill(struct row *row, const struct replay_result *result)
{
	double calls = (double)result->calls;
	double slot_time_us = (double)result->slot_time_us;
	double extra =
		(double)(result->refusals + result->retries + result->hedges);

	row->in_time = ratio((double)(result->answered - result->late), calls);
	row->refused = ratio((double)result->not_run, calls);
	row->failed = ratio((double)(result->errors + result->timeouts), calls);
	row->p50_ms = ms_of(result->latencies_us, 0.5);
	row->p99_ms = ms_of(result->latencies_us, 0.99);
	row->p999_ms = ms_of(result->latencies_us, 0.999);
	row->others_p99_ms = ms_of(result->others_us, 0.99);
	row->others_in_time =
		ratio(result->others_us->len, (double)result->others);
	row->refusal_ms = ms_of(result->refusals_us, 0.5);
	row->wasted = ratio((double)result->wasted_us, (double)result->used_us);
	row->extra = ratio(extra, (double)result->all_calls);
	row->probed = ratio((double)result->probed_us, slot_time_us);
	row->probes = (double)result->probes;
	row->goodput = ratio((double)result->goodput_us, slot_time_us);
	row->unrecovered =
		ratio((double)result->unrecovered, (double)result->recovered);
	row->on_target = ratio((double)result->on_target, calls);
	row->slow_starts =
		ratio((double)result->slow_starts, (double)result->starts);
	row->gauges = ratio((double)result->gauges, (double)result->all_calls);
	row->slowest_refusal_ms = (double)result->latest_refusal_us / US_PER_MS_F;
}

void row_print_head(FILE *out)
{
	fprintf(out,
		"%-32s %7s %7s %7s %7s %7s %7s %7s %7s %7s %8s %7s %7s %7s %7s "
		"%7s %7s %7s %7s\n",
		"policy", "in_time", "refused", "failed", "p50", "p99", "p99.9",
		"refusal", "wasted", "extra", "probes", "goodput", "unrecov",
		"told", "o_time", "o_p99", "target", "slow", "gauges");
}

void row_print(const struct row *row, const char *name, FILE *out)
{
	fprintf(out,
		"%-32s %7.4f %7.4f %7.4f %7.1f %7.1f %7.1f %7.1f %7.4f %7.3f "
		"%8.5f %7.4f %7.4f %7.2f %7.4f %7.1f %7.4f %7.4f %7.3f\n",
		name, row->in_time, row->refused, row->failed, row->p50_ms,
		row->p99_ms, row->p999_ms, row->refusal_ms, row->wasted,
		row->extra, row->probed, row->goodput, row->unrecovered,
		row->slowest_refusal_ms, row->others_in_time, row->others_p99_ms,
		row->on_target, row->slow_starts, row->gauges);
}
