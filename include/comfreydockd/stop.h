/*
 * NAME
 *	stop - the steps of a planned stop
 *
 * DESCRIPTION
 *	A daemon that is told to stop still receives requests for some time:
 *	from callers until the platform stops sending them here, and from other
 *	daemons until gossip has spread the drain. If the daemon exited at
 *	once, these requests would be reset. So it stops in steps. The settings
 *	say how long after the stop began each step is taken:
 *
 *	drain	the owner refuses new requests as not run
 *	close	answers to callers say "Connection: close"
 *	refuse	the daemon accepts no new connections from callers
 *	turn away
 *		the daemon refuses requests on open connections at once, so
 *		that callers go elsewhere
 *	leave	once no request is in flight and the kernel has all answers
 *		that callers read, the daemon leaves the cluster
 *
 *	Requests that are still in flight at the last limit are cancelled. Their
 *	callers are told that they did not run, or that the outcome is unknown.
 */
#ifndef COMFREYDOCKD_STOP_H
#define COMFREYDOCKD_STOP_H

#include "comfreydockd/daemon.h"

struct listener;
struct rows;
struct stop;

/* daemon, listener and rows must outlive the stop object. */
struct stop *stop_create(struct daemon *daemon, struct listener *listener,
			 struct rows *rows);
void stop_destroy(struct stop *stop);

/* Begins the stop. The event loop ends when the stop is complete. A second call
 * has no effect. */
void stop_begin(struct stop *stop);
bool stop_has_begun(const struct stop *stop);

#endif
