#include "comfreydockd/caller/request.h"

#include <poll.h>
#include <string.h>

#include "common/http_server.h"

#define WATCH_S 0.25
#define SERVER_BLOCK_BYTES (16 * 1024)

static void request_stop_watch(struct caller_request *request)
{
	struct ev_loop *loop = request->listener->daemon->loop;

	ev_io_stop(loop, &request->hang_up);
	ev_timer_stop(loop, &request->watch);
}

void request_resume(struct caller_request *request)
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

bool request_is_hung_up(const struct caller_request *request)
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

void request_suspend(struct caller_request *request)
{
	struct ev_loop *loop = request->listener->daemon->loop;

	request->suspended = true;
	MHD_suspend_connection(request->connection);
	ev_io_set(&request->hang_up, request_fd(request), EV_READ);
	ev_io_start(loop, &request->hang_up);
}

struct caller_request *request_create(struct listener *listener,
				      struct MHD_Connection *connection,
				      const char *target)
{
	struct caller_request *request = g_new0(struct caller_request, 1);

	request->listener = listener;
	request->connection = connection;
	request->target = g_strdup(target);
	request->answer = g_byte_array_new();
	ev_io_init(&request->hang_up, handle_hang_up, -1, EV_READ);
	ev_timer_init(&request->watch, handle_watch, 0.0, WATCH_S);
	request->hang_up.data = request;
	request->watch.data = request;
	return request;
}

void request_destroy(struct caller_request *request)
{
	request_stop_watch(request);
	if (request->response)
		MHD_destroy_response(request->response);
	fields_finish(&request->answer_fields);
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

static void handle_head(void *data, unsigned int status, struct fields *fields,
			int64_t length)
{
	struct caller_request *request = data;

	request->status = status;
	request->has_answer = true;
	request->answer_fields = *fields;
	request->answer_length = length;
	fields_init(fields);
	if (request->body_done)
		request_resume(request);
}

/*
 * The response is made when libmicrohttpd takes it, and a short answer is whole
 * by then: head and body leave in one packet. From a callback they are written
 * one after the other, in two turns of the loop, and wake the caller twice.
 */
static void request_create_response(struct caller_request *request)
{
	int64_t length = request->answer_length;
	size_t left = request_answer_left(request);

	if (request->answer_ends && length == (int64_t)left &&
	    left <= SERVER_BLOCK_BYTES)
		request->response = MHD_create_response_from_buffer(
			left, request->answer->data, MHD_RESPMEM_MUST_COPY);
	else
		request->response = MHD_create_response_from_callback(
			length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
			SERVER_BLOCK_BYTES, handle_pull, request, NULL);
	add_response_fields(request->response, &request->answer_fields);
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
	request->has_answer = true;
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

const struct call_sink request_sink = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_end = handle_end,
	.handle_abort = handle_abort,
	.handle_whole = handle_whole,
	.handle_room = handle_room,
};

enum MHD_Result request_queue(struct caller_request *request)
{
	if (request->aborted)
		return MHD_NO;
	request->queued = true;
	if (!request->response)
		request_create_response(request);
	if (request->listener->closes)
		MHD_add_response_header(request->response, "Connection", "close");
	return MHD_queue_response(request->connection, request->status,
				  request->response);
}
