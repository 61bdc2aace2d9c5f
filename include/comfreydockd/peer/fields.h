/*
 * NAME
 *	fields - the header fields of a message, as carried in frames
 *
 * DESCRIPTION
 *	Hop-by-hop fields are not forwarded, nor are the fields that comfreydock
 *	sets itself. Otherwise a caller could forge an outcome, or could mark
 *	the end of a message at another place than the frames do.
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

/* Adds a copy of name and value. */
void fields_add(struct fields *fields, const char *name, const char *value);

/* Adds a field unless it must not be forwarded. */
void fields_add_forwarded(struct fields *fields, const struct headers *headers,
			  const char *name, const char *value);

/* RETURN VALUE: the value of the first field with this name, ignoring case, or
 * NULL. */
const char *fields_find(const struct fields *fields, const char *name);

/* True if the name is a token, and the value has no control character except a
 * tab: as a line of a head, the field neither ends the head nor begins another
 * field. */
bool field_is_valid(const char *name, const char *value);

/* True for hop-by-hop fields and for those that comfreydock sets itself. */
bool field_is_not_forwarded(const struct headers *headers, const char *name);

#endif
