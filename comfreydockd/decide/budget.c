#include "comfreydockd/decide/budget.h"

void budget_init(struct budget *budget, double share, double burst)
{
	budget->share = share;
	budget->burst = burst;
	budget->tokens = burst;
}

void budget_note_call(struct budget *budget)
{
	budget->tokens += budget->share;
	if (budget->tokens > budget->burst)
		budget->tokens = budget->burst;
}

bool budget_has(const struct budget *budget, double cost)
{
	return budget->tokens >= cost;
}

bool budget_take(struct budget *budget, double cost)
{
	if (!budget_has(budget, cost))
		return false;
	budget->tokens -= cost;
	return true;
}

void budget_charge(struct budget *budget, double cost)
{
	budget->tokens -= cost;
}
