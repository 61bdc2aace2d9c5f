#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "raw.h"

#define ANSWER_BYTES 540000
#define READERS 4
#define STEP_BYTES 7500 /* read every STEP_MS */
#define STEP_MS 50
#define WAIT_MS 10000
#define PAUSE_MS 6000 /* longer than a link may stall */
#define STOP_WAIT_MS 30000 /* half of the time that a stop may take */

static const struct cluster_options options = {
	.count = 1,
	.drain_timeout_ms = 60000,
};

/* RETURN VALUE: a socket whose kernel buffers no more of an answer than that of
 * a caller behind a slow line. */
static int connect_slowly(uint16_t port)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int buffer_bytes = 4096;
	int segment_bytes = 1448;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
		   sizeof(segment_bytes));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

static int begin_download(struct cluster *cluster, GString *got)
{
	char *request = g_strdup_printf("GET /bytes/%d HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: slow\r\n\r\n",
					ANSWER_BYTES);
	int fd = connect_slowly(cluster->daemons[0]->caller_port);

	raw_send_text(fd, request);
	g_assert_true(raw_read_some(fd, got, 1, WAIT_MS));
	g_free(request);
	return fd;
}

static bool has_whole_answer(const GString *got)
{
	const char *end = strstr(got->str, "\r\n\r\n");

	return end && got->len - (size_t)(end + 4 - got->str) == ANSWER_BYTES;
}

/* Guards against answers that are cut by a planned stop as their callers read
 * slowly: the daemon still holds the last bytes though no call is in flight. */
static void test_stop_waits_for_slow_readers(void)
{
	struct cluster cluster;
	GString *got[READERS];
	int fds[READERS];
	int whole = 0;

	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, 1, WAIT_MS);
	for (int i = 0; i < READERS; i++) {
		got[i] = g_string_new(NULL);
		fds[i] = begin_download(&cluster, got[i]);
	}
	rig_signal(cluster.daemons[0], SIGTERM);
	while (whole < READERS) {
		rig_sleep_ms(STEP_MS);
		whole = 0;
		for (int i = 0; i < READERS; i++) {
			if (has_whole_answer(got[i]))
				whole++;
			else if (!raw_read_some(fds[i], got[i], STEP_BYTES,
						WAIT_MS))
				g_error("cut after %zu bytes", got[i]->len);
		}
	}
	g_assert_cmpint(rig_wait_end(cluster.daemons[0], STOP_WAIT_MS), ==, 0);
	for (int i = 0; i < READERS; i++) {
		g_string_free(got[i], TRUE);
		close(fds[i]);
	}
	cluster_stop(&cluster);
}

/* Guards against a stop that is held up by a caller that reads nothing. */
static void test_stop_ends_beside_stalled_reader(void)
{
	struct cluster cluster;
	GString *got = g_string_new(NULL);
	int fd;

	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, 1, WAIT_MS);
	fd = begin_download(&cluster, got);
	rig_signal(cluster.daemons[0], SIGTERM);
	g_assert_cmpint(rig_wait_end(cluster.daemons[0], STOP_WAIT_MS), ==, 0);
	close(fd);
	g_string_free(got, TRUE);
	cluster_stop(&cluster);
}

/* Guards against the reset of an answer whose caller reads nothing for some
 * seconds. */
static void test_paused_reader(void)
{
	struct cluster cluster;
	GString *got = g_string_new(NULL);
	int fd;

	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, 1, WAIT_MS);
	fd = begin_download(&cluster, got);
	rig_sleep_ms(PAUSE_MS);
	while (!has_whole_answer(got)) {
		if (!raw_read_some(fd, got, STEP_BYTES, WAIT_MS))
			g_error("cut after %zu bytes", got->len);
	}
	close(fd);
	g_string_free(got, TRUE);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slow-readers/stop", test_stop_waits_for_slow_readers);
	g_test_add_func("/slow-readers/paused", test_paused_reader);
	g_test_add_func("/slow-readers/stalled",
			test_stop_ends_beside_stalled_reader);
	return g_test_run();
}
