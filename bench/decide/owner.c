#include <string.h>

#include "bench/decide/replay_internal.h"
#include "common/clock.h"

#define FAIL_FAST_US 100
/* At the start of a cold upstream, work takes 1 + COLD_EXTRA times as long. */
#define COLD_EXTRA 4.0
#define PROBE_PERMILLE 5

/* Without the queue module, an owner's queue is unbounded. */
#define UNBOUNDED_ITEMS UINT32_MAX

static void owner_dispatch(struct replay *r, struct replay_owner *owner);

void replay_owner_init(struct replay *r, struct replay_owner *owner)
{
	bool bounded = replay_has(r, REPLAY_QUEUE);
	struct queue_options options = {
		.policy = bounded ? &queue_by_deadline : &queue_fifo,
		.fair = replay_has(r, REPLAY_FAIR),
		.seed = random_u64(&r->random),
		.max_items = bounded ? 0 : UNBOUNDED_ITEMS,
	};

	owner->factor = 1.0;
	owner->queue = g_new0(struct queue, 1);
	owner->stale_us = INT64_MAX;
	queue_init(owner->queue, &options);
	replay_gate_init(r, owner);
	limit_init(&owner->limit,
		   replay_has(r, REPLAY_LIMIT) ? &limit_adaptive : &limit_fixed,
		   r->trace->slots, 0);
	warm_begin(&owner->warm, 0, 0);
	measure_init(&owner->measure, r->trace->slots, PROBE_PERMILLE, 0);
	if (replay_has(r, REPLAY_MEASURE) && r->options->policy)
		events_add(&r->events, MEASURE_FRESH_US, replay_handle_probe,
			   owner);
}

void replay_owner_finish(struct replay_owner *owner)
{
	queue_finish(owner->queue);
	g_free(owner->queue);
}

static struct queue_slots owner_slots(const struct replay *r,
				      const struct replay_owner *owner)
{
	uint32_t limit = limit_current(&owner->limit);
	struct queue_slots slots = {.running = owner->running, .limit = limit};

	if (replay_has(r, REPLAY_WARM))
		slots.limit = warm_slots(&owner->warm, limit, r->events.now_us);
	return slots;
}

static struct replay_owner *owner_of(struct replay *r,
				     const struct replay_attempt *attempt)
{
	return &r->owners[attempt->upstream];
}

struct pick_load replay_owner_load(const struct replay *r,
				   const struct replay_owner *owner)
{
	struct queue_slots slots = owner_slots(r, owner);
	struct pick_load load = {
		.running = slots.running,
		.queued = queue_length(owner->queue),
		.limit = slots.limit,
		.expected_wait_us = (uint32_t)MIN(
			queue_expected_wait_us(owner->queue, &slots), UINT32_MAX),
		.service_us = (uint32_t)MIN(speed_us(&owner->speed), UINT32_MAX),
		.pace_percent = owner->pace.percent,
	};

	return load;
}

static void owner_answer(struct replay *r, struct replay_attempt *attempt,
			 enum retry_outcome outcome)
{
	attempt->over = true;
	attempt->outcome = outcome;
	attempt->load = replay_owner_load(r, owner_of(r, attempt));
	replay_after(r, replay_delay_us(r, attempt), replay_handle_answer,
		     attempt);
}

static void owner_refuse(struct replay *r, struct replay_attempt *attempt,
			 enum queue_verdict verdict, uint32_t retry_after_ms)
{
	attempt->retry_after_us = retry_after_ms * US_PER_MS;
	attempt->refused_us = r->events.now_us;
	owner_answer(r, attempt,
		     verdict == QUEUE_REFUSED_BUSY ? RETRY_OUTCOME_BUSY :
						     RETRY_OUTCOME_OVERLOAD);
}

void replay_owner_refuse(struct replay *r, struct replay_attempt *attempt,
			 enum retry_outcome outcome)
{
	const struct replay_owner *owner = owner_of(r, attempt);
	struct queue_slots slots = owner_slots(r, owner);

	attempt->retry_after_us =
		queue_retry_after_ms(owner->queue, &slots) * US_PER_MS;
	attempt->refused_us = r->events.now_us;
	owner_answer(r, attempt, outcome);
}

static double cold_factor(const struct replay_owner *owner, int64_t now_us)
{
	uint32_t permille = warm_weight_permille(&owner->warm, now_us);

	return 1.0 + COLD_EXTRA * (WARM_FULL_PERMILLE - permille) /
			     WARM_FULL_PERMILLE;
}

/* Ends a run. A cancelled run stops at once; its end timer then finds that it
 * is no longer running. */
static void owner_finish_run(struct replay *r, struct replay_attempt *attempt,
			     enum limit_outcome outcome)
{
	struct replay_owner *owner = owner_of(r, attempt);
	int64_t whole_us = r->events.now_us - attempt->started_us;
	int64_t took_us = pace_nominal_us(attempt->pace_percent, whole_us);

	attempt->running = false;
	limit_note_done(&owner->limit, whole_us, outcome, owner->running,
			r->events.now_us);
	if (outcome != LIMIT_OUTCOME_CANCELLED) {
		queue_note_done(owner->queue, attempt->item.class, took_us);
		measure_note_traffic(&owner->measure, r->events.now_us);
	}
	if (outcome == LIMIT_OUTCOME_OK)
		speed_note_answer(&owner->speed, took_us);
	else if (outcome == LIMIT_OUTCOME_FAILED)
		speed_note_error(&owner->speed);
	owner->running--;
}

static void handle_end(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct replay_call *call = attempt->call;
	int64_t at_caller_us = r->events.now_us + replay_delay_us(r, attempt);

	if (!attempt->running)
		return;
	replay_note_run(r, attempt,
			!attempt->error && !call->closed && !attempt->dropped &&
				at_caller_us <= call->deadline_us);
	owner_finish_run(r, attempt,
			 attempt->error ? LIMIT_OUTCOME_FAILED :
					  LIMIT_OUTCOME_OK);
	replay_gate_note(r, owner_of(r, attempt));
	owner_answer(r, attempt, RETRY_OUTCOME_ANSWERED);
	owner_dispatch(r, owner_of(r, attempt));
}

static void owner_start(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_owner *owner = owner_of(r, attempt);
	double factor = owner->factor * cold_factor(owner, r->events.now_us);
	int64_t work_us =
		(int64_t)((double)attempt->call->trace->work_us * factor);

	replay_note_start(r, attempt->upstream);
	owner->running++;
	attempt->running = true;
	attempt->pace_percent = owner->pace.percent;
	attempt->started_us = r->events.now_us;
	attempt->error = owner->fault == TRACE_FAULT_FAST;
	replay_after(r, attempt->error ? FAIL_FAST_US : work_us, handle_end,
		     attempt);
}

static void owner_refuse_late(struct replay *r, struct replay_owner *owner,
			      struct queue_item *item)
{
	struct queue_slots slots = owner_slots(r, owner);

	owner_refuse(r, (struct replay_attempt *)item, QUEUE_REFUSED_STALE,
		     queue_retry_after_ms(owner->queue, &slots));
}

static void handle_stale(void *replay, void *data)
{
	struct replay_owner *owner = data;

	owner->stale_us = INT64_MAX;
	owner_dispatch(replay, owner);
}

static void set_stale_timer(struct replay *r, struct replay_owner *owner)
{
	int64_t at_us = queue_next_stale_us(owner->queue);

	if (at_us >= owner->stale_us)
		return;
	owner->stale_us = at_us;
	events_add(&r->events, MAX(at_us, r->events.now_us), handle_stale, owner);
}

static void start_waiting(struct replay *r, struct replay_owner *owner)
{
	for (;;) {
		struct queue_slots slots = owner_slots(r, owner);
		enum queue_verdict verdict;
		struct queue_item *item;

		if (slots.running >= slots.limit)
			return;
		item = queue_pop(owner->queue, r->events.now_us, &verdict);
		if (!item)
			return;
		if (verdict != QUEUE_ACCEPTED)
			owner_refuse_late(r, owner, item);
		else if (replay_gate_may_start(r, (struct replay_attempt *)item))
			owner_start(r, (struct replay_attempt *)item);
	}
}

static void owner_dispatch(struct replay *r, struct replay_owner *owner)
{
	struct queue_item *item;

	while ((item = queue_pop_stale(owner->queue, r->events.now_us)))
		owner_refuse_late(r, owner, item);
	start_waiting(r, owner);
	set_stale_timer(r, owner);
}

void replay_handle_arrival(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;

	if (owner_of(r, attempt)->fault == TRACE_FAULT_SILENT)
		return;
	attempt->arrived = true;
	replay_gate_offer(r, attempt);
}

void replay_owner_offer(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_owner *owner = owner_of(r, attempt);
	struct queue_slots slots = owner_slots(r, owner);
	enum queue_verdict verdict;
	uint32_t retry_after_ms;

	verdict = queue_offer(owner->queue, &attempt->item, &slots,
			      r->events.now_us, &retry_after_ms);
	if (verdict == QUEUE_ACCEPTED)
		owner_dispatch(r, owner);
	else
		owner_refuse(r, attempt, verdict, retry_after_ms);
}

/* A waiting attempt is not run. A running one is stopped if it is
 * idempotent. */
void replay_handle_cancel(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct replay_owner *owner = owner_of(r, attempt);

	if (attempt->over || !attempt->arrived)
		return;
	if (!attempt->running) {
		if (!replay_gate_forget(r, attempt))
			queue_remove(owner->queue, &attempt->item);
		attempt->refused_us = r->events.now_us;
		owner_answer(r, attempt, RETRY_OUTCOME_FINAL);
	} else if (attempt->call->trace->idempotent) {
		replay_note_run(r, attempt, false);
		owner_finish_run(r, attempt, LIMIT_OUTCOME_CANCELLED);
		owner_answer(r, attempt, RETRY_OUTCOME_UNKNOWN);
		owner_dispatch(r, owner);
	}
}

void replay_handle_ask(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;

	bool overdue;

	if (attempt->over || !attempt->arrived)
		return;
	overdue = attempt->running &&
		  deadline_is_overdue(attempt->started_us,
				      attempt->item.deadline_us,
				      r->events.now_us);
	replay_after(r, replay_delay_us(r, attempt),
		     overdue ? replay_handle_overdue : replay_handle_waiting,
		     attempt);
}

static void handle_probe_end(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_owner *owner = data;

	measure_end(&owner->measure, MEASURE_PROBE_COST_US, r->events.now_us);
	replay_handle_probe(r, owner);
}

void replay_handle_probe(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_owner *owner = data;
	int64_t now_us = r->events.now_us;
	int64_t next_us;

	if (now_us >= trace_length_us(r->trace))
		return;
	if (measure_try_begin(&owner->measure, now_us) == MEASURE_BEGIN) {
		r->result->probes++;
		r->result->probed_us += MEASURE_PROBE_COST_US;
		replay_after(r, MEASURE_PROBE_COST_US, handle_probe_end, owner);
		return;
	}
	next_us = measure_next_us(&owner->measure, now_us);
	if (next_us != INT64_MAX)
		events_add(&r->events, MAX(next_us, now_us + US_PER_MS),
			   replay_handle_probe, owner);
}

void replay_note_run(struct replay *r, const struct replay_attempt *attempt,
		     bool is_useful)
{
	int64_t took_us = r->events.now_us - attempt->started_us;

	if (!replay_is_judged(r, r->events.now_us))
		return;
	r->result->used_us += took_us;
	if (!is_useful)
		r->result->wasted_us += took_us;
}
