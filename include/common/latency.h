/*
 * NAME
 *	latency - latency histograms for the metrics endpoint
 *
 * DESCRIPTION
 *	latency_record_us(&latencies.owner_waited, now - arrived_us);
 *
 *	There is one histogram for each line of latencies.def. Its buckets range
 *	from 100 us to 10 s, and most bounds are 2 to 2.5 times the one before.
 *	A target of 200 ms and a deadline of 500 ms are bounds of buckets, so
 *	that the histogram shows the share of calls within each of them.
 */
#ifndef COMMON_LATENCY_H
#define COMMON_LATENCY_H

#include <glib.h>
#include <stdint.h>

#define LATENCY_BUCKETS 17

struct latency {
	uint64_t buckets[LATENCY_BUCKETS]; /* the last one: +Inf */
	uint64_t count;
	uint64_t sum_us;
};

struct latencies {
#define LATENCY(field, help) struct latency field;
#include "common/latencies.def"
#undef LATENCY
};

extern struct latencies latencies;

/* Counts a negative time as zero. */
void latency_record_us(struct latency *latency, int64_t us);

/* Appends all histograms in the Prometheus text format. */
void latencies_append_text(GString *text);

#endif
