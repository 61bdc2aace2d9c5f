#include "comfreydockd/upstream/owner.h"

#include <string.h>

#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/measure.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/upstream/attempts.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/log.h"

#define DEFAULT_RETRY_AFTER_MS 1000
#define SWEEP_S 0.1
/* An upstream that gives no head this long after the deadline is broken off:
 * nobody waits for it, and its slot would be lost for good. */
#define HEAD_GRACE_US (1 * US_PER_S)
/* A caller that takes no byte of its answer for so long is broken off. */
#define STALL_US (60 * US_PER_S)
/* A loop that did not turn for so long was stopped or starved. */
#define FREEZE_US (300 * US_PER_MS)

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
	struct queue_slots slots = {
		.running = owner->running,
		.limit = warm_slots(&owner->warm, limit_current(&owner->limit),
				    clock_mono_us()),
	};

	return slots;
}

static struct owner_attempt *attempt_of(struct queue_item *item)
{
	return (struct owner_attempt *)((char *)item -
					offsetof(struct owner_attempt, item));
}

void owner_fill_load(const struct owner *owner, Cfd__Load *load)
{
	struct queue_slots slots = owner_slots(owner);

	load->running = slots.running;
	load->queued = queue_length(&owner->queue);
	load->limit = owner->state == OWNER_UP ? slots.limit : 0;
	load->expected_wait_us =
		(uint32_t)MIN(queue_expected_wait_us(&owner->queue, &slots),
			      (int64_t)UINT32_MAX);
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

	return queue_retry_after_ms(&owner->queue, &slots);
}

/* Starting waits for the end of the turn, see handle_turn(). */
static void owner_wake(struct owner *owner)
{
	if (!ev_is_active(&owner->turn))
		ev_timer_start(owner->daemon->loop, &owner->turn);
}

static void owner_report_idle(struct owner *owner)
{
	void (*handle_idle)(void *data) = owner->handle_idle;

	if (!handle_idle || owner->running || queue_length(&owner->queue))
		return;
	owner->handle_idle = NULL;
	handle_idle(owner->idle_data);
}

void owner_note_over(struct owner *owner, struct owner_attempt *attempt,
		     enum limit_outcome outcome)
{
	int64_t now = clock_mono_us();
	int64_t first_us = attempt->head_us ? attempt->head_us : now;

	limit_note_done(&owner->limit, first_us - attempt->started_us, outcome,
			owner->running, now);
	if (outcome == LIMIT_OUTCOME_OK || outcome == LIMIT_OUTCOME_FAILED) {
		queue_note_done(&owner->queue, attempt->item.class,
				now - attempt->started_us);
		measure_note_traffic(&owner->measure, now);
	}
	if (first_us > attempt->item.deadline_us)
		counters.owner_late++;
	TAILQ_REMOVE(&owner->runs, attempt, running_link);
	owner->running--;
	owner_wake(owner);
}

static void owner_refuse_item(struct owner *owner, struct queue_item *item,
			      enum queue_verdict verdict)
{
	struct owner_attempt *attempt = attempt_of(item);

	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, reason_of(verdict), owner_retry_after_ms(owner));
}

static void owner_start_waiting(struct owner *owner)
{
	enum queue_verdict verdict;
	struct queue_item *item;

	for (;;) {
		struct queue_slots slots = owner_slots(owner);

		if (slots.running >= slots.limit)
			return;
		item = queue_pop(&owner->queue, clock_mono_us(), &verdict);
		if (!item)
			return;
		if (verdict != QUEUE_ACCEPTED) {
			owner_refuse_item(owner, item, verdict);
			continue;
		}
		owner->running++;
		TAILQ_INSERT_TAIL(&owner->runs, attempt_of(item), running_link);
		attempt_start(attempt_of(item));
	}
}

static void owner_refuse_stale(struct owner *owner)
{
	struct queue_item *item;

	while ((item = queue_pop_stale(&owner->queue, clock_mono_us())))
		owner_refuse_item(owner, item, QUEUE_REFUSED_STALE);
}

/* A request that can't be answered in time any more is told so at once. */
static void owner_set_stale_timer(struct owner *owner)
{
	int64_t at = queue_next_stale_us(&owner->queue);
	int64_t wait_us;

	ev_timer_stop(owner->daemon->loop, &owner->stale);
	if (at == INT64_MAX)
		return;
	wait_us = MAX(at - clock_mono_us(), 0);
	ev_timer_set(&owner->stale, (double)wait_us / US_PER_S + 0.0005, 0.0);
	ev_timer_start(owner->daemon->loop, &owner->stale);
}

static void owner_turn(struct owner *owner)
{
	owner_refuse_stale(owner);
	owner_start_waiting(owner);
	owner_set_stale_timer(owner);
	owner_report_idle(owner);
}

/*
 * Runs at the lowest priority, after all frames of this turn of the loop were
 * read. What goes wrong without it: a daemon that was stopped for seconds
 * wakes with old attempts in its buffers and, behind them, the cancels of
 * callers who gave up; started in the order of arrival, the old work would
 * take the slots from callers who still wait, and a call that could have been
 * told "not run" would run. One would notice a burst of late runs after each
 * pause. After a pause everything readable is read first.
 */
static void handle_turn(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;

	(void)loop;
	(void)events;
	if (owner->was_frozen) {
		owner->was_frozen = false;
		peers_drain_input(owner->daemon->peers);
	}
	owner_turn(owner);
}

static void handle_stale(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	owner_turn(timer->data);
}

static void owner_sweep_runs(struct owner *owner, int64_t now)
{
	struct owner_attempt *attempt = TAILQ_FIRST(&owner->runs);

	while (attempt) {
		struct owner_attempt *next = TAILQ_NEXT(attempt, running_link);

		if (!attempt->head_us &&
		    now > attempt->item.deadline_us + HEAD_GRACE_US)
			attempt_break(attempt, "no answer long after deadline");
		else if (attempt->stalled_since_us &&
			 now - attempt->stalled_since_us > STALL_US)
			attempt_break(attempt, "the caller takes nothing");
		attempt = next;
	}
}

static void handle_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)events;
	if (now - owner->swept_us > FREEZE_US) {
		owner->was_frozen = true;
		counters.owner_freezes++;
		log_event(EV_OWNER_FROZEN,
			  LOG_INT("ms", (now - owner->swept_us) / US_PER_MS));
	}
	owner->swept_us = now;
	owner_sweep_runs(owner, now);
	/* A warming upstream gains slots by time alone. */
	if (queue_length(&owner->queue))
		owner_wake(owner);
}

static bool owner_has_group(const struct owner *owner, const char *group)
{
	for (char **known = owner->announced.groups; known && *known; known++) {
		if (strcmp(*known, group) == 0)
			return true;
	}
	return false;
}

static void owner_offer(struct owner *owner, struct owner_attempt *attempt)
{
	struct queue_slots slots = owner_slots(owner);
	uint32_t retry_after_ms = DEFAULT_RETRY_AFTER_MS;
	enum queue_verdict verdict;

	verdict = queue_offer(&owner->queue, &attempt->item, &slots,
			      clock_mono_us(), &retry_after_ms);
	if (verdict != QUEUE_ACCEPTED) {
		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, reason_of(verdict), retry_after_ms);
		return;
	}
	attempt_owner_step(&attempt->state, OWNER_QUEUE);
	owner_wake(owner);
}

static void owner_take_attempt(struct owner *owner, struct peer *peer,
			       Cfd__Frame *frame)
{
	struct owner_peer *state = peer_role_data(peer);
	struct owner_attempt *attempt = g_new0(struct owner_attempt, 1);
	Cfd__Attempt *request = frame->attempt;
	int64_t now = clock_mono_us();

	/* The attempt outlives its frame. */
	frame->attempt = NULL;
	frame->kind_case = CFD__FRAME__KIND__NOT_SET;
	counters.owner_attempts++;
	timeline_observe(&owner->daemon->timeline, request->time);
	attempt->owner = owner;
	attempt->peer = peer;
	attempt->request = request;
	attempt->body_ends = request->body_ends;
	attempt->item.class = (enum config_class)MIN(
		request->priority, (uint32_t)CONFIG_CLASS_BULK);
	attempt->item.deadline_us = deadline_at(
		(int64_t)MIN(request->remaining_us, (uint64_t)INT64_MAX / 2), 0,
		now);
	attempt->item.key_hash = fair_hash(request->fairness_key);
	attempt->item.may_queue = request->may_queue;
	LIST_INSERT_HEAD(&state->attempts, attempt, link);
	if (owner->state == OWNER_UP && owner_has_group(owner, request->group)) {
		owner_offer(owner, attempt);
		return;
	}
	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt,
		       owner->state == OWNER_DRAINING ?
			       CFD__REASON__REASON_DRAINING :
			       CFD__REASON__REASON_NO_UPSTREAM,
		       DEFAULT_RETRY_AFTER_MS);
}

static struct owner_attempt *owner_find(struct peer *peer, uint64_t seq)
{
	struct owner_peer *state = peer_role_data(peer);
	struct owner_attempt *attempt;

	LIST_FOREACH (attempt, &state->attempts, link) {
		if (attempt->request->seq == seq)
			return attempt;
	}
	counters.peer_unmatched++;
	return NULL;
}

static void owner_cancel(struct owner *owner, struct owner_attempt *attempt)
{
	counters.owner_cancels++;
	if (attempt->state == OWNER_ATTEMPT_RUNNING) {
		attempt_give_up(attempt);
		return;
	}
	queue_remove(&owner->queue, &attempt->item);
	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, CFD__REASON__REASON_CANCELLED, 0);
}

static void owner_send_load(struct owner *owner, struct peer *peer, uint64_t seq)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__LoadReport report = CFD__LOAD_REPORT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	owner_fill_load(owner, &load);
	report.seq = seq;
	report.load = &load;
	frame.kind_case = CFD__FRAME__KIND_LOAD_REPORT;
	frame.load_report = &report;
	peer_send(peer, &frame);
}

static void owner_take_frame(struct owner *owner, struct peer *peer,
			     Cfd__Frame *frame)
{
	struct owner_attempt *attempt;

	switch (frame->kind_case) {
	case CFD__FRAME__KIND_ATTEMPT:
		owner_take_attempt(owner, peer, frame);
		break;
	case CFD__FRAME__KIND_BODY:
		attempt = owner_find(peer, frame->body->seq);
		if (attempt)
			attempt_take_body(attempt, frame->body);
		break;
	case CFD__FRAME__KIND_CANCEL:
		attempt = owner_find(peer, frame->cancel->seq);
		if (attempt)
			owner_cancel(owner, attempt);
		break;
	case CFD__FRAME__KIND_WINDOW:
		attempt = owner_find(peer, frame->window->seq);
		if (attempt)
			attempt_take_window(attempt, frame->window->bytes);
		break;
	case CFD__FRAME__KIND_LOAD_QUERY:
		owner_send_load(owner, peer, frame->load_query->seq);
		break;
	case CFD__FRAME__KIND_CONFIG_QUERY:
		if (owner->handle_query)
			owner->handle_query(peer, frame->config_query,
					    owner->query_data);
		break;
	default:
		counters.peer_bad_frames++;
		break;
	}
}

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	if (!peer_role_data(peer)) {
		struct owner_peer *state = g_new0(struct owner_peer, 1);

		LIST_INIT(&state->attempts);
		peer_set_role_data(peer, state);
	}
	owner_take_frame(data, peer, frame);
}

/* What waits is dropped: its caller will be told "unknown" or has another
 * attempt out. */
static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct owner *owner = data;
	struct owner_peer *state = peer_role_data(peer);
	struct owner_attempt *attempt;

	(void)error;
	if (!state)
		return;
	while ((attempt = LIST_FIRST(&state->attempts))) {
		LIST_REMOVE(attempt, link);
		attempt->peer = NULL;
		owner_cancel(owner, attempt);
	}
	g_free(state);
	peer_set_role_data(peer, NULL);
}

struct owner *owner_create(struct daemon *daemon)
{
	struct owner *owner = g_new0(struct owner, 1);
	struct queue_options options = {
		.policy = &queue_by_deadline,
		.fair = true,
		.seed = id_random_u64(),
	};
	struct peers_role role = {handle_frame, handle_lost, owner};

	owner->daemon = daemon;
	owner->old_pools =
		g_ptr_array_new_with_free_func((GDestroyNotify)run_pool_destroy);
	TAILQ_INIT(&owner->runs);
	queue_init(&owner->queue, &options);
	limit_init(&owner->limit, &limit_adaptive, 1, clock_mono_us());
	measure_init(&owner->measure, 1, 0, clock_mono_us());
	owner->swept_us = clock_mono_us();
	ev_timer_init(&owner->turn, handle_turn, 0.0, 0.0);
	ev_set_priority(&owner->turn, EV_MINPRI);
	ev_timer_init(&owner->stale, handle_stale, 0.0, 0.0);
	ev_timer_init(&owner->sweep, handle_sweep, SWEEP_S, SWEEP_S);
	owner->turn.data = owner;
	owner->stale.data = owner;
	owner->sweep.data = owner;
	ev_timer_start(daemon->loop, &owner->sweep);
	peers_set_owner(daemon->peers, &role);
	return owner;
}

static void announcement_finish(struct owner_announcement *announcement)
{
	g_strfreev(announcement->groups);
	g_free(announcement->address);
	memset(announcement, 0, sizeof(*announcement));
}

void owner_destroy(struct owner *owner)
{
	struct owner_attempt *attempt;
	struct queue_item *item;

	if (!owner)
		return;
	ev_timer_stop(owner->daemon->loop, &owner->turn);
	ev_timer_stop(owner->daemon->loop, &owner->stale);
	ev_timer_stop(owner->daemon->loop, &owner->sweep);
	while ((item = queue_take_any(&owner->queue)))
		attempt_destroy(attempt_of(item));
	while ((attempt = TAILQ_FIRST(&owner->runs))) {
		TAILQ_REMOVE(&owner->runs, attempt, running_link);
		attempt_destroy(attempt);
	}
	run_pool_destroy(owner->pool);
	g_ptr_array_unref(owner->old_pools);
	announcement_finish(&owner->announced);
	g_free(owner);
}

static void owner_publish(struct owner *owner)
{
	if (owner->handle_state)
		owner->handle_state(owner, owner->state_data);
}

static void owner_use_pool(struct owner *owner,
			   const struct owner_announcement *announcement)
{
	if (owner->pool)
		g_ptr_array_add(owner->old_pools, owner->pool);
	owner->pool = run_pool_create(owner->daemon->http,
				      announcement->address, announcement->port);
}

void owner_announce(struct owner *owner,
		    const struct owner_announcement *announcement)
{
	int64_t now = clock_mono_us();
	struct owner_announcement copy = {
		.groups = g_strdupv(announcement->groups),
		.address = g_strdup(announcement->address),
		.port = announcement->port,
		.slots = MAX(announcement->slots, 1),
		.warm_ms = announcement->warm_ms,
	};
	bool moved = !owner->pool || owner->announced.port != copy.port ||
		     g_strcmp0(owner->announced.address, copy.address) != 0;

	if (moved)
		owner_use_pool(owner, &copy);
	announcement_finish(&owner->announced);
	owner->announced = copy;
	if (moved)
		limit_init(&owner->limit, &limit_adaptive, copy.slots, now);
	else
		limit_set_slots(&owner->limit, copy.slots);
	measure_set_budget(&owner->measure, copy.slots, owner->measure.permille,
			   now);
	if (moved || owner->state != OWNER_UP)
		warm_begin(&owner->warm, copy.warm_ms, now);
	owner->state = OWNER_UP;
	log_event(EV_OWNER_ANNOUNCED, LOG_STR("address", copy.address),
		  LOG_INT("port", copy.port), LOG_INT("slots", copy.slots));
	owner_publish(owner);
	owner_wake(owner);
}

void owner_drain(struct owner *owner)
{
	struct queue_item *item;

	if (owner->state == OWNER_DRAINING)
		return;
	owner->state = OWNER_DRAINING;
	log_event(EV_OWNER_DRAINING, LOG_INT("running", owner->running),
		  LOG_INT("queued", queue_length(&owner->queue)));
	while ((item = queue_take_any(&owner->queue))) {
		struct owner_attempt *attempt = attempt_of(item);

		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, CFD__REASON__REASON_DRAINING,
			       DEFAULT_RETRY_AFTER_MS);
	}
	owner_publish(owner);
	owner_wake(owner);
}

void owner_resume(struct owner *owner)
{
	if (owner->state != OWNER_DRAINING || !owner->pool)
		return;
	owner->state = OWNER_UP;
	warm_begin(&owner->warm, owner->announced.warm_ms, clock_mono_us());
	log_event(EV_OWNER_RESUMED);
	owner_publish(owner);
}

void owner_when_idle(struct owner *owner, void (*handle_idle)(void *data),
		     void *data)
{
	owner->handle_idle = handle_idle;
	owner->idle_data = data;
	owner_report_idle(owner);
}

void owner_when_changed(struct owner *owner,
			void (*handle_state)(struct owner *owner, void *data),
			void *data)
{
	owner->handle_state = handle_state;
	owner->state_data = data;
}

void owner_when_asked(struct owner *owner, owner_query_handler handle_query,
		      void *data)
{
	owner->handle_query = handle_query;
	owner->query_data = data;
}

const struct owner_announcement *owner_announced(const struct owner *owner)
{
	return owner->pool ? &owner->announced : NULL;
}

void owner_get_status(const struct owner *owner, struct owner_status *status)
{
	struct queue_slots slots = owner_slots(owner);

	status->state = owner->state;
	status->slots = owner->announced.slots;
	status->limit = slots.limit;
	status->running = owner->running;
	status->queued = queue_length(&owner->queue);
	status->expected_wait_us = (uint32_t)MIN(
		queue_expected_wait_us(&owner->queue, &slots), UINT32_MAX);
}
