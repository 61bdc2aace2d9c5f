#include "comfreydockd/caller/call.h"

#include "comfreydockd/config/organisation.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/tally.h"

#define STATUS_NO_KEY 401
#define STATUS_NOT_RUN 503
#define STATUS_OVER_QUOTA 429
#define STATUS_LOST 502
#define STATUS_TIMEOUT 504

/* A call that ends later than this after its deadline is overdue. */
#define OVERDUE_US (250 * US_PER_MS)

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
	[CFD__REASON__REASON_SLOW] = "slow",
	[CFD__REASON__REASON_FAILING] = "failing",
	[CFD__REASON__REASON_UNREACHABLE] = "unreachable",
	[CFD__REASON__REASON_QUARANTINED] = "quarantined",
	[CFD__REASON__REASON_EVACUATED] = "evacuated",
	[CFD__REASON__REASON_RULE_REPLACED] = "rule-replaced",
	[CFD__REASON__REASON_CONFIG_BEHIND] = "configuration-behind",
};

const char *outcome_reason_name(Cfd__Reason reason)
{
	if ((size_t)reason >= G_N_ELEMENTS(reason_names))
		return reason_names[CFD__REASON__REASON_UNSPECIFIED];
	return reason_names[reason];
}

void outcome_add_fields(struct fields *fields, const struct headers *headers,
			const char *outcome, const char *reason,
			const char *trace)
{
	fields_add(fields, FIELD_OUTCOME, outcome);
	if (reason)
		fields_add(fields, FIELD_REASON, reason);
	if (trace)
		fields_add(fields, headers->trace, trace);
}

/*
 * Retry-After is for every client, in whole seconds (rounded up) unless the
 * settings allow fractions. FIELD_RETRY_AFTER_MS has the exact time for clients
 * that know it.
 */
void outcome_add_come_back(struct fields *fields, const struct headers *headers,
			   uint32_t come_back_ms)
{
	char text[24];

	if (headers->has_fractions)
		g_snprintf(text, sizeof(text), "%u.%03u", come_back_ms / 1000,
			   come_back_ms % 1000);
	else
		g_snprintf(text, sizeof(text), "%u", (come_back_ms + 999) / 1000);
	fields_add(fields, "Retry-After", text);
	g_snprintf(text, sizeof(text), "%u", come_back_ms);
	fields_add(fields, FIELD_RETRY_AFTER_MS, text);
}

void outcome_refuse(const struct headers *headers, const struct call_sink *sink,
		    void *data, unsigned int status, const char *reason,
		    uint32_t come_back_ms, const char *text)
{
	struct call_reply reply = {
		.status = status,
		.come_back_ms = come_back_ms,
		.text = text,
	};

	outcome_add_fields(&reply.fields, headers, "not-run", reason, NULL);
	if (status == STATUS_NO_KEY)
		fields_add(&reply.fields, "WWW-Authenticate", "Bearer");
	sink->handle_reply(data, &reply);
	fields_finish(&reply.fields);
}

void outcome_fail(const struct headers *headers, const struct call_sink *sink,
		  void *data, unsigned int status, const char *reason,
		  const char *text)
{
	struct call_reply reply = {
		.status = status,
		.text = text,
	};

	outcome_add_fields(&reply.fields, headers, "unknown", reason, NULL);
	sink->handle_reply(data, &reply);
	fields_finish(&reply.fields);
}

void outcome_check_overdue(const struct call *call, const char *outcome)
{
	int64_t late_us = clock_mono_us() - call->deadline_us;

	if (late_us <= OVERDUE_US)
		return;
	counters.caller_overdue++;
	call_log_event(call, EV_ENTRY_OVERDUE, LOG_STR("outcome", outcome),
		       LOG_STR("rule", call->rule->name),
		       LOG_INT("late_us", late_us),
		       LOG_INT("waited_us", call->waited_us),
		       LOG_STR("attempts", call->history));
}

void outcome_count(const struct call *call, struct latency *latency,
		   const char *outcome)
{
	outcome_check_overdue(call, outcome);
	latency_record_us(latency, clock_mono_us() - call->began_us);
	tally_add(TALLY_CALLS, call->rule->name, outcome);
}

void outcome_count_organisation(const struct call *call,
				enum organisation_outcome outcome,
				const char *reason)
{
	if (call->organisation)
		organisation_counts_add(call->entry->daemon->organisation_counts,
					call->organisation->name, outcome,
					reason, clock_mono_us());
}

static void log_failed(struct call *call, const char *outcome, const char *reason)
{
	call_log_event(call, EV_ENTRY_FAILED, LOG_STR("outcome", outcome),
		       LOG_STR("reason", reason), LOG_STR("group", call->group),
		       LOG_STR("rule", call->rule->name),
		       LOG_INT("took_us", clock_mono_us() - call->began_us),
		       LOG_INT("left_us", call->deadline_us - clock_mono_us()),
		       LOG_INT("come_back_ms", call->come_back_ms),
		       LOG_STR("attempts", call->history));
}

const char *outcome_not_run_reason(const struct call *call)
{
	if (call->quota_verdict == QUOTA_REFUSED)
		return "quota";
	if (call->quota_verdict == QUOTA_UNAVAILABLE)
		return "quota-unavailable";
	return outcome_reason_name(call->reason);
}

void outcome_reply_not_run(struct call *call)
{
	const struct headers *headers = call->entry->daemon->headers;
	const char *reason = outcome_not_run_reason(call);
	bool exceeds_quota = call->quota_verdict == QUOTA_REFUSED;
	bool has_refused_line =
		exceeds_quota || call->quota_verdict == QUOTA_UNAVAILABLE;
	struct call_reply reply = {
		.status = exceeds_quota ? STATUS_OVER_QUOTA : STATUS_NOT_RUN,
		.come_back_ms = MAX(call->come_back_ms, 1),
		.text = "not run\n",
	};

	counters.caller_not_run++;
	tally_add(TALLY_NOT_RUN, reason, NULL);
	outcome_count(call, &latencies.call_not_run, "not-run");
	outcome_count_organisation(call, ORGANISATION_REFUSED, reason);
	if (!has_refused_line)
		log_failed(call, "not-run", reason);
	outcome_add_fields(&reply.fields, headers, "not-run", reason,
			   call->trace);
	call->sink->handle_reply(call->sink_data, &reply);
	fields_finish(&reply.fields);
}

void outcome_reply_unknown(struct call *call)
{
	const char *reason = call->connection_lost ? "lost" : "timeout";
	struct call_reply reply = {
		.status = call->connection_lost ? STATUS_LOST : STATUS_TIMEOUT,
		.text = "it is not known whether this ran\n",
	};

	counters.caller_unknown++;
	outcome_count(call, &latencies.call_unknown, "unknown");
	log_failed(call, "unknown", reason);
	outcome_add_fields(&reply.fields, call->entry->daemon->headers,
			   "unknown", reason, call->trace);
	call->sink->handle_reply(call->sink_data, &reply);
	fields_finish(&reply.fields);
}
