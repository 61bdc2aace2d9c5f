/*
 * NAME
 *	hedge - a second attempt while the first one is still out
 *
 * DESCRIPTION
 *	Each service has one struct hedge. After an attempt has been sent, the
 *	entry asks hedge_delay_us() and sets a timer. If the timer fires before
 *	an answer has come, the entry asks hedge_take(), sends to an untried
 *	upstream and cancels the slower of the two attempts. A hedge is always
 *	sent as "refuse if busy": it must never wait in a queue. A hedge that
 *	ends NOT_RUN is dropped, and the first attempt goes on.
 *
 *	Only idempotent requests are hedged. Hedges do not draw on the retry
 *	budget, but on a budget of their own.
 *
 *	A hedge costs up to HEDGE_PRICE_MAX times as many tokens if hedges
 *	rarely win. If an answer is late because its work is long, or because
 *	all upstreams are equally slow, the second attempt is as late as the
 *	first one and only takes a slot.
 *
 *	If a hedge wins, the elapsed time of the cancelled attempt is passed to
 *	hedge_note_latency() too. Leaving it out would cut off the tail of the
 *	distribution, shorten the delay and so cause more hedges.
 *
 * LOAD PATTERN
 *	Tail latency: one slow upstream or one pause among many fast answers.
 *
 * WITHOUT IT
 *	The slowest one in twenty lookups waits for as long as its upstream
 *	pauses, while other upstreams are free.
 *
 * GROUNDS
 *	With the 95th percentile hedges are about 5% of calls before the budget
 *	applies (Dean and Barroso report a few percent more work for a large
 *	reduction of the tail). HEDGE_MIN_SAMPLES: five samples above the
 *	percentile.
 *
 * UNITS
 *	Microseconds; deadline_us and now_us are monotonic.
 *
 * SOURCE
 *	Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013.
 */
#ifndef COMFREYDOCKD_DECIDE_HEDGE_H
#define COMFREYDOCKD_DECIDE_HEDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/decide/budget.h"
#include "comfreydockd/decide/quantile.h"

#define HEDGE_PERCENTILE 0.95
#define HEDGE_MIN_SAMPLES 100
#define HEDGE_BURST 5.0
#define HEDGE_PRICE_MAX 5.0
/* Weight of one hedge in the share of hedges that win, and the initial
 * share. */
#define HEDGE_WIN_ALPHA 0.25
#define HEDGE_WIN_INITIAL 0.5

struct hedge {
	struct budget budget;
	struct quantile latency;
	uint64_t samples;
	double win_share; /* of recent hedges */
};

struct hedge_context {
	bool enabled; /* enabled by the rule */
	bool idempotent;
	bool answer_begun;
	uint32_t hedges; /* already sent for this request */
	size_t untried; /* upstreams not tried yet */
	uint32_t depth; /* of nested calls; a hedge costs 1 + depth tokens */
	int64_t deadline_us;
};

void hedge_init(struct hedge *hedge, uint32_t budget_percent);

/* Counts one request. */
void hedge_note_request(struct hedge *hedge);
void hedge_note_latency(struct hedge *hedge, int64_t latency_us);

/* Notes which attempt answered first while both were out; won: the hedge. */
void hedge_note_race(struct hedge *hedge, bool won);

/* RETURN VALUE: the time to wait from now on, or -1 if no hedge must be
 * sent. */
int64_t hedge_delay_us(const struct hedge *hedge,
		       const struct hedge_context *context, int64_t now_us);

/* Checks again when the hedge is due, and takes the tokens. */
bool hedge_take(struct hedge *hedge, const struct hedge_context *context,
		int64_t now_us);

#endif
