/*
 * NAME
 *	budget - a share of recent calls, as a token bucket
 *
 * DESCRIPTION
 *	Each call pays in its share of a token, extra work takes tokens out.
 *	The bucket starts full and holds at most burst tokens, so that a
 *	service that was idle for weeks can still retry its first calls, and
 *	so that a quiet week saves up nothing for the rush after it.
 *
 *	In any window: tokens taken <= burst + share * calls in the window.
 *
 * LOAD PATTERN
 *	Extra attempts (retries, hedges, refusals) that grow with trouble.
 *
 * WITHOUT IT
 *	Each failure adds load, which adds failures: the service stays down
 *	after the cause has gone.
 *
 * SOURCE
 *	"Site Reliability Engineering", chapter 21 (per-client retry budget).
 */
#ifndef COMFREYDOCKD_DECIDE_BUDGET_H
#define COMFREYDOCKD_DECIDE_BUDGET_H

#include <stdbool.h>

struct budget {
	double tokens;
	double burst;
	double share; /* tokens that one call pays in */
};

void budget_init(struct budget *budget, double share, double burst);

/* Counts one call. */
void budget_note_call(struct budget *budget);

/* True if so many tokens can be taken. */
bool budget_has(const struct budget *budget, double cost);

/* Takes the tokens, or nothing. RETURN VALUE: true if they were taken. */
bool budget_take(struct budget *budget, double cost);

/* Takes what was spent already, into debt if need be; later calls pay it. */
void budget_charge(struct budget *budget, double cost);

#endif
