/*
 * NAME
 *	platform - the daemon's client of the table service and object store
 *
 * DESCRIPTION
 *	Every call ends in exactly one callback, from the loop and never from
 *	within the call itself, unless platform_destroy() comes first.
 *
 *	A write is sent at most once. Its answer can be lost after it took
 *	effect: PLATFORM_UNKNOWN says that, and only reading again can tell.
 *	PLATFORM_UNAVAILABLE is said of a write only where no byte of it left,
 *	of a read on any failure.
 *
 * RETURN VALUE
 *	The status in the answer; platform_status_message() has its reason.
 */
#ifndef COMFREYDOCKD_PLATFORM_PLATFORM_H
#define COMFREYDOCKD_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct daemon;
struct platform;

enum platform_status {
	PLATFORM_OK,
	PLATFORM_NOT_FOUND,
	PLATFORM_CONFLICT, /* a condition did not hold; nothing was applied */
	PLATFORM_REJECTED, /* the platform refused it as malformed; not applied */
	PLATFORM_UNAVAILABLE, /* certainly not applied */
	PLATFORM_UNKNOWN, /* may have been applied */
};

struct platform_row {
	char *key;
	uint64_t version;
	char *value; /* JSON text; NULL after a transaction */
};

/* Valid during the callback only. */
struct platform_answer {
	enum platform_status status;
	/* get: the row; list: one page; transact: keys with their new versions */
	const struct platform_row *rows;
	size_t row_count;
	const char *conflict_key;
	uint64_t conflict_version; /* 0: the key has no row */
	const char *body; /* get_object: the bytes, ended by a 0 beyond size */
	size_t size;
};

typedef void (*platform_handler)(const struct platform_answer *answer,
				 void *data);

enum platform_op_kind {
	PLATFORM_CHECK,
	PLATFORM_PUT,
	PLATFORM_DELETE,
};

/* As if_version: the key must have no row; the key may have any version. */
#define PLATFORM_ABSENT ((int64_t)0)
#define PLATFORM_ANY_VERSION ((int64_t)-1)

struct platform_op {
	enum platform_op_kind kind;
	const char *key;
	int64_t if_version;
	const char *value; /* JSON text, for PLATFORM_PUT */
};

struct platform_counts {
	uint64_t reads;
	uint64_t writes;
	uint64_t unavailable;
	uint64_t unknown;
};

/* Uses daemon->http and daemon->settings->platform_url. */
struct platform *platform_create(struct daemon *daemon);

/* Calls still open end without their callbacks. */
void platform_destroy(struct platform *platform);

void platform_get(struct platform *platform, const char *key,
		  platform_handler handler, void *data);

/* Rows whose keys have the prefix, in order, beyond the key after (or NULL);
 * limit 0 leaves the page's size to the platform. */
void platform_list(struct platform *platform, const char *prefix,
		   const char *after, unsigned int limit,
		   platform_handler handler, void *data);

/* All operations or none. The id goes into the platform's history. */
void platform_transact(struct platform *platform, const char *id,
		       const struct platform_op *ops, size_t count,
		       platform_handler handler, void *data);

void platform_put_object(struct platform *platform, const char *name,
			 const char *body, size_t size,
			 platform_handler handler, void *data);
void platform_get_object(struct platform *platform, const char *name,
			 platform_handler handler, void *data);

/* Whether the last call that ended reached the platform. */
bool platform_is_up(const struct platform *platform);

/* The reason of the last call that failed, or "". */
const char *platform_status_message(const struct platform *platform);

void platform_get_counts(const struct platform *platform,
			 struct platform_counts *counts);

#endif
