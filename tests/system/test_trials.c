#include <glib.h>
#include <string.h>

#include "cluster.h"

/*
 * A held request is run once on one host after a time, as a trial: first while
 * it still crashes upstreams, and then once the upstreams are fixed.
 */

#define TRIAL_MS 2000
#define CALL_MS 3000
#define PAUSE_MS 60
#define CRASHES_TO_HOLD 3
/* The trials within WATCH_MS: one after TRIAL_MS, and one twice as long after
 * the first. */
#define TRIALS 2
#define WATCH_MS (4 * TRIAL_MS)
#define CRASH_TIMEOUT_MS 40000
#define PATH "/crash/report"

static const struct cluster_options options = {
	.count = 5,
	.service_time_us = "20000",
	.quarantine_trial_ms = TRIAL_MS,
};
static struct cluster cluster;
static unsigned int sent;

static bool call_through(unsigned int daemon)
{
	char *id = g_strdup_printf("trial-%u", ++sent);
	struct rig_answer *answer =
		cluster_call(&cluster, daemon, "GET", PATH, id, NULL, CALL_MS);
	bool is_served = strcmp(cluster_outcome(answer), "run") == 0;

	rig_answer_free(answer);
	g_free(id);
	return is_served;
}

/* Sends the request through the daemons in turn and restarts crashed upstreams,
 * until so many have crashed or the time is over.
 * RETURN VALUE: the number of upstreams that crashed. */
static unsigned int call_repeatedly(unsigned int until_ended, int ms)
{
	gint64 until_us = g_get_monotonic_time() + ms * G_TIME_SPAN_MILLISECOND;
	unsigned int ended = 0;

	while (ended < until_ended && g_get_monotonic_time() < until_us) {
		call_through(sent % cluster.count);
		rig_sleep_ms(PAUSE_MS);
		ended += cluster_restart_upstreams(&cluster, &options);
	}
	return ended;
}

/* Guards against a trial on each host, which would crash an upstream on
 * each. */
static void test_one_host_runs_the_trials(void)
{
	g_assert_cmpuint(call_repeatedly(CRASHES_TO_HOLD, CRASH_TIMEOUT_MS), ==,
			 CRASHES_TO_HOLD);
	call_repeatedly(UINT_MAX, TRIAL_MS / 2);
	g_assert_cmpuint(call_repeatedly(UINT_MAX, WATCH_MS), <=, TRIALS);
	g_assert_cmpint(cluster_sum_counter(&cluster, "quarantine_trials"), >=,
			1);
	g_assert_cmpint(cluster_sum_counter(&cluster, "quarantine_trials"), <=,
			TRIALS);
}

static bool is_served_by_all(void *unused)
{
	bool all = true;

	(void)unused;
	for (unsigned int i = 0; i < cluster.count; i++)
		all &= call_through(i);
	return all;
}

/* Guards against a request that stays refused after the upstreams were
 * fixed. */
static void test_successful_trial_clears_quarantine(void)
{
	for (unsigned int i = 0; i < cluster.count; i++)
		cluster_set_upstream(&cluster, i, "{\"mended\": true}");
	g_assert_true(rig_wait_until(is_served_by_all, NULL, CRASH_TIMEOUT_MS));
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/trials/one-host", test_one_host_runs_the_trials);
	g_test_add_func("/trials/successful",
			test_successful_trial_clears_quarantine);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
