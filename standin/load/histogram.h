/*
 * NAME
 *	histogram - latency histogram with log-linear buckets
 *
 * DESCRIPTION
 *	Each power of two is divided into 128 buckets. A quantile is therefore
 *	less than 1 % above the recorded value, from microseconds to hours, in
 *	constant memory. Values above the range are counted in the last bucket.
 *
 * SOURCE
 *	The bucket layout is that of G. Tene's HdrHistogram.
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

/* RETURN VALUE: the smallest upper bound of a bucket that a share (0 to 1) of
 * the values don't exceed, or 0 if the histogram is empty. */
uint64_t histogram_quantile(const struct histogram *histogram, double share);

double histogram_mean(const struct histogram *histogram);

#endif
