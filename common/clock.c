#include "common/clock.h"

#include <time.h>

static int64_t clock_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t clock_mono_us(void)
{
	return clock_read_us(CLOCK_MONOTONIC);
}

int64_t clock_boot_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

int64_t clock_wall_us(void)
{
	return clock_read_us(CLOCK_REALTIME);
}
