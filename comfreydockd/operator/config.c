#include <string.h>

#include "comfreydockd/config/check.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/handler.h"
#include "common/jsonc.h"

/* An admin request that waits for an answer of the platform. */
struct pending_reply {
	struct operator_api *api;
	struct http_request *request;
	json_object *root;
};

static struct pending_reply *pending_reply_create(struct operator_api *api,
						  struct http_request *request,
						  json_object *root)
{
	struct pending_reply *pending_reply = g_new0(struct pending_reply, 1);

	pending_reply->api = api;
	pending_reply->request = request;
	pending_reply->root = root;
	return pending_reply;
}

static json_object *namespace_to_json(const struct config_namespace *ns,
				      bool with_body)
{
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "name", ns->name);
	jsonc_add_uint(root, "version", ns->version);
	jsonc_add_text(root, "sha256", ns->sha256);
	jsonc_add_uint(root, "invalid_entries", ns->invalid_entries);
	if (with_body)
		jsonc_add_text(root, "body", ns->body);
	return root;
}

static json_object *store_to_json(const struct config_store *store,
				  const char *only, bool with_body)
{
	const GPtrArray *namespaces = config_store_current(store)->namespaces;
	json_object *root = json_object_new_object();
	json_object *array = json_object_new_array();

	for (guint i = 0; i < namespaces->len; i++) {
		const struct config_namespace *ns = namespaces->pdata[i];

		if (!only || strcmp(only, ns->name) == 0)
			json_object_array_add(array,
					      namespace_to_json(ns, with_body));
	}
	jsonc_add_bool(root, "ready", config_store_is_ready(store));
	jsonc_add_uint(root, "head", config_store_head(store));
	json_object_object_add(root, "namespaces", array);
	return root;
}

/* Adds the commits from the platform's row, which has applies that this daemon
 * has not received yet. */
static void handle_row(enum config_platform_status status, uint64_t row_version,
		       const char *value, size_t size, void *data)
{
	struct pending_reply *pending_reply = data;
	json_object *row = NULL;

	(void)row_version;
	(void)size;
	if (status == CONFIG_PLATFORM_OK)
		row = value ? json_tokener_parse(value) :
			      json_object_new_object();
	json_object_object_add(
		pending_reply->root, "commits",
		json_object_get(jsonc_get_array(row, "commits")));
	jsonc_add_bool(pending_reply->root, "platform_answered", row != NULL);
	json_object_put(row);
	operator_reply(pending_reply->request, 200, pending_reply->root);
	g_free(pending_reply);
}

void operator_get_config(struct operator_api *api, struct http_request *request)
{
	const char *only = http_request_argument(request, "namespace");
	bool with_body = http_request_argument(request, "body");
	bool only_held = http_request_argument(request, "held");
	json_object *root = store_to_json(api->daemon->config, only, with_body);
	char *key;

	if (!only || only_held || !api->platform_ops) {
		operator_reply(request, 200, root);
		return;
	}
	key = config_namespace_key(only);
	api->platform_ops->get(api->platform, key, handle_row,
			       pending_reply_create(api, request, root));
	g_free(key);
}

static const char *file_argument(const struct http_request *request)
{
	const char *file = http_request_argument(request, "file");

	return file ? file : "request";
}

/* Warns of a group that no upstream announces. Its name may be misspelled, or
 * its upstreams start later. */
static void check_groups(struct operator_api *api,
			 const struct config_namespace *ns, const char *file,
			 struct findings *findings)
{
	for (guint i = 0; api->daemon->members && i < ns->services->len; i++) {
		const struct config_service *service = ns->services->pdata[i];
		const GPtrArray *group = NULL;
		char *path;

		if (!service->group)
			continue;
		group = member_table_group(api->daemon->members, service->group);
		if (group && group->len)
			continue;
		path = g_strdup_printf("services.%s.group", service->name);
		findings_add(findings, FINDING_WARNING, file, 0, path,
			     "no upstream announces \"%s\"", service->group);
		g_free(path);
	}
}

static bool has_conflicts(const struct config_snapshot *snapshot,
			  const struct config_namespace *ns, const char *file)
{
	struct findings findings;
	bool has_errors;

	findings_init(&findings);
	config_check_against(snapshot, ns, file, &findings);
	has_errors = findings_has_errors(&findings);
	findings_finish(&findings);
	return has_errors;
}

/*
 * Answers 503 if the file conflicts with another namespace while the
 * configuration held here may be stale. The other namespace may have given up
 * the host or path in a version that is not here yet, and the finding "belongs
 * to service ... already" would send the operator to look for an owner that no
 * longer exists.
 *
 * RETURN VALUE
 *	whether the request was answered.
 */
static bool refuse_stale_conflict(struct operator_api *api,
				  struct http_request *request)
{
	const struct config_store *store = api->daemon->config;
	struct config_namespace *ns = NULL;
	struct findings findings;
	bool is_refused;
	char *text;

	if (config_store_get_doubt(store) == CONFIG_DOUBT_NONE)
		return false;
	findings_init(&findings);
	ns = config_namespace_load(file_argument(request),
				   http_request_body(request)->str, &findings);
	is_refused = ns && has_conflicts(config_store_current(store), ns,
					 file_argument(request));
	if (is_refused) {
		text = g_strdup_printf(
			"conflict with another namespace as held here, "
			"which may be old (head %" G_GUINT64_FORMAT
			", known %" G_GUINT64_FORMAT "): try again",
			config_store_head(store), config_store_known_head(store));
		operator_reply_error(request, 503, text);
		g_free(text);
	}
	config_namespace_unref(ns);
	findings_finish(&findings);
	return is_refused;
}

void operator_check_config(struct operator_api *api, struct http_request *request)
{
	const char *file = file_argument(request);
	struct config_namespace *ns;
	struct findings findings;
	json_object *root;
	bool passes;

	if (refuse_stale_conflict(api, request))
		return;
	findings_init(&findings);
	ns = config_namespace_load(file, http_request_body(request)->str,
				   &findings);
	if (ns) {
		config_check_against(config_store_current(api->daemon->config),
				     ns, file, &findings);
		check_groups(api, ns, file, &findings);
	}
	passes = !findings_has_errors(&findings);
	root = json_object_new_object();
	jsonc_add_text(root, "result", passes ? "passes" : "refused");
	json_object_object_add(root, "findings", jsonc_from_findings(&findings));
	operator_reply(request, passes ? 200 : 422, root);
	config_namespace_unref(ns);
	findings_finish(&findings);
}

static unsigned int apply_status(enum config_apply_result result)
{
	switch (result) {
	case CONFIG_APPLY_IN_FORCE:
		return 200;
	case CONFIG_APPLY_REFUSED:
		return 422;
	case CONFIG_APPLY_CONFLICT:
		return 409;
	case CONFIG_APPLY_UNKNOWN:
		break;
	}
	return 504;
}

/* Adopts the version that was applied through this daemon. The note of the new
 * head makes this daemon read the platform's row at once, and gossip then tells
 * the others. */
static void adopt_applied(struct config_store *store,
			  const struct config_apply_outcome *outcome)
{
	config_store_offer(store, outcome->name, outcome->version,
			   outcome->sha256, outcome->body, strlen(outcome->body));
	if (outcome->head)
		config_store_note_head(store, outcome->head, NULL);
}

static void handle_applied(const struct config_apply_outcome *outcome, void *data)
{
	struct pending_reply *pending_reply = data;
	json_object *root = json_object_new_object();

	if (outcome->result == CONFIG_APPLY_IN_FORCE)
		adopt_applied(pending_reply->api->daemon->config, outcome);
	jsonc_add_text(root, "result", config_apply_result_name(outcome->result));
	jsonc_add_text(root, "namespace", outcome->name);
	jsonc_add_uint(root, "base", outcome->base);
	jsonc_add_uint(root, "version", outcome->version);
	jsonc_add_text(root, "sha256", outcome->sha256);
	jsonc_add_text(root, "winner", outcome->winner);
	jsonc_add_bool(root, "was_in_force", outcome->was_in_force);
	json_object_object_add(root, "findings",
			       jsonc_from_findings(outcome->findings));
	operator_reply(pending_reply->request, apply_status(outcome->result),
		       root);
	g_free(pending_reply);
}

void operator_apply_config(struct operator_api *api, struct http_request *request)
{
	const char *base = http_request_argument(request, "base");
	struct config_apply_request apply = {
		.file = file_argument(request),
		.body = http_request_body(request)->str,
		.who = http_request_argument(request, "who"),
		.current = config_store_current(api->daemon->config),
		.known_head = config_store_known_head(api->daemon->config),
	};
	guint64 number;

	if (!base || !apply.who ||
	    !g_ascii_string_to_unsigned(base, 10, 0, G_MAXINT64, &number, NULL)) {
		operator_reply_error(request, 400,
				     "base=VERSION and who=NAME are required");
		return;
	}
	if (!api->platform_ops) {
		operator_reply_error(request, 503, "no platform is configured");
		return;
	}
	if (refuse_stale_conflict(api, request))
		return;
	apply.base = number;
	config_apply_start(api->platform_ops, api->platform, &apply,
			   handle_applied,
			   pending_reply_create(api, request, NULL));
}
