#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <string.h>

#include "cluster.h"

#define PROPAGATION_MAX_MS 10000 /* the documented limit */
#define OPERATORS 5

static struct cluster cluster;
static const struct cluster_options options = {.count = 5, .config = ""};
static uint64_t applied; /* the version of "t" in force */

static char *file_text(const char *note)
{
	return g_strdup_printf(
		"{ // %s\n"
		"\"namespace\": \"t\", \"services\": {\"s\": {\n"
		"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
		"  \"rules\": [{\"name\": \"all\", \"deadline_ms\": "
		"2000}]}}}\n",
		note);
}

/* RETURN VALUE: the status. Unless out is NULL, *out receives the answer's
 * body. */
static long apply(unsigned int daemon, uint64_t base, const char *note, char **out)
{
	char *text = file_text(note);
	char *url = g_strdup_printf(
		"http://127.0.0.1:%u/v1/config/apply?base=%" G_GUINT64_FORMAT
		"&who=%s",
		cluster.daemons[daemon]->admin_port, base, note);
	struct rig_answer *answer = rig_http("POST", url, NULL, text, 15000);
	long status = answer->status;

	if (out)
		*out = g_strdup(answer->body->str);
	rig_answer_free(answer);
	g_free(url);
	g_free(text);
	return status;
}

static void apply_and_expect_success(unsigned int daemon, const char *note)
{
	char *out;
	long status = apply(daemon, applied, note, &out);

	g_test_message("%s", out);
	g_assert_cmpint((int)status, ==, 200);
	g_assert_cmpint(rig_json_int(out, "version"), ==, (int)applied + 1);
	applied++;
	g_free(out);
}

static int64_t read_version(unsigned int i)
{
	char *json = rig_http_ok("GET", cluster.daemons[i]->admin_port,
				 "/v1/config", NULL);
	int64_t version =
		strstr(json, "\"t\"") ? rig_json_int(json, "version") : 0;

	g_free(json);
	return version;
}

static bool all_have_applied(void *data)
{
	(void)data;
	for (unsigned int i = 0; i < cluster.count; i++) {
		if (read_version(i) != (int64_t)applied)
			return false;
	}
	return true;
}

static void set_platform_faults(const char *json)
{
	g_free(rig_http_ok("POST", cluster.platform->port, "/standin/fault",
			   json));
}

/* RETURN VALUE: how often the namespace's row was written, according to the
 * platform's history. */
static uint64_t count_commits(void)
{
	char *text = rig_http_ok("GET", cluster.platform->port,
				 "/standin/history", NULL);
	json_object *root = json_tokener_parse(text);
	json_object *history = json_object_object_get(root, "history");
	uint64_t commits = 0;

	for (size_t i = 0; i < json_object_array_length(history); i++) {
		const char *entry = json_object_to_json_string(
			json_object_array_get_idx(history, i));

		commits += strstr(entry, "namespace\\/t\"") != NULL;
	}
	json_object_put(root);
	g_free(text);
	return commits;
}

static void test_apply_is_in_force_everywhere(void)
{
	for (unsigned int i = 0; i < cluster.count; i++) {
		apply_and_expect_success(i, "first");
		g_assert_true(rig_wait_until(all_have_applied, NULL,
					     PROPAGATION_MAX_MS));
	}
	for (unsigned int i = 0; i < cluster.count; i++) {
		struct rig_answer *answer =
			cluster_call(&cluster, i, "GET", "/", "e1", NULL, 5000);

		g_assert_cmpstr(cluster_outcome(answer), ==, "run");
		rig_answer_free(answer);
	}
}

/*
 * Five operators apply different files at the same moment, each through another
 * daemon. Exactly one apply may succeed; the others report a conflict and name
 * the operator who succeeded. Otherwise one of them would silently overwrite
 * the rules of another.
 */
static void test_one_concurrent_apply_succeeds(void)
{
	/* Slow answers let all read the same version before the first
	 * writes. */
	set_platform_faults("{\"slow_ms\": 100}");
	for (int round = 0; round < 5; round++) {
		struct rig_process *tools[OPERATORS];
		char *base = g_strdup_printf("%d", (int)applied);
		unsigned int winners = 0;

		for (unsigned int i = 0; i < OPERATORS; i++) {
			char *name = g_strdup_printf("race-%d-%u", round, i);
			char *text = file_text(name);
			char *admin =
				g_strdup_printf("http://127.0.0.1:%u",
						cluster.daemons[i]->admin_port);
			const char *path =
				rig_write_file(cluster.rig, name, "%s", text);

			tools[i] = rig_start(cluster.rig,
					     "comfreydockctl/comfreydockctl",
					     "apply", "--admin", admin,
					     "--base", base, path, NULL);
			g_free(admin);
			g_free(text);
			g_free(name);
		}
		for (unsigned int i = 0; i < OPERATORS; i++) {
			int status = rig_wait_end(tools[i], 20000);
			char *out = rig_read_output(tools[i]);

			g_test_message("%s", out);
			winners += strstr(out, "in force as version") != NULL;
			g_assert_true(status == 0 || strstr(out, "conflict:"));
			g_free(out);
		}
		g_assert_cmpuint(winners, ==, 1);
		applied++;
		g_assert_cmpuint(count_commits(), ==, applied);
		g_free(base);
	}
	set_platform_faults("{\"slow_ms\": 0}");
	g_assert_true(rig_wait_until(all_have_applied, NULL, PROPAGATION_MAX_MS));
}

/* The platform takes writes, but most of its answers are lost. The apply then
 * reads the row again, so that it reports what the platform holds and writes
 * nothing twice. */
static void test_lost_answers_are_resolved(void)
{
	char *stats;

	set_platform_faults("{\"lose_answer_share\": 0.7, \"seed\": 5}");
	for (unsigned int i = 0; i < 4; i++) {
		apply_and_expect_success(i, "lost");
		g_assert_cmpuint(count_commits(), ==, applied);
	}
	set_platform_faults("{\"lose_answer_share\": 0}");
	stats = rig_http_ok("GET", cluster.platform->port, "/standin/stats",
			    NULL);
	g_assert_cmpint(rig_json_int(stats, "lost_answers"), >=, 4);
	g_free(stats);
	g_assert_true(rig_wait_until(all_have_applied, NULL, PROPAGATION_MAX_MS));
}

/*
 * The platform is down for a long time. Calls are still served; an apply is
 * refused and changes nothing. A host that is replaced meanwhile gets the
 * version that its peers hold, never an older one.
 */
static void test_outage_stops_only_applies(void)
{
	struct rig_answer *answer;
	char *out;

	set_platform_faults("{\"down\": true}");
	g_assert_cmpint((int)apply(0, applied, "down", &out), !=, 200);
	g_test_message("%s", out);
	g_free(out);
	g_assert_cmpuint(count_commits(), ==, applied);
	rig_kill(cluster.daemons[3]);
	rig_kill(cluster.upstreams[3]);
	cluster_start_daemon(&cluster, 3, &options);
	cluster_start_upstream(&cluster, 3, &options);
	g_assert_true(rig_wait_until(all_have_applied, NULL, PROPAGATION_MAX_MS));
	for (unsigned int i = 0; i < cluster.count; i++) {
		answer = cluster_call(&cluster, i, "GET", "/", "o1", NULL, 5000);
		g_assert_cmpstr(cluster_outcome(answer), ==, "run");
		rig_answer_free(answer);
	}
	set_platform_faults("{\"down\": false}");
	apply_and_expect_success(3, "again");
	g_assert_true(rig_wait_until(all_have_applied, NULL, PROPAGATION_MAX_MS));
}

/* A daemon that reaches neither a platform nor a peer has no rules. It must
 * answer 503, since callers would not retry after "no such service". */
static void test_without_any_configuration_nothing_runs(void)
{
	struct rig_process *alone;
	struct rig_answer *answer;
	char *url;

	alone = rig_start_daemon(
		cluster.rig, "alone",
		rig_write_file(
			cluster.rig, "alone.json",
			"{\"host\": \"alone\", \"domain\": \"hall-askja\",\n"
			"\"region\": \"reykjavik\",\n"
			"\"caller\": {\"address\": \"127.0.0.1\", \"port\": "
			"0},\n"
			"\"admin\": {\"address\": \"127.0.0.1\", \"port\": "
			"0},\n"
			"\"peer\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
			" \"key_file\": \"%s\"},\n"
			"\"platform\": {\"url\": \"http://127.0.0.1:1\"}}\n",
			cluster.key_file));
	url = g_strdup_printf("http://127.0.0.1:%u/", alone->caller_port);
	rig_sleep_ms(1500);
	answer = rig_http("GET", url, NULL, NULL, 5000);
	g_assert_cmpint((int)answer->status, ==, 503);
	g_assert_cmpstr(cluster_outcome(answer), ==, "not-run");
	rig_answer_free(answer);
	rig_kill(alone);
	g_free(url);
}

/* Each answer of the platform takes a second. Applies take longer but succeed,
 * and calls are not affected. */
static void test_slow_platform_only_slows_applies(void)
{
	struct rig_answer *answer;

	set_platform_faults("{\"slow_ms\": 1000}");
	apply_and_expect_success(2, "slow");
	answer = cluster_call(&cluster, 1, "GET", "/", "s1", NULL, 5000);
	g_assert_cmpstr(cluster_outcome(answer), ==, "run");
	rig_answer_free(answer);
	g_assert_true(rig_wait_until(all_have_applied, NULL, PROPAGATION_MAX_MS));
	set_platform_faults("{\"slow_ms\": 0}");
}

static void test_wait_reports_adopting_daemons(void)
{
	char *admin = g_strdup_printf("http://127.0.0.1:%u",
				      cluster.daemons[0]->admin_port);
	char *base = g_strdup_printf("%d", (int)applied);
	char *text = file_text("wait");
	char *out;
	int status =
		rig_run(cluster.rig, &out, "comfreydockctl/comfreydockctl",
			"apply", "--admin", admin, "--wait", "--base", base,
			rig_write_file(cluster.rig, "wait", "%s", text), NULL);

	g_test_message("%s", out);
	g_assert_cmpint(status, ==, 0);
	g_assert_nonnull(strstr(out, "held by 5 of 5 daemons"));
	applied++;
	g_free(out);
	g_free(text);
	g_free(base);
	g_free(admin);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/config/everywhere", test_apply_is_in_force_everywhere);
	g_test_add_func("/config/race", test_one_concurrent_apply_succeeds);
	g_test_add_func("/config/lost", test_lost_answers_are_resolved);
	g_test_add_func("/config/outage", test_outage_stops_only_applies);
	g_test_add_func("/config/no-configuration",
			test_without_any_configuration_nothing_runs);
	g_test_add_func("/config/slow", test_slow_platform_only_slows_applies);
	g_test_add_func("/config/wait", test_wait_reports_adopting_daemons);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
