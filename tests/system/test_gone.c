/* Callers that disconnect, at each stage of their request. */
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pair.h"
#include "raw.h"

#define WAIT_MS 5000

static const char config[] =
	"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
	"  \"rules\": [{\"name\": \"get\", \"methods\": [\"GET\", \"HEAD\"],\n"
	"    \"idempotent\": true, \"deadline_ms\": 10000},\n"
	"   {\"name\": \"post\", \"deadline_ms\": 10000}]}}}\n";

static struct pair pair = {.wait_ms = WAIT_MS};

static int send_request(const char *method, const char *path, const char *id)
{
	int fd = pair_connect(&pair);
	GString *request = g_string_new(NULL);

	pair_add_request(request, method, path, id);
	raw_send_text(fd, request->str);
	g_string_free(request, TRUE);
	return fd;
}

static bool owner_is_idle(void *data)
{
	char *status = rig_http_ok("GET", pair.cluster.daemons[1]->admin_port,
				   "/v1/status", NULL);
	bool idle = rig_json_int(status, "running") == 0 &&
		    rig_json_int(status, "queued") == 0;

	(void)data;
	g_free(status);
	return idle;
}

static void expect_slot_is_free(void)
{
	struct rig_answer *answer;

	g_assert_true(rig_wait_until(owner_is_idle, NULL, WAIT_MS));
	pair_set_upstream(&pair, "{\"factor\": 1}");
	answer = cluster_call(&pair.cluster, 0, "GET", "/after", "after", NULL,
			      WAIT_MS);
	g_assert_cmpstr(cluster_outcome(answer), ==, "run");
	rig_answer_free(answer);
}

/*
 * A caller disconnects while its GET runs on a slow upstream. Unless the daemon
 * cancels it, an answer that nobody reads occupies the only slot for ten
 * seconds.
 */
static void test_gone_while_running(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t cancels = pair_owner_count(&pair, "owner_cancels");
	int64_t cancelled = pair_upstream_count(&pair, "cancelled_running");
	int64_t started = pair_upstream_count(&pair, "started");
	int fd;

	pair_set_upstream(&pair, "{\"factor\": 5000}");
	fd = send_request("GET", "/slow", "gone-running");
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	pair_wait_for(&pair, pair_owner_count, "owner_cancels", cancels + 1);
	pair_wait_for(&pair, pair_upstream_count, "cancelled_running",
		      cancelled + 1);
	expect_slot_is_free();
}

/*
 * A caller disconnects while its POST waits in the queue behind another. The
 * queued request never runs, and the running one is answered.
 */
static void test_gone_while_queued(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t started = pair_upstream_count(&pair, "started");
	int64_t attempts = pair_owner_count(&pair, "owner_attempts");
	GString *answer = g_string_new(NULL);
	int first;
	int second;

	pair_set_upstream(&pair, "{\"factor\": 400}");
	first = send_request("POST", "/book", "stays");
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	second = send_request("POST", "/book", "gone-queued");
	pair_wait_for(&pair, pair_owner_count, "owner_attempts", attempts + 2);
	close(second);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	g_assert_true(
		raw_read_until_found(first, answer, "\"stays\"", 1, WAIT_MS));
	close(first);
	expect_slot_is_free();
	g_assert_cmpint(cluster_runs(&pair.cluster, "gone-queued"), ==, 0);
	g_assert_cmpint(cluster_runs(&pair.cluster, "stays"), ==, 1);
	g_string_free(answer, TRUE);
}

/* A POST that runs is not cancelled half-way when its caller disconnects,
 * although nobody waits for the answer. */
static void test_gone_while_post_runs(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t started = pair_upstream_count(&pair, "started");
	int64_t finished = pair_upstream_count(&pair, "finished");
	int64_t cancelled = pair_upstream_count(&pair, "cancelled_running");
	int fd;

	pair_set_upstream(&pair, "{\"factor\": 200}");
	fd = send_request("POST", "/book", "booked");
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	pair_wait_for(&pair, pair_upstream_count, "finished", finished + 1);
	g_assert_cmpint(pair_upstream_count(&pair, "cancelled_running"), ==,
			cancelled);
	g_assert_cmpint(cluster_runs(&pair.cluster, "booked"), ==, 1);
	expect_slot_is_free();
}

/* A caller disconnects in the middle of a long answer. */
static void test_gone_while_answered(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t cancels = pair_owner_count(&pair, "owner_cancels");
	GString *answer = g_string_new(NULL);
	int fd = send_request("GET", "/bytes/200000000", "gone-answered");

	g_assert_true(raw_read_until_found(fd, answer, "gone-answered", 1000,
					   WAIT_MS));
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	pair_wait_for(&pair, pair_owner_count, "owner_cancels", cancels + 1);
	expect_slot_is_free();
	g_string_free(answer, TRUE);
}

/* A caller disconnects inside a short request body. The request is incomplete
 * and never runs. */
static void test_gone_while_sending(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int fd = pair_connect(&pair);

	raw_send_text(fd, "POST /book HTTP/1.1\r\nHost: h\r\n"
			  "X-Request-Id: gone-sending\r\n"
			  "Content-Length: 1000\r\n\r\nhalf of it");
	rig_sleep_ms(50);
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	expect_slot_is_free();
	g_assert_cmpint(cluster_runs(&pair.cluster, "gone-sending"), ==, 0);
}

/*
 * A caller disconnects inside a long body whose first part has reached the
 * upstream. If the daemon ended the body there, the upstream would take the
 * part for the whole and store half a file. The daemon must break the
 * connection to the upstream instead.
 */
static void test_gone_while_sending_long(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t started = pair_owner_count(&pair, "owner_started");
	char *part = g_strnfill(500 * 1000, 'x');
	int fd = pair_connect(&pair);

	raw_send_text(fd, "POST /book HTTP/1.1\r\nHost: h\r\n"
			  "X-Request-Id: half-a-body\r\n"
			  "Content-Length: 1000000\r\n\r\n");
	raw_send_text(fd, part);
	pair_wait_for(&pair, pair_owner_count, "owner_started", started + 1);
	rig_sleep_ms(100);
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	expect_slot_is_free();
	g_assert_cmpint(cluster_runs(&pair.cluster, "half-a-body"), ==, 0);
	g_free(part);
}

/*
 * A caller shuts down its sending side and still reads. TCP can't distinguish
 * this from a caller that has disconnected, so the daemon treats it as
 * disconnected: it closes the connection at once and gives the slot to a caller
 * that certainly waits.
 */
static void test_half_closed(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t started = pair_upstream_count(&pair, "started");
	GString *answer = g_string_new(NULL);
	int fd;

	pair_set_upstream(&pair, "{\"factor\": 5000}");
	fd = send_request("GET", "/slow", "half-closed");
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	shutdown(fd, SHUT_WR);
	g_assert_true(raw_read_until_close(fd, answer, WAIT_MS));
	g_assert_cmpuint(answer->len, ==, 0);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + 1);
	close(fd);
	expect_slot_is_free();
	g_string_free(answer, TRUE);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	pair_start(&pair, config, "1");
	g_test_add_func("/gone/running", test_gone_while_running);
	g_test_add_func("/gone/queued", test_gone_while_queued);
	g_test_add_func("/gone/running-post", test_gone_while_post_runs);
	g_test_add_func("/gone/answered", test_gone_while_answered);
	g_test_add_func("/gone/sending", test_gone_while_sending);
	g_test_add_func("/gone/sending-long", test_gone_while_sending_long);
	g_test_add_func("/gone/half-closed", test_half_closed);
	status = g_test_run();
	cluster_stop(&pair.cluster);
	return status;
}
