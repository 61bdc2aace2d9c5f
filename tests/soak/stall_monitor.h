/*
 * NAME
 *	stall_monitor - notices when the machine gives this process no time
 *
 * DESCRIPTION
 *	A thread that wakes often. Where it wakes late by more than
 *	STALL_MIN_US, so does every daemon on this machine, and what callers
 *	notice of that is not the daemons' doing. Each such time becomes a span
 *	of a fault of all hosts, and is printed. What may never be, a request
 *	run twice or a false "not run", is judged all the same.
 */
#ifndef TESTS_SOAK_STALL_MONITOR_H
#define TESTS_SOAK_STALL_MONITOR_H

#include "span.h"

/* Daemons take a pause of their own loop for one from 300 ms on. */
#define STALL_MIN_US ((int64_t)250 * 1000)

struct stall_monitor;

struct stall_monitor *stall_monitor_start(void);

/* Adds what it noticed, and ends it. */
void stall_monitor_stop(struct stall_monitor *stall_monitor, struct spans *spans);

#endif
