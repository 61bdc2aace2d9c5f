/*
 * NAME
 *	config_routes - finds the service of a request among thousands
 *
 * DESCRIPTION
 *	Two hash tables, by host name and by path prefix. A path is looked for
 *	at its segments' ends, the longest first, so that the cost follows the
 *	path's segments and not the number of services. Without this each call
 *	compares its path with every prefix of every team.
 *
 *	Where two services claim the same host or prefix, the first one that
 *	was added serves it.
 */
#ifndef COMFREYDOCKD_CONFIG_ROUTES_H
#define COMFREYDOCKD_CONFIG_ROUTES_H

#include <stddef.h>

struct config_routes;
struct config_service;

struct config_routes *config_routes_create(void);
void config_routes_destroy(struct config_routes *routes);

/* The service must outlive the routes. */
void config_routes_add(struct config_routes *routes,
		       const struct config_service *service);

/* By the host, which may carry a port, or NULL; else by the longest prefix of
 * the path, whose query is not looked at.
 *
 * RETURN VALUE
 *	NULL if there is none. */
const struct config_service *config_routes_find(const struct config_routes *routes,
						const char *host,
						const char *path);

#endif
