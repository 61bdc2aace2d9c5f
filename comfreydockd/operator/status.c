#include <sys/resource.h>

#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/gather.h"
#include "comfreydockd/operator/handler.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/jsonc.h"
#include "common/latency.h"
#include "common/tally.h"

#define HOSTS_PAGE 250
/* Of the kernel's figures for memory. */
#define KILO 1024

static void append_gauge(GString *text, const char *name, uint64_t value)
{
	g_string_append_printf(text,
			       "# TYPE comfreydock_%s gauge\n"
			       "comfreydock_%s %" G_GUINT64_FORMAT "\n",
			       name, name, value);
}

static void append_members(GString *text, struct member_table *members)
{
	static const char *const names[] = {"alive", "suspect", "dead", "left"};
	uint64_t counts[G_N_ELEMENTS(names)] = {0};
	struct member *member;

	g_string_append(text, "# TYPE comfreydock_members gauge\n");
	if (!members)
		return;
	TAILQ_FOREACH (member, member_table_all(members), link)
		counts[member->state]++;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		g_string_append_printf(text,
				       "comfreydock_members{state=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       names[i], counts[i]);
}

/* Under the names that collectors know from other programs. */
static void append_process(GString *text)
{
	struct rusage usage;
	int64_t cpu_us;

	if (getrusage(RUSAGE_SELF, &usage) != 0)
		return;
	cpu_us = (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_S +
		 usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
	g_string_append_printf(text,
			       "# TYPE process_cpu_seconds_total counter\n"
			       "process_cpu_seconds_total %" G_GINT64_FORMAT
			       ".%06" G_GINT64_FORMAT "\n",
			       cpu_us / US_PER_S, cpu_us % US_PER_S);
	append_gauge(text, "memory_peak_bytes", (uint64_t)usage.ru_maxrss * KILO);
}

static void append_upstream(GString *text, const struct owner *owner)
{
	struct owner_status status = {0};

	if (owner)
		owner_get_status(owner, &status);
	append_gauge(text, "upstream_slots", status.slots);
	append_gauge(text, "upstream_limit", status.limit);
	append_gauge(text, "upstream_running", status.running);
	append_gauge(text, "upstream_queued", status.queued);
	append_gauge(text, "upstream_expected_wait_us", status.expected_wait_us);
	append_gauge(text, "upstream_pace_percent", status.pace_percent);
	append_gauge(text, "upstream_pace_age_us",
		     (uint64_t)MAX(status.pace_age_us, 0));
	append_gauge(text, "upstream_up", status.state == OWNER_UP);
}

void operator_get_metrics(struct operator_api *api, struct http_request *request)
{
	GString *text = g_string_new(NULL);

	counters_append_text(text);
	tally_append_text(text);
	latencies_append_text(text);
	append_upstream(text, api->daemon->owner);
	append_members(text, api->daemon->members);
	append_process(text);
	append_gauge(text, "config_head", config_store_head(api->daemon->config));
	http_request_reply_text(request, 200, "text/plain; version=0.0.4",
				text->str);
	g_string_free(text, TRUE);
}

void operator_get_status(struct operator_api *api, struct http_request *request)
{
	const struct daemon *daemon = api->daemon;
	const struct settings *settings = daemon->settings;
	json_object *root = json_object_new_object();
	json_object *config = json_object_new_object();

	jsonc_add_text(root, "host", settings->host);
	jsonc_add_text(root, "domain", settings->domain);
	jsonc_add_text(root, "region", settings->region);
	jsonc_add_text(root, "release", COMFREYDOCK_VERSION);
	jsonc_add_uint(root, "incarnation", daemon->incarnation);
	jsonc_add_uint(root, "caller_port", daemon->caller_port);
	jsonc_add_uint(root, "peer_port", daemon->peer_port);
	jsonc_add_uint(root, "admin_port", daemon->admin_port);
	jsonc_add_uint(root, "hosts",
		       daemon->members ? member_table_size(daemon->members) : 0);
	jsonc_add_bool(config, "ready", config_store_is_ready(daemon->config));
	jsonc_add_uint(config, "head", config_store_head(daemon->config));
	jsonc_add_uint(config, "known_head",
		       config_store_known_head(daemon->config));
	json_object_object_add(root, "config", config);
	json_object_object_add(root, "upstream", operator_upstream_to_json(api));
	operator_reply(request, 200, root);
}

static json_object *member_to_json(const struct member *member)
{
	static const char *const states[] = {"alive", "suspect", "dead", "left"};
	static const char *const service_states[] = {"none", "up", "draining"};
	json_object *root = json_object_new_object();
	json_object *groups = json_object_new_array();

	jsonc_add_text(root, "host", member->host);
	jsonc_add_uint(root, "incarnation", member->incarnation);
	jsonc_add_text(root, "address", member->address);
	jsonc_add_uint(root, "peer_port", member->peer_port);
	jsonc_add_uint(root, "admin_port", member->admin_port);
	jsonc_add_text(root, "domain", member->domain);
	jsonc_add_text(root, "region", member->region);
	jsonc_add_text(root, "state", states[member->state]);
	jsonc_add_text(root, "service", service_states[member->service_state]);
	jsonc_add_uint(root, "slots", member->slots);
	jsonc_add_uint(root, "warm_ms", member->warm_ms);
	for (char **group = member->groups; group && *group; group++)
		json_object_array_add(groups, json_object_new_string(*group));
	json_object_object_add(root, "groups", groups);
	return root;
}

/* RETURN VALUE: false where the page begins after a host that isn't known any
 * more; *first is NULL where the list is at its end. */
static bool find_page(struct operator_api *api, struct http_request *request,
		      struct member **first)
{
	const char *after = http_request_argument(request, "after");
	struct member_table *members = api->daemon->members;
	struct member *member;

	*first = members ? TAILQ_FIRST(member_table_all(members)) : NULL;
	if (!after)
		return true;
	member = members ? member_table_find(members, after) : NULL;
	*first = member ? TAILQ_NEXT(member, link) : NULL;
	return member != NULL;
}

/*
 * All of 22,000 hosts in one answer would keep the loop, and with it every call,
 * waiting for a fifth of a second, and take more memory than the daemon may
 * have. So there are pages: "next" is the host to give as "after".
 */
void operator_get_hosts(struct operator_api *api, struct http_request *request)
{
	json_object *hosts;
	json_object *root;
	struct member *member;
	const char *last = NULL;

	if (!find_page(api, request, &member)) {
		operator_reply_error(request, 404,
				     "no such host any more: begin anew");
		return;
	}
	root = json_object_new_object();
	hosts = json_object_new_array();
	for (int i = 0; member && i < HOSTS_PAGE; i++) {
		json_object_array_add(hosts, member_to_json(member));
		last = member->host;
		member = TAILQ_NEXT(member, link);
	}
	json_object_object_add(root, "hosts", hosts);
	if (member)
		jsonc_add_text(root, "next", last);
	operator_reply(request, 200, root);
}

void operator_get_timeline(struct operator_api *api, struct http_request *request)
{
	gather_start(api->gatherer, request,
		     http_request_argument(request, "trace"));
}
