/*
 * NAME
 *	gather - collects the events of a request from all daemons it passed
 *
 * DESCRIPTION
 *	A trace id begins with a hash of the host whose daemon assigned it. That
 *	daemon is queried first. Its events name the daemons that attempts were
 *	sent to; these are queried next, and so on through nested calls. The
 *	number of queries depends on the hosts that the request touched, not on
 *	the size of the fleet.
 *
 *	A trace id that a caller chose names no host. For such an id every live
 *	host is queried, up to GATHER_MAX_HOSTS.
 *
 *	The answer is {"events": [...], "missing": [hosts]}. It names the hosts
 *	that did not answer, because events that are missing without notice
 *	would mislead the operator.
 */
#ifndef COMFREYDOCKD_OPERATOR_GATHER_H
#define COMFREYDOCKD_OPERATOR_GATHER_H

#include "comfreydockd/operator/handler.h"

#define GATHER_MAX_HOSTS 256
#define GATHER_TIMEOUT_S 2.0

struct gatherer;

/* If daemon->peers is NULL, only the events of this daemon are returned. */
struct gatherer *gatherer_create(struct daemon *daemon);

/* Answers the requests that still wait with the events received so far. */
void gatherer_destroy(struct gatherer *gatherer);

/* Answers the request, now or later. trace NULL: all events of this daemon. */
void gather_start(struct gatherer *gatherer, struct http_request *request,
		  const char *trace);

#endif
