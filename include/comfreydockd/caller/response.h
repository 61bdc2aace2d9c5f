/*
 * NAME
 *	response - writes an answer as HTTP/1.1
 *
 * DESCRIPTION
 *	Writes heads and bodies to a buffer. An answer of unknown length is
 *	chunked. An HTTP/1.0 caller gets it without a length instead, and the
 *	end of the connection ends it.
 *
 * SOURCE
 *	RFC 9112, sections 6 and 9.6
 */
#ifndef COMFREYDOCKD_CALLER_RESPONSE_H
#define COMFREYDOCKD_CALLER_RESPONSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/peer/fields.h"

/* How the end of a body is marked. */
enum response_framing {
	RESPONSE_NO_BODY, /* for HEAD, 204 and 304 */
	RESPONSE_LENGTH,
	RESPONSE_CHUNKED,
	RESPONSE_UNTIL_CLOSE,
};

struct response_head {
	unsigned int status;
	const struct fields *fields;
	int64_t length; /* -1: not known in advance */
	bool is_head_method;
	bool is_http_1_0;
	bool closes; /* the connection closes after this answer */
};

/* RETURN VALUE: whether a body may follow the head of such an answer. */
bool response_has_body(unsigned int status, bool is_head_method);

/* RETURN VALUE: how the body must be written. */
enum response_framing response_framing_of(const struct response_head *head);
void response_write_head(GByteArray *out, const struct response_head *head,
			 enum response_framing framing);
void response_write_body(GByteArray *out, enum response_framing framing,
			 const uint8_t *bytes, size_t size);
void response_write_end(GByteArray *out, enum response_framing framing);

void response_write_continue(GByteArray *out);

#endif
