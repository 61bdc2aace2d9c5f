/*
 * NAME
 *	latency - how long things took, for the metrics address
 *
 * DESCRIPTION
 *	latency_record_us(&latencies.owner_waited, now - arrived_us);
 *
 *	One histogram for each line of latencies.def, in buckets from 100 us to
 *	10 s that grow by 2 to 2.5. A target of 200 ms and a deadline of 500 ms
 *	are bounds of buckets, so that the share within both can be read off.
 */
#ifndef COMMON_LATENCY_H
#define COMMON_LATENCY_H

#include <glib.h>
#include <stdint.h>

#define LATENCY_BUCKETS 17

struct latency {
	uint64_t buckets[LATENCY_BUCKETS]; /* the last: beyond all bounds */
	uint64_t count;
	uint64_t sum_us;
};

struct latencies {
#define LATENCY(field, help) struct latency field;
#include "common/latencies.def"
#undef LATENCY
};

extern struct latencies latencies;

/* A time below zero counts as zero. */
void latency_record_us(struct latency *latency, int64_t us);

/* Appends all histograms as Prometheus text. */
void latencies_append_text(GString *text);

#endif
