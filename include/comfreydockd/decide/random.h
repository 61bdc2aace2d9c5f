/*
 * NAME
 *	random - pseudorandom numbers with a fixed seed
 *
 * DESCRIPTION
 *	Each decision takes its generator as an argument, so that a test or a
 *	replay with the same seed makes the same decisions. Not suitable for
 *	secrets.
 *
 * SOURCE
 *	Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators",
 *	OOPSLA 2014 (splitmix64).
 */
#ifndef COMFREYDOCKD_DECIDE_RANDOM_H
#define COMFREYDOCKD_DECIDE_RANDOM_H

#include <stdint.h>

struct random_state {
	uint64_t state;
};

static inline uint64_t random_u64(struct random_state *random)
{
	uint64_t z = (random->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* RETURN VALUE: at least 0, less than 1. */
static inline double random_unit(struct random_state *random)
{
	return (double)(random_u64(random) >> 11) * 0x1.0p-53;
}

/* RETURN VALUE: at least 0, less than bound; 0 if bound is 0. The bias is below
 * bound / 2^53. */
static inline uint64_t random_below(struct random_state *random, uint64_t bound)
{
	return (uint64_t)(random_unit(random) * (double)bound);
}

#endif
