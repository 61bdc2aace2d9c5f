#include <glib.h>

#include "comfreydockd/decide/retry.h"

#define SECOND ((int64_t)1000 * 1000)

static struct random_state generator = {7};

/* Input that gets a retry; each test changes one field. */
static const struct retry_context retryable = {
	.outcome = RETRY_OUTCOME_UNKNOWN,
	.idempotent = true,
	.attempts = 1,
	.max_attempts = 3,
	.untried = 2,
	.deadline_us = 10 * SECOND,
};

static enum retry_verdict verdict_of(struct retry *retry,
				     const struct retry_context *context)
{
	return retry_decide(retry, context, &generator, 0).verdict;
}

/*
 * A connection breaks after a connect-through was sent. The request may have
 * run; a second one would bill the franchise twice.
 */
static void test_booking_is_not_repeated(void)
{
	struct retry retry;
	struct retry_context q = retryable;

	retry_init(&retry, 100);
	q.idempotent = false;
	g_assert_cmpint(verdict_of(&retry, &q), ==, RETRY_NO_UNSAFE);
	q.outcome = RETRY_OUTCOME_NOT_HERE;
	g_assert_cmpint(verdict_of(&retry, &q), ==, RETRY_GO);
	q.outcome = RETRY_OUTCOME_FINAL;
	g_assert_cmpint(verdict_of(&retry, &q), ==, RETRY_NO_FINAL);
}

/*
 * One of seven upstreams drains and refuses a seventh of all calls until every
 * entry knows about it. These refusals do no work: if they were charged to a
 * budget of 10% or counted as attempts, callers would be refused during a
 * planned change.
 */
static void test_drain_costs_no_budget(void)
{
	struct retry retry;
	struct retry_context q = retryable;

	retry_init(&retry, 0);
	q.outcome = RETRY_OUTCOME_NOT_HERE;
	q.max_attempts = 1;
	for (int i = 0; i < 1000; i++) {
		struct retry_decision a = retry_decide(&retry, &q, &generator, 0);

		g_assert_cmpint(a.verdict, ==, RETRY_GO);
		g_assert_cmpint(a.delay_us, ==, 0);
	}
}

/*
 * All upstreams are above their limits and give a retry time. A caller whose
 * deadline is earlier gets the final answer at once, with that time.
 */
static void test_refuses_at_once_with_retry_time(void)
{
	struct retry retry;
	struct retry_context q = retryable;
	struct retry_decision a;

	retry_init(&retry, 100);
	q.outcome = RETRY_OUTCOME_OVERLOAD;
	q.retry_after_us = 3 * SECOND;
	q.deadline_us = 2 * SECOND;
	a = retry_decide(&retry, &q, &generator, 0);
	g_assert_cmpint(a.verdict, ==, RETRY_NO_TIME);
	g_assert_cmpint(a.delay_us, ==, 0);
	g_assert_cmpint(a.come_back_us, >=, 3 * SECOND);
}

/*
 * A burst of a thousand calls is refused within a few milliseconds, each with a
 * hint of one second. If all callers came back at that time, they would be
 * refused again.
 */
static void test_retry_times_are_spread(void)
{
	struct retry retry;
	struct retry_context q = retryable;
	int early = 0;

	retry_init(&retry, 0);
	q.outcome = RETRY_OUTCOME_OVERLOAD;
	q.retry_after_us = SECOND;
	for (int i = 0; i < 1000; i++) {
		int64_t us = retry_decide(&retry, &q, &generator, 0).come_back_us;

		g_assert_cmpint(us, >=, SECOND);
		g_assert_cmpint(us, <, 2 * SECOND);
		early += us < SECOND + SECOND / 4;
	}
	g_assert_cmpint(early, >, 400);
	g_assert_cmpint(early, <, 600);
}

/*
 * The lowest of 13 layers fails for a moment. If each layer retried as much as
 * the first one, the calls to the lowest would nearly quadruple; deep retries
 * therefore cost more.
 */
static void test_deep_calls_retry_less(void)
{
	struct retry top, deep;
	struct retry_context q = retryable;
	int retries_top = 0, retries_deep = 0;

	retry_init(&top, 10);
	retry_init(&deep, 10);
	for (int i = 0; i < 10000; i++) {
		retry_note_request(&top, 0);
		retry_note_request(&deep, 0);
		q.depth = 0;
		retries_top += verdict_of(&top, &q) == RETRY_GO;
		q.depth = 13;
		retries_deep += verdict_of(&deep, &q) == RETRY_GO;
	}
	g_assert_cmpint(retries_top, >, 1000);
	g_assert_cmpint(retries_deep, <, 80);
	g_assert_cmpint(retries_deep, >, 60);
}

static struct retry_context random_context(int64_t now_us)
{
	return (struct retry_context){
		.outcome = (enum retry_outcome)g_test_rand_int_range(0, 7),
		.idempotent = g_test_rand_bit(),
		.answer_begun = g_test_rand_int_range(0, 8) == 0,
		.attempts = (uint32_t)g_test_rand_int_range(1, 5),
		.max_attempts = (uint32_t)g_test_rand_int_range(1, 6),
		.untried = (size_t)g_test_rand_int_range(0, 4),
		.depth = (uint32_t)g_test_rand_int_range(0, 14),
		.deadline_us = now_us + g_test_rand_int_range(-1000, 500000),
		.expected_us = g_test_rand_int_range(0, 50000),
		.retry_after_us = g_test_rand_int_range(0, 50000),
	};
}

static void check_answer(const struct retry_context *q,
			 const struct retry_decision *a, int64_t now_us)
{
	if (a->verdict != RETRY_GO) {
		g_assert_cmpint(a->come_back_us, >, 0);
		return;
	}
	g_assert_false(q->answer_begun);
	g_assert_cmpuint(q->untried, >, 0);
	if (retry_counts(q->outcome))
		g_assert_cmpuint(q->attempts, <, q->max_attempts);
	g_assert_cmpint(q->outcome, !=, RETRY_OUTCOME_ANSWERED);
	g_assert_cmpint(q->outcome, !=, RETRY_OUTCOME_FINAL);
	g_assert_true(q->idempotent || q->outcome != RETRY_OUTCOME_UNKNOWN);
	g_assert_cmpint(now_us + a->delay_us + q->expected_us, <, q->deadline_us);
}

/*
 * For any outcome of an attempt: a request that may have run is repeated only
 * if it is idempotent, nothing is repeated past its deadline, and in any window
 * of calls the tokens spent stay within the burst plus the share of the
 * window's calls.
 */
static void test_rules_hold_for_any_input(void)
{
	enum {
		CALLS = 4000,
		PERCENT = 20
	};
	static double spent[CALLS + 1];
	struct retry retry;
	double worst = 0;

	retry_init(&retry, PERCENT);
	for (int i = 0; i < CALLS; i++) {
		struct retry_context q = random_context(i);
		struct retry_decision a;
		double before;

		retry_note_request(&retry, i);
		before = retry.budget.tokens;
		a = retry_decide(&retry, &q, &generator, i);
		check_answer(&q, &a, i);
		spent[i + 1] = spent[i] + before - retry.budget.tokens;
	}
	for (int from = 0; from < CALLS; from++) {
		for (int to = from + 1; to <= CALLS; to++)
			worst = MAX(worst, spent[to] - spent[from] -
						   (to - from) * PERCENT / 100.0);
	}
	g_assert_cmpfloat(worst, <=, RETRY_BURST + 1e-6);
	g_assert_cmpfloat(spent[CALLS], >, CALLS * PERCENT / 200.0);
}

/*
 * Seventy daemons share one retry budget. If each used all of it, a failing
 * upstream would get seventy times as many retries, just when it can least
 * handle them.
 */
static void test_shared_budget_holds_for_all(void)
{
	static const size_t daemons[] = {1, 11, 70, 500};

	for (size_t i = 0; i < G_N_ELEMENTS(daemons); i++) {
		struct random_state random = {.state = 1};
		struct retry *all = g_new0(struct retry, daemons[i]);
		unsigned int repeats = 0;
		unsigned int requests = 30000;

		for (size_t d = 0; d < daemons[i]; d++)
			retry_set_shared(&all[d], 20, 56, daemons[i]);
		for (unsigned int n = 0; n < requests; n++) {
			struct retry *retry = &all[n % daemons[i]];
			struct retry_context context = {
				.outcome = RETRY_OUTCOME_UNKNOWN,
				.idempotent = true,
				.attempts = 1,
				.max_attempts = 3,
				.untried = 3,
				.deadline_us = 1000 * 1000,
			};

			retry_note_request(retry, 0);
			repeats +=
				retry_decide(retry, &context, &random, 0).verdict ==
				RETRY_GO;
		}
		g_assert_cmpuint(repeats, >, 0);
		g_assert_cmpuint(repeats, <=, requests / 5 + MAX(56, daemons[i]));
		g_free(all);
	}
}

/* Guards against callers that wait until their deadlines when several hosts
 * fail at once, while the shared budget of all daemons is hardly used. */
static void test_shared_budget_serves_a_burst(void)
{
	struct random_state random = {.state = 1};
	struct retry retry = {0};
	int64_t now = 100 * SECOND;
	int repeats = 0;

	retry_set_shared(&retry, 20, 630, 295);
	for (int i = 0; i < 60; i++) {
		now += SECOND / 6;
		retry_note_request(&retry, now);
	}
	for (int i = 0; i < 10; i++) {
		struct retry_context context = retryable;

		context.deadline_us = now + 10 * SECOND;
		repeats += retry_decide(&retry, &context, &random, now).verdict ==
			   RETRY_GO;
	}
	g_assert_cmpint(repeats, >=, 4);
	g_assert_cmpint(repeats, <=, 5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/booking", test_booking_is_not_repeated);
	g_test_add_func("/retry/drain", test_drain_costs_no_budget);
	g_test_add_func("/retry/retry-time",
			test_refuses_at_once_with_retry_time);
	g_test_add_func("/retry/depth", test_deep_calls_retry_less);
	g_test_add_func("/retry/any", test_rules_hold_for_any_input);
	g_test_add_func("/retry/spread", test_retry_times_are_spread);
	g_test_add_func("/retry/shared", test_shared_budget_holds_for_all);
	g_test_add_func("/retry/shared-burst", test_shared_budget_serves_a_burst);
	return g_test_run();
}
