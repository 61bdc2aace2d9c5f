#include "comfreydockd/decide/window_budget.h"

#include <math.h>
#include <string.h>

#define RING_SIZE (WINDOW_BUDGET_SLOTS + 1)

static struct window_budget_slot *slot_of(struct window_budget *budget,
					  int64_t number)
{
	return &budget->slots[number % RING_SIZE];
}

/* Clears the slots that have begun since the last call. */
static void advance(struct window_budget *budget, int64_t now_us)
{
	int64_t number = now_us / WINDOW_BUDGET_SLOT_US;

	if (!budget->has_begun)
		budget->first = number;
	budget->has_begun = true;
	if (number >= budget->newest + RING_SIZE) {
		memset(budget->slots, 0, sizeof(budget->slots));
		budget->newest = number;
	}
	while (budget->newest < number) {
		struct window_budget_slot *next =
			slot_of(budget, ++budget->newest);

		memset(next, 0, sizeof(*next));
	}
}

static double taken(const struct window_budget *budget)
{
	double sum = 0;

	for (int i = 0; i < RING_SIZE; i++)
		sum += budget->slots[i].taken;
	return sum;
}

void window_budget_set(struct window_budget *budget, double share, double slack)
{
	budget->share = share;
	budget->slack = slack;
}

void window_budget_note_call(struct window_budget *budget, int64_t now_us)
{
	advance(budget, now_us);
	slot_of(budget, budget->newest)->calls += 1.0;
}

/* Limits the slack in the first window: a daemon that has just started knows
 * few of the others and would take their parts of the slack. */
static double slack_of(const struct window_budget *budget)
{
	bool is_in_first_window =
		budget->newest - budget->first < WINDOW_BUDGET_SLOTS;

	return is_in_first_window ?
		       fmin(budget->slack, WINDOW_BUDGET_FIRST_SLACK) :
		       budget->slack;
}

double window_budget_capacity(struct window_budget *budget, int64_t now_us)
{
	const struct window_budget_slot *oldest;
	double calls = 0;

	advance(budget, now_us);
	oldest = slot_of(budget, budget->newest + 1);
	for (int i = 0; i < RING_SIZE; i++)
		calls += budget->slots[i].calls;
	return slack_of(budget) + budget->share * (calls - oldest->calls);
}

double window_budget_available(struct window_budget *budget, int64_t now_us)
{
	return window_budget_capacity(budget, now_us) - taken(budget);
}

bool window_budget_take(struct window_budget *budget, double cost, int64_t now_us)
{
	if (window_budget_available(budget, now_us) < cost)
		return false;
	slot_of(budget, budget->newest)->taken += cost;
	return true;
}
