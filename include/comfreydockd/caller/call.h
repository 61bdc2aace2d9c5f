/*
 * NAME
 *	call - one caller's request, and its attempts
 *
 * DESCRIPTION
 *	Internal to caller/. call.c decides what follows what and beside.c what
 *	goes beside an attempt that is out. attempts.c sends to owners, frames.c
 *	takes what they answer, and outcome.c words the answers of our own.
 *
 *	They call downwards: frames.c calls call.c, call.c calls beside.c, and
 *	each of them attempts.c; call_state.c is what they share.
 */
#ifndef COMFREYDOCKD_CALLER_CALL_H
#define COMFREYDOCKD_CALLER_CALL_H

#include <ev.h>
#include <glib.h>
#include <sys/queue.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/services.h"
#include "comfreydockd/config/model.h"
#include "comfreydockd/peer/attempt.h"
#include "comfreydockd/peer/peers.h"
#include "common/id.h"
#include "common/latency.h"
#include "common/timeline.h"

/* What an entry keeps of a request's body: so much can be sent again. */
#define CALL_BODY_KEPT (64 * 1024)
/* Credit for an answer is given back in pieces of this size. */
#define CALL_CREDIT_STEP (64 * 1024)
/* Half a dozen attempts with the names of their hosts. */
#define CALL_HISTORY_MAX 256

struct entry_attempt {
	LIST_ENTRY(entry_attempt) link; /* of its call */
	LIST_ENTRY(entry_attempt) peer_link; /* of its connection */
	struct call *call;
	struct peer *peer;
	struct service_upstream *upstream;
	uint64_t seq;
	uint64_t position; /* in the connection's stream */
	enum attempt_entry_state state;
	int64_t sent_us;
	uint32_t epoch; /* of its upstream's health */
	int64_t head_us; /* when the answer began */
	uint32_t pace_percent; /* of the host as its run began; 0: not told */
	bool is_hedge;
	bool failed; /* its answer is the upstream's own error */
	bool cancelled;
	bool has_small_window; /* sent while its answer had to wait */
	bool is_overtaken; /* by another, as it gave nothing for too long */
};

LIST_HEAD(entry_attempt_list, entry_attempt);

struct call {
	LIST_ENTRY(call) link;
	struct entry *entry;
	const struct call_sink *sink;
	void *sink_data;
	struct config_snapshot *snapshot;
	const struct config_service *config;
	const struct config_rule *rule;
	const char *group; /* the upstreams that it goes to */
	uint64_t content; /* see content.h */
	struct service *service;
	char trace[TIMELINE_TRACE_MAX];
	uint32_t depth;
	int64_t began_us;
	int64_t deadline_us;
	char *method;
	char *target;
	char *fairness_key;
	struct fields fields;
	GByteArray *body; /* the first part, kept until an answer begins */
	bool holds_others; /* its caller's other answers wait for this one's */
	bool is_behind; /* its answer waits for others: a small window */
	size_t body_room; /* credit of the owner beyond the first part */
	bool body_ends;
	bool body_streams; /* more came than is kept: no further attempt */
	struct pick_tried tried;
	struct pick_tried tried_busy; /* of them, refused for want of a slot */
	bool returns; /* to the busy ones, to queue there */
	uint32_t attempts; /* without hedges */
	uint32_t busy; /* of them, refused for want of a free slot */
	uint32_t unheard; /* of them, never sent or not for this upstream */
	uint32_t hedges;
	uint32_t max_attempts;
	bool may_have_run; /* some attempt ended UNKNOWN */
	bool lost; /* and by a lost connection, not by time */
	Cfd__Reason reason; /* of the last refusal */
	uint32_t come_back_ms;
	char history[CALL_HISTORY_MAX]; /* "HOST:END,...", of its attempts */
	struct entry_attempt_list active;
	struct entry_attempt *answering;
	size_t consumed; /* not yet given back as credit */
	size_t unread; /* of the answer, waits for the caller to take it */
	int64_t heard_us; /* the answer's last sign of life */
	ev_timer deadline;
	ev_timer next; /* of a retry */
	ev_timer hedge;
	ev_timer patience; /* with one attempt */
	bool is_impatient; /* and waits for the owners' verdict */
	ev_timer hold; /* until it is late, where others came to wait for it */
	uint32_t least_come_back_ms; /* of a refusal that this entry asked for */
	bool cancels_sent;
	bool gives_up; /* no further attempt: this daemon ends */
	bool is_started;
	unsigned int status; /* of the answer */
	bool answered; /* whole */
};

LIST_HEAD(call_list, call);

struct entry {
	struct daemon *daemon;
	struct services *services;
	struct call_list calls;
	size_t count;
	GHashTable *attempts; /* seq -> struct entry_attempt */
	GHashTable *by_peer; /* struct peer -> struct entry_attempt_list */
	uint64_t next_seq;
	uint64_t content_seed; /* of the shared key, see content.h */
	struct random_state random;
	ev_timer tick;
};

/* attempts.c */

/* Sends the call's request to an upstream. */
void entry_attempt_send(struct call *call, struct service_upstream *upstream,
			bool may_queue, bool is_hedge);
void entry_attempt_cancel(struct entry_attempt *attempt);

/* The same, but what runs goes on. */
void entry_attempt_cancel_waiting(struct entry_attempt *attempt);

/* Asks the owner whether the attempt is overdue. */
void entry_attempt_ask(struct entry_attempt *attempt);

/* Takes the attempt out of all lists and frees it. */
void entry_attempt_destroy(struct entry_attempt *attempt);
void entry_attempt_send_body(struct entry_attempt *attempt, const void *bytes,
			     size_t size, bool ends);
void entry_attempt_send_window(struct entry_attempt *attempt, uint32_t bytes);

/* The attempts on a connection, until it is lost. */
struct entry_attempt_list *entry_attempts_of(struct entry *entry,
					     struct peer *peer);

/* frames.c: the handlers for the connections to owners */
void entry_fill_role(struct entry *entry, struct peers_role *role);

/* call.c: what has become of an attempt, after its state has changed */

void call_note_not_run(struct entry_attempt *attempt, Cfd__Reason reason,
		       bool never_sent, uint32_t retry_after_ms);
void call_note_unknown(struct entry_attempt *attempt, bool lost);
void call_note_head(struct entry_attempt *attempt, const Cfd__Answer *answer);
void call_note_end(struct entry_attempt *attempt);

/* The owner tells whether the attempt is overdue. */
void call_note_verdict(struct entry_attempt *attempt, bool is_overdue);
void call_note_room(struct entry_attempt *attempt, uint32_t bytes);

/* Into the time line and the log. */
#define call_note(call, event, ...)                                          \
	timeline_log(&(call)->entry->daemon->timeline, (call)->trace, event, \
		     __VA_ARGS__)

const char *outcome_reason_name(Cfd__Reason reason);

/* outcome.c: answers of our own; the call is freed by the caller of these */

/* Counts a call that has ended, and how long its caller waited. */
void outcome_count(const struct call *call, struct latency *latency,
		   const char *outcome);

void outcome_say_not_run(struct call *call);
void outcome_say_unknown(struct call *call);

/* Answers a request that did not become a call. */
void outcome_refuse(const struct headers *headers, const struct call_sink *sink,
		    void *data, unsigned int status, const char *reason,
		    uint32_t come_back_ms, const char *text);

/* When to come back, from the moment that the answer is sent. */
void outcome_add_come_back(struct fields *fields, const struct headers *headers,
			   uint32_t come_back_ms);

/* The fields that tell a caller what became of its request. */
void outcome_add_fields(struct fields *fields, const struct headers *headers,
			const char *outcome, const char *reason,
			const char *trace);

#endif
