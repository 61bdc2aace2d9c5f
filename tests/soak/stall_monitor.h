/*
 * NAME
 *	stall_monitor - detects when the machine gives this process no CPU time
 *
 * DESCRIPTION
 *	A thread wakes every 20 ms. If two wake-ups are more than STALL_MIN_US
 *	apart, the daemons on this machine were delayed as well, and what
 *	callers notice of that is not a fault of the daemons. The monitor prints
 *	each stall and records it as a span of a fault on all hosts. Invariants
 *	that hold at any time, such as no duplicate run and no false "not run",
 *	are checked all the same.
 */
#ifndef TESTS_SOAK_STALL_MONITOR_H
#define TESTS_SOAK_STALL_MONITOR_H

#include "span.h"

/* Daemons report a pause of their event loop from 300 ms on. */
#define STALL_MIN_US ((int64_t)250 * 1000)

struct stall_monitor;

struct stall_monitor *stall_monitor_start(void);

/* Stops the monitor, adds the stalls that it detected to the spans and frees
 * it. */
void stall_monitor_stop(struct stall_monitor *stall_monitor, struct spans *spans);

#endif
