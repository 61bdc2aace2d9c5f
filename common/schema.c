#include "common/schema.h"

#include <string.h>

#define SUGGESTION_MAX_EDITS 3 /* largest edit distance of a suggested name */
#define NAME_MAX_BYTES 63

#define NO_INDEX (-1)

static void schema_init_at(struct schema *schema, const struct jsonc_doc *doc,
			   struct findings *findings, json_object *object)
{
	memset(schema, 0, sizeof(*schema));
	schema->doc = doc;
	schema->findings = findings;
	schema->object = object;
	schema->index = NO_INDEX;
	schema->known = g_ptr_array_new();
}

void schema_init(struct schema *schema, const struct jsonc_doc *doc,
		 struct findings *findings)
{
	schema_init_at(schema, doc, findings, doc->root);
}

bool schema_is_strict(const struct schema *schema)
{
	return !schema->doc->is_accepted;
}

/* RETURN VALUE: the path, which the caller frees. */
static char *schema_path(const struct schema *schema)
{
	char *outer;
	char *path;
	char *item;

	if (!schema->parent)
		return g_strdup("");
	outer = schema_path(schema->parent);
	path = jsonc_path_key(outer, schema->key);
	g_free(outer);
	if (schema->index == NO_INDEX)
		return path;
	item = jsonc_path_item(path, (size_t)schema->index);
	g_free(path);
	return item;
}

void schema_error(struct schema *schema, const char *key, const char *format, ...)
{
	char *own = schema_path(schema);
	char *path = key ? jsonc_path_key(own, key) : g_strdup(own);
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	findings_add(schema->findings,
		     schema_is_strict(schema) ? FINDING_ERROR : FINDING_WARNING,
		     schema->doc->file, jsonc_line(schema->doc, path),
		     *path ? path : NULL, "%s", text);
	g_free(text);
	g_free(path);
	g_free(own);
}

/* The Levenshtein distance. A b longer than NAME_MAX_BYTES counts as far away. */
static size_t edit_distance(const char *a, const char *b)
{
	size_t row[NAME_MAX_BYTES + 2];
	size_t length = strlen(b);

	if (length > NAME_MAX_BYTES)
		return NAME_MAX_BYTES;
	for (size_t j = 0; j <= length; j++)
		row[j] = j;
	for (size_t i = 0; a[i]; i++) {
		size_t diagonal = row[0];

		row[0] = i + 1;
		for (size_t j = 0; j < length; j++) {
			size_t above = row[j + 1];
			size_t changed = diagonal + (a[i] != b[j]);

			row[j + 1] = MIN(changed, MIN(above, row[j]) + 1);
			diagonal = above;
		}
	}
	return row[length];
}

const char *schema_nearest(const char *word, const GPtrArray *names)
{
	size_t best = MIN(SUGGESTION_MAX_EDITS, strlen(word) / 2) + 1;
	const char *nearest = NULL;

	for (guint i = 0; i < names->len; i++) {
		size_t distance = edit_distance(word, names->pdata[i]);

		if (distance >= best)
			continue;
		best = distance;
		nearest = names->pdata[i];
	}
	return nearest;
}

static bool is_known(const struct schema *schema, const char *key)
{
	return g_ptr_array_find_with_equal_func(schema->known, key, g_str_equal,
						NULL);
}

static void schema_report_unknown(struct schema *schema)
{
	json_object_object_foreach(schema->object, key, value)
	{
		const char *nearest;

		(void)value;
		if (is_known(schema, key))
			continue;
		nearest = schema_nearest(key, schema->known);
		if (nearest)
			schema_error(schema, key,
				     "unknown key, did you mean \"%s\"?",
				     nearest);
		else
			schema_error(schema, key, "unknown key");
	}
}

void schema_finish(struct schema *schema)
{
	if (schema->object &&
	    schema->present != json_object_object_length(schema->object))
		schema_report_unknown(schema);
	g_ptr_array_free(schema->known, TRUE);
}

static const char *type_text(json_type type)
{
	switch (type) {
	case json_type_boolean:
		return "true or false";
	case json_type_int:
		return "a whole number";
	case json_type_double:
		return "a number";
	case json_type_object:
		return "an object";
	case json_type_array:
		return "an array";
	case json_type_string:
		return "a string";
	default:
		return "a value";
	}
}

static json_object *schema_get(struct schema *schema, const char *key,
			       json_type type, enum schema_need need)
{
	json_object *value = NULL;

	g_ptr_array_add(schema->known, (gpointer)key);
	if (!schema->object ||
	    !json_object_object_get_ex(schema->object, key, &value)) {
		if (schema->object && need == SCHEMA_REQUIRED)
			schema_error(schema, key, "is missing");
		return NULL;
	}
	schema->present++;
	if (!json_object_is_type(value, type)) {
		schema_error(schema, key, "expected %s", type_text(type));
		return NULL;
	}
	return value;
}

bool schema_init_child(struct schema *child, struct schema *parent,
		       const char *key, enum schema_need need)
{
	json_object *object = schema_get(parent, key, json_type_object, need);

	schema_init_at(child, parent->doc, parent->findings, object);
	child->parent = parent;
	child->key = key;
	return object;
}

bool schema_init_item(struct schema *child, struct schema *parent,
		      const char *key, size_t index)
{
	json_object *array = json_object_object_get(parent->object, key);
	json_object *item = json_object_array_get_idx(array, index);
	json_object *object = item;

	if (!json_object_is_type(object, json_type_object))
		object = NULL;
	schema_init_at(child, parent->doc, parent->findings, object);
	child->parent = parent;
	child->key = key;
	child->index = (int)index;
	if (!object && !jsonc_omitted_item(parent->doc, item))
		schema_error(child, NULL, "expected an object");
	return object;
}

const struct json_span *schema_omitted(struct schema *schema, const char *key)
{
	json_object *value = json_object_object_get(schema->object, key);
	const struct json_span *span = jsonc_omitted_item(schema->doc, value);

	if (span) {
		g_ptr_array_add(schema->known, (gpointer)key);
		schema->present++;
	}
	return span;
}

json_object *schema_array(struct schema *schema, const char *key,
			  enum schema_need need)
{
	return schema_get(schema, key, json_type_array, need);
}

char *schema_string(struct schema *schema, const char *key, enum schema_need need)
{
	json_object *value = schema_get(schema, key, json_type_string, need);
	const char *text;

	if (!value)
		return NULL;
	text = json_object_get_string(value);
	if (*text && strlen(text) == (size_t)json_object_get_string_len(value))
		return g_strdup(text);
	schema_error(schema, key, "must not be empty or contain a NUL byte");
	return NULL;
}

bool schema_is_name(const struct schema *schema, const char *text,
		    size_t max_bytes)
{
	if (!schema_is_strict(schema))
		return *text;
	return *text && strlen(text) <= max_bytes &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "0123456789-_.") == strlen(text);
}

char *schema_name(struct schema *schema, const char *key, enum schema_need need,
		  size_t max_bytes)
{
	char *name = schema_string(schema, key, need);

	if (name && !schema_is_name(schema, name, max_bytes))
		schema_error(
			schema, key,
			"must be up to %zu letters, digits, '-', '_' and '.'",
			max_bytes);
	return name;
}

char **schema_strings(struct schema *schema, const char *key,
		      enum schema_need need)
{
	json_object *array = schema_array(schema, key, need);
	size_t length = array ? json_object_array_length(array) : 0;
	char **strings;

	if (!length) {
		if (array && need == SCHEMA_REQUIRED)
			schema_error(schema, key, "must not be empty");
		return NULL;
	}
	strings = g_new0(char *, length + 1);
	for (size_t i = 0, kept = 0; i < length; i++) {
		json_object *item = json_object_array_get_idx(array, i);
		const char *text = json_object_get_string(item);

		if (json_object_is_type(item, json_type_string) && *text)
			strings[kept++] = g_strdup(text);
		else
			schema_error(schema, key, "item %zu: expected a string",
				     i);
	}
	return strings;
}

bool schema_bool(struct schema *schema, const char *key, bool fallback)
{
	json_object *value =
		schema_get(schema, key, json_type_boolean, SCHEMA_OPTIONAL);

	return value ? json_object_get_boolean(value) : fallback;
}

uint64_t schema_uint(struct schema *schema, const char *key,
		     enum schema_need need, uint64_t fallback, uint64_t min,
		     uint64_t max)
{
	json_object *value = schema_get(schema, key, json_type_int, need);
	int64_t number;

	if (!value)
		return fallback;
	number = json_object_get_int64(value);
	if (number >= 0 && (uint64_t)number >= min && (uint64_t)number <= max)
		return (uint64_t)number;
	schema_error(schema, key,
		     "must be between %" G_GUINT64_FORMAT
		     " and %" G_GUINT64_FORMAT,
		     min, max);
	return number < 0 ? min : CLAMP((uint64_t)number, min, max);
}

double schema_double(struct schema *schema, const char *key, double fallback,
		     double max)
{
	json_object *value = NULL;
	double number;

	if (schema->object)
		json_object_object_get_ex(schema->object, key, &value);
	if (json_object_is_type(value, json_type_int)) {
		number = (double)json_object_get_int64(value);
		schema_get(schema, key, json_type_int, SCHEMA_OPTIONAL);
	} else {
		value = schema_get(schema, key, json_type_double,
				   SCHEMA_OPTIONAL);
		number = value ? json_object_get_double(value) : fallback;
	}
	if (number >= 0 && number <= max)
		return number;
	schema_error(schema, key, "must be between 0 and %g", max);
	return number > max ? max : fallback;
}

int schema_enum(struct schema *schema, const char *key,
		const char *const *names, int fallback)
{
	json_object *value =
		schema_get(schema, key, json_type_string, SCHEMA_OPTIONAL);
	char *all;

	if (!value)
		return fallback;
	for (int i = 0; names[i]; i++) {
		if (strcmp(names[i], json_object_get_string(value)) == 0)
			return i;
	}
	all = g_strjoinv(", ", (char **)names);
	schema_error(schema, key, "must be one of: %s", all);
	g_free(all);
	return fallback;
}
