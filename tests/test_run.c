#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/upstream/run.h"

/* An upstream that answers the first request and closes the connection after it
 * has read the second, as an upstream that crashes while it works does. */
struct upstream {
	struct ev_loop *loop;
	int listener;
	int connection;
	ev_io acceptor;
	ev_io reader;
	unsigned int requests;
	unsigned int connections;
};

struct outcome {
	struct ev_loop *loop;
	bool done;
	enum run_result result;
	unsigned int status;
	GString *body;
	struct run *run;
};

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct upstream *upstream = io->data;
	char buffer[4096];
	ssize_t got = recv(io->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)events;
	if (got > 0)
		upstream->requests++;
	if (got > 0 && upstream->requests == 1) {
		send(io->fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL);
		return;
	}
	ev_io_stop(loop, io);
	close(io->fd);
	upstream->connection = -1;
}

static void handle_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	struct upstream *upstream = io->data;

	(void)events;
	upstream->connection = accept(io->fd, NULL, NULL);
	upstream->connections++;
	ev_io_init(&upstream->reader, handle_readable, upstream->connection,
		   EV_READ);
	upstream->reader.data = upstream;
	ev_io_start(loop, &upstream->reader);
}

static uint16_t upstream_listen(struct upstream *upstream)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	upstream->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
		bind(upstream->listener, (struct sockaddr *)&address, size), ==,
		0);
	g_assert_cmpint(listen(upstream->listener, 8), ==, 0);
	getsockname(upstream->listener, (struct sockaddr *)&address, &size);
	ev_io_init(&upstream->acceptor, handle_acceptable, upstream->listener,
		   EV_READ);
	upstream->acceptor.data = upstream;
	ev_io_start(upstream->loop, &upstream->acceptor);
	return ntohs(address.sin_port);
}

static bool handle_head(void *data, unsigned int status,
			const struct fields *fields, int64_t length)
{
	struct outcome *outcome = data;

	(void)fields;
	(void)length;
	outcome->status = status;
	return true;
}

static void handle_answer_body(void *data, const void *bytes, size_t size)
{
	g_string_append_len(((struct outcome *)data)->body, bytes, (gssize)size);
}

static void handle_request_body_consumed(void *data, size_t size)
{
	(void)data;
	(void)size;
}

static void handle_done(void *data, enum run_result result)
{
	struct outcome *outcome = data;

	outcome->done = true;
	outcome->result = result;
	ev_break(outcome->loop, EVBREAK_ALL);
}

static const struct run_callbacks callbacks = {
	.handle_head = handle_head,
	.handle_answer_body = handle_answer_body,
	.handle_request_body_consumed = handle_request_body_consumed,
	.handle_done = handle_done,
};

static enum run_result run_once(struct run_pool *pool, const char *method,
				struct outcome *outcome)
{
	struct fields fields;
	struct run_request request = {
		.method = method,
		.target = "/book?x=1",
		.fields = &fields,
		.body_ends = true,
	};

	fields_init(&fields);
	outcome->done = false;
	outcome->run = run_create(pool, &request, 65536, &callbacks, outcome);
	while (!outcome->done)
		ev_run(outcome->loop, 0);
	run_destroy(outcome->run);
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
	struct ev_loop *loop = ev_loop_new(0);
	struct upstream upstream = {.loop = loop, .connection = -1};
	struct outcome outcome = {.loop = loop};
	struct http_client *client = http_client_create(loop);
	struct run_pool *pool;

	outcome.body = g_string_new(NULL);
	pool = run_pool_create(client, &headers_own, "127.0.0.1",
			       upstream_listen(&upstream));
	g_assert_cmpint(run_once(pool, "POST", &outcome), ==, RUN_COMPLETE);
	g_assert_cmpint((int)outcome.status, ==, 200);
	g_assert_cmpstr(outcome.body->str, ==, "ok");
	g_assert_cmpint(run_once(pool, "POST", &outcome), ==, RUN_BROKEN);
	g_assert_cmpuint(upstream.requests, ==, 2);
	ev_io_stop(loop, &upstream.acceptor);
	close(upstream.listener);
	/* The port refuses connections, so the run has certainly not begun. */
	g_assert_cmpint(run_once(pool, "POST", &outcome), ==, RUN_NOT_BEGUN);
	run_pool_destroy(pool);
	http_client_destroy(client);
	ev_loop_destroy(loop);
	g_string_free(outcome.body, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run/no-retry", test_a_broken_connection_is_not_retried);
	return g_test_run();
}
