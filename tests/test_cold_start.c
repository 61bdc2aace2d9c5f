#include <glib.h>

#include "comfreydockd/decide/cold_start.h"
#include "comfreydockd/decide/random.h"
#include "common/clock.h"

/* What the operator states: 11 requests a second, by factor 1.5 at most. */
#define PER_S 11.0
#define OVERAGE 1.5
#define LIMIT 16
#define COLD_MS 3000
#define STARTS_MAX 4096

/* All starts of a run, and whether any second had more than allowed. */
struct starts {
	int64_t at_us[STARTS_MAX];
	unsigned int count;
};

static void add_start(struct starts *starts, int64_t now_us)
{
	g_assert_cmpuint(starts->count, <, STARTS_MAX);
	starts->at_us[starts->count++] = now_us;
}

/* RETURN VALUE: the most starts in any second from from_us on. */
static unsigned int busiest_second(const struct starts *starts, int64_t from_us)
{
	unsigned int most = 0;

	for (unsigned int i = 0; i < starts->count; i++) {
		unsigned int count = 0;

		if (starts->at_us[i] < from_us)
			continue;
		while (i + count < starts->count &&
		       starts->at_us[i + count] < starts->at_us[i] + US_PER_S)
			count++;
		most = MAX(most, count);
	}
	return most;
}

static void configure(struct cold_start *cold, double per_s)
{
	struct cold_start_options options = {
		.per_s = per_s,
		.overage = OVERAGE,
		.duration_ms = COLD_MS,
	};

	cold_start_configure(cold, &options);
}

static void send(struct cold_start *cold, int64_t now_us)
{
	cold_start_begin(cold);
	cold_start_note_arrived(cold, now_us);
}

static void offer(struct cold_start *cold, struct starts *starts, int64_t now_us)
{
	if (cold_start_wait_us(cold, 0, now_us) > 0)
		return;
	send(cold, now_us);
	add_start(starts, now_us);
}

static struct cold_start create(int64_t now_us)
{
	struct cold_start cold;

	cold_start_init(&cold, now_us);
	configure(&cold, PER_S);
	return cold;
}

/* Guards against a cold upstream that crashes as a burst of retries reaches
 * it. */
static void test_burst_is_limited_in_each_second(void)
{
	struct random_state random = {.state = 7};
	struct cold_start cold = create(-10 * US_PER_S);
	struct starts starts = {.count = 0};

	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	for (int64_t now = 0; now < COLD_MS * US_PER_MS;
	     now += (int64_t)random_below(&random, 20 * US_PER_MS))
		offer(&cold, &starts, now);
	g_assert_cmpuint(busiest_second(&starts, 0), ==, LIMIT);
	/* The limit is used: a start in each place of each window. */
	g_assert_cmpuint(starts.count, >=, 2 * LIMIT);
	cold_start_finish(&cold);
}

/* Guards against requests that were started just before the upstream became
 * cold and are not counted: together with the next ones they exceed what it
 * tolerates. */
static void test_starts_before_cold_count(void)
{
	struct cold_start cold = create(-10 * US_PER_S);
	struct starts starts = {.count = 0};
	int64_t now = 0;

	cold_start_note_heartbeat(&cold, 0, now);
	for (; now < US_PER_S; now += 18 * US_PER_MS)
		offer(&cold, &starts, now);
	cold_start_note_health(&cold, COLD_MS, now);
	for (; now < 4 * US_PER_S; now += 18 * US_PER_MS)
		offer(&cold, &starts, now);
	/* The upstream became cold 250 ms before its owner learned of it. */
	g_assert_cmpuint(busiest_second(&starts, 750 * US_PER_MS), <=, LIMIT);
	cold_start_finish(&cold);
}

/* Guards against a daemon that is restarted beside a cold upstream and doesn't
 * know what its predecessor started there. */
static void test_restart_counts_unknown_starts(void)
{
	struct starts starts = {.count = 0};
	struct cold_start cold = create(-10 * US_PER_S);
	int64_t now = 0;

	cold_start_note_heartbeat(&cold, COLD_MS, now);
	for (; now < 300 * US_PER_MS; now += US_PER_MS)
		offer(&cold, &starts, now);
	cold_start_finish(&cold);
	cold = create(now);
	cold_start_note_heartbeat(&cold, COLD_MS, now);
	for (; now < 3 * US_PER_S; now += US_PER_MS)
		offer(&cold, &starts, now);
	g_assert_cmpuint(busiest_second(&starts, 0), <=, LIMIT);
	cold_start_finish(&cold);
}

/* Guards against a daemon that sends nothing for a second after the power came
 * back to its host: its upstream became cold after the daemon's own start, so
 * nothing was sent to it before. */
static void test_upstream_started_later_starts_at_once(void)
{
	struct cold_start cold = create(0);

	cold_start_note_heartbeat(&cold, COLD_MS - 5, 20 * US_PER_MS);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, 20 * US_PER_MS), >, 0);
	cold_start_note_health(&cold, COLD_MS - 5, 20 * US_PER_MS);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, 20 * US_PER_MS), ==, 0);
	cold_start_finish(&cold);
}

/* Guards against requests that wait for a connection, and then reach a cold
 * upstream together with those that were started later. */
static void test_requests_on_their_way_count(void)
{
	struct cold_start cold = create(-10 * US_PER_S);
	int64_t now = 2 * US_PER_S;

	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	for (unsigned int i = 0; i < LIMIT; i++)
		cold_start_begin(&cold);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, now), >, 0);
	cold_start_note_unsent(&cold);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, now), ==, 0);
	cold_start_finish(&cold);
}

/* An upstream that replaced another one has got nothing yet. */
static void test_replaced_upstream_starts_at_once(void)
{
	struct cold_start cold = create(0);

	cold_start_note_heartbeat(&cold, COLD_MS, US_PER_MS);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, US_PER_MS), >, 0);
	cold_start_forget(&cold);
	cold_start_note_heartbeat(&cold, COLD_MS, US_PER_MS);
	g_assert_cmpint(cold_start_wait_us(&cold, LIMIT - 1, US_PER_MS), ==, 0);
	g_assert_cmpint(cold_start_wait_us(&cold, LIMIT, US_PER_MS), >, 0);
	cold_start_finish(&cold);
}

/* Guards against a late heartbeat, sent before the upstream became cold, that
 * ends the limit. */
static void test_late_heartbeat_ends_nothing(void)
{
	struct cold_start cold = create(-10 * US_PER_S);

	cold_start_note_health(&cold, COLD_MS, 0);
	cold_start_note_heartbeat(&cold, 0, US_PER_MS);
	g_assert_true(cold_start_is_limiting(&cold, 2 * US_PER_MS));
	cold_start_note_health(&cold, 0, 3 * US_PER_MS);
	g_assert_false(cold_start_is_limiting(&cold, 4 * US_PER_MS));
	cold_start_finish(&cold);
}

/* Requests that wait are told when they may start; nobody waits for longer than
 * the upstream is cold. */
static void test_wait_is_when_the_start_is_allowed(void)
{
	struct cold_start cold = create(-10 * US_PER_S);
	int64_t wait_us;

	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	for (unsigned int i = 0; i < LIMIT; i++)
		send(&cold, i * US_PER_MS);
	wait_us = cold_start_wait_us(&cold, 3, 100 * US_PER_MS);
	g_assert_cmpint(wait_us, ==,
			COLD_START_WINDOW_US + 3 * US_PER_MS - 100 * US_PER_MS);
	wait_us = cold_start_wait_us(&cold, 10 * LIMIT, 100 * US_PER_MS);
	g_assert_cmpint(wait_us, ==,
			(COLD_MS - 100) * US_PER_MS + COLD_START_ROUNDING_US);
	cold_start_finish(&cold);
}

/* Without a figure of the operator nothing is limited, and one that is set later
 * counts the starts that were not recorded. */
static void test_limit_set_later(void)
{
	struct cold_start cold;

	cold_start_init(&cold, -10 * US_PER_S);
	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	g_assert_false(cold_start_is_limiting(&cold, 0));
	send(&cold, 0);
	configure(&cold, PER_S);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, US_PER_MS), ==,
			COLD_START_WINDOW_US - US_PER_MS);
	configure(&cold, 0);
	g_assert_cmpint(cold_start_wait_us(&cold, 0, US_PER_MS), ==, 0);
	cold_start_finish(&cold);
}

/* Guards against an allowance of the operator that is left unused, or exceeded. */
static void test_allowance_is_rate_overage_and_slack(void)
{
	struct cold_start_options options = {
		.per_s = PER_S,
		.overage = OVERAGE,
		.slack = 8,
	};
	struct cold_start cold = create(-10 * US_PER_S);

	cold_start_configure(&cold, &options);
	cold_start_forget(&cold);
	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	g_assert_cmpint(cold_start_wait_us(&cold, 23, 0), ==, 0);
	g_assert_cmpint(cold_start_wait_us(&cold, 24, 0), >, 0);
	cold_start_finish(&cold);
}

/* Entries see as many slots as the limit keeps busy. */
static void test_slots_follow_the_limit(void)
{
	struct cold_start cold = create(-10 * US_PER_S);

	cold_start_note_heartbeat(&cold, COLD_MS, 0);
	g_assert_cmpuint(cold_start_slots(&cold, 9, 10 * US_PER_MS, 0), ==, 1);
	g_assert_cmpuint(cold_start_slots(&cold, 9, 200 * US_PER_MS, 0), ==, 3);
	g_assert_cmpuint(cold_start_slots(&cold, 9, US_PER_S, 0), ==, 9);
	g_assert_cmpuint(
		cold_start_slots(&cold, 9, 0,
				 COLD_MS * US_PER_MS + COLD_START_ROUNDING_US),
		==, 9);
	cold_start_finish(&cold);
}

/* Guards against a limit that ends a moment before the upstream is warm, as the
 * time that it states is rounded down: all that waited reaches it at once. */
static void test_limit_lasts_until_the_upstream_is_warm(void)
{
	struct random_state random = {.state = 17};
	int64_t warm_us = COLD_MS * US_PER_MS;

	for (int i = 0; i < 1000; i++) {
		struct cold_start cold = create(-10 * US_PER_S);
		int64_t now = (int64_t)random_below(
			&random, (uint64_t)(warm_us - US_PER_MS));
		uint32_t stated_ms = (uint32_t)((warm_us - now) / US_PER_MS);

		if (i % 2)
			cold_start_note_health(&cold, stated_ms, now);
		else
			cold_start_note_heartbeat(&cold, stated_ms, now);
		g_assert_true(cold_start_is_limiting(&cold, warm_us - 1));
		/* What is left is less than a millisecond. */
		cold_start_note_health(&cold, 0, warm_us - 400);
		g_assert_true(cold_start_is_limiting(&cold, warm_us - 1));
		g_assert_false(cold_start_is_limiting(
			&cold, warm_us + 2 * COLD_START_ROUNDING_US));
		cold_start_finish(&cold);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cold-start/burst",
			test_burst_is_limited_in_each_second);
	g_test_add_func("/cold-start/before", test_starts_before_cold_count);
	g_test_add_func("/cold-start/restart",
			test_restart_counts_unknown_starts);
	g_test_add_func("/cold-start/started-later",
			test_upstream_started_later_starts_at_once);
	g_test_add_func("/cold-start/on-way", test_requests_on_their_way_count);
	g_test_add_func("/cold-start/replaced",
			test_replaced_upstream_starts_at_once);
	g_test_add_func("/cold-start/late-heartbeat",
			test_late_heartbeat_ends_nothing);
	g_test_add_func("/cold-start/wait",
			test_wait_is_when_the_start_is_allowed);
	g_test_add_func("/cold-start/set-later", test_limit_set_later);
	g_test_add_func("/cold-start/slots", test_slots_follow_the_limit);
	g_test_add_func("/cold-start/warm",
			test_limit_lasts_until_the_upstream_is_warm);
	g_test_add_func("/cold-start/allowance",
			test_allowance_is_rate_overage_and_slack);
	return g_test_run();
}
