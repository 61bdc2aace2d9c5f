#include <glib.h>

#include "comfreydockd/decide/knee.h"
#include "comfreydockd/decide/random.h"

#define SLOTS 9
#define S ((int64_t)1000 * 1000)

/* Requests of an upstream that slows by a factor beyond four fifths; their
 * times spread by a third. */
static void play(struct knee *knee, struct random_state *random, double factor,
		 unsigned int count, int64_t *now_us)
{
	for (unsigned int i = 0; i < count; i++) {
		uint32_t busy = 1 + (uint32_t)random_below(random, SLOTS);
		double times = 0.7 + 0.6 * random_unit(random);

		if (busy > KNEE_SHARE * SLOTS)
			times *= factor;
		*now_us += 10 * 1000;
		knee_note(knee, busy, SLOTS, times, *now_us);
	}
}

/*
 * An upstream's requests take 1.7 times as long once eight of its nine slots
 * are taken. Filled up in a rush it does less than with seven, and callers
 * wait longer for it.
 */
static void test_full_upstream_that_slows_keeps_slots_free(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct random_state random = {.state = seed};
		struct knee knee = {0};
		int64_t now_us = S;

		g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
		play(&knee, &random, 1.7, 400, &now_us);
		g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, 7);
	}
}

/* One that does not slow loses none of its slots to chance. */
static void test_steady_upstream_keeps_all(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct random_state random = {.state = seed};
		struct knee knee = {0};
		int64_t now_us = S;

		for (int round = 0; round < 20; round++) {
			play(&knee, &random, 1.0, 50, &now_us);
			g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
		}
	}
}

/* What was found holds while it is seen, and is tried again after a while: the
 * upstream may have been mended. */
static void test_finding_fades(void)
{
	struct random_state random = {.state = 7};
	struct knee knee = {0};
	int64_t now_us = S;

	play(&knee, &random, 1.7, 400, &now_us);
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, 7);
	now_us += 10 * KNEE_HALF_US;
	knee_note(&knee, 1, SLOTS, 1.0, now_us);
	g_assert_cmpuint(knee_slots(&knee, SLOTS), ==, SLOTS);
}

static void test_few_slots(void)
{
	struct random_state random = {.state = 7};
	struct knee knee = {0};
	int64_t now_us = S;

	play(&knee, &random, 1.7, 400, &now_us);
	g_assert_cmpuint(knee_slots(&knee, 1), ==, 1);
	g_assert_cmpuint(knee_slots(&knee, 2), ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/knee/slows",
			test_full_upstream_that_slows_keeps_slots_free);
	g_test_add_func("/knee/steady", test_steady_upstream_keeps_all);
	g_test_add_func("/knee/fades", test_finding_fades);
	g_test_add_func("/knee/few-slots", test_few_slots);
	return g_test_run();
}
