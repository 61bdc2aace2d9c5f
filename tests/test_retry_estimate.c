#include <glib.h>

#include "comfreydockd/decide/pick.h"
#include "comfreydockd/decide/retry.h"

#define MS ((int64_t)1000)
#define LEFT_US (2000 * MS)

/*
 * Guards against a daemon that has just started and makes no second attempts
 * because of one slow report. It has reports from two upstreams. One of them
 * answered its first requests after more than two seconds, as its connection
 * had been idle, and reports that as its median. The other one answers in 40 ms
 * and is draining. A request that it refuses, with two seconds left, must go to
 * another upstream. If the slow report counts as the duration of every attempt,
 * callers get "not run" for as long as the report stands, although upstreams
 * that could answer within milliseconds are up.
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
	struct retry_context context = {
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
	context.expected_us = (int64_t)set.typical_service_us;
	answer = retry_decide(&retry, &context, &random, 0);
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
