#include "comfreydockd/operator/handler.h"
#include "comfreydockd/upstream/owner.h"
#include "common/address.h"
#include "common/log.h"
#include "common/schema.h"

#define SLOTS_MAX 65536
#define WARM_MAX_MS 3600000

json_object *operator_upstream_to_json(const struct operator_api *api)
{
	static const char *const states[] = {"none", "up", "draining"};
	struct owner_status status = {0};
	json_object *root = json_object_new_object();

	if (api->daemon->owner)
		owner_get_status(api->daemon->owner, &status);
	jsonc_add_text(root, "state", states[status.state]);
	jsonc_add_uint(root, "slots", status.slots);
	jsonc_add_uint(root, "limit", status.limit);
	jsonc_add_uint(root, "running", status.running);
	jsonc_add_uint(root, "queued", status.queued);
	jsonc_add_uint(root, "expected_wait_us", status.expected_wait_us);
	return root;
}

void operator_get_upstream(struct operator_api *api, struct http_request *request)
{
	operator_reply(request, 200, operator_upstream_to_json(api));
}

static void read_announcement(struct schema *schema,
			      struct owner_announcement *announcement)
{
	announcement->groups = schema_strings(schema, "groups", SCHEMA_REQUIRED);
	announcement->address = schema_string(schema, "address", SCHEMA_REQUIRED);
	/* An upstream runs on the host of its daemon. Requests that are sent to
	 * an upstream of another host would bypass the owner there. */
	if (announcement->address && !address_is_loopback(announcement->address))
		schema_error(schema, "address",
			     "a loopback IP address is expected");
	announcement->port = (uint16_t)schema_uint(
		schema, "port", SCHEMA_REQUIRED, 0, 1, UINT16_MAX);
	announcement->slots = (uint32_t)schema_uint(
		schema, "slots", SCHEMA_REQUIRED, 0, 1, SLOTS_MAX);
	announcement->warm_ms = (uint32_t)schema_uint(
		schema, "warm_ms", SCHEMA_OPTIONAL, 0, 0, WARM_MAX_MS);
}

static void reply_findings(struct http_request *request,
			   const struct findings *findings)
{
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "error", "the announcement has errors");
	json_object_object_add(root, "findings", jsonc_from_findings(findings));
	operator_reply(request, 400, root);
}

void operator_announce(struct operator_api *api, struct http_request *request)
{
	struct owner_announcement announcement = {0};
	struct findings findings;
	struct jsonc_doc *doc;
	struct schema schema;

	findings_init(&findings);
	doc = jsonc_parse("announcement", http_request_body(request)->str,
			  &findings);
	if (doc) {
		schema_init(&schema, doc, &findings);
		read_announcement(&schema, &announcement);
		schema_finish(&schema);
	}
	if (findings_has_errors(&findings) || !announcement.groups) {
		reply_findings(request, &findings);
	} else {
		owner_announce(api->daemon->owner, &announcement);
		log_event(EV_OPERATOR_ANNOUNCED,
			  LOG_STR("group", announcement.groups[0]),
			  LOG_INT("port", announcement.port),
			  LOG_INT("slots", announcement.slots));
		operator_get_upstream(api, request);
	}
	g_strfreev(announcement.groups);
	g_free(announcement.address);
	jsonc_doc_destroy(doc);
	findings_finish(&findings);
}

void operator_drain(struct operator_api *api, struct http_request *request)
{
	log_event(EV_OPERATOR_DRAIN);
	owner_drain(api->daemon->owner);
	operator_get_upstream(api, request);
}

void operator_resume(struct operator_api *api, struct http_request *request)
{
	log_event(EV_OPERATOR_RESUME);
	owner_resume(api->daemon->owner);
	operator_end_stops(api, 409, "resumed");
	operator_get_upstream(api, request);
}

void operator_end_stops(struct operator_api *api, unsigned int status,
			const char *state)
{
	while (api->stopping->len) {
		struct http_request *request =
			g_ptr_array_remove_index(api->stopping, 0);
		json_object *root = json_object_new_object();

		jsonc_add_text(root, "state", state);
		operator_reply(request, status, root);
	}
}

static void handle_idle(void *data)
{
	struct operator_api *api = data;

	api->awaits_idle = false;
	if (!api->stopping->len)
		return;
	log_event(EV_OPERATOR_MAY_STOP);
	operator_end_stops(api, 200, "may stop");
}

/*
 * Drains the upstream and answers once it is idle. The answer allows the
 * upstream to exit, so an answer before the last request has ended would break
 * off that request.
 */
void operator_stop(struct operator_api *api, struct http_request *request)
{
	log_event(EV_OPERATOR_STOP);
	g_ptr_array_add(api->stopping, request);
	owner_drain(api->daemon->owner);
	if (api->awaits_idle)
		return;
	api->awaits_idle = true;
	owner_when_idle(api->daemon->owner, handle_idle, api);
}
