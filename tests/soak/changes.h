/*
 * NAME
 *	changes - the operator's versions and when each was written
 *
 * DESCRIPTION
 *	Each version adds a route of its own, /vN/, which the CHANGES_ROUTE_LIFE
 *	versions from N on have. The route /list/ is in all versions. So the
 *	outcome of a request tells which versions can have led to it.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef TESTS_SOAK_CHANGES_H
#define TESTS_SOAK_CHANGES_H

#include "fleet.h"

#define CHANGES_ROUTE_LIFE 3
/* The route that all versions have. */
#define CHANGES_LASTING_ROUTE 0

struct change {
	unsigned int version;
	int64_t sent_us;
	int64_t acked_us; /* INT64_MAX: the store has not answered */
};

struct changes {
	GMutex lock;
	GArray *all; /* of struct change, in the order in which they were sent */
};

void changes_init(struct changes *changes);
void changes_finish(struct changes *changes);

/* Writes the operator's row. A version below one that was written before is an
 * operator's mistake. */
void changes_put(struct changes *changes, const struct fleet *fleet,
		 unsigned int version);

/* RETURN VALUE: the highest version that was sent. May be called from any
 * thread. */
unsigned int changes_latest(struct changes *changes);

/* RETURN VALUE: whether the version has the route /vN/ of version route. */
bool changes_has_route(unsigned int version, unsigned int route);

#endif
