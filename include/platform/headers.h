/*
 * NAME
 *	platform_headers - HTTP header names that the callers and upstreams use
 */
#ifndef PLATFORM_HEADERS_H
#define PLATFORM_HEADERS_H

#include "comfreydockd/headers.h"

extern const struct headers platform_headers;

#endif
