/*
 * NAME
 *	operator_handler - declarations shared by the admin API's handlers
 *
 * DESCRIPTION
 *	Internal to the operator folder. A handler answers its request exactly
 *	once, during the call or later. One table lists the handlers, sorted by
 *	path, then by method.
 */
#ifndef COMFREYDOCKD_OPERATOR_HANDLER_H
#define COMFREYDOCKD_OPERATOR_HANDLER_H

#include <json-c/json.h>

#include "comfreydockd/operator/operator.h"
#include "comfreydockd/operator/organisations.h"
#include "common/http_server.h"

struct operator_api {
	struct daemon *daemon;
	struct http_server *server;
	struct http_server *metrics_server; /* NULL: no separate port */
	const struct config_platform_ops *platform_ops;
	void *platform;
	GPtrArray *stopping; /* of struct http_request: waiting stop calls */
	bool awaits_idle; /* owner_when_idle() was called */
	struct gatherer *gatherer;
	struct organisations_gatherer *organisations;
	organisation_pool_reader read_pool; /* NULL: there are no pools */
	void *pool_data;
};

typedef void (*operator_handler)(struct operator_api *api,
				 struct http_request *request);

void operator_get_metrics(struct operator_api *api, struct http_request *request);
void operator_get_config(struct operator_api *api, struct http_request *request);
void operator_apply_config(struct operator_api *api,
			   struct http_request *request);
void operator_check_config(struct operator_api *api,
			   struct http_request *request);
void operator_get_evacuations(struct operator_api *api,
			      struct http_request *request);
void operator_evacuate(struct operator_api *api, struct http_request *request);
void operator_restore(struct operator_api *api, struct http_request *request);
void operator_get_hosts(struct operator_api *api, struct http_request *request);
void operator_get_organisations(struct operator_api *api,
				struct http_request *request);
void operator_get_organisation(struct operator_api *api,
			       struct http_request *request);
void operator_get_quarantine(struct operator_api *api,
			     struct http_request *request);
void operator_clear_quarantine(struct operator_api *api,
			       struct http_request *request);
void operator_get_status(struct operator_api *api, struct http_request *request);
void operator_get_timeline(struct operator_api *api,
			   struct http_request *request);
void operator_get_upstream(struct operator_api *api,
			   struct http_request *request);
void operator_announce(struct operator_api *api, struct http_request *request);
void operator_drain(struct operator_api *api, struct http_request *request);
void operator_resume(struct operator_api *api, struct http_request *request);
void operator_stop(struct operator_api *api, struct http_request *request);

/* Answers all waiting stop calls. */
void operator_end_stops(struct operator_api *api, unsigned int status,
			const char *state);

/* RETURN VALUE: the state of the local upstream as JSON. */
json_object *operator_upstream_to_json(const struct operator_api *api);

/* Answers the request with the object and takes ownership of it. */
void operator_reply(struct http_request *request, unsigned int status,
		    json_object *root);
void operator_reply_error(struct http_request *request, unsigned int status,
			  const char *text);

/* Adds the names in a set of hosts as an array under key. */
void operator_add_hosts(json_object *object, const char *key, GHashTable *hosts);

#endif
