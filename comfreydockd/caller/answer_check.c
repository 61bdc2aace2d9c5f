#include "comfreydockd/caller/answer_check.h"

#include <string.h>

#include "comfreydockd/caller/response.h"
#include "comfreydockd/peer/fields.h"

#define STATUS_MIN 200 /* the owner drops interim answers */
#define STATUS_MAX 999

const char *answer_check_head(const Cfd__Answer *answer)
{
	if (answer->status < STATUS_MIN || answer->status > STATUS_MAX)
		return "not a final status";
	if (answer->length < ANSWER_LENGTH_UNKNOWN)
		return "a negative length";
	for (size_t i = 0; i < answer->n_headers; i++) {
		if (!field_is_valid(answer->headers[i]->name,
				    answer->headers[i]->value))
			return "a malformed header field";
	}
	return NULL;
}

const char *answer_check_part(const Cfd__AnswerBody *part, int64_t body_left)
{
	int64_t size = (int64_t)part->data.len;

	if (part->ends && part->aborted)
		return "an end that is both complete and aborted";
	if (body_left == ANSWER_LENGTH_UNKNOWN)
		return NULL;
	if (size > body_left)
		return "more bytes than its length";
	if (part->ends && size < body_left)
		return "fewer bytes than its length";
	return NULL;
}

int64_t answer_body_size(const Cfd__Answer *answer, const char *method)
{
	bool is_head_method = strcmp(method, "HEAD") == 0;

	return response_has_body(answer->status, is_head_method) ?
		       answer->length :
		       0;
}
