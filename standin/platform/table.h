/*
 * NAME
 *	table - rows under conditional transactions, in memory
 *
 * DESCRIPTION
 *	A transaction's operations are applied all or none. Each change of a
 *	key, a delete included, raises the key's version; a key that was
 *	deleted and put again goes on from there, so that no version ever
 *	stands for two values.
 *
 *	A condition is a key's version: 0 holds where the key has no row,
 *	whatever version it once had.
 */
#ifndef STANDIN_PLATFORM_TABLE_H
#define STANDIN_PLATFORM_TABLE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

struct table {
	GTree *rows; /* key -> struct table_row */
	struct json_object *history;
	uint64_t sequence;
};

struct table_row {
	uint64_t version;
	bool present; /* false: deleted, kept for its version */
	struct json_object *value;
};

enum table_status {
	TABLE_APPLIED,
	TABLE_CONFLICT,
	TABLE_MALFORMED,
};

struct table_result {
	enum table_status status;
	const char *key; /* the conflicting one */
	uint64_t version; /* which it has */
	struct json_object *versions; /* where applied; the caller's reference */
};

void table_init(struct table *table);
void table_finish(struct table *table);

/* RETURN VALUE: NULL where the key has no row. */
const struct table_row *table_get(const struct table *table, const char *key);

/* {"rows":[{key, version, value}]} with the prefix, in order, after a key. */
struct json_object *table_list(const struct table *table, const char *prefix,
			       const char *after, size_t limit);

struct json_object *table_row_to_json(const char *key,
				      const struct table_row *row);

void table_transact(struct table *table, struct json_object *transaction,
		    struct table_result *result);

#endif
