/*
 * NAME
 *	recent_ids - the ids of the requests that were answered in the last minute
 *
 * DESCRIPTION
 *	An answer names its request, not the run: if a request is sent twice
 *	under one id, a late second answer to the first run passes for the
 *	second run's. It can arrive only on the connection of the first run, so
 *	a request whose id is kept here must be sent on another.
 *
 *	Ids are kept as hashes. Two ids with the same hash cost a connection,
 *	nothing else.
 */
#ifndef COMFREYDOCKD_UPSTREAM_RECENT_IDS_H
#define COMFREYDOCKD_UPSTREAM_RECENT_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An id is kept for at least RECENT_IDS_KEEP_US, unless more than
 * RECENT_IDS_MAX others came since. */
#define RECENT_IDS_KEEP_US INT64_C(60000000)
#define RECENT_IDS_MAX 32768

struct recent_ids {
	GHashTable *current; /* of hashes */
	GHashTable *previous;
	int64_t since_us; /* when current was begun */
};

void recent_ids_init(struct recent_ids *ids);
void recent_ids_finish(struct recent_ids *ids);

void recent_ids_add(struct recent_ids *ids, const char *id, int64_t now_us);
bool recent_ids_has(const struct recent_ids *ids, const char *id);

#endif
