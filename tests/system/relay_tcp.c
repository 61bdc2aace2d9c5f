#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "relay.h"

#define CHUNK_BYTES ((size_t)(16 * 1024))
#define MAX_QUEUED_BYTES ((size_t)(4 * 1024 * 1024))

struct chunk {
	TAILQ_ENTRY(chunk) link;
	int64_t due_us;
	size_t size; /* 0: end of the stream */
	size_t written;
	bool is_reset; /* the stream ended with an error */
	char data[CHUNK_BYTES];
};

/* One direction of a connection. */
struct flow {
	struct tcp_connection *connection;
	enum direction direction;
	ev_io readable; /* on the source socket */
	ev_io writable; /* on the destination socket */
	ev_timer due;
	TAILQ_HEAD(, chunk) chunks;
	size_t queued_bytes;
	bool has_read_end;
	bool has_forwarded_end;
};

struct tcp_connection {
	LIST_ENTRY(tcp_connection) link;
	struct relay *relay;
	int fds[DIRECTIONS]; /* the source socket of each direction */
	struct flow flows[DIRECTIONS];
	bool is_silent; /* forwards nothing any more, not even a close */
};

static void close_with_reset(int fd)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void flow_finish(struct flow *flow)
{
	struct ev_loop *loop = flow->connection->relay->loop;
	struct chunk *chunk;

	ev_io_stop(loop, &flow->readable);
	ev_io_stop(loop, &flow->writable);
	ev_timer_stop(loop, &flow->due);
	while ((chunk = TAILQ_FIRST(&flow->chunks))) {
		TAILQ_REMOVE(&flow->chunks, chunk, link);
		g_free(chunk);
	}
}

static void connection_reset(struct tcp_connection *connection)
{
	for (int i = 0; i < DIRECTIONS; i++)
		flow_finish(&connection->flows[i]);
	for (int i = 0; i < DIRECTIONS; i++)
		close_with_reset(connection->fds[i]);
	LIST_REMOVE(connection, link);
	g_free(connection);
}

static void chunk_done(struct flow *flow, struct chunk *chunk)
{
	TAILQ_REMOVE(&flow->chunks, chunk, link);
	flow->queued_bytes -= chunk->size;
	g_free(chunk);
	if (!flow->has_read_end && flow->queued_bytes <= MAX_QUEUED_BYTES)
		ev_io_start(flow->connection->relay->loop, &flow->readable);
}

/* RETURN VALUE: 1 if the whole chunk was written, 0 if the socket buffer is
 * full, -1 if the connection must be reset. */
static int chunk_write(struct flow *flow, struct chunk *chunk)
{
	while (chunk->written < chunk->size) {
		ssize_t size =
			send(flow->writable.fd, chunk->data + chunk->written,
			     chunk->size - chunk->written, MSG_NOSIGNAL);

		if (size < 0)
			return errno == EAGAIN || errno == ENOTCONN ? 0 : -1;
		chunk->written += (size_t)size;
		flow->connection->relay->bytes[flow->direction] += (uint64_t)size;
	}
	if (chunk->is_reset)
		return -1;
	if (chunk->size == 0) {
		shutdown(flow->writable.fd, SHUT_WR);
		flow->has_forwarded_end = true;
	}
	return 1;
}

static void wait_until_due(struct flow *flow, int64_t due_us)
{
	double wait_s = (double)(due_us - clock_mono_us()) / (double)US_PER_S;

	ev_timer_set(&flow->due, MAX(wait_s, 0.0), 0.0);
	ev_timer_start(flow->connection->relay->loop, &flow->due);
}

/* Forwards the chunks that are due. RETURN VALUE: false if this freed the
 * connection. */
static bool flow_flush(struct flow *flow)
{
	struct tcp_connection *connection = flow->connection;
	struct relay *relay = connection->relay;
	struct chunk *chunk;

	ev_io_stop(relay->loop, &flow->writable);
	ev_timer_stop(relay->loop, &flow->due);
	while (!connection->is_silent && !relay->hold[flow->direction] &&
	       (chunk = TAILQ_FIRST(&flow->chunks))) {
		int result;

		if (chunk->due_us > clock_mono_us()) {
			wait_until_due(flow, chunk->due_us);
			break;
		}
		result = chunk_write(flow, chunk);
		if (result == 0) {
			ev_io_start(relay->loop, &flow->writable);
			break;
		}
		if (result < 0) {
			connection_reset(connection);
			return false;
		}
		chunk_done(flow, chunk);
	}
	if (connection->flows[FORWARD].has_forwarded_end &&
	    connection->flows[BACKWARD].has_forwarded_end) {
		connection_reset(connection);
		return false;
	}
	return true;
}

static void handle_writable(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	flow_flush(io->data);
}

static void handle_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	flow_flush(timer->data);
}

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct flow *flow = io->data;
	struct relay *relay = flow->connection->relay;
	struct chunk *chunk = g_new0(struct chunk, 1);
	ssize_t size = recv(io->fd, chunk->data, sizeof(chunk->data), 0);

	(void)events;
	if (size < 0 && errno == EAGAIN) {
		g_free(chunk);
		return;
	}
	/* The end of the stream is queued as well: while the direction is held,
	 * the destination must not see it. */
	flow->has_read_end = size <= 0;
	chunk->is_reset = size < 0;
	chunk->size = (size_t)MAX(size, 0);
	chunk->due_us = clock_mono_us() + relay->delay_ms * US_PER_MS;
	flow->queued_bytes += chunk->size;
	TAILQ_INSERT_TAIL(&flow->chunks, chunk, link);
	if (flow->has_read_end || flow->queued_bytes > MAX_QUEUED_BYTES)
		ev_io_stop(loop, io);
	flow_flush(flow);
}

static void flow_start(struct tcp_connection *connection, enum direction direction)
{
	struct flow *flow = &connection->flows[direction];

	flow->connection = connection;
	flow->direction = direction;
	TAILQ_INIT(&flow->chunks);
	ev_io_init(&flow->readable, handle_readable, connection->fds[direction],
		   EV_READ);
	ev_io_init(&flow->writable, handle_writable,
		   connection->fds[DIRECTIONS - 1 - direction], EV_WRITE);
	ev_init(&flow->due, handle_due);
	flow->readable.data = flow;
	flow->writable.data = flow;
	flow->due.data = flow;
	ev_io_start(connection->relay->loop, &flow->readable);
}

/* With Nagle's algorithm the tail of each larger answer waits for a delayed
 * ACK, and the host behind the relay appears slow. */
static void disable_nagle(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void handle_accept(struct ev_loop *loop, ev_io *io, int events)
{
	struct relay *relay = io->data;
	struct tcp_connection *connection;
	int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	relay->connections++;
	target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (relay->cut || target < 0 ||
	    (connect(target, (struct sockaddr *)&relay->target,
		     sizeof(relay->target)) != 0 &&
	     errno != EINPROGRESS)) {
		close_with_reset(fd);
		if (target >= 0)
			close(target);
		return;
	}
	disable_nagle(fd);
	disable_nagle(target);
	connection = g_new0(struct tcp_connection, 1);
	connection->relay = relay;
	connection->fds[FORWARD] = fd;
	connection->fds[BACKWARD] = target;
	LIST_INSERT_HEAD(&relay->tcp, connection, link);
	flow_start(connection, FORWARD);
	flow_start(connection, BACKWARD);
}

void tcp_start(struct relay *relay, int listen_fd)
{
	LIST_INIT(&relay->tcp);
	listen(listen_fd, SOMAXCONN);
	ev_io_init(&relay->accept, handle_accept, listen_fd, EV_READ);
	relay->accept.data = relay;
	ev_io_start(relay->loop, &relay->accept);
}

void tcp_apply(struct relay *relay)
{
	struct tcp_connection *connection = LIST_FIRST(&relay->tcp);

	while (connection) {
		struct tcp_connection *next = LIST_NEXT(connection, link);

		if (relay->cut)
			connection_reset(connection);
		else if (flow_flush(&connection->flows[FORWARD]))
			flow_flush(&connection->flows[BACKWARD]);
		connection = next;
	}
}

void tcp_silence(struct relay *relay)
{
	struct tcp_connection *connection;

	LIST_FOREACH (connection, &relay->tcp, link)
		connection->is_silent = true;
}

void tcp_reset_silent(struct relay *relay)
{
	struct tcp_connection *connection = LIST_FIRST(&relay->tcp);

	while (connection) {
		struct tcp_connection *next = LIST_NEXT(connection, link);

		if (connection->is_silent)
			connection_reset(connection);
		connection = next;
	}
}

void tcp_finish(struct relay *relay)
{
	while (!LIST_EMPTY(&relay->tcp))
		connection_reset(LIST_FIRST(&relay->tcp));
	ev_io_stop(relay->loop, &relay->accept);
	close(relay->accept.fd);
}
