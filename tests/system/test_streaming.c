#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "raw.h"

#define ANSWER_BYTES ((size_t)200000000)
#define STEP_BYTES ((size_t)10000000)
#define WAIT_MS 10000

static const char id[] = "stream";

/* Asserts that the bytes at this position repeat the request id, as the whole
 * body does. */
static void check_bytes(const GString *bytes, size_t position)
{
	for (size_t i = 0; i < bytes->len; i++) {
		if (bytes->str[i] != id[(position + i) % strlen(id)])
			g_error("byte %zu of the answer is wrong", position + i);
	}
}

static void expect_short_call(struct cluster *cluster)
{
	struct rig_answer *answer = cluster_call(cluster, 0, "GET", "/short",
						 "short", NULL, WAIT_MS);

	g_assert_true(answer->arrived);
	g_assert_cmpstr(cluster_outcome(answer), ==, "run");
	g_assert_nonnull(strstr(answer->body->str, "\"short\""));
	rig_answer_free(answer);
}

static size_t read_step(int fd, size_t position)
{
	GString *bytes = g_string_new(NULL);
	size_t most = MIN(STEP_BYTES, ANSWER_BYTES - position);
	size_t size;

	while (bytes->len < most) {
		if (!raw_read_some(fd, bytes, most - bytes->len, WAIT_MS))
			g_error("no data after %zu bytes", position + bytes->len);
	}
	check_bytes(bytes, position);
	size = bytes->len;
	g_string_free(bytes, TRUE);
	return size;
}

static int open_stream(struct cluster *cluster)
{
	GString *head = g_string_new(NULL);
	int fd = raw_connect(cluster->daemons[0]->caller_port);
	char *request = g_strdup_printf("GET /bytes/%zu HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: %s\r\n\r\n",
					ANSWER_BYTES, id);

	raw_send_text(fd, request);
	while (!strstr(head->str, "\r\n\r\n"))
		g_assert_true(raw_read_some(fd, head, 1, WAIT_MS));
	g_assert_true(g_str_has_prefix(head->str, "HTTP/1.1 200"));
	g_string_free(head, TRUE);
	g_free(request);
	return fd;
}

/*
 * A caller downloads a 200 MB answer over a slow line while others use the same
 * daemons for short calls. The answer must arrive complete, and the short calls
 * must not wait behind it. The caller pauses between reads, so the daemons must
 * stop reading from the upstream (backpressure) and resume.
 */
static void test_long_answer_beside_short_calls(void)
{
	struct cluster_options options = {.count = 2};
	struct cluster cluster;
	size_t received = 0;
	int fd;

	cluster_start(&cluster, &options);
	g_free(rig_http_ok("POST", cluster.daemons[0]->admin_port,
			   "/v1/upstream/drain", ""));
	cluster_wait_up(&cluster, 1, WAIT_MS);
	fd = open_stream(&cluster);
	while (received < ANSWER_BYTES) {
		expect_short_call(&cluster);
		received += read_step(fd, received);
		rig_sleep_ms(50);
	}
	close(fd);
	cluster_stop(&cluster);
}

/* RETURN VALUE: whether the connection ends with a reset. */
static bool ends_with_reset(int fd)
{
	char bytes[65536];
	ssize_t size;

	while ((size = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		;
	return size < 0 && errno == ECONNRESET;
}

static struct rig_process *get_owner(struct cluster *cluster)
{
	return cluster->daemons[1];
}

static struct rig_process *get_upstream(struct cluster *cluster)
{
	return cluster->upstreams[1];
}

static struct rig_process *get_entry(struct cluster *cluster)
{
	return cluster->daemons[0];
}

struct killed_case {
	const char *name;
	struct rig_process *(*get)(struct cluster *cluster);
};

static const struct killed_case killed_cases[] = {
	{"/streaming/killed/owner", get_owner},
	{"/streaming/killed/upstream", get_upstream},
	{"/streaming/killed/entry", get_entry},
};

/* Guards against an answer that ends with its connection and looks complete to an
 * HTTP/1.0 caller although a process on its way was killed. */
static void test_killed_without_length(const void *data)
{
	const struct killed_case *test = data;
	struct timeval timeout = {.tv_sec = WAIT_MS / 1000};
	struct cluster_options options = {.count = 2};
	GString *head = g_string_new(NULL);
	struct cluster cluster;
	int fd;

	cluster_start(&cluster, &options);
	g_free(rig_http_ok("POST", cluster.daemons[0]->admin_port,
			   "/v1/upstream/drain", ""));
	cluster_wait_up(&cluster, 1, WAIT_MS);
	fd = raw_connect(cluster.daemons[0]->caller_port);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	raw_send_text(fd, "GET /chunks/200000000 HTTP/1.0\r\nHost: h\r\n\r\n");
	while (!strstr(head->str, "\r\n\r\n"))
		g_assert_true(raw_read_some(fd, head, 1, WAIT_MS));
	g_assert_true(g_str_has_prefix(head->str, "HTTP/1.1 200"));
	g_assert_null(strstr(head->str, "Content-Length"));
	rig_kill(test->get(&cluster));
	g_assert_true(ends_with_reset(fd));
	close(fd);
	cluster_stop(&cluster);
	g_string_free(head, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/streaming/long-beside-short",
			test_long_answer_beside_short_calls);
	for (size_t i = 0; i < G_N_ELEMENTS(killed_cases); i++)
		g_test_add_data_func(killed_cases[i].name, &killed_cases[i],
				     test_killed_without_length);
	return g_test_run();
}
