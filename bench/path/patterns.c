/*
 * Runs the patterns of docs/design/decisions.md with real processes on
 * loopback: seven upstreams with the slots of lookup-desk. Service times are
 * four times those of the replay, so that 2,100 calls per second fill all slots
 * and one machine can run the load generators beside the daemons.
 */
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define UPSTREAMS 7
#define SLOTS "12"
#define SERVICE_US "40000"
#define CAPACITY 2100.0 /* calls per second */
#define GENERATORS 2
#define SETTLE_MS 2500
#define WAIT_LOAD_MS 60000

#define CONFIG                                                        \
	"{\"namespace\": \"bench\", \"services\": {\"s\": {\n"        \
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"           \
	"  \"rules\": [{\"name\": \"get\", \"methods\": [\"GET\"],\n" \
	"    \"idempotent\": true, \"deadline_ms\": 1000,\n"          \
	"    \"fairness_header\": \"X-Caller\",\n"                    \
	"    \"retry\": {\"max_attempts\": 3,\n"                      \
	"                \"budget_percent\": 10},\n"                  \
	"    \"hedge\": {\"budget_percent\": 5}},\n"                  \
	"   {\"name\": \"post\", \"deadline_ms\": 1000,\n"            \
	"    \"fairness_header\": \"X-Caller\"}]}}}\n"

struct pattern {
	const char *title;
	double load; /* share of all slots */
	const char *seconds;
	const char *burst; /* option of standin-load; NULL: none */
	const char *fault; /* of one upstream; NULL: none */
	/* Number of the faulty upstream. Each pattern takes another one, which
	 * the daemons still regard as healthy. */
	unsigned int faulty;
	bool hot; /* one caller makes two thirds of the load */
};

static const struct pattern patterns[] = {
	{"steady 0.6", 0.6, "6"},
	{"steady 0.8", 0.8, "6"},
	{"burst of 10x for 200 ms, 0.5", 0.5, "4", "1000:200:10"},
	{"one upstream 10x slower, 0.6", 0.6, "6", NULL, "{\"factor\": 10}", 1},
	{"one upstream fails fast, 0.6", 0.6, "6", NULL,
	 "{\"fail_fast\": true}", 2},
	{"hot caller, 1.5", 1.5, "6", NULL, NULL, 0, true},
	{"overload 1.5", 1.5, "10"},
	{"overload 3", 3, "10"},
	{"after it, 0.5", 0.5, "4"},
};

static struct cluster cluster;

static struct rig_process *start_load(const struct pattern *pattern,
				      double load, const char *caller, int seed)
{
	struct rig_process *process;
	char *rate = g_strdup_printf("%g", load * CAPACITY);
	char *seeds = g_strdup_printf("%d", seed);
	char *header = g_strdup_printf("X-Caller: %s", caller);
	char *a = g_strdup_printf("http://127.0.0.1:%u",
				  cluster.daemons[seed % UPSTREAMS]->caller_port);
	char *b = g_strdup_printf(
		"http://127.0.0.1:%u",
		cluster.daemons[(seed + 1) % UPSTREAMS]->caller_port);
	const char *burst = pattern->burst ? pattern->burst : "0:1:1";

	process = rig_start(cluster.rig, "standin/load/standin-load",
			    "--target", a, "--target", b, "--rate", rate,
			    "--seconds", pattern->seconds, "--seed", seeds,
			    "--header", header, "--burst", burst, "--id-prefix",
			    caller, "--share-nonidempotent", "0.1",
			    "--deadline-ms", "3000", NULL);
	g_free(rate);
	g_free(seeds);
	g_free(header);
	g_free(a);
	g_free(b);
	return process;
}

/* RETURN VALUE: a number in an object of the summary of standin-load, or -1 if
 * there is no such object. */
static int64_t summary_int(const char *json, const char *object, const char *name)
{
	char *mark = g_strdup_printf("\"%s\":", object);
	const char *found = strstr(json, mark);

	g_free(mark);
	return found ? rig_json_int(found, name) : -1;
}

static void print_summary(const char *title, const char *caller, const char *json)
{
	double scheduled = (double)rig_json_int(json, "scheduled");

	printf("%-30s %-7s %6.0f %7.4f %7.4f %7.4f %6.1f %7.1f %7.1f %8.1f "
	       "%8.1f\n",
	       title, caller, scheduled,
	       (double)rig_json_int(json, "served") / scheduled,
	       (double)rig_json_int(json, "not-run") / scheduled,
	       (double)(rig_json_int(json, "unknown") +
			rig_json_int(json, "timed-out") +
			rig_json_int(json, "broken")) /
		       scheduled,
	       (double)summary_int(json, "served_us", "p50") / 1000,
	       (double)summary_int(json, "served_us", "p99") / 1000,
	       (double)summary_int(json, "served_us", "p99.9") / 1000,
	       (double)summary_int(json, "refused_us", "p50") / 1000,
	       (double)summary_int(json, "refused_us", "p99") / 1000);
	if (rig_json_int(json, "wrong") != 0)
		g_error("a caller got the response to another request");
}

static void finish_load(struct rig_process *process, const char *title,
			const char *caller)
{
	char *out;

	if (rig_wait_end(process, WAIT_LOAD_MS) != 0)
		g_error("standin-load failed");
	out = rig_read_output(process);
	print_summary(title, caller, out);
	g_free(out);
}

static void run_pattern(const struct pattern *pattern)
{
	static const char *const callers[] = {"a", "b", "c"};
	double share = pattern->hot ? pattern->load / 3 : pattern->load;
	struct rig_process *loads[GENERATORS];
	struct rig_process *hot = NULL;

	if (pattern->fault)
		cluster_set_upstream(&cluster, pattern->faulty, pattern->fault);
	if (pattern->hot)
		hot = start_load(pattern, 2 * share, "hot", 9);
	for (int i = 0; i < GENERATORS; i++)
		loads[i] = start_load(pattern, share / GENERATORS, callers[i],
				      1 + 2 * i);
	for (int i = 0; i < GENERATORS; i++)
		finish_load(loads[i], pattern->title, callers[i]);
	if (hot)
		finish_load(hot, pattern->title, "hot");
	if (pattern->fault)
		cluster_set_upstream(&cluster, pattern->faulty,
				     "{\"factor\": 1, \"fail_fast\": false}");
	rig_sleep_ms(SETTLE_MS);
}

static int64_t sum_of(const char *counter)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < cluster.count; i++)
		sum += cluster_counter(&cluster, i, counter);
	return sum;
}

int main(void)
{
	struct cluster_options options = {
		.count = UPSTREAMS,
		.config = CONFIG,
		.slots = SLOTS,
		.service_time_us = SERVICE_US,
	};

	bench_print_head("bench/patterns");
	printf("%d upstreams of %s slots, %s us per call, deadline 1000 ms; "
	       "shares of the calls, times in ms\n\n",
	       UPSTREAMS, SLOTS, SERVICE_US);
	printf("%-30s %-7s %6s %7s %7s %7s %6s %7s %7s %8s %8s\n", "pattern",
	       "caller", "calls", "served", "not-run", "unknown", "p50", "p99",
	       "p99.9", "refused", "ref.p99");
	cluster_start(&cluster, &options);
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++)
		run_pattern(&patterns[i]);
	printf("\nattempts %" G_GINT64_FORMAT ", retries %" G_GINT64_FORMAT
	       ", hedges %" G_GINT64_FORMAT ", probes %" G_GINT64_FORMAT
	       ", answered late %" G_GINT64_FORMAT "\n",
	       sum_of("entry_attempts"), sum_of("entry_retries"),
	       sum_of("entry_hedges"), sum_of("probe_sent"),
	       sum_of("owner_late"));
	cluster_stop(&cluster);
	return EXIT_SUCCESS;
}
