/*
 * NAME
 *	gate - what stands before the queue for the upstream's slots
 *
 * DESCRIPTION
 *	Internal to upstream/. An attempt passes the gate once the pace of the
 *	host is known and allows a start; see decide/pace.h. Until then it is
 *	held here, and can be turned back as not run.
 */
#ifndef COMFREYDOCKD_UPSTREAM_GATE_H
#define COMFREYDOCKD_UPSTREAM_GATE_H

#include "comfreydockd/upstream/owner_internal.h"

void gate_init(struct owner *owner);
void gate_finish(struct owner *owner);

/* An attempt arrives. It may be refused and freed. */
void gate_offer(struct owner *owner, struct owner_attempt *attempt);

/*
 * The turn of an attempt has come that waited in the queue. A slow spell may
 * have begun meanwhile, and each slot that comes free would take one more into
 * it: callers notice answers that take seven times as long, and slots that are
 * still taken long after the spell.
 *
 * RETURN VALUE: false: it is held here again, or was refused and freed.
 */
bool gate_may_start(struct owner *owner, struct owner_attempt *attempt);

/* Another figure is known, or time has passed. */
void gate_review(struct owner *owner);

/* What the upstream told of itself; load is NULL where it told nothing. */
void gate_note_load(struct owner *owner, const struct answer_load *load);

/* A run gave a whole answer, or none by the upstream's doing. */
void gate_note_run(struct owner *owner, bool is_answer);

/* All that is held goes back. */
void gate_refuse_all(struct owner *owner, Cfd__Reason reason);

#endif
