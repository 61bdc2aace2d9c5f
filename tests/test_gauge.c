#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/gauge.h"
#include "common/http_client.h"
#include "platform/headers.h"
#include "scripted_upstream.h"

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

struct fixture {
	struct ev_loop *loop;
	struct scripted_upstream upstream;
	struct settings settings;
	struct daemon daemon;
	struct gauge *gauge;
	struct gauge_target target;
	struct gauge_reading reading;
	bool has_limit;
	bool done;
};

static void handle_reading(const struct gauge_reading *reading, void *data)
{
	struct fixture *fixture = data;

	fixture->reading = *reading;
	fixture->has_limit = reading->limit;
	fixture->done = true;
	ev_break(fixture->loop, EVBREAK_ALL);
}

static void fixture_start(struct fixture *fixture, const char *const *answers)
{
	struct ev_loop *loop = ev_loop_new(0);

	*fixture = (struct fixture){
		.loop = loop,
		.upstream = {.loop = loop, .answers = answers},
		.settings.probes_per_s = 1e9,
		.daemon = {.loop = loop, .headers = &platform_headers},
		.target = {.address = "127.0.0.1", .path = "/health"},
	};
	fixture->daemon.settings = &fixture->settings;
	fixture->daemon.http = http_client_create(loop);
	fixture->target.port = scripted_upstream_start(&fixture->upstream);
	fixture->gauge = gauge_create(&fixture->daemon, handle_reading, fixture);
}

static void fixture_stop(struct fixture *fixture)
{
	gauge_destroy(fixture->gauge);
	http_client_destroy(fixture->daemon.http);
	scripted_upstream_stop(&fixture->upstream);
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
	/* A reading may time out on a busy machine. */
	static const char *const answers[] = {HEALTH, HEALTH, HEALTH, HEALTH,
					      HEALTH, HEALTH, HEALTH, NULL};
	struct fixture fixture;

	fixture_start(&fixture, answers);
	while (!fixture.reading.has_load && *fixture.upstream.answers)
		ask(&fixture);
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
		const char *const answers[] = {text, NULL};
		struct fixture fixture;

		g_test_message("%zu bytes", cut);
		fixture_start(&fixture, answers);
		ask(&fixture);
		g_assert_false(fixture.reading.has_load);
		g_assert_false(fixture.reading.has_cold_ms);
		g_assert_false(fixture.has_limit);
		g_assert_false(fixture.reading.is_leaving);
		while (ev_is_active(&fixture.upstream.readers[0]))
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
