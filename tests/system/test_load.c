/*
 * What callers receive while the upstreams are overloaded or faulty. These
 * tests assert no latency: only which calls are served, and how the others are
 * refused.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

#define CONFIG                                               \
	"{\"namespace\": \"t\", \"services\": {\"s\": {\n"   \
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"  \
	"  \"rules\": [\n"                                   \
	"   {\"name\": \"get\", \"methods\": [\"GET\"],\n"   \
	"    \"idempotent\": true, \"deadline_ms\": 1000,\n" \
	"    \"fairness_header\": \"X-Caller\",\n"           \
	"    \"retry\": {\"max_attempts\": 3,\n"             \
	"                \"budget_percent\": 10}},\n"        \
	"   {\"name\": \"post\", \"deadline_ms\": 1000,\n"   \
	"    \"fairness_header\": \"X-Caller\"}]}}}\n"

/* Three upstreams with four slots each and a service time of 40 ms have a
 * capacity of 300 calls per second. */
#define SLOTS "4"
#define SERVICE_TIME_US "40000"
#define RATE_QUIET "90"
#define RATE_OVERLOAD "900"
/* Callers disconnect if they have no answer after twice the deadline. */
#define CALLER_TIMEOUT_MS "2000"
#define SETTLE_MS 2000
#define LOAD_MS 60000
/* Calls during the overload whose answers are checked one by one. */
#define CONCURRENT_CALLS 20

static struct cluster cluster;

static struct rig_process *start_load(const char *rate, const char *seconds,
				      const char *caller)
{
	char *targets[3];
	char *header = g_strdup_printf("X-Caller: %s", caller);
	struct rig_process *load;

	for (unsigned int i = 0; i < G_N_ELEMENTS(targets); i++)
		targets[i] = g_strdup_printf("http://127.0.0.1:%u",
					     cluster.daemons[i]->caller_port);
	load = rig_start(cluster.rig, "standin/load/standin-load", "--target",
			 targets[0], "--target", targets[1], "--target",
			 targets[2], "--rate", rate, "--seconds", seconds,
			 "--header", header, "--id-prefix", caller,
			 "--share-nonidempotent", "0.2", "--deadline-ms",
			 CALLER_TIMEOUT_MS, NULL);
	for (unsigned int i = 0; i < G_N_ELEMENTS(targets); i++)
		g_free(targets[i]);
	g_free(header);
	return load;
}

/* Waits until the load has ended, and asserts that no answer was wrong, late or
 * truncated. RETURN VALUE: its summary, which the caller frees. */
static char *finish_load(struct rig_process *load)
{
	char *out;

	g_assert_cmpint(rig_wait_end(load, LOAD_MS), ==, 0);
	out = rig_read_output(load);
	g_test_message("%s", out);
	g_assert_cmpint(rig_json_int(out, "wrong"), ==, 0);
	g_assert_cmpint(rig_json_int(out, "timed-out"), ==, 0);
	g_assert_cmpint(rig_json_int(out, "broken"), ==, 0);
	return out;
}

static void expect_all_served(const char *caller)
{
	char *out = finish_load(start_load(RATE_QUIET, "2", caller));

	g_assert_cmpint(rig_json_int(out, "run"), ==,
			rig_json_int(out, "scheduled"));
	g_free(out);
}

/* Makes a call as the overloading caller. If it is refused, asserts that the
 * refusal is complete: the outcome, when to retry, and that it did not run.
 * RETURN VALUE: whether it was refused. */
static bool call_is_refused(int number)
{
	char *id = g_strdup_printf("single-%d", number);
	const char *headers[] = {"X-Caller", "rush", "X-Request-Id", id, NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%u/",
				    cluster.daemons[0]->caller_port);
	struct rig_answer *answer = rig_http("GET", url, headers, NULL, 5000);
	bool refused = answer->status == 503;
	const char *after = g_hash_table_lookup(answer->headers, "retry-after");

	g_free(url);
	g_assert_true(answer->arrived);
	if (refused) {
		g_assert_cmpstr(cluster_outcome(answer), ==, "not-run");
		g_assert_nonnull(after);
		g_assert_cmpint(atoi(after), >=, 1);
		g_assert_cmpint(cluster_runs(&cluster, id), ==, 0);
	}
	rig_answer_free(answer);
	g_free(id);
	return refused;
}

static gpointer call_in_thread(gpointer number)
{
	return GINT_TO_POINTER(call_is_refused(GPOINTER_TO_INT(number)));
}

/* Makes the calls concurrently: one after the other, those that wait to be
 * served would outlast the overload. RETURN VALUE: how many were refused. */
static int call_during_overload(void)
{
	GThread *threads[CONCURRENT_CALLS];
	int refused = 0;

	for (int i = 0; i < CONCURRENT_CALLS; i++)
		threads[i] = g_thread_new("single", call_in_thread,
					  GINT_TO_POINTER(i));
	for (int i = 0; i < CONCURRENT_CALLS; i++)
		refused += GPOINTER_TO_INT(g_thread_join(threads[i]));
	return refused;
}

/*
 * For some seconds there are three times as many calls as the upstreams can
 * run. Every call is answered: it is either served, or refused as not run with
 * a time to retry. Once the overload is over all calls are served again.
 */
static void test_overload_is_refused_and_ends(void)
{
	struct rig_process *load = start_load(RATE_OVERLOAD, "4", "rush");
	int refused;
	char *out;

	rig_sleep_ms(1500);
	refused = call_during_overload();
	out = finish_load(load);
	g_assert_cmpint(refused, >, 0);
	g_assert_cmpint(rig_json_int(out, "run"), >, 0);
	g_assert_cmpint(rig_json_int(out, "not-run"), >, 0);
	g_free(out);
	rig_sleep_ms(SETTLE_MS);
	expect_all_served("after-rush");
}

/*
 * One caller makes three times as many calls as the upstreams can run, for
 * example after a faulty release. Other callers with few calls must still be
 * served.
 */
static void test_hot_caller_does_not_starve_others(void)
{
	struct rig_process *hot = start_load(RATE_OVERLOAD, "5", "hot");
	struct rig_process *other;
	int64_t scheduled;
	char *out;

	rig_sleep_ms(1500);
	other = start_load("30", "2", "other");
	out = finish_load(other);
	scheduled = rig_json_int(out, "scheduled");
	g_assert_cmpint(rig_json_int(out, "run") * 10, >=, scheduled * 9);
	g_free(out);
	out = finish_load(hot);
	g_assert_cmpint(rig_json_int(out, "not-run"), >, 0);
	g_free(out);
	rig_sleep_ms(SETTLE_MS);
}

/*
 * One of three upstreams answers each call with an error immediately. Its slots
 * are always free, so a policy that prefers free slots would send it most
 * calls, where a third would be its fair share.
 */
static void test_fail_fast_gets_few_calls(void)
{
	int64_t scheduled;
	char *out;
	char *runs;

	cluster_set_upstream(&cluster, 1, "{\"fail_fast\": true}");
	out = finish_load(start_load(RATE_QUIET, "4", "failing"));
	scheduled = rig_json_int(out, "scheduled");
	g_free(out);
	runs = rig_http_ok("GET", cluster.upstreams[1]->port,
			   "/standin/runs?id=none", NULL);
	g_test_message("%s of %" G_GINT64_FORMAT, runs, scheduled);
	g_assert_cmpint(rig_json_int(runs, "failed_fast") * 6, <, scheduled);
	g_free(runs);
	cluster_set_upstream(&cluster, 1, "{\"fail_fast\": false}");
}

/*
 * An upstream becomes ten times slower, as with a failing disk. The others have
 * capacity left: no call may be refused, and none may wait until its deadline.
 */
static void test_slow_upstream_refuses_nobody(void)
{
	char *out;

	cluster_set_upstream(&cluster, 2, "{\"factor\": 10}");
	out = finish_load(start_load(RATE_QUIET, "4", "slowed"));
	g_assert_cmpint(rig_json_int(out, "run"), ==,
			rig_json_int(out, "scheduled"));
	g_free(out);
	cluster_set_upstream(&cluster, 2, "{\"factor\": 1}");
}

int main(int argc, char **argv)
{
	struct cluster_options options = {
		.count = 3,
		.config = CONFIG,
		.slots = SLOTS,
		.service_time_us = SERVICE_TIME_US,
	};
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/load/overload", test_overload_is_refused_and_ends);
	g_test_add_func("/load/hot-caller",
			test_hot_caller_does_not_starve_others);
	g_test_add_func("/load/slow", test_slow_upstream_refuses_nobody);
	g_test_add_func("/load/fail-fast", test_fail_fast_gets_few_calls);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
