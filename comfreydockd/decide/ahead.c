#include "comfreydockd/decide/ahead.h"

bool ahead_may_begin(const struct ahead_question *question)
{
	if (question->unanswered == 0)
		return true;
	return question->idempotent && !question->has_body &&
	       question->unanswered < AHEAD_CALLS_MAX &&
	       question->total < AHEAD_TOTAL_MAX;
}
