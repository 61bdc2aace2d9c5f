/*
 * Measures what the entry and the owner add to a call in latency, processor
 * time and memory. Direct calls and calls through both daemons alternate in one
 * run, so that other load on the machine affects both alike.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "raw.h"

#define SLOTS "4000"
#define SERVICE_US "1000"
#define DESIGN_RATE 300
#define ROUNDS 8
#define ROUND_SECONDS 5
#define STEP_SECONDS 3
#define FIRST_RATE 4000
#define RATE_STEP 4000
#define OWNERS 3
#define GENERATORS 4
#define SATURATED_SHARE 0.85
#define SERVED_SHARE 0.99
#define SETTLE_MS 1500

static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
static const char *const host_names[] = {"entry", "owner"};

static void print_quantiles(const char *name, struct bench_result *result)
{
	printf("  %-8s", name);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf(" p%g %" G_GINT64_FORMAT, quantiles[i] * 100,
		       bench_quantile_us(result, quantiles[i]));
	printf(" us, %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
	       " served, %" G_GINT64_FORMAT " wrong\n",
	       result->served, result->scheduled, result->wrong);
}

static void print_added(struct bench_result *direct, struct bench_result *through)
{
	printf("  %-8s", "added");
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf(" p%g %" G_GINT64_FORMAT, quantiles[i] * 100,
		       bench_quantile_us(through, quantiles[i]) -
			       bench_quantile_us(direct, quantiles[i]));
	printf(" us\n");
}

/* RETURN VALUE: the processor time of the entry, or of all owners together. */
static int64_t cpu_us_of(const struct bench_result *result, int role)
{
	int64_t sum_us = 0;

	if (role == BENCH_ENTRY)
		return result->cpu_us[BENCH_ENTRY];
	for (int i = BENCH_OWNER; i < CLUSTER_MAX; i++)
		sum_us += result->cpu_us[i];
	return sum_us;
}

static void print_cpu(const struct bench_result *result)
{
	for (int i = BENCH_ENTRY; i <= BENCH_OWNER; i++) {
		int64_t cpu_us = cpu_us_of(result, i);
		double per_call = (double)cpu_us / (double)MAX(result->served, 1);

		printf("  %-8s %.0f us of processor time per call",
		       host_names[i], per_call);
		printf(", %.0f calls/s per core", 1e6 / MAX(per_call, 1e-3));
		printf(", %.0f%% of a core used\n",
		       (double)cpu_us / result->elapsed_s / 1e4);
	}
}

static void compare_paths(struct cluster *cluster, double rate, int generators,
			  int rounds)
{
	struct bench_load load = {
		.rate = rate,
		.seconds = ROUND_SECONDS,
		.generators = generators,
	};
	struct bench_result direct;
	struct bench_result through;

	bench_result_init(&direct);
	bench_result_init(&through);
	for (int i = 1; i <= rounds; i++) {
		load.seed = i;
		load.direct = true;
		bench_run(cluster, &load, &direct);
		load.direct = false;
		bench_run(cluster, &load, &through);
	}
	printf("at %g calls/s, %d rounds of %d s each way:\n", rate, rounds,
	       ROUND_SECONDS);
	print_quantiles("direct", &direct);
	print_quantiles("through", &through);
	print_added(&direct, &through);
	print_cpu(&through);
	bench_result_finish(&direct);
	bench_result_finish(&through);
}

static bool entry_is_saturated(const struct bench_result *result)
{
	return (double)result->cpu_us[BENCH_ENTRY] / 1e6 >
		       SATURATED_SHARE * result->elapsed_s ||
	       (double)result->served < SERVED_SHARE * (double)result->scheduled;
}

/* RETURN VALUE: the highest rate that did not saturate the entry's core. */
static double find_saturation_rate(struct cluster *cluster)
{
	double rate = FIRST_RATE;

	for (;; rate += RATE_STEP) {
		struct bench_load load = {
			.rate = rate,
			.seconds = STEP_SECONDS,
			.generators = GENERATORS,
			.seed = 1,
		};
		struct bench_result result;
		bool full;

		bench_result_init(&result);
		bench_run(cluster, &load, &result);
		printf("at %g calls/s, one step of %d s:\n", rate, STEP_SECONDS);
		print_quantiles("through", &result);
		print_cpu(&result);
		full = entry_is_saturated(&result);
		bench_result_finish(&result);
		if (full)
			return rate - RATE_STEP;
	}
}

/* The entry has one core, and there are enough owners and load generators that
 * the entry saturates first. */
static void measure_saturation(void)
{
	struct cluster cluster;
	double full;

	printf("%d owners, %d load generators:\n", OWNERS, GENERATORS);
	bench_start(&cluster, OWNERS, SLOTS, SERVICE_US);
	full = find_saturation_rate(&cluster);
	compare_paths(&cluster, full, GENERATORS, 2);
	cluster_stop(&cluster);
}

static void open_callers(struct cluster *cluster, int *fds, int count,
			 const char *request)
{
	for (int i = 0; i < count; i++) {
		fds[i] = raw_connect(cluster->daemons[BENCH_ENTRY]->caller_port);
		raw_send_text(fds[i], request);
		if (i % 100 == 99)
			rig_sleep_ms(20);
	}
	rig_sleep_ms(SETTLE_MS);
}

static void close_callers(const int *fds, int count)
{
	for (int i = 0; i < count; i++)
		close(fds[i]);
	rig_sleep_ms(SETTLE_MS);
}

/* Starts new daemons for each size, since a process keeps freed memory. */
static void print_memory(const char *name, const char *request,
			 const char *service_us)
{
	static const int sizes[] = {0, 500, 1000, 2000};
	int64_t first[BENCH_OWNER + 1];
	int fds[2000];

	printf("%s, VmRSS:\n", name);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cluster cluster;

		bench_start(&cluster, 1, SLOTS, service_us);
		open_callers(&cluster, fds, sizes[i], request);
		printf("  %4d:", sizes[i]);
		for (int host = 0; host <= BENCH_OWNER; host++) {
			int64_t kib = process_memory_kib(
				cluster.daemons[host]->pid, "VmRSS");

			if (i == 0)
				first[host] = kib;
			printf(" %s %" G_GINT64_FORMAT " KiB", host_names[host],
			       kib);
			if (i > 0)
				printf(" (%.1f KiB each)",
				       (double)(kib - first[host]) / sizes[i]);
		}
		printf("\n");
		close_callers(fds, sizes[i]);
		cluster_stop(&cluster);
	}
}

static void measure_design_rate(int rounds)
{
	struct cluster cluster;

	bench_start(&cluster, 1, SLOTS, SERVICE_US);
	compare_paths(&cluster, DESIGN_RATE, 1, rounds);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	bench_print_head("bench/overhead");
	printf("upstream: %s us per call\n", SERVICE_US);
	measure_design_rate(ROUNDS);
	if (argc > 1 && strcmp(argv[1], "--latency") == 0)
		return 0;
	measure_saturation();
	print_memory("idle connections from callers",
		     "GET /idle HTTP/1.1\r\nHost: h\r\n\r\n", SERVICE_US);
	print_memory("attempts that run, each with its caller's connection",
		     "GET /run HTTP/1.1\r\nHost: h\r\n\r\n", "20000000");
	return 0;
}
