#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay.h"

#define MAX_DATAGRAM_BYTES 65536

/* One sender, with a separate socket to the target. */
struct udp_session {
	LIST_ENTRY(udp_session) link;
	struct relay *relay;
	struct sockaddr_in sender;
	ev_io answers;
};

struct datagram {
	LIST_ENTRY(datagram) link;
	struct udp_session *session;
	enum direction direction;
	ev_timer due;
	size_t size;
	char data[];
};

static void forward_datagram(struct udp_session *session,
			     enum direction direction, const char *data,
			     size_t size)
{
	struct relay *relay = session->relay;

	relay->datagrams[direction]++;
	if (direction == FORWARD)
		send(session->answers.fd, data, size, 0);
	else
		sendto(relay->receive.fd, data, size, 0,
		       (struct sockaddr *)&session->sender,
		       sizeof(session->sender));
}

static void handle_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct datagram *datagram = timer->data;

	(void)loop;
	(void)events;
	forward_datagram(datagram->session, datagram->direction, datagram->data,
			 datagram->size);
	LIST_REMOVE(datagram, link);
	g_free(datagram);
}

static bool is_lost(const struct udp_session *session, enum direction direction)
{
	const struct relay *relay = session->relay;
	uint16_t port = ntohs(session->sender.sin_port);

	for (guint i = 0; i < relay->lose_from->len; i++) {
		if (g_array_index(relay->lose_from, uint16_t, i) == port)
			return true;
	}
	return relay->cut || relay->hold[direction] ||
	       g_rand_double(relay->random) < relay->lose_share;
}

static void receive_datagram(struct udp_session *session,
			     enum direction direction, const char *data,
			     size_t size)
{
	struct relay *relay = session->relay;
	struct datagram *datagram;

	if (is_lost(session, direction))
		return;
	if (relay->delay_ms == 0) {
		forward_datagram(session, direction, data, size);
		return;
	}
	datagram = g_malloc0(sizeof(*datagram) + size);
	datagram->session = session;
	datagram->direction = direction;
	datagram->size = size;
	memcpy(datagram->data, data, size);
	ev_timer_init(&datagram->due, handle_due,
		      (double)relay->delay_ms / 1000.0, 0.0);
	datagram->due.data = datagram;
	LIST_INSERT_HEAD(&relay->in_flight, datagram, link);
	ev_timer_start(relay->loop, &datagram->due);
}

static void handle_answer(struct ev_loop *loop, ev_io *io, int events)
{
	char data[MAX_DATAGRAM_BYTES];
	ssize_t size = recv(io->fd, data, sizeof(data), 0);

	(void)loop;
	(void)events;
	if (size >= 0)
		receive_datagram(io->data, BACKWARD, data, (size_t)size);
}

static struct udp_session *find_session(struct relay *relay,
					const struct sockaddr_in *sender)
{
	struct udp_session *session;
	int fd;

	LIST_FOREACH (session, &relay->udp, link) {
		if (session->sender.sin_port == sender->sin_port &&
		    session->sender.sin_addr.s_addr == sender->sin_addr.s_addr)
			return session;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&relay->target,
		    sizeof(relay->target)) != 0) {
		close(fd);
		return NULL;
	}
	session = g_new0(struct udp_session, 1);
	session->relay = relay;
	session->sender = *sender;
	ev_io_init(&session->answers, handle_answer, fd, EV_READ);
	session->answers.data = session;
	ev_io_start(relay->loop, &session->answers);
	LIST_INSERT_HEAD(&relay->udp, session, link);
	return session;
}

static void handle_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	struct relay *relay = io->data;
	struct sockaddr_in sender = {0};
	socklen_t length = sizeof(sender);
	char data[MAX_DATAGRAM_BYTES];
	struct udp_session *session;
	ssize_t size = recvfrom(io->fd, data, sizeof(data), 0,
				(struct sockaddr *)&sender, &length);

	(void)loop;
	(void)events;
	if (size < 0)
		return;
	session = find_session(relay, &sender);
	if (session)
		receive_datagram(session, FORWARD, data, (size_t)size);
}

void udp_start(struct relay *relay, int fd)
{
	LIST_INIT(&relay->udp);
	LIST_INIT(&relay->in_flight);
	ev_io_init(&relay->receive, handle_datagram, fd, EV_READ);
	relay->receive.data = relay;
	ev_io_start(relay->loop, &relay->receive);
}

void udp_finish(struct relay *relay)
{
	struct datagram *datagram;
	struct udp_session *session;

	while ((datagram = LIST_FIRST(&relay->in_flight))) {
		ev_timer_stop(relay->loop, &datagram->due);
		LIST_REMOVE(datagram, link);
		g_free(datagram);
	}
	while ((session = LIST_FIRST(&relay->udp))) {
		ev_io_stop(relay->loop, &session->answers);
		close(session->answers.fd);
		LIST_REMOVE(session, link);
		g_free(session);
	}
	ev_io_stop(relay->loop, &relay->receive);
	close(relay->receive.fd);
}
