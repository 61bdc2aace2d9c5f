#include "comfreydockd/decide/retry.h"

#include <glib.h>
#include <string.h>

static const char *const verdict_names[] = {
	[RETRY_GO] = "go",
	[RETRY_NO_UNSAFE] = "unsafe",
	[RETRY_NO_ANSWERED] = "answered",
	[RETRY_NO_FINAL] = "final",
	[RETRY_NO_ATTEMPTS] = "attempts",
	[RETRY_NO_UPSTREAM] = "no-upstream",
	[RETRY_NO_TIME] = "no-time",
	[RETRY_NO_BUDGET] = "no-budget",
};

const char *retry_verdict_name(enum retry_verdict verdict)
{
	return verdict_names[verdict];
}

void retry_init(struct retry *retry, uint32_t budget_percent)
{
	memset(retry, 0, sizeof(*retry));
	budget_init(&retry->budget, budget_percent / 100.0,
		    budget_percent ? RETRY_BURST : 0);
}

void retry_set_shared(struct retry *retry, uint32_t budget_percent,
		      double slack, size_t daemons)
{
	double part = slack / RETRY_SHARED_PARTS / (double)MAX(daemons, 1);
	double share = budget_percent / 100.0 / RETRY_SHARED_PARTS;

	retry->is_shared = true;
	/* With less than one token no retry would ever be made. */
	window_budget_set(&retry->window, share, MAX(part, 1.0));
}

void retry_note_request(struct retry *retry, int64_t now_us)
{
	budget_note_call(&retry->budget);
	window_budget_note_call(&retry->window, now_us);
}

static bool take_budget(struct retry *retry, double cost, int64_t now_us)
{
	if (retry->is_shared)
		return window_budget_take(&retry->window, cost, now_us);
	return budget_take(&retry->budget, cost);
}

double retry_available(struct retry *retry, int64_t now_us)
{
	if (retry->is_shared)
		return window_budget_available(&retry->window, now_us);
	return retry->budget.tokens;
}

double retry_capacity(struct retry *retry, int64_t now_us)
{
	if (retry->is_shared)
		return window_budget_capacity(&retry->window, now_us);
	return retry->budget.burst;
}

/* Refuses a retry that could run the request twice or answer it twice. */
static enum retry_verdict check_safe(const struct retry_context *context)
{
	if (context->answer_begun)
		return RETRY_NO_ANSWERED;
	switch (context->outcome) {
	case RETRY_OUTCOME_NEVER_SENT:
	case RETRY_OUTCOME_BUSY:
	case RETRY_OUTCOME_NOT_HERE:
	case RETRY_OUTCOME_OVERLOAD:
		return RETRY_GO;
	case RETRY_OUTCOME_UNKNOWN:
		return context->idempotent ? RETRY_GO : RETRY_NO_UNSAFE;
	case RETRY_OUTCOME_ANSWERED:
		return RETRY_NO_ANSWERED;
	case RETRY_OUTCOME_FINAL:
		break;
	}
	return RETRY_NO_FINAL;
}

bool retry_counts(enum retry_outcome outcome)
{
	return outcome != RETRY_OUTCOME_NEVER_SENT &&
	       outcome != RETRY_OUTCOME_NOT_HERE;
}

/* Returns true if the attempt did no work and failed because of this upstream
 * alone. */
static bool is_free_of_charge(enum retry_outcome outcome)
{
	return !retry_counts(outcome) || outcome == RETRY_OUTCOME_BUSY;
}

/* Full jitter: any delay up to a bound that doubles with each attempt. */
static int64_t backoff_us(uint32_t attempts, struct random_state *random)
{
	int64_t bound = RETRY_BASE_US;

	for (uint32_t i = 1; i < attempts && bound < RETRY_CAP_US; i++)
		bound *= 2;
	return (int64_t)random_below(random, (uint64_t)MIN(bound, RETRY_CAP_US));
}

/*
 * Returns a random addition to the owner's hint. An owner gives nearly the same
 * hint to all calls that it refuses. Passed on unchanged, it would bring all
 * their callers back within a few milliseconds, and the burst would repeat.
 */
static int64_t hint_jitter_us(int64_t hint_us, struct random_state *random)
{
	return (int64_t)random_below(random,
				     (uint64_t)MAX(hint_us, 0) / RETRY_SPREAD);
}

static enum retry_verdict check_room(const struct retry_context *context,
				     int64_t delay_us, int64_t now_us)
{
	if (retry_counts(context->outcome) &&
	    context->attempts >= context->max_attempts)
		return RETRY_NO_ATTEMPTS;
	if (context->untried == 0)
		return RETRY_NO_UPSTREAM;
	if (now_us + delay_us + context->expected_us >= context->deadline_us)
		return RETRY_NO_TIME;
	return RETRY_GO;
}

struct retry_decision retry_decide(struct retry *retry,
				   const struct retry_context *context,
				   struct random_state *random, int64_t now_us)
{
	bool free_of_charge = is_free_of_charge(context->outcome);
	int64_t wait_us =
		backoff_us(context->attempts, random) + context->retry_after_us;
	struct retry_decision decision = {
		.delay_us = free_of_charge ? 0 : wait_us,
	};

	decision.verdict = check_safe(context);
	if (decision.verdict == RETRY_GO)
		decision.verdict = check_room(context, decision.delay_us, now_us);
	if (decision.verdict == RETRY_GO && !free_of_charge &&
	    !take_budget(retry, 1.0 + context->depth, now_us))
		decision.verdict = RETRY_NO_BUDGET;
	if (decision.verdict != RETRY_GO) {
		decision.delay_us = 0;
		decision.come_back_us =
			MAX(wait_us, RETRY_BASE_US) +
			hint_jitter_us(context->retry_after_us, random);
	}
	return decision;
}
