#include <ev.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "call_fixture.h"
#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/connection.h"
#include "common/clock.h"
#include "paused_clock.h"

/* The caller's connection: faults in what it sends, and how answers end on it. */

#define HANGUP_NOTICED_MS 500
#define LATE_READ_BYTES 1000000
#define LATE_READ_MS 5000
#define UNREAD_PARTS 200
#define UNREAD_PART_BYTES 65536

/* Lets the daemon send more of the request's body. */
static void send_window(const struct fixture *f)
{
	Cfd__Window window = CFD__WINDOW__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	window.seq = f->seq;
	window.bytes = CALL_BODY_BUFFER_MAX;
	frame.kind_case = CFD__FRAME__KIND_WINDOW;
	frame.window = &window;
	peer_send(f->peer, &frame);
}

/* Begins a request whose body is passed on before its end. */
static void send_long_body(struct fixture *f, const char *target)
{
	char *body = g_strnfill(CALL_BODY_BUFFER_MAX, 'x');
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n"
				     "%x\r\n%s\r\n",
				     target, CALL_BODY_BUFFER_MAX, body);

	cf_send_text(f, text);
	cf_run_for(f, STEP_MS);
	g_assert_cmpuint(f->attempts, ==, 1);
	send_window(f);
	cf_run_for(f, STEP_MS);
	g_free(text);
	g_free(body);
}

/* Guards against a refusal in the middle of another answer's body: of a request
 * whose body can't be read, and that is answered already. */
static void test_fault_in_answered_body(struct fixture *f, gconstpointer unused)
{
	const char *body;

	(void)unused;
	send_long_body(f, "/long-part");
	cf_send_part(f, LONG_BYTES - PART_BYTES - 1, false);
	cf_run_for(f, STEP_MS);
	g_assert_cmpuint(cf_count_answers(f, "200"), ==, 1);
	cf_send_text(f, "zz\r\n");
	g_assert_true(f->is_closed);
	body = strstr(f->answers->str, "\r\n\r\n") + strlen("\r\n\r\n");
	g_assert_cmpuint(strlen(body), ==, LONG_BYTES - 1);
}

/* Guards against a request that is refused as not run, because of the rest of its
 * body, although an upstream has it. */
static void test_fault_in_sent_body(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_long_body(f, "/silent");
	cf_send_text(f, "zz\r\n");
	g_assert_cmpuint(cf_count_answers(f, "400"), ==, 1);
	g_assert_nonnull(
		strstr(f->answers->str, FIELD_OUTCOME ": unknown\r\n"));
	g_assert_null(strstr(f->answers->str, "not run"));
}

/* A request of which nothing was passed on didn't run. */
static void test_fault_in_unsent_body(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_text(f, "POST /silent HTTP/1.1\r\nHost: h\r\n"
			"Transfer-Encoding: chunked\r\n\r\nzz\r\n");
	g_assert_cmpuint(cf_count_answers(f, "400"), ==, 1);
	g_assert_nonnull(
		strstr(f->answers->str, FIELD_OUTCOME ": not-run\r\n"));
	g_assert_cmpuint(f->attempts, ==, 0);
}

static void stop_daemon(struct fixture *f)
{
	listener_destroy(f->listener);
	f->listener = NULL;
}

static void end_own_side(struct fixture *f)
{
	shutdown(f->fd, SHUT_WR);
	cf_run_for(f, HANGUP_NOTICED_MS);
}

static void abort_answer(struct fixture *f)
{
	cf_send_last_part(f, 0, false, true);
}

static void run_unread(struct fixture *f, int ms)
{
	paused_clock_advance_us(ms * US_PER_MS);
	for (int i = 0; i < 10; i++)
		ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
}

/* More than the kernel takes, to a caller that doesn't read. */
static void read_nothing(struct fixture *f)
{
	for (int i = 0; i < UNREAD_PARTS; i++) {
		cf_send_part(f, UNREAD_PART_BYTES, i == UNREAD_PARTS - 1);
		run_unread(f, 0);
	}
	run_unread(f, 120000);
}

struct connection_case {
	const char *name;
	void (*act)(struct fixture *f);
};

static const struct connection_case cut_cases[] = {
	{"/call/cut/aborted", abort_answer},
	{"/call/cut/daemon-ends", stop_daemon},
	{"/call/cut/caller-half-closes", end_own_side},
	{"/call/cut/caller-does-not-read", read_nothing},
};

/* Guards against an answer that ends with its connection, is cut off by the
 * daemon itself and looks complete. */
static void test_cut_answer_without_length(struct fixture *f, gconstpointer data)
{
	const struct connection_case *test = data;

	cf_send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n\r\n");
	g_assert_cmpuint(cf_count_answers(f, "200"), ==, 1);
	test->act(f);
	cf_run_due(f);
	g_assert_true(f->is_reset);
	g_assert_false(f->is_closed);
}

/* Guards against a complete answer that looks cut off. */
static void test_whole_answer_without_length(struct fixture *f,
					     gconstpointer unused)
{
	(void)unused;
	cf_send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n\r\n");
	cf_send_part(f, PART_BYTES, true);
	cf_run_due(f);
	g_assert_true(f->is_closed);
	cf_run_for(f, 3000);
	g_assert_false(f->is_reset);
}

/* Guards against a "100 Continue" that an HTTP/1.0 caller takes for its
 * answer. */
static void test_no_continue_to_1_0(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_text(f, "POST /short-head HTTP/1.0\r\nHost: h\r\n"
			"Expect: 100-continue\r\n"
			"Content-Length: 1\r\n\r\n");
	g_assert_cmpuint(f->answers->len, ==, 0);
	cf_send_text(f, "x");
	g_assert_cmpuint(f->attempts, ==, 1);
}

static void begin_until_close(struct fixture *f)
{
	cf_send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n"
			"Connection: keep-alive\r\n\r\n");
}

static void begin_in_body(struct fixture *f)
{
	send_long_body(f, "/long-part");
	cf_send_text(f, "0\r\n\r\n");
}

/* Guards against a request that is passed on behind an answer that says that
 * the connection closes, and that gets no answer. */
static void test_request_behind_close(struct fixture *f, gconstpointer data)
{
	const struct connection_case *test = data;

	test->act(f);
	g_assert_cmpuint(cf_count_answers(f, "200"), ==, 1);
	g_assert_nonnull(strstr(f->answers->str, "Connection: close\r\n"));
	cf_send_requests(f, "/silent", 1);
	cf_run_for(f, STEP_MS);
	g_assert_cmpuint(f->attempts, ==, 1);
}

static const struct connection_case close_cases[] = {
	{"/call/behind-close/until-close", begin_until_close},
	{"/call/behind-close/in-body", begin_in_body},
};

/* Guards against a reset that discards an answer: its caller, which is answered
 * while it sends its body, reads only after that. */
static void test_early_answer_is_read_late(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_long_body(f, "/silent");
	cf_send_head(f, LATE_READ_BYTES);
	for (int sent = 0; sent < LATE_READ_BYTES; sent += LATE_READ_BYTES / 10) {
		cf_send_part(f, LATE_READ_BYTES / 10, false);
		run_unread(f, 0);
	}
	cf_send_part(f, 0, true);
	for (int ms = 0; ms < LATE_READ_MS; ms += 100) {
		run_unread(f, 100);
		g_assert_cmpint(send(f->fd, "1\r\nx\r\n", 6, MSG_NOSIGNAL), ==,
				6);
	}
	for (int i = 0; i < 100 && !f->is_closed; i++) {
		cf_run_due(f);
		g_usleep(10000);
	}
	g_assert_true(f->is_closed);
	g_assert_cmpuint(f->answers->len, >, LATE_READ_BYTES);
	/* The kernel acknowledges in real time. */
	for (int i = 0; i < 100 && LIST_FIRST(&f->listener->connections); i++) {
		cf_run_for(f, 100);
		g_usleep(10000);
	}
	g_assert_null(LIST_FIRST(&f->listener->connections));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/call/fault-in-answered-body", NULL, test_fault_in_answered_body);
	ADD("/call/fault-in-sent-body", NULL, test_fault_in_sent_body);
	ADD("/call/fault-in-unsent-body", NULL, test_fault_in_unsent_body);
	for (size_t i = 0; i < G_N_ELEMENTS(cut_cases); i++)
		ADD(cut_cases[i].name, &cut_cases[i],
		    test_cut_answer_without_length);
	ADD("/call/cut/not", NULL, test_whole_answer_without_length);
	ADD("/call/no-continue-to-1.0", NULL, test_no_continue_to_1_0);
	ADD("/call/early-answer-is-read-late", NULL,
	    test_early_answer_is_read_late);
	for (size_t i = 0; i < G_N_ELEMENTS(close_cases); i++)
		ADD(close_cases[i].name, &close_cases[i],
		    test_request_behind_close);
	return g_test_run();
}
