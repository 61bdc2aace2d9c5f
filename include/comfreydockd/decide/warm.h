/*
 * NAME
 *	warm - a ramp for an upstream that has just started or resumed
 *
 * DESCRIPTION
 *	From a tenth of its slots and weight, in a straight line, to all of
 *	them over the declared time. The owner bounds its limit by
 *	warm_slots(); entries scale an upstream's weight by
 *	warm_weight_permille(), or see the bounded limit in its load.
 *
 * LOAD PATTERN
 *	Cold start; resume after a drain.
 *
 * WITHOUT IT
 *	The newcomer is idle and so looks best to everybody; all its slots fill
 *	with requests that are slow on cold caches, and callers wait on them.
 *
 * GROUNDS
 *	The time is the upstream's own declaration. A start at a tenth and a
 *	straight line are assumptions. At least one slot is always allowed, or
 *	the upstream would never become warm.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_WARM_H
#define COMFREYDOCKD_DECIDE_WARM_H

#include <stdbool.h>
#include <stdint.h>

#define WARM_FULL_PERMILLE 1000

struct warm {
	int64_t start_us;
	int64_t duration_us; /* 0: warm from the start */
};

/* Begins a ramp, on a start or on a resume. */
void warm_begin(struct warm *warm, uint32_t warm_ms, int64_t now_us);

/* RETURN VALUE: from 100 to 1000. */
uint32_t warm_weight_permille(const struct warm *warm, int64_t now_us);

/* RETURN VALUE: the slots of the limit that may be used now, at least 1. */
uint32_t warm_slots(const struct warm *warm, uint32_t limit, int64_t now_us);

/* RETURN VALUE: when the ramp ends; a time in the past if it has. */
int64_t warm_end_us(const struct warm *warm);

bool warm_is_complete(const struct warm *warm, int64_t now_us);

#endif
