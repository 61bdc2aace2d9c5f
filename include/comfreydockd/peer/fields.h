/*
 * NAME
 *	fields - the header fields of a message, as frames carry them
 *
 * DESCRIPTION
 *	Fields that belong to one connection only (hop by hop) are left out,
 *	as are those that comfreydock sets itself: a caller must not be able
 *	to forge an outcome, nor to end a message by other means than the
 *	frames do.
 */
#ifndef COMFREYDOCKD_PEER_FIELDS_H
#define COMFREYDOCKD_PEER_FIELDS_H

#include <stdbool.h>
#include <stddef.h>

#include "comfreydockd/headers.h"
#include "proto/peer.pb-c.h"

#define FIELD_OUTCOME "Comfreydock-Outcome"
#define FIELD_REASON "Comfreydock-Reason"
#define FIELD_RETRY_AFTER_MS "Comfreydock-Retry-After-Ms"

struct fields {
	Cfd__Header **items;
	size_t count;
	size_t capacity;
};

void fields_init(struct fields *fields);
void fields_finish(struct fields *fields);

/* Copies both. */
void fields_add(struct fields *fields, const char *name, const char *value);

/* The same, but for fields that must not be passed on. */
void fields_add_forwarded(struct fields *fields, const struct headers *headers,
			  const char *name, const char *value);

/* RETURN VALUE: the first value of the name, whatever its case, or NULL. */
const char *fields_find(const struct fields *fields, const char *name);

/* True for fields that are never passed from one connection to the next. */
bool field_is_hop_by_hop(const struct headers *headers, const char *name);

#endif
