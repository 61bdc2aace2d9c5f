/*
 * NAME
 *	stop - the steps of a planned stop
 *
 * DESCRIPTION
 *	A daemon that is told to stop is still being sent work: callers learn
 *	of it when whoever directs them has noticed, other daemons when gossip
 *	has come round. Ended at once it would reset what they send. So it goes
 *	in steps, each so long after the wish to stop as the settings say:
 *
 *	drain	the owner refuses new work as not run
 *	close	answers to callers say "Connection: close"
 *	refuse	no new connections from callers
 *	turn away
 *		requests on old connections are told at once to go elsewhere
 *	leave	once nothing is in flight, good-bye to the others
 *
 *	What is still out at the last limit is cancelled: not run, or unknown.
 */
#ifndef COMFREYDOCKD_STOP_H
#define COMFREYDOCKD_STOP_H

#include "comfreydockd/daemon.h"

struct listener;
struct rows;
struct stop;

/* The parts must outlive it. rows may be set later. */
struct stop *stop_create(struct daemon *daemon, struct listener *listener,
			 struct rows *rows);
void stop_destroy(struct stop *stop);

/* Begins; a second call does nothing. The loop is left at the end. */
void stop_begin(struct stop *stop);
bool stop_has_begun(const struct stop *stop);

#endif
