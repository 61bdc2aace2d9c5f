/*
 * NAME
 *	http_client - integrates libcurl's multi interface with the libev loop
 *
 * DESCRIPTION
 *	The lower layer runs easy handles that its user configures. It is meant
 *	for streaming. The upper layer sends one buffered request and delivers
 *	the buffered answer. The platform client and the command-line tool use
 *	it.
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

/* Aborts the transfers that still run, without calling their callbacks. */
void http_client_destroy(struct http_client *client);

/* Lower layer. The user owns the easy handle. handle_done is called once, when
 * the easy handle has been removed from the multi handle. CURLOPT_PRIVATE, the
 * callbacks for sockets and CURLOPT_PREREQFUNCTION are reserved for this module.
 *
 * libcurl resends a request, even a POST, if a reused connection closes before
 * the first byte of the answer. With send_once it does not resend: the transfer
 * ends with CURLE_ABORTED_BY_CALLBACK, and the request may have taken effect.
 *
 * A kept connection on which bytes arrived that nobody asked for, or which the
 * server closed, is dropped, and the transfer uses a new one. libcurl would take
 * these bytes for the beginning of the answer. */
struct http_transfer {
	CURL *easy;
	void (*handle_done)(struct http_transfer *transfer, CURLcode result);
	void *data;
	bool send_once;
	bool sent; /* writing the request has begun */
	/* For this module: */
	struct http_client *client;
	bool found_unusable; /* the kept connection that libcurl chose */
	bool uses_new_connection;
};

/* Adds the transfer; it begins in the next iteration of the loop. */
void http_client_add_transfer(struct http_client *client,
			      struct http_transfer *transfer);

/* Begins the transfers that were started, without waiting for the next
 * iteration of the loop. Must not be called from a libcurl callback. */
void http_client_begin_transfers(struct http_client *client);

/* Aborts a running transfer without calling handle_done. */
void http_client_remove_transfer(struct http_client *client,
				 struct http_transfer *transfer);

struct http_answer {
	CURLcode result; /* CURLE_OK: a whole answer with any status arrived */
	/* True if certainly no byte of the request was sent. */
	bool never_sent;
	/* Why its head can't be of one answer, see common/http_head.h, or that
	 * its body is too large; NULL: nothing was found. The result is an error
	 * then. */
	const char *fault;
	long status;
	const char *body;
	size_t size;
	CURL *easy; /* for http_answer_header() */
};

/* RETURN VALUE: the value of the header field, or NULL; valid during the
 * callback. */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

typedef void (*http_answer_handler)(const struct http_answer *answer, void *data);

/* Above the largest answer of the store. */
#define HTTP_ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)

struct http_call {
	const char *method;
	const char *url;
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	bool send_once; /* for GET and HEAD; always on for other methods */
	/* Uses a new connection and closes it afterwards. A kept connection may
	 * be lost without an error. */
	bool own_connection;
	const char *body; /* NULL: none */
	size_t size;
	long timeout_ms; /* 0: 5000 */
	long connect_timeout_ms; /* 0: 1000 */
	long stall_timeout_s; /* time without received bytes; 0: no limit */
	/* A call whose answer has a larger body fails. 0: HTTP_ANSWER_MAX_BYTES. */
	size_t answer_max_bytes;
	/* Called with each field of the answer's head, also of an interim one.
	 * If it returns false, the call ends with CURLE_WRITE_ERROR and its
	 * connection is closed. NULL: not called. */
	bool (*handle_field)(void *data, const char *name, const char *value);
};

struct http_pending_call;

/* Copies the call. libcurl may resend only GET and HEAD requests.
 * RETURN VALUE: a handle for http_client_cancel(). */
struct http_pending_call *http_client_call(struct http_client *client,
					   const struct http_call *call,
					   http_answer_handler handler,
					   void *data);
void http_client_cancel(struct http_pending_call *pending);

#endif
