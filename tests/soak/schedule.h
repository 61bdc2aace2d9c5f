/*
 * NAME
 *	schedule - which faults come when, drawn from a seed
 *
 * DESCRIPTION
 *	Rough and planned times follow each other. In rough ones any fault may
 *	come, several at once and in series; in planned ones only those that no
 *	caller may notice. After a rough time there is a rest, in which the
 *	programs find each other again.
 *
 *	The same seed and sizes give the same schedule, whatever the programs
 *	do.
 */
#ifndef TESTS_SOAK_SCHEDULE_H
#define TESTS_SOAK_SCHEDULE_H

#include "faults.h"

struct schedule_event {
	int64_t at_ms; /* since the start */
	int64_t for_ms; /* at most, where the fault ends by itself */
	const struct fault *fault;
	unsigned int host;
};

/* How long programs may take to find each other after a rough time. */
#define SCHEDULE_RECOVERY_MS 5000

/* RETURN VALUE: an array of struct schedule_event by time. */
GArray *schedule_create(guint32 seed, unsigned int hosts, int seconds);

#endif
