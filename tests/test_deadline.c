#include <glib.h>

#include "comfreydockd/decide/deadline.h"
#include "common/clock.h"

/*
 * The clocks of hosts differ by any amount, and calls are nested 13 deep. By a
 * global clock no hop ends later than the one before it.
 */
static void test_no_hop_extends_a_deadline(void)
{
	for (int i = 0; i < 2000; i++) {
		int64_t true_us = 0;
		int64_t sent_us = g_test_rand_int_range(0, 20 * US_PER_S);
		int64_t ends_us = sent_us;

		for (int depth = 0; depth < DEADLINE_DEPTH_MAX; depth++) {
			int64_t skew_us = g_test_rand_int();
			int64_t at_us = deadline_at(
				sent_us, g_test_rand_int_range(0, 20000),
				true_us + skew_us);
			int64_t rtt_us = g_test_rand_int_range(-10, 5000);

			g_assert_cmpint(at_us - skew_us, <=, ends_us);
			ends_us = at_us - skew_us;
			true_us += g_test_rand_int_range(0, US_PER_S);
			sent_us = deadline_for_hop_us(at_us, rtt_us,
						      true_us + skew_us);
			g_assert_cmpint(sent_us, >=, 0);
			g_assert_cmpint(true_us + sent_us, <=,
					MAX(ends_us, true_us));
			ends_us = MAX(ends_us, true_us);
		}
	}
}

/* If no time is spent, 13 hops leave two thirds; each one keeps a share. */
static void test_time_left_after_13_hops(void)
{
	int64_t remaining_us = 10 * US_PER_S;

	for (int depth = 0; depth < DEADLINE_DEPTH_MAX; depth++)
		remaining_us = deadline_for_hop_us(
			deadline_at(remaining_us, 0, 0), 0, 0);
	g_assert_cmpint(remaining_us / US_PER_MS, ==, 6618);
}

/*
 * A service at the bottom of 13 layers fails, and each layer tries up to three
 * times. Without a reduction by depth one call becomes 3^13 at the bottom; it
 * may become six.
 */
static void test_retries_do_not_multiply(void)
{
	uint32_t calls = 1;
	double load = 1;

	for (uint32_t depth = 0; depth < DEADLINE_DEPTH_MAX; depth++) {
		calls *= deadline_attempts(3, depth);
		load *= 1 + deadline_retry_budget_permille(10, depth) / 1000.0;
	}
	g_assert_cmpuint(calls, ==, 6);
	g_assert_cmpfloat(load, <, 1.22);
	g_assert_cmpuint(deadline_attempts(0, 0), ==, 1);
	g_assert_cmpuint(deadline_attempts(3, 1000), ==, 1);
	g_assert_cmpuint(deadline_retry_budget_permille(100, 1000), ==, 0);
	g_assert_false(deadline_is_too_deep(13));
	g_assert_true(deadline_is_too_deep(14));
}

static void test_late_work_is_not_started(void)
{
	g_assert_true(deadline_can_finish(100, 40, 50, 10));
	g_assert_false(deadline_can_finish(100, 41, 50, 10));
	g_assert_false(deadline_can_finish(100, 0, 0, 100));
	g_assert_true(deadline_can_finish(INT64_MAX, 1 << 30, 1 << 30, 10));
	g_assert_cmpint(deadline_at(-1, 0, 5), ==, INT64_MAX);
	g_assert_cmpint(deadline_at(INT64_MAX, 0, 5), ==, INT64_MAX);
	g_assert_cmpint(deadline_at(INT64_MAX, 2, 5), ==, 2005);
	g_assert_cmpint(deadline_for_hop_us(INT64_MAX, 5, 5), ==, INT64_MAX);
}

/*
 * A daemon paused for some seconds, and its "busy" refusals arrived after the
 * pause. If they counted as round-trip times, no call to its upstream would
 * have any time left. Each call would be refused as late, nothing would correct
 * the estimate, and callers would get "not run" from an idle service.
 */
static void test_pause_is_not_counted_as_round_trip(void)
{
	struct deadline_rtt rtt = {0};
	int64_t all_us = 2 * US_PER_S;

	for (int i = 0; i < 20; i++)
		deadline_rtt_note(&rtt, 2500 * US_PER_MS);
	g_assert_cmpint(deadline_rtt_us(&rtt), ==, DEADLINE_RTT_DEFAULT_US);
	for (int i = 0; i < 20; i++)
		deadline_rtt_note(&rtt, DEADLINE_RTT_MAX_US * (i % 2));
	g_assert_cmpint(deadline_for_hop_us(all_us, deadline_rtt_us(&rtt), 0),
			>, all_us / 2);
	g_assert_cmpint(deadline_for_hop_us(100, deadline_rtt_us(&rtt), 0), >,
			50);
}

/* Little more than 1 ms is set aside for a steady round trip of 1 ms; a varying
 * one adds its deviation. */
static void test_rtt_follows_round_trips(void)
{
	struct deadline_rtt rtt = {0};

	g_assert_cmpint(deadline_rtt_us(&rtt), ==, DEADLINE_RTT_DEFAULT_US);
	for (int i = 0; i < 100; i++)
		deadline_rtt_note(&rtt, 1000);
	g_assert_cmpint(deadline_rtt_us(&rtt), <=, 1020);
	for (int i = 0; i < 100; i++)
		deadline_rtt_note(&rtt, i % 2 ? 1000 : 3000);
	g_assert_cmpint(deadline_rtt_us(&rtt), >, 3000);
}

/*
 * Under overload a call has waited for half of its time and has just started
 * when its entry's attempt timeout expires. Aborted now, its slot time would be
 * lost and its outcome unknown. An attempt that an upstream has held from the
 * start is given up while another upstream can still answer.
 */
static void test_started_late_is_not_overdue(void)
{
	g_assert_cmpint(deadline_attempt_timeout_us(1000, 0), ==, 500);
	g_assert_false(deadline_is_overdue(480, 1000, 500));
	g_assert_true(deadline_is_overdue(0, 1000, 500));
	g_assert_true(deadline_is_overdue(999, 1000, 1000));
	g_assert_false(deadline_is_overdue(0, INT64_MAX, 500));
}

/*
 * An upstream stops in the middle of a long answer and resets nothing. Without
 * an idle timeout its caller would wait forever. An answer that makes progress
 * beyond its deadline is delivered completely.
 */
static void test_stalled_answer_is_aborted(void)
{
	int64_t deadline_us = 1000;
	int64_t last_data_us = deadline_us + 5 * DEADLINE_IDLE_US;
	int64_t due_us = last_data_us + DEADLINE_IDLE_US;

	g_assert_cmpint(
		deadline_idle_left_us(deadline_us, last_data_us, last_data_us),
		==, DEADLINE_IDLE_US);
	g_assert_cmpint(
		deadline_idle_left_us(deadline_us, last_data_us, due_us - 1), >,
		0);
	g_assert_cmpint(deadline_idle_left_us(deadline_us, last_data_us, due_us),
			<=, 0);
	g_assert_cmpint(deadline_idle_left_us(2 * due_us, last_data_us, due_us),
			==, due_us);
}

/* Guards against an answer that is lost although it was whole in time: a daemon
 * that stood still reads its head only after the deadline. */
static void test_withheld_answer_has_time(void)
{
	int64_t late_us = 1000 + 10 * DEADLINE_WITHHELD_US;

	g_assert_cmpint(deadline_withheld_left_us(1000, late_us, late_us), ==,
			DEADLINE_WITHHELD_US);
	g_assert_cmpint(deadline_withheld_left_us(1000, 10, 1000), ==,
			DEADLINE_WITHHELD_US);
	g_assert_cmpint(deadline_withheld_left_us(INT64_MAX, 10, 1000), ==,
			INT64_MAX - 1000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/deadline/pause-is-not-a-round-trip",
			test_pause_is_not_counted_as_round_trip);
	g_test_add_func("/deadline/hops", test_no_hop_extends_a_deadline);
	g_test_add_func("/deadline/depth", test_time_left_after_13_hops);
	g_test_add_func("/deadline/retries", test_retries_do_not_multiply);
	g_test_add_func("/deadline/late", test_late_work_is_not_started);
	g_test_add_func("/deadline/rtt", test_rtt_follows_round_trips);
	g_test_add_func("/deadline/overdue", test_started_late_is_not_overdue);
	g_test_add_func("/deadline/stalled-answer",
			test_stalled_answer_is_aborted);
	g_test_add_func("/deadline/withheld-answer",
			test_withheld_answer_has_time);
	return g_test_run();
}
