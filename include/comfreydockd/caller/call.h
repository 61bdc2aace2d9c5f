/*
 * NAME
 *	call - one caller's request, and its attempts
 *
 * DESCRIPTION
 *	Internal to caller/. call.c decides on retries and on the end of a call,
 *	and parallel.c on attempts that run in parallel to another one.
 *	attempts.c sends frames to owners and frames.c handles the owners'
 *	frames. outcome.c writes the answers that come from this daemon and not
 *	from an upstream.
 *
 *	The owner of an upstream is the daemon on the upstream's host. It takes
 *	the attempts of all entries and runs them on the upstream.
 *
 *	Calls go in one direction only: frames.c calls call.c, call.c calls
 *	parallel.c, and each of them calls attempts.c. call_state.c has what
 *	they share, call_body.c passes on the bodies of requests and answers,
 *	call_stay.c and call_throttle.c apply the decisions of stay.h and
 *	throttle.h.
 */
#ifndef COMFREYDOCKD_CALLER_CALL_H
#define COMFREYDOCKD_CALLER_CALL_H

#include <ev.h>
#include <glib.h>
#include <sys/queue.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/services.h"
#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/config/model.h"
#include "comfreydockd/peer/attempt.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/quota/quota.h"
#include "common/id.h"
#include "common/latency.h"
#include "common/organisation_counts.h"
#include "common/timeline.h"

/* An entry buffers this much of a request's body. A longer body can't be sent
 * again. */
#define CALL_BODY_BUFFER_MAX (64 * 1024)
/* The owner's window for an answer is extended in steps of this size. */
#define CALL_WINDOW_UPDATE_BYTES (64 * 1024)
/* Enough for six attempts with the names of their hosts. */
#define CALL_HISTORY_MAX 256

struct entry_attempt {
	LIST_ENTRY(entry_attempt) link; /* in its call */
	LIST_ENTRY(entry_attempt) peer_link; /* in its connection */
	struct call *call;
	struct peer *peer;
	struct service_upstream *upstream;
	uint64_t seq;
	uint64_t position; /* of its frame in the connection's stream */
	enum attempt_entry_state state;
	int64_t sent_us;
	uint32_t epoch; /* of its upstream's health when it was sent */
	int64_t head_us; /* when the answer began */
	int64_t body_left; /* of the answer, see answer_check.h */
	uint32_t pace_percent; /* of the host as the run began; 0: unknown */
	bool is_parallel; /* a hedge, or it overtakes another attempt */
	bool failed; /* its answer is an error of the upstream */
	bool cancelled;
	bool has_small_window; /* sent while its answer was blocked */
	bool is_overtaken; /* by another, as it gave no answer */
	bool waits_locally; /* chosen instead of one that leaves, see stay.h */
};

LIST_HEAD(entry_attempt_list, entry_attempt);

struct call {
	LIST_ENTRY(call) link;
	struct entry *entry;
	const struct call_sink *sink;
	void *sink_data;
	struct config_snapshot *snapshot;
	uint64_t config_head; /* at which snapshot was the current one */
	const struct config_service *service_config;
	const struct config_rule *rule;
	const struct config_organisation *organisation; /* NULL: none */
	char key_digest[KEY_DIGEST_SIZE]; /* "": without a known key */
	enum config_class class; /* of the organisation, else of the rule */
	const char *group; /* of the upstreams that it goes to */
	uint64_t content_key; /* see content.h */
	struct service *service;
	char *trace;
	uint32_t depth;
	int64_t began_us;
	int64_t waited_us; /* in its connection, since began_us */
	int64_t deadline_us;
	char *method;
	char *target;
	char *fairness_key;
	struct fields fields;
	GByteArray *body; /* the first part, buffered for retries */
	bool holds_others; /* its caller's other answers wait for this one */
	bool answer_blocked; /* by answers in front: small window */
	size_t body_window; /* the owner's window beyond the first part */
	bool body_ends;
	bool body_exceeds_buffer; /* no further attempt is possible */
	struct pick_tried tried;
	struct pick_tried refused_for_now; /* as BUSY, SLOW or FAILING */
	enum stay_reason stay_reason; /* of the last choice of an upstream */
	bool was_overloaded; /* the last refusal was for lack of capacity */
	bool was_over_share; /* the last refusal was for the caller's share */
	uint32_t owner_come_back_ms; /* as the last refusal told */
	bool must_leave; /* an attempt that stayed in the domain was refused */
	bool has_retried_refused; /* see call_retry_refused() in call.c */
	uint32_t attempts; /* without hedges, but with overtaking attempts */
	uint32_t busy_refusals; /* of them, refused as busy */
	uint32_t uncounted_attempts; /* of them, see retry_counts() */
	uint32_t behind_refusals; /* of them, REASON_CONFIG_BEHIND */
	uint32_t hedges;
	uint32_t max_attempts;
	bool may_have_run; /* an attempt ended UNKNOWN */
	bool connection_lost; /* ended the last UNKNOWN attempt; else a timeout */
	Cfd__Reason reason; /* of the last refusal */
	uint32_t come_back_ms;
	char history[CALL_HISTORY_MAX]; /* "HOST:END,..." of its attempts */
	struct entry_attempt_list active;
	struct entry_attempt *answering_attempt; /* NULL: no answer yet */
	size_t consumed; /* sent to the caller, window not yet extended */
	size_t unread; /* bytes of the answer that wait for the caller */
	int64_t heard_us; /* when the last part of the answer came */
	bool answer_is_withheld; /* from the caller, until it is complete */
	ev_timer deadline_timer;
	ev_timer retry_timer;
	ev_timer hedge_timer;
	ev_timer patience_timer; /* until the attempt's owner is queried */
	/* Its owner was asked whether it is overdue; NULL: none was. */
	struct entry_attempt *queried_attempt;
	ev_timer queue_timer; /* see call_note_holds_others() */
	uint32_t min_come_back_ms; /* after the queue timer has expired */
	bool cancels_sent;
	bool no_more_attempts; /* see call_stop_retrying() */
	bool is_started;
	bool quota_is_decided; /* or was not needed */
	struct quota_request quota_request;
	/* QUOTA_REFUSED or QUOTA_UNAVAILABLE: why the call was not started */
	enum quota_verdict quota_verdict;
	unsigned int status; /* of the answer */
	bool answered; /* the sink has the whole answer */
};

LIST_HEAD(call_list, call);

struct entry {
	struct daemon *daemon;
	struct services *services;
	struct call_list calls;
	size_t call_count;
	GHashTable *attempts; /* seq -> struct entry_attempt */
	GHashTable *attempts_by_peer; /* struct peer -> struct entry_attempt_list */
	uint64_t next_seq;
	uint64_t content_seed; /* of the shared key, see content.h */
	struct random_state random;
	ev_timer tick;
};

/* attempts.c */

/*
 * Sends the call's request to the owner of an upstream.
 *
 * may_queue: the owner may queue the attempt if no slot is free.
 * is_parallel: another attempt of the call is out. The time line then has
 * entry.hedged in place of entry.sent, for overtaking attempts too.
 */
void entry_attempt_send(struct call *call, struct service_upstream *upstream,
			bool may_queue, bool is_parallel);
void entry_attempt_cancel(struct entry_attempt *attempt);

/* Cancels the attempt only if it still waits at its owner, not if it runs. */
void entry_attempt_cancel_waiting(struct entry_attempt *attempt);

/* Asks the owner whether the attempt is overdue. */
void entry_attempt_query_overdue(struct entry_attempt *attempt);

/* Cancels the attempt at its owner if it has not ended, takes it out of all
 * lists and frees it. */
void entry_attempt_destroy(struct entry_attempt *attempt);
void entry_attempt_send_body(struct entry_attempt *attempt, const void *bytes,
			     size_t size, bool ends);
void entry_attempt_send_window(struct entry_attempt *attempt, uint32_t bytes);

/* RETURN VALUE: the attempts on a connection. Valid until the connection is
 * lost. */
struct entry_attempt_list *entry_attempts_of(struct entry *entry,
					     struct peer *peer);

/* frames.c: handlers for the connections to owners */
void entry_fill_role(struct entry *entry, struct peers_role *role);

/* call.c and parallel.c: called after the state of an attempt has changed */

void call_note_not_run(struct entry_attempt *attempt, Cfd__Reason reason,
		       bool never_sent, uint32_t retry_after_ms);
/*
 * The attempt may have run, and no complete answer will come.
 *
 * lost: the connection to its owner was lost; otherwise the attempt timed out.
 */
void call_note_unknown(struct entry_attempt *attempt, bool lost);
void call_note_head(struct entry_attempt *attempt, const Cfd__Answer *answer);
void call_note_end(struct entry_attempt *attempt);

/* The owner has replied to entry_attempt_query_overdue(). */
void call_note_overdue_reply(struct entry_attempt *attempt, bool is_overdue);
void call_note_body_window(struct entry_attempt *attempt, uint32_t bytes);

/* Adds an event to the time line and to the log. */
#define call_log_event(call, event, ...)                                     \
	timeline_log(&(call)->entry->daemon->timeline, (call)->trace, event, \
		     __VA_ARGS__)

const char *outcome_reason_name(Cfd__Reason reason);

/* RETURN VALUE: the reason of a call that ends as not run. */
const char *outcome_not_run_reason(const struct call *call);

/* outcome.c: answers from this daemon; these functions don't free the call */

/* Counts a call that has ended, and records how long its caller waited. */
void outcome_count(const struct call *call, struct latency *latency,
		   const char *outcome);

/* Counts and logs a call that ends well after its deadline. */
void outcome_check_overdue(const struct call *call, const char *outcome);

/* Counts the call for its organisation, if it has one. reason: of a refusal. */
void outcome_count_organisation(const struct call *call,
				enum organisation_outcome outcome,
				const char *reason);

void outcome_reply_not_run(struct call *call);
void outcome_reply_unknown(struct call *call);

/* Refuses a request that did not become a call. */
void outcome_refuse(const struct headers *headers, const struct call_sink *sink,
		    void *data, unsigned int status, const char *reason,
		    uint32_t come_back_ms, const char *text);

/* Ends a request with a failure of unknown outcome. */
void outcome_fail(const struct headers *headers, const struct call_sink *sink,
		  void *data, unsigned int status, const char *reason,
		  const char *text);

/* come_back_ms counts from the moment that the answer is sent. */
void outcome_add_come_back(struct fields *fields, const struct headers *headers,
			   uint32_t come_back_ms);

/* Adds the fields that tell a caller the outcome of its request. */
void outcome_add_fields(struct fields *fields, const struct headers *headers,
			const char *outcome, const char *reason,
			const char *trace);

#endif
