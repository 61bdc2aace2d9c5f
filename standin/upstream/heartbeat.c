#include <json-c/json.h>
#include <string.h>

#include "common/http_client.h"
#include "common/http_server.h"
#include "upstream.h"

static char *heartbeat_body(const struct upstream *upstream, uint64_t sequence,
			    bool drains)
{
	char *address = g_strdup_printf(
		"127.0.0.1:%u", upstream->options.told_port ?
					(unsigned int)upstream->options.told_port :
					http_server_port(upstream->server));
	struct json_object *object = json_object_new_object();
	char *text;

	json_object_object_add(object, "service",
			       json_object_new_string(upstream->options.service));
	json_object_object_add(object, "address",
			       json_object_new_string(address));
	json_object_object_add(object, "slots",
			       json_object_new_int(upstream->options.slots));
	json_object_object_add(
		object, "state",
		json_object_new_string(drains ? "draining" : "ready"));
	json_object_object_add(object, "coldRemainingMs",
			       json_object_new_int64(control_cold_ms(upstream)));
	json_object_object_add(object, "sequence",
			       json_object_new_uint64(sequence));
	json_object_object_add(object, "born",
			       json_object_new_int64(upstream->born_ms));
	text = g_strdup(json_object_to_json_string(object));
	json_object_put(object);
	g_free(address);
	return text;
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct upstream *upstream = data;

	if (answer->result == CURLE_OK && answer->status / 100 == 2)
		upstream->counts.acknowledged++;
}

static void send_call(struct upstream *upstream, const char *call,
		      const char *body)
{
	char *url = g_strdup_printf("http://%s/comfreydock/instances/%s/%s",
				    upstream->options.report_to,
				    upstream->options.instance, call);
	struct http_call http = {
		.method = "POST",
		.url = url,
		.body = body,
		.size = strlen(body),
		.timeout_ms = 1000,
	};

	http_client_call(upstream->client, &http, handle_answer, upstream);
	g_free(url);
}

static void send_heartbeat(struct upstream *upstream, uint64_t sequence,
			   bool drains)
{
	char *body = heartbeat_body(upstream, sequence, drains);

	send_call(upstream, "heartbeat", body);
	g_free(body);
}

static void handle_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct upstream *upstream = timer->data;

	(void)loop;
	(void)events;
	if (!upstream->faults.deregistered)
		send_heartbeat(upstream, ++upstream->sequence,
			       upstream->faults.draining);
}

void heartbeat_start(struct upstream *upstream)
{
	double interval_s = (double)upstream->options.heartbeat_ms / 1000.0;

	ev_timer_init(&upstream->heartbeat_timer, handle_due, 0.0, interval_s);
	upstream->heartbeat_timer.data = upstream;
	if (upstream->options.report_to)
		ev_timer_start(upstream->loop, &upstream->heartbeat_timer);
}

void heartbeat_deregister(struct upstream *upstream)
{
	upstream->faults.deregistered = TRUE;
	send_call(upstream, "deregister", "");
}

void heartbeat_resend_last(struct upstream *upstream)
{
	send_heartbeat(upstream, upstream->sequence, false);
}
