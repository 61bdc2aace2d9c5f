#include "comfreydockd/caller/connection_internal.h"

#include <string.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/decide/pipeline.h"
#include "common/clock.h"
#include "common/counters.h"

#define STATUS_UNAVAILABLE 503
#define BAD_REQUEST "bad-request"
#define SURPLUS_COME_BACK_MS 1000
/* Another daemon can take the request at once. */
#define TURN_AWAY_COME_BACK_MS 10

/* The list of unanswered requests. */

static void connection_mark_holding_others(struct connection *connection)
{
	struct caller_request *request;

	TAILQ_FOREACH (request, &connection->requests, link) {
		if (request->call)
			call_note_holds_others(request->call);
	}
}

static struct caller_request *
connection_add_request(struct connection *connection,
		       const struct reader_head *head)
{
	struct caller_request *request = request_create(connection);

	request->is_head_method = strcmp(head->method, "HEAD") == 0;
	request->is_http_1_0 = head->is_http_1_0;
	request->keeps_alive = head->keeps_alive;
	request->body_done = head->ends;
	connection_mark_holding_others(connection);
	TAILQ_INSERT_TAIL(&connection->requests, request, link);
	connection->is_pipelined |= connection->unanswered++ > 0;
	return request;
}

void request_end_ahead(struct caller_request *request)
{
	request->connection->listener->ahead -= request->runs_ahead;
	request->runs_ahead = false;
}

void connection_remove_request(struct connection *connection,
			       struct caller_request *request)
{
	if (connection->waiting == request)
		connection->waiting = NULL;
	if (connection->in_body == request)
		connection->in_body = NULL;
	request_end_ahead(request);
	TAILQ_REMOVE(&connection->requests, request, link);
	connection->unanswered--;
	request_destroy(request);
}

void connection_remove_all_requests(struct connection *connection)
{
	struct caller_request *request;

	while ((request = TAILQ_FIRST(&connection->requests)))
		connection_remove_request(connection, request);
}

/* Beginning a request. */

/* Refuses the request and closes the connection after this answer. */
static void request_refuse(struct caller_request *request, unsigned int status,
			   const char *reason, uint32_t come_back_ms,
			   const char *why)
{
	struct connection *connection = request->connection;
	char *text = g_strdup_printf("not run: %s\n", why);

	connection->input_ended = true;
	request->keeps_alive = false;
	outcome_refuse(connection_headers(connection), &request_sink, request,
		       status, reason, come_back_ms, text);
	g_free(text);
}

static void connection_fill_call(const struct connection *connection,
				 const struct reader_head *head,
				 struct call_request *call)
{
	*call = (struct call_request){
		.method = head->method,
		.target = head->head->target,
		.host = head_host(head->head),
		.caller = connection->address,
		.fields = &head->head->fields,
		.has_body = !head->ends,
	};
}

/*
 * If connections beyond the limit were left unread, their callers would hear
 * nothing until their own timeouts expire, and neither would the callers behind
 * them in the kernel's accept queue. They are read and refused, so that each
 * caller learns at once when to come back.
 */
static void request_refuse_surplus(struct caller_request *request)
{
	counters.caller_surplus_connections++;
	request_refuse(request, STATUS_UNAVAILABLE, "connections",
		       SURPLUS_COME_BACK_MS, "too many connections are open");
}

static void request_begin(struct caller_request *request,
			  const struct reader_head *head, int64_t arrived_us)
{
	struct connection *connection = request->connection;
	struct listener *listener = connection->listener;
	struct call_request call;

	if (connection->is_surplus) {
		request_refuse_surplus(request);
		return;
	}
	if (listener->turns_away) {
		request_refuse(request, STATUS_UNAVAILABLE, "stopping",
			       TURN_AWAY_COME_BACK_MS, "this daemon ends");
		return;
	}
	connection_fill_call(connection, head, &call);
	call.arrived_us = arrived_us;
	call.in_front = connection->unanswered - 1;
	call.holds_others = connection->is_pipelined;
	request->runs_ahead = call.in_front > 0;
	listener->ahead += request->runs_ahead;
	counters.caller_ahead += request->runs_ahead;
	request->call = entry_begin(listener->daemon->entry, &call,
				    &request_sink, request);
	if (head->awaits_continue && !head->ends && request->call) {
		response_write_continue(connection->out);
		connection_wake(connection);
	}
}

static bool connection_may_begin(const struct connection *connection,
				 const struct reader_head *head)
{
	const struct listener *listener = connection->listener;
	struct call_request call;
	struct pipeline_request request = {
		.unanswered = connection->unanswered - 1,
		.has_body = !head->ends,
		.total = listener->ahead,
	};

	if (request.unanswered == 0)
		return true;
	connection_fill_call(connection, head, &call);
	request.idempotent =
		entry_request_is_idempotent(listener->daemon->entry, &call);
	return pipeline_may_start(&request);
}

static void connection_take_head(struct connection *connection, int64_t arrived_us)
{
	struct caller_request *request;
	struct reader_head head;

	connection->has_request = true;
	connection->head_since_us = 0;
	reader_get_head(&connection->reader, &head);
	request = connection_add_request(connection, &head);
	connection->input_ended |= !head.keeps_alive;
	if (!head.ends)
		connection->in_body = request;
	if (!connection_may_begin(connection, &head)) {
		counters.caller_waited++;
		connection->waiting = request;
		connection->waiting_arrived_us = arrived_us;
		return;
	}
	request_begin(request, &head, arrived_us);
}

/* Begins the waiting request: all requests in front of it are answered. */
static void connection_begin_waiting(struct connection *connection)
{
	struct caller_request *request = connection->waiting;
	struct reader_head head;

	reader_get_head(&connection->reader, &head);
	connection->waiting = NULL;
	request_begin(request, &head, connection->waiting_arrived_us);
}

static void connection_take_body(struct connection *connection)
{
	struct caller_request *request = connection->in_body;
	struct reader_body body;

	reader_get_body(&connection->reader, &body);
	if (request->call && body.size)
		call_add_body(request->call, body.bytes, body.size);
	if (!body.ends)
		return;
	request->body_done = true;
	connection->in_body = NULL;
	if (request->call)
		call_end_body(request->call);
}

/* Ends the request whose body can't be read.
 * RETURN VALUE: whether it may have run. */
static bool connection_fail_body(struct connection *connection)
{
	struct caller_request *request = connection->in_body;
	bool may_have_run;

	connection->in_body = NULL;
	if (!request || !request->call)
		return false; /* its answer, if complete, is still to be written */
	may_have_run = call_may_have_run(request->call);
	if (request->head_written)
		request_abort(request);
	else
		connection_remove_request(connection, request);
	return may_have_run;
}

/* The same as request_refuse() for a request that may have run. */
static void request_fail(struct caller_request *request, unsigned int status,
			 const char *why)
{
	char *text =
		g_strdup_printf("it is not known whether this ran: %s\n", why);

	request->connection->input_ended = true;
	request->keeps_alive = false;
	outcome_fail(connection_headers(request->connection), &request_sink,
		     request, status, BAD_REQUEST, text);
	g_free(text);
}

/* Refuses a malformed request. Nothing more is read, as the bytes that follow
 * may be part of this request. */
static void connection_take_fault(struct connection *connection)
{
	struct reader_head none = {.method = "", .ends = true};
	struct caller_request *request;
	const char *fault;
	unsigned int status;
	bool may_have_run;

	fault = reader_fault(&connection->reader, &status);
	connection->input_ended = true;
	connection->head_since_us = 0;
	may_have_run = connection_fail_body(connection);
	if (reader_is_http(&connection->reader))
		counters.caller_bad_requests++;
	else
		counters.caller_empty_connections++;
	connection->has_request = true;
	request = connection_add_request(connection, &none);
	if (may_have_run)
		request_fail(request, status, fault);
	else
		request_refuse(request, status, BAD_REQUEST, 0, fault);
}

/* RETURN VALUE: whether another request will be begun at some time. */
static bool connection_expects_requests(const struct connection *connection)
{
	if (connection->input_ended)
		return false;
	/* The answer to the last request will close the connection. */
	return !connection->listener->announces_close ||
	       connection->unanswered == 0;
}

/* RETURN VALUE: whether another request may be parsed. */
static bool connection_accepts_requests(const struct connection *connection)
{
	return connection_expects_requests(connection) &&
	       connection->unanswered < PIPELINE_CALLS_MAX;
}

/* RETURN VALUE: how many bytes may be given to the reader now. */
static size_t connection_input_limit(const struct connection *connection)
{
	const struct caller_request *request = connection->in_body;

	if (connection->waiting || connection->lingers)
		return 0;
	if (request)
		return request->call ? call_body_window(request->call) :
				       READ_BYTES;
	return connection_accepts_requests(connection) ? connection->in->len : 0;
}

static void connection_take_event(struct connection *connection,
				  enum reader_event event, int64_t arrived_us)
{
	if (event == READER_HEAD)
		connection_take_head(connection, arrived_us);
	else if (event == READER_BODY)
		connection_take_body(connection);
	else
		connection_take_fault(connection);
}

static void connection_start_head_timeout(struct connection *connection)
{
	if (connection->in_body || connection->in->len == 0)
		return;
	if (!connection->head_since_us)
		connection->head_since_us = clock_mono_us();
}

void connection_parse(struct connection *connection)
{
	enum reader_event event;
	int64_t arrived_us;
	size_t size;
	size_t used;

	if (connection->waiting && connection->unanswered == 1)
		connection_begin_waiting(connection);
	while ((size = MIN(connection_input_limit(connection),
			   connection->in->len)) > 0) {
		event = reader_read(&connection->reader, connection->in->data,
				    size, &used);
		g_byte_array_remove_range(connection->in, 0, (guint)used);
		arrived_us = arrivals_take(&connection->arrivals, used);
		if (event == READER_NEEDS_BYTES) {
			connection_start_head_timeout(connection);
			break;
		}
		connection_take_event(connection, event, arrived_us);
	}
}

bool connection_wants_input(const struct connection *connection)
{
	if (connection->lingers)
		return true;
	if (connection->in->len >= READ_BYTES * 2)
		return false;
	if (connection->in_body)
		return connection_input_limit(connection) > 0;
	if (!connection->waiting && connection_accepts_requests(connection))
		return true;
	/* Requests that have to wait are read ahead, as their deadlines count
	 * from when they were read. */
	return connection_expects_requests(connection) &&
	       connection->in->len < READ_BYTES;
}
