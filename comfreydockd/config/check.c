#include "comfreydockd/config/check.h"

#include <string.h>

#include "common/schema.h"
#include "common/slice.h"

#define DEADLINE_MAX_MS 3600000
#define ATTEMPTS_MAX 10
#define WEIGHT_MAX 1000000
#define NAME_MAX_BYTES 63
#define HOST_MAX_BYTES 253

static const char *const classes[] = {"interactive", "normal", "bulk", NULL};
static const char *const methods[] = {"GET",	"HEAD",	   "POST",  "PUT",
				      "DELETE", "OPTIONS", "PATCH", NULL};

static void check_path(struct schema *schema, const char *key, const char *path)
{
	if (path && *path != '/')
		schema_error(schema, key, "must begin with \"/\"");
}

static void read_methods(struct schema *schema, struct config_rule *rule)
{
	rule->methods = schema_strings(schema, "methods", SCHEMA_OPTIONAL);
	for (char **method = rule->methods; method && *method; method++) {
		if (!g_strv_contains(methods, *method))
			schema_error(schema, "methods",
				     "\"%s\" is no method known here", *method);
	}
}

static void read_retry(struct schema *schema, struct config_rule *rule)
{
	struct schema retry;
	bool present =
		schema_init_child(&retry, schema, "retry", SCHEMA_OPTIONAL);

	rule->max_attempts = (uint32_t)schema_uint(
		&retry, "max_attempts", SCHEMA_REQUIRED, 1, 1, ATTEMPTS_MAX);
	rule->retry_budget_percent = (uint32_t)schema_uint(
		&retry, "budget_percent", SCHEMA_REQUIRED, 0, 0, 100);
	schema_finish(&retry);
	if (present && rule->max_attempts > 1 && !rule->retry_budget_percent)
		schema_error(schema, "retry",
			     "with a budget of 0 no retry is ever made");
}

static void read_hedge(struct schema *schema, struct config_rule *rule)
{
	struct schema hedge;

	rule->hedge = schema_init_child(&hedge, schema, "hedge", SCHEMA_OPTIONAL);
	rule->hedge_budget_percent = (uint32_t)schema_uint(
		&hedge, "budget_percent", SCHEMA_REQUIRED, 0, 1, 50);
	schema_finish(&hedge);
	/* A hedge is a second run of the same request. */
	if (rule->hedge && !rule->idempotent)
		schema_error(schema, "hedge",
			     "only an idempotent rule may be hedged");
}

static void read_destination(struct schema *item, struct config_rule *rule)
{
	char *group = schema_name(item, "group", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	uint64_t weight =
		schema_uint(item, "weight", SCHEMA_OPTIONAL, 1, 0, WEIGHT_MAX);

	if (group)
		config_rule_add_destination(rule, group, (uint32_t)weight);
	g_free(group);
}

static void read_destinations(struct schema *schema, const char *group,
			      struct config_rule *rule)
{
	json_object *array = schema_array(schema, "to", SCHEMA_OPTIONAL);
	size_t length = array ? json_object_array_length(array) : 0;

	for (size_t i = 0; i < length; i++) {
		struct schema item;

		schema_init_item(&item, schema, "to", i);
		read_destination(&item, rule);
		schema_finish(&item);
	}
	if (!array && group)
		config_rule_add_destination(rule, group, 1);
	else if (!array)
		schema_error(schema, "to",
			     "is needed where the service has no group");
	else if (config_rule_weights(rule) == 0)
		schema_error(schema, "to", "needs a weight above 0");
}

static struct config_rule *read_rule(struct schema *schema, const char *group)
{
	struct config_rule *rule = config_rule_create();

	rule->name = schema_name(schema, "name", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	read_methods(schema, rule);
	rule->path_prefix = schema_string(schema, "path_prefix", SCHEMA_OPTIONAL);
	check_path(schema, "path_prefix", rule->path_prefix);
	if (!rule->path_prefix)
		rule->path_prefix = g_strdup("/");
	rule->idempotent = schema_bool(schema, "idempotent", false);
	rule->deadline_ms = (uint32_t)schema_uint(
		schema, "deadline_ms", SCHEMA_REQUIRED, 0, 1, DEADLINE_MAX_MS);
	rule->target_ms = (uint32_t)schema_uint(
		schema, "target_ms", SCHEMA_OPTIONAL, 0, 1, DEADLINE_MAX_MS);
	read_destinations(schema, group, rule);
	rule->class = (enum config_class)schema_enum(schema, "class", classes,
						     CONFIG_CLASS_NORMAL);
	read_retry(schema, rule);
	read_hedge(schema, rule);
	rule->fairness_header =
		schema_string(schema, "fairness_header", SCHEMA_OPTIONAL);
	return rule;
}

static bool rule_covers(const struct config_rule *first,
			const struct config_rule *later)
{
	if (!g_str_has_prefix(later->path_prefix, first->path_prefix))
		return false;
	if (!first->methods)
		return true;
	for (char **method = later->methods; method && *method; method++) {
		if (!g_strv_contains((const char *const *)first->methods, *method))
			return false;
	}
	return later->methods;
}

/* The rules of a service that were read, to find those before a rule that
 * cover it: one by one, 3,000 rules would take millions of comparisons. */
struct reach {
	GHashTable *names;
	GHashTable *by_prefix; /* path prefix -> GPtrArray of rules */
};

static void reach_init(struct reach *reach)
{
	reach->names = g_hash_table_new(g_str_hash, g_str_equal);
	reach->by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
}

static void reach_finish(struct reach *reach)
{
	g_hash_table_unref(reach->names);
	g_hash_table_unref(reach->by_prefix);
}

static void reach_add(struct reach *reach, const struct config_rule *rule)
{
	GPtrArray *rules =
		g_hash_table_lookup(reach->by_prefix, rule->path_prefix);

	if (!rules) {
		rules = g_ptr_array_new();
		g_hash_table_insert(reach->by_prefix, rule->path_prefix, rules);
	}
	g_ptr_array_add(rules, (gpointer)rule);
	if (rule->name)
		g_hash_table_add(reach->names, rule->name);
}

static void check_covers(struct schema *schema, const GPtrArray *rules,
			 const struct config_rule *rule)
{
	for (guint i = 0; rules && i < rules->len; i++) {
		const struct config_rule *first = rules->pdata[i];

		if (rule_covers(first, rule))
			schema_error(schema, NULL,
				     "never applies: rule \"%s\" before it "
				     "covers all it matches",
				     first->name ? first->name : "");
	}
}

/* The first match wins, so a rule behind a wider one would never apply. */
static void check_reach(struct schema *schema, const struct reach *reach,
			const struct config_rule *rule)
{
	char *prefix = g_strdup(rule->path_prefix);

	if (rule->name && g_hash_table_contains(reach->names, rule->name))
		schema_error(schema, "name", "another rule has this name");
	for (size_t length = strlen(prefix); length > 0; length--) {
		prefix[length] = '\0';
		check_covers(schema,
			     g_hash_table_lookup(reach->by_prefix, prefix), rule);
	}
	g_free(prefix);
}

static void read_rules(struct schema *schema, struct config_service *service)
{
	json_object *array = schema_array(schema, "rules", SCHEMA_REQUIRED);
	size_t length = array ? json_object_array_length(array) : 0;
	struct reach reach;

	if (array && !length)
		schema_error(schema, "rules", "may not be empty");
	reach_init(&reach);
	for (size_t i = 0; i < length; i++) {
		struct config_rule *rule;
		struct schema item;

		schema_init_item(&item, schema, "rules", i);
		rule = read_rule(&item, service->group);
		check_reach(&item, &reach, rule);
		g_ptr_array_add(service->rules, rule);
		reach_add(&reach, rule);
		schema_finish(&item);
		slice_pause();
	}
	reach_finish(&reach);
}

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
	service->health_path =
		schema_string(&measure, "health_path", SCHEMA_OPTIONAL);
	check_path(&measure, "health_path", service->health_path);
	service->load_path =
		schema_string(&measure, "load_path", SCHEMA_OPTIONAL);
	check_path(&measure, "load_path", service->load_path);
	if (!service->measure_budget_permille &&
	    (service->health_path || service->load_path))
		schema_error(&measure, "budget_permille",
			     "with a budget of 0 no path is ever asked");
	schema_finish(&measure);
}

static void read_reach(struct schema *schema, struct config_service *service)
{
	service->hosts = schema_strings(schema, "hosts", SCHEMA_OPTIONAL);
	service->path_prefixes =
		schema_strings(schema, "path_prefixes", SCHEMA_OPTIONAL);
	for (char **path = service->path_prefixes; path && *path; path++)
		check_path(schema, "path_prefixes", *path);
	for (char **host = service->hosts; host && *host; host++) {
		if (!schema_is_name(*host, HOST_MAX_BYTES))
			schema_error(schema, "hosts",
				     "\"%s\" is no host name without a port",
				     *host);
	}
	if (!service->hosts && !service->path_prefixes)
		schema_error(schema, NULL,
			     "no request reaches it: give hosts or "
			     "path_prefixes");
}

/* RETURN VALUE: the first word that stands in both lists, or NULL. */
static const char *find_common(char **a, char **b, bool ignore_case)
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
			find_common(service->hosts, other->hosts, true);
		const char *path = find_common(service->path_prefixes,
					       other->path_prefixes, false);

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
	service->rules = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_rule_destroy);
	if (!schema_is_name(name, NAME_MAX_BYTES))
		schema_error(
			schema,
			NULL, "the name may hold up to %d letters, digits, '-', '_' and '.'",
			NAME_MAX_BYTES);
	read_reach(schema, service);
	check_overlap(schema, ns->services, service);
	service->group =
		schema_name(schema, "group", SCHEMA_OPTIONAL, NAME_MAX_BYTES);
	read_shed_statuses(schema, service);
	read_measure(schema, service);
	read_rules(schema, service);
	return service;
}

static void read_services(struct schema *root, struct config_namespace *ns)
{
	struct schema services;

	if (schema_init_child(&services, root, "services", SCHEMA_REQUIRED)) {
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
		if (!ns->services->len)
			schema_error(root, "services", "may not be empty");
	}
	schema_finish(&services);
}

static struct config_upstreams *read_upstreams(struct schema *schema,
					       const char *group)
{
	struct config_upstreams *upstreams = g_new0(struct config_upstreams, 1);

	upstreams->group = g_strdup(group);
	upstreams->health_path =
		schema_string(schema, "health_path", SCHEMA_OPTIONAL);
	check_path(schema, "health_path", upstreams->health_path);
	upstreams->max_connections = (uint32_t)schema_uint(
		schema, "max_connections", SCHEMA_OPTIONAL, 0, 0, UINT32_MAX);
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
					read_upstreams(&schema, name));
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
	struct schema root;

	schema_init(&root, doc, findings);
	ns->name =
		schema_name(&root, "namespace", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	read_groups(&root, ns);
	read_services(&root, ns);
	schema_finish(&root);
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
							const char *sha256)
{
	struct config_namespace *ns = NULL;
	struct findings findings;
	struct jsonc_doc *doc;

	findings_init(&findings);
	doc = jsonc_parse_accepted("body", text, &findings);
	if (doc)
		ns = read_namespace(doc, &findings);
	jsonc_doc_destroy(doc);
	findings_finish(&findings);
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
		const struct config_service *theirs = other->services->pdata[i];
		const char *word =
			find_common(service->hosts, theirs->hosts, true);

		if (!word)
			word = find_common(service->path_prefixes,
					   theirs->path_prefixes, false);
		if (word)
			findings_add(findings, FINDING_ERROR, file, 0, path,
				     "\"%s\" belongs to service \"%s\" of "
				     "namespace \"%s\" already",
				     word, theirs->name, other->name);
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
	}
}
