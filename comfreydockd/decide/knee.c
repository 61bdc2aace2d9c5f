#include "comfreydockd/decide/knee.h"

#include <math.h>

/* Weight of one sample, once there are many. */
#define GAIN 0.05
/* A job that hung tells nothing of how full the upstream was. */
#define TIMES_MAX 5.0

static void side_note(struct knee_side *side, double times)
{
	double gain = 1.0 / (side->samples + 1.0);

	if (gain < GAIN)
		gain = GAIN;
	side->mean += gain * (times - side->mean);
	side->samples += 1.0;
}

static void fade(struct knee *knee, int64_t now_us)
{
	double halves = (double)(now_us - knee->faded_us) / KNEE_HALF_US;
	double kept = knee->faded_us ? pow(0.5, halves) : 1.0;

	knee->below.samples *= kept;
	knee->beyond.samples *= kept;
	knee->faded_us = now_us;
}

void knee_note(struct knee *knee, uint32_t busy, uint32_t slots, double times,
	       int64_t now_us)
{
	fade(knee, now_us);
	if (times > TIMES_MAX)
		times = TIMES_MAX;
	if (busy > KNEE_SHARE * slots)
		side_note(&knee->beyond, times);
	else
		side_note(&knee->below, times);
}

uint32_t knee_slots(const struct knee *knee, uint32_t slots)
{
	uint32_t kept = (uint32_t)(KNEE_SHARE * slots);

	if (kept == 0 || knee->beyond.samples < KNEE_SAMPLES)
		return slots;
	/* Never less than full: it has to be, to find out. */
	if (knee->below.samples < KNEE_SAMPLES)
		return kept;
	return knee->beyond.mean < KNEE_WORSE * knee->below.mean ? slots : kept;
}
