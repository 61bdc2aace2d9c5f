#include <glib.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <string.h>
#include <sys/wait.h>

/* RETURN VALUE: true if tools/check-capacity accepts the page. *out is its output,
 * which the caller frees. */
static bool check(const char *page, char **out)
{
	char *tool = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "tools",
				      "check-capacity", NULL);
	char *argv[] = {tool, (char *)page, NULL};
	int status = -1;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				   NULL, out, NULL, &status, NULL));
	g_free(tool);
	return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/*
 * Guards against a figure that was written from memory, or not updated after a
 * new measurement. Operators would buy hosts based on a figure that no run has
 * given.
 */
static void assert_checked(const char *text, const char *finding)
{
	char *folder = g_dir_make_tmp("capacity-XXXXXX", NULL);
	char *page = g_build_filename(folder, "page.md", NULL);
	char *outputs = g_build_filename(folder, "measurements", NULL);
	char *run = g_build_filename(outputs, "swim.txt", NULL);
	char *odd = g_build_filename(outputs, "odd.txt", NULL);
	char *out = NULL;

	g_assert_cmpint(g_mkdir(outputs, 0700), ==, 0);
	g_assert_true(g_file_set_contents(
		run, "bench/bench-swim 7 0.30\n0.30 us, 1,234 bytes.\n", -1,
		NULL));
	g_assert_true(g_file_set_contents(odd, "a guess\n0.30\n", -1, NULL));
	g_assert_true(g_file_set_contents(page, text, -1, NULL));
	g_assert_cmpint(check(page, &out), ==, finding == NULL);
	if (finding && !strstr(out, finding))
		g_error("expected \"%s\" in: %s", finding, out);
	g_unlink(page);
	g_unlink(run);
	g_unlink(odd);
	g_rmdir(outputs);
	g_rmdir(folder);
	g_free(folder);
	g_free(page);
	g_free(outputs);
	g_free(run);
	g_free(odd);
	g_free(out);
}

static void test_figures_stand_in_their_outputs(void)
{
	assert_checked("`0.30` and `1,234` ([x](measurements/swim.txt))\n", NULL);
	assert_checked("`30` us ([x](measurements/swim.txt))\n",
		       "30 is not in");
	assert_checked("`0.3` us ([x](measurements/swim.txt))\n",
		       "0.3 is not in");
	/* A number in the command line is not a measurement. */
	assert_checked("`7` us ([x](measurements/swim.txt))\n", "7 is not in");
	assert_checked("`0.30` us\n", "no measurement is named after 0.30");
	assert_checked("fast ([x](measurements/swim.txt))\n",
		       "no figure before");
	assert_checked("`0.30` us ([x](measurements/none.txt))\n",
		       "is missing");
	assert_checked("`0.30` us ([x](measurements/odd.txt))\n",
		       "does not begin with a command");
	assert_checked("nothing\n", "no measured figure");
}

static void test_page_holds(const void *page)
{
	char *out = NULL;

	if (!check(page, &out))
		g_error("%s", out);
	g_free(out);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/capacity/figures", test_figures_stand_in_their_outputs);
	g_test_add_data_func("/capacity/page", NULL, test_page_holds);
	g_test_add_data_func("/capacity/measurements", "docs/MEASUREMENTS.md",
			     test_page_holds);
	return g_test_run();
}
