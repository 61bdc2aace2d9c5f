#include "bench/capacity/usage.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define NS_PER_S ((int64_t)1000000000)
#define RSS_MARK "VmRSS:"

int64_t usage_cpu_ns(pid_t pid)
{
	struct timespec spent;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) != 0 ||
	    clock_gettime(clock, &spent) < 0)
		return 0;
	return spent.tv_sec * NS_PER_S + spent.tv_nsec;
}

int64_t usage_rss_kib(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *line = NULL;
	int64_t kib = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		line = strstr(text, RSS_MARK);
	if (line)
		kib = g_ascii_strtoll(line + strlen(RSS_MARK), NULL, 10);
	g_free(text);
	g_free(path);
	return kib;
}

void usage_fit_add(struct usage_fit *fit, double x, double y)
{
	if (fit->count == USAGE_POINTS_MAX)
		return;
	fit->x[fit->count] = x;
	fit->y[fit->count] = y;
	fit->count++;
}

static double fit_slope(const struct usage_fit *fit, double *base)
{
	double sum_x = 0;
	double sum_y = 0;
	double sum_xx = 0;
	double sum_xy = 0;
	double n = fit->count;
	double spread;
	double slope;

	for (unsigned int i = 0; i < fit->count; i++) {
		sum_x += fit->x[i];
		sum_y += fit->y[i];
		sum_xx += fit->x[i] * fit->x[i];
		sum_xy += fit->x[i] * fit->y[i];
	}
	spread = n * sum_xx - sum_x * sum_x;
	slope = spread > 0 ? (n * sum_xy - sum_x * sum_y) / spread : 0;
	*base = n > 0 ? (sum_y - slope * sum_x) / n : 0;
	return slope;
}

void usage_fit_print(const struct usage_fit *fit, const char *what, double at)
{
	double base;
	double slope = fit_slope(fit, &base);
	double farthest = 0;

	for (unsigned int i = 0; i < fit->count; i++)
		farthest = fmax(farthest,
				fabs(base + slope * fit->x[i] - fit->y[i]));
	printf("fit: %s = %.6g + %.6g * n, %u sizes, largest deviation %.3g; "
	       "at %.0f: %.4g\n",
	       what, base, slope, fit->count, farthest, at, base + slope * at);
}
