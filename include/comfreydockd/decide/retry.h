/*
 * NAME
 *	retry - whether an attempt that gave no answer is followed by another
 *
 * DESCRIPTION
 *	One struct retry for each service. retry_decide() first asks what may
 *	be repeated at all, then whether there is time, an untried upstream and
 *	budget. A request that gets no further attempt is answered at once,
 *	with come_back_us as the time to come back.
 *
 *	What may be repeated: a request of which no byte was sent and one that
 *	an owner said it had not run, always; one whose end is unknown only if
 *	it is idempotent; one that was answered, never.
 *
 *	An attempt that was refused because this upstream is busy, draining or
 *	gone, or that never left, did no work: it is repeated elsewhere at once
 *	and free. It can't multiply over layers, for it made no calls below.
 *	Attempts that met an upstream which is draining or gone don't count
 *	against the rule's most attempts either: a rule that allows one attempt
 *	must not turn a planned stop into a refused call. The upstreams tried
 *	bound their number.
 *
 *	All others are paid for from the budget and wait for a jittered time.
 *
 *	Calls go up to 13 deep. With a share r at each layer, one call at the
 *	top becomes (1 + r)^14 at the bottom, 3.8 for r = 0.1. So a retry
 *	costs 1 + depth tokens: the product of (1 + r / (1 + d)) over the same
 *	14 layers is 1.38 (both are arithmetic, not measured).
 *
 * LOAD PATTERN
 *	A service that fails or slows for a moment and whose callers all retry.
 *
 * WITHOUT IT
 *	Three attempts a call at 13 layers are 3^13 calls to the lowest one:
 *	a short fault becomes a standing overload.
 *
 * GROUNDS
 *	RETRY_BASE_US and RETRY_CAP_US are assumptions: one and about a hundred
 *	times a quick call. RETRY_BURST lets one retry pass at any depth.
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
 * A repeat of a request makes its upstream repeat the calls that it made, and
 * these count against the budgets of the services called. So where a budget
 * holds for all daemons together, repeats of one's own use one part in so many.
 * With three services deep, 1 + 1.4 + 0.6 repeats for each come to about that.
 */
#define RETRY_SHARED_PARTS 3
/* Callers come back within the owner's hint and one part in so many more. */
#define RETRY_SPREAD 2
/*
 * How often one request may be refused because no slot was free. Such a
 * refusal costs one round trip and is certain, so it doesn't count against the
 * rule's attempts; after two the third upstream queues the request. Two covers
 * a busy upstream after a busy one and bounds what a call costs at overload.
 */
#define RETRY_BUSY_MAX 2

/* How the last attempt ended. */
enum retry_outcome {
	/* An answer, an upstream's own error included. */
	RETRY_OUTCOME_ANSWERED,
	/* May have run: lost connection, timeout, failed owner. */
	RETRY_OUTCOME_UNKNOWN,
	/* No byte was handed to the kernel. */
	RETRY_OUTCOME_NEVER_SENT,
	/* NOT_RUN, no slot free just now. */
	RETRY_OUTCOME_BUSY,
	/* NOT_RUN, not by this upstream: draining, no upstream, connect. */
	RETRY_OUTCOME_NOT_HERE,
	/* NOT_RUN for lack of capacity: overload, shed, unfair, deadline. */
	RETRY_OUTCOME_OVERLOAD,
	/* NOT_RUN and not to be repeated: cancelled. */
	RETRY_OUTCOME_FINAL,
};

enum retry_verdict {
	RETRY_GO,
	RETRY_NO_UNSAFE, /* it may have run and is not idempotent */
	RETRY_NO_ANSWERED, /* there is an answer, or part of one */
	RETRY_NO_FINAL,
	RETRY_NO_ATTEMPTS,
	RETRY_NO_UPSTREAM, /* none left that is untried */
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
};

struct retry_context {
	enum retry_outcome outcome;
	bool idempotent;
	bool answer_begun; /* a byte of an answer went to the caller */
	uint32_t attempts; /* made so far that count, see retry_counts() */
	uint32_t max_attempts;
	size_t untried; /* upstreams left, see pick_count_untried() */
	uint32_t depth; /* calls above this one */
	int64_t deadline_us;
	int64_t expected_us; /* what an attempt is likely to take; 0: unknown */
	int64_t retry_after_us; /* the owner's hint; 0: none */
};

struct retry_decision {
	enum retry_verdict verdict;
	int64_t delay_us; /* RETRY_GO: until the next attempt */
	int64_t come_back_us; /* otherwise: to tell the caller */
};

struct retry {
	struct budget budget;
	bool is_shared; /* with other daemons: window holds in its place */
	struct window_budget window;
};

/* True if an attempt with this end counts against max_attempts. */
bool retry_counts(enum retry_outcome outcome);

void retry_init(struct retry *retry, uint32_t budget_percent);

/*
 * This daemon's part of a budget that all daemons share: so many percent of
 * the requests, and slack repeats more in each window.
 */
void retry_set_shared(struct retry *retry, uint32_t budget_percent,
		      double slack, size_t daemons);

/* Counts one request, whatever its number of attempts. */
void retry_note_request(struct retry *retry, int64_t now_us);

/* RETURN VALUE: the repeats that may be made at once, and how many these can be. */
double retry_available(struct retry *retry, int64_t now_us);
double retry_capacity(struct retry *retry, int64_t now_us);

/* Takes the tokens where the verdict is RETRY_GO and the retry costs any. */
struct retry_decision retry_decide(struct retry *retry,
				   const struct retry_context *question,
				   struct random_state *random, int64_t now_us);

/* A fixed word for the time line and the logs. */
const char *retry_verdict_name(enum retry_verdict verdict);

#endif
