/*
 * NAME
 *	platform - the daemon's client of the table service and object store
 *
 * DESCRIPTION
 *	Every call ends with exactly one callback, made from the loop and never
 *	from within the call itself, unless platform_cancel() or
 *	platform_destroy() comes first.
 *
 *	A key is "TABLE/REST". Versions increase with each change of any row,
 *	and a row never has the same version twice. A store that is restored
 *	from a copy reuses its version numbers. So a version here consists of
 *	the store's era in the upper bits and the store's version in the lower
 *	PLATFORM_VERSION_BITS. A version from a past era matches nothing: a
 *	write with such a condition is a conflict, and a watch from such a
 *	version ends with PLATFORM_HISTORY_GONE.
 *
 *	A write is sent at most once. If its answer is lost, the status is
 *	PLATFORM_UNKNOWN: the write may have taken effect, and only another read
 *	can tell. Even after that read it may still take effect, as long as its
 *	conditions hold. A write ends with PLATFORM_UNAVAILABLE only if it
 *	certainly had no effect, a read on any failure.
 *
 *	Calls share connections that are kept open, but for platform_get_from(),
 *	platform_watch() and platform_get_changes(), which use one of their own:
 *	a daemon with an old configuration must not wait for a connection that
 *	was lost without an error.
 *
 * RETURN VALUE
 *	The status is in the answer; platform_last_error() has the reason.
 */
#ifndef COMFREYDOCKD_PLATFORM_PLATFORM_H
#define COMFREYDOCKD_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_client;
struct platform;
struct platform_call;

#define PLATFORM_VERSION_BITS 40
#define PLATFORM_VERSION_MASK (((uint64_t)1 << PLATFORM_VERSION_BITS) - 1)

enum platform_status {
	PLATFORM_OK,
	PLATFORM_NOT_FOUND,
	PLATFORM_CONFLICT, /* a condition did not hold; nothing was applied */
	PLATFORM_HISTORY_GONE, /* of a watch: read the rows again */
	PLATFORM_REJECTED, /* refused as malformed; not applied */
	PLATFORM_UNAVAILABLE, /* certainly not applied */
	PLATFORM_UNKNOWN, /* may have been applied */
};

struct platform_row {
	char *key;
	uint64_t version;
	char *value; /* followed by a 0 byte; NULL: the row was deleted */
	size_t size;
};

/* Valid during the callback only. */
struct platform_answer {
	enum platform_status status;
	/* get: the row; list: one page; watch: the changed rows, in order;
	 * transact: none, or with PLATFORM_CONFLICT the current rows of the
	 * checked keys. */
	const struct platform_row *rows;
	size_t row_count;
	/* The newest version of the store when the rows were read, or the one
	 * that a transaction created. A watch continues from here. */
	uint64_t version;
	const char *body; /* get_object: the bytes, followed by a 0 byte */
	size_t size;
};

typedef void (*platform_handler)(const struct platform_answer *answer,
				 void *data);

enum platform_op_kind {
	PLATFORM_CHECK,
	PLATFORM_PUT,
	PLATFORM_DELETE,
};

/* Values of if_version: the key must have no row; the key may have any version
 * or no row. */
#define PLATFORM_ABSENT ((int64_t)0)
#define PLATFORM_ANY_VERSION ((int64_t)-1)

struct platform_op {
	enum platform_op_kind kind;
	const char *key;
	int64_t if_version;
	const char *value; /* for PLATFORM_PUT */
};

/* url: "http://IP:PORT" */
struct platform *platform_create(struct http_client *http, const char *url);

/* Sets the one handler for restores of the store from a copy, after which
 * recent writes may be lost. It is called from the loop, once for each
 * restore. */
void platform_set_restore_handler(struct platform *platform,
				  void (*handle_restored)(void *data),
				  void *data);

/* Open calls end without their callbacks. */
void platform_destroy(struct platform *platform);

void platform_get(struct platform *platform, const char *key,
		  platform_handler handler, void *data);

/* Reads the row of a key together with those that follow it in its table, limit
 * at most. A missing row is no error. */
void platform_get_from(struct platform *platform, const char *key,
		       unsigned int limit, platform_handler handler, void *data);

/* Lists rows of a table in the order of their keys, beginning after
 * after_key, or with the first row if it is NULL. limit 0: the platform chooses
 * the page size. */
void platform_list(struct platform *platform, const char *table,
		   const char *after_key, unsigned int limit,
		   platform_handler handler, void *data);

/* Long poll: answers once a row of the table has changed after the version
 * after, or after wait_ms without a change.
 * RETURN VALUE: a handle for platform_cancel(), valid until the callback. */
struct platform_call *platform_watch(struct platform *platform, const char *table,
				     uint64_t after, uint32_t wait_ms,
				     platform_handler handler, void *data);

/* The same without a wait: answers at once, with the changes so far. */
void platform_get_changes(struct platform *platform, const char *table,
			  uint64_t after, platform_handler handler, void *data);

/* Ends the call without its callback. */
void platform_cancel(struct platform_call *call);

/* Applies all operations or none. */
void platform_transact(struct platform *platform, const struct platform_op *ops,
		       size_t count, platform_handler handler, void *data);

void platform_put_object(struct platform *platform, const char *name,
			 const char *body, size_t size,
			 platform_handler handler, void *data);
void platform_get_object(struct platform *platform, const char *name,
			 platform_handler handler, void *data);

/* RETURN VALUE: whether the last call that ended reached the platform. */
bool platform_is_up(const struct platform *platform);

/* RETURN VALUE: the reason of the last failed call, or "". */
const char *platform_last_error(const struct platform *platform);

#endif
