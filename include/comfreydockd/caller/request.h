/*
 * NAME
 *	request - one request of one caller, and its answer
 *
 * DESCRIPTION
 *	Internal to caller/. Takes the answer from the call and keeps it until
 *	its turn has come, then gives it to the connection as HTTP.
 *
 *	Nothing of a short answer is written before all of it is here: one that
 *	breaks off before that is told as a failure of its own request, and
 *	those behind it on the connection still get their answers.
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
	TAILQ_ENTRY(caller_request) link; /* of its connection, as they came */
	struct connection *connection;
	struct call *call; /* NULL: not begun, or over */
	bool is_head_method; /* its method is HEAD */
	bool is_http_1_0;
	bool keeps_alive; /* the caller wants the connection kept */
	bool body_done;
	bool is_ahead; /* begun before those in front were answered */
	/* The answer, as far as it has come. */
	bool has_answer; /* its head at least */
	bool answer_complete; /* all of it is in the buffer */
	bool aborted; /* it can't be ended */
	unsigned int status;
	struct fields fields;
	int64_t length; /* -1: not known beforehand */
	GByteArray *body; /* not yet written */
	size_t body_start;
	uint32_t come_back_ms; /* 0: not told */
	int64_t answered_us; /* when an answer of our own was made */
	/* What went to the connection. */
	bool head_written;
	bool closes; /* nothing follows on the connection */
	enum response_framing framing;
	int64_t written; /* of the body */
};

TAILQ_HEAD(caller_request_list, caller_request);

struct caller_request *request_create(struct connection *connection);

/* A call that is out is abandoned. */
void request_destroy(struct caller_request *request);

/* What the call tells its caller; data is the request. */
extern const struct call_sink request_sink;

enum request_progress {
	REQUEST_WAITS, /* for more of its answer */
	REQUEST_FULL, /* the buffer holds enough; more is here */
	REQUEST_ANSWERED,
	REQUEST_BROKEN, /* the connection must end here */
};

/*
 * Writes what has come, where its turn has come.
 *
 * closes: the answer tells the caller that nothing follows on the connection.
 */
enum request_progress request_write(struct caller_request *request,
				    GByteArray *out, size_t most, bool closes);

#endif
