/*
 * NAME
 *	subset - the upstreams that an entry keeps connections to
 *
 * DESCRIPTION
 *	Each entry ranks all upstreams of a service by a hash of both names and
 *	takes the first ones: half of them from its own failure domain, as far
 *	as there are any, the rest from all that are left. The choice needs no
 *	agreement, is the same after a restart, and a change of one upstream
 *	changes at most one or two places in each subset.
 *
 * LOAD PATTERN
 *	Services with hundreds of upstreams, and as many entries.
 *
 * WITHOUT IT
 *	500 entries times 500 upstreams are 250,000 connections; each entry
 *	sees too few answers of each upstream to know anything about it.
 *
 * GROUNDS
 *	SUBSET_SIZE is an assumption: above the 7 upstreams of today's
 *	services, so that these stay whole. Measured by tests/test_subset.c
 *	with 300 entries, 300 upstreams and 3 failure domains: the upstream that
 *	most entries chose has 1.54 times the mean.
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

#define SUBSET_SIZE 24

struct subset_upstream {
	const char *host;
	bool local; /* in the entry's own failure domain */
	bool chosen; /* the result */
};

/*
 * Sets chosen on min(size, count) upstreams.
 *
 * RETURN VALUE
 *	How many were chosen.
 */
size_t subset_choose(const char *entry_host, struct subset_upstream *upstreams,
		     size_t count, size_t size);

#endif
