#include "comfreydockd/caller/call.h"

#include "common/counters.h"

#define STATUS_NOT_RUN 503
#define STATUS_LOST 502
#define STATUS_TIMEOUT 504
#define STATUS_KEY_IN_USE 409

static const char *const reason_names[] = {
	[CFD__REASON__REASON_UNSPECIFIED] = "unavailable",
	[CFD__REASON__REASON_BUSY] = "busy",
	[CFD__REASON__REASON_DEADLINE] = "deadline",
	[CFD__REASON__REASON_DRAINING] = "draining",
	[CFD__REASON__REASON_CANCELLED] = "cancelled",
	[CFD__REASON__REASON_UNFAIR] = "over-share",
	[CFD__REASON__REASON_NO_UPSTREAM] = "no-upstream",
	[CFD__REASON__REASON_SHED] = "shed",
	[CFD__REASON__REASON_CONNECT] = "no-connection",
	[CFD__REASON__REASON_OVERLOAD] = "overload",
	[CFD__REASON__REASON_NOT_REPEATED] = "key-in-use",
	[CFD__REASON__REASON_NO_CLAIM] = "no-claim",
};

static const char *reason_name(Cfd__Reason reason)
{
	if ((size_t)reason >= G_N_ELEMENTS(reason_names))
		return reason_names[CFD__REASON__REASON_UNSPECIFIED];
	return reason_names[reason];
}

void outcome_add_fields(struct fields *fields, const char *outcome,
			const char *reason, const char *trace)
{
	fields_add(fields, FIELD_OUTCOME, outcome);
	if (reason)
		fields_add(fields, FIELD_REASON, reason);
	if (trace)
		fields_add(fields, FIELD_TRACE, trace);
}

/* Whole seconds for every client, and the exact time for those that know. */
static void add_come_back(struct fields *fields, uint32_t come_back_ms)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", (come_back_ms + 999) / 1000);
	fields_add(fields, "Retry-After", text);
	g_snprintf(text, sizeof(text), "%u", come_back_ms);
	fields_add(fields, FIELD_RETRY_AFTER_MS, text);
}

void outcome_refuse(const struct call_sink *sink, void *data, unsigned int status,
		    const char *reason, uint32_t come_back_ms, const char *text)
{
	struct fields fields;

	fields_init(&fields);
	outcome_add_fields(&fields, "not-run", reason, NULL);
	if (come_back_ms)
		add_come_back(&fields, come_back_ms);
	sink->handle_whole(data, status, &fields, text);
	fields_finish(&fields);
}

void outcome_say_not_run(struct call *call)
{
	const char *reason = reason_name(call->reason);
	struct fields fields;

	counters.caller_not_run++;
	call_note_event(call, EV_ENTRY_ENDED, "not-run %s come back in %u ms",
			reason, call->come_back_ms);
	fields_init(&fields);
	outcome_add_fields(&fields, "not-run", reason, call->trace);
	add_come_back(&fields, MAX(call->come_back_ms, 1));
	call->sink->handle_whole(call->sink_data, STATUS_NOT_RUN, &fields,
				 "not run\n");
	fields_finish(&fields);
}

void outcome_say_unknown(struct call *call)
{
	struct fields fields;

	counters.caller_unknown++;
	call_note_event(call, EV_ENTRY_ENDED, "unknown %s",
			call->lost ? "lost" : "timeout");
	fields_init(&fields);
	outcome_add_fields(&fields, "unknown", call->lost ? "lost" : "timeout",
			   call->trace);
	call->sink->handle_whole(call->sink_data,
				 call->lost ? STATUS_LOST : STATUS_TIMEOUT,
				 &fields, "it is not known whether this ran\n");
	fields_finish(&fields);
}

/* Of the request that was sent now nothing has run. But that is not the word
 * to say: the caller would take it for its booking's, and make another. */
void outcome_say_key_in_use(struct call *call, unsigned int first_status)
{
	const char *outcome = first_status ? "already-run" : "unknown";
	struct fields fields;
	char text[16];

	counters.caller_key_in_use++;
	call_note_event(call, EV_ENTRY_ENDED, "%s key-in-use", outcome);
	fields_init(&fields);
	outcome_add_fields(&fields, outcome, "key-in-use", call->trace);
	if (first_status) {
		g_snprintf(text, sizeof(text), "%u", first_status);
		fields_add(&fields, FIELD_FIRST_STATUS, text);
	} else {
		add_come_back(&fields, call->come_back_ms);
	}
	call->sink->handle_whole(call->sink_data, STATUS_KEY_IN_USE, &fields,
				 "a request with this key was taken before\n");
	fields_finish(&fields);
}
