/*
 * NAME
 *	reader - where one request of a caller ends and the next begins
 *
 * DESCRIPTION
 *	The only place that decides it. Takes a connection's bytes in any
 *	pieces and gives back heads and bodies, one event a call. A head is
 *	taken whole: its lines are looked at first, then the HTTP library
 *	reads it, and both must find its end at the same byte.
 *
 *	Refused before the library sees them: a bare CR or LF, a NUL byte, a
 *	folded line. Another server on the way may read each in another way
 *	than this one; it would then take a part of one caller's body for a
 *	request of its own, past the rules, and a caller would get an answer
 *	that isn't its own. What the fields say is checked by head.h.
 *
 *	Knows no sockets.
 *
 * SOURCE
 *	RFC 9112, sections 2.2, 5.2 and 6.3
 */
#ifndef COMFREYDOCKD_CALLER_READER_H
#define COMFREYDOCKD_CALLER_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/caller/head.h"

enum reader_event {
	READER_NEEDS_BYTES,
	READER_HEAD, /* a head is whole, see reader_head() */
	READER_BODY, /* bytes of the body, or its end, or both */
	READER_FAULT, /* nothing that follows is a request */
};

struct reader_line {
	size_t begin; /* of the line that is being read */
	size_t at; /* looked at so far */
	bool is_first; /* the request line */
	bool after_cr;
};

struct reader {
	http_parser parser;
	size_t max_head_bytes;
	struct reader_line line;
	bool in_body;
	bool is_whole; /* the library saw the request's end */
	bool head_ends; /* the library saw the head's end */
	struct head head;
	char *name; /* of the field whose value comes next */
	GByteArray *body; /* of the last event */
	bool is_http; /* the request line names HTTP/1.0 or 1.1 */
	unsigned int fault_status;
	const char *fault;
};

/* What a whole head says beside its fields. */
struct reader_head {
	const struct head *head;
	const char *method;
	bool is_http_1_0;
	bool keeps_alive; /* the caller wants the connection kept */
	bool awaits_continue; /* before it sends the body */
	bool ends; /* there is no body */
};

struct reader_body {
	const uint8_t *bytes;
	size_t size;
	bool ends;
};

void reader_init(struct reader *reader, size_t max_head_bytes);
void reader_finish(struct reader *reader);

/*
 * Reads on at the first byte that was not used before. Bytes of an unfinished
 * head stay unused, and must be given again with those that follow.
 */
enum reader_event reader_read(struct reader *reader, const uint8_t *bytes,
			      size_t size, size_t *used);

/* After READER_HEAD, until the next call. */
void reader_get_head(const struct reader *reader, struct reader_head *head);

/* After READER_BODY, until the next call. */
void reader_get_body(const struct reader *reader, struct reader_body *body);

/* After READER_FAULT: what is wrong, and the status to refuse it with. */
const char *reader_fault(const struct reader *reader, unsigned int *status);

/* After READER_FAULT: whether it was a request at all, not another protocol. */
bool reader_is_http(const struct reader *reader);

#endif
