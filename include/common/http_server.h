/*
 * NAME
 *	http_server - libmicrohttpd on the libev loop
 *
 * DESCRIPTION
 *	Two layers. The lower one runs any libmicrohttpd daemon from the loop
 *	through its epoll descriptor; the caller's port uses it and streams.
 *	The upper one hands over whole requests, for the admin API and the
 *	stand-ins: its handler answers at once or later, from the loop, with
 *	http_request_reply().
 *
 *	A request that was not yet answered when its connection breaks is
 *	freed only after http_request_reply(); the reply is then dropped.
 */
#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;
struct http_request;

struct http_server_options {
	const char *address; /* IP number */
	uint16_t port; /* 0: the kernel chooses */
	unsigned int max_connections; /* 0: 4096 */
	unsigned int idle_timeout_s; /* 0: 60 */
	size_t max_body_bytes; /* upper layer only; 0: 1 MiB */
	size_t memory_per_connection; /* head and buffers; 0: 32 KiB */
};

/* Lower layer: the libmicrohttpd callbacks are the caller's own. */
struct http_server_callbacks {
	MHD_AccessHandlerCallback handle_access;
	MHD_RequestCompletedCallback handle_completed;
	/* Takes the raw request target; its result becomes *con_cls. */
	void *(*handle_target)(void *data, const char *target,
			       struct MHD_Connection *connection);
	/* May be NULL: each connection's start and end. */
	MHD_NotifyConnectionCallback handle_connection;
	void *data;
};

/* RETURN VALUE: NULL with errno set if the address can't be bound. */
struct http_server *
http_server_create_raw(struct ev_loop *loop,
		       const struct http_server_options *options,
		       const struct http_server_callbacks *callbacks);

typedef void (*http_handler)(struct http_request *request, void *data);

struct http_server *http_server_create(struct ev_loop *loop,
				       const struct http_server_options *options,
				       http_handler handler, void *data);

/* Stops listening and closes all connections. Open requests must be answered
 * or resumed before. */
void http_server_destroy(struct http_server *server);

/* Closes the port; connections that are open, or that the kernel has taken
 * already, go on. */
void http_server_quiesce(struct http_server *server);

uint16_t http_server_port(const struct http_server *server);

/* Makes the daemon run in this turn of the loop; call after
 * MHD_resume_connection(). */
void http_server_wake(struct http_server *server);

const char *http_request_method(const struct http_request *request);

/* The path without the query, as sent. */
const char *http_request_path(const struct http_request *request);

/* RETURN VALUE: the argument's value, or NULL. */
const char *http_request_argument(const struct http_request *request,
				  const char *name);
const char *http_request_header(const struct http_request *request,
				const char *name);
const GString *http_request_body(const struct http_request *request);

/* Answers once and gives the request up. headers is an array of name, value,
 * ..., NULL, or NULL. */
void http_request_reply(struct http_request *request, unsigned int status,
			const char *const *headers, const char *body,
			size_t size);
void http_request_reply_text(struct http_request *request, unsigned int status,
			     const char *content_type, const char *text);

/* Breaks the connection off without an answer. */
void http_request_abort(struct http_request *request);

#endif
