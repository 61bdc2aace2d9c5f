/*
 * NAME
 *	gate - holds attempts back while the upstream's host runs slow
 *
 * DESCRIPTION
 *	Internal to upstream/. The gate stands before the queue for the
 *	upstream's slots. An attempt passes it once the pace of the host is
 *	known and allows a start; see decide/pace.h. Until then the attempt is
 *	held at the gate, which can still refuse it as not run. The gate also
 *	refuses attempts that another upstream may take while the circuit
 *	breaker is open; see decide/breaker.h.
 *
 *	The gate delays attempts because the host is slow. The queue delays
 *	attempts because all slots that the limit allows are in use.
 */
#ifndef COMFREYDOCKD_UPSTREAM_GATE_H
#define COMFREYDOCKD_UPSTREAM_GATE_H

#include "comfreydockd/upstream/owner_internal.h"

void gate_init(struct owner *owner);
void gate_finish(struct owner *owner);

/* Takes a new attempt, which passes, is held, or is refused and freed. */
void gate_offer(struct owner *owner, struct owner_attempt *attempt);

/*
 * Checks an attempt again when it leaves the queue. The host may have become
 * slow meanwhile. Without this check each free slot would start one more
 * attempt during the slow spell: its caller would see an answer that takes
 * seven times as long, and the slot would stay occupied long after the spell.
 *
 * RETURN VALUE: false if the attempt is held again, or was refused and freed.
 */
bool gate_may_start(struct owner *owner, struct owner_attempt *attempt);

/* Decides again about all held attempts, after a load report or some time. */
void gate_review(struct owner *owner);

/* Records the load that the upstream reported; NULL if no valid report came. */
void gate_note_load(struct owner *owner, const struct answer_load *load);

/* Tells the circuit breaker how a run ended. is_answer: with a complete answer,
 * 5xx included; otherwise the upstream gave none or an invalid one. */
void gate_note_breaker_result(struct owner *owner, bool is_answer);

/* Sends the load to all entries that are connected to this owner, as a slow
 * spell began or ended, the breaker opened or closed, or the upstream stated
 * another limit. Otherwise each entry would find out one request at a time. */
void gate_notify_entries(struct owner *owner);

/* Refuses all held attempts. */
void gate_refuse_all(struct owner *owner, Cfd__Reason reason);

#endif
