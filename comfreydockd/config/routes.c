#include "comfreydockd/config/routes.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/config/model.h"

struct config_routes {
	GHashTable *by_host; /* key: lower-case host name, owned */
	GHashTable *by_prefix; /* key: string of the service, not owned */
	size_t longest_prefix;
};

struct config_routes *config_routes_create(void)
{
	struct config_routes *routes = g_new0(struct config_routes, 1);

	routes->by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	routes->by_prefix = g_hash_table_new(g_str_hash, g_str_equal);
	return routes;
}

void config_routes_destroy(struct config_routes *routes)
{
	if (!routes)
		return;
	g_hash_table_unref(routes->by_host);
	g_hash_table_unref(routes->by_prefix);
	g_free(routes);
}

/* RETURN VALUE: the length of the host without its port. An IPv6 address is in
 * brackets. */
static size_t host_length(const char *host)
{
	const char *colon = strrchr(host, ':');

	if (!colon || strchr(colon, ']'))
		return strlen(host);
	return (size_t)(colon - host);
}

void config_routes_add(struct config_routes *routes,
		       const struct config_service *service)
{
	for (char **host = service->hosts; host && *host; host++) {
		char *name = g_ascii_strdown(*host, (gssize)host_length(*host));

		if (g_hash_table_contains(routes->by_host, name))
			g_free(name);
		else
			g_hash_table_insert(routes->by_host, name,
					    (gpointer)service);
	}
	for (char **prefix = service->path_prefixes; prefix && *prefix; prefix++) {
		if (g_hash_table_contains(routes->by_prefix, *prefix))
			continue;
		g_hash_table_insert(routes->by_prefix, *prefix,
				    (gpointer)service);
		routes->longest_prefix =
			MAX(routes->longest_prefix, strlen(*prefix));
	}
}

static const struct config_service *find_host(const struct config_routes *routes,
					      const char *host)
{
	char *name = g_ascii_strdown(host, (gssize)host_length(host));
	const struct config_service *service =
		g_hash_table_lookup(routes->by_host, name);

	g_free(name);
	return service;
}

/* Callers choose the path, so the search looks at no more bytes than the
 * longest prefix has. Otherwise a path of many thousand slashes would block the
 * loop. */
static const struct config_service *find_path(const struct config_routes *routes,
					      const char *path)
{
	size_t end = strcspn(path, "?");
	size_t length = MIN(end, routes->longest_prefix);
	char *prefix = g_strndup(path, length);
	const struct config_service *service = NULL;

	for (; length > 0 && !service; length--) {
		bool is_whole = length == end || path[length] == '/' ||
				path[length - 1] == '/';

		if (!is_whole)
			continue;
		prefix[length] = '\0';
		service = g_hash_table_lookup(routes->by_prefix, prefix);
	}
	g_free(prefix);
	return service;
}

const struct config_service *config_routes_find(const struct config_routes *routes,
						const char *host,
						const char *path)
{
	const struct config_service *service = NULL;

	if (host)
		service = find_host(routes, host);
	return service ? service : find_path(routes, path);
}
