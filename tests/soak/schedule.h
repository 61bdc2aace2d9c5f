/*
 * NAME
 *	schedule - draws the times and kinds of faults from a seed
 *
 * DESCRIPTION
 *	A round has three phases. In the disrupted phase any fault may occur,
 *	also several at once and in sequence. In the recovery phase none begins,
 *	so that the programs can reconnect. In the planned phase only faults
 *	occur that no caller may notice (IMPACT_NONE).
 *
 *	The same seed and sizes always give the same schedule, whatever the
 *	programs do.
 */
#ifndef TESTS_SOAK_SCHEDULE_H
#define TESTS_SOAK_SCHEDULE_H

#include "faults.h"

struct schedule_event {
	int64_t at_ms; /* since the start */
	int64_t for_ms; /* the upper limit if the fault has is_over() */
	const struct fault *fault;
	unsigned int host;
};

/* The recovery phase: how long the programs may take to reconnect. */
#define SCHEDULE_RECOVERY_MS 5000

/* The mean time between two faults, for six hosts. It is so short that several
 * faults are active at any moment. */
#define SCHEDULE_GAP_MS 500

/* RETURN VALUE: an array of struct schedule_event, sorted by time, that the
 * caller frees. */
GArray *schedule_create(guint32 seed, unsigned int hosts, int seconds,
			int mean_gap_ms);

#endif
