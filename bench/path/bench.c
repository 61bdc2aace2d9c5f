#include "bench.h"

#include <stdlib.h>
#include <string.h>

#define CONFIG                                                        \
	"{\"namespace\": \"bench\", \"services\": {\"s\": {\n"        \
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"           \
	"  \"rules\": [{\"name\": \"get\", \"methods\": [\"GET\"],\n" \
	"    \"idempotent\": true, \"deadline_ms\": 60000},\n"        \
	"   {\"name\": \"post\", \"deadline_ms\": 60000}]}}}\n"
#define WAIT_MS 10000
#define WAIT_LOAD_MS 60000
#define MAX_GENERATORS 8
/* With thousands of open calls, the load generator itself would be the
 * bottleneck: libcurl searches all of its connections for each call. */
#define MAX_OPEN "250"
#define SECOND_US 1e6

void bench_start(struct cluster *cluster, unsigned int owners,
		 const char *slots, const char *service_time_us)
{
	struct cluster_options options = {
		.count = 1 + owners,
		.config = CONFIG,
		.slots = slots,
		.service_time_us = service_time_us,
	};

	cluster_start(cluster, &options);
	g_free(rig_http_ok("POST", cluster->daemons[BENCH_ENTRY]->admin_port,
			   "/v1/upstream/drain", ""));
	cluster_wait_up(cluster, owners, WAIT_MS);
}

void bench_result_init(struct bench_result *result)
{
	memset(result, 0, sizeof(*result));
	result->latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void bench_result_finish(struct bench_result *result)
{
	g_array_unref(result->latencies_us);
}

static void parse_call_line(char *line, struct bench_result *result)
{
	/* The fields are: id method status outcome latency_us */
	char **parts = g_strsplit(line, " ", 6);
	int64_t latency_us;

	if (g_strv_length(parts) == 5 && strcmp(parts[2], "200") == 0) {
		latency_us = g_ascii_strtoll(parts[4], NULL, 10);
		g_array_append_val(result->latencies_us, latency_us);
	}
	g_strfreev(parts);
}

static void read_calls(const char *path, struct bench_result *result)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("can't read %s", path);
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		parse_call_line(*line, result);
	g_strfreev(lines);
	g_free(text);
}

static char *target_of(struct cluster *cluster, const struct bench_load *load,
		       int generator)
{
	unsigned int owners = MAX(cluster->count, 2) - 1;
	unsigned int turn = BENCH_OWNER + (unsigned int)generator % owners;
	uint16_t port = load->direct ?
				cluster->upstreams[turn]->port :
				cluster->daemons[BENCH_ENTRY]->caller_port;

	return g_strdup_printf("http://127.0.0.1:%u", port);
}

static struct rig_process *start_load(struct cluster *cluster,
				      const struct bench_load *load,
				      int generator, const char *calls)
{
	char *target = target_of(cluster, load, generator);
	char *rate = g_strdup_printf("%g", load->rate / load->generators);
	char *seconds = g_strdup_printf("%g", load->seconds);
	char *seed = g_strdup_printf("%d", load->seed * 100 + generator);
	struct rig_process *process =
		rig_start(cluster->rig, "standin/load/standin-load", "--target",
			  target, "--rate", rate, "--seconds", seconds, "--seed",
			  seed, "--calls", calls, "--max-open", MAX_OPEN, NULL);

	g_free(target);
	g_free(rate);
	g_free(seconds);
	g_free(seed);
	return process;
}

static void finish_load(struct rig_process *process, const char *calls,
			struct bench_result *result)
{
	char *out;

	if (rig_wait_end(process, WAIT_LOAD_MS) != 0)
		g_error("standin-load failed");
	out = rig_read_output(process);
	result->scheduled += rig_json_int(out, "scheduled");
	result->served += rig_json_int(out, "served");
	result->wrong += rig_json_int(out, "wrong");
	read_calls(calls, result);
	g_free(out);
}

static void add_cpu(struct cluster *cluster, struct bench_result *result, int sign)
{
	for (unsigned int i = 0; i < cluster->count; i++)
		result->cpu_us[i] +=
			sign * process_cpu_us(cluster->daemons[i]->pid);
}

void bench_run(struct cluster *cluster, const struct bench_load *load,
	       struct bench_result *result)
{
	static int runs;
	struct rig_process *processes[MAX_GENERATORS];
	const char *calls[MAX_GENERATORS];
	gint64 began_us = g_get_monotonic_time();

	add_cpu(cluster, result, -1);
	for (int i = 0; i < load->generators; i++) {
		char *name = g_strdup_printf("calls-%d", runs++);

		calls[i] = rig_write_file(cluster->rig, name, "%s", "");
		processes[i] = start_load(cluster, load, i, calls[i]);
		g_free(name);
	}
	for (int i = 0; i < load->generators; i++)
		finish_load(processes[i], calls[i], result);
	add_cpu(cluster, result, 1);
	result->elapsed_s +=
		(double)(g_get_monotonic_time() - began_us) / SECOND_US;
}

static int compare(gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

int64_t bench_quantile_us(struct bench_result *result, double quantile)
{
	guint count = result->latencies_us->len;
	guint rank;

	if (count == 0)
		return -1;
	g_array_sort(result->latencies_us, compare);
	rank = (guint)(quantile * (double)count);
	return g_array_index(result->latencies_us, int64_t, MIN(rank, count - 1));
}

void bench_print_head(const char *command)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *text = g_date_time_format(now, "%Y-%m-%d");

	printf("%s\n%s, optimized build\n", command, text);
	process_print_machine(stdout);
	g_free(text);
	g_date_time_unref(now);
}
