#include "comfreydockd/peer/peers.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/peer/peers_internal.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/domain_traffic.h"
#include "common/log.h"
#include "common/socket.h"

#define SWEEP_S 1.0

/* RETURN VALUE: false if no handler is set for frames of this kind. */
static bool peer_call_frame_handler(struct peer *peer, const Cfd__Frame *frame)
{
	const struct peers_handler *handler =
		&peer->peers->handlers[frame->kind_case % PEERS_KINDS];

	if (!handler->handle)
		return false;
	handler->handle(peer, frame, handler->data);
	return true;
}

static void handle_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	struct peer *peer = data;

	(void)link;
	peer->last_used_us = clock_mono_us();
	peer->last_heard_us = peer->last_used_us;
	if (peer->state == PEER_READY &&
	    frame->kind_case != CFD__FRAME__KIND_HELLO) {
		if (!peer_call_frame_handler(peer, frame))
			peer->role->handle_frame(peer, frame, peer->role->data);
		return;
	}
	if (peer->state == PEER_HANDSHAKING &&
	    frame->kind_case == CFD__FRAME__KIND_HELLO) {
		peer_handle_hello(peer, frame->hello);
		return;
	}
	peer_refuse(peer, "unexpected frame");
}

/* From now on peers_connect() opens another connection to the host. */
static void peer_forget_outgoing(struct peer *peer)
{
	GHashTable *outgoing = peer->peers->outgoing;

	if (peer->outgoing && g_hash_table_lookup(outgoing, peer->host) == peer)
		g_hash_table_remove(outgoing, peer->host);
}

static void peer_free(struct peer *peer)
{
	struct peers *peers = peer->peers;

	ev_timer_stop(peers->daemon->loop, &peer->timeout);
	peer_forget_outgoing(peer);
	LIST_REMOVE(peer, link_all);
	peers->count--;
	link_destroy(peer->link);
	g_ptr_array_unref(peer->held);
	g_free(peer);
}

static void handle_closed(struct link *link, const char *error, void *data)
{
	struct peer *peer = data;

	(void)link;
	counters.peer_links_lost++;
	log_event(EV_PEER_LOST, LOG_STR("host", peer->host),
		  LOG_STR("side", peer->outgoing ? "entry" : "owner"),
		  LOG_STR("why", error));
	/* The handler may open a new connection to the same host. */
	peer_forget_outgoing(peer);
	peer->role->handle_lost(peer, error, peer->role->data);
	peer_free(peer);
}

static void handle_handshake_timeout(struct ev_loop *loop, ev_timer *timer,
				     int events)
{
	struct peer *peer = timer->data;

	(void)loop;
	(void)events;
	link_fail(peer->link, "handshake timed out");
}

static struct peer *peer_new(struct peers *peers, bool outgoing)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->peers = peers;
	peer->outgoing = outgoing;
	peer->role = outgoing ? &peers->entry : &peers->owner;
	peer->held = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	peer->created_us = clock_mono_us();
	peer->last_used_us = peer->created_us;
	handshake_make_nonce(peer->our_nonce);
	ev_timer_init(&peer->timeout, handle_handshake_timeout,
		      PEERS_CONNECT_TIMEOUT_S, 0.0);
	peer->timeout.data = peer;
	LIST_INSERT_HEAD(&peers->all, peer, link_all);
	peers->count++;
	return peer;
}

static void handle_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	struct peers *peers = io->data;
	struct link_callbacks callbacks = {
		.handle_frame = handle_frame,
		.handle_closed = handle_closed,
	};
	int fd;

	(void)events;
	while ((fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
	       0) {
		struct peer *peer = peer_new(peers, false);

		socket_set_options(fd, SOCKET_LINK_STALL_MS);
		counters.peer_links_accepted++;
		callbacks.data = peer;
		peer->link = link_create(&peers->links, fd, &callbacks);
		ev_timer_start(loop, &peer->timeout);
	}
}

/*
 * A long job sends no frame for minutes. If its connection counted as idle, it
 * would be closed after one minute, and the caller would get an unknown outcome
 * long before its deadline.
 */
static bool peer_is_idle(const struct peer *peer, int64_t now_us)
{
	if (peer->is_replaced && peer->uses == 0)
		return true;
	return peer->outgoing && peer->state == PEER_READY && peer->uses == 0 &&
	       now_us - peer->last_used_us > PEERS_IDLE_US;
}

/*
 * Gossip may be wrong: a host whose UDP packets are lost, or whose daemon was
 * starved for seconds, is declared dead although it still answers. If that
 * alone closed its connection, every booking in flight would end as "unknown".
 * Frames on the connection are better evidence, so it is kept while they
 * arrive.
 */
static bool peer_is_dead(const struct peer *peer, int64_t now_us)
{
	const struct member *member;

	if (!peer->outgoing || now_us - peer->last_heard_us < PEERS_SILENT_US)
		return false;
	member = member_table_find(peer->peers->daemon->members, peer->host);
	return !member || member->state == MEMBER_DEAD;
}

static void handle_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct peers *peers = timer->data;
	int64_t now = clock_mono_us();
	struct peer *peer;

	(void)loop;
	(void)events;
	LIST_FOREACH (peer, &peers->all, link_all) {
		if (peer_is_idle(peer, now))
			link_fail(peer->link, "idle");
		else if (peer_is_dead(peer, now))
			link_fail(peer->link, "host is dead");
	}
}

struct peers *peers_create(struct daemon *daemon)
{
	struct peers *peers;
	uint16_t port = 0;
	int fd = socket_listen_udp_free(daemon->settings->peer.address,
					daemon->settings->peer.port, &port);

	if (fd < 0)
		return NULL;
	peers = g_new0(struct peers, 1);
	peers->daemon = daemon;
	peers->fd = fd;
	peers->port = port;
	peers->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
	LIST_INIT(&peers->all);
	peers_init_ping(peers);
	link_group_init(&peers->links, daemon->loop);
	ev_io_init(&peers->acceptor, handle_acceptable, fd, EV_READ);
	ev_timer_init(&peers->sweep, handle_sweep, SWEEP_S, SWEEP_S);
	peers->acceptor.data = peers;
	peers->sweep.data = peers;
	ev_io_start(daemon->loop, &peers->acceptor);
	ev_timer_start(daemon->loop, &peers->sweep);
	return peers;
}

void peers_destroy(struct peers *peers)
{
	struct peer *peer;

	if (!peers)
		return;
	ev_io_stop(peers->daemon->loop, &peers->acceptor);
	ev_timer_stop(peers->daemon->loop, &peers->sweep);
	while ((peer = LIST_FIRST(&peers->all))) {
		if (peer->role->handle_lost)
			peer->role->handle_lost(peer, "stopping",
						peer->role->data);
		peer_free(peer);
	}
	link_group_finish(&peers->links);
	g_hash_table_unref(peers->outgoing);
	close(peers->fd);
	g_free(peers);
}

void peers_set_entry_role(struct peers *peers, const struct peers_role *role)
{
	peers->entry = *role;
}

void peers_set_owner_role(struct peers *peers, const struct peers_role *role)
{
	peers->owner = *role;
}

void peers_set_frame_handler(struct peers *peers, Cfd__Frame__KindCase kind,
			     void (*handle)(struct peer *peer,
					    const Cfd__Frame *frame, void *data),
			     void *data)
{
	peers->handlers[kind].handle = handle;
	peers->handlers[kind].data = data;
}

uint16_t peers_port(const struct peers *peers)
{
	return peers->port;
}

static void connect_to_self(struct peers *peers, struct peer *peer)
{
	struct peer *owner = peer_new(peers, false);
	struct link_callbacks ours = {handle_frame, handle_closed, peer};
	struct link_callbacks theirs = {handle_frame, handle_closed, owner};
	struct link *ends[2];

	link_create_pair(&peers->links, ends, &ours, &theirs);
	peer->link = ends[0];
	owner->link = ends[1];
	g_strlcpy(owner->host, peer->host, sizeof(owner->host));
	peer->incarnation = peers->daemon->incarnation;
	owner->incarnation = peers->daemon->incarnation;
	peer->state = PEER_READY;
	owner->state = PEER_READY;
}

static void connect_to_member(struct peers *peers, struct peer *peer,
			      const struct member *member)
{
	struct link_callbacks callbacks = {handle_frame, handle_closed, peer};
	int fd = socket_connect(member->address, member->peer_port);
	int error = errno;

	peer->link = link_create(&peers->links, fd, &callbacks);
	counters.peer_links_opened++;
	if (fd < 0) {
		link_fail(peer->link, g_strerror(error));
		return;
	}
	ev_timer_start(peers->daemon->loop, &peer->timeout);
	peer_send_hello(peer, false);
}

struct peer *peers_connect(struct peers *peers, const struct member *member)
{
	struct peer *peer = g_hash_table_lookup(peers->outgoing, member->host);

	if (peer)
		return peer;
	peer = peer_new(peers, true);
	g_strlcpy(peer->host, member->host, sizeof(peer->host));
	g_hash_table_insert(peers->outgoing, peer->host, peer);
	if (strcmp(member->host, peers->daemon->settings->host) == 0)
		connect_to_self(peers, peer);
	else
		connect_to_member(peers, peer, member);
	return peer;
}

static bool may_be_lost(const struct peer *peer)
{
	int64_t heard_us = MAX(peer->last_heard_us, peer->created_us);

	return clock_mono_us() - heard_us > PEERS_SILENT_US;
}

struct peer *peers_connect_for_query(struct peers *peers,
				     const struct member *member)
{
	struct peer *peer = g_hash_table_lookup(peers->outgoing, member->host);
	bool is_self = strcmp(member->host, peers->daemon->settings->host) == 0;

	if (peer && !is_self && may_be_lost(peer)) {
		peer->is_replaced = true;
		peer_forget_outgoing(peer);
		counters.peer_links_replaced++;
	}
	return peers_connect(peers, member);
}

void peers_note_dead(struct peers *peers, const char *host)
{
	struct peer *peer = g_hash_table_lookup(peers->outgoing, host);

	if (peer && peer_is_dead(peer, clock_mono_us()))
		link_fail(peer->link, "host is dead");
}

void peers_read_input(struct peers *peers)
{
	link_group_read_input(&peers->links);
}

static uint64_t peer_hold(struct peer *peer, const Cfd__Frame *frame)
{
	uint64_t position = peer->held_bytes;
	size_t size = cfd__frame__get_packed_size(frame);
	GByteArray *bytes = g_byte_array_sized_new((guint)size);

	g_byte_array_set_size(bytes, (guint)size);
	cfd__frame__pack(frame, bytes->data);
	g_ptr_array_add(peer->held, bytes);
	peer->held_bytes += size + LINK_LENGTH_BYTES;
	return position;
}

/* The domain of a peer that is not a member yet is unknown, and its frames are
 * not counted. */
static void count_domain_traffic(const struct peer *peer, const Cfd__Frame *frame)
{
	const struct daemon *daemon = peer->peers->daemon;
	const struct member *member =
		member_table_find(daemon->members, peer->host);

	if (!member || g_strcmp0(member->domain, daemon->settings->domain) == 0)
		return;
	domain_traffic_add(
		protobuf_c_message_descriptor_get_field(&cfd__frame__descriptor,
							frame->kind_case)
			->name,
		LINK_LENGTH_BYTES + cfd__frame__get_packed_size(frame));
}

uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame)
{
	count_domain_traffic(peer, frame);
	peer->last_used_us = clock_mono_us();
	if (peer->state != PEER_READY)
		return peer_hold(peer, frame);
	return link_send(peer->link, frame) - peer->base;
}

bool peer_has_begun_sending(const struct peer *peer, uint64_t position)
{
	return peer->state == PEER_READY &&
	       link_has_begun_sending(peer->link, peer->base + position);
}

void peer_begin_use(struct peer *peer)
{
	peer->uses++;
}

void peer_end_use(struct peer *peer)
{
	peer->uses--;
}

const char *peer_host(const struct peer *peer)
{
	return peer->host;
}

uint64_t peer_incarnation(const struct peer *peer)
{
	return peer->incarnation;
}

void peer_set_role_data(struct peer *peer, void *data)
{
	peer->role_data = data;
}

void *peer_role_data(const struct peer *peer)
{
	return peer->role_data;
}

size_t peers_count(const struct peers *peers)
{
	return peers->count;
}

void peers_notify_entries(struct peers *peers, const Cfd__Frame *frame,
			  bool (*wants)(struct peer *peer, void *data),
			  void *data)
{
	struct peer *peer;

	LIST_FOREACH (peer, &peers->all, link_all) {
		if (!peer->outgoing && peer->state == PEER_READY &&
		    (!wants || wants(peer, data)))
			peer_send(peer, frame);
	}
}
