#include "comfreydockd/caller/connection_internal.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/caller/call.h"
#include "comfreydockd/caller/listener.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/timer.h"

/* What is written but not yet taken by the kernel. */
#define OUTPUT_BUFFER_MAX (64 * 1024)
/* An empty buffer that was larger is given back. */
#define IDLE_BUFFER_MAX (4 * 1024)
/* The kernel shows a hang-up behind unread bytes only to those who ask. */
#define HANGUP_POLL_S 0.25
/* A caller that neither sends, though it should, nor reads; more than any pause
 * of a live one. */
#define IDLE_TIMEOUT_US (60 * US_PER_S)
/* From a head's first byte to its last: one that grows by a byte a second
 * would hold its connection for ever. */
#define HEAD_TIMEOUT_US (60 * US_PER_S)
/* After the last answer: what is still on its way is read and dropped, as bytes
 * that nobody reads make the kernel reset the connection, and the answer is lost
 * with it. */
#define LINGER_TIMEOUT_US (2 * US_PER_S)
#define LINGER_BYTES_MAX (16 * 1024 * 1024)

const struct headers *connection_headers(const struct connection *connection)
{
	return connection->listener->daemon->headers;
}

static struct ev_loop *connection_loop(const struct connection *connection)
{
	return connection->listener->daemon->loop;
}

void connection_wake(struct connection *connection)
{
	ev_feed_event(connection_loop(connection), &connection->write, EV_WRITE);
}

static bool connection_is_hung_up(const struct connection *connection)
{
	struct pollfd poller = {
		.fd = connection->fd,
		.events = POLLRDHUP,
	};

	return poll(&poller, 1, 0) > 0;
}

/* A buffer keeps the room of the most it ever held, 128 KiB behind a large answer:
 * 500 callers who once took one would hold 64 MB while they are idle. */
static void buffer_trim(GByteArray **buffer, guint *most)
{
	if ((*buffer)->len > 0 || *most <= IDLE_BUFFER_MAX)
		return;
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
	*most = 0;
}

/* Reading from the kernel. */

static void connection_update_read_event(struct connection *connection)
{
	struct ev_loop *loop = connection_loop(connection);

	if (connection_wants_input(connection)) {
		ev_io_start(loop, &connection->read);
		ev_timer_stop(loop, &connection->hangup_poll);
		return;
	}
	ev_io_stop(loop, &connection->read);
	if (!ev_is_active(&connection->hangup_poll))
		ev_timer_again(loop, &connection->hangup_poll);
}

static void connection_handle_hangup(struct connection *connection)
{
	/* Read after a pause of this daemon: nobody waits for it any more, and
	 * it may have been sent elsewhere since. */
	if (connection->unanswered == 0 && connection->in->len > 0)
		counters.caller_gone++;
	connection_destroy(connection);
}

/* RETURN VALUE: false if the connection is gone. */
static bool connection_fill_input(struct connection *connection)
{
	uint8_t bytes[READ_BYTES];
	ssize_t count = recv(connection->fd, bytes, sizeof(bytes), 0);

	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	g_byte_array_append(connection->in, bytes, (guint)count);
	connection->active_us = clock_mono_us();
	return count > 0;
}

static void connection_drop_input(struct connection *connection)
{
	char bytes[READ_BYTES];
	ssize_t count = recv(connection->fd, bytes, sizeof(bytes), 0);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	connection->lingered_bytes += (size_t)MAX(count, 0);
	if (count <= 0 || connection->lingered_bytes > LINGER_BYTES_MAX)
		connection_destroy(connection);
}

static void handle_read(struct ev_loop *loop, ev_io *io, int events)
{
	struct connection *connection = io->data;

	(void)loop;
	(void)events;
	if (connection->lingers) {
		connection_drop_input(connection);
		return;
	}
	if (!connection_fill_input(connection) ||
	    connection_is_hung_up(connection)) {
		connection_handle_hangup(connection);
		return;
	}
	connection->in_peak = MAX(connection->in_peak, connection->in->len);
	connection_parse(connection);
	buffer_trim(&connection->in, &connection->in_peak);
	connection_update_read_event(connection);
}

static void handle_hangup_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct connection *connection = timer->data;

	(void)loop;
	(void)events;
	if (connection_is_hung_up(connection))
		connection_destroy(connection);
}

/* Answers. */

/* Nothing may stand behind an answer that closes the connection but what was
 * not begun. */
static bool connection_closes_after(const struct connection *connection,
				    const struct caller_request *request)
{
	if (!request->keeps_alive || !request->body_done)
		return true;
	return connection->listener->announces_close &&
	       TAILQ_NEXT(request, link) == NULL;
}

static void connection_open_window(struct caller_request *request)
{
	if (!request->is_ahead)
		return;
	connection_end_ahead(request);
	if (request->call)
		call_open_window(request->call);
}

/* RETURN VALUE: whether the connection goes on. */
static bool connection_write_answers(struct connection *connection)
{
	struct caller_request *request;
	enum request_progress progress;
	bool closes;

	while ((request = TAILQ_FIRST(&connection->requests))) {
		connection_open_window(request);
		progress = request_write(
			request, connection->out, OUTPUT_BUFFER_MAX,
			connection_closes_after(connection, request));
		connection->output_full = progress == REQUEST_FULL;
		if (progress == REQUEST_WAITS || progress == REQUEST_FULL)
			return true;
		closes = request->closes || progress == REQUEST_BROKEN;
		connection->must_reset = progress == REQUEST_BROKEN &&
					 request->framing == RESPONSE_UNTIL_CLOSE;
		connection_remove_request(connection, request);
		if (closes)
			return false;
	}
	return true;
}

/* RETURN VALUE: false if the connection is gone. */
static bool connection_send(struct connection *connection)
{
	GByteArray *out = connection->out;
	ssize_t count;

	if (out->len == 0)
		return true;
	connection->out_peak = MAX(connection->out_peak, out->len);
	count = send(connection->fd, out->data, out->len, MSG_NOSIGNAL);
	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	g_byte_array_remove_range(out, 0, (guint)count);
	buffer_trim(&connection->out, &connection->out_peak);
	connection->active_us = clock_mono_us();
	return true;
}

/* The last byte was given to the kernel. */
static void connection_end_output(struct connection *connection)
{
	shutdown(connection->fd, SHUT_WR);
	timer_restart_us(connection_loop(connection), &connection->idle,
			 LINGER_TIMEOUT_US);
}

/* The caller of an answer that ends with the connection takes an end for the
 * answer's own; only a reset tells it that there was more. */
static void connection_reset(struct connection *connection)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	connection_destroy(connection);
}

/* Nothing more is sent but what was written already. */
static void connection_start_linger(struct connection *connection)
{
	connection_remove_all_requests(connection);
	connection->lingers = true;
	g_byte_array_set_size(connection->in, 0);
	if (connection->out->len == 0)
		connection_end_output(connection);
}

static void connection_update_write_event(struct connection *connection)
{
	struct ev_loop *loop = connection_loop(connection);

	if (connection->out->len > 0 || connection->output_full)
		ev_io_start(loop, &connection->write);
	else
		ev_io_stop(loop, &connection->write);
}

/*
 * Writes what may be written. Fed once for all that came in one turn, so that
 * the head and the body of a short answer leave in one packet.
 */
static void handle_write(struct ev_loop *loop, ev_io *io, int events)
{
	struct connection *connection = io->data;
	bool goes_on = true;

	(void)loop;
	(void)events;
	if (!connection->lingers)
		goes_on = connection_write_answers(connection);
	if (!connection_send(connection)) {
		connection_destroy(connection);
		return;
	}
	if (!goes_on && connection->must_reset) {
		connection_reset(connection);
		return;
	}
	if (!goes_on)
		connection_start_linger(connection);
	else if (connection->lingers && connection->out->len == 0)
		connection_end_output(connection);
	else if (!connection->lingers)
		connection_parse(connection);
	connection_update_read_event(connection);
	connection_update_write_event(connection);
}

/* Its end in time. */

static int64_t connection_timeout_at_us(const struct connection *connection)
{
	if (connection->lingers && connection->out->len == 0)
		return 0;
	if (connection->head_since_us)
		return connection->head_since_us + HEAD_TIMEOUT_US;
	if (connection->unanswered > 0 && connection->out->len == 0 &&
	    !connection->in_body)
		return clock_mono_us() +
		       IDLE_TIMEOUT_US; /* its calls have a deadline */
	return connection->active_us + IDLE_TIMEOUT_US;
}

static void handle_idle(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct connection *connection = timer->data;
	int64_t left_us = connection_timeout_at_us(connection) - clock_mono_us();

	(void)events;
	if (left_us <= 0) {
		connection_destroy(connection);
		return;
	}
	timer_restart_us(loop, timer, left_us);
}

struct connection *connection_create(struct listener *listener, int fd,
				     const char *address, bool is_surplus)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->listener = listener;
	connection->fd = fd;
	connection->is_surplus = is_surplus;
	connection->active_us = clock_mono_us();
	g_strlcpy(connection->address, address, sizeof(connection->address));
	reader_init(&connection->reader,
		    listener->daemon->settings->max_head_bytes);
	connection->in = g_byte_array_new();
	connection->out = g_byte_array_new();
	TAILQ_INIT(&connection->requests);
	ev_io_init(&connection->read, handle_read, fd, EV_READ);
	ev_io_init(&connection->write, handle_write, fd, EV_WRITE);
	ev_timer_init(&connection->hangup_poll, handle_hangup_poll, 0.0,
		      HANGUP_POLL_S);
	ev_timer_init(&connection->idle, handle_idle,
		      (double)IDLE_TIMEOUT_US / US_PER_S, 0.0);
	connection->read.data = connection;
	connection->write.data = connection;
	connection->hangup_poll.data = connection;
	connection->idle.data = connection;
	ev_io_start(listener->daemon->loop, &connection->read);
	ev_timer_start(listener->daemon->loop, &connection->idle);
	LIST_INSERT_HEAD(&listener->connections, connection, link);
	listener->count++;
	return connection;
}

void connection_destroy(struct connection *connection)
{
	struct ev_loop *loop = connection_loop(connection);

	connection_remove_all_requests(connection);
	/* Not even a request line could be read where none has begun. */
	counters.caller_empty_connections += !connection->has_request;
	ev_io_stop(loop, &connection->read);
	ev_io_stop(loop, &connection->write);
	ev_timer_stop(loop, &connection->hangup_poll);
	ev_timer_stop(loop, &connection->idle);
	close(connection->fd);
	reader_finish(&connection->reader);
	g_byte_array_unref(connection->in);
	g_byte_array_unref(connection->out);
	LIST_REMOVE(connection, link);
	connection->listener->count--;
	listener_note_closed(connection->listener);
	g_free(connection);
}
