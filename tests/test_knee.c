#include <glib.h>

#include "comfreydockd/decide/knee.h"
#include "comfreydockd/decide/random.h"

#define SLOTS 9
#define S ((int64_t)1000 * 1000)
#define USUAL_US 210000

/* Feeds requests of an upstream that slows down by a factor above four fifths
 * of its slots; their times vary by a third. */
static void feed_requests(struct knee *knee, struct random_state *random,
			  double factor, unsigned int count, int64_t *now_us)
{
	for (unsigned int i = 0; i < count; i++) {
		uint32_t busy = 1 + (uint32_t)random_below(random, SLOTS);
		double times = 0.7 + 0.6 * random_unit(random);

		if (busy > KNEE_SHARE * SLOTS)
			times *= factor;
		*now_us += 10 * 1000;
		knee_note(knee, CONFIG_CLASS_NORMAL, busy, SLOTS,
			  (int64_t)(times * USUAL_US), *now_us);
	}
}

/*
 * An upstream's requests take 1.7 times as long once eight of its nine slots
 * are busy. Full, it completes fewer requests than with seven busy slots, and
 * callers wait longer for them.
 */
static void test_full_upstream_that_slows_keeps_slots_free(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct random_state random = {.state = seed};
		struct knee knee = {0};
		int64_t now_us = S;

		g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
		feed_requests(&knee, &random, 1.7, 400, &now_us);
		g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, 7);
	}
}

/* An upstream that does not slow down loses no slots to noise. */
static void test_steady_upstream_keeps_all(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct random_state random = {.state = seed};
		struct knee knee = {0};
		int64_t now_us = S;

		for (int round = 0; round < 20; round++) {
			feed_requests(&knee, &random, 1.0, 50, &now_us);
			g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
		}
	}
}

/*
 * A rush fills an upstream that was nearly idle and keeps it full for seconds.
 * Its lookups take 1.7 times as long, and soon that is the typical time there.
 * Compared with the current typical time they would look hardly slower than
 * before, all slots would stay in use, and callers would wait 170 ms instead of
 * 100 ms for an upstream that completes fewer requests.
 */
static void test_rush_does_not_hide_slowdown(void)
{
	struct random_state random = {.state = 5};
	struct knee knee = {0};
	int64_t now_us = S;

	for (int i = 0; i < 60; i++) {
		now_us += 50 * 1000;
		knee_note(&knee, CONFIG_CLASS_NORMAL, 2, SLOTS,
			  (int64_t)((0.7 + 0.6 * random_unit(&random)) * 100000),
			  now_us);
	}
	for (int i = 0; i < 60; i++) {
		now_us += 15 * 1000;
		knee_note(&knee, CONFIG_CLASS_NORMAL, SLOTS, SLOTS,
			  (int64_t)((0.7 + 0.6 * random_unit(&random)) * 170000),
			  now_us);
	}
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, 7);
}

/*
 * An upstream answers checks of 20 ms at night and bundles of 200 ms during the
 * daytime rush. That the bundles take ten times as long says nothing about how
 * full it is. If slots were left free because of it, callers would be refused
 * although slots are free.
 */
static void test_different_classes_are_not_compared(void)
{
	struct random_state random = {.state = 6};
	struct knee knee = {0};
	int64_t now_us = S;

	for (int i = 0; i < 400; i++) {
		bool is_full = i % 4 != 0;

		now_us += 10 * 1000;
		knee_note(&knee, CONFIG_CLASS_INTERACTIVE,
			  is_full && i % 8 ? 2 : 9, SLOTS,
			  (int64_t)((14 + 12 * random_unit(&random)) * 1000),
			  now_us);
		knee_note(&knee, CONFIG_CLASS_BULK, is_full ? 9 : 2, SLOTS,
			  (int64_t)((140 + 120 * random_unit(&random)) * 1000),
			  now_us);
	}
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
}

/* A result holds while samples confirm it and is checked again after a while,
 * as the upstream may have been repaired. */
static void test_finding_decays(void)
{
	struct random_state random = {.state = 7};
	struct knee knee = {0};
	int64_t now_us = S;

	feed_requests(&knee, &random, 1.7, 400, &now_us);
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, 7);
	now_us += 10 * KNEE_HALF_LIFE_US;
	knee_note(&knee, CONFIG_CLASS_NORMAL, 1, SLOTS, USUAL_US, now_us);
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
}

static void test_few_slots(void)
{
	struct random_state random = {.state = 7};
	struct knee knee = {0};
	int64_t now_us = S;

	feed_requests(&knee, &random, 1.7, 400, &now_us);
	g_assert_cmpuint(knee_slots(&knee, 1), ==, 1);
	g_assert_cmpuint(knee_slots(&knee, 2), ==, 1);
}

/* Returns how many requests an upstream completes in the given time if it
 * starts under more load than it can handle: a request starts as soon as one
 * ends. */
static unsigned int count_done_under_overload(double factor, int64_t seconds)
{
	struct random_state random = {.state = 11};
	int64_t ends_us[SLOTS] = {0};
	uint32_t begun_at[SLOTS] = {0};
	double times[SLOTS] = {0};
	struct knee knee = {0};
	unsigned int done = 0;
	uint32_t running = 0;

	for (int64_t now_us = S; now_us < (1 + seconds) * S; now_us += 1000) {
		for (size_t i = 0; i < SLOTS; i++) {
			if (!ends_us[i] || ends_us[i] > now_us)
				continue;
			ends_us[i] = 0;
			running--;
			done++;
			knee_note(&knee, CONFIG_CLASS_NORMAL, begun_at[i],
				  SLOTS, (int64_t)(times[i] * USUAL_US), now_us);
		}
		for (size_t i = 0; i < SLOTS; i++) {
			if (ends_us[i] || running >= knee_slots(&knee, SLOTS))
				continue;
			begun_at[i] = ++running;
			times[i] = 0.7 + 0.6 * random_unit(&random);
			if (running > KNEE_SHARE * SLOTS)
				times[i] *= factor;
			ends_us[i] = now_us + (int64_t)(times[i] * USUAL_US);
		}
	}
	return done;
}

/*
 * All hosts have lost their power and restart at once, with callers already
 * waiting. Each upstream is full from the start and slow because of it, so the
 * rush lasts. As it is never less than full, nothing shows that two free slots
 * would make it faster. It completes 24 requests a second instead of the
 * possible 33, and callers are refused for ten more seconds.
 */
static void test_overload_from_the_start_is_explored(void)
{
	unsigned int done = count_done_under_overload(1.7, 10);

	g_test_message("%u done in 10 s", done);
	g_assert_cmpuint(done, >=, 310);
}

/* The exploration costs hardly anything at an upstream that does not slow
 * down. */
static void test_exploring_costs_little(void)
{
	unsigned int done = count_done_under_overload(1.0, 120);

	g_test_message("%u done in 120 s", done);
	g_assert_cmpuint(done, >=, 120 * SLOTS / 0.21 * 0.98);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/knee/slows",
			test_full_upstream_that_slows_keeps_slots_free);
	g_test_add_func("/knee/steady", test_steady_upstream_keeps_all);
	g_test_add_func("/knee/rush", test_rush_does_not_hide_slowdown);
	g_test_add_func("/knee/different-classes",
			test_different_classes_are_not_compared);
	g_test_add_func("/knee/decays", test_finding_decays);
	g_test_add_func("/knee/overload-from-start",
			test_overload_from_the_start_is_explored);
	g_test_add_func("/knee/exploring-cost", test_exploring_costs_little);
	g_test_add_func("/knee/few-slots", test_few_slots);
	return g_test_run();
}
