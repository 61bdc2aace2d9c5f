/*
 * NAME
 *	span - when which fault was under way
 *
 * UNITS
 *	Times are monotonic microseconds, the same in all processes.
 */
#ifndef TESTS_SOAK_SPAN_H
#define TESTS_SOAK_SPAN_H

#include "faults.h"

/* In a span: all of them; in a question: any. */
#define SPAN_ANY_HOST G_MAXUINT

struct span {
	const struct fault *fault;
	unsigned int host; /* or SPAN_ANY_HOST */
	int64_t begin_us;
	int64_t end_us; /* INT64_MAX: under way */
};

/* Faults as they were, of struct span. */
struct spans {
	GArray *all;
};

void spans_init(struct spans *spans);
void spans_finish(struct spans *spans);

/* RETURN VALUE: its number. */
guint spans_begin(struct spans *spans, const struct fault *fault,
		  unsigned int host);
void spans_end(struct spans *spans, guint number);

/* One that is over. */
void spans_add(struct spans *spans, const struct span *span);

struct span_query {
	unsigned int host; /* or SPAN_ANY_HOST */
	enum fault_impact min_impact; /* harm of the faults asked for */
	bool planned_stop; /* asks for these alone, whatever least is */
	int64_t from_us;
	int64_t to_us;
	int64_t after_us; /* a fault counts for so long after its end */
};

/* RETURN VALUE: whether such a fault touches the time. */
bool spans_overlap(const struct spans *spans, const struct span_query *query);

#endif
