#include "comfreydockd/caller/call_internal.h"

#include "common/clock.h"
#include "common/counters.h"

/* A begun answer may take longer than the deadline, but not stand still for
 * longer than this beyond it. A lost segment is repeated well within. */
#define ANSWER_SILENCE_US (2 * US_PER_S)

/*
 * The deadline covers the head of an answer: a bundle takes as long as it
 * takes. An upstream that stops in the middle of it resets nothing, so without
 * this watch its caller would wait for ever, with its connection and a slot
 * held at both ends; one would notice slots that never come back. Silence
 * while bytes still wait for the caller is the caller's own, and the owner
 * ends that one.
 */
void call_watch_answer(struct call *call)
{
	struct ev_loop *loop = call->entry->daemon->loop;
	int64_t now = clock_mono_us();
	int64_t due_us;

	if (call->unread > 0)
		call->heard_us = now;
	due_us = MAX(call->deadline_us, call->heard_us + ANSWER_SILENCE_US);
	if (now < due_us) {
		ev_timer_stop(loop, &call->deadline);
		ev_timer_set(&call->deadline, (double)(due_us - now) / US_PER_S,
			     0.0);
		ev_timer_start(loop, &call->deadline);
		return;
	}
	counters.caller_aborted++;
	call_note(call, EV_ENTRY_FAILED, LOG_STR("outcome", "aborted"),
		  LOG_STR("reason", "the answer stopped"),
		  LOG_STR("attempts", call->history));
	call->sink->handle_abort(call->sink_data);
	call_free(call);
}
