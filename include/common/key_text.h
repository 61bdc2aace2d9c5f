/*
 * NAME
 *	key_text - text form of 64-bit keys in logs and the admin API
 */
#ifndef COMMON_KEY_TEXT_H
#define COMMON_KEY_TEXT_H

#include <stdbool.h>
#include <stdint.h>

#define KEY_TEXT_SIZE 17 /* bytes, with the terminating NUL */

/* Writes 16 hexadecimal digits. RETURN VALUE: the text. */
const char *key_text(uint64_t key, char text[KEY_TEXT_SIZE]);

/* RETURN VALUE: false if text is not 16 lower-case hexadecimal digits. */
bool key_text_parse(const char *text, uint64_t *key);

#endif
