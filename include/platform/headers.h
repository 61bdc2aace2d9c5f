/*
 * NAME
 *	platform_headers - the header names of the users' callers and upstreams
 */
#ifndef PLATFORM_HEADERS_H
#define PLATFORM_HEADERS_H

#include "comfreydockd/headers.h"

extern const struct headers platform_headers;

#endif
