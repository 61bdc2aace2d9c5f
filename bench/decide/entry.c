#include <string.h>

#include "bench/decide/replay_internal.h"

#define MAX_ATTEMPTS 3
#define RETRY_PERCENT 10
#define HEDGE_PERCENT 5
#define HEALTH_TICK_US ((int64_t)100 * 1000)

static void call_send(struct replay *r, struct replay_call *call, bool is_hedge,
		      bool may_queue, struct pick_candidate *candidate);

void replay_entry_init(struct replay *r, uint32_t number)
{
	struct replay_entry *entry = &r->entries[number];
	const struct pick_policy *policy = r->options->policy;

	pick_set_init(&entry->set, policy ? policy : pick_default_policy,
		      random_u64(&r->random));
	retry_init(&entry->retry,
		   replay_has(r, REPLAY_RETRY) ? RETRY_PERCENT : 0);
	hedge_init(&entry->hedge, HEDGE_PERCENT);
	health_init(&entry->health,
		    replay_has(r, REPLAY_HEALTH) ? &health_outlier : &health_none,
		    random_u64(&r->random));
	entry->candidates = g_new0(struct pick_candidate, r->trace->upstreams);
	entry->upstreams = g_new0(struct health_upstream, r->trace->upstreams);
	entry->paths = g_new0(struct deadline_path, r->trace->upstreams);
	for (uint32_t i = 0; i < r->trace->upstreams; i++) {
		struct pick_candidate *c = &entry->candidates[i];

		pick_candidate_init(c, i + 1);
		c->usable = true;
		c->slots = r->trace->slots;
		c->local = replay_is_local(r, number, i);
		pick_set_add(&entry->set, c);
		health_add(&entry->health, &entry->upstreams[i], true);
	}
}

void replay_entry_finish(struct replay_entry *entry)
{
	pick_set_finish(&entry->set);
	g_free(entry->candidates);
	g_free(entry->upstreams);
	g_free(entry->paths);
}

static struct replay_entry *entry_of(struct replay *r,
				     const struct replay_call *call)
{
	return &r->entries[call->trace->entry];
}

static bool call_is_active(const struct replay_call *call)
{
	return call->active[0] || call->active[1];
}

/* What an end of an attempt tells pick and health. */

static void tell_pick(struct replay *r, struct replay_entry *entry,
		      const struct replay_attempt *attempt)
{
	struct pick_candidate *c = &entry->candidates[attempt->upstream];
	int64_t now_us = r->events.now_us;
	int64_t latency_us =
		pace_usual_us(attempt->pace_percent, now_us - attempt->sent_us);
	bool busy = attempt->outcome == RETRY_OUTCOME_BUSY;

	r->result->refusals += busy;
	if (attempt->outcome == RETRY_OUTCOME_UNKNOWN)
		pick_note_failed(&entry->set, c, latency_us, NULL, now_us);
	else if (attempt->outcome != RETRY_OUTCOME_ANSWERED)
		pick_note_refused(&entry->set, c, busy, &attempt->load, now_us);
	else if (attempt->error)
		pick_note_failed(&entry->set, c, latency_us, &attempt->load,
				 now_us);
	else
		pick_note_done(&entry->set, c, latency_us, &attempt->load,
			       now_us);
	if (busy)
		deadline_path_note(&entry->paths[attempt->upstream], latency_us);
}

static void tell_health(struct replay *r, struct replay_entry *entry,
			const struct replay_attempt *attempt, bool timed_out)
{
	struct health_upstream *upstream = &entry->upstreams[attempt->upstream];
	enum health_outcome outcome = attempt->error ? HEALTH_ERROR : HEALTH_OK;
	int64_t now_us = r->events.now_us;

	if (attempt->outcome == RETRY_OUTCOME_ANSWERED)
		health_note_ended(&entry->health, upstream, attempt->epoch,
				  outcome, now_us);
	else if (attempt->outcome == RETRY_OUTCOME_UNKNOWN && timed_out)
		health_note_ended(&entry->health, upstream, attempt->epoch,
				  HEALTH_TIMEOUT, now_us);
	else
		health_note_refused(&entry->health, upstream, attempt->epoch,
				    attempt->outcome != RETRY_OUTCOME_UNKNOWN,
				    now_us);
}

void replay_handle_report(void *replay, void *data)
{
	struct replay *r = replay;
	const struct replay_report *report = data;
	struct replay_entry *entry = &r->entries[report->entry];

	pick_note_load(&entry->set, &entry->candidates[report->upstream],
		       &report->load, r->events.now_us);
}

static void tell_end(struct replay *r, struct replay_attempt *attempt,
		     bool timed_out)
{
	struct replay_call *call = attempt->call;
	struct replay_entry *entry = entry_of(r, call);

	tell_pick(r, entry, attempt);
	tell_health(r, entry, attempt, timed_out);
	call->active[attempt->is_hedge] = NULL;
}

/* Gives up what is out. */
static void call_drop_attempts(struct replay *r, struct replay_call *call,
			       bool timed_out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(call->active); i++) {
		struct replay_attempt *attempt = call->active[i];

		if (!attempt)
			continue;
		attempt->outcome = RETRY_OUTCOME_UNKNOWN;
		tell_end(r, attempt, timed_out || attempt->is_overtaken);
		attempt->dropped = true;
		replay_after(r, replay_delay_us(r, attempt),
			     replay_handle_cancel, attempt);
	}
}

static void call_finish_unanswered(struct replay *r, struct replay_call *call)
{
	if (call->may_have_run)
		replay_note_unknown(r, call);
	else
		replay_note_not_run(r, call);
}

/* Takes over what health and the ramps say, as a daemon does between events. */
static void entry_refresh(struct replay *r, struct replay_entry *entry)
{
	int64_t now_us = r->events.now_us;

	if (now_us - entry->ticked_us >= HEALTH_TICK_US) {
		health_tick(&entry->health, now_us);
		entry->ticked_us = now_us;
	}
	for (uint32_t i = 0; i < r->trace->upstreams; i++) {
		struct pick_candidate *c = &entry->candidates[i];

		c->usable = health_is_usable(&entry->upstreams[i]);
		if (replay_has(r, REPLAY_WARM))
			c->warm = (double)warm_weight_permille(
					  &r->owners[i].warm, now_us) /
				  WARM_FULL_PERMILLE;
	}
}

static void call_fill_hedge_question(struct replay *r,
				     const struct replay_call *call,
				     struct hedge_question *question)
{
	*question = (struct hedge_question){
		.enabled = replay_has(r, REPLAY_HEDGE),
		.idempotent = call->trace->idempotent,
		.hedges = call->hedges,
		.untried = pick_count_untried(&entry_of(r, call)->set,
					      &call->tried),
		.deadline_us = call->deadline_us,
	};
}

/* Timers carry the attempt that they were set for. */

static void handle_hedge(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;
	struct replay_entry *entry = entry_of(r, call);
	struct hedge_question question;
	struct pick_candidate *c;

	if (call->closed || call->active[0] != attempt)
		return;
	call_fill_hedge_question(r, call, &question);
	if (!hedge_take(&entry->hedge, &question, r->events.now_us))
		return;
	entry_refresh(r, entry);
	c = pick_choose(&entry->set, &call->tried, r->events.now_us);
	if (c)
		call_send(r, call, true, false, c);
}

static void call_decide(struct replay *r, struct replay_call *call,
			enum retry_outcome outcome, int64_t retry_after_us);
static uint32_t call_most_attempts(const struct replay *r);

static uint32_t call_work_attempts(const struct replay_call *call)
{
	return call->attempts - call->busy - call->unheard;
}

/* Another attempt beside one that gives nothing. */
static void call_overtake(struct replay *r, struct replay_call *call)
{
	struct replay_entry *entry = entry_of(r, call);
	struct retry_question question = {
		.outcome = RETRY_OUTCOME_UNKNOWN,
		.idempotent = call->trace->idempotent,
		.untried = pick_count_untried(&entry->set, &call->tried),
		.deadline_us = call->deadline_us,
		.expected_us = (int64_t)entry->set.typical_service_us,
		.attempts = call_work_attempts(call),
		.max_attempts = call_most_attempts(r),
	};
	struct pick_candidate *c;

	call->is_impatient = false;
	if (!call->active[0] || call->active[1])
		return;
	if (question.untried == 0 ||
	    retry_decide(&entry->retry, &question, &r->random, r->events.now_us)
			    .verdict != RETRY_GO)
		return;
	entry_refresh(r, entry);
	c = pick_choose(&entry->set, &call->tried, r->events.now_us);
	if (!c)
		return;
	call->active[0]->is_overtaken = true;
	call_send(r, call, true, false, c);
}

static void handle_no_verdict(void *replay, void *data)
{
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;

	if (call->closed || call->active[0] != attempt || !call->is_impatient)
		return;
	call_overtake(replay, call);
}

void replay_handle_overdue(void *replay, void *data)
{
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;

	if (attempt->dropped || call->closed || !call->is_impatient)
		return;
	call_overtake(replay, call);
}

static void call_arm_patience(struct replay *r, struct replay_attempt *attempt);

static void handle_patience(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;
	struct replay_entry *entry = entry_of(r, call);

	if (call->closed || call->active[0] != attempt)
		return;
	call->is_impatient = true;
	for (size_t i = 0; i < G_N_ELEMENTS(call->active); i++) {
		if (call->active[i])
			replay_after(r, replay_delay_us(r, call->active[i]),
				     replay_handle_ask, call->active[i]);
	}
	replay_after(r, deadline_verdict_us(&entry->paths[attempt->upstream]),
		     handle_no_verdict, attempt);
}

static void call_arm_patience(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_call *call = attempt->call;
	struct deadline_path *path = &entry_of(r, call)->paths[attempt->upstream];
	int64_t patience_us =
		deadline_patience_us(call->deadline_us, r->events.now_us);

	if (patience_us > deadline_verdict_us(path))
		replay_after(r, patience_us, handle_patience, attempt);
}

/* It waits, or was started late, and keeps its place. */
void replay_handle_waiting(void *replay, void *data)
{
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;

	if (attempt->dropped || !call->is_impatient || !call->active[0])
		return;
	call->is_impatient = false;
	call_arm_patience(replay, call->active[0]);
}

static uint32_t call_most_attempts(const struct replay *r)
{
	return replay_has(r, REPLAY_RETRY) ? MAX_ATTEMPTS : 1;
}

static void call_arm(struct replay *r, struct replay_call *call,
		     struct replay_attempt *attempt)
{
	struct replay_entry *entry = entry_of(r, call);
	int64_t now_us = r->events.now_us;
	struct hedge_question question;
	int64_t delay_us;

	call_fill_hedge_question(r, call, &question);
	delay_us = hedge_delay_us(&entry->hedge, &question, now_us);
	if (delay_us >= 0)
		replay_after(r, delay_us, handle_hedge, attempt);
	if (call->trace->idempotent &&
	    call_work_attempts(call) < call_most_attempts(r))
		call_arm_patience(r, attempt);
}

static void call_send(struct replay *r, struct replay_call *call, bool is_hedge,
		      bool may_queue, struct pick_candidate *candidate)
{
	struct replay_entry *entry = entry_of(r, call);
	struct replay_attempt *attempt = replay_attempt_new(r, call);
	int64_t now_us = r->events.now_us;
	int64_t path_us;

	attempt->upstream = (uint32_t)(candidate - entry->candidates);
	attempt->is_hedge = is_hedge;
	attempt->sent_us = now_us;
	attempt->item.may_queue = may_queue;
	path_us = deadline_path_us(&entry->paths[attempt->upstream]);
	if (replay_has(r, REPLAY_DEADLINE))
		attempt->item.deadline_us =
			now_us + replay_delay_us(r, attempt) +
			deadline_for_hop_us(call->deadline_us, path_us, now_us);
	pick_tried_add(&call->tried, candidate->id);
	attempt->other_pace_percent =
		pick_other_pace(&entry->set, candidate, &call->tried, now_us);
	pick_note_sent(&entry->set, candidate);
	attempt->epoch = health_note_sent(
		&entry->health, &entry->upstreams[attempt->upstream], now_us);
	call->active[is_hedge] = attempt;
	call->is_impatient &= is_hedge;
	call->hedges += is_hedge;
	call->attempts += !is_hedge;
	r->result->attempts++;
	r->result->hedges += is_hedge;
	r->result->remote +=
		!replay_is_local(r, call->trace->entry, attempt->upstream);
	replay_after(r, replay_delay_us(r, attempt), replay_handle_arrival,
		     attempt);
	if (!is_hedge)
		call_arm(r, call, attempt);
}

/* As in comfreydockd/caller/call.c: goes back, once, to those that only had no
 * room at the time. */
static bool call_return_to_busy(struct replay_call *call)
{
	if (call->returns || call->tried_busy.count == 0)
		return false;
	call->returns = true;
	pick_tried_forget(&call->tried, &call->tried_busy);
	return true;
}

static void handle_next(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_call *call = data;
	struct replay_entry *entry = entry_of(r, call);
	struct pick_candidate *c;
	bool may_queue;

	if (call->closed)
		return;
	entry_refresh(r, entry);
	c = pick_choose(&entry->set, &call->tried, r->events.now_us);
	if (!c && call_return_to_busy(call))
		c = pick_choose(&entry->set, &call->tried, r->events.now_us);
	if (!c) {
		call_finish_unanswered(r, call);
		return;
	}
	may_queue = !replay_has(r, REPLAY_BUSY) ||
		    pick_may_queue(&entry->set, c, &call->tried,
				   call->returns || call->busy >= RETRY_BUSY_MAX,
				   r->events.now_us);
	call_send(r, call, false, may_queue, c);
}

static void call_decide(struct replay *r, struct replay_call *call,
			enum retry_outcome outcome, int64_t retry_after_us)
{
	struct replay_entry *entry = entry_of(r, call);
	bool busy = outcome == RETRY_OUTCOME_BUSY;
	struct retry_question question = {
		.outcome = outcome,
		.idempotent = call->trace->idempotent,
		.untried = pick_count_untried(&entry->set, &call->tried),
		.deadline_us = call->deadline_us,
		.expected_us = (int64_t)entry->set.typical_service_us,
		.retry_after_us = retry_after_us,
	};
	struct retry_answer answer;

	call->busy += busy;
	call->unheard += !busy && !retry_counts(outcome);
	if ((busy || !retry_counts(outcome)) && question.untried == 0 &&
	    call_return_to_busy(call))
		question.untried = pick_count_untried(&entry->set, &call->tried);
	question.attempts = busy ? call->busy : call_work_attempts(call);
	question.max_attempts = busy ? RETRY_BUSY_MAX + 1 : call_most_attempts(r);
	answer = retry_decide(&entry->retry, &question, &r->random,
			      r->events.now_us);
	if (answer.verdict == RETRY_GO) {
		r->result->retries += !busy;
		replay_after(r, answer.delay_us, handle_next, call);
		return;
	}
	call->come_back_us = answer.come_back_us;
	call_finish_unanswered(r, call);
}

static void call_take_answer(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_call *call = attempt->call;

	hedge_note_latency(&entry_of(r, call)->hedge,
			   r->events.now_us - call->trace->at_us);
	if (call_is_active(call))
		hedge_note_race(&entry_of(r, call)->hedge, attempt->is_hedge);
	call_drop_attempts(r, call, false);
	replay_note_answer(r, call, attempt->error);
}

void replay_handle_answer(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;

	if (attempt->dropped)
		return;
	tell_end(r, attempt, attempt->outcome == RETRY_OUTCOME_UNKNOWN);
	if (attempt->outcome == RETRY_OUTCOME_ANSWERED) {
		call_take_answer(r, attempt);
		return;
	}
	call->may_have_run |= attempt->outcome == RETRY_OUTCOME_UNKNOWN;
	if (attempt->outcome == RETRY_OUTCOME_BUSY ||
	    attempt->outcome == RETRY_OUTCOME_NOT_HERE)
		pick_tried_add(
			&call->tried_busy,
			entry_of(r, call)->candidates[attempt->upstream].id);
	if (call_is_active(call))
		return;
	call->refused_us = attempt->refused_us;
	call_decide(r, call, attempt->outcome, attempt->retry_after_us);
}

/* Asks the owners to cancel; a "not run" that comes in time is certain. */
static void handle_cancel_time(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_call *call = data;

	for (size_t i = 0; i < G_N_ELEMENTS(call->active); i++) {
		if (call->active[i])
			replay_after(r, replay_delay_us(r, call->active[i]),
				     replay_handle_cancel, call->active[i]);
	}
}

static void handle_deadline(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_call *call = data;

	if (call->closed)
		return;
	call->may_have_run |= call_is_active(call);
	call_drop_attempts(r, call, true);
	call_finish_unanswered(r, call);
}

void replay_handle_call(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_call *call = data;
	struct replay_entry *entry = entry_of(r, call);
	struct replay_attempt *attempt;

	if (!r->options->policy) {
		attempt = replay_attempt_new(r, call);
		attempt->item.may_queue = true;
		replay_after(r, r->trace->delay_us, replay_handle_central,
			     attempt);
		return;
	}
	events_add(&r->events, call->deadline_us, handle_deadline, call);
	if (replay_has(r, REPLAY_DEADLINE))
		events_add(&r->events,
			   deadline_cancel_us(call->trace->at_us,
					      call->deadline_us),
			   handle_cancel_time, call);
	pick_note_request(&entry->set);
	retry_note_request(&entry->retry);
	hedge_note_request(&entry->hedge);
	handle_next(r, call);
}
