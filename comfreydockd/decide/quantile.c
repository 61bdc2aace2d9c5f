#include "comfreydockd/decide/quantile.h"

#include <math.h>
#include <string.h>

#define QUANTILE_LOWEST_US 100.0
#define QUANTILE_RATIO 1.1

void quantile_init(struct quantile *quantile)
{
	memset(quantile, 0, sizeof(*quantile));
}

static size_t bucket_of(int64_t latency_us)
{
	double steps;

	if ((double)latency_us <= QUANTILE_LOWEST_US)
		return 0;
	steps = log((double)latency_us / QUANTILE_LOWEST_US) /
		log(QUANTILE_RATIO);
	if (steps >= QUANTILE_BUCKETS - 1)
		return QUANTILE_BUCKETS - 1;
	return (size_t)ceil(steps);
}

static void halve(struct quantile *quantile)
{
	quantile->total = 0;
	for (size_t i = 0; i < QUANTILE_BUCKETS; i++) {
		quantile->counts[i] /= 2;
		quantile->total += quantile->counts[i];
	}
}

void quantile_add(struct quantile *quantile, int64_t latency_us)
{
	if (quantile->total >= QUANTILE_WINDOW)
		halve(quantile);
	quantile->counts[bucket_of(latency_us)]++;
	quantile->total++;
}

int64_t quantile_get(const struct quantile *quantile, double share)
{
	double wanted = share * quantile->total;
	double seen = 0;
	size_t i;

	if (!quantile->total)
		return 0;
	for (i = 0; i < QUANTILE_BUCKETS - 1; i++) {
		seen += quantile->counts[i];
		if (seen >= wanted)
			break;
	}
	return (int64_t)(QUANTILE_LOWEST_US * pow(QUANTILE_RATIO, (double)i));
}
