/*
 * A library for LD_PRELOAD that shifts the wall clock of a program by
 * WALL_CLOCK_S seconds, as on a host whose clock is wrong. The monotonic clock,
 * on which timers run, is not shifted.
 */
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static time_t offset_s(void)
{
	const char *text = getenv("WALL_CLOCK_S");

	return text ? (time_t)strtol(text, NULL, 10) : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
	long result = syscall(SYS_clock_gettime, clock, time);

	if (result == 0 && clock == CLOCK_REALTIME)
		time->tv_sec += offset_s();
	return (int)result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
	struct timespec now;

	(void)zone;
	clock_gettime(CLOCK_REALTIME, &now);
	time->tv_sec = now.tv_sec;
	time->tv_usec = now.tv_nsec / 1000;
	return 0;
}

time_t time(time_t *out)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	if (out)
		*out = now.tv_sec;
	return now.tv_sec;
}
