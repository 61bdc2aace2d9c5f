/*
 * NAME
 *	entry - forwards callers' requests to upstreams
 *
 * DESCRIPTION
 *	A call is one request of one caller. The entry matches it to a rule,
 *	makes attempts one after another (two at once where it hedges or
 *	overtakes) and gives the caller one complete answer or a failure with a
 *	definite outcome:
 *
 *	run	 the answer of the upstream
 *	not-run	 503: every attempt was refused or never sent
 *	unknown	 502 or 504: an attempt may have run
 *
 *	The caller's side is a table of functions, the sink, so that tests need
 *	no HTTP. The event loop calls the sink's functions. After handle_reply,
 *	handle_end or handle_abort the call is freed.
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

/* An answer that comes from this daemon, not from an upstream. */
struct call_reply {
	unsigned int status;
	struct fields fields;
	uint32_t come_back_ms; /* counts from now; 0: not sent */
	const char *text;
};

/* A sink withholds an answer whose length is known and at most this until it is
 * complete. */
#define ENTRY_WITHHELD_ANSWER_MAX (16 * 1024)

struct call_sink {
	/* The head of an answer; length is -1 if unknown. It may move the
	 * fields out and leave them empty. */
	void (*handle_head)(void *data, unsigned int status,
			    struct fields *fields, int64_t length);
	void (*handle_body)(void *data, const void *bytes, size_t size);
	void (*handle_end)(void *data);
	/* The answer can't be completed: the caller's connection must break. */
	void (*handle_abort)(void *data);
	/* A complete answer from this daemon. It may move the fields out. */
	void (*handle_reply)(void *data, struct call_reply *reply);
	/* More of the request's body may be passed. */
	void (*handle_body_window)(void *data);
};

struct call_request {
	const char *method;
	const char *target; /* as sent, with the query */
	const char *host; /* of the Host field; NULL: none */
	const char *caller; /* the caller's IP address */
	const struct fields *fields;
	bool has_body;
	int64_t arrived_us; /* when its head was read completely */
	bool holds_others; /* its caller sends others meanwhile */
	uint32_t in_front; /* unanswered requests that its answer waits for */
};

struct entry *entry_create(struct daemon *daemon);
void entry_destroy(struct entry *entry);

/* RETURN VALUE: whether the rule that matches the request is idempotent. */
bool entry_request_is_idempotent(const struct entry *entry,
				 const struct call_request *request);

/*
 * Begins a call.
 *
 * RETURN VALUE: NULL if the call has already ended. handle_reply() was then called
 * before this function returned; it is the only sink function that may be.
 */
struct call *entry_begin(struct entry *entry, const struct call_request *request,
			 const struct call_sink *sink, void *data);

/* RETURN VALUE: how many bytes of the request's body the call accepts now. */
size_t call_body_window(const struct call *call);
void call_add_body(struct call *call, const void *bytes, size_t size);
void call_end_body(struct call *call);

/* Gives the owner the full window for the answer, once no other answer is in
 * front of this one. */
void call_open_answer_window(struct call *call);

/*
 * Called when another request of the caller arrives, whose answer waits for
 * this one. From now on the call queues for a slot only as long as it can still
 * meet its target.
 */
void call_note_holds_others(struct call *call);

/* Called when size bytes of the answer have gone to the caller. */
void call_note_consumed(struct call *call, size_t size);

/* RETURN VALUE: whether an upstream may have worked on the call. */
bool call_may_have_run(const struct call *call);

/* Called when the caller has gone away. Calls no function of the sink. */
void call_note_caller_gone(struct call *call);

/* Lets no call make further attempts. Cancels the attempts that wait at
 * their owners, but not those that run, and ends the calls that have no
 * attempt out. */
void entry_cancel_waiting(struct entry *entry);

/* Ends all calls now: aborts answers that have begun, and ends a call as of
 * unknown outcome if an attempt is out or may have run. */
void entry_end_all(struct entry *entry);

/* RETURN VALUE: the number of calls that have not ended. */
size_t entry_call_count(const struct entry *entry);

/* Appends the retry budgets of the services in use as Prometheus text. */
void entry_append_metrics(const struct entry *entry, GString *text);

#endif
