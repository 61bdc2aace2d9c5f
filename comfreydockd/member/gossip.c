#include "comfreydockd/member/gossip.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/member/swim.h"
#include "comfreydockd/settings.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/freeze.h"
#include "common/id.h"
#include "common/log.h"
#include "gossip_packet.h"

#define RECEIVE_MAX 64 /* packets per event loop iteration */
#define RECEIVE_BUFFER_BYTES (512 * 1024)
#define LOG_WINDOW_US (10 * US_PER_S)
#define LOG_LINES_MAX 20 /* per limiter and window */

/* Limits the rate of the log lines that share it. Unauthenticated packets, or
 * the state changes when a failure domain is lost, come by the thousands and
 * would fill the log. */
struct log_limiter {
	int64_t window_start_us;
	unsigned int lines;
	uint64_t suppressed;
};

struct gossip {
	struct daemon *daemon;
	const struct gossip_handlers *handlers;
	struct swim *swim;
	struct swim_ops ops;
	int fd;
	uint16_t port;
	int64_t now_us;
	int64_t heard_us; /* the last valid packet of a peer */
	ev_io readable;
	ev_timer tick;
	/* What the thread had used at the last tick. If the process was
	 * suspended, gossip.frozen logs the use since then. */
	struct freeze_mark tick_mark;
	struct log_limiter drop_log; /* of gossip.packet_dropped */
	/* Of member.state and gossip.refuted together. */
	struct log_limiter change_log;
};

/* RETURN VALUE: false if the limit is reached and the line must be omitted. */
static bool log_limiter_allows(struct log_limiter *limiter, int64_t now_us)
{
	if (now_us - limiter->window_start_us >= LOG_WINDOW_US) {
		limiter->window_start_us = now_us;
		limiter->lines = 0;
	}
	if (limiter->lines < LOG_LINES_MAX) {
		limiter->lines++;
		return true;
	}
	limiter->suppressed++;
	return false;
}

static void gossip_send(const char *address, uint16_t port, const uint8_t *body,
			size_t size, void *data)
{
	struct gossip *gossip = data;
	const struct settings *settings = gossip->daemon->settings;
	uint8_t packet[GOSSIP_PACKET_MAX];
	union socket_address to;
	socklen_t to_size = address_parse(&to, address, port);

	size = gossip_packet_seal(settings->peer_key, settings->peer_key_size,
				  body, size, packet);
	counters.gossip_packets_out++;
	counters.gossip_bytes_out += size;
	/* If the socket's buffer is full, the packet is dropped without a
	 * retry: gossip tolerates loss, and later packets repeat its content. */
	if (sendto(gossip->fd, packet, size, 0, &to.any, to_size) < 0)
		counters.gossip_send_failed++;
}

static void gossip_drop(struct gossip *gossip, enum gossip_packet_status status,
			const char *address)
{
	static const char *const reasons[] = {
		[GOSSIP_PACKET_MALFORMED] = "malformed",
		[GOSSIP_PACKET_WRONG_VERSION] = "version",
		[GOSSIP_PACKET_UNAUTHENTICATED] = "tag",
	};

	if (status == GOSSIP_PACKET_WRONG_VERSION)
		counters.gossip_dropped_version++;
	else if (status == GOSSIP_PACKET_UNAUTHENTICATED)
		counters.gossip_dropped_tag++;
	else
		counters.gossip_dropped_malformed++;
	if (!log_limiter_allows(&gossip->drop_log, gossip->now_us))
		return;
	log_event(EV_GOSSIP_PACKET_DROPPED, LOG_STR("reason", reasons[status]),
		  LOG_STR("address", address),
		  LOG_INT("suppressed", gossip->drop_log.suppressed));
	gossip->drop_log.suppressed = 0;
}

static void gossip_handle_packet(struct gossip *gossip, const uint8_t *data,
				 size_t size, const union socket_address *from)
{
	const struct settings *settings = gossip->daemon->settings;
	char address[MEMBER_ADDRESS_MAX];
	uint16_t port = address_unpack(from, address);
	enum gossip_packet_status status;
	Cfd__Packet *packet;

	counters.gossip_packets_in++;
	counters.gossip_bytes_in += size;
	status = gossip_packet_open(settings->peer_key, settings->peer_key_size,
				    data, size, &packet);
	if (status == GOSSIP_PACKET_OK &&
	    !swim_receive(gossip->swim, address, port, packet->body.data,
			  packet->body.len, gossip->now_us))
		status = GOSSIP_PACKET_MALFORMED;
	if (status != GOSSIP_PACKET_OK)
		gossip_drop(gossip, status, address);
	else
		gossip->heard_us = gossip->now_us;
	if (packet)
		cfd__packet__free_unpacked(packet, NULL);
}

static void gossip_handle_readable(struct ev_loop *loop G_GNUC_UNUSED,
				   ev_io *watcher, int events G_GNUC_UNUSED)
{
	struct gossip *gossip = watcher->data;
	/* One byte more than the maximum: a longer packet is truncated and then
	 * refused. */
	uint8_t data[GOSSIP_PACKET_MAX + 1];
	union socket_address from;

	gossip->now_us = clock_mono_us();
	memset(&from, 0, sizeof(from));
	for (int i = 0; i < RECEIVE_MAX; i++) {
		socklen_t from_size = sizeof(from);
		ssize_t size = recvfrom(gossip->fd, data, sizeof(data), 0,
					&from.any, &from_size);

		if (size < 0)
			return;
		gossip_handle_packet(gossip, data, (size_t)size, &from);
	}
}

static void gossip_handle_tick(struct ev_loop *loop G_GNUC_UNUSED,
			       ev_timer *watcher, int events G_GNUC_UNUSED)
{
	struct gossip *gossip = watcher->data;

	gossip->now_us = clock_mono_us();
	swim_tick(gossip->swim, gossip->now_us);
	freeze_take_mark(&gossip->tick_mark);
}

/* Passes on the head that a peer sent: the number of configuration applies,
 * which serves as the version of the configuration. */
static void gossip_handle_config_head(const char *host, uint64_t head,
				      int64_t told_age_us, void *data)
{
	struct gossip *gossip = data;

	if (gossip->handlers && gossip->handlers->handle_config_head)
		gossip->handlers->handle_config_head(host, head, told_age_us,
						     gossip->handlers->data);
}

/* Asks how long ago the platform confirmed this daemon's head as the newest;
 * swim sends this age to peers along with the head.
 * RETURN VALUE: -1 if the head was never confirmed or isn't the current one. */
static int64_t gossip_told_age_us(uint64_t head, void *data)
{
	const struct gossip *gossip = data;

	if (!gossip->handlers || !gossip->handlers->config_told_age_us)
		return -1;
	return gossip->handlers->config_told_age_us(head, gossip->handlers->data);
}

/* Called by swim_tick() if its last call was so long ago that this process must
 * have been suspended. */
static void gossip_handle_freeze(int64_t gap_us, void *data)
{
	const struct gossip *gossip = data;

	freeze_log(EV_GOSSIP_FROZEN, gap_us, &gossip->tick_mark);
}

/* Called after this daemon refuted a record that a peer sent about it. */
static void gossip_handle_own_refutation(enum member_state state,
					 uint64_t incarnation, void *data)
{
	struct gossip *gossip = data;

	counters.gossip_refuted++;
	if (log_limiter_allows(&gossip->change_log, gossip->now_us))
		log_event(EV_GOSSIP_REFUTED, LOG_INT("state", state),
			  LOG_INT("incarnation", incarnation));
}

/* Logs the new state of a member. The table reports every change of a record;
 * state_since_us is the current time only if the state itself has changed or
 * the member is new. */
static void gossip_log_state_change(struct member *member, void *data)
{
	static const char *const names[] = {"alive", "suspect", "dead", "left"};
	struct gossip *gossip = data;

	if (member->state_since_us != gossip->now_us ||
	    !log_limiter_allows(&gossip->change_log, gossip->now_us))
		return;
	log_event(EV_MEMBER_STATE, LOG_STR("host", member->host),
		  LOG_STR("state", names[member->state]),
		  LOG_INT("incarnation", member->incarnation),
		  LOG_INT("suppressed", gossip->change_log.suppressed));
	gossip->change_log.suppressed = 0;
}

/* RETURN VALUE: -1 with errno set on failure. */
static int gossip_bind(const char *address, uint16_t port)
{
	union socket_address at = {0};
	socklen_t size = address_parse(&at, address, port);
	int bytes = RECEIVE_BUFFER_BYTES;
	int fd;

	fd = socket(at.any.sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	/* Best effort: the default buffer holds too few of the sync replies
	 * that a joining daemon receives. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (bind(fd, &at.any, size) < 0) {
		int error = errno;

		close(fd);
		errno = error;
		return -1;
	}
	return fd;
}

static uint16_t bound_port(int fd)
{
	union socket_address at = {0};
	socklen_t size = sizeof(at);
	char address[MEMBER_ADDRESS_MAX];

	if (getsockname(fd, &at.any, &size) < 0)
		return 0;
	return address_unpack(&at, address);
}

static void gossip_create_swim(struct gossip *gossip)
{
	const struct daemon *daemon = gossip->daemon;
	const struct settings_address *advertise = &daemon->settings->advertise;
	struct member self = {.incarnation = daemon->incarnation,
			      .peer_port = gossip->port,
			      .admin_port = daemon->admin_port,
			      .domain = daemon->settings->domain,
			      .region = daemon->settings->region};
	struct swim_options options = {.table = daemon->members,
				       .self = &self,
				       .quarantine = daemon->quarantine,
				       .evacuation = daemon->evacuation,
				       .seed = id_random_u64(),
				       .ops = &gossip->ops};

	g_strlcpy(self.host, daemon->settings->host, sizeof(self.host));
	if (advertise->port)
		self.peer_port = advertise->port;
	g_strlcpy(self.address,
		  advertise->address ? advertise->address :
				       daemon->settings->peer.address,
		  sizeof(self.address));
	gossip->ops = (struct swim_ops){
		.send = gossip_send,
		.handle_config_head = gossip_handle_config_head,
		.config_told_age_us = gossip_told_age_us,
		.handle_freeze = gossip_handle_freeze,
		.handle_refuted = gossip_handle_own_refutation,
		.data = gossip};
	gossip->swim = swim_create(&options, gossip->now_us);
}

struct gossip *gossip_create(struct daemon *daemon, uint16_t port,
			     const struct gossip_handlers *handlers)
{
	struct member_observer observer = {.handle_changed =
						   gossip_log_state_change};
	int fd = gossip_bind(daemon->settings->peer.address, port);
	struct gossip *gossip;

	if (fd < 0)
		return NULL;
	gossip = g_new0(struct gossip, 1);
	gossip->daemon = daemon;
	gossip->handlers = handlers;
	gossip->fd = fd;
	gossip->port = bound_port(fd);
	gossip->now_us = clock_mono_us();
	freeze_take_mark(&gossip->tick_mark);
	gossip_create_swim(gossip);
	observer.data = gossip;
	member_table_observe(daemon->members, &observer);
	ev_io_init(&gossip->readable, gossip_handle_readable, fd, EV_READ);
	gossip->readable.data = gossip;
	ev_io_start(daemon->loop, &gossip->readable);
	ev_timer_init(&gossip->tick, gossip_handle_tick, 0, SWIM_TICK_US * 1e-6);
	gossip->tick.data = gossip;
	ev_timer_start(daemon->loop, &gossip->tick);
	for (char **peer = daemon->settings->join; peer && *peer; peer++)
		gossip_join(gossip, *peer);
	log_event(EV_GOSSIP_STARTED,
		  LOG_STR("address", daemon->settings->peer.address),
		  LOG_INT("port", gossip->port));
	return gossip;
}

void gossip_destroy(struct gossip *gossip)
{
	if (!gossip)
		return;
	ev_io_stop(gossip->daemon->loop, &gossip->readable);
	ev_timer_stop(gossip->daemon->loop, &gossip->tick);
	member_table_unobserve(gossip->daemon->members, gossip);
	swim_destroy(gossip->swim);
	close(gossip->fd);
	g_free(gossip);
}

uint16_t gossip_port(const struct gossip *gossip)
{
	return gossip->port;
}

bool gossip_join(struct gossip *gossip, const char *peer)
{
	const char *colon = strrchr(peer, ':');
	char address[MEMBER_ADDRESS_MAX] = "";
	union socket_address storage;
	size_t size = colon ? (size_t)(colon - peer) : 0;
	long port = colon ? strtol(colon + 1, NULL, 10) : 0;

	if (size > 2 && peer[0] == '[' && peer[size - 1] == ']') {
		peer++;
		size -= 2;
	}
	if (size == 0 || size >= sizeof(address) || port < 1 || port > UINT16_MAX)
		return false;
	memcpy(address, peer, size);
	if (address_parse(&storage, address, (uint16_t)port) == 0)
		return false;
	swim_join(gossip->swim, address, (uint16_t)port, clock_mono_us());
	return true;
}

bool gossip_announce_self(struct gossip *gossip, enum member_service_state state,
			  char **groups, uint32_t slots, uint32_t warm_ms)
{
	return swim_announce(gossip->swim, state, groups, slots, warm_ms,
			     clock_mono_us());
}

void gossip_leave(struct gossip *gossip)
{
	swim_leave(gossip->swim, clock_mono_us());
}

void gossip_set_config_head(struct gossip *gossip, uint64_t head)
{
	swim_set_config_head(gossip->swim, head);
}

void gossip_note_evacuation(struct gossip *gossip)
{
	swim_note_evacuation(gossip->swim);
}

const struct member *gossip_self(const struct gossip *gossip)
{
	return swim_self(gossip->swim);
}

bool gossip_has_peers(const struct gossip *gossip)
{
	return swim_has_peers(gossip->swim);
}

bool gossip_table_is_complete(const struct gossip *gossip)
{
	return swim_table_is_complete(gossip->swim);
}

int64_t gossip_heard_us(const struct gossip *gossip)
{
	return gossip->heard_us;
}
