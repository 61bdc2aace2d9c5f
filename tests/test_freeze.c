#include <fcntl.h>
#include <glib.h>
#include <sched.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/freeze.h"

#define PAUSE_US (300 * US_PER_MS)
/* The CPU time counted by the kernel and the clock differ by less than this. */
#define ACCOUNT_US US_PER_MS

static void compute_us(int64_t us)
{
	int64_t end = clock_mono_us() + us;

	while (clock_mono_us() < end)
		;
}

/*
 * A loop that computes for long is blocked like one that is stopped. cpu_ms must
 * distinguish them, else the on-call engineer would suspect the host instead of
 * the daemon.
 */
static void test_busy_loop(void)
{
	struct freeze_mark mark;
	struct freeze_mark used;
	int64_t began = clock_mono_us();

	freeze_take_mark(&mark);
	compute_us(PAUSE_US);
	freeze_since(&mark, &used);
	/* Even on a busy host the thread runs or waits for a CPU nearly all of
	 * the time. */
	g_assert_cmpint(used.cpu_us, >, 0);
	g_assert_cmpint(used.cpu_us, <=, clock_mono_us() - began + ACCOUNT_US);
	if (used.waited_us >= 0)
		g_assert_cmpint(used.cpu_us + used.waited_us, >=, PAUSE_US / 2);
}

static void test_sleeping(void)
{
	struct freeze_mark mark;
	struct freeze_mark used;

	freeze_take_mark(&mark);
	g_usleep(PAUSE_US);
	freeze_since(&mark, &used);
	g_assert_cmpint(used.cpu_us, <, PAUSE_US / 4);
	g_assert_cmpint(used.voluntary_switches, >=, 1);
}

static gpointer compute_beside(gpointer data)
{
	cpu_set_t *processor = data;

	sched_setaffinity(0, sizeof(*processor), processor);
	compute_us(2 * PAUSE_US);
	return NULL;
}

/* Another thread uses the only CPU for half of the time. */
static void test_starved(void)
{
	struct freeze_mark mark;
	struct freeze_mark used;
	cpu_set_t before;
	cpu_set_t one;
	GThread *other;

	g_assert_cmpint(sched_getaffinity(0, sizeof(before), &before), ==, 0);
	CPU_ZERO(&one);
	CPU_SET(sched_getcpu(), &one);
	g_assert_cmpint(sched_setaffinity(0, sizeof(one), &one), ==, 0);
	other = g_thread_new("beside", compute_beside, &one);
	freeze_take_mark(&mark);
	compute_us(2 * PAUSE_US);
	freeze_since(&mark, &used);
	g_thread_join(other);
	sched_setaffinity(0, sizeof(before), &before);
	if (access("/proc/self/schedstat", R_OK) != 0) {
		g_test_skip("no /proc/self/schedstat here");
		return;
	}
	g_assert_cmpint(used.waited_us, >, PAUSE_US / 4);
	g_assert_cmpint(used.involuntary_switches, >, 0);
}

/* RETURN VALUE: the output of two freeze_take_mark() and freeze_log() calls. */
static char *written_lines(void)
{
	struct freeze_mark mark;
	char text[4096];
	int ends[2];
	int kept = dup(STDOUT_FILENO);
	ssize_t size;

	g_assert_cmpint(pipe2(ends, O_CLOEXEC), ==, 0);
	dup2(ends[1], STDOUT_FILENO);
	log_init(LOG_FORMAT_TEXT, "test");
	for (int i = 0; i < 2; i++) {
		freeze_take_mark(&mark);
		freeze_log(EV_OWNER_FROZEN, 439 * US_PER_MS, &mark);
	}
	dup2(kept, STDOUT_FILENO);
	close(kept);
	size = read(ends[0], text, sizeof(text) - 1);
	g_assert_cmpint(size, >, 0);
	close(ends[0]);
	close(ends[1]);
	return g_strndup(text, (gsize)size);
}

static unsigned int count(const char *text, const char *what)
{
	unsigned int found = 0;

	for (const char *at = text; (at = strstr(at, what)); at++)
		found++;
	return found;
}

static void test_line(void)
{
	char *text = written_lines();

	g_assert_cmpuint(
		count(text, " owner.frozen ms=439 cpu_ms=0 waited_ms="), ==, 2);
	g_assert_cmpuint(count(text, " major_faults=0 voluntary="), ==, 2);
	g_free(text);
}

/*
 * A platform may hide /proc, which a limit of 0 open files simulates. The missing
 * figure must be logged as -1 instead of 0, and the error only once instead of at
 * each tick.
 */
static void test_unreadable(void)
{
	struct rlimit limit;
	struct rlimit none;
	struct freeze_mark mark;
	char *text;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		g_test_trap_assert_stdout("*1004*schedstat-unreadable error=*");
		return;
	}
	log_init(LOG_FORMAT_TEXT, "test");
	getrlimit(RLIMIT_NOFILE, &limit);
	none = (struct rlimit){.rlim_cur = 0, .rlim_max = limit.rlim_max};
	setrlimit(RLIMIT_NOFILE, &none);
	freeze_take_mark(&mark);
	setrlimit(RLIMIT_NOFILE, &limit);
	g_assert_cmpint(mark.waited_us, ==, -1);
	g_assert_cmpint(mark.cpu_us, >, 0);
	text = written_lines();
	g_assert_cmpuint(count(text, "waited_ms=-1 "), ==, 2);
	g_assert_cmpuint(count(text, "schedstat-unreadable"), ==, 0);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/freeze/busy-loop", test_busy_loop);
	g_test_add_func("/freeze/sleeping", test_sleeping);
	g_test_add_func("/freeze/starved", test_starved);
	g_test_add_func("/freeze/line", test_line);
	g_test_add_func("/freeze/unreadable", test_unreadable);
	return g_test_run();
}
