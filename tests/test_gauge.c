#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/gauge.h"
#include "common/http_client.h"
#include "platform/headers.h"

/* A reading may time out on a busy machine. */
#define TRIES_MAX 100
#define HEALTH                                 \
	"HTTP/1.1 200 OK\r\n"                  \
	"X-Comfreydock-Server-Load: 1,2,8\r\n" \
	"Content-Length: 2\r\n\r\nok"
#define LATE                                             \
	"HTTP/1.1 200 OK\r\n"                            \
	"X-Comfreydock-Server-Load: 8,9,8\r\n"           \
	"X-Comfreydock-Cold-Ms: 7\r\n"                   \
	"Server-Limit: 6\r\n"                            \
	"Server-Leaving: 1\r\n"                          \
	"X-Comfreydock-Request-Id: 9c41d07be2a35f68\r\n" \
	"Content-Length: 6\r\n\r\nfirst."

/* An upstream that sends a text to each connection whose request came. */
struct upstream {
	struct ev_loop *loop;
	ev_io acceptor;
	ev_io reader;
	const char *text;
	size_t size;
};

struct fixture {
	struct ev_loop *loop;
	struct upstream upstream;
	struct settings settings;
	struct daemon daemon;
	struct gauge *gauge;
	struct gauge_target target;
	struct gauge_reading reading;
	bool has_limit;
	bool done;
};

static void upstream_drop(struct upstream *upstream)
{
	if (!ev_is_active(&upstream->reader))
		return;
	ev_io_stop(upstream->loop, &upstream->reader);
	close(upstream->reader.fd);
}

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct upstream *upstream = io->data;
	char buffer[4096];

	(void)loop;
	(void)events;
	if (recv(io->fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0)
		send(io->fd, upstream->text, upstream->size, MSG_NOSIGNAL);
	else
		upstream_drop(upstream);
}

static void handle_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	struct upstream *upstream = io->data;

	(void)events;
	upstream_drop(upstream);
	ev_io_init(&upstream->reader, handle_readable,
		   accept(io->fd, NULL, NULL), EV_READ);
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
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	ev_init(&upstream->reader, handle_readable);
	ev_io_init(&upstream->acceptor, handle_acceptable, fd, EV_READ);
	upstream->acceptor.data = upstream;
	ev_io_start(upstream->loop, &upstream->acceptor);
	return ntohs(address.sin_port);
}

static void handle_reading(const struct gauge_reading *reading, void *data)
{
	struct fixture *fixture = data;

	fixture->reading = *reading;
	fixture->has_limit = reading->limit;
	fixture->done = true;
	ev_break(fixture->loop, EVBREAK_ALL);
}

static void fixture_start(struct fixture *fixture, const char *text, size_t size)
{
	struct ev_loop *loop = ev_loop_new(0);

	*fixture = (struct fixture){
		.loop = loop,
		.upstream = {.loop = loop, .text = text, .size = size},
		.settings.probes_per_s = 1e9,
		.daemon = {.loop = loop, .headers = &platform_headers},
		.target = {.address = "127.0.0.1", .path = "/health"},
	};
	fixture->daemon.settings = &fixture->settings;
	fixture->daemon.http = http_client_create(loop);
	fixture->target.port = upstream_listen(&fixture->upstream);
	fixture->gauge = gauge_create(&fixture->daemon, handle_reading, fixture);
}

static void fixture_stop(struct fixture *fixture)
{
	gauge_destroy(fixture->gauge);
	http_client_destroy(fixture->daemon.http);
	upstream_drop(&fixture->upstream);
	ev_io_stop(fixture->loop, &fixture->upstream.acceptor);
	close(fixture->upstream.acceptor.fd);
	ev_loop_destroy(fixture->loop);
}

static void ask(struct fixture *fixture)
{
	fixture->done = false;
	while (!gauge_ask(fixture->gauge, &fixture->target))
		g_usleep(1);
	while (!fixture->done)
		ev_run(fixture->loop, 0);
}

static void test_an_answer_is_read(void)
{
	struct fixture fixture;
	int tries = 0;

	fixture_start(&fixture, HEALTH, strlen(HEALTH));
	do {
		ask(&fixture);
	} while (!fixture.reading.has_load && ++tries < TRIES_MAX);
	g_assert_true(fixture.reading.has_load);
	g_assert_cmpuint(fixture.reading.load.waiting, ==, 2);
	fixture_stop(&fixture);
}

/* Guards against a load, a limit or a leaving that is read from a late second
 * answer to a request, whole or running into the health answer. */
static void test_a_late_second_answer_is_not_read(void)
{
	for (size_t cut = 1; cut <= strlen(LATE); cut++) {
		char *text = g_strdup_printf("%.*s%s", (int)cut, LATE, HEALTH);
		struct fixture fixture;

		g_test_message("%zu bytes", cut);
		fixture_start(&fixture, text, strlen(text));
		ask(&fixture);
		g_assert_false(fixture.reading.has_load);
		g_assert_false(fixture.reading.has_cold_ms);
		g_assert_false(fixture.has_limit);
		g_assert_false(fixture.reading.is_leaving);
		while (ev_is_active(&fixture.upstream.reader))
			ev_run(fixture.loop, EVRUN_ONCE);
		fixture_stop(&fixture);
		g_free(text);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gauge/read", test_an_answer_is_read);
	g_test_add_func("/gauge/late-answer",
			test_a_late_second_answer_is_not_read);
	return g_test_run();
}
