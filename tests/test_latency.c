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

/* Buckets include their upper bound and are cumulative. */
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
 * Guards against a negative latency that wraps the unsigned sum and falsifies
 * every mean on a dashboard. A latency can be negative if clocks of two hosts
 * differ or a process pauses, so that a part of a call seems longer than the
 * whole.
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

/* A value above the last bound counts only in the +Inf bucket. */
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
