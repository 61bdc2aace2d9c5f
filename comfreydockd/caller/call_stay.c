#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/stay.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"

static bool call_may_stay(const struct call *call)
{
	return call->entry->daemon->settings->domains.stay_in_time;
}

static bool is_last_attempt(const struct call *call)
{
	return call->busy_refusals >= RETRY_BUSY_MAX;
}

static void call_fill_stay_request(const struct call *call,
				   struct stay_request *request, int64_t now_us)
{
	int64_t target_us = call->began_us + call->rule->target_ms * US_PER_MS;

	*request = (struct stay_request){
		.class = call->class,
		.has_target = call->rule->target_ms > 0,
		.target_left_us = MIN(target_us, call->deadline_us) - now_us,
		.may_wait = !call->holds_others && !call->must_leave,
		.last_attempt = is_last_attempt(call),
	};
}

static struct service_upstream *
call_stay_or_leave(struct call *call, int64_t now_us, bool *may_queue)
{
	struct service *service = call->service;
	struct stay_request request;
	struct stay_choice choice;

	call_fill_stay_request(call, &request, now_us);
	service_prepare_choice(service);
	choice = stay_choose(&service->stay, &service->picks, &request,
			     &call->tried, now_us);
	counters.entry_skipped_refused += choice.skipped;
	call->stay_reason = choice.reason;
	*may_queue = choice.may_queue;
	if (!choice.candidate)
		return NULL;
	counters.entry_stayed += choice.reason == STAY_WAITS;
	counters.entry_left += !choice.candidate->local;
	return choice.candidate->data;
}

bool call_may_queue(const struct call *call,
		    const struct service_upstream *upstream, int64_t now_us)
{
	return pick_may_queue(&call->service->picks, &upstream->candidate,
			      &call->tried, is_last_attempt(call), now_us);
}

struct service_upstream *call_choose_free(struct call *call, int64_t now_us,
					  bool *may_queue)
{
	struct service_upstream *upstream;

	if (call_may_stay(call))
		return call_stay_or_leave(call, now_us, may_queue);
	upstream = service_choose(call->service, &call->tried, now_us);
	*may_queue = upstream && call_may_queue(call, upstream, now_us);
	return upstream;
}

struct service_upstream *call_choose_parallel(struct call *call, int64_t now_us)
{
	struct service *service = call->service;
	struct stay_request request;
	struct pick_candidate *chosen;

	if (!call_may_stay(call))
		return service_choose(service, &call->tried, now_us);
	call_fill_stay_request(call, &request, now_us);
	service_prepare_choice(service);
	chosen = stay_choose_parallel(&service->picks, &request, &call->tried,
				      now_us);
	return chosen ? chosen->data : NULL;
}

/* RETURN VALUE: whether a refusal tells that the expected time was wrong. A
 * request that was shed has reached the upstream, and one of a caller that
 * exceeds its share would exceed it in another domain too. */
static bool is_late_for_owner(Cfd__Reason reason)
{
	return reason == CFD__REASON__REASON_OVERLOAD ||
	       reason == CFD__REASON__REASON_DEADLINE;
}

enum retry_outcome call_note_stay_refused(struct call *call, Cfd__Reason reason,
					  enum retry_outcome outcome)
{
	struct stay_request request;
	int64_t now = clock_mono_us();

	call->must_leave = true;
	if (outcome != RETRY_OUTCOME_OVERLOAD || !is_late_for_owner(reason))
		return outcome;
	call_fill_stay_request(call, &request, now);
	service_prepare_choice(call->service);
	return stay_may_leave(&call->service->stay, &call->service->picks,
			      &request, &call->tried, now) ?
		       RETRY_OUTCOME_BUSY :
		       outcome;
}
