#include "table.h"

#include <string.h>

#include "common/clock.h"

static int compare_keys(const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp(a, b);
}

static void row_free(void *data)
{
	struct table_row *row = data;

	json_object_put(row->value);
	g_free(row);
}

void table_init(struct table *table)
{
	table->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	table->history = json_object_new_array();
	table->sequence = 0;
}

void table_finish(struct table *table)
{
	g_tree_destroy(table->rows);
	json_object_put(table->history);
}

const struct table_row *table_get(const struct table *table, const char *key)
{
	const struct table_row *row = g_tree_lookup(table->rows, key);

	return row && row->present ? row : NULL;
}

struct json_object *table_row_to_json(const char *key, const struct table_row *row)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "key", json_object_new_string(key));
	json_object_object_add(object, "version",
			       json_object_new_uint64(row->version));
	json_object_object_add(object, "value", json_object_get(row->value));
	return object;
}

struct json_object *table_list(const struct table *table, const char *prefix,
			       const char *after, size_t limit)
{
	struct json_object *object = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	GTreeNode *node = strcmp(after, prefix) > 0 ?
				  g_tree_upper_bound(table->rows, after) :
				  g_tree_lower_bound(table->rows, prefix);

	for (; node; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const struct table_row *row = g_tree_node_value(node);

		if (!g_str_has_prefix(key, prefix) ||
		    json_object_array_length(rows) >= limit)
			break;
		if (row->present)
			json_object_array_add(rows, table_row_to_json(key, row));
	}
	json_object_object_add(object, "rows", rows);
	return object;
}

static const char *member_string(struct json_object *object, const char *name)
{
	struct json_object *member = json_object_object_get(object, name);

	return json_object_is_type(member, json_type_string) ?
		       json_object_get_string(member) :
		       NULL;
}

static bool op_is_valid(struct json_object *op)
{
	const char *kind = member_string(op, "op");

	if (!kind || !member_string(op, "key"))
		return false;
	if (strcmp(kind, "put") == 0)
		return json_object_object_get_ex(op, "value", NULL);
	return strcmp(kind, "check") == 0 || strcmp(kind, "delete") == 0;
}

static bool condition_holds(const struct table *table, struct json_object *op,
			    struct table_result *result)
{
	const char *key = member_string(op, "key");
	const struct table_row *row = table_get(table, key);
	uint64_t version = row ? row->version : 0;
	struct json_object *wanted;

	if (!json_object_object_get_ex(op, "if_version", &wanted) ||
	    json_object_get_uint64(wanted) == version)
		return true;
	result->key = key;
	result->version = version;
	return false;
}

static uint64_t op_apply(struct table *table, struct json_object *op)
{
	const char *kind = member_string(op, "op");
	const char *key = member_string(op, "key");
	struct table_row *row = g_tree_lookup(table->rows, key);

	if (strcmp(kind, "check") == 0)
		return row ? row->version : 0;
	if (!row) {
		row = g_new0(struct table_row, 1);
		g_tree_insert(table->rows, g_strdup(key), row);
	}
	row->version++;
	row->present = strcmp(kind, "put") == 0;
	json_object_put(row->value);
	row->value =
		row->present ?
			json_object_get(json_object_object_get(op, "value")) :
			NULL;
	return row->version;
}

static void remember(struct table *table, struct json_object *transaction,
		     struct json_object *versions)
{
	struct json_object *entry = json_object_new_object();
	const char *id = member_string(transaction, "id");

	json_object_object_add(entry, "sequence",
			       json_object_new_uint64(++table->sequence));
	json_object_object_add(entry, "time_us",
			       json_object_new_int64(clock_wall_us()));
	json_object_object_add(entry, "id",
			       id ? json_object_new_string(id) : NULL);
	json_object_object_add(
		entry, "ops",
		json_object_get(json_object_object_get(transaction, "ops")));
	json_object_object_add(entry, "versions", json_object_get(versions));
	json_object_array_add(table->history, entry);
}

void table_transact(struct table *table, struct json_object *transaction,
		    struct table_result *result)
{
	struct json_object *ops = json_object_object_get(transaction, "ops");
	size_t count;

	result->status = TABLE_MALFORMED;
	if (!json_object_is_type(ops, json_type_array))
		return;
	count = json_object_array_length(ops);
	for (size_t i = 0; i < count; i++) {
		if (!op_is_valid(json_object_array_get_idx(ops, i)))
			return;
	}
	result->status = TABLE_CONFLICT;
	for (size_t i = 0; i < count; i++) {
		if (!condition_holds(table, json_object_array_get_idx(ops, i),
				     result))
			return;
	}
	result->status = TABLE_APPLIED;
	result->versions = json_object_new_object();
	for (size_t i = 0; i < count; i++) {
		struct json_object *op = json_object_array_get_idx(ops, i);

		json_object_object_add(
			result->versions, member_string(op, "key"),
			json_object_new_uint64(op_apply(table, op)));
	}
	remember(table, transaction, result->versions);
}
