/*
 * NAME
 *	store_era - keeps versions unique when the store is restored
 *
 * DESCRIPTION
 *	The era of the store increases each time the store is restored from a
 *	backup, after which it assigns the same versions again. Versions that
 *	the client returns hold the low STORE_ERA_BITS of the era above the
 *	version of the store; see comfreydockd/platform/platform.h.
 */
#ifndef PLATFORM_STORE_ERA_H
#define PLATFORM_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/platform/platform.h"

/* The top bit stays 0, because conditions hold versions as signed integers. */
#define STORE_ERA_BITS (63 - PLATFORM_VERSION_BITS)

/* Starts as all zero. */
struct store_era {
	bool is_known;
	uint64_t current; /* the latest one received */
};

/* RETURN VALUE: the era in the text of the header, or 0 if text is NULL. */
uint64_t store_era_parse(const char *text);

/*
 * Updates the era with that of an answer. A delayed answer may hold an old era,
 * which is ignored.
 *
 * RETURN VALUE: true if the answer began a later era.
 */
bool store_era_update(struct store_era *era, uint64_t received);

/* RETURN VALUE: the era of a version. */
uint64_t store_era_of(uint64_t version);

/* RETURN VALUE: a version of the store combined with its era. */
uint64_t store_era_combine(uint64_t version, uint64_t era);

/* RETURN VALUE: the version of the store. If the version is of another era, a
 * version that the store never assigns. */
uint64_t store_era_strip(const struct store_era *era, uint64_t version);

#endif
