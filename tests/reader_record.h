/*
 * NAME
 *	reader_record - the events of a reader, as text
 *
 * DESCRIPTION
 *	Has one line for each head, one for each complete body in "<>", and
 *	"fault" where the stream is malformed. The same bytes give the same text
 *	however they are split.
 */
#ifndef TESTS_READER_RECORD_H
#define TESTS_READER_RECORD_H

#include <glib.h>
#include <stddef.h>

/* Gives the reader at most step more bytes at a time. The caller frees the
 * result. */
GString *reader_record(const char *bytes, size_t size, size_t step,
		       size_t max_head_bytes);

#endif
