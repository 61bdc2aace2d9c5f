#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"

#include "comfreydockd/decide/ahead.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick.h"
#include "common/clock.h"
#include "common/counters.h"

/* What an end of an attempt tells pick and health. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_FAILED, /* the upstream's own error, a 5xx */
	ATTEMPT_REFUSED,
	ATTEMPT_REFUSED_BUSY,
	ATTEMPT_UNREACHED, /* refused: its owner found no connection to it */
	ATTEMPT_LOST,
	ATTEMPT_TIMED_OUT,
	ATTEMPT_CANCELLED,
};

static const struct pick_load *read_load(const Cfd__Load *load,
					 struct pick_load *out)
{
	if (!load)
		return NULL;
	out->running = load->running;
	out->queued = load->queued;
	out->limit = load->limit;
	out->expected_wait_us = load->expected_wait_us;
	out->service_us = load->service_us;
	out->pace_percent = load->pace_percent;
	return out;
}

static enum health_outcome health_outcome_of(enum attempt_end end)
{
	switch (end) {
	case ATTEMPT_FAILED:
		return HEALTH_ERROR;
	case ATTEMPT_LOST:
	case ATTEMPT_UNREACHED:
		return HEALTH_LOST;
	case ATTEMPT_TIMED_OUT:
		return HEALTH_TIMEOUT;
	default:
		return HEALTH_OK;
	}
}

static void tell_pick(struct entry_attempt *attempt, enum attempt_end end,
		      const struct pick_load *load, int64_t now)
{
	struct pick_set *picks = &attempt->upstream->service->picks;
	struct pick_candidate *candidate = &attempt->upstream->candidate;
	int64_t until_us = attempt->head_us ? attempt->head_us : now;
	int64_t latency_us = pace_usual_us(attempt->pace_percent,
					   until_us - attempt->sent_us);

	if (end == ATTEMPT_ANSWERED)
		pick_note_done(picks, candidate, latency_us, load, now);
	else if (end == ATTEMPT_REFUSED || end == ATTEMPT_REFUSED_BUSY)
		pick_note_refused(picks, candidate, end == ATTEMPT_REFUSED_BUSY,
				  load, now);
	else
		pick_note_failed(picks, candidate, latency_us, load, now);
}

static void tell_health(struct entry_attempt *attempt, enum attempt_end end,
			int64_t now)
{
	struct health *health = &attempt->upstream->service->health;
	struct health_upstream *upstream = &attempt->upstream->health;

	if (end == ATTEMPT_REFUSED || end == ATTEMPT_REFUSED_BUSY)
		health_note_refused(health, upstream, attempt->epoch, true, now);
	else if (end == ATTEMPT_CANCELLED)
		health_note_refused(health, upstream, attempt->epoch, false, now);
	else
		health_note_ended(health, upstream, attempt->epoch,
				  health_outcome_of(end), now);
}

/* Each attempt that was sent is told to the decisions once. */
static void tell_end(struct entry_attempt *attempt, enum attempt_end end,
		     const Cfd__Load *load)
{
	struct pick_load pick_load;
	int64_t now = clock_mono_us();

	if (!attempt->upstream->listed)
		return;
	tell_pick(attempt, end, read_load(load, &pick_load), now);
	tell_health(attempt, end, now);
}

/* RETURN VALUE: 0 where the rule has no target. */
static uint64_t call_target_left_us(const struct call *call, int64_t path_us)
{
	int64_t target_us = call->rule->target_ms * US_PER_MS;
	int64_t left_us = call->began_us + target_us - clock_mono_us();

	if (target_us == 0)
		return 0;
	return (uint64_t)MAX(left_us - path_us, 1);
}

static void fill_attempt(const struct call *call, Cfd__Attempt *out,
			 const struct service_upstream *upstream)
{
	int64_t path_us = deadline_path_us(&upstream->path);

	out->trace = (char *)call->trace;
	out->group = (char *)call->group;
	out->method = call->method;
	out->target = call->target;
	out->headers = call->fields.items;
	out->n_headers = call->fields.count;
	out->remaining_us = (uint64_t)deadline_for_hop_us(
		call->deadline_us, path_us, clock_mono_us());
	out->idempotent = call->rule->idempotent;
	out->may_repeat = call->rule->idempotent &&
			  call_work_attempts(call) < call->max_attempts;
	out->target_us = call_target_left_us(call, path_us);
	out->priority = call->rule->class;
	out->fairness_key = call->fairness_key;
	out->body.data = call->body->data;
	out->body.len = call->body->len;
	out->body_ends = call->body_ends;
	out->depth = call->depth;
	out->holds_others = call->holds_others;
	out->answer_window = call->is_behind ? AHEAD_WINDOW_BYTES : 0;
}

static size_t fill_shed_statuses(const struct config_service *config,
				 uint32_t *statuses, size_t most)
{
	size_t count = 0;

	while (config->shed_statuses && config->shed_statuses[count] &&
	       count < most) {
		statuses[count] = config->shed_statuses[count];
		count++;
	}
	return count;
}

/* The attempts on a connection, until it is lost. */
static struct entry_attempt_list *attempts_of(struct entry *entry,
					      struct peer *peer)
{
	struct entry_attempt_list *list =
		g_hash_table_lookup(entry->by_peer, peer);

	if (!list) {
		list = g_new0(struct entry_attempt_list, 1);
		LIST_INIT(list);
		g_hash_table_insert(entry->by_peer, peer, list);
	}
	return list;
}

void entry_attempt_send(struct call *call, struct service_upstream *upstream,
			bool may_queue, bool is_hedge)
{
	struct entry *entry = call->entry;
	struct entry_attempt *attempt = g_new0(struct entry_attempt, 1);
	const struct member *member =
		member_table_find(entry->daemon->members, upstream->host);
	Cfd__Attempt out = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	uint32_t shed[16];

	attempt->call = call;
	attempt->upstream = service_upstream_ref(upstream);
	attempt->seq = ++entry->next_seq;
	attempt->is_hedge = is_hedge;
	attempt->has_small_window = call->is_behind;
	attempt->sent_us = clock_mono_us();
	attempt->state = ENTRY_PICKED;
	attempt->peer = peers_connect(entry->daemon->peers, member);
	peer_begin_use(attempt->peer);
	LIST_INSERT_HEAD(&call->active, attempt, link);
	LIST_INSERT_HEAD(attempts_of(entry, attempt->peer), attempt, peer_link);
	g_hash_table_insert(entry->attempts, &attempt->seq, attempt);
	fill_attempt(call, &out, upstream);
	out.seq = attempt->seq;
	out.may_queue = may_queue;
	out.other_pace_percent =
		pick_other_pace(&upstream->service->picks, &upstream->candidate,
				&call->tried, attempt->sent_us);
	out.last_resort =
		!is_hedge &&
		(call->returns ||
		 pick_count_untried(&call->service->picks, &call->tried) == 0);
	out.shed_statuses = shed;
	out.n_shed_statuses =
		fill_shed_statuses(call->config, shed, G_N_ELEMENTS(shed));
	out.time = timeline_now(&entry->daemon->timeline);
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &out;
	attempt->position = peer_send(attempt->peer, &frame);
	attempt_entry_step(&attempt->state, ENTRY_SEND);
	pick_note_sent(&upstream->service->picks, &upstream->candidate);
	attempt->epoch = health_note_sent(&upstream->service->health,
					  &upstream->health, attempt->sent_us);
	counters.entry_attempts++;
	call_note(call, is_hedge ? EV_ENTRY_HEDGED : EV_ENTRY_SENT,
		  LOG_INT("seq", attempt->seq), LOG_STR("to", upstream->host),
		  LOG_INT("may_queue", may_queue),
		  LOG_INT("outstanding", upstream->candidate.outstanding),
		  LOG_INT("running", upstream->candidate.load.running),
		  LOG_INT("pace", upstream->candidate.load.pace_percent),
		  LOG_INT("load_age_us",
			  attempt->sent_us - upstream->candidate.load_at_us));
}

void entry_attempt_cancel_waiting(struct entry_attempt *attempt)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	cancel.seq = attempt->seq;
	cancel.if_waiting = true;
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	peer_send(attempt->peer, &frame);
}

void entry_attempt_cancel(struct entry_attempt *attempt)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	if (attempt->cancelled)
		return;
	attempt->cancelled = true;
	cancel.seq = attempt->seq;
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	peer_send(attempt->peer, &frame);
}

void entry_attempt_ask(struct entry_attempt *attempt)
{
	Cfd__LoadQuery query = CFD__LOAD_QUERY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	query.seq = attempt->seq;
	frame.kind_case = CFD__FRAME__KIND_LOAD_QUERY;
	frame.load_query = &query;
	peer_send(attempt->peer, &frame);
}

void entry_attempt_destroy(struct entry_attempt *attempt)
{
	struct call *call = attempt->call;

	if (!attempt_entry_is_over(attempt->state)) {
		bool late = call->deadline_us <= clock_mono_us();

		entry_attempt_cancel(attempt);
		attempt_entry_step(&attempt->state, ENTRY_GIVE_UP);
		tell_end(attempt,
			 late || attempt->is_overtaken ? ATTEMPT_TIMED_OUT :
							 ATTEMPT_CANCELLED,
			 NULL);
	}
	if (call->answering == attempt)
		call->answering = NULL;
	g_hash_table_remove(call->entry->attempts, &attempt->seq);
	LIST_REMOVE(attempt, link);
	LIST_REMOVE(attempt, peer_link);
	peer_end_use(attempt->peer);
	service_upstream_unref(attempt->upstream);
	g_free(attempt);
}

void entry_attempt_send_body(struct entry_attempt *attempt, const void *bytes,
			     size_t size, bool ends)
{
	Cfd__Body body = CFD__BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	body.seq = attempt->seq;
	body.data.data = (uint8_t *)bytes;
	body.data.len = size;
	body.ends = ends;
	frame.kind_case = CFD__FRAME__KIND_BODY;
	frame.body = &body;
	peer_send(attempt->peer, &frame);
}

void entry_attempt_send_window(struct entry_attempt *attempt, uint32_t bytes)
{
	Cfd__Window window = CFD__WINDOW__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	window.seq = attempt->seq;
	window.bytes = bytes;
	frame.kind_case = CFD__FRAME__KIND_WINDOW;
	frame.window = &window;
	peer_send(attempt->peer, &frame);
}

/* RETURN VALUE: NULL, counted, for an attempt that is over: a late or doubled
 * answer reaches nobody. */
static struct entry_attempt *entry_find(struct entry *entry, struct peer *peer,
					uint64_t seq)
{
	struct entry_attempt *attempt =
		g_hash_table_lookup(entry->attempts, &seq);

	if (attempt && attempt->peer == peer)
		return attempt;
	counters.peer_unmatched++;
	return NULL;
}

/*
 * An upstream that has crashed refuses each connection at once, so its slots
 * look free and it draws the calls. Told to health as a mere refusal, it would
 * stay in use for as long as its daemon lives.
 */
static enum attempt_end refusal_end(Cfd__Reason reason)
{
	if (reason == CFD__REASON__REASON_BUSY)
		return ATTEMPT_REFUSED_BUSY;
	if (reason == CFD__REASON__REASON_CONNECT)
		return ATTEMPT_UNREACHED;
	return ATTEMPT_REFUSED;
}

static void take_not_run(struct entry *entry, struct peer *peer,
			 const Cfd__NotRun *not_run)
{
	struct entry_attempt *attempt = entry_find(entry, peer, not_run->seq);
	bool busy = not_run->reason == CFD__REASON__REASON_BUSY;
	enum attempt_end end = refusal_end(not_run->reason);

	timeline_observe(&entry->daemon->timeline, not_run->time);
	if (!attempt || !attempt_entry_step(&attempt->state, ENTRY_GET_NOT_RUN))
		return;
	tell_end(attempt, end, not_run->load);
	/* A refusal does no work: its time is the way there and back. */
	if (busy)
		deadline_path_note(&attempt->upstream->path,
				   clock_mono_us() - attempt->sent_us);
	call_note_not_run(attempt, not_run->reason, false,
			  not_run->retry_after_ms);
}

static void take_answer(struct entry *entry, struct peer *peer,
			const Cfd__Answer *answer)
{
	struct entry_attempt *attempt = entry_find(entry, peer, answer->seq);
	struct pick_load load;

	timeline_observe(&entry->daemon->timeline, answer->time);
	if (!attempt || !attempt_entry_step(&attempt->state, ENTRY_GET_ANSWER))
		return;
	attempt->head_us = clock_mono_us();
	attempt->failed = answer->status >= 500;
	service_upstream_note_heard(attempt->upstream, attempt->head_us);
	attempt->pace_percent = answer->pace_percent;
	if (answer->load && attempt->upstream->listed)
		pick_note_load(&attempt->upstream->service->picks,
			       &attempt->upstream->candidate,
			       read_load(answer->load, &load), attempt->head_us);
	call_note_head(attempt, answer);
}

static void take_answer_body(struct entry *entry, struct peer *peer,
			     const Cfd__AnswerBody *body)
{
	struct entry_attempt *attempt = entry_find(entry, peer, body->seq);
	struct call *call;

	if (!attempt || attempt->state != ENTRY_ANSWERING)
		return;
	call = attempt->call;
	call->heard_us = clock_mono_us();
	call->unread += body->data.len;
	if (body->data.len)
		call->sink->handle_body(call->sink_data, body->data.data,
					body->data.len);
	if (body->ends) {
		attempt_entry_step(&attempt->state, ENTRY_GET_END);
		tell_end(attempt,
			 attempt->failed ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
			 body->load);
		call_note_end(attempt);
	} else if (body->aborted) {
		attempt_entry_step(&attempt->state, ENTRY_GET_FAILED);
		tell_end(attempt, ATTEMPT_LOST, body->load);
		call_note_unknown(attempt, true);
	}
}

static void take_failed(struct entry *entry, struct peer *peer,
			const Cfd__Failed *failed)
{
	struct entry_attempt *attempt = entry_find(entry, peer, failed->seq);

	timeline_observe(&entry->daemon->timeline, failed->time);
	if (!attempt || !attempt_entry_step(&attempt->state, ENTRY_GET_FAILED))
		return;
	tell_end(attempt, attempt->cancelled ? ATTEMPT_TIMED_OUT : ATTEMPT_LOST,
		 failed->load);
	call_note_unknown(attempt, !attempt->cancelled);
}

static void take_load_report(struct entry *entry, struct peer *peer,
			     const Cfd__LoadReport *report)
{
	struct entry_attempt *attempt;
	struct pick_load load;

	if (report->seq == 0 && report->load) {
		services_note_load(entry->services, peer_host(peer),
				   read_load(report->load, &load));
		return;
	}
	attempt = entry_find(entry, peer, report->seq);
	if (!attempt)
		return;
	service_upstream_note_heard(attempt->upstream, clock_mono_us());
	if (report->load && attempt->upstream->listed)
		pick_note_load(&attempt->upstream->service->picks,
			       &attempt->upstream->candidate,
			       read_load(report->load, &load), clock_mono_us());
	call_note_verdict(attempt, report->overdue);
}

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct entry *entry = data;
	struct entry_attempt *attempt;

	switch (frame->kind_case) {
	case CFD__FRAME__KIND_NOT_RUN:
		take_not_run(entry, peer, frame->not_run);
		break;
	case CFD__FRAME__KIND_ANSWER:
		take_answer(entry, peer, frame->answer);
		break;
	case CFD__FRAME__KIND_ANSWER_BODY:
		take_answer_body(entry, peer, frame->answer_body);
		break;
	case CFD__FRAME__KIND_FAILED:
		take_failed(entry, peer, frame->failed);
		break;
	case CFD__FRAME__KIND_LOAD_REPORT:
		take_load_report(entry, peer, frame->load_report);
		break;
	case CFD__FRAME__KIND_WINDOW:
		attempt = entry_find(entry, peer, frame->window->seq);
		if (attempt)
			call_note_room(attempt, frame->window->bytes);
		break;
	default:
		counters.peer_bad_frames++;
		break;
	}
}

static void attempt_lose(struct entry_attempt *attempt)
{
	bool left = peer_has_handed_over(attempt->peer, attempt->position);

	attempt_entry_step(&attempt->state,
			   left ? ENTRY_LINK_LOST : ENTRY_LINK_LOST_UNSENT);
	tell_end(attempt, ATTEMPT_LOST, NULL);
	if (attempt->state == ENTRY_NOT_RUN)
		call_note_not_run(attempt, CFD__REASON__REASON_CONNECT, true, 0);
	else
		call_note_unknown(attempt, true);
}

/* Whatever one loss leads to may end other attempts of the same connection,
 * so the first of those left is taken each time. */
static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct entry *entry = data;
	struct entry_attempt_list *list = attempts_of(entry, peer);
	struct entry_attempt *attempt;

	(void)error;
	while ((attempt = LIST_FIRST(list)))
		attempt_lose(attempt);
	g_hash_table_remove(entry->by_peer, peer);
}

void entry_fill_role(struct entry *entry, struct peers_role *role)
{
	role->handle_frame = handle_frame;
	role->handle_lost = handle_lost;
	role->data = entry;
}
