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

#define FIRST_39 "0000000000000001.0000000000000002.00000"
#define FIRST_63 FIRST_39 ".0000000000000003.000000"

/* Guards against lines of one request that are found under the id of another which
 * begins alike, and against lines that aren't found by the id or its label. */
static void test_ids_that_begin_alike(void)
{
	static const char *const ids[] = {
		FIRST_39,      FIRST_39 "a",	 FIRST_63,	   FIRST_63 "a",
		FIRST_63 "b",  "id with spaces", "id with_spaces", "\"quoted\"",
		"caf\xc3\xa9", "tab\there",	 "back\\slash",	   "a+b/c==",
		"~",
	};
	struct timeline timeline;

	timeline_init(&timeline, G_N_ELEMENTS(ids));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		timeline_add(&timeline, ids[i], EV_DAEMON_STARTED, "no %zu.", i);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		GString *by_id = g_string_new(NULL);
		GString *by_label = g_string_new(NULL);
		char *note = g_strdup_printf("\"no %zu.\"", i);
		char label[TRACE_LABEL_SIZE];

		timeline_append_json(&timeline, ids[i], "p", by_id);
		timeline_append_json(&timeline, trace_label(ids[i], label), "p",
				     by_label);
		g_test_message("%s", by_id->str);
		g_assert_nonnull(strstr(by_id->str, note));
		g_assert_null(strstr(strstr(by_id->str, "no ") + 1, "no "));
		g_assert_cmpstr(by_id->str, ==, by_label->str);
		g_assert_true(g_str_is_ascii(by_id->str));
		g_free(note);
		g_string_free(by_id, TRUE);
		g_string_free(by_label, TRUE);
	}
	timeline_finish(&timeline);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/timeline/monotonic", test_time_never_runs_backwards);
	g_test_add_func("/timeline/ring", test_ring_keeps_the_last);
	g_test_add_func("/timeline/ids", test_ids_that_begin_alike);
	return g_test_run();
}
