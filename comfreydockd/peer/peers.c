#include "comfreydockd/peer/peers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/peer/greeting.h"
#include "comfreydockd/peer/link.h"
#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/log.h"

#define LISTEN_BACKLOG 1024
#define SWEEP_S 5.0
/* How long a host may leave sent bytes unacknowledged. */
#define USER_TIMEOUT_MS 5000

enum peer_state {
	PEER_GREETING,
	PEER_READY,
};

struct peer {
	LIST_ENTRY(peer) link_all;
	struct peers *peers;
	struct link *link;
	const struct peers_role *role;
	bool outgoing;
	enum peer_state state;
	ev_timer timeout; /* of the greeting */
	char host[MEMBER_HOST_MAX];
	uint64_t incarnation;
	uint8_t our_nonce[GREETING_NONCE_BYTES];
	uint8_t their_nonce[GREETING_NONCE_BYTES];
	GPtrArray *held; /* of GByteArray: frames that wait for the greeting */
	uint64_t held_bytes;
	uint64_t base; /* of positions in the link's stream */
	ev_tstamp last_used;
	void *role_data;
};

struct peers {
	struct daemon *daemon;
	struct link_group links;
	int fd;
	uint16_t port;
	ev_io acceptor;
	ev_timer sweep;
	struct peers_role entry;
	struct peers_role owner;
	GHashTable *outgoing; /* host -> struct peer */
	LIST_HEAD(, peer) all;
	size_t count;
};

static void peer_send_hello(struct peer *peer, bool with_proof)
{
	const struct settings *settings = peer->peers->daemon->settings;
	struct greeting_key key = {settings->peer_key, settings->peer_key_size};
	uint8_t proof[GREETING_PROOF_BYTES];
	Cfd__Hello hello = CFD__HELLO__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	hello.version = PEERS_PROTOCOL_VERSION;
	hello.host = settings->host;
	hello.incarnation = peer->peers->daemon->incarnation;
	hello.nonce.data = peer->our_nonce;
	hello.nonce.len = GREETING_NONCE_BYTES;
	if (with_proof) {
		greeting_prove(&key, peer->outgoing ? "entry" : "owner",
			       settings->host, peer->their_nonce,
			       peer->our_nonce, proof);
		hello.proof.data = proof;
		hello.proof.len = GREETING_PROOF_BYTES;
	}
	frame.kind_case = CFD__FRAME__KIND_HELLO;
	frame.hello = &hello;
	link_send(peer->link, &frame);
}

static void peer_refuse(struct peer *peer, const char *why)
{
	counters.peer_handshakes_failed++;
	log_event(EV_PEER_REFUSED, LOG_STR("why", why),
		  LOG_STR("host", peer->host));
	link_fail(peer->link, why);
}

static bool peer_proof_is_good(struct peer *peer, const Cfd__Hello *hello)
{
	const struct settings *settings = peer->peers->daemon->settings;
	struct greeting_key key = {settings->peer_key, settings->peer_key_size};
	uint8_t proof[GREETING_PROOF_BYTES];

	if (hello->proof.len != GREETING_PROOF_BYTES)
		return false;
	greeting_prove(&key, peer->outgoing ? "owner" : "entry", hello->host,
		       peer->our_nonce, peer->their_nonce, proof);
	return greeting_proofs_match(proof, hello->proof.data,
				     GREETING_PROOF_BYTES);
}

static void peer_release_held(struct peer *peer)
{
	Cfd__Frame *frame;

	for (guint i = 0; i < peer->held->len; i++) {
		GByteArray *bytes = g_ptr_array_index(peer->held, i);
		uint64_t position;

		frame = cfd__frame__unpack(NULL, bytes->len, bytes->data);
		position = link_send(peer->link, frame);
		if (i == 0)
			peer->base = position;
		cfd__frame__free_unpacked(frame, NULL);
	}
	if (peer->held->len == 0)
		peer->base = 0;
	g_ptr_array_set_size(peer->held, 0);
}

static void peer_become_ready(struct peer *peer)
{
	ev_timer_stop(peer->peers->daemon->loop, &peer->timeout);
	link_set_trusted(peer->link);
	peer->state = PEER_READY;
	peer_release_held(peer);
	log_event(EV_PEER_READY, LOG_STR("host", peer->host),
		  LOG_STR("side", peer->outgoing ? "entry" : "owner"));
}

/* First word of the entry: who it is, and its nonce. */
static void peer_take_first_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->nonce.len != GREETING_NONCE_BYTES) {
		peer_refuse(peer, "greeting without a nonce");
		return;
	}
	g_strlcpy(peer->host, hello->host, sizeof(peer->host));
	peer->incarnation = hello->incarnation;
	memcpy(peer->their_nonce, hello->nonce.data, GREETING_NONCE_BYTES);
	peer_send_hello(peer, true);
}

static void peer_take_owner_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->nonce.len != GREETING_NONCE_BYTES) {
		peer_refuse(peer, "greeting without a nonce");
		return;
	}
	memcpy(peer->their_nonce, hello->nonce.data, GREETING_NONCE_BYTES);
	if (!peer_proof_is_good(peer, hello)) {
		peer_refuse(peer, "wrong key");
		return;
	}
	if (strcmp(hello->host, peer->host) != 0) {
		peer_refuse(peer, "another host at this address");
		return;
	}
	peer->incarnation = hello->incarnation;
	peer_send_hello(peer, true);
	peer_become_ready(peer);
}

static void peer_take_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->version != PEERS_PROTOCOL_VERSION) {
		peer_refuse(peer, "another protocol version");
		return;
	}
	if (peer->outgoing) {
		peer_take_owner_hello(peer, hello);
		return;
	}
	if (!peer->host[0]) {
		peer_take_first_hello(peer, hello);
		return;
	}
	if (strcmp(hello->host, peer->host) != 0 ||
	    !peer_proof_is_good(peer, hello)) {
		peer_refuse(peer, "wrong key");
		return;
	}
	peer_become_ready(peer);
}

static void handle_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	struct peer *peer = data;

	(void)link;
	peer->last_used = ev_now(peer->peers->daemon->loop);
	if (peer->state == PEER_READY &&
	    frame->kind_case != CFD__FRAME__KIND_HELLO) {
		peer->role->handle_frame(peer, frame, peer->role->data);
		return;
	}
	if (peer->state == PEER_GREETING &&
	    frame->kind_case == CFD__FRAME__KIND_HELLO) {
		peer_take_hello(peer, frame->hello);
		return;
	}
	peer_refuse(peer, "frame out of order");
}

static void peer_free(struct peer *peer)
{
	struct peers *peers = peer->peers;

	ev_timer_stop(peers->daemon->loop, &peer->timeout);
	if (peer->outgoing &&
	    g_hash_table_lookup(peers->outgoing, peer->host) == peer)
		g_hash_table_remove(peers->outgoing, peer->host);
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
	/* A new connection may be opened from within the handler. */
	if (peer->outgoing)
		g_hash_table_remove(peer->peers->outgoing, peer->host);
	peer->role->handle_lost(peer, error, peer->role->data);
	peer_free(peer);
}

static void handle_greeting_timeout(struct ev_loop *loop, ev_timer *timer,
				    int events)
{
	struct peer *peer = timer->data;

	(void)loop;
	(void)events;
	link_fail(peer->link, "no greeting in time");
}

static struct peer *peer_new(struct peers *peers, bool outgoing)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->peers = peers;
	peer->outgoing = outgoing;
	peer->role = outgoing ? &peers->entry : &peers->owner;
	peer->held = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	peer->last_used = ev_now(peers->daemon->loop);
	greeting_make_nonce(peer->our_nonce);
	ev_timer_init(&peer->timeout, handle_greeting_timeout,
		      PEERS_CONNECT_TIMEOUT_S, 0.0);
	peer->timeout.data = peer;
	LIST_INSERT_HEAD(&peers->all, peer, link_all);
	peers->count++;
	return peer;
}

static void set_socket_options(int fd)
{
	int one = 1;
	int idle_s = 5;
	int interval_s = 1;
	int count = 3;
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* A host that lost its power sends no FIN: without these an entry
	 * would hold the connection, and its calls, for many minutes. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
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

		set_socket_options(fd);
		counters.peer_links_accepted++;
		callbacks.data = peer;
		peer->link = link_create(&peers->links, fd, &callbacks);
		ev_timer_start(loop, &peer->timeout);
	}
}

static bool fill_address(const char *address, uint16_t port,
			 struct sockaddr_storage *out, socklen_t *size)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, address, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(port);
		*size = sizeof(*in4);
		return true;
	}
	if (inet_pton(AF_INET6, address, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*size = sizeof(*in6);
		return true;
	}
	return false;
}

static int open_listener(const struct settings_address *where, uint16_t *port)
{
	struct sockaddr_storage address;
	socklen_t size;
	int one = 1;
	int fd;

	if (!fill_address(where->address, where->port, &address, &size)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(address.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, size) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) < 0) {
		int error = errno;

		close(fd);
		errno = error;
		return -1;
	}
	/* The port lies at the same place for both address families. */
	*port = ntohs(((struct sockaddr_in *)&address)->sin_port);
	return fd;
}

static bool peer_is_idle(const struct peer *peer, ev_tstamp now)
{
	return peer->outgoing && peer->state == PEER_READY &&
	       now - peer->last_used > PEERS_IDLE_S;
}

static void handle_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct peers *peers = timer->data;
	struct peer *peer;

	(void)events;
	LIST_FOREACH (peer, &peers->all, link_all) {
		if (peer_is_idle(peer, ev_now(loop)))
			link_fail(peer->link, "idle");
	}
}

struct peers *peers_create(struct daemon *daemon)
{
	struct peers *peers;
	uint16_t port = 0;
	int fd = open_listener(&daemon->settings->peer, &port);

	if (fd < 0)
		return NULL;
	peers = g_new0(struct peers, 1);
	peers->daemon = daemon;
	peers->fd = fd;
	peers->port = port;
	peers->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
	LIST_INIT(&peers->all);
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

void peers_set_entry(struct peers *peers, const struct peers_role *role)
{
	peers->entry = *role;
}

void peers_set_owner(struct peers *peers, const struct peers_role *role)
{
	peers->owner = *role;
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
	struct sockaddr_storage address;
	socklen_t size = 0;
	bool good = fill_address(member->address, member->peer_port, &address,
				 &size);
	int fd = socket(good ? address.ss_family : AF_INET,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	set_socket_options(fd);
	peer->link = link_create(&peers->links, fd, &callbacks);
	counters.peer_links_opened++;
	if (!good) {
		link_fail(peer->link, "address can't be read");
		return;
	}
	if (connect(fd, (struct sockaddr *)&address, size) < 0 &&
	    errno != EINPROGRESS) {
		link_fail(peer->link, g_strerror(errno));
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

void peers_drop(struct peers *peers, const char *host, const char *error)
{
	struct peer *peer = g_hash_table_lookup(peers->outgoing, host);

	if (peer)
		link_fail(peer->link, error);
}

void peers_drain_input(struct peers *peers)
{
	link_group_drain_input(&peers->links);
}

static uint64_t peer_hold(struct peer *peer, const Cfd__Frame *frame)
{
	uint64_t position = peer->held_bytes;
	size_t size = cfd__frame__get_packed_size(frame);
	GByteArray *bytes = g_byte_array_sized_new((guint)size);

	g_byte_array_set_size(bytes, (guint)size);
	cfd__frame__pack(frame, bytes->data);
	g_ptr_array_add(peer->held, bytes);
	peer->held_bytes += size + 4;
	return position;
}

uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame)
{
	peer->last_used = ev_now(peer->peers->daemon->loop);
	if (peer->state != PEER_READY)
		return peer_hold(peer, frame);
	return link_send(peer->link, frame) - peer->base;
}

bool peer_has_handed_over(const struct peer *peer, uint64_t position)
{
	return peer->state == PEER_READY &&
	       link_has_handed_over(peer->link, peer->base + position);
}

bool peer_is_ready(const struct peer *peer)
{
	return peer->state == PEER_READY;
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
