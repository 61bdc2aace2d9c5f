#include "common/http_sockets.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

struct http_socket {
	LIST_ENTRY(http_socket) link;
	curl_socket_t fd;
	int local_port; /* 0: not known yet */
	int remote_port;
};

static curl_socket_t handle_open(void *data, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	struct http_sockets *sockets = data;
	struct http_socket *entry;
	curl_socket_t fd =
		socket(address->family, address->socktype | SOCK_CLOEXEC,
		       address->protocol);

	(void)purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	entry = g_new0(struct http_socket, 1);
	entry->fd = fd;
	LIST_INSERT_HEAD(&sockets->open, entry, link);
	return fd;
}

static int handle_close(void *data, curl_socket_t fd)
{
	struct http_sockets *sockets = data;
	struct http_socket *entry;

	LIST_FOREACH (entry, &sockets->open, link) {
		if (entry->fd != fd)
			continue;
		LIST_REMOVE(entry, link);
		g_free(entry);
		break;
	}
	return close(fd);
}

void http_sockets_init(struct http_sockets *sockets)
{
	LIST_INIT(&sockets->open);
}

void http_sockets_finish(struct http_sockets *sockets)
{
	struct http_socket *entry;

	while ((entry = LIST_FIRST(&sockets->open))) {
		LIST_REMOVE(entry, link);
		g_free(entry);
	}
}

void http_sockets_attach(struct http_sockets *sockets, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, handle_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, sockets);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, handle_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, sockets);
}

static int port_of(int (*get_name)(int fd, struct sockaddr *address,
				   socklen_t *size),
		   int fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} address;
	socklen_t size = sizeof(address);

	if (get_name(fd, &address.any, &size) != 0)
		return 0;
	return ntohs(address.any.sa_family == AF_INET6 ? address.v6.sin6_port :
							 address.v4.sin_port);
}

static void socket_learn_ports(struct http_socket *entry)
{
	entry->remote_port = port_of(getpeername, entry->fd);
	if (entry->remote_port)
		entry->local_port = port_of(getsockname, entry->fd);
}

static enum http_socket_state socket_check(const struct http_socket *entry)
{
	char byte;
	ssize_t got = recv(entry->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (got > 0)
		return HTTP_SOCKET_HAS_INPUT;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return HTTP_SOCKET_QUIET;
	return HTTP_SOCKET_CLOSED;
}

enum http_socket_state http_sockets_check(struct http_sockets *sockets,
					  int local_port, int remote_port)
{
	enum http_socket_state state = HTTP_SOCKET_QUIET;
	struct http_socket *entry;

	LIST_FOREACH (entry, &sockets->open, link) {
		if (!entry->local_port)
			socket_learn_ports(entry);
		/* Connections to two hosts may have the same ports. What is
		 * found on either then counts for both. */
		if (state == HTTP_SOCKET_QUIET &&
		    entry->local_port == local_port &&
		    entry->remote_port == remote_port)
			state = socket_check(entry);
	}
	return state;
}
