#include <stdlib.h>
#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "load.h"
#include "standin.h"

static struct load_options options = {
	.rate = 100,
	.seconds = 1,
	.seed = 1,
	.deadline_ms = 10000,
	.body_bytes = 64,
	.max_open = 10000,
};
static char **burst_texts;

static const GOptionEntry entries[] = {
	{"target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.targets,
	 "daemon to call, http://IP:PORT; may be repeated", "URL"},
	{"path", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.paths,
	 "path of an idempotent call (GET); may be repeated", "PATH"},
	{"post-path", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.post_paths,
	 "path of a non-idempotent call (POST); may be repeated", "PATH"},
	{"header", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.headers,
	 "header to add to each call; may be repeated", "NAME: VALUE"},
	{"key", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.keys,
	 "API key, sent as Authorization: Bearer; may be repeated, a call then "
	 "uses a random one",
	 "ORGANISATION=KEY"},
	{"host", 0, 0, G_OPTION_ARG_STRING, &options.host, "Host header", "NAME"},
	{"id-prefix", 0, 0, G_OPTION_ARG_STRING, &options.prefix,
	 "prefix of the request ids", "TEXT"},
	{"id-header", 0, 0, G_OPTION_ARG_STRING, &options.id_header,
	 "header that holds the id; X-Request-Id by default", "NAME"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.rate, "calls per second",
	 "R"},
	{"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options.seconds,
	 "time during which calls start", "S"},
	{"share-nonidempotent", 0, 0, G_OPTION_ARG_DOUBLE,
	 &options.share_nonidempotent, "share of POST calls", "SHARE"},
	{"body-bytes", 0, 0, G_OPTION_ARG_INT64, &options.body_bytes,
	 "size of a POST body", "N"},
	{"even", 0, 0, G_OPTION_ARG_NONE, &options.even,
	 "evenly spaced calls instead of Poisson arrivals", NULL},
	{"burst", 0, 0, G_OPTION_ARG_STRING_ARRAY, &burst_texts,
	 "period in which the rate is multiplied; may be repeated",
	 "AT_MS:FOR_MS:FACTOR"},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &options.seed,
	 "seed of the random numbers", "N"},
	{"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &options.deadline_ms,
	 "time after which the caller closes its connection", "MS"},
	{"max-open", 0, 0, G_OPTION_ARG_INT, &options.max_open,
	 "maximum number of calls open at once", "N"},
	{"calls", 0, 0, G_OPTION_ARG_FILENAME, &options.calls_path,
	 "file for one line per call: id method status outcome latency_us "
	 "due_us path [org=ORGANISATION] [wrong]",
	 "FILE"},
	{0},
};

static char **default_paths(char **paths)
{
	static const char *const defaults[] = {"/", NULL};

	return paths ? paths : g_strdupv((char **)defaults);
}

static void read_bursts(void)
{
	options.bursts = g_array_new(FALSE, FALSE, sizeof(struct burst));
	for (char **text = burst_texts; text && *text; text++) {
		struct burst burst;

		if (!burst_parse(*text, &burst)) {
			fprintf(stderr,
				"invalid burst %s, expected "
				"AT_MS:FOR_MS:FACTOR\n",
				*text);
			exit(2);
		}
		g_array_append_val(options.bursts, burst);
	}
}

static void read_options(int argc, char **argv)
{
	standin_parse_options(&argc, &argv, entries,
			      "Open-loop load generator for tests.");
	if (!options.targets || options.rate <= 0) {
		fprintf(stderr,
			"--target and a positive --rate are required\n");
		exit(2);
	}
	for (char **key = options.keys; key && *key; key++) {
		if (strchr(*key, '='))
			continue;
		fprintf(stderr, "invalid key, expected ORGANISATION=KEY\n");
		exit(2);
	}
	options.paths = default_paths(options.paths);
	options.post_paths = default_paths(options.post_paths);
	if (!options.prefix)
		options.prefix =
			g_strdup_printf("load%" G_GINT64_FORMAT, options.seed);
	if (!options.id_header)
		options.id_header = g_strdup("X-Request-Id");
	read_bursts();
}

static void free_options(void)
{
	g_array_unref(options.bursts);
	g_strfreev(burst_texts);
	g_strfreev(options.targets);
	g_strfreev(options.paths);
	g_strfreev(options.post_paths);
	g_strfreev(options.headers);
	g_strfreev(options.keys);
	g_free(options.host);
	g_free(options.prefix);
	g_free(options.id_header);
	g_free(options.calls_path);
}

/* Stops starting calls. The summary covers those that were started. */
static void handle_stop(void *data)
{
	struct load *load = data;

	load->is_stopped = true;
}

int main(int argc, char **argv)
{
	static struct load load;

	read_options(argc, argv);
	log_init(LOG_FORMAT_JSON, "standin-load");
	load.loop = ev_default_loop(0);
	load.options = options;
	load.random = g_rand_new_with_seed((guint32)options.seed);
	load.client = http_client_create(load.loop);
	if (options.calls_path) {
		load.calls = fopen(options.calls_path, "w");
		if (!load.calls) {
			perror(options.calls_path);
			return 1;
		}
	}
	standin_on_stop(load.loop, handle_stop, &load);
	schedule_start(&load);
	ev_run(load.loop, 0);
	summary_print(&load);
	if (load.calls)
		fclose(load.calls);
	precise_timer_finish(&load.timer);
	http_client_destroy(load.client);
	g_rand_free(load.random);
	ev_loop_destroy(load.loop);
	free_options();
	return 0;
}
