/*
 * NAME
 *	bench - daemons of which one is the entry and the others are owners
 *
 * DESCRIPTION
 *	d0 takes the calls and its own upstream is drained, so that each call
 *	crosses a frame connection to another daemon and runs on the upstream
 *	there.
 */
#ifndef BENCH_PATH_BENCH_H
#define BENCH_PATH_BENCH_H

#include <glib.h>

#include "cluster.h"
#include "process.h"

#define BENCH_ENTRY 0
#define BENCH_OWNER 1 /* the first of them */

struct bench_load {
	bool direct; /* to the upstreams, by turns */
	double rate;
	double seconds;
	int generators; /* processes that share the rate */
	int seed;
};

struct bench_result {
	GArray *latencies_us; /* of int64_t, sorted; answered calls only */
	int64_t scheduled;
	int64_t served;
	int64_t wrong;
	int64_t cpu_us[CLUSTER_MAX]; /* of each daemon meanwhile */
	double elapsed_s;
};

void bench_start(struct cluster *cluster, unsigned int owners,
		 const char *slots, const char *service_time_us);

/* Open-loop calls; results are added to what is there. */
void bench_run(struct cluster *cluster, const struct bench_load *load,
	       struct bench_result *result);

void bench_result_init(struct bench_result *result);
void bench_result_finish(struct bench_result *result);

/* A quantile of the latencies in microseconds, by nearest rank; -1 if none. */
int64_t bench_quantile_us(struct bench_result *result, double quantile);

/* The first line of a report: how it was made, when and where. */
void bench_print_head(const char *command);

#endif
