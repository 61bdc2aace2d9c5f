/*
 * NAME
 *	head_history - when heads of the configuration became known
 *
 * DESCRIPTION
 *	Tells for how long a configuration has been superseded: since the first
 *	head above its own became known to this daemon. It remembers reached
 *	heads too, as peers may still hold a lower one.
 *
 *	Heads that become known within HEAD_HISTORY_STEP_US are recorded as one,
 *	with the time of the first, and the oldest ones are forgotten.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_CONFIG_HEAD_HISTORY_H
#define COMFREYDOCKD_CONFIG_HEAD_HISTORY_H

#include <stdint.h>

#define HEAD_HISTORY_SIZE 32
#define HEAD_HISTORY_STEP_US ((int64_t)100 * 1000)

struct head_history_entry {
	uint64_t head;
	int64_t known_us;
};

/* All zero: empty. */
struct head_history {
	struct head_history_entry entries[HEAD_HISTORY_SIZE]; /* ascending */
	unsigned int count;
};

/* Notes that a head is known. One that is not above all others has no effect. */
void head_history_note(struct head_history *history, uint64_t head,
		       int64_t now_us);

/* Forgets the heads above this one, which turned out not to exist. */
void head_history_drop_above(struct head_history *history, uint64_t head);

/* RETURN VALUE: the time since the first head above this one became known; 0 if
 * there is none. */
int64_t head_history_superseded_us(const struct head_history *history,
				   uint64_t head, int64_t now_us);

#endif
