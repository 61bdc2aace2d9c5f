/*
 * NAME
 *	head - refuses request heads that could be parsed in two ways
 *
 * DESCRIPTION
 *	An HTTP library may accept what RFC 9112 forbids: a space before the
 *	colon of a field, a transfer coding in HTTP/1.0, a target with spaces or
 *	control characters. The upstream may parse the same bytes differently.
 *	It then takes part of one caller's body for a second request, which
 *	bypasses the rules, and the answers reach the wrong callers (request
 *	smuggling). The only symptom would be an occasional wrong answer. Such
 *	heads are refused here.
 *
 *	An absolute target ("http://host/path") is split: its host takes
 *	precedence over the Host field, and only the path is forwarded.
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
	char *target; /* path and query; NULL: malformed */
	char *authority; /* of an absolute target, or NULL */
	bool has_body;
	bool has_bad_field;
	unsigned int length_count;
	unsigned int coding_count;
	unsigned int host_count;
};

/* RETURN VALUE: whether a parser of HTTP reads these as one field. */
bool head_field_is_valid(const char *name, const char *value);

/* Copies target. */
void head_init(struct head *head, const char *target);
void head_finish(struct head *head);

/* value may be NULL. */
void head_add_field(struct head *head, const char *name, const char *value);

/*
 * To be called after all fields were added.
 *
 * RETURN VALUE: what is wrong with the head, or NULL.
 */
const char *head_fault(const struct head *head, const char *method,
		       bool is_http_1_0);

/* RETURN VALUE: the requested host, with its port if any, or NULL. */
const char *head_host(const struct head *head);

#endif
