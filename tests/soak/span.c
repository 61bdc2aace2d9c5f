#include "span.h"

void spans_init(struct spans *spans)
{
	spans->all = g_array_new(FALSE, FALSE, sizeof(struct span));
}

void spans_finish(struct spans *spans)
{
	g_array_unref(spans->all);
}

guint spans_begin(struct spans *spans, const struct fault *fault,
		  unsigned int host)
{
	struct span span = {
		.fault = fault,
		.host = host,
		.begin_us = g_get_monotonic_time(),
		.end_us = INT64_MAX,
	};

	g_array_append_val(spans->all, span);
	return spans->all->len - 1;
}

void spans_end(struct spans *spans, guint number)
{
	g_array_index(spans->all, struct span, number).end_us =
		g_get_monotonic_time();
}

void spans_add(struct spans *spans, const struct span *span)
{
	g_array_append_val(spans->all, *span);
}

static bool is_planned_stop(const struct span *span)
{
	return span->fault->part == PART_DAEMON &&
	       span->fault->impact == IMPACT_NONE && span->fault->end;
}

static bool matches(const struct span *span, const struct span_query *query)
{
	if (query->selects)
		return query->selects(span, query->host);
	if (query->host != SPAN_ANY_HOST && span->host != SPAN_ANY_HOST &&
	    query->host != span->host)
		return false;
	if (query->planned_stop)
		return is_planned_stop(span);
	return span->fault->impact >= query->min_impact;
}

bool spans_overlap(const struct spans *spans, const struct span_query *query)
{
	for (guint i = 0; i < spans->all->len; i++) {
		const struct span *span =
			&g_array_index(spans->all, struct span, i);

		if (!matches(span, query) || span->begin_us > query->to_us)
			continue;
		if (span->end_us == INT64_MAX ||
		    span->end_us + query->after_us >= query->from_us)
			return true;
	}
	return false;
}
