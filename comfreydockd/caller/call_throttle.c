#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/decide/fair.h"
#include "comfreydockd/decide/throttle.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"

static void count_throttled(enum config_class class)
{
	counters.entry_throttled_interactive += class == CONFIG_CLASS_INTERACTIVE;
	counters.entry_throttled_normal += class == CONFIG_CLASS_NORMAL;
	counters.entry_throttled_bulk += class == CONFIG_CLASS_BULK;
}

/* RETURN VALUE: the state of the call's group, which is created or freed if a
 * reload has changed the setting; NULL if the settings ask for none. */
static struct throttle *call_update_throttle(struct call *call)
{
	struct service *service = call->service;

	if (!call->entry->daemon->settings->throttles)
		g_clear_pointer(&service->throttle, g_free);
	else if (!service->throttle)
		service->throttle = g_new0(struct throttle, 1);
	return service->throttle;
}

bool call_is_throttled(struct call *call)
{
	struct throttle *throttle = call_update_throttle(call);
	uint64_t key;
	int64_t now = clock_mono_us();
	double probability;
	uint32_t come_back_ms;

	if (!throttle)
		return false;
	key = fair_hash(call->fairness_key);
	if (!throttle_refuses(throttle, call->class, key, &call->entry->random,
			      now, &probability))
		return false;
	come_back_ms = throttle_come_back_ms(throttle, call->class);
	/* Without a random part, all callers would return at once. */
	call->come_back_ms =
		come_back_ms +
		(uint32_t)random_below(&call->entry->random,
				       come_back_ms / RETRY_SPREAD + 1);
	call->reason = CFD__REASON__REASON_OVERLOAD;
	count_throttled(call->class);
	call_log_event(call, EV_ENTRY_THROTTLED, LOG_STR("group", call->group),
		       LOG_INT("class", call->class),
		       LOG_INT("refused_percent", (int64_t)(100 * probability)),
		       LOG_INT("come_back_ms", call->come_back_ms));
	return true;
}

void call_note_throttle_accepted(struct call *call)
{
	if (call->service->throttle)
		throttle_note_accepted(call->service->throttle, call->class,
				       fair_hash(call->fairness_key),
				       clock_mono_us());
}

/* RETURN VALUE: whether a refusal shows a lack of capacity. A request that came
 * with too little time is refused by an idle owner too. */
static bool shows_overload(Cfd__Reason reason, const struct pick_load *load)
{
	switch (reason) {
	case CFD__REASON__REASON_SHED:
		return true;
	case CFD__REASON__REASON_BUSY:
	case CFD__REASON__REASON_OVERLOAD:
		return load->running + load->queued >= load->limit;
	case CFD__REASON__REASON_DEADLINE:
		return load->queued > 0 &&
		       load->running + load->queued >= load->limit;
	default:
		return false;
	}
}

void call_note_throttle_refusal(struct call *call,
				const struct entry_attempt *attempt,
				Cfd__Reason reason, uint32_t come_back_ms)
{
	call->was_overloaded =
		shows_overload(reason, &attempt->upstream->candidate.load);
	call->was_over_share = reason == CFD__REASON__REASON_UNFAIR;
	call->owner_come_back_ms = come_back_ms;
}

void call_note_throttle_end(struct call *call)
{
	struct throttle *throttle = call->service->throttle;
	uint64_t key;

	if (!throttle || call->may_have_run)
		return;
	key = fair_hash(call->fairness_key);
	if (call->was_overloaded)
		throttle_note_refused(throttle, call->class, key,
				      call->owner_come_back_ms, clock_mono_us());
	else if (call->was_over_share)
		throttle_note_over_share(throttle, call->class, key,
					 clock_mono_us());
}
