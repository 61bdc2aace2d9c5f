#include <glib.h>
#include <signal.h>
#include <string.h>

#include "ledger.h"

/*
 * Hedges, which are sent while the first attempt may still run; retries after
 * an upstream reported that it ran nothing; and calls that take longer than the
 * time that a daemon has to stop.
 */

#define ALL 7u /* daemons 0, 1 and 2 */
#define VICTIM 1
#define WAIT_UP_MS 15000
#define BODY_BYTES "50000" /* below the limit of a body kept for a retry */
#define LOAD_MS 20000
/* The caller's timeout for a call that is aborted when the daemon stops, and
 * the timeout for the daemon's exit. */
#define END_MS 15000

static const struct cluster_options options = {
	.count = 3,
	.config =
		"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
		" \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
		" \"shed_statuses\": [503],\n"
		" \"rules\": [\n"
		"  {\"name\": \"hedged\", \"methods\": [\"POST\"],\n"
		"   \"path_prefix\": \"/hedged\", \"idempotent\": true,\n"
		"   \"deadline_ms\": 5000, \"hedge\": {\"budget_percent\": "
		"50},\n"
		"   \"retry\": {\"max_attempts\": 3, \"budget_percent\": "
		"50}},\n"
		"  {\"name\": \"long\", \"methods\": [\"GET\"],\n"
		"   \"path_prefix\": \"/long\", \"deadline_ms\": 60000},\n"
		"  {\"name\": \"any\", \"deadline_ms\": 2000,\n"
		"   \"retry\": {\"max_attempts\": 3, \"budget_percent\": 50}}\n"
		" ]}}}\n",
	.slots = "8",
	.service_time_us = "10000",
	.backlog = "1",
	.drain_timeout_ms = 1500,
};
static struct cluster cluster;

static int64_t read_summary_int(struct rig_process *load, const char *name)
{
	char *text;
	int64_t value;

	rig_wait_end(load, LOAD_MS);
	text = rig_read_output(load);
	value = rig_json_int(text, name);
	g_free(text);
	return value;
}

static struct rig_process *start_load(uint16_t port, const char *path,
				      const char *body_bytes, const char *rate)
{
	char *target = g_strdup_printf("http://127.0.0.1:%u", port);
	struct rig_process *load = rig_start(
		cluster.rig, "standin/load/standin-load", "--target", target,
		"--post-path", path, "--share-nonidempotent", "1",
		"--body-bytes", body_bytes, "--rate", rate, "--seconds", "4",
		"--seed", "31", "--id-prefix", path + 1, NULL);

	g_free(target);
	return load;
}

static void set_all_upstreams(const char *faults)
{
	for (unsigned int i = 0; i < cluster.count; i++)
		cluster_set_upstream(&cluster, i, faults);
}

/*
 * Idempotent requests with a body are hedged while the first upstream, which is
 * slow at that moment, still reads or runs them. Each upstream must get the
 * whole body, and the caller exactly one answer. A body that is split between
 * the two would show as an answer of another length.
 */
static void test_hedged_bodies(void)
{
	int64_t hedges = cluster_sum_counter(&cluster, "entry_hedges");
	struct rig_process *load;

	/* The entry first learns the usual latency of the rule. */
	load = start_load(cluster.daemons[0]->caller_port, "/hedged/1", "1000",
			  "60");
	g_assert_cmpint(read_summary_int(load, "wrong"), ==, 0);
	load = start_load(cluster.daemons[0]->caller_port, "/hedged/2",
			  BODY_BYTES, "60");
	for (int i = 0; i < 6; i++) {
		set_all_upstreams("{\"factor\": 15}");
		rig_sleep_ms(300);
		set_all_upstreams("{\"factor\": 1}");
		rig_sleep_ms(300);
	}
	g_assert_cmpint(read_summary_int(load, "wrong"), ==, 0);
	g_assert_cmpint(read_summary_int(load, "served"), ==,
			read_summary_int(load, "started"));
	g_assert_cmpint(cluster_sum_counter(&cluster, "entry_hedges"), >, hedges);
}

/*
 * Direct callers occupy all slots of an upstream, so it answers its daemon's
 * requests with a status that the configuration lists as "not run"
 * (shed_statuses). Such a POST is retried on another upstream; no caller sees
 * the status, and no POST runs twice.
 */
static void test_shed_requests_run_elsewhere(void)
{
	struct ledger ledger = {0};
	struct rig_process *own;
	struct ledger_load load;
	int64_t shed;

	shed = rig_metric(cluster.daemons[VICTIM]->admin_port,
			  "comfreydock_refusals{reason=\"REASON_SHED\"}");
	load = ledger_start_load(&cluster, ALL, "100", "4", "32");
	own = start_load(cluster.upstreams[VICTIM]->port, "/own/1", "10", "1500");
	ledger_collect(&ledger, &cluster, &load);
	ledger_assert_no_violations(&ledger);
	g_assert_cmpuint(ledger.served, >=, ledger.calls * 95 / 100);
	rig_wait_end(own, LOAD_MS);
	g_assert_cmpint(
		rig_metric(cluster.daemons[VICTIM]->admin_port,
			   "comfreydock_refusals{reason=\"REASON_SHED\"}"),
		>, MAX(shed, 0));
}

struct long_call {
	char *url;
	struct rig_answer *answer;
};

static gpointer call_long(gpointer data)
{
	struct long_call *long_call = data;

	long_call->answer = rig_http("GET", long_call->url, NULL, NULL, END_MS);
	return NULL;
}

/*
 * A daemon is told to stop while a call runs that takes longer than its drain
 * timeout. The daemon exits all the same, and first tells the caller that the
 * outcome is unknown; a broken connection would leave the caller guessing.
 */
static void test_stop_aborts_long_calls(void)
{
	struct long_call long_call = {
		.url = g_strdup_printf("http://127.0.0.1:%u/long/1",
				       cluster.daemons[VICTIM]->caller_port),
	};
	GThread *caller;

	set_all_upstreams("{\"factor\": 3000}");
	caller = g_thread_new("caller", call_long, &long_call);
	rig_sleep_ms(500);
	rig_signal(cluster.daemons[VICTIM], SIGTERM);
	g_thread_join(caller);
	g_assert_true(long_call.answer->arrived);
	g_assert_cmpstr(cluster_outcome(long_call.answer), ==, "unknown");
	g_assert_cmpint(rig_wait_end(cluster.daemons[VICTIM], END_MS), ==, 0);
	rig_answer_free(long_call.answer);
	g_free(long_call.url);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	/* This test is first: entries avoid hosts that were slow for some
	 * seconds, and would then send no request to the upstream that
	 * sheds. */
	g_test_add_func("/second-tries/shed", test_shed_requests_run_elsewhere);
	g_test_add_func("/second-tries/hedged-bodies", test_hedged_bodies);
	g_test_add_func("/second-tries/long-calls", test_stop_aborts_long_calls);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
