#include "comfreydockd/decide/knee.h"

#include <math.h>

/* Weight of one sample, once there are many. */
#define GAIN 0.05
/* A job that hung tells nothing of how full the upstream was. */
#define TIMES_MAX 5.0

static void side_note(struct knee_side *side, double took_us)
{
	double gain = 1.0 / (side->samples + 1.0);

	if (gain < GAIN)
		gain = GAIN;
	side->mean_us += gain * (took_us - side->mean_us);
	side->samples += 1.0;
}

static void fade(struct knee *knee, int64_t now_us)
{
	double halves = (double)(now_us - knee->faded_us) / KNEE_HALF_US;
	double kept = knee->faded_us ? pow(0.5, halves) : 1.0;

	for (size_t i = 0; i < KNEE_CLASSES; i++) {
		knee->classes[i].below.samples *= kept;
		knee->classes[i].beyond.samples *= kept;
	}
	knee->faded_us = now_us;
}

void knee_note(struct knee *knee, enum config_class class, uint32_t busy,
	       uint32_t slots, int64_t took_us, int64_t now_us)
{
	struct knee_class *of = &knee->classes[class];
	double most_us = TIMES_MAX * of->below.mean_us;
	double capped_us = (double)took_us;

	fade(knee, now_us);
	if (of->below.samples >= 1.0 && capped_us > most_us)
		capped_us = most_us;
	if (busy > KNEE_SHARE * slots)
		side_note(&of->beyond, capped_us);
	else
		side_note(&of->below, capped_us);
}

/* What the classes together say, each by as many samples as its poorer side
 * has. */
struct comparison {
	double below; /* samples in all */
	double beyond;
	double weight;
	double times; /* weighted sum of how many times as long beyond */
};

static struct comparison compare(const struct knee *knee)
{
	struct comparison sum = {0};

	for (size_t i = 0; i < KNEE_CLASSES; i++) {
		const struct knee_class *of = &knee->classes[i];
		double weight = fmin(of->below.samples, of->beyond.samples);

		sum.below += of->below.samples;
		sum.beyond += of->beyond.samples;
		if (weight <= 0 || of->below.mean_us <= 0)
			continue;
		sum.weight += weight;
		sum.times += weight * of->beyond.mean_us / of->below.mean_us;
	}
	return sum;
}

uint32_t knee_slots(const struct knee *knee, uint32_t slots)
{
	uint32_t kept = (uint32_t)(KNEE_SHARE * slots);
	struct comparison sum = compare(knee);

	if (kept == 0 || sum.beyond < KNEE_SAMPLES)
		return slots;
	/* Never less than full: it has to be, to find out. */
	if (sum.below < KNEE_SAMPLES || sum.weight <= 0)
		return kept;
	return sum.times < KNEE_WORSE * sum.weight ? slots : kept;
}
