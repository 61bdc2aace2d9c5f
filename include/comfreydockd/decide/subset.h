/*
 * NAME
 *	subset - the upstreams that an entry keeps connections to
 *
 * DESCRIPTION
 *	Each entry ranks all upstreams of a service by a hash of both names and
 *	takes the first ones: half of them from its own failure domain, as far
 *	as there are any, the rest from all that remain. The choice needs no
 *	coordination and is the same after a restart. A change of one upstream
 *	changes at most one or two places in each subset.
 *
 * LOAD PATTERN
 *	Services with hundreds of upstreams, and as many entries.
 *
 * WITHOUT IT
 *	500 entries times 500 upstreams are 250,000 connections, and each entry
 *	sees too few answers of each upstream to learn anything about it.
 *
 * GROUNDS
 *	SUBSET_SIZE is above the 7 upstreams of today's services, so that these
 *	are used as a whole. The load of an upstream does not depend on the
 *	number of entries that chose it, since entries send less to loaded
 *	upstreams. It does matter that each upstream is chosen by some entry, so
 *	a large service has larger subsets: 1/SUBSET_PART of it.
 *
 *	The loads that bench-subset gives are in docs/CAPACITY.md. With
 *	SUBSET_SIZE alone some upstreams of a large service with few entries are
 *	in no subset.
 *
 * SOURCE
 *	Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
 *	Rates", IEEE/ACM ToN 1998 (rendezvous hashing); "Site Reliability
 *	Engineering", chapter 20 (subsetting).
 */
#ifndef COMFREYDOCKD_DECIDE_SUBSET_H
#define COMFREYDOCKD_DECIDE_SUBSET_H

#include <stdbool.h>
#include <stddef.h>

#define SUBSET_SIZE 24 /* minimum, as far as there are any */
#define SUBSET_PART 8

/* RETURN VALUE: how many of count upstreams an entry chooses. */
size_t subset_size(size_t count);

struct subset_upstream {
	const char *host;
	bool local; /* in the entry's own failure domain */
	bool chosen; /* the result */
};

/*
 * Sets chosen on min(size, count) upstreams.
 *
 * RETURN VALUE
 *	The number of upstreams chosen.
 */
size_t subset_choose(const char *entry_host, struct subset_upstream *upstreams,
		     size_t count, size_t size);

#endif
