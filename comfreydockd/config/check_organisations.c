#include "comfreydockd/config/check_organisations.h"

#include "comfreydockd/config/check_rules.h"
#include "comfreydockd/config/organisation_set.h"
#include "common/slice.h"

#define QUOTA_MAX 1e9 /* of a rate and of a burst */

static void read_digest(struct schema *schema, size_t index, json_object *item,
			struct config_organisation_set *set,
			struct config_organisation *organisation)
{
	const struct config_organisation *holder;
	char hex[KEY_DIGEST_SIZE];

	if (!json_object_is_type(item, json_type_string) ||
	    json_object_get_string_len(item) != KEY_DIGEST_SIZE - 1 ||
	    !key_digest_parse(json_object_get_string(item), hex)) {
		schema_error(schema, "key_digests",
			     "item %zu: 64 hexadecimal digits are expected",
			     index);
		return;
	}
	holder = g_hash_table_lookup(set->by_digest, hex);
	if (!holder)
		config_organisation_set_add_digest(set, organisation, hex);
	else if (holder != organisation)
		schema_error(schema, "key_digests",
			     "item %zu: organisation \"%s\" holds this key "
			     "already",
			     index, holder->name);
}

static void read_digests(struct schema *schema,
			 struct config_organisation_set *set,
			 struct config_organisation *organisation)
{
	json_object *array = schema_array(schema, "key_digests", SCHEMA_REQUIRED);
	size_t length = array ? json_object_array_length(array) : 0;

	for (size_t i = 0; i < length; i++)
		read_digest(schema, i, json_object_array_get_idx(array, i), set,
			    organisation);
}

/* RETURN VALUE: whether a limit is absent or a number that is not negative. */
static bool is_limit(const struct schema *schema, const char *key)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(schema->object, key, &value))
		return true;
	return (json_object_is_type(value, json_type_int) ||
		json_object_is_type(value, json_type_double)) &&
	       json_object_get_double(value) >= 0;
}

static void read_organisation(struct schema *schema, const char *name,
			      struct config_organisation_set *set)
{
	struct config_organisation *organisation =
		config_organisation_set_add(set, name);

	if (!schema_is_name(schema, name, CONFIG_ORGANISATION_NAME_MAX_BYTES))
		schema_error(
			schema,
			NULL, "the name must be 1 to %d letters, digits, '-', '_' and '.'",
			CONFIG_ORGANISATION_NAME_MAX_BYTES);
	/* With an invalid limit its callers would have none, so that in an
	 * accepted document it gets no key instead. */
	if (schema_is_strict(schema) ||
	    (is_limit(schema, "rate_per_s") && is_limit(schema, "burst")))
		read_digests(schema, set, organisation);
	organisation->has_class =
		json_object_object_get_ex(schema->object, "class", NULL);
	organisation->class = (enum config_class)schema_enum(
		schema, "class", config_class_names, CONFIG_CLASS_NORMAL);
	organisation->rate_per_s =
		schema_double(schema, "rate_per_s", 0, QUOTA_MAX);
	organisation->burst = schema_double(schema, "burst", 0, QUOTA_MAX);
}

static struct config_organisation_set *read_all(struct schema *schema)
{
	struct config_organisation_set *set = config_organisation_set_create();

	json_object_object_foreach(schema->object, name, value)
	{
		struct schema item;

		(void)value;
		schema_init_child(&item, schema, name, SCHEMA_REQUIRED);
		read_organisation(&item, name, set);
		schema_finish(&item);
		/* Freeing all values at once would block the loop. */
		json_object_object_add(schema->object, name, NULL);
		slice_yield();
	}
	return set;
}

/* Reads organisations that were left unparsed. */
static struct config_organisation_set *read_cut(const struct schema *root,
						const struct json_span *span)
{
	char *text = g_strndup(span->at, span->size);
	struct findings *findings = root->findings;
	unsigned int warnings = findings->warnings;
	struct jsonc_doc *doc =
		jsonc_parse_accepted(root->doc->file, text, findings);
	struct config_organisation_set *set = NULL;
	struct schema schema;

	if (doc) {
		schema_init(&schema, doc, findings);
		/* Findings give the location in the whole file. */
		schema.parent = root;
		schema.key = CONFIG_ORGANISATIONS_KEY;
		set = read_all(&schema);
		schema_finish(&schema);
		if (findings->warnings == warnings)
			config_organisation_set_add_known(set, span);
	}
	jsonc_doc_destroy(doc);
	g_free(text);
	return set;
}

struct config_organisation_set *config_read_organisations(struct schema *root)
{
	const struct json_span *span =
		schema_omitted(root, CONFIG_ORGANISATIONS_KEY);
	struct config_organisation_set *set = NULL;
	struct schema schema;

	if (span) {
		set = config_organisation_set_find_known(span);
		return set ? set : read_cut(root, span);
	}
	if (schema_init_child(&schema, root, CONFIG_ORGANISATIONS_KEY,
			      SCHEMA_OPTIONAL))
		set = read_all(&schema);
	else if (!schema_is_strict(root) &&
		 json_object_object_get_ex(root->object,
					   CONFIG_ORGANISATIONS_KEY, NULL))
		/* Without organisations its services would be open to all. */
		findings_add(root->findings, FINDING_ERROR, root->doc->file, 0,
			     CONFIG_ORGANISATIONS_KEY, "expected an object");
	schema_finish(&schema);
	return set;
}

static void check_against(const struct config_namespace *other,
			  const struct config_organisation *organisation,
			  const char *file, struct findings *findings)
{
	const struct config_organisation_set *set = other->organisations;
	char *path = g_strdup_printf(CONFIG_ORGANISATIONS_KEY ".%s",
				     organisation->name);

	if (g_hash_table_contains(set->by_name, organisation->name))
		findings_add(findings, FINDING_ERROR, file, 0, path,
			     "namespace \"%s\" has an organisation of this "
			     "name already",
			     other->name);
	for (guint i = 0; i < organisation->digests->len; i++) {
		const struct config_organisation *holder = g_hash_table_lookup(
			set->by_digest, organisation->digests->pdata[i]);

		if (holder)
			findings_add(findings, FINDING_ERROR, file, 0, path,
				     "key_digests: organisation \"%s\" of "
				     "namespace \"%s\" holds key %u already",
				     holder->name, other->name, i);
	}
	g_free(path);
}

void config_check_organisations_against(const struct config_namespace *other,
					const struct config_namespace *ns,
					const char *file,
					struct findings *findings)
{
	const struct config_organisation_set *set = ns->organisations;

	if (!set || !other->organisations)
		return;
	for (guint i = 0; i < set->all->len; i++)
		check_against(other, set->all->pdata[i], file, findings);
}
