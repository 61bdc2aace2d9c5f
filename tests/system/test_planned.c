#include <glib.h>
#include <signal.h>
#include <string.h>

#include "ledger.h"
#include "runs.h"

#define ALL 7u /* daemons 0, 1 and 2 */
#define LEAVING 2 /* in the failure domain of daemon 0 */
#define WAIT_UP_MS 15000
/* New attempts may start on a draining upstream for so long; the requirement is
 * a few seconds. */
#define DRAIN_DELAY_MS 2000
/* How long an upstream takes to exit once it was told that it may stop. */
#define STOP_MS 300

static const struct cluster_options options = {
	.count = 3,
	.config = LEDGER_CONFIG,
	.service_time_us = "20000",
};
static struct cluster cluster;

/* RETURN VALUE: how many runs the leaving upstream has started so far. */
static unsigned int count_runs(void)
{
	return runs_count_prefix(cluster.runs_files[LEAVING], "");
}

static void post_admin(const char *path)
{
	g_free(rig_http_ok("POST", cluster.daemons[LEAVING]->admin_port, path,
			   ""));
}

/* No call was interrupted, refused or of unknown outcome. */
static void assert_all_served(const struct ledger *ledger)
{
	ledger_assert_no_violations(ledger);
	g_assert_cmpuint(ledger->served, ==, ledger->calls);
}

/* Asserts that after two seconds no new run starts on the leaving upstream. */
static void assert_no_new_work(void)
{
	unsigned int before;

	rig_sleep_ms(DRAIN_DELAY_MS);
	before = count_runs();
	rig_sleep_ms(500);
	g_assert_cmpuint(count_runs(), ==, before);
}

/*
 * An operator drains an upstream and resumes it, twice, under load. Running
 * calls finish, and new calls go elsewhere.
 */
static void test_drain_and_resume(void)
{
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, ALL, "200", "8", "71");

	for (int round = 0; round < 2; round++) {
		unsigned int before;

		rig_sleep_ms(600);
		post_admin("/v1/upstream/drain");
		assert_no_new_work();
		before = count_runs();
		post_admin("/v1/upstream/resume");
		rig_sleep_ms(600);
		g_assert_cmpuint(count_runs(), >, before);
	}
	ledger_collect(&ledger, &cluster, &load);
	assert_all_served(&ledger);
}

/*
 * An upstream asks to stop and is told when it may. From then on no run starts
 * there, since it would be interrupted when the upstream exits. A new upstream
 * then replaces it.
 */
static void test_stop_of_an_upstream(void)
{
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, ALL, "200", "7", "72");

	for (int round = 0; round < 2; round++) {
		unsigned int before;

		rig_sleep_ms(800);
		post_admin("/v1/upstream/stop");
		before = count_runs();
		rig_sleep_ms(STOP_MS);
		g_assert_cmpuint(count_runs(), ==, before);
		rig_kill(cluster.upstreams[LEAVING]);
		rig_sleep_ms(1000);
		cluster_start_upstream(&cluster, LEAVING, &options);
	}
	ledger_collect(&ledger, &cluster, &load);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	assert_all_served(&ledger);
}

/*
 * A host is replaced: its daemon gets SIGTERM while it is entry for callers and
 * owner for the other daemons. Its callers have two seconds to move to another
 * daemon. None of their calls is interrupted, and the daemon exits by itself.
 */
static void test_sigterm_of_a_daemon(void)
{
	for (int round = 0; round < 2; round++) {
		struct ledger ledger = {0};
		struct ledger_load others =
			ledger_start_load(&cluster, ALL & ~(1u << LEAVING),
					  "150", "5", round ? "74" : "73");
		struct ledger_load own =
			ledger_start_load(&cluster, 1u << LEAVING, "100", "2.5",
					  round ? "76" : "75");

		rig_sleep_ms(1000);
		rig_signal(cluster.daemons[LEAVING], SIGTERM);
		assert_no_new_work();
		ledger_collect(&ledger, &cluster, &own);
		ledger_collect(&ledger, &cluster, &others);
		assert_all_served(&ledger);
		g_assert_cmpint(rig_wait_end(cluster.daemons[LEAVING], 10000),
				==, 0);
		rig_kill(cluster.upstreams[LEAVING]);
		cluster_start_daemon(&cluster, LEAVING, &options);
		cluster_start_upstream(&cluster, LEAVING, &options);
		cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	}
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/planned/drain", test_drain_and_resume);
	g_test_add_func("/planned/stop", test_stop_of_an_upstream);
	g_test_add_func("/planned/sigterm", test_sigterm_of_a_daemon);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
