#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"
#include "raw.h"

/* An upstream that sends bytes of an earlier answer again, or breaks off. The path
 * says what it does: /list/ACTION/bytes/COUNT. */

#define WAIT_MS 10000
#define IDLE_MS 20
#define CUT_STEP 3
#define WHOLE 10000
#define HEAD_MIN 170 /* no head is shorter */
#define ID_FIELD "X-Comfreydock-Request-Id"
#define SUCCESS 200
#define FAILURE 500

static const struct fleet_options options = {
	.count = 1,
	.domains = 1,
	.slots = "4",
	.service_time_us = "2000",
};
static struct fleet fleet;
static gint repeats; /* requests answered with bytes of an earlier answer first */

static GString *format_answer(unsigned int status, const char *id)
{
	GString *answer = g_string_new(NULL);

	g_string_printf(answer,
			"HTTP/1.1 %u Said\r\nContent-Type: text/plain\r\n"
			"X-Comfreydock-Instance-Id: i-0-1\r\n" ID_FIELD
			": %s\r\n"
			"X-Comfreydock-Response-Signature: s-%s\r\n"
			"Content-Length: 2\r\n\r\nok",
			status, id, id);
	return answer;
}

static void send_again(int fd, const GString *sent, size_t bytes)
{
	raw_send(fd, sent->str, MIN(bytes, sent->len));
}

/* RETURN VALUE: the request's id; "" for a health check. */
static char *find_id(const char *request)
{
	const char *field = strstr(request, ID_FIELD ": ");

	if (!field)
		return g_strdup("");
	field += strlen(ID_FIELD ": ");
	return g_strndup(field, strcspn(field, "\r"));
}

/* RETURN VALUE: whether the connection is kept. */
static bool serve_request(int fd, const char *request, GString *sent)
{
	bool fails = strstr(request, "/fail/");
	bool stops = strstr(request, "/stop/");
	const char *number = strstr(request, "/bytes/");
	size_t bytes = number ? strtoul(number + strlen("/bytes/"), NULL, 10) : 0;
	char *id = find_id(request);
	GString *answer = format_answer(fails ? FAILURE : SUCCESS, id);

	if (fails && sent->len > 0 && bytes > 0) {
		send_again(fd, sent, bytes);
		g_atomic_int_inc(&repeats);
	}
	raw_send(fd, answer->str, stops ? bytes : answer->len);
	g_string_assign(sent, *id ? answer->str : "");
	if (strstr(request, "/twice/")) {
		rig_sleep_ms(IDLE_MS / 4);
		send_again(fd, sent, bytes);
	}
	g_string_free(answer, TRUE);
	g_free(id);
	return !stops;
}

static gpointer serve_connection(gpointer data)
{
	int fd = GPOINTER_TO_INT(data);
	GString *request = g_string_new(NULL);
	GString *sent = g_string_new(NULL); /* the last answer */

	while (raw_read_until_found(fd, request, "\r\n\r\n", 1, WAIT_MS) &&
	       serve_request(fd, request->str, sent))
		g_string_truncate(request, 0);
	close(fd);
	g_string_free(request, TRUE);
	g_string_free(sent, TRUE);
	return NULL;
}

static gpointer accept_connections(gpointer data)
{
	for (;;) {
		int fd = accept(GPOINTER_TO_INT(data), NULL, NULL);

		g_assert_cmpint(fd, >=, 0);
		g_thread_unref(g_thread_new("connection", serve_connection,
					    GINT_TO_POINTER(fd)));
	}
	return NULL;
}

/* Listens in place of the stand-in. */
static void replace_upstream(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(fleet.hosts[0].upstream_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	rig_kill(fleet.hosts[0].upstream);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)),
			==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	g_thread_unref(g_thread_new("accept", accept_connections,
				    GINT_TO_POINTER(fd)));
}

/* RETURN VALUE: the status, or 0 if no complete answer arrived. */
static long get(const char *action, size_t bytes)
{
	char *path = g_strdup_printf("/list/%s/bytes/%zu", action, bytes);
	long status = fleet_get(&fleet, 0, path);

	g_free(path);
	return status;
}

static void send_report(void)
{
	static unsigned int sequence = 1000; /* beyond the stand-in's */
	char *body = g_strdup_printf(
		"{\"service\":\"" FLEET_SERVICE
		"\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"hall-0\",\"version\":\"v1\",\"slots\":4,"
		"\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%u}",
		fleet.hosts[0].upstream_port, ++sequence);

	g_free(rig_http_ok("POST", fleet.hosts[0].reports,
			   "/comfreydock/instances/i-0-1/heartbeat", body));
	g_free(body);
}

static bool is_served(void *data)
{
	(void)data;
	send_report();
	return get("good", 0) == SUCCESS;
}

static void wait_until_served(void)
{
	g_assert_true(rig_wait_until(is_served, NULL, WAIT_MS));
}

/* Guards against a success where the run failed: the status of an answer that is
 * cut in its head goes with the rest of the next one. */
static void test_cut_head(void)
{
	for (size_t cut = 1; cut < HEAD_MIN; cut += CUT_STEP) {
		wait_until_served();
		g_assert_cmpint(get("fail", cut), !=, SUCCESS);
	}
	for (size_t cut = 1; cut < HEAD_MIN; cut += CUT_STEP) {
		wait_until_served();
		get("twice", cut);
		rig_sleep_ms(IDLE_MS);
		g_assert_cmpint(get("fail", 0), !=, SUCCESS);
	}
	g_assert_cmpint(g_atomic_int_get(&repeats), >, HEAD_MIN / CUT_STEP / 2);
}

/* Guards against the answer of a request's first run as that of its second. */
static void test_same_id(void)
{
	for (int i = 0; i < 5; i++) {
		wait_until_served();
		g_assert_cmpint(get("good", 0), ==, SUCCESS);
		fleet.gets--; /* fleet_get() uses the last id again */
		g_assert_cmpint(get("fail", WHOLE), ==, FAILURE);
	}
}

/* Guards against a success where the upstream closed within the head. */
static void test_stopped_head(void)
{
	for (size_t cut = 0; cut < HEAD_MIN; cut += CUT_STEP) {
		wait_until_served();
		g_assert_cmpint(get("stop", cut), !=, SUCCESS);
	}
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	fleet_put_config(&fleet, 1, "list");
	wait_until_served();
	replace_upstream();
	g_test_add_func("/second-answers/cut-head", test_cut_head);
	g_test_add_func("/second-answers/same-id", test_same_id);
	g_test_add_func("/second-answers/stopped-head", test_stopped_head);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
