/*
 * NAME
 *	answer - whether the head of an answer is that of this request
 *
 * DESCRIPTION
 *	An upstream may leave bytes behind a whole answer, send an answer a
 *	second time, or spoil one. On a kept connection they stand where the
 *	next answer is due. Its caller would get another one's listing, or a
 *	booking that it never made; one would notice it only by the complaint.
 *	So an answer counts only with the signature and the trace of its own
 *	request, where the headers name such.
 *
 *	Some statuses promise that nothing was run. Passed on without the
 *	upstream's word for it, they would have a booking made twice.
 */
#ifndef COMFREYDOCKD_UPSTREAM_ANSWER_H
#define COMFREYDOCKD_UPSTREAM_ANSWER_H

#include "comfreydockd/peer/fields.h"

enum answer_verdict {
	ANSWER_GOOD, /* to be passed on, a failure too */
	ANSWER_NOT_RUN, /* the upstream says that it ran nothing */
	ANSWER_OTHER_INSTANCE, /* the same, as it is not the one meant */
	ANSWER_STRANGE, /* not of this request, or spoilt */
	ANSWER_UNCLEAR, /* looks like "not run", without the word for it */
};

/* What an upstream tells of its load; 0 where it tells less. */
struct answer_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t percent; /* of the usual time that work takes now */
};

enum answer_verdict answer_classify(const struct headers *headers,
				    const char *trace, unsigned int status,
				    const struct fields *fields);

const char *answer_verdict_name(enum answer_verdict verdict);

/* RETURN VALUE: false where it is absent or can't be read. */
bool answer_read_load(const struct headers *headers,
		      const struct fields *fields, struct answer_load *load);
bool answer_parse_load(const char *text, struct answer_load *load);

#endif
