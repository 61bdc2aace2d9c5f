#include <glib.h>

#include "common/findings.h"

/* An operator must get all errors of a file together, in the order of lines. */
static void test_findings_are_sorted_by_place(void)
{
	struct findings findings;
	char *text;

	findings_init(&findings);
	findings_add(&findings, FINDING_ERROR, "a.json", 9, "x.y", "late");
	findings_add(&findings, FINDING_WARNING, "a.json", 2, NULL, "early");
	findings_add(&findings, FINDING_ERROR, NULL, 0, NULL, "no place");
	text = findings_to_text(&findings);
	g_assert_cmpstr(text, ==,
			"error: no place\n"
			"a.json:2: warning: early\n"
			"a.json:9: error: x.y: late\n");
	g_assert_cmpuint(findings.errors, ==, 2);
	g_assert_cmpuint(findings.warnings, ==, 1);
	g_assert_true(findings_has_errors(&findings));
	g_free(text);
	findings_finish(&findings);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/findings/sorted", test_findings_are_sorted_by_place);
	return g_test_run();
}
