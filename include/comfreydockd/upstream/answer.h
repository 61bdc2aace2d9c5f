/*
 * NAME
 *	answer - checks that an answer belongs to the request it follows
 *
 * DESCRIPTION
 *	An upstream may send extra bytes after a complete answer, send an
 *	answer twice, or corrupt one. On a keep-alive connection these bytes
 *	would be read as the answer to the next request. Its caller would get
 *	another caller's listing, or a booking that it never made, and nothing
 *	but a complaint would reveal it. An answer is therefore accepted only
 *	if it carries the signature and the trace of its own request, where
 *	the headers table names these fields.
 *
 *	Some statuses tell a caller that the request was not run. If such a
 *	status were forwarded without the upstream's explicit "not run" header,
 *	a caller could repeat a booking that was made.
 */
#ifndef COMFREYDOCKD_UPSTREAM_ANSWER_H
#define COMFREYDOCKD_UPSTREAM_ANSWER_H

#include "comfreydockd/peer/fields.h"

enum answer_verdict {
	ANSWER_GOOD, /* is forwarded, also if it is a 5xx */
	ANSWER_NOT_RUN, /* the upstream states that it did not run it */
	ANSWER_OTHER_INSTANCE, /* not run: 421, sent to the wrong instance */
	ANSWER_STRANGE, /* belongs to another request, or is corrupt */
	ANSWER_UNCLEAR, /* a "not run" status without the "not run" header */
};

/* The load that an upstream reports; figures that it omits are 0. */
struct answer_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t percent; /* current service time, in percent of the usual */
};

enum answer_verdict answer_classify(const struct headers *headers,
				    const char *trace, unsigned int status,
				    const struct fields *fields);

/* The same for a status that the configuration names as "not run". */
enum answer_verdict answer_classify_shed(const struct headers *headers,
					 const char *trace,
					 const struct fields *fields);

const char *answer_verdict_name(enum answer_verdict verdict);

/* RETURN VALUE: false if the load is absent or malformed. */
bool answer_read_load(const struct headers *headers,
		      const struct fields *fields, struct answer_load *load);
bool answer_parse_load(const char *text, struct answer_load *load);

/* Parses how long the upstream stays cold.
 * RETURN VALUE: false if text is NULL or malformed. */
bool answer_parse_cold_ms(const char *text, uint32_t *cold_ms);

/* RETURN VALUE: true if the value of the field says that the upstream leaves; NULL:
 * there is none. */
bool answer_says_leaving(const char *text);

/* Parses a limit, a decimal number of requests a second.
 * RETURN VALUE: false if text is malformed or negative. */
bool answer_parse_limit(const char *text, double *per_s);

#endif
