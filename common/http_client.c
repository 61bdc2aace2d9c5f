#include "common/http_client.h"

#include <string.h>
#include <sys/queue.h>

#include "common/counters.h"
#include "common/http_head.h"
#include "common/http_sockets.h"
#include "common/log.h"

#define DEFAULT_TIMEOUT_MS 5000
#define DEFAULT_CONNECT_TIMEOUT_MS 1000
/* Limit of the whole client, over all servers. It is more than one upstream accepts
 * in total. */
#define IDLE_CONNECTIONS_MAX 1024L

/* A call of the upper layer that has no answer yet. */
struct http_pending_call {
	LIST_ENTRY(http_pending_call) link;
	struct http_client *client;
	struct http_transfer transfer;
	struct curl_slist *headers;
	GString *request_body;
	GString *answer_body;
	size_t answer_max_bytes;
	http_answer_handler handler;
	void *data;
	bool (*handle_field)(void *data, const char *name, const char *value);
	struct http_head head;
};

struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	bool has_unstarted; /* transfers that libcurl has not begun */
	LIST_HEAD(, http_pending_call) pending;
	struct http_sockets sockets;
};

struct socket_watch {
	ev_io io;
	struct http_client *client;
};

/* Sends a request again of which nothing was written. */
static void transfer_restart(struct http_transfer *transfer)
{
	transfer->found_unusable = false;
	transfer->uses_new_connection = true;
	curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(transfer->client->multi, transfer->easy);
	transfer->client->has_unstarted = true;
}

static void report_done(struct http_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		struct http_transfer *transfer = NULL;
		CURL *easy = message->easy_handle;
		CURLcode result = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
		curl_multi_remove_handle(client->multi, easy);
		if (transfer->found_unusable)
			transfer_restart(transfer);
		else
			transfer->handle_done(transfer, result);
	}
}

static void handle_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
	struct socket_watch *watch = io->data;
	struct http_client *client = watch->client;
	int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		   (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
	int running;

	(void)loop;
	curl_multi_socket_action(client->multi, io->fd, mask, &running);
	report_done(client);
}

static void handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct http_client *client = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	report_done(client);
}

static int handle_set_timer(CURLM *multi, long timeout_ms, void *data)
{
	struct http_client *client = data;

	(void)multi;
	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(client->loop, &client->timer);
	return 0;
}

static int handle_set_socket(CURL *easy, curl_socket_t fd, int what, void *data,
			     void *socket_data)
{
	struct http_client *client = data;
	struct socket_watch *watch = socket_data;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch)
			ev_io_stop(client->loop, &watch->io);
		g_free(watch);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (!watch) {
		watch = g_new0(struct socket_watch, 1);
		watch->client = client;
		ev_init(&watch->io, handle_socket_event);
		watch->io.data = watch;
		curl_multi_assign(client->multi, fd, watch);
	}
	ev_io_stop(client->loop, &watch->io);
	ev_io_set(&watch->io, fd, events);
	ev_io_start(client->loop, &watch->io);
	return 0;
}

struct http_client *http_client_create(struct ev_loop *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->multi = curl_multi_init();
	ev_init(&client->timer, handle_timeout);
	client->timer.data = client;
	LIST_INIT(&client->pending);
	http_sockets_init(&client->sockets);
	/* By default libcurl caches four connections per running transfer. It
	 * would close most of them when the load drops and would have to open
	 * them again when it rises. */
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  IDLE_CONNECTIONS_MAX);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  handle_set_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION,
			  handle_set_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client;
}

void http_client_destroy(struct http_client *client)
{
	struct http_pending_call *pending;

	if (!client)
		return;
	while ((pending = LIST_FIRST(&client->pending)))
		http_client_cancel(pending);
	ev_timer_stop(client->loop, &client->timer);
	curl_multi_cleanup(client->multi);
	http_sockets_finish(&client->sockets);
	g_free(client);
}

/* RETURN VALUE: whether the connection that libcurl chose was closed, or has
 * input although no request was sent on it. */
static bool connection_is_unusable(const struct http_transfer *transfer,
				   const char *remote_ip, int remote_port,
				   int local_port)
{
	enum http_socket_state state = http_sockets_check(
		&transfer->client->sockets, local_port, remote_port);

	counters.http_closed_kept += state == HTTP_SOCKET_CLOSED;
	if (state == HTTP_SOCKET_HAS_INPUT) {
		counters.http_unasked_input++;
		log_event(EV_HTTP_UNASKED_INPUT, LOG_STR("server", remote_ip),
			  LOG_INT("port", remote_port));
	}
	return state != HTTP_SOCKET_QUIET;
}

/* libcurl calls this each time before it sends the request. It sends again if a
 * reused connection closes before the first byte of the answer. With send_once,
 * the second time is aborted, because the first request may have taken effect. */
static int handle_prerequest(void *data, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	struct http_transfer *transfer = data;

	(void)local_ip;
	if (transfer->send_once && transfer->sent)
		return CURL_PREREQFUNC_ABORT;
	transfer->found_unusable =
		!transfer->uses_new_connection &&
		connection_is_unusable(transfer, remote_ip, remote_port,
				       local_port);
	if (transfer->found_unusable)
		return CURL_PREREQFUNC_ABORT;
	transfer->sent = true;
	return CURL_PREREQFUNC_OK;
}

void http_client_add_transfer(struct http_client *client,
			      struct http_transfer *transfer)
{
	transfer->client = client;
	transfer->sent = false;
	transfer->found_unusable = false;
	transfer->uses_new_connection = false;
	http_sockets_attach(&client->sockets, transfer->easy);
	curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION,
			 handle_prerequest);
	curl_easy_setopt(transfer->easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	curl_multi_add_handle(client->multi, transfer->easy);
	client->has_unstarted = true;
}

void http_client_begin_transfers(struct http_client *client)
{
	int running;

	if (!client->has_unstarted)
		return;
	client->has_unstarted = false;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	report_done(client);
}

void http_client_remove_transfer(struct http_client *client,
				 struct http_transfer *transfer)
{
	curl_multi_remove_handle(client->multi, transfer->easy);
}

/* The upper layer: buffered requests. */

static size_t handle_body(char *data, size_t size, size_t count, void *user)
{
	struct http_pending_call *pending = user;

	if (pending->answer_body->len + size * count > pending->answer_max_bytes) {
		pending->head.fault = "a body that is too large";
		return 0;
	}
	g_string_append_len(pending->answer_body, data, (gssize)(size * count));
	return size * count;
}

static size_t handle_header(char *bytes, size_t size, size_t count, void *user)
{
	struct http_pending_call *pending = user;
	struct http_head_field field;
	bool is_good;
	char *line;

	if (!http_head_count_line(&pending->head, size * count))
		return 0;
	line = http_head_dup_line(bytes, size * count);
	is_good = http_head_take_line(&pending->head, line, &field);
	if (is_good && field.name && pending->handle_field)
		is_good = pending->handle_field(pending->data, field.name,
						field.value);
	g_free(line);
	return is_good ? size * count : 0;
}

static void http_pending_call_free(struct http_pending_call *pending)
{
	LIST_REMOVE(pending, link);
	curl_easy_cleanup(pending->transfer.easy);
	curl_slist_free_all(pending->headers);
	g_string_free(pending->request_body, TRUE);
	g_string_free(pending->answer_body, TRUE);
	g_free(pending);
}

/* libcurl reports success for a head that ends with its connection. */
static CURLcode call_result(const struct http_pending_call *pending,
			    CURLcode result)
{
	return result == CURLE_OK && !pending->head.is_complete ?
		       CURLE_WEIRD_SERVER_REPLY :
		       result;
}

static void handle_call_done(struct http_transfer *transfer, CURLcode result)
{
	struct http_pending_call *pending = transfer->data;
	struct http_answer answer = {
		.result = call_result(pending, result),
		.fault = pending->head.fault,
		.never_sent = result == CURLE_COULDNT_CONNECT,
		.body = pending->answer_body->str,
		.size = pending->answer_body->len,
		.easy = transfer->easy,
	};

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &answer.status);
	pending->handler(&answer, pending->data);
	http_pending_call_free(pending);
}

const char *http_answer_header(const struct http_answer *answer, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(answer->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}

static void set_headers(struct http_pending_call *pending,
			const char *const *headers)
{
	/* The servers are daemons of comfreydock or the platform, which holds
	 * the store. They need no "Expect: 100-continue", which would delay
	 * the request body. */
	pending->headers = curl_slist_append(NULL, "Expect:");
	for (; headers && headers[0]; headers += 2) {
		char *line = g_strdup_printf("%s: %s", headers[0], headers[1]);

		pending->headers = curl_slist_append(pending->headers, line);
		g_free(line);
	}
	curl_easy_setopt(pending->transfer.easy, CURLOPT_HTTPHEADER,
			 pending->headers);
}

struct http_pending_call *http_client_call(struct http_client *client,
					   const struct http_call *call,
					   http_answer_handler handler,
					   void *data)
{
	struct http_pending_call *pending = g_new0(struct http_pending_call, 1);
	CURL *easy = curl_easy_init();

	pending->client = client;
	pending->transfer.easy = easy;
	pending->transfer.handle_done = handle_call_done;
	pending->transfer.data = pending;
	pending->transfer.send_once =
		call->send_once || (strcmp(call->method, "GET") != 0 &&
				    strcmp(call->method, "HEAD") != 0);
	pending->handler = handler;
	pending->handle_field = call->handle_field;
	pending->data = data;
	http_head_init(&pending->head);
	pending->answer_max_bytes = call->answer_max_bytes ?
					    call->answer_max_bytes :
					    HTTP_ANSWER_MAX_BYTES;
	pending->answer_body = g_string_new(NULL);
	pending->request_body = g_string_new(NULL);
	LIST_INSERT_HEAD(&client->pending, pending, link);
	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 call->timeout_ms ? call->timeout_ms :
					    DEFAULT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 call->connect_timeout_ms ? call->connect_timeout_ms :
						    DEFAULT_CONNECT_TIMEOUT_MS);
	if (call->own_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, call->stall_timeout_s);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, pending);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, pending);
	set_headers(pending, call->headers);
	if (call->body) {
		g_string_append_len(pending->request_body, call->body,
				    (gssize)call->size);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->size);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 pending->request_body->str);
	}
	http_client_add_transfer(client, &pending->transfer);
	return pending;
}

void http_client_cancel(struct http_pending_call *pending)
{
	http_client_remove_transfer(pending->client, &pending->transfer);
	http_pending_call_free(pending);
}
