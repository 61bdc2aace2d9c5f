/*
 * NAME
 *	bench_links - cost of connections between daemons
 *
 * SYNOPSIS
 *	bench-links CONNECTIONS...
 *
 * DESCRIPTION
 *	For each size: opens connections from one entry to that number of owners
 *	in one process and sends FRAMES frames of FRAME_BYTES in each direction
 *	on each connection. Prints the resident and allocated memory of both
 *	ends of a connection, and the processor time of one connection's start
 *	and frames.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "bench/capacity/usage.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/log.h"

#define FRAMES 20
#define FRAME_BYTES 1000
#define DEPLOYMENT_SIZE 1264 /* see docs/CAPACITY.md */

struct endpoint {
	struct settings settings;
	struct daemon daemon;
	char host[24];
	size_t *frames;
};

static struct ev_loop *loop;

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void send_body(struct peer *peer)
{
	static uint8_t bytes[FRAME_BYTES];
	Cfd__Body body = CFD__BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	body.data.data = bytes;
	body.data.len = sizeof(bytes);
	frame.kind_case = CFD__FRAME__KIND_BODY;
	frame.body = &body;
	peer_send(peer, &frame);
}

/* The owner returns a frame for each frame, and the entry counts them. */
static void handle_owner_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	(void)frame;
	(void)data;
	send_body(peer);
}

static void handle_entry_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct endpoint *endpoint = data;

	(void)peer;
	(void)frame;
	(*endpoint->frames)++;
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	(void)peer;
	(void)error;
	(void)data;
}

static void endpoint_init(struct endpoint *endpoint, size_t number, size_t *frames)
{
	struct peers_role owner = {handle_owner_frame, handle_lost, endpoint};
	struct peers_role entry = {handle_entry_frame, handle_lost, endpoint};

	snprintf(endpoint->host, sizeof(endpoint->host), "host-%zu", number);
	endpoint->frames = frames;
	endpoint->settings.host = endpoint->host;
	endpoint->settings.peer.address = "127.0.0.1";
	endpoint->settings.peer_key = (uint8_t *)"a key for measurements";
	endpoint->settings.peer_key_size = 22;
	endpoint->daemon.loop = loop;
	endpoint->daemon.settings = &endpoint->settings;
	endpoint->daemon.members = member_table_create();
	endpoint->daemon.peers = peers_create(&endpoint->daemon);
	g_assert_nonnull(endpoint->daemon.peers);
	peers_set_owner_role(endpoint->daemon.peers, &owner);
	peers_set_entry_role(endpoint->daemon.peers, &entry);
}

static void endpoint_finish(struct endpoint *endpoint)
{
	peers_destroy(endpoint->daemon.peers);
	member_table_destroy(endpoint->daemon.members);
}

static struct peer *connect_to(struct endpoint *from, const struct endpoint *to)
{
	struct member member = {.peer_port = peers_port(to->daemon.peers)};

	g_strlcpy(member.host, to->host, sizeof(member.host));
	g_strlcpy(member.address, "127.0.0.1", sizeof(member.address));
	return peers_connect(from->daemon.peers, &member);
}

static void run_until(const size_t *frames, size_t count)
{
	while (*frames < count)
		ev_run(loop, EVRUN_ONCE);
}

static void exchange(struct endpoint *endpoints, size_t count, size_t *frames)
{
	for (size_t i = 1; i <= count; i++) {
		send_body(connect_to(&endpoints[0], &endpoints[i]));
		run_until(frames, *frames + 1);
	}
	for (size_t round = 1; round < FRAMES; round++) {
		for (size_t i = 1; i <= count; i++)
			send_body(connect_to(&endpoints[0], &endpoints[i]));
		run_until(frames, (round + 1) * count);
	}
}

static void run_size(size_t count, struct usage_fit *resident,
		     struct usage_fit *allocated)
{
	struct endpoint *endpoints = g_new0(struct endpoint, count + 1);
	size_t frames = 0;
	double began;
	double rss_kib;
	double heap_kib;

	for (size_t i = 0; i <= count; i++)
		endpoint_init(&endpoints[i], i, &frames);
	rss_kib = (double)usage_rss_kib(getpid());
	heap_kib = (double)mallinfo2().uordblks / 1024;
	began = now_s();
	exchange(endpoints, count, &frames);
	began = now_s() - began;
	rss_kib = (double)usage_rss_kib(getpid()) - rss_kib;
	heap_kib = (double)mallinfo2().uordblks / 1024 - heap_kib;
	printf("connections %zu: both ends %.2f KiB resident and %.2f KiB "
	       "allocated each, %.0f us to start and send %d frames each way\n",
	       count, rss_kib / (double)count, heap_kib / (double)count,
	       began / (double)count * 1e6, FRAMES);
	usage_fit_add(resident, (double)count, rss_kib / 1024);
	usage_fit_add(allocated, (double)count, heap_kib / 1024);
	for (size_t i = 0; i <= count; i++)
		endpoint_finish(&endpoints[i]);
	g_free(endpoints);
	malloc_trim(0);
}

int main(int argc, char **argv)
{
	struct usage_fit resident = {0};
	struct usage_fit allocated = {0};

	log_init(LOG_FORMAT_NONE, "bench");
	loop = ev_default_loop(0);
	for (int i = 1; i < argc; i++)
		run_size((size_t)CLAMP(atoi(argv[i]), 1, 3000), &resident,
			 &allocated);
	usage_fit_print(&resident, "MiB resident, both ends", DEPLOYMENT_SIZE);
	usage_fit_print(&allocated, "MiB allocated, both ends", DEPLOYMENT_SIZE);
	return 0;
}
