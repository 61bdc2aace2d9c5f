#include "comfreydockd/caller/listener.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/caller/connection.h"
#include "comfreydockd/settings.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/socket.h"

/* Connections accepted beyond the limit, so that they can be refused. */
#define SURPLUS_CONNECTIONS_MAX 1024
/* Per loop iteration, so that open connections are served in between. */
#define ACCEPTS_PER_TURN 64
/* While the process is out of descriptors, the port stays readable. Retried at
 * once, accept() would keep the loop from doing anything else. */
#define ACCEPT_RETRY_S 0.1

static bool listener_has_room(const struct listener *listener)
{
	return listener->count < listener->daemon->settings->max_connections +
					 SURPLUS_CONNECTIONS_MAX;
}

static void listener_add_connection(struct listener *listener, int fd,
				    const struct sockaddr *from)
{
	uint32_t limit = listener->daemon->settings->max_connections;
	char address[ADDRESS_TEXT_SIZE] = "";

	socket_set_options(fd, SOCKET_CALLER_STALL_MS);
	address_to_text(from, address);
	connection_create(listener, fd, address, listener->count >= limit);
}

/* RETURN VALUE: whether a connection was accepted. */
static bool listener_accept(struct listener *listener)
{
	struct sockaddr_storage from;
	socklen_t size = sizeof(from);
	int fd = accept4(listener->fd, (struct sockaddr *)&from, &size,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return false;
	listener_add_connection(listener, fd, (struct sockaddr *)&from);
	return true;
}

static bool is_resource_exhausted(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	       error == ENOMEM;
}

static void listener_pause(struct listener *listener)
{
	struct ev_loop *loop = listener->daemon->loop;

	log_event(EV_CALLER_PORT_PAUSED, LOG_STR("error", strerror(errno)),
		  LOG_INT("connections", listener->count));
	ev_io_stop(loop, &listener->accepts);
	ev_timer_set(&listener->accept_retry, ACCEPT_RETRY_S, 0.0);
	ev_timer_start(loop, &listener->accept_retry);
}

static void handle_accepts(struct ev_loop *loop, ev_io *io, int events)
{
	struct listener *listener = io->data;

	(void)events;
	for (int i = 0; i < ACCEPTS_PER_TURN; i++) {
		if (!listener_has_room(listener)) {
			ev_io_stop(loop, io);
			return;
		}
		if (listener_accept(listener))
			continue;
		if (is_resource_exhausted(errno))
			listener_pause(listener);
		return;
	}
}

static void handle_accept_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct listener *listener = timer->data;

	(void)events;
	if (listener->fd >= 0)
		ev_io_start(loop, &listener->accepts);
}

void listener_note_closed(struct listener *listener)
{
	if (listener->fd >= 0 && !ev_is_active(&listener->accept_retry))
		ev_io_start(listener->daemon->loop, &listener->accepts);
}

struct listener *listener_create(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct listener *listener = g_new0(struct listener, 1);

	listener->daemon = daemon;
	LIST_INIT(&listener->connections);
	listener->fd = socket_listen(settings->caller.address,
				     settings->caller.port, &listener->port);
	if (listener->fd < 0) {
		g_free(listener);
		return NULL;
	}
	ev_io_init(&listener->accepts, handle_accepts, listener->fd, EV_READ);
	ev_init(&listener->accept_retry, handle_accept_retry);
	listener->accepts.data = listener;
	listener->accept_retry.data = listener;
	ev_io_start(daemon->loop, &listener->accepts);
	return listener;
}

static void listener_close_port(struct listener *listener)
{
	struct ev_loop *loop = listener->daemon->loop;

	ev_io_stop(loop, &listener->accepts);
	ev_timer_stop(loop, &listener->accept_retry);
	if (listener->fd >= 0)
		close(listener->fd);
	listener->fd = -1;
}

void listener_destroy(struct listener *listener)
{
	struct connection *connection;

	if (!listener)
		return;
	listener_close_port(listener);
	while ((connection = LIST_FIRST(&listener->connections)))
		connection_destroy(connection);
	g_free(listener);
}

uint16_t listener_port(const struct listener *listener)
{
	return listener->port;
}

void listener_announce_close(struct listener *listener)
{
	listener->announces_close = true;
}

void listener_turn_away(struct listener *listener)
{
	listener->turns_away = true;
}

void listener_quiesce(struct listener *listener)
{
	if (listener->fd < 0)
		return;
	/* Accepts the connections that the kernel has queued: closing the port
	 * would reset them. */
	while (listener_accept(listener))
		;
	listener_close_port(listener);
}
