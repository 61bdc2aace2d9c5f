/*
 * NAME
 *	store_codec - encodes and decodes the bodies of calls to the store
 *
 * DESCRIPTION
 *	The key "TABLE/REST" stands for the row REST in part "" of TABLE.
 */
#ifndef PLATFORM_STORE_CODEC_H
#define PLATFORM_STORE_CODEC_H

#include <glib.h>
#include <json-c/json.h>

#include "comfreydockd/platform/platform.h"
#include "platform/store_era.h"

/* RETURN VALUE: an empty array of struct platform_row that owns the keys and
 * values of its rows. */
GArray *store_rows_create(void);

/*
 * Reads the rows and the version of an answer. A row that can't be read is
 * skipped and logged.
 *
 * RETURN VALUE: false if the body is not an answer of the store.
 */
bool store_read_answer(const char *body, GArray *rows, uint64_t *version);

/* RETURN VALUE: the body of a transaction, whose conditions can hold only in the
 * given era; the caller releases it with json_object_put(). */
struct json_object *store_write_transaction(const struct platform_op *ops,
					    size_t count,
					    const struct store_era *era);

/* RETURN VALUE: the table of a key, which the caller frees; *rest is the part of
 * the key after the table. */
char *store_split_key(const char *key, const char **rest);

#endif
