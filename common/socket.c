#include "common/socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "common/address.h"

#define LISTEN_BACKLOG 1024
#define PORT_TRIES 16

void socket_set_options(int fd, unsigned int stall_ms)
{
	int one = 1;
	int idle_s = 5;
	int interval_s = 1;
	int count = 3;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* A host that loses power sends no FIN. Without keepalive and the user
	 * timeout an entry would keep the connection, and the calls on it, for
	 * many minutes. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &stall_ms,
		   sizeof(stall_ms));
}

/* RETURN VALUE: -1, with errno unchanged. */
static int close_failed(int fd)
{
	int error = errno;

	close(fd);
	errno = error;
	return -1;
}

/* Parses the address. RETURN VALUE: a socket for it, or -1. */
static int open_stream(const char *text, uint16_t port,
		       union socket_address *address, socklen_t *size)
{
	*size = address_parse(address, text, port);
	errno = EINVAL;
	if (!*size)
		return -1;
	return socket(address->any.sa_family,
		      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int socket_listen(const char *text, uint16_t port, uint16_t *bound)
{
	char number[ADDRESS_TEXT_SIZE];
	union socket_address address;
	socklen_t size;
	/* The kernel can choose the same free port for two sockets that have
	 * SO_REUSEADDR, and listen(2) then fails for the second. A socket for
	 * port 0 therefore gets the option only after bind(2). It still needs
	 * the option, so that old connections don't keep a restarted process
	 * from binding the port. */
	int reuse = port != 0;
	int one = 1;
	int fd = open_stream(text, port, &address, &size);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (bind(fd, &address.any, size) < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0 ||
	    getsockname(fd, &address.any, &size) < 0)
		return close_failed(fd);
	*bound = address_unpack(&address, number);
	return fd;
}

static bool is_free_for_udp(const char *text, uint16_t port)
{
	union socket_address address;
	socklen_t size = address_parse(&address, text, port);
	int fd = socket(address.any.sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	bool free = fd >= 0 && bind(fd, &address.any, size) == 0;

	if (fd >= 0)
		close(fd);
	return free;
}

int socket_listen_udp_free(const char *text, uint16_t port, uint16_t *bound)
{
	int fd = socket_listen(text, port, bound);

	for (int i = 0; i < PORT_TRIES && port == 0 && fd >= 0 &&
			!is_free_for_udp(text, *bound);
	     i++) {
		close(fd);
		fd = socket_listen(text, port, bound);
	}
	return fd;
}

int socket_connect(const char *text, uint16_t port)
{
	union socket_address address;
	socklen_t size;
	int fd = open_stream(text, port, &address, &size);

	if (fd < 0)
		return -1;
	socket_set_options(fd, SOCKET_LINK_STALL_MS);
	if (connect(fd, &address.any, size) < 0 && errno != EINPROGRESS)
		return close_failed(fd);
	return fd;
}
