#include "comfreydockd/caller/call_internal.h"

#include "common/clock.h"
#include "common/timer.h"

void call_start_timer(struct call *call, ev_timer *timer, int64_t us)
{
	timer_restart_us(call->entry->daemon->loop, timer, us);
}

size_t call_untried(const struct call *call)
{
	return pick_count_untried(&call->service->picks, &call->tried);
}

uint32_t call_counted_attempts(const struct call *call)
{
	return call->attempts - call->busy_refusals - call->uncounted_attempts;
}

void call_fill_hedge_context(const struct call *call,
			     struct hedge_context *context)
{
	*context = (struct hedge_context){
		.enabled = call->rule->hedge,
		.idempotent = call->rule->idempotent,
		.answer_begun = call->answering_attempt != NULL,
		.hedges = call->hedges,
		.untried = call_untried(call),
		.depth = call->depth,
		.deadline_us = call->deadline_us,
	};
}

void call_fill_retry_context(const struct call *call, enum retry_outcome outcome,
			     struct retry_context *context)
{
	bool busy = outcome == RETRY_OUTCOME_BUSY;

	*context = (struct retry_context){
		.outcome = outcome,
		.idempotent = call->rule->idempotent,
		.answer_begun = call->answering_attempt != NULL,
		.attempts = busy ? call->busy_refusals :
				   call_counted_attempts(call),
		.max_attempts = busy ? RETRY_BUSY_MAX + 1 : call->max_attempts,
		.untried = call_untried(call),
		.depth = call->depth,
		.deadline_us = call->deadline_us,
		.expected_us = (int64_t)call->service->picks.typical_service_us,
		.retry_after_us = (int64_t)call->come_back_ms * US_PER_MS,
	};
}

bool call_may_have_run(const struct call *call)
{
	return call->may_have_run || !LIST_EMPTY(&call->active);
}
