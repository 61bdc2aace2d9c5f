#include "comfreydockd/decide/hedge.h"

#include <glib.h>

#define HEDGE_MEDIAN 0.5

void hedge_init(struct hedge *hedge, uint32_t budget_percent)
{
	budget_init(&hedge->budget, budget_percent / 100.0,
		    budget_percent ? HEDGE_BURST : 0);
	quantile_init(&hedge->latency);
	hedge->samples = 0;
	hedge->win_share = HEDGE_WIN_INITIAL;
}

void hedge_note_request(struct hedge *hedge)
{
	budget_note_call(&hedge->budget);
}

void hedge_note_latency(struct hedge *hedge, int64_t latency_us)
{
	quantile_add(&hedge->latency, latency_us);
	hedge->samples++;
}

void hedge_note_race(struct hedge *hedge, bool won)
{
	hedge->win_share +=
		HEDGE_WIN_ALPHA * ((won ? 1.0 : 0.0) - hedge->win_share);
}

static double hedge_price(const struct hedge *hedge)
{
	return CLAMP(HEDGE_WIN_INITIAL / MAX(hedge->win_share, 0.001), 1.0,
		     HEDGE_PRICE_MAX);
}

/* Returns true if a hedge sent at at_us is permitted and can end before the
 * deadline. */
static bool is_allowed(const struct hedge *hedge,
		       const struct hedge_context *context, int64_t at_us)
{
	int64_t median_us = quantile_get(&hedge->latency, HEDGE_MEDIAN);

	if (!context->enabled || !context->idempotent || context->answer_begun)
		return false;
	if (context->hedges > 0 || context->untried == 0)
		return false;
	return at_us + median_us < context->deadline_us;
}

int64_t hedge_delay_us(const struct hedge *hedge,
		       const struct hedge_context *context, int64_t now_us)
{
	int64_t delay_us = quantile_get(&hedge->latency, HEDGE_PERCENTILE);

	if (hedge->samples < HEDGE_MIN_SAMPLES)
		return -1;
	if (!is_allowed(hedge, context, now_us + delay_us))
		return -1;
	return delay_us;
}

bool hedge_take(struct hedge *hedge, const struct hedge_context *context,
		int64_t now_us)
{
	if (!is_allowed(hedge, context, now_us))
		return false;
	return budget_take(&hedge->budget,
			   (1.0 + context->depth) * hedge_price(hedge));
}
