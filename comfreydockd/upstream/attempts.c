#include "comfreydockd/upstream/attempts.h"

#include <inttypes.h>

#include "comfreydockd/daemon.h"
#include "comfreydockd/upstream/answer.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/latency.h"
#include "common/log.h"
#include "common/tally.h"

/* Writes an event to the time line and the log, with the attempt's sequence
 * number and the name of the daemon that sent it (its entry). */
#define attempt_note(attempt, event, ...)                                         \
	timeline_log(&owner_daemon((attempt)->owner)->timeline,                   \
		     (attempt)->request->trace, event,                            \
		     LOG_INT("seq", (attempt)->request->seq),                     \
		     LOG_STR("from",                                              \
			     (attempt)->peer ? peer_host((attempt)->peer) : "-"), \
		     __VA_ARGS__)

void attempt_destroy(struct owner_attempt *attempt)
{
	if (attempt->peer)
		LIST_REMOVE(attempt, link);
	owner_remove_from_gate(attempt->owner, attempt);
	run_destroy(attempt->run);
	if (attempt->body)
		g_byte_array_unref(attempt->body);
	cfd__attempt__free_unpacked(attempt->request, NULL);
	g_free(attempt);
}

void attempt_refuse(struct owner_attempt *attempt, Cfd__Reason reason,
		    uint32_t retry_after_ms)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__NotRun not_run = CFD__NOT_RUN__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	const ProtobufCEnumValue *name;

	name = protobuf_c_enum_descriptor_get_value(&cfd__reason__descriptor,
						    (int)reason);
	counters.owner_refused++;
	tally_add(TALLY_REFUSALS, name ? name->name : "", NULL);
	attempt_note(attempt, EV_OWNER_REFUSED,
		     LOG_STR("reason", name ? name->name : ""),
		     LOG_INT("running", owner_running(attempt->owner)),
		     LOG_INT("pace", owner_pace_percent(attempt->owner)),
		     LOG_INT("pace_age_us", owner_pace_age_us(attempt->owner)));
	if (attempt->peer) {
		owner_fill_load(attempt->owner, &load);
		not_run.seq = attempt->request->seq;
		not_run.reason = reason;
		not_run.retry_after_ms = retry_after_ms;
		not_run.load = &load;
		not_run.time =
			timeline_now(&owner_daemon(attempt->owner)->timeline);
		frame.kind_case = CFD__FRAME__KIND_NOT_RUN;
		frame.not_run = &not_run;
		peer_send(attempt->peer, &frame);
	}
	attempt_destroy(attempt);
}

static void attempt_send_failed(struct owner_attempt *attempt, const char *text)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__Failed failed = CFD__FAILED__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	if (!attempt->peer)
		return;
	owner_fill_load(attempt->owner, &load);
	failed.seq = attempt->request->seq;
	failed.text = (char *)text;
	failed.load = &load;
	failed.time = timeline_now(&owner_daemon(attempt->owner)->timeline);
	frame.kind_case = CFD__FRAME__KIND_FAILED;
	frame.failed = &failed;
	peer_send(attempt->peer, &frame);
}

static void attempt_send_answer_body(struct owner_attempt *attempt,
				     const void *bytes, size_t size, bool ends,
				     bool aborted)
{
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	if (!attempt->peer)
		return;
	body.seq = attempt->request->seq;
	body.data.data = (uint8_t *)bytes;
	body.data.len = size;
	body.ends = ends;
	body.aborted = aborted;
	if (ends || aborted) {
		owner_fill_load(attempt->owner, &load);
		body.load = &load;
	}
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(attempt->peer, &frame);
}

static bool status_is_shed(const struct owner_attempt *attempt,
			   unsigned int status)
{
	for (size_t i = 0; i < attempt->request->n_shed_statuses; i++) {
		if (attempt->request->shed_statuses[i] == status)
			return true;
	}
	return false;
}

static enum answer_verdict attempt_classify(const struct owner_attempt *attempt,
					    unsigned int status,
					    const struct fields *fields)
{
	const struct headers *headers = owner_daemon(attempt->owner)->headers;
	const char *trace = attempt->request->trace;

	if (status_is_shed(attempt, status))
		return answer_classify_shed(headers, trace, fields);
	return answer_classify(headers, trace, status, fields);
}

static bool handle_head(void *data, unsigned int status,
			const struct fields *fields, int64_t length)
{
	struct owner_attempt *attempt = data;
	Cfd__Load load = CFD__LOAD__INIT;
	Cfd__Answer answer = CFD__ANSWER__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	attempt->head_us = clock_mono_us();
	attempt->progress_us = attempt->head_us;
	attempt->status = status;
	owner_note_arrived(attempt->owner, attempt);
	latency_record_us(&latencies.owner_upstream,
			  attempt->head_us - attempt->started_us);
	attempt->verdict = attempt_classify(attempt, status, fields);
	if (attempt->verdict == ANSWER_GOOD ||
	    attempt->verdict == ANSWER_NOT_RUN) {
		owner_note_load_header(attempt->owner, fields);
		owner_note_answer(attempt->owner, attempt, fields);
	}
	if (attempt->verdict != ANSWER_GOOD)
		return false;
	if (!attempt->peer)
		return true;
	owner_fill_load(attempt->owner, &load);
	answer.seq = attempt->request->seq;
	answer.status = status;
	answer.headers = fields->items;
	answer.n_headers = fields->count;
	answer.length = length;
	answer.load = &load;
	answer.pace_percent = attempt->pace_percent;
	answer.upstream_us = (uint64_t)(attempt->head_us - attempt->started_us);
	answer.time = timeline_now(&owner_daemon(attempt->owner)->timeline);
	frame.kind_case = CFD__FRAME__KIND_ANSWER;
	frame.answer = &answer;
	peer_send(attempt->peer, &frame);
	return true;
}

static void handle_answer_body(void *data, const void *bytes, size_t size)
{
	struct owner_attempt *attempt = data;

	attempt->credit -= (int64_t)size;
	attempt->progress_us = clock_mono_us();
	if (attempt->credit <= 0 && !attempt->stalled_since_us)
		attempt->stalled_since_us = attempt->progress_us;
	attempt_send_answer_body(attempt, bytes, size, false, false);
}

static void handle_request_body_consumed(void *data, size_t size)
{
	struct owner_attempt *attempt = data;
	Cfd__Window window = CFD__WINDOW__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	if (!attempt->peer || attempt->body_ends)
		return;
	window.seq = attempt->request->seq;
	window.bytes = (uint32_t)size;
	frame.kind_case = CFD__FRAME__KIND_WINDOW;
	frame.window = &window;
	peer_send(attempt->peer, &frame);
}

static void attempt_finish_complete(struct owner_attempt *attempt)
{
	/* The entry gets a 5xx as a complete answer. The owner counts it as a
	 * failure in the reported service time, and the quarantine does not
	 * clear the request for it. */
	bool failed = attempt->status >= 500;

	attempt_owner_step(&attempt->state, OWNER_FINISH);
	attempt_note(attempt, EV_OWNER_DONE, LOG_INT("status", attempt->status),
		     LOG_INT("took_us", clock_mono_us() - attempt->started_us));
	owner_note_finished(attempt->owner, attempt,
			    failed ? LIMIT_OUTCOME_FAILED : LIMIT_OUTCOME_OK);
	owner_note_breaker_result(attempt->owner, true);
	attempt_send_answer_body(attempt, NULL, 0, true, false);
	attempt_destroy(attempt);
}

/* Ends an attempt that was started but certainly did not run: nothing was
 * written to the upstream, the upstream itself states that it did not run the
 * request, or another instance than the expected one rejected it. */
static void attempt_finish_not_run(struct owner_attempt *attempt)
{
	struct owner *owner = attempt->owner;

	Cfd__Reason reason = CFD__REASON__REASON_CONNECT;

	attempt_owner_step(&attempt->state, OWNER_NEVER_BEGAN);
	owner_note_finished(owner, attempt, LIMIT_OUTCOME_OVERLOAD);
	if (attempt->verdict == ANSWER_NOT_RUN) {
		reason = CFD__REASON__REASON_SHED;
	} else if (attempt->verdict == ANSWER_OTHER_INSTANCE) {
		/* Another process listens at the announced address, so this
		 * host has no known upstream until the next announcement. */
		reason = CFD__REASON__REASON_NO_UPSTREAM;
		owner_note_other_instance(owner);
	} else {
		owner_note_connection_refused(owner);
	}
	attempt_refuse(attempt, reason, owner_retry_after_ms(owner));
}

/* Ends an attempt that may have run but has no complete answer. head_was_sent:
 * the entry already has the answer's head, so only an aborted end of the body
 * can tell it of the failure. */
static void attempt_finish_broken(struct owner_attempt *attempt,
				  bool head_was_sent, const char *why)
{
	attempt_owner_step(&attempt->state, OWNER_BREAK);
	counters.owner_broken++;
	attempt_note(attempt, EV_OWNER_BROKEN, LOG_STR("why", why),
		     LOG_INT("took_us", clock_mono_us() - attempt->started_us));
	/* Without a complete answer the duration says nothing about the
	 * upstream's speed; LIMIT_OUTCOME_CANCELLED keeps it out of all
	 * estimates. */
	owner_note_finished(attempt->owner, attempt, LIMIT_OUTCOME_CANCELLED);
	if (head_was_sent)
		attempt_send_answer_body(attempt, NULL, 0, false, true);
	else
		attempt_send_failed(attempt, why);
	attempt_destroy(attempt);
}

/* Rejects an answer that can't be attributed to this request, or whose trailer
 * section has a fault. The run has already closed the connection, so later bytes
 * on it reach no caller. */
static void attempt_finish_strange(struct owner_attempt *attempt)
{
	const char *fault = run_fault(attempt->run);
	const char *verdict =
		fault ? "malformed" : answer_verdict_name(attempt->verdict);
	bool head_was_sent = attempt->head_us && attempt->verdict == ANSWER_GOOD;

	counters.owner_malformed_heads += fault != NULL;
	log_event(EV_OWNER_STRANGE_ANSWER,
		  LOG_STR("trace", attempt->request->trace),
		  LOG_STR("verdict", verdict), LOG_STR("fault", fault),
		  LOG_INT("status", attempt->status));
	attempt_finish_broken(attempt, head_was_sent, verdict);
}

static void handle_done(void *data, enum run_result result)
{
	struct owner_attempt *attempt = data;
	struct owner *owner = attempt->owner;

	if (attempt->verdict == ANSWER_NOT_RUN ||
	    attempt->verdict == ANSWER_OTHER_INSTANCE || result == RUN_NOT_BEGUN) {
		attempt_finish_not_run(attempt);
		return;
	}
	if (attempt->verdict == ANSWER_GOOD && result == RUN_COMPLETE) {
		attempt_finish_complete(attempt);
		return;
	}
	if (attempt->verdict != ANSWER_GOOD || run_fault(attempt->run)) {
		attempt_finish_strange(attempt);
	} else {
		owner_note_broken(owner, attempt);
		attempt_finish_broken(attempt, result == RUN_TRUNCATED,
				      "the upstream broke off");
	}
	owner_note_breaker_result(owner, false);
}

void attempt_abort(struct owner_attempt *attempt, const char *why)
{
	/* Nothing was written yet, so "not run" is certain and tells the entry
	 * more than "failed". */
	if (!run_has_begun(attempt->run)) {
		attempt_owner_step(&attempt->state, OWNER_NEVER_BEGAN);
		owner_note_finished(attempt->owner, attempt,
				    LIMIT_OUTCOME_CANCELLED);
		attempt_refuse(attempt, CFD__REASON__REASON_CANCELLED, 0);
		return;
	}
	attempt_finish_broken(attempt, attempt->head_us != 0, why);
}

void attempt_cancel_running(struct owner_attempt *attempt)
{
	/* An idempotent request may be aborted at any time. A request whose
	 * body is incomplete must be aborted: if the body were ended here, the
	 * upstream would take the part for the whole and, for example, make a
	 * reservation that nobody asked for. */
	if (attempt->request->idempotent || !run_has_begun(attempt->run) ||
	    !attempt->body_ends) {
		attempt_abort(attempt, "cancelled");
		return;
	}
	/* Aborting any other request could leave it half executed, such as a
	 * reservation without its payment. That is worse than a result that
	 * nobody waits for, so the request runs to its end, and the rest of its
	 * answer is discarded. */
	attempt_send_failed(attempt, "cancelled while it ran");
	if (attempt->peer)
		LIST_REMOVE(attempt, link);
	attempt->peer = NULL;
	attempt_add_credit(attempt, INT32_MAX);
}

static void add_number_field(struct fields *fields, const char *name,
			     int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRId64, value);
	fields_add(fields, name, text);
}

/* Builds the header fields for the upstream. The names of the fields for trace,
 * depth, deadline and instance come from the headers table. The upstream copies
 * trace, depth and deadline into the calls that it makes itself. */
static void attempt_fill_fields(const struct owner_attempt *attempt,
				struct fields *fields, int64_t remaining_us)
{
	const struct headers *headers = owner_daemon(attempt->owner)->headers;
	const char *instance = owner_instance(attempt->owner);
	const Cfd__Attempt *request = attempt->request;

	fields_init(fields);
	for (size_t i = 0; i < request->n_headers; i++)
		fields_add(fields, request->headers[i]->name,
			   request->headers[i]->value);
	fields_add(fields, headers->trace, request->trace);
	if (headers->depth)
		add_number_field(fields, headers->depth,
				 (int64_t)request->depth + 1);
	add_number_field(fields, headers->deadline_ms, remaining_us / US_PER_MS);
	if (headers->expected_instance && instance)
		fields_add(fields, headers->expected_instance, instance);
}

void attempt_start(struct owner_attempt *attempt)
{
	static const struct run_callbacks callbacks = {
		.handle_head = handle_head,
		.handle_answer_body = handle_answer_body,
		.handle_request_body_consumed = handle_request_body_consumed,
		.handle_done = handle_done,
	};
	const Cfd__Attempt *request = attempt->request;
	int64_t now = clock_mono_us();
	struct fields fields;
	struct run_request run_request = {
		.method = request->method,
		.target = request->target,
		.fields = &fields,
		.body = request->body.data,
		.body_size = request->body.len,
		.body_ends = request->body_ends,
	};

	attempt_owner_step(&attempt->state, OWNER_START);
	attempt->started_us = now;
	attempt->busy_slots = owner_running(attempt->owner);
	attempt->pace_percent = owner_pace_percent(attempt->owner);
	attempt->credit += request->answer_window ? request->answer_window :
						    ATTEMPT_ANSWER_WINDOW;
	attempt_note(attempt, EV_OWNER_STARTED,
		     LOG_INT("waited_us", now - attempt->arrived_us),
		     LOG_INT("running", owner_running(attempt->owner)),
		     LOG_INT("pace", attempt->pace_percent),
		     LOG_INT("pace_age_us", owner_pace_age_us(attempt->owner)));
	counters.owner_started++;
	counters.gate_slow_starts += owner_is_slow(attempt->owner);
	latency_record_us(&latencies.owner_waited, now - attempt->arrived_us);
	attempt_fill_fields(attempt, &fields, attempt->item.deadline_us - now);
	attempt->run = run_create(owner_pool(attempt->owner), &run_request,
				  (size_t)attempt->credit, &callbacks, attempt);
	fields_finish(&fields);
	if (run_is_repeat(attempt->run))
		attempt_note(attempt, EV_OWNER_REPEATED,
			     LOG_INT("idempotent", request->idempotent));
	if (attempt->body)
		run_add_body(attempt->run, attempt->body->data,
			     attempt->body->len, attempt->body_ends);
}

void attempt_add_request_body(struct owner_attempt *attempt, const Cfd__Body *body)
{
	attempt->body_ends |= body->ends;
	if (attempt->run) {
		run_add_body(attempt->run, body->data.data, body->data.len,
			     body->ends);
		return;
	}
	if (!attempt->body)
		attempt->body = g_byte_array_new();
	g_byte_array_append(attempt->body, body->data.data,
			    (guint)body->data.len);
}

void attempt_add_credit(struct owner_attempt *attempt, uint32_t bytes)
{
	attempt->credit += bytes;
	if (attempt->credit > 0)
		attempt->stalled_since_us = 0;
	if (attempt->run)
		run_add_credit(attempt->run, bytes);
}
