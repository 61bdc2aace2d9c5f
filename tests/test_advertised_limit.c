#include <glib.h>

#include "comfreydockd/decide/advertised_limit.h"
#include "comfreydockd/decide/random.h"
#include "common/clock.h"

#define STARTS_MAX 131072
/* The span in which upstreams count what they get. */
#define SPAN_US (4 * US_PER_S)

struct starts {
	int64_t at_us[STARTS_MAX];
	unsigned int count;
};

static struct starts starts;

static struct advertised_limit create(int64_t now_us)
{
	struct advertised_limit limit;

	starts.count = 0;
	advertised_limit_init(&limit, now_us);
	advertised_limit_reset(&limit, false);
	return limit;
}

static void offer(struct advertised_limit *limit, int64_t now_us)
{
	if (advertised_limit_wait_us(limit, 0, now_us) > 0)
		return;
	advertised_limit_note_start(limit, now_us);
	g_assert_cmpuint(starts.count, <, STARTS_MAX);
	starts.at_us[starts.count++] = now_us;
}

/* Offers requests at random moments, mean_us apart. */
static void offer_from_to(struct advertised_limit *limit, int64_t from_us,
			  int64_t to_us, int64_t mean_us)
{
	static struct random_state random = {.state = 29};

	for (int64_t now = from_us; now < to_us;
	     now += (int64_t)random_below(&random, 2 * (uint64_t)mean_us))
		offer(limit, now);
}

/* RETURN VALUE: the most starts in any SPAN_US. */
static unsigned int busiest_span(void)
{
	unsigned int most = 0;
	unsigned int first = 0;

	for (unsigned int i = 0; i < starts.count; i++) {
		while (starts.at_us[i] - starts.at_us[first] >= SPAN_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* RETURN VALUE: the most requests that an upstream tolerates in a span: one and
 * a half times what its limit allows, and 5. */
static unsigned int tolerated(double per_s)
{
	return (unsigned int)(per_s * 1.5 * SPAN_US / US_PER_S) + 5;
}

/* Guards against an upstream in need that gets more than it takes, for limits of
 * any size. What it takes is used. */
static void test_limit_is_kept_and_used(void)
{
	static const double rates[] = {0.3,  1,	  2.5,	2.8, 7,
				       33.3, 200, 2000, 6000};

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct advertised_limit limit = create(0);
		double most = rates[i] * 20;

		g_assert_true(advertised_limit_note(&limit, rates[i]));
		offer_from_to(&limit, 0, 20 * US_PER_S, 50);
		g_assert_cmpuint(busiest_span(), <=, tolerated(rates[i]));
		g_assert_cmpfloat(starts.count, >=, most * 0.95 - 1);
		advertised_limit_finish(&limit);
	}
}

/* Guards against a limit that counts only from when it was stated: the requests
 * that filled the slots until then come on top. */
static void test_requests_before_the_limit_count(void)
{
	struct advertised_limit limit = create(0);

	offer_from_to(&limit, 0, 400 * US_PER_MS, 20 * US_PER_MS);
	g_assert_cmpuint(starts.count, >, 10);
	advertised_limit_note(&limit, 2.5);
	g_assert_cmpint(advertised_limit_wait_us(&limit, 0, 400 * US_PER_MS), >,
			US_PER_S);
	advertised_limit_finish(&limit);
}

/* Guards against a daemon that is restarted beside a limited upstream and doesn't
 * know what its predecessor sent. */
static void test_restart_counts_unknown_requests(void)
{
	struct advertised_limit limit;

	advertised_limit_init(&limit, 0);
	advertised_limit_reset(&limit, true);
	advertised_limit_note(&limit, 2);
	g_assert_cmpint(advertised_limit_wait_us(&limit, 0, 0), ==, US_PER_S);
	advertised_limit_finish(&limit);
}

/* Guards against a limit of 0 that holds for good: no answer could end it. */
static void test_limit_of_none_lets_some_through(void)
{
	struct advertised_limit limit = create(0);

	g_assert_true(advertised_limit_note(&limit, 0));
	offer_from_to(&limit, 0, 20 * US_PER_S, US_PER_MS);
	g_assert_cmpuint(starts.count, ==, 5);
	g_assert_true(advertised_limit_end(&limit));
	g_assert_cmpint(advertised_limit_wait_us(&limit, 0, 20 * US_PER_S), ==,
			0);
	advertised_limit_finish(&limit);
}

/* An answer that repeats the limit changes nothing, another one does. */
static void test_limit_changes(void)
{
	struct advertised_limit limit = create(0);

	g_assert_false(advertised_limit_end(&limit));
	g_assert_true(advertised_limit_note(&limit, 2));
	g_assert_false(advertised_limit_note(&limit, 2));
	offer(&limit, 0);
	offer(&limit, 0);
	g_assert_cmpint(advertised_limit_wait_us(&limit, 0, 0), ==, US_PER_S);
	g_assert_true(advertised_limit_note(&limit, 4));
	g_assert_cmpint(advertised_limit_wait_us(&limit, 1, 0), ==, 0);
	g_assert_cmpint(advertised_limit_wait_us(&limit, 2, 0), ==, US_PER_S);
	advertised_limit_reset(&limit, false);
	g_assert_false(advertised_limit_applies(&limit));
	advertised_limit_finish(&limit);
}

/* Entries see as many slots as the limit keeps busy. */
static void test_slots_follow_the_limit(void)
{
	struct advertised_limit limit = create(0);

	g_assert_cmpuint(advertised_limit_slots(&limit, 9, US_PER_S), ==, 9);
	advertised_limit_note(&limit, 5);
	g_assert_cmpuint(advertised_limit_slots(&limit, 9, 10 * US_PER_MS), ==,
			 1);
	g_assert_cmpuint(advertised_limit_slots(&limit, 9, US_PER_S), ==, 5);
	advertised_limit_finish(&limit);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/advertised-limit/kept", test_limit_is_kept_and_used);
	g_test_add_func("/advertised-limit/before",
			test_requests_before_the_limit_count);
	g_test_add_func("/advertised-limit/restart",
			test_restart_counts_unknown_requests);
	g_test_add_func("/advertised-limit/none",
			test_limit_of_none_lets_some_through);
	g_test_add_func("/advertised-limit/changes", test_limit_changes);
	g_test_add_func("/advertised-limit/slots", test_slots_follow_the_limit);
	return g_test_run();
}
