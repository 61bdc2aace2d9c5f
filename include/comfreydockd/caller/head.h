/*
 * NAME
 *	head - whether the head of a request can be read in one way only
 *
 * DESCRIPTION
 *	An HTTP library may take what RFC 9112 forbids: a space before the colon
 *	of a field, a coding in HTTP/1.0, a target with spaces or control
 *	characters. The upstream may read the same bytes in another way. It then
 *	takes part of one caller's body for a second request, past the rules,
 *	and that caller's answer reaches the next one. Nobody would see more
 *	than a wrong answer now and then. Such heads are refused here.
 *
 *	An absolute target ("http://host/path") is taken apart: its host goes
 *	before the Host field, and the path alone is passed on.
 *
 * SOURCE
 *	RFC 9110, 9112
 */
#ifndef COMFREYDOCKD_CALLER_HEAD_H
#define COMFREYDOCKD_CALLER_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include "comfreydockd/peer/fields.h"

struct head {
	struct fields fields;
	char *target; /* path and query; NULL: can't be read */
	char *authority; /* of an absolute target, or NULL */
	bool has_body;
	bool has_bad_field;
	unsigned int length_count;
	unsigned int coding_count;
	unsigned int host_count;
};

/* Borrows nothing: target may go away. */
void head_init(struct head *head, const char *target);
void head_finish(struct head *head);

/* value may be NULL. */
void head_add_field(struct head *head, const char *name, const char *value);

/* RETURN VALUE: what is wrong, once all fields were added, or NULL. */
const char *head_fault(const struct head *head, const char *method,
		       bool is_http_1_0);

/* RETURN VALUE: the host asked for, with its port if any, or NULL. */
const char *head_host(const struct head *head);

#endif
