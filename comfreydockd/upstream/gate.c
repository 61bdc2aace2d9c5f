#include "comfreydockd/upstream/gate.h"

#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

/* Intervals at which the gate polls the load during a slow spell. While an
 * attempt is held, the interval is a tenth of the time that spells last.
 * Otherwise only the entries wait for the end, and the gate polls half as
 * often. */
#define ASK_INTERVAL_HELD_S 0.02
#define ASK_INTERVAL_SLOW_S 0.04

/* Where traffic between domains has a price, an entry of another domain that has
 * sent no attempt for this time gets no report unasked. Entries of the own domain
 * always do: they choose here first, and without a report would send their
 * requests to hosts that have become slow. */
#define NOTIFY_ATTEMPT_AGE_US (10 * US_PER_S)

static bool gate_ask(struct owner *owner)
{
	const struct config_group *group = NULL;
	struct gauge_target target = {
		.address = owner->announced.address,
		.port = owner->announced.port,
		.instance = owner_instance(owner),
	};

	if (!owner->pool)
		return false;
	group = config_snapshot_group(config_store_current(owner->daemon->config),
				      owner->announced.groups[0]);
	if (!group)
		return false;
	target.path = group->health_path;
	return gauge_ask(owner->gauge, &target);
}

static void gate_arm(struct owner *owner)
{
	struct ev_loop *loop = owner->daemon->loop;
	bool is_held = !TAILQ_EMPTY(&owner->held);

	ev_timer_stop(loop, &owner->gate_timer);
	if (!is_held && !pace_is_slow(&owner->pace))
		return;
	ev_timer_set(&owner->gate_timer,
		     is_held ? ASK_INTERVAL_HELD_S : ASK_INTERVAL_SLOW_S, 0.0);
	ev_timer_start(loop, &owner->gate_timer);
}

static void gate_hold(struct owner *owner, struct owner_attempt *attempt)
{
	if (attempt->is_held)
		return;
	attempt->is_held = true;
	attempt_owner_step(&attempt->state, OWNER_HOLD);
	TAILQ_INSERT_TAIL(&owner->held, attempt, held_link);
}

static enum pace_verdict gate_evaluate(const struct owner *owner,
				       const struct owner_attempt *attempt,
				       int64_t now)
{
	struct pace_item item = {
		.may_turn_back = !attempt->item.may_queue,
		.slots_scarce = 2 * owner_running(owner) >= owner->announced.slots,
		.best_other_percent = attempt->request->other_pace_percent,
		.work_us = queue_known_service_us(&owner->queue,
						  attempt->item.class),
		.target_us = attempt->target_us,
		.deadline_us = attempt->item.deadline_us,
	};

	return pace_judge(&owner->pace, &item, now);
}

static void gate_refuse(struct owner *owner, struct owner_attempt *attempt,
			Cfd__Reason reason)
{
	owner_remove_from_gate(owner, attempt);
	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, reason, owner_retry_after_ms(owner));
}

/* RETURN VALUE: true if the attempt may go on. Otherwise it is held, or was
 * refused and freed. */
static bool gate_decide(struct owner *owner, struct owner_attempt *attempt)
{
	switch (gate_evaluate(owner, attempt, clock_mono_us())) {
	case PACE_TURN_BACK:
		counters.gate_turned_back++;
		gate_refuse(owner, attempt, CFD__REASON__REASON_SLOW);
		return false;
	case PACE_TOO_LATE:
		gate_refuse(owner, attempt, CFD__REASON__REASON_DEADLINE);
		return false;
	case PACE_HOLD:
		gate_hold(owner, attempt);
		return false;
	case PACE_START:
		break;
	}
	return true;
}

static void gate_pass(struct owner *owner, struct owner_attempt *attempt)
{
	if (!gate_decide(owner, attempt))
		return;
	owner_remove_from_gate(owner, attempt);
	owner_enqueue(owner, attempt);
}

bool gate_may_start(struct owner *owner, struct owner_attempt *attempt)
{
	if (gate_decide(owner, attempt))
		return true;
	gate_arm(owner);
	return false;
}

void gate_offer(struct owner *owner, struct owner_attempt *attempt)
{
	if (breaker_turns_back(&owner->breaker, !attempt->request->last_resort,
			       attempt->request->may_repeat, clock_mono_us())) {
		gate_refuse(owner, attempt, CFD__REASON__REASON_FAILING);
		return;
	}
	if ((!pace_is_fresh(&owner->pace, clock_mono_us()) ||
	     !cold_start_is_reported(&owner->cold)) &&
	    gate_ask(owner)) {
		gate_hold(owner, attempt);
		return;
	}
	if (owner_cold_is_outdated(owner))
		gate_ask(owner);
	gate_pass(owner, attempt);
	gate_arm(owner);
}

void gate_review(struct owner *owner)
{
	struct owner_attempt *attempt = TAILQ_FIRST(&owner->held);

	while (attempt) {
		struct owner_attempt *next = TAILQ_NEXT(attempt, held_link);

		gate_pass(owner, attempt);
		attempt = next;
	}
	gate_arm(owner);
}

/* RETURN VALUE: whether the entry is in this domain, has an attempt here or sent
 * one lately. */
static bool wants_reports(struct peer *peer, void *data)
{
	const struct daemon *daemon = data;
	const struct owner_peer *state = peer_role_data(peer);
	const struct member *member =
		member_table_find(daemon->members, peer_host(peer));

	if (member && strcmp(member->domain, daemon->settings->domain) == 0)
		return true;
	if (!state)
		return false;
	return !LIST_EMPTY(&state->attempts) ||
	       (state->attempt_us &&
		clock_mono_us() - state->attempt_us <= NOTIFY_ATTEMPT_AGE_US);
}

void gate_notify_entries(struct owner *owner)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__LoadReport report = CFD__LOAD_REPORT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	owner_fill_load(owner, &load);
	report.load = &load;
	frame.kind_case = CFD__FRAME__KIND_LOAD_REPORT;
	frame.load_report = &report;
	peers_notify_entries(owner->daemon->peers, &frame,
			     owner->daemon->settings->domains.stay_in_time ?
				     wants_reports :
				     NULL,
			     owner->daemon);
}

void gate_note_load(struct owner *owner, const struct answer_load *load)
{
	int64_t now = clock_mono_us();
	bool has_turned = false;

	if (load) {
		owner->load = *load;
		owner->load_at_us = now;
		has_turned = pace_note(&owner->pace, load->percent, now);
	} else if (owner->pace.percent) {
		/* No valid report came: go on with the last pace. */
		owner->pace.at_us = now;
	}
	if (has_turned) {
		counters.gate_turns++;
		gate_notify_entries(owner);
	}
}

void gate_note_breaker_result(struct owner *owner, bool is_answer)
{
	if (!breaker_note_result(&owner->breaker, is_answer))
		return;
	log_event(EV_OWNER_BREAKER, LOG_INT("open", owner->breaker.is_open),
		  LOG_INT("streak", owner->breaker.streak),
		  LOG_INT("running", owner->running));
	gate_notify_entries(owner);
}

static void handle_gauge(const struct gauge_reading *reading, void *data)
{
	struct owner *owner = data;

	if (reading->has_cold_ms)
		owner_note_cold_health(owner, reading->cold_ms);
	else if (reading->has_load)
		owner_note_not_cold(owner);
	if (reading->limit)
		owner_note_limit(owner, reading->limit, "health");
	if (reading->is_leaving)
		owner_note_leaving(owner, owner_instance(owner), "health");
	gate_note_load(owner, reading->has_load ? &reading->load : NULL);
	gate_review(owner);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;

	(void)loop;
	(void)events;
	/* The answer to the query triggers the review. If no query could be
	 * sent, review now, as the elapsed time alone may change the result. */
	if (!gate_ask(owner))
		gate_review(owner);
	else
		gate_arm(owner);
}

void gate_refuse_all(struct owner *owner, Cfd__Reason reason)
{
	struct owner_attempt *attempt;

	while ((attempt = TAILQ_FIRST(&owner->held)))
		gate_refuse(owner, attempt, reason);
}

void gate_init(struct owner *owner)
{
	TAILQ_INIT(&owner->held);
	owner->gauge = gauge_create(owner->daemon, handle_gauge, owner);
	ev_init(&owner->gate_timer, handle_timer);
	owner->gate_timer.data = owner;
}

void gate_finish(struct owner *owner)
{
	struct owner_attempt *attempt;

	while ((attempt = TAILQ_FIRST(&owner->held))) {
		owner_remove_from_gate(owner, attempt);
		attempt_destroy(attempt);
	}
	ev_timer_stop(owner->daemon->loop, &owner->gate_timer);
	gauge_destroy(owner->gauge);
}
