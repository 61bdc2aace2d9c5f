/*
 * NAME
 *	id - random ids as text
 *
 * DESCRIPTION
 *	These ids identify an object, such as a trace or an apply, across
 *	processes. They come from the random number generator of the kernel, so
 *	that two daemons that start in the same microsecond get different ids.
 */
#ifndef COMMON_ID_H
#define COMMON_ID_H

#include <stdint.h>

#define ID_TEXT_SIZE 33

/* Writes 32 hexadecimal digits and a terminating NUL to text. */
void id_random(char text[ID_TEXT_SIZE]);

uint64_t id_random_u64(void);

#endif
