#include <glib.h>
#include <signal.h>
#include <string.h>

#include "cluster.h"

static struct cluster cluster;

static void expect(struct rig_answer *answer, long status, const char *outcome)
{
	g_assert_true(answer->arrived);
	g_assert_cmpint((int)answer->status, ==, (int)status);
	g_assert_cmpstr(cluster_outcome(answer), ==, outcome);
}

static void test_any_daemon_reaches_the_service(void)
{
	for (unsigned int i = 0; i < cluster.count; i++) {
		char *id = g_strdup_printf("any-%u", i);
		struct rig_answer *answer = cluster_call(
			&cluster, i, "GET", "/lookup?name=x", id, NULL, 5000);

		expect(answer, 200, "run");
		g_assert_nonnull(strstr(answer->body->str, id));
		g_assert_cmpint(cluster_runs(&cluster, id), ==, 1);
		rig_answer_free(answer);
		g_free(id);
	}
}

static void test_bodies_are_forwarded_unchanged(void)
{
	GString *body = g_string_new(NULL);
	struct rig_answer *answer;

	for (int i = 0; i < 40000; i++)
		g_string_append_printf(body, "line %d of a long body\n", i);
	answer = cluster_call(&cluster, 0, "POST", "/echo", "body-1", body->str,
			      10000);
	expect(answer, 200, "run");
	g_assert_cmpuint(answer->body->len, ==, body->len);
	g_assert_true(g_string_equal(answer->body, body));
	rig_answer_free(answer);
	g_string_free(body, TRUE);
}

static void test_other_methods_match_the_last_rule(void)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/",
				    cluster.daemons[0]->caller_port);
	struct rig_answer *answer;

	/* The service has all paths, so only a rule could be missing. The rule
	 * "post" matches every method that "get" does not. */
	answer = rig_http("DELETE", url, NULL, NULL, 5000);
	expect(answer, 200, "run");
	rig_answer_free(answer);
	g_free(url);
}

/*
 * An operator investigates a slow call and asks a daemon that never handled it.
 * The timeline must be complete, or list the daemons that are missing from it.
 */
static void test_any_daemon_returns_the_timeline(void)
{
	static const char *const events[] = {"entry.taken",    "entry.sent",
					     "owner.started",  "owner.done",
					     "entry.answered", "entry.ended"};
	struct rig_answer *answer =
		cluster_call(&cluster, 2, "GET", "/x", "traced", NULL, 5000);
	const char *trace =
		g_hash_table_lookup(answer->headers, "comfreydock-trace");
	char *path = g_strdup_printf("/v1/timeline?trace=%s", trace);

	for (unsigned int i = 0; i < cluster.count; i++) {
		char *text = rig_http_ok("GET", cluster.daemons[i]->admin_port,
					 path, NULL);

		for (size_t j = 0; j < G_N_ELEMENTS(events); j++)
			g_assert_nonnull(strstr(text, events[j]));
		g_assert_nonnull(strstr(text, "\"missing\":[]"));
		g_free(text);
	}
	g_free(path);
	rig_answer_free(answer);
}

/*
 * An operator drains an upstream for maintenance under load. Running calls
 * finish, new calls go to the other upstreams, and no caller gets an error.
 */
static void test_drain_interrupts_no_calls(void)
{
	struct rig_process *load;
	char *a = g_strdup_printf("http://127.0.0.1:%u",
				  cluster.daemons[0]->caller_port);
	char *b = g_strdup_printf("http://127.0.0.1:%u",
				  cluster.daemons[1]->caller_port);
	char *out;

	load = rig_start(cluster.rig, "standin/load/standin-load", "--target",
			 a, "--target", b, "--rate", "200", "--seconds", "4",
			 "--share-nonidempotent", "0.5", "--seed", "3", NULL);
	rig_sleep_ms(1000);
	g_free(rig_http_ok("POST", cluster.daemons[1]->admin_port,
			   "/v1/upstream/stop", ""));
	/* The daemon has reported that the upstream may stop, so this must not
	 * interrupt any call. */
	rig_signal(cluster.upstreams[1], SIGTERM);
	rig_wait_end(load, 20000);
	out = rig_read_output(load);
	g_test_message("%s", out);
	g_assert_cmpint(rig_json_int(out, "run"), ==,
			rig_json_int(out, "scheduled"));
	g_assert_cmpint(rig_json_int(out, "wrong"), ==, 0);
	g_free(out);
	g_free(a);
	g_free(b);
}

int main(int argc, char **argv)
{
	struct cluster_options options = {.count = 3};
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/path/any-daemon", test_any_daemon_reaches_the_service);
	g_test_add_func("/path/bodies", test_bodies_are_forwarded_unchanged);
	g_test_add_func("/path/other-methods",
			test_other_methods_match_the_last_rule);
	g_test_add_func("/path/time-line", test_any_daemon_returns_the_timeline);
	g_test_add_func("/path/drain", test_drain_interrupts_no_calls);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
