/*
 * NAME
 *	config_platform - an apply's platform, by the daemon's own client
 *
 * DESCRIPTION
 *	Calls that are open when it is destroyed end without their handlers.
 */
#ifndef COMFREYDOCKD_CONFIG_PLATFORM_OPS_H
#define COMFREYDOCKD_CONFIG_PLATFORM_OPS_H

#include <ev.h>

#include "comfreydockd/config/apply.h"

struct config_platform;
struct platform;

/* What is behind the void *platform is a struct config_platform. */
extern const struct config_platform_ops config_platform_ops;

/* Loop and platform must outlive it. */
struct config_platform *config_platform_create(struct ev_loop *loop,
					       struct platform *platform);

/* The platform must be destroyed before, so that it calls nobody back. */
void config_platform_destroy(struct config_platform *platform);

#endif
