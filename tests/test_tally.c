#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "common/tally.h"

static void assert_has(const char *line, bool wanted)
{
	GString *text = g_string_new(NULL);
	char *whole = g_strconcat("\n", line, "\n", NULL);

	tally_append_text(text);
	g_assert_true((strstr(text->str, whole) != NULL) == wanted);
	g_free(whole);
	g_string_free(text, TRUE);
}

static void test_labels(void)
{
	tally_add(TALLY_CALLS, "lookup", "run");
	tally_add(TALLY_CALLS, "lookup", "run");
	tally_add(TALLY_CALLS, "lookup", "not-run");
	tally_add(TALLY_REFUSALS, "REASON_BUSY", NULL);
	assert_has("comfreydock_calls{rule=\"lookup\",outcome=\"run\"} 2", true);
	assert_has("comfreydock_calls{rule=\"lookup\",outcome=\"not-run\"} 1",
		   true);
	assert_has("comfreydock_refusals{reason=\"REASON_BUSY\"} 1", true);
}

/*
 * Rule names come from configuration files. Without escaping, a quote in a name
 * would end its label, and the metrics collector would refuse the whole response.
 */
static void test_quotes(void)
{
	tally_add(TALLY_CALLS, "a\"b\\c\nd", "run");
	assert_has(
		"comfreydock_calls{rule=\"a\\\"b\\\\c d\",outcome=\"run\"} 1",
		true);
}

/*
 * Guards against metrics and memory that grow without bound because of a file with
 * thousands of rules, or one whose rule names change with each apply.
 */
static void test_bounded(void)
{
	for (int i = 0; i < 2 * TALLY_SERIES_MAX; i++) {
		char *name = g_strdup_printf("REASON_%d", i);

		tally_add(TALLY_NOT_RUN, name, NULL);
		g_free(name);
	}
	assert_has("comfreydock_calls_not_run_by{reason=\"REASON_0\"} 1", true);
	assert_has("comfreydock_calls_not_run_by{reason=\"REASON_256\"} 1",
		   false);
	assert_has("comfreydock_calls_not_run_by{reason=\"other\"} 256", true);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tally/labels", test_labels);
	g_test_add_func("/tally/quotes", test_quotes);
	g_test_add_func("/tally/bounded", test_bounded);
	return g_test_run();
}
