#include <glib.h>

#include "comfreydockd/decide/pick.h"

#define MS ((int64_t)1000)

struct fixture {
	struct pick_set set;
	struct pick_candidate candidates[8];
	size_t count;
};

static const struct pick_policy *const policies[] = {
	&pick_random,	   &pick_round_robin, &pick_least_outstanding,
	&pick_two_choices, &pick_two_scores,  &pick_least_score,
};

static void set_up(struct fixture *f, const struct pick_policy *policy,
		   size_t count)
{
	pick_set_init(&f->set, policy, 1);
	f->count = count;
	for (size_t i = 0; i < count; i++) {
		pick_candidate_init(&f->candidates[i], i + 1);
		f->candidates[i].usable = true;
		f->candidates[i].slots = 10;
		pick_set_add(&f->set, &f->candidates[i]);
	}
}

static void tear_down(struct fixture *f)
{
	pick_set_finish(&f->set);
}

/* Sends calls that stay outstanding and counts where they go. */
static void send_calls(struct fixture *f, int calls, int64_t now_us, int *counts)
{
	struct pick_tried tried = {0};

	for (int i = 0; i < calls; i++) {
		struct pick_candidate *c = pick_choose(&f->set, &tried, now_us);

		pick_note_sent(&f->set, c);
		counts[c - f->candidates]++;
	}
}

/* Each call takes latency_us[i] at candidate i and carries no load report. */
static void run_calls(struct fixture *f, int calls, const int64_t *latency_us)
{
	for (int i = 0; i < calls; i++) {
		struct pick_candidate *c = &f->candidates[i % f->count];

		pick_note_sent(&f->set, c);
		pick_note_done(&f->set, c, latency_us[i % f->count], NULL, 0);
	}
}

/*
 * For any state of the set: a request must not go to the same upstream twice
 * nor to a draining one, and must not be refused while an upstream is ready.
 */
static void test_never_tried_or_unusable(void)
{
	for (int round = 0; round < 2000; round++) {
		struct fixture f;
		struct pick_tried tried = {0};

		set_up(&f, policies[g_test_rand_int_range(0, 6)],
		       (size_t)g_test_rand_int_range(0, 9));
		for (size_t i = 0; i < f.count; i++) {
			f.candidates[i].usable = g_test_rand_bit();
			f.candidates[i].local = g_test_rand_bit();
			f.candidates[i].warm_weight = g_test_rand_double();
			f.candidates[i].outstanding =
				(uint32_t)g_test_rand_int_range(0, 30);
		}
		while (pick_count_untried(&f.set, &tried) > 0) {
			struct pick_candidate *c =
				pick_choose(&f.set, &tried, round);

			g_assert_nonnull(c);
			g_assert_true(c->usable);
			g_assert_false(pick_tried_has(&tried, c->id));
			g_assert_true(pick_tried_add(&tried, c->id));
		}
		g_assert_null(pick_choose(&f.set, &tried, round));
		tear_down(&f);
	}
}

/*
 * A burst of a hundred calls reaches an entry before any answer comes back. If
 * it filled one upstream after the other, the callers of the first one would
 * wait while the last one is idle.
 */
static void test_burst_spreads(void)
{
	struct fixture f;
	int counts[8] = {0};

	set_up(&f, pick_default_policy, 5);
	send_calls(&f, 100, 0, counts);
	for (size_t i = 0; i < f.count; i++)
		g_assert_cmpint(counts[i], ==, 20);
	tear_down(&f);
}

/*
 * The owner reports six running requests, all from this entry. Added to the
 * entry's own count that would be twelve: the entry would avoid an upstream
 * that has room and overload the others.
 */
static void test_own_calls_count_once(void)
{
	struct fixture f;
	int counts[8] = {0};
	struct pick_load load = {.running = 6, .limit = 10};

	set_up(&f, pick_default_policy, 2);
	send_calls(&f, 12, 0, counts);
	pick_note_load(&f.set, &f.candidates[0], &load, 0);
	g_assert_cmpfloat_with_epsilon(
		pick_utilisation(&f.set, &f.candidates[0], 0), 0.7, 1e-9);
	tear_down(&f);
}

/*
 * Other entries have filled an upstream, which reported it a moment ago. An
 * entry that considers only its own calls would send there, and its caller
 * would wait. The report must not keep calls away long afterwards.
 */
static void test_reports_count_and_fade(void)
{
	struct fixture f;
	int counts[8] = {0};
	int later[8] = {0};
	struct pick_load full = {.running = 10, .queued = 3, .limit = 10};
	const int64_t quick[] = {5 * MS, 5 * MS, 5 * MS};

	set_up(&f, pick_default_policy, 3);
	run_calls(&f, 60, quick);
	pick_note_load(&f.set, &f.candidates[0], &full, 0);
	send_calls(&f, 10, 0, counts);
	g_assert_cmpint(counts[0], ==, 0);
	send_calls(&f, 6, 1000 * MS, later);
	g_assert_cmpint(later[0], >, 0);
	tear_down(&f);
}

/*
 * A neighbour on the same hardware makes one upstream ten times slower. With
 * equal shares every third caller would wait ten times as long; it is used only
 * once the others are nearly full.
 */
static void test_slow_upstream_gets_less(void)
{
	struct fixture f;
	int counts[8] = {0};
	const int64_t latency[] = {50 * MS, 5 * MS, 5 * MS};

	set_up(&f, pick_default_policy, 3);
	run_calls(&f, 300, latency);
	send_calls(&f, 16, 0, counts);
	g_assert_cmpint(counts[0], <=, 1);
	tear_down(&f);
}

/*
 * One of a hundred calls is a job of one second among calls of 5 ms. An
 * upstream that happens to run it is not slow, and its calls must not move to
 * the others.
 */
static void test_long_job_does_not_mark_upstream_slow(void)
{
	struct fixture f;
	const int64_t quick[] = {5 * MS, 5 * MS};

	set_up(&f, pick_default_policy, 2);
	run_calls(&f, 200, quick);
	pick_note_sent(&f.set, &f.candidates[0]);
	pick_note_done(&f.set, &f.candidates[0], 1000 * MS, NULL, 0);
	g_assert_cmpfloat(pick_relative_latency(&f.set, &f.candidates[0], 0), <,
			  1.11);
	tear_down(&f);
}

/*
 * An upstream fails each call within 0.1 ms. If that counted as its latency, it
 * would look fifty times faster than the others and attract all calls, and the
 * callers would get errors.
 */
static void test_quick_errors_do_not_attract_calls(void)
{
	struct fixture f;
	const int64_t quick[] = {5 * MS, 5 * MS};

	set_up(&f, pick_default_policy, 2);
	run_calls(&f, 200, quick);
	for (int i = 0; i < 50; i++) {
		pick_note_sent(&f.set, &f.candidates[0]);
		pick_note_failed(&f.set, &f.candidates[0], MS / 10, NULL, 0);
	}
	g_assert_cmpfloat(pick_relative_latency(&f.set, &f.candidates[0], 0), >,
			  0.9);
	tear_down(&f);
}

/*
 * Calls stay in their own failure domain while its upstream is known to have
 * room. If they stayed until it is full, or before anything is known about it,
 * the callers of a domain with one upstream and many entries would wait while
 * other domains are idle.
 */
static void test_spills_before_full(void)
{
	struct fixture f;
	int without_report[8] = {0};
	int counts[8] = {0};
	struct pick_load idle = {.limit = 10};

	set_up(&f, pick_default_policy, 4);
	f.candidates[0].local = true;
	send_calls(&f, 4, 0, without_report);
	g_assert_cmpint(without_report[0], ==, 1);
	pick_note_load(&f.set, &f.candidates[0], &idle, 0);
	send_calls(&f, 8, 0, counts);
	g_assert_cmpint(counts[0], ==, 8);
	send_calls(&f, 9, 0, counts);
	g_assert_cmpint(counts[0], ==, 8);
	tear_down(&f);
}

/* An upstream that has just started is slow and gets a share according to its
 * weight. */
static void test_warming_gets_its_weight(void)
{
	struct fixture f;
	int counts[8] = {0};

	set_up(&f, pick_default_policy, 3);
	f.candidates[0].warm_weight = 0.25;
	send_calls(&f, 90, 0, counts);
	g_assert_cmpint(counts[0], >=, 9);
	g_assert_cmpint(counts[0], <=, 11);
	tear_down(&f);
}

/*
 * All upstreams are full. Refusing a call at one only moves its wait to the
 * next one, at the cost of a message each: under overload the messages would be
 * most of the work. The first attempt must be queued instead.
 */
static void test_no_refusals_where_all_are_full(void)
{
	struct fixture f;
	struct pick_tried none = {0};
	struct pick_load full = {.running = 10, .queued = 1, .limit = 10};

	set_up(&f, pick_default_policy, 3);
	g_assert_false(pick_may_queue(&f.set, &f.candidates[0], &none, false, 0));
	g_assert_true(pick_may_queue(&f.set, &f.candidates[0], &none, true, 0));
	for (size_t i = 0; i < f.count; i++)
		pick_note_load(&f.set, &f.candidates[i], &full, 0);
	g_assert_true(pick_may_queue(&f.set, &f.candidates[0], &none, false, 0));
	tear_down(&f);
}

/*
 * Reports mislead: each claims free slots, and each attempt is refused. In any
 * window the refusals stay within the share of the requests plus the burst and
 * the attempts that were out at once.
 */
static void test_refusals_keep_their_budget(void)
{
	struct fixture f;
	struct pick_tried none = {0};
	struct pick_load free_slots = {.running = 0, .limit = 10};
	double refused = 0;
	double requests = 0;

	set_up(&f, pick_default_policy, 3);
	for (int i = 0; i < 20000; i++) {
		struct pick_candidate *c = pick_choose(&f.set, &none, i);

		if (g_test_rand_int_range(0, 4) == 0) {
			pick_note_request(&f.set);
			requests++;
		}
		if (pick_may_queue(&f.set, c, &none, false, i))
			continue;
		pick_note_sent(&f.set, c);
		pick_note_refused(&f.set, c, true, &free_slots, i);
		refused++;
		g_assert_cmpfloat(refused, <=,
				  f.set.busy_refusal_budget.burst +
					  f.set.busy_refusal_budget.share *
						  requests);
	}
	g_assert_cmpfloat(refused, >, requests / 4);
	tear_down(&f);
}

/*
 * One upstream of three has become ten times slower. An entry among hundreds
 * makes one call per second and has made none there since. One refusal from the
 * owner must be enough to keep its calls away, or one in three callers waits.
 */
static void test_reported_slowness_diverts_calls(void)
{
	const struct pick_load slow = {
		.running = 5, .limit = 10, .service_us = 100 * MS};
	const struct pick_load usual = {
		.running = 5, .limit = 10, .service_us = 10 * MS};
	struct fixture f;

	set_up(&f, &pick_least_score, 3);
	for (int i = 0; i < 30; i++)
		pick_note_load(&f.set, &f.candidates[1 + i % 2], &usual, 0);
	g_assert_cmpfloat(pick_relative_latency(&f.set, &f.candidates[0], 0),
			  ==, 1.0);
	pick_note_sent(&f.set, &f.candidates[0]);
	pick_note_refused(&f.set, &f.candidates[0], true, &slow, 0);
	g_assert_cmpfloat(pick_relative_latency(&f.set, &f.candidates[0], 0), >,
			  5.0);
	g_assert_cmpfloat(
		pick_relative_latency(&f.set, &f.candidates[0], 60000 * MS), <,
		2.0);
	tear_down(&f);
}

static void report(struct fixture *f, size_t i, uint32_t running,
		   uint32_t queued, uint32_t pace_percent)
{
	struct pick_load load = {
		.running = running,
		.queued = queued,
		.limit = 10,
		.pace_percent = pace_percent,
	};

	pick_note_load(&f->set, &f->candidates[i], &load, 0);
}

/*
 * One host runs seven times slower for a moment and is idle, as everybody
 * avoids it; the others are fast and just full. A request sent to the idle one
 * waits there beside free slots until the slow spell ends, and is refused in
 * the end; in the short queue of a fast one it starts with the next answer. The
 * slow host is the better choice only if the queues take longer than its
 * slowness costs.
 */
static void test_short_queue_before_slow_host(void)
{
	struct fixture f;
	int counts[8] = {0};

	set_up(&f, &pick_least_score, 3);
	report(&f, 0, 0, 0, 700);
	report(&f, 1, 10, 3, 100);
	report(&f, 2, 10, 3, 100);
	send_calls(&f, 6, 0, counts);
	g_assert_cmpint(counts[0], ==, 0);
	tear_down(&f);
	set_up(&f, &pick_least_score, 3);
	report(&f, 0, 0, 0, 700);
	report(&f, 1, 10, 100, 100);
	report(&f, 2, 10, 100, 100);
	counts[0] = 0;
	send_calls(&f, 1, 0, counts);
	g_assert_cmpint(counts[0], ==, 1);
	tear_down(&f);
}

/* Guards against a rush to the only unknown host while all others, just
 * started, are known to be slow. */
static void test_unknown_host_is_as_slow_as_the_others(void)
{
	struct pick_tried tried = {0};
	struct fixture f;
	int counts[8] = {0};

	set_up(&f, &pick_least_score, 8);
	for (size_t i = 0; i < 6; i++)
		report(&f, i, 3, 0, 200);
	report(&f, 6, 3, 0, 1400);
	g_assert_cmpuint(pick_other_pace(&f.set, &f.candidates[0], &tried, 0),
			 ==, 200);
	send_calls(&f, 40, 0, counts);
	g_assert_cmpint(counts[7], <=, 10);
	g_assert_cmpint(counts[6], ==, 0);
	tear_down(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pick/never-tried", test_never_tried_or_unusable);
	g_test_add_func("/pick/burst", test_burst_spreads);
	g_test_add_func("/pick/count-once", test_own_calls_count_once);
	g_test_add_func("/pick/reports", test_reports_count_and_fade);
	g_test_add_func("/pick/slow", test_slow_upstream_gets_less);
	g_test_add_func("/pick/long-job",
			test_long_job_does_not_mark_upstream_slow);
	g_test_add_func("/pick/fail-fast",
			test_quick_errors_do_not_attract_calls);
	g_test_add_func("/pick/spill", test_spills_before_full);
	g_test_add_func("/pick/warm", test_warming_gets_its_weight);
	g_test_add_func("/pick/overload", test_no_refusals_where_all_are_full);
	g_test_add_func("/pick/budget", test_refusals_keep_their_budget);
	g_test_add_func("/pick/reported-slow",
			test_reported_slowness_diverts_calls);
	g_test_add_func("/pick/short-queue-before-slow",
			test_short_queue_before_slow_host);
	g_test_add_func("/pick/unknown-as-slow-as-others",
			test_unknown_host_is_as_slow_as_the_others);
	return g_test_run();
}
