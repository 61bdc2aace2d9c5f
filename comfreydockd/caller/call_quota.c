#include "comfreydockd/caller/call_internal.h"
#include "common/clock.h"

/* A caller that comes back has this part of its time left for the retry. */
#define COME_BACK_LEFT_DIVISOR 3
/* At most this part of its time is spent on a wait for the keeper to be ready. */
#define WAIT_DIVISOR 3

static void call_refuse_quota(struct call *call, enum quota_verdict verdict,
			      uint32_t come_back_ms)
{
	int64_t now_us = clock_mono_us();
	int64_t left_ms = MAX(call->deadline_us - now_us, 0) / US_PER_MS;

	call->quota_verdict = verdict;
	call->come_back_ms =
		(uint32_t)MIN(come_back_ms, left_ms / COME_BACK_LEFT_DIVISOR);
	call_log_event(
		call, EV_ENTRY_QUOTA_REFUSED, LOG_STR("outcome", "not-run"),
		LOG_STR("reason", outcome_not_run_reason(call)),
		LOG_STR("organisation", call->organisation->name),
		LOG_STR("rule", call->rule->name),
		LOG_INT("come_back_ms", call->come_back_ms),
		LOG_INT("waited_us", now_us - call->quota_request.since_us));
	call_finish_unanswered(call);
}

static void handle_decided(struct quota_request *request,
			   enum quota_verdict verdict, uint32_t come_back_ms)
{
	struct call *call = (struct call *)((char *)request -
					    offsetof(struct call, quota_request));

	call->quota_is_decided = true;
	if (verdict == QUOTA_GRANTED)
		call_start(call);
	else
		call_refuse_quota(call, verdict, come_back_ms);
}

bool call_acquire_quota(struct call *call)
{
	enum quota_verdict verdict;
	uint32_t come_back_ms;

	/* Requests under public rules don't count, whoever sends them. */
	if (call->quota_is_decided || call->rule->is_public)
		return true;
	if (call->quota_request.client)
		return false;
	call->quota_request.handle_decided = handle_decided;
	call->quota_request.ready_wait_us =
		MAX(call->deadline_us - clock_mono_us(), 0) / WAIT_DIVISOR;
	verdict = quota_acquire(call->entry->daemon->quota, call->organisation,
				&call->quota_request, &come_back_ms);
	call->quota_is_decided = verdict != QUOTA_PENDING;
	if (verdict == QUOTA_REFUSED || verdict == QUOTA_UNAVAILABLE)
		call_refuse_quota(call, verdict, come_back_ms);
	return verdict == QUOTA_GRANTED;
}

void call_cancel_quota(struct call *call)
{
	quota_cancel(call->entry->daemon->quota, &call->quota_request);
}

void call_return_quota(struct call *call)
{
	if (call->is_started)
		outcome_count_organisation(call, ORGANISATION_RETURNED, NULL);
	quota_return(call->entry->daemon->quota, &call->quota_request);
}
