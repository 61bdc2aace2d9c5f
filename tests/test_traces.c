#include <glib.h>

#include "bench/decide/outcome.h"

/* Replays each trace and checks the statements of its outcome file. */
static void test_trace(const void *data)
{
	const char *path = data;
	struct findings findings;
	char *text;

	findings_init(&findings);
	outcome_check(path, &findings);
	text = findings_to_text(&findings);
	g_assert_cmpstr(text, ==, "");
	g_free(text);
	findings_finish(&findings);
}

static void add_traces(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		char *test;

		if (!g_str_has_suffix(name, ".trace"))
			continue;
		test = g_strdup_printf("/traces/%s", name);
		g_test_add_data_func_full(test,
					  g_build_filename(folder, name, NULL),
					  test_trace, g_free);
		g_free(test);
	}
	g_dir_close(dir);
}

int main(int argc, char **argv)
{
	char *folder = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "tests",
					"traces", NULL);
	int result;

	g_test_init(&argc, &argv, NULL);
	add_traces(folder);
	result = g_test_run();
	g_free(folder);
	return result;
}
