#include "comfreydockd/decide/estimate.h"

#include <glib.h>

#include "comfreydockd/decide/speed.h"
#include "common/clock.h"

#define INITIAL_US (10 * US_PER_MS)
#define MEAN_GAIN 64
#define MEDIAN_GAIN 32

void estimate_init(struct estimate *estimate)
{
	estimate->mean_us = INITIAL_US;
	estimate->median_us = INITIAL_US;
	estimate->known = false;
}

void estimate_note(struct estimate *estimate, int64_t sample_us)
{
	if (!estimate->known) {
		estimate->mean_us = sample_us;
		estimate->median_us = sample_us;
		estimate->known = true;
		return;
	}
	estimate->mean_us += (sample_us - estimate->mean_us) / MEAN_GAIN;
	speed_move_median(&estimate->median_us, sample_us, MEDIAN_GAIN);
}

void estimate_correct(struct estimate *estimate, int64_t sample_us)
{
	estimate->mean_us = MAX(estimate->mean_us / 2, sample_us);
	estimate->median_us = MAX(estimate->median_us / 2, sample_us);
}
