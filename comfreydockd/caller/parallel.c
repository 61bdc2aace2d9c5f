#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/hedge.h"
#include "comfreydockd/decide/retry.h"
#include "common/clock.h"
#include "common/counters.h"

static int64_t call_typical_service_time_us(const struct call *call)
{
	return (int64_t)call->service->picks.typical_service_us;
}

void call_arm_hedge(struct call *call)
{
	struct hedge_context context;
	int64_t now = clock_mono_us();
	int64_t delay;

	call_fill_hedge_context(call, &context);
	delay = hedge_delay_us(&call->service->hedge, &context, now);
	if (delay >= 0)
		call_start_timer(call, &call->hedge_timer, delay);
}

void call_stop_patience(struct call *call)
{
	ev_timer_stop(call->entry->daemon->loop, &call->patience_timer);
	call->queried_attempt = NULL;
}

/* Restarts the time after which the owner is asked whether the attempt is
 * overdue, see deadline_attempt_timeout_us(). */
void call_arm_patience(struct call *call)
{
	int64_t patience_us =
		deadline_attempt_timeout_us(call->deadline_us, clock_mono_us());

	call_stop_patience(call);
	if (patience_us < DEADLINE_OVERDUE_REPLY_MIN_US)
		return;
	call_start_timer(call, &call->patience_timer, patience_us);
}

static void handle_hedge(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct service_upstream *upstream;
	struct hedge_context context;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)events;
	if (LIST_EMPTY(&call->active) || !call->body_ends ||
	    call->body_exceeds_buffer)
		return;
	call_fill_hedge_context(call, &context);
	if (!hedge_take(&call->service->hedge, &context, now))
		return;
	upstream = call_choose_parallel(call, now);
	if (!upstream)
		return;
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->hedges++;
	counters.entry_hedges++;
	entry_attempt_send(call, upstream, false, true);
}

/*
 * The outstanding attempt gives no answer: its upstream hangs, or its host has
 * lost power. Sends a second attempt in parallel, within the retry budget. The
 * first attempt keeps running: if it were cancelled and the second failed too,
 * the call would have lost both.
 */
static void call_overtake(struct call *call)
{
	struct entry_attempt *slow = LIST_FIRST(&call->active);
	struct retry_context context;
	struct service_upstream *upstream;
	enum retry_verdict verdict;
	int64_t now = clock_mono_us();

	call->queried_attempt = NULL;
	if (!slow || LIST_NEXT(slow, link) || call->body_exceeds_buffer ||
	    !call->body_ends)
		return;
	call_fill_retry_context(call, RETRY_OUTCOME_UNKNOWN, &context);
	verdict = retry_decide(&call->service->retry, &context,
			       &call->entry->random, now)
			  .verdict;
	if (verdict != RETRY_GO) {
		call_log_event(call, EV_ENTRY_NOT_OVERTAKEN,
			       LOG_STR("host", slow->upstream->host),
			       LOG_STR("verdict", retry_verdict_name(verdict)),
			       LOG_INT("budget_left",
				       (int64_t)retry_available(
					       &call->service->retry, now)),
			       LOG_INT("out_us", now - slow->sent_us));
		return;
	}
	upstream = call_choose_parallel(call, now);
	if (!upstream)
		return;
	counters.entry_impatient++;
	slow->is_overtaken = true;
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->attempts++;
	entry_attempt_send(call, upstream, false, true);
}

void call_note_overdue_reply(struct entry_attempt *attempt, bool is_overdue)
{
	struct call *call = attempt->call;

	if (call->queried_attempt != attempt)
		return;
	if (is_overdue)
		call_overtake(call);
	else
		call_arm_patience(call);
}

static void call_query_owner(struct call *call)
{
	struct entry_attempt *attempt = LIST_FIRST(&call->active);

	call->queried_attempt = attempt;
	entry_attempt_query_overdue(attempt);
	call_start_timer(call, &call->patience_timer,
			 deadline_overdue_reply_us(&attempt->upstream->rtt));
}

/* Asks the owner whether the attempt is overdue. If the owner has not replied
 * by the next expiry, overtakes the attempt. */
static void handle_patience(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;

	(void)loop;
	(void)events;
	if (LIST_EMPTY(&call->active))
		return;
	if (!call->queried_attempt) {
		call_query_owner(call);
		return;
	}
	service_upstream_note_mute(call->queried_attempt->upstream,
				   clock_mono_us());
	call_overtake(call);
}

static void handle_queue_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;

	(void)loop;
	(void)events;
	if (call->answering_attempt)
		return;
	/* A slot that is busy now is most likely free after a typical run. */
	call->min_come_back_ms =
		(uint32_t)(call_typical_service_time_us(call) / US_PER_MS);
	call_stop_retrying(call);
}

/*
 * The first request of a connection has no other behind it when its owner takes
 * it, so it may queue there until its deadline. Without the queue timer, the
 * requests that arrive behind it would wait as long, although their answers are
 * ready. The symptoms are entry.failed with the reason deadline and a took_us
 * far beyond the target, and late answers that an upstream gave in time. An
 * attempt that already runs is not cancelled.
 */
void call_note_holds_others(struct call *call)
{
	int64_t queue_until_us = call->began_us +
				 call->rule->target_ms * US_PER_MS -
				 call_typical_service_time_us(call);

	if (call->holds_others || call->rule->target_ms == 0)
		return;
	call->holds_others = true;
	call_start_timer(call, &call->queue_timer,
			 queue_until_us - clock_mono_us());
}

void call_init_parallel(struct call *call)
{
	ev_init(&call->queue_timer, handle_queue_timeout);
	call->queue_timer.data = call;
	ev_init(&call->hedge_timer, handle_hedge);
	ev_init(&call->patience_timer, handle_patience);
	call->hedge_timer.data = call;
	call->patience_timer.data = call;
}
