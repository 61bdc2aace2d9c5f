/*
 * Measures the processor time of a log line in three cases: it is rendered and
 * written to a pipe whose reader keeps up, left out by the budget of lines and
 * bytes per second, or left out since the format is "none".
 */
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/log.h"

#define LINES 200000
#define LINES_PER_FLUSH 20 /* of one iteration of a busy event loop */
#define NO_BUDGET_LINES 100000000
#define NO_BUDGET_BYTES 2000000000

static void log_lines(void)
{
	for (unsigned int i = 0; i < LINES; i++) {
		log_event(EV_OWNER_STARTED,
			  LOG_TRACE("3f0c9a52d1e84b7f-000001f6"),
			  LOG_INT("seq", i), LOG_INT("waited_us", 2),
			  LOG_INT("running", 2), LOG_INT("pace", 100),
			  LOG_INT("pace_age_us", 22946));
		if (i % LINES_PER_FLUSH == 0)
			log_flush();
	}
	log_flush();
}

static int64_t cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static void measure(const char *what)
{
	int64_t before = cpu_us();

	log_lines();
	fprintf(stderr, "%-34s %6.3f us per line\n", what,
		(double)(cpu_us() - before) / LINES);
}

static gpointer read_all(gpointer data)
{
	char block[65536];

	while (read(GPOINTER_TO_INT(data), block, sizeof(block)) > 0)
		;
	return NULL;
}

int main(void)
{
	GThread *reader;
	int ends[2];

	if (pipe2(ends, O_CLOEXEC) != 0 || dup2(ends[1], STDOUT_FILENO) < 0)
		return 1;
	close(ends[1]);
	reader = g_thread_new("reader", read_all, GINT_TO_POINTER(ends[0]));
	log_init(LOG_FORMAT_JSON, "katla-3");
	log_enable_buffering();
	log_set_budget(NO_BUDGET_LINES, NO_BUDGET_BYTES);
	measure("JSON, written");
	log_init(LOG_FORMAT_TEXT, "katla-3");
	measure("text, written");
	log_init(LOG_FORMAT_JSON, "katla-3");
	log_set_budget(LOG_LINES_PER_S, LOG_BYTES_PER_S);
	measure("left out by the budget");
	log_init(LOG_FORMAT_NONE, "katla-3");
	measure("format none");
	close(STDOUT_FILENO);
	g_thread_join(reader);
	close(ends[0]);
	return 0;
}
