#include "comfreydockd/caller/listener.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/head.h"
#include "comfreydockd/settings.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/http_server.h"

#define STATUS_BAD_REQUEST 400
/* After an early answer so much of the rest of a body is read and dropped. */
#define DISCARD_MAX (16 * 1024 * 1024)
#define WATCH_S 0.25
#define SERVER_BLOCK_BYTES (16 * 1024)

struct listener {
	struct daemon *daemon;
	struct http_server *server;
	bool closes; /* see listener_announce_close() */
};

/* One request of one caller, from its head to the last byte of its answer. */
struct caller_request {
	struct listener *listener;
	struct MHD_Connection *connection;
	char *target;
	struct call *call; /* NULL: not begun, or over */
	bool has_head; /* handle_access was called for the head */
	bool body_done;
	size_t discarded;
	struct MHD_Response *response;
	unsigned int status;
	bool queued; /* the response was given to libmicrohttpd */
	bool suspended;
	bool aborted;
	bool answer_ends; /* all of it is in the buffer */
	GByteArray *answer; /* not yet taken by libmicrohttpd */
	size_t answer_start;
	ev_io hang_up;
	ev_timer watch; /* where unread bytes hide the hang-up */
};

static void request_stop_watch(struct caller_request *request)
{
	struct ev_loop *loop = request->listener->daemon->loop;

	ev_io_stop(loop, &request->hang_up);
	ev_timer_stop(loop, &request->watch);
}

static void request_resume(struct caller_request *request)
{
	if (!request->suspended)
		return;
	request_stop_watch(request);
	request->suspended = false;
	MHD_resume_connection(request->connection);
	http_server_wake(request->listener->server);
}

static void request_abandon(struct caller_request *request)
{
	struct call *call = request->call;

	request->call = NULL;
	request->aborted = true;
	if (call)
		call_abandon(call);
	request_resume(request);
}

static int request_fd(const struct caller_request *request)
{
	return MHD_get_connection_info(request->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

static bool request_is_hung_up(const struct caller_request *request)
{
	struct pollfd poller = {
		.fd = request_fd(request),
		.events = POLLRDHUP,
	};

	return poll(&poller, 1, 0) > 0;
}

/* Readable means a hang-up or the next, pipelined request. The latter stays
 * unread, and a timer looks on. */
static void handle_hang_up(struct ev_loop *loop, ev_io *io, int events)
{
	struct caller_request *request = io->data;

	(void)events;
	if (request_is_hung_up(request)) {
		request_abandon(request);
		return;
	}
	ev_io_stop(loop, io);
	ev_timer_again(loop, &request->watch);
}

static void handle_watch(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct caller_request *request = timer->data;

	(void)loop;
	(void)events;
	if (request_is_hung_up(request))
		request_abandon(request);
}

static void request_suspend(struct caller_request *request)
{
	struct ev_loop *loop = request->listener->daemon->loop;

	request->suspended = true;
	MHD_suspend_connection(request->connection);
	ev_io_set(&request->hang_up, request_fd(request), EV_READ);
	ev_io_start(loop, &request->hang_up);
}

static void request_free(struct caller_request *request)
{
	request_stop_watch(request);
	if (request->response)
		MHD_destroy_response(request->response);
	g_byte_array_unref(request->answer);
	g_free(request->target);
	g_free(request);
}

/* The answer's way out. */

static size_t request_answer_left(const struct caller_request *request)
{
	return request->answer->len - request->answer_start;
}

static void request_take_answer(struct caller_request *request, char *out,
				size_t size)
{
	memcpy(out, request->answer->data + request->answer_start, size);
	request->answer_start += size;
	if (request_answer_left(request) == 0) {
		g_byte_array_set_size(request->answer, 0);
		request->answer_start = 0;
	}
	if (request->call)
		call_note_consumed(request->call, size);
}

static ssize_t handle_pull(void *data, uint64_t position, char *out, size_t most)
{
	struct caller_request *request = data;
	size_t size = MIN(most, request_answer_left(request));

	(void)position;
	if (request->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (size > 0) {
		request_take_answer(request, out, size);
		return (ssize_t)size;
	}
	if (request->answer_ends)
		return MHD_CONTENT_READER_END_OF_STREAM;
	request_suspend(request);
	return 0;
}

static void add_response_fields(struct MHD_Response *response,
				const struct fields *fields)
{
	for (size_t i = 0; i < fields->count; i++)
		MHD_add_response_header(response, fields->items[i]->name,
					fields->items[i]->value);
}

static void handle_head(void *data, unsigned int status,
			const struct fields *fields, int64_t length)
{
	struct caller_request *request = data;
	uint64_t size = length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length;

	request->status = status;
	request->response = MHD_create_response_from_callback(
		size, SERVER_BLOCK_BYTES, handle_pull, request, NULL);
	add_response_fields(request->response, fields);
	if (request->body_done)
		request_resume(request);
}

static void handle_body(void *data, const void *bytes, size_t size)
{
	struct caller_request *request = data;

	g_byte_array_append(request->answer, bytes, (guint)size);
	if (request->queued)
		request_resume(request);
}

static void handle_end(void *data)
{
	struct caller_request *request = data;

	request->call = NULL;
	request->answer_ends = true;
	request_resume(request);
}

static void handle_abort(void *data)
{
	struct caller_request *request = data;

	request->call = NULL;
	request->aborted = true;
	request_resume(request);
}

static void handle_whole(void *data, unsigned int status,
			 const struct fields *fields, const char *text)
{
	struct caller_request *request = data;

	request->call = NULL;
	request->status = status;
	request->response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(request->response, "Content-Type", "text/plain");
	add_response_fields(request->response, fields);
	request_resume(request);
}

static void handle_room(void *data)
{
	request_resume(data);
}

static const struct call_sink sink = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_end = handle_end,
	.handle_abort = handle_abort,
	.handle_whole = handle_whole,
	.handle_room = handle_room,
};

static enum MHD_Result request_queue(struct caller_request *request)
{
	if (request->aborted)
		return MHD_NO;
	request->queued = true;
	if (request->listener->closes)
		MHD_add_response_header(request->response, "Connection", "close");
	return MHD_queue_response(request->connection, request->status,
				  request->response);
}

/* The request's way in. */

static enum MHD_Result handle_field(void *data, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	(void)kind;
	head_add_field(data, name, value);
	return MHD_YES;
}

/* What follows on the connection may be part of this request: it is closed. */
static enum MHD_Result request_refuse_form(struct caller_request *request,
					   const char *fault)
{
	char *text = g_strdup_printf("not run: %s\n", fault);

	counters.caller_bad_requests++;
	outcome_refuse(&sink, request, STATUS_BAD_REQUEST, "bad-request", 0,
		       text);
	MHD_add_response_header(request->response, "Connection", "close");
	g_free(text);
	return request_queue(request);
}

static void request_begin_call(struct caller_request *request,
			       const char *method, const struct head *head)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	char address[INET6_ADDRSTRLEN] = "";
	struct call_request call = {
		.method = method,
		.target = head->target,
		.host = head_host(head),
		.caller = address,
		.fields = &head->fields,
		.has_body = head->has_body,
	};

	address_to_text(info->client_addr, address);
	request->call = entry_begin(request->listener->daemon->entry, &call,
				    &sink, request);
}

static enum MHD_Result request_take_head(struct caller_request *request,
					 const char *method, const char *version)
{
	enum MHD_Result result = MHD_YES;
	const char *fault;
	struct head head;

	request->has_head = true;
	head_init(&head, request->target);
	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
				  handle_field, &head);
	fault = head_fault(&head, method, version);
	if (fault) {
		result = request_refuse_form(request, fault);
	} else {
		request->body_done = !head.has_body;
		request_begin_call(request, method, &head);
		/* Refused by its head alone: no need to read a body. */
		if (request->response && !request->call && head.has_body)
			result = request_queue(request);
	}
	head_finish(&head);
	return result;
}

/* The call is over, but HTTP gives no answer before the end of a body. */
static enum MHD_Result request_discard(struct caller_request *request,
				       size_t *size)
{
	request->discarded += *size;
	*size = 0;
	return request->discarded > DISCARD_MAX ? MHD_NO : MHD_YES;
}

static enum MHD_Result request_take_body(struct caller_request *request,
					 const char *bytes, size_t *size)
{
	size_t room;

	if (request->aborted)
		return MHD_NO;
	if (!request->call)
		return request_discard(request, size);
	room = call_room(request->call);
	if (room == 0) {
		request_suspend(request);
		return MHD_YES;
	}
	room = MIN(room, *size);
	*size -= room;
	call_add_body(request->call, bytes, room);
	return MHD_YES;
}

static enum MHD_Result handle_access(void *data,
				     struct MHD_Connection *connection,
				     const char *url, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_size, void **con_cls)
{
	struct caller_request *request = *con_cls;

	(void)data;
	(void)connection;
	(void)url;
	if (!request->has_head)
		return request_take_head(request, method, version);
	if (*upload_size)
		return request_take_body(request, upload, upload_size);
	if (!request->body_done) {
		request->body_done = true;
		if (request->call)
			call_end_body(request->call);
	}
	if (request->response || request->aborted)
		return request_queue(request);
	request_suspend(request);
	return MHD_YES;
}

/* Not even a request line could be read where none has begun. */
static void handle_connection(void *data, struct MHD_Connection *connection,
			      void **context,
			      enum MHD_ConnectionNotificationCode code)
{
	bool *has_request = *context;

	(void)data;
	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*context = g_new0(bool, 1);
		return;
	}
	counters.caller_empty_connections += !*has_request;
	g_free(has_request);
}

static void note_connection_used(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	*(bool *)info->socket_context = true;
}

static void *handle_target(void *data, const char *target,
			   struct MHD_Connection *connection)
{
	struct caller_request *request = g_new0(struct caller_request, 1);

	request->listener = data;
	request->connection = connection;
	request->target = g_strdup(target);
	request->answer = g_byte_array_new();
	note_connection_used(connection);
	ev_io_init(&request->hang_up, handle_hang_up, -1, EV_READ);
	ev_timer_init(&request->watch, handle_watch, 0.0, WATCH_S);
	request->hang_up.data = request;
	request->watch.data = request;
	return request;
}

static void handle_completed(void *data, struct MHD_Connection *connection,
			     void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct caller_request *request = *con_cls;

	(void)data;
	(void)connection;
	*con_cls = NULL;
	if (!request)
		return;
	/* libmicrohttpd refused the head by itself. */
	if (!request->has_head && code != MHD_REQUEST_TERMINATED_CLIENT_ABORT)
		counters.caller_bad_requests++;
	if (request->call)
		call_abandon(request->call);
	request_free(request);
}

struct listener *listener_create(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct listener *listener = g_new0(struct listener, 1);
	struct http_server_options options = {
		.address = settings->caller.address,
		.port = settings->caller.port,
		.max_connections = settings->max_connections,
		.memory_per_connection = settings->max_head_bytes,
	};
	struct http_server_callbacks callbacks = {
		.handle_access = handle_access,
		.handle_completed = handle_completed,
		.handle_target = handle_target,
		.handle_connection = handle_connection,
		.data = listener,
	};

	listener->daemon = daemon;
	listener->server =
		http_server_create_raw(daemon->loop, &options, &callbacks);
	if (!listener->server) {
		g_free(listener);
		return NULL;
	}
	return listener;
}

void listener_destroy(struct listener *listener)
{
	if (!listener)
		return;
	http_server_destroy(listener->server);
	g_free(listener);
}

uint16_t listener_port(const struct listener *listener)
{
	return http_server_port(listener->server);
}

void listener_announce_close(struct listener *listener)
{
	listener->closes = true;
}

void listener_quiesce(struct listener *listener)
{
	http_server_quiesce(listener->server);
}
