#include <glib.h>
#include <stdlib.h>

#include "rig.h"

/* In place of a daemon: it stands still early, and tells much afterwards. */
#define SCRIPT                                                               \
	"echo '{\"name\":\"owner.frozen\",\"ms\":1223,\"waited_ms\":1140}';" \
	"echo '{\"name\":\"entry.first\"}';"                                 \
	"i=0; while [ $i -lt 400 ]; do echo '{\"name\":\"entry.taken\"}';"   \
	"i=$((i + 1)); done; echo '{\"name\":\"entry.last\"}'"

/*
 * A test fails as its calls came late, and the daemon's line that says why lies
 * far before the end of its log. Without it the failure looks like the daemon's.
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
