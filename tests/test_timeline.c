#include <glib.h>
#include <string.h>

#include "common/timeline.h"
#include "paused_clock.h"

/*
 * A time server sets the clock of the host back by an hour during a request. With
 * the wall clock alone, the answer would appear before the start of the request
 * in the timeline.
 */
static void test_time_never_runs_backwards(void)
{
	struct timeline timeline;
	uint64_t before;

	timeline_init(&timeline, 4);
	before = timeline_now(&timeline);
	paused_clock_step_wall_us(-3600 * 1000000LL);
	g_assert_cmpuint(timeline_now(&timeline), >, before);
	timeline_observe(&timeline, before + 500);
	g_assert_cmpuint(timeline_now(&timeline), >, before + 500);
	timeline_finish(&timeline);
}

static void test_ring_keeps_the_last(void)
{
	struct timeline timeline;
	GString *text = g_string_new(NULL);

	timeline_init(&timeline, 2);
	timeline_add(&timeline, "t1", EV_DAEMON_STARTED, "one");
	timeline_add(&timeline, "t2", EV_DAEMON_STARTED, "two");
	timeline_add(&timeline, "t2", EV_DAEMON_STARTED, "three");
	timeline_add(&timeline, "", EV_DAEMON_STARTED, "no trace");
	timeline_append_json(&timeline, "t2", "p", text);
	g_assert_null(strstr(text->str, "one"));
	g_assert_nonnull(strstr(text->str, "two"));
	g_assert_nonnull(strstr(text->str, "three"));
	g_string_free(text, TRUE);
	timeline_finish(&timeline);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/timeline/monotonic", test_time_never_runs_backwards);
	g_test_add_func("/timeline/ring", test_ring_keeps_the_last);
	return g_test_run();
}
