#include "paused_clock.h"

#include <time.h>

#define START_MONO_US 1000000000LL
#define START_WALL_US 1700000000000000LL

static int64_t mono_us = START_MONO_US;
static int64_t wall_us = START_WALL_US;

int clock_gettime(clockid_t id, struct timespec *ts)
{
	int64_t now = id == CLOCK_REALTIME ? wall_us : mono_us;

	ts->tv_sec = now / 1000000;
	ts->tv_nsec = now % 1000000 * 1000;
	return 0;
}

void paused_clock_advance_us(int64_t us)
{
	mono_us += us;
	wall_us += us;
}

void paused_clock_step_wall_us(int64_t us)
{
	wall_us += us;
}
