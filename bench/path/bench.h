/*
 * NAME
 *	bench - a cluster with one daemon as entry and the others as owners
 *
 * DESCRIPTION
 *	d0 receives the calls. Its own upstream is drained, so that each call
 *	crosses a frame connection to another daemon and runs on that daemon's
 *	upstream.
 */
#ifndef BENCH_PATH_BENCH_H
#define BENCH_PATH_BENCH_H

#include <glib.h>

#include "cluster.h"
#include "process.h"

#define BENCH_ENTRY 0
#define BENCH_OWNER 1 /* the first owner */

struct bench_load {
	bool direct; /* calls go to the upstreams in rotation */
	double rate; /* calls per second, of all generators */
	double seconds;
	int generators; /* load generator processes */
	int seed;
};

struct bench_result {
	GArray *latencies_us; /* of int64_t, sorted; answered calls only */
	int64_t scheduled;
	int64_t served;
	int64_t wrong;
	int64_t cpu_us[CLUSTER_MAX]; /* processor time of each daemon */
	double elapsed_s;
};

void bench_start(struct cluster *cluster, unsigned int owners,
		 const char *slots, const char *service_time_us);

/* Runs open-loop load and adds the results to *result. */
void bench_run(struct cluster *cluster, const struct bench_load *load,
	       struct bench_result *result);

void bench_result_init(struct bench_result *result);
void bench_result_finish(struct bench_result *result);

/* RETURN VALUE: a quantile of the latencies in microseconds, by nearest rank,
 * or -1 if there are none. */
int64_t bench_quantile_us(struct bench_result *result, double quantile);

/* Prints the head of a report: the command, the date and the machine. */
void bench_print_head(const char *command);

#endif
