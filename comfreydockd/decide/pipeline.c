#include "comfreydockd/decide/pipeline.h"

bool pipeline_may_start(const struct pipeline_request *question)
{
	if (question->unanswered == 0)
		return true;
	return question->idempotent && !question->has_body &&
	       question->unanswered < PIPELINE_CALLS_MAX &&
	       question->total < PIPELINE_TOTAL_MAX;
}
