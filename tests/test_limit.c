#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "comfreydockd/decide/limit.h"
#include "common/clock.h"

#define SLOTS 12
#define SHORT_US (5 * US_PER_MS)
#define LONG_US (1000 * US_PER_MS)

/* An upstream that is always offered more requests than it may run. */
struct upstream {
	struct limit limit;
	int64_t now_us;
	int64_t begin_us[SLOTS];
	int64_t end_us[SLOTS]; /* 0: the slot is free */
	uint32_t running;
	uint64_t ended;
	double limit_time; /* integral of the limit over time */
};

typedef int64_t (*service_time)(uint32_t running);

static int64_t serve_short(uint32_t running G_GNUC_UNUSED)
{
	return g_test_rand_int_range(SHORT_US / 2, SHORT_US * 2);
}

static int64_t serve_mix(uint32_t running)
{
	return g_test_rand_int_range(0, 20) ? serve_short(running) : LONG_US;
}

static int64_t serve_long(uint32_t running G_GNUC_UNUSED)
{
	return g_test_rand_int_range(LONG_US / 2, LONG_US * 2);
}

static int64_t serve_ten_times_slower(uint32_t running)
{
	return 10 * serve_short(running);
}

/* Above four concurrent requests each further one slows all down
 * quadratically. */
static int64_t serve_thrashing(uint32_t running)
{
	uint32_t over = MAX(running, 4);

	return serve_short(running) * over * over / 4;
}

static void upstream_start(struct upstream *up, uint32_t slot, service_time serve)
{
	up->running++;
	up->begin_us[slot] = up->now_us;
	up->end_us[slot] = up->now_us + serve(up->running);
}

static uint32_t upstream_next_end(const struct upstream *up)
{
	uint32_t next = SLOTS;

	for (uint32_t i = 0; i < SLOTS; i++) {
		if (!up->end_us[i])
			continue;
		if (next == SLOTS || up->end_us[i] < up->end_us[next])
			next = i;
	}
	return next;
}

/* Returns the mean limit over the duration. */
static double upstream_run(struct upstream *up, service_time serve,
			   int64_t duration_us)
{
	int64_t from_us = up->now_us;
	int64_t until_us = from_us + duration_us;

	up->limit_time = 0;
	up->ended = 0;
	while (up->now_us < until_us) {
		uint32_t i;

		for (i = 0; i < SLOTS; i++)
			if (!up->end_us[i] &&
			    up->running < limit_current(&up->limit))
				upstream_start(up, i, serve);
		i = upstream_next_end(up);
		up->limit_time += (double)limit_current(&up->limit) *
				  (up->end_us[i] - up->now_us);
		up->now_us = up->end_us[i];
		limit_note_done(&up->limit, up->now_us - up->begin_us[i],
				LIMIT_OUTCOME_OK, up->running, up->now_us);
		up->end_us[i] = 0;
		up->running--;
		up->ended++;
	}
	return up->limit_time / (up->now_us - from_us);
}

static void upstream_init(struct upstream *up, const struct limit_policy *policy)
{
	memset(up, 0, sizeof(*up));
	limit_init(&up->limit, policy, SLOTS, 0);
}

/*
 * On a healthy upstream one request in twenty takes 1 s and the others 5 ms; or
 * after a quiet hour the nightly bundles arrive, and every request takes 200
 * times as long; or a neighbour takes nine tenths of the processor. A lower
 * limit would make none of them faster: callers would wait while slots are
 * free.
 */
static void test_slow_jobs_keep_their_slots(void)
{
	const struct {
		service_time serve;
		double least;
	} cases[] = {
		{serve_mix, 0.98},
		{serve_long, 0.9},
		{serve_ten_times_slower, 0.9},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct upstream up;
		double mean;

		upstream_init(&up, &limit_adaptive);
		upstream_run(&up, serve_short, 60 * US_PER_S);
		mean = upstream_run(&up, cases[i].serve, 120 * US_PER_S);
		g_test_message("slow %zu: mean limit %.2f of %d", i, mean, SLOTS);
		g_assert_cmpfloat(mean, >, cases[i].least * SLOTS);
	}
}

/*
 * A neighbour leaves the upstream so little memory that it thrashes with more
 * than four concurrent requests. With all slots in use callers wait long for
 * few answers; with fewer in use they get more answers.
 */
static void test_thrashing_lowers_the_limit(void)
{
	struct upstream fixed;
	struct upstream adaptive;
	double mean;

	upstream_init(&fixed, &limit_fixed);
	upstream_run(&fixed, serve_short, 10 * US_PER_S);
	upstream_run(&fixed, serve_thrashing, 20 * US_PER_S);
	upstream_init(&adaptive, &limit_adaptive);
	upstream_run(&adaptive, serve_short, 10 * US_PER_S);
	mean = upstream_run(&adaptive, serve_thrashing, 20 * US_PER_S);
	g_test_message("thrashing: answers fixed %" PRIu64 " adaptive %" PRIu64
		       ", mean limit %.2f",
		       fixed.ended, adaptive.ended, mean);
	g_assert_cmpuint(adaptive.ended, >, fixed.ended * 3 / 2);
	upstream_run(&adaptive, serve_short, 5 * US_PER_S);
	g_assert_cmpuint(limit_current(&adaptive.limit), ==, SLOTS);
}

/*
 * An upstream sheds twelve requests that started together. They report one
 * overload; twelve cuts for it would leave one slot of twelve.
 */
static void test_shedding_cuts_once(void)
{
	struct upstream up;

	upstream_init(&up, &limit_adaptive);
	for (int i = 0; i < SLOTS; i++)
		limit_note_done(&up.limit, SHORT_US, LIMIT_OUTCOME_OVERLOAD,
				SLOTS - i, SHORT_US + i);
	g_assert_cmpuint(limit_current(&up.limit), ==, 9);
	up.now_us = US_PER_S;
	upstream_run(&up, serve_short, 5 * US_PER_S);
	g_assert_cmpuint(limit_current(&up.limit), ==, SLOTS);
}

/*
 * The upstream is slow, a trial halves the limit, and then the burst ends. The
 * next burst, an hour later, must not find half the slots.
 */
static void test_trial_ends_when_traffic_stops(void)
{
	struct upstream up;

	upstream_init(&up, &limit_adaptive);
	upstream_run(&up, serve_short, US_PER_S);
	while (limit_current(&up.limit) == SLOTS)
		upstream_run(&up, serve_ten_times_slower, US_PER_MS);
	g_assert_cmpuint(limit_current(&up.limit), ==, SLOTS / 2);
	up.now_us += 3600 * US_PER_S;
	limit_note_done(&up.limit, SHORT_US, LIMIT_OUTCOME_OK, 1, up.now_us);
	g_assert_cmpuint(limit_current(&up.limit), ==, SLOTS);
}

/* For any input the limit stays between 1 and the slots. */
static void test_limit_stays_in_bounds(void)
{
	struct limit limit;
	uint32_t slots = 1;
	int64_t now_us = 0;

	limit_init(&limit, &limit_adaptive, 0, now_us);
	for (int i = 0; i < 200000; i++) {
		int64_t latency_us = 1 << g_test_rand_int_range(0, 24);

		now_us += g_test_rand_int_range(0, 20000);
		if (g_test_rand_int_range(0, 1000) == 0) {
			slots = g_test_rand_int_range(1, 40);
			limit_set_slots(&limit, slots);
		}
		limit_note_done(&limit, latency_us >> (i / 1000 % 20),
				g_test_rand_int_range(0, 200) ?
					LIMIT_OUTCOME_OK :
					g_test_rand_int_range(0, 4),
				g_test_rand_int_range(1, 40), now_us);
		g_assert_cmpuint(limit_current(&limit), >=, 1);
		g_assert_cmpuint(limit_current(&limit), <=, slots);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/slow", test_slow_jobs_keep_their_slots);
	g_test_add_func("/limit/thrashing", test_thrashing_lowers_the_limit);
	g_test_add_func("/limit/shedding", test_shedding_cuts_once);
	g_test_add_func("/limit/trial-ends", test_trial_ends_when_traffic_stops);
	g_test_add_func("/limit/bounds", test_limit_stays_in_bounds);
	return g_test_run();
}
