#include "common/freeze.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include <glib.h>

#include "common/clock.h"

#define SCHEDSTAT_PATH "/proc/self/schedstat"
#define NS_PER_US 1000

/* Stays open for the life of the process, because opening the file costs more
 * than reading it. */
static int schedstat_fd = -1;
static bool schedstat_failed;

/* The environment of the process may hide /proc, or the kernel may not collect the
 * statistics. No read is tried again, because callers take a mark at each tick of a
 * timer, and a log line at each would flood the log.
 *
 * RETURN VALUE: -1, the value of read_waited_us() for an unknown time. */
static int64_t schedstat_disable(const char *why)
{
	schedstat_failed = true;
	if (schedstat_fd >= 0)
		close(schedstat_fd);
	schedstat_fd = -1;
	log_event(EV_DAEMON_SCHEDSTAT_UNREADABLE, LOG_STR("error", why));
	return -1;
}

/* RETURN VALUE: time spent runnable without a CPU, or -1. */
static int64_t read_waited_us(void)
{
	char text[96];
	int64_t waited_ns;
	int64_t time_slices;
	ssize_t size;

	if (schedstat_failed)
		return -1;
	if (schedstat_fd < 0)
		schedstat_fd = open(SCHEDSTAT_PATH, O_RDONLY | O_CLOEXEC);
	if (schedstat_fd < 0)
		return schedstat_disable(g_strerror(errno));
	size = pread(schedstat_fd, text, sizeof(text) - 1, 0);
	if (size < 0)
		return schedstat_disable(g_strerror(errno));
	text[size] = '\0';
	if (sscanf(text, "%*u %" SCNd64 " %" SCNd64, &waited_ns, &time_slices) !=
	    2)
		return schedstat_disable("unexpected format");
	/* The main thread is running, so a kernel that collects the statistics
	 * counts at least one time slice for it. */
	if (time_slices <= 0)
		return schedstat_disable("the kernel collects no statistics");
	return waited_ns / NS_PER_US;
}

static int64_t timeval_us(const struct timeval *time)
{
	return (int64_t)time->tv_sec * US_PER_S + time->tv_usec;
}

void freeze_take_mark(struct freeze_mark *mark)
{
	struct rusage usage = {0};

	getrusage(RUSAGE_THREAD, &usage);
	*mark = (struct freeze_mark){
		.cpu_us = timeval_us(&usage.ru_utime) +
			  timeval_us(&usage.ru_stime),
		.waited_us = read_waited_us(),
		.major_faults = usage.ru_majflt,
		.voluntary_switches = usage.ru_nvcsw,
		.involuntary_switches = usage.ru_nivcsw,
	};
}

void freeze_since(const struct freeze_mark *mark, struct freeze_mark *used)
{
	freeze_take_mark(used);
	used->cpu_us -= mark->cpu_us;
	if (used->waited_us >= 0 && mark->waited_us >= 0)
		used->waited_us -= mark->waited_us;
	else
		used->waited_us = -1;
	used->major_faults -= mark->major_faults;
	used->voluntary_switches -= mark->voluntary_switches;
	used->involuntary_switches -= mark->involuntary_switches;
}

void freeze_log(enum event id, int64_t gap_us, const struct freeze_mark *mark)
{
	struct freeze_mark used;

	freeze_since(mark, &used);
	log_event(id, LOG_INT("ms", gap_us / US_PER_MS),
		  LOG_INT("cpu_ms", used.cpu_us / US_PER_MS),
		  LOG_INT("waited_ms",
			  used.waited_us < 0 ? -1 : used.waited_us / US_PER_MS),
		  LOG_INT("major_faults", used.major_faults),
		  LOG_INT("voluntary", used.voluntary_switches),
		  LOG_INT("involuntary", used.involuntary_switches));
}
