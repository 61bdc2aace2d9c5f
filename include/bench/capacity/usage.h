/*
 * NAME
 *	usage - processor time and memory of a process, and a linear fit
 */
#ifndef BENCH_CAPACITY_USAGE_H
#define BENCH_CAPACITY_USAGE_H

#include <stdint.h>
#include <sys/types.h>

#define USAGE_POINTS_MAX 16

/* A least-squares fit of y = base + slope * x. */
struct usage_fit {
	double x[USAGE_POINTS_MAX];
	double y[USAGE_POINTS_MAX];
	unsigned int count;
};

/* RETURN VALUE: the processor time used so far in nanoseconds, or 0 if it can't
 * be read. */
int64_t usage_cpu_ns(pid_t pid);

/* RETURN VALUE: the resident memory in KiB, or 0 if it can't be read. */
int64_t usage_rss_kib(pid_t pid);

/* Adds a point. Points beyond USAGE_POINTS_MAX are ignored. */
void usage_fit_add(struct usage_fit *fit, double x, double y);

/* Prints the fitted line, the largest deviation of a point from it, and its
 * value at x = at. */
void usage_fit_print(const struct usage_fit *fit, const char *what, double at);

#endif
