#include "histogram.h"

#include <math.h>

static unsigned int bucket_of(uint64_t value)
{
	unsigned int top;
	unsigned int shift;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (unsigned int)value;
	if (value >> HISTOGRAM_MAX_BITS)
		return HISTOGRAM_BUCKETS - 1;
	top = 63 - (unsigned int)__builtin_clzll(value);
	shift = top - HISTOGRAM_SUB_BITS;
	/* value >> shift is in [SUB_BUCKETS, 2 * SUB_BUCKETS). */
	return shift * HISTOGRAM_SUB_BUCKETS + (unsigned int)(value >> shift);
}

static uint64_t bucket_end(unsigned int bucket)
{
	unsigned int shift;
	uint64_t sub;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket;
	shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
	sub = bucket % HISTOGRAM_SUB_BUCKETS + HISTOGRAM_SUB_BUCKETS;
	return ((sub + 1) << shift) - 1;
}

void histogram_record(struct histogram *histogram, uint64_t value)
{
	histogram->counts[bucket_of(value)]++;
	histogram->total++;
	histogram->sum += (double)value;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t histogram_quantile(const struct histogram *histogram, double share)
{
	double wanted = ceil(share * (double)histogram->total);
	uint64_t seen = 0;

	if (histogram->total == 0)
		return 0;
	for (unsigned int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		uint64_t end = bucket_end(i);

		seen += histogram->counts[i];
		if (seen > 0 && (double)seen >= wanted)
			return end < histogram->max ? end : histogram->max;
	}
	return histogram->max;
}

double histogram_mean(const struct histogram *histogram)
{
	return histogram->total ? histogram->sum / (double)histogram->total : 0.0;
}
