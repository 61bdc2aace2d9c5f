#include <glib.h>

#include "comfreydockd/decide/random.h"
#include "comfreydockd/decide/window_budget.h"

#define SECOND ((int64_t)1000 * 1000)
#define SHARE 0.2
#define SLACK 3.0

/* Guards against a daemon that has just started, knows none of the others yet
 * and uses the slack of all of them. */
static void test_slack_is_small_in_the_first_window(void)
{
	struct window_budget budget = {0};

	g_assert_false(window_budget_take(&budget, 1, 5 * SECOND));
	window_budget_set(&budget, SHARE, SLACK);
	g_assert_true(window_budget_take(&budget, 1, 5 * SECOND));
	g_assert_false(window_budget_take(&budget, 1, 14 * SECOND));
	g_assert_true(window_budget_take(&budget, SLACK, 16 * SECOND));
	g_assert_false(window_budget_take(&budget, 1, 16 * SECOND));
}

static void test_whole_allowance_can_be_taken_at_once(void)
{
	struct window_budget budget = {0};

	window_budget_set(&budget, SHARE, 0);
	for (int i = 0; i < 50; i++)
		window_budget_note_call(&budget, 100 * SECOND + i * SECOND / 5);
	g_assert_cmpfloat(window_budget_available(&budget, 110 * SECOND - 1),
			  >=, 9);
	g_assert_true(window_budget_take(&budget, 9, 110 * SECOND - 1));
	g_assert_false(window_budget_take(&budget, 2, 110 * SECOND - 1));
}

/* Guards against quiet periods that save up tokens for a burst after them. */
static void test_unused_allowance_expires(void)
{
	struct window_budget budget = {0};

	window_budget_set(&budget, SHARE, 0);
	for (int i = 0; i < 1000; i++)
		window_budget_note_call(&budget, 100 * SECOND);
	g_assert_false(window_budget_take(&budget, 1, 111 * SECOND));
	window_budget_note_call(&budget, 200 * SECOND);
	g_assert_cmpfloat(window_budget_capacity(&budget, 200 * SECOND), ==,
			  SHARE);
}

struct moment {
	int64_t at_us;
	bool is_call;
};

/* Guards against more retries in some window than all daemons together may
 * make: no window contains more than the slack plus the share of the window's
 * calls. */
static void test_no_window_exceeds_its_allowance(void)
{
	enum {
		MOMENTS = 3000
	};
	static struct moment moments[MOMENTS];
	struct random_state random = {.state = 7};
	struct window_budget budget = {0};
	int64_t now = 50 * SECOND;

	window_budget_set(&budget, SHARE, SLACK);
	for (int i = 0; i < MOMENTS; i++) {
		bool is_rush = i / 300 % 2;

		now += (int64_t)random_below(&random, 100000);
		moments[i].at_us = now;
		moments[i].is_call =
			random_below(&random, 10) > (is_rush ? 6 : 0);
		if (moments[i].is_call)
			window_budget_note_call(&budget, now);
		else if (!window_budget_take(&budget, 1, now))
			moments[i].at_us = -1; /* was refused */
	}
	for (int last = 0; last < MOMENTS; last++) {
		int64_t end = moments[last].at_us;
		double calls = 0;
		double taken = 0;

		if (end < 0 || moments[last].is_call)
			continue;
		for (int i = 0; i <= last; i++) {
			if (moments[i].at_us < 0 ||
			    moments[i].at_us <= end - WINDOW_BUDGET_US)
				continue;
			calls += moments[i].is_call;
			taken += !moments[i].is_call;
		}
		g_assert_cmpfloat(taken, <=, SLACK + SHARE * calls + 1e-6);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/window-budget/first",
			test_slack_is_small_in_the_first_window);
	g_test_add_func("/window-budget/at-once",
			test_whole_allowance_can_be_taken_at_once);
	g_test_add_func("/window-budget/expires", test_unused_allowance_expires);
	g_test_add_func("/window-budget/any-window",
			test_no_window_exceeds_its_allowance);
	return g_test_run();
}
