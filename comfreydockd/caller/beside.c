#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/hedge.h"
#include "comfreydockd/decide/retry.h"
#include "common/clock.h"
#include "common/counters.h"

static int64_t call_typical_us(const struct call *call)
{
	return (int64_t)call->service->picks.typical_service_us;
}

void call_arm_hedge(struct call *call)
{
	struct hedge_context question;
	int64_t now = clock_mono_us();
	int64_t delay;

	call_fill_hedge_question(call, &question);
	delay = hedge_delay_us(&call->service->hedge, &question, now);
	if (delay >= 0)
		call_start_timer(call, &call->hedge, delay);
}

void call_stop_patience(struct call *call)
{
	ev_timer_stop(call->entry->daemon->loop, &call->patience);
	call->is_impatient = false;
}

/* See deadline_attempt_timeout_us(). */
void call_arm_patience(struct call *call)
{
	int64_t patience_us =
		deadline_attempt_timeout_us(call->deadline_us, clock_mono_us());

	call_stop_patience(call);
	if (patience_us < DEADLINE_OVERDUE_REPLY_MIN_US)
		return;
	call_start_timer(call, &call->patience, patience_us);
}

static void handle_hedge(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct service_upstream *upstream;
	struct hedge_context question;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)events;
	if (LIST_EMPTY(&call->active) || !call->body_ends || call->body_streams)
		return;
	call_fill_hedge_question(call, &question);
	if (!hedge_take(&call->service->hedge, &question, now))
		return;
	upstream = service_choose(call->service, &call->tried, now);
	if (!upstream)
		return;
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->hedges++;
	counters.entry_hedges++;
	entry_attempt_send(call, upstream, false, true);
}

/*
 * The attempt that is out gives nothing: its upstream hangs, or its host has
 * lost its power. Another is sent beside it, within the budget for repeats. The
 * first goes on: broken off, it would be lost where the second fails too.
 */
static void call_overtake(struct call *call)
{
	struct entry_attempt *slow = LIST_FIRST(&call->active);
	struct retry_context question;
	struct service_upstream *upstream;
	enum retry_verdict verdict;
	int64_t now = clock_mono_us();

	call->is_impatient = false;
	if (!slow || LIST_NEXT(slow, link) || call->body_streams ||
	    !call->body_ends)
		return;
	call_fill_retry_question(call, RETRY_OUTCOME_UNKNOWN, &question);
	verdict = retry_decide(&call->service->retry, &question,
			       &call->entry->random, now)
			  .verdict;
	if (verdict != RETRY_GO) {
		call_note(call, EV_ENTRY_NOT_OVERTAKEN,
			  LOG_STR("host", slow->upstream->host),
			  LOG_STR("verdict", retry_verdict_name(verdict)),
			  LOG_INT("budget_left",
				  (int64_t)retry_available(&call->service->retry,
							   now)),
			  LOG_INT("out_us", now - slow->sent_us));
		return;
	}
	upstream = service_choose(call->service, &call->tried, now);
	if (!upstream)
		return;
	counters.entry_impatient++;
	slow->is_overtaken = true;
	pick_tried_add(&call->tried, upstream->candidate.id);
	call->attempts++;
	entry_attempt_send(call, upstream, false, true);
}

void call_note_verdict(struct entry_attempt *attempt, bool is_overdue)
{
	struct call *call = attempt->call;

	if (!call->is_impatient)
		return;
	if (is_overdue)
		call_overtake(call);
	else
		call_arm_patience(call);
}

static void call_ask_owner(struct call *call)
{
	struct entry_attempt *attempt = LIST_FIRST(&call->active);

	call->is_impatient = true;
	entry_attempt_ask(attempt);
	call_start_timer(call, &call->patience,
			 deadline_overdue_reply_us(&attempt->upstream->path));
}

/* First to ask the owner; then, where it does not answer, to overtake it. */
static void handle_patience(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;

	(void)loop;
	(void)events;
	if (LIST_EMPTY(&call->active))
		return;
	if (!call->is_impatient) {
		call_ask_owner(call);
		return;
	}
	service_upstream_note_mute(LIST_FIRST(&call->active)->upstream,
				   clock_mono_us());
	call_overtake(call);
}

static void handle_late(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;

	(void)loop;
	(void)events;
	if (call->answering)
		return;
	/* By then a slot that is taken now is most likely free. */
	call->least_come_back_ms = (uint32_t)(call_typical_us(call) / US_PER_MS);
	call_give_up(call);
}

/*
 * The first request of a connection is alone when its owner takes it, and may
 * wait there to its deadline. Without this, what came behind it waits as long,
 * although it has been answered. One notices entry.failed with the reason deadline
 * and a took_us far beyond the target, and late answers that an upstream gave in
 * time. What runs goes on.
 */
void call_hold_others(struct call *call)
{
	int64_t late_us = call->began_us + call->rule->target_ms * US_PER_MS -
			  call_typical_us(call);

	if (call->holds_others || call->rule->target_ms == 0)
		return;
	call->holds_others = true;
	call_start_timer(call, &call->hold, late_us - clock_mono_us());
}

void call_init_beside(struct call *call)
{
	ev_init(&call->hold, handle_late);
	call->hold.data = call;
	ev_init(&call->hedge, handle_hedge);
	ev_init(&call->patience, handle_patience);
	call->hedge.data = call;
	call->patience.data = call;
}
