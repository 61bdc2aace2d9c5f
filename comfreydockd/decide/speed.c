#include "comfreydockd/decide/speed.h"

#include <glib.h>

#define SPEED_GAIN 8

void speed_move_median(int64_t *median_us, int64_t sample_us, int64_t gain)
{
	int64_t step_us = MAX(*median_us / gain, 1);

	if (sample_us > *median_us)
		*median_us += MIN(step_us, sample_us - *median_us);
	else
		*median_us -= MIN(step_us, *median_us - sample_us);
}

void speed_note_answer(struct speed *speed, int64_t service_us)
{
	int64_t sample_us = MAX(service_us, 1);

	if (speed->success_us == 0) {
		speed->success_us = sample_us;
		speed->reported_us = sample_us;
	}
	speed_move_median(&speed->success_us, sample_us, SPEED_GAIN);
	speed_move_median(&speed->reported_us, sample_us, SPEED_GAIN);
}

void speed_note_error(struct speed *speed)
{
	if (speed->success_us > 0)
		speed_move_median(&speed->reported_us,
				  speed->success_us * SPEED_ERROR_SLOWNESS,
				  SPEED_GAIN);
}

int64_t speed_us(const struct speed *speed)
{
	return speed->reported_us;
}
