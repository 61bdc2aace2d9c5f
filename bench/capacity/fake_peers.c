#include "bench/capacity/fake_peers.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/member/gossip_packet.h"
#include "comfreydockd/member/swim.h"

#define DOMAINS 13
#define REGIONS 6
#define POLL_MS 5
#define SETTLE_US ((int64_t)4 * 3600 * 1000 * 1000)
#define FIRST_HOST "host-00000"

static const char *const domains[DOMAINS] = {
	"domain-a", "domain-b", "domain-c", "domain-d", "domain-e",
	"domain-f", "domain-g", "domain-h", "domain-i", "domain-j",
	"domain-k", "domain-l", "domain-m"};
static const char *const regions[REGIONS] = {
	"region-a", "region-b", "region-c", "region-d", "region-e", "region-f"};

struct fake_peers {
	int fd;
	uint16_t port;
	uint16_t daemon_port;
	int hosts;
	int services;
	uint64_t incarnation;
	struct member_table *table;
	struct swim *swim;
	struct swim_ops ops;
	uint8_t pending_ack[SWIM_BODY_MAX];
	size_t pending_ack_size;
	int64_t next_tick_us;
	int64_t next_second_us;
	int64_t next_push_us;
	unsigned int seconds;
	double changes_per_s;
	double changes_due;
	double records_due;
	GQueue changes; /* of struct change */
};

struct change {
	int host;
	uint64_t incarnation;
	unsigned int copies;
};

int fake_peers_service_of(int host, int services)
{
	return host < FAKE_PEERS_LARGE_HOSTS ? 0 : host % services;
}

static void fill_member(const struct fake_peers *peers, int host,
			char group[32], char **groups, struct member *member)
{
	snprintf(group, 32, "service-%d",
		 fake_peers_service_of(host, peers->services));
	groups[0] = group;
	groups[1] = NULL;
	*member = (struct member){
		.incarnation = peers->incarnation,
		.peer_port = peers->port,
		.admin_port = peers->port,
		.domain = domains[host % DOMAINS],
		.region = regions[host % DOMAINS % REGIONS],
		.service_state = MEMBER_SERVICE_DRAINING,
		.groups = groups,
		.slots = 12,
		.warm_ms = 500,
	};
	snprintf(member->host, sizeof(member->host), "host-%05d", host);
	g_strlcpy(member->address, "127.0.0.1", sizeof(member->address));
}

static void send_to_daemon(struct fake_peers *peers, const uint8_t *body,
			   size_t size)
{
	uint8_t packet[GOSSIP_PACKET_MAX];
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(peers->daemon_port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	size = gossip_packet_seal((const uint8_t *)FAKE_PEERS_KEY,
				  strlen(FAKE_PEERS_KEY), body, size, packet);
	/* A packet that the kernel doesn't take is lost, as on any network. */
	if (sendto(peers->fd, packet, size, 0, (struct sockaddr *)&to,
		   sizeof(to)) < 0)
		return;
}

static void send_message(struct fake_peers *peers, const Cfd__Gossip *message)
{
	uint8_t body[SWIM_BODY_MAX * 2];
	size_t size = cfd__gossip__get_packed_size(message);

	g_assert_cmpuint(size, <=, SWIM_BODY_MAX);
	cfd__gossip__pack(message, body);
	send_to_daemon(peers, body, size);
}

/* Packets between simulated peers are not sent: pings are acknowledged and the
 * rest is dropped. The ack is kept until the state machine has returned. */
static void handle_send(const char *address, uint16_t port, const uint8_t *body,
			size_t size, void *data)
{
	struct fake_peers *peers = data;
	Cfd__Gossip *message;
	Cfd__Gossip ack = CFD__GOSSIP__INIT;

	(void)address;
	if (port != peers->port) {
		send_to_daemon(peers, body, size);
		return;
	}
	message = cfd__gossip__unpack(NULL, size, body);
	if (message && message->kind == CFD__GOSSIP_KIND__GOSSIP_PING) {
		ack.kind = CFD__GOSSIP_KIND__GOSSIP_ACK;
		ack.seq = message->seq;
		ack.from = message->target;
		peers->pending_ack_size =
			cfd__gossip__pack(&ack, peers->pending_ack);
	}
	if (message)
		cfd__gossip__free_unpacked(message, NULL);
}

static void fake_peers_bind(struct fake_peers *peers)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(at);

	peers->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_cmpint(peers->fd, >=, 0);
	g_assert_cmpint(bind(peers->fd, (struct sockaddr *)&at, size), ==, 0);
	getsockname(peers->fd, (struct sockaddr *)&at, &size);
	peers->port = ntohs(at.sin_port);
}

/* Lets the dissemination of the filled-in members finish, in simulated time
 * that ends now. */
static void settle_gossip(struct fake_peers *peers, int64_t from_us)
{
	int64_t until_us = g_get_monotonic_time();

	for (int64_t now = from_us; now < until_us; now += SWIM_TICK_US) {
		swim_tick(peers->swim, now);
		if (peers->pending_ack_size > 0)
			swim_receive(peers->swim, "127.0.0.1", peers->port,
				     peers->pending_ack,
				     peers->pending_ack_size, now);
		peers->pending_ack_size = 0;
	}
}

struct fake_peers *fake_peers_create(int hosts, int services)
{
	struct fake_peers *peers = g_new0(struct fake_peers, 1);
	struct member member;
	struct swim_options options = {
		.self = &member, .seed = 1, .ops = &peers->ops};
	int64_t began_us = g_get_monotonic_time() - SETTLE_US;
	char group[32];
	char *groups[2];

	peers->hosts = hosts;
	peers->services = services;
	peers->incarnation = 1764000000000000;
	fake_peers_bind(peers);
	peers->ops.send = handle_send;
	peers->ops.data = peers;
	peers->table = options.table = member_table_create();
	g_queue_init(&peers->changes);
	fill_member(peers, 0, group, groups, &member);
	peers->swim = swim_create(&options, began_us);
	for (int i = 1; i < hosts; i++) {
		fill_member(peers, i, group, groups, &member);
		member_table_update(peers->table, &member, began_us);
	}
	settle_gossip(peers, began_us);
	return peers;
}

void fake_peers_destroy(struct fake_peers *peers)
{
	g_queue_clear_full(&peers->changes, g_free);
	swim_destroy(peers->swim);
	member_table_destroy(peers->table);
	close(peers->fd);
	g_free(peers);
}

uint16_t fake_peers_port(const struct fake_peers *peers)
{
	return peers->port;
}

void fake_peers_set_daemon(struct fake_peers *peers, uint16_t port)
{
	peers->daemon_port = port;
}

void fake_peers_set_changes(struct fake_peers *peers, double changes_per_s)
{
	peers->changes_per_s = changes_per_s;
}

static void answer_ping(struct fake_peers *peers, const Cfd__Gossip *ping)
{
	Cfd__Gossip ack = CFD__GOSSIP__INIT;

	ack.kind = CFD__GOSSIP_KIND__GOSSIP_ACK;
	ack.seq = ping->seq;
	ack.from = ping->target;
	send_message(peers, &ack);
}

static void handle_message(struct fake_peers *peers, const uint8_t *body,
			   size_t size)
{
	Cfd__Gossip *message = cfd__gossip__unpack(NULL, size, body);
	bool for_another;

	g_assert_nonnull(message);
	for_another = message->kind == CFD__GOSSIP_KIND__GOSSIP_PING &&
		      message->target[0] &&
		      strcmp(message->target, FIRST_HOST) != 0;
	if (for_another)
		answer_ping(peers, message);
	else
		swim_receive(peers->swim, "127.0.0.1", peers->daemon_port, body,
			     size, g_get_monotonic_time());
	cfd__gossip__free_unpacked(message, NULL);
}

static void fake_peers_read(struct fake_peers *peers)
{
	uint8_t data[GOSSIP_PACKET_MAX + 1];
	Cfd__Packet *packet;
	ssize_t size;

	while ((size = recv(peers->fd, data, sizeof(data), 0)) > 0) {
		if (gossip_packet_open((const uint8_t *)FAKE_PEERS_KEY,
				       strlen(FAKE_PEERS_KEY), data,
				       (size_t)size, &packet) != GOSSIP_PACKET_OK)
			continue;
		handle_message(peers, packet->body.data, packet->body.len);
		cfd__packet__free_unpacked(packet, NULL);
	}
}

/* Sends the ping and the sync request that a daemon receives each second from
 * one or another of its peers. */
static void send_periodic_messages(struct fake_peers *peers)
{
	uint64_t digests[64];
	char from[] = "host-00007";
	char target[] = FAKE_PEERS_DAEMON;
	Cfd__Gossip ping = CFD__GOSSIP__INIT;
	Cfd__Gossip sync = CFD__GOSSIP__INIT;

	ping.kind = CFD__GOSSIP_KIND__GOSSIP_PING;
	ping.seq = ++peers->seconds;
	ping.from = from;
	ping.target = target;
	send_message(peers, &ping);
	sync.kind = CFD__GOSSIP_KIND__GOSSIP_SYNC;
	sync.from = from;
	sync.bucket = peers->seconds % (MEMBER_BUCKETS / 64) * 64;
	sync.span = 1;
	sync.max_packets = 1;
	sync.digests = digests;
	sync.n_digests = 64;
	for (unsigned int i = 0; i < 64; i++)
		digests[i] = member_table_digest(peers->table, sync.bucket + i);
	send_message(peers, &sync);
}

static void fill_record(struct fake_peers *peers, const struct change *change,
			char group[32], char **groups, struct member *member,
			Cfd__MemberRecord *record)
{
	fill_member(peers, change->host, group, groups, member);
	cfd__member_record__init(record);
	record->host = member->host;
	record->incarnation = change->incarnation;
	record->address = member->address;
	record->peer_port = member->peer_port;
	record->admin_port = member->admin_port;
	record->domain = (char *)member->domain;
	record->region = (char *)member->region;
	record->service_state = member->service_state;
	record->groups = groups;
	record->n_groups = 1;
	record->slots = member->slots;
	record->warm_ms = member->warm_ms;
}

static void push_changes(struct fake_peers *peers, unsigned int count)
{
	Cfd__MemberRecord records[FAKE_PEERS_PUSH_RECORDS];
	Cfd__MemberRecord *pointers[FAKE_PEERS_PUSH_RECORDS];
	struct member members[FAKE_PEERS_PUSH_RECORDS];
	char groups[FAKE_PEERS_PUSH_RECORDS][32];
	char *lists[FAKE_PEERS_PUSH_RECORDS][2];
	char from[] = "host-00007";
	Cfd__Gossip push = CFD__GOSSIP__INIT;
	struct change *change;

	while (push.n_records < count &&
	       (change = g_queue_pop_head(&peers->changes))) {
		size_t i = push.n_records++;

		fill_record(peers, change, groups[i], lists[i], &members[i],
			    &records[i]);
		pointers[i] = &records[i];
		if (--change->copies > 0)
			g_queue_push_tail(&peers->changes, change);
		else
			g_free(change);
	}
	push.kind = CFD__GOSSIP_KIND__GOSSIP_PUSH;
	push.from = from;
	push.records = pointers;
	if (push.n_records > 0)
		send_message(peers, &push);
}

static void add_change(struct fake_peers *peers)
{
	struct change *change = g_new0(struct change, 1);
	struct member member;
	char group[32];
	char *groups[2];

	change->host = 1 + (int)(peers->incarnation * 7919 %
				 (uint64_t)(peers->hosts - 1));
	change->incarnation = ++peers->incarnation;
	change->copies = (unsigned int)MAX(
		1, MIN(FAKE_PEERS_COPIES, FAKE_PEERS_PUSH_RECORDS *
						  FAKE_PEERS_PUSHES_PER_S /
						  peers->changes_per_s));
	fill_member(peers, change->host, group, groups, &member);
	member_table_update(peers->table, &member, 1);
	g_queue_push_tail(&peers->changes, change);
}

static void fake_peers_push(struct fake_peers *peers)
{
	peers->changes_due += peers->changes_per_s / FAKE_PEERS_PUSHES_PER_S;
	for (; peers->changes_due >= 1; peers->changes_due--)
		add_change(peers);
	peers->records_due += peers->changes_per_s * FAKE_PEERS_COPIES /
			      FAKE_PEERS_PUSHES_PER_S;
	peers->records_due = MIN(peers->records_due, FAKE_PEERS_PUSH_RECORDS);
	push_changes(peers, (unsigned int)peers->records_due);
	peers->records_due -= (unsigned int)peers->records_due;
}

static void fake_peers_run_due(struct fake_peers *peers)
{
	int64_t now = g_get_monotonic_time();

	if (now >= peers->next_tick_us) {
		peers->next_tick_us = now + SWIM_TICK_US;
		swim_tick(peers->swim, now);
	}
	if (peers->pending_ack_size > 0)
		swim_receive(peers->swim, "127.0.0.1", peers->port,
			     peers->pending_ack, peers->pending_ack_size, now);
	peers->pending_ack_size = 0;
	if (now >= peers->next_second_us) {
		peers->next_second_us = now + G_USEC_PER_SEC;
		send_periodic_messages(peers);
	}
	if (now >= peers->next_push_us) {
		peers->next_push_us =
			now + G_USEC_PER_SEC / FAKE_PEERS_PUSHES_PER_S;
		fake_peers_push(peers);
	}
}

void fake_peers_run(struct fake_peers *peers, int ms)
{
	int64_t end = g_get_monotonic_time() + (int64_t)ms * 1000;
	struct pollfd ready = {.fd = peers->fd, .events = POLLIN};

	while (g_get_monotonic_time() < end) {
		if (poll(&ready, 1, POLL_MS) > 0)
			fake_peers_read(peers);
		fake_peers_run_due(peers);
	}
}
