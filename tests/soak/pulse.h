/*
 * NAME
 *	pulse - notices when the machine gives this process no time
 *
 * DESCRIPTION
 *	A thread that wakes often. Where it wakes late by more than
 *	PULSE_LATE_US, so does every daemon on this machine, and what callers
 *	notice of that is not the daemons' doing. Each such time becomes a span
 *	of a fault of all hosts, and is printed. What may never be, a request
 *	run twice or a false "not run", is judged all the same.
 */
#ifndef TESTS_SOAK_PULSE_H
#define TESTS_SOAK_PULSE_H

#include "span.h"

/* Daemons take a pause of their own loop for one from 300 ms on. */
#define PULSE_LATE_US ((int64_t)250 * 1000)

struct pulse;

struct pulse *pulse_start(void);

/* Adds what it noticed, and ends it. */
void pulse_finish(struct pulse *pulse, struct spans *spans);

#endif
