#include <glib.h>

#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/random.h"

#define MS ((int64_t)1000)
#define SPELL_US (500 * MS)
#define FAST 100
#define SLOW 700

static struct pace pace_after_report(uint32_t percent, int64_t at_us)
{
	struct pace pace = {0};

	pace_note(&pace, FAST, at_us - 2 * MS);
	pace_note(&pace, percent, at_us);
	return pace;
}

static struct pace_item item_of(int64_t work_ms, int64_t target_ms,
				int64_t deadline_ms)
{
	return (struct pace_item){
		.work_us = work_ms * MS,
		.target_us = target_ms * MS,
		.deadline_us = deadline_ms * MS,
	};
}

/*
 * A neighbour on the same host takes the processor for half a second. Work that
 * starts meanwhile takes seven times as long: the caller waits 420 ms instead
 * of 60 ms, while other hosts have free slots.
 */
static void test_slow_host_refuses(void)
{
	struct pace pace = pace_after_report(SLOW, 10 * MS);
	struct pace_item item = item_of(60, 200, 500);

	item.may_turn_back = true;
	item.best_other_percent = FAST;
	g_assert_cmpint(pace_judge(&pace, &item, 10 * MS), ==, PACE_TURN_BACK);
	/* All others are as slow: turning back would only cost the round
	 * trip. */
	item.best_other_percent = SLOW;
	g_assert_cmpint(pace_judge(&pace, &item, 10 * MS), ==, PACE_HOLD);
}

static void test_last_host_holds_then_starts(void)
{
	struct pace pace = pace_after_report(SLOW, 10 * MS);
	struct pace_item item = item_of(60, 200, 600);

	g_assert_cmpint(pace_judge(&pace, &item, 100 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 140 * MS), ==, PACE_HOLD);
	/* It is late in any case, and 420 ms still fit before the deadline. */
	g_assert_cmpint(pace_judge(&pace, &item, 150 * MS), ==, PACE_START);
	/* 420 ms no longer fit, but the spell may end. */
	g_assert_cmpint(pace_judge(&pace, &item, 200 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 560 * MS), ==, PACE_TOO_LATE);
	pace_note(&pace, FAST, 180 * MS);
	g_assert_cmpint(pace_judge(&pace, &item, 180 * MS), ==, PACE_START);
}

/* Short work meets its target even in a slow spell and gains nothing by
 * waiting. */
static void test_short_work_starts_in_a_slow_spell(void)
{
	struct pace pace = pace_after_report(SLOW, 10 * MS);
	struct pace_item item = item_of(15, 200, 500);

	g_assert_cmpint(pace_judge(&pace, &item, 10 * MS), ==, PACE_START);
}

/*
 * A service has one upstream left, and most of its slots are busy. Each request
 * that starts in a slow spell occupies its slot seven times as long, so that
 * callers of the next seconds find no free slot.
 */
static void test_scarce_slots_are_not_given_to_slow_work(void)
{
	struct pace pace = pace_after_report(SLOW, 10 * MS);
	struct pace_item item = item_of(55, 150, 600);

	g_assert_cmpint(pace_judge(&pace, &item, 150 * MS), ==, PACE_START);
	item.slots_scarce = true;
	g_assert_cmpint(pace_judge(&pace, &item, 150 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 500 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 520 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 550 * MS), ==, PACE_TOO_LATE);
}

/*
 * All hosts have just been started, and each takes twice as long for three
 * seconds. If that counted as a slow spell, each host would turn back requests
 * that all others turn back too, and hold them for an end that does not come.
 */
static void test_cold_start_is_not_a_slow_spell(void)
{
	struct pace pace = {0};
	struct pace_item item = item_of(60, 200, 500);

	for (int64_t at = 0; at < 1000 * MS; at += 20 * MS)
		pace_note(&pace, 200, at);
	g_assert_false(pace_is_slow(&pace));
	item.may_turn_back = true;
	item.best_other_percent = 200;
	g_assert_cmpint(pace_judge(&pace, &item, 20 * MS), ==, PACE_START);
	pace_note(&pace, 1400, 1000 * MS);
	g_assert_true(pace_is_slow(&pace));
	/* A host that stays slower has a new usual pace. */
	for (int64_t at = 1000 * MS; at < 5000 * MS; at += 20 * MS)
		pace_note(&pace, 1400, at);
	g_assert_false(pace_is_slow(&pace));
}

/* Guards against work that is started in vain on a host that has just been
 * started and whose first reports come from a slow spell. */
static void test_first_report_may_be_from_a_slow_spell(void)
{
	struct pace pace = {0};
	struct pace_item item = item_of(0, 1200, 2000);

	pace_note(&pace, 1400, 0);
	g_assert_cmpint(pace_judge(&pace, &item, 1 * MS), ==, PACE_HOLD);
	item.work_us = 340 * MS;
	g_assert_cmpint(pace_judge(&pace, &item, 1 * MS), ==, PACE_HOLD);
	g_assert_cmpint(pace_judge(&pace, &item, 1700 * MS), ==, PACE_TOO_LATE);
	/* This work is short enough even at the slow pace. */
	item.work_us = 40 * MS;
	g_assert_cmpint(pace_judge(&pace, &item, 1 * MS), ==, PACE_START);
	/* The spell is over; twice the nominal time counts as normal
	 * after a start. */
	item.work_us = 0;
	pace_note(&pace, 200, 500 * MS);
	g_assert_cmpint(pace_judge(&pace, &item, 500 * MS), ==, PACE_START);
}

static void test_only_large_changes_are_reported(void)
{
	struct pace pace = {0};

	g_assert_true(pace_note(&pace, FAST, 1));
	g_assert_false(pace_note(&pace, 110, 2));
	g_assert_false(pace_note(&pace, 140, 3));
	g_assert_true(pace_note(&pace, SLOW, 4));
	g_assert_false(pace_note(&pace, 650, 5));
	g_assert_true(pace_note(&pace, FAST, 6));
	g_assert_true(pace_is_fresh(&pace, 6 + PACE_FRESH_US));
	g_assert_false(pace_is_fresh(&pace, 7 + PACE_FRESH_US));
}

static void test_times_at_the_nominal_pace(void)
{
	g_assert_cmpint(pace_nominal_us(SLOW, 420 * MS), ==, 60 * MS);
	g_assert_cmpint(pace_nominal_us(FAST, 60 * MS), ==, 60 * MS);
	g_assert_cmpint(pace_nominal_us(0, 60 * MS), ==, 60 * MS);
}

/* Returns whether a host is slow at that time, drawn anew for each spell. */
static bool is_slow_at(unsigned int host, int64_t at_us)
{
	struct random_state random = {
		.state = host * 7919 + (uint64_t)(at_us / SPELL_US) * 104729};

	return random_unit(&random) < 0.25;
}

/* RETURN VALUE: the duration of a call. If judges is true, it asks one host
 * after another, with 2 ms for each hop; otherwise, it starts at the first
 * one. */
static int64_t simulate_call(bool judges, unsigned int first, int64_t at_us)
{
	struct pace_item item = item_of(60, 200, 500);
	int64_t began_us = at_us;
	unsigned int host = first;

	item.target_us += at_us;
	item.deadline_us += at_us;
	for (unsigned int i = 0;; i++, host = (host + 1) % 7) {
		struct pace pace = pace_after_report(
			is_slow_at(host, at_us) ? SLOW : FAST, at_us);

		item.may_turn_back = i < 6;
		item.best_other_percent = i < 6 ? FAST : 0;
		switch (judges ? pace_judge(&pace, &item, at_us) : PACE_START) {
		case PACE_TURN_BACK:
			at_us += 2 * MS;
			break;
		case PACE_HOLD:
			at_us += 20 * MS;
			i = 5;
			host = (host + 6) % 7;
			break;
		case PACE_TOO_LATE:
			return INT64_MAX;
		case PACE_START:
			return at_us - began_us + 60 * MS * pace.percent / FAST;
		}
	}
}

/*
 * Two thousand calls go to seven hosts, of which a quarter is slow at any time,
 * each for half a second. The test counts the calls that are answered within
 * 200 ms: 1,454 if calls start at the first host, all if the hosts judge.
 */
static void test_callers_get_answers_in_time(void)
{
	unsigned int in_time[2] = {0};

	for (unsigned int judges = 0; judges < 2; judges++) {
		for (unsigned int i = 0; i < 2000; i++)
			in_time[judges] +=
				simulate_call(judges, i % 7, i * 13 * MS) <=
				200 * MS;
	}
	g_test_message("in time: %u without judging, %u with", in_time[0],
		       in_time[1]);
	g_assert_cmpuint(in_time[0], <, 1600);
	g_assert_cmpuint(in_time[1], >=, 1990);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/first-report",
			test_first_report_may_be_from_a_slow_spell);
	g_test_add_func("/pace/turns-back", test_slow_host_refuses);
	g_test_add_func("/pace/last-host", test_last_host_holds_then_starts);
	g_test_add_func("/pace/short-work",
			test_short_work_starts_in_a_slow_spell);
	g_test_add_func("/pace/scarce-slots",
			test_scarce_slots_are_not_given_to_slow_work);
	g_test_add_func("/pace/cold-start", test_cold_start_is_not_a_slow_spell);
	g_test_add_func("/pace/report-large-changes",
			test_only_large_changes_are_reported);
	g_test_add_func("/pace/nominal", test_times_at_the_nominal_pace);
	g_test_add_func("/pace/load", test_callers_get_answers_in_time);
	return g_test_run();
}
