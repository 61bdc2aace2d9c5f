#include "comfreydockd/config/check_rules.h"

#include <string.h>

#include "comfreydockd/config/known_rules.h"
#include "common/slice.h"

#define DEADLINE_MAX_MS 3600000
#define ATTEMPTS_MAX 10
#define WEIGHT_MAX 1000000

const char *const config_class_names[] = {"interactive", "normal", "bulk", NULL};
static const char *const methods[] = {"GET",	"HEAD",	   "POST",  "PUT",
				      "DELETE", "OPTIONS", "PATCH", NULL};

bool config_check_path(struct schema *schema, const char *key, const char *path)
{
	if (*path == '/')
		return true;
	schema_error(schema, key, "must begin with \"/\"");
	return false;
}

char *config_read_path(struct schema *schema, const char *key)
{
	char *path = schema_string(schema, key, SCHEMA_OPTIONAL);

	if (path && !config_check_path(schema, key, path))
		g_clear_pointer(&path, g_free);
	return path;
}

static void read_methods(struct schema *schema, struct config_rule *rule)
{
	rule->methods = schema_strings(schema, "methods", SCHEMA_OPTIONAL);
	for (char **method = rule->methods; method && *method; method++) {
		if (!g_strv_contains(methods, *method))
			schema_error(schema, "methods",
				     "\"%s\" is not a supported method", *method);
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
	if (present && schema_is_strict(schema) && rule->max_attempts > 1 &&
	    !rule->retry_budget_percent)
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
	/* A hedge runs the same request a second time. */
	if (!rule->hedge || rule->idempotent)
		return;
	schema_error(schema, "hedge", "only an idempotent rule may be hedged");
	rule->hedge = false;
}

static void read_destination(struct schema *item, struct config_rule *rule)
{
	char *group = schema_name(item, "group", SCHEMA_REQUIRED,
				  CONFIG_NAME_MAX_BYTES);
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
			     "is required if the service has no group");
	else if (config_rule_total_weight(rule) == 0)
		schema_error(schema, "to", "needs a weight above 0");
}

/* A rule applies to all paths if it names none. */
static char *read_path_prefix(struct schema *schema)
{
	bool is_present =
		json_object_object_get_ex(schema->object, "path_prefix", NULL);
	char *prefix = config_read_path(schema, "path_prefix");

	return is_present ? prefix : g_strdup("/");
}

static struct config_rule *read_rule(struct schema *schema, const char *group)
{
	struct config_rule *rule = config_rule_create();

	rule->name = schema_name(schema, "name", SCHEMA_REQUIRED,
				 CONFIG_NAME_MAX_BYTES);
	read_methods(schema, rule);
	if (!rule->name)
		rule->name = g_strdup("");
	rule->path_prefix = read_path_prefix(schema);
	rule->idempotent = schema_bool(schema, "idempotent", false);
	rule->deadline_ms = (uint32_t)schema_uint(
		schema, "deadline_ms", SCHEMA_REQUIRED, 0, 1, DEADLINE_MAX_MS);
	rule->target_ms = (uint32_t)schema_uint(
		schema, "target_ms", SCHEMA_OPTIONAL, 0, 1, DEADLINE_MAX_MS);
	read_destinations(schema, group, rule);
	rule->class = (enum config_class)schema_enum(
		schema, "class", config_class_names, CONFIG_CLASS_NORMAL);
	read_retry(schema, rule);
	read_hedge(schema, rule);
	rule->fairness_header =
		schema_string(schema, "fairness_header", SCHEMA_OPTIONAL);
	rule->is_public = schema_bool(schema, "public", false);
	return rule;
}

static bool rule_shadows(const struct config_rule *first,
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

/* Index of the rules read so far of a service. It finds the earlier rules that
 * shadow a new one; comparing 3,000 rules pairwise would take millions of
 * comparisons. */
struct rule_index {
	GHashTable *names;
	GHashTable *by_prefix; /* path prefix -> GPtrArray of rules */
	uint64_t lengths; /* bit n: a prefix has a length of n modulo 64 */
};

static void rule_index_init(struct rule_index *index)
{
	index->lengths = 0;
	index->names = g_hash_table_new(g_str_hash, g_str_equal);
	index->by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
}

static void rule_index_finish(struct rule_index *index)
{
	g_hash_table_unref(index->names);
	g_hash_table_unref(index->by_prefix);
}

static uint64_t length_bit(size_t length)
{
	return UINT64_C(1) << (length % 64);
}

static void rule_index_add(struct rule_index *index,
			   const struct config_rule *rule)
{
	GPtrArray *rules =
		g_hash_table_lookup(index->by_prefix, rule->path_prefix);

	if (!rules) {
		rules = g_ptr_array_new();
		g_hash_table_insert(index->by_prefix, rule->path_prefix, rules);
		index->lengths |= length_bit(strlen(rule->path_prefix));
	}
	g_ptr_array_add(rules, (gpointer)rule);
	g_hash_table_add(index->names, rule->name);
}

static void check_shadowing(struct schema *schema, const GPtrArray *rules,
			    const struct config_rule *rule)
{
	for (guint i = 0; rules && i < rules->len; i++) {
		const struct config_rule *first = rules->pdata[i];

		if (rule_shadows(first, rule))
			schema_error(schema, NULL,
				     "never applies: the earlier rule \"%s\" "
				     "matches all its requests",
				     first->name);
	}
}

/* The first match wins, so a rule after a wider one would never apply. */
static void check_reachable(struct schema *schema, const struct rule_index *index,
			    const struct config_rule *rule)
{
	char *prefix = g_strdup(rule->path_prefix);

	if (*rule->name && g_hash_table_contains(index->names, rule->name))
		schema_error(schema, "name", "another rule has this name");
	for (size_t length = strlen(prefix); length > 0; length--) {
		prefix[length] = '\0';
		if (!(index->lengths & length_bit(length)))
			continue;
		check_shadowing(schema,
				g_hash_table_lookup(index->by_prefix, prefix),
				rule);
	}
	g_free(prefix);
}

/* RETURN VALUE: the rule, or NULL if its text is not valid JSON. */
static struct config_rule *read_cut_rule(const struct schema *item,
					 const char *group,
					 const struct json_span *span)
{
	char *text = g_strndup(span->at, span->size);
	struct findings *findings = item->findings;
	unsigned int warnings = findings->warnings;
	struct jsonc_doc *doc =
		jsonc_parse_accepted(item->doc->file, text, findings);
	struct config_rule *rule = NULL;
	struct schema schema;

	if (doc) {
		schema_init(&schema, doc, findings);
		/* Findings give the location in the whole file. */
		schema.parent = item->parent;
		schema.key = item->key;
		schema.index = item->index;
		rule = read_rule(&schema, group);
		schema_finish(&schema);
		/* Without "to" the rule depends on the group of its service, so
		 * it must not be shared by its text. */
		if (findings->warnings == warnings &&
		    json_object_object_get_ex(doc->root, "to", NULL))
			config_known_rules_add(rule, span);
	}
	jsonc_doc_destroy(doc);
	g_free(text);
	return rule;
}

static struct config_rule *load_rule(struct schema *item, json_object *value,
				     const char *group)
{
	const struct json_span *span = jsonc_omitted_item(item->doc, value);
	struct config_rule *rule;

	if (!span)
		return item->object ? read_rule(item, group) : NULL;
	rule = config_known_rules_find(span);
	return rule ? rule : read_cut_rule(item, group, span);
}

/* Adds a rule to its service. One without a prefix matches no request, which
 * happens only in a document that was accepted before. */
static void add_rule(struct schema *item, struct rule_index *index,
		     struct config_service *service, struct config_rule *rule)
{
	if (!rule->path_prefix) {
		config_rule_unref(rule);
		return;
	}
	if (schema_is_strict(item)) {
		check_reachable(item, index, rule);
		rule_index_add(index, rule);
	}
	g_ptr_array_add(service->rules, rule);
}

void config_read_rules(struct schema *schema, struct config_service *service)
{
	json_object *array = schema_array(schema, "rules", SCHEMA_REQUIRED);
	size_t length = array ? json_object_array_length(array) : 0;
	struct rule_index index;

	if (array && !length && schema_is_strict(schema))
		schema_error(schema, "rules", "may not be empty");
	rule_index_init(&index);
	for (size_t i = 0; i < length; i++) {
		struct config_rule *rule;
		struct schema item;

		schema_init_item(&item, schema, "rules", i);
		rule = load_rule(&item, json_object_array_get_idx(array, i),
				 service->group);
		if (rule)
			add_rule(&item, &index, service, rule);
		schema_finish(&item);
		slice_yield();
	}
	rule_index_finish(&index);
}
