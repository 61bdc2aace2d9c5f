#include "comfreydockd/upstream/health_call.h"

#include <glib.h>

#include "comfreydockd/upstream/answer_head.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/log.h"

struct health_call {
	struct http_pending_call *pending;
	const struct headers *headers;
	struct answer_head head;
	bool has_head;
	const char *trace; /* of the request that the answer names; or NULL */
	http_answer_handler handler;
	void *data;
};

/* RETURN VALUE: whether the answer can be that of a health call. */
static bool finish_head(struct health_call *call)
{
	if (call->head.status < 200) {
		answer_head_restart(&call->head);
		return true;
	}
	call->has_head = true;
	call->trace = fields_find(&call->head.fields, call->headers->trace);
	return !call->trace;
}

static bool handle_head_line(void *data, const char *bytes, size_t size)
{
	struct health_call *call = data;
	char *line;
	bool accepted;

	if (call->has_head) /* a trailer */
		return true;
	line = answer_head_dup_line(bytes, size);
	accepted = *line ? answer_head_add_line(&call->head, line) :
			   finish_head(call);
	g_free(line);
	return accepted;
}

static void health_call_free(struct health_call *call)
{
	answer_head_finish(&call->head);
	g_free(call);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct health_call *call = data;

	if (call->head.fault || call->trace) {
		counters.probe_strange++;
		log_event(EV_PROBE_STRANGE_ANSWER,
			  LOG_STR("fault", call->head.fault),
			  LOG_STR("trace", call->trace),
			  LOG_INT("status", call->head.status));
	}
	call->handler(answer, call->data);
	health_call_free(call);
}

struct health_call *health_call_start(const struct daemon *daemon,
				      const struct health_call_target *target,
				      http_answer_handler handler, void *data)
{
	struct health_call *call = g_new0(struct health_call, 1);
	char *url = address_to_url(target->address, target->port, target->path);
	struct http_call http_call = {
		.method = "GET",
		.url = url,
		.timeout_ms = target->timeout_ms,
		.handle_head_line = handle_head_line,
		.head_data = call,
	};

	call->headers = daemon->headers;
	call->handler = handler;
	call->data = data;
	answer_head_init(&call->head, daemon->headers);
	call->pending =
		http_client_call(daemon->http, &http_call, handle_answer, call);
	g_free(url);
	return call;
}

void health_call_cancel(struct health_call *call)
{
	http_client_cancel(call->pending);
	health_call_free(call);
}
