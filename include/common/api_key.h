/*
 * NAME
 *	api_key - the form of a caller's API key
 *
 * DESCRIPTION
 *	A key is any text that fits into one word of a header field: it has no
 *	spaces and no control bytes.
 */
#ifndef COMMON_API_KEY_H
#define COMMON_API_KEY_H

#include <stddef.h>

#define API_KEY_MAX_BYTES 4096

/* RETURN VALUE: what is wrong with the key, a constant text that doesn't show
 * it, or NULL. */
const char *api_key_find_fault(const char *key, size_t size);

#endif
