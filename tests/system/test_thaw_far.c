#include <glib.h>
#include <signal.h>

#include "ledger.h"
#include "runs.h"

#define OWNER 1
#define ENTRY 0
#define WAIT_UP_MS 15000
/* Callers disconnect after a second; the load has then been sent. */
#define CALLERS_GONE_MS 1500
#define HELD_MS 300
/* Any attempt that starts after the suspension has started by then. */
#define SETTLE_MS 1500

static const struct cluster_options options = {
	.count = 2,
	.config = LEDGER_CONFIG,
	.slots = "1",
	.service_time_us = "30000",
	.upstreams = 1u << OWNER,
	.relayed = 1u << OWNER,
};
static struct cluster cluster;

static struct rig_process *start_posts(const char *prefix)
{
	char *target = g_strdup_printf("http://127.0.0.1:%u",
				       cluster.daemons[ENTRY]->caller_port);
	const char *calls = rig_write_file(cluster.rig, "calls", "%s", "");
	struct rig_process *load = rig_start(
		cluster.rig, "standin/load/standin-load", "--target", target,
		"--calls", calls, "--id-prefix", prefix, "--rate", "30",
		"--seconds", "0.3", "--even", "--deadline-ms", "1000",
		"--share-nonidempotent", "1", "--body-bytes", "1000", NULL);

	g_free(target);
	return load;
}

static unsigned int count_runs(const char *prefix)
{
	return runs_count_prefix(cluster.runs_files[OWNER], prefix);
}

static void open_connection(void)
{
	rig_answer_free(
		cluster_call(&cluster, ENTRY, "GET", "/", "open", NULL, 5000));
}

/* Guards against attempts that start after a suspension though their callers have
 * left: the cancels of a far entry arrive later than its attempts. */
static void test_late_cancels_stop_attempts(void)
{
	struct rig_process *load;

	open_connection();
	rig_signal(cluster.daemons[OWNER], SIGSTOP);
	load = start_posts("gone");
	rig_sleep_ms(CALLERS_GONE_MS / 2);
	cluster_set_relay(&cluster, OWNER, "{\"hold_forward\": true}");
	rig_sleep_ms(CALLERS_GONE_MS);
	rig_signal(cluster.daemons[OWNER], SIGCONT);
	rig_sleep_ms(HELD_MS);
	cluster_set_relay(&cluster, OWNER, "{\"hold_forward\": false}");
	rig_sleep_ms(SETTLE_MS);
	rig_wait_end(load, WAIT_UP_MS);
	g_assert_cmpuint(count_runs("gone"), ==, 0);
}

/* Guards against an owner that takes nothing any more after a suspension. */
static void test_owner_takes_calls_again(void)
{
	struct rig_answer *answer;

	cluster_wait_up(&cluster, 1, WAIT_UP_MS);
	answer = cluster_call(&cluster, ENTRY, "POST", "/", "after", NULL, 5000);
	g_assert_true(answer->arrived);
	g_assert_cmpint((int)answer->status, ==, 200);
	rig_answer_free(answer);
	g_assert_cmpuint(count_runs("after"), ==, 1);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, 1, WAIT_UP_MS);
	g_test_add_func("/thaw-far/late-cancels",
			test_late_cancels_stop_attempts);
	g_test_add_func("/thaw-far/again", test_owner_takes_calls_again);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
