/*
 * NAME
 *	call_internal - steps of a call that entry.c and call.c share
 */
#ifndef COMFREYDOCKD_CALLER_CALL_INTERNAL_H
#define COMFREYDOCKD_CALLER_CALL_INTERNAL_H

#include "comfreydockd/caller/call.h"

void call_init_timers(struct call *call);

/* Sends the first attempt. The call may be gone after this. */
void call_start(struct call *call);
void call_free(struct call *call);

void call_send_attempt(struct call *call);

/* call_claim.c */

/* Claims the call's key where its rule asks for it; the first attempt follows
 * once it is claimed. The call may be gone after this.
 * RETURN VALUE: false where there is nothing to claim. */
bool call_claim_key(struct call *call);

/* Gives the claim up, as the call ends: its request was answered, or it was
 * told "not run", or neither. */
void call_end_claim(struct call *call, bool not_run);

void call_fill_hedge_question(const struct call *call,
			      struct hedge_question *question);

/* RETURN VALUE: the attempts so far that count against the rule's. */
uint32_t call_work_attempts(const struct call *call);

/* silence.c: sees to it that a begun answer goes on. The call may be gone
 * after this, but not when its answer has just begun. */
void call_watch_answer(struct call *call);

#endif
