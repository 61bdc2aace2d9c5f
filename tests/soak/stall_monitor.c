#include "stall_monitor.h"

#include <stdio.h>

#define SAMPLE_US 20000

struct stall_monitor {
	GThread *thread;
	gint is_stopping;
	GArray *stalls; /* of struct span */
};

static const struct fault stall_fault = {
	.name = "the machine stalled",
	.impact = IMPACT_CALLERS,
};

static gpointer measure_stalls(gpointer data)
{
	struct stall_monitor *stall_monitor = data;
	int64_t last_us = g_get_monotonic_time();

	while (!g_atomic_int_get(&stall_monitor->is_stopping)) {
		struct span span = {
			.fault = &stall_fault,
			.host = SPAN_ANY_HOST,
			.begin_us = last_us,
		};

		g_usleep(SAMPLE_US);
		span.end_us = g_get_monotonic_time();
		if (span.end_us - last_us > STALL_MIN_US)
			g_array_append_val(stall_monitor->stalls, span);
		last_us = span.end_us;
	}
	return NULL;
}

struct stall_monitor *stall_monitor_start(void)
{
	struct stall_monitor *stall_monitor = g_new0(struct stall_monitor, 1);

	stall_monitor->stalls = g_array_new(FALSE, FALSE, sizeof(struct span));
	stall_monitor->thread =
		g_thread_new("stall-monitor", measure_stalls, stall_monitor);
	return stall_monitor;
}

void stall_monitor_stop(struct stall_monitor *stall_monitor, struct spans *spans)
{
	g_atomic_int_set(&stall_monitor->is_stopping, 1);
	g_thread_join(stall_monitor->thread);
	for (guint i = 0; i < stall_monitor->stalls->len; i++) {
		struct span *span =
			&g_array_index(stall_monitor->stalls, struct span, i);

		printf("%s for %" G_GINT64_FORMAT " ms\n", stall_fault.name,
		       (span->end_us - span->begin_us) / 1000);
		spans_add(spans, span);
	}
	g_array_unref(stall_monitor->stalls);
	g_free(stall_monitor);
}
