/*
 * NAME
 *	answer_check - checks what an owner says of an answer
 *
 * DESCRIPTION
 *	An owner of another version, or a faulty one, may send frames that
 *	contradict each other, or a head that a caller would read as two answers
 *	or as none. The entry passes on no part of such an answer.
 *
 * RETURN VALUE
 *	NULL, or what is wrong, as a text for the log.
 */
#ifndef COMFREYDOCKD_CALLER_ANSWER_CHECK_H
#define COMFREYDOCKD_CALLER_ANSWER_CHECK_H

#include <stdint.h>

#include "proto/peer.pb-c.h"

/* body_left value of an answer whose length is not known beforehand. */
#define ANSWER_LENGTH_UNKNOWN (-1)

const char *answer_check_head(const Cfd__Answer *answer);

/* body_left: bytes that are still due, or ANSWER_LENGTH_UNKNOWN. */
const char *answer_check_part(const Cfd__AnswerBody *part, int64_t body_left);

/* RETURN VALUE: the bytes of the body that follow the head, or
 * ANSWER_LENGTH_UNKNOWN. */
int64_t answer_body_size(const Cfd__Answer *answer, const char *method);

#endif
