/*
 * NAME
 *	paused_clock - a clock that only the test advances
 *
 * DESCRIPTION
 *	Linking paused_clock.c replaces clock_gettime(2) in the whole program,
 *	including libev. The monotonic and the wall clock are paused until
 *	paused_clock_advance_us() advances both.
 */
#ifndef TESTS_PAUSED_CLOCK_H
#define TESTS_PAUSED_CLOCK_H

#include <stdint.h>

void paused_clock_advance_us(int64_t us);

/* Steps only the wall clock, as an operator or a time server would. */
void paused_clock_step_wall_us(int64_t us);

#endif
