#include "comfreydockd/caller/services.h"

#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/subset.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/headers.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/id.h"
#include "common/log.h"
#include "common/metric.h"

/* The tick skips a service that has had no calls for this time. */
#define INACTIVE_AFTER_US (10 * US_PER_S)
/*
 * The least weight of an upstream that warms up and reports its load. Such an
 * upstream uses all its slots, at about half the speed. The ramp of warm.h
 * begins at a tenth: with that weight, nearly all calls would be refused for
 * lack of room where all upstreams start together.
 */
#define WARM_WEIGHT_MIN 0.5

LIST_HEAD(service_list, service);

struct services {
	struct daemon *daemon;
	struct service_list active;
	GHashTable *by_group; /* group -> struct service */
};

static void service_upstream_delist(struct service_upstream *upstream)
{
	struct service *service = upstream->service;

	TAILQ_REMOVE(&service->upstreams, upstream, link);
	pick_set_remove(&service->picks, &upstream->candidate);
	health_remove(&service->health, &upstream->health);
	upstream->listed = false;
	service_upstream_unref(upstream);
}

static void service_free(gpointer data)
{
	struct service *service = data;
	struct service_upstream *upstream;

	if (service->is_active)
		LIST_REMOVE(service, active_link);
	while ((upstream = TAILQ_FIRST(&service->upstreams)))
		service_upstream_delist(upstream);
	pick_set_finish(&service->picks);
	g_free(service->throttle);
	g_free(service->group);
	g_free(service);
}

struct services *services_create(struct daemon *daemon)
{
	struct services *services = g_new0(struct services, 1);

	services->daemon = daemon;
	LIST_INIT(&services->active);
	services->by_group = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, service_free);
	return services;
}

void services_destroy(struct services *services)
{
	if (!services)
		return;
	g_hash_table_unref(services->by_group);
	g_free(services);
}

struct service_upstream *service_upstream_ref(struct service_upstream *upstream)
{
	upstream->references++;
	return upstream;
}

void service_upstream_unref(struct service_upstream *upstream)
{
	if (--upstream->references == 0)
		g_free(upstream);
}

static struct service_upstream *service_find_upstream(struct service *service,
						      const char *host)
{
	struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (strcmp(upstream->host, host) == 0)
			return upstream;
	}
	return NULL;
}

static struct service_upstream *service_add_upstream(struct service *service,
						     const struct member *member)
{
	struct service_upstream *upstream = g_new0(struct service_upstream, 1);

	upstream->service = service;
	upstream->references = 1;
	upstream->listed = true;
	g_strlcpy(upstream->host, member->host, sizeof(upstream->host));
	pick_candidate_init(&upstream->candidate, id_random_u64() | 1);
	upstream->candidate.data = upstream;
	TAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
	health_add(&service->health, &upstream->health, false);
	pick_set_add(&service->picks, &upstream->candidate);
	return upstream;
}

static void service_update_upstream(struct service *service,
				    const struct member *member)
{
	const struct settings *settings = service->services->daemon->settings;
	struct service_upstream *upstream =
		service_find_upstream(service, member->host);
	struct warm ramp;

	if (!upstream)
		upstream = service_add_upstream(service, member);
	upstream->candidate.local = strcmp(member->domain, settings->domain) == 0;
	upstream->candidate.slots = member->slots;
	warm_begin(&ramp, member->warm_ms, member->up_since_us);
	upstream->candidate.warm_weight =
		(double)warm_weight_permille(&ramp, clock_mono_us()) /
		WARM_FULL_PERMILLE;
	/* Upstreams report their load if this field has a name. */
	if (service->services->daemon->headers->load)
		upstream->candidate.warm_weight =
			MAX(upstream->candidate.warm_weight, WARM_WEIGHT_MIN);
	health_set_available(&service->health, &upstream->health,
			     member_is_usable(member));
}

/* Marks the members that this entry uses: in a small service, all of them. */
static void service_choose_subset(const struct service *service,
				  const GPtrArray *members,
				  struct subset_upstream *subset)
{
	const struct settings *settings = service->services->daemon->settings;
	bool is_partial = members->len > subset_size(members->len);
	size_t count = 0;

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		if (member->state == MEMBER_DEAD || member->state == MEMBER_LEFT)
			continue;
		/* They would take places of a subset, but where it holds all,
		 * their load and health is kept for their return. */
		if (member->is_evacuated && is_partial)
			continue;
		subset[count].host = member->host;
		subset[count].local =
			strcmp(member->domain, settings->domain) == 0;
		subset[count].chosen = false;
		count++;
	}
	subset_choose(settings->host, subset, count, subset_size(count));
	subset[count].host = NULL;
}

static bool has_evacuated(const GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		if (member->is_evacuated)
			return true;
	}
	return false;
}

static bool subset_has(const struct subset_upstream *subset, const char *host)
{
	for (; subset->host; subset++) {
		if (subset->chosen && strcmp(subset->host, host) == 0)
			return true;
	}
	return false;
}

/* Adds, updates and removes upstreams to match the member table. */
static void service_refresh_upstreams(struct service *service)
{
	struct member_table *members = service->services->daemon->members;
	const GPtrArray *group = member_table_group(members, service->group);
	guint count = group ? group->len : 0;
	struct subset_upstream *subset =
		g_new0(struct subset_upstream, count + 1);
	struct service_upstream *upstream;
	struct service_upstream *next;

	service->stale = false;
	service->has_evacuated = group && has_evacuated(group);
	service->group_version =
		member_table_group_version(members, service->group);
	if (group)
		service_choose_subset(service, group, subset);
	for (struct subset_upstream *candidate = subset; candidate->host;
	     candidate++) {
		if (candidate->chosen)
			service_update_upstream(
				service,
				member_table_find(members, candidate->host));
	}
	for (upstream = TAILQ_FIRST(&service->upstreams); upstream;
	     upstream = next) {
		next = TAILQ_NEXT(upstream, link);
		if (!subset_has(subset, upstream->host))
			service_upstream_delist(upstream);
	}
	g_free(subset);
}

/* Does what the tick skipped while the service was not in use. */
static void service_activate(struct service *service, int64_t now_us)
{
	service->is_active = true;
	service->stale = true;
	LIST_INSERT_HEAD(&service->services->active, service, active_link);
	health_tick(&service->health, now_us);
}

/* Notes that the service is in use, so that the tick covers it. Refreshes its
 * upstreams if the group's members have changed. */
static void service_note_used(struct service *service)
{
	struct member_table *members = service->services->daemon->members;

	service->used_us = clock_mono_us();
	if (!service->is_active)
		service_activate(service, service->used_us);
	if (service->stale ||
	    service->group_version !=
		    member_table_group_version(members, service->group))
		service_refresh_upstreams(service);
}

static struct service *service_new(struct services *services, const char *group)
{
	struct service *service = g_new0(struct service, 1);

	service->services = services;
	service->group = g_strdup(group);
	TAILQ_INIT(&service->upstreams);
	pick_set_init(&service->picks, pick_default_policy, id_random_u64());
	health_init(&service->health, &health_outlier, id_random_u64());
	g_hash_table_insert(services->by_group, service->group, service);
	service->stale = true;
	retry_init(&service->retry, 0);
	hedge_init(&service->hedge, 0);
	return service;
}

static void service_configure(struct service *service)
{
	const struct daemon *daemon = service->services->daemon;
	const struct config_group *config = config_snapshot_group(
		config_store_current(daemon->config), service->group);

	if (!config)
		return;
	if (daemon->settings->retry_budget.slack > 0) {
		retry_set_shared(&service->retry, config->retry_budget_percent,
				 daemon->settings->retry_budget.slack,
				 member_table_size(daemon->members));
	} else if (service->retry_budget_percent != config->retry_budget_percent) {
		service->retry_budget_percent = config->retry_budget_percent;
		retry_init(&service->retry, config->retry_budget_percent);
	}
	if (service->hedge_budget_percent != config->hedge_budget_percent) {
		service->hedge_budget_percent = config->hedge_budget_percent;
		hedge_init(&service->hedge, config->hedge_budget_percent);
	}
}

struct service *services_get(struct services *services, const char *group)
{
	struct service *service = g_hash_table_lookup(services->by_group, group);

	if (!service)
		service = service_new(services, group);
	service_configure(service);
	service_note_used(service);
	return service;
}

void service_prepare_choice(struct service *service)
{
	struct service_upstream *upstream;

	/* Between two attempts of a call, a host may have left for good. */
	service_note_used(service);
	TAILQ_FOREACH (upstream, &service->upstreams, link)
		upstream->candidate.usable = health_is_usable(&upstream->health);
}

struct service_upstream *service_choose(struct service *service,
					const struct pick_tried *tried,
					int64_t now_us)
{
	struct pick_candidate *chosen;

	service_prepare_choice(service);
	chosen = pick_choose(&service->picks, tried, now_us);
	return chosen ? chosen->data : NULL;
}

struct service_upstream *service_find_by_host_hash(const struct service *service,
						   uint32_t host_hash)
{
	struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (member_host_hash(upstream->host) == host_hash)
			return upstream;
	}
	return NULL;
}

bool service_may_send(struct service *service, bool idempotent, int64_t now_us)
{
	return health_may_try(&service->health, idempotent, now_us);
}

void service_upstream_note_mute(struct service_upstream *upstream, int64_t now_us)
{
	if (upstream->listed)
		health_note_mute(&upstream->service->health, &upstream->health,
				 now_us);
}

void service_upstream_note_heard(struct service_upstream *upstream, int64_t now_us)
{
	if (upstream->listed)
		health_note_heard(&upstream->health, now_us);
}

/* The health of an upstream changes as attempts end. It is logged once a tick,
 * so that a flapping upstream doesn't fill the log. */
static void service_log_health(struct service *service, int64_t now_us)
{
	static const char *const states[] = {
		[HEALTH_CLOSED] = "in-use",
		[HEALTH_EJECTED] = "left-out",
		[HEALTH_HALF_OPEN] = "on-trial",
	};
	struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		const struct health_upstream *health = &upstream->health;

		if (upstream->logged_state == health->state)
			continue;
		upstream->logged_state = health->state;
		log_event(EV_ENTRY_HEALTH, LOG_STR("group", service->group),
			  LOG_STR("host", upstream->host),
			  LOG_STR("state", states[health->state]),
			  LOG_INT("mute", health_is_mute(health, now_us)),
			  LOG_INT("questions_open", health->open_questions),
			  LOG_INT("unanswered", health->unanswered),
			  LOG_INT("errors_percent", 100 * health->error_rate),
			  LOG_INT("heard_us_ago", now_us - health->heard_us));
	}
}

void services_note_load(struct services *services, const char *host,
			const struct pick_load *load)
{
	int64_t now = clock_mono_us();
	struct service *service;

	LIST_FOREACH (service, &services->active, active_link) {
		struct service_upstream *upstream =
			service_find_upstream(service, host);

		if (!upstream)
			continue;
		health_note_heard(&upstream->health, now);
		pick_note_load(&service->picks, &upstream->candidate, load, now);
	}
}

/* RETURN VALUE: whether an upstream warms up. Its weight grows although its
 * member record does not change, so the service must be refreshed each tick. */
static bool service_is_warming(const struct service *service)
{
	const struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (upstream->candidate.warm_weight < 1.0)
			return true;
	}
	return false;
}

static bool service_has_attempts(const struct service *service)
{
	const struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (upstream->candidate.outstanding > 0)
			return true;
	}
	return false;
}

void services_tick(struct services *services, int64_t now_us)
{
	struct service *service = LIST_FIRST(&services->active);

	while (service) {
		struct service *next = LIST_NEXT(service, active_link);

		health_tick(&service->health, now_us);
		service_log_health(service, now_us);
		service->stale |= service_is_warming(service);
		if (now_us - service->used_us > INACTIVE_AFTER_US &&
		    !service_has_attempts(service)) {
			LIST_REMOVE(service, active_link);
			service->is_active = false;
		}
		service = next;
	}
}

void services_append_metrics(const struct services *services, GString *text)
{
	int64_t now = clock_mono_us();
	struct service *service;

	metric_begin_gauge(text, "retry_budget_left",
			   "retries that each service may make at once");
	LIST_FOREACH (service, &services->active, active_link)
		metric_append_line(text, "retry_budget_left", "group",
				   service->group,
				   retry_available(&service->retry, now));
	metric_begin_gauge(text, "retry_budget_most",
			   "how many of them it may make in all");
	LIST_FOREACH (service, &services->active, active_link)
		metric_append_line(text, "retry_budget_most", "group",
				   service->group,
				   retry_capacity(&service->retry, now));
}
