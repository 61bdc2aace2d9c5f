#include "bench/capacity/crowd.h"

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
#define PAST_US ((int64_t)4 * 3600 * 1000 * 1000)
#define FIRST_HOST "host-00000"

static const char *const domains[DOMAINS] = {
	"domain-a", "domain-b", "domain-c", "domain-d", "domain-e",
	"domain-f", "domain-g", "domain-h", "domain-i", "domain-j",
	"domain-k", "domain-l", "domain-m"};
static const char *const regions[REGIONS] = {
	"region-a", "region-b", "region-c", "region-d", "region-e", "region-f"};

struct crowd {
	int fd;
	uint16_t port;
	uint16_t daemon_port;
	int hosts;
	int services;
	uint64_t incarnation;
	struct member_table *table;
	struct swim *swim;
	struct swim_ops ops;
	uint8_t answer[SWIM_BODY_MAX];
	size_t answer_size;
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

int crowd_service_of(int host, int services)
{
	return host < CROWD_LARGE_HOSTS ? 0 : host % services;
}

static void fill_member(const struct crowd *crowd, int host, char group[32],
			char **groups, struct member *member)
{
	snprintf(group, 32, "service-%d",
		 crowd_service_of(host, crowd->services));
	groups[0] = group;
	groups[1] = NULL;
	*member = (struct member){
		.incarnation = crowd->incarnation,
		.peer_port = crowd->port,
		.admin_port = crowd->port,
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

static void send_to_daemon(struct crowd *crowd, const uint8_t *body, size_t size)
{
	uint8_t packet[GOSSIP_PACKET_MAX];
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(crowd->daemon_port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	size = gossip_packet_seal((const uint8_t *)CROWD_KEY, strlen(CROWD_KEY),
				  body, size, packet);
	/* As on any network, what finds no room is lost. */
	if (sendto(crowd->fd, packet, size, 0, (struct sockaddr *)&to,
		   sizeof(to)) < 0)
		return;
}

static void send_message(struct crowd *crowd, const Cfd__Gossip *message)
{
	uint8_t body[SWIM_BODY_MAX * 2];
	size_t size = cfd__gossip__get_packed_size(message);

	g_assert_cmpuint(size, <=, SWIM_BODY_MAX);
	cfd__gossip__pack(message, body);
	send_to_daemon(crowd, body, size);
}

/* Packets among the crowd never leave it: pings are answered, the rest is
 * dropped. The answer waits until the machine has returned. */
static void handle_send(const char *address, uint16_t port, const uint8_t *body,
			size_t size, void *data)
{
	struct crowd *crowd = data;
	Cfd__Gossip *message;
	Cfd__Gossip ack = CFD__GOSSIP__INIT;

	(void)address;
	if (port != crowd->port) {
		send_to_daemon(crowd, body, size);
		return;
	}
	message = cfd__gossip__unpack(NULL, size, body);
	if (message && message->kind == CFD__GOSSIP_KIND__GOSSIP_PING) {
		ack.kind = CFD__GOSSIP_KIND__GOSSIP_ACK;
		ack.seq = message->seq;
		ack.from = message->target;
		crowd->answer_size = cfd__gossip__pack(&ack, crowd->answer);
	}
	if (message)
		cfd__gossip__free_unpacked(message, NULL);
}

static void crowd_bind(struct crowd *crowd)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(at);

	crowd->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_cmpint(crowd->fd, >=, 0);
	g_assert_cmpint(bind(crowd->fd, (struct sockaddr *)&at, size), ==, 0);
	getsockname(crowd->fd, (struct sockaddr *)&at, &size);
	crowd->port = ntohs(at.sin_port);
}

/* Lets the news of the filling run out, in time that has passed already. */
static void run_past(struct crowd *crowd, int64_t from_us)
{
	int64_t until_us = g_get_monotonic_time();

	for (int64_t now = from_us; now < until_us; now += SWIM_TICK_US) {
		swim_tick(crowd->swim, now);
		if (crowd->answer_size > 0)
			swim_receive(crowd->swim, "127.0.0.1", crowd->port,
				     crowd->answer, crowd->answer_size, now);
		crowd->answer_size = 0;
	}
}

struct crowd *crowd_create(int hosts, int services)
{
	struct crowd *crowd = g_new0(struct crowd, 1);
	struct member member;
	struct swim_options options = {
		.self = &member, .seed = 1, .ops = &crowd->ops};
	int64_t began_us = g_get_monotonic_time() - PAST_US;
	char group[32];
	char *groups[2];

	crowd->hosts = hosts;
	crowd->services = services;
	crowd->incarnation = 1764000000000000;
	crowd_bind(crowd);
	crowd->ops.send = handle_send;
	crowd->ops.data = crowd;
	crowd->table = options.table = member_table_create();
	g_queue_init(&crowd->changes);
	fill_member(crowd, 0, group, groups, &member);
	crowd->swim = swim_create(&options, began_us);
	for (int i = 1; i < hosts; i++) {
		fill_member(crowd, i, group, groups, &member);
		member_table_update(crowd->table, &member, began_us);
	}
	run_past(crowd, began_us);
	return crowd;
}

void crowd_destroy(struct crowd *crowd)
{
	g_queue_clear_full(&crowd->changes, g_free);
	swim_destroy(crowd->swim);
	member_table_destroy(crowd->table);
	close(crowd->fd);
	g_free(crowd);
}

uint16_t crowd_port(const struct crowd *crowd)
{
	return crowd->port;
}

void crowd_set_daemon(struct crowd *crowd, uint16_t port)
{
	crowd->daemon_port = port;
}

void crowd_set_changes(struct crowd *crowd, double changes_per_s)
{
	crowd->changes_per_s = changes_per_s;
}

static void answer_ping(struct crowd *crowd, const Cfd__Gossip *ping)
{
	Cfd__Gossip ack = CFD__GOSSIP__INIT;

	ack.kind = CFD__GOSSIP_KIND__GOSSIP_ACK;
	ack.seq = ping->seq;
	ack.from = ping->target;
	send_message(crowd, &ack);
}

static void take_body(struct crowd *crowd, const uint8_t *body, size_t size)
{
	Cfd__Gossip *message = cfd__gossip__unpack(NULL, size, body);
	bool for_another;

	g_assert_nonnull(message);
	for_another = message->kind == CFD__GOSSIP_KIND__GOSSIP_PING &&
		      message->target[0] &&
		      strcmp(message->target, FIRST_HOST) != 0;
	if (for_another)
		answer_ping(crowd, message);
	else
		swim_receive(crowd->swim, "127.0.0.1", crowd->daemon_port, body,
			     size, g_get_monotonic_time());
	cfd__gossip__free_unpacked(message, NULL);
}

static void crowd_read(struct crowd *crowd)
{
	uint8_t data[GOSSIP_PACKET_MAX + 1];
	Cfd__Packet *packet;
	ssize_t size;

	while ((size = recv(crowd->fd, data, sizeof(data), 0)) > 0) {
		if (gossip_packet_open((const uint8_t *)CROWD_KEY,
				       strlen(CROWD_KEY), data, (size_t)size,
				       &packet) != GOSSIP_PACKET_OK)
			continue;
		take_body(crowd, packet->body.data, packet->body.len);
		cfd__packet__free_unpacked(packet, NULL);
	}
}

/* What reaches a daemon each second from its many peers, whoever they are. */
static void send_each_second(struct crowd *crowd)
{
	uint64_t digests[64];
	char from[] = "host-00007";
	char target[] = CROWD_DAEMON;
	Cfd__Gossip ping = CFD__GOSSIP__INIT;
	Cfd__Gossip sync = CFD__GOSSIP__INIT;

	ping.kind = CFD__GOSSIP_KIND__GOSSIP_PING;
	ping.seq = ++crowd->seconds;
	ping.from = from;
	ping.target = target;
	send_message(crowd, &ping);
	sync.kind = CFD__GOSSIP_KIND__GOSSIP_SYNC;
	sync.from = from;
	sync.bucket = crowd->seconds % (MEMBER_BUCKETS / 64) * 64;
	sync.span = 1;
	sync.max_packets = 1;
	sync.digests = digests;
	sync.n_digests = 64;
	for (unsigned int i = 0; i < 64; i++)
		digests[i] = member_table_digest(crowd->table, sync.bucket + i);
	send_message(crowd, &sync);
}

static void fill_record(struct crowd *crowd, const struct change *change,
			char group[32], char **groups, struct member *member,
			Cfd__MemberRecord *record)
{
	fill_member(crowd, change->host, group, groups, member);
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

static void push_changes(struct crowd *crowd, unsigned int count)
{
	Cfd__MemberRecord records[CROWD_PUSH_RECORDS];
	Cfd__MemberRecord *pointers[CROWD_PUSH_RECORDS];
	struct member members[CROWD_PUSH_RECORDS];
	char groups[CROWD_PUSH_RECORDS][32];
	char *lists[CROWD_PUSH_RECORDS][2];
	char from[] = "host-00007";
	Cfd__Gossip push = CFD__GOSSIP__INIT;
	struct change *change;

	while (push.n_records < count &&
	       (change = g_queue_pop_head(&crowd->changes))) {
		size_t i = push.n_records++;

		fill_record(crowd, change, groups[i], lists[i], &members[i],
			    &records[i]);
		pointers[i] = &records[i];
		if (--change->copies > 0)
			g_queue_push_tail(&crowd->changes, change);
		else
			g_free(change);
	}
	push.kind = CFD__GOSSIP_KIND__GOSSIP_PUSH;
	push.from = from;
	push.records = pointers;
	if (push.n_records > 0)
		send_message(crowd, &push);
}

static void add_change(struct crowd *crowd)
{
	struct change *change = g_new0(struct change, 1);
	struct member member;
	char group[32];
	char *groups[2];

	change->host = 1 + (int)(crowd->incarnation * 7919 %
				 (uint64_t)(crowd->hosts - 1));
	change->incarnation = ++crowd->incarnation;
	change->copies = (unsigned int)MAX(
		1, MIN(CROWD_COPIES, CROWD_PUSH_RECORDS * CROWD_PUSHES_PER_S /
					     crowd->changes_per_s));
	fill_member(crowd, change->host, group, groups, &member);
	member_table_update(crowd->table, &member, 1);
	g_queue_push_tail(&crowd->changes, change);
}

static void crowd_push(struct crowd *crowd)
{
	crowd->changes_due += crowd->changes_per_s / CROWD_PUSHES_PER_S;
	for (; crowd->changes_due >= 1; crowd->changes_due--)
		add_change(crowd);
	crowd->records_due +=
		crowd->changes_per_s * CROWD_COPIES / CROWD_PUSHES_PER_S;
	crowd->records_due = MIN(crowd->records_due, CROWD_PUSH_RECORDS);
	push_changes(crowd, (unsigned int)crowd->records_due);
	crowd->records_due -= (unsigned int)crowd->records_due;
}

static void crowd_turn(struct crowd *crowd)
{
	int64_t now = g_get_monotonic_time();

	if (now >= crowd->next_tick_us) {
		crowd->next_tick_us = now + SWIM_TICK_US;
		swim_tick(crowd->swim, now);
	}
	if (crowd->answer_size > 0)
		swim_receive(crowd->swim, "127.0.0.1", crowd->port,
			     crowd->answer, crowd->answer_size, now);
	crowd->answer_size = 0;
	if (now >= crowd->next_second_us) {
		crowd->next_second_us = now + G_USEC_PER_SEC;
		send_each_second(crowd);
	}
	if (now >= crowd->next_push_us) {
		crowd->next_push_us = now + G_USEC_PER_SEC / CROWD_PUSHES_PER_S;
		crowd_push(crowd);
	}
}

void crowd_run(struct crowd *crowd, int ms)
{
	int64_t end = g_get_monotonic_time() + (int64_t)ms * 1000;
	struct pollfd ready = {.fd = crowd->fd, .events = POLLIN};

	while (g_get_monotonic_time() < end) {
		if (poll(&ready, 1, POLL_MS) > 0)
			crowd_read(crowd);
		crowd_turn(crowd);
	}
}
