#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "comfreydockd/upstream/report.h"

#define BEAT_US INT64_C(1500000)
/* Between reports that a test submits without a time. They come in a burst. */
#define BURST_STEP_US 50000

static int64_t now_us;

static enum report_verdict submit_at(struct report_history *history,
				     const struct report *report, int64_t at_us)
{
	now_us = at_us;
	return report_classify(history, report, now_us);
}

static enum report_verdict submit(struct report_history *history,
				  const char *instance, int64_t born_ms,
				  uint64_t sequence)
{
	struct report report = {
		.instance = instance,
		.born_ms = born_ms,
		.sequence = sequence,
	};

	return submit_at(history, &report, now_us + BURST_STEP_US);
}

static void test_reports_in_order_are_news(void)
{
	struct report_history history = {0};

	g_assert_cmpint(submit(&history, "i-1", 0, 4), ==, REPORT_NEW_START);
	g_assert_cmpint(submit(&history, "i-1", 0, 5), ==, REPORT_NEWS);
	g_assert_cmpint(submit(&history, "i-1", 0, 9), ==, REPORT_NEWS);
}

/*
 * A delayed heartbeat that says "ready" arrives after a later one that says
 * "draining". If it were taken for the newest one, an upstream that may stop
 * would get work.
 */
static void test_late_report_changes_nothing(void)
{
	struct report_history history = {0};

	submit(&history, "i-1", 0, 9);
	g_assert_cmpint(submit(&history, "i-1", 0, 8), ==, REPORT_LATE);
	g_assert_cmpint(submit(&history, "i-1", 0, 9), ==, REPORT_LATE);
	g_assert_cmpint(submit(&history, "i-1", 0, 10), ==, REPORT_NEWS);
}

/* An instance that has deregistered is ignored, however late its reports
 * arrive. */
static void test_report_after_leave_is_gone(void)
{
	struct report_history history = {0};

	submit(&history, "i-1", 0, 9);
	g_assert_false(report_note_leave(&history, "i-2"));
	g_assert_true(report_note_leave(&history, "i-1"));
	g_assert_cmpint(submit(&history, "i-1", 0, 10), ==, REPORT_GONE);
	g_assert_cmpint(submit(&history, "i-2", 0, 1), ==, REPORT_NEW_START);
	g_assert_cmpint(submit(&history, "i-1", 0, 11), ==, REPORT_LATE);
}

/*
 * An upstream crashes during a network partition and another takes over its
 * address. A report that the partition delayed arrives after the report of the
 * new one.
 */
static void test_report_of_earlier_start_is_late(void)
{
	struct report_history history = {0};

	submit(&history, "i-1", 0, 7);
	g_assert_cmpint(submit(&history, "i-2", 0, 1), ==, REPORT_NEW_START);
	g_assert_cmpint(submit(&history, "i-1", 0, 8), ==, REPORT_LATE);
	g_assert_cmpint(submit(&history, "i-2", 0, 2), ==, REPORT_NEWS);
}

/* An instance restarts with the same id. Its sequence numbers begin again, and
 * its time of start distinguishes the starts. */
static void test_same_id_with_later_start_is_new_start(void)
{
	struct report_history history = {0};

	submit(&history, "i-1", 1000, 50);
	g_assert_cmpint(submit(&history, "i-1", 2000, 1), ==, REPORT_NEW_START);
	g_assert_cmpint(submit(&history, "i-1", 1000, 51), ==, REPORT_LATE);
	g_assert_cmpint(submit(&history, "i-1", 2000, 2), ==, REPORT_NEWS);
	report_note_leave(&history, "i-1");
	g_assert_cmpint(submit(&history, "i-1", 3000, 1), ==, REPORT_NEW_START);
}

/*
 * Reports of several starts arrive in any order and some of them twice. The
 * current start must never go back to an earlier one, nor the sequence number
 * of its last report to a lower one.
 */
static void test_random_order_never_goes_back(void)
{
	for (int round = 0; round < 2000; round++) {
		struct report_history history = {0};
		int64_t born = 0;
		uint64_t sequence = 0;

		for (int i = 0; i < 30; i++) {
			int64_t start = g_test_rand_int_range(1, 6);
			uint64_t number = (uint64_t)g_test_rand_int_range(1, 9);
			char id[16];

			snprintf(id, sizeof(id), "i-%d", (int)start / 2);
			submit(&history, id, start, number);
			g_assert_cmpint(history.born_ms, >=, born);
			if (history.born_ms == born)
				g_assert_cmpuint(history.sequence, >=, sequence);
			born = history.born_ms;
			sequence = history.sequence;
		}
	}
}

/* Guards against an upstream whose reports are acknowledged and ignored for good: the
 * clock was set back before it started, under its former id or a new one. */
static void check_start_of_earlier_time(const char *id)
{
	struct report_history history = {0};
	struct report report = {.instance = id, .born_ms = 1000};
	int64_t at_us = now_us;

	submit(&history, "i-1", 2000, 1);
	submit(&history, "i-1", 2000, 2);
	for (report.sequence = 1; report.sequence <= 2; report.sequence++) {
		at_us += BEAT_US;
		g_assert_cmpint(submit_at(&history, &report, at_us), ==,
				REPORT_LATE);
	}
	g_assert_cmpint(submit_at(&history, &report, at_us + BEAT_US), ==,
			REPORT_NEW_START);
	report.sequence++;
	report.is_draining = true;
	g_assert_cmpint(submit_at(&history, &report, at_us + 2 * BEAT_US), ==,
			REPORT_NEWS);
}

static void test_clock_was_set_back(void)
{
	check_start_of_earlier_time("i-1");
	check_start_of_earlier_time("i-2");
}

/* Guards against a return to the earlier start by reports of it that come late, one
 * by one, beside those of the current start. */
static void test_late_reports_among_new_ones(void)
{
	struct report_history history = {0};
	struct report late = {.instance = "i-1", .born_ms = 1000};
	struct report current = {.instance = "i-1", .born_ms = 2000};
	int64_t at_us = now_us;

	for (int i = 0; i < 20; i++) {
		at_us += BEAT_US / 2;
		current.sequence++;
		g_assert_cmpint(submit_at(&history, &current, at_us), ==,
				i ? REPORT_NEWS : REPORT_NEW_START);
		at_us += BEAT_US / 2;
		late.sequence++;
		g_assert_cmpint(submit_at(&history, &late, at_us), ==,
				REPORT_LATE);
	}
}

/* Guards against an acknowledgement of a request to drain that isn't followed. */
static void test_drain_of_an_uncertain_start(void)
{
	struct report_history history = {0};
	struct report report = {
		.instance = "i-1",
		.born_ms = 1000,
		.is_draining = true,
	};
	int64_t at_us = now_us;

	submit(&history, "i-1", 2000, 1);
	for (report.sequence = 1; report.sequence <= 2; report.sequence++) {
		at_us += BEAT_US;
		g_assert_cmpint(submit_at(&history, &report, at_us), ==,
				REPORT_UNCERTAIN);
	}
	g_assert_cmpint(submit_at(&history, &report, at_us + BEAT_US), ==,
			REPORT_NEW_START);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/report/order", test_reports_in_order_are_news);
	g_test_add_func("/report/late", test_late_report_changes_nothing);
	g_test_add_func("/report/left", test_report_after_leave_is_gone);
	g_test_add_func("/report/earlier-start",
			test_report_of_earlier_start_is_late);
	g_test_add_func("/report/same-id",
			test_same_id_with_later_start_is_new_start);
	g_test_add_func("/report/clock-set-back", test_clock_was_set_back);
	g_test_add_func("/report/late-among-new",
			test_late_reports_among_new_ones);
	g_test_add_func("/report/uncertain-drain",
			test_drain_of_an_uncertain_start);
	g_test_add_func("/report/random-order",
			test_random_order_never_goes_back);
	return g_test_run();
}
