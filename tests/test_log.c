#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "paused_clock.h"

/* Redirects standard output to a pipe that the test reads. */
struct fixture {
	int pipe[2];
	int kept_stdout;
	GString *text;
};

static void read_all(struct fixture *f)
{
	char bytes[4096];
	ssize_t got;

	log_flush();
	while ((got = read(f->pipe[0], bytes, sizeof(bytes))) > 0)
		g_string_append_len(f->text, bytes, got);
}

static void set_up(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->text = g_string_new(NULL);
	f->kept_stdout = dup(STDOUT_FILENO);
	g_assert_cmpint(pipe2(f->pipe, O_NONBLOCK), ==, 0);
	dup2(f->pipe[1], STDOUT_FILENO);
	log_init(LOG_FORMAT_JSON, "test");
	log_enable_buffering();
	/* Each test starts in a new second with an unused budget. */
	paused_clock_advance_us(3 * US_PER_S);
	log_event(EV_DAEMON_STARTED);
	paused_clock_advance_us(2 * US_PER_S);
	read_all(f);
	g_string_truncate(f->text, 0);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	(void)data;
	dup2(f->kept_stdout, STDOUT_FILENO);
	close(f->kept_stdout);
	close(f->pipe[0]);
	close(f->pipe[1]);
	g_string_free(f->text, TRUE);
}

static unsigned int count(const struct fixture *f, const char *what)
{
	unsigned int found = 0;

	for (const char *at = f->text->str; (at = strstr(at, what)); at++)
		found++;
	return found;
}

static void log_request(unsigned int number)
{
	char trace[16];

	g_snprintf(trace, sizeof(trace), "t%u-", number);
	log_event(EV_ENTRY_TAKEN, LOG_TRACE(trace), LOG_INT("left_us", 1));
	log_event(EV_ENTRY_SENT, LOG_TRACE(trace), LOG_STR("to", "h"));
	log_event(EV_ENTRY_ENDED, LOG_TRACE(trace), LOG_STR("outcome", "run"));
}

static void test_lines_are_json(struct fixture *f, gconstpointer data)
{
	(void)data;
	log_event(EV_PEER_LOST, LOG_STR("host", "a\"b\n"), LOG_INT("port", 7));
	read_all(f);
	g_assert_nonnull(strstr(f->text->str, "\"event\":1301,"));
	g_assert_nonnull(strstr(f->text->str, "\"host\":\"a\\\"b\\u000a\""));
	g_assert_nonnull(strstr(f->text->str, "\"port\":7}\n"));
}

/*
 * Thousands of calls a second must not hide the one line that says that a host is
 * lost, nor use up the CPU time of the daemon. ROUTINE lines are dropped first,
 * then FAILURE lines, and log.suppressed reports the dropped lines.
 */
static void test_budget_drops_routine_first(struct fixture *f, gconstpointer data)
{
	(void)data;
	for (unsigned int i = 0; i < 500; i++)
		log_request(i);
	for (unsigned int i = 0; i < 500; i++)
		log_event(EV_ENTRY_FAILED, LOG_TRACE("t"), LOG_INT("number", i));
	log_event(EV_MEMBER_STATE, LOG_STR("host", "lost"));
	paused_clock_advance_us(US_PER_S);
	log_event(EV_MEMBER_STATE, LOG_STR("host", "again"));
	read_all(f);
	g_assert_cmpuint(count(f, "\"name\":\"entry.taken\""), <=,
			 LOG_LINES_PER_S * LOG_ROUTINE_SHARE);
	g_assert_cmpuint(count(f, "\"name\":\"entry.failed\""), >=,
			 LOG_LINES_PER_S *
				 (LOG_FAILURE_SHARE - LOG_ROUTINE_SHARE));
	g_assert_cmpuint(count(f, "\"name\":\"entry.failed\""), <=,
			 LOG_LINES_PER_S * LOG_FAILURE_SHARE);
	g_assert_cmpuint(count(f, "\"host\":\"lost\""), ==, 1);
	g_assert_cmpuint(count(f, "\"name\":\"log.suppressed\""), >=, 2);
}

/*
 * An engineer traces one request over three daemons. That is impossible if each
 * daemon drops different lines. Above the budget daemons must therefore sample
 * whole requests by trace id.
 */
static void test_requests_are_sampled_whole(struct fixture *f, gconstpointer data)
{
	unsigned int whole = 0;
	unsigned int parts = 0;

	(void)data;
	for (unsigned int i = 0; i < 100; i++)
		log_request(i);
	paused_clock_advance_us(US_PER_S);
	log_event(EV_DAEMON_STARTED);
	read_all(f);
	g_string_truncate(f->text, 0);
	for (unsigned int i = 0; i < 100; i++)
		log_request(i);
	read_all(f);
	for (unsigned int i = 0; i < 100; i++) {
		char trace[24];
		unsigned int lines;

		g_snprintf(trace, sizeof(trace), "\"t%u-\"", i);
		lines = count(f, trace);
		whole += lines == 3;
		parts += lines != 0 && lines != 3;
	}
	g_assert_cmpuint(whole, >=, 10);
	g_assert_cmpuint(whole, <=, 60);
	g_assert_cmpuint(parts, <=, 1);
}

/*
 * The reader of the log stalls. The daemon must not block, and when the reader
 * continues it must get only whole lines.
 */
static void test_stalled_reader_does_not_block(struct fixture *f,
					       gconstpointer data)
{
	uint64_t dropped = counters.log_lines_dropped;
	char **lines;

	(void)data;
	log_set_budget(100000, 100000000);
	for (unsigned int i = 0; i < 5000; i++)
		log_event(EV_ENTRY_FAILED, LOG_TRACE("t"), LOG_INT("number", i));
	g_assert_cmpuint(counters.log_lines_dropped, >, dropped);
	read_all(f);
	read_all(f);
	lines = g_strsplit(f->text->str, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), >, 100);
	for (char **line = lines; *line && line[1]; line++) {
		g_assert_true(g_str_has_prefix(*line, "{\"time\":"));
		g_assert_true(g_str_has_suffix(*line, "}"));
	}
	g_strfreev(lines);
	log_set_budget(LOG_LINES_PER_S, LOG_BYTES_PER_S);
}

#define ADD(name, function) \
	g_test_add(name, struct fixture, NULL, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/log/json", test_lines_are_json);
	ADD("/log/budget", test_budget_drops_routine_first);
	ADD("/log/whole-requests", test_requests_are_sampled_whole);
	ADD("/log/stalled", test_stalled_reader_does_not_block);
	return g_test_run();
}
