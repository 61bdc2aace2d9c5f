/*
 * NAME
 *	id - random ids as text
 *
 * DESCRIPTION
 *	Ids that name a thing across processes: traces, applies. Taken
 *	from the kernel's random numbers, so that two daemons that start in the
 *	same microsecond differ.
 */
#ifndef COMMON_ID_H
#define COMMON_ID_H

#include <stdint.h>

#define ID_TEXT_SIZE 33

/* Fills text with 32 hexadecimal digits and a final 0. */
void id_random(char text[ID_TEXT_SIZE]);

uint64_t id_random_u64(void);

#endif
