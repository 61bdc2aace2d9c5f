#include "comfreydockd/decide/pipeline.h"

bool pipeline_may_start(const struct pipeline_request *request)
{
	if (request->unanswered == 0)
		return true;
	return request->idempotent && !request->has_body &&
	       request->unanswered < PIPELINE_CALLS_MAX &&
	       request->total < PIPELINE_TOTAL_MAX;
}
