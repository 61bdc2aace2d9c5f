/*
 * NAME
 *	warm - a slow-start ramp for an upstream that has just started or
 *	resumed
 *
 * DESCRIPTION
 *	Slots and weight rise linearly from a tenth to their full values over
 *	the declared time. The owner bounds its limit by warm_slots(). Entries
 *	scale an upstream's weight by warm_weight_permille(), or see the bounded
 *	limit in its load.
 *
 * LOAD PATTERN
 *	Cold start; resume after a drain.
 *
 * WITHOUT IT
 *	The new upstream is idle and therefore looks best to all entries. All
 *	its slots fill with requests that are slow because of cold caches, and
 *	callers wait for them.
 *
 * GROUNDS
 *	The upstream declares the duration. At least one slot is always allowed;
 *	otherwise, the upstream would never become warm.
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

/* Begins a ramp, on a start or a resume. */
void warm_begin(struct warm *warm, uint32_t warm_ms, int64_t now_us);

/* RETURN VALUE: from 100 to 1000. */
uint32_t warm_weight_permille(const struct warm *warm, int64_t now_us);

/* RETURN VALUE: how many slots of the limit may be used now, at least 1. */
uint32_t warm_slots(const struct warm *warm, uint32_t limit, int64_t now_us);

/* RETURN VALUE: when the ramp ends; in the past if it has ended. */
int64_t warm_end_us(const struct warm *warm);

bool warm_is_complete(const struct warm *warm, int64_t now_us);

#endif
