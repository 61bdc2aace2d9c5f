/*
 * NAME
 *	window_budget - a share of the calls in a sliding window
 *
 * DESCRIPTION
 *	If many daemons share one budget, each may take its share of the calls
 *	that it saw in the last window and its part of a fixed slack, at any
 *	moment of the window. Tokens that are not used within a window expire.
 *
 *	In any window: taken <= slack + share * calls of a window that ends in
 *	it. Time is divided into slots. Calls of the oldest slot, which is only
 *	partly in the window, do not count; tokens taken there do.
 *
 * LOAD PATTERN
 *	Several hosts fail at once: for a second or two most of their callers
 *	need another attempt, after that none does.
 *
 * WITHOUT IT
 *	The part of one daemon among hundreds is about one token. A token bucket
 *	of that size lets one call of each daemon be repeated. The callers of
 *	the others wait for their deadlines, while two thirds of what the window
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
#define WINDOW_BUDGET_FIRST_SLACK 1.0 /* maximum, in the first window */
#define WINDOW_BUDGET_SLOT_US (WINDOW_BUDGET_US / WINDOW_BUDGET_SLOTS)

struct window_budget_slot {
	double calls;
	double taken;
};

/* Zero-initialised: allows nothing. */
struct window_budget {
	double share; /* of the calls */
	double slack; /* additional tokens in each window */
	bool has_begun;
	int64_t first; /* number of the first slot */
	int64_t newest; /* number of the current slot */
	/* One more than the window: the oldest is only partly in it. */
	struct window_budget_slot slots[WINDOW_BUDGET_SLOTS + 1];
};

/* Earlier calls and tokens still count. */
void window_budget_set(struct window_budget *budget, double share, double slack);

void window_budget_note_call(struct window_budget *budget, int64_t now_us);

/* RETURN VALUE: true if enough was left and has been taken. */
bool window_budget_take(struct window_budget *budget, double cost,
			int64_t now_us);

/* RETURN VALUE: what the window allows in total, and what is left of it. */
double window_budget_capacity(struct window_budget *budget, int64_t now_us);
double window_budget_available(struct window_budget *budget, int64_t now_us);

#endif
