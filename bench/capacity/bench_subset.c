/*
 * NAME
 *	bench_subset - how evenly entries' subsets cover the upstreams
 *
 * SYNOPSIS
 *	bench-subset ENTRIES...
 *
 * DESCRIPTION
 *	For services of 50, 100, 300 and 600 upstreams in three failure domains
 *	and each number of entries, prints the largest and the smallest number
 *	of entries whose subset contains one upstream, relative to the mean; how
 *	many members of a subset change when one upstream leaves and when one
 *	joins; and the processor time to choose one subset.
 *
 *	The number of entries that chose an upstream bounds its load but does
 *	not determine it, since an entry sends less to loaded upstreams. So the
 *	load is printed as well, for CALLS calls per entry that each go to the
 *	least loaded upstream of the entry's subset.
 */
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "comfreydockd/decide/subset.h"

#define DOMAINS 3
#define UPSTREAMS_MAX 600
#define ENTRIES_MAX 22000
#define CALLS 200
#define SUBSET_MOST (UPSTREAMS_MAX / SUBSET_PART + 1)

struct bench {
	char names[UPSTREAMS_MAX + 1][24];
	struct subset_upstream upstreams[UPSTREAMS_MAX + 1];
	size_t count;
	size_t entries;
	unsigned int chosen_by[UPSTREAMS_MAX + 1];
	bool before[UPSTREAMS_MAX + 1];
	uint16_t subsets[ENTRIES_MAX][SUBSET_MOST];
	size_t size; /* of each subset */
	unsigned int load[UPSTREAMS_MAX + 1];
};

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void choose_subset(struct bench *bench, size_t entry, size_t first,
			  size_t count)
{
	char name[24];

	g_snprintf(name, sizeof(name), "entry-%zu", entry);
	for (size_t i = 0; i < bench->count + 1; i++)
		bench->upstreams[i] = (struct subset_upstream){
			.host = bench->names[i],
			.local = i % DOMAINS == entry % DOMAINS,
		};
	subset_choose(name, bench->upstreams + first, count, subset_size(count));
}

/* RETURN VALUE: the mean number of upstreams that are new in a subset. */
static double mean_changes(struct bench *bench, size_t first, size_t count)
{
	size_t changes = 0;
	size_t entries = MIN(bench->entries, 300);

	for (size_t entry = 0; entry < entries; entry++) {
		choose_subset(bench, entry, 0, bench->count);
		for (size_t i = 0; i <= bench->count; i++)
			bench->before[i] = bench->upstreams[i].chosen;
		choose_subset(bench, entry, first, count);
		for (size_t i = 0; i <= bench->count; i++)
			changes +=
				bench->upstreams[i].chosen && !bench->before[i];
	}
	return (double)changes / (double)entries;
}

static void call_once(struct bench *bench, size_t entry)
{
	const uint16_t *subset = bench->subsets[entry];
	uint16_t least = subset[0];

	for (size_t i = 1; i < bench->size; i++) {
		if (bench->load[subset[i]] < bench->load[least])
			least = subset[i];
	}
	bench->load[least]++;
}

static void run_calls(struct bench *bench)
{
	memset(bench->load, 0, sizeof(bench->load));
	for (size_t i = 0; i < CALLS; i++) {
		for (size_t entry = 0; entry < bench->entries; entry++)
			call_once(bench, entry);
	}
}

static void note_choice(struct bench *bench, size_t entry)
{
	size_t kept = 0;

	for (size_t i = 0; i < bench->count; i++) {
		if (!bench->upstreams[i].chosen)
			continue;
		bench->subsets[entry][kept++] = (uint16_t)i;
		bench->chosen_by[i]++;
	}
}

static void print_spread(const unsigned int *values, size_t count,
			 const char *what)
{
	unsigned int most = 0;
	unsigned int fewest = UINT_MAX;
	double sum = 0;

	for (size_t i = 0; i < count; i++) {
		most = MAX(most, values[i]);
		fewest = MIN(fewest, values[i]);
		sum += values[i];
	}
	printf("%s max/mean %.2f min/mean %.2f, ", what,
	       most * (double)count / sum, fewest * (double)count / sum);
}

static void run_size(struct bench *bench, size_t count, size_t entries)
{
	double began;

	bench->count = count;
	bench->entries = entries;
	bench->size = subset_size(count);
	memset(bench->chosen_by, 0, sizeof(bench->chosen_by));
	for (size_t i = 0; i <= count; i++)
		g_snprintf(bench->names[i], sizeof(bench->names[i]),
			   "upstream-%zu", i);
	began = now_s();
	for (size_t entry = 0; entry < entries; entry++) {
		choose_subset(bench, entry, 0, count);
		note_choice(bench, entry);
	}
	began = now_s() - began;
	run_calls(bench);
	printf("%zu entries, %zu upstreams, %zu each: ", entries, count,
	       bench->size);
	print_spread(bench->chosen_by, count, "chosen by");
	print_spread(bench->load, count, "load");
	printf("%.2f members change on a leave, %.2f on a join, %.1f us\n",
	       mean_changes(bench, 1, count - 1),
	       mean_changes(bench, 0, count + 1), began / (double)entries * 1e6);
}

int main(int argc, char **argv)
{
	static const size_t counts[] = {50, 100, 300, 600};
	struct bench *bench = g_new0(struct bench, 1);

	for (int i = 1; i < argc; i++) {
		int entries = CLAMP(atoi(argv[i]), 1, ENTRIES_MAX);

		for (size_t j = 0; j < G_N_ELEMENTS(counts); j++)
			run_size(bench, counts[j], (size_t)entries);
	}
	g_free(bench);
	return 0;
}
