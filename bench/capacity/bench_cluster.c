/*
 * NAME
 *	bench_cluster - cost of idle daemons, by the number of daemons
 *
 * SYNOPSIS
 *	bench-cluster SECONDS DAEMONS...
 *
 * DESCRIPTION
 *	For each size: starts that number of real daemons and a platform
 *	stand-in on loopback, announces an upstream to each, waits until every
 *	daemon knows every upstream, lets gossip settle and measures for SECONDS
 *	seconds. Then it drains one upstream and kills another daemon, and
 *	measures the time until SAMPLES other daemons know. The bytes include 28
 *	per packet for the IP and UDP headers.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/capacity/usage.h"
#include "rig.h"

#define DAEMONS_MAX 250
#define SAMPLES 10
#define SETTLE_S 15
#define UP_TIMEOUT_MS 120000
#define DEATH_TIMEOUT_MS 90000
#define HEADERS_BYTES 28
#define DEPLOYMENT_SIZE 22000

struct totals {
	int64_t cpu_ns;
	int64_t rss_kib;
	int64_t bytes_in;
	int64_t bytes_out;
	int64_t reads; /* from the platform, by all daemons */
	int64_t writes;
	int64_t head_reads; /* reads of the configuration's head row */
	int64_t at_us;
};

struct bench {
	struct rig *rig;
	struct rig_process *platform;
	const char *key_file;
	struct rig_process *daemons[DAEMONS_MAX];
	unsigned int count;
	const char *awaited; /* text to wait for in /v1/hosts */
	unsigned int awaited_times; /* minimum number of its occurrences */
};

struct fits {
	struct usage_fit cpu;
	struct usage_fit rss;
	struct usage_fit in;
	struct usage_fit out;
};

static void start_daemon(struct bench *bench, unsigned int i)
{
	char *name = g_strdup_printf("d%u", i);
	GString *join = g_string_new(NULL);
	char *body;
	char *file = g_strdup_printf("d%u.json", i);
	const char *path;

	if (i > 0)
		g_string_printf(join, ", \"join\": [\"127.0.0.1:%u\"]",
				bench->daemons[0]->peer_port);
	path = rig_write_file(
		bench->rig, file,
		"{\"host\": \"d%u\", \"domain\": \"domain-%u\",\n"
		"\"region\": \"region-%u\",\n"
		"\"caller\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"admin\": {\"address\": \"127.0.0.1\", \"port\": 0},\n"
		"\"platform\": {\"url\": \"http://127.0.0.1:%u\"},\n"
		"\"peer\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
		" \"key_file\": \"%s\"%s}}\n",
		i, i % 13, i % 6, bench->platform->port, bench->key_file,
		join->str);
	bench->daemons[i] = rig_start_daemon(bench->rig, name, path);
	body = rig_http_ok("POST", bench->daemons[i]->admin_port,
			   "/v1/upstream/announce",
			   "{\"groups\": [\"lookup-desk\"], \"address\": "
			   "\"127.0.0.1\", \"port\": 9, \"slots\": 12}");
	g_free(body);
	g_free(name);
	g_free(file);
	g_string_free(join, TRUE);
}

static unsigned int count_text(const char *text, const char *mark)
{
	unsigned int count = 0;

	while ((text = strstr(text, mark))) {
		count++;
		text++;
	}
	return count;
}

static bool daemon_knows(const struct bench *bench, unsigned int i)
{
	char *hosts = rig_http_ok("GET", bench->daemons[i]->admin_port,
				  "/v1/hosts", NULL);
	unsigned int count = count_text(hosts, bench->awaited);

	g_free(hosts);
	return count >= bench->awaited_times;
}

/* Checks only the first daemons, since the last two are drained and killed. */
static bool samples_know(void *data)
{
	const struct bench *bench = data;
	unsigned int samples = MIN(SAMPLES, bench->count - 2);

	for (unsigned int i = 0; i < samples; i++) {
		if (!daemon_knows(bench, i))
			return false;
	}
	return true;
}

static bool all_know(void *data)
{
	const struct bench *bench = data;

	for (unsigned int i = 0; i < bench->count; i++) {
		if (!daemon_knows(bench, i))
			return false;
	}
	return true;
}

static int64_t read_counter(struct rig_process *daemon, const char *name)
{
	char *whole = g_strconcat("comfreydock_", name, NULL);
	int64_t value = rig_metric(daemon->admin_port, whole);

	g_free(whole);
	return MAX(value, 0);
}

static void read_platform(struct bench *bench, struct totals *totals)
{
	char *stats = rig_http_ok("GET", bench->platform->port,
				  "/standin/stats", NULL);

	for (unsigned int i = 0; i < bench->count; i++)
		totals->head_reads +=
			read_counter(bench->daemons[i], "config_head_reads");
	totals->reads = rig_json_int(stats, "reads");
	totals->writes = rig_json_int(stats, "writes");
	g_free(stats);
}

/* Reads the processor time last at the start and first at the end, so that it
 * does not include the daemons' work for the other readings. */
static struct totals read_totals(struct bench *bench, bool is_start)
{
	struct totals totals = {0};

	read_platform(bench, &totals);

	for (int pass = 0; pass < 2; pass++) {
		bool is_cpu_pass = is_start ? pass == 1 : pass == 0;

		for (unsigned int i = 0; i < bench->count; i++) {
			struct rig_process *daemon = bench->daemons[i];

			if (is_cpu_pass) {
				totals.cpu_ns += usage_cpu_ns(daemon->pid);
				totals.rss_kib += usage_rss_kib(daemon->pid);
				continue;
			}
			totals.bytes_in +=
				read_counter(daemon, "gossip_bytes_in") +
				HEADERS_BYTES *
					read_counter(daemon,
						     "gossip_packets_in");
			totals.bytes_out +=
				read_counter(daemon, "gossip_bytes_out") +
				HEADERS_BYTES *
					read_counter(daemon,
						     "gossip_packets_out");
		}
		if (is_cpu_pass)
			totals.at_us = g_get_monotonic_time();
	}
	return totals;
}

static void measure_idle(struct bench *bench, int seconds, struct fits *fits)
{
	struct totals from = read_totals(bench, true);
	struct totals to;
	double n = bench->count;
	double s;
	double cpu;

	rig_sleep_ms(seconds * 1000);
	to = read_totals(bench, false);
	s = (double)(to.at_us - from.at_us) / 1e6;
	cpu = (double)(to.cpu_ns - from.cpu_ns) / 1e9 / s / n * 100;
	printf("daemons %u: %.3f%% of a core, %.2f MiB resident, %.0f bytes/s "
	       "in, %.0f bytes/s out each\n",
	       bench->count, cpu, (double)to.rss_kib / 1024 / n,
	       (double)(to.bytes_in - from.bytes_in) / s / n,
	       (double)(to.bytes_out - from.bytes_out) / s / n);
	printf("daemons %u: since the start the platform has served %.2f reads "
	       "(without head rows) and %.2f writes per daemon; now %.2f "
	       "reads/s and %.2f writes/s in total\n",
	       bench->count, (double)(from.reads - from.head_reads) / n,
	       (double)from.writes / n, (double)(to.reads - from.reads) / s,
	       (double)(to.writes - from.writes) / s);
	usage_fit_add(&fits->cpu, n, cpu);
	usage_fit_add(&fits->rss, n, (double)to.rss_kib / 1024 / n);
	usage_fit_add(&fits->in, n,
		      (double)(to.bytes_in - from.bytes_in) / s / n);
	usage_fit_add(&fits->out, n,
		      (double)(to.bytes_out - from.bytes_out) / s / n);
}

static double time_until_known(struct bench *bench, const char *text,
			       unsigned int times)
{
	gint64 began = g_get_monotonic_time();

	bench->awaited = text;
	bench->awaited_times = times;
	if (!rig_wait_until(samples_know, bench, DEATH_TIMEOUT_MS))
		return -1;
	return (double)(g_get_monotonic_time() - began) / 1e6;
}

static void measure_propagation(struct bench *bench)
{
	struct rig_process *drained = bench->daemons[bench->count - 2];
	struct rig_process *killed = bench->daemons[bench->count - 1];
	double drain_s;
	double death_s;

	g_free(rig_http_ok("POST", drained->admin_port, "/v1/upstream/drain", ""));
	drain_s = time_until_known(bench, "\"service\":\"draining\"", 1);
	rig_kill(killed);
	death_s = time_until_known(bench, "\"state\":\"dead\"", 1);
	printf("daemons %u: a drain is known to %u others after %.2f s, a kill "
	       "after %.1f s\n",
	       bench->count, MIN(SAMPLES, bench->count - 2), drain_s, death_s);
}

static void run_size(unsigned int count, int seconds, struct fits *fits)
{
	struct bench bench = {.count = count};
	gint64 began = g_get_monotonic_time();

	bench.rig = rig_create();
	bench.key_file = rig_write_file(bench.rig, "peer.key", "%s",
					"a key for measurements");
	bench.platform = rig_start_standin(
		bench.rig, "standin/platform/standin-platform", NULL);
	for (unsigned int i = 0; i < count; i++)
		start_daemon(&bench, i);
	bench.awaited = "\"service\":\"up\"";
	bench.awaited_times = count;
	if (!rig_wait_until(all_know, &bench, UP_TIMEOUT_MS))
		g_error("not all of %u daemons know all upstreams", count);
	printf("daemons %u: all know all after %.1f s, including the starts\n",
	       count, (double)(g_get_monotonic_time() - began) / 1e6);
	rig_sleep_ms(SETTLE_S * 1000);
	measure_idle(&bench, seconds, fits);
	measure_propagation(&bench);
	fflush(stdout);
	rig_destroy(bench.rig);
}

int main(int argc, char **argv)
{
	struct fits fits = {0};
	int seconds = argc > 2 ? atoi(argv[1]) : 0;

	if (seconds <= 0) {
		fprintf(stderr, "usage: bench-cluster SECONDS DAEMONS...\n");
		return 2;
	}
	for (int i = 2; i < argc; i++) {
		int count = atoi(argv[i]);

		run_size((unsigned int)CLAMP(count, 3, DAEMONS_MAX), seconds,
			 &fits);
	}
	usage_fit_print(&fits.cpu, "percent of a core", DEPLOYMENT_SIZE);
	usage_fit_print(&fits.rss, "MiB resident", DEPLOYMENT_SIZE);
	usage_fit_print(&fits.in, "bytes/s in", DEPLOYMENT_SIZE);
	usage_fit_print(&fits.out, "bytes/s out", DEPLOYMENT_SIZE);
	return 0;
}
