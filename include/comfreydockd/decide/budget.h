/*
 * NAME
 *	budget - a token bucket filled by a share of the calls
 *
 * DESCRIPTION
 *	Each call adds its share of a token, and extra work takes tokens out.
 *	The bucket starts full and holds at most burst tokens, so that a service
 *	that was idle for weeks can still retry its first calls, while a quiet
 *	week saves up nothing for a burst after it.
 *
 *	In any window: tokens taken <= burst + share * calls in the window.
 *
 * LOAD PATTERN
 *	Extra attempts (retries, hedges, refusals), whose number grows when
 *	calls fail.
 *
 * WITHOUT IT
 *	Each failure adds load, and the load causes more failures: the service
 *	stays down after the cause has gone.
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
	double share; /* tokens that one call adds */
};

void budget_init(struct budget *budget, double share, double burst);

/* Counts one call. */
void budget_note_call(struct budget *budget);

/* Returns true if at least cost tokens are left. */
bool budget_has(const struct budget *budget, double cost);

/* Takes the tokens if enough are left. RETURN VALUE: true if they were
 * taken. */
bool budget_take(struct budget *budget, double cost);

/* Takes tokens for work already done. The balance may become negative, and
 * later calls make up for it. */
void budget_charge(struct budget *budget, double cost);

#endif
