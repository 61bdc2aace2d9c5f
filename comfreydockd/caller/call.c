#include "comfreydockd/caller/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/ahead.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/retry.h"
#include "common/clock.h"
#include "common/counters.h"

/* Another daemon can most likely take the call; this one knows more after its
 * next trial, see HEALTH_MUTE_TRIAL_US. */
#define UNREACHABLE_COME_BACK_MS 100
/* After its start a daemon knows most upstreams within so long. One that comes
 * back sooner is refused again, and has few retries. */
#define NO_UPSTREAM_COME_BACK_MS 200
#define NO_UPSTREAM_LEFT_SHARE 4

/* What became of its attempts, for the one line that tells of a failure. */
static void call_remember(struct call *call,
			  const struct entry_attempt *attempt, const char *end)
{
	size_t used = strlen(call->history);

	g_snprintf(call->history + used, sizeof(call->history) - used,
		   "%s%s:%s", used ? "," : "", attempt->upstream->host, end);
}

void call_free(struct call *call)
{
	struct ev_loop *loop = call->entry->daemon->loop;
	struct entry_attempt *attempt;

	while ((attempt = LIST_FIRST(&call->active)))
		entry_attempt_destroy(attempt);
	ev_timer_stop(loop, &call->deadline);
	ev_timer_stop(loop, &call->next);
	ev_timer_stop(loop, &call->hedge);
	ev_timer_stop(loop, &call->patience);
	ev_timer_stop(loop, &call->hold);
	LIST_REMOVE(call, link);
	call->entry->count--;
	config_snapshot_unref(call->snapshot);
	fields_finish(&call->fields);
	g_byte_array_unref(call->body);
	g_free(call->method);
	g_free(call->target);
	g_free(call->fairness_key);
	g_free(call);
}

/* Ended here an answer would look whole: the connection must break. */
static void call_abort(struct call *call)
{
	counters.caller_aborted++;
	call->sink->handle_abort(call->sink_data);
	call_free(call);
}

static void call_finish_unanswered(struct call *call)
{
	if (call->may_have_run)
		outcome_say_unknown(call);
	else
		outcome_say_not_run(call);
	call_free(call);
}

/*
 * Refused as busy by some, because another seemed to have room, and then that
 * one turned out to be gone or to drain, or is left out by now: the call goes back, once, to wait at
 * those that are only busy. Without this it would be told "not run" while
 * upstreams that could serve it in milliseconds are up; callers would notice
 * for as long as a crashed upstream looks idle.
 */
static bool call_return_to_busy(struct call *call)
{
	if (call->returns || call->tried_busy.count == 0)
		return false;
	call->returns = true;
	pick_tried_forget(&call->tried, &call->tried_busy);
	return true;
}

/* Nobody is known who could take the call. */
static void call_note_no_upstream(struct call *call, int64_t now)
{
	int64_t left_ms = MAX(call->deadline_us - now, 0) / US_PER_MS;

	call->reason = CFD__REASON__REASON_NO_UPSTREAM;
	call->come_back_ms = (uint32_t)MIN(NO_UPSTREAM_COME_BACK_MS,
					   left_ms / NO_UPSTREAM_LEFT_SHARE);
}

void call_send_attempt(struct call *call)
{
	int64_t now = clock_mono_us();
	struct service_upstream *upstream;
	bool may_queue;

	if (call->attempts == 0 &&
	    !service_may_try(call->service, call->rule->idempotent, now)) {
		call->reason = CFD__REASON__REASON_UNREACHABLE;
		call->come_back_ms = UNREACHABLE_COME_BACK_MS;
		call_finish_unanswered(call);
		return;
	}
	upstream = call_choose(call, now);
	if (!upstream && call->reason == CFD__REASON__REASON_QUARANTINED) {
		call_finish_unanswered(call);
		return;
	}
	if (!upstream && call_return_to_busy(call))
		upstream = service_choose(call->service, &call->tried, now);
	if (!upstream) {
		if (call->attempts == 0)
			call_note_no_upstream(call, now);
		call_finish_unanswered(call);
		return;
	}
	may_queue =
		call->returns ||
		pick_may_queue(&call->service->picks, &upstream->candidate,
			       &call->tried, call->busy >= RETRY_BUSY_MAX, now);
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->attempts++;
	entry_attempt_send(call, upstream, may_queue, false);
	call_arm_hedge(call);
	call_arm_patience(call);
}

static enum retry_outcome outcome_of(Cfd__Reason reason, bool never_sent)
{
	if (never_sent)
		return RETRY_OUTCOME_NEVER_SENT;
	switch (reason) {
	case CFD__REASON__REASON_BUSY:
		return RETRY_OUTCOME_BUSY;
	case CFD__REASON__REASON_DRAINING:
	case CFD__REASON__REASON_NO_UPSTREAM:
	case CFD__REASON__REASON_CONNECT:
	case CFD__REASON__REASON_SLOW:
	case CFD__REASON__REASON_FAILING:
		return RETRY_OUTCOME_NOT_HERE;
	case CFD__REASON__REASON_OVERLOAD:
	case CFD__REASON__REASON_SHED:
	case CFD__REASON__REASON_UNFAIR:
	case CFD__REASON__REASON_DEADLINE:
		return RETRY_OUTCOME_OVERLOAD;
	default:
		return RETRY_OUTCOME_FINAL;
	}
}

/* What follows after an attempt, where no other is out. */
static void call_decide(struct call *call, enum retry_outcome outcome,
			enum attempt_entry_state state)
{
	struct retry_question question;
	struct retry_answer answer;
	int64_t now = clock_mono_us();

	if (outcome == RETRY_OUTCOME_BUSY)
		call->busy++;
	else if (!retry_counts(outcome))
		call->unheard++;
	call_fill_retry_question(call, outcome, &question);
	if ((outcome == RETRY_OUTCOME_BUSY || !retry_counts(outcome)) &&
	    question.untried == 0 && call_return_to_busy(call))
		question.untried = call_untried(call);
	answer = retry_decide(&call->service->retry, &question,
			      &call->entry->random, now);
	/* A body of which more is gone than is kept can't be sent again. */
	if (answer.verdict == RETRY_GO && !call->body_streams && !call->gives_up &&
	    attempt_allows_another(state, call->rule->idempotent)) {
		counters.entry_retries++;
		call_start_timer(call, &call->next, answer.delay_us);
		return;
	}
	call->come_back_ms = MAX(call->come_back_ms,
				 (uint32_t)(answer.come_back_us / US_PER_MS));
	call_finish_unanswered(call);
}

void call_note_not_run(struct entry_attempt *attempt, Cfd__Reason reason,
		       bool never_sent, uint32_t retry_after_ms)
{
	struct call *call = attempt->call;
	enum attempt_entry_state state = attempt->state;
	bool was_hedge = attempt->is_hedge;

	if (reason == CFD__REASON__REASON_BUSY ||
	    reason == CFD__REASON__REASON_SLOW ||
	    reason == CFD__REASON__REASON_FAILING)
		pick_tried_add(&call->tried_busy,
			       attempt->upstream->candidate.id);
	call_note(call, EV_ENTRY_NOT_RUN,
		  LOG_STR("from", attempt->upstream->host),
		  LOG_STR("reason", outcome_reason_name(reason)),
		  LOG_INT("after_us", clock_mono_us() - attempt->sent_us),
		  LOG_INT("come_back_ms", retry_after_ms));
	call_remember(call, attempt, outcome_reason_name(reason));
	entry_attempt_destroy(attempt);
	if (!LIST_EMPTY(&call->active))
		return; /* the other one goes on */
	if (!was_hedge || call->reason == CFD__REASON__REASON_UNSPECIFIED)
		call->reason = reason;
	call->come_back_ms = MAX(retry_after_ms, call->least_come_back_ms);
	call_stop_patience(call);
	call_decide(call, outcome_of(reason, never_sent), state);
}

void call_note_unknown(struct entry_attempt *attempt, bool lost)
{
	struct call *call = attempt->call;
	enum attempt_entry_state state = attempt->state;
	bool answering = call->answering == attempt;

	call_note(call, EV_ENTRY_UNKNOWN,
		  LOG_STR("from", attempt->upstream->host),
		  LOG_STR("why", lost ? "lost" : "timeout"),
		  LOG_INT("after_us", clock_mono_us() - attempt->sent_us));
	call_remember(call, attempt, lost ? "lost" : "timeout");
	entry_attempt_destroy(attempt);
	if (answering) {
		call_abort(call);
		return;
	}
	call->may_have_run = true;
	call->lost = lost;
	if (!LIST_EMPTY(&call->active))
		return;
	call_stop_patience(call);
	call_decide(call, RETRY_OUTCOME_UNKNOWN, state);
}

/* See deadline_silence_left_us(). The call may be gone after this, but not when
 * its answer has just begun. */
static void call_watch_answer(struct call *call)
{
	int64_t now = clock_mono_us();
	int64_t left_us;

	/* Silence while bytes wait for the caller is its own; the owner ends
	 * that one. */
	if (call->unread > 0)
		call->heard_us = now;
	left_us =
		deadline_silence_left_us(call->deadline_us, call->heard_us, now);
	if (left_us > 0) {
		call_start_timer(call, &call->deadline, left_us);
		return;
	}
	call_note(call, EV_ENTRY_FAILED, LOG_STR("outcome", "aborted"),
		  LOG_STR("reason", "the answer stopped"),
		  LOG_STR("attempts", call->history));
	call_abort(call);
}

void call_note_head(struct entry_attempt *attempt, const Cfd__Answer *answer)
{
	struct call *call = attempt->call;
	struct ev_loop *loop = call->entry->daemon->loop;
	struct entry_attempt *other;
	struct fields fields;

	call->answering = attempt;
	call->status = answer->status;
	call->heard_us = attempt->head_us;
	call_watch_answer(call);
	ev_timer_stop(loop, &call->hedge);
	call_stop_patience(call);
	hedge_note_latency(&call->service->hedge,
			   attempt->head_us - call->began_us);
	latency_record_us(&latencies.call_added,
			  attempt->head_us - call->began_us -
				  (int64_t)answer->upstream_us);
	call_note(call, EV_ENTRY_ANSWERED,
		  LOG_STR("from", attempt->upstream->host),
		  LOG_INT("status", answer->status),
		  LOG_INT("after_us", attempt->head_us - attempt->sent_us));
	fields_init(&fields);
	for (size_t i = 0; i < answer->n_headers; i++)
		fields_add_passed(&fields, call->entry->daemon->headers,
				  answer->headers[i]->name,
				  answer->headers[i]->value);
	outcome_add_fields(&fields, call->entry->daemon->headers, "run", NULL,
			   call->trace);
	call->sink->handle_head(call->sink_data, answer->status, &fields,
				answer->length);
	fields_finish(&fields);
	if (LIST_NEXT(LIST_FIRST(&call->active), link))
		hedge_note_race(&call->service->hedge, attempt->is_hedge);
	/* The slower of a hedged pair. */
	while ((other = LIST_FIRST(&call->active)) != attempt ||
	       (other = LIST_NEXT(attempt, link)))
		entry_attempt_destroy(other);
}

void call_note_end(struct entry_attempt *attempt)
{
	struct call *call = attempt->call;

	counters.caller_run++;
	outcome_count(call, &latencies.call_run, "run");
	call->answered = true;
	call_note(call, EV_ENTRY_ENDED, LOG_STR("outcome", "run"),
		  LOG_INT("status", call->status),
		  LOG_INT("took_us", clock_mono_us() - call->began_us));
	call->sink->handle_end(call->sink_data);
	call_free(call);
}

void call_note_room(struct entry_attempt *attempt, uint32_t bytes)
{
	struct call *call = attempt->call;

	call->body_room += bytes;
	if (!call->body_ends)
		call->sink->handle_room(call->sink_data);
}

static void handle_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	call_send_attempt(timer->data);
}

/* First shortly before the deadline, to cancel; then at it, to give up. */
static void handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct entry_attempt *attempt;

	(void)loop;
	(void)events;
	if (call->answering) {
		call_watch_answer(call);
		return;
	}
	if (!call->cancels_sent) {
		call->cancels_sent = true;
		LIST_FOREACH (attempt, &call->active, link)
			entry_attempt_cancel(attempt);
		call_start_timer(call, timer,
				 call->deadline_us - clock_mono_us());
		return;
	}
	LIST_FOREACH (attempt, &call->active, link)
		call_remember(call, attempt, "silent");
	call->reason = CFD__REASON__REASON_DEADLINE;
	if (!LIST_EMPTY(&call->active))
		call->may_have_run = true;
	call_finish_unanswered(call);
}

void call_give_up(struct call *call)
{
	struct entry_attempt *attempt;

	call->gives_up = true;
	LIST_FOREACH (attempt, &call->active, link)
		entry_attempt_cancel_waiting(attempt);
	if (LIST_EMPTY(&call->active))
		call_finish_unanswered(call);
}

void call_end_now(struct call *call)
{
	if (call->answering) {
		call_abort(call);
		return;
	}
	if (!LIST_EMPTY(&call->active)) {
		call->may_have_run = true;
		call->lost = true;
	}
	call_finish_unanswered(call);
}

void call_start(struct call *call)
{
	call->content = call_content(call);
	call->is_started = true;
	hedge_note_request(&call->service->hedge);
	retry_note_request(&call->service->retry, clock_mono_us());
	pick_note_request(&call->service->picks);
	call_send_attempt(call);
}

void call_init_timers(struct call *call)
{
	ev_init(&call->deadline, handle_deadline);
	ev_init(&call->next, handle_next);
	call->deadline.data = call;
	call->next.data = call;
	call_init_beside(call);
	call_start_timer(call, &call->deadline,
			 deadline_cancel_us(call->began_us, call->deadline_us) -
				 clock_mono_us());
}

size_t call_room(const struct call *call)
{
	if (!call->is_started)
		return CALL_BODY_KEPT - MIN(call->body->len, CALL_BODY_KEPT);
	return LIST_EMPTY(&call->active) ? 0 : call->body_room;
}

void call_add_body(struct call *call, const void *bytes, size_t size)
{
	if (!call->is_started) {
		g_byte_array_append(call->body, bytes, (guint)size);
		if (call->body->len >= CALL_BODY_KEPT)
			call_start(call);
		return;
	}
	call->body_streams = true;
	call->body_room -= MIN(size, call->body_room);
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

void call_open_window(struct call *call)
{
	struct entry_attempt *attempt;

	call->is_behind = false;
	LIST_FOREACH (attempt, &call->active, link) {
		if (!attempt->has_small_window)
			continue;
		attempt->has_small_window = false;
		entry_attempt_send_window(attempt, ATTEMPT_ANSWER_WINDOW -
							   AHEAD_WINDOW_BYTES);
	}
}

void call_note_consumed(struct call *call, size_t size)
{
	call->consumed += size;
	call->unread -= size;
	if (call->consumed < CALL_CREDIT_STEP || !call->answering)
		return;
	entry_attempt_send_window(call->answering, (uint32_t)call->consumed);
	call->consumed = 0;
}

void call_abandon(struct call *call)
{
	counters.caller_gone++;
	call_note(call, EV_ENTRY_CALLER_GONE, LOG_STR("attempts", call->history),
		  LOG_INT("took_us", clock_mono_us() - call->began_us));
	call_free(call);
}
