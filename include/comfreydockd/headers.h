/*
 * NAME
 *	headers - the names of the header fields that mean something here
 *
 * DESCRIPTION
 *	What a caller, the daemon and an upstream tell each other beside the
 *	request itself. The names are a table, so that comfreydock can stand
 *	where others are in use already. A name that is NULL is not used.
 *
 *	Fields that the table names, but for the trace, are never passed on as
 *	they came: a caller must not be able to forge them.
 */
#ifndef COMFREYDOCKD_HEADERS_H
#define COMFREYDOCKD_HEADERS_H

#include <stdbool.h>

struct headers {
	const char *trace; /* id of the request, in answers too */
	const char *deadline_ms; /* what is left of the caller's time */
	const char *depth; /* calls above this one */
	/* Retry-After may hold a fraction of a second. */
	bool has_fractions;

	/* To the upstream. */
	const char *caller_service; /* that runs beside the entry */
	const char *expected_instance; /* any other refuses, with 421 */

	/* From the upstream. */
	const char *instance; /* which one answers */
	const char *not_run; /* there: it did not run the request */
	const char *load; /* "running,waiting,slots,percent of usual time" */
	/*
	 * Proves that an answer was made for this request. Where it is named,
	 * a success without it, or any answer without the request's trace, is
	 * not the upstream's: bytes left over from another answer, or spoilt.
	 */
	const char *signature;
};

/* Those of comfreydock itself. */
extern const struct headers headers_own;

#endif
