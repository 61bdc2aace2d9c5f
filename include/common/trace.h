/*
 * NAME
 *	trace - ids that follow a request through all processes
 *
 * DESCRIPTION
 *	"HHHHHHHH-RRRRRRRRRRRRRRRR": a hash of the host whose daemon gave the
 *	id, and a random number. An id that a caller chose is kept as it is, if
 *	it is sound.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stdbool.h>

#include "common/timeline.h"

void trace_create(const char *host, char trace[TIMELINE_TRACE_MAX]);

/* True if the id was given by this host's daemon. */
bool trace_is_from(const char *trace, const char *host);

/* True if the id may be used: it ends up in logs and in queries. */
bool trace_is_valid(const char *trace);

/* True if the id has the form that trace_create() gives. */
bool trace_has_host_form(const char *trace);

#endif
