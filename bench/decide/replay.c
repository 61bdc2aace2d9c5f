#include "bench/decide/replay.h"

#include <string.h>

#include "comfreydockd/decide/retry.h"
#include "events.h"

/* One way inside a failure domain, as a part of the delay between two. */
#define LOCAL_DELAY_PART 5
#define RETRY_PERCENT 10
#define FAIL_FAST_US 100
#define HEALTH_TICK_US ((int64_t)100 * 1000)

struct owner {
	uint32_t running;
	uint32_t limit;
	enum trace_fault_kind fault;
	double factor; /* work takes so many times as long */
	GQueue *queue; /* of struct request, by arrival */
};

struct entry {
	struct pick_set set;
	struct pick_candidate *candidates;
	struct retry retry;
	struct health health;
	struct health_upstream *upstreams;
	int64_t ticked_us;
};

/* One call and its current attempt. */
struct request {
	const struct trace_call *call;
	struct pick_tried tried;
	uint32_t attempts;
	uint32_t upstream;
	bool may_queue;
	int64_t sent_us;
	enum retry_outcome outcome;
	bool error; /* an answer, and the upstream's own error */
	bool out; /* an attempt is under way */
	bool closed; /* the caller has its answer */
	uint32_t epoch;
	struct pick_load load; /* travels with the answer */
};

struct replay {
	const struct trace *trace;
	const struct replay_options *options;
	struct replay_result *result;
	struct events events;
	struct entry *entries;
	struct owner *owners;
	GQueue *shared_queue; /* where options->policy is NULL */
	struct request *requests;
	struct random_state random;
};

static int64_t deadline_of(const struct replay *r, const struct request *q)
{
	return q->call->at_us + r->trace->deadline_us;
}

static bool is_local(const struct replay *r, uint32_t entry, uint32_t upstream)
{
	return entry % r->trace->domains == upstream % r->trace->domains;
}

static int64_t delay_of(const struct replay *r, const struct request *q)
{
	if (is_local(r, q->call->entry, q->upstream))
		return r->trace->delay_us / LOCAL_DELAY_PART;
	return r->trace->delay_us;
}

static GQueue *queue_of(struct replay *r, uint32_t upstream)
{
	if (!r->options->policy)
		return r->shared_queue;
	return r->owners[upstream].queue;
}

static void handle_arrival(void *replay, void *request);
static void handle_end(void *replay, void *request);
static void handle_answer(void *replay, void *request);

static void after(struct replay *r, int64_t delay_us,
		  void (*handle)(void *replay, void *request), struct request *q)
{
	events_add(&r->events, r->events.now_us + delay_us, handle, q);
}

/* The owner's side. */

static void answer(struct replay *r, struct request *q, enum retry_outcome outcome)
{
	const struct owner *owner = &r->owners[q->upstream];

	q->outcome = outcome;
	q->load.running = owner->running;
	q->load.queued = g_queue_get_length(owner->queue);
	q->load.limit = owner->limit;
	after(r, delay_of(r, q), handle_answer, q);
}

static void start(struct replay *r, struct request *q)
{
	struct owner *owner = &r->owners[q->upstream];

	owner->running++;
	q->error = owner->fault == TRACE_FAULT_FAST;
	if (q->error)
		after(r, FAIL_FAST_US, handle_end, q);
	else
		after(r, (int64_t)((double)q->call->work_us * owner->factor),
		      handle_end, q);
}

static void start_next(struct replay *r, uint32_t upstream)
{
	GQueue *queue = queue_of(r, upstream);
	struct request *q;

	while ((q = g_queue_pop_head(queue))) {
		q->upstream = upstream;
		if (r->events.now_us < deadline_of(r, q)) {
			start(r, q);
			return;
		}
		answer(r, q, RETRY_OUTCOME_OVERLOAD);
	}
}

static void handle_end(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;
	r->owners[q->upstream].running--;
	start_next(r, q->upstream);
	answer(r, q, RETRY_OUTCOME_ANSWERED);
}

/* The bound: whoever is free takes from the one queue. */
static void find_free(struct replay *r, struct request *q)
{
	for (uint32_t i = 0; i < r->trace->upstreams; i++) {
		if (r->owners[i].running < r->owners[q->upstream].running)
			q->upstream = i;
	}
}

static void handle_arrival(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;
	struct owner *owner;

	if (!r->options->policy)
		find_free(r, q);
	owner = &r->owners[q->upstream];
	if (owner->fault == TRACE_FAULT_SILENT)
		return;
	if (owner->running < owner->limit) {
		start(r, q);
		return;
	}
	if (q->may_queue) {
		g_queue_push_tail(queue_of(r, q->upstream), q);
		return;
	}
	answer(r, q, RETRY_OUTCOME_BUSY);
}

/* The entry's side. */

static void finish(struct replay *r, struct request *q)
{
	int64_t latency_us = r->events.now_us - q->call->at_us;

	q->closed = true;
	if (q->outcome == RETRY_OUTCOME_UNKNOWN) {
		r->result->timeouts++;
		return;
	}
	if (q->outcome != RETRY_OUTCOME_ANSWERED) {
		r->result->not_run++;
		return;
	}
	if (q->error) {
		r->result->errors++;
		return;
	}
	r->result->answered++;
	r->result->late += latency_us > r->trace->deadline_us;
	g_array_append_val(r->result->latencies_us, latency_us);
}

/* Takes over what health says, as a daemon does between its events. */
static void refresh_health(struct replay *r, struct entry *entry)
{
	int64_t now_us = r->events.now_us;

	if (now_us - entry->ticked_us >= HEALTH_TICK_US) {
		health_tick(&entry->health, now_us);
		entry->ticked_us = now_us;
	}
	for (uint32_t i = 0; i < r->trace->upstreams; i++)
		entry->candidates[i].usable =
			health_is_usable(&entry->upstreams[i]);
}

static void handle_send(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;
	struct entry *entry = &r->entries[q->call->entry];
	int64_t now_us = r->events.now_us;
	bool last = q->attempts + 1 >= r->options->max_attempts;
	struct pick_candidate *c;

	refresh_health(r, entry);
	c = pick_choose(&entry->set, &q->tried, now_us);
	if (!c) {
		finish(r, q);
		return;
	}
	q->out = true;
	q->attempts++;
	q->sent_us = now_us;
	q->upstream = (uint32_t)(c - entry->candidates);
	q->may_queue = !r->options->busy_refusal ||
		       pick_may_queue(&entry->set, c, &q->tried, last, now_us);
	pick_tried_add(&q->tried, c->id);
	pick_note_sent(&entry->set, c);
	q->epoch = health_note_sent(&entry->health,
				    &entry->upstreams[q->upstream], now_us);
	r->result->attempts++;
	r->result->remote += !is_local(r, q->call->entry, q->upstream);
	after(r, delay_of(r, q), handle_arrival, q);
}

static void note_health(struct replay *r, const struct request *q)
{
	struct entry *entry = &r->entries[q->call->entry];
	struct health_upstream *upstream = &entry->upstreams[q->upstream];
	int64_t now_us = r->events.now_us;

	if (q->outcome == RETRY_OUTCOME_ANSWERED)
		health_note_ended(&entry->health, upstream, q->epoch,
				  q->error ? HEALTH_ERROR : HEALTH_OK, now_us);
	else if (q->outcome == RETRY_OUTCOME_UNKNOWN)
		health_note_ended(&entry->health, upstream, q->epoch,
				  HEALTH_TIMEOUT, now_us);
	else
		health_note_refused(&entry->health, upstream, q->epoch, true,
				    now_us);
}

static void note_pick(struct replay *r, const struct request *q)
{
	struct entry *entry = &r->entries[q->call->entry];
	struct pick_candidate *c = &entry->candidates[q->upstream];
	int64_t now_us = r->events.now_us;
	int64_t latency_us = now_us - q->sent_us;
	bool busy = q->outcome == RETRY_OUTCOME_BUSY;

	r->result->refusals += busy;
	if (q->outcome == RETRY_OUTCOME_UNKNOWN)
		pick_note_failed(&entry->set, c, latency_us, NULL, now_us);
	else if (q->outcome != RETRY_OUTCOME_ANSWERED)
		pick_note_refused(&entry->set, c, busy, &q->load, now_us);
	else if (q->error)
		pick_note_failed(&entry->set, c, latency_us, &q->load, now_us);
	else
		pick_note_done(&entry->set, c, latency_us, &q->load, now_us);
}

static void end_attempt(struct replay *r, struct request *q)
{
	q->out = false;
	if (!r->options->policy)
		return;
	note_pick(r, q);
	note_health(r, q);
}

static void handle_answer(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;
	struct entry *entry = &r->entries[q->call->entry];
	struct retry_question question = {
		.outcome = q->outcome,
		.attempts = q->attempts,
		.max_attempts = r->options->max_attempts,
		.deadline_us = deadline_of(r, q),
	};
	struct retry_answer a;

	if (q->closed)
		return;
	end_attempt(r, q);
	question.untried = pick_count_untried(&entry->set, &q->tried);
	a = retry_decide(&entry->retry, &question, &r->random, r->events.now_us);
	if (a.verdict == RETRY_GO)
		after(r, a.delay_us, handle_send, q);
	else
		finish(r, q);
}

/* A little after the deadline, so that an answer just in time still counts. */
static void handle_deadline(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;

	if (q->closed || !q->out)
		return;
	q->outcome = RETRY_OUTCOME_UNKNOWN;
	end_attempt(r, q);
	finish(r, q);
}

static void handle_call(void *replay, void *request)
{
	struct replay *r = replay;
	struct request *q = request;
	struct entry *entry = &r->entries[q->call->entry];

	after(r, r->trace->deadline_us + r->trace->delay_us, handle_deadline, q);
	pick_note_request(&entry->set);
	retry_note_request(&entry->retry);
	if (r->options->policy) {
		handle_send(r, q);
		return;
	}
	q->may_queue = true;
	q->out = true;
	r->result->attempts++;
	after(r, r->trace->delay_us, handle_arrival, q);
}

static void handle_speed(void *replay, void *data)
{
	struct replay *r = replay;
	const struct trace_speed *speed = data;

	r->owners[speed->upstream].factor = speed->factor;
}

static void handle_fault(void *replay, void *data)
{
	struct replay *r = replay;
	const struct trace_fault *fault = data;

	r->owners[fault->upstream].fault = fault->kind;
}

/* Set-up. */

static void set_up_entry(struct replay *r, uint32_t number)
{
	struct entry *entry = &r->entries[number];
	const struct pick_policy *policy = r->options->policy;

	pick_set_init(&entry->set, policy ? policy : pick_default_policy,
		      random_u64(&r->random));
	retry_init(&entry->retry, RETRY_PERCENT);
	health_init(&entry->health,
		    r->options->health ? r->options->health : &health_none,
		    random_u64(&r->random));
	entry->candidates = g_new0(struct pick_candidate, r->trace->upstreams);
	entry->upstreams = g_new0(struct health_upstream, r->trace->upstreams);
	for (uint32_t i = 0; i < r->trace->upstreams; i++) {
		struct pick_candidate *c = &entry->candidates[i];

		pick_candidate_init(c, i + 1);
		c->usable = true;
		c->slots = r->trace->slots;
		c->local = is_local(r, number, i);
		pick_set_add(&entry->set, c);
		health_add(&entry->health, &entry->upstreams[i], true);
	}
}

static void add_events(struct replay *r)
{
	const struct trace *trace = r->trace;

	for (guint i = 0; i < trace->speeds->len; i++) {
		struct trace_speed *s =
			&g_array_index(trace->speeds, struct trace_speed, i);

		events_add(&r->events, s->at_us, handle_speed, s);
	}
	for (guint i = 0; i < trace->faults->len; i++) {
		struct trace_fault *f =
			&g_array_index(trace->faults, struct trace_fault, i);

		events_add(&r->events, f->at_us, handle_fault, f);
	}
	for (guint i = 0; i < trace->calls->len; i++) {
		r->requests[i].call =
			&g_array_index(trace->calls, struct trace_call, i);
		events_add(&r->events, r->requests[i].call->at_us, handle_call,
			   &r->requests[i]);
	}
}

static void set_up(struct replay *r)
{
	const struct trace *trace = r->trace;

	r->random.state = r->options->seed;
	events_init(&r->events, r);
	r->shared_queue = g_queue_new();
	r->owners = g_new0(struct owner, trace->upstreams);
	r->entries = g_new0(struct entry, trace->entries);
	r->requests = g_new0(struct request, trace->calls->len);
	for (uint32_t i = 0; i < trace->upstreams; i++) {
		r->owners[i].limit = trace->slots;
		r->owners[i].factor = 1.0;
		r->owners[i].queue = g_queue_new();
	}
	for (uint32_t i = 0; i < trace->entries; i++)
		set_up_entry(r, i);
	add_events(r);
}

static void tear_down(struct replay *r)
{
	for (uint32_t i = 0; i < r->trace->entries; i++) {
		pick_set_finish(&r->entries[i].set);
		g_free(r->entries[i].candidates);
		g_free(r->entries[i].upstreams);
	}
	for (uint32_t i = 0; i < r->trace->upstreams; i++)
		g_queue_free(r->owners[i].queue);
	g_queue_free(r->shared_queue);
	g_free(r->owners);
	g_free(r->entries);
	g_free(r->requests);
	events_finish(&r->events);
}

static int compare_latency(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

void replay_run(const struct trace *trace, const struct replay_options *options,
		struct replay_result *result)
{
	struct replay r = {
		.trace = trace,
		.options = options,
		.result = result,
	};

	memset(result, 0, sizeof(*result));
	result->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	result->calls = trace->calls->len;
	set_up(&r);
	events_run(&r.events);
	tear_down(&r);
	g_array_sort(result->latencies_us, compare_latency);
}

void replay_result_finish(struct replay_result *result)
{
	g_array_free(result->latencies_us, TRUE);
}

int64_t replay_percentile(const struct replay_result *result, double share)
{
	guint count = result->latencies_us->len;

	if (count == 0)
		return 0;
	return g_array_index(result->latencies_us, int64_t,
			     MIN((guint)(share * count), count - 1));
}
