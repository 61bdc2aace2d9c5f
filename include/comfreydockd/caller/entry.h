/*
 * NAME
 *	entry - takes callers' requests to upstreams
 *
 * DESCRIPTION
 *	A call is one request of one caller. It finds its rule, makes attempts
 *	one after another (two at once where it hedges) and hands the caller
 *	one whole answer, or a clear failure:
 *
 *	run	 the answer of the upstream
 *	not-run	 503: every attempt was refused or never left
 *	unknown	 502 or 504: an attempt may have run
 *
 *	The caller's side is a table of functions, so that tests need no HTTP.
 *	The sink's functions are called from the loop, and after one of
 *	handle_reply, handle_end and handle_abort the call is gone.
 */
#ifndef COMFREYDOCKD_CALLER_ENTRY_H
#define COMFREYDOCKD_CALLER_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/daemon.h"
#include "comfreydockd/peer/fields.h"

struct call;
struct entry;

/* An answer that no upstream gave. */
struct call_reply {
	unsigned int status;
	struct fields fields;
	uint32_t come_back_ms; /* counts from now; 0: not told */
	const char *text;
};

struct call_sink {
	/* The head of an answer; length is -1 where it is not known. */
	/* May move the fields out and leave them empty. */
	void (*handle_head)(void *data, unsigned int status,
			    struct fields *fields, int64_t length);
	void (*handle_body)(void *data, const void *bytes, size_t size);
	void (*handle_end)(void *data);
	/* The answer can't be ended: the caller's connection must break. */
	void (*handle_abort)(void *data);
	/* An answer of our own. May move the fields out. */
	void (*handle_reply)(void *data, struct call_reply *reply);
	/* More of the request's body may be given. */
	void (*handle_body_window)(void *data);
};

struct call_request {
	const char *method;
	const char *target; /* as sent, with the query */
	const char *host; /* the Host field; NULL: none */
	const char *caller; /* the caller's IP number */
	const struct fields *fields;
	bool has_body;
	int64_t arrived_us; /* when its head was whole */
	bool holds_others; /* its caller sends others before it is answered */
	uint32_t in_front; /* unanswered ones that its answer waits for */
};

struct entry *entry_create(struct daemon *daemon);
void entry_destroy(struct entry *entry);

/* RETURN VALUE: whether the rule that it would get lets it run again. */
bool entry_may_repeat(const struct entry *entry,
		      const struct call_request *request);

/*
 * Begins a call. The sink may be called before this returns only with
 * handle_reply(), in which case the return value is NULL.
 */
struct call *entry_begin(struct entry *entry, const struct call_request *request,
			 const struct call_sink *sink, void *data);

/* RETURN VALUE: how many bytes of the body the call takes now. */
size_t call_body_window(const struct call *call);
void call_add_body(struct call *call, const void *bytes, size_t size);
void call_end_body(struct call *call);

/* No other answer is in front any more: the owner may send on as usual. */
void call_open_window(struct call *call);

/* Another request of its caller has come, whose answer waits for this one's. From
 * now on it waits for a slot only while it can be in time for its target. */
void call_hold_others(struct call *call);

/* So many bytes of the answer went to the caller. */
void call_note_consumed(struct call *call, size_t size);

/* The caller went away; no function of the sink follows. */
void call_abandon(struct call *call);

/* Ends the calls of which nothing runs, as not run. */
void entry_cancel_all(struct entry *entry);

/* Ends all others, too, as of unknown outcome; begun answers break. */
void entry_end_all(struct entry *entry);

/* RETURN VALUE: the calls that have not ended. */
size_t entry_count(const struct entry *entry);

/* The budgets of the services that were called of late. */
void entry_append_metrics(const struct entry *entry, GString *text);

#endif
