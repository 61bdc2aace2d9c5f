/*
 * NAME
 *	callers - many callers of a fleet, each with one call after the other
 *
 * DESCRIPTION
 *	Caller i calls the daemon of host i modulo the number of hosts. A caller
 *	that is refused pauses for CALLERS_PAUSE_MS.
 */
#ifndef TESTS_SYSTEM_CALLERS_H
#define TESTS_SYSTEM_CALLERS_H

#include "fleet.h"

#define CALLERS_PAUSE_MS 20

struct callers;

struct callers_count {
	unsigned int served; /* status 200 */
	unsigned int failed;
	unsigned int least_served; /* of any one caller */
};

struct callers *callers_start(const struct fleet *fleet, unsigned int count,
			      const char *path);

/* Ends the calls and frees the callers. */
struct callers_count callers_stop(struct callers *callers);

/* Runs callers for some time. */
struct callers_count callers_run(const struct fleet *fleet, unsigned int count,
				 const char *path, int ms);

#endif
