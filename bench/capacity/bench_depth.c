/*
 * NAME
 *	bench_depth - amplification of retries over layers of calls
 *
 * SYNOPSIS
 *	bench-depth LAYERS...
 *
 * DESCRIPTION
 *	Each layer's service calls the one below, and the lowest service fails
 *	every call. Each layer retries as an entry does: deadline_attempts()
 *	limits the attempts, and retry_decide() takes each retry from a budget
 *	of 10% of the calls. Prints the number of calls that reach the lowest
 *	service per call at the top. For comparison it prints the number if each
 *	layer made the three attempts that the rules allow, regardless of depth.
 *	It also prints what remains of a deadline of two seconds.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/retry.h"

#define LAYERS_MAX 14
#define CALLS 20000
#define ATTEMPTS 3
#define BUDGET_PERCENT 10
#define DEADLINE_US ((int64_t)2000 * 1000)
#define GAP_US 1000 /* between calls at the top */

struct bench {
	unsigned int layers;
	struct retry retry[LAYERS_MAX];
	struct random_state random;
	uint64_t lowest_calls;
	int64_t now_us;
};

/* RETURN VALUE: whether the failed call is made again. */
static bool may_retry(struct bench *bench, unsigned int depth,
		      unsigned int attempts)
{
	struct retry_context question = {
		.outcome = RETRY_OUTCOME_UNKNOWN,
		.idempotent = true,
		.attempts = attempts,
		.max_attempts = deadline_attempts(ATTEMPTS, depth),
		.untried = 7,
		.depth = depth,
		.deadline_us = bench->now_us + DEADLINE_US,
	};

	return retry_decide(&bench->retry[depth], &question, &bench->random,
			    bench->now_us)
		       .verdict == RETRY_GO;
}

/* NOLINTNEXTLINE(misc-no-recursion): layers are bounded by LAYERS_MAX */
static void call(struct bench *bench, unsigned int depth)
{
	unsigned int attempts = 0;

	if (depth == bench->layers) {
		bench->lowest_calls++;
		return;
	}
	retry_note_request(&bench->retry[depth], 0);
	do {
		call(bench, depth + 1);
		attempts++;
	} while (may_retry(bench, depth, attempts));
}

static double remaining_ms(unsigned int layers)
{
	int64_t left = DEADLINE_US;

	for (unsigned int i = 0; i < layers; i++)
		left = deadline_for_hop_us(left, DEADLINE_RTT_DEFAULT_US, 0);
	return (double)left / 1000;
}

static void run_size(unsigned int layers)
{
	struct bench *bench = g_new0(struct bench, 1);

	bench->layers = layers;
	bench->random.state = 1;
	for (unsigned int i = 0; i < layers; i++)
		retry_init(&bench->retry[i], BUDGET_PERCENT);
	for (int i = 0; i < CALLS; i++) {
		bench->now_us += GAP_US;
		call(bench, 0);
	}
	printf("layers %u: %.2f calls at the lowest per call at the top, %.0f "
	       "regardless of depth; %.0f ms of 2000 remain\n",
	       layers, (double)bench->lowest_calls / CALLS,
	       pow(ATTEMPTS, layers), remaining_ms(layers));
	g_free(bench);
}

int main(int argc, char **argv)
{
	for (int i = 1; i < argc; i++)
		run_size((unsigned int)CLAMP(atoi(argv[i]), 1, LAYERS_MAX));
	return 0;
}
