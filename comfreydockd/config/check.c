#include "comfreydockd/config/check.h"

#include <string.h>

#include "comfreydockd/config/check_organisations.h"
#include "comfreydockd/config/check_rules.h"
#include "common/schema.h"

#define HOST_MAX_BYTES 253
#define COLD_PER_S_MAX 1e6
#define COLD_MAX_MS 3600000

static void read_shed_statuses(struct schema *schema,
			       struct config_service *service)
{
	json_object *array =
		schema_array(schema, "shed_statuses", SCHEMA_OPTIONAL);
	size_t length = array ? json_object_array_length(array) : 0;

	service->shed_statuses = g_new0(uint16_t, length + 1);
	for (size_t i = 0; i < length; i++) {
		json_object *item = json_object_array_get_idx(array, i);
		int64_t status = json_object_get_int64(item);

		if (json_object_is_type(item, json_type_int) && status >= 400 &&
		    status <= 599)
			service->shed_statuses[i] = (uint16_t)status;
		else
			schema_error(schema, "shed_statuses",
				     "item %zu: a status from 400 to 599 is "
				     "expected",
				     i);
	}
}

static void read_measure(struct schema *schema, struct config_service *service)
{
	struct schema measure;

	schema_init_child(&measure, schema, "measure", SCHEMA_OPTIONAL);
	service->measure_budget_permille = (uint32_t)schema_uint(
		&measure, "budget_permille", SCHEMA_REQUIRED, 0, 0, 1000);
	service->health_path = config_read_path(&measure, "health_path");
	service->load_path = config_read_path(&measure, "load_path");
	if (schema_is_strict(schema) && !service->measure_budget_permille &&
	    (service->health_path || service->load_path))
		schema_error(&measure, "budget_permille",
			     "with a budget of 0 no path is ever asked");
	schema_finish(&measure);
}

static void read_hosts_and_prefixes(struct schema *schema,
				    struct config_service *service)
{
	service->hosts = schema_strings(schema, "hosts", SCHEMA_OPTIONAL);
	service->path_prefixes =
		schema_strings(schema, "path_prefixes", SCHEMA_OPTIONAL);
	for (char **path = service->path_prefixes; path && *path; path++)
		config_check_path(schema, "path_prefixes", *path);
	for (char **host = service->hosts; host && *host; host++) {
		if (!schema_is_name(schema, *host, HOST_MAX_BYTES))
			schema_error(schema, "hosts",
				     "\"%s\" is not a host name without a port",
				     *host);
	}
	if (!service->hosts && !service->path_prefixes)
		schema_error(schema, NULL,
			     "no request can reach it: give hosts or "
			     "path_prefixes");
}

/* RETURN VALUE: the first string of a that is also in b, or NULL. */
static const char *find_common_string(char **a, char **b, bool ignore_case)
{
	for (char **left = a; left && *left; left++) {
		for (char **right = b; right && *right; right++) {
			if (ignore_case ? g_ascii_strcasecmp(*left, *right) == 0 :
					  strcmp(*left, *right) == 0)
				return *left;
		}
	}
	return NULL;
}

static void check_overlap(struct schema *schema, const GPtrArray *services,
			  const struct config_service *service)
{
	for (guint i = 0; i < services->len; i++) {
		const struct config_service *other = services->pdata[i];
		const char *host =
			find_common_string(service->hosts, other->hosts, true);
		const char *path = find_common_string(
			service->path_prefixes, other->path_prefixes, false);

		if (host)
			schema_error(schema, "hosts",
				     "\"%s\" belongs to service \"%s\" already",
				     host, other->name);
		if (path)
			schema_error(schema, "path_prefixes",
				     "\"%s\" belongs to service \"%s\" already",
				     path, other->name);
	}
}

static struct config_service *read_service(struct schema *schema,
					   const char *name,
					   const struct config_namespace *ns)
{
	struct config_service *service = g_new0(struct config_service, 1);

	service->name = g_strdup(name);
	service->namespace = g_strdup(ns->name);
	service->rules =
		g_ptr_array_new_with_free_func((GDestroyNotify)config_rule_unref);
	if (!schema_is_name(schema, name, CONFIG_NAME_MAX_BYTES))
		schema_error(
			schema,
			NULL, "the name may hold up to %d letters, digits, '-', '_' and '.'",
			CONFIG_NAME_MAX_BYTES);
	read_hosts_and_prefixes(schema, service);
	check_overlap(schema, ns->services, service);
	service->needs_key = ns->organisations;
	service->group = schema_name(schema, "group", SCHEMA_OPTIONAL,
				     CONFIG_NAME_MAX_BYTES);
	read_shed_statuses(schema, service);
	read_measure(schema, service);
	config_read_rules(schema, service);
	return service;
}

/* RETURN VALUE: whether the file has services, if perhaps none. */
static bool read_services(struct schema *root, struct config_namespace *ns)
{
	struct schema services;
	bool is_present =
		schema_init_child(&services, root, "services", SCHEMA_REQUIRED);

	if (is_present) {
		json_object_object_foreach(services.object, name, value)
		{
			struct schema schema;

			(void)value;
			schema_init_child(&schema, &services, name,
					  SCHEMA_REQUIRED);
			g_ptr_array_add(ns->services,
					read_service(&schema, name, ns));
			schema_finish(&schema);
		}
		if (!ns->services->len && schema_is_strict(root))
			schema_error(root, "services", "may not be empty");
	}
	schema_finish(&services);
	return is_present;
}

static struct config_group_settings *read_group_settings(struct schema *schema,
							 const char *group)
{
	struct config_group_settings *upstreams =
		g_new0(struct config_group_settings, 1);

	upstreams->group = g_strdup(group);
	upstreams->health_path = config_read_path(schema, "health_path");
	upstreams->max_connections = (uint32_t)schema_uint(
		schema, "max_connections", SCHEMA_OPTIONAL, 0, 0, UINT32_MAX);
	upstreams->cold_per_s =
		schema_double(schema, "cold_per_s", 0, COLD_PER_S_MAX);
	upstreams->cold_ms = (uint32_t)schema_uint(
		schema, "cold_ms", SCHEMA_OPTIONAL, 0, 0, COLD_MAX_MS);
	return upstreams;
}

static void read_groups(struct schema *root, struct config_namespace *ns)
{
	struct schema groups;

	if (schema_init_child(&groups, root, "groups", SCHEMA_OPTIONAL)) {
		json_object_object_foreach(groups.object, name, value)
		{
			struct schema schema;

			(void)value;
			schema_init_child(&schema, &groups, name,
					  SCHEMA_REQUIRED);
			g_ptr_array_add(ns->upstreams,
					read_group_settings(&schema, name));
			schema_finish(&schema);
		}
	}
	schema_finish(&groups);
}

static struct config_namespace *read_namespace(const struct jsonc_doc *doc,
					       struct findings *findings)
{
	struct config_namespace *ns = config_namespace_create();
	unsigned int errors = findings->errors;
	unsigned int warnings = findings->warnings;
	bool has_services;
	struct schema root;

	schema_init(&root, doc, findings);
	ns->name = schema_name(&root, "namespace", SCHEMA_REQUIRED,
			       CONFIG_NAME_MAX_BYTES);
	ns->organisations = config_read_organisations(&root);
	read_groups(&root, ns);
	has_services = read_services(&root, ns);
	/* Without these two even an accepted document is of something else. */
	if (!schema_is_strict(&root) && (!has_services || !ns->name))
		findings_add(findings, FINDING_ERROR, doc->file, 0, NULL,
			     "not a namespace");
	schema_finish(&root);
	ns->invalid_entries = findings->warnings - warnings;
	if (findings->errors == errors)
		return ns;
	config_namespace_unref(ns);
	return NULL;
}

struct config_namespace *config_namespace_load(const char *file, const char *text,
					       struct findings *findings)
{
	struct jsonc_doc *doc = jsonc_parse(file, text, findings);
	struct config_namespace *ns;

	if (!doc)
		return NULL;
	ns = read_namespace(doc, findings);
	jsonc_doc_destroy(doc);
	if (!ns)
		return NULL;
	ns->body = g_strdup(text);
	config_body_sha256(text, strlen(text), ns->sha256);
	return ns;
}

struct config_namespace *config_namespace_load_accepted(const char *text,
							const char *sha256,
							struct findings *findings)
{
	struct config_namespace *ns = NULL;
	struct jsonc_doc *doc =
		jsonc_parse_without_items("body", text, CONFIG_RULES_SHAPE,
					  CONFIG_ORGANISATIONS_KEY, findings);

	if (doc)
		ns = read_namespace(doc, findings);
	jsonc_doc_destroy(doc);
	if (!ns)
		return NULL;
	ns->body = g_strdup(text);
	g_strlcpy(ns->sha256, sha256, sizeof(ns->sha256));
	return ns;
}

static void check_service_against(const struct config_namespace *other,
				  const struct config_service *service,
				  const char *file, struct findings *findings)
{
	char *path = g_strdup_printf("services.%s", service->name);

	for (guint i = 0; i < other->services->len; i++) {
		const struct config_service *other_service =
			other->services->pdata[i];
		const char *word = find_common_string(
			service->hosts, other_service->hosts, true);

		if (!word)
			word = find_common_string(service->path_prefixes,
						  other_service->path_prefixes,
						  false);
		if (word)
			findings_add(findings, FINDING_ERROR, file, 0, path,
				     "\"%s\" belongs to service \"%s\" of "
				     "namespace \"%s\" already",
				     word, other_service->name, other->name);
	}
	g_free(path);
}

void config_check_against(const struct config_snapshot *snapshot,
			  const struct config_namespace *ns, const char *file,
			  struct findings *findings)
{
	for (guint i = 0; i < snapshot->namespaces->len; i++) {
		const struct config_namespace *other =
			snapshot->namespaces->pdata[i];

		if (strcmp(other->name, ns->name) == 0)
			continue;
		for (guint j = 0; j < ns->services->len; j++)
			check_service_against(other, ns->services->pdata[j],
					      file, findings);
		config_check_organisations_against(other, ns, file, findings);
	}
}
