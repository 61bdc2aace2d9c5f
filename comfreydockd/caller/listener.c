#include "comfreydockd/caller/listener.h"

#include <string.h>
#include <sys/socket.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/head.h"
#include "comfreydockd/caller/request.h"
#include "comfreydockd/settings.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/http_server.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_UNAVAILABLE 503
#define COME_BACK_MS 1000
/* Another daemon can take it at once. */
#define ELSEWHERE_MS 10
/* Connections that are opened beyond the limit, to be refused. */
#define SURPLUS 1024
/* After an early answer so much of the rest of a body is read and dropped. */
#define DISCARD_MAX (16 * 1024 * 1024)

static enum MHD_Result handle_field(void *data, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	(void)kind;
	head_add_field(data, name, value);
	return MHD_YES;
}

/* One of a caller. Kept beside each other: libmicrohttpd's and what is ours. */
struct caller_connection {
	bool has_request; /* a request line was read */
	bool is_surplus; /* more are open than may be served */
};

static struct caller_connection *connection_of(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

/* Ends the connection with a refusal. */
static enum MHD_Result request_refuse(struct caller_request *request,
				      unsigned int status, const char *reason,
				      uint32_t come_back_ms, const char *why)
{
	char *text = g_strdup_printf("not run: %s\n", why);

	outcome_refuse(request->listener->daemon->headers, &request_sink,
		       request, status, reason, come_back_ms, text);
	MHD_add_response_header(request->response, "Connection", "close");
	g_free(text);
	return request_queue(request);
}

/* What follows on the connection may be part of this request. */
static enum MHD_Result request_refuse_form(struct caller_request *request,
					   const char *fault)
{
	counters.caller_bad_requests++;
	return request_refuse(request, STATUS_BAD_REQUEST, "bad-request", 0,
			      fault);
}

/*
 * Were connections beyond the limit left unread, their callers would learn
 * nothing until their own time is over, and so would all behind them in the
 * kernel's queue. They are read, to be told at once when to come back.
 */
static enum MHD_Result request_refuse_surplus(struct caller_request *request)
{
	counters.caller_surplus_connections++;
	return request_refuse(request, STATUS_UNAVAILABLE, "connections",
			      COME_BACK_MS, "too many connections are open");
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
				    &request_sink, request);
}

static bool request_has_rest(const struct caller_request *request,
			     const struct head *head, const char *method,
			     const char *version)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	size_t line_bytes = strlen(method) + strlen(request->target) +
			    strlen(version) + strlen("  \r\n");

	return info && head_has_rest(head, line_bytes, info->header_size);
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
	if (!fault && request_has_rest(request, &head, method, version))
		fault = "a line is folded or holds a NUL byte";
	if (fault) {
		result = request_refuse_form(request, fault);
	} else if (connection_of(request->connection)->is_surplus) {
		result = request_refuse_surplus(request);
	} else if (request->listener->turns_away) {
		result = request_refuse(request, STATUS_UNAVAILABLE, "stopping",
					ELSEWHERE_MS, "this daemon ends");
	} else if (request_is_hung_up(request)) {
		/* Read after a pause of this daemon: nobody waits for it any
		 * more, and it may have been sent elsewhere since. */
		counters.caller_gone++;
		request->aborted = true;
		result = MHD_NO;
	} else {
		request->body_done = !head.has_body;
		request_begin_call(request, method, &head);
		/* Refused by its head alone: no need to read a body. */
		if (request->has_answer && !request->call && head.has_body)
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
	if (request->has_answer || request->aborted)
		return request_queue(request);
	request_suspend(request);
	return MHD_YES;
}

static void handle_connection(void *data, struct MHD_Connection *connection,
			      void **context,
			      enum MHD_ConnectionNotificationCode code)
{
	struct listener *listener = data;
	uint32_t most = listener->daemon->settings->max_connections;
	struct caller_connection *ours = *context;

	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		ours = g_new0(struct caller_connection, 1);
		ours->is_surplus = ++listener->connections > most;
		*context = ours;
		return;
	}
	listener->connections--;
	/* Not even a request line could be read where none has begun. */
	counters.caller_empty_connections += !ours->has_request;
	g_free(ours);
}

static void *handle_target(void *data, const char *target,
			   struct MHD_Connection *connection)
{
	connection_of(connection)->has_request = true;
	return request_create(data, connection, target);
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
	request_destroy(request);
}

struct listener *listener_create(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct listener *listener = g_new0(struct listener, 1);
	struct http_server_options options = {
		.address = settings->caller.address,
		.port = settings->caller.port,
		.max_connections = settings->max_connections + SURPLUS,
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

void listener_turn_away(struct listener *listener)
{
	listener->turns_away = true;
}

void listener_quiesce(struct listener *listener)
{
	http_server_quiesce(listener->server);
}
