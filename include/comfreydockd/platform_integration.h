/*
 * NAME
 *	platform_integration - connects a daemon to the users' platform
 *
 * DESCRIPTION
 *	Connects the adapter in platform/ to the daemon's components. It follows
 *	the configuration in the operator's row, accepts the upstream's
 *	heartbeats and reports whether callers may be sent to this daemon.
 */
#ifndef COMFREYDOCKD_PLATFORM_INTEGRATION_H
#define COMFREYDOCKD_PLATFORM_INTEGRATION_H

#include "comfreydockd/daemon.h"

struct platform_integration;
struct stop;

/* RETURN VALUE: NULL with errno set if an address can't be bound. */
struct platform_integration *platform_integration_create(struct daemon *daemon,
							 const struct stop *stop);

/* The daemon's platform client must be destroyed before. */
void platform_integration_destroy(struct platform_integration *integration);

#endif
