/*
 * NAME
 *	gather - one request's events from the daemons that it passed
 *
 * DESCRIPTION
 *	A trace id begins with a hash of the host whose daemon gave it. That
 *	daemon is asked first; its events name the daemons that attempts were
 *	sent to, these are asked next, and so on down a nest of calls. The work
 *	grows with the hosts that a request touched, not with the fleet.
 *
 *	A trace id that a caller chose names no host. Then every host alive is
 *	asked, up to GATHER_MAX_HOSTS.
 *
 *	The answer is {"events": [...], "missing": [hosts]}: what could not be
 *	had is named, since a part that is silently missing would mislead.
 */
#ifndef COMFREYDOCKD_OPERATOR_GATHER_H
#define COMFREYDOCKD_OPERATOR_GATHER_H

#include "comfreydockd/operator/handler.h"

#define GATHER_MAX_HOSTS 256
#define GATHER_TIMEOUT_S 2.0

struct gatherer;

/* peers may be NULL in the daemon: then only its own events are given. */
struct gatherer *gatherer_create(struct daemon *daemon);

/* Answers the requests that still wait with what is there. */
void gatherer_destroy(struct gatherer *gatherer);

/* Answers the request, now or later. trace NULL: all of this daemon's own. */
void gather_start(struct gatherer *gatherer, struct http_request *request,
		  const char *trace);

#endif
