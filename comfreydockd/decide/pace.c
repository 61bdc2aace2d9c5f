#include "comfreydockd/decide/pace.h"

#include <glib.h>

bool pace_is_worse(uint32_t percent, uint32_t other_percent)
{
	return percent >= PACE_SLOW_FACTOR * other_percent;
}

static void note_lowest(struct pace *pace, uint32_t percent, int64_t now_us)
{
	if (now_us - pace->window_start_us > PACE_WINDOW_US) {
		pace->lowest_before = pace->lowest;
		pace->lowest = 0;
		pace->window_start_us = now_us;
	}
	if (!pace->lowest || percent < pace->lowest)
		pace->lowest = percent;
}

/* Returns the lowest percentage that was reported recently: the usual pace of
 * this host, outside slow spells. */
static uint32_t pace_lowest_recent(const struct pace *pace)
{
	if (!pace->lowest_before)
		return pace->lowest;
	return MIN(pace->lowest, pace->lowest_before);
}

bool pace_note(struct pace *pace, uint32_t percent, int64_t now_us)
{
	bool differs = pace_is_worse(percent, pace->sent_percent) ||
		       pace_is_worse(pace->sent_percent, percent);

	pace->percent = percent;
	pace->at_us = now_us;
	note_lowest(pace, percent, now_us);
	if (differs)
		pace->sent_percent = percent;
	return differs;
}

bool pace_is_fresh(const struct pace *pace, int64_t now_us)
{
	return pace->percent && now_us - pace->at_us <= PACE_FRESH_US;
}

bool pace_is_slow(const struct pace *pace)
{
	return pace->percent &&
	       pace_is_worse(pace->percent, pace_lowest_recent(pace));
}

int64_t pace_nominal_us(uint32_t percent, int64_t took_us)
{
	if (percent <= PACE_NOMINAL_PERCENT)
		return took_us;
	return took_us * PACE_NOMINAL_PERCENT / percent;
}

/* Returns true until the first window has ended: all reports so far may come
 * from one slow spell. */
static bool is_in_first_window(const struct pace *pace)
{
	return pace->lowest_before == 0;
}

/* Returns how long work takes at the given pace if it takes work_us at the
 * nominal one. */
static int64_t at_percent_us(int64_t work_us, uint32_t percent)
{
	return work_us * percent / PACE_NOMINAL_PERCENT;
}

static int64_t expected_work_us(const struct pace_item *item, int64_t now_us)
{
	if (item->work_us > 0)
		return item->work_us;
	return CLAMP(item->deadline_us - now_us, 0, PACE_REMAINING_MAX_US) /
	       PACE_REMAINING_PER_WORK;
}

/*
 * Decides during a slow spell. The request starts at once if it meets its
 * target even at the slow pace. Otherwise it is held while it could still meet
 * the target if the spell ended now, or, if slots are scarce, while enough time
 * remains until the deadline. After that it starts if it can meet the deadline
 * at the slow pace. Otherwise it is held while it could still meet the deadline
 * if the spell ended now, and then refused: if it started, it would take a slot
 * for an answer that nobody receives.
 */
static enum pace_verdict judge_in_slow_spell(const struct pace *pace,
					     const struct pace_item *item,
					     int64_t now_us)
{
	int64_t work_us = expected_work_us(item, now_us);
	int64_t after_spell_us = at_percent_us(work_us, pace_lowest_recent(pace));
	int64_t slow_us = at_percent_us(work_us, pace->percent);

	if (now_us + slow_us <= item->target_us)
		return PACE_START;
	if (now_us + after_spell_us <= item->target_us)
		return PACE_HOLD;
	if (item->slots_scarce &&
	    now_us + (int64_t)(PACE_HOLD_MARGIN * after_spell_us) <=
		    item->deadline_us)
		return PACE_HOLD;
	if (now_us + slow_us <= item->deadline_us)
		return PACE_START;
	if (now_us + after_spell_us <= item->deadline_us)
		return PACE_HOLD;
	return PACE_TOO_LATE;
}

/* Decides for a host without a known usual pace. A request that meets its
 * deadline at the current pace starts. Another one is held while it could meet
 * the deadline at the nominal pace, as the report may come from a slow spell
 * that ends, and is too late after that. */
static enum pace_verdict judge_unknown_host(const struct pace *pace,
					    const struct pace_item *item,
					    int64_t now_us)
{
	int64_t work_us = expected_work_us(item, now_us);
	int64_t slow_us = at_percent_us(work_us, pace->percent);

	if (now_us + slow_us <= item->deadline_us)
		return PACE_START;
	return now_us + work_us < item->deadline_us ? PACE_HOLD : PACE_TOO_LATE;
}

enum pace_verdict pace_judge(const struct pace *pace,
			     const struct pace_item *item, int64_t now_us)
{
	if (item->may_turn_back && item->best_other_percent &&
	    pace_is_worse(pace->percent, item->best_other_percent))
		return PACE_TURN_BACK;
	if (pace_is_slow(pace))
		return judge_in_slow_spell(pace, item, now_us);
	if (is_in_first_window(pace))
		return judge_unknown_host(pace, item, now_us);
	return PACE_START;
}
