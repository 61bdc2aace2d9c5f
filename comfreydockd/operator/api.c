#include <stdlib.h>
#include <string.h>

#include "comfreydockd/operator/gather.h"
#include "comfreydockd/operator/handler.h"
#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/jsonc.h"
#include "common/log.h"

#define BEARER "Bearer "

struct route {
	const char *path;
	const char *method;
	operator_handler handle;
	bool needs_owner;
};

/* Sorted by path for bsearch(). */
static const struct route routes[] = {
	{"/metrics", "GET", operator_get_metrics},
	{"/v1/config", "GET", operator_get_config},
	{"/v1/config/apply", "POST", operator_apply_config},
	{"/v1/config/check", "POST", operator_check_config},
	{"/v1/evacuations", "GET", operator_get_evacuations},
	{"/v1/evacuations/evacuate", "POST", operator_evacuate},
	{"/v1/evacuations/restore", "POST", operator_restore},
	{"/v1/hosts", "GET", operator_get_hosts},
	{"/v1/organisations", "GET", operator_get_organisations},
	{"/v1/quarantine", "GET", operator_get_quarantine},
	{"/v1/quarantine/clear", "POST", operator_clear_quarantine},
	{"/v1/status", "GET", operator_get_status},
	{"/v1/timeline", "GET", operator_get_timeline},
	{"/v1/upstream", "GET", operator_get_upstream},
	{"/v1/upstream/announce", "POST", operator_announce, true},
	{"/v1/upstream/drain", "POST", operator_drain, true},
	{"/v1/upstream/resume", "POST", operator_resume, true},
	{"/v1/upstream/stop", "POST", operator_stop, true},
};

/* The path goes on with a name. */
static const struct route organisation_route = {"/v1/organisations/", "GET",
						operator_get_organisation};

void operator_reply(struct http_request *request, unsigned int status,
		    json_object *root)
{
	char *text = jsonc_to_text(root);

	http_request_reply_text(request, status, "application/json", text);
	g_free(text);
}

void operator_reply_error(struct http_request *request, unsigned int status,
			  const char *text)
{
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "error", text);
	operator_reply(request, status, root);
}

void operator_add_hosts(json_object *object, const char *key, GHashTable *hosts)
{
	json_object *list = json_object_new_array();
	GHashTableIter iter;
	gpointer host;

	g_hash_table_iter_init(&iter, hosts);
	while (g_hash_table_iter_next(&iter, &host, NULL))
		json_object_array_add(list, json_object_new_string(host));
	json_object_object_add(object, key, list);
}

/*
 * Compares every byte, also after one that differs. A comparison that stops at
 * the first difference would allow a timing attack that guesses the token byte
 * by byte.
 */
static bool token_equals(const char *expected, const char *given)
{
	size_t length = strlen(expected);
	size_t given_length = strlen(given);
	unsigned char difference = length != given_length;

	for (size_t i = 0; i < given_length; i++)
		difference |= (unsigned char)(given[i] ^
					      expected[length ? i % length : 0]);
	return difference == 0;
}

static bool is_allowed(const struct operator_api *api,
		       const struct http_request *request)
{
	const char *token = api->daemon->settings->admin_token;
	const char *header = http_request_header(request, "Authorization");

	if (!token)
		return true;
	return header && g_str_has_prefix(header, BEARER) &&
	       token_equals(token, header + strlen(BEARER));
}

static int compare_path(const void *key, const void *route)
{
	return strcmp(key, ((const struct route *)route)->path);
}

static const struct route *find_route(const char *path)
{
	if (g_str_has_prefix(path, organisation_route.path) &&
	    !strchr(path + strlen(organisation_route.path), '/'))
		return &organisation_route;
	return bsearch(path, routes, G_N_ELEMENTS(routes), sizeof(routes[0]),
		       compare_path);
}

static void handle_request(struct http_request *request, void *data)
{
	struct operator_api *api = data;
	const char *path = http_request_path(request);
	const struct route *route;

	counters.operator_requests++;
	if (!is_allowed(api, request)) {
		counters.operator_unauthorized++;
		log_event(EV_OPERATOR_UNAUTHORIZED, LOG_STR("path", path));
		operator_reply_error(request, 401, "a valid token is required");
		return;
	}
	route = find_route(path);
	if (!route)
		operator_reply_error(request, 404, "no such path");
	else if (strcmp(route->method, http_request_method(request)) != 0)
		operator_reply_error(request, 405, "wrong method");
	else if (route->needs_owner && !api->daemon->owner)
		operator_reply_error(request, 503, "the daemon is starting");
	else
		route->handle(api, request);
}

/* The metrics port requires no token and serves nothing else. */
static void handle_metrics_request(struct http_request *request, void *data)
{
	if (strcmp(http_request_path(request), "/metrics") == 0)
		operator_get_metrics(data, request);
	else
		operator_reply_error(request, 404, "no such path");
}

static bool listen_for_metrics(struct operator_api *api)
{
	const struct settings_address *where = &api->daemon->settings->metrics;
	struct http_server_options options = {
		.address = where->address,
		.port = where->port,
	};

	if (!where->address)
		return true;
	api->metrics_server = http_server_create(api->daemon->loop, &options,
						 handle_metrics_request, api);
	return api->metrics_server;
}

struct operator_api *operator_api_create(struct daemon *daemon)
{
	struct operator_api *api = g_new0(struct operator_api, 1);
	struct http_server_options options = {
		.address = daemon->settings->admin.address,
		.port = daemon->settings->admin.port,
	};

	api->daemon = daemon;
	api->server =
		http_server_create(daemon->loop, &options, handle_request, api);
	if (!api->server || !listen_for_metrics(api)) {
		http_server_destroy(api->server);
		g_free(api);
		return NULL;
	}
	api->stopping = g_ptr_array_new();
	api->gatherer = gatherer_create(daemon);
	api->organisations = organisations_gatherer_create(api);
	daemon->admin_port = http_server_port(api->server);
	return api;
}

void operator_api_destroy(struct operator_api *api)
{
	if (!api)
		return;
	operator_end_stops(api, 503, "the daemon is stopping");
	gatherer_destroy(api->gatherer);
	organisations_gatherer_destroy(api->organisations);
	http_server_destroy(api->metrics_server);
	http_server_destroy(api->server);
	g_ptr_array_free(api->stopping, TRUE);
	g_free(api);
}

void operator_api_set_platform(struct operator_api *api,
			       const struct config_platform_ops *ops,
			       void *platform)
{
	api->platform_ops = ops;
	api->platform = platform;
}
