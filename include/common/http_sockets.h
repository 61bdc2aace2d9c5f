/*
 * NAME
 *	http_sockets - the sockets of libcurl's connections
 *
 * DESCRIPTION
 *	libcurl doesn't tell which of its kept connections a transfer is about to
 *	use, only the ports of both ends. It reuses a connection with input that
 *	nobody asked for, such as a late second answer, and reads that input as
 *	the beginning of the next answer. This module creates and closes the
 *	sockets for libcurl, so that a user can look for such input first.
 */
#ifndef COMMON_HTTP_SOCKETS_H
#define COMMON_HTTP_SOCKETS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <sys/queue.h>

struct http_socket;

struct http_sockets {
	LIST_HEAD(, http_socket) open;
};

void http_sockets_init(struct http_sockets *sockets);

/* Frees the list; libcurl must have closed its connections before. */
void http_sockets_finish(struct http_sockets *sockets);

/* Lets libcurl create the transfer's socket here. */
void http_sockets_attach(struct http_sockets *sockets, CURL *easy);

enum http_socket_state {
	HTTP_SOCKET_QUIET,
	HTTP_SOCKET_HAS_INPUT,
	HTTP_SOCKET_CLOSED, /* by the server */
};

/* RETURN VALUE: the state of the connection with these ports. */
enum http_socket_state http_sockets_check(struct http_sockets *sockets,
					  int local_port, int remote_port);

#endif
