/*
 * NAME
 *	attempt - the life of one attempt, as two tables
 *
 * DESCRIPTION
 *	An attempt is one frame on one connection, never sent again. The entry
 *	holds one half of its state and the owner the other:
 *
 *	entry  PICKED -> SENT -> NOT_RUN | ANSWERING -> DONE | UNKNOWN
 *	owner  RECEIVED -> QUEUED -> RUNNING -> DONE | FAILED
 *	                 \-> NOT_RUN (also from RECEIVED)
 *	                 \-> RECEIVED, where its turn came at a bad time
 *
 *	What can go wrong is that a call runs twice, or is called "not run"
 *	and ran all the same. An operator would notice a customer charged
 *	twice. The tables prevent it in two places: no event leads from RUNNING
 *	to NOT_RUN or from NOT_RUN to RUNNING at the owner, and at the entry
 *	only NOT_RUN allows another attempt of a non-idempotent request.
 *	One exception proves the rule: an upstream that answered with a status
 *	that the operator's file names as "not run" says so itself, and so does
 *	a connection to it that was never made (OWNER_NEVER_BEGAN).
 */
#ifndef COMFREYDOCKD_PEER_ATTEMPT_H
#define COMFREYDOCKD_PEER_ATTEMPT_H

#include <stdbool.h>

/* Bytes of an answer that may be on their way to an entry, where the attempt
 * names no other figure. */
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
	ENTRY_GET_END, /* the whole answer is here */
	ENTRY_GET_FAILED, /* started, outcome not known; or cut short */
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
	OWNER_HOLD, /* its turn has come, but the host is slow just then */
	OWNER_START,
	OWNER_REFUSE, /* busy, draining, too late, cancelled or link lost */
	OWNER_NEVER_BEGAN, /* no connection, or the upstream shed it */
	OWNER_FINISH,
	OWNER_BREAK,
	OWNER_EVENTS,
};

/*
 * RETURN VALUE
 *	true and the state after the event in *state, or false with *state
 *	unchanged where the event does not apply, as for a late answer.
 */
bool attempt_entry_step(enum attempt_entry_state *state,
			enum attempt_entry_event event);
bool attempt_owner_step(enum attempt_owner_state *state,
			enum attempt_owner_event event);

bool attempt_entry_is_over(enum attempt_entry_state state);

/* True if the request may be sent again after this attempt. */
bool attempt_allows_another(enum attempt_entry_state state, bool idempotent);

const char *attempt_entry_state_name(enum attempt_entry_state state);
const char *attempt_owner_state_name(enum attempt_owner_state state);

#endif
