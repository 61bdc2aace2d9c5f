#include "comfreydockd/decide/breaker.h"

#include <glib.h>

#define WINDOW_MASK ((1u << BREAKER_WINDOW) - 1)

static bool note_answer(struct breaker *breaker, int64_t now_us)
{
	breaker->streak = 0;
	if (!breaker->is_open || ++breaker->good < breaker->good_needed)
		return false;
	breaker->is_open = false;
	breaker->losses = 0;
	breaker->closed_us = now_us;
	return true;
}

static void open_up(struct breaker *breaker, int64_t now_us)
{
	bool is_again = breaker->good_needed > 0 &&
			now_us - breaker->closed_us < BREAKER_AGAIN_US;

	breaker->is_open = true;
	breaker->good_needed =
		is_again ? MIN(2 * breaker->good_needed, BREAKER_GOOD_MAX) :
			   BREAKER_GOOD;
}

bool breaker_note(struct breaker *breaker, bool is_answer, int64_t now_us)
{
	breaker->losses = (breaker->losses << 1 | !is_answer) & WINDOW_MASK;
	if (is_answer)
		return note_answer(breaker, now_us);
	breaker->streak++;
	breaker->good = 0;
	if (breaker->is_open ||
	    (breaker->streak < BREAKER_STREAK &&
	     __builtin_popcount(breaker->losses) < BREAKER_LOSSES))
		return false;
	open_up(breaker, now_us);
	return true;
}

bool breaker_turns_back(struct breaker *breaker, bool may_turn_back,
			bool may_repeat, int64_t now_us)
{
	int64_t gap_us = may_repeat ? BREAKER_TRIAL_US : BREAKER_RISKY_TRIAL_US;

	if (!breaker->is_open || !may_turn_back)
		return false;
	if (now_us - breaker->tried_us < gap_us)
		return true;
	breaker->tried_us = now_us;
	return false;
}
