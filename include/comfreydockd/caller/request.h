/*
 * NAME
 *	request - one request of one caller at libmicrohttpd
 *
 * DESCRIPTION
 *	Internal to caller/. listener.c reads the request and begins its call;
 *	request.c watches for a caller that goes away, and takes the answer from
 *	the call to libmicrohttpd.
 */
#ifndef COMFREYDOCKD_CALLER_REQUEST_H
#define COMFREYDOCKD_CALLER_REQUEST_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

#include "comfreydockd/caller/entry.h"

struct http_server;

struct listener {
	struct daemon *daemon;
	struct http_server *server;
	size_t connections; /* open ones */
	bool closes; /* see listener_announce_close() */
	bool turns_away; /* see listener_turn_away() */
};

/* One request of one caller, from its head to the last byte of its answer. */
struct caller_request {
	struct listener *listener;
	struct MHD_Connection *connection;
	char *target;
	struct call *call; /* NULL: not begun, or over */
	bool has_head; /* handle_access was called for the head */
	bool body_done;
	size_t discarded;
	bool has_answer; /* its head at least */
	struct fields answer_fields;
	int64_t answer_length; /* -1: not known beforehand */
	struct MHD_Response *response;
	unsigned int status;
	bool queued; /* the response was given to libmicrohttpd */
	bool suspended;
	bool aborted;
	bool answer_ends; /* all of it is in the buffer */
	GByteArray *answer; /* not yet taken by libmicrohttpd */
	size_t answer_start;
	ev_io hang_up;
	ev_timer watch; /* where unread bytes hide the hang-up */
};

/* Takes the target as sent. */
struct caller_request *request_create(struct listener *listener,
				      struct MHD_Connection *connection,
				      const char *target);
void request_destroy(struct caller_request *request);

/* Holds the connection until request_resume(); a caller that goes away
 * meanwhile is noticed. */
void request_suspend(struct caller_request *request);
void request_resume(struct caller_request *request);

/* Gives the response to libmicrohttpd. */
enum MHD_Result request_queue(struct caller_request *request);

/* What the call tells its caller. */
extern const struct call_sink request_sink;

/* Asks the kernel whether the caller has closed its side. */
bool request_is_hung_up(const struct caller_request *request);

#endif
