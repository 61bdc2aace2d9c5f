#include "comfreydockd/decide/breaker.h"

static bool note_answer(struct breaker *breaker)
{
	breaker->streak = 0;
	if (!breaker->is_open || ++breaker->successes < BREAKER_SUCCESSES)
		return false;
	breaker->is_open = false;
	return true;
}

bool breaker_note_result(struct breaker *breaker, bool is_answer)
{
	if (is_answer)
		return note_answer(breaker);
	breaker->streak++;
	breaker->successes = 0;
	if (breaker->is_open || breaker->streak < BREAKER_FAILURES)
		return false;
	breaker->is_open = true;
	return true;
}

bool breaker_turns_back(struct breaker *breaker, bool may_turn_back,
			bool may_repeat, int64_t now_us)
{
	int64_t gap_us = may_repeat ? BREAKER_TRIAL_US : BREAKER_UNSAFE_TRIAL_US;

	if (!breaker->is_open || !may_turn_back)
		return false;
	if (now_us - breaker->last_trial_us < gap_us)
		return true;
	breaker->last_trial_us = now_us;
	return false;
}
