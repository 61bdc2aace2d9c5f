/*
 * NAME
 *	http_client - libcurl's multi interface on the libev loop
 *
 * DESCRIPTION
 *	The lower layer runs easy handles that its user sets up, for streams.
 *	The upper one sends one whole request and hands over the whole answer,
 *	for the platform client and the command-line tool.
 */
#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_client;

struct http_client *http_client_create(struct ev_loop *loop);

/* Transfers still running are ended without their callbacks. */
void http_client_destroy(struct http_client *client);

/* Lower layer. The handle is the user's; handle_done is called once, after
 * which the handle is out of the multi handle. CURLOPT_PRIVATE is taken.
 *
 * libcurl sends a request anew, a POST too, where a connection that was used
 * before closes with no byte of an answer. With send_once it doesn't: the
 * transfer ends in CURLE_ABORTED_BY_CALLBACK, and may have taken effect. */
struct http_transfer {
	CURL *easy;
	void (*handle_done)(struct http_transfer *transfer, CURLcode result);
	void *data;
	bool send_once; /* takes CURLOPT_PREREQFUNCTION */
	bool sent; /* kept with send_once: the request began to be written */
};

void http_client_start(struct http_client *client,
		       struct http_transfer *transfer);

/* Begins what was started, without another turn of the loop. Not to be called
 * from a callback of libcurl. */
void http_client_flush(struct http_client *client);

/* Takes a running transfer out; handle_done is not called. */
void http_client_stop(struct http_client *client, struct http_transfer *transfer);

struct http_answer {
	CURLcode result; /* CURLE_OK: an answer came, whatever its status */
	/* True where no byte of the request can have been sent. */
	bool never_sent;
	long status;
	const char *body;
	size_t size;
	CURL *easy; /* for http_answer_header() */
};

/* RETURN VALUE: the field's value, or NULL; valid during the callback. */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

typedef void (*http_answer_handler)(const struct http_answer *answer, void *data);

struct http_call {
	const char *method;
	const char *url;
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	bool send_once; /* a reading too; any other method always is */
	const char *body; /* NULL: none */
	size_t size;
	long timeout_ms; /* 0: 5000 */
	long connect_timeout_ms; /* 0: 1000 */
	long stall_timeout_s; /* given up after so long with nothing coming; 0: not so */
};

struct http_pending;

/* Copies the call. Only GET and HEAD may be sent again by libcurl.
 * RETURN VALUE: a token for http_client_cancel(). */
struct http_pending *http_client_call(struct http_client *client,
				      const struct http_call *call,
				      http_answer_handler handler, void *data);
void http_client_cancel(struct http_pending *pending);

#endif
