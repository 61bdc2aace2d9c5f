/*
 * NAME
 *	reader - splits a caller's byte stream into requests
 *
 * DESCRIPTION
 *	The only place that decides where one request ends and the next begins.
 *	Takes the bytes of a connection in pieces of any size and returns heads
 *	and bodies, one event per call. A head is parsed once it is complete:
 *	first its lines are scanned, then the HTTP library parses it, and both
 *	must find its end at the same byte.
 *
 *	A bare CR or LF, a NUL byte and a folded line are refused before the
 *	library sees them. Another server on the path may parse each of them
 *	differently. It would then take part of one caller's body for a request
 *	of its own, which bypasses the rules, and a caller would get the answer
 *	to another request. head.h checks the values of the fields.
 *
 *	The reader uses no sockets.
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
	READER_HEAD, /* a head is complete, see reader_get_head() */
	READER_BODY, /* bytes of the body, or its end, or both */
	READER_FAULT, /* malformed; nothing that follows is a request */
};

struct reader_line {
	size_t begin; /* offset of the current line */
	size_t at; /* offset of the next byte to scan */
	bool is_first; /* the request line */
	bool after_cr;
};

struct reader {
	http_parser parser;
	size_t max_head_bytes;
	struct reader_line line;
	bool in_body;
	bool is_complete; /* the library found the end of the request */
	bool head_complete; /* the library found the end of the head */
	struct head head;
	char *name; /* of the field whose value comes next */
	GByteArray *body; /* of the last event */
	bool is_http; /* the request line names HTTP/1.0 or 1.1 */
	unsigned int fault_status;
	const char *fault;
};

/* A complete head and what follows from it. */
struct reader_head {
	const struct head *head;
	const char *method;
	bool is_http_1_0;
	bool keeps_alive; /* the caller wants a persistent connection */
	bool awaits_continue; /* the caller waits for 100 before the body */
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
 * bytes begins with the first byte that earlier calls did not use. The bytes of
 * an unfinished head stay unused and must be passed again together with those
 * that follow.
 */
enum reader_event reader_read(struct reader *reader, const uint8_t *bytes,
			      size_t size, size_t *used);

/* Valid after READER_HEAD, until the next call of reader_read(). */
void reader_get_head(const struct reader *reader, struct reader_head *head);

/* Valid after READER_BODY, until the next call of reader_read(). */
void reader_get_body(const struct reader *reader, struct reader_body *body);

/* After READER_FAULT: what is wrong, and the status for the refusal. */
const char *reader_fault(const struct reader *reader, unsigned int *status);

/* After READER_FAULT: whether this was HTTP/1.0 or 1.1 and not another
 * protocol. */
bool reader_is_http(const struct reader *reader);

#endif
