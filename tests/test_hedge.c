#include <glib.h>

#include "comfreydockd/decide/hedge.h"

#define MS ((int64_t)1000)

static const struct hedge_context valid = {
	.enabled = true,
	.idempotent = true,
	.untried = 1,
	.deadline_us = 1000 * MS,
};

/* Of each hundred calls ninety take 5 ms and ten take 100 ms. */
static void set_up(struct hedge *hedge, uint32_t percent)
{
	hedge_init(hedge, percent);
	for (int i = 0; i < 1000; i++)
		hedge_note_latency(hedge, i % 10 ? 5 * MS : 100 * MS);
}

/*
 * One lookup in ten meets a pause of 100 ms. The hedge is sent once the call
 * takes longer than nineteen of twenty calls, so not for common calls.
 */
static void test_waits_for_the_percentile(void)
{
	struct hedge hedge;
	int64_t delay;

	set_up(&hedge, 10);
	delay = hedge_delay_us(&hedge, &valid, 0);
	g_assert_cmpint(delay, >=, 100 * MS);
	g_assert_cmpint(delay, <=, 110 * MS);
}

/* A service that has just started knows no percentile. A guess that is too low
 * would double its load. */
static void test_no_hedge_without_samples(void)
{
	struct hedge hedge;

	hedge_init(&hedge, 10);
	hedge_note_latency(&hedge, 5 * MS);
	g_assert_cmpint(hedge_delay_us(&hedge, &valid, 0), ==, -1);
}

/*
 * For any input: a request that is not idempotent is never sent twice, no hedge
 * is sent that cannot end in time or has no untried upstream, and the hedges
 * stay within their budget from the start.
 */
static void test_rules_hold_for_any_input(void)
{
	struct hedge hedge;
	double spent = 0;

	set_up(&hedge, 5);
	for (int i = 0; i < 20000; i++) {
		struct hedge_context q = {
			.enabled = g_test_rand_bit(),
			.idempotent = g_test_rand_bit(),
			.answer_begun = g_test_rand_int_range(0, 5) == 0,
			.hedges = (uint32_t)g_test_rand_int_range(0, 2),
			.untried = (size_t)g_test_rand_int_range(0, 3),
			.depth = (uint32_t)g_test_rand_int_range(0, 4),
			.deadline_us = g_test_rand_int_range(0, 300000),
		};
		bool allowed = q.enabled && q.idempotent && !q.answer_begun &&
			       q.hedges == 0 && q.untried > 0 &&
			       q.deadline_us > 5 * MS;

		hedge_note_request(&hedge);
		if (hedge_delay_us(&hedge, &q, 0) >= 0)
			g_assert_true(allowed);
		if (!hedge_take(&hedge, &q, 0))
			continue;
		g_assert_true(allowed);
		spent += 1 + q.depth;
		g_assert_cmpfloat(spent, <=, HEDGE_BURST + 0.05 * (i + 1) + 1e-6);
	}
	g_assert_cmpfloat(spent, >, 500);
}

static int count_hedges(struct hedge *hedge, int calls, bool won)
{
	int hedges = 0;

	for (int i = 0; i < calls; i++) {
		hedge_note_request(hedge);
		if (!hedge_take(hedge, &valid, 0))
			continue;
		hedges++;
		hedge_note_race(hedge, won);
	}
	return hedges;
}

/*
 * The slow calls of a service are slow because their work is long. A hedge does
 * all the work again and ends even later; it takes a slot that somebody waits
 * for, and nobody gets an answer sooner.
 */
static void test_losing_hedges_are_few(void)
{
	struct hedge losing;
	struct hedge winning;
	int losing_count;

	set_up(&losing, 10);
	set_up(&winning, 10);
	losing_count = count_hedges(&losing, 10000, false);
	g_assert_cmpint(losing_count, >, 100);
	g_assert_cmpint(losing_count, <, 300);
	g_assert_cmpint(count_hedges(&winning, 10000, true), >, 900);
	/* The upstreams change, and hedges that win again are detected. */
	count_hedges(&losing, 1000, true);
	g_assert_cmpint(count_hedges(&losing, 10000, true), >, 900);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hedge/percentile", test_waits_for_the_percentile);
	g_test_add_func("/hedge/samples", test_no_hedge_without_samples);
	g_test_add_func("/hedge/any", test_rules_hold_for_any_input);
	g_test_add_func("/hedge/losing", test_losing_hedges_are_few);
	return g_test_run();
}
