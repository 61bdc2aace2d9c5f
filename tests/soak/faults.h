/*
 * NAME
 *	faults - the faults that the soak test injects into the programs
 *
 * DESCRIPTION
 *	Each fault affects one part of a host. Two faults never overlap on the
 *	same part of the same host; any others may overlap.
 *
 *	The impact says what callers may notice of the fault, see verdict.h.
 */
#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "changes.h"

enum fault_part {
	PART_DAEMON,
	PART_UPSTREAM,
	PART_PEERS, /* the link from the other daemons to this one */
	PART_STORE_LINK,
	PART_UPSTREAM_LINK,
	PART_STORE, /* shared by all hosts */
	PART_CONFIG, /* shared by all hosts */
	PARTS,
};

enum fault_impact {
	/* Planned changes and faults of the store: no caller may notice. */
	IMPACT_NONE,
	/* Attempts at the host may be lost, late or of unknown outcome. */
	IMPACT_ATTEMPTS,
	/* In addition, callers of the host's daemon may lose connections. */
	IMPACT_CALLERS,
};

struct fault {
	const char *name;
	enum fault_part part;
	enum fault_impact impact;
	int min_ms; /* the shortest duration */
	int max_ms; /* the longest duration */
	void (*begin)(struct fleet *fleet, unsigned int i);
	/* NULL: there is nothing to undo. */
	void (*end)(struct fleet *fleet, unsigned int i);
	/* RETURN VALUE: whether the fault has ended before max_ms. NULL: it
	 * ends after the scheduled duration. */
	bool (*is_over)(struct fleet *fleet, unsigned int i);
};

/* Sets the changes that the faults of PART_CONFIG write; must be called first. */
void faults_init(struct changes *changes);

extern const struct fault faults[];
extern const unsigned int fault_count;

/* RETURN VALUE: whether each host has its own instance of the part. */
bool fault_part_is_per_host(enum fault_part part);

#endif
