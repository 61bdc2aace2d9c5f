#include "comfreydockd/decide/warm.h"

#include <glib.h>

#include "common/clock.h"

#define WARM_START_PERMILLE 100

void warm_begin(struct warm *warm, uint32_t warm_ms, int64_t now_us)
{
	warm->start_us = now_us;
	warm->duration_us = warm_ms * US_PER_MS;
}

int64_t warm_end_us(const struct warm *warm)
{
	return warm->start_us + warm->duration_us;
}

bool warm_is_complete(const struct warm *warm, int64_t now_us)
{
	return now_us >= warm_end_us(warm);
}

uint32_t warm_weight_permille(const struct warm *warm, int64_t now_us)
{
	int64_t elapsed_us = MAX(now_us - warm->start_us, 0);
	int64_t rise = WARM_FULL_PERMILLE - WARM_START_PERMILLE;

	if (warm_is_complete(warm, now_us))
		return WARM_FULL_PERMILLE;
	return (uint32_t)(WARM_START_PERMILLE +
			  rise * elapsed_us / warm->duration_us);
}

uint32_t warm_slots(const struct warm *warm, uint32_t limit, int64_t now_us)
{
	uint64_t permille = warm_weight_permille(warm, now_us);

	return (uint32_t)MAX(limit * permille / WARM_FULL_PERMILLE, 1);
}
