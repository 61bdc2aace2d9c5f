#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"

#include "comfreydockd/caller/feedback.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/pick.h"
#include "comfreydockd/decide/pipeline.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/key_text.h"

/* If this many owners are behind as well, or all that can be tried, the call does
 * better by the old rule than by none. */
#define BEHIND_REFUSALS_MAX 3

/* RETURN VALUE: the time left until the rule's target, at least 1; 0 if the
 * rule has no target. */
static uint64_t call_target_left_us(const struct call *call, int64_t path_us)
{
	int64_t target_us = call->rule->target_ms * US_PER_MS;
	int64_t left_us = call->began_us + target_us - clock_mono_us();

	if (target_us == 0)
		return 0;
	return (uint64_t)MAX(left_us - path_us, 1);
}

/* A call that began before the configuration held here was adopted keeps its
 * rule, so it is not checked. */
static void fill_rule_check(const struct call *call, Cfd__Attempt *out)
{
	const struct config_store *store = call->entry->daemon->config;

	if (call->config_head != config_store_head(store))
		return;
	out->config_head = call->config_head;
	if (call->behind_refusals < BEHIND_REFUSALS_MAX &&
	    !call->has_retried_refused)
		out->required_head = config_store_required_head(store);
	if (config_store_known_head(store) > call->config_head)
		out->key_digest = (char *)call->key_digest;
}

static void fill_attempt(const struct call *call, Cfd__Attempt *out,
			 const struct service_upstream *upstream)
{
	int64_t path_us = deadline_rtt_us(&upstream->rtt);

	out->trace = call->trace;
	out->group = (char *)call->group;
	out->method = call->method;
	out->target = call->target;
	out->headers = call->fields.items;
	out->n_headers = call->fields.count;
	out->remaining_us = (uint64_t)deadline_for_hop_us(
		call->deadline_us, path_us, clock_mono_us());
	out->idempotent = call->rule->idempotent;
	out->may_repeat = call->rule->idempotent &&
			  call_counted_attempts(call) < call->max_attempts;
	out->target_us = call_target_left_us(call, path_us);
	out->priority = call->class;
	out->fairness_key = call->fairness_key;
	out->body.data = call->body->data;
	out->body.len = call->body->len;
	out->body_ends = call->body_ends;
	out->content_key = call->content_key;
	out->depth = call->depth;
	out->holds_others = call->holds_others;
	out->answer_window = call->answer_blocked ? PIPELINE_WINDOW_BYTES : 0;
	fill_rule_check(call, out);
}

static size_t fill_shed_statuses(const struct config_service *config,
				 uint32_t *statuses, size_t max_count)
{
	size_t count = 0;

	while (config->shed_statuses && config->shed_statuses[count] &&
	       count < max_count) {
		statuses[count] = config->shed_statuses[count];
		count++;
	}
	return count;
}

struct entry_attempt_list *entry_attempts_of(struct entry *entry,
					     struct peer *peer)
{
	struct entry_attempt_list *list =
		g_hash_table_lookup(entry->attempts_by_peer, peer);

	if (!list) {
		list = g_new0(struct entry_attempt_list, 1);
		LIST_INIT(list);
		g_hash_table_insert(entry->attempts_by_peer, peer, list);
	}
	return list;
}

/* RETURN VALUE: an attempt that has not been sent. */
static struct entry_attempt *entry_attempt_new(struct call *call,
					       struct service_upstream *upstream,
					       bool is_parallel)
{
	struct entry *entry = call->entry;
	struct entry_attempt *attempt = g_new0(struct entry_attempt, 1);
	const struct member *member =
		member_table_find(entry->daemon->members, upstream->host);

	attempt->call = call;
	attempt->upstream = service_upstream_ref(upstream);
	attempt->seq = ++entry->next_seq;
	attempt->is_parallel = is_parallel;
	attempt->waits_locally = !is_parallel && call->stay_reason == STAY_WAITS;
	attempt->has_small_window = call->answer_blocked;
	attempt->sent_us = clock_mono_us();
	attempt->state = ENTRY_PICKED;
	attempt->peer = peers_connect(entry->daemon->peers, member);
	peer_begin_use(attempt->peer);
	LIST_INSERT_HEAD(&call->active, attempt, link);
	LIST_INSERT_HEAD(entry_attempts_of(entry, attempt->peer), attempt,
			 peer_link);
	g_hash_table_insert(entry->attempts, &attempt->seq, attempt);
	return attempt;
}

static void attempt_log_sent(const struct entry_attempt *attempt, bool may_queue)
{
	struct call *call = attempt->call;
	const struct service_upstream *upstream = attempt->upstream;
	const struct pick_candidate *candidate = &upstream->candidate;
	char content[KEY_TEXT_SIZE];

	call_log_event(
		call, attempt->is_parallel ? EV_ENTRY_HEDGED : EV_ENTRY_SENT,
		LOG_INT("seq", attempt->seq), LOG_STR("to", upstream->host),
		LOG_STR("content", key_text(call->content_key, content)),
		LOG_INT("may_queue", may_queue),
		LOG_INT("leaves", !candidate->local),
		LOG_STR("stay", attempt->is_parallel ?
					"parallel" :
					stay_reason_name(call->stay_reason)),
		LOG_INT("outstanding", candidate->outstanding),
		LOG_INT("running", candidate->load.running),
		LOG_INT("pace", candidate->load.pace_percent),
		LOG_INT("load_age_us", attempt->sent_us - candidate->load_at_us));
}

void entry_attempt_send(struct call *call, struct service_upstream *upstream,
			bool may_queue, bool is_parallel)
{
	struct entry_attempt *attempt =
		entry_attempt_new(call, upstream, is_parallel);
	Cfd__Attempt out = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	uint32_t shed[16];

	fill_attempt(call, &out, upstream);
	out.seq = attempt->seq;
	out.may_queue = may_queue;
	out.other_pace_percent =
		pick_other_pace(&upstream->service->picks, &upstream->candidate,
				&call->tried, attempt->sent_us);
	out.last_resort = !is_parallel &&
			  (call->has_retried_refused || call_untried(call) == 0);
	out.shed_statuses = shed;
	out.n_shed_statuses = fill_shed_statuses(call->service_config, shed,
						 G_N_ELEMENTS(shed));
	out.time = timeline_now(&call->entry->daemon->timeline);
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &out;
	attempt->position = peer_send(attempt->peer, &frame);
	attempt_entry_step(&attempt->state, ENTRY_SEND);
	pick_note_sent(&upstream->service->picks, &upstream->candidate);
	attempt->epoch = health_note_sent(&upstream->service->health,
					  &upstream->health, attempt->sent_us);
	counters.entry_attempts++;
	attempt_log_sent(attempt, may_queue);
}

static void send_cancel(struct entry_attempt *attempt, bool if_waiting)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	cancel.seq = attempt->seq;
	cancel.if_waiting = if_waiting;
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	peer_send(attempt->peer, &frame);
}

void entry_attempt_cancel_waiting(struct entry_attempt *attempt)
{
	send_cancel(attempt, true);
}

void entry_attempt_cancel(struct entry_attempt *attempt)
{
	if (attempt->cancelled)
		return;
	attempt->cancelled = true;
	send_cancel(attempt, false);
}

void entry_attempt_query_overdue(struct entry_attempt *attempt)
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
		feedback_note_end(attempt,
				  late || attempt->is_overtaken ?
					  ATTEMPT_TIMED_OUT :
					  ATTEMPT_CANCELLED,
				  NULL);
	}
	if (call->answering_attempt == attempt)
		call->answering_attempt = NULL;
	if (call->queried_attempt == attempt)
		call->queried_attempt = NULL;
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
