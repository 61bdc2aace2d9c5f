#include "scripted_upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESET_DELAY_S 0.0005
#define FLOOD_BLOCK_BYTES (64 * 1024)

static void upstream_reset(struct scripted_upstream *upstream)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(upstream->connection, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	ev_io_stop(upstream->loop, &upstream->readers[0]);
	close(upstream->connection);
}

static void handle_reset_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	upstream_reset(timer->data);
}

static void upstream_end(struct scripted_upstream *upstream)
{
	send(upstream->connection, *upstream->answers, upstream->answer_bytes,
	     MSG_NOSIGNAL);
	if (upstream->ending == ENDING_RESET_LATER) {
		ev_timer_init(&upstream->reset_timer, handle_reset_timer,
			      RESET_DELAY_S, 0.0);
		upstream->reset_timer.data = upstream;
		ev_timer_start(upstream->loop, &upstream->reset_timer);
	} else if (upstream->ending == ENDING_RESET) {
		upstream_reset(upstream);
	} else {
		ev_io_stop(upstream->loop, &upstream->readers[0]);
		close(upstream->connection);
	}
}

static void handle_flood_writable(struct ev_loop *loop, ev_io *io, int events)
{
	struct scripted_upstream *upstream = io->data;
	const GString *block = upstream->flood_block;
	size_t at = upstream->flooded % block->len;
	ssize_t sent = send(io->fd, block->str + at, block->len - at,
			    MSG_DONTWAIT | MSG_NOSIGNAL);

	(void)events;
	if (sent > 0)
		upstream->flooded += (size_t)sent;
	if (sent <= 0 ||
	    (upstream->flood_max && upstream->flooded >= upstream->flood_max)) {
		ev_io_stop(loop, io);
		shutdown(io->fd, SHUT_WR);
	}
}

static void upstream_start_flood(struct scripted_upstream *upstream, int fd)
{
	while (upstream->flood_block->len < FLOOD_BLOCK_BYTES)
		g_string_append(upstream->flood_block, upstream->flood);
	ev_io_init(&upstream->flood_writer, handle_flood_writable, fd, EV_WRITE);
	upstream->flood_writer.data = upstream;
	ev_io_start(upstream->loop, &upstream->flood_writer);
}

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct scripted_upstream *upstream = io->data;
	char buffer[4096];
	ssize_t got = recv(io->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)events;
	upstream->requests += got > 0;
	if (got > 0 && upstream->ending) {
		upstream_end(upstream);
		return;
	}
	if (got > 0 && upstream->awaited) {
		g_string_append_len(upstream->received, buffer, got);
		if (!strstr(upstream->received->str + upstream->answered,
			    upstream->awaited))
			return;
		upstream->answered = upstream->received->len;
	}
	if (upstream->requests == 2)
		send(upstream->readers[0].fd, upstream->late,
		     upstream->late_bytes, MSG_NOSIGNAL);
	if (got > 0 && *upstream->answers) {
		send(io->fd, *upstream->answers, strlen(*upstream->answers),
		     MSG_NOSIGNAL);
		upstream->answers++;
		if (upstream->flood && upstream->requests == 1)
			upstream_start_flood(upstream, io->fd);
		return;
	}
	ev_timer_stop(loop, &upstream->reset_timer);
	if (upstream->flood_writer.fd == io->fd)
		ev_io_stop(loop, &upstream->flood_writer);
	ev_io_stop(loop, io);
	close(io->fd);
	upstream->connection = -1;
}

static void handle_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	struct scripted_upstream *upstream = io->data;
	ev_io *reader = &upstream->readers[upstream->connections++];

	(void)events;
	g_assert_cmpuint(upstream->connections, <=, CONNECTIONS_MAX);
	upstream->connection = accept(io->fd, NULL, NULL);
	ev_io_init(reader, handle_readable, upstream->connection, EV_READ);
	reader->data = upstream;
	ev_io_start(loop, reader);
}

uint16_t scripted_upstream_start(struct scripted_upstream *upstream)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	upstream->connection = -1;
	upstream->received = g_string_new(NULL);
	upstream->flood_block = g_string_new(NULL);
	upstream->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
		bind(upstream->listener, (struct sockaddr *)&address, size), ==,
		0);
	g_assert_cmpint(listen(upstream->listener, 8), ==, 0);
	getsockname(upstream->listener, (struct sockaddr *)&address, &size);
	ev_io_init(&upstream->acceptor, handle_acceptable, upstream->listener,
		   EV_READ);
	upstream->acceptor.data = upstream;
	ev_io_start(upstream->loop, &upstream->acceptor);
	return ntohs(address.sin_port);
}

void scripted_upstream_stop_listening(struct scripted_upstream *upstream)
{
	if (!ev_is_active(&upstream->acceptor))
		return;
	ev_io_stop(upstream->loop, &upstream->acceptor);
	close(upstream->listener);
}

void scripted_upstream_stop(struct scripted_upstream *upstream)
{
	scripted_upstream_stop_listening(upstream);
	ev_timer_stop(upstream->loop, &upstream->reset_timer);
	ev_io_stop(upstream->loop, &upstream->flood_writer);
	for (unsigned int i = 0; i < upstream->connections; i++) {
		ev_io *reader = &upstream->readers[i];

		if (ev_is_active(reader))
			close(reader->fd);
		ev_io_stop(upstream->loop, reader);
	}
	g_string_free(upstream->received, TRUE);
	g_string_free(upstream->flood_block, TRUE);
}
