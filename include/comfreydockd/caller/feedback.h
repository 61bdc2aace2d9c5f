/*
 * NAME
 *	feedback - what attempts tell pick and health
 *
 * DESCRIPTION
 *	Each attempt that was sent is told to both once, when it ends. What its
 *	owner says of its load on the way is told as it comes. An upstream that
 *	is listed no more is not told of.
 */
#ifndef COMFREYDOCKD_CALLER_FEEDBACK_H
#define COMFREYDOCKD_CALLER_FEEDBACK_H

#include "comfreydockd/caller/call.h"
#include "comfreydockd/decide/pick.h"

/* What an end of an attempt tells pick and health. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_FAILED, /* the upstream's own error, a 5xx */
	ATTEMPT_REFUSED,
	ATTEMPT_REFUSED_BUSY,
	ATTEMPT_UNREACHED, /* refused: its owner found no connection to it */
	ATTEMPT_LOST,
	ATTEMPT_TIMED_OUT,
	ATTEMPT_CANCELLED,
};

/* load is what the owner told with the end; NULL: nothing. */
void feedback_note_end(struct entry_attempt *attempt, enum attempt_end end,
		       const Cfd__Load *load);

/* The owner was heard, and told its load; NULL: it did not. */
void feedback_note_load(struct entry_attempt *attempt, const Cfd__Load *load,
			int64_t now_us);

/* RETURN VALUE: out, or NULL where there is no load. */
const struct pick_load *feedback_read_load(const Cfd__Load *load,
					   struct pick_load *out);

#endif
