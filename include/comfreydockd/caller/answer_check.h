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

#include "proto/peer.pb-c.h"

const char *answer_check_head(const Cfd__Answer *answer);

#endif
