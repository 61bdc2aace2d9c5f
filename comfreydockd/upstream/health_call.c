#include "comfreydockd/upstream/health_call.h"

#include <glib.h>
#include <strings.h>

#include "comfreydockd/headers.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/log.h"

/* Only the head of an answer is read. */
#define ANSWER_MAX_BYTES (64 * 1024)

struct health_call {
	struct http_pending_call *pending;
	const struct headers *headers;
	char *trace; /* of the request that the answer names; or NULL */
	http_answer_handler handler;
	void *data;
};

static bool handle_field(void *data, const char *name, const char *value)
{
	struct health_call *call = data;

	if (strcasecmp(name, call->headers->trace) != 0)
		return true;
	call->trace = g_strdup(value);
	return false;
}

static void health_call_free(struct health_call *call)
{
	g_free(call->trace);
	g_free(call);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct health_call *call = data;

	if (answer->fault || call->trace) {
		counters.probe_strange++;
		log_event(EV_PROBE_STRANGE_ANSWER,
			  LOG_STR("fault", answer->fault),
			  LOG_STR("trace", call->trace),
			  LOG_INT("status", answer->status));
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
		.answer_max_bytes = ANSWER_MAX_BYTES,
		.handle_field = handle_field,
	};

	call->headers = daemon->headers;
	call->handler = handler;
	call->data = data;
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
