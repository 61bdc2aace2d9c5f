#include <sys/resource.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/handler.h"
#include "comfreydockd/quota/quota.h"
#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/domain_traffic.h"
#include "common/latency.h"
#include "common/metric.h"
#include "common/organisation_counts.h"
#include "common/tally.h"

/* The unit of ru_maxrss in bytes. */
#define RSS_UNIT_BYTES 1024

static void append_members(GString *text, struct member_table *members)
{
	static const char *const names[] = {"alive", "suspect", "dead", "left"};
	unsigned int counts[G_N_ELEMENTS(names)] = {0};
	struct member *member;

	if (!members)
		return;
	metric_begin_gauge(text, "members", "hosts as this daemon knows them");
	TAILQ_FOREACH (member, member_table_all(members), link)
		counts[member->state]++;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		metric_append_line(text, "members", "state", names[i], counts[i]);
}

static void append_upstream(GString *text, const struct owner *owner)
{
	struct owner_status status = {0};

	if (owner)
		owner_get_status(owner, &status);
	metric_append_gauge(text, "upstream_slots", "slots of the own upstream",
			    status.slots);
	metric_append_gauge(text, "upstream_limit",
			    "requests that it is given at once", status.limit);
	metric_append_gauge(text, "upstream_running", "requests that it has",
			    status.running);
	metric_append_gauge(text, "upstream_queued",
			    "requests that wait for it", status.queued);
	metric_append_gauge(text, "upstream_expected_wait_us",
			    "wait of a request that came now",
			    status.expected_wait_us);
	metric_append_gauge(text, "upstream_pace_percent",
			    "time that it needs, of the usual one",
			    status.pace_percent);
	metric_append_gauge(text, "upstream_pace_age_us",
			    "since it told this, 0 where it never did",
			    (double)MAX(status.pace_age_us, 0));
	metric_append_gauge(text, "upstream_states_limit",
			    "1: it states a limit of its own",
			    status.states_limit);
	metric_append_gauge(text, "upstream_stated_per_s",
			    "requests a second by that limit, 0 without one",
			    status.states_limit ? status.limit_per_s : 0);
	metric_append_gauge(text, "upstream_evacuated",
			    "1: its failure domain is evacuated",
			    status.is_evacuated);
	metric_append_gauge(text, "upstream_up", "1: it takes requests",
			    status.state == OWNER_UP);
}

static void append_evacuation(GString *text, const struct evacuation *evacuation)
{
	metric_append_gauge(text, "evacuated_domains",
			    "failure domains that get no requests",
			    (double)evacuation->count);
}

static void append_versions(GString *text, const struct config_snapshot *snapshot)
{
	const GPtrArray *namespaces = snapshot->namespaces;

	metric_begin_gauge(text, "config_version",
			   "version in force of each namespace");
	for (guint i = 0; i < namespaces->len; i++) {
		const struct config_namespace *ns = namespaces->pdata[i];

		metric_append_line(text, "config_version", "namespace",
				   ns->name, (double)ns->version);
	}
}

static void append_config(GString *text, const struct config_store *store)
{
	int64_t now_us = clock_mono_us();
	int64_t adopted_us = config_store_adopted_us(store);
	int64_t told_age_us = config_store_confirmed_age_us(store);

	append_versions(text, config_store_current(store));
	metric_append_gauge(text, "config_head",
			    "head up to which the configuration is held",
			    (double)config_store_head(store));
	metric_append_gauge(text, "config_behind",
			    "heads that were heard of beyond it",
			    (double)(config_store_known_head(store) -
				     config_store_head(store)));
	if (adopted_us)
		metric_append_gauge(text, "config_age_us",
				    "since a version was put in force",
				    (double)(now_us - adopted_us));
	if (told_age_us >= 0)
		metric_append_gauge(
			text, "config_told_age_us",
			"since nothing newer was there, by the platform's word",
			(double)told_age_us);
}

/* Uses the metric names that collectors know from other programs. */
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
	metric_append_gauge(text, "memory_peak_bytes",
			    "memory of this process at most",
			    (double)usage.ru_maxrss * RSS_UNIT_BYTES);
}

void operator_get_metrics(struct operator_api *api, struct http_request *request)
{
	const struct daemon *daemon = api->daemon;
	GString *text = g_string_new(NULL);

	counters_append_text(text);
	tally_append_text(text);
	domain_traffic_append_text(text);
	if (daemon->organisation_counts)
		organisation_counts_append_text(daemon->organisation_counts,
						text);
	latencies_append_text(text);
	append_upstream(text, daemon->owner);
	append_evacuation(text, daemon->evacuation);
	append_members(text, daemon->members);
	append_config(text, daemon->config);
	if (daemon->entry)
		entry_append_metrics(daemon->entry, text);
	if (daemon->quota)
		quota_append_metrics(daemon->quota, text);
	append_process(text);
	http_request_reply_text(request, 200, "text/plain; version=0.0.4",
				text->str);
	g_string_free(text, TRUE);
}
