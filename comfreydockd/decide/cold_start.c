#include "comfreydockd/decide/cold_start.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

void cold_start_init(struct cold_start *cold, int64_t now_us)
{
	memset(cold, 0, sizeof(*cold));
	rate_window_init(&cold->window, 0, now_us - COLD_START_SUCCESSION_US);
}

void cold_start_finish(struct cold_start *cold)
{
	rate_window_finish(&cold->window);
}

void cold_start_configure(struct cold_start *cold,
			  const struct cold_start_options *options)
{
	double most = floor(options->per_s * options->overage + options->slack);
	uint32_t limit = 0;

	if (options->per_s > 0)
		limit = (uint32_t)CLAMP(most, 1, RATE_WINDOW_LIMIT_MAX);
	cold->duration_us = options->duration_ms * US_PER_MS;
	rate_window_set(&cold->window, limit, COLD_START_WINDOW_US);
}

void cold_start_forget(struct cold_start *cold)
{
	rate_window_forget(&cold->window);
	cold_start_invalidate(cold);
}

void cold_start_invalidate(struct cold_start *cold)
{
	cold->is_reported = false;
	cold->until_us = 0;
}

/* RETURN VALUE: the latest time at which an upstream that stated this time is
 * warm. */
static int64_t warm_at_us(uint32_t remaining_ms, int64_t now_us)
{
	return now_us + remaining_ms * US_PER_MS + COLD_START_ROUNDING_US;
}

void cold_start_note_heartbeat(struct cold_start *cold, uint32_t remaining_ms,
			       int64_t now_us)
{
	if (remaining_ms > 0)
		cold->until_us =
			MAX(cold->until_us, warm_at_us(remaining_ms, now_us));
	cold->is_reported = true;
	cold->reported_us = now_us;
}

void cold_start_note_health(struct cold_start *cold, uint32_t remaining_ms,
			    int64_t now_us)
{
	int64_t until_us = warm_at_us(remaining_ms, now_us);
	int64_t began_us = now_us + remaining_ms * US_PER_MS - cold->duration_us;

	/* An upstream that states 0 may be cold for the rest of a millisecond,
	 * if it was cold before. */
	cold->until_us =
		remaining_ms > 0 ? until_us : MIN(cold->until_us, until_us);
	cold->is_reported = true;
	cold->reported_us = now_us;
	if (remaining_ms > 0 && cold->duration_us > 0 &&
	    began_us > cold->window.since_us)
		rate_window_forget_unknown(&cold->window);
}

bool cold_start_is_limiting(const struct cold_start *cold, int64_t now_us)
{
	return cold->window.limit > 0 &&
	       (!cold->is_reported || now_us < cold->until_us);
}

bool cold_start_is_reported(const struct cold_start *cold)
{
	return !cold->window.limit || cold->is_reported;
}

int64_t cold_start_report_age_us(const struct cold_start *cold, int64_t now_us)
{
	return cold->is_reported ? now_us - cold->reported_us : INT64_MAX;
}

void cold_start_begin(struct cold_start *cold)
{
	rate_window_begin(&cold->window);
}

void cold_start_note_unsent(struct cold_start *cold)
{
	rate_window_note_unsent(&cold->window);
}

void cold_start_note_arrived(struct cold_start *cold, int64_t now_us)
{
	rate_window_note_arrived(&cold->window, now_us);
}

int64_t cold_start_wait_us(const struct cold_start *cold, uint32_t ahead,
			   int64_t now_us)
{
	int64_t wait_us;

	if (!cold_start_is_limiting(cold, now_us))
		return 0;
	wait_us = rate_window_wait_us(&cold->window, ahead, now_us);
	/* The limit no longer applies once the upstream is warm. */
	if (cold->is_reported)
		wait_us = MIN(wait_us, cold->until_us - now_us);
	return wait_us;
}

uint32_t cold_start_slots(const struct cold_start *cold, uint32_t slots,
			  int64_t service_us, int64_t now_us)
{
	if (!cold_start_is_limiting(cold, now_us))
		return slots;
	return rate_window_slots(&cold->window, slots, service_us);
}
