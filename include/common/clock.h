/*
 * NAME
 *	clock - the runtime's clock
 *
 * DESCRIPTION
 *	All times in the program come from clock_gettime(2), which libev uses
 *	as well. A test that links tests/paused_clock.c replaces that symbol,
 *	and thereby pauses and advances both.
 *
 *	Monotonic times are microseconds since an arbitrary start and never
 *	leave a process; wall times are microseconds since the epoch and are
 *	shown to people only: no decision depends on them. Boot times are as
 *	monotonic ones, but go on while the machine is suspended: for the age
 *	of what others may have changed meanwhile.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

#define US_PER_MS ((int64_t)1000)
#define US_PER_S ((int64_t)1000000)

int64_t clock_mono_us(void);
int64_t clock_boot_us(void);
int64_t clock_wall_us(void);

#endif
