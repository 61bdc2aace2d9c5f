#include "comfreydockd/caller/answer_check.h"

#include "comfreydockd/peer/fields.h"

#define STATUS_MIN 200 /* the owner drops interim answers */
#define STATUS_MAX 999

const char *answer_check_head(const Cfd__Answer *answer)
{
	if (answer->status < STATUS_MIN || answer->status > STATUS_MAX)
		return "not a final status";
	if (answer->length < -1)
		return "a negative length";
	for (size_t i = 0; i < answer->n_headers; i++) {
		if (!field_is_valid(answer->headers[i]->name,
				    answer->headers[i]->value))
			return "a malformed header field";
	}
	return NULL;
}
