#include <glib.h>
#include <signal.h>

#include "ledger.h"

#define ALL 7u /* daemons 0, 1 and 2 */
/* In the failure domain of daemon 0, which therefore prefers it as an owner. */
#define VICTIM 2
#define WAIT_UP_MS 15000
/* Longer than the deadline, the owner's grace after it and the suspicion
 * timeout. */
#define FREEZE_MS 4500

static const struct cluster_options options = {
	.count = 3,
	.config = LEDGER_CONFIG,
	/* Long enough that several calls run on each upstream at any time. */
	.slots = "16",
	.service_time_us = "60000",
};
static struct cluster cluster;

static void restart_host(unsigned int i)
{
	rig_kill(cluster.upstreams[i]);
	cluster_start_daemon(&cluster, i, &options);
	cluster_start_upstream(&cluster, i, &options);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
}

/*
 * A host loses power while its daemon is entry for some callers and owner for
 * the other daemons. Connections of its own callers break. Other callers may
 * get "unknown" for calls that it was running; all their other calls are
 * served.
 */
static void test_a_host_is_killed(void)
{
	struct ledger ledger = {0};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load = ledger_start_load(
			&cluster, ALL, "300", "4", round ? "12" : "11");

		rig_sleep_ms(1500);
		rig_kill(cluster.daemons[VICTIM]);
		rig_kill(cluster.upstreams[VICTIM]);
		ledger_collect(&ledger, &cluster, &load);
		restart_host(VICTIM);
	}
	ledger_assert_no_violations(&ledger);
	g_assert_cmpuint(ledger.served, >, ledger.calls / 2);
}

/*
 * A daemon crashes and its upstream keeps running. Requests that the daemon had
 * started complete, but nobody receives their answers. The daemon restarts with
 * a new incarnation and its upstream announces itself again, under load.
 */
static void test_a_daemon_crashes_and_comes_back(void)
{
	struct ledger ledger = {0};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load = ledger_start_load(
			&cluster, ALL, "150", "6", round ? "22" : "21");

		for (int times = 0; times < 2; times++) {
			rig_sleep_ms(1000);
			rig_kill(cluster.daemons[VICTIM]);
			rig_sleep_ms(times ? 2000 : 50);
			cluster_start_daemon(&cluster, VICTIM, &options);
			cluster_announce(&cluster, VICTIM, &options);
		}
		ledger_collect(&ledger, &cluster, &load);
		cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	}
	ledger_assert_no_violations(&ledger);
	g_assert_cmpuint(ledger.served, >, ledger.calls / 2);
}

/*
 * An upstream crashes with calls running and its daemon keeps running. The
 * running calls end as unknown. Calls that can't connect are not run there and
 * are retried elsewhere, so that no other caller is affected.
 */
static void test_an_upstream_is_killed(void)
{
	struct ledger ledger = {0};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load = ledger_start_load(
			&cluster, ALL, "200", "4", round ? "32" : "31");

		rig_sleep_ms(1500);
		rig_kill(cluster.upstreams[VICTIM]);
		ledger_collect(&ledger, &cluster, &load);
		cluster_start_upstream(&cluster, VICTIM, &options);
		cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	}
	ledger_assert_no_violations(&ledger);
	/* At most the calls that ran when it crashed: its 16 slots, twice. */
	g_assert_cmpuint(ledger.unknown, <=, 2 * 16);
	g_assert_cmpuint(ledger.broken, <=, 2 * 16);
	g_assert_cmpuint(ledger.not_run, ==, 0);
}

/* Suspends a process twice under load, each time for longer than every
 * timeout. */
static void freeze_under_load(struct rig_process *process, const char *seed)
{
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, ALL, "100", "13", seed);

	for (int round = 0; round < 2; round++) {
		rig_sleep_ms(1000);
		rig_signal(process, SIGSTOP);
		rig_sleep_ms(FREEZE_MS);
		rig_signal(process, SIGCONT);
		rig_sleep_ms(1000);
	}
	ledger_collect(&ledger, &cluster, &load);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	ledger_assert_no_violations(&ledger);
	g_assert_cmpuint(ledger.served, >, ledger.calls / 2);
}

/*
 * An owner is suspended, as by a hypervisor, and resumes with attempts in its
 * buffers that are seconds old. Their callers have been answered long ago, so
 * attempts that have not started must not start, and late answers must not
 * reach any caller.
 */
static void test_an_owner_is_paused(void)
{
	struct ledger ledger = {0};
	struct ledger_load load = ledger_start_load(
		&cluster, ALL & ~(1u << VICTIM), "100", "13", "41");

	for (int round = 0; round < 2; round++) {
		rig_sleep_ms(1000);
		rig_signal(cluster.daemons[VICTIM], SIGSTOP);
		rig_sleep_ms(FREEZE_MS);
		rig_signal(cluster.daemons[VICTIM], SIGCONT);
		rig_sleep_ms(1000);
	}
	ledger_collect(&ledger, &cluster, &load);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	ledger_assert_no_violations(&ledger);
	g_assert_cmpuint(ledger.broken, ==, 0);
	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

/*
 * An upstream is suspended. Its daemon gets no answers and aborts the calls
 * after their deadline.
 */
static void test_an_upstream_is_paused(void)
{
	freeze_under_load(cluster.upstreams[VICTIM], "42");
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/failures/host-killed", test_a_host_is_killed);
	g_test_add_func("/failures/daemon-crash",
			test_a_daemon_crashes_and_comes_back);
	g_test_add_func("/failures/upstream-killed", test_an_upstream_is_killed);
	g_test_add_func("/failures/owner-paused", test_an_owner_is_paused);
	g_test_add_func("/failures/upstream-paused", test_an_upstream_is_paused);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
