#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/gather.h"
#include "comfreydockd/operator/handler.h"
#include "comfreydockd/settings.h"
#include "common/jsonc.h"

#define HOSTS_PAGE 250

void operator_get_status(struct operator_api *api, struct http_request *request)
{
	const struct daemon *daemon = api->daemon;
	const struct settings *settings = daemon->settings;
	json_object *root = json_object_new_object();
	json_object *config = json_object_new_object();

	jsonc_add_text(root, "host", settings->host);
	jsonc_add_text(root, "domain", settings->domain);
	jsonc_add_text(root, "region", settings->region);
	jsonc_add_text(root, "release", COMFREYDOCK_VERSION);
	jsonc_add_uint(root, "incarnation", daemon->incarnation);
	jsonc_add_uint(root, "caller_port", daemon->caller_port);
	jsonc_add_uint(root, "peer_port", daemon->peer_port);
	jsonc_add_uint(root, "admin_port", daemon->admin_port);
	jsonc_add_uint(root, "hosts",
		       daemon->members ? member_table_size(daemon->members) : 0);
	jsonc_add_bool(config, "ready", config_store_is_ready(daemon->config));
	jsonc_add_uint(config, "head", config_store_head(daemon->config));
	jsonc_add_uint(config, "known_head",
		       config_store_known_head(daemon->config));
	json_object_object_add(root, "config", config);
	jsonc_add_uint(root, "evacuated_domains", daemon->evacuation->count);
	jsonc_add_bool(root, "is_evacuated",
		       evacuation_has(daemon->evacuation,
				      evacuation_key(settings->domain)));
	json_object_object_add(root, "upstream", operator_upstream_to_json(api));
	operator_reply(request, 200, root);
}

static json_object *member_to_json(const struct member *member)
{
	static const char *const states[] = {"alive", "suspect", "dead", "left"};
	static const char *const service_states[] = {"none", "up", "draining"};
	json_object *root = json_object_new_object();
	json_object *groups = json_object_new_array();

	jsonc_add_text(root, "host", member->host);
	jsonc_add_uint(root, "incarnation", member->incarnation);
	jsonc_add_text(root, "address", member->address);
	jsonc_add_uint(root, "peer_port", member->peer_port);
	jsonc_add_uint(root, "admin_port", member->admin_port);
	jsonc_add_text(root, "domain", member->domain);
	jsonc_add_text(root, "region", member->region);
	jsonc_add_text(root, "state", states[member->state]);
	jsonc_add_text(root, "service", service_states[member->service_state]);
	jsonc_add_uint(root, "slots", member->slots);
	jsonc_add_uint(root, "warm_ms", member->warm_ms);
	jsonc_add_bool(root, "is_evacuated", member->is_evacuated);
	for (char **group = member->groups; group && *group; group++)
		json_object_array_add(groups, json_object_new_string(*group));
	json_object_object_add(root, "groups", groups);
	return root;
}

/* Finds the first member of a page; *first is NULL at the end of the list.
 *
 * RETURN VALUE
 *	false if the host in "after" is no longer known. */
static bool find_page(struct operator_api *api, struct http_request *request,
		      struct member **first)
{
	const char *after = http_request_argument(request, "after");
	struct member_table *members = api->daemon->members;
	struct member *member;

	*first = members ? TAILQ_FIRST(member_table_all(members)) : NULL;
	if (!after)
		return true;
	member = members ? member_table_find(members, after) : NULL;
	*first = member ? TAILQ_NEXT(member, link) : NULL;
	return member != NULL;
}

/*
 * Answers with one page of hosts; "next" is the host to pass as "after" for the
 * next page. One answer with all of 22,000 hosts would block the loop, and with
 * it every call, for a fifth of a second and would need more memory than the
 * daemon may use.
 */
void operator_get_hosts(struct operator_api *api, struct http_request *request)
{
	json_object *hosts;
	json_object *root;
	struct member *member;
	const char *last = NULL;

	if (!find_page(api, request, &member)) {
		operator_reply_error(request, 404,
				     "host no longer exists: begin anew");
		return;
	}
	root = json_object_new_object();
	hosts = json_object_new_array();
	for (int i = 0; member && i < HOSTS_PAGE; i++) {
		json_object_array_add(hosts, member_to_json(member));
		last = member->host;
		member = TAILQ_NEXT(member, link);
	}
	json_object_object_add(root, "hosts", hosts);
	if (member)
		jsonc_add_text(root, "next", last);
	operator_reply(request, 200, root);
}

void operator_get_timeline(struct operator_api *api, struct http_request *request)
{
	gather_start(api->gatherer, request,
		     http_request_argument(request, "trace"));
}
