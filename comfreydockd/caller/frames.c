#include "comfreydockd/caller/call.h"

#include "comfreydockd/caller/answer_check.h"
#include "comfreydockd/caller/feedback.h"
#include "comfreydockd/decide/deadline.h"
#include "common/clock.h"
#include "common/counters.h"

/* RETURN VALUE: NULL if the attempt is over, which is counted: a late or
 * duplicate answer reaches no caller. */
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

/* Ends an attempt whose owner sends what can't be of one whole answer. Its outcome
 * is unknown, and what still comes for it reaches no caller. */
static void attempt_end_faulty(struct entry_attempt *attempt, const char *fault)
{
	counters.entry_faulty_answers++;
	call_log_event(attempt->call, EV_ENTRY_FAULTY_ANSWER,
		       LOG_STR("from", attempt->upstream->host),
		       LOG_STR("fault", fault),
		       LOG_STR("state", attempt_entry_state_name(attempt->state)));
	entry_attempt_cancel(attempt);
	attempt_entry_step(&attempt->state, ENTRY_GET_FAILED);
	feedback_note_end(attempt, ATTEMPT_LOST, NULL);
	call_note_unknown(attempt, true);
}

/*
 * A crashed upstream refuses each connection at once, so its slots look free
 * and it attracts calls. If health saw these as ordinary refusals, the upstream
 * would stay in use for as long as its daemon lives.
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
	if (!attempt)
		return;
	if (!attempt_entry_step(&attempt->state, ENTRY_GET_NOT_RUN)) {
		attempt_end_faulty(attempt, "refused after its head");
		return;
	}
	feedback_note_end(attempt, end, not_run->load);
	if (busy)
		stay_note_busy(&attempt->upstream->candidate,
			       attempt->call->class, clock_mono_us());
	/* A refusal does no work, so its duration is the network round trip. */
	if (busy)
		deadline_rtt_note(&attempt->upstream->rtt,
				  clock_mono_us() - attempt->sent_us);
	call_note_not_run(attempt, not_run->reason, false,
			  not_run->retry_after_ms);
}

static void take_answer(struct entry *entry, struct peer *peer,
			const Cfd__Answer *answer)
{
	struct entry_attempt *attempt = entry_find(entry, peer, answer->seq);
	const char *fault;

	timeline_observe(&entry->daemon->timeline, answer->time);
	if (!attempt)
		return;
	fault = answer_check_head(answer);
	if (fault) {
		attempt_end_faulty(attempt, fault);
		return;
	}
	if (!attempt_entry_step(&attempt->state, ENTRY_GET_ANSWER)) {
		attempt_end_faulty(attempt, "a second head");
		return;
	}
	attempt->body_left = answer_body_size(answer, attempt->call->method);
	attempt->head_us = clock_mono_us();
	attempt->failed = answer->status >= 500;
	attempt->pace_percent = answer->pace_percent;
	feedback_note_load(attempt, answer->load, attempt->head_us);
	call_note_head(attempt, answer);
}

static void attempt_pass_on(struct entry_attempt *attempt,
			    const ProtobufCBinaryData *bytes)
{
	struct call *call = attempt->call;

	if (attempt->body_left != ANSWER_LENGTH_UNKNOWN)
		attempt->body_left -= (int64_t)bytes->len;
	call->heard_us = clock_mono_us();
	call->unread += bytes->len;
	if (bytes->len)
		call->sink->handle_body(call->sink_data, bytes->data, bytes->len);
}

static void take_answer_body(struct entry *entry, struct peer *peer,
			     const Cfd__AnswerBody *body)
{
	struct entry_attempt *attempt = entry_find(entry, peer, body->seq);
	const char *fault;

	if (!attempt)
		return;
	fault = attempt->state == ENTRY_ANSWERING ?
			answer_check_part(body, attempt->body_left) :
			"a part before its head";
	if (fault) {
		attempt_end_faulty(attempt, fault);
		return;
	}
	attempt_pass_on(attempt, &body->data);
	if (body->ends) {
		attempt_entry_step(&attempt->state, ENTRY_GET_END);
		feedback_note_end(attempt,
				  attempt->failed ? ATTEMPT_FAILED :
						    ATTEMPT_ANSWERED,
				  body->load);
		call_note_end(attempt);
	} else if (body->aborted) {
		attempt_entry_step(&attempt->state, ENTRY_GET_FAILED);
		feedback_note_end(attempt, ATTEMPT_LOST, body->load);
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
	feedback_note_end(attempt,
			  attempt->cancelled ? ATTEMPT_TIMED_OUT : ATTEMPT_LOST,
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
				   feedback_read_load(report->load, &load));
		return;
	}
	attempt = entry_find(entry, peer, report->seq);
	if (!attempt)
		return;
	feedback_note_load(attempt, report->load, clock_mono_us());
	call_note_overdue_reply(attempt, report->overdue);
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
			call_note_body_window(attempt, frame->window->bytes);
		break;
	default:
		counters.peer_bad_frames++;
		break;
	}
}

static void attempt_handle_link_lost(struct entry_attempt *attempt)
{
	bool was_sent = peer_has_begun_sending(attempt->peer, attempt->position);

	attempt_entry_step(&attempt->state,
			   was_sent ? ENTRY_LINK_LOST : ENTRY_LINK_LOST_UNSENT);
	feedback_note_end(attempt, ATTEMPT_LOST, NULL);
	if (attempt->state == ENTRY_NOT_RUN)
		call_note_not_run(attempt, CFD__REASON__REASON_CONNECT, true, 0);
	else
		call_note_unknown(attempt, true);
}

/* Handling one lost attempt may end others of the same connection, so the loop
 * takes the first remaining attempt each time. */
static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct entry *entry = data;
	struct entry_attempt_list *list = entry_attempts_of(entry, peer);
	struct entry_attempt *attempt;

	(void)error;
	while ((attempt = LIST_FIRST(list)))
		attempt_handle_link_lost(attempt);
	g_hash_table_remove(entry->attempts_by_peer, peer);
}

void entry_fill_role(struct entry *entry, struct peers_role *role)
{
	role->handle_frame = handle_frame;
	role->handle_lost = handle_lost;
	role->data = entry;
}
