#include "pulse.h"

#include <stdio.h>

#define PULSE_US 20000

struct pulse {
	GThread *thread;
	gint stops;
	GArray *late; /* of struct span */
};

static const struct fault standstill = {
	.name = "the machine stood still",
	.harm = HARM_CALLERS,
};

static gpointer beat(gpointer data)
{
	struct pulse *pulse = data;
	int64_t last_us = g_get_monotonic_time();

	while (!g_atomic_int_get(&pulse->stops)) {
		struct span span = {
			.fault = &standstill,
			.host = SPAN_ANY_HOST,
			.begin_us = last_us,
		};

		g_usleep(PULSE_US);
		span.end_us = g_get_monotonic_time();
		if (span.end_us - last_us > PULSE_LATE_US)
			g_array_append_val(pulse->late, span);
		last_us = span.end_us;
	}
	return NULL;
}

struct pulse *pulse_start(void)
{
	struct pulse *pulse = g_new0(struct pulse, 1);

	pulse->late = g_array_new(FALSE, FALSE, sizeof(struct span));
	pulse->thread = g_thread_new("pulse", beat, pulse);
	return pulse;
}

void pulse_finish(struct pulse *pulse, struct spans *spans)
{
	g_atomic_int_set(&pulse->stops, 1);
	g_thread_join(pulse->thread);
	for (guint i = 0; i < pulse->late->len; i++) {
		struct span *span = &g_array_index(pulse->late, struct span, i);

		printf("%s for %" G_GINT64_FORMAT " ms\n", standstill.name,
		       (span->end_us - span->begin_us) / 1000);
		spans_add(spans, span);
	}
	g_array_unref(pulse->late);
	g_free(pulse);
}
