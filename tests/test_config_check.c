#include <glib.h>
#include <string.h>

#include "comfreydockd/config/check.h"
#include "comfreydockd/config/routes.h"
#include "sample_config.h"

static struct config_snapshot *load_sample(void)
{
	struct config_snapshot *empty = config_snapshot_create();
	struct config_snapshot *snapshot;
	struct config_namespace *ns;
	char *text = sample_config_read();
	struct findings findings;
	char *found;

	findings_init(&findings);
	ns = config_namespace_load("sample", text, &findings);
	found = findings_to_text(&findings);
	g_assert_cmpstr(found, ==, "");
	snapshot = config_snapshot_with(empty, ns);
	config_namespace_unref(ns);
	config_snapshot_unref(empty);
	findings_finish(&findings);
	g_free(found);
	g_free(text);
	return snapshot;
}

static void assert_match(const struct config_snapshot *snapshot,
			 const char *host, const char *method, const char *path,
			 const char *service_name, const char *rule_name)
{
	const struct config_service *service;
	const struct config_rule *rule;
	bool found = config_snapshot_match(snapshot, host, method, path,
					   &service, &rule);

	g_assert_cmpstr(service ? service->name : NULL, ==, service_name);
	g_assert_cmpstr(rule ? rule->name : NULL, ==, rule_name);
	g_assert_true(found == (rule_name != NULL));
}

static void test_request_matches_rule(void)
{
	struct config_snapshot *snapshot = load_sample();
	const char *host = "Lookup.Spurningalina.example:8080";

	assert_match(snapshot, host, "GET", "/archive/x", "lookup-desk",
		     "search");
	assert_match(snapshot, host, "POST", "/lookup/connect?id=1",
		     "lookup-desk", "connect-through");
	assert_match(snapshot, host, "POST", "/lookup/connections",
		     "lookup-desk", NULL);
	assert_match(snapshot, "127.0.0.1", "GET", "/archive/bundles/a",
		     "archive-feed", "bundle");
	assert_match(snapshot, NULL, "GET", "/archive", "archive-feed", "check");
	assert_match(snapshot, NULL, "GET", "/archives", NULL, NULL);
	config_snapshot_unref(snapshot);
}

static struct config_service *service_of(const char *host, const char *prefix)
{
	struct config_service *service = g_new0(struct config_service, 1);

	service->name = g_strdup(prefix ? prefix : host);
	if (host)
		service->hosts = g_strsplit(host, " ", 0);
	if (prefix)
		service->path_prefixes = g_strsplit(prefix, " ", 0);
	service->rules = g_ptr_array_new();
	return service;
}

static void assert_route(const struct config_routes *routes, const char *host,
			 const char *path, const char *expected)
{
	const struct config_service *service =
		config_routes_find(routes, host, path);

	g_assert_cmpstr(service ? service->name : NULL, ==, expected);
}

/*
 * Guards against requests that reach another team's servers. Teams share a host
 * and nest their paths, so a match by a shorter prefix or by part of a segment
 * would select the wrong service.
 */
static void test_longest_segment_prefix_wins(void)
{
	struct config_service *services[] = {
		service_of(NULL, "/a"),	     service_of(NULL, "/a/b"),
		service_of(NULL, "/a/b/c/"), service_of("A.example", NULL),
		service_of(NULL, "/a/b"),
	};
	struct config_routes *routes = config_routes_create();
	char *long_path = g_strnfill(100000, '/');

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		config_routes_add(routes, services[i]);
	assert_route(routes, NULL, "/a", "/a");
	assert_route(routes, NULL, "/a/", "/a");
	assert_route(routes, NULL, "/ab", NULL);
	assert_route(routes, NULL, "/a/bc", "/a");
	assert_route(routes, NULL, "/a?b=/a/b", "/a");
	assert_route(routes, NULL, "/a/b?x", "/a/b");
	assert_route(routes, NULL, "/a/b/c", "/a/b");
	assert_route(routes, NULL, "/a/b/c/d/e/f", "/a/b/c/");
	assert_route(routes, "a.EXAMPLE:80", "/a/b", "A.example");
	assert_route(routes, "b.example", "/a/b/c/", "/a/b/c/");
	assert_route(routes, "", long_path, NULL);
	g_assert_true(config_routes_find(routes, NULL, "/a/b") == services[1]);
	config_routes_destroy(routes);
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		config_service_destroy(services[i]);
	g_free(long_path);
}

/* Guards against defaults that let a request which is not idempotent, such as a
 * booking, run twice. */
static void test_defaults_are_safe(void)
{
	struct config_snapshot *snapshot = load_sample();
	const struct config_service *service;
	const struct config_rule *rule;

	config_snapshot_match(snapshot, NULL, "POST", "/lookup/connect",
			      &service, &rule);
	g_assert_false(rule->idempotent);
	g_assert_false(rule->hedge);
	config_snapshot_match(snapshot, NULL, "GET", "/archive/bundles/x",
			      &service, &rule);
	g_assert_cmpuint(rule->max_attempts, ==, 1);
	g_assert_cmpuint(service->shed_statuses[0], ==, 0);
	g_assert_null(service->health_path);
	config_snapshot_unref(snapshot);
}

static void assert_refused(const char *from, const char *to, const char *expected)
{
	char *sample = sample_config_read();
	GString *text = g_string_new(sample);
	struct findings findings;
	char *found;

	g_assert_cmpuint(g_string_replace(text, from, to, 1), ==, 1);
	findings_init(&findings);
	g_assert_null(config_namespace_load("f", text->str, &findings));
	found = findings_to_text(&findings);
	if (!strstr(found, expected))
		g_error("expected \"%s\" in: %s", expected, found);
	g_free(found);
	findings_finish(&findings);
	g_string_free(text, TRUE);
	g_free(sample);
}

/*
 * Guards against mistakes in hand-edited files. Without the check each of them
 * would be put in force and do something else than its author intended.
 */
static void test_invalid_files_are_rejected(void)
{
	assert_refused("\"idempotent\": true", "\"idempotent\": false",
		       "rules[1].hedge: only an idempotent rule may be hedged");
	assert_refused("\"idempotent\"", "\"idempotant\"",
		       "idempotant: unknown key, did you mean \"idempotent\"?");
	assert_refused("\"archive-feed\": {", "\"lookup-desk\": {",
		       "duplicate key, first used in line 7");
	assert_refused(
		"[\"/archive\"]", "[\"/lookup\"]",
		"f:40: error: services.archive-feed.path_prefixes: "
		"\"/lookup\" belongs to service \"lookup-desk\" already");
	assert_refused("\"path_prefix\": \"/archive/bundles/\",", "",
		       "rules[1]: never applies: the earlier rule \"bundle\"");
	assert_refused("\"budget_permille\": 2", "\"budget_permille\": 0",
		       "with a budget of 0 no path is ever asked");
	assert_refused("\"bulk\"", "\"bulky\"",
		       "must be one of: interactive, normal, bulk");
	assert_refused("\"POST\"", "\"post\"",
		       "\"post\" is not a supported method");
	assert_refused("[503]", "[200]", "a status from 400 to 599");
	assert_refused("\"deadline_ms\": 8000,", "", "deadline_ms: is missing");
	assert_refused("\"group\": \"lookup-desk\",", "",
		       "rules[0].to: is required if the service has no group");
	assert_refused("\"deadline_ms\": 8000,",
		       "\"deadline_ms\": 8000,"
		       "\"to\": [{\"group\": \"a\", \"weight\": 0}],",
		       "rules[0].to: needs a weight above 0");
	assert_refused("\"deadline_ms\": 8000,",
		       "\"deadline_ms\": 8000, \"to\": [{\"wait\": 1}],",
		       "rules[0].to[0].group: is missing");
}

/* Guards against two teams with one host name: its requests would go to the
 * namespace that sorts first. */
static void test_hosts_of_other_namespace_are_rejected(void)
{
	struct config_snapshot *snapshot = load_sample();
	char *sample = sample_config_read();
	GString *text = g_string_new(sample);
	struct config_namespace *ns;
	struct findings findings;

	g_string_replace(text, "\"namespace\": \"spurningalina\"",
			 "\"namespace\": \"other\"", 1);
	findings_init(&findings);
	ns = config_namespace_load("f", text->str, &findings);
	g_assert_nonnull(ns);
	config_check_against(snapshot, ns, "f", &findings);
	g_assert_cmpuint(findings.errors, ==, 2);
	config_namespace_unref(ns);
	findings_finish(&findings);
	g_string_free(text, TRUE);
	g_free(sample);
	config_snapshot_unref(snapshot);
}

/*
 * Guards against a wrong split of a rule's requests between groups: each group
 * must get the share of its weight, and a group with a weight of 0 none.
 */
static void test_destinations_are_selected_by_weight(void)
{
	struct config_rule *rule = config_rule_create();

	config_rule_add_destination(rule, "a", 90);
	config_rule_add_destination(rule, "b", 0);
	config_rule_add_destination(rule, "c", 10);
	g_assert_cmpuint(config_rule_total_weight(rule), ==, 100);
	g_assert_cmpstr(config_rule_select_group(rule, 0), ==, "a");
	g_assert_cmpstr(config_rule_select_group(rule, 89), ==, "a");
	g_assert_cmpstr(config_rule_select_group(rule, 90), ==, "c");
	g_assert_cmpstr(config_rule_select_group(rule, 99), ==, "c");
	config_rule_unref(rule);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/check/match", test_request_matches_rule);
	g_test_add_func("/check/defaults", test_defaults_are_safe);
	g_test_add_func("/check/invalid", test_invalid_files_are_rejected);
	g_test_add_func("/check/weights",
			test_destinations_are_selected_by_weight);
	g_test_add_func("/check/other-namespace",
			test_hosts_of_other_namespace_are_rejected);
	g_test_add_func("/check/longest-prefix",
			test_longest_segment_prefix_wins);
	return g_test_run();
}
