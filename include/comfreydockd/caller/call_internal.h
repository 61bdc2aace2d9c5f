/*
 * NAME
 *	call_internal - steps of a call that the files in caller/ share
 */
#ifndef COMFREYDOCKD_CALLER_CALL_INTERNAL_H
#define COMFREYDOCKD_CALLER_CALL_INTERNAL_H

#include "comfreydockd/caller/call.h"
#include "comfreydockd/decide/retry.h"

/* entry.c */

/* Why an entry answers a request itself, with the outcome not-run. */
struct entry_refusal {
	unsigned int status;
	const char *reason;
	uint32_t come_back_ms; /* 0: not sent */
	const char *text;
};

/* Changes a refusal for good to 503 if the configuration may be old.
 * RETURN VALUE: whether it did. */
bool entry_defer_refusal(const struct entry *entry,
			 struct entry_refusal *refusal);
void entry_refuse(const struct entry *entry, const struct entry_refusal *refusal,
		  const struct call_sink *sink, void *data);

/* RETURN VALUE: the request's trace as its caller sent it, or a new one; free it. */
char *entry_dup_trace(const struct daemon *daemon, const struct fields *fields);

/* call.c */

void call_init_timers(struct call *call);

/* Sends the first attempt, once the call has a token if its organisation has a
 * quota. Further calls while it waits for the token have no effect. This may
 * free the call. */
void call_start(struct call *call);
void call_free(struct call *call);

void call_send_attempt(struct call *call);

/* Makes no further attempt, as the daemon stops or the call's queue timer has
 * expired. Cancels the attempts that wait, but not those that run: their
 * answers still go to the caller. */
void call_stop_retrying(struct call *call);

/* Ends the call with what is known by now. Aborts an answer that has begun. */
void call_end_now(struct call *call);

/* Ends a call that has no answer, as not run or of unknown outcome. */
void call_finish_unanswered(struct call *call);

void call_fill_hedge_context(const struct call *call,
			     struct hedge_context *context);

/* RETURN VALUE: the attempts so far that count against the rule's limit. */
uint32_t call_counted_attempts(const struct call *call);

/* call_state.c */

void call_start_timer(struct call *call, ev_timer *timer, int64_t us);

/* RETURN VALUE: the number of upstreams not yet tried. */
size_t call_untried(const struct call *call);
void call_fill_retry_context(const struct call *call, enum retry_outcome outcome,
			     struct retry_context *context);

/* parallel.c: attempts that are sent in parallel to an outstanding one, which
 * may be slow (a hedge) or whose owner may be gone (an overtaking attempt). */

/* Initializes the timers of parallel.c: hedge, patience and queue timer. */
void call_init_parallel(struct call *call);
void call_arm_hedge(struct call *call);
void call_arm_patience(struct call *call);
void call_stop_patience(struct call *call);

/* call_stay.c */

/* RETURN VALUE: whether the owner may queue the next attempt there, by what pick
 * knows of the other upstreams. */
bool call_may_queue(const struct call *call,
		    const struct service_upstream *upstream, int64_t now_us);

/*
 * Chooses the upstream for the next attempt of a call whose content is not
 * held, and sets *may_queue for it: whether its owner may queue the attempt.
 *
 * RETURN VALUE: NULL if there is no upstream.
 */
struct service_upstream *call_choose_free(struct call *call, int64_t now_us,
					  bool *may_queue);

/* Chooses the upstream for a hedge or for an attempt that overtakes another.
 * RETURN VALUE: NULL if there is none. */
struct service_upstream *call_choose_parallel(struct call *call, int64_t now_us);

/* A local owner has refused an attempt that was expected to be in time there.
 * RETURN VALUE: the outcome to decide on, by which the call leaves the domain at
 * once if the owner lacks capacity or time and another domain is expected to be
 * in time. */
enum retry_outcome call_note_stay_refused(struct call *call, Cfd__Reason reason,
					  enum retry_outcome outcome);

/* call_throttle.c: all of it without effect unless the settings ask for it. */

/* RETURN VALUE: whether the call is refused before its first attempt. The reason
 * and the time to come back are then set. */
bool call_is_throttled(struct call *call);
void call_note_throttle_accepted(struct call *call);
void call_note_throttle_refusal(struct call *call,
				const struct entry_attempt *attempt,
				Cfd__Reason reason, uint32_t come_back_ms);

/* The call ends without an answer of an upstream. */
void call_note_throttle_end(struct call *call);

/* call_quota.c */

/* RETURN VALUE: true if the call may send its first attempt now. Otherwise it
 * waits for a token and is then started, or it was refused and is freed. */
bool call_acquire_quota(struct call *call);

/* Withdraws the call from the wait for a token. */
void call_cancel_quota(struct call *call);

/* Returns the call's token. Only for a call that certainly did not run. */
void call_return_quota(struct call *call);

/* call_quarantine.c */

/* RETURN VALUE: the key of the call's content, see content.h. */
uint64_t call_content_key(const struct call *call);

/*
 * Chooses the upstream for the next attempt, and sets *may_queue for it: whether
 * its owner may queue the attempt. A call is quarantined if its
 * content is held (see quarantine.h), or may be tried only on an upstream that
 * this call can't use. call->reason is then REASON_QUARANTINED, and
 * call->come_back_ms is set, too.
 *
 * RETURN VALUE: NULL if there is no upstream, or if the call is quarantined.
 */
struct service_upstream *call_choose_upstream(struct call *call, int64_t now_us,
					      bool *may_queue);

#endif
