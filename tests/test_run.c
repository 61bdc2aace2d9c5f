#include <ev.h>
#include <glib.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "comfreydockd/upstream/answer.h"
#include "comfreydockd/upstream/run.h"
#include "platform/headers.h"
#include "scripted_upstream.h"

#define BODY_BYTES 6
#define FLOOD_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define FIRST "9c41d07be2a35f68"
#define SECOND "1988b75365ad025e"
#define ANSWER(status, trace, body)                  \
	"HTTP/1.1 " status "\r\n"                    \
	"X-Comfreydock-Request-Id: " trace "\r\n"    \
	"X-Comfreydock-Response-Signature: 3e1b\r\n" \
	"Content-Length: " G_STRINGIFY(BODY_BYTES) "\r\n\r\n" body
#define SUCCESS ANSWER("200 OK", FIRST, "first.")
#define FAILURE ANSWER("500 Internal Server Error", SECOND, "second")

struct outcome {
	struct ev_loop *loop;
	const struct headers *headers;
	const char *trace;
	bool done;
	enum run_result result;
	const char *fault;
	enum answer_verdict verdict;
	unsigned int status;
	GString *body;
	size_t consumed; /* of the request's body */
	ev_timer body_timer; /* for its second part */
	bool body_awaits_head; /* else, that the first part was sent */
	struct run *run;
};

/* A pool of connections to such an upstream. */
struct fixture {
	struct ev_loop *loop;
	struct scripted_upstream upstream;
	struct outcome outcome;
	struct http_client *client;
	struct recent_ids answered;
	uint16_t port;
	struct run_pool *pool;
};

static bool handle_head(void *data, unsigned int status,
			const struct fields *fields, int64_t length)
{
	struct outcome *outcome = data;

	(void)length;
	outcome->status = status;
	if (outcome->body_awaits_head)
		ev_timer_start(outcome->loop, &outcome->body_timer);
	outcome->verdict = answer_classify(outcome->headers, outcome->trace,
					   status, fields);
	return outcome->verdict == ANSWER_GOOD;
}

static void handle_answer_body(void *data, const void *bytes, size_t size)
{
	g_string_append_len(((struct outcome *)data)->body, bytes, (gssize)size);
}

static void handle_request_body_consumed(void *data, size_t size)
{
	struct outcome *outcome = data;

	outcome->consumed += size;
	if (outcome->consumed == BODY_BYTES && !outcome->body_awaits_head)
		ev_timer_start(outcome->loop, &outcome->body_timer);
}

static void handle_done(void *data, enum run_result result)
{
	struct outcome *outcome = data;

	outcome->done = true;
	outcome->result = result;
	outcome->fault = run_fault(outcome->run);
	ev_break(outcome->loop, EVBREAK_ALL);
}

static const struct run_callbacks callbacks = {
	.handle_head = handle_head,
	.handle_answer_body = handle_answer_body,
	.handle_request_body_consumed = handle_request_body_consumed,
	.handle_done = handle_done,
};

static struct run_pool *fixture_create_pool(struct fixture *fixture)
{
	return run_pool_create(fixture->client, fixture->outcome.headers,
			       &fixture->answered, "127.0.0.1", fixture->port);
}

static void fixture_start(struct fixture *fixture, const struct headers *headers,
			  const char *const *answers)
{
	struct ev_loop *loop = ev_loop_new(0);

	*fixture = (struct fixture){
		.loop = loop,
		.upstream = {.loop = loop, .answers = answers},
		.outcome = {.loop = loop, .headers = headers},
		.client = http_client_create(loop),
	};
	fixture->outcome.body = g_string_new(NULL);
	recent_ids_init(&fixture->answered);
	fixture->port = scripted_upstream_start(&fixture->upstream);
	fixture->pool = fixture_create_pool(fixture);
}

static void fixture_stop(struct fixture *fixture)
{
	run_pool_destroy(fixture->pool);
	http_client_destroy(fixture->client);
	recent_ids_finish(&fixture->answered);
	scripted_upstream_stop(&fixture->upstream);
	ev_loop_destroy(fixture->loop);
	g_string_free(fixture->outcome.body, TRUE);
}

static enum run_result run_once(struct fixture *fixture, const char *method,
				const char *trace)
{
	struct outcome *outcome = &fixture->outcome;
	struct fields fields;
	struct run_request request = {
		.method = method,
		.target = "/book?x=1",
		.fields = &fields,
		.body_ends = true,
	};

	fields_init(&fields);
	fields_add(&fields, outcome->headers->trace, trace);
	outcome->trace = trace;
	outcome->status = 0;
	outcome->done = false;
	g_string_truncate(outcome->body, 0);
	outcome->run =
		run_create(fixture->pool, &request, 65536, &callbacks, outcome);
	while (!outcome->done)
		ev_run(outcome->loop, 0);
	run_destroy(outcome->run);
	fields_finish(&fields);
	return outcome->result;
}

/*
 * A keep-alive connection to the upstream breaks just after a booking was sent
 * on it. libcurl would send the booking again by itself on a new connection,
 * and the franchise would be billed twice. The run must end as RUN_BROKEN
 * instead.
 */
static void test_a_broken_connection_is_not_retried(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", NULL};
	struct fixture fixture;

	fixture_start(&fixture, &headers_own, answers);
	g_assert_cmpint(run_once(&fixture, "POST", FIRST), ==, RUN_COMPLETE);
	g_assert_cmpint((int)fixture.outcome.status, ==, 200);
	g_assert_cmpstr(fixture.outcome.body->str, ==, "ok");
	g_assert_cmpint(run_once(&fixture, "POST", SECOND), ==, RUN_BROKEN);
	g_assert_cmpuint(fixture.upstream.requests, ==, 2);
	scripted_upstream_stop_listening(&fixture.upstream);
	/* The port refuses connections, so the run has certainly not begun. */
	g_assert_cmpint(run_once(&fixture, "POST", SECOND), ==, RUN_NOT_BEGUN);
	fixture_stop(&fixture);
}

/* Sends bytes after the last answer, and waits until they have arrived. */
static void send_late(struct scripted_upstream *upstream, const char *text,
		      size_t size)
{
	int unsent = 1;

	send(upstream->connection, text, size, MSG_NOSIGNAL);
	while (unsent > 0)
		g_assert_cmpint(ioctl(upstream->connection, SIOCOUTQ, &unsent),
				==, 0);
}

/* Whatever precedes it on its connection, a failure must not become a success,
 * nor its body another. */
static void assert_no_success(const struct fixture *fixture)
{
	const struct outcome *outcome = &fixture->outcome;

	if (outcome->result != RUN_COMPLETE)
		return;
	g_assert_cmpint((int)outcome->status, ==, 500);
	g_assert_cmpstr(outcome->body->str, ==, "second");
}

/* Guards against a success where the upstream failed: the beginning of a late
 * second answer lies in the connection when the next request is sent. */
static void test_late_bytes_on_an_idle_connection(void)
{
	static const char *const answers[] = {SUCCESS, FAILURE, NULL};

	for (size_t cut = 1; cut <= strlen(SUCCESS); cut++) {
		struct fixture fixture;

		fixture_start(&fixture, &platform_headers, answers);
		run_once(&fixture, "GET", FIRST);
		send_late(&fixture.upstream, SUCCESS, cut);
		g_assert_cmpint(run_once(&fixture, "GET", SECOND), ==,
				RUN_COMPLETE);
		assert_no_success(&fixture);
		g_assert_cmpuint(fixture.upstream.connections, ==, 2);
		g_assert_cmpuint(fixture.upstream.requests, ==, 2);
		fixture_stop(&fixture);
	}
}

/* The same where these bytes arrive after the next request was sent. */
static void test_late_bytes_before_the_next_answer(void)
{
	static const char *const answers[] = {SUCCESS, FAILURE, NULL};

	for (size_t cut = 1; cut <= strlen(SUCCESS); cut++) {
		struct fixture fixture;

		fixture_start(&fixture, &platform_headers, answers);
		fixture.upstream.late = SUCCESS;
		fixture.upstream.late_bytes = cut;
		run_once(&fixture, "GET", FIRST);
		run_once(&fixture, "GET", SECOND);
		assert_no_success(&fixture);
		fixture_stop(&fixture);
	}
}

/* Guards against the answer of another run of the same request: it is sent again
 * under its id, and a second answer to the first time comes late. */
static void check_request_sent_again(bool announced_anew)
{
	static const char *const answers[] = {
		SUCCESS, ANSWER("500 Internal Server Error", FIRST, "second"),
		NULL};
	struct run_pool *old_pool = NULL;
	struct fixture fixture;

	fixture_start(&fixture, &platform_headers, answers);
	fixture.upstream.late = SUCCESS;
	fixture.upstream.late_bytes = strlen(SUCCESS);
	run_once(&fixture, "GET", FIRST);
	if (announced_anew) {
		old_pool = fixture.pool;
		fixture.pool = fixture_create_pool(&fixture);
	}
	g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==, RUN_COMPLETE);
	assert_no_success(&fixture);
	run_pool_destroy(old_pool);
	fixture_stop(&fixture);
}

static void test_a_request_that_is_sent_again(void)
{
	check_request_sent_again(false);
	check_request_sent_again(true);
}

/* Guards against a new connection for each call that an upstream makes under the
 * trace of the request it works on. */
static void test_calls_of_one_trace_share_connections(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst.",
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond", NULL};
	struct fixture fixture;

	fixture_start(&fixture, &headers_own, answers);
	run_once(&fixture, "GET", FIRST);
	g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==, RUN_COMPLETE);
	g_assert_cmpuint(fixture.upstream.connections, ==, 1);
	fixture_stop(&fixture);
}

#define HEAD(status)                              \
	"HTTP/1.1 " status "\r\n"                 \
	"X-Comfreydock-Request-Id: " FIRST "\r\n" \
	"X-Comfreydock-Response-Signature: 3e1b\r\n"
#define LENGTH "Content-Length: 6\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define EARLY_HINTS "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

struct whole_answer {
	const char *method;
	const char *head;
	const char *body;
	const char *content; /* of the body */
	bool ends_by_close;
	/* libcurl doesn't wait for the line feed at the end of the last chunk; the
	 * body is whole then. */
	size_t unread;
};

static const struct whole_answer whole_answers[] = {
	{"GET", HEAD("200 OK") LENGTH "\r\n", "first.", "first."},
	{"GET", EARLY_HINTS HEAD("200 OK") LENGTH "\r\n", "first.", "first."},
	{"GET", HEAD("200 OK") CHUNKED "\r\n",
	 "4\r\nfirs\r\n2\r\nt.\r\n0\r\n\r\n", "first.", false, 1},
	{"GET", HEAD("200 OK") CHUNKED "\r\n",
	 "6;a=b\r\nfirst.\r\n0\r\nChecksum: 1\r\n\r\n", "first.", false, 1},
	{"GET", HEAD("200 OK") "\r\n", "first.", "first.", true},
	{"GET", HEAD("200 OK") "Connection: close\r\n" LENGTH "\r\n", "first.",
	 "first."},
	{"POST", HEAD("200 OK") LENGTH "\r\n", "first.", "first."},
	{"GET", HEAD("200 OK") "Content-Length: 0\r\n\r\n", "", ""},
	{"GET", HEAD("204 No Content") "\r\n", "", ""},
	{"GET", HEAD("304 Not Modified") LENGTH "\r\n", "", ""},
	{"HEAD", HEAD("200 OK") LENGTH "\r\n", "", ""},
	{"HEAD", EARLY_HINTS HEAD("200 OK") CHUNKED "\r\n", "", ""},
	{"HEAD", HEAD("200 OK") "\r\n", "", ""},
};

static void check_cut_answer(const struct whole_answer *answer, size_t cut,
			     enum ending ending)
{
	char *text = g_strconcat(answer->head, answer->body, NULL);
	const char *const answers[] = {text, NULL};
	bool is_whole = cut + answer->unread >= strlen(text) ||
			(answer->ends_by_close && cut >= strlen(answer->head));
	bool is_closed = ending == ENDING_CLOSE;
	struct fixture fixture;
	enum run_result result;

	fixture_start(&fixture, &platform_headers, answers);
	fixture.upstream.ending = ending;
	fixture.upstream.answer_bytes = cut;
	result = run_once(&fixture, answer->method, FIRST);
	if (is_whole && is_closed)
		g_assert_cmpint(result, ==, RUN_COMPLETE);
	if (!is_whole || (answer->ends_by_close && !is_closed))
		g_assert_cmpint(result, !=, RUN_COMPLETE);
	if (result == RUN_COMPLETE && !answer->ends_by_close)
		g_assert_cmpstr(fixture.outcome.body->str, ==, answer->content);
	g_assert_cmpuint(fixture.upstream.requests, ==, 1);
	fixture_stop(&fixture);
	g_free(text);
}

/* Guards against an answer that is passed on as whole although its upstream broke
 * off: at each offset, closed or reset. */
static void test_cut_answers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(whole_answers); i++) {
		const struct whole_answer *answer = &whole_answers[i];
		size_t size = strlen(answer->head) + strlen(answer->body);

		for (size_t cut = 0; cut <= size; cut++) {
			g_test_message("answer %zu, %zu bytes", i, cut);
			check_cut_answer(answer, cut, ENDING_CLOSE);
			check_cut_answer(answer, cut, ENDING_RESET);
			check_cut_answer(answer, cut, ENDING_RESET_LATER);
		}
	}
}

/* Guards against a body that is passed on without its head: libcurl takes all that
 * follows a 101 for one, also if no upgrade was asked for. */
static void test_a_switch_of_protocols(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: "
		"x\r\n\r\n" SUCCESS,
		NULL};
	struct fixture fixture;

	fixture_start(&fixture, &platform_headers, answers);
	fixture.upstream.ending = ENDING_CLOSE;
	fixture.upstream.answer_bytes = strlen(answers[0]);
	g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==, RUN_BROKEN);
	g_assert_cmpstr(fixture.outcome.body->str, ==, "");
	fixture_stop(&fixture);
}

/* Guards against an answer that is passed on with a status that is none. */
static void test_invalid_statuses(void)
{
	static const char *const invalid[] = {
		ANSWER("000 OK", FIRST, "first."),
		ANSWER("099 OK", FIRST, "first."),
		ANSWER("600 OK", FIRST, "first."),
		ANSWER("999 OK", FIRST, "first."),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		const char *const answers[] = {invalid[i], NULL};
		struct fixture fixture;

		fixture_start(&fixture, &platform_headers, answers);
		g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==, RUN_BROKEN);
		g_assert_cmpuint(fixture.outcome.status, ==, 0);
		fixture_stop(&fixture);
	}
}

/* Guards against an answer of another request where a late second answer begins in
 * the same read as the end of the first, and the rest of it comes later. */
static void test_late_bytes_in_the_same_read(void)
{
	static const char *const firsts[] = {
		SUCCESS,
		HEAD("200 OK") CHUNKED "\r\n6\r\nfirst.\r\n0\r\n\r\n",
		HEAD("204 No Content") "\r\n",
		HEAD("200 OK") "Content-Length: 0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(firsts) * strlen(SUCCESS); i++) {
		size_t cut = 1 + i / G_N_ELEMENTS(firsts);
		char *text = g_strdup_printf("%s%.*s",
					     firsts[i % G_N_ELEMENTS(firsts)],
					     (int)cut, SUCCESS);
		const char *const answers[] = {text, FAILURE, NULL};
		struct fixture fixture;

		fixture_start(&fixture, &platform_headers, answers);
		fixture.upstream.late = &SUCCESS[cut];
		fixture.upstream.late_bytes = strlen(SUCCESS) - cut;
		run_once(&fixture, "GET", FIRST);
		run_once(&fixture, "GET", SECOND);
		assert_no_success(&fixture);
		fixture_stop(&fixture);
		g_free(text);
	}
}

struct endless_section {
	const char *answer; /* its beginning */
	const char *flood;
	enum run_result result;
	const char *fault;
};

/* Guards against memory that an answer takes without end: libcurl keeps each line of
 * the trailer section and of interim heads until the transfer ends. */
static void test_sections_without_end(void)
{
	static const char no_end[] = "a head that is too large";
	static const struct endless_section sections[] = {
		{HEAD("200 OK") CHUNKED "\r\n6\r\nfirst.\r\n0\r\n",
		 "Checksum: 1\r\n", RUN_TRUNCATED,
		 "a trailer section that is too large"},
		{HEAD("200 OK"), "Server: a\r\n", RUN_BROKEN, no_end},
		{EARLY_HINTS, EARLY_HINTS, RUN_BROKEN, no_end},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		const struct endless_section *section = &sections[i];
		const char *const answers[] = {section->answer, NULL};
		struct fixture fixture;

		fixture_start(&fixture, &platform_headers, answers);
		fixture.upstream.flood = section->flood;
		fixture.upstream.flood_max = FLOOD_MAX_BYTES;
		g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==,
				section->result);
		g_assert_cmpstr(fixture.outcome.fault, ==, section->fault);
		g_assert_cmpuint(fixture.upstream.flooded, <, FLOOD_MAX_BYTES);
		fixture_stop(&fixture);
	}
}

static void handle_body_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	run_add_body(timer->data, "second", BODY_BYTES, true);
}

/* Sends a booking whose body comes in two parts. */
static enum run_result run_streamed(struct fixture *fixture)
{
	struct outcome *outcome = &fixture->outcome;
	struct fields fields;
	struct run_request request = {
		.method = "POST",
		.target = "/book",
		.fields = &fields,
		.body = (const uint8_t *)"first.",
		.body_size = BODY_BYTES,
	};

	fields_init(&fields);
	fields_add(&fields, outcome->headers->trace, SECOND);
	outcome->trace = SECOND;
	outcome->done = false;
	outcome->consumed = 0;
	ev_timer_init(&outcome->body_timer, handle_body_timer, 0.0, 0.0);
	outcome->run =
		run_create(fixture->pool, &request, 65536, &callbacks, outcome);
	outcome->body_timer.data = outcome->run;
	while (!outcome->done)
		ev_run(outcome->loop, 0);
	ev_timer_stop(outcome->loop, &outcome->body_timer);
	run_destroy(outcome->run);
	fields_finish(&fields);
	return outcome->result;
}

/* Guards against a booking whose body is sent in part or twice when its connection
 * is found unusable and another one is opened. */
static void test_a_streamed_body_on_another_connection(void)
{
	static const char *const answers[] = {SUCCESS, FAILURE, NULL};
	static const char body[] =
		"\r\n\r\n6\r\nfirst.\r\n6\r\nsecond\r\n0\r\n\r\n";
	struct fixture fixture;
	struct scripted_upstream *upstream = &fixture.upstream;

	fixture_start(&fixture, &platform_headers, answers);
	run_once(&fixture, "GET", FIRST);
	send_late(upstream, SUCCESS, strlen(SUCCESS));
	upstream->awaited = "\r\n0\r\n\r\n";
	g_assert_cmpint(run_streamed(&fixture), ==, RUN_COMPLETE);
	g_assert_cmpint((int)fixture.outcome.status, ==, 500);
	g_assert_cmpuint(fixture.outcome.consumed, ==, 2 * BODY_BYTES);
	g_assert_true(g_str_has_prefix(upstream->received->str, "POST /book "));
	g_assert_cmpstr(strstr(upstream->received->str, "\r\n\r\n"), ==, body);
	g_assert_cmpuint(upstream->connections, ==, 2);
	fixture_stop(&fixture);
}

/* Guards against the next request's bytes where the upstream reads on the rest of a
 * long body, having answered early. */
static void test_an_answer_before_the_body_is_whole(void)
{
	static const char *const statuses[] = {"200 OK", "404 Not Found",
					       "500 Internal Server Error"};
	/* After a failure the rest isn't sent, and the connection is closed. */
	static const char *const rests[] = {
		"first.\r\n6\r\nsecond\r\n0\r\n\r\nGET /", "first.\r\nGET /",
		"first.\r\nGET /"};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		char *early = g_strdup_printf(
			"HTTP/1.1 %s\r\n"
			"X-Comfreydock-Request-Id: " SECOND "\r\n"
			"X-Comfreydock-Response-Signature: 3e1b\r\n" LENGTH
			"\r\nsecond",
			statuses[i]);
		const char *const answers[] = {early, SUCCESS, NULL};
		struct fixture fixture;
		struct scripted_upstream *upstream = &fixture.upstream;

		fixture_start(&fixture, &platform_headers, answers);
		upstream->awaited = "first.\r\n";
		fixture.outcome.body_awaits_head = true;
		g_assert_cmpint(run_streamed(&fixture), ==, RUN_COMPLETE);
		fixture.outcome.body_awaits_head = false;
		upstream->awaited = "GET /";
		g_assert_cmpint(run_once(&fixture, "GET", FIRST), ==,
				RUN_COMPLETE);
		g_assert_cmpuint(upstream->connections, ==, i == 0 ? 1 : 2);
		g_assert_nonnull(strstr(upstream->received->str, rests[i]));
		fixture_stop(&fixture);
		g_free(early);
	}
}

/* Guards against a request that crosses the upstream's closing of an idle
 * connection. */
static void test_idle_connections_are_left_in_time(void)
{
	static const char *const answers[] = {
		HEAD("200 OK") "Keep-Alive: timeout=2\r\n" LENGTH "\r\nfirst.",
		FAILURE, NULL};
	struct fixture fixture;

	fixture_start(&fixture, &platform_headers, answers);
	run_once(&fixture, "GET", FIRST);
	g_usleep(1200000);
	run_once(&fixture, "GET", SECOND);
	g_assert_cmpuint(fixture.upstream.connections, ==, 2);
	fixture_stop(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run/no-retry", test_a_broken_connection_is_not_retried);
	g_test_add_func("/run/late-bytes/idle",
			test_late_bytes_on_an_idle_connection);
	g_test_add_func("/run/late-bytes/awaited",
			test_late_bytes_before_the_next_answer);
	g_test_add_func("/run/same-request", test_a_request_that_is_sent_again);
	g_test_add_func("/run/calls-of-one-trace",
			test_calls_of_one_trace_share_connections);
	g_test_add_func("/run/cut", test_cut_answers);
	g_test_add_func("/run/switch", test_a_switch_of_protocols);
	g_test_add_func("/run/invalid-status", test_invalid_statuses);
	g_test_add_func("/run/late-bytes/same-read",
			test_late_bytes_in_the_same_read);
	g_test_add_func("/run/sections-without-end", test_sections_without_end);
	g_test_add_func("/run/streamed-body",
			test_a_streamed_body_on_another_connection);
	g_test_add_func("/run/early-answer",
			test_an_answer_before_the_body_is_whole);
	g_test_add_func("/run/idle", test_idle_connections_are_left_in_time);
	return g_test_run();
}
