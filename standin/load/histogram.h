/*
 * NAME
 *	histogram - counts of latencies in log-linear buckets
 *
 * DESCRIPTION
 *	Each power of two is cut into 128 buckets, so that a value read back is
 *	less than 1 % above what was recorded, from microseconds to hours, in
 *	constant memory. Larger values count as the largest.
 *
 * SOURCE
 *	The layout of G. Tene's HdrHistogram.
 */
#ifndef STANDIN_LOAD_HISTOGRAM_H
#define STANDIN_LOAD_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_SUB_BITS 7
#define HISTOGRAM_SUB_BUCKETS (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_MAX_BITS 40
#define HISTOGRAM_BUCKETS \
	((HISTOGRAM_MAX_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB_BUCKETS)

struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS];
	uint64_t total;
	uint64_t max; /* exact */
	double sum;
};

void histogram_record(struct histogram *histogram, uint64_t value);

/* The smallest bucket's upper end that share (0 to 1) of the values don't
 * exceed; 0 where there are none. */
uint64_t histogram_quantile(const struct histogram *histogram, double share);

double histogram_mean(const struct histogram *histogram);

#endif
