#include "comfreydockd/peer/attempt.h"

/* Each cell holds the next state + 1, or 0 if the event does not apply. */
#define TO(state) ((state) + 1)

static const unsigned char entry_table[ENTRY_STATES][ENTRY_EVENTS] = {
	[ENTRY_PICKED] =
		{
			[ENTRY_SEND] = TO(ENTRY_SENT),
			[ENTRY_LINK_LOST_UNSENT] = TO(ENTRY_NOT_RUN),
			[ENTRY_LINK_LOST] = TO(ENTRY_NOT_RUN),
			[ENTRY_GIVE_UP] = TO(ENTRY_NOT_RUN),
		},
	[ENTRY_SENT] =
		{
			[ENTRY_GET_NOT_RUN] = TO(ENTRY_NOT_RUN),
			[ENTRY_GET_ANSWER] = TO(ENTRY_ANSWERING),
			[ENTRY_GET_FAILED] = TO(ENTRY_UNKNOWN),
			[ENTRY_LINK_LOST_UNSENT] = TO(ENTRY_NOT_RUN),
			[ENTRY_LINK_LOST] = TO(ENTRY_UNKNOWN),
			[ENTRY_GIVE_UP] = TO(ENTRY_UNKNOWN),
		},
	[ENTRY_ANSWERING] =
		{
			[ENTRY_GET_END] = TO(ENTRY_DONE),
			[ENTRY_GET_FAILED] = TO(ENTRY_UNKNOWN),
			[ENTRY_LINK_LOST_UNSENT] = TO(ENTRY_UNKNOWN),
			[ENTRY_LINK_LOST] = TO(ENTRY_UNKNOWN),
			[ENTRY_GIVE_UP] = TO(ENTRY_UNKNOWN),
		},
};

static const unsigned char owner_table[OWNER_ATTEMPT_STATES][OWNER_EVENTS] = {
	[OWNER_ATTEMPT_RECEIVED] =
		{
			[OWNER_QUEUE] = TO(OWNER_ATTEMPT_QUEUED),
			[OWNER_REFUSE] = TO(OWNER_ATTEMPT_NOT_RUN),
		},
	[OWNER_ATTEMPT_QUEUED] =
		{
			[OWNER_HOLD] = TO(OWNER_ATTEMPT_RECEIVED),
			[OWNER_START] = TO(OWNER_ATTEMPT_RUNNING),
			[OWNER_REFUSE] = TO(OWNER_ATTEMPT_NOT_RUN),
		},
	[OWNER_ATTEMPT_RUNNING] =
		{
			[OWNER_NEVER_BEGAN] = TO(OWNER_ATTEMPT_NOT_RUN),
			[OWNER_FINISH] = TO(OWNER_ATTEMPT_DONE),
			[OWNER_BREAK] = TO(OWNER_ATTEMPT_FAILED),
		},
};

bool attempt_entry_step(enum attempt_entry_state *state,
			enum attempt_entry_event event)
{
	unsigned char next = entry_table[*state][event];

	if (!next)
		return false;
	*state = (enum attempt_entry_state)(next - 1);
	return true;
}

bool attempt_owner_step(enum attempt_owner_state *state,
			enum attempt_owner_event event)
{
	unsigned char next = owner_table[*state][event];

	if (!next)
		return false;
	*state = (enum attempt_owner_state)(next - 1);
	return true;
}

bool attempt_entry_is_over(enum attempt_entry_state state)
{
	return state == ENTRY_NOT_RUN || state == ENTRY_DONE ||
	       state == ENTRY_UNKNOWN;
}

bool attempt_allows_another(enum attempt_entry_state state, bool idempotent)
{
	if (state == ENTRY_NOT_RUN)
		return true;
	return idempotent && state == ENTRY_UNKNOWN;
}

const char *attempt_entry_state_name(enum attempt_entry_state state)
{
	static const char *const names[ENTRY_STATES] = {
		[ENTRY_PICKED] = "picked",	 [ENTRY_SENT] = "sent",
		[ENTRY_ANSWERING] = "answering", [ENTRY_NOT_RUN] = "not-run",
		[ENTRY_DONE] = "done",		 [ENTRY_UNKNOWN] = "unknown",
	};

	return names[state];
}

const char *attempt_owner_state_name(enum attempt_owner_state state)
{
	static const char *const names[OWNER_ATTEMPT_STATES] = {
		[OWNER_ATTEMPT_RECEIVED] = "received",
		[OWNER_ATTEMPT_QUEUED] = "queued",
		[OWNER_ATTEMPT_RUNNING] = "running",
		[OWNER_ATTEMPT_NOT_RUN] = "not-run",
		[OWNER_ATTEMPT_DONE] = "done",
		[OWNER_ATTEMPT_FAILED] = "failed",
	};

	return names[state];
}
