#include "comfreydockd/decide/measure.h"

#include <glib.h>
#include <string.h>

#define MEASURE_TOKENS_PER_US ((int64_t)1000)
#define MEASURE_PERMILLE_MAX 1000

/* The depth of the bucket is the cost of one probe. */
#define MEASURE_DEPTH (MEASURE_PROBE_COST_US * MEASURE_TOKENS_PER_US)

/* Returns tokens per microsecond. */
static int64_t measure_rate(const struct measure *measure)
{
	return (int64_t)measure->slots * measure->permille;
}

/* Returns the time until the bucket is full, rounded up. */
static int64_t measure_time_to_full_us(const struct measure *measure)
{
	int64_t rate = measure_rate(measure);

	return (MEASURE_DEPTH - measure->tokens + rate - 1) / rate;
}

static void measure_refill(struct measure *measure, int64_t now_us)
{
	int64_t elapsed_us = now_us - measure->filled_us;
	int64_t rate = measure_rate(measure);

	if (elapsed_us <= 0)
		return;
	measure->filled_us = now_us;
	if (rate == 0)
		return;
	if (elapsed_us >= measure_time_to_full_us(measure))
		measure->tokens = MEASURE_DEPTH;
	else
		measure->tokens += elapsed_us * rate;
}

void measure_init(struct measure *measure, uint32_t slots, uint32_t permille,
		  int64_t now_us)
{
	memset(measure, 0, sizeof(*measure));
	measure->filled_us = now_us;
	measure->fresh_us = now_us;
	measure->interval_us = MEASURE_FRESH_US;
	measure_set_budget(measure, slots, permille, now_us);
}

void measure_set_budget(struct measure *measure, uint32_t slots,
			uint32_t permille, int64_t now_us)
{
	measure_refill(measure, now_us);
	measure->slots = slots;
	measure->permille = MIN(permille, MEASURE_PERMILLE_MAX);
}

void measure_note_traffic(struct measure *measure, int64_t now_us)
{
	measure->fresh_us = now_us;
	measure->interval_us = MEASURE_FRESH_US;
}

enum measure_verdict measure_try_begin(struct measure *measure, int64_t now_us)
{
	if (measure->running)
		return MEASURE_RUNNING;
	measure_refill(measure, now_us);
	if (now_us < measure->fresh_us + measure->interval_us)
		return MEASURE_FRESH;
	if (measure_rate(measure) == 0 || measure->tokens < MEASURE_DEPTH)
		return MEASURE_OVER_BUDGET;
	measure->tokens -= MEASURE_DEPTH;
	measure->running = true;
	return MEASURE_BEGIN;
}

void measure_end(struct measure *measure, int64_t cost_us, int64_t now_us)
{
	int64_t excess_us = MAX(cost_us - MEASURE_PROBE_COST_US, 0);

	measure_refill(measure, now_us);
	measure->tokens -= excess_us * MEASURE_TOKENS_PER_US;
	measure->running = false;
	measure->fresh_us = now_us;
	measure->interval_us = MIN(measure->interval_us * 2, MEASURE_IDLE_MAX_US);
}

int64_t measure_next_us(const struct measure *measure, int64_t now_us)
{
	int64_t due_us = measure->fresh_us + measure->interval_us;
	int64_t full_us;

	if (measure->running || measure_rate(measure) == 0)
		return INT64_MAX;
	full_us = measure->filled_us + measure_time_to_full_us(measure);
	return MAX(MAX(due_us, full_us), now_us);
}
