#include "comfreydockd/upstream/recent_ids.h"

#include <string.h>
#include <xxhash.h>

void recent_ids_init(struct recent_ids *ids)
{
	ids->current = g_hash_table_new(NULL, NULL);
	ids->previous = g_hash_table_new(NULL, NULL);
	ids->since_us = 0;
}

void recent_ids_finish(struct recent_ids *ids)
{
	g_hash_table_unref(ids->current);
	g_hash_table_unref(ids->previous);
}

static void recent_ids_turn(struct recent_ids *ids, int64_t now_us)
{
	GHashTable *oldest = ids->previous;

	ids->previous = ids->current;
	ids->current = oldest;
	g_hash_table_remove_all(ids->current);
	ids->since_us = now_us;
}

static gpointer hash_of(const char *id)
{
	return GSIZE_TO_POINTER(XXH3_64bits(id, strlen(id)));
}

void recent_ids_add(struct recent_ids *ids, const char *id, int64_t now_us)
{
	if (now_us - ids->since_us > RECENT_IDS_KEEP_US ||
	    g_hash_table_size(ids->current) >= RECENT_IDS_MAX)
		recent_ids_turn(ids, now_us);
	g_hash_table_add(ids->current, hash_of(id));
}

bool recent_ids_has(const struct recent_ids *ids, const char *id)
{
	return g_hash_table_contains(ids->current, hash_of(id)) ||
	       g_hash_table_contains(ids->previous, hash_of(id));
}
