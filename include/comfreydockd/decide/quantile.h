/*
 * NAME
 *	quantile - a quantile of recent latencies in little memory
 *
 * DESCRIPTION
 *	A histogram with buckets 10% wide from 100 us to about 90 s. After
 *	QUANTILE_WINDOW samples all counts are halved, so that old samples lose
 *	weight. A result is the upper edge of its bucket and thus at most 10%
 *	too high.
 */
#ifndef COMFREYDOCKD_DECIDE_QUANTILE_H
#define COMFREYDOCKD_DECIDE_QUANTILE_H

#include <stdint.h>

#define QUANTILE_BUCKETS 145
#define QUANTILE_WINDOW 2000

struct quantile {
	uint32_t counts[QUANTILE_BUCKETS];
	uint32_t total;
};

void quantile_init(struct quantile *quantile);
void quantile_add(struct quantile *quantile, int64_t latency_us);

/* RETURN VALUE: microseconds; 0 if there is no sample. share is 0..1. */
int64_t quantile_get(const struct quantile *quantile, double share);

#endif
