/*
 * NAME
 *	reader_record - what a reader makes of a stream, as text
 *
 * DESCRIPTION
 *	A line for each head, the whole of each body in "<>", and "fault" where
 *	the stream can't be read on. The same bytes give the same text however
 *	they are cut.
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
