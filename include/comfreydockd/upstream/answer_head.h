/*
 * NAME
 *	answer_head - reads the head of an upstream's answer
 *
 * DESCRIPTION
 *	Collects the fields of a head that common/http_head accepts, and refuses
 *	one in which a field that tells whose answer it is comes twice.
 *
 *	Fields that comfreydock sets itself are left out, except the trace,
 *	which shows to which request the answer belongs.
 */
#ifndef COMFREYDOCKD_UPSTREAM_ANSWER_HEAD_H
#define COMFREYDOCKD_UPSTREAM_ANSWER_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include "comfreydockd/peer/fields.h"
#include "common/http_head.h"

struct answer_head {
	const struct headers *headers;
	struct http_head message;
	struct fields fields;
	long idle_timeout_s; /* of the connection; 0: not stated */
};

void answer_head_init(struct answer_head *head, const struct headers *headers);
void answer_head_finish(struct answer_head *head);

/* Adds a line as it came, with its end.
 * RETURN VALUE: false once the head has a fault. */
bool answer_head_add_line(struct answer_head *head, const char *bytes,
			  size_t size);

#endif
