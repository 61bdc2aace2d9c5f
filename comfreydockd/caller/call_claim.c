#include "comfreydockd/caller/call.h"

#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/caller/claim.h"
#include "common/counters.h"

#define FIELD_KEY "Idempotency-Key"
#define COME_BACK_MS 1000

static void refuse(struct call *call)
{
	call->reason = CFD__REASON__REASON_NO_CLAIM;
	call->come_back_ms = COME_BACK_MS;
	counters.claims_unavailable++;
	outcome_say_not_run(call);
	call_free(call);
}

static void handle_claimed(enum claim_result result, unsigned int status,
			   void *data)
{
	struct call *call = data;

	if (result == CLAIM_TAKEN) {
		call_send_attempt(call);
		return;
	}
	call->claim = NULL;
	if (result == CLAIM_UNAVAILABLE) {
		refuse(call);
		return;
	}
	call->come_back_ms = COME_BACK_MS;
	outcome_say_key_in_use(call, result == CLAIM_DONE ? status : 0);
	call_free(call);
}

bool call_claim_key(struct call *call)
{
	struct claim_request request = {
		.namespace = call->config->namespace,
		.service = call->config->name,
		.key = fields_find(&call->fields, FIELD_KEY),
		.lifetime_s = call->rule->key_lifetime_s,
	};

	if (!call->rule->once_per_key || !request.key || !*request.key)
		return false;
	if (call->entry->claims)
		call->claim = claim_take(call->entry->claims, &request,
					 handle_claimed, call);
	else
		refuse(call);
	return true;
}

void call_end_claim(struct call *call, bool not_run)
{
	struct claim *claim = call->claim;

	if (!claim)
		return;
	call->claim = NULL;
	if (call->answered)
		claim_end_done(claim, call->status);
	else if (not_run)
		claim_end_released(claim);
	else
		claim_end_kept(claim);
}
