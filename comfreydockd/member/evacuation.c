#include "comfreydockd/member/evacuation.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t evacuation_key(const char *domain)
{
	return XXH3_64bits(domain, strlen(domain));
}

static const struct evacuation_entry *find(const struct evacuation *evacuation,
					   uint64_t key)
{
	for (size_t i = 0; i < evacuation->count; i++) {
		if (evacuation->entries[i].key == key)
			return &evacuation->entries[i];
	}
	return NULL;
}

bool evacuation_has(const struct evacuation *evacuation, uint64_t key)
{
	return find(evacuation, key);
}

static int compare_entries(const void *a, const void *b)
{
	uint64_t x = ((const struct evacuation_entry *)a)->key;
	uint64_t y = ((const struct evacuation_entry *)b)->key;

	return (x > y) - (x < y);
}

/* Fills a list without duplicates. Domains that were in the old list keep their
 * time. RETURN VALUE: the number of entries. */
static size_t build_list(const struct evacuation *evacuation,
			 const uint64_t *keys, size_t count, int64_t now_us,
			 struct evacuation_entry *entries)
{
	struct evacuation next = {.count = 0};

	for (size_t i = 0; i < count && next.count < EVACUATION_DOMAINS_MAX; i++) {
		const struct evacuation_entry *known = find(evacuation, keys[i]);

		if (find(&next, keys[i]))
			continue;
		next.entries[next.count].key = keys[i];
		next.entries[next.count++].since_us =
			known ? known->since_us : now_us;
	}
	qsort(next.entries, next.count, sizeof(next.entries[0]), compare_entries);
	memcpy(entries, next.entries, sizeof(next.entries));
	return next.count;
}

static bool same_list(const struct evacuation *evacuation,
		      const struct evacuation_entry *entries, size_t count)
{
	if (evacuation->count != count)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (evacuation->entries[i].key != entries[i].key)
			return false;
	}
	return true;
}

bool evacuation_replace(struct evacuation *evacuation, uint64_t as_of,
			const uint64_t *keys, size_t count, int64_t now_us)
{
	struct evacuation_entry entries[EVACUATION_DOMAINS_MAX];

	if (as_of <= evacuation->as_of)
		return false;
	evacuation->as_of = as_of;
	count = build_list(evacuation, keys, count, now_us, entries);
	if (same_list(evacuation, entries, count))
		return false;
	memcpy(evacuation->entries, entries, sizeof(entries));
	evacuation->count = count;
	if (evacuation->handle_changed)
		evacuation->handle_changed(evacuation, evacuation->data);
	return true;
}

static void apply_change(GArray *keys, const struct evacuation_change *change)
{
	for (guint i = 0; i < keys->len; i++) {
		if (g_array_index(keys, uint64_t, i) != change->key)
			continue;
		g_array_remove_index(keys, i);
		break;
	}
	if (change->is_evacuated)
		g_array_append_val(keys, change->key);
}

bool evacuation_apply(struct evacuation *evacuation, uint64_t as_of,
		      const struct evacuation_change *changes, size_t count,
		      int64_t now_us)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool has_changed;

	for (size_t i = 0; i < evacuation->count; i++)
		g_array_append_val(keys, evacuation->entries[i].key);
	for (size_t i = 0; i < count; i++) {
		if (changes[i].version > evacuation->as_of)
			apply_change(keys, &changes[i]);
	}
	has_changed = evacuation_replace(evacuation, as_of,
					 (const uint64_t *)keys->data,
					 keys->len, now_us);
	g_array_unref(keys);
	return has_changed;
}
