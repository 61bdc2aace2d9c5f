#include <string.h>

#include "comfreydockd/config/rule_check.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/peer/fields.h"
#include "comfreydockd/upstream/gate.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/counters.h"

static bool owner_takes_attempts(const struct owner *owner, const char *group)
{
	return owner->state == OWNER_UP && !owner->is_evacuated &&
	       owner_has_group(owner, group);
}

/* RETURN VALUE: why the owner takes no attempts of a group. */
static Cfd__Reason refusal_reason(const struct owner *owner)
{
	if (owner->is_evacuated)
		return CFD__REASON__REASON_EVACUATED;
	if (owner->state == OWNER_DRAINING)
		return CFD__REASON__REASON_DRAINING;
	return CFD__REASON__REASON_NO_UPSTREAM;
}

/* RETURN VALUE: why the attempt's group may not be the one that the
 * configuration in force selects; REASON_UNSPECIFIED: it is. */
static Cfd__Reason check_rule(const struct owner *owner,
			      const Cfd__Attempt *request)
{
	const struct fields fields = {.items = request->headers,
				      .count = request->n_headers};
	const struct rule_check check = {
		.host = fields_find(&fields, "Host"),
		.method = request->method,
		.target = request->target,
		.group = request->group,
		.key_digest = request->key_digest,
		.head = request->config_head,
		.required_head = request->required_head,
	};

	switch (rule_check_run(owner->daemon->config, &check)) {
	case RULE_CHECK_REPLACED:
		return CFD__REASON__REASON_RULE_REPLACED;
	case RULE_CHECK_BEHIND:
		return CFD__REASON__REASON_CONFIG_BEHIND;
	case RULE_CHECK_OK:
		break;
	}
	return CFD__REASON__REASON_UNSPECIFIED;
}

static void attempt_fill_item(struct owner_attempt *attempt)
{
	const Cfd__Attempt *request = attempt->request;
	int64_t now = attempt->arrived_us;

	attempt->item.class = (enum config_class)MIN(
		request->priority, (uint32_t)CONFIG_CLASS_BULK);
	attempt->item.deadline_us = deadline_at(
		(int64_t)MIN(request->remaining_us, (uint64_t)INT64_MAX / 2), 0,
		now);
	attempt->target_us =
		request->target_us ?
			now + (int64_t)MIN(request->target_us, INT64_MAX / 2) :
			attempt->item.deadline_us;
	attempt->item.key_hash = fair_hash(request->fairness_key);
	attempt->item.target_us = request->target_us ? attempt->target_us : 0;
	attempt->item.may_queue = request->may_queue;
	attempt->item.holds_others = request->holds_others;
}

static void owner_handle_attempt(struct owner *owner, struct peer *peer,
				 Cfd__Frame *frame)
{
	struct owner_peer *state = peer_role_data(peer);
	struct owner_attempt *attempt = g_new0(struct owner_attempt, 1);
	Cfd__Attempt *request = frame->attempt;
	int64_t now = clock_mono_us();
	Cfd__Reason stale;

	/* The attempt outlives its frame. */
	frame->attempt = NULL;
	frame->kind_case = CFD__FRAME__KIND__NOT_SET;
	counters.owner_attempts++;
	timeline_observe(&owner->daemon->timeline, request->time);
	attempt->owner = owner;
	attempt->arrived_us = now;
	attempt->peer = peer;
	attempt->request = request;
	attempt->body_ends = request->body_ends;
	attempt_fill_item(attempt);
	LIST_INSERT_HEAD(&state->attempts, attempt, link);
	state->attempt_us = now;
	if (!owner_takes_attempts(owner, request->group)) {
		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, refusal_reason(owner),
			       OWNER_RETRY_AFTER_MS);
		return;
	}
	stale = check_rule(owner, request);
	if (stale != CFD__REASON__REASON_UNSPECIFIED) {
		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, stale, CONFIG_BEHIND_COME_BACK_MS);
		return;
	}
	if (owner_quarantine_admit_arrival(owner, attempt))
		gate_offer(owner, attempt);
}

/*
 * A second attempt under a number would be answered, or refused, in place of the
 * first one. Nothing is sent for it, as the entry would take that for the first one
 * as well.
 */
static bool owner_admit_seq(struct owner *owner, struct peer *peer,
			    const Cfd__Attempt *request)
{
	struct owner_peer *state = peer_role_data(peer);

	if (request->seq > state->last_seq) {
		state->last_seq = request->seq;
		return true;
	}
	counters.peer_bad_frames++;
	timeline_log(&owner->daemon->timeline, request->trace,
		     EV_OWNER_REUSED_SEQ, LOG_INT("seq", request->seq),
		     LOG_INT("last_seq", state->last_seq),
		     LOG_STR("from", peer_host(peer)));
	return false;
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
		attempt_cancel_running(attempt);
		return;
	}
	queue_remove(&owner->queue, &attempt->item);
	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, CFD__REASON__REASON_CANCELLED, 0);
}

/* An entry asks whether its attempt is stuck, before it sends another one. An
 * attempt that is queued, or that started late, isn't stuck. One that has run
 * for longer than the time left to its deadline, without an answer's head, may
 * be. */
static bool attempt_is_overdue(const struct owner_attempt *attempt)
{
	return attempt->state == OWNER_ATTEMPT_RUNNING && !attempt->head_us &&
	       deadline_is_overdue(attempt->started_us,
				   attempt->item.deadline_us, clock_mono_us());
}

static void owner_send_load(struct owner *owner, struct peer *peer,
			    const struct owner_attempt *attempt)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__LoadReport report = CFD__LOAD_REPORT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	owner_fill_load(owner, &load);
	report.seq = attempt->request->seq;
	report.load = &load;
	report.overdue = attempt_is_overdue(attempt);
	frame.kind_case = CFD__FRAME__KIND_LOAD_REPORT;
	frame.load_report = &report;
	peer_send(peer, &frame);
}

static void owner_handle_frame(struct owner *owner, struct peer *peer,
			       Cfd__Frame *frame)
{
	struct owner_attempt *attempt;

	switch (frame->kind_case) {
	case CFD__FRAME__KIND_ATTEMPT:
		if (owner_admit_seq(owner, peer, frame->attempt))
			owner_handle_attempt(owner, peer, frame);
		break;
	case CFD__FRAME__KIND_BODY:
		attempt = owner_find(peer, frame->body->seq);
		if (attempt)
			attempt_add_request_body(attempt, frame->body);
		break;
	case CFD__FRAME__KIND_CANCEL:
		attempt = owner_find(peer, frame->cancel->seq);
		if (attempt && (!frame->cancel->if_waiting ||
				attempt->state != OWNER_ATTEMPT_RUNNING))
			owner_cancel(owner, attempt);
		break;
	case CFD__FRAME__KIND_WINDOW:
		attempt = owner_find(peer, frame->window->seq);
		if (attempt)
			attempt_add_credit(attempt, frame->window->bytes);
		break;
	case CFD__FRAME__KIND_LOAD_QUERY:
		attempt = owner_find(peer, frame->load_query->seq);
		if (attempt)
			owner_send_load(owner, peer, attempt);
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
	owner_handle_frame(data, peer, frame);
}

/* Cancels all attempts of a lost connection. Nobody waits here for the queued
 * ones: their entry tells the caller "unknown" or has sent another attempt. */
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

void owner_fill_role(struct owner *owner, struct peers_role *role)
{
	role->handle_frame = handle_frame;
	role->handle_lost = handle_lost;
	role->data = owner;
}
