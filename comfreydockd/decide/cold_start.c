#include "comfreydockd/decide/cold_start.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

#define LONG_AGO_US (INT64_MIN / 2)

void cold_start_init(struct cold_start *cold, int64_t now_us)
{
	memset(cold, 0, sizeof(*cold));
	cold->since_us = now_us - COLD_START_SUCCESSION_US;
}

void cold_start_finish(struct cold_start *cold)
{
	g_free(cold->arrived_us);
	cold->arrived_us = NULL;
}

/* RETURN VALUE: when the request of this rank had arrived; 0 is the oldest. */
static int64_t arrived_at(const struct cold_start *cold, uint32_t rank)
{
	return cold->arrived_us[(cold->oldest + rank) % cold->limit];
}

/* Copies the latest times to a ring of another size. Unknown ones are replaced
 * by the time since which all are known. */
static void resize(struct cold_start *cold, uint32_t limit)
{
	int64_t *arrived_us = g_new(int64_t, MAX(limit, 1));
	uint32_t kept = MIN(cold->limit, limit);

	for (uint32_t i = 0; i < limit - kept; i++)
		arrived_us[i] = cold->since_us;
	for (uint32_t i = 0; i < kept; i++)
		arrived_us[limit - kept + i] =
			arrived_at(cold, cold->limit - kept + i);
	g_free(cold->arrived_us);
	cold->arrived_us = arrived_us;
	cold->limit = limit;
	cold->oldest = 0;
}

void cold_start_configure(struct cold_start *cold,
			  const struct cold_start_options *options,
			  int64_t now_us)
{
	double most = floor(options->per_s * options->overage);
	uint32_t limit = 0;

	if (options->per_s > 0)
		limit = (uint32_t)CLAMP(most, 1, COLD_START_LIMIT_MAX);
	cold->duration_us = options->duration_ms * US_PER_MS;
	if (limit == cold->limit)
		return;
	/* A larger ring needs times that this one has dropped. */
	if (limit > cold->limit && cold->limit > 0)
		cold->since_us = now_us;
	resize(cold, limit);
}

/* Requests from before this daemon recorded them no longer count. */
static void drop_unknown(struct cold_start *cold)
{
	for (uint32_t i = 0; i < cold->limit; i++) {
		if (cold->arrived_us[i] <= cold->since_us)
			cold->arrived_us[i] = LONG_AGO_US;
	}
	cold->since_us = LONG_AGO_US;
}

void cold_start_forget(struct cold_start *cold)
{
	for (uint32_t i = 0; i < cold->limit; i++)
		cold->arrived_us[i] = LONG_AGO_US;
	cold->since_us = LONG_AGO_US;
	cold_start_invalidate(cold);
}

void cold_start_invalidate(struct cold_start *cold)
{
	cold->is_reported = false;
	cold->until_us = 0;
}

void cold_start_note_heartbeat(struct cold_start *cold, uint32_t remaining_ms,
			       int64_t now_us)
{
	int64_t until_us = now_us + remaining_ms * US_PER_MS;

	cold->until_us = MAX(cold->until_us, until_us);
	cold->is_reported = true;
	cold->reported_us = now_us;
}

void cold_start_note_health(struct cold_start *cold, uint32_t remaining_ms,
			    int64_t now_us)
{
	cold->until_us = now_us + remaining_ms * US_PER_MS;
	cold->is_reported = true;
	cold->reported_us = now_us;
	if (remaining_ms > 0 && cold->duration_us > 0 &&
	    cold->until_us - cold->duration_us > cold->since_us)
		drop_unknown(cold);
}

bool cold_start_is_limiting(const struct cold_start *cold, int64_t now_us)
{
	return cold->limit > 0 && (!cold->is_reported || now_us < cold->until_us);
}

bool cold_start_is_reported(const struct cold_start *cold)
{
	return !cold->limit || cold->is_reported;
}

int64_t cold_start_report_age_us(const struct cold_start *cold, int64_t now_us)
{
	return cold->is_reported ? now_us - cold->reported_us : INT64_MAX;
}

void cold_start_begin(struct cold_start *cold)
{
	cold->on_way++;
}

void cold_start_note_unsent(struct cold_start *cold)
{
	if (cold->on_way > 0)
		cold->on_way--;
}

void cold_start_note_arrived(struct cold_start *cold, int64_t now_us)
{
	cold_start_note_unsent(cold);
	if (!cold->limit) {
		cold->since_us = now_us;
		return;
	}
	cold->arrived_us[cold->oldest] = now_us;
	cold->oldest = (cold->oldest + 1) % cold->limit;
}

/* Each request allows another one a window later, and so on for those behind
 * it. One on its way may arrive at any moment. */
int64_t cold_start_wait_us(const struct cold_start *cold, uint32_t ahead,
			   int64_t now_us)
{
	uint32_t rank = cold->on_way + ahead;
	int64_t at_us;

	if (!cold_start_is_limiting(cold, now_us))
		return 0;
	at_us = MAX(arrived_at(cold, rank % cold->limit) + COLD_START_WINDOW_US,
		    now_us) +
		rank / cold->limit * COLD_START_WINDOW_US;
	/* The limit no longer applies once the upstream is warm. */
	if (cold->is_reported)
		at_us = MIN(at_us, cold->until_us);
	return MAX(at_us - now_us, 0);
}

uint32_t cold_start_slots(const struct cold_start *cold, uint32_t slots,
			  int64_t service_us, int64_t now_us)
{
	int64_t busy;

	if (!cold_start_is_limiting(cold, now_us))
		return slots;
	busy = cold->limit * service_us / COLD_START_WINDOW_US;
	return (uint32_t)CLAMP(busy, 1, (int64_t)slots);
}
