/*
 * NAME
 *	trace - trace ids, which identify a request in all processes
 *
 * DESCRIPTION
 *	A generated id has the form "HHHHHHHH-RRRRRRRRRRRRRRRR": a hash of the
 *	host whose daemon generated it, and a random number. An id chosen by the
 *	caller is used unchanged if it is valid.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stdbool.h>

#include "common/timeline.h"

void trace_create(const char *host, char trace[TIMELINE_TRACE_MAX]);

/* True if the daemon of this host generated the id. */
bool trace_is_from(const char *trace, const char *host);

/* True if the id is not empty, not too long and has only characters that are safe
 * in logs and in queries. */
bool trace_is_valid(const char *trace);

/* True if the id has the form that trace_create() generates. */
bool trace_has_host_form(const char *trace);

#endif
