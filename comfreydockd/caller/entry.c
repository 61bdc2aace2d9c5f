#include "comfreydockd/caller/entry.h"

#include <stdlib.h>
#include <string.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/caller/content.h"
#include "comfreydockd/caller/entry_key.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/trace.h"

#define TICK_S 0.1
#define STATUS_NO_ROUTE 404
#define STATUS_TOO_DEEP 508
#define STATUS_UNAVAILABLE 503
/* For a daemon without a configuration, or with one that was not confirmed
 * lately as the newest (CONFIG_DOUBT_UNCONFIRMED). */
#define CONFIG_UNCONFIRMED_COME_BACK_MS 1000
/* For a rule without a deadline, so that no call stays forever. */
#define DEFAULT_DEADLINE_MS 30000
/* Size of a host or a path in a log line. */
#define LOGGED_NAME_MAX 64

static void handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct entry *entry = timer->data;

	(void)loop;
	(void)events;
	services_tick(entry->services, clock_mono_us());
}

struct entry *entry_create(struct daemon *daemon)
{
	struct entry *entry = g_new0(struct entry, 1);
	struct peers_role role;

	entry->daemon = daemon;
	entry->services = services_create(daemon);
	LIST_INIT(&entry->calls);
	entry->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->attempts_by_peer = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
	entry->random.state = id_random_u64();
	entry->content_seed = content_seed(daemon->settings->peer_key,
					   daemon->settings->peer_key_size);
	ev_timer_init(&entry->tick, handle_tick, TICK_S, TICK_S);
	entry->tick.data = entry;
	ev_timer_start(daemon->loop, &entry->tick);
	entry_fill_role(entry, &role);
	peers_set_entry_role(daemon->peers, &role);
	return entry;
}

void entry_destroy(struct entry *entry)
{
	struct peers_role none = {0};
	struct call *call;

	if (!entry)
		return;
	while ((call = LIST_FIRST(&entry->calls))) {
		call->sink->handle_abort(call->sink_data);
		call_free(call);
	}
	peers_set_entry_role(entry->daemon->peers, &none);
	ev_timer_stop(entry->daemon->loop, &entry->tick);
	g_hash_table_unref(entry->attempts);
	g_hash_table_unref(entry->attempts_by_peer);
	services_destroy(entry->services);
	g_free(entry);
}

char *entry_dup_trace(const struct daemon *daemon, const struct fields *fields)
{
	const char *given = fields_find(fields, daemon->headers->trace);

	return given && *given ? g_strdup(given) :
				 trace_create(daemon->settings->host);
}

static int64_t read_number(const struct fields *fields, const char *name,
			   int64_t max_value, int64_t fallback)
{
	const char *text = name ? fields_find(fields, name) : NULL;
	char *end;
	int64_t value;

	if (!text || !*text)
		return fallback;
	value = g_ascii_strtoll(text, &end, 10);
	if (*end || value < 0)
		return fallback;
	return MIN(value, max_value);
}

/* The deadline counts from the request's arrival: the time it waited behind
 * other requests on its connection is part of it. */
static void call_set_deadline(struct call *call,
			      const struct call_request *request)
{
	int64_t given_ms = read_number(request->fields,
				       call->entry->daemon->headers->deadline_ms,
				       INT32_MAX, -1);
	uint32_t rule_ms = call->rule->deadline_ms ? call->rule->deadline_ms :
						     DEFAULT_DEADLINE_MS;

	call->began_us = request->arrived_us;
	call->waited_us = clock_mono_us() - request->arrived_us;
	call->deadline_us = deadline_at(given_ms < 0 ? -1 : given_ms * US_PER_MS,
					rule_ms, call->began_us);
}

static void call_set_fairness_key(struct call *call,
				  const struct call_request *request)
{
	const struct headers *headers = call->entry->daemon->headers;
	const char *header = call->rule->fairness_header;
	const char *key = NULL;

	if (call->organisation)
		key = call->organisation->name;
	else if (header &&
		 !entry_key_removes_field(headers, call->service_config, header))
		key = fields_find(request->fields, header);
	call->fairness_key = g_strdup(key ? key : request->caller);
}

static void call_copy_fields(struct call *call, const struct fields *fields)
{
	const struct daemon *daemon = call->entry->daemon;
	const struct headers *headers = daemon->headers;

	fields_init(&call->fields);
	for (size_t i = 0; i < fields->count; i++) {
		const Cfd__Header *field = fields->items[i];

		if (!entry_key_removes_field(headers, call->service_config,
					     field->name))
			fields_add_forwarded(&call->fields, headers,
					     field->name, field->value);
	}
	if (headers->organisation && call->organisation)
		fields_add(&call->fields, headers->organisation,
			   call->organisation->name);
	if (headers->caller_service)
		fields_add(&call->fields, headers->caller_service,
			   daemon->settings->service);
}

/* Draws the group of upstreams for a call from the rule's groups, by weight. */
static const char *call_draw_group(struct entry *entry,
				   const struct config_rule *rule)
{
	uint64_t weights = config_rule_total_weight(rule);

	return config_rule_select_group(rule,
					random_below(&entry->random, weights));
}

static void call_log_taken(const struct call *call,
			   const struct call_request *request)
{
	call_log_event(
		call, EV_ENTRY_TAKEN, LOG_STR("method", request->method),
		LOG_STR("service", call->service_config->name),
		LOG_STR("rule", call->rule->name),
		LOG_STR("organisation",
			call->organisation ? call->organisation->name : ""),
		LOG_STR("group", call->group), LOG_INT("class", call->class),
		LOG_INT("head", config_store_head(call->entry->daemon->config)),
		LOG_INT("left_us", call->deadline_us - call->began_us),
		LOG_INT("in_front", request->in_front),
		LOG_INT("waited_us", call->waited_us));
}

static struct call *call_create(struct entry *entry,
				const struct call_request *request,
				const struct entry_match *match, uint32_t depth)
{
	const struct config_organisation *organisation = match->organisation;
	const struct config_rule *rule = match->rule;
	struct call *call = g_new0(struct call, 1);

	call->entry = entry;
	call->snapshot =
		config_snapshot_ref(config_store_current(entry->daemon->config));
	call->config_head = config_store_head(entry->daemon->config);
	call->service_config = match->service;
	call->rule = rule;
	call->organisation = organisation;
	g_strlcpy(call->key_digest, match->key_digest, sizeof(call->key_digest));
	call->class = organisation && organisation->has_class ?
			      organisation->class :
			      rule->class;
	call->depth = depth;
	call->group = call_draw_group(entry, rule);
	call->service = services_get(entry->services, call->group);
	call->method = g_strdup(request->method);
	call->target = g_strdup(request->target);
	call->body = g_byte_array_new();
	call->body_ends = !request->has_body;
	call->max_attempts = deadline_attempts(rule->max_attempts, depth);
	call->trace = entry_dup_trace(entry->daemon, request->fields);
	call_set_deadline(call, request);
	call->answer_blocked = request->in_front > 0;
	call->holds_others = request->holds_others;
	call_set_fairness_key(call, request);
	call_copy_fields(call, request->fields);
	LIST_INIT(&call->active);
	LIST_INSERT_HEAD(&entry->calls, call, link);
	entry->call_count++;
	call_init_timers(call);
	call_log_taken(call, request);
	return call;
}

static bool entry_match(const struct entry *entry,
			const struct call_request *request,
			struct entry_match *match)
{
	return config_snapshot_match_request(
		config_store_current(entry->daemon->config), request->host,
		request->method, request->target, &match->service, &match->rule);
}

bool entry_request_is_idempotent(const struct entry *entry,
				 const struct call_request *request)
{
	struct entry_match match;

	return config_store_is_ready(entry->daemon->config) &&
	       entry_match(entry, request, &match) && match.rule->idempotent;
}

static void log_unmatched(struct entry *entry, const struct call_request *request,
			  unsigned int status, const char *reason)
{
	const struct config_store *store = entry->daemon->config;
	char *trace = entry_dup_trace(entry->daemon, request->fields);
	char host[LOGGED_NAME_MAX];
	char path[LOGGED_NAME_MAX];

	config_copy_host(request->host, host, sizeof(host));
	g_strlcpy(path, request->target, sizeof(path));
	path[strcspn(path, "?#")] = '\0';
	timeline_log(&entry->daemon->timeline, trace, EV_ENTRY_NO_RULE,
		     LOG_STR("service", host), LOG_STR("path", path),
		     LOG_STR("reason", reason), LOG_INT("status", status),
		     LOG_INT("head", config_store_head(store)),
		     LOG_INT("known_head", config_store_known_head(store)),
		     LOG_INT("told_age_us", config_store_confirmed_age_us(store)));
	g_free(trace);
}

/*
 * A caller takes 404 or 401 as final and doesn't retry. If a daemon with an old
 * configuration answered so, requests on every route or with every key that was
 * just added would fail there while other daemons serve them. So a daemon
 * refuses for good only if it has reason to take its configuration for the
 * newest, and answers 503 otherwise. The symptom of an old configuration is
 * entry.no-rule or entry.key-refused with known_head above head.
 */
bool entry_defer_refusal(const struct entry *entry, struct entry_refusal *refusal)
{
	switch (config_store_get_doubt(entry->daemon->config)) {
	case CONFIG_DOUBT_BEHIND:
		refusal->reason = "configuration-behind";
		refusal->come_back_ms = CONFIG_BEHIND_COME_BACK_MS;
		break;
	case CONFIG_DOUBT_UNCONFIRMED:
		refusal->reason = "configuration-untold";
		refusal->come_back_ms = CONFIG_UNCONFIRMED_COME_BACK_MS;
		break;
	case CONFIG_DOUBT_NONE:
		return false;
	}
	refusal->status = STATUS_UNAVAILABLE;
	refusal->text = "not run: the configuration held here may be old\n";
	return true;
}

void entry_refuse(const struct entry *entry, const struct entry_refusal *refusal,
		  const struct call_sink *sink, void *data)
{
	outcome_refuse(entry->daemon->headers, sink, data, refusal->status,
		       refusal->reason, refusal->come_back_ms, refusal->text);
}

static void entry_refuse_unmatched(struct entry *entry,
				   const struct call_request *request,
				   const char *reason,
				   const struct call_sink *sink, void *data)
{
	struct entry_refusal refusal = {
		.status = STATUS_NO_ROUTE,
		.reason = reason,
		.text = "not run: no service or rule matches\n",
	};

	counters.caller_no_route++;
	if (entry_defer_refusal(entry, &refusal))
		counters.caller_no_route_doubted++;
	log_unmatched(entry, request, refusal.status, refusal.reason);
	entry_refuse(entry, &refusal, sink, data);
}

/* Answers 503, as another route or none would be wrong, and 404 final. */
static void entry_refuse_unusable_rule(struct entry *entry,
				       const struct call_request *request,
				       const struct call_sink *sink, void *data)
{
	static const struct entry_refusal refusal = {
		.status = STATUS_UNAVAILABLE,
		.reason = "rule-invalid",
		.come_back_ms = CONFIG_UNCONFIRMED_COME_BACK_MS,
		.text = "not run: the rule is invalid\n",
	};

	counters.caller_rule_invalid++;
	log_unmatched(entry, request, refusal.status, refusal.reason);
	entry_refuse(entry, &refusal, sink, data);
}

static void entry_refuse_too_deep(const struct entry *entry,
				  const struct call_sink *sink, void *data)
{
	counters.caller_too_deep++;
	outcome_refuse(entry->daemon->headers, sink, data, STATUS_TOO_DEEP,
		       "too-deep", 0, "not run: calls are nested too deep\n");
}

struct call *entry_begin(struct entry *entry, const struct call_request *request,
			 const struct call_sink *sink, void *data)
{
	struct entry_match match = {0};
	struct entry_refusal refusal = {0};
	uint32_t depth = (uint32_t)read_number(
		request->fields, entry->daemon->headers->depth, INT32_MAX, 0);
	struct call *call;

	counters.caller_requests++;
	if (!config_store_is_ready(entry->daemon->config)) {
		outcome_refuse(entry->daemon->headers, sink, data,
			       STATUS_UNAVAILABLE, "no-configuration",
			       CONFIG_UNCONFIRMED_COME_BACK_MS,
			       "not run: not ready\n");
		return NULL;
	}
	if (!entry_match(entry, request, &match)) {
		entry_refuse_unmatched(entry, request,
				       match.service ? "no-rule" : "no-service",
				       sink, data);
		return NULL;
	}
	if (!config_rule_is_usable(match.rule)) {
		entry_refuse_unusable_rule(entry, request, sink, data);
		return NULL;
	}
	if (!entry_key_check(entry, request, &match, &refusal)) {
		entry_refuse(entry, &refusal, sink, data);
		return NULL;
	}
	if (deadline_is_too_deep(depth)) {
		entry_refuse_too_deep(entry, sink, data);
		return NULL;
	}
	call = call_create(entry, request, &match, depth);
	call->sink = sink;
	call->sink_data = data;
	if (request->has_body)
		return call;
	call_start(call);
	/* A call that has already ended is no longer the first of the list. */
	return LIST_FIRST(&entry->calls) == call ? call : NULL;
}

void entry_cancel_waiting(struct entry *entry)
{
	struct call *call = LIST_FIRST(&entry->calls);

	while (call) {
		struct call *next = LIST_NEXT(call, link);

		call_stop_retrying(call);
		call = next;
	}
}

void entry_end_all(struct entry *entry)
{
	struct call *call;

	while ((call = LIST_FIRST(&entry->calls)))
		call_end_now(call);
}

size_t entry_call_count(const struct entry *entry)
{
	return entry->call_count;
}

void entry_append_metrics(const struct entry *entry, GString *text)
{
	services_append_metrics(entry->services, text);
}
