#include <glib.h>

#include "comfreydockd/config/head_history.h"

#define STEP HEAD_HISTORY_STEP_US

/* Guards against the age of the newest head being taken for the time since a
 * configuration was superseded. */
static void test_counts_from_the_first_head_above(void)
{
	struct head_history history = {0};

	g_assert_cmpint(head_history_superseded_us(&history, 0, 0), ==, 0);
	head_history_note(&history, 3, 10 * STEP);
	head_history_note(&history, 6, 20 * STEP);
	head_history_note(&history, 6, 30 * STEP);
	head_history_note(&history, 9, 40 * STEP);
	g_assert_cmpint(head_history_superseded_us(&history, 3, 50 * STEP), ==,
			30 * STEP);
	g_assert_cmpint(head_history_superseded_us(&history, 6, 50 * STEP), ==,
			10 * STEP);
	g_assert_cmpint(head_history_superseded_us(&history, 9, 50 * STEP), ==,
			0);
}

/* Guards against a series of quick changes that makes an old configuration look
 * young. */
static void test_quick_changes_keep_the_time(void)
{
	struct head_history history = {0};

	for (int i = 0; i <= 1000; i++)
		head_history_note(&history, 10 + (uint64_t)i, i * STEP / 2);
	g_assert_cmpint(head_history_superseded_us(&history, 9, 500 * STEP), >=,
			(HEAD_HISTORY_SIZE - 1) * STEP);
	g_assert_cmpint(head_history_superseded_us(&history, 1009, 500 * STEP),
			<=, STEP);
}

/* Guards against a head that never existed and counts for ever. */
static void test_dropped_heads_do_not_count(void)
{
	struct head_history history = {0};

	head_history_note(&history, 3, 0);
	head_history_note(&history, 6, 2 * STEP);
	head_history_drop_above(&history, 3);
	g_assert_cmpint(head_history_superseded_us(&history, 3, 9 * STEP), ==, 0);
	head_history_note(&history, 5, 10 * STEP);
	g_assert_cmpint(head_history_superseded_us(&history, 3, 11 * STEP), ==,
			STEP);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/head-history/first-above",
			test_counts_from_the_first_head_above);
	g_test_add_func("/head-history/quick-changes",
			test_quick_changes_keep_the_time);
	g_test_add_func("/head-history/dropped", test_dropped_heads_do_not_count);
	return g_test_run();
}
