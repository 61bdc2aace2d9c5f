/*
 * NAME
 *	http_server - integrates libmicrohttpd with the libev loop
 *
 * DESCRIPTION
 *	The lower layer runs a libmicrohttpd daemon from the loop through its
 *	epoll descriptor. The caller port uses it for streaming. The upper layer
 *	delivers buffered requests, for the admin API and the stand-ins. Its
 *	handler answers with http_request_reply(), either immediately or later
 *	from the loop.
 *
 *	If the connection closes before the request is answered, the request is
 *	freed only by http_request_reply(), which then drops the reply.
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
	const char *address; /* IP address */
	uint16_t port; /* 0: the kernel chooses */
	unsigned int max_connections; /* 0: 4096 */
	unsigned int idle_timeout_s; /* 0: 60 */
	size_t max_body_bytes; /* only for the upper layer; 0: 1 MiB */
	size_t memory_per_connection; /* head and buffers; 0: 32 KiB */
};

/* Lower layer: callbacks that libmicrohttpd calls directly. */
struct http_server_callbacks {
	MHD_AccessHandlerCallback handle_access;
	MHD_RequestCompletedCallback handle_completed;
	/* Gets the raw request target; its return value becomes *con_cls. */
	void *(*handle_target)(void *data, const char *target,
			       struct MHD_Connection *connection);
	/* Called at the start and end of each connection; may be NULL. */
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

/* Stops listening and closes all connections. All requests must have been
 * answered or resumed before. */
void http_server_destroy(struct http_server *server);

/* Closes the listening socket. Open connections, and those that wait in the
 * accept queue of the kernel, are still served. */
void http_server_quiesce(struct http_server *server);

uint16_t http_server_port(const struct http_server *server);

/* Makes libmicrohttpd run in this iteration of the loop. Must be called after
 * MHD_resume_connection(). */
void http_server_wake(struct http_server *server);

const char *http_request_method(const struct http_request *request);

/* RETURN VALUE: the path without the query, not decoded. */
const char *http_request_path(const struct http_request *request);

/* RETURN VALUE: the value of the query argument, or NULL. */
const char *http_request_argument(const struct http_request *request,
				  const char *name);
const char *http_request_header(const struct http_request *request,
				const char *name);
const GString *http_request_body(const struct http_request *request);

/* Sends the answer and takes ownership of the request. headers is an array of
 * name, value, ..., NULL, or NULL. */
void http_request_reply(struct http_request *request, unsigned int status,
			const char *const *headers, const char *body,
			size_t size);
void http_request_reply_text(struct http_request *request, unsigned int status,
			     const char *content_type, const char *text);

/* Closes the connection without an answer and takes ownership of the request. */
void http_request_abort(struct http_request *request);

#endif
