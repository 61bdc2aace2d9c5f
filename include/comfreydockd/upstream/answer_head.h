/*
 * NAME
 *	answer_head - reads the head of an upstream's answer, line by line
 *
 * DESCRIPTION
 *	A faulty upstream may send a part of an answer again after it was
 *	complete, or send two answers into each other. The next answer on the
 *	connection then continues in the middle of a line, and its caller would
 *	get the status of one answer with the fields and the body of another.
 *	libcurl takes such a head. This module accepts only a head that can be
 *	of one answer: one status line, then fields, none of which contains
 *	another status line, and those that tell whose answer it is and where
 *	it ends at most once.
 *
 *	Fields that comfreydock sets itself are left out, except the trace,
 *	which shows to which request the answer belongs.
 *
 * RETURN VALUE
 *	Functions that return bool return false once the head has a fault.
 */
#ifndef COMFREYDOCKD_UPSTREAM_ANSWER_HEAD_H
#define COMFREYDOCKD_UPSTREAM_ANSWER_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/peer/fields.h"

struct answer_head {
	const struct headers *headers;
	struct fields fields;
	unsigned int status; /* 0: no status line has come */
	int64_t length; /* of the body; -1: not stated */
	bool has_coding;
	const char *fault; /* NULL: none */
};

void answer_head_init(struct answer_head *head, const struct headers *headers);
void answer_head_finish(struct answer_head *head);

/* Drops an interim answer (1xx), which another head follows. */
void answer_head_restart(struct answer_head *head);

/* RETURN VALUE: a copy of a line without its end; free it. A carriage return before
 * that belongs to the line. */
char *answer_head_dup_line(const char *bytes, size_t size);

/* Adds a line, without its end. */
bool answer_head_add_line(struct answer_head *head, const char *line);

#endif
