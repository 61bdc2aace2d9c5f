/*
 * NAME
 *	call_internal - steps of a call that the files in caller/ share
 */
#ifndef COMFREYDOCKD_CALLER_CALL_INTERNAL_H
#define COMFREYDOCKD_CALLER_CALL_INTERNAL_H

#include "comfreydockd/caller/call.h"
#include "comfreydockd/decide/retry.h"

void call_init_timers(struct call *call);

/* Sends the first attempt. The call may be gone after this. */
void call_start(struct call *call);
void call_free(struct call *call);

void call_send_attempt(struct call *call);

/* Makes no further attempt, and cancels those that wait: what runs goes on. */
void call_give_up(struct call *call);

/* Tells the caller what is known by now; a begun answer is broken off. */
void call_end_now(struct call *call);

void call_fill_hedge_question(const struct call *call,
			      struct hedge_context *question);

/* RETURN VALUE: the attempts so far that count against the rule's. */
uint32_t call_work_attempts(const struct call *call);

/* call_state.c */

void call_start_timer(struct call *call, ev_timer *timer, int64_t us);

/* RETURN VALUE: the upstreams left to try. */
size_t call_untried(const struct call *call);
void call_fill_retry_question(const struct call *call, enum retry_outcome outcome,
			      struct retry_context *question);

/* beside.c: attempts that are sent beside one that is out, as it may be slow
 * (a hedge) or its owner may be gone (an overtaking one). */
void call_init_beside(struct call *call);
void call_arm_hedge(struct call *call);
void call_arm_patience(struct call *call);
void call_stop_patience(struct call *call);

/* call_quarantine.c */

/* RETURN VALUE: the key of what the call asks for, see content.h. */
uint64_t call_content(const struct call *call);

/*
 * The upstream for the next attempt. RETURN VALUE: NULL where there is none, or
 * where the call is quarantined: its content is held, or may be tried only where
 * this call can't go.
 */
struct service_upstream *call_choose(struct call *call, int64_t now_us);

#endif
