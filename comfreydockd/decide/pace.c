#include "comfreydockd/decide/pace.h"

bool pace_note(struct pace *pace, uint32_t percent, int64_t now_us)
{
	bool was_slow = pace_is_slow(pace);

	pace->percent = percent;
	pace->at_us = now_us;
	return pace_is_slow(pace) != was_slow;
}

bool pace_is_fresh(const struct pace *pace, int64_t now_us)
{
	return pace->percent && now_us - pace->at_us <= PACE_FRESH_US;
}

bool pace_is_slow(const struct pace *pace)
{
	return pace->percent >= PACE_SLOW_PERCENT;
}

int64_t pace_usual_us(uint32_t percent, int64_t took_us)
{
	if (percent <= PACE_USUAL_PERCENT)
		return took_us;
	return took_us * PACE_USUAL_PERCENT / percent;
}

/*
 * Held while an end of the spell would still bring the answer in time; then
 * begun if it can be answered at all at this pace; else held to the last
 * moment that an end of the spell leaves for it, and then refused: begun, it
 * would take a slot for an answer that nobody gets.
 */
enum pace_verdict pace_judge(const struct pace *pace,
			     const struct pace_item *item, int64_t now_us)
{
	int64_t slow_us = item->work_us * pace->percent / PACE_USUAL_PERCENT;

	if (!pace_is_slow(pace))
		return PACE_START;
	if (item->may_turn_back)
		return PACE_TURN_BACK;
	if (now_us + slow_us <= item->target_us)
		return PACE_START;
	if (now_us + item->work_us <= item->target_us)
		return PACE_HOLD;
	if (now_us + slow_us <= item->deadline_us)
		return PACE_START;
	if (now_us + item->work_us <= item->deadline_us)
		return PACE_HOLD;
	return PACE_TOO_LATE;
}
