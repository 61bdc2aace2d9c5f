/*
 * NAME
 *	request - one request of one caller, and its answer
 *
 * DESCRIPTION
 *	Internal to caller/. Takes the answer from the call and buffers it until
 *	the answers in front of it are written, then writes it to the connection
 *	as HTTP.
 *
 *	A short answer is written only once it is complete. If the upstream
 *	breaks it off before that, only this request gets a failure, and the
 *	requests behind it on the connection still get their answers.
 */
#ifndef COMFREYDOCKD_CALLER_REQUEST_H
#define COMFREYDOCKD_CALLER_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/response.h"

struct connection;

struct caller_request {
	TAILQ_ENTRY(caller_request) link; /* in order of arrival */
	struct connection *connection;
	struct call *call; /* NULL: not begun, or ended */
	bool is_head_method;
	bool is_http_1_0;
	bool keeps_alive; /* the caller wants a persistent connection */
	bool body_done;
	bool runs_ahead; /* begun, and some in front are not answered yet */
	/* The answer, as far as it has arrived. */
	bool has_answer; /* at least its head */
	bool answer_complete; /* its last byte is in the buffer */
	bool aborted; /* it can't be completed */
	unsigned int status;
	struct fields fields;
	int64_t length; /* -1: not known in advance */
	GByteArray *body; /* not yet written */
	size_t body_start;
	uint32_t come_back_ms; /* 0: not sent */
	int64_t answered_us; /* when a reply of this daemon was made */
	/* What was written to the connection. */
	bool head_written;
	bool closes; /* nothing follows on the connection */
	enum response_framing framing;
	int64_t written; /* bytes of the body */
};

TAILQ_HEAD(caller_request_list, caller_request);

struct caller_request *request_create(struct connection *connection);

/* Abandons the request's call, if it has one. */
void request_destroy(struct caller_request *request);

/* Abandons the request's call and breaks off its answer, whose head is written:
 * the connection ends there. */
void request_abort(struct caller_request *request);

/* The sink for the request's call. data is the request. */
extern const struct call_sink request_sink;

/* RETURN VALUE: how many bytes of its answer's body wait here. */
size_t request_unwritten(const struct caller_request *request);

enum request_progress {
	REQUEST_WAITS, /* for more of the answer */
	REQUEST_FULL, /* out has reached its limit, and more is ready */
	REQUEST_ANSWERED,
	REQUEST_BROKEN, /* the connection must end here */
};

/*
 * Writes as much of the answer as is ready. To be called only for the first
 * request of the connection's list.
 *
 * max_size: writes body bytes only while out is shorter than this.
 * closes: the answer tells the caller that the connection closes after it.
 */
enum request_progress request_write(struct caller_request *request,
				    GByteArray *out, size_t max_size,
				    bool closes);

#endif
