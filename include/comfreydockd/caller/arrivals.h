/*
 * NAME
 *	arrivals - when the bytes of a buffer arrived
 *
 * DESCRIPTION
 *	A request may wait in the buffer of its connection until earlier ones
 *	are answered. Its deadline counts from its arrival, so the buffer's
 *	owner notes each read here and learns the time of the bytes that it
 *	takes out.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMFREYDOCKD_CALLER_ARRIVALS_H
#define COMFREYDOCKD_CALLER_ARRIVALS_H

#include <stddef.h>
#include <stdint.h>

/* With more reads than this in the buffer, the latest ones count as one. */
#define ARRIVALS_MAX 8

/* Zero-initialised. */
struct arrivals {
	struct {
		size_t bytes;
		int64_t us;
	} reads[ARRIVALS_MAX]; /* oldest first */
	unsigned int count;
};

/* Notes bytes that were appended to the buffer. */
void arrivals_add(struct arrivals *arrivals, size_t bytes, int64_t now_us);

/* Takes bytes from the front. RETURN VALUE: when the last of them arrived; 0 if
 * none did. */
int64_t arrivals_take(struct arrivals *arrivals, size_t bytes);

void arrivals_clear(struct arrivals *arrivals);

#endif
