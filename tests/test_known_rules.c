#include <glib.h>
#include <string.h>

#include "comfreydockd/config/check.h"

#define RULE(name, prefix, rest)                           \
	"{\"name\":\"" name "\",\"path_prefix\":\"" prefix \
	"\",\"deadline_ms\":500" rest "}"
#define TO ",\"to\":[{\"group\":\"desk\"}]"
#define BODY(service, rules)                            \
	"{\"namespace\":\"team\",\"services\":{\"s\":{" \
	"\"hosts\":[\"a.example\"]" service ",\"rules\":[" rules "]}}}"
#define TWO RULE("b", "/b", TO) "," RULE("a", "/a", TO)

static const struct config_rule *rule_of(const struct config_namespace *ns,
					 guint index)
{
	const struct config_service *service = ns->services->pdata[0];

	return service->rules->pdata[index];
}

static struct config_namespace *load(const char *body)
{
	struct config_namespace *ns;
	struct findings findings;

	findings_init(&findings);
	ns = config_namespace_load_accepted(body, "", &findings);
	findings_finish(&findings);
	return ns;
}

static void assert_refused(const char *body)
{
	g_assert_null(load(body));
}

/* names: of the rules of the first service, each with a space after it. */
static void assert_rules(const char *body, const char *names)
{
	struct config_namespace *ns = load(body);
	const struct config_service *service = ns->services->pdata[0];
	GString *found = g_string_new(NULL);

	for (guint i = 0; i < service->rules->len; i++)
		g_string_append_printf(found, "%s ", rule_of(ns, i)->name);
	g_assert_cmpstr(found->str, ==, names);
	g_string_free(found, TRUE);
	config_namespace_unref(ns);
}

/*
 * Guards against a pause of milliseconds for every request when a team changes
 * one of many rules and the daemon parses all of them again.
 */
static void test_unchanged_rules_are_reused(void)
{
	struct config_namespace *first = load(BODY("", TWO));
	struct config_namespace *next =
		load(BODY("", RULE("c", "/c", TO) "," TWO));

	g_assert_true(rule_of(first, 0) == rule_of(next, 1));
	g_assert_true(rule_of(first, 1) == rule_of(next, 2));
	config_namespace_unref(first);
	g_assert_cmpstr(rule_of(next, 0)->name, ==, "c");
	g_assert_cmpstr(rule_of(next, 1)->name, ==, "b");
	g_assert_cmpstr(rule_of(next, 2)->path_prefix, ==, "/a");
	config_namespace_unref(next);
}

/* Guards against a cached rule that is used although one letter of its text
 * changed. */
static void test_changed_rule_is_parsed(void)
{
	struct config_namespace *first = load(BODY("", TWO));
	struct config_namespace *next =
		load(BODY("", RULE("b", "/b", TO) "," RULE("a", "/x", TO)));

	g_assert_true(rule_of(first, 0) == rule_of(next, 0));
	g_assert_cmpstr(rule_of(first, 1)->path_prefix, ==, "/a");
	g_assert_cmpstr(rule_of(next, 1)->path_prefix, ==, "/x");
	config_namespace_unref(first);
	config_namespace_unref(next);
}

/*
 * Guards against requests to the wrong upstreams. A rule without destinations
 * uses the group of its service, so the same text in another service means
 * another group.
 */
static void test_rule_without_destinations_is_not_reused(void)
{
	struct config_namespace *first =
		load(BODY(",\"group\":\"old\"", RULE("a", "/a", "")));
	struct config_namespace *next =
		load(BODY(",\"group\":\"new\"", RULE("a", "/a", "")));

	g_assert_cmpstr(config_rule_select_group(rule_of(first, 0), 0), ==,
			"old");
	g_assert_cmpstr(config_rule_select_group(rule_of(next, 0), 0), ==, "new");
	config_namespace_unref(first);
	config_namespace_unref(next);
}

static void assert_check_finds(const char *body, const char *expected)
{
	struct findings findings;
	char *found;

	findings_init(&findings);
	g_assert_null(config_namespace_load("f", body, &findings));
	found = findings_to_text(&findings);
	if (!strstr(found, expected))
		g_error("expected \"%s\" in: %s", expected, found);
	g_free(found);
	findings_finish(&findings);
}

/* Guards against rules that are not checked together: two may have the same
 * name, or one may shadow the other. A file with these is refused when it is
 * applied; a version that is in force elsewhere is adopted as it stands. */
static void test_known_rules_are_checked_together(void)
{
	struct config_namespace *first = load(BODY("", TWO));
	struct config_namespace *wide = load(BODY("", RULE("w", "/", TO)));

	assert_check_finds(BODY("", TWO "," RULE("a", "/a", TO)),
			   "another rule has this name");
	assert_check_finds(BODY("", RULE("w", "/", TO) "," TWO),
			   "never applies");
	assert_check_finds(BODY("", RULE("b", "/z", TO) "," TWO),
			   "another rule has this name");
	assert_rules(BODY("", TWO "," RULE("a", "/a", TO)), "b a a ");
	assert_rules(BODY("", RULE("w", "/", TO) "," TWO), "w b a ");
	assert_rules(BODY("", RULE("b", "/z", TO) "," TWO), "b b a ");
	config_namespace_unref(first);
	config_namespace_unref(wide);
}

/* Guards against malformed text in place of a rule that passes for a cached
 * rule. */
static void test_malformed_items_are_not_taken_for_known_rules(void)
{
	struct config_namespace *first = load(BODY("", TWO));

	assert_rules(BODY("", "-1"), "");
	assert_refused(BODY("", TWO "2"));
	assert_refused(BODY("", "2" TWO));
	assert_refused(BODY("", RULE("c", "/c", TO) "2," TWO));
	assert_refused(BODY("", RULE("b", "/b", TO) RULE("a", "/a", TO)));
	assert_rules("{\"namespace\":\"team\",\"services\":{"
		     "\"t\":{\"hosts\":[\"b.example\"],\"rules\":[-1]},"
		     "\"s\":{\"hosts\":[\"a.example\"],\"rules\":[" TWO "]}}}",
		     "");
	assert_rules(BODY("", TWO ",-1"), "b a ");
	assert_rules(BODY("", TWO ",0"), "b a ");
	assert_rules(BODY("", TWO ",null"), "b a ");
	assert_rules(BODY(",\"shed_statuses\":[-1]", TWO), "b a ");
	assert_rules(BODY(",\"shed_statuses\":[" TWO "]", TWO), "b a ");
	assert_rules(BODY(",\"methods\":[" TWO "]", TWO), "b a ");
	assert_rules(BODY(",\"rules\":[" TWO "]", "1"), "");
	assert_rules(BODY("", TWO ",[" TWO "]"), "b a ");
	assert_refused(BODY("", TWO ",{\"name\":}"));
	assert_rules(BODY("", TWO "," RULE("c", "/c", TO ",\"x\":1")),
		     "b a c ");
	assert_rules(BODY("", TWO "," RULE("c", "/c", TO ",\"x\":1")),
		     "b a c ");
	config_namespace_unref(first);
}

/* Guards against different results for a body that can't be cut, here because
 * of its comment. */
static void test_uncut_body_gives_the_same_rules(void)
{
	struct config_namespace *first = load(BODY("", TWO));
	struct config_namespace *next = load(BODY("", TWO "/* }, */"));

	g_assert_cmpstr(rule_of(next, 0)->name, ==, "b");
	g_assert_cmpstr(rule_of(next, 1)->name, ==, "a");
	config_namespace_unref(first);
	config_namespace_unref(next);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/known_rules/reused", test_unchanged_rules_are_reused);
	g_test_add_func("/known_rules/changed", test_changed_rule_is_parsed);
	g_test_add_func("/known_rules/no-destination",
			test_rule_without_destinations_is_not_reused);
	g_test_add_func("/known_rules/shadowing",
			test_known_rules_are_checked_together);
	g_test_add_func("/known_rules/malformed",
			test_malformed_items_are_not_taken_for_known_rules);
	g_test_add_func("/known_rules/uncut",
			test_uncut_body_gives_the_same_rules);
	return g_test_run();
}
