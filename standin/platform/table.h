/*
 * NAME
 *	table - in-memory rows with conditional transactions
 *
 * DESCRIPTION
 *	A row is identified by its table, part and key. A transaction applies
 *	all of its operations or none. It takes its version from one counter and
 *	gives it to each row that it writes or deletes, so that no version ever
 *	denotes two values.
 *
 *	A condition compares a row's version. Version 0 matches a row that does
 *	not exist, whatever version it had before it was deleted.
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
	struct json_object *history; /* applied transactions, for the test */
	uint64_t version; /* of the last transaction */
	/* A watch can't start from a version before this one: the change
	 * history is discarded up to it. */
	uint64_t compacted_version;
};

struct table_row {
	char *table;
	char *part;
	char *key;
	uint64_t version;
	char *value; /* base64, as received; NULL: deleted */
};

enum table_status {
	TABLE_APPLIED,
	TABLE_CONFLICT,
	TABLE_MALFORMED,
	TABLE_FORBIDDEN,
};

void table_init(struct table *table);
void table_finish(struct table *table);

/* RETURN VALUE: NULL if there is no such row. */
const struct table_row *table_get(const struct table *table, const char *name,
				  const char *part, const char *key);

struct table_range {
	const char *table;
	const char *part;
	const char *from; /* first key; "": from the first row */
	const char *to; /* key after the last one; NULL: to the last row */
	size_t limit; /* 0: TABLE_PAGE_ROWS */
};

/* RETURN VALUE: {"rows", "hasMore", "ver"} of a range, in key order. */
struct json_object *table_list(const struct table *table,
			       const struct table_range *range);

/* RETURN VALUE: {"rows", "ver"} with the rows of a table that changed after a
 * version, in order of change, and a tombstone for each deleted row; NULL if no
 * row changed. */
struct json_object *table_changes(const struct table *table, const char *name,
				  uint64_t after);

/* Undoes the given number of most recent transactions. */
void table_restore(struct table *table, uint64_t transactions);

/* Applies a transaction. Only an operator may write to every table. *answer,
 * owned by the caller, is {"ver"} on success, {"rows", "ver"} with the current
 * rows on a conflict, and NULL otherwise. */
enum table_status table_transact(struct table *table,
				 struct json_object *transaction,
				 bool is_operator, struct json_object **answer);

#endif
