/*
 * NAME
 *	http_head - checks the head of an answer, line by line
 *
 * DESCRIPTION
 *	A faulty server may send a part of an answer again after it was
 *	complete, or break off in the middle of a head. libcurl takes a head
 *	that two answers make together, with the status of one and the fields
 *	and the body of another, and one that ends with its connection.
 *
 *	This module accepts only a head that can be of one answer: one status
 *	line, then fields, none of which contains another status line, and at
 *	most one that tells where the body ends. White space before a colon is
 *	removed, as RFC 9112, section 5.1, demands; folded lines are refused,
 *	as its section 5.2 allows.
 *
 *	A faulty server may also send lines without end. The head, with the
 *	interim ones before it, and the trailer section have a limit each.
 */
#ifndef COMMON_HTTP_HEAD_H
#define COMMON_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits of all heads of an answer together, and of its trailer section. libcurl
 * keeps each line until the transfer ends. */
#define HTTP_HEAD_MAX_BYTES (256 * 1024)
#define HTTP_TRAILERS_MAX_BYTES (64 * 1024)

struct http_head {
	unsigned int status; /* 0: no status line has come */
	int64_t length; /* of the body; -1: not stated */
	bool has_coding;
	bool is_complete; /* the empty line of the final head has come */
	size_t head_bytes; /* interim heads included */
	size_t trailer_bytes;
	const char *fault; /* NULL: none */
};

struct http_head_field {
	const char *name; /* NULL: the line was none of a field */
	const char *value;
};

void http_head_init(struct http_head *head);

/* Counts a line of this size, with its end, towards the limit of its section. Call it
 * before the line is copied.
 * RETURN VALUE: false if the section exceeds its limit, which is a fault. */
bool http_head_count_line(struct http_head *head, size_t size);

/* RETURN VALUE: a copy of a line without its end; free it. A carriage return before
 * that belongs to the line. */
char *http_head_dup_line(const char *bytes, size_t size);

/* Takes a line, which is split at its colon. An empty line ends the head; after an
 * interim one (1xx) the next begins.
 * RETURN VALUE: false if the head has a fault. */
bool http_head_take_line(struct http_head *head, char *line,
			 struct http_head_field *field);

/* RETURN VALUE: whether the text can be the name, or the value, of a field. A value
 * may have non-ASCII bytes, but no control character except a tab. */
bool http_is_token(const char *text, size_t size);
bool http_is_value(const char *text);

#endif
