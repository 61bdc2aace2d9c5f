#include "common/jsonc.h"

void jsonc_add_text(json_object *object, const char *key, const char *text)
{
	json_object_object_add(object, key,
			       text ? json_object_new_string(text) : NULL);
}

void jsonc_add_uint(json_object *object, const char *key, uint64_t number)
{
	json_object_object_add(object, key, json_object_new_uint64(number));
}

void jsonc_add_bool(json_object *object, const char *key, bool value)
{
	json_object_object_add(object, key, json_object_new_boolean(value));
}

char *jsonc_to_text(json_object *root)
{
	char *text = g_strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));

	json_object_put(root);
	return text;
}

json_object *jsonc_from_findings(const struct findings *findings)
{
	json_object *array = json_object_new_array();
	struct finding *finding;

	TAILQ_FOREACH (finding, &findings->list, link) {
		json_object *item = json_object_new_object();

		jsonc_add_text(item, "severity",
			       finding->severity == FINDING_ERROR ? "error" :
								    "warning");
		jsonc_add_text(item, "file", finding->file);
		jsonc_add_uint(item, "line", (uint64_t)finding->line);
		jsonc_add_text(item, "path", finding->path);
		jsonc_add_text(item, "text", finding->text);
		json_object_array_add(array, item);
	}
	return array;
}

static json_object *get(json_object *root, const char *key)
{
	if (!json_object_is_type(root, json_type_object))
		return NULL;
	return json_object_object_get(root, key);
}

const char *jsonc_get_text(json_object *root, const char *key)
{
	const char *text = json_object_get_string(get(root, key));

	return text ? text : "";
}

uint64_t jsonc_get_uint(json_object *root, const char *key)
{
	return json_object_get_uint64(get(root, key));
}

json_object *jsonc_get_array(json_object *root, const char *key)
{
	json_object *array = get(root, key);

	return json_object_is_type(array, json_type_array) ? array : NULL;
}
