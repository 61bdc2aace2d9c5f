/*
 * NAME
 *	objects - the object store of the platform's stand-in
 *
 * DESCRIPTION
 *	Named bytes in memory. A name is the end of a request's path,
 *	percent-encoded.
 */
#ifndef STANDIN_PLATFORM_OBJECTS_H
#define STANDIN_PLATFORM_OBJECTS_H

#include <glib.h>
#include <stdbool.h>

#include "common/http_server.h"

GHashTable *objects_create(void);

/* Takes the body of a request. RETURN VALUE: false where its name is wrong. */
bool objects_put(GHashTable *objects, const struct http_request *request);

/* RETURN VALUE: false where there is none of that name; nothing is replied. */
bool objects_reply(GHashTable *objects, struct http_request *request);

#endif
