/*
 * Measures the cost of freeze_take_mark(), which records what the event loop's
 * thread has used so far. It runs at each sweep of the owner and at each gossip
 * tick.
 */
#include <stdio.h>
#include <time.h>

#include "common/clock.h"
#include "common/freeze.h"

#define MARKS 200000
#define ROUNDS 5
#define MARKS_PER_S 30 /* 10 owner sweeps and 20 gossip ticks */

static int64_t cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

int main(void)
{
	struct freeze_mark mark;

	for (int round = 0; round < ROUNDS; round++) {
		int64_t before = cpu_us();
		double each;

		for (int i = 0; i < MARKS; i++)
			freeze_take_mark(&mark);
		each = (double)(cpu_us() - before) / MARKS;
		printf("%.3f us per mark, %.4f %% of a core at %d per "
		       "second%s\n",
		       each, each * MARKS_PER_S / US_PER_S * 100, MARKS_PER_S,
		       mark.waited_us < 0 ? " (wait time unknown)" : "");
	}
	return 0;
}
