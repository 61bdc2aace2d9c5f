/*
 * NAME
 *	headers - names of the HTTP header fields that comfreydock interprets
 *
 * DESCRIPTION
 *	The header fields carry what a caller, the daemon and an upstream tell
 *	each other in addition to the request. The names are kept in a table,
 *	so that comfreydock can be used in installations that already use other
 *	names. A field whose name is NULL is not used.
 *
 *	The fields in the table, except for the trace, are never forwarded
 *	as received, because a caller must not be able to forge them.
 */
#ifndef COMFREYDOCKD_HEADERS_H
#define COMFREYDOCKD_HEADERS_H

#include <stdbool.h>

struct headers {
	const char *trace; /* id of the request, in answers too */
	const char *deadline_ms; /* time left until the caller's deadline */
	const char *depth; /* number of calls above this one */
	/* Retry-After may contain a fraction of a second. */
	bool has_fractions;

	/* Sent to the upstream. */
	const char *caller_service; /* service that runs on the entry's host */
	const char *expected_instance; /* another one refuses with 421 */
	/* Name of the organisation whose key the caller sent. A caller's own
	 * field is removed only in namespaces with organisations. */
	const char *organisation;

	/* Received from the upstream. */
	const char *instance; /* id of the answering instance */
	const char *not_run; /* if present, the request did not run */
	const char *load; /* "running,waiting,slots,percent of usual time" */
	const char *cold_ms; /* how long it stays cold, in health answers */
	const char *limit; /* requests a second that it takes from all callers */
	const char *leaving; /* "1": it takes no new requests any more */
	/*
	 * Proves that an answer belongs to this request. If this name is set, a
	 * success without the field, or any answer without the request's trace,
	 * is not accepted as the upstream's: it is left over from another
	 * answer, or corrupted.
	 */
	const char *signature;
};

/* The names that comfreydock itself defines. */
extern const struct headers headers_own;

#endif
