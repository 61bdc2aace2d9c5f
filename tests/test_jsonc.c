#include <glib.h>
#include <string.h>

#include "common/schema.h"

static void assert_findings(const char *text, const char *expected)
{
	struct findings findings;
	struct jsonc_doc *doc;
	char *found;

	findings_init(&findings);
	doc = jsonc_parse("f", text, &findings);
	found = findings_to_text(&findings);
	g_assert_cmpstr(found, ==, expected);
	g_assert_true(!doc == (*expected != '\0'));
	jsonc_doc_destroy(doc);
	g_free(found);
	findings_finish(&findings);
}

/*
 * Guards against silently lost duplicates. If an operator copies a service and
 * forgets to rename it, json-c keeps only the second one, and the callers of the
 * first would get answers from the wrong group.
 */
static void test_duplicate_keys_are_found(void)
{
	assert_findings("{\n\"a\": {\"x\": 1},\n// again\n\"a\": 2\n}",
			"f:4: error: a: duplicate key, first used in line 2\n");
	assert_findings(
		"{\"a\": [{\"x\": 1,\n\"x\": 2}]}",
		"f:2: error: a[0].x: duplicate key, first used in line 1\n");
	assert_findings("{\"a\": {\"x\": 1}, \"b\": {\"x\": 1}}", "");
	assert_findings("{\"a\": 1, \"\\u0061\": 2}",
			"f:1: error: \\u0061: keys must not contain escapes\n");
}

static void test_syntax_is_strict_but_for_comments(void)
{
	assert_findings("{\"a\": \"//no\", /* \"a\": 2, */ \"b\": \"\\\"}\"}",
			"");
	assert_findings("{\"a\": [1,\n2,\n]}",
			"f:3: error: a: trailing comma\n");
	assert_findings("{\"a\": 1, // last\n}",
			"f:2: error: trailing comma\n");
	assert_findings("{'a': 1}",
			"f:1: error: strings must be in double quotes\n");
	assert_findings("{} {}",
			"f:1: error: text after the end of the object\n");
	assert_findings("{}/*}/**//",
			"f:1: error: text after the end of the object\n");
	assert_findings("[]", "f:1: error: expected an object\n");
	assert_findings("{\n\"a\": }", "f:2: error: unexpected character\n");
	assert_findings("{\"a\": 1", "f:1: error: unexpected end of data\n");
}

static void test_lines_are_kept(void)
{
	struct findings findings;
	struct jsonc_doc *doc;

	findings_init(&findings);
	doc = jsonc_parse("f", "{\n\"a\": {\n\"b\": [1,\n{\"c\": 2}]}}",
			  &findings);
	g_assert_nonnull(doc);
	g_assert_cmpint(jsonc_line(doc, "a.b[1].c"), ==, 4);
	g_assert_cmpint(jsonc_line(doc, "a.b"), ==, 3);
	g_assert_cmpint(jsonc_line(doc, "a.missing.deep"), ==, 2);
	g_assert_cmpint(jsonc_line(doc, ""), ==, 1);
	jsonc_doc_destroy(doc);
	findings_finish(&findings);
}

/* Any text gives either findings or a document, without a crash. */
static void test_random_text_is_survived(void)
{
	static const char alphabet[] = "{}[]\",:'/*\n1at\\ -";

	for (int i = 0; i < 20000; i++) {
		char text[24] = {'{'};
		struct findings findings;

		for (size_t j = 1; j < sizeof(text) - 1; j++)
			text[j] = alphabet[g_test_rand_int_range(
				0, sizeof(alphabet) - 1)];
		findings_init(&findings);
		jsonc_doc_destroy(jsonc_parse("f", text, &findings));
		findings_finish(&findings);
	}
}

static void test_unknown_keys_get_a_suggestion(void)
{
	struct findings findings;
	struct jsonc_doc *doc;
	struct schema schema;
	char *text;

	findings_init(&findings);
	doc = jsonc_parse("f", "{\"deadline\": 5, \"zzzz\": 1, \"n\": -1}",
			  &findings);
	schema_init(&schema, doc, &findings);
	schema_uint(&schema, "deadline_ms", SCHEMA_REQUIRED, 0, 1, 9);
	schema_uint(&schema, "n", SCHEMA_OPTIONAL, 0, 0, UINT64_MAX);
	schema_finish(&schema);
	text = findings_to_text(&findings);
	g_assert_cmpstr(
		text, ==,
		"f:1: error: deadline_ms: is missing\n"
		"f:1: error: n: must be between 0 and 18446744073709551615\n"
		"f:1: error: deadline: unknown key, did you mean "
		"\"deadline_ms\"?\n"
		"f:1: error: zzzz: unknown key\n");
	g_free(text);
	jsonc_doc_destroy(doc);
	findings_finish(&findings);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/jsonc/duplicates", test_duplicate_keys_are_found);
	g_test_add_func("/jsonc/syntax", test_syntax_is_strict_but_for_comments);
	g_test_add_func("/jsonc/lines", test_lines_are_kept);
	g_test_add_func("/jsonc/random", test_random_text_is_survived);
	g_test_add_func("/jsonc/schema", test_unknown_keys_get_a_suggestion);
	return g_test_run();
}
