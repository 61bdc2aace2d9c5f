#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/headers.h"
#include "comfreydockd/upstream/probe.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "paused_clock.h"

static struct ev_loop *loop;
static unsigned int asked;
static unsigned int reported;
static bool reachable = true;

static void handle_request(struct http_request *request, void *data)
{
	(void)data;
	g_assert_cmpstr(http_request_path(request), ==, "/health");
	asked++;
	http_request_reply_text(request, 500, "text/plain", "sick\n");
}

static void handle_reachable(bool now, void *data)
{
	(void)data;
	reported++;
	reachable = now;
}

/* Advances the paused clock while the loop handles the sockets. */
static void run_for(int64_t ms)
{
	for (int64_t i = 0; i < ms; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		paused_clock_advance_us(1000);
	}
}

static struct config_store *store_with_budget(int permille)
{
	struct config_store *store = config_store_create();
	char *text = g_strdup_printf(
		"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
		"\"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
		"\"measure\": {\"budget_permille\": %d,\n"
		"\"health_path\": \"/health\"},\n"
		"\"rules\": [{\"name\": \"r\", \"deadline_ms\": 100}]}}}\n",
		permille);
	char *sha256 = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	g_assert_cmpint(
		config_store_offer(store, "t", 1, sha256, text, strlen(text)),
		==, CONFIG_OFFER_ADOPTED);
	g_free(sha256);
	g_free(text);
	return store;
}

static struct http_server *listen_at(uint16_t port)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = port,
	};

	return http_server_create(loop, &options, handle_request, NULL);
}

/*
 * The upstream's process dies at a time without traffic. No call reveals it,
 * and the first callers in the morning would each lose time on it. An upstream
 * whose health check only fails stays in use, as a health check may mislead.
 */
static void test_a_dead_upstream_is_found_without_traffic(void)
{
	struct daemon daemon = {.loop = loop, .headers = &headers_own};
	char *groups[] = {(char *)"s", NULL};
	struct owner_announcement announced = {
		.groups = groups,
		.address = (char *)"127.0.0.1",
		.slots = 1000,
	};
	struct http_server *server = listen_at(0);
	struct probe *probe;

	daemon.http = http_client_create(loop);
	daemon.config = store_with_budget(100);
	announced.port = http_server_port(server);
	probe = probe_create(&daemon, handle_reachable, NULL);
	probe_set_upstream(probe, &announced);
	run_for(5000);
	g_assert_cmpuint(asked, >, 0);
	g_assert_cmpuint(reported, ==, 0);
	http_server_destroy(server);
	run_for(40000);
	g_assert_false(reachable);
	server = listen_at(announced.port);
	run_for(300);
	g_assert_true(reachable);
	g_assert_cmpuint(reported, ==, 2);
	probe_destroy(probe);
	http_server_destroy(server);
	config_store_destroy(daemon.config);
	http_client_destroy(daemon.http);
}

/*
 * The upstream crashes while calls pass. Its daemon is still up and would look
 * idle to all entries: each call would try it first and lose a round trip.
 */
static void test_refused_requests_count_as_refused_probes(void)
{
	struct daemon daemon = {.loop = loop, .headers = &headers_own};
	struct owner_announcement announced = {
		.address = (char *)"127.0.0.1",
		.slots = 4,
	};
	struct http_server *server = listen_at(0);
	struct probe *probe;

	daemon.http = http_client_create(loop);
	daemon.config = config_store_create();
	announced.port = http_server_port(server);
	http_server_destroy(server);
	probe = probe_create(&daemon, handle_reachable, NULL);
	probe_set_upstream(probe, &announced);
	probe_note_connection_refused(probe);
	/* Resets the count, as a single refusal may be momentary. */
	probe_note_traffic(probe);
	probe_note_connection_refused(probe);
	g_assert_true(reachable);
	probe_note_connection_refused(probe);
	g_assert_false(reachable);
	server = listen_at(announced.port);
	run_for(300);
	g_assert_true(reachable);
	probe_destroy(probe);
	http_server_destroy(server);
	config_store_destroy(daemon.config);
	http_client_destroy(daemon.http);
}

/*
 * The upstreams are few and small, and the operator allows probes a thousandth
 * of one slot, which is 1 ms per second. At 6 ms per probe, one probe in 6 s
 * uses it up. More probes would take capacity from bookings.
 */
static void test_probes_stay_within_the_budget(void)
{
	struct daemon daemon = {.loop = loop, .headers = &headers_own};
	char *groups[] = {(char *)"s", NULL};
	struct owner_announcement announced = {
		.groups = groups,
		.address = (char *)"127.0.0.1",
		.slots = 1,
	};
	struct http_server *server = listen_at(0);
	struct probe *probe;

	asked = 0;
	daemon.http = http_client_create(loop);
	daemon.config = store_with_budget(1);
	announced.port = http_server_port(server);
	probe = probe_create(&daemon, handle_reachable, NULL);
	probe_set_upstream(probe, &announced);
	run_for(5900);
	g_assert_cmpuint(asked, ==, 0);
	run_for(60000 - 5900);
	g_assert_cmpuint(asked, >, 0);
	g_assert_cmpuint(asked, <=, 10);
	probe_destroy(probe);
	http_server_destroy(server);
	config_store_destroy(daemon.config);
	http_client_destroy(daemon.http);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	loop = ev_loop_new(0);
	g_test_add_func("/probe/dead-upstream",
			test_a_dead_upstream_is_found_without_traffic);
	g_test_add_func("/probe/refused-requests",
			test_refused_requests_count_as_refused_probes);
	g_test_add_func("/probe/budget", test_probes_stay_within_the_budget);
	status = g_test_run();
	ev_loop_destroy(loop);
	return status;
}
