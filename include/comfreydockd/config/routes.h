/*
 * NAME
 *	config_routes - finds the service of a request among thousands
 *
 * DESCRIPTION
 *	Two hash tables map host names and path prefixes to services. A path is
 *	looked up at each end of a segment, the longest prefix first, so the
 *	cost depends on the number of segments and not on the number of
 *	services. Without the tables each call would compare its path with every
 *	prefix of every team.
 *
 *	If two services have the same host or prefix, the one that was added
 *	first serves it.
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

/* Looks up the host first, which may be NULL or carry a port, and then the
 * longest prefix of the path. The query of the path is ignored.
 *
 * RETURN VALUE
 *	the service, or NULL if there is none. */
const struct config_service *config_routes_find(const struct config_routes *routes,
						const char *host,
						const char *path);

#endif
