/*
 * NAME
 *	body_codec - compresses the body of a configuration, alone or as the
 *	difference from another body
 *
 * DESCRIPTION
 *	A frame of the Zstandard format. For a difference, the other body is the
 *	prefix that matches may refer to, so the frame holds what changed and
 *	references to what did not. Only who has the same prefix can decode it;
 *	the caller checks the hash of the result.
 *
 *	body_encode() calls slice_yield().
 *
 * SOURCE
 *	RFC 8878 (Zstandard).
 */
#ifndef COMFREYDOCKD_CONFIG_BODY_CODEC_H
#define COMFREYDOCKD_CONFIG_BODY_CODEC_H

#include <glib.h>

/* base: NULL for a frame without a prefix.
 * RETURN VALUE: a frame, or NULL if there is not enough memory. */
GBytes *body_encode(const char *base, const char *body);

/* RETURN VALUE: the body, or NULL if the frame is damaged or its body is larger
 * than max_bytes. */
GByteArray *body_decode(const void *frame, size_t size, const char *base,
			size_t base_size, size_t max_bytes);

#endif
