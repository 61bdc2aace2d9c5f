/*
 * NAME
 *	on_platform - what a daemon does where it runs on the users' platform
 *
 * DESCRIPTION
 *	Joins the adapter in platform/ with the daemon's own parts: follows the
 *	operator's row, takes the upstream's heartbeats and tells whether
 *	callers may come.
 */
#ifndef COMFREYDOCKD_ON_PLATFORM_H
#define COMFREYDOCKD_ON_PLATFORM_H

#include "comfreydockd/daemon.h"

struct on_platform;
struct stop;

/* RETURN VALUE: NULL with errno set if an address can't be bound. */
struct on_platform *on_platform_create(struct daemon *daemon,
				       const struct stop *stop);

/* The platform's client must be destroyed before. */
void on_platform_destroy(struct on_platform *on);

#endif
