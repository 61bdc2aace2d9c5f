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

/* Limit of the bytes that are written but not yet taken by the kernel. */
#define OUTPUT_BUFFER_MAX (64 * 1024)
/* An empty buffer that once held more than this is freed. */
#define IDLE_BUFFER_MAX (4 * 1024)
/* The event loop does not report a hang-up behind unread bytes, so a timer
 * polls for it. */
#define HANGUP_POLL_S 0.25
/*
 * A connection that receives and sends nothing for this time is closed, unless
 * it only waits for answers. It is either idle, or its caller does not read an
 * answer or does not send the rest of a body. Longer than any pause of a live
 * caller.
 */
#define IDLE_TIMEOUT_US (60 * US_PER_S)
/* From the first byte of a head to its last. Without this limit, a head that
 * grows by one byte a second would hold its connection forever. */
#define HEAD_TIMEOUT_US (60 * US_PER_S)
/*
 * After the last answer, bytes that still arrive are read and dropped. Unread
 * bytes would make the kernel reset the connection, and the answer would be
 * lost with it. This lasts until the caller's kernel has the answer.
 */
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

/* A buffer keeps the largest allocation it ever had, 128 KiB after a large
 * answer. 500 idle callers that once received one would hold 64 MB. */
static void buffer_trim(GByteArray **buffer, guint *peak)
{
	if ((*buffer)->len > 0 || *peak <= IDLE_BUFFER_MAX)
		return;
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
	*peak = 0;
}

/* Input. */

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
	/*
	 * Counts a request whose caller hung up before this daemon read it,
	 * for example during a pause of the daemon. The caller may have sent
	 * it elsewhere since, so it is not begun.
	 */
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
	connection->active_us = clock_mono_us();
	if (count == 0)
		return false;
	g_byte_array_append(connection->in, bytes, (guint)count);
	arrivals_add(&connection->arrivals, (size_t)count, connection->active_us);
	return true;
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

/* Output. */

/* RETURN VALUE: whether the answer closes the connection. Requests behind such
 * an answer are cancelled, so it must be the answer to the last request. */
static bool connection_closes_after(const struct connection *connection,
				    const struct caller_request *request)
{
	if (!request->keeps_alive || !request->body_done)
		return true;
	return connection->listener->announces_close &&
	       TAILQ_NEXT(request, link) == NULL;
}

/* Called when no answer is left in front of this request's, so that its owner
 * may send the answer with the full window. */
static void request_note_turn(struct caller_request *request)
{
	if (!request->runs_ahead)
		return;
	request_end_ahead(request);
	if (request->call)
		call_open_answer_window(request->call);
}

/*
 * Whether a close of the socket is a reset, whoever closes it: also the kernel,
 * when the process ends. A caller takes a normal close for the end of an answer
 * without a length; a reset is an error to it.
 */
static void connection_set_resets(struct connection *connection, bool resets)
{
	struct linger linger = {.l_onoff = resets};

	if (connection->resets == resets)
		return;
	connection->resets = resets;
	setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

/* RETURN VALUE: false if the connection ends after what was written. */
static bool connection_write_answers(struct connection *connection)
{
	struct caller_request *request;
	enum request_progress progress;
	bool closes;

	while ((request = TAILQ_FIRST(&connection->requests))) {
		request_note_turn(request);
		progress = request_write(
			request, connection->out, OUTPUT_BUFFER_MAX,
			connection_closes_after(connection, request));
		if (request->framing == RESPONSE_UNTIL_CLOSE)
			connection_set_resets(connection, true);
		connection->input_ended |= request->closes;
		connection->output_full = progress == REQUEST_FULL;
		if (progress == REQUEST_WAITS || progress == REQUEST_FULL)
			return true;
		closes = request->closes || progress == REQUEST_BROKEN;
		connection->is_cut =
			progress == REQUEST_BROKEN && connection->resets;
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

/* Called once the kernel has taken the last byte. */
static void connection_end_output(struct connection *connection)
{
	connection_set_resets(connection, false);
	shutdown(connection->fd, SHUT_WR);
	timer_restart_us(connection_loop(connection), &connection->idle,
			 LINGER_TIMEOUT_US);
}

/* Removes all requests and drops all further input. Sends only what is already
 * in the output buffer. */
static void connection_start_linger(struct connection *connection)
{
	connection_remove_all_requests(connection);
	connection->lingers = true;
	g_byte_array_set_size(connection->in, 0);
	arrivals_clear(&connection->arrivals);
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
 * Writes the answers whose turn has come. connection_wake() feeds one event for
 * everything that arrives in one loop iteration, so that the head and the body
 * of a short answer leave in one packet.
 */
static void handle_write(struct ev_loop *loop, ev_io *io, int events)
{
	struct connection *connection = io->data;
	bool stays_open = true;

	(void)loop;
	(void)events;
	if (!connection->lingers)
		stays_open = connection_write_answers(connection);
	if (!connection_send(connection)) {
		connection_destroy(connection);
		return;
	}
	if (!stays_open && connection->is_cut) {
		connection_destroy(connection);
		return;
	}
	if (!stays_open)
		connection_start_linger(connection);
	else if (connection->lingers && connection->out->len == 0)
		connection_end_output(connection);
	connection_update_write_event(connection);
	/* Stopping the watcher also drops a wake, and a request that is refused
	 * as it is parsed wakes the connection. So parsing comes last. */
	if (!connection->lingers)
		connection_parse(connection);
	connection_update_read_event(connection);
}

/* Timeouts. */

static int64_t connection_timeout_at_us(const struct connection *connection)
{
	if (connection->lingers && connection->out->len == 0 &&
	    connection_unacknowledged(connection) == 0)
		return 0;
	if (connection->head_since_us)
		return connection->head_since_us + HEAD_TIMEOUT_US;
	if (connection->unanswered > 0 && connection->out->len == 0 &&
	    !connection->in_body)
		return clock_mono_us() +
		       IDLE_TIMEOUT_US; /* its calls have deadlines */
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
	if (connection->lingers)
		left_us = MIN(left_us, LINGER_TIMEOUT_US);
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
	/* Counts a connection that ended before a request line was read. */
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
