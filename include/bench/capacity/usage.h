/*
 * NAME
 *	usage - what a process costs, and a line through measured points
 */
#ifndef BENCH_CAPACITY_USAGE_H
#define BENCH_CAPACITY_USAGE_H

#include <stdint.h>
#include <sys/types.h>

#define USAGE_POINTS_MAX 16

/* y = base + slope * x by least squares. */
struct usage_fit {
	double x[USAGE_POINTS_MAX];
	double y[USAGE_POINTS_MAX];
	unsigned int count;
};

/* RETURN VALUE: processor time so far in nanoseconds, or 0. */
int64_t usage_cpu_ns(pid_t pid);

/* RETURN VALUE: resident memory in KiB, or 0. */
int64_t usage_rss_kib(pid_t pid);

/* More points than USAGE_POINTS_MAX are left out. */
void usage_fit_add(struct usage_fit *fit, double x, double y);

/* Prints the line, its farthest point, and its value at a size. */
void usage_fit_print(const struct usage_fit *fit, const char *what, double at);

#endif
