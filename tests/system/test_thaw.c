#include <glib.h>
#include <signal.h>
#include <string.h>

#include "ledger.h"
#include "runs.h"

#define OWNER 1
#define ENTRY 0
#define WAIT_UP_MS 15000
/* Any attempt that starts after a pause has started by then. */
#define SETTLE_MS 1500
#define SLOW "{\"factor\": 20}"
#define USUAL "{\"factor\": 1}"

/* With one slot, all calls but one wait at the owner. */
static const struct cluster_options options = {
	.count = 2,
	.config = LEDGER_CONFIG,
	.slots = "1",
	.service_time_us = "30000",
	.upstreams = 1u << OWNER,
};
static struct cluster cluster;

/* Starts a load of POST calls of 60 kB each through the entry. Their callers
 * disconnect after a second. */
static struct ledger_load start_posts(const char *prefix)
{
	char *target = g_strdup_printf("http://127.0.0.1:%u",
				       cluster.daemons[ENTRY]->caller_port);
	struct ledger_load load;

	load.calls_file = rig_write_file(cluster.rig, "calls", "%s", "");
	load.process = rig_start(
		cluster.rig, "standin/load/standin-load", "--target", target,
		"--calls", load.calls_file, "--id-prefix", prefix, "--rate",
		"100", "--seconds", "0.3", "--even", "--deadline-ms", "1000",
		"--share-nonidempotent", "1", "--body-bytes", "60000", NULL);
	g_free(target);
	return load;
}

/* RETURN VALUE: how many requests whose id has the prefix the upstream ran. */
static unsigned int count_runs(const char *prefix)
{
	return runs_count_prefix(cluster.runs_files[OWNER], prefix);
}

/* Asserts that none of the calls ran. Their callers have disconnected. */
static void assert_none_ran(struct ledger_load *load, const char *prefix)
{
	rig_sleep_ms(SETTLE_MS);
	rig_wait_end(load->process, 10000);
	g_assert_cmpuint(count_runs(prefix), ==, 0);
}

/* Completes the handshake between entry and owner, so that later attempts are
 * sent at once. */
static void open_connection(void)
{
	rig_answer_free(
		cluster_call(&cluster, ENTRY, "GET", "/", "open", NULL, 5000));
}

/*
 * An owner is suspended while callers send POSTs to it, disconnect and retry
 * elsewhere. When it resumes, its buffers contain the attempts and, behind
 * them, the cancels. It must start none of them: an attempt that starts now
 * would be a second run.
 */
static void test_cancelled_attempts_do_not_start(void)
{
	static const char *const prefixes[] = {"gone-a", "gone-b"};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load;

		open_connection();
		rig_signal(cluster.daemons[OWNER], SIGSTOP);
		load = start_posts(prefixes[round]);
		rig_sleep_ms(1800);
		rig_signal(cluster.daemons[OWNER], SIGCONT);
		assert_none_ran(&load, prefixes[round]);
		cluster_wait_up(&cluster, 1, WAIT_UP_MS);
	}
}

/*
 * An owner is suspended and the entry is killed meanwhile. Instead of cancels,
 * the end of the connection tells the owner that nobody waits, and it comes
 * after more attempts than one read returns.
 */
static void test_attempts_of_a_dead_entry_do_not_start(void)
{
	static const char *const prefixes[] = {"dead-a", "dead-b"};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load;

		/* Opens the connection between entry and owner. */
		rig_answer_free(cluster_call(&cluster, ENTRY, "GET", "/",
					     "open", NULL, 5000));
		rig_signal(cluster.daemons[OWNER], SIGSTOP);
		load = start_posts(prefixes[round]);
		rig_sleep_ms(600);
		rig_kill(cluster.daemons[ENTRY]);
		rig_signal(cluster.daemons[OWNER], SIGCONT);
		assert_none_ran(&load, prefixes[round]);
		cluster_start_daemon(&cluster, ENTRY, &options);
		cluster_wait_up(&cluster, 1, WAIT_UP_MS);
	}
}

/*
 * The entry is suspended. Requests wait in its listen backlog, and their
 * callers have disconnected long before it reads them.
 */
static void test_paused_entry_drops_abandoned_requests(void)
{
	static const char *const prefixes[] = {"entry-a", "entry-b"};

	for (int round = 0; round < 2; round++) {
		struct ledger_load load;

		rig_signal(cluster.daemons[ENTRY], SIGSTOP);
		load = start_posts(prefixes[round]);
		rig_sleep_ms(1800);
		rig_signal(cluster.daemons[ENTRY], SIGCONT);
		assert_none_ran(&load, prefixes[round]);
		cluster_wait_up(&cluster, 1, WAIT_UP_MS);
	}
}

static bool has_run_late(void *data)
{
	(void)data;
	return count_runs("late") > 0;
}

/*
 * A POST runs while its owner is suspended. Its caller is told at the deadline
 * that the outcome is unknown. The answer arrives when the owner resumes, and
 * it must not reach the next call on the same connection.
 */
static void test_late_answer_is_discarded(void)
{
	struct rig_answer *answer;
	struct ledger_load load;
	int64_t before;

	/* The run is still going on when the owner is suspended. */
	cluster_set_upstream(&cluster, OWNER, SLOW);
	load = start_posts("late");
	g_assert_true(rig_wait_until(has_run_late, NULL, WAIT_UP_MS));
	rig_signal(cluster.daemons[OWNER], SIGSTOP);
	before = cluster_counter(&cluster, ENTRY, "peer_unmatched");
	rig_sleep_ms(1800);
	cluster_set_upstream(&cluster, OWNER, USUAL);
	rig_signal(cluster.daemons[OWNER], SIGCONT);
	answer = cluster_call(&cluster, ENTRY, "GET", "/", "after-late", NULL,
			      5000);
	g_assert_true(answer->arrived);
	g_assert_cmpint((int)answer->status, ==, 200);
	g_assert_nonnull(strstr(answer->body->str, "after-late"));
	rig_answer_free(answer);
	rig_wait_end(load.process, 10000);
	g_assert_cmpint(cluster_counter(&cluster, ENTRY, "peer_unmatched"), >,
			before);
	/* The calls that ran before the pause, and the one in the slot. */
	g_assert_cmpuint(count_runs("late"), <=, 4);
	g_assert_cmpuint(count_runs("late"), >=, 1);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/thaw/cancelled", test_cancelled_attempts_do_not_start);
	g_test_add_func("/thaw/dead-entry",
			test_attempts_of_a_dead_entry_do_not_start);
	g_test_add_func("/thaw/paused-entry",
			test_paused_entry_drops_abandoned_requests);
	g_test_add_func("/thaw/late-answer", test_late_answer_is_discarded);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
