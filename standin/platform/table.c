#include "table.h"

#include <string.h>

#include "platform/wire.h"

#define SEPARATOR "\1"
#define OPERATIONS_MAX 100
#define NAME_MAX_BYTES 200

static int compare_names(const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp(a, b);
}

static void row_free(void *data)
{
	struct table_row *row = data;

	g_free(row->table);
	g_free(row->part);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

void table_init(struct table *table)
{
	table->rows = g_tree_new_full(compare_names, NULL, g_free, row_free);
	table->history = json_object_new_array();
	table->version = 0;
	table->compacted_version = 0;
}

void table_finish(struct table *table)
{
	g_tree_destroy(table->rows);
	json_object_put(table->history);
}

static char *full_name(const char *table, const char *part, const char *key)
{
	return g_strconcat(table, SEPARATOR, part, SEPARATOR, key, NULL);
}

static struct table_row *find_row(const struct table *table, const char *name,
				  const char *part, const char *key)
{
	char *full = full_name(name, part, key);
	struct table_row *row = g_tree_lookup(table->rows, full);

	g_free(full);
	return row;
}

const struct table_row *table_get(const struct table *table, const char *name,
				  const char *part, const char *key)
{
	const struct table_row *row = find_row(table, name, part, key);

	return row && row->value ? row : NULL;
}

static void add_text(struct json_object *object, const char *name,
		     const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

static void add_version(struct json_object *object, uint64_t version)
{
	json_object_object_add(object, WIRE_VER, json_object_new_uint64(version));
}

static struct json_object *row_to_json(const struct table_row *row)
{
	struct json_object *object = json_object_new_object();

	add_text(object, WIRE_TABLE, row->table);
	add_text(object, WIRE_PART, row->part);
	add_text(object, WIRE_KEY, row->key);
	add_version(object, row->version);
	if (row->value)
		add_text(object, WIRE_VALUE, row->value);
	else
		json_object_object_add(object, WIRE_TOMBSTONE,
				       json_object_new_boolean(1));
	return object;
}

struct json_object *table_list(const struct table *table,
			       const struct table_range *range)
{
	struct json_object *object = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	size_t limit = range->limit ? MIN(range->limit, TABLE_PAGE_ROWS) :
				      TABLE_PAGE_ROWS;
	char *first = full_name(range->table, range->part, range->from);
	GTreeNode *node = g_tree_lower_bound(table->rows, first);
	bool has_more = false;

	for (; node; node = g_tree_node_next(node)) {
		const struct table_row *row = g_tree_node_value(node);

		if (strcmp(row->table, range->table) != 0 ||
		    strcmp(row->part, range->part) != 0 ||
		    (range->to && strcmp(row->key, range->to) >= 0))
			break;
		if (!row->value)
			continue;
		has_more = json_object_array_length(rows) == limit;
		if (has_more)
			break;
		json_object_array_add(rows, row_to_json(row));
	}
	json_object_object_add(object, WIRE_ROWS, rows);
	json_object_object_add(object, WIRE_HAS_MORE,
			       json_object_new_boolean(has_more));
	add_version(object, table->version);
	g_free(first);
	return object;
}

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	const struct table_row *const *x = a;
	const struct table_row *const *y = b;

	return ((*x)->version > (*y)->version) - ((*x)->version < (*y)->version);
}

struct json_object *table_changes(const struct table *table, const char *name,
				  uint64_t after)
{
	struct json_object *object = NULL;
	struct json_object *list;
	GPtrArray *rows = g_ptr_array_new();

	for (GTreeNode *node = g_tree_node_first(table->rows); node;
	     node = g_tree_node_next(node)) {
		struct table_row *row = g_tree_node_value(node);

		if (row->version > after && strcmp(row->table, name) == 0)
			g_ptr_array_add(rows, row);
	}
	g_ptr_array_sort(rows, compare_versions);
	if (rows->len > 0) {
		object = json_object_new_object();
		list = json_object_new_array();
		for (guint i = 0; i < rows->len; i++)
			json_object_array_add(list, row_to_json(rows->pdata[i]));
		json_object_object_add(object, WIRE_ROWS, list);
		add_version(object, table->version);
	}
	g_ptr_array_unref(rows);
	return object;
}

/* A condition, a write or a removal of a transaction. */
struct operation {
	const char *table;
	const char *part;
	const char *key;
	const char *value;
	uint64_t version;
};

static const char *read_text(struct json_object *object, const char *name)
{
	struct json_object *member = json_object_object_get(object, name);
	const char *text = json_object_is_type(member, json_type_string) ?
				   json_object_get_string(member) :
				   NULL;

	return text;
}

static bool read_operation(struct json_object *object, struct operation *operation)
{
	operation->table = read_text(object, WIRE_TABLE);
	operation->part = read_text(object, WIRE_PART);
	operation->key = read_text(object, WIRE_KEY);
	operation->value = read_text(object, WIRE_VALUE);
	operation->version =
		json_object_get_uint64(json_object_object_get(object, WIRE_VER));
	if (!operation->part)
		operation->part = "";
	return operation->table && operation->key &&
	       strlen(operation->table) <= NAME_MAX_BYTES &&
	       strlen(operation->part) <= NAME_MAX_BYTES &&
	       strlen(operation->key) <= NAME_MAX_BYTES;
}

static size_t length_of(struct json_object *transaction, const char *name)
{
	struct json_object *list = json_object_object_get(transaction, name);

	return json_object_is_type(list, json_type_array) ?
		       json_object_array_length(list) :
		       0;
}

static bool get_operation(struct json_object *transaction, const char *name,
			  size_t index, struct operation *operation)
{
	struct json_object *list = json_object_object_get(transaction, name);

	return read_operation(json_object_array_get_idx(list, index), operation);
}

static bool is_for_operators(const char *table)
{
	return strcmp(table, "op") == 0 || strcmp(table, "servers") == 0;
}

/* All entries must be well-formed and belong to the same part. */
static enum table_status check_operations(struct json_object *transaction,
					  bool is_operator)
{
	static const char *const lists[] = {WIRE_EXPECT, WIRE_SET_KEYS,
					    WIRE_REMOVE};
	const char *part = NULL;
	size_t total = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		for (size_t j = 0; j < length_of(transaction, lists[i]); j++) {
			struct operation operation;

			if (!get_operation(transaction, lists[i], j, &operation))
				return TABLE_MALFORMED;
			if (i == 1 && !operation.value)
				return TABLE_MALFORMED;
			if (i > 0 && !is_operator &&
			    is_for_operators(operation.table))
				return TABLE_FORBIDDEN;
			if (part && strcmp(part, operation.part) != 0)
				return TABLE_MALFORMED;
			part = operation.part;
			total++;
		}
	}
	return total > 0 && total <= OPERATIONS_MAX ? TABLE_APPLIED :
						      TABLE_MALFORMED;
}

static bool conditions_hold(const struct table *table,
			    struct json_object *transaction)
{
	for (size_t i = 0; i < length_of(transaction, WIRE_EXPECT); i++) {
		const struct table_row *row;
		struct operation operation;

		get_operation(transaction, WIRE_EXPECT, i, &operation);
		row = table_get(table, operation.table, operation.part,
				operation.key);
		if (operation.version != (row ? row->version : 0))
			return false;
	}
	return true;
}

static struct json_object *current_rows(const struct table *table,
					struct json_object *transaction)
{
	struct json_object *object = json_object_new_object();
	struct json_object *rows = json_object_new_array();

	for (size_t i = 0; i < length_of(transaction, WIRE_EXPECT); i++) {
		const struct table_row *row;
		struct operation operation;

		get_operation(transaction, WIRE_EXPECT, i, &operation);
		row = table_get(table, operation.table, operation.part,
				operation.key);
		if (row)
			json_object_array_add(rows, row_to_json(row));
	}
	json_object_object_add(object, WIRE_ROWS, rows);
	add_version(object, table->version);
	return object;
}

static void write_row(struct table *table, const struct operation *operation,
		      const char *value)
{
	struct table_row *row = find_row(table, operation->table,
					 operation->part, operation->key);

	if (!row) {
		row = g_new0(struct table_row, 1);
		row->table = g_strdup(operation->table);
		row->part = g_strdup(operation->part);
		row->key = g_strdup(operation->key);
		g_tree_insert(table->rows,
			      full_name(operation->table, operation->part,
					operation->key),
			      row);
	}
	g_free(row->value);
	row->value = g_strdup(value);
	row->version = table->version;
}

static void apply(struct table *table, struct json_object *transaction)
{
	struct operation operation;

	table->version++;
	for (size_t i = 0; i < length_of(transaction, WIRE_SET_KEYS); i++) {
		get_operation(transaction, WIRE_SET_KEYS, i, &operation);
		write_row(table, &operation, operation.value);
	}
	for (size_t i = 0; i < length_of(transaction, WIRE_REMOVE); i++) {
		get_operation(transaction, WIRE_REMOVE, i, &operation);
		write_row(table, &operation, NULL);
	}
	json_object_array_add(table->history, json_object_get(transaction));
}

void table_restore(struct table *table, uint64_t transactions)
{
	struct json_object *history = table->history;
	uint64_t kept = table->version - MIN(transactions, table->version);

	g_tree_destroy(table->rows);
	table_init(table);
	for (uint64_t i = 0; i < kept; i++)
		apply(table, json_object_array_get_idx(history, i));
	table->compacted_version = 0;
	json_object_put(history);
}

enum table_status table_transact(struct table *table,
				 struct json_object *transaction,
				 bool is_operator, struct json_object **answer)
{
	enum table_status status = check_operations(transaction, is_operator);

	*answer = NULL;
	if (status != TABLE_APPLIED)
		return status;
	if (!conditions_hold(table, transaction)) {
		*answer = current_rows(table, transaction);
		return TABLE_CONFLICT;
	}
	apply(table, transaction);
	*answer = json_object_new_object();
	add_version(*answer, table->version);
	return TABLE_APPLIED;
}
