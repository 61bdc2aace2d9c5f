#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "rig.h"

struct fixture {
	struct rig *rig;
	struct rig_process *upstream;
	struct rig_process *relay;
};

static void set_up(struct fixture *f, gconstpointer data)
{
	char *target;

	(void)data;
	f->rig = rig_create();
	f->upstream = rig_start_standin(
		f->rig, "standin/upstream/standin-upstream", NULL);
	target = g_strdup_printf("127.0.0.1:%u", f->upstream->port);
	f->relay = rig_start_standin(f->rig, "tests/system/relay", "--target",
				     target, NULL);
	g_free(target);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	(void)data;
	rig_destroy(f->rig);
}

static void set(struct fixture *f, const char *command)
{
	g_free(rig_http_ok("POST", f->relay->control_port, "/set", command));
}

/* RETURN VALUE: the body size of a complete response, or -1. */
static int64_t fetch(struct fixture *f, const char *path, int timeout_ms)
{
	char *url =
		g_strdup_printf("http://127.0.0.1:%u%s", f->relay->port, path);
	struct rig_answer *answer = rig_http("GET", url, NULL, NULL, timeout_ms);
	int64_t size = answer->arrived ? (int64_t)answer->body->len : -1;

	rig_answer_free(answer);
	g_free(url);
	return size;
}

static void test_tcp(struct fixture *f, gconstpointer data)
{
	gint64 start_us;

	(void)data;
	g_assert_cmpint(fetch(f, "/bytes/20000000", 10000), ==, 20000000);
	start_us = g_get_monotonic_time();
	set(f, "{\"delay_ms\":50}");
	g_assert_cmpint(fetch(f, "/bytes/10", 2000), ==, 10);
	g_assert_cmpint(g_get_monotonic_time() - start_us, >=, 100000);
	set(f, "{\"delay_ms\":0,\"hold_backward\":true}");
	g_assert_cmpint(fetch(f, "/bytes/10", 50), ==, -1);
	set(f, "{\"hold_backward\":false,\"cut\":true}");
	g_assert_cmpint(fetch(f, "/bytes/10", 2000), ==, -1);
	set(f, "{\"cut\":false}");
	g_assert_cmpint(fetch(f, "/bytes/10", 2000), ==, 10);
}

/* RETURN VALUE: the size of the received datagram, or -1. */
static ssize_t ping(int fd, uint16_t port)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	char data[16];

	sendto(fd, "ping", 4, 0, (struct sockaddr *)&to, sizeof(to));
	return recv(fd, data, sizeof(data), 0);
}

/* The relay's target is the socket that the test sends from. */
static void test_udp(struct fixture *f, gconstpointer data)
{
	struct timeval wait = {.tv_usec = 100000};
	struct sockaddr_in own = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(own);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	struct rig_process *relay;
	char *target;

	(void)data;
	g_assert_cmpint(bind(fd, (struct sockaddr *)&own, length), ==, 0);
	getsockname(fd, (struct sockaddr *)&own, &length);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	target = g_strdup_printf("127.0.0.1:%u", ntohs(own.sin_port));
	relay = rig_start_standin(f->rig, "tests/system/relay", "--target",
				  target, NULL);
	g_assert_cmpint(ping(fd, relay->port), ==, 4);
	g_free(rig_http_ok("POST", relay->control_port, "/set",
			   "{\"hold_forward\":true}"));
	g_assert_cmpint(ping(fd, relay->port), ==, -1);
	g_free(rig_http_ok("POST", relay->control_port, "/set",
			   "{\"hold_forward\":false,\"delay_ms\":20}"));
	g_assert_cmpint(ping(fd, relay->port), ==, 4);
	close(fd);
	g_free(target);
}

#define ADD(name, function)                                                \
	g_test_add("/relay/" name, struct fixture, NULL, set_up, function, \
		   tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("tcp", test_tcp);
	ADD("udp", test_udp);
	return g_test_run();
}
