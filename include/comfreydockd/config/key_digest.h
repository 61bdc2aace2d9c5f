/*
 * NAME
 *	key_digest - the digest that stands for an API key in a configuration
 *
 * DESCRIPTION
 *	HMAC-SHA256 of the key. Its secret is derived from the peer key, which
 *	all daemons share, so each of them gives the same digest. Without the
 *	peer key nobody can test guessed keys against the digests in a file.
 *
 *	A new peer key gives other digests: files with digests must be written
 *	again.
 */
#ifndef COMFREYDOCKD_CONFIG_KEY_DIGEST_H
#define COMFREYDOCKD_CONFIG_KEY_DIGEST_H

#include "comfreydockd/settings.h"

#define KEY_DIGEST_SIZE 65 /* bytes, with the terminating NUL */

/* Writes 64 lower-case hexadecimal digits. */
void key_digest_of(const struct settings *settings, const char *key,
		   char hex[KEY_DIGEST_SIZE]);

/* Reads a digest in lower or upper case and writes it in lower case.
 * RETURN VALUE: false if text is not 64 hexadecimal digits. */
bool key_digest_parse(const char *text, char hex[KEY_DIGEST_SIZE]);

#endif
