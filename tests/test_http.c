#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "scripted_upstream.h"

#define WHOLE                                                             \
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " \
	"2\r\n\r\n"
#define FLOOD_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define FAILURE \
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"

struct fixture {
	struct ev_loop *loop;
	struct http_server *server;
	struct http_client *client;
	struct http_request *held;
	ev_timer later;
	long status;
	char *body;
};

static void handle_later(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	(void)loop;
	(void)events;
	http_request_reply_text(f->held, 201, "text/plain", "later");
}

static void handle_request(struct http_request *request, void *data)
{
	struct fixture *f = data;

	if (strcmp(http_request_path(request), "/later") == 0) {
		f->held = request;
		ev_timer_init(&f->later, handle_later, 0.01, 0.0);
		f->later.data = f;
		ev_timer_start(f->loop, &f->later);
		return;
	}
	if (strcmp(http_request_path(request), "/abort") == 0) {
		http_request_abort(request);
		return;
	}
	http_request_reply(request, 200, NULL, http_request_body(request)->str,
			   http_request_body(request)->len);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct fixture *f = data;

	f->status = answer->result == CURLE_OK ? answer->status : -1;
	g_free(f->body);
	f->body = g_strndup(answer->body, answer->size);
	ev_break(f->loop, EVBREAK_ALL);
}

static void call_port(struct fixture *f, uint16_t port, const char *path,
		      const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	struct http_call call = {
		.method = "POST",
		.url = url,
		.body = body,
		.size = strlen(body),
	};

	http_client_call(f->client, &call, handle_answer, f);
	ev_run(f->loop, 0);
	g_free(url);
}

static void call(struct fixture *f, const char *path, const char *body)
{
	call_port(f, http_server_port(f->server), path, body);
}

static void test_replies_now_and_later(void)
{
	struct http_server_options options = {.address = "127.0.0.1"};
	struct fixture f = {.loop = ev_loop_new(0)};

	f.server = http_server_create(f.loop, &options, handle_request, &f);
	f.client = http_client_create(f.loop);
	g_assert_nonnull(f.server);
	call(&f, "/echo?x=1", "hello");
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpstr(f.body, ==, "hello");
	call(&f, "/later", "");
	g_assert_cmpint(f.status, ==, 201);
	g_assert_cmpstr(f.body, ==, "later");
	call(&f, "/abort", "");
	g_assert_cmpint(f.status, ==, -1);
	http_client_destroy(f.client);
	http_server_destroy(f.server);
	ev_loop_destroy(f.loop);
	g_free(f.body);
}

/* RETURN VALUE: a connection, or -1 with errno set. */
static int connect_to(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * When a daemon stops, it closes its port. A caller that is still in the accept
 * queue must get its answer, and the kernel must refuse a caller that connects
 * later. If later callers were queued but never accepted, they would wait until
 * the daemon exits and then lose the connection, without knowing whether their
 * requests ran.
 */
static void test_quiesced_port(void)
{
	static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	struct http_server_options options = {.address = "127.0.0.1"};
	struct fixture f = {.loop = ev_loop_new(0)};
	char answer[16] = "";
	uint16_t port;
	int fd;

	f.server = http_server_create(f.loop, &options, handle_request, &f);
	port = http_server_port(f.server);
	fd = connect_to(port);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(send(fd, request, strlen(request), 0), >, 0);
	http_server_quiesce(f.server);
	g_assert_cmpint(connect_to(port), ==, -1);
	g_assert_cmpint(errno, ==, ECONNREFUSED);
	for (int i = 0; i < 1000 && !*answer; i++) {
		ev_run(f.loop, EVRUN_NOWAIT);
		recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
		g_usleep(1000);
	}
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	close(fd);
	http_server_destroy(f.server);
	ev_loop_destroy(f.loop);
}

/* RETURN VALUE: the status of a call, -1: it failed. */
static long call_scripted(const char *answer, enum ending ending, size_t bytes)
{
	const char *const answers[] = {answer, NULL};
	struct fixture f = {.loop = ev_loop_new(0)};
	struct scripted_upstream server = {
		.loop = f.loop,
		.answers = answers,
		.ending = ending,
		.answer_bytes = bytes,
	};

	f.client = http_client_create(f.loop);
	call_port(&f, scripted_upstream_start(&server), "/", "x");
	http_client_destroy(f.client);
	scripted_upstream_stop(&server);
	ev_loop_destroy(f.loop);
	g_free(f.body);
	return f.status;
}

/* Guards against a success where the server broke off in the middle of its
 * answer's head. */
static void test_a_head_that_breaks_off(void)
{
	for (size_t cut = 1; cut < strlen(WHOLE); cut++)
		g_assert_cmpint(call_scripted(WHOLE, ENDING_CLOSE, cut), ==, -1);
}

/* Guards against the status of one answer with the fields and body of the next. */
static void test_a_head_that_runs_into_the_next(void)
{
	for (size_t cut = 1; cut < strlen(WHOLE); cut++) {
		char *joined = g_strdup_printf("%.*s" FAILURE, (int)cut, WHOLE);

		g_assert_cmpint(call_scripted(joined, ENDING_NONE, 0), !=, 200);
		g_free(joined);
	}
}

struct endless_answer {
	const char *answer; /* its beginning */
	const char *flood;
};

/* Guards against memory that the answer to a health check or a call of the store
 * takes without end. */
static void test_answers_without_end(void)
{
	static const char line[] = "a line of the body that has no end\r\n";
	static const struct endless_answer cases[] = {
		{"HTTP/1.1 200 OK\r\n\r\n", line},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		 "Checksum: 1\r\n"},
		{"HTTP/1.1 200 OK\r\n", "Server: a\r\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *const answers[] = {cases[i].answer, NULL};
		struct fixture f = {.loop = ev_loop_new(0)};
		struct scripted_upstream server = {
			.loop = f.loop,
			.answers = answers,
			.flood = cases[i].flood,
			.flood_max = FLOOD_MAX_BYTES,
		};

		f.client = http_client_create(f.loop);
		call_port(&f, scripted_upstream_start(&server), "/", "x");
		g_assert_cmpint(f.status, ==, -1);
		g_assert_cmpuint(server.flooded, <, FLOOD_MAX_BYTES);
		http_client_destroy(f.client);
		scripted_upstream_stop(&server);
		ev_loop_destroy(f.loop);
		g_free(f.body);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/quiesced", test_quiesced_port);
	g_test_add_func("/http/now-and-later", test_replies_now_and_later);
	g_test_add_func("/http/head-breaks-off", test_a_head_that_breaks_off);
	g_test_add_func("/http/heads-run-together",
			test_a_head_that_runs_into_the_next);
	g_test_add_func("/http/without-end", test_answers_without_end);
	return g_test_run();
}
