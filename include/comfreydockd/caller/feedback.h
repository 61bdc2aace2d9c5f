/*
 * NAME
 *	feedback - reports attempts to pick and health
 *
 * DESCRIPTION
 *	Each attempt that was sent is reported to both once, when it ends. The
 *	load that its owner reports meanwhile is passed on as it arrives.
 *	Nothing is reported for an upstream that is no longer listed.
 */
#ifndef COMFREYDOCKD_CALLER_FEEDBACK_H
#define COMFREYDOCKD_CALLER_FEEDBACK_H

#include "comfreydockd/caller/call.h"
#include "comfreydockd/decide/pick.h"

/* How an attempt ended, as pick and health see it. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_FAILED, /* the upstream's own error, a 5xx */
	ATTEMPT_REFUSED,
	ATTEMPT_REFUSED_BUSY,
	ATTEMPT_UNREACHED, /* refused: its owner can't connect to the upstream */
	ATTEMPT_LOST,
	ATTEMPT_TIMED_OUT,
	ATTEMPT_CANCELLED,
};

/* load is what the owner reported with the end; NULL: nothing. */
void feedback_note_end(struct entry_attempt *attempt, enum attempt_end end,
		       const Cfd__Load *load);

/* The owner sent something, with its load or without (NULL). */
void feedback_note_load(struct entry_attempt *attempt, const Cfd__Load *load,
			int64_t now_us);

/* RETURN VALUE: out, or NULL if load is NULL. */
const struct pick_load *feedback_read_load(const Cfd__Load *load,
					   struct pick_load *out);

#endif
