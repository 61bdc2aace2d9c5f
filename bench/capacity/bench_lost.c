/*
 * NAME
 *	bench_lost - cost to an entry of the loss of one connection
 *
 * SYNOPSIS
 *	bench-lost CALLS...
 *
 * DESCRIPTION
 *	For each size: starts that number of calls, nine tenths of them to a
 *	service whose only upstream host accepts connections and never
 *	responds, and one tenth to another such service. Then it breaks the
 *	connection of the smaller part, and prints the processor time until the
 *	entry has ended all calls on it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bench/capacity/usage.h"
#include "comfreydockd/caller/entry.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/socket.h"

/* The default limit of the settings on callers' connections. */
#define DEPLOYMENT_SIZE 4096
#define LOST_SHARE 10

struct bench {
	struct settings settings;
	struct daemon daemon;
	int listeners[2];
	size_t ended;
};

static const char config[] =
	"{\"namespace\": \"bench\", \"services\": {"
	"\"s0\": {\"path_prefixes\": [\"/s0\"], \"group\": \"g0\", \"rules\": "
	"[{\"name\": \"any\", \"deadline_ms\": 60000}]}, "
	"\"s1\": {\"path_prefixes\": [\"/s1\"], \"group\": \"g1\", \"rules\": "
	"[{\"name\": \"any\", \"deadline_ms\": 60000}]}}}";

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void handle_whole(void *data, struct call_reply *reply)
{
	struct bench *bench = data;

	(void)reply;
	bench->ended++;
}

static void handle_abort(void *data)
{
	(void)data;
}

static void add_upstream(struct bench *bench, int number)
{
	char group[8];
	char *groups[] = {group, NULL};
	struct member member = {.incarnation = 1,
				.domain = "d",
				.region = "r",
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 12};

	bench->listeners[number] =
		socket_listen("127.0.0.1", 0, &member.peer_port);
	g_assert_cmpint(bench->listeners[number], >=, 0);
	snprintf(group, sizeof(group), "g%d", number);
	snprintf(member.host, sizeof(member.host), "host-%d", number);
	g_strlcpy(member.address, "127.0.0.1", sizeof(member.address));
	member_table_update(bench->daemon.members, &member, 1);
}

static void load_config(struct bench *bench)
{
	struct findings findings;
	char path[] = "/tmp/bench-lost-XXXXXX";
	int fd = mkstemp(path);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(path, config, -1, NULL));
	findings_init(&findings);
	g_assert_true(
		config_store_load_file(bench->daemon.config, path, &findings));
	findings_finish(&findings);
	unlink(path);
}

static void bench_init(struct bench *bench)
{
	struct daemon *daemon = &bench->daemon;

	*bench = (struct bench){0};
	bench->settings.host = "the-daemon";
	bench->settings.domain = "d";
	bench->settings.peer.address = "127.0.0.1";
	bench->settings.peer_key = (uint8_t *)"a key for measurements";
	bench->settings.peer_key_size = 22;
	daemon->settings = &bench->settings;
	daemon->loop = ev_default_loop(0);
	timeline_init(&daemon->timeline, 64);
	daemon->members = member_table_create();
	daemon->config = config_store_create();
	load_config(bench);
	daemon->peers = peers_create(daemon);
	g_assert_nonnull(daemon->peers);
	daemon->entry = entry_create(daemon);
	add_upstream(bench, 0);
	add_upstream(bench, 1);
}

static void bench_finish(struct bench *bench)
{
	struct daemon *daemon = &bench->daemon;

	entry_destroy(daemon->entry);
	peers_destroy(daemon->peers);
	config_store_destroy(daemon->config);
	member_table_destroy(daemon->members);
	timeline_finish(&daemon->timeline);
	close(bench->listeners[0]);
	close(bench->listeners[1]);
}

static void begin_calls(struct bench *bench, const char *target, size_t count)
{
	static const struct call_sink sink = {
		.handle_reply = handle_whole,
		.handle_abort = handle_abort,
	};
	struct fields fields;
	struct call_request request = {.method = "POST",
				       .target = target,
				       .caller = "127.0.0.1",
				       .arrived_us = clock_mono_us(),
				       .fields = &fields};

	fields_init(&fields);
	for (size_t i = 0; i < count; i++)
		g_assert_nonnull(entry_begin(bench->daemon.entry, &request,
					     &sink, bench));
	fields_finish(&fields);
}

static void run_size(size_t calls, struct usage_fit *fit)
{
	struct bench bench;
	size_t lost = calls / LOST_SHARE;
	double began;
	double us;

	bench_init(&bench);
	begin_calls(&bench, "/s1", calls - lost);
	begin_calls(&bench, "/s0", lost);
	ev_run(bench.daemon.loop, EVRUN_NOWAIT);
	/* Resets the connections that were not accepted yet. */
	close(bench.listeners[0]);
	began = now_s();
	while (bench.ended < lost)
		ev_run(bench.daemon.loop, EVRUN_ONCE);
	us = (now_s() - began) * 1e6;
	printf("calls %zu: %zu of them lost at once, %.0f us, %.2f us each\n",
	       calls, lost, us, us / (double)lost);
	usage_fit_add(fit, (double)calls, us / (double)lost);
	bench.listeners[0] = dup(bench.listeners[1]);
	bench_finish(&bench);
}

int main(int argc, char **argv)
{
	struct usage_fit fit = {0};

	log_init(LOG_FORMAT_NONE, "bench");
	for (int i = 1; i < argc; i++)
		run_size((size_t)MAX(atoi(argv[i]), LOST_SHARE), &fit);
	usage_fit_print(&fit, "us for each call lost", DEPLOYMENT_SIZE);
	return 0;
}
