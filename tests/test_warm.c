#include <glib.h>

#include "comfreydockd/decide/warm.h"
#include "common/clock.h"

/*
 * An upstream restarts with cold caches. With all its slots in use at once it
 * would answer every request slowly; it gets one of twelve slots first, then
 * more.
 */
static void test_slots_ramp_up(void)
{
	struct warm warm;

	warm_begin(&warm, 10000, 0);
	g_assert_cmpuint(warm_slots(&warm, 12, 0), ==, 1);
	g_assert_cmpuint(warm_slots(&warm, 12, 5 * US_PER_S), ==, 6);
	g_assert_cmpuint(warm_slots(&warm, 12, 10 * US_PER_S - 1), ==, 11);
	g_assert_cmpuint(warm_slots(&warm, 12, 10 * US_PER_S), ==, 12);
	g_assert_true(warm_is_complete(&warm, warm_end_us(&warm)));
}

/* The ramp never falls and stays within its bounds; a duration of 0 means no
 * ramp. */
static void test_ramp_never_falls(void)
{
	for (int i = 0; i < 1000; i++) {
		uint32_t limit = g_test_rand_int_range(1, 100);
		uint32_t warm_ms = g_test_rand_int_range(0, 100000);
		int64_t now_us = g_test_rand_int();
		struct warm warm;
		uint32_t before = 1;

		warm_begin(&warm, warm_ms, now_us);
		if (warm_ms == 0)
			g_assert_cmpuint(warm_slots(&warm, limit, now_us), ==,
					 limit);
		for (int step = 0; step < 50; step++) {
			uint32_t slots = warm_slots(&warm, limit, now_us);

			g_assert_cmpuint(slots, >=, before);
			g_assert_cmpuint(slots, <=, limit);
			before = slots;
			now_us += g_test_rand_int_range(0, 5 * US_PER_S);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/warm/ramp", test_slots_ramp_up);
	g_test_add_func("/warm/never-falls", test_ramp_never_falls);
	return g_test_run();
}
