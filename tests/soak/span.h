/*
 * NAME
 *	span - records when each fault was active
 *
 * UNITS
 *	Times are monotonic microseconds, which are the same in all processes.
 */
#ifndef TESTS_SOAK_SPAN_H
#define TESTS_SOAK_SPAN_H

#include "faults.h"

/* In a span: all hosts. In a query: any host. */
#define SPAN_ANY_HOST G_MAXUINT

struct span {
	const struct fault *fault;
	unsigned int host; /* or SPAN_ANY_HOST */
	int64_t begin_us;
	int64_t end_us; /* INT64_MAX: still active */
};

struct spans {
	GArray *all; /* of struct span */
};

void spans_init(struct spans *spans);
void spans_finish(struct spans *spans);

/* Begins a span now. RETURN VALUE: its index, for spans_end(). */
guint spans_begin(struct spans *spans, const struct fault *fault,
		  unsigned int host);
void spans_end(struct spans *spans, guint number);

/* Adds a span that is over. */
void spans_add(struct spans *spans, const struct span *span);

struct span_query {
	/* If set, it alone selects the faults, of which host is the context. */
	bool (*selects)(const struct span *span, unsigned int host);
	unsigned int host; /* or SPAN_ANY_HOST */
	enum fault_impact min_impact; /* ignores faults with less impact */
	bool planned_stop; /* only planned stops, whatever min_impact is */
	int64_t from_us;
	int64_t to_us;
	int64_t after_us; /* a fault still counts for so long after its end */
};

/* RETURN VALUE: whether a matching fault overlaps the time of the query. */
bool spans_overlap(const struct spans *spans, const struct span_query *query);

#endif
