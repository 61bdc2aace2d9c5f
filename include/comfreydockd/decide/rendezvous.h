/*
 * NAME
 *	rendezvous - chooses a few of many hosts, the same ones at each daemon
 *
 * DESCRIPTION
 *	Each daemon computes the weights of all hosts and chooses those with the
 *	highest ones. A host that joins or leaves changes at most one of them.
 *
 * SOURCE
 *	Thaler, Ravishankar, "Using name-based mappings to increase hit rates",
 *	IEEE/ACM Transactions on Networking 6(1), 1998.
 */
#ifndef COMFREYDOCKD_DECIDE_RENDEZVOUS_H
#define COMFREYDOCKD_DECIDE_RENDEZVOUS_H

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

static inline uint64_t rendezvous_weight(const char *host, const char *domain)
{
	uint64_t seed = XXH64(domain, strlen(domain), 0);

	return XXH64(host, strlen(host), seed);
}

#endif
