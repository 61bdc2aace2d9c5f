#include <glib.h>

#include "comfreydockd/decide/measure.h"
#include "common/clock.h"

#define ROUNDS 2000

/*
 * However probes, traffic and idle times alternate, the measurements in any
 * window take at most its share of slot time, one probe, and the time by which
 * single probes exceeded their expected cost.
 */
static void test_never_above_budget_in_any_window(void)
{
	int64_t begun_us[ROUNDS];
	uint32_t slots = g_test_rand_int_range(1, 30);
	uint32_t permille = g_test_rand_int_range(1, 50);
	struct measure measure;
	int64_t now_us = 0;
	int count = 0;

	measure_init(&measure, slots, permille, now_us);
	while (count < ROUNDS) {
		now_us += g_test_rand_int_range(0, 100000);
		if (g_test_rand_int_range(0, 100) == 0)
			measure_note_traffic(&measure, now_us);
		if (measure_try_begin(&measure, now_us) != MEASURE_BEGIN)
			continue;
		begun_us[count++] = now_us;
		measure_end(&measure, MEASURE_PROBE_COST_US, now_us);
		/* Traffic that has just become stale: a measurement is due at
		 * once. */
		measure_note_traffic(&measure, now_us - MEASURE_FRESH_US);
	}
	for (int from = 0; from < count; from++) {
		for (int to = from; to < count; to++) {
			double window_us = begun_us[to] - begun_us[from];
			double spent_us =
				(to - from + 1.0) * MEASURE_PROBE_COST_US;

			g_assert_cmpfloat(spent_us, <=,
					  window_us * slots * permille / 1000 +
						  MEASURE_PROBE_COST_US);
		}
	}
}

/*
 * The upstream is so slow that a probe occupies its slot for 6 s instead of 6
 * ms. At an unchanged rate the probes would take a whole slot away from
 * bookings.
 */
static void test_slow_probe_is_repaid(void)
{
	struct measure measure;

	measure_init(&measure, 10, 10, 0); /* one probe per 60 ms */
	g_assert_cmpint(measure_try_begin(&measure, 2 * US_PER_S), ==,
			MEASURE_BEGIN);
	g_assert_cmpint(measure_try_begin(&measure, 5 * US_PER_S), ==,
			MEASURE_RUNNING);
	measure_end(&measure, 6 * US_PER_S, 8 * US_PER_S);
	g_assert_cmpint(measure_try_begin(&measure, 60 * US_PER_S), ==,
			MEASURE_OVER_BUDGET);
	/* 6 ms of the 6 s were paid at the start; 100 ms per second come in. */
	g_assert_cmpint(measure_next_us(&measure, 60 * US_PER_S), ==,
			67940 * US_PER_MS);
	g_assert_cmpint(measure_try_begin(&measure, 67939 * US_PER_MS), ==,
			MEASURE_OVER_BUDGET);
	g_assert_cmpint(measure_try_begin(&measure, 67940 * US_PER_MS), ==,
			MEASURE_BEGIN);
}

/*
 * Hardly a request comes for weeks, and one probe per second would be wasted
 * all that time. While requests do come, they tell enough by themselves.
 */
static void test_probes_thin_out_without_traffic(void)
{
	struct measure measure;
	int64_t now_us = 0;
	int probes = 0;

	measure_init(&measure, 12, 10, now_us);
	while (measure_next_us(&measure, now_us) <= 3600 * US_PER_S) {
		now_us = measure_next_us(&measure, now_us);
		g_assert_cmpint(measure_try_begin(&measure, now_us), ==,
				MEASURE_BEGIN);
		measure_end(&measure, MEASURE_PROBE_COST_US, now_us);
		probes++;
	}
	g_assert_cmpint(probes, ==, 228); /* 1, 2, 4, 8, then every 16 s */
	for (int i = 0; i < 100; i++) {
		now_us += US_PER_S / 2;
		g_assert_cmpint(measure_try_begin(&measure, now_us), ==,
				MEASURE_FRESH);
		measure_note_traffic(&measure, now_us);
	}
	measure_set_budget(&measure, 12, 0, now_us);
	g_assert_cmpint(measure_next_us(&measure, now_us), ==, INT64_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/measure/window", test_never_above_budget_in_any_window);
	g_test_add_func("/measure/repaid", test_slow_probe_is_repaid);
	g_test_add_func("/measure/idle", test_probes_thin_out_without_traffic);
	return g_test_run();
}
