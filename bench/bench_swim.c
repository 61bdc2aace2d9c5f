/*
 * NAME
 *	bench_swim - cost of SWIM membership for one daemon
 *
 * SYNOPSIS
 *	bench-swim [HOSTS [CHANGES_PER_S]]
 *
 * DESCRIPTION
 *	Fills a member table, then runs one SWIM state machine for ten
 *	simulated minutes against peers that acknowledge at once. Each second it
 *	also receives one ping, one sync request and the changes, each change
 *	as often as a real cluster would send it to one host. Prints the memory
 *	per host, and the processor time and the bytes sent per second.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "comfreydockd/member/gossip_packet.h"
#include "comfreydockd/member/swim.h"

#define PEER_PORT 7000
#define RUN_S 600
#define SENDS_PER_CHANGE 35 /* 4 + 3 ln(22,000), rounded up */

struct bench {
	struct swim *swim;
	struct member_table *table;
	int64_t now_us;
	uint64_t bytes_out;
	uint64_t packets_out;
	uint64_t incarnation;
	uint8_t pending_ack[SWIM_BODY_MAX];
	size_t pending_ack_size;
};

static void fill_member(struct member *member, int i)
{
	static char *groups[] = {"lookup-desk", NULL};

	*member = (struct member){.incarnation = 1764000000000000,
				  .peer_port = PEER_PORT,
				  .admin_port = PEER_PORT + 1,
				  .domain = "hall-esja",
				  .region = "reykjavik",
				  .service_state = MEMBER_SERVICE_UP,
				  .groups = groups,
				  .slots = 12,
				  .warm_ms = 500};
	snprintf(member->host, sizeof(member->host), "hall-esja-%05d", i);
	snprintf(member->address, sizeof(member->address), "10.1.%d.%d",
		 i / 250, i % 250);
}

/* Keeps the ack to a ping. deliver_ack() passes it on after the state machine
 * has returned. */
static void bench_send(const char *address, uint16_t port, const uint8_t *body,
		       size_t size, void *data)
{
	struct bench *bench = data;
	Cfd__Gossip *message = cfd__gossip__unpack(NULL, size, body);
	Cfd__Gossip ack = CFD__GOSSIP__INIT;

	(void)address;
	(void)port;
	bench->bytes_out += size + 58;
	bench->packets_out++;
	if (message && message->kind == CFD__GOSSIP_KIND__GOSSIP_PING) {
		ack.kind = CFD__GOSSIP_KIND__GOSSIP_ACK;
		ack.seq = message->seq;
		ack.from = message->target;
		bench->pending_ack_size =
			cfd__gossip__pack(&ack, bench->pending_ack);
	}
	if (message)
		cfd__gossip__free_unpacked(message, NULL);
}

static void bench_receive(struct bench *bench, const Cfd__Gossip *message)
{
	uint8_t body[SWIM_BODY_MAX];
	size_t size = cfd__gossip__pack(message, body);

	swim_receive(bench->swim, "10.1.0.7", PEER_PORT, body, size,
		     bench->now_us);
}

static void deliver_ack(struct bench *bench)
{
	size_t size = bench->pending_ack_size;

	bench->pending_ack_size = 0;
	if (size > 0)
		swim_receive(bench->swim, "10.1.0.7", PEER_PORT,
			     bench->pending_ack, size, bench->now_us);
}

static void receive_change(struct bench *bench, int host)
{
	struct member member;
	Cfd__MemberRecord record = CFD__MEMBER_RECORD__INIT;
	Cfd__MemberRecord *records[] = {&record};
	Cfd__Gossip push = CFD__GOSSIP__INIT;

	fill_member(&member, host);
	record.host = member.host;
	record.incarnation = member.incarnation + ++bench->incarnation;
	record.address = member.address;
	record.peer_port = member.peer_port;
	record.admin_port = member.admin_port;
	record.domain = (char *)member.domain;
	record.region = (char *)member.region;
	record.service_state = member.service_state;
	record.groups = member.groups;
	record.n_groups = 1;
	record.slots = member.slots;
	push.kind = CFD__GOSSIP_KIND__GOSSIP_PUSH;
	push.from = "hall-esja-00007";
	push.records = records;
	push.n_records = 1;
	for (int i = 0; i < SENDS_PER_CHANGE; i++)
		bench_receive(bench, &push);
}

static void receive_periodic_messages(struct bench *bench, int second)
{
	uint64_t digests[64];
	Cfd__Gossip ping = CFD__GOSSIP__INIT;
	Cfd__Gossip sync = CFD__GOSSIP__INIT;
	char from[] = "hall-esja-00007";
	char *self = (char *)swim_self(bench->swim)->host;

	ping.kind = CFD__GOSSIP_KIND__GOSSIP_PING;
	ping.seq = (uint64_t)second + 1;
	ping.from = from;
	ping.target = self;
	bench_receive(bench, &ping);
	sync.kind = CFD__GOSSIP_KIND__GOSSIP_SYNC;
	sync.from = from;
	sync.bucket = second % (MEMBER_BUCKETS / 64) * 64;
	sync.span = 1;
	sync.max_packets = 1;
	sync.digests = digests;
	sync.n_digests = 64;
	for (unsigned int i = 0; i < 64; i++)
		digests[i] = member_table_digest(bench->table, sync.bucket + i);
	bench_receive(bench, &sync);
}

static void bench_run(struct bench *bench, int hosts, double changes_per_s)
{
	double changes = 0;

	for (int tick = 0; tick < RUN_S * 20; tick++) {
		bench->now_us += SWIM_TICK_US;
		swim_tick(bench->swim, bench->now_us);
		deliver_ack(bench);
		if (tick % 20 == 0)
			receive_periodic_messages(bench, tick / 20);
		for (changes += changes_per_s / 20; changes >= 1; changes--)
			receive_change(bench, tick % hosts);
	}
}

static void print_seal_cost(void)
{
	uint8_t key[32] = {1};
	uint8_t body[300] = {0};
	uint8_t packet[GOSSIP_PACKET_MAX];
	const int rounds = 100000;
	clock_t began = clock();

	for (int i = 0; i < rounds; i++)
		gossip_packet_seal(key, sizeof(key), body, sizeof(body), packet);
	printf("seal: %.2f us for a packet of %zu bytes\n",
	       (double)(clock() - began) / CLOCKS_PER_SEC / rounds * 1e6,
	       sizeof(body));
}

int main(int argc, char **argv)
{
	int hosts = argc > 1 ? atoi(argv[1]) : 22000;
	double changes_per_s = argc > 2 ? atof(argv[2]) : 0.2;
	struct bench bench = {.now_us = 1000000};
	struct swim_ops ops = {.send = bench_send, .data = &bench};
	struct member self;
	struct swim_options options = {.self = &self, .seed = 1, .ops = &ops};
	size_t before = mallinfo2().uordblks;
	clock_t began;

	fill_member(&self, hosts);
	bench.table = options.table = member_table_create();
	bench.swim = swim_create(&options, bench.now_us);
	for (int i = 0; i < hosts; i++) {
		struct member member;

		fill_member(&member, i);
		member_table_update(bench.table, &member, bench.now_us);
	}
	printf("memory: %zu bytes, %.0f per host with %d hosts\n",
	       mallinfo2().uordblks - before,
	       (double)(mallinfo2().uordblks - before) / hosts, hosts);
	/* Lets the dissemination of the filled-in members finish. */
	while (bench.now_us < 4 * 3600 * (int64_t)1000000) {
		bench.now_us += SWIM_TICK_US;
		swim_tick(bench.swim, bench.now_us);
		deliver_ack(&bench);
	}
	bench.bytes_out = bench.packets_out = 0;
	began = clock();
	bench_run(&bench, hosts, changes_per_s);
	printf("steady, %.2f changes/s: %.4f%% of a core, %.0f bytes/s and "
	       "%.1f packets/s out\n",
	       changes_per_s,
	       (double)(clock() - began) / CLOCKS_PER_SEC / RUN_S * 100,
	       (double)bench.bytes_out / RUN_S,
	       (double)bench.packets_out / RUN_S);
	print_seal_cost();
	swim_destroy(bench.swim);
	member_table_destroy(bench.table);
	return 0;
}
