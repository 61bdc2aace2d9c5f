#include "common/http_server.h"

#include <errno.h>
#include <string.h>

#include "common/socket.h"

#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_IDLE_TIMEOUT_S 60
#define DEFAULT_MAX_BODY_BYTES (1024 * 1024)
#define DEFAULT_MEMORY_PER_CONNECTION (32 * 1024)

struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	ev_prepare prepare;
	uint16_t port;
	bool is_quiesced;
	http_handler handler;
	void *data;
	size_t max_body_bytes;
};

struct http_request {
	struct http_server *server;
	struct MHD_Connection *connection; /* NULL once it is closed */
	char *method;
	char *path;
	GString *body;
	struct MHD_Response *response;
	unsigned int status;
	bool dispatched;
	bool suspended;
	bool aborted;
	bool too_large;
};

static void handle_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_server *server = io->data;

	(void)loop;
	(void)events;
	MHD_run(server->daemon);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct http_server *server = timer->data;

	(void)loop;
	(void)events;
	MHD_run(server->daemon);
}

/* Asks libmicrohttpd before each wait of the loop by when it must run again. */
static void handle_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	struct http_server *server = prepare->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	(void)events;
	ev_timer_stop(loop, &server->timer);
	if (MHD_get_timeout(server->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&server->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(loop, &server->timer);
}

static struct MHD_Daemon *
start_daemon(const struct http_server_options *options,
	     const struct http_server_callbacks *callbacks, uint16_t *port)
{
	int fd = socket_listen(options->address, options->port, port);
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	unsigned int connections = options->max_connections ?
					   options->max_connections :
					   DEFAULT_MAX_CONNECTIONS;
	unsigned int timeout_s = options->idle_timeout_s ?
					 options->idle_timeout_s :
					 DEFAULT_IDLE_TIMEOUT_S;
	size_t memory = options->memory_per_connection ?
				options->memory_per_connection :
				DEFAULT_MEMORY_PER_CONNECTION;

	if (fd < 0)
		return NULL;
	return MHD_start_daemon(
		flags, *port, NULL, NULL, callbacks->handle_access,
		callbacks->data, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, connections,
		MHD_OPTION_CONNECTION_TIMEOUT, timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
		MHD_OPTION_NOTIFY_COMPLETED, callbacks->handle_completed,
		callbacks->data, MHD_OPTION_URI_LOG_CALLBACK,
		callbacks->handle_target, callbacks->data,
		MHD_OPTION_NOTIFY_CONNECTION, callbacks->handle_connection,
		callbacks->data, MHD_OPTION_END);
}

static void http_server_watch(struct http_server *server)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&server->io, handle_io, info->epoll_fd, EV_READ);
	ev_init(&server->timer, handle_timer);
	ev_prepare_init(&server->prepare, handle_prepare);
	server->io.data = server;
	server->timer.data = server;
	server->prepare.data = server;
	ev_io_start(server->loop, &server->io);
	ev_prepare_start(server->loop, &server->prepare);
}

struct http_server *
http_server_create_raw(struct ev_loop *loop,
		       const struct http_server_options *options,
		       const struct http_server_callbacks *callbacks)
{
	struct http_server *server;

	server = g_new0(struct http_server, 1);
	server->loop = loop;
	server->daemon = start_daemon(options, callbacks, &server->port);
	if (!server->daemon) {
		g_free(server);
		return NULL;
	}
	http_server_watch(server);
	return server;
}

void http_server_destroy(struct http_server *server)
{
	if (!server)
		return;
	ev_io_stop(server->loop, &server->io);
	ev_timer_stop(server->loop, &server->timer);
	ev_prepare_stop(server->loop, &server->prepare);
	MHD_stop_daemon(server->daemon);
	g_free(server);
}

/* Accepts the connections that the kernel has queued. Closing the listening
 * socket would reset them. */
static void accept_queued(struct http_server *server, int listen_fd)
{
	struct sockaddr_storage address;
	socklen_t size = sizeof(address);
	int fd;

	while ((fd = accept4(listen_fd, (struct sockaddr *)&address, &size,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(server->daemon, fd,
				   (struct sockaddr *)&address, size);
		size = sizeof(address);
	}
}

void http_server_quiesce(struct http_server *server)
{
	int listen_fd;

	if (server->is_quiesced)
		return;
	server->is_quiesced = true;
	listen_fd = MHD_quiesce_daemon(server->daemon);
	if (listen_fd == MHD_INVALID_SOCKET)
		return;
	accept_queued(server, listen_fd);
	/* An open socket would queue connections that nobody accepts. */
	close(listen_fd);
	http_server_wake(server);
}

uint16_t http_server_port(const struct http_server *server)
{
	return server->port;
}

void http_server_wake(struct http_server *server)
{
	ev_feed_event(server->loop, &server->io, EV_READ);
}

/* The upper layer: buffered requests. */

static void http_request_free(struct http_request *request)
{
	if (request->response)
		MHD_destroy_response(request->response);
	g_free(request->method);
	g_free(request->path);
	g_string_free(request->body, TRUE);
	g_free(request);
}

static void *handle_target(void *data, const char *target,
			   struct MHD_Connection *connection)
{
	struct http_request *request = g_new0(struct http_request, 1);
	const char *query = strchr(target, '?');

	request->server = data;
	request->connection = connection;
	request->path = query ? g_strndup(target, (gsize)(query - target)) :
				g_strdup(target);
	request->body = g_string_new(NULL);
	return request;
}

static void handle_completed(void *data, struct MHD_Connection *connection,
			     void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct http_request *request = *con_cls;

	(void)data;
	(void)connection;
	(void)code;
	*con_cls = NULL;
	if (!request)
		return;
	request->connection = NULL;
	if (!request->dispatched || request->response || request->aborted)
		http_request_free(request);
}

static enum MHD_Result queue_reply(struct http_request *request)
{
	if (request->aborted)
		return MHD_NO;
	return MHD_queue_response(request->connection, request->status,
				  request->response);
}

static void dispatch(struct http_request *request)
{
	struct http_server *server = request->server;

	request->dispatched = true;
	if (request->too_large)
		http_request_reply_text(request, 413, "text/plain",
					"body too large\n");
	else
		server->handler(request, server->data);
}

static enum MHD_Result handle_access(void *data,
				     struct MHD_Connection *connection,
				     const char *url, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_size, void **con_cls)
{
	struct http_server *server = data;
	struct http_request *request = *con_cls;

	(void)url;
	(void)version;
	if (!request->method) {
		request->method = g_strdup(method);
		return MHD_YES;
	}
	if (*upload_size) {
		if (request->body->len + *upload_size > server->max_body_bytes)
			request->too_large = true;
		else
			g_string_append_len(request->body, upload,
					    (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!request->dispatched)
		dispatch(request);
	if (request->response || request->aborted)
		return queue_reply(request);
	request->suspended = true;
	MHD_suspend_connection(connection);
	return MHD_YES;
}

struct http_server *http_server_create(struct ev_loop *loop,
				       const struct http_server_options *options,
				       http_handler handler, void *data)
{
	/* The callbacks need the server, so it is allocated before the daemon
	 * starts, and http_server_create_raw() can't be used. */
	struct http_server *server = g_new0(struct http_server, 1);
	struct http_server_callbacks callbacks = {
		.handle_access = handle_access,
		.handle_completed = handle_completed,
		.handle_target = handle_target,
		.data = server,
	};

	server->loop = loop;
	server->handler = handler;
	server->data = data;
	server->max_body_bytes = options->max_body_bytes ?
					 options->max_body_bytes :
					 DEFAULT_MAX_BODY_BYTES;
	server->daemon = start_daemon(options, &callbacks, &server->port);
	if (!server->daemon) {
		g_free(server);
		return NULL;
	}
	http_server_watch(server);
	return server;
}

const char *http_request_method(const struct http_request *request)
{
	return request->method;
}

const char *http_request_path(const struct http_request *request)
{
	return request->path;
}

const char *http_request_argument(const struct http_request *request,
				  const char *name)
{
	return request->connection ?
		       MHD_lookup_connection_value(request->connection,
						   MHD_GET_ARGUMENT_KIND, name) :
		       NULL;
}

const char *http_request_header(const struct http_request *request,
				const char *name)
{
	return request->connection ?
		       MHD_lookup_connection_value(request->connection,
						   MHD_HEADER_KIND, name) :
		       NULL;
}

const GString *http_request_body(const struct http_request *request)
{
	return request->body;
}

static void http_request_resume(struct http_request *request)
{
	if (!request->connection) {
		http_request_free(request);
		return;
	}
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
	http_server_wake(request->server);
}

void http_request_reply(struct http_request *request, unsigned int status,
			const char *const *headers, const char *body, size_t size)
{
	request->status = status;
	request->response = MHD_create_response_from_buffer(
		size, (void *)body, MHD_RESPMEM_MUST_COPY);
	for (; headers && headers[0]; headers += 2)
		MHD_add_response_header(request->response, headers[0],
					headers[1]);
	http_request_resume(request);
}

void http_request_reply_text(struct http_request *request, unsigned int status,
			     const char *content_type, const char *text)
{
	const char *headers[] = {"Content-Type", content_type, NULL};

	http_request_reply(request, status, headers, text, strlen(text));
}

void http_request_abort(struct http_request *request)
{
	request->aborted = true;
	http_request_resume(request);
}
