/*
 * NAME
 *	hedge - a second attempt while the first is still out
 *
 * DESCRIPTION
 *	One struct hedge for each service. After an attempt was sent the entry
 *	asks hedge_delay_us() and sets a timer; when the timer fires and there
 *	is still no answer it asks hedge_take(), sends to an untried upstream
 *	and cancels the slower of the two. A hedge is always sent as "refuse if
 *	busy": it must never wait in a queue. A hedge that ends NOT_RUN is
 *	dropped, and the first attempt goes on.
 *
 *	Only for requests that are idempotent. There is no retry budget in it:
 *	hedges have their own.
 *
 *	A hedge that seldom wins is dear: the budget pays up to HEDGE_PRICE_MAX times
 *	for it. Where an answer is late because its work is long, or because
 *	all upstreams are slow alike, the second attempt is as late as the first
 *	and only takes a slot.
 *
 *	The time of an attempt that was cancelled because its hedge won is told
 *	to hedge_note_latency() too, as far as it got: leaving it out would cut
 *	the slow end off, lower the delay and so bring more hedges.
 *
 * LOAD PATTERN
 *	Tail latency: one slow upstream, one pause, among many quick answers.
 *
 * WITHOUT IT
 *	The slowest one in twenty lookups waits for as long as its upstream
 *	pauses, while the others are free.
 *
 * GROUNDS
 *	The 95th percentile: hedges are about 5% of calls before the budget
 *	cuts in (Dean and Barroso report a few percent more work for a large
 *	cut of the tail). HEDGE_MIN_SAMPLES is an assumption: five samples
 *	above the percentile.
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
/* Weight of one hedge in the share that wins, and what that begins with. */
#define HEDGE_WIN_ALPHA 0.25
#define HEDGE_WIN_INITIAL 0.5

struct hedge {
	struct budget budget;
	struct quantile latency;
	uint64_t samples;
	double win_share; /* of recent hedges */
};

struct hedge_context {
	bool enabled; /* by the rule */
	bool idempotent;
	bool answer_begun;
	uint32_t hedges; /* sent for this request */
	size_t untried; /* upstreams left */
	uint32_t depth; /* a hedge costs 1 + depth tokens */
	int64_t deadline_us;
};

void hedge_init(struct hedge *hedge, uint32_t budget_percent);

/* Counts one request. */
void hedge_note_request(struct hedge *hedge);
void hedge_note_latency(struct hedge *hedge, int64_t latency_us);

/* Where an answer came while both attempts were out: whether the hedge's. */
void hedge_note_race(struct hedge *hedge, bool won);

/* RETURN VALUE: the time to wait from now on, or -1 for no hedge. */
int64_t hedge_delay_us(const struct hedge *hedge,
		       const struct hedge_context *question, int64_t now_us);

/* Asks again, at the time of the hedge, and takes the tokens. */
bool hedge_take(struct hedge *hedge, const struct hedge_context *question,
		int64_t now_us);

#endif
