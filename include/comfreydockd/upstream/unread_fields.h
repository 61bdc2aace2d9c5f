/*
 * NAME
 *	unread_fields - logs the names of answer fields that nothing interprets
 *
 * DESCRIPTION
 *	An upstream may state something in a header field that this release
 *	doesn't know, for example that it wants fewer requests. Such a field is
 *	forwarded and has no effect here. The first answer with it is logged, so
 *	that an operator can see what the daemon leaves unread.
 *
 *	At most UNREAD_FIELDS_MAX names are logged in a daemon's life. Values
 *	are not, as they may be meant for the caller alone.
 */
#ifndef COMFREYDOCKD_UPSTREAM_UNREAD_FIELDS_H
#define COMFREYDOCKD_UPSTREAM_UNREAD_FIELDS_H

#include "comfreydockd/headers.h"
#include "comfreydockd/peer/fields.h"

#define UNREAD_FIELDS_MAX 32

struct unread_fields {
	char *names[UNREAD_FIELDS_MAX];
	unsigned int count;
};

void unread_fields_finish(struct unread_fields *unread);

/* Logs those fields of an upstream's answer that were not logged before. */
void unread_fields_note(struct unread_fields *unread,
			const struct headers *headers,
			const struct fields *answer, const char *trace);

#endif
