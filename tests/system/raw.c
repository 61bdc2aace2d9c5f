#include "raw.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES 65536

int raw_connect(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
			==, 0);
	return fd;
}

void raw_send(int fd, const void *bytes, size_t size)
{
	const char *at = bytes;

	while (size > 0) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		at += sent;
		size -= (size_t)sent;
	}
}

void raw_send_text(int fd, const char *text)
{
	raw_send(fd, text, strlen(text));
}

/* RETURN VALUE: the bytes read, 0 if the connection is closed or reset, -1
 * after a timeout. */
static ssize_t read_some(int fd, GString *out, size_t most, gint64 end_us)
{
	struct pollfd poller = {.fd = fd, .events = POLLIN};
	gint64 left_ms = (end_us - g_get_monotonic_time()) / 1000;
	char block[BLOCK_BYTES];
	ssize_t got;

	if (left_ms < 0 || poll(&poller, 1, (int)left_ms) <= 0)
		return -1;
	got = recv(fd, block, MIN(most, sizeof(block)), 0);
	if (got > 0)
		g_string_append_len(out, block, got);
	return got < 0 ? 0 : got; /* a reset counts as a close */
}

bool raw_read_some(int fd, GString *out, size_t most, int timeout_ms)
{
	return read_some(fd, out, most,
			 g_get_monotonic_time() + timeout_ms * 1000) > 0;
}

bool raw_read_until_close(int fd, GString *out, int timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * 1000;
	ssize_t got;

	while ((got = read_some(fd, out, BLOCK_BYTES, end_us)) > 0)
		;
	return got == 0;
}

bool raw_read_until_found(int fd, GString *out, const char *mark,
			  unsigned int count, int timeout_ms)
{
	gint64 end_us = g_get_monotonic_time() + timeout_ms * 1000;

	while (raw_count(out->str, mark) < count) {
		if (read_some(fd, out, BLOCK_BYTES, end_us) <= 0)
			return false;
	}
	return true;
}

unsigned int raw_count(const char *text, const char *mark)
{
	unsigned int count = 0;

	while ((text = strstr(text, mark))) {
		count++;
		text += strlen(mark);
	}
	return count;
}
