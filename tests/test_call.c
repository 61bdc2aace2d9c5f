#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/connection.h"
#include "comfreydockd/caller/listener.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "common/clock.h"
#include "common/socket.h"
#include "entry_fixture.h"
#include "paused_clock.h"

/*
 * Requests over a socket to an entry whose only owner does what their paths
 * ask for.
 */

#define HOST "esja-02" /* the host of the fixture */
#define DEADLINE_MS 800
/* A caller has its final answer at most this long after the deadline. */
#define PAST_DEADLINE_MAX_MS 500
#define STEP_MS 10
#define SHORT_BYTES 400
#define LONG_BYTES 90000
#define PART_BYTES 100
#define HANGUP_NOTICED_MS 500
#define LATE_READ_BYTES 1000000
#define LATE_READ_MS 5000
#define UNREAD_PARTS 200
#define UNREAD_PART_BYTES 65536

#define CONFIG                                                         \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h\"]," \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":"  \
	"\"/\",\"idempotent\":true,\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

struct fixture {
	struct entry_fixture entry;
	struct listener *listener;
	int fd; /* the caller's end */
	GString *answers;
	bool is_closed;
	bool is_reset;
	/* The owner's end of the latest attempt. */
	struct peer *peer;
	uint64_t seq;
	unsigned int attempts;
	unsigned int cancels;
};

static void send_head_as(const struct fixture *f, uint32_t status,
			 int64_t length, const char *name, const char *value)
{
	Cfd__Answer answer = CFD__ANSWER__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	Cfd__Header header = CFD__HEADER__INIT;
	Cfd__Header *headers[] = {&header};

	header.name = (char *)name;
	header.value = (char *)value;
	answer.seq = f->seq;
	answer.status = status;
	answer.length = length;
	answer.headers = headers;
	answer.n_headers = name ? 1 : 0;
	frame.kind_case = CFD__FRAME__KIND_ANSWER;
	frame.answer = &answer;
	peer_send(f->peer, &frame);
}

static void send_head(const struct fixture *f, int64_t length)
{
	send_head_as(f, 200, length, NULL, NULL);
}

static void send_last_part(const struct fixture *f, size_t size, bool ends,
			   bool aborted)
{
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	char *bytes = g_strnfill(size, 'b');

	body.seq = f->seq;
	body.data.data = (uint8_t *)bytes;
	body.data.len = size;
	body.ends = ends;
	body.aborted = aborted;
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(f->peer, &frame);
	g_free(bytes);
}

static void send_part(const struct fixture *f, size_t size, bool ends)
{
	send_last_part(f, size, ends, false);
}

static void send_abort(const struct fixture *f)
{
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	body.seq = f->seq;
	body.aborted = true;
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(f->peer, &frame);
}

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

/* Answers to /silent are left to the test. */
static void handle_attempt(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct fixture *f = data;
	const char *target;

	f->cancels += frame->kind_case == CFD__FRAME__KIND_CANCEL;
	if (frame->kind_case != CFD__FRAME__KIND_ATTEMPT)
		return;
	target = frame->attempt->target;
	f->peer = peer;
	f->seq = frame->attempt->seq;
	f->attempts++;
	if (strcmp(target, "/short-head") == 0)
		send_head(f, SHORT_BYTES);
	if (strcmp(target, "/long-head") == 0)
		send_head(f, LONG_BYTES);
	if (strcmp(target, "/no-length-part") == 0) {
		send_head(f, -1);
		send_part(f, PART_BYTES, false);
	}
	if (strcmp(target, "/short-part") == 0) {
		send_head(f, SHORT_BYTES);
		send_part(f, PART_BYTES, false);
	}
	if (strcmp(target, "/long-part") == 0) {
		send_head(f, LONG_BYTES);
		send_part(f, PART_BYTES, false);
	}
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct fixture *f = data;

	(void)peer;
	(void)error;
	f->peer = NULL;
}

static void add_member(struct fixture *f)
{
	char *groups[] = {(char *)"g", NULL};
	struct member member = {.host = HOST,
				.address = "127.0.0.1",
				.incarnation = 1,
				.domain = "d",
				.region = "r",
				.peer_port = 1,
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 64};

	member_table_update(f->entry.daemon.members, &member, clock_mono_us());
}

static void set_up(struct fixture *f, gconstpointer unused)
{
	struct peers_role role = {
		.handle_frame = handle_attempt,
		.handle_lost = handle_lost,
		.data = f,
	};
	struct settings *settings = &f->entry.settings;

	settings->domain = (char *)"d";
	settings->caller.address = (char *)"127.0.0.1";
	settings->max_connections = 8;
	settings->max_head_bytes = 4096;
	entry_fixture_set_up(&f->entry, unused);
	entry_fixture_adopt(&f->entry, 1, CONFIG);
	add_member(f);
	peers_set_owner_role(f->entry.daemon.peers, &role);
	f->listener = listener_create(&f->entry.daemon);
	g_assert_nonnull(f->listener);
	f->fd = socket_connect("127.0.0.1", listener_port(f->listener));
	g_assert_cmpint(f->fd, >=, 0);
	f->answers = g_string_new(NULL);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	close(f->fd);
	listener_destroy(f->listener);
	entry_fixture_tear_down(&f->entry, unused);
	g_string_free(f->answers, TRUE);
}

static void read_answers(struct fixture *f)
{
	char bytes[65536];
	ssize_t size;

	while ((size = recv(f->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		g_string_append_len(f->answers, bytes, size);
	f->is_closed |= size == 0 && !f->is_reset;
	f->is_reset |= size < 0 && errno == ECONNRESET;
}

/* Lets all that is due happen. */
static void run_due(struct fixture *f)
{
	for (int i = 0; i < 10; i++) {
		ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
		read_answers(f);
	}
}

static void run_for(struct fixture *f, int ms)
{
	for (int i = 0; i < ms; i += STEP_MS) {
		paused_clock_advance_us(STEP_MS * US_PER_MS);
		run_due(f);
	}
}

static void send_text(struct fixture *f, const char *text)
{
	g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
	run_due(f);
}

static void send_requests(struct fixture *f, const char *target, int count)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < count; i++)
		g_string_append_printf(
			text, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target);
	send_text(f, text->str);
	g_string_free(text, TRUE);
}

/* Begins a request whose body is passed on before its end. */
static void send_long_body(struct fixture *f, const char *target)
{
	char *body = g_strnfill(CALL_BODY_BUFFER_MAX, 'x');
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n"
				     "%x\r\n%s\r\n",
				     target, CALL_BODY_BUFFER_MAX, body);

	send_text(f, text);
	run_for(f, STEP_MS);
	g_assert_cmpuint(f->attempts, ==, 1);
	send_window(f);
	run_for(f, STEP_MS);
	g_free(text);
	g_free(body);
}

static unsigned int count_answers(const struct fixture *f, const char *status)
{
	char *line = g_strconcat("HTTP/1.1 ", status, NULL);
	const char *at = f->answers->str;
	unsigned int count = 0;

	for (; (at = strstr(at, line)); at++)
		count++;
	g_free(line);
	return count;
}

/* Guards against a short answer that stops in the middle and leaves its caller
 * without any answer for seconds past the deadline. */
static void test_short_answer_stops(struct fixture *f, gconstpointer target)
{
	send_requests(f, target, 1);
	run_for(f, DEADLINE_MS - STEP_MS);
	g_assert_cmpuint(f->answers->len, ==, 0);
	run_for(f, STEP_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(count_answers(f, "502"), ==, 1);
	g_assert_false(f->is_closed);
}

/* The same for an answer that begins shortly before the deadline. */
static void test_late_answer_stops(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_requests(f, "/silent", 1);
	run_for(f, DEADLINE_MS - 3 * STEP_MS);
	send_head(f, SHORT_BYTES);
	send_part(f, PART_BYTES, false);
	run_for(f, 3 * STEP_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(count_answers(f, "502"), ==, 1);
}

/* Guards against a short answer that comes byte by byte and is held back until
 * it is whole. */
static void test_short_answer_is_slow(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_requests(f, "/short-head", 1);
	for (int ms = 0; ms < DEADLINE_MS + PAST_DEADLINE_MAX_MS;
	     ms += 2 * STEP_MS) {
		if (f->answers->len == 0)
			send_part(f, 1, false);
		run_for(f, 2 * STEP_MS);
	}
	g_assert_cmpuint(count_answers(f, "502"), ==, 1);
}

/* Guards against a long answer that stops and keeps its caller waiting. */
static void test_long_answer_stops(struct fixture *f, gconstpointer target)
{
	send_requests(f, target, 1);
	run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_true(f->is_closed);
	g_assert_cmpuint(f->answers->len, <, LONG_BYTES);
}

/* Guards against a long answer that is cut off although it still comes. */
static void test_long_answer_goes_on(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_requests(f, "/long-head", 1);
	for (int sent = 0; sent < LONG_BYTES; sent += LONG_BYTES / 30) {
		run_for(f, 100);
		send_part(f, LONG_BYTES / 30, false);
	}
	send_part(f, 0, true);
	run_due(f);
	g_assert_cmpuint(count_answers(f, "200"), ==, 1);
	g_assert_cmpuint(f->answers->len, >, LONG_BYTES);
	g_assert_false(f->is_closed);
}

/* Guards against a request that waited for those in front, is refused at once
 * when its turn comes, and gets no answer. */
static void test_waiting_request_is_refused(struct fixture *f,
					    gconstpointer unused)
{
	static const char unmatched[] =
		"GET /none HTTP/1.1\r\nHost: other\r\n\r\n";

	(void)unused;
	send_requests(f, "/silent", 1);
	send_text(f, unmatched);
	run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(count_answers(f, "504"), ==, 1);
	g_assert_cmpuint(count_answers(f, "404"), ==, 1);
}

/* Guards against requests whose time begins only when the daemon reads them,
 * after those in front are answered; also against a late start of such a
 * request. */
static void test_unread_requests(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_requests(f, "/silent", 20);
	run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(count_answers(f, "50"), ==, 20);
	g_assert_cmpuint(f->attempts, <, 20);
}

/* Guards against time that a request is charged for, although it was sent after
 * others that waited. */
static void test_later_requests(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_requests(f, "/silent", 9);
	run_for(f, DEADLINE_MS / 2);
	send_requests(f, "/silent", 1);
	run_for(f, DEADLINE_MS);
	g_assert_cmpuint(count_answers(f, "50"), ==, 9);
	run_for(f, DEADLINE_MS / 2);
	g_assert_cmpuint(count_answers(f, "50"), ==, 10);
	g_assert_cmpuint(f->attempts, ==, 9);
}

/* What an owner says of an answer that can't be passed on as it stands. */
struct head_case {
	const char *path;
	uint32_t status;
	int64_t length;
	const char *name;
	const char *value;
};

static const struct head_case bad_heads[] = {
	{"/call/bad-head/status-0", 0, 4, NULL, NULL},
	{"/call/bad-head/status-100", 100, 4, NULL, NULL},
	{"/call/bad-head/status-199", 199, 4, NULL, NULL},
	{"/call/bad-head/status-1000", 1000, 4, NULL, NULL},
	{"/call/bad-head/length", 200, -2, NULL, NULL},
	{"/call/bad-head/no-name", 200, 4, "", "v"},
	{"/call/bad-head/space-in-name", 200, 4, "a b", "v"},
	{"/call/bad-head/colon-in-name", 200, 4, "a:", "v"},
	{"/call/bad-head/line-in-name", 200, 4, "a\r\nb", "v"},
	{"/call/bad-head/line-in-value", 200, 4, "a", "v\r\n\r\nHTTP/1.1 200 OK"},
	{"/call/bad-head/line-feed", 200, 4, "a", "v\nb: c"},
	{"/call/bad-head/control", 200, 4, "a", "v\001"},
};

/* Guards against a head of an owner of another version that is passed on, and
 * that its caller reads as two answers, or as none. */
static void test_bad_head(struct fixture *f, gconstpointer data)
{
	const struct head_case *head = data;

	send_requests(f, "/silent", 1);
	send_head_as(f, head->status, head->length, head->name, head->value);
	send_part(f, 4, true);
	run_due(f);
	g_assert_cmpuint(count_answers(f, ""), ==, 1);
	g_assert_cmpuint(count_answers(f, "502"), ==, 1);
	g_assert_cmpuint(f->cancels, ==, 1);
	g_assert_false(f->is_closed);
}

/*
 * Frames of one answer:
 *	h, H, u	a head with a length of 400 or 90,000, or of unknown length
 *	p, P, Q	a part of 100, 45,000 or 45,100 bytes
 *	e, x	the end; an end that is both complete and aborted
 *	n	a refusal
 */
struct order_case {
	const char *path;
	const char *frames;
	bool is_withheld; /* nothing of it was written */
};

static const struct order_case bad_orders[] = {
	{"/call/bad-body/no-bytes", "he", true},
	{"/call/bad-body/too-short", "hppe", true},
	{"/call/bad-body/too-long", "hpppppe", true},
	{"/call/bad-body/long-too-short", "HPe", false},
	{"/call/bad-body/long-too-long", "HPQe", false},
	{"/call/bad-body/part-before-head", "puppe", true},
	{"/call/bad-body/end-before-head", "eupe", true},
	{"/call/bad-body/two-heads", "upupe", false},
	{"/call/bad-body/two-withheld-heads", "hphppppe", true},
	{"/call/bad-body/ended-and-aborted", "upx", false},
	{"/call/bad-body/refused", "upn", false},
};

static void send_not_run(const struct fixture *f)
{
	Cfd__NotRun not_run = CFD__NOT_RUN__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	not_run.seq = f->seq;
	not_run.reason = CFD__REASON__REASON_BUSY;
	frame.kind_case = CFD__FRAME__KIND_NOT_RUN;
	frame.not_run = &not_run;
	peer_send(f->peer, &frame);
}

static void send_frame(const struct fixture *f, char kind)
{
	switch (kind) {
	case 'h':
		send_head(f, SHORT_BYTES);
		break;
	case 'H':
		send_head(f, LONG_BYTES);
		break;
	case 'u':
		send_head(f, -1);
		break;
	case 'p':
		send_part(f, PART_BYTES, false);
		break;
	case 'P':
		send_part(f, LONG_BYTES / 2, false);
		break;
	case 'Q':
		send_part(f, LONG_BYTES / 2 + PART_BYTES, false);
		break;
	case 'e':
		send_part(f, 0, true);
		break;
	case 'x':
		send_last_part(f, 0, true, true);
		break;
	default:
		send_not_run(f);
	}
}

/* Guards against an answer that is not whole, or of two, and looks complete to its
 * caller, as its owner's frames contradict each other. */
static void test_bad_body(struct fixture *f, gconstpointer data)
{
	const struct order_case *order = data;

	send_requests(f, "/silent", 1);
	for (const char *kind = order->frames; *kind; kind++) {
		send_frame(f, *kind);
		run_due(f);
	}
	run_due(f);
	g_assert_cmpuint(count_answers(f, "502"), ==, order->is_withheld);
	g_assert_cmpuint(count_answers(f, "200"), ==, !order->is_withheld);
	g_assert_null(strstr(f->answers->str, "\r\n0\r\n\r\n"));
	g_assert_cmpuint(f->answers->len, <, LONG_BYTES);
	g_assert_true(f->is_closed != order->is_withheld);
	g_assert_cmpuint(f->cancels, ==, 1);
}

static const struct head_case bodyless[] = {
	{"/call/without-body/204", 204, SHORT_BYTES, NULL, NULL},
	{"/call/without-body/304", 304, SHORT_BYTES, NULL, NULL},
	{"/call/without-body/head", 200, SHORT_BYTES, "HEAD", NULL},
};

/* Guards against the loss of an answer that states a length and has no body. */
static void test_without_body(struct fixture *f, gconstpointer data)
{
	const struct head_case *head = data;
	const char *method = head->name ? head->name : "GET";
	char *text = g_strdup_printf("%s /silent HTTP/1.1\r\nHost: h\r\n\r\n",
				     method);
	char *status = g_strdup_printf("%u", head->status);

	g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
	run_due(f);
	send_head_as(f, head->status, head->length, NULL, NULL);
	send_part(f, 0, true);
	run_due(f);
	g_assert_cmpuint(count_answers(f, status), ==, 1);
	g_assert_true(g_str_has_suffix(f->answers->str, "\r\n\r\n"));
	g_assert_false(f->is_closed);
	g_free(status);
	g_free(text);
}

/* Guards against a refusal in the middle of another answer's body: of a request
 * whose body can't be read, and that is answered already. */
static void test_fault_in_answered_body(struct fixture *f, gconstpointer unused)
{
	const char *body;

	(void)unused;
	send_long_body(f, "/long-part");
	send_part(f, LONG_BYTES - PART_BYTES - 1, false);
	run_for(f, STEP_MS);
	g_assert_cmpuint(count_answers(f, "200"), ==, 1);
	send_text(f, "zz\r\n");
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
	send_text(f, "zz\r\n");
	g_assert_cmpuint(count_answers(f, "400"), ==, 1);
	g_assert_nonnull(
		strstr(f->answers->str, FIELD_OUTCOME ": unknown\r\n"));
	g_assert_null(strstr(f->answers->str, "not run"));
}

/* A request of which nothing was passed on didn't run. */
static void test_fault_in_unsent_body(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_text(f, "POST /silent HTTP/1.1\r\nHost: h\r\n"
		     "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
	g_assert_cmpuint(count_answers(f, "400"), ==, 1);
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
	run_for(f, HANGUP_NOTICED_MS);
}

static void abort_answer(struct fixture *f)
{
	send_abort(f);
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
		send_part(f, UNREAD_PART_BYTES, i == UNREAD_PARTS - 1);
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

	send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n\r\n");
	g_assert_cmpuint(count_answers(f, "200"), ==, 1);
	test->act(f);
	run_due(f);
	g_assert_true(f->is_reset);
	g_assert_false(f->is_closed);
}

/* Guards against a complete answer that looks cut off. */
static void test_whole_answer_without_length(struct fixture *f,
					     gconstpointer unused)
{
	(void)unused;
	send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n\r\n");
	send_part(f, PART_BYTES, true);
	run_due(f);
	g_assert_true(f->is_closed);
	run_for(f, 3000);
	g_assert_false(f->is_reset);
}

/* Guards against a "100 Continue" that an HTTP/1.0 caller takes for its
 * answer. */
static void test_no_continue_to_1_0(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	send_text(f, "POST /short-head HTTP/1.0\r\nHost: h\r\n"
		     "Expect: 100-continue\r\n"
		     "Content-Length: 1\r\n\r\n");
	g_assert_cmpuint(f->answers->len, ==, 0);
	send_text(f, "x");
	g_assert_cmpuint(f->attempts, ==, 1);
}

static void begin_until_close(struct fixture *f)
{
	send_text(f, "GET /no-length-part HTTP/1.0\r\nHost: h\r\n"
		     "Connection: keep-alive\r\n\r\n");
}

static void begin_in_body(struct fixture *f)
{
	send_long_body(f, "/long-part");
	send_text(f, "0\r\n\r\n");
}

/* Guards against a request that is passed on behind an answer that says that
 * the connection closes, and that gets no answer. */
static void test_request_behind_close(struct fixture *f, gconstpointer data)
{
	const struct connection_case *test = data;

	test->act(f);
	g_assert_cmpuint(count_answers(f, "200"), ==, 1);
	g_assert_nonnull(strstr(f->answers->str, "Connection: close\r\n"));
	send_requests(f, "/silent", 1);
	run_for(f, STEP_MS);
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
	send_head(f, LATE_READ_BYTES);
	for (int sent = 0; sent < LATE_READ_BYTES; sent += LATE_READ_BYTES / 10) {
		send_part(f, LATE_READ_BYTES / 10, false);
		run_unread(f, 0);
	}
	send_part(f, 0, true);
	for (int ms = 0; ms < LATE_READ_MS; ms += 100) {
		run_unread(f, 100);
		g_assert_cmpint(send(f->fd, "1\r\nx\r\n", 6, MSG_NOSIGNAL), ==,
				6);
	}
	for (int i = 0; i < 100 && !f->is_closed; i++) {
		run_due(f);
		g_usleep(10000);
	}
	g_assert_true(f->is_closed);
	g_assert_cmpuint(f->answers->len, >, LATE_READ_BYTES);
	/* The kernel acknowledges in real time. */
	for (int i = 0; i < 100 && LIST_FIRST(&f->listener->connections); i++) {
		run_for(f, 100);
		g_usleep(10000);
	}
	g_assert_null(LIST_FIRST(&f->listener->connections));
}

#define ADD(name, data, function) \
	g_test_add(name, struct fixture, data, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/call/short-answer-stops/head", "/short-head",
	    test_short_answer_stops);
	ADD("/call/short-answer-stops/part", "/short-part",
	    test_short_answer_stops);
	ADD("/call/late-answer-stops", NULL, test_late_answer_stops);
	ADD("/call/short-answer-slow", NULL, test_short_answer_is_slow);
	ADD("/call/long-answer-stops/head", "/long-head", test_long_answer_stops);
	ADD("/call/long-answer-stops/part", "/long-part", test_long_answer_stops);
	ADD("/call/long-answer-goes-on", NULL, test_long_answer_goes_on);
	ADD("/call/waiting-refused", NULL, test_waiting_request_is_refused);
	ADD("/call/unread-requests", NULL, test_unread_requests);
	ADD("/call/later-requests", NULL, test_later_requests);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_heads); i++)
		ADD(bad_heads[i].path, &bad_heads[i], test_bad_head);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_orders); i++)
		ADD(bad_orders[i].path, &bad_orders[i], test_bad_body);
	for (size_t i = 0; i < G_N_ELEMENTS(bodyless); i++)
		ADD(bodyless[i].path, &bodyless[i], test_without_body);
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
