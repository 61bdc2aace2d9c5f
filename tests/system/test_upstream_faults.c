#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "ledger.h"
#include "raw.h"

#define ALL 7u /* daemons 0, 1 and 2 */
#define FAULTY 1
#define WAIT_UP_MS 15000
/* STALL_ABORT_MAX_MS covers the deadline, the silence that is allowed after it
 * and a margin. */
#define STALLED_BYTES 30000000
#define STALL_ABORT_MAX_MS 6000
/* The pause that an answer may make after the deadline, and a margin. */
#define SLOT_FREE_MAX_MS 15000

static const struct cluster_options options = {
	.count = 3,
	.config = LEDGER_CONFIG,
	.service_time_us = "10000",
	.upstreams = 1u << 1 | 1u << 2, /* daemon 0 is an entry only */
};
static struct cluster cluster;

static struct ledger load_during(const char *fault, const char *mended,
				 const char *seed)
{
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, ALL, "200", "5", seed);

	for (int round = 0; round < 2; round++) {
		rig_sleep_ms(700);
		cluster_set_upstream(&cluster, FAULTY, fault);
		rig_sleep_ms(1500);
		cluster_set_upstream(&cluster, FAULTY, mended);
	}
	ledger_collect(&ledger, &cluster, &load);
	ledger_assert_no_violations(&ledger);
	return ledger;
}

/*
 * An upstream reads requests and drops their connections, some after it ran
 * them and some before. The daemon can't tell which, so it must not retry a
 * POST and reports the outcome as unknown.
 */
static void test_connections_dropped_after_the_run(void)
{
	struct ledger ledger =
		load_during("{\"drop_next\": 10, \"drop_runs\": true}",
			    "{\"drop_next\": 10, \"drop_runs\": false}", "61");

	g_assert_cmpuint(ledger.unknown, >, 0);
	g_assert_cmpuint(ledger.unknown, <=, 40);
	g_assert_cmpuint(ledger.not_run, ==, 0);
}

static void set_both(const char *faults)
{
	cluster_set_upstream(&cluster, 1, faults);
	cluster_set_upstream(&cluster, 2, faults);
}

/*
 * A DELETE without a body is sent on a reused connection, which the upstream
 * drops after it ran the request. To an HTTP client library this looks like an
 * idle connection that the server closed, so it would send the request again.
 */
static void test_a_request_without_body_is_sent_once(void)
{
	for (int i = 0; i < 10; i++) {
		char *id = g_strdup_printf("bare-%d", i);
		struct rig_answer *answer;

		rig_answer_free(cluster_call(&cluster, FAULTY, "DELETE", "/",
					     "bare-before", NULL, 5000));
		set_both("{\"drop_next\": 1, \"drop_runs\": true}");
		answer = cluster_call(&cluster, FAULTY, "DELETE", "/", id, NULL,
				      5000);
		g_assert_true(answer->arrived);
		g_assert_cmpint(cluster_runs(&cluster, id), ==, 1);
		g_assert_cmpstr(cluster_outcome(answer), ==, "unknown");
		set_both("{\"drop_next\": 0}");
		rig_answer_free(answer);
		g_free(id);
	}
}

/*
 * An upstream answers 500 immediately. Its slots are always free, so it would
 * attract most of the calls and fail them all.
 */
static void test_an_upstream_fails_fast(void)
{
	struct ledger ledger = load_during("{\"fail_fast\": true}",
					   "{\"fail_fast\": false}", "62");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

/* An upstream accepts requests and does not answer for less than a deadline. */
static void test_an_upstream_freezes(void)
{
	struct ledger ledger =
		load_during("{\"freeze\": true}", "{\"freeze\": false}", "63");

	g_assert_cmpuint(ledger.not_run, ==, 0);
	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

#define PART_BYTES 200000

/* Sends the head of a request and a part of its body.
 * RETURN VALUE: the connection. */
static int send_part(const char *id)
{
	char *part = g_strnfill(PART_BYTES, 'b');
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	raw_send_text(fd, "POST / HTTP/1.1\r\nHost: s\r\nX-Request-Id: ");
	raw_send_text(fd, id);
	raw_send_text(fd, "\r\nContent-Length: 400000\r\n\r\n");
	raw_send_text(fd, part);
	g_free(part);
	return fd;
}

/*
 * A caller sends a POST with a long body, and its entry is killed in the middle
 * of it. The upstream must not take the part for the whole and run it.
 */
static void test_truncated_request_does_not_run(void)
{
	for (int round = 0; round < 2; round++) {
		char *id = g_strdup_printf("half-%d", round);
		int fd = send_part(id);

		rig_sleep_ms(500);
		rig_kill(cluster.daemons[0]);
		rig_sleep_ms(1000);
		g_assert_cmpint(cluster_runs(&cluster, id), ==, 0);
		close(fd);
		cluster_start_daemon(&cluster, 0, &options);
		cluster_wait_up(&cluster, 2, WAIT_UP_MS);
		g_free(id);
	}
}

/* Sends a GET and reads nothing yet.
 * RETURN VALUE: the connection, which closes after the answer. */
static int send_get(const char *path)
{
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	raw_send_text(fd, "GET ");
	raw_send_text(fd, path);
	raw_send_text(fd, " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
			  "X-Request-Id: bundle\r\n\r\n");
	return fd;
}

static void signal_upstreams(int signal)
{
	rig_signal(cluster.upstreams[1], signal);
	rig_signal(cluster.upstreams[2], signal);
}

/*
 * An upstream stalls in the middle of a long answer without a reset. The daemon
 * must abort the answer in a bounded time, and in a way that the caller can't
 * take the part for the whole.
 */
static void test_stalled_answer_is_aborted(void)
{
	for (int round = 0; round < 2; round++) {
		int fd = send_get("/bytes/" G_STRINGIFY(STALLED_BYTES));
		GString *got = g_string_new(NULL);
		bool closed;

		/* The caller has read nothing, so most of the answer is still
		 * at the upstream. */
		rig_sleep_ms(500);
		signal_upstreams(SIGSTOP);
		closed = raw_read_until_close(fd, got, STALL_ABORT_MAX_MS);
		signal_upstreams(SIGCONT);
		close(fd);
		g_assert_true(closed);
		g_assert_cmpuint(got->len, >, 0);
		g_assert_cmpuint(got->len, <, STALLED_BYTES);
		g_string_free(got, TRUE);
	}
}

static bool has_no_runs(void *data)
{
	(void)data;
	return cluster_sum_counter(&cluster, "upstream_running") == 0;
}

/* Guards against a slot that is never freed: the answer to a request that must
 * not be cut off stops for good, and its caller has gone. */
static void test_stopped_answer_frees_its_slot(void)
{
	int fd = raw_connect(cluster.daemons[0]->caller_port);
	GString *got = g_string_new(NULL);

	raw_send_text(fd, "POST /bytes/" G_STRINGIFY(
				  STALLED_BYTES) " HTTP/1.1\r\nHost: h\r\n"
						 "Content-Length: 0\r\n\r\n");
	g_assert_true(raw_read_some(fd, got, 1, WAIT_UP_MS));
	signal_upstreams(SIGSTOP);
	close(fd);
	g_assert_false(has_no_runs(NULL));
	g_assert_true(rig_wait_until(has_no_runs, NULL, SLOT_FREE_MAX_MS));
	signal_upstreams(SIGCONT);
	g_string_free(got, TRUE);
}

/* RETURN VALUE: whether a chunked answer has its last chunk, which marks it as
 * complete. */
static bool has_last_chunk(const GString *answer)
{
	static const char end[] = "\r\n0\r\n\r\n";

	return answer->len >= strlen(end) &&
	       memcmp(answer->str + answer->len - strlen(end), end,
		      strlen(end)) == 0;
}

static void replace_host(unsigned int i, bool with_daemon)
{
	rig_kill(cluster.upstreams[i]);
	if (with_daemon)
		cluster_start_daemon(&cluster, i, &options);
	cluster_start_upstream(&cluster, i, &options);
}

/*
 * The upstream or its owner is killed in the middle of a chunked answer. If the
 * entry sent the last chunk, the caller would take the part for the whole and
 * work with it.
 */
static void test_truncated_answer_has_no_last_chunk(void)
{
	for (int round = 0; round < 2; round++) {
		struct rig_process **victims =
			round ? cluster.daemons : cluster.upstreams;
		int fd = send_get("/chunks/" G_STRINGIFY(STALLED_BYTES));
		GString *got = g_string_new(NULL);

		rig_sleep_ms(500);
		rig_kill(victims[1]);
		rig_kill(victims[2]);
		g_assert_true(raw_read_until_close(fd, got, STALL_ABORT_MAX_MS));
		g_assert_cmpuint(got->len, >, 0);
		g_assert_false(has_last_chunk(got));
		g_string_free(got, TRUE);
		close(fd);
		replace_host(1, round);
		replace_host(2, round);
		cluster_wait_up(&cluster, 2, WAIT_UP_MS);
	}
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/upstream-faults/dropped",
			test_connections_dropped_after_the_run);
	g_test_add_func("/upstream-faults/without-body",
			test_a_request_without_body_is_sent_once);
	g_test_add_func("/upstream-faults/fails-fast",
			test_an_upstream_fails_fast);
	g_test_add_func("/upstream-faults/freezes", test_an_upstream_freezes);
	g_test_add_func("/upstream-faults/cut-request",
			test_truncated_request_does_not_run);
	g_test_add_func("/upstream-faults/stuck-answer",
			test_stalled_answer_is_aborted);
	g_test_add_func("/upstream-faults/stopped-answer",
			test_stopped_answer_frees_its_slot);
	g_test_add_func("/upstream-faults/half-answer",
			test_truncated_answer_has_no_last_chunk);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
