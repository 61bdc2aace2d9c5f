#include <glib.h>

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/decide/random.h"

#define SECOND ((int64_t)1000 * 1000)
#define START (1000 * SECOND)
#define CRASHING_KEY 7
#define TOLD_TIMES 4

static uint64_t crash_at(const char *host)
{
	static uint64_t crashes;

	return quarantine_crash_id((uint32_t)*host, ++crashes);
}

static enum quarantine_verdict verdict(struct quarantine *quarantine,
				       uint64_t key, int64_t now_us)
{
	return quarantine_judge(quarantine, key, now_us).verdict;
}

static struct quarantine *create_held(uint64_t key)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		quarantine_note_crash(quarantine, key, crash_at("a"), START);
	return quarantine;
}

/* Guards against a request that crashes further upstreams after the third
 * one. */
static void test_three_crashes_hold(void)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	struct quarantine_decision answer;

	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		g_assert_cmpint(verdict(quarantine, CRASHING_KEY, START), ==,
				QUARANTINE_FREE);
		quarantine_note_crash(quarantine, CRASHING_KEY, crash_at("a"),
				      START);
	}
	answer = quarantine_judge(quarantine, CRASHING_KEY, START + SECOND);
	g_assert_cmpint(answer.verdict, ==, QUARANTINE_HELD);
	g_assert_cmpint(answer.left_us, ==, QUARANTINE_TRIAL_US - SECOND);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY + 1, START), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

static void test_disabled_holds_nothing(void)
{
	struct quarantine *quarantine = quarantine_create(0, NULL, NULL);

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		quarantine_note_crash(quarantine, CRASHING_KEY, crash_at("a"),
				      START);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, START), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

static void test_a_crash_counts_once(void)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	uint64_t crash = crash_at("a");

	for (int i = 0; i < 2 * QUARANTINE_CRASHES; i++)
		quarantine_note_crash(quarantine, CRASHING_KEY, crash, START);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, START), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

/* Guards against refused popular requests: they run everywhere and therefore
 * beside each request that crashes an upstream. */
static void test_recently_answered_is_not_marked(void)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	int64_t now = START;

	for (int i = 0; i < 2 * QUARANTINE_CRASHES; i++) {
		now += QUARANTINE_ANSWERED_US / 2;
		quarantine_note_answer(quarantine, CRASHING_KEY, now);
		g_assert_false(quarantine_note_crash(quarantine, CRASHING_KEY,
						     crash_at("a"), now));
	}
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, now), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

/* Guards against a request that was answered once and is exempt ever after. */
static void test_old_answer_does_not_protect(void)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	int64_t now = START + QUARANTINE_ANSWERED_US + SECOND;

	quarantine_note_answer(quarantine, CRASHING_KEY, START);
	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		g_assert_true(quarantine_note_crash(quarantine, CRASHING_KEY,
						    crash_at("a"), now));
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, now), ==,
			QUARANTINE_HELD);
	quarantine_destroy(quarantine);
}

/* Guards against upstreams that crash by themselves: a request that ran on
 * three of them, with answers in between, must not be refused. */
static void test_an_answer_clears(void)
{
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	int64_t now = START;

	for (int i = 0; i < 3 * QUARANTINE_CRASHES; i++) {
		now += QUARANTINE_ANSWERED_US + SECOND;
		quarantine_note_crash(quarantine, CRASHING_KEY, crash_at("a"),
				      now);
		quarantine_note_answer(quarantine, CRASHING_KEY, now);
		g_assert_cmpint(verdict(quarantine, CRASHING_KEY, now), ==,
				QUARANTINE_FREE);
	}
	quarantine_destroy(quarantine);
}

/* Guards against a request that is held forever although its upstreams were
 * repaired, and against losing more than one upstream to a trial. */
static void test_a_trial_at_one_host(void)
{
	struct quarantine *quarantine = create_held(CRASHING_KEY);
	int64_t due = START + QUARANTINE_TRIAL_US;
	struct quarantine_decision answer =
		quarantine_judge(quarantine, CRASHING_KEY, due);

	g_assert_cmpint(answer.verdict, ==, QUARANTINE_TRIAL);
	g_assert_cmpuint(answer.trial_host, ==, 'a');
	quarantine_begin_trial(quarantine, CRASHING_KEY);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, due), ==,
			QUARANTINE_HELD);
	quarantine_note_crash(quarantine, CRASHING_KEY, crash_at("a"), due);
	g_assert_cmpint(
		verdict(quarantine, CRASHING_KEY, due + QUARANTINE_TRIAL_US),
		==, QUARANTINE_HELD);
	due += 2 * QUARANTINE_TRIAL_US;
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, due), ==,
			QUARANTINE_TRIAL);
	quarantine_begin_trial(quarantine, CRASHING_KEY);
	quarantine_note_answer(quarantine, CRASHING_KEY, due);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, due), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

/* RETURN VALUE: the number of runs that were allowed, each of which crashed its
 * upstream. */
static int send_until(struct quarantine *quarantine, int64_t from_us,
		      int64_t to_us)
{
	int runs = 0;

	for (int64_t now = from_us; now < to_us; now += SECOND) {
		quarantine_tick(quarantine, now);
		if (verdict(quarantine, CRASHING_KEY, now) == QUARANTINE_HELD)
			continue;
		runs++;
		quarantine_begin_trial(quarantine, CRASHING_KEY);
		quarantine_note_crash(quarantine, CRASHING_KEY, crash_at("a"),
				      now);
	}
	return runs;
}

/* Guards against a request that crashes an upstream from time to time for as
 * long as its caller sends it. */
static void test_trials_end(void)
{
	struct quarantine *quarantine = create_held(CRASHING_KEY);
	int64_t end = START + 3 * QUARANTINE_FORGET_US;

	g_assert_cmpint(send_until(quarantine, START, end), ==,
			QUARANTINE_TRIALS_MAX);
	g_assert_true(quarantine_clear(quarantine, CRASHING_KEY, end));
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, end), ==,
			QUARANTINE_FREE);
	quarantine_destroy(quarantine);
}

/* Guards against a request that is refused forever because the only host that
 * runs its trials has upstreams that crash by themselves. */
static void test_each_trial_is_at_another_host(void)
{
	static const char *const hosts[QUARANTINE_CRASHES] = {"a", "b", "c"};
	struct quarantine *quarantine =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	int64_t now = START;

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		quarantine_note_crash(quarantine, CRASHING_KEY,
				      crash_at(hosts[i]), now);
	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		now += QUARANTINE_TRIAL_US << i;
		g_assert_cmpuint(
			quarantine_judge(quarantine, CRASHING_KEY, now).trial_host,
			==, (uint32_t)*hosts[i]);
		quarantine_begin_trial(quarantine, CRASHING_KEY);
		quarantine_note_crash(quarantine, CRASHING_KEY,
				      crash_at(hosts[i]), now);
	}
	quarantine_destroy(quarantine);
}

/* Guards against a trial that ended without a result and blocks all others. */
static void test_trial_without_result_allows_another(void)
{
	struct quarantine *quarantine = create_held(CRASHING_KEY);
	int64_t due = START + QUARANTINE_TRIAL_US;

	quarantine_begin_trial(quarantine, CRASHING_KEY);
	quarantine_end_trial(quarantine, CRASHING_KEY);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, due), ==,
			QUARANTINE_TRIAL);
	quarantine_destroy(quarantine);
}

/* Guards against memory that grows with each crash, and against a flood of
 * marks that evicts a held request. */
static void test_the_table_is_bounded(void)
{
	struct quarantine *quarantine = create_held(CRASHING_KEY);
	struct quarantine_record out[QUARANTINE_RECORDS_MAX + 1];

	for (uint64_t key = 100; key < 100 + 4 * QUARANTINE_RECORDS_MAX; key++)
		quarantine_note_crash(quarantine, key, crash_at("b"),
				      START + (int64_t)key);
	g_assert_cmpint(verdict(quarantine, CRASHING_KEY, START), ==,
			QUARANTINE_HELD);
	g_assert_cmpuint(quarantine_held_count(quarantine), ==, 1);
	g_assert_cmpuint(quarantine_fill_packet(quarantine, TOLD_TIMES, out,
						G_N_ELEMENTS(out)),
			 ==, QUARANTINE_RECORDS_MAX);
	quarantine_destroy(quarantine);
}

static void test_old_records_are_forgotten(void)
{
	struct quarantine *quarantine = create_held(CRASHING_KEY);
	int64_t end = START + QUARANTINE_TRIAL_US + QUARANTINE_FORGET_US;

	quarantine_note_crash(quarantine, CRASHING_KEY + 1, crash_at("a"), START);
	quarantine_tick(quarantine, end);
	g_assert_cmpuint(quarantine_held_count(quarantine), ==, 1);
	quarantine_tick(quarantine, end + 2 * SECOND);
	g_assert_cmpuint(quarantine_held_count(quarantine), ==, 0);
	g_assert_false(quarantine_has_news(quarantine));
	quarantine_destroy(quarantine);
}

static void send_all(struct quarantine *from, struct quarantine *to, int64_t now)
{
	struct quarantine_record out[QUARANTINE_RECORDS_MAX];
	size_t count =
		quarantine_fill_packet(from, TOLD_TIMES, out, G_N_ELEMENTS(out));

	for (size_t i = 0; i < count; i++)
		quarantine_merge(to, &out[i], now);
}

/* Guards against a mark from a daemon that missed the answer: it must not hold
 * a cleared request again. */
static void test_cleared_takes_precedence_over_marked(void)
{
	struct quarantine *behind = create_held(CRASHING_KEY);
	struct quarantine *ahead =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);

	send_all(behind, ahead, START);
	g_assert_cmpint(verdict(ahead, CRASHING_KEY, START), ==, QUARANTINE_HELD);
	quarantine_note_answer(ahead, CRASHING_KEY, START);
	send_all(behind, ahead, START);
	g_assert_cmpint(verdict(ahead, CRASHING_KEY, START), ==, QUARANTINE_FREE);
	send_all(ahead, behind, START);
	g_assert_cmpint(verdict(behind, CRASHING_KEY, START), ==,
			QUARANTINE_FREE);
	quarantine_destroy(behind);
	quarantine_destroy(ahead);
}

/* Guards against popular requests that are held by daemons that never saw them
 * answered: a daemon that did corrects them. */
static void test_answer_seen_by_another_daemon_clears(void)
{
	struct quarantine *witness =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	struct quarantine *crashed = create_held(CRASHING_KEY);

	quarantine_note_answer(witness, CRASHING_KEY, START - SECOND);
	send_all(crashed, witness, START);
	send_all(witness, crashed, START);
	g_assert_cmpint(verdict(crashed, CRASHING_KEY, START), ==,
			QUARANTINE_FREE);
	quarantine_destroy(witness);
	quarantine_destroy(crashed);
}

/* Guards against a daemon that forgets a request that other daemons still
 * refuse, and lets it through when it comes there. */
static void test_requests_still_sent_are_remembered_everywhere(void)
{
	struct quarantine *asked = create_held(CRASHING_KEY);
	struct quarantine *told =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	int64_t end = START + 3 * QUARANTINE_FORGET_US;

	send_all(asked, told, START);
	for (int64_t now = START; now < end; now += 60 * SECOND) {
		send_until(asked, now, now + 60 * SECOND);
		quarantine_tick(told, now + 60 * SECOND);
		g_assert_cmpuint(quarantine_held_count(told), ==, 1);
		send_all(asked, told, now + 60 * SECOND);
	}
	quarantine_destroy(asked);
	quarantine_destroy(told);
}

/* Guards against daemons that hold different requests forever because they
 * received the records in different orders. */
static void test_merge_order_does_not_matter(void)
{
	enum {
		DAEMONS = 4,
		ROUNDS = 200
	};
	struct quarantine *daemons[DAEMONS];
	struct random_state random = {.state = 11};

	for (int i = 0; i < DAEMONS; i++)
		daemons[i] = quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	for (int i = 0; i < ROUNDS; i++) {
		struct quarantine *one = daemons[random_below(&random, DAEMONS)];
		uint64_t key = 1 + random_below(&random, 5);

		quarantine_note_crash(one, key, crash_at("a"), START);
		if (random_below(&random, 20) == 0)
			quarantine_note_answer(one, key,
					       START - QUARANTINE_ANSWERED_US);
		send_all(one, daemons[random_below(&random, DAEMONS)], START);
	}
	for (int i = 0; i < 4 * DAEMONS * DAEMONS; i++)
		send_all(daemons[i % DAEMONS], daemons[i / DAEMONS % DAEMONS],
			 START);
	for (uint64_t key = 1; key <= 5; key++) {
		for (int i = 1; i < DAEMONS; i++)
			g_assert_cmpint(verdict(daemons[i], key, START), ==,
					verdict(daemons[0], key, START));
	}
	for (int i = 0; i < DAEMONS; i++)
		quarantine_destroy(daemons[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/three", test_three_crashes_hold);
	g_test_add_func("/quarantine/off", test_disabled_holds_nothing);
	g_test_add_func("/quarantine/once", test_a_crash_counts_once);
	g_test_add_func("/quarantine/popular",
			test_recently_answered_is_not_marked);
	g_test_add_func("/quarantine/old-answer",
			test_old_answer_does_not_protect);
	g_test_add_func("/quarantine/answer", test_an_answer_clears);
	g_test_add_func("/quarantine/trial", test_a_trial_at_one_host);
	g_test_add_func("/quarantine/trials-end", test_trials_end);
	g_test_add_func("/quarantine/trial-hosts",
			test_each_trial_is_at_another_host);
	g_test_add_func("/quarantine/still-comes",
			test_requests_still_sent_are_remembered_everywhere);
	g_test_add_func("/quarantine/trial-without-result",
			test_trial_without_result_allows_another);
	g_test_add_func("/quarantine/bounded", test_the_table_is_bounded);
	g_test_add_func("/quarantine/forgotten", test_old_records_are_forgotten);
	g_test_add_func("/quarantine/cleared",
			test_cleared_takes_precedence_over_marked);
	g_test_add_func("/quarantine/answered-elsewhere",
			test_answer_seen_by_another_daemon_clears);
	g_test_add_func("/quarantine/merge-order",
			test_merge_order_does_not_matter);
	return g_test_run();
}
