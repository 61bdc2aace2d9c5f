/*
 * NAME
 *	store_era - versions of a store that gives them out anew
 *
 * DESCRIPTION
 *	The store's era rises each time that it was set back to a copy. A
 *	version that leaves the client carries the last STORE_ERA_BITS of it
 *	above the store's own; see comfreydockd/platform/platform.h.
 */
#ifndef PLATFORM_STORE_ERA_H
#define PLATFORM_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/platform/platform.h"

/* The bit above stays free, as versions are signed in conditions. */
#define STORE_ERA_BITS (63 - PLATFORM_VERSION_BITS)

/* All zero at the start. */
struct store_era {
	bool is_known;
	uint64_t current; /* the latest heard of */
};

/* RETURN VALUE: of the header's text; 0 where that is NULL. */
uint64_t store_era_parse(const char *text);

/*
 * An answer tells its era; one that was long on its way, perhaps an old one.
 *
 * RETURN VALUE: true where a later one has begun.
 */
bool store_era_update(struct store_era *era, uint64_t told);

uint64_t store_era_of(uint64_t version);

/* RETURN VALUE: a version of the store's, with its era. */
uint64_t store_era_add(uint64_t version, uint64_t era);

/* RETURN VALUE: as the store knows it; one that it never gives out where the
 * version is of another era. */
uint64_t store_era_strip(const struct store_era *era, uint64_t version);

#endif
