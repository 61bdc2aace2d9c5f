#include "comfreydockd/peer/socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "common/address.h"

#define LISTEN_BACKLOG 1024
/* How long a host may leave sent bytes unacknowledged. */
#define USER_TIMEOUT_MS 5000

void socket_set_options(int fd)
{
	int one = 1;
	int idle_s = 5;
	int interval_s = 1;
	int count = 3;
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* A host that lost its power sends no FIN: without these an entry
	 * would hold the connection, and its calls, for many minutes. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

/* RETURN VALUE: -1, with errno as it was. */
static int close_failed(int fd)
{
	int error = errno;

	close(fd);
	errno = error;
	return -1;
}

static int open_stream(const union socket_address *address)
{
	return socket(address->any.sa_family,
		      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int socket_listen(const char *text, uint16_t port, uint16_t *bound)
{
	char number[ADDRESS_TEXT_SIZE];
	union socket_address address;
	socklen_t size = address_fill(&address, text, port);
	int one = 1;
	int fd;

	errno = EINVAL;
	if (!size)
		return -1;
	fd = open_stream(&address);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, &address.any, size) < 0 || listen(fd, LISTEN_BACKLOG) < 0 ||
	    getsockname(fd, &address.any, &size) < 0)
		return close_failed(fd);
	*bound = address_read(&address, number);
	return fd;
}

int socket_connect(const char *text, uint16_t port)
{
	union socket_address address;
	socklen_t size = address_fill(&address, text, port);
	int fd;

	errno = EINVAL;
	if (!size)
		return -1;
	fd = open_stream(&address);
	if (fd < 0)
		return -1;
	socket_set_options(fd);
	if (connect(fd, &address.any, size) < 0 && errno != EINPROGRESS)
		return close_failed(fd);
	return fd;
}
