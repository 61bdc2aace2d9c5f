#include <glib.h>
#include <string.h>

#include "common/latency.h"

static void assert_line(const GString *text, const char *line)
{
	char *whole = g_strconcat("\n", line, "\n", NULL);

	if (!strstr(text->str, whole))
		g_error("no line '%s' in:\n%s", line, text->str);
	g_free(whole);
}

/* A bound belongs to its own bucket, and each bucket holds all below it. */
static void test_buckets(void)
{
	GString *text = g_string_new(NULL);

	latency_record_us(&latencies.owner_waited, 100);
	latency_record_us(&latencies.owner_waited, 101);
	latency_record_us(&latencies.owner_waited, 500000);
	latency_record_us(&latencies.owner_waited, 500001);
	latencies_append_text(text);
	assert_line(text, "# TYPE comfreydock_owner_waited_seconds histogram");
	assert_line(text,
		    "comfreydock_owner_waited_seconds_bucket{le=\"0.0001\"} 1");
	assert_line(
		text,
		"comfreydock_owner_waited_seconds_bucket{le=\"0.00025\"} 2");
	assert_line(text,
		    "comfreydock_owner_waited_seconds_bucket{le=\"0.5\"} 3");
	assert_line(text,
		    "comfreydock_owner_waited_seconds_bucket{le=\"1\"} 4");
	assert_line(text, "comfreydock_owner_waited_seconds_sum 1.000202");
	assert_line(text, "comfreydock_owner_waited_seconds_count 4");
	g_string_free(text, TRUE);
}

/*
 * Two hosts' clocks or a pause can make a part of a call look longer than the
 * whole. A time below zero would wrap the sum to half an eternity, and each
 * mean on a dashboard with it.
 */
static void test_below_zero(void)
{
	GString *text = g_string_new(NULL);

	latency_record_us(&latencies.call_added, -5);
	latencies_append_text(text);
	assert_line(text, "comfreydock_call_added_seconds_sum 0.000000");
	assert_line(text, "comfreydock_call_added_seconds_count 1");
	g_string_free(text, TRUE);
}

/* Beyond the last bound it counts in +Inf alone. */
static void test_above_last_bound(void)
{
	GString *text = g_string_new(NULL);

	latency_record_us(&latencies.call_unknown, 60 * 1000 * 1000);
	latencies_append_text(text);
	assert_line(text,
		    "comfreydock_call_unknown_seconds_bucket{le=\"10\"} 0");
	assert_line(text,
		    "comfreydock_call_unknown_seconds_bucket{le=\"+Inf\"} 1");
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/latency/buckets", test_buckets);
	g_test_add_func("/latency/below-zero", test_below_zero);
	g_test_add_func("/latency/above-last-bound", test_above_last_bound);
	return g_test_run();
}
