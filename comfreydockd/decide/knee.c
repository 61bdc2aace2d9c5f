#include "comfreydockd/decide/knee.h"

#include <math.h>

/* Lowest weight of a sample, reached after 20 samples. */
#define GAIN 0.05
/* Longer samples are clipped to this multiple of the mean: a request that hung
 * says nothing about how full the upstream was. */
#define OUTLIER_FACTOR_MAX 5.0

static void stats_add(struct knee_stats *stats, double took_us)
{
	double gain = 1.0 / (stats->samples + 1.0);

	if (gain < GAIN)
		gain = GAIN;
	stats->mean_us += gain * (took_us - stats->mean_us);
	stats->samples += 1.0;
}

static void decay(struct knee *knee, int64_t now_us)
{
	double halves = (double)(now_us - knee->decayed_us) / KNEE_HALF_LIFE_US;
	double kept = knee->decayed_us ? pow(0.5, halves) : 1.0;

	for (size_t i = 0; i < KNEE_CLASSES; i++) {
		knee->classes[i].below.samples *= kept;
		knee->classes[i].above.samples *= kept;
	}
	knee->decayed_us = now_us;
}

void knee_note(struct knee *knee, enum config_class class, uint32_t busy,
	       uint32_t slots, int64_t took_us, int64_t now_us)
{
	struct knee_class *stats = &knee->classes[class];
	double most_us = OUTLIER_FACTOR_MAX * stats->below.mean_us;
	double capped_us = (double)took_us;

	decay(knee, now_us);
	if (stats->below.samples >= 1.0 && capped_us > most_us)
		capped_us = most_us;
	if (busy > KNEE_SHARE * slots)
		stats_add(&stats->above, capped_us);
	else
		stats_add(&stats->below, capped_us);
}

/* Totals over all classes. Each class is weighted by the smaller of its two
 * sample counts. */
struct comparison {
	double below; /* sum of samples */
	double above;
	double weight;
	double slowdown; /* weighted sum of the ratios above / below */
};

static struct comparison compare(const struct knee *knee)
{
	struct comparison sum = {0};

	for (size_t i = 0; i < KNEE_CLASSES; i++) {
		const struct knee_class *stats = &knee->classes[i];
		double weight = fmin(stats->below.samples, stats->above.samples);

		sum.below += stats->below.samples;
		sum.above += stats->above.samples;
		if (weight <= 0 || stats->below.mean_us <= 0)
			continue;
		sum.weight += weight;
		sum.slowdown +=
			weight * stats->above.mean_us / stats->below.mean_us;
	}
	return sum;
}

uint32_t knee_slots(const struct knee *knee, uint32_t slots)
{
	uint32_t kept = (uint32_t)(KNEE_SHARE * slots);
	struct comparison sum = compare(knee);

	if (kept == 0 || sum.above < KNEE_SAMPLES)
		return slots;
	/* An upstream that is always full gets fewer slots for a while, as it
	 * yields no samples to compare with otherwise. */
	if (sum.below < KNEE_SAMPLES || sum.weight <= 0)
		return kept;
	return sum.slowdown < KNEE_SLOWDOWN * sum.weight ? slots : kept;
}
