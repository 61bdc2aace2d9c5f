/*
 * NAME
 *	window_budget - a share of the calls of a window of time
 *
 * DESCRIPTION
 *	Where many daemons share one budget, each may take its share of the
 *	calls that it saw in the last window and its part of a fixed slack, at
 *	any moment of the window. What a window leaves unused is lost.
 *
 *	In any window: taken <= slack + share * calls of a window that ends in
 *	it. Time is counted in slots: calls of the oldest, incomplete one are
 *	left out, what was taken there counts.
 *
 * LOAD PATTERN
 *	Hosts that go all at once: for a second or two most of their callers
 *	need another attempt, then nobody does.
 *
 * WITHOUT IT
 *	The part of one daemon among hundreds is about one token. A bucket of
 *	that size lets one call of each daemon be repeated, and the callers of
 *	the others wait for their deadline, while two thirds of what the window
 *	allows stay unused.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_WINDOW_BUDGET_H
#define COMFREYDOCKD_DECIDE_WINDOW_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define WINDOW_BUDGET_US ((int64_t)10 * 1000 * 1000)
#define WINDOW_BUDGET_SLOTS 20
#define WINDOW_BUDGET_FIRST_SLACK 1.0 /* at most, in the first window */
#define WINDOW_BUDGET_SLOT_US (WINDOW_BUDGET_US / WINDOW_BUDGET_SLOTS)

struct window_budget_slot {
	double calls;
	double taken;
};

/* All zero: allows nothing. */
struct window_budget {
	double share; /* of the calls */
	double slack; /* beyond it in each window */
	bool has_begun;
	int64_t first; /* number of the first slot */
	int64_t newest; /* of the one that is filled now */
	/* One more than a window has: the oldest is only partly in it. */
	struct window_budget_slot slots[WINDOW_BUDGET_SLOTS + 1];
};

/* What was noted before still counts. */
void window_budget_set(struct window_budget *budget, double share, double slack);

void window_budget_note_call(struct window_budget *budget, int64_t now_us);

/* RETURN VALUE: true if so much was left, and is taken. */
bool window_budget_take(struct window_budget *budget, double cost,
			int64_t now_us);

/* RETURN VALUE: what the window allows in all, and what of it is left. */
double window_budget_capacity(struct window_budget *budget, int64_t now_us);
double window_budget_available(struct window_budget *budget, int64_t now_us);

#endif
