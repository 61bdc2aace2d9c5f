/*
 * NAME
 *	clock - monotonic, boot and wall time
 *
 * DESCRIPTION
 *	All times in the program come from clock_gettime(2), which libev uses
 *	as well. A test that links tests/paused_clock.c replaces that symbol,
 *	which pauses and advances the clock of both.
 *
 *	Monotonic times are microseconds since an arbitrary start and never
 *	leave a process. Wall times are microseconds since the epoch. They are
 *	only displayed; no decision depends on them. Boot times are monotonic
 *	and also advance while the machine is suspended. They measure the age
 *	of data that other hosts may have changed in the meantime.
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
