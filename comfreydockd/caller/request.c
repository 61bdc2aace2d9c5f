#include "comfreydockd/caller/request.h"

#include <string.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/connection.h"
#include "common/clock.h"
#include "common/counters.h"

#define STATUS_LOST 502

struct caller_request *request_create(struct connection *connection)
{
	struct caller_request *request = g_new0(struct caller_request, 1);

	request->connection = connection;
	request->body = g_byte_array_new();
	return request;
}

void request_destroy(struct caller_request *request)
{
	if (request->call)
		call_note_caller_gone(request->call);
	fields_finish(&request->fields);
	g_byte_array_unref(request->body);
	g_free(request);
}

void request_abort(struct caller_request *request)
{
	if (request->call)
		call_note_caller_gone(request->call);
	request->call = NULL;
	request->aborted = true;
	connection_wake(request->connection);
}

/* Callbacks from the call. */

static void handle_head(void *data, unsigned int status, struct fields *fields,
			int64_t length)
{
	struct caller_request *request = data;

	request->has_answer = true;
	request->status = status;
	request->fields = *fields;
	request->length = length;
	fields_init(fields);
	connection_wake(request->connection);
}

static void handle_body(void *data, const void *bytes, size_t size)
{
	struct caller_request *request = data;

	g_byte_array_append(request->body, bytes, (guint)size);
	connection_wake(request->connection);
}

static void handle_end(void *data)
{
	struct caller_request *request = data;

	request->call = NULL;
	request->answer_complete = true;
	connection_wake(request->connection);
}

static void request_set_reply(struct caller_request *request,
			      struct call_reply *reply)
{
	size_t size = strlen(reply->text);

	request->call = NULL;
	request->has_answer = true;
	request->answer_complete = true;
	request->status = reply->status;
	request->come_back_ms = reply->come_back_ms;
	request->answered_us = clock_mono_us();
	fields_finish(&request->fields);
	request->fields = reply->fields;
	fields_init(&reply->fields);
	fields_add(&request->fields, "Content-Type", "text/plain");
	request->length = (int64_t)size;
	g_byte_array_set_size(request->body, 0);
	request->body_start = 0;
	g_byte_array_append(request->body, (const guint8 *)reply->text,
			    (guint)size);
	connection_wake(request->connection);
}

/*
 * The upstream broke off its answer. If the answer's head is written, only a
 * broken connection can tell the caller, and the answers to all requests behind
 * it are lost too, although their upstreams are healthy. If nothing is written
 * yet, the answer is replaced by a failure of unknown outcome, and the
 * connection stays open.
 */
static void handle_abort(void *data)
{
	struct caller_request *request = data;
	struct call_reply reply = {
		.status = STATUS_LOST,
		.text = "the answer broke off\n",
	};

	request->call = NULL;
	if (request->head_written) {
		request->aborted = true;
		connection_wake(request->connection);
		return;
	}
	outcome_add_fields(&reply.fields, connection_headers(request->connection),
			   "unknown", "lost", NULL);
	request_set_reply(request, &reply);
}

static void handle_reply(void *data, struct call_reply *reply)
{
	request_set_reply(data, reply);
}

static void handle_body_window(void *data)
{
	struct caller_request *request = data;

	connection_wake(request->connection);
}

const struct call_sink request_sink = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_end = handle_end,
	.handle_abort = handle_abort,
	.handle_reply = handle_reply,
	.handle_body_window = handle_body_window,
};

/* Writing the answer. */

size_t request_unwritten(const struct caller_request *request)
{
	return request->body->len - request->body_start;
}

/* Whether the head may be written. */
static bool request_is_ready(const struct caller_request *request)
{
	if (!request->has_answer)
		return false;
	return request->answer_complete ||
	       request_unwritten(request) >= ENTRY_WITHHELD_ANSWER_MAX ||
	       request->length < 0 ||
	       request->length > ENTRY_WITHHELD_ANSWER_MAX;
}

/* The time to come back counts from the moment that the refusal is sent. */
static void request_add_come_back(struct caller_request *request)
{
	int64_t waited_ms = (clock_mono_us() - request->answered_us) / US_PER_MS;

	if (request->come_back_ms == 0)
		return;
	outcome_add_come_back(
		&request->fields, connection_headers(request->connection),
		(uint32_t)MAX(request->come_back_ms - waited_ms, 1));
}

/*
 * RETURN VALUE: whether the body does not fit the length in the head. The
 * caller would take its surplus bytes for the next answer, or the next answer
 * for its missing bytes.
 */
static bool request_has_wrong_length(const struct caller_request *request)
{
	int64_t known = request->written + (int64_t)request_unwritten(request);

	if (request->framing != RESPONSE_LENGTH)
		return false;
	return known > request->length ||
	       (request->answer_complete && known < request->length);
}

/* RETURN VALUE: false if nothing was written, as the body does not fit the
 * head. */
static bool request_write_head(struct caller_request *request, GByteArray *out,
			       bool closes)
{
	struct response_head head = {
		.status = request->status,
		.fields = &request->fields,
		.length = request->length,
		.is_head_method = request->is_head_method,
		.is_http_1_0 = request->is_http_1_0,
		.closes = closes,
	};

	request->framing = response_framing_of(&head);
	if (request_has_wrong_length(request))
		return false;
	request_add_come_back(request);
	response_write_head(out, &head, request->framing);
	request->head_written = true;
	request->closes = closes || request->framing == RESPONSE_UNTIL_CLOSE;
	return true;
}

static void request_write_body(struct caller_request *request, GByteArray *out,
			       size_t size)
{
	response_write_body(out, request->framing,
			    request->body->data + request->body_start, size);
	request->body_start += size;
	request->written += (int64_t)size;
	if (request_unwritten(request) == 0) {
		g_byte_array_set_size(request->body, 0);
		request->body_start = 0;
	}
	if (request->call)
		call_note_consumed(request->call, size);
}

enum request_progress request_write(struct caller_request *request,
				    GByteArray *out, size_t max_size, bool closes)
{
	size_t room;

	if (!request->head_written) {
		if (!request_is_ready(request))
			return REQUEST_WAITS;
		if (!request_write_head(request, out, closes))
			return REQUEST_BROKEN;
	}
	if (request->aborted || request_has_wrong_length(request))
		return REQUEST_BROKEN;
	room = max_size > out->len ? max_size - out->len : 0;
	request_write_body(request, out, MIN(room, request_unwritten(request)));
	if (request_unwritten(request) > 0)
		return REQUEST_FULL;
	if (!request->answer_complete)
		return REQUEST_WAITS;
	response_write_end(out, request->framing);
	return REQUEST_ANSWERED;
}
