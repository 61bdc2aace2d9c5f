#include "bench/decide/replay_internal.h"
#include "common/clock.h"

/* Round trip of a pace query to the upstream. */
#define GAUGE_US 500
#define GAUGES_PER_S 60.0
#define GAUGES_AT_ONCE 15.0
/* The same values as in comfreydockd/upstream/gate.c. */
#define ASK_HELD_US ((int64_t)20 * 1000)
#define ASK_SLOW_US ((int64_t)40 * 1000)

static void gate_review(struct replay *r, struct replay_owner *owner);

void replay_gate_init(struct replay *r, struct replay_owner *owner)
{
	(void)r;
	TAILQ_INIT(&owner->held);
	owner->ask_us = INT64_MAX;
	owner->tokens = GAUGES_AT_ONCE;
}

static bool take_token(struct replay_owner *owner, int64_t now_us)
{
	double more =
		(double)(now_us - owner->refilled_us) / US_PER_S * GAUGES_PER_S;

	owner->refilled_us = now_us;
	owner->tokens = MIN(owner->tokens + more, GAUGES_AT_ONCE);
	if (owner->tokens < 1.0)
		return false;
	owner->tokens -= 1.0;
	return true;
}

static void send_load_reports(struct replay *r, const struct replay_owner *owner)
{
	uint32_t upstream = (uint32_t)(owner - r->owners);

	for (uint32_t i = 0; i < r->trace->entries; i++) {
		struct replay_report *report = g_new0(struct replay_report, 1);
		bool is_local = replay_is_local(r, i, upstream);

		report->entry = i;
		report->upstream = upstream;
		report->load = replay_owner_load(r, owner);
		g_ptr_array_add(r->reports, report);
		replay_after(r, is_local ? 0 : r->trace->delay_us,
			     replay_handle_report, report);
	}
}

static bool has_gate(const struct replay *r)
{
	return r->trace->tells_pace && replay_has(r, REPLAY_PACE);
}

void replay_gate_note(struct replay *r, struct replay_owner *owner)
{
	uint32_t percent = (uint32_t)(owner->factor * PACE_NOMINAL_PERCENT);

	if (!has_gate(r))
		return;
	if (pace_note(&owner->pace, percent, r->events.now_us) &&
	    replay_has(r, REPLAY_TELL))
		send_load_reports(r, owner);
}

static void handle_gauge(void *replay, void *data)
{
	struct replay_owner *owner = data;

	owner->is_asking = false;
	replay_gate_note(replay, owner);
	gate_review(replay, owner);
}

static bool gate_ask(struct replay *r, struct replay_owner *owner)
{
	if (owner->is_asking)
		return true;
	if (!take_token(owner, r->events.now_us))
		return false;
	r->result->gauges++;
	owner->is_asking = true;
	replay_after(r, GAUGE_US, handle_gauge, owner);
	return true;
}

static void gate_arm(struct replay *r, struct replay_owner *owner);

static void handle_timer(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_owner *owner = data;

	if (r->events.now_us != owner->ask_us)
		return;
	owner->ask_us = INT64_MAX;
	if (!gate_ask(r, owner))
		gate_review(r, owner);
	else
		gate_arm(r, owner);
}

static void gate_arm(struct replay *r, struct replay_owner *owner)
{
	bool is_held = !TAILQ_EMPTY(&owner->held);

	owner->ask_us = INT64_MAX;
	if (r->events.now_us > trace_length_us(r->trace) && !is_held)
		return;
	if (!is_held && !pace_is_slow(&owner->pace))
		return;
	owner->ask_us = r->events.now_us + (is_held ? ASK_HELD_US : ASK_SLOW_US);
	events_add(&r->events, owner->ask_us, handle_timer, owner);
}

static void gate_hold(struct replay_owner *owner, struct replay_attempt *attempt)
{
	if (attempt->held)
		return;
	attempt->held = true;
	TAILQ_INSERT_TAIL(&owner->held, attempt, held_link);
}

bool replay_gate_forget(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_owner *owner = &r->owners[attempt->upstream];

	if (!attempt->held)
		return false;
	attempt->held = false;
	TAILQ_REMOVE(&owner->held, attempt, held_link);
	return true;
}

static enum pace_verdict gate_judge(const struct replay *r,
				    const struct replay_owner *owner,
				    const struct replay_attempt *attempt)
{
	struct pace_item item = {
		.may_turn_back = !attempt->item.may_queue,
		.slots_scarce = 2 * owner->running >= r->trace->slots,
		.best_other_percent = attempt->other_pace_percent,
		.work_us = queue_known_service_us(owner->queue,
						  attempt->item.class),
		.target_us = attempt->item.target_us,
		.deadline_us = attempt->item.deadline_us,
	};

	return pace_judge(&owner->pace, &item, r->events.now_us);
}

static bool gate_decide(struct replay *r, struct replay_owner *owner,
			struct replay_attempt *attempt)
{
	switch (gate_judge(r, owner, attempt)) {
	case PACE_TURN_BACK:
		replay_gate_forget(r, attempt);
		replay_owner_refuse(r, attempt, RETRY_OUTCOME_NOT_HERE);
		return false;
	case PACE_TOO_LATE:
		replay_gate_forget(r, attempt);
		replay_owner_refuse(r, attempt, RETRY_OUTCOME_OVERLOAD);
		return false;
	case PACE_HOLD:
		gate_hold(owner, attempt);
		return false;
	case PACE_START:
		break;
	}
	return true;
}

static void gate_pass(struct replay *r, struct replay_owner *owner,
		      struct replay_attempt *attempt)
{
	if (!gate_decide(r, owner, attempt))
		return;
	replay_gate_forget(r, attempt);
	replay_owner_offer(r, attempt);
}

bool replay_gate_may_start(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_owner *owner = &r->owners[attempt->upstream];

	if (!has_gate(r) || !replay_has(r, REPLAY_REJUDGE) ||
	    gate_decide(r, owner, attempt))
		return true;
	gate_arm(r, owner);
	return false;
}

static void gate_review(struct replay *r, struct replay_owner *owner)
{
	struct replay_attempt *attempt = TAILQ_FIRST(&owner->held);

	while (attempt) {
		struct replay_attempt *next = TAILQ_NEXT(attempt, held_link);

		gate_pass(r, owner, attempt);
		attempt = next;
	}
	gate_arm(r, owner);
}

void replay_gate_offer(struct replay *r, struct replay_attempt *attempt)
{
	struct replay_owner *owner = &r->owners[attempt->upstream];

	if (!has_gate(r)) {
		replay_owner_offer(r, attempt);
		return;
	}
	if (!pace_is_fresh(&owner->pace, r->events.now_us) && gate_ask(r, owner)) {
		gate_hold(owner, attempt);
		return;
	}
	gate_pass(r, owner, attempt);
	gate_arm(r, owner);
}
