#include "comfreydockd/caller/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/retry.h"
#include "common/clock.h"
#include "common/counters.h"

/* When the caller may retry a call that was refused because no owner of its
 * group answers. Another daemon can most likely take the call. This one knows
 * more after it has tried a silent owner again, see HEALTH_MUTE_TRIAL_US. */
#define UNREACHABLE_COME_BACK_MS 100
/*
 * When the caller may retry a call for which no upstream is known. A daemon
 * knows most upstreams within this time after its start. A caller that comes
 * back sooner is refused again and has few retries. The wait is at most the
 * time left to the deadline, divided by NO_UPSTREAM_LEFT_DIVISOR.
 */
#define NO_UPSTREAM_COME_BACK_MS 200
#define NO_UPSTREAM_LEFT_DIVISOR 4

/* Records how the attempt ended, for the log line of a failed call. */
static void call_append_history(struct call *call,
				const struct entry_attempt *attempt,
				const char *end)
{
	size_t used = strlen(call->history);

	g_snprintf(call->history + used, sizeof(call->history) - used,
		   "%s%s:%s", used ? "," : "", attempt->upstream->host, end);
}

void call_free(struct call *call)
{
	struct ev_loop *loop = call->entry->daemon->loop;
	struct entry_attempt *attempt;

	call_cancel_quota(call);
	while ((attempt = LIST_FIRST(&call->active)))
		entry_attempt_destroy(attempt);
	ev_timer_stop(loop, &call->deadline_timer);
	ev_timer_stop(loop, &call->retry_timer);
	ev_timer_stop(loop, &call->hedge_timer);
	ev_timer_stop(loop, &call->patience_timer);
	ev_timer_stop(loop, &call->queue_timer);
	LIST_REMOVE(call, link);
	call->entry->call_count--;
	config_snapshot_unref(call->snapshot);
	fields_finish(&call->fields);
	g_byte_array_unref(call->body);
	g_free(call->trace);
	g_free(call->method);
	g_free(call->target);
	g_free(call->fairness_key);
	g_free(call);
}

/* Breaks the caller's connection, as the answer can't be completed: after a
 * normal close, the caller would take the truncated answer for a complete
 * one. */
static void call_abort_answer(struct call *call)
{
	counters.caller_aborted++;
	outcome_check_overdue(call, "aborted");
	call->sink->handle_abort(call->sink_data);
	call_free(call);
}

void call_finish_unanswered(struct call *call)
{
	if (call->may_have_run) {
		outcome_reply_unknown(call);
	} else {
		call_return_quota(call);
		outcome_reply_not_run(call);
	}
	call_note_throttle_end(call);
	call_free(call);
}

/*
 * Allows, once, another attempt at each upstream that refused the call for now.
 * The call may then queue there. These upstreams refused it because another one
 * seemed to have room, but that one is gone, drains or has been ejected since.
 * Without this, the call would end as "not run" although upstreams that could
 * serve it within milliseconds are up, and callers would see that for as long
 * as a crashed upstream looks idle.
 *
 * RETURN VALUE: false if there is no such upstream, or if it was done before.
 */
static bool call_retry_refused(struct call *call)
{
	if (call->has_retried_refused || call->refused_for_now.count == 0)
		return false;
	call->has_retried_refused = true;
	pick_tried_remove(&call->tried, &call->refused_for_now);
	return true;
}

/* No upstream is known that could take the call. */
static void call_note_no_upstream(struct call *call, int64_t now)
{
	int64_t left_ms = MAX(call->deadline_us - now, 0) / US_PER_MS;

	call->reason = call->service->has_evacuated ?
			       CFD__REASON__REASON_EVACUATED :
			       CFD__REASON__REASON_NO_UPSTREAM;
	call->come_back_ms = (uint32_t)MIN(NO_UPSTREAM_COME_BACK_MS,
					   left_ms / NO_UPSTREAM_LEFT_DIVISOR);
}

void call_send_attempt(struct call *call)
{
	int64_t now = clock_mono_us();
	struct service_upstream *upstream;
	bool may_queue = false;

	if (call->attempts == 0 &&
	    !service_may_send(call->service, call->rule->idempotent, now)) {
		call->reason = CFD__REASON__REASON_UNREACHABLE;
		call->come_back_ms = UNREACHABLE_COME_BACK_MS;
		call_finish_unanswered(call);
		return;
	}
	upstream = call_choose_upstream(call, now, &may_queue);
	if (!upstream && call->reason == CFD__REASON__REASON_QUARANTINED) {
		call_finish_unanswered(call);
		return;
	}
	if (!upstream && call_retry_refused(call))
		upstream = call_choose_free(call, now, &may_queue);
	if (!upstream) {
		if (call->attempts == 0)
			call_note_no_upstream(call, now);
		call_finish_unanswered(call);
		return;
	}
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->attempts++;
	entry_attempt_send(call, upstream,
			   may_queue || call->has_retried_refused, false);
	call_arm_hedge(call);
	call_arm_patience(call);
}

static enum retry_outcome retry_outcome_of(Cfd__Reason reason, bool never_sent)
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
	case CFD__REASON__REASON_EVACUATED:
	case CFD__REASON__REASON_CONFIG_BEHIND:
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

/* Retries or ends the call, once its last outstanding attempt has ended. */
static void call_decide_retry(struct call *call, enum retry_outcome outcome,
			      enum attempt_entry_state state)
{
	struct retry_context context;
	struct retry_decision decision;
	int64_t now = clock_mono_us();

	if (outcome == RETRY_OUTCOME_BUSY)
		call->busy_refusals++;
	else if (!retry_counts(outcome))
		call->uncounted_attempts++;
	call_fill_retry_context(call, outcome, &context);
	if ((outcome == RETRY_OUTCOME_BUSY || !retry_counts(outcome)) &&
	    context.untried == 0 && call_retry_refused(call))
		context.untried = call_untried(call);
	decision = retry_decide(&call->service->retry, &context,
				&call->entry->random, now);
	/* A body that exceeds the buffer can't be sent again. */
	if (decision.verdict == RETRY_GO && !call->body_exceeds_buffer &&
	    !call->no_more_attempts &&
	    attempt_allows_another(state, call->rule->idempotent)) {
		counters.entry_retries++;
		call_start_timer(call, &call->retry_timer, decision.delay_us);
		return;
	}
	call->come_back_ms = MAX(call->come_back_ms,
				 (uint32_t)(decision.come_back_us / US_PER_MS));
	call_finish_unanswered(call);
}

void call_note_not_run(struct entry_attempt *attempt, Cfd__Reason reason,
		       bool never_sent, uint32_t retry_after_ms)
{
	struct call *call = attempt->call;
	enum attempt_entry_state state = attempt->state;
	bool was_parallel = attempt->is_parallel;
	enum retry_outcome outcome = retry_outcome_of(reason, never_sent);

	if (reason == CFD__REASON__REASON_BUSY ||
	    reason == CFD__REASON__REASON_SLOW ||
	    reason == CFD__REASON__REASON_FAILING ||
	    reason == CFD__REASON__REASON_CONFIG_BEHIND)
		pick_tried_add(&call->refused_for_now,
			       attempt->upstream->candidate.id);
	call_log_event(call, EV_ENTRY_NOT_RUN,
		       LOG_STR("from", attempt->upstream->host),
		       LOG_STR("reason", outcome_reason_name(reason)),
		       LOG_INT("after_us", clock_mono_us() - attempt->sent_us),
		       LOG_INT("come_back_ms", retry_after_ms));
	call->behind_refusals += reason == CFD__REASON__REASON_CONFIG_BEHIND;
	call_append_history(call, attempt, outcome_reason_name(reason));
	call_note_throttle_refusal(call, attempt, reason, retry_after_ms);
	if (attempt->waits_locally)
		outcome = call_note_stay_refused(call, reason, outcome);
	entry_attempt_destroy(attempt);
	if (!LIST_EMPTY(&call->active))
		return; /* the parallel attempt is still out */
	if (!was_parallel || call->reason == CFD__REASON__REASON_UNSPECIFIED)
		call->reason = reason;
	call->come_back_ms = MAX(retry_after_ms, call->min_come_back_ms);
	call_stop_patience(call);
	call_decide_retry(call, outcome, state);
}

void call_note_unknown(struct entry_attempt *attempt, bool lost)
{
	struct call *call = attempt->call;
	enum attempt_entry_state state = attempt->state;
	bool was_answering = call->answering_attempt == attempt;

	call_log_event(call, EV_ENTRY_UNKNOWN,
		       LOG_STR("from", attempt->upstream->host),
		       LOG_STR("why", lost ? "lost" : "timeout"),
		       LOG_INT("after_us", clock_mono_us() - attempt->sent_us));
	call_append_history(call, attempt, lost ? "lost" : "timeout");
	entry_attempt_destroy(attempt);
	if (was_answering) {
		call_abort_answer(call);
		return;
	}
	call->may_have_run = true;
	call->connection_lost = lost;
	if (!LIST_EMPTY(&call->active))
		return;
	call_stop_patience(call);
	call_decide_retry(call, RETRY_OUTCOME_UNKNOWN, state);
}

static int64_t call_answer_left_us(struct call *call, int64_t now)
{
	if (call->answer_is_withheld)
		return deadline_withheld_left_us(
			call->deadline_us, call->answering_attempt->head_us, now);
	/* While bytes wait for the caller, the caller causes the silence. The
	 * owner then aborts the answer if the caller reads nothing for too
	 * long, see upstream/sweep.c. */
	if (call->unread > 0)
		call->heard_us = now;
	return deadline_idle_left_us(call->deadline_us, call->heard_us, now);
}

/* Aborts the call if its answer has stalled or comes too late. This may free the
 * call, but not when its answer has just begun. */
static void call_check_stalled_answer(struct call *call)
{
	int64_t left_us = call_answer_left_us(call, clock_mono_us());

	if (left_us > 0) {
		call_start_timer(call, &call->deadline_timer, left_us);
		return;
	}
	call_log_event(call, EV_ENTRY_FAILED, LOG_STR("outcome", "aborted"),
		       LOG_STR("reason", "the answer stopped"),
		       LOG_STR("attempts", call->history));
	call_abort_answer(call);
}

/* Ends the slower of two parallel attempts, which also cancels it at its owner. */
static void call_end_others(struct call *call, struct entry_attempt *attempt)
{
	struct entry_attempt *other;

	while ((other = LIST_FIRST(&call->active)) != attempt ||
	       (other = LIST_NEXT(attempt, link)))
		entry_attempt_destroy(other);
}

void call_note_head(struct entry_attempt *attempt, const Cfd__Answer *answer)
{
	struct call *call = attempt->call;
	struct ev_loop *loop = call->entry->daemon->loop;
	struct fields fields;

	call_note_throttle_accepted(call);
	call->answering_attempt = attempt;
	call->status = answer->status;
	call->heard_us = attempt->head_us;
	call->answer_is_withheld = answer->length >= 0 &&
				   answer->length <= ENTRY_WITHHELD_ANSWER_MAX;
	call_check_stalled_answer(call);
	ev_timer_stop(loop, &call->hedge_timer);
	call_stop_patience(call);
	hedge_note_latency(&call->service->hedge,
			   attempt->head_us - call->began_us);
	latency_record_us(&latencies.call_added,
			  attempt->head_us - call->began_us -
				  (int64_t)answer->upstream_us);
	call_log_event(call, EV_ENTRY_ANSWERED,
		       LOG_STR("from", attempt->upstream->host),
		       LOG_INT("status", answer->status),
		       LOG_INT("after_us", attempt->head_us - attempt->sent_us));
	fields_init(&fields);
	for (size_t i = 0; i < answer->n_headers; i++)
		fields_add_forwarded(&fields, call->entry->daemon->headers,
				     answer->headers[i]->name,
				     answer->headers[i]->value);
	outcome_add_fields(&fields, call->entry->daemon->headers, "run", NULL,
			   call->trace);
	call->sink->handle_head(call->sink_data, answer->status, &fields,
				answer->length);
	fields_finish(&fields);
	if (LIST_NEXT(LIST_FIRST(&call->active), link))
		hedge_note_race(&call->service->hedge, attempt->is_parallel);
	call_end_others(call, attempt);
}

void call_note_end(struct entry_attempt *attempt)
{
	struct call *call = attempt->call;

	counters.caller_run++;
	outcome_count(call, &latencies.call_run, "run");
	call->answered = true;
	call_log_event(call, EV_ENTRY_ENDED, LOG_STR("outcome", "run"),
		       LOG_INT("status", call->status),
		       LOG_INT("took_us", clock_mono_us() - call->began_us));
	call->sink->handle_end(call->sink_data);
	call_free(call);
}

static void handle_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	call_send_attempt(timer->data);
}

/*
 * Expires shortly before the deadline to cancel the attempts, then at the
 * deadline to end the call. Once an answer has begun, checks whether it
 * stalled.
 */
static void handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct entry_attempt *attempt;

	(void)loop;
	(void)events;
	if (call->answering_attempt) {
		call_check_stalled_answer(call);
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
		call_append_history(call, attempt, "silent");
	call->reason = CFD__REASON__REASON_DEADLINE;
	if (!LIST_EMPTY(&call->active))
		call->may_have_run = true;
	call_finish_unanswered(call);
}

void call_stop_retrying(struct call *call)
{
	struct entry_attempt *attempt;

	call->no_more_attempts = true;
	LIST_FOREACH (attempt, &call->active, link)
		entry_attempt_cancel_waiting(attempt);
	if (LIST_EMPTY(&call->active))
		call_finish_unanswered(call);
}

void call_end_now(struct call *call)
{
	if (call->answering_attempt) {
		call_abort_answer(call);
		return;
	}
	if (!LIST_EMPTY(&call->active)) {
		call->may_have_run = true;
		call->connection_lost = true;
	}
	call_finish_unanswered(call);
}

void call_start(struct call *call)
{
	if (clock_mono_us() >= call->deadline_us) {
		call->reason = CFD__REASON__REASON_DEADLINE;
		call_finish_unanswered(call);
		return;
	}
	if (!call_acquire_quota(call))
		return;
	call->is_started = true;
	outcome_count_organisation(call, ORGANISATION_STARTED, NULL);
	if (call_is_throttled(call)) {
		call_finish_unanswered(call);
		return;
	}
	call->content_key = call_content_key(call);
	hedge_note_request(&call->service->hedge);
	retry_note_request(&call->service->retry, clock_mono_us());
	pick_note_request(&call->service->picks);
	stay_note_call(&call->service->stay, call->class);
	call_send_attempt(call);
}

void call_init_timers(struct call *call)
{
	ev_init(&call->deadline_timer, handle_deadline);
	ev_init(&call->retry_timer, handle_retry);
	call->deadline_timer.data = call;
	call->retry_timer.data = call;
	call_init_parallel(call);
	call_start_timer(call, &call->deadline_timer,
			 deadline_cancel_us(call->began_us, call->deadline_us) -
				 clock_mono_us());
}

void call_note_caller_gone(struct call *call)
{
	counters.caller_gone++;
	if (LIST_EMPTY(&call->active) && !call->may_have_run)
		call_return_quota(call);
	call_log_event(call, EV_ENTRY_CALLER_GONE,
		       LOG_STR("attempts", call->history),
		       LOG_INT("took_us", clock_mono_us() - call->began_us));
	call_free(call);
}
