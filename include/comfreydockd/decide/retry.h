/*
 * NAME
 *	retry - whether a further attempt follows one without an answer
 *
 * DESCRIPTION
 *	Each service has one struct retry. retry_decide() first checks whether
 *	the request may be repeated at all, and then whether there is time, an
 *	untried upstream and budget. A request that gets no further attempt is
 *	refused at once, with come_back_us as the time to come back.
 *
 *	A request of which no byte was sent, or which an owner reports as not
 *	run, may always be repeated. A request with an unknown outcome may be
 *	repeated only if it is idempotent, and an answered one never.
 *
 *	An attempt that was refused because its upstream is busy, draining or
 *	gone, or that was never sent, did no work: it is repeated elsewhere at
 *	once and free of charge. It cannot multiply over layers, since it made
 *	no nested calls. Attempts at an upstream that is draining or gone do not
 *	count against the rule's maximum either: a rule that allows one attempt
 *	must not turn a planned stop into a refused call. The number of untried
 *	upstreams bounds them.
 *
 *	All other repeats are paid from the budget and wait for a jittered time.
 *
 *	Calls are nested up to 13 deep. With a retry share of r at each layer
 *	one call at the top becomes (1 + r)^14 at the bottom, 3.8 for r = 0.1. A
 *	retry therefore costs 1 + depth tokens: the product of (1 + r / (1 + d))
 *	over the same 14 layers is 1.38. Both numbers are calculated.
 *
 * LOAD PATTERN
 *	A service that fails or slows down for a moment, and whose callers all
 *	retry.
 *
 * WITHOUT IT
 *	Three attempts per call at 13 layers are 3^13 calls to the lowest one: a
 *	short fault becomes a lasting overload.
 *
 * GROUNDS
 *	RETRY_BASE_US and RETRY_CAP_US are one and about a hundred times the
 *	duration of a fast call. RETRY_BURST lets one retry pass at any depth.
 *
 * UNITS
 *	Microseconds; deadline_us and now_us are monotonic.
 *
 * SOURCE
 *	Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015
 *	(full jitter); RFC 9110, 9.2.2 (idempotent methods).
 */
#ifndef COMFREYDOCKD_DECIDE_RETRY_H
#define COMFREYDOCKD_DECIDE_RETRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/decide/budget.h"
#include "comfreydockd/decide/random.h"
#include "comfreydockd/decide/window_budget.h"

#define RETRY_BASE_US ((int64_t)10 * 1000)
#define RETRY_CAP_US ((int64_t)1000 * 1000)
#define RETRY_BURST 20.0
/*
 * A retried request makes its upstream repeat its nested calls, and these count
 * against the budgets of the services called. If all daemons share one budget,
 * the retries of a service itself therefore use 1/3 of it. With three nested
 * services, 1 + 1.4 + 0.6 retries for each add up to about that.
 */
#define RETRY_SHARED_PARTS 3
/* Callers are told to come back between the owner's hint and 1.5 times the
 * hint. */
#define RETRY_SPREAD 2
/*
 * How often one request may be refused for lack of a free slot. Such a refusal
 * costs one round trip and has a certain outcome, so it does not count against
 * the rule's attempts. After two refusals the third upstream queues the
 * request. Two cover a second busy upstream after the first, and bound the cost
 * of a call under overload.
 */
#define RETRY_BUSY_MAX 2

/* How the last attempt ended. */
enum retry_outcome {
	/* An answer, including an upstream's own error. */
	RETRY_OUTCOME_ANSWERED,
	/* The request may have run: lost connection, timeout, failed owner. */
	RETRY_OUTCOME_UNKNOWN,
	/* No byte was handed to the kernel. */
	RETRY_OUTCOME_NEVER_SENT,
	/* NOT_RUN: no slot was free. */
	RETRY_OUTCOME_BUSY,
	/* NOT_RUN by this upstream: draining, no upstream, connection
	 * failed. */
	RETRY_OUTCOME_NOT_HERE,
	/* NOT_RUN for lack of capacity: overload, shed, unfair, deadline. */
	RETRY_OUTCOME_OVERLOAD,
	/* NOT_RUN and must not be repeated: cancelled. */
	RETRY_OUTCOME_FINAL,
};

enum retry_verdict {
	RETRY_GO,
	RETRY_NO_UNSAFE, /* may have run and is not idempotent */
	RETRY_NO_ANSWERED, /* there is an answer, or a part of one */
	RETRY_NO_FINAL,
	RETRY_NO_ATTEMPTS,
	RETRY_NO_UPSTREAM, /* no untried upstream is left */
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
};

struct retry_context {
	enum retry_outcome outcome;
	bool idempotent;
	bool answer_begun; /* a byte of an answer was sent to the caller */
	uint32_t attempts; /* made so far and counted, see retry_counts() */
	uint32_t max_attempts;
	size_t untried; /* upstreams, see pick_count_untried() */
	uint32_t depth; /* number of calls above this one */
	int64_t deadline_us;
	int64_t expected_us; /* expected duration of an attempt; 0: unknown */
	int64_t retry_after_us; /* hint of the owner; 0: none */
};

struct retry_decision {
	enum retry_verdict verdict;
	int64_t delay_us; /* RETRY_GO: time until the next attempt */
	int64_t come_back_us; /* otherwise: retry time for the caller */
};

struct retry {
	struct budget budget;
	bool is_shared; /* with other daemons: window replaces budget */
	struct window_budget window;
};

/* Returns true if an attempt with this outcome counts against max_attempts. */
bool retry_counts(enum retry_outcome outcome);

void retry_init(struct retry *retry, uint32_t budget_percent);

/*
 * Sets this daemon's part of a budget that all daemons share: budget_percent of
 * the requests, and slack further retries in each window.
 */
void retry_set_shared(struct retry *retry, uint32_t budget_percent,
		      double slack, size_t daemons);

/* Counts a request, regardless of its number of attempts. */
void retry_note_request(struct retry *retry, int64_t now_us);

/* Return the number of retries that may be made at once, and its maximum. */
double retry_available(struct retry *retry, int64_t now_us);
double retry_capacity(struct retry *retry, int64_t now_us);

/* Takes the tokens if the verdict is RETRY_GO and the retry costs any. */
struct retry_decision retry_decide(struct retry *retry,
				   const struct retry_context *context,
				   struct random_state *random, int64_t now_us);

/* Returns a fixed word for the time line and the logs. */
const char *retry_verdict_name(enum retry_verdict verdict);

#endif
