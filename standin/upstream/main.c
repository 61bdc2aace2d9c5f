#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "standin.h"
#include "upstream.h"

static struct upstream_options options = {
	.slots = 4,
	.backlog = 64,
	.service_time_us = 1000,
	.long_time_us = 100000,
	.long_share = 0.01,
	.seed = 1,
	.cold_factor = 5.0,
	.report_lag_ms = 1000,
	.heartbeat_ms = 200,
};
static char *distribution;

static const GOptionEntry entries[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &options.port,
	 "port to listen on; 0: any free port", "N"},
	{"told-port", 0, 0, G_OPTION_ARG_INT, &options.told_port,
	 "port sent in heartbeats; 0: the listening port", "N"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
	 "requests that run at the same time", "N"},
	{"backlog", 0, 0, G_OPTION_ARG_INT, &options.backlog,
	 "requests that may wait for a slot", "N"},
	{"service-time-us", 0, 0, G_OPTION_ARG_INT64, &options.service_time_us,
	 "mean service time", "US"},
	{"distribution", 0, 0, G_OPTION_ARG_STRING, &distribution,
	 "distribution of service times: fixed, exponential or bimodal", "NAME"},
	{"long-time-us", 0, 0, G_OPTION_ARG_INT64, &options.long_time_us,
	 "bimodal: service time of long requests", "US"},
	{"long-share", 0, 0, G_OPTION_ARG_DOUBLE, &options.long_share,
	 "bimodal: share of long requests", "SHARE"},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &options.seed,
	 "seed of the random numbers", "N"},
	{"warm-ms", 0, 0, G_OPTION_ARG_INT64, &options.warm_ms,
	 "duration of the cold start", "MS"},
	{"cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &options.cold_factor,
	 "factor on the service time at the start of a cold start", "FACTOR"},
	{"report-lag-ms", 0, 0, G_OPTION_ARG_INT64, &options.report_lag_ms,
	 "interval at which /health and /load are updated", "MS"},
	{"announce", 0, 0, G_OPTION_ARG_STRING, &options.announce,
	 "admin API of the daemon on the same host", "URL"},
	{"group", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.groups,
	 "upstream group to announce; may be repeated", "NAME"},
	{"runs", 0, 0, G_OPTION_ARG_FILENAME, &options.runs_path,
	 "file to append the id of each run to", "FILE"},
	{"instance", 0, 0, G_OPTION_ARG_STRING, &options.instance,
	 "instance id; turns on the protocol of the users' platform", "ID"},
	{"service", 0, 0, G_OPTION_ARG_STRING, &options.service,
	 "service name sent in heartbeats", "NAME"},
	{"report-to", 0, 0, G_OPTION_ARG_STRING, &options.report_to,
	 "daemon that receives the heartbeats", "IP:PORT"},
	{"heartbeat-ms", 0, 0, G_OPTION_ARG_INT64, &options.heartbeat_ms,
	 "interval between heartbeats", "MS"},
	{0},
};

static bool parse_distribution(void)
{
	static const char *const names[] = {"fixed", "exponential", "bimodal"};

	for (size_t i = 0; distribution && i < G_N_ELEMENTS(names); i++) {
		if (strcmp(distribution, names[i]) == 0) {
			options.distribution = (enum distribution)i;
			return true;
		}
	}
	return distribution == NULL;
}

/* Stops accepting requests and exits the loop once those in flight are done. */
static void handle_stop(void *data)
{
	struct upstream *upstream = data;

	upstream->stopping = true;
	upstream->faults.freeze = FALSE;
	job_answer_held(upstream);
	http_server_quiesce(upstream->server);
	if (upstream->open_jobs == 0)
		ev_break(upstream->loop, EVBREAK_ALL);
}

static int open_runs(const char *path)
{
	int fd;

	if (!path)
		return -1;
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (fd < 0) {
		perror(path);
		exit(1);
	}
	return fd;
}

static void upstream_finish(struct upstream *upstream)
{
	http_client_destroy(upstream->client);
	http_server_destroy(upstream->server);
	g_hash_table_destroy(upstream->runs);
	g_array_unref(upstream->cold_arrivals_us);
	g_array_unref(upstream->limited_arrivals_us);
	g_rand_free(upstream->random);
	ev_loop_destroy(upstream->loop);
	if (upstream->runs_fd >= 0)
		close(upstream->runs_fd);
	g_strfreev(options.groups);
	g_free(options.runs_path);
	g_free(options.announce);
	g_free(options.instance);
	g_free(options.service);
	g_free(options.report_to);
	g_free(distribution);
}

int main(int argc, char **argv)
{
	struct upstream upstream = {.faults.factor = 1.0,
				    .faults.pace_percent = 100};

	standin_parse_options(&argc, &argv, entries, "Backend server for tests.");
	if (!parse_distribution()) {
		fprintf(stderr, "unknown distribution %s\n", distribution);
		return 2;
	}
	log_init(LOG_FORMAT_JSON, "standin-upstream");
	upstream.loop = ev_default_loop(0);
	upstream.options = options;
	upstream.random = g_rand_new_with_seed((guint32)options.seed);
	upstream.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	upstream.cold_arrivals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	upstream.limited_arrivals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	upstream.runs_fd = open_runs(options.runs_path);
	upstream.started_us = clock_mono_us();
	upstream.born_ms = clock_wall_us() / US_PER_MS;
	TAILQ_INIT(&upstream.waiting);
	TAILQ_INIT(&upstream.busy);
	upstream.client = http_client_create(upstream.loop);
	upstream.server = upstream_listen(&upstream);
	if (!upstream.server) {
		perror("listen");
		return 1;
	}
	standin_on_stop(upstream.loop, handle_stop, &upstream);
	control_start_reports(&upstream);
	announce_start(&upstream);
	heartbeat_start(&upstream);
	standin_announce_port("standin-upstream",
			      http_server_port(upstream.server));
	ev_run(upstream.loop, 0);
	upstream_finish(&upstream);
	return 0;
}
