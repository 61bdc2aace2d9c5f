/*
 * NAME
 *	config_platform - implements config_platform_ops on the platform client
 *
 * DESCRIPTION
 *	Calls that are open at the destruction end without calling their
 *	handlers.
 */
#ifndef COMFREYDOCKD_CONFIG_PLATFORM_OPS_H
#define COMFREYDOCKD_CONFIG_PLATFORM_OPS_H

#include <ev.h>

#include "comfreydockd/config/apply.h"

struct config_platform;
struct platform;

/* The void *platform argument of these functions is a struct
 * config_platform. */
extern const struct config_platform_ops config_platform_ops;

/* The loop and the platform must outlive the result. */
struct config_platform *config_platform_create(struct ev_loop *loop,
					       struct platform *platform);

/* The platform must be destroyed first, so that it makes no callback
 * afterwards. */
void config_platform_destroy(struct config_platform *platform);

#endif
