#include "comfreydockd/upstream/owner.h"

#include <string.h>

#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/upstream/attempts.h"
#include "comfreydockd/upstream/gate.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "common/id.h"
#include "common/log.h"
#include "common/timer.h"

/* Added to the wait for the next stale item. Without it, a timer that fires
 * slightly early would wake the loop in vain, as it would find no stale item
 * and be set again at once. */
#define STALE_SLACK_US 500

static Cfd__Reason reason_of(enum queue_verdict verdict)
{
	switch (verdict) {
	case QUEUE_REFUSED_BUSY:
		return CFD__REASON__REASON_BUSY;
	case QUEUE_REFUSED_DEADLINE:
	case QUEUE_REFUSED_STALE:
		return CFD__REASON__REASON_DEADLINE;
	case QUEUE_REFUSED_UNFAIR:
		return CFD__REASON__REASON_UNFAIR;
	case QUEUE_REFUSED_STANDING:
	case QUEUE_REFUSED_FULL:
	case QUEUE_ACCEPTED:
		break;
	}
	return CFD__REASON__REASON_OVERLOAD;
}

static struct queue_slots owner_slots(const struct owner *owner)
{
	uint32_t limit = limit_current(&owner->limit);
	struct queue_slots slots = {
		.running = owner->running,
		.limit = limit,
	};

	/* An upstream that reports its load needs no slow start: it uses all
	 * its slots from the start, and its reports show that it is slower
	 * while it warms up. If its owner limited the slots as well, nine in
	 * ten attempts would be refused when all upstreams have just been
	 * started together. */
	if (owner->daemon->headers->load)
		slots.limit = knee_slots(&owner->knee, limit);
	else
		slots.limit = warm_slots(&owner->warm, limit, clock_mono_us());

	return slots;
}

/* RETURN VALUE: the wait of an attempt that arrives now, for a slot or for the
 * rate of starts. */
static uint32_t expected_wait_us(const struct owner *owner,
				 const struct queue_slots *slots)
{
	int64_t wait_us = MAX(queue_expected_wait_us(&owner->queue, slots),
			      owner_start_wait_us(owner));

	return (uint32_t)MIN(wait_us, (int64_t)UINT32_MAX);
}

void owner_fill_load(const struct owner *owner, Cfd__Load *load)
{
	struct queue_slots slots = owner_slots(owner);

	load->running = slots.running;
	load->queued = queue_length(&owner->queue);
	load->pace_percent = owner->pace.percent;
	load->limit = owner->state == OWNER_UP ? slots.limit : 0;
	/* Entries must not take slots that the rate keeps idle for room. */
	if (owner->state == OWNER_UP)
		load->limit = owner_rate_slots(owner, slots.limit);
	/* With an open breaker the owner reports itself as full, so that
	 * entries try others first. If nothing runs, it reports one free slot,
	 * so that an entry sends the request with which the breaker tests
	 * whether the upstream answers again. */
	if (owner->breaker.is_open)
		load->limit = MIN(load->limit, MAX(slots.running, 1));
	load->expected_wait_us = expected_wait_us(owner, &slots);
	/* The median service time at the usual pace, with errors counted as
	 * slow answers; pace_percent says how much longer requests take now. */
	load->service_us =
		(uint32_t)MIN(speed_us(&owner->speed), (int64_t)UINT32_MAX);
}

struct daemon *owner_daemon(const struct owner *owner)
{
	return owner->daemon;
}

struct run_pool *owner_pool(const struct owner *owner)
{
	return owner->pool;
}

uint32_t owner_retry_after_ms(const struct owner *owner)
{
	struct queue_slots slots = owner_slots(owner);

	return MAX(queue_retry_after_ms(&owner->queue, &slots),
		   (uint32_t)(owner_start_wait_us(owner) / US_PER_MS));
}

/* Attempts start at the end of the iteration, see handle_loop_prepare(). */
void owner_schedule_dispatch(struct owner *owner)
{
	owner->dispatch_is_due = true;
	ev_timer_start(owner->daemon->loop, &owner->dispatch_timer);
}

static void owner_report_idle(struct owner *owner)
{
	void (*handle_idle)(void *data) = owner->handle_idle;

	if (!handle_idle || owner->running || queue_length(&owner->queue) ||
	    !TAILQ_EMPTY(&owner->held))
		return;
	owner->handle_idle = NULL;
	handle_idle(owner->idle_data);
}

void owner_note_finished(struct owner *owner, struct owner_attempt *attempt,
			 enum limit_outcome outcome)
{
	int64_t now = clock_mono_us();
	/* When the answer's head came, or now if the run ended without one. */
	int64_t head_or_end_us = attempt->head_us ? attempt->head_us : now;
	int64_t usual_us = pace_nominal_us(attempt->pace_percent,
					   now - attempt->started_us);

	limit_note_done(&owner->limit, head_or_end_us - attempt->started_us,
			outcome, owner->running, now);
	if (outcome == LIMIT_OUTCOME_OK || outcome == LIMIT_OUTCOME_FAILED) {
		queue_note_done(&owner->queue, attempt->item.class, usual_us);
		probe_note_traffic(owner->probe);
	}
	if (outcome == LIMIT_OUTCOME_OK) {
		speed_note_answer(&owner->speed, usual_us);
		knee_note(&owner->knee, attempt->item.class, attempt->busy_slots,
			  owner->announced.slots, usual_us, now);
	} else if (outcome == LIMIT_OUTCOME_FAILED) {
		speed_note_error(&owner->speed);
	}
	crash_note_run_result(owner, attempt, outcome == LIMIT_OUTCOME_OK);
	if (head_or_end_us > attempt->item.deadline_us)
		counters.owner_late++;
	owner_note_arrived(owner, attempt);
	TAILQ_REMOVE(&owner->runs, attempt, running_link);
	owner->running--;
	owner_schedule_dispatch(owner);
}

static void owner_refuse_item(struct owner *owner, struct queue_item *item,
			      enum queue_verdict verdict)
{
	struct owner_attempt *attempt = owner_attempt_of(item);

	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, reason_of(verdict), owner_retry_after_ms(owner));
}

/* After a freeze, the cancel of an attempt may arrive long after the attempt. What
 * the entry has sent before its reply to the ping is known.
 * RETURN VALUE: false if the attempt was refused and freed. */
static bool entry_may_wait(struct owner *owner, struct queue_item *item)
{
	struct owner_attempt *attempt = owner_attempt_of(item);

	if (!attempt->peer || peer_has_replied(attempt->peer))
		return true;
	counters.owner_unconfirmed++;
	owner_refuse_item(owner, item, QUEUE_REFUSED_BUSY);
	return false;
}

static void owner_start_queued(struct owner *owner)
{
	enum queue_verdict verdict;
	struct queue_item *item;

	for (;;) {
		struct queue_slots slots = owner_slots(owner);

		if (slots.running >= slots.limit || !queue_length(&owner->queue) ||
		    !owner_rate_allows_start(owner))
			return;
		item = queue_pop(&owner->queue, clock_mono_us(), &verdict);
		if (!item)
			return;
		if (verdict != QUEUE_ACCEPTED) {
			owner_refuse_item(owner, item, verdict);
			continue;
		}
		if (!entry_may_wait(owner, item))
			continue;
		if (!gate_may_start(owner, owner_attempt_of(item)) ||
		    !owner_quarantine_admit_start(owner, owner_attempt_of(item)))
			continue;
		owner->running++;
		owner_note_start(owner, owner_attempt_of(item));
		TAILQ_INSERT_TAIL(&owner->runs, owner_attempt_of(item),
				  running_link);
		attempt_start(owner_attempt_of(item));
	}
}

static void owner_refuse_stale(struct owner *owner)
{
	struct queue_item *item;

	while ((item = queue_pop_stale(&owner->queue, clock_mono_us())))
		owner_refuse_item(owner, item, QUEUE_REFUSED_STALE);
}

/* Sets a timer to refuse each queued request as soon as it can no longer be
 * answered in time. */
static void owner_set_stale_timer(struct owner *owner)
{
	int64_t at = queue_next_stale_us(&owner->queue);
	int64_t wait_us;

	ev_timer_stop(owner->daemon->loop, &owner->stale_timer);
	if (at == INT64_MAX)
		return;
	wait_us = MAX(at - clock_mono_us(), 0);
	timer_restart_us(owner->daemon->loop, &owner->stale_timer,
			 wait_us + STALE_SLACK_US);
}

static void owner_dispatch(struct owner *owner)
{
	owner_refuse_stale(owner);
	owner_start_queued(owner);
	owner_set_stale_timer(owner);
	owner_report_idle(owner);
}

/*
 * Dispatches attempts before the loop blocks again, after all frames of this
 * iteration were read.
 *
 * After a freeze of seconds, in which its loop did not run, a daemon finds old
 * attempts in its socket buffers and, behind them, the cancels of callers who
 * gave up. If attempts started as their frames arrive, the old ones would take
 * the slots from callers who still wait. The owner would also run requests that
 * it could still refuse as not run. A burst of late runs would follow each
 * freeze. After a freeze the owner therefore only reads, for
 * POST_FREEZE_READ_US.
 */
static void handle_loop_prepare(struct ev_loop *loop, ev_prepare *prepare,
				int events)
{
	struct owner *owner = prepare->data;
	int64_t now = clock_mono_us();

	(void)events;
	if (!owner->dispatch_is_due)
		return;
	owner_notice_freeze(owner, now);
	if (now < owner->no_start_before_us) {
		peers_read_input(owner->daemon->peers);
		timer_restart_us(loop, &owner->dispatch_timer,
				 owner->no_start_before_us - now);
		return;
	}
	owner->dispatch_is_due = false;
	ev_timer_stop(loop, &owner->dispatch_timer);
	owner_dispatch(owner);
	http_client_begin_transfers(owner->daemon->http);
}

/* Callback of dispatch_timer and stale_timer. A due timer keeps the loop from
 * blocking, and handle_loop_prepare() then dispatches. */
static void handle_dispatch_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;

	(void)loop;
	(void)events;
	owner->dispatch_is_due = true;
}

bool owner_has_group(const struct owner *owner, const char *group)
{
	for (char **known = owner->announced.groups; known && *known; known++) {
		if (strcmp(*known, group) == 0)
			return true;
	}
	return false;
}

/* RETURN VALUE: whether the rate of starts allows the attempt to start while that
 * makes sense. */
static enum queue_verdict judge_rate(const struct owner *owner,
				     const struct queue_item *item)
{
	int64_t wait_us = owner_start_wait_us(owner);
	int64_t end_us = clock_mono_us() + wait_us +
			 queue_median_service_us(&owner->queue, item->class);

	if (wait_us == 0)
		return QUEUE_ACCEPTED;
	if (!item->may_queue)
		return QUEUE_REFUSED_BUSY;
	return end_us > item->deadline_us ? QUEUE_REFUSED_DEADLINE :
					    QUEUE_ACCEPTED;
}

void owner_enqueue(struct owner *owner, struct owner_attempt *attempt)
{
	struct queue_slots slots = owner_slots(owner);
	uint32_t retry_after_ms = owner_retry_after_ms(owner);
	enum queue_verdict verdict = judge_rate(owner, &attempt->item);

	if (verdict == QUEUE_ACCEPTED)
		verdict = queue_offer(&owner->queue, &attempt->item, &slots,
				      clock_mono_us(), &retry_after_ms);
	if (verdict != QUEUE_ACCEPTED) {
		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, reason_of(verdict), retry_after_ms);
		return;
	}
	attempt_owner_step(&attempt->state, OWNER_QUEUE);
	owner_schedule_dispatch(owner);
}

struct owner *owner_create(struct daemon *daemon)
{
	struct owner *owner = g_new0(struct owner, 1);
	struct queue_options options = {
		.policy = &queue_by_deadline,
		.fair = true,
		.seed = id_random_u64(),
	};
	struct peers_role role;

	owner->daemon = daemon;
	owner->old_pools =
		g_ptr_array_new_with_free_func((GDestroyNotify)run_pool_destroy);
	recent_ids_init(&owner->answered);
	TAILQ_INIT(&owner->runs);
	queue_init(&owner->queue, &options);
	limit_init(&owner->limit, owner_limit_policy(owner), 1, clock_mono_us());
	owner->probe = probe_create(daemon, owner_note_reachable, owner);
	ev_timer_init(&owner->dispatch_timer, handle_dispatch_due, 0.0, 0.0);
	ev_prepare_init(&owner->loop_prepare, handle_loop_prepare);
	/* Runs before the links flush, so that refusals leave in the same
	 * iteration. */
	ev_set_priority(&owner->loop_prepare, EV_MAXPRI);
	ev_timer_init(&owner->stale_timer, handle_dispatch_due, 0.0, 0.0);
	owner_init_sweep(owner);
	owner_init_start_rate(owner);
	gate_init(owner);
	crash_init(owner);
	report_check_init(owner);
	owner->loop_prepare.data = owner;
	owner->dispatch_timer.data = owner;
	owner->stale_timer.data = owner;
	ev_prepare_start(daemon->loop, &owner->loop_prepare);
	ev_timer_start(daemon->loop, &owner->sweep_timer);
	owner_fill_role(owner, &role);
	peers_set_owner_role(daemon->peers, &role);
	return owner;
}

void owner_destroy(struct owner *owner)
{
	struct owner_attempt *attempt;
	struct queue_item *item;

	if (!owner)
		return;
	ev_timer_stop(owner->daemon->loop, &owner->dispatch_timer);
	ev_prepare_stop(owner->daemon->loop, &owner->loop_prepare);
	ev_timer_stop(owner->daemon->loop, &owner->stale_timer);
	ev_timer_stop(owner->daemon->loop, &owner->sweep_timer);
	crash_finish(owner);
	gate_finish(owner);
	owner_finish_start_rate(owner);
	unread_fields_finish(&owner->unread);
	while ((item = queue_take_any(&owner->queue)))
		attempt_destroy(owner_attempt_of(item));
	queue_finish(&owner->queue);
	while ((attempt = TAILQ_FIRST(&owner->runs))) {
		TAILQ_REMOVE(&owner->runs, attempt, running_link);
		attempt_destroy(attempt);
	}
	ev_timer_stop(owner->daemon->loop, &owner->start_check_timer);
	report_check_reset(&owner->start_check);
	probe_destroy(owner->probe);
	run_pool_destroy(owner->pool);
	g_ptr_array_unref(owner->old_pools);
	recent_ids_finish(&owner->answered);
	owner_announcement_finish(&owner->announced);
	g_free(owner);
}

void owner_note_breaker_result(struct owner *owner, bool is_answer)
{
	gate_note_breaker_result(owner, is_answer);
}

void owner_note_broken(struct owner *owner, const struct owner_attempt *attempt)
{
	crash_note_broken(owner, attempt);
}

void owner_note_connection_refused(struct owner *owner)
{
	probe_note_connection_refused(owner->probe);
}

void owner_note_load_header(struct owner *owner, const struct fields *fields)
{
	struct answer_load load;

	if (!answer_read_load(owner->daemon->headers, fields, &load))
		return;
	gate_note_load(owner, &load);
	gate_review(owner);
}

void owner_remove_from_gate(struct owner *owner, struct owner_attempt *attempt)
{
	if (!attempt->is_held)
		return;
	attempt->is_held = false;
	TAILQ_REMOVE(&owner->held, attempt, held_link);
}

int64_t owner_pace_age_us(const struct owner *owner)
{
	return owner->pace.at_us ? clock_mono_us() - owner->pace.at_us : -1;
}

uint32_t owner_running(const struct owner *owner)
{
	return owner->running;
}

bool owner_is_slow(const struct owner *owner)
{
	return pace_is_slow(&owner->pace);
}

uint32_t owner_pace_percent(const struct owner *owner)
{
	return owner->pace.percent;
}

const char *owner_instance(const struct owner *owner)
{
	return owner->pool_instance[0] ? owner->pool_instance : NULL;
}

void owner_when_idle(struct owner *owner, void (*handle_idle)(void *data),
		     void *data)
{
	owner->handle_idle = handle_idle;
	owner->idle_data = data;
	owner_report_idle(owner);
}

void owner_get_status(const struct owner *owner, struct owner_status *status)
{
	struct queue_slots slots = owner_slots(owner);

	status->state = owner->state;
	status->is_evacuated = owner->is_evacuated;
	status->slots = owner->announced.slots;
	status->limit = slots.limit;
	status->running = owner->running;
	status->queued = queue_length(&owner->queue);
	status->pace_percent = owner_pace_percent(owner);
	status->pace_age_us = owner_pace_age_us(owner);
	status->expected_wait_us = expected_wait_us(owner, &slots);
	status->states_limit = advertised_limit_applies(&owner->advertised);
	status->limit_per_s = owner->advertised.per_s;
}
