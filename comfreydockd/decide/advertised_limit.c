#include "comfreydockd/decide/advertised_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

/* Requests that are recorded before a limit is stated; more than one second's
 * of most limits. */
#define HISTORY 64

void advertised_limit_init(struct advertised_limit *limit, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	rate_window_init(&limit->window, HISTORY, now_us);
}

void advertised_limit_finish(struct advertised_limit *limit)
{
	rate_window_finish(&limit->window);
}

bool advertised_limit_note(struct advertised_limit *limit, double per_s)
{
	double rate = MAX(per_s, ADVERTISED_LIMIT_MIN_PER_S);
	double count = MIN(ceil(rate), RATE_WINDOW_LIMIT_MAX);

	if (advertised_limit_applies(limit) && limit->per_s == per_s)
		return false;
	limit->per_s = per_s;
	rate_window_set(&limit->window, (uint32_t)count,
			(int64_t)ceil(count / rate * US_PER_S));
	return true;
}

bool advertised_limit_end(struct advertised_limit *limit)
{
	if (!advertised_limit_applies(limit))
		return false;
	rate_window_set(&limit->window, 0, 0);
	return true;
}

void advertised_limit_reset(struct advertised_limit *limit, bool unknown)
{
	advertised_limit_end(limit);
	if (!unknown)
		rate_window_forget(&limit->window);
}

bool advertised_limit_applies(const struct advertised_limit *limit)
{
	return limit->window.limit > 0;
}

void advertised_limit_note_start(struct advertised_limit *limit, int64_t now_us)
{
	rate_window_note(&limit->window, now_us);
}

int64_t advertised_limit_wait_us(const struct advertised_limit *limit,
				 uint32_t ahead, int64_t now_us)
{
	return rate_window_wait_us(&limit->window, ahead, now_us);
}

uint32_t advertised_limit_slots(const struct advertised_limit *limit,
				uint32_t slots, int64_t service_us)
{
	return rate_window_slots(&limit->window, slots, service_us);
}
