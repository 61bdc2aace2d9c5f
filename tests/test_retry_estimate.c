#include <glib.h>

#include "comfreydockd/decide/pick.h"
#include "comfreydockd/decide/retry.h"

#define MS ((int64_t)1000)
#define LEFT_US (2000 * MS)

/*
 * A daemon has just been started and has heard from two upstreams. One of them
 * answered late: its link had been silent, and the first answers after it took
 * more than two seconds, so that is the median that it reports. The other one
 * answers in 40 ms and begins to drain. A request that it turns away, with two
 * seconds left, is to go to another upstream. Where the daemon takes the slow
 * report for what every attempt takes, it makes no second attempt at all: callers
 * are told "not run" for as long as that report stands, while upstreams that
 * could serve them in milliseconds are up.
 */
static void test_one_slow_report_of_two(void)
{
	struct pick_set set;
	struct pick_candidate candidates[4];
	struct pick_load quick = {.service_us = 40 * MS};
	struct pick_load slow = {.service_us = 2040 * MS};
	struct random_state random = {.state = 1};
	struct retry_decision answer;
	struct retry retry;
	struct retry_context question = {
		.outcome = RETRY_OUTCOME_NOT_HERE,
		.attempts = 0,
		.max_attempts = 3,
		.untried = G_N_ELEMENTS(candidates) - 1,
		.deadline_us = LEFT_US,
	};

	pick_set_init(&set, pick_default_policy, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(candidates); i++) {
		pick_candidate_init(&candidates[i], i + 1);
		candidates[i].usable = true;
		pick_set_add(&set, &candidates[i]);
	}
	pick_note_load(&set, &candidates[0], &slow, 0);
	pick_note_load(&set, &candidates[1], &quick, 0);
	retry_init(&retry, 20);
	question.expected_us = (int64_t)set.typical_service_us;
	answer = retry_decide(&retry, &question, &random, 0);
	g_assert_cmpstr(retry_verdict_name(answer.verdict), ==,
			retry_verdict_name(RETRY_GO));
	pick_set_finish(&set);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-estimate/one-slow-report-of-two",
			test_one_slow_report_of_two);
	return g_test_run();
}
