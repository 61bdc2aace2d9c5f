#include "comfreydockd/config/model.h"

#include <string.h>

#include "comfreydockd/config/known_rules.h"
#include "comfreydockd/config/organisation_set.h"
#include "comfreydockd/config/routes.h"
#include "common/slice.h"

#define CONFIG_HOST_MAX 256 /* with the terminating null byte */

#define HASH_CHUNK_BYTES ((size_t)(64 * 1024)) /* takes about 0.2 ms */

void config_body_sha256(const char *body, size_t size, char hex[65])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	for (size_t done = 0; done < size; done += HASH_CHUNK_BYTES) {
		g_checksum_update(sum, (const guchar *)body + done,
				  (gssize)MIN(size - done, HASH_CHUNK_BYTES));
		slice_yield();
	}
	g_strlcpy(hex, g_checksum_get_string(sum), 65);
	g_checksum_free(sum);
}

static void destination_clear(void *data)
{
	struct config_destination *destination = data;

	g_free(destination->group);
}

struct config_rule *config_rule_create(void)
{
	struct config_rule *rule = g_new0(struct config_rule, 1);

	rule->references = 1;
	rule->destinations =
		g_array_new(FALSE, FALSE, sizeof(struct config_destination));
	g_array_set_clear_func(rule->destinations, destination_clear);
	return rule;
}

void config_rule_add_destination(struct config_rule *rule, const char *group,
				 uint32_t weight)
{
	struct config_destination destination = {
		.group = g_strdup(group),
		.weight = weight,
	};

	g_array_append_val(rule->destinations, destination);
}

uint64_t config_rule_total_weight(const struct config_rule *rule)
{
	uint64_t sum = 0;

	for (guint i = 0; i < rule->destinations->len; i++)
		sum += g_array_index(rule->destinations,
				     struct config_destination, i)
			       .weight;
	return sum;
}

bool config_rule_is_usable(const struct config_rule *rule)
{
	return rule->deadline_ms > 0 && config_rule_total_weight(rule) > 0;
}

const char *config_rule_select_group(const struct config_rule *rule,
				     uint64_t drawn)
{
	const struct config_destination *destination = NULL;

	for (guint i = 0; i < rule->destinations->len; i++) {
		destination = &g_array_index(rule->destinations,
					     struct config_destination, i);
		if (drawn < destination->weight)
			break;
		drawn -= destination->weight;
	}
	return destination ? destination->group : NULL;
}

struct config_rule *config_rule_ref(struct config_rule *rule)
{
	rule->references++;
	return rule;
}

void config_rule_unref(struct config_rule *rule)
{
	if (--rule->references)
		return;
	config_known_rules_forget(rule);
	g_array_unref(rule->destinations);
	g_free(rule->name);
	g_strfreev(rule->methods);
	g_free(rule->path_prefix);
	g_free(rule->fairness_header);
	g_free(rule->text);
	g_free(rule);
}

void config_service_destroy(struct config_service *service)
{
	g_free(service->name);
	g_free(service->namespace);
	g_strfreev(service->hosts);
	g_strfreev(service->path_prefixes);
	g_free(service->group);
	g_free(service->shed_statuses);
	g_free(service->health_path);
	g_free(service->load_path);
	g_ptr_array_free(service->rules, TRUE);
	g_free(service);
}

static void group_settings_destroy(void *data)
{
	struct config_group_settings *upstreams = data;

	g_free(upstreams->group);
	g_free(upstreams->health_path);
	g_free(upstreams);
}

struct config_namespace *config_namespace_create(void)
{
	struct config_namespace *ns = g_new0(struct config_namespace, 1);

	ns->references = 1;
	ns->services = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_service_destroy);
	ns->upstreams = g_ptr_array_new_with_free_func(group_settings_destroy);
	return ns;
}

struct config_namespace *config_namespace_ref(struct config_namespace *ns)
{
	ns->references++;
	return ns;
}

void config_namespace_unref(struct config_namespace *ns)
{
	if (!ns || --ns->references)
		return;
	g_ptr_array_free(ns->services, TRUE);
	g_ptr_array_free(ns->upstreams, TRUE);
	config_organisation_set_unref(ns->organisations);
	g_free(ns->name);
	g_free(ns->body);
	g_free(ns);
}

struct config_snapshot *config_snapshot_create(void)
{
	struct config_snapshot *snapshot = g_new0(struct config_snapshot, 1);

	snapshot->references = 1;
	snapshot->namespaces = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_namespace_unref);
	snapshot->routes = config_routes_create();
	snapshot->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snapshot->organisations = g_ptr_array_new();
	return snapshot;
}

struct config_snapshot *config_snapshot_ref(struct config_snapshot *snapshot)
{
	snapshot->references++;
	return snapshot;
}

void config_snapshot_unref(struct config_snapshot *snapshot)
{
	if (!snapshot || --snapshot->references)
		return;
	config_routes_destroy(snapshot->routes);
	g_hash_table_unref(snapshot->groups);
	g_ptr_array_free(snapshot->organisations, TRUE);
	g_ptr_array_free(snapshot->namespaces, TRUE);
	g_free(snapshot);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct config_namespace *const *left = a;
	const struct config_namespace *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static struct config_group *get_or_create_group(struct config_snapshot *snapshot,
						const char *name)
{
	struct config_group *group = g_hash_table_lookup(snapshot->groups, name);

	if (!group) {
		group = g_new0(struct config_group, 1);
		g_hash_table_insert(snapshot->groups, g_strdup(name), group);
	}
	return group;
}

static void merge_measure_settings(struct config_group *group,
				   const struct config_service *service)
{
	uint32_t permille = service->measure_budget_permille;

	group->measure_budget_permille =
		group->has_measure ?
			MIN(group->measure_budget_permille, permille) :
			permille;
	group->has_measure = true;
	if (!group->health_path)
		group->health_path = service->health_path;
}

/*
 * A group has one budget, the largest that any of its rules allows. If each
 * call set it to the value of its own rule, two rules with different values
 * would refill it again and again, and a failing service would get all the
 * retries that the budget is meant to prevent.
 */
static void merge_rule_settings(struct config_snapshot *snapshot,
				const struct config_service *service,
				const struct config_rule *rule, const char *name)
{
	struct config_group *group = get_or_create_group(snapshot, name);

	group->retry_budget_percent =
		MAX(group->retry_budget_percent, rule->retry_budget_percent);
	if (rule->hedge)
		group->hedge_budget_percent = MAX(group->hedge_budget_percent,
						  rule->hedge_budget_percent);
	merge_measure_settings(group, service);
}

static void merge_service_settings(struct config_snapshot *snapshot,
				   const struct config_service *service)
{
	for (guint i = 0; i < service->rules->len; i++) {
		const struct config_rule *rule = service->rules->pdata[i];

		for (guint j = 0; j < rule->destinations->len; j++)
			merge_rule_settings(
				snapshot, service, rule,
				g_array_index(rule->destinations,
					      struct config_destination, j)
					.group);
	}
}

static void apply_group_settings(struct config_snapshot *snapshot,
				 const struct config_namespace *ns)
{
	for (guint i = 0; i < ns->upstreams->len; i++) {
		const struct config_group_settings *upstreams =
			ns->upstreams->pdata[i];
		struct config_group *group =
			get_or_create_group(snapshot, upstreams->group);

		group->health_path = upstreams->health_path;
		group->max_connections = upstreams->max_connections;
		group->cold_per_s = upstreams->cold_per_s;
		group->cold_ms = upstreams->cold_ms;
	}
}

static void add_services(struct config_snapshot *snapshot)
{
	for (guint i = 0; i < snapshot->namespaces->len; i++) {
		struct config_namespace *ns = snapshot->namespaces->pdata[i];

		for (guint j = 0; j < ns->services->len; j++) {
			config_routes_add(snapshot->routes,
					  ns->services->pdata[j]);
			merge_service_settings(snapshot, ns->services->pdata[j]);
		}
		apply_group_settings(snapshot, ns);
		if (ns->organisations)
			g_ptr_array_add(snapshot->organisations,
					ns->organisations);
	}
}

const struct config_group *
config_snapshot_group(const struct config_snapshot *snapshot, const char *name)
{
	return g_hash_table_lookup(snapshot->groups, name);
}

struct config_snapshot *config_snapshot_with(const struct config_snapshot *snapshot,
					     struct config_namespace *ns)
{
	struct config_snapshot *next = config_snapshot_create();

	for (guint i = 0; i < snapshot->namespaces->len; i++) {
		struct config_namespace *old = snapshot->namespaces->pdata[i];

		if (strcmp(old->name, ns->name) != 0)
			g_ptr_array_add(next->namespaces,
					config_namespace_ref(old));
	}
	g_ptr_array_add(next->namespaces, config_namespace_ref(ns));
	g_ptr_array_sort(next->namespaces, compare_names);
	add_services(next);
	return next;
}

struct config_namespace *
config_snapshot_find(const struct config_snapshot *snapshot, const char *name)
{
	for (guint i = 0; i < snapshot->namespaces->len; i++) {
		struct config_namespace *ns = snapshot->namespaces->pdata[i];

		if (strcmp(ns->name, name) == 0)
			return ns;
	}
	return NULL;
}

/* RETURN VALUE: the length of the prefix if it matches the path, else 0. */
static size_t prefix_match(const char *prefix, const char *path)
{
	size_t length = strlen(prefix);

	if (strncmp(prefix, path, length) != 0)
		return 0;
	if (prefix[length - 1] == '/' || strchr("/?", path[length]))
		return length;
	return 0;
}

static bool rule_matches(const struct config_rule *rule, const char *method,
			 const char *path)
{
	if (rule->methods &&
	    !g_strv_contains((const char *const *)rule->methods, method))
		return false;
	return prefix_match(rule->path_prefix, path) > 0;
}

bool config_snapshot_match(const struct config_snapshot *snapshot,
			   const char *host, const char *method, const char *path,
			   const struct config_service **service,
			   const struct config_rule **rule)
{
	*rule = NULL;
	*service = config_routes_find(snapshot->routes, host, path);
	if (!*service)
		return false;
	for (guint i = 0; i < (*service)->rules->len; i++) {
		const struct config_rule *candidate = (*service)->rules->pdata[i];

		if (!rule_matches(candidate, method, path))
			continue;
		*rule = candidate;
		return true;
	}
	return false;
}

void config_copy_host(const char *host, char *out, size_t size)
{
	size_t length = host ? strcspn(host, ":") : 0;

	if (host && host[0] == '[')
		length = strcspn(host, "]") + 1;
	length = MIN(length, size - 1);
	for (size_t i = 0; i < length; i++)
		out[i] = g_ascii_tolower(host[i]);
	out[length] = '\0';
}

bool config_snapshot_match_request(const struct config_snapshot *snapshot,
				   const char *host, const char *method,
				   const char *target,
				   const struct config_service **service,
				   const struct config_rule **rule)
{
	char name[CONFIG_HOST_MAX];
	char *path = g_strndup(target, strcspn(target, "?#"));
	bool found;

	config_copy_host(host, name, sizeof(name));
	found = config_snapshot_match(snapshot, name, method, path, service,
				      rule);
	g_free(path);
	return found;
}
