#include <glib.h>

#include "comfreydockd/decide/random.h"
#include "comfreydockd/decide/rate_window.h"
#include "common/clock.h"

#define LONG_AGO_US (-100 * US_PER_S)
#define HISTORY 8
#define LIMIT 5
#define WINDOW_US (2 * US_PER_S)

static struct rate_window create(uint32_t history, uint32_t limit)
{
	struct rate_window window;

	rate_window_init(&window, history, LONG_AGO_US);
	rate_window_set(&window, limit, WINDOW_US);
	return window;
}

static void note_many(struct rate_window *window, unsigned int count,
		      int64_t now_us)
{
	for (unsigned int i = 0; i < count; i++)
		rate_window_note(window, now_us);
}

/* Guards against a burst at the border of two windows: no span of the window's
 * length has more than the limit, and each start that fits is allowed. */
static void test_limit_holds_in_each_window(void)
{
	struct random_state random = {.state = 11};
	struct rate_window window = create(0, LIMIT);
	int64_t starts_us[256];
	unsigned int count = 0;

	for (int64_t now = 0; now < 20 * US_PER_S;
	     now += (int64_t)random_below(&random, 100 * US_PER_MS)) {
		if (rate_window_wait_us(&window, 0, now) > 0)
			continue;
		rate_window_note(&window, now);
		starts_us[count++] = now;
	}
	for (unsigned int i = LIMIT; i < count; i++) {
		int64_t span_us = starts_us[i] - starts_us[i - LIMIT];

		g_assert_cmpint(span_us, >=, WINDOW_US);
		g_assert_cmpint(span_us, <, WINDOW_US + 200 * US_PER_MS);
	}
	rate_window_finish(&window);
}

/* Guards against a limit that is named after a burst and allows another one at
 * once. */
static void test_limit_set_later_counts_recorded_requests(void)
{
	struct rate_window window = create(HISTORY, 0);

	note_many(&window, LIMIT, 0);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, 0);
	rate_window_set(&window, LIMIT, WINDOW_US);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, US_PER_S);
	rate_window_finish(&window);
}

/* Guards against a limit that grows beyond the recorded requests and takes those
 * that it has dropped for none. */
static void test_dropped_requests_count_as_the_oldest_known(void)
{
	struct rate_window window = create(HISTORY, 0);

	note_many(&window, 2 * HISTORY, 0);
	rate_window_set(&window, 2 * HISTORY, WINDOW_US);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, US_PER_S);
	rate_window_finish(&window);
}

/* A lower limit counts the same requests. */
static void test_lower_limit_waits_longer(void)
{
	struct rate_window window = create(HISTORY, LIMIT);

	note_many(&window, 1, 0);
	note_many(&window, 1, US_PER_S);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, 0);
	rate_window_set(&window, 1, WINDOW_US);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, WINDOW_US);
	rate_window_forget(&window);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, 0);
	rate_window_finish(&window);
}

/* Guards against a daemon that takes what its predecessor sent for nothing. */
static void test_unknown_requests_count(void)
{
	struct rate_window window;

	rate_window_init(&window, HISTORY, 0);
	rate_window_set(&window, LIMIT, WINDOW_US);
	g_assert_cmpint(rate_window_wait_us(&window, 0, US_PER_S), ==, US_PER_S);
	rate_window_note(&window, US_PER_S);
	rate_window_forget_unknown(&window);
	g_assert_cmpint(rate_window_wait_us(&window, LIMIT - 2, US_PER_S), ==, 0);
	g_assert_cmpint(rate_window_wait_us(&window, LIMIT - 1, US_PER_S), ==,
			WINDOW_US);
	rate_window_finish(&window);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rate-window/each", test_limit_holds_in_each_window);
	g_test_add_func("/rate-window/set-later",
			test_limit_set_later_counts_recorded_requests);
	g_test_add_func("/rate-window/dropped",
			test_dropped_requests_count_as_the_oldest_known);
	g_test_add_func("/rate-window/lower", test_lower_limit_waits_longer);
	g_test_add_func("/rate-window/unknown", test_unknown_requests_count);
	return g_test_run();
}
