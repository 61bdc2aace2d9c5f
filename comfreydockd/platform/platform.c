#include "comfreydockd/platform/platform.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/daemon.h"
#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "common/log.h"

#define CALL_TIMEOUT_MS 2000
#define OBJECT_TIMEOUT_MS 10000
#define CONNECT_TIMEOUT_MS 1000

struct platform_call;

struct platform {
	struct http_client *http;
	char *url;
	bool is_up;
	char message[160];
	struct platform_counts counts;
	LIST_HEAD(, platform_call) calls;
};

struct platform_call {
	LIST_ENTRY(platform_call) link;
	struct platform *platform;
	struct http_pending *pending;
	bool is_write;
	void (*read_answer)(struct platform_answer *answer, GArray *rows,
			    struct json_object *object);
	platform_handler handler;
	void *data;
};

struct platform *platform_create(struct daemon *daemon)
{
	struct platform *platform = g_new0(struct platform, 1);

	platform->http = daemon->http;
	platform->url = g_strdup(daemon->settings->platform_url);
	platform->is_up = true;
	LIST_INIT(&platform->calls);
	return platform;
}

static void platform_call_free(struct platform_call *call)
{
	LIST_REMOVE(call, link);
	g_free(call);
}

void platform_destroy(struct platform *platform)
{
	struct platform_call *call;

	if (!platform)
		return;
	while ((call = LIST_FIRST(&platform->calls))) {
		http_client_cancel(call->pending);
		platform_call_free(call);
	}
	g_free(platform->url);
	g_free(platform);
}

static enum platform_status status_of_failure(const struct platform_call *call,
					      bool never_sent)
{
	if (call->is_write && !never_sent)
		return PLATFORM_UNKNOWN;
	return PLATFORM_UNAVAILABLE;
}

/* A 5xx may come from something in between, after the write took effect. */
static enum platform_status status_of(const struct platform_call *call,
				      const struct http_answer *answer)
{
	if (answer->result != CURLE_OK)
		return status_of_failure(call, answer->never_sent);
	if (answer->status == 200)
		return PLATFORM_OK;
	if (answer->status == 404)
		return PLATFORM_NOT_FOUND;
	if (answer->status == 409)
		return PLATFORM_CONFLICT;
	if (answer->status / 100 == 4)
		return PLATFORM_REJECTED;
	return status_of_failure(call, false);
}

static void set_message(struct platform *platform,
			const struct http_answer *answer)
{
	if (answer->result != CURLE_OK)
		g_strlcpy(platform->message, curl_easy_strerror(answer->result),
			  sizeof(platform->message));
	else
		g_snprintf(platform->message, sizeof(platform->message),
			   "HTTP status %ld", answer->status);
}

/* Only changes are logged: an outage can last, and calls go on all the while. */
static void note_state(struct platform *platform, enum platform_status status)
{
	bool is_up = status < PLATFORM_UNAVAILABLE;

	if (is_up == platform->is_up)
		return;
	platform->is_up = is_up;
	if (is_up)
		log_event(EV_PLATFORM_UP, LOG_STR("url", platform->url));
	else
		log_event(EV_PLATFORM_DOWN, LOG_STR("url", platform->url),
			  LOG_STR("reason", platform->message));
}

static void count_failure(struct platform *platform, enum platform_status status)
{
	if (status == PLATFORM_UNAVAILABLE) {
		platform->counts.unavailable++;
		counters.platform_unavailable++;
	} else if (status == PLATFORM_UNKNOWN) {
		platform->counts.unknown++;
		counters.platform_unknown++;
	}
}

static void row_clear(void *data)
{
	struct platform_row *row = data;

	g_free(row->key);
	g_free(row->value);
}

static const char *string_or_empty(struct json_object *object, const char *name)
{
	struct json_object *member = json_object_object_get(object, name);
	const char *text = member ? json_object_get_string(member) : NULL;

	return text ? text : "";
}

static void append_row(GArray *rows, struct json_object *object)
{
	struct json_object *value = json_object_object_get(object, "value");
	struct platform_row row = {
		.key = g_strdup(string_or_empty(object, "key")),
		.version = json_object_get_uint64(
			json_object_object_get(object, "version")),
		.value = g_strdup(json_object_to_json_string(value)),
	};

	g_array_append_val(rows, row);
}

static void read_row(struct platform_answer *answer, GArray *rows,
		     struct json_object *object)
{
	(void)answer;
	append_row(rows, object);
}

static void read_page(struct platform_answer *answer, GArray *rows,
		      struct json_object *object)
{
	struct json_object *page = json_object_object_get(object, "rows");
	size_t count = json_object_is_type(page, json_type_array) ?
			       json_object_array_length(page) :
			       0;

	(void)answer;
	for (size_t i = 0; i < count; i++)
		append_row(rows, json_object_array_get_idx(page, i));
}

static void read_result(struct platform_answer *answer, GArray *rows,
			struct json_object *object)
{
	struct json_object *versions =
		json_object_object_get(object, "versions");

	if (answer->status == PLATFORM_CONFLICT) {
		answer->conflict_key = string_or_empty(object, "conflict");
		answer->conflict_version = json_object_get_uint64(
			json_object_object_get(object, "version"));
		return;
	}
	if (!json_object_is_type(versions, json_type_object))
		return;
	json_object_object_foreach(versions, key, version)
	{
		struct platform_row row = {
			.key = g_strdup(key),
			.version = json_object_get_uint64(version),
		};

		g_array_append_val(rows, row);
	}
}

/* An answer that says 200 but is not JSON is no answer of the platform's. */
static void read_json(struct platform_call *call, struct platform_answer *answer,
		      GArray *rows, struct json_object *object)
{
	bool has_content = answer->status == PLATFORM_OK ||
			   answer->status == PLATFORM_CONFLICT;

	if (!call->read_answer || !has_content)
		return;
	if (json_object_is_type(object, json_type_object))
		call->read_answer(answer, rows, object);
	else
		answer->status = status_of_failure(call, false);
}

static void handle_answer(const struct http_answer *http, void *data)
{
	struct platform_call *call = data;
	struct platform *platform = call->platform;
	struct platform_answer answer = {
		.status = status_of(call, http),
		.body = http->body,
		.size = http->size,
	};
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct platform_row));
	struct json_object *object =
		call->read_answer ? json_tokener_parse(http->body) : NULL;

	g_array_set_clear_func(rows, row_clear);
	read_json(call, &answer, rows, object);
	answer.rows = (const struct platform_row *)rows->data;
	answer.row_count = rows->len;
	if (answer.status != PLATFORM_OK)
		set_message(platform, http);
	count_failure(platform, answer.status);
	note_state(platform, answer.status);
	LIST_REMOVE(call, link);
	call->handler(&answer, call->data);
	g_free(call);
	json_object_put(object);
	g_array_unref(rows);
}

static struct platform_call *call_new(struct platform *platform, bool is_write,
				      platform_handler handler, void *data)
{
	struct platform_call *call = g_new0(struct platform_call, 1);

	call->platform = platform;
	call->is_write = is_write;
	call->handler = handler;
	call->data = data;
	LIST_INSERT_HEAD(&platform->calls, call, link);
	if (is_write) {
		platform->counts.writes++;
		counters.platform_writes++;
	} else {
		platform->counts.reads++;
		counters.platform_reads++;
	}
	return call;
}

static void call_send(struct platform_call *call, struct http_call *http,
		      char *path)
{
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};
	char *url = g_strconcat(call->platform->url, path, NULL);

	http->url = url;
	http->headers = http->body ? headers : NULL;
	http->connect_timeout_ms = CONNECT_TIMEOUT_MS;
	if (!http->timeout_ms)
		http->timeout_ms = CALL_TIMEOUT_MS;
	call->pending = http_client_call(call->platform->http, http,
					 handle_answer, call);
	g_free(url);
	g_free(path);
}

static char *path_to(const char *prefix, const char *name)
{
	char *escaped = g_uri_escape_string(name, NULL, TRUE);
	char *path = g_strconcat(prefix, escaped, NULL);

	g_free(escaped);
	return path;
}

void platform_get(struct platform *platform, const char *key,
		  platform_handler handler, void *data)
{
	struct platform_call *call = call_new(platform, false, handler, data);
	struct http_call http = {.method = "GET"};

	call->read_answer = read_row;
	call_send(call, &http, path_to("/table/", key));
}

void platform_list(struct platform *platform, const char *prefix,
		   const char *after, unsigned int limit,
		   platform_handler handler, void *data)
{
	struct platform_call *call = call_new(platform, false, handler, data);
	struct http_call http = {.method = "GET"};
	GString *path = g_string_new("/table?prefix=");

	g_string_append_uri_escaped(path, prefix, NULL, TRUE);
	if (after) {
		g_string_append(path, "&after=");
		g_string_append_uri_escaped(path, after, NULL, TRUE);
	}
	if (limit)
		g_string_append_printf(path, "&limit=%u", limit);
	call->read_answer = read_page;
	call_send(call, &http, g_string_free(path, FALSE));
}

static struct json_object *op_to_json(const struct platform_op *op)
{
	static const char *const kinds[] = {
		[PLATFORM_CHECK] = "check",
		[PLATFORM_PUT] = "put",
		[PLATFORM_DELETE] = "delete",
	};
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "op",
			       json_object_new_string(kinds[op->kind]));
	json_object_object_add(object, "key", json_object_new_string(op->key));
	if (op->if_version != PLATFORM_ANY_VERSION)
		json_object_object_add(object, "if_version",
				       json_object_new_int64(op->if_version));
	if (op->kind == PLATFORM_PUT)
		json_object_object_add(object, "value",
				       json_tokener_parse(op->value));
	return object;
}

void platform_transact(struct platform *platform, const char *id,
		       const struct platform_op *ops, size_t count,
		       platform_handler handler, void *data)
{
	struct platform_call *call = call_new(platform, true, handler, data);
	struct json_object *object = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct http_call http = {.method = "POST"};

	for (size_t i = 0; i < count; i++)
		json_object_array_add(list, op_to_json(&ops[i]));
	json_object_object_add(object, "id", json_object_new_string(id));
	json_object_object_add(object, "ops", list);
	http.body = json_object_to_json_string(object);
	http.size = strlen(http.body);
	call->read_answer = read_result;
	call_send(call, &http, g_strdup("/table/transact"));
	json_object_put(object);
}

void platform_put_object(struct platform *platform, const char *name,
			 const char *body, size_t size,
			 platform_handler handler, void *data)
{
	struct platform_call *call = call_new(platform, true, handler, data);
	struct http_call http = {
		.method = "PUT",
		.body = body,
		.size = size,
		.timeout_ms = OBJECT_TIMEOUT_MS,
	};

	call_send(call, &http, path_to("/objects/", name));
}

void platform_get_object(struct platform *platform, const char *name,
			 platform_handler handler, void *data)
{
	struct platform_call *call = call_new(platform, false, handler, data);
	struct http_call http = {
		.method = "GET",
		.timeout_ms = OBJECT_TIMEOUT_MS,
	};

	call_send(call, &http, path_to("/objects/", name));
}

bool platform_is_up(const struct platform *platform)
{
	return platform->is_up;
}

const char *platform_status_message(const struct platform *platform)
{
	return platform->message;
}

void platform_get_counts(const struct platform *platform,
			 struct platform_counts *counts)
{
	*counts = platform->counts;
}
