/*
 * NAME
 *	platform_integration - what a daemon does where it runs on the users' platform
 *
 * DESCRIPTION
 *	Joins the adapter in platform/ with the daemon's own parts: follows the
 *	operator's row, takes the upstream's heartbeats and tells whether
 *	callers may come.
 */
#ifndef COMFREYDOCKD_PLATFORM_INTEGRATION_H
#define COMFREYDOCKD_PLATFORM_INTEGRATION_H

#include "comfreydockd/daemon.h"

struct platform_integration;
struct stop;

/* RETURN VALUE: NULL with errno set if an address can't be bound. */
struct platform_integration *platform_integration_create(struct daemon *daemon,
							 const struct stop *stop);

/* The platform's client must be destroyed before. */
void platform_integration_destroy(struct platform_integration *integration);

#endif
