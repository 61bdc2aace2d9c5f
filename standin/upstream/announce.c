#include <json-c/json.h>
#include <string.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "upstream.h"

#define RETRY_S 0.1

static char *announcement(const struct upstream *upstream)
{
	struct json_object *object = json_object_new_object();
	struct json_object *groups = json_object_new_array();
	char *text;

	for (char **group = upstream->options.groups; group && *group; group++)
		json_object_array_add(groups, json_object_new_string(*group));
	json_object_object_add(object, "groups", groups);
	json_object_object_add(object, "address",
			       json_object_new_string("127.0.0.1"));
	json_object_object_add(
		object, "port",
		json_object_new_int(http_server_port(upstream->server)));
	json_object_object_add(object, "slots",
			       json_object_new_int(upstream->options.slots));
	json_object_object_add(object, "warm_ms",
			       json_object_new_int64(upstream->options.warm_ms));
	text = g_strdup(json_object_to_json_string(object));
	json_object_put(object);
	return text;
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct upstream *upstream = data;

	if (answer->result == CURLE_OK && answer->status / 100 == 2)
		return;
	ev_timer_set(&upstream->announce_timer, RETRY_S, 0.0);
	ev_timer_start(upstream->loop, &upstream->announce_timer);
}

static void handle_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	static const char *const headers[] = {"Content-Type",
					      "application/json", NULL};
	struct upstream *upstream = timer->data;
	char *url = g_strconcat(upstream->options.announce,
				"/v1/upstream/announce", NULL);
	char *body = announcement(upstream);
	struct http_call call = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.size = strlen(body),
	};

	(void)loop;
	(void)events;
	http_client_call(upstream->client, &call, handle_answer, upstream);
	g_free(url);
	g_free(body);
}

void announce_start(struct upstream *upstream)
{
	ev_timer_init(&upstream->announce_timer, handle_due, 0.0, 0.0);
	upstream->announce_timer.data = upstream;
	if (upstream->options.announce)
		ev_timer_start(upstream->loop, &upstream->announce_timer);
}
