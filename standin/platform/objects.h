/*
 * NAME
 *	objects - the object store of the platform stand-in
 *
 * DESCRIPTION
 *	Keeps named byte strings in memory. The name is the percent-encoded
 *	rest of the request's path after the route's prefix.
 */
#ifndef STANDIN_PLATFORM_OBJECTS_H
#define STANDIN_PLATFORM_OBJECTS_H

#include <glib.h>
#include <stdbool.h>

#include "common/http_server.h"

GHashTable *objects_create(void);

/* Stores the body of a request. RETURN VALUE: false if the name is invalid. */
bool objects_put(GHashTable *objects, const struct http_request *request);

/* Replies with an object. RETURN VALUE: false, without a reply, if there is no
 * object of that name. */
bool objects_reply(GHashTable *objects, struct http_request *request);

#endif
