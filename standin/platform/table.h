/*
 * NAME
 *	table - rows under conditional transactions, in memory
 *
 * DESCRIPTION
 *	A row is named by its table, part and key. A transaction's operations
 *	are applied all or none; its version, taken from one counter, becomes
 *	that of each row that it writes or deletes, so that no version ever
 *	stands for two values.
 *
 *	A condition is a row's version: 0 holds where there is no row, whatever
 *	version it once had.
 */
#ifndef STANDIN_PLATFORM_TABLE_H
#define STANDIN_PLATFORM_TABLE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#define TABLE_PAGE_ROWS 500

struct table {
	GTree *rows; /* "TABLE\1PART\1KEY" -> struct table_row */
	struct json_object *history; /* what was applied, for the test */
	uint64_t version; /* of the last transaction */
	uint64_t compacted_version; /* changes up to this one can't be fed any more */
};

struct table_row {
	char *table;
	char *part;
	char *key;
	uint64_t version;
	char *value; /* as it came, base64; NULL: deleted */
};

enum table_status {
	TABLE_APPLIED,
	TABLE_CONFLICT,
	TABLE_MALFORMED,
	TABLE_FORBIDDEN,
};

void table_init(struct table *table);
void table_finish(struct table *table);

/* RETURN VALUE: NULL where there is no row. */
const struct table_row *table_get(const struct table *table, const char *name,
				  const char *part, const char *key);

struct table_range {
	const char *table;
	const char *part;
	const char *from; /* "": from the first */
	const char *to; /* NULL: to the last */
	size_t limit; /* 0: TABLE_PAGE_ROWS */
};

/* {"rows", "hasMore", "ver"} of a range, in order of keys. */
struct json_object *table_list(const struct table *table,
			       const struct table_range *range);

/* {"rows", "ver"}: rows of a table that changed after a version, in order of
 * their changes, deleted ones marked. RETURN VALUE: NULL if none did. */
struct json_object *table_changes(const struct table *table, const char *name,
				  uint64_t after);

/* Goes back to what it was before its last transactions. */
void table_restore(struct table *table, uint64_t transactions);

/* Applies a transaction, as an operator where it may write to every table.
 * *answer, the caller's, is {"ver"}, or {"rows", "ver"} of a conflict. */
enum table_status table_transact(struct table *table,
				 struct json_object *transaction,
				 bool is_operator, struct json_object **answer);

#endif
