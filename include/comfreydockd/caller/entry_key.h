/*
 * NAME
 *	entry_key - checks the API key of each request
 *
 * DESCRIPTION
 *	In a namespace with organisations, a request needs one field
 *	"Authorization: Bearer KEY" with a key that an organisation holds,
 *	unless its rule is public. The key itself is never forwarded, logged or
 *	kept.
 */
#ifndef COMFREYDOCKD_CALLER_ENTRY_KEY_H
#define COMFREYDOCKD_CALLER_ENTRY_KEY_H

#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/config/organisation.h"

/* What the configuration says about a request. */
struct entry_match {
	const struct config_service *service;
	const struct config_rule *rule;
	const struct config_organisation *organisation; /* NULL: none */
	char key_digest[KEY_DIGEST_SIZE]; /* "": the organisation is not known */
};

/*
 * Finds the organisation of a request whose service and rule are known.
 *
 * RETURN VALUE
 *	false if the request must be refused; *refusal is then filled in, and
 *	the refusal is counted and logged.
 */
bool entry_key_check(const struct entry *entry,
		     const struct call_request *request,
		     struct entry_match *match, struct entry_refusal *refusal);

/* RETURN VALUE: whether a caller's field of this name is removed because it
 * carries a key or could forge an organisation. */
bool entry_key_removes_field(const struct headers *headers,
			     const struct config_service *service,
			     const char *name);

#endif
