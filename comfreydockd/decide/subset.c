#include "comfreydockd/decide/subset.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

struct ranked {
	uint64_t rank;
	struct subset_upstream *upstream;
};

static int compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return strcmp(x->upstream->host, y->upstream->host);
}

static size_t choose_first(struct ranked *ranked, size_t count, size_t wanted,
			   bool only_local)
{
	size_t chosen = 0;

	for (size_t i = 0; i < count && chosen < wanted; i++) {
		struct subset_upstream *upstream = ranked[i].upstream;

		if (upstream->chosen || (only_local && !upstream->local))
			continue;
		upstream->chosen = true;
		chosen++;
	}
	return chosen;
}

size_t subset_size(size_t count)
{
	return MIN(count, MAX((size_t)SUBSET_SIZE, count / SUBSET_PART));
}

size_t subset_choose(const char *entry_host, struct subset_upstream *upstreams,
		     size_t count, size_t size)
{
	uint64_t seed = XXH64(entry_host, strlen(entry_host), 0);
	struct ranked *ranked = g_new(struct ranked, count);
	size_t wanted = MIN(size, count);
	size_t chosen;

	for (size_t i = 0; i < count; i++) {
		const char *host = upstreams[i].host;

		upstreams[i].chosen = false;
		ranked[i].upstream = &upstreams[i];
		ranked[i].rank = XXH64(host, strlen(host), seed);
	}
	if (count > 0)
		qsort(ranked, count, sizeof(*ranked), compare_ranked);
	chosen = choose_first(ranked, count, wanted / 2, true);
	chosen += choose_first(ranked, count, wanted - chosen, false);
	g_free(ranked);
	return chosen;
}
