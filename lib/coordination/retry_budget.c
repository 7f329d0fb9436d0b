#include "coordination/retry_budget.h"

#include <glib.h>

/* See DESCRIPTION: the part of the allowance that is used. */
#define USED_SHARE 0.5
/* Repeats saved up from requests at most, in parts of the slack. */
#define SAVED_SHARE 1.0

void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   double slack, uint32_t instances, uint32_t window_ms,
			   int64_t now_us)
{
	double share = USED_SHARE * slack / MAX(instances, 1);

	budget->ratio = USED_SHARE * ratio;
	budget->per_us = share / (1000.0 * MAX(window_ms, 1));
	budget->capacity = MAX(share * SAVED_SHARE, 1.0);
	budget->tokens = budget->capacity;
	budget->at_us = now_us;
}

static void refill(bsh_retry_budget_t *budget, int64_t now_us)
{
	if (now_us > budget->at_us)
		budget->tokens +=
			budget->per_us * (double)(now_us - budget->at_us);
	budget->at_us = MAX(budget->at_us, now_us);
	budget->tokens = MIN(budget->tokens, budget->capacity);
}

void bsh_retry_budget_request(bsh_retry_budget_t *budget, int64_t now_us)
{
	refill(budget, now_us);
	budget->tokens = MIN(budget->tokens + budget->ratio, budget->capacity);
}

bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us)
{
	refill(budget, now_us);
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
