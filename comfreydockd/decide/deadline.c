#include "comfreydockd/decide/deadline.h"

#include <glib.h>
#include <stdlib.h>

#include "common/clock.h"

/* Each hop keeps 1/32 of the remaining time for itself. */
#define DEADLINE_HOP_SHARE 32
/* At most 1/4 of the remaining time is set aside for the round trip. */
#define DEADLINE_RTT_SHARE 4
#define DEADLINE_PERMILLE_PER_PERCENT 10

/* Gains and deviation factor of RFC 6298. */
#define DEADLINE_MEAN_GAIN 8
#define DEADLINE_DEVIATION_GAIN 4
#define DEADLINE_DEVIATIONS 4

/* 1 ms covers a round trip within a failure domain, 10 ms one to the nearest
 * host of another region. */
#define DEADLINE_CANCEL_LEAD_MIN_US ((int64_t)1000)
#define DEADLINE_CANCEL_LEAD_MAX_US ((int64_t)10000)
#define DEADLINE_CANCEL_LEAD_SHARE 20
#define DEADLINE_ATTEMPT_SHARE 2

/* Shifting by the width of the type or more is undefined. */
#define DEADLINE_SHIFT_MAX 31

void deadline_rtt_note(struct deadline_rtt *rtt, int64_t round_trip_us)
{
	int64_t error_us = round_trip_us - rtt->mean_us;

	if (round_trip_us > DEADLINE_RTT_MAX_US)
		return;
	if (!rtt->known) {
		rtt->mean_us = round_trip_us;
		rtt->deviation_us = round_trip_us / 2;
		rtt->known = true;
		return;
	}
	rtt->deviation_us +=
		(llabs(error_us) - rtt->deviation_us) / DEADLINE_DEVIATION_GAIN;
	rtt->mean_us += error_us / DEADLINE_MEAN_GAIN;
}

int64_t deadline_rtt_us(const struct deadline_rtt *rtt)
{
	if (!rtt->known)
		return DEADLINE_RTT_DEFAULT_US;
	return rtt->mean_us + DEADLINE_DEVIATIONS * rtt->deviation_us;
}

static int64_t deadline_after(int64_t now_us, int64_t duration_us)
{
	int64_t sum_us;

	if (__builtin_add_overflow(now_us, duration_us, &sum_us))
		return INT64_MAX;
	return sum_us;
}

int64_t deadline_at(int64_t remaining_us, uint32_t rule_ms, int64_t now_us)
{
	int64_t deadline_us = INT64_MAX;

	if (remaining_us >= 0)
		deadline_us = deadline_after(now_us, remaining_us);
	if (rule_ms > 0)
		deadline_us = MIN(deadline_us,
				  deadline_after(now_us, rule_ms * US_PER_MS));
	return deadline_us;
}

int64_t deadline_remaining_us(int64_t deadline_us, int64_t now_us)
{
	if (deadline_us == INT64_MAX)
		return INT64_MAX;
	return MAX(deadline_us - now_us, 0);
}

int64_t deadline_for_hop_us(int64_t deadline_us, int64_t rtt_us, int64_t now_us)
{
	int64_t remaining_us = deadline_remaining_us(deadline_us, now_us);

	if (remaining_us == INT64_MAX)
		return INT64_MAX;
	remaining_us -= remaining_us / DEADLINE_HOP_SHARE;
	return remaining_us - CLAMP(rtt_us, 0, remaining_us / DEADLINE_RTT_SHARE);
}

bool deadline_can_finish(int64_t deadline_us, int64_t wait_us,
			 int64_t service_us, int64_t now_us)
{
	int64_t remaining_us = deadline_remaining_us(deadline_us, now_us);

	if (remaining_us <= 0 || wait_us > remaining_us)
		return false;
	return service_us <= remaining_us - wait_us;
}

int64_t deadline_cancel_us(int64_t began_us, int64_t deadline_us)
{
	int64_t share = (deadline_us - began_us) / DEADLINE_CANCEL_LEAD_SHARE;

	return deadline_us - CLAMP(share, DEADLINE_CANCEL_LEAD_MIN_US,
				   DEADLINE_CANCEL_LEAD_MAX_US);
}

int64_t deadline_attempt_timeout_us(int64_t deadline_us, int64_t now_us)
{
	return (deadline_us - now_us) / DEADLINE_ATTEMPT_SHARE;
}

int64_t deadline_overdue_reply_us(const struct deadline_rtt *rtt)
{
	return MAX(2 * deadline_rtt_us(rtt), DEADLINE_OVERDUE_REPLY_MIN_US);
}

int64_t deadline_idle_left_us(int64_t deadline_us, int64_t last_data_us,
			      int64_t now_us)
{
	return MAX(deadline_us, last_data_us + DEADLINE_IDLE_US) - now_us;
}

int64_t deadline_withheld_left_us(int64_t deadline_us, int64_t head_us,
				  int64_t now_us)
{
	return deadline_after(MAX(deadline_us, head_us), DEADLINE_WITHHELD_US) -
	       now_us;
}

bool deadline_is_overdue(int64_t started_us, int64_t deadline_us, int64_t now_us)
{
	return now_us - started_us >= deadline_remaining_us(deadline_us, now_us);
}

bool deadline_is_too_deep(uint32_t depth)
{
	return depth > DEADLINE_DEPTH_MAX;
}

uint32_t deadline_attempts(uint32_t max_attempts, uint32_t depth)
{
	uint32_t retries = max_attempts > 0 ? max_attempts - 1 : 0;

	return 1 + (retries >> MIN(depth, DEADLINE_SHIFT_MAX));
}

uint32_t deadline_retry_budget_permille(uint32_t budget_percent, uint32_t depth)
{
	uint32_t permille = budget_percent * DEADLINE_PERMILLE_PER_PERCENT;

	return permille >> MIN(depth, DEADLINE_SHIFT_MAX);
}
