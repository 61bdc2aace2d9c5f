/*
 * NAME
 *	attempt - the state machines of one attempt
 *
 * DESCRIPTION
 *	An attempt is one frame on one connection and is never sent again. Entry
 *	and owner each keep a state machine for it, defined by a table:
 *
 *	entry  PICKED -> SENT -> NOT_RUN | ANSWERING -> DONE | UNKNOWN
 *	owner  RECEIVED -> QUEUED -> RUNNING -> DONE | FAILED
 *	                 \-> NOT_RUN (also from RECEIVED)
 *	                 \-> RECEIVED, if the host is slow when its turn comes
 *
 *	The tables prevent that a call runs twice, or is reported as "not run"
 *	although it ran; either way a customer could be charged twice. At the
 *	owner no event leads from RUNNING to NOT_RUN or from NOT_RUN to RUNNING.
 *	At the entry only NOT_RUN allows another attempt of a non-idempotent
 *	request.
 *	OWNER_NEVER_BEGAN is the one exception. It leads from RUNNING to NOT_RUN
 *	if the upstream itself answered "not run", by a status that the
 *	operator's file lists, or if the connection to it was never made.
 */
#ifndef COMFREYDOCKD_PEER_ATTEMPT_H
#define COMFREYDOCKD_PEER_ATTEMPT_H

#include <stdbool.h>

/* Bytes of an answer that may be in flight to an entry, unless the attempt sets
 * its own limit. */
#define ATTEMPT_ANSWER_WINDOW (256 * 1024)

enum attempt_entry_state {
	ENTRY_PICKED,
	ENTRY_SENT,
	ENTRY_ANSWERING,
	ENTRY_NOT_RUN,
	ENTRY_DONE,
	ENTRY_UNKNOWN,
	ENTRY_STATES,
};

enum attempt_entry_event {
	ENTRY_SEND, /* queued on the link */
	ENTRY_GET_NOT_RUN,
	ENTRY_GET_ANSWER,
	ENTRY_GET_END, /* the answer is complete */
	ENTRY_GET_FAILED, /* it started: outcome unknown, or answer truncated */
	ENTRY_LINK_LOST_UNSENT, /* no byte was handed to the kernel */
	ENTRY_LINK_LOST,
	ENTRY_GIVE_UP, /* the deadline passed or the caller went away */
	ENTRY_EVENTS,
};

enum attempt_owner_state {
	OWNER_ATTEMPT_RECEIVED,
	OWNER_ATTEMPT_QUEUED,
	OWNER_ATTEMPT_RUNNING,
	OWNER_ATTEMPT_NOT_RUN,
	OWNER_ATTEMPT_DONE,
	OWNER_ATTEMPT_FAILED,
	OWNER_ATTEMPT_STATES,
};

enum attempt_owner_event {
	OWNER_QUEUE,
	OWNER_HOLD, /* its turn has come, but the host is slow */
	OWNER_START,
	OWNER_REFUSE, /* busy, draining, too late, cancelled or link lost */
	OWNER_NEVER_BEGAN, /* not connected, or the upstream shed it */
	OWNER_FINISH,
	OWNER_BREAK,
	OWNER_EVENTS,
};

/*
 * RETURN VALUE
 *	true with the new state in *state, or false with *state unchanged if
 *	the event does not apply in this state, such as a late answer.
 */
bool attempt_entry_step(enum attempt_entry_state *state,
			enum attempt_entry_event event);
bool attempt_owner_step(enum attempt_owner_state *state,
			enum attempt_owner_event event);

bool attempt_entry_is_over(enum attempt_entry_state state);

/* True if another attempt of the request is allowed after this one. */
bool attempt_allows_another(enum attempt_entry_state state, bool idempotent);

const char *attempt_entry_state_name(enum attempt_entry_state state);
const char *attempt_owner_state_name(enum attempt_owner_state state);

#endif
