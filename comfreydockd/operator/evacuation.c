#include "comfreydockd/member/evacuation.h"

#include <string.h>

#include "comfreydockd/daemon.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/handler.h"
#include "comfreydockd/platform/evacuation_rows.h"
#include "common/clock.h"
#include "common/jsonc.h"
#include "common/log.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503

#define BY_MAX_BYTES 128

/* An admin request that waits for an answer of the platform. */
struct evacuation_request {
	struct operator_api *api;
	struct http_request *request;
	char *domain; /* of a change */
	char *by; /* NULL: the domain is restored */
};

static struct evacuation_request *request_create(struct operator_api *api,
						 struct http_request *request)
{
	struct evacuation_request *waiting = g_new0(struct evacuation_request, 1);

	waiting->api = api;
	waiting->request = request;
	return waiting;
}

static void request_free(struct evacuation_request *waiting)
{
	g_free(waiting->domain);
	g_free(waiting->by);
	g_free(waiting);
}

/* RETURN VALUE: the name of a domain, from a host in it; NULL: none is known. */
static const char *find_domain(struct member_table *members, uint64_t key)
{
	struct member *member;

	TAILQ_FOREACH (member, member_table_all(members), link) {
		if (evacuation_key(member->domain) == key)
			return member->domain;
	}
	return NULL;
}

static json_object *row_to_json(const struct operator_api *api,
				const struct evacuation_row *row)
{
	json_object *item = json_object_new_object();

	jsonc_add_text(item, "domain", row->domain);
	jsonc_add_text(item, "by", row->by);
	jsonc_add_uint(item, "asked_ms", (uint64_t)row->asked_ms);
	jsonc_add_bool(item, "in_force",
		       evacuation_has(api->daemon->evacuation,
				      evacuation_key(row->domain)));
	return item;
}

/* What this daemon holds, as the store doesn't answer. */
static json_object *list_held(const struct operator_api *api)
{
	const struct evacuation *evacuation = api->daemon->evacuation;
	json_object *list = json_object_new_array();

	for (size_t i = 0; i < evacuation->count; i++) {
		const struct evacuation_entry *entry = &evacuation->entries[i];
		const char *domain =
			find_domain(api->daemon->members, entry->key);
		struct evacuation_row row = {
			.domain = domain ? domain : "unknown",
			.by = "",
		};

		json_object_array_add(list, row_to_json(api, &row));
	}
	return list;
}

static void handle_listed(bool is_answered, const struct evacuation_row *rows,
			  size_t count, void *data)
{
	struct evacuation_request *waiting = data;
	json_object *root = json_object_new_object();
	json_object *list;

	if (is_answered) {
		list = json_object_new_array();
		for (size_t i = 0; i < count; i++)
			json_object_array_add(
				list, row_to_json(waiting->api, &rows[i]));
	} else {
		list = list_held(waiting->api);
	}
	jsonc_add_bool(root, "platform_answered", is_answered);
	jsonc_add_uint(root, "as_of", waiting->api->daemon->evacuation->as_of);
	json_object_object_add(root, "domains", list);
	operator_reply(waiting->request, STATUS_OK, root);
	request_free(waiting);
}

void operator_get_evacuations(struct operator_api *api,
			      struct http_request *request)
{
	if (!api->daemon->evacuation_rows) {
		operator_reply_error(request, STATUS_UNAVAILABLE,
				     "no platform is configured");
		return;
	}
	evacuation_rows_list(api->daemon->evacuation_rows, handle_listed,
			     request_create(api, request));
}

static void reply_changed(const struct evacuation_request *waiting)
{
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "domain", waiting->domain);
	jsonc_add_text(root, "state", waiting->by ? "evacuated" : "restored");
	operator_reply(waiting->request, STATUS_OK, root);
}

static void handle_changed(enum platform_status status, void *data)
{
	struct evacuation_request *waiting = data;

	log_event(EV_OPERATOR_EVACUATION, LOG_STR("domain", waiting->domain),
		  LOG_STR("by", waiting->by ? waiting->by : ""),
		  LOG_INT("evacuates", waiting->by != NULL),
		  LOG_INT("status", status));
	if (status == PLATFORM_OK || status == PLATFORM_NOT_FOUND)
		reply_changed(waiting);
	else if (status == PLATFORM_REJECTED)
		operator_reply_error(
			waiting->request, STATUS_CONFLICT,
			"the platform's operator evacuates domains "
			"here");
	else if (status == PLATFORM_UNKNOWN)
		operator_reply_error(waiting->request, STATUS_UNAVAILABLE,
				     "unknown: the platform's answer was lost; "
				     "repeat the command");
	else
		operator_reply_error(waiting->request, STATUS_UNAVAILABLE,
				     "the platform can't be reached; nothing "
				     "was changed");
	request_free(waiting);
}

/* Checks the arguments of a change. RETURN VALUE: the error, or NULL. */
static const char *check_change(const struct operator_api *api,
				const char *domain, const char *by,
				bool is_evacuation, unsigned int *status)
{
	*status = STATUS_BAD_REQUEST;
	if (!domain || !*domain)
		return "domain: a failure domain is required";
	if (is_evacuation && by && strlen(by) > BY_MAX_BYTES)
		return "by: too long";
	*status = STATUS_NOT_FOUND;
	/* A domain whose hosts are all gone can still be restored. */
	if (is_evacuation &&
	    !find_domain(api->daemon->members, evacuation_key(domain)))
		return "domain: no known host is in this failure domain";
	*status = STATUS_UNAVAILABLE;
	return api->daemon->evacuation_rows ? NULL : "no platform is configured";
}

static void change(struct operator_api *api, struct http_request *request,
		   bool is_evacuation)
{
	const char *domain = http_request_argument(request, "domain");
	const char *by = http_request_argument(request, "by");
	struct evacuation_request *waiting;
	unsigned int status;
	const char *error = check_change(api, domain, by, is_evacuation, &status);

	if (error) {
		operator_reply_error(request, status, error);
		return;
	}
	waiting = request_create(api, request);
	waiting->domain = g_strdup(domain);
	waiting->by = is_evacuation ? g_strdup(by ? by : "") : NULL;
	evacuation_rows_change(api->daemon->evacuation_rows, domain,
			       waiting->by, handle_changed, waiting);
}

void operator_evacuate(struct operator_api *api, struct http_request *request)
{
	change(api, request, true);
}

void operator_restore(struct operator_api *api, struct http_request *request)
{
	change(api, request, false);
}
