/*
 * NAME
 *	faults - what the soak does to the programs, from outside
 *
 * DESCRIPTION
 *	A fault has a part of a host that it concerns. Two of them never meet at
 *	one part of one host; anything else may overlap.
 *
 *	harm says what callers may notice of it, see verdict.h.
 */
#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "fleet.h"

enum fault_part {
	PART_DAEMON,
	PART_UPSTREAM,
	PART_PEERS, /* the link from the other daemons */
	PART_STORE_LINK,
	PART_UPSTREAM_LINK,
	PART_STORE, /* the same for all hosts */
	PART_CONFIG, /* the same for all hosts */
	PARTS,
};

enum fault_impact {
	IMPACT_NONE, /* no caller may notice: a planned change, or the store's */
	IMPACT_ATTEMPTS, /* work at the host may be lost, late or of unknown outcome */
	IMPACT_CALLERS, /* callers of its daemon may be cut off, too */
};

struct fault {
	const char *name;
	enum fault_part part;
	enum fault_impact impact;
	int min_ms; /* how long it lasts */
	int max_ms;
	void (*begin)(struct fleet *fleet, unsigned int i);
	/* NULL: nothing is to be done. */
	void (*end)(struct fleet *fleet, unsigned int i);
	/* RETURN VALUE: whether the end may come; NULL: when its time is over. */
	bool (*is_over)(struct fleet *fleet, unsigned int i);
};

extern const struct fault faults[];
extern const unsigned int fault_count;

/* RETURN VALUE: whether each host has such a part of its own. */
bool fault_part_is_per_host(enum fault_part part);

#endif
