/*
 * NAME
 *	quota_meter - counts events of the last second
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUOTA_METER_H
#define COMFREYDOCKD_DECIDE_QUOTA_METER_H

#include <stdint.h>
#include <string.h>

#define QUOTA_METER_SLOTS 10
#define QUOTA_METER_SLOT_US ((int64_t)100 * 1000)

/* Zero-initialised: nothing was counted. */
struct quota_meter {
	int64_t newest; /* number of the current slot */
	uint32_t slots[QUOTA_METER_SLOTS];
};

static inline void quota_meter_advance(struct quota_meter *meter, int64_t now_us)
{
	int64_t number = now_us / QUOTA_METER_SLOT_US;

	if (number >= meter->newest + QUOTA_METER_SLOTS) {
		memset(meter->slots, 0, sizeof(meter->slots));
		meter->newest = number;
	}
	while (meter->newest < number)
		meter->slots[++meter->newest % QUOTA_METER_SLOTS] = 0;
}

static inline void quota_meter_add(struct quota_meter *meter, uint32_t count,
				   int64_t now_us)
{
	quota_meter_advance(meter, now_us);
	meter->slots[meter->newest % QUOTA_METER_SLOTS] += count;
}

static inline uint32_t quota_meter_sum(struct quota_meter *meter, int64_t now_us)
{
	uint32_t sum = 0;

	quota_meter_advance(meter, now_us);
	for (int i = 0; i < QUOTA_METER_SLOTS; i++)
		sum += meter->slots[i];
	return sum;
}

#endif
