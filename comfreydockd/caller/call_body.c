#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/pipeline.h"

void call_note_body_window(struct entry_attempt *attempt, uint32_t bytes)
{
	struct call *call = attempt->call;

	call->body_window += bytes;
	if (!call->body_ends)
		call->sink->handle_body_window(call->sink_data);
}

size_t call_body_window(const struct call *call)
{
	if (!call->is_started)
		return CALL_BODY_BUFFER_MAX -
		       MIN(call->body->len, CALL_BODY_BUFFER_MAX);
	return LIST_EMPTY(&call->active) ? 0 : call->body_window;
}

void call_add_body(struct call *call, const void *bytes, size_t size)
{
	if (!call->is_started) {
		g_byte_array_append(call->body, bytes, (guint)size);
		if (call->body->len >= CALL_BODY_BUFFER_MAX)
			call_start(call);
		return;
	}
	call->body_exceeds_buffer = true;
	call->body_window -= MIN(size, call->body_window);
	entry_attempt_send_body(LIST_FIRST(&call->active), bytes, size, false);
}

void call_end_body(struct call *call)
{
	struct entry_attempt *attempt;

	call->body_ends = true;
	if (!call->is_started) {
		call_start(call);
		return;
	}
	LIST_FOREACH (attempt, &call->active, link)
		entry_attempt_send_body(attempt, NULL, 0, true);
}

void call_open_answer_window(struct call *call)
{
	struct entry_attempt *attempt;

	call->answer_blocked = false;
	LIST_FOREACH (attempt, &call->active, link) {
		if (!attempt->has_small_window)
			continue;
		attempt->has_small_window = false;
		entry_attempt_send_window(
			attempt, ATTEMPT_ANSWER_WINDOW - PIPELINE_WINDOW_BYTES);
	}
}

void call_note_consumed(struct call *call, size_t size)
{
	call->consumed += size;
	call->unread -= size;
	if (call->consumed < CALL_WINDOW_UPDATE_BYTES || !call->answering_attempt)
		return;
	entry_attempt_send_window(call->answering_attempt,
				  (uint32_t)call->consumed);
	call->consumed = 0;
}
