/*
 * NAME
 *	bench_daemon - cost of one daemon, by the number of hosts
 *
 * SYNOPSIS
 *	bench-daemon SECONDS HOSTS...
 *
 * DESCRIPTION
 *	For each size: starts a real daemon with a configuration of one service
 *	per eight hosts and lets it join that number of simulated hosts by
 *	gossip. Measures the memory after each step, then processor time and
 *	bytes for SECONDS seconds without changes and at several rates of
 *	changes. Then it calls each service once, so that the entry keeps state
 *	for it, and lists the hosts. The bytes include 28 per packet for the IP
 *	and UDP headers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/capacity/fake_peers.h"
#include "bench/capacity/usage.h"
#include "rig.h"

#define HOSTS_PER_SERVICE 8
#define HEADERS_BYTES 28
#define DEPLOYMENT_SIZE 22000
#define SETTLE_MS 5000
#define JOIN_ROUNDS 600
#define JOIN_ROUND_MS 100

struct fits {
	struct usage_fit config;
	struct usage_fit members;
	struct usage_fit with_services;
	struct usage_fit idle;
	struct usage_fit busy;
	struct usage_fit join;
	struct usage_fit list;
};

struct bench {
	struct rig *rig;
	struct rig_process *daemon;
	struct fake_peers *peers;
	int hosts;
	int services;
};

static const char *write_config(struct bench *bench)
{
	GString *text = g_string_new("{\"namespace\": \"bench\", "
				     "\"services\": {");
	const char *path;

	for (int i = 0; i < bench->services; i++)
		g_string_append_printf(
			text,
			"%s\"service-%d\": {\"path_prefixes\": [\"/s%d\"], "
			"\"group\": \"service-%d\", \"rules\": ["
			"{\"name\": \"get\", \"methods\": [\"GET\"], "
			"\"idempotent\": true, \"deadline_ms\": 2000, "
			"\"retry\": {\"max_attempts\": 3, "
			"\"budget_percent\": 10}}, "
			"{\"name\": \"post\", \"deadline_ms\": 8000}]}",
			i ? ",\n" : "", i, i, i);
	g_string_append(text, "}}\n");
	path = rig_write_file(bench->rig, "ops.json", "%s", text->str);
	g_string_free(text, TRUE);
	return path;
}

static void start_daemon(struct bench *bench)
{
	struct rig_process *platform = rig_start_standin(
		bench->rig, "standin/platform/standin-platform", NULL);
	const char *key = rig_write_file(bench->rig, "peer.key", FAKE_PEERS_KEY);
	const char *config = write_config(bench);
	const char *settings = rig_write_file(
		bench->rig, "daemon.json",
		"{\"host\": \"%s\", \"domain\": \"domain-a\",\n"
		"\"region\": \"region-a\",\n"
		"\"caller\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"admin\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"platform\": {\"url\": \"http://127.0.0.1:%u\"},\n"
		"\"config_file\": \"%s\",\n"
		"\"peer\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
		" \"key_file\": \"%s\", \"join\": [\"127.0.0.1:%u\"]}}\n",
		FAKE_PEERS_DAEMON, platform->port, config, key,
		fake_peers_port(bench->peers));

	bench->daemon = rig_start_daemon(bench->rig, "daemon", settings);
	fake_peers_set_daemon(bench->peers, bench->daemon->peer_port);
}

static double rss_mib(const struct bench *bench)
{
	return (double)usage_rss_kib(bench->daemon->pid) / 1024;
}

static int64_t count_hosts(struct bench *bench)
{
	char *status = rig_http_ok("GET", bench->daemon->admin_port,
				   "/v1/status", NULL);
	int64_t hosts = rig_json_int(status, "hosts");

	g_free(status);
	return hosts;
}

static int64_t read_counter(struct bench *bench, const char *name)
{
	char *full_name = g_strconcat("comfreydock_", name, NULL);
	int64_t value = rig_metric(bench->daemon->admin_port, full_name);

	g_free(full_name);
	return MAX(value, 0);
}

static double wire_bytes(struct bench *bench, const char *way)
{
	char *bytes = g_strdup_printf("gossip_bytes_%s", way);
	char *packets = g_strdup_printf("gossip_packets_%s", way);
	double sum = (double)(read_counter(bench, bytes) +
			      HEADERS_BYTES * read_counter(bench, packets));

	g_free(bytes);
	g_free(packets);
	return sum;
}

static void join(struct bench *bench, struct fits *fits)
{
	int64_t began = g_get_monotonic_time();
	int64_t cpu = usage_cpu_ns(bench->daemon->pid);
	double seconds;

	for (int i = 0; i < JOIN_ROUNDS && count_hosts(bench) <= bench->hosts; i++)
		fake_peers_run(bench->peers, JOIN_ROUND_MS);
	seconds = (double)(g_get_monotonic_time() - began) / 1e6;
	cpu = usage_cpu_ns(bench->daemon->pid) - cpu;
	printf("hosts %d: joined, %d known after %.1f s, %.0f bytes in, "
	       "%.0f bytes out, %.2f s of processor time\n",
	       bench->hosts, (int)count_hosts(bench), seconds,
	       wire_bytes(bench, "in"), wire_bytes(bench, "out"),
	       (double)cpu / 1e9);
	usage_fit_add(&fits->join, bench->hosts, seconds);
}

/* RETURN VALUE: the processor time in percent of a core. */
static double measure(struct bench *bench, int seconds, double changes_per_s)
{
	double in;
	double out;
	int64_t began;
	int64_t cpu;
	double spent_s;
	double percent;

	fake_peers_set_changes(bench->peers, changes_per_s);
	fake_peers_run(bench->peers, SETTLE_MS);
	in = wire_bytes(bench, "in");
	out = wire_bytes(bench, "out");
	began = g_get_monotonic_time();
	cpu = usage_cpu_ns(bench->daemon->pid);
	fake_peers_run(bench->peers, seconds * 1000);
	cpu = usage_cpu_ns(bench->daemon->pid) - cpu;
	spent_s = (double)(g_get_monotonic_time() - began) / 1e6;
	percent = (double)cpu / 1e9 / spent_s * 100;
	printf("hosts %d: %.1f changes/s: %.3f%% of a core, %.0f bytes/s in, "
	       "%.0f bytes/s out\n",
	       bench->hosts, changes_per_s, percent,
	       (wire_bytes(bench, "in") - in) / spent_s,
	       (wire_bytes(bench, "out") - out) / spent_s);
	return percent;
}

/* Measures each page by itself, since the daemon renders a page in one
 * iteration of its event loop. */
static void list_hosts(struct bench *bench, struct fits *fits)
{
	char *path = g_strdup("/v1/hosts");
	size_t bytes = 0;
	double most_ms = 0;
	unsigned int pages = 0;

	while (path) {
		int64_t cpu = usage_cpu_ns(bench->daemon->pid);
		char *page = rig_http_ok("GET", bench->daemon->admin_port, path,
					 NULL);
		char *next = strstr(page, "\"next\":\"");

		cpu = usage_cpu_ns(bench->daemon->pid) - cpu;
		most_ms = MAX(most_ms, (double)cpu / 1e6);
		bytes += strlen(page);
		pages++;
		g_free(path);
		path = NULL;
		if (next) {
			next += strlen("\"next\":\"");
			*strchr(next, '"') = '\0';
			path = g_strconcat("/v1/hosts?after=", next, NULL);
		}
		g_free(page);
	}
	printf("hosts %d: listed in %u pages, %zu bytes, at most %.1f ms of "
	       "processor time per page\n",
	       bench->hosts, pages, bytes, most_ms);
	usage_fit_add(&fits->list, bench->hosts, most_ms);
}

static void call_services(struct bench *bench)
{
	for (int i = 0; i < bench->services; i++) {
		char *url = g_strdup_printf("http://127.0.0.1:%u/s%d/x",
					    bench->daemon->caller_port, i);

		rig_answer_free(rig_http("GET", url, NULL, NULL, 2000));
		g_free(url);
		fake_peers_run(bench->peers, 1);
	}
}

static void run_size(int hosts, int seconds, struct fits *fits)
{
	struct bench bench = {.hosts = hosts,
			      .services = hosts / HOSTS_PER_SERVICE};
	double config_mib;
	double members_mib;

	bench.rig = rig_create();
	bench.peers = fake_peers_create(hosts, bench.services);
	start_daemon(&bench);
	config_mib = rss_mib(&bench);
	join(&bench, fits);
	members_mib = rss_mib(&bench);
	usage_fit_add(&fits->idle, hosts, measure(&bench, seconds, 0));
	usage_fit_add(&fits->busy, hosts, measure(&bench, seconds, 0.2));
	measure(&bench, seconds, 2);
	measure(&bench, seconds, 20);
	fake_peers_set_changes(bench.peers, 0);
	call_services(&bench);
	printf("hosts %d: resident with the configuration of %d services %.2f "
	       "MiB, with all members %.2f MiB, with all services called %.2f "
	       "MiB\n",
	       hosts, bench.services, config_mib, members_mib, rss_mib(&bench));
	fflush(stdout);
	usage_fit_add(&fits->config, hosts, config_mib);
	usage_fit_add(&fits->members, hosts, members_mib);
	usage_fit_add(&fits->with_services, hosts, rss_mib(&bench));
	list_hosts(&bench, fits);
	printf("hosts %d: resident after the list %.2f MiB\n", hosts,
	       rss_mib(&bench));
	fflush(stdout);
	fake_peers_destroy(bench.peers);
	rig_destroy(bench.rig);
}

int main(int argc, char **argv)
{
	struct fits fits = {0};
	int seconds = argc > 2 ? atoi(argv[1]) : 0;

	if (seconds <= 0) {
		fprintf(stderr, "usage: bench-daemon SECONDS HOSTS...\n");
		return 2;
	}
	for (int i = 2; i < argc; i++)
		run_size(MAX(atoi(argv[i]), FAKE_PEERS_LARGE_HOSTS * 2),
			 seconds, &fits);
	usage_fit_print(&fits.config, "MiB with the configuration",
			DEPLOYMENT_SIZE);
	usage_fit_print(&fits.members, "MiB with the members", DEPLOYMENT_SIZE);
	usage_fit_print(&fits.with_services, "MiB with the services",
			DEPLOYMENT_SIZE);
	usage_fit_print(&fits.join, "s to join", DEPLOYMENT_SIZE);
	usage_fit_print(&fits.idle, "percent of a core when idle",
			DEPLOYMENT_SIZE);
	usage_fit_print(&fits.busy, "percent of a core at 0.2 changes/s",
			DEPLOYMENT_SIZE);
	usage_fit_print(&fits.list, "ms for a page of hosts", DEPLOYMENT_SIZE);
	return 0;
}
