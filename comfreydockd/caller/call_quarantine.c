#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/caller/content.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/key_text.h"

/* A trial that is running now will have ended after this time. */
#define TRIAL_COME_BACK_US (1 * US_PER_S)

static const char *content_caller(const struct call *call)
{
	const char *header = call->rule->fairness_header;
	const char *key = header ? fields_find(&call->fields, header) : NULL;

	return key ? key : "";
}

uint64_t call_content_key(const struct call *call)
{
	struct content content = {
		.service = call->service_config->name,
		.method = call->method,
		.target = call->target,
		.caller = content_caller(call),
		.body = call->body->data,
		.body_size = MIN(call->body->len, CALL_BODY_BUFFER_MAX),
	};

	return content_key(&content, call->entry->content_seed);
}

static void call_note_quarantined(struct call *call, int64_t left_us)
{
	char content[KEY_TEXT_SIZE];

	call->reason = CFD__REASON__REASON_QUARANTINED;
	call->come_back_ms = (uint32_t)(left_us / US_PER_MS);
	counters.quarantine_refused++;
	call_log_event(call, EV_QUARANTINE_REFUSED,
		       LOG_STR("content", key_text(call->content_key, content)),
		       LOG_INT("left_us", left_us));
}

struct service_upstream *call_choose_upstream(struct call *call, int64_t now_us,
					      bool *may_queue)
{
	struct quarantine_decision answer = quarantine_judge(
		call->entry->daemon->quarantine, call->content_key, now_us);
	struct service_upstream *upstream = NULL;

	call->stay_reason = STAY_OFF;
	if (answer.verdict == QUARANTINE_FREE)
		return call_choose_free(call, now_us, may_queue);
	if (answer.verdict == QUARANTINE_TRIAL)
		upstream = service_find_by_host_hash(call->service,
						     answer.trial_host);
	if (upstream && !pick_tried_has(&call->tried, upstream->candidate.id)) {
		*may_queue = call_may_queue(call, upstream, now_us);
		return upstream;
	}
	call_note_quarantined(call, MAX(answer.left_us, TRIAL_COME_BACK_US));
	return NULL;
}
