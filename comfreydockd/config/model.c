#include "comfreydockd/config/model.h"

#include <string.h>

#include "comfreydockd/config/routes.h"

void config_body_sha256(const char *body, size_t size, char hex[65])
{
	char *sum = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						(const guchar *)body, size);

	g_strlcpy(hex, sum, 65);
	g_free(sum);
}

void config_rule_destroy(struct config_rule *rule)
{
	g_free(rule->name);
	g_strfreev(rule->methods);
	g_free(rule->path_prefix);
	g_free(rule->fairness_header);
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

struct config_namespace *config_namespace_create(void)
{
	struct config_namespace *ns = g_new0(struct config_namespace, 1);

	ns->references = 1;
	ns->services = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_service_destroy);
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
	g_ptr_array_free(snapshot->namespaces, TRUE);
	g_free(snapshot);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct config_namespace *const *left = a;
	const struct config_namespace *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static void add_routes(struct config_snapshot *snapshot)
{
	for (guint i = 0; i < snapshot->namespaces->len; i++) {
		struct config_namespace *ns = snapshot->namespaces->pdata[i];

		for (guint j = 0; j < ns->services->len; j++)
			config_routes_add(snapshot->routes,
					  ns->services->pdata[j]);
	}
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
	add_routes(next);
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

/* RETURN VALUE: the prefix's length if it covers the path, else 0. */
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
