#include <glib.h>
#include <stdlib.h>

#include "rig.h"

/* Runs in place of a daemon: logs a freeze early and many lines after it. */
#define SCRIPT                                                               \
	"echo '{\"name\":\"owner.frozen\",\"ms\":1223,\"waited_ms\":1140}';" \
	"echo '{\"name\":\"entry.first\"}';"                                 \
	"i=0; while [ $i -lt 400 ]; do echo '{\"name\":\"entry.taken\"}';"   \
	"i=$((i + 1)); done; echo '{\"name\":\"entry.last\"}'"

/*
 * If a test fails since its calls were late, the daemon's owner.frozen line
 * that explains it may be far before the end of the log. If the report of the
 * failure left that line out, the failure would look like a fault of the
 * daemon.
 */
static void test_failure_shows_freeze_lines(void)
{
	if (g_test_subprocess()) {
		struct rig *rig = rig_create();

		g_setenv("COMFREYDOCK_BUILD", "/", TRUE);
		g_assert_cmpint(rig_run(rig, NULL, "bin/sh", "-c", SCRIPT, NULL),
				==, 0);
		abort();
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_failed();
	g_test_trap_assert_stderr("*owner.frozen*waited_ms\":1140}\n*"
				  "entry.last*");
	g_test_trap_assert_stderr_unmatched("*entry.first*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rig/failure-shows-freeze-lines",
			test_failure_shows_freeze_lines);
	return g_test_run();
}
