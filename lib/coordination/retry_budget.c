#include "coordination/retry_budget.h"

#include <glib.h>
#include <string.h>

/* Part of the allowance that is used: instances disagree for a while on how
 * many share the slack, and a target may see a repeat later than it was sent. */
#define USED_SHARE 0.85

void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   uint32_t window_ms)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->step_us = INT64_C(1000) * MAX(window_ms, BSH_RETRY_STEPS) /
			  BSH_RETRY_STEPS;
}

void bsh_retry_budget_set_slack(bsh_retry_budget_t *budget, double slack,
				uint32_t instances)
{
	budget->slack = slack / MAX(instances, 1);
}

/* Empties the steps that have begun since the last call. */
static uint32_t current(bsh_retry_budget_t *budget, int64_t now_us)
{
	const int64_t n = BSH_RETRY_STEPS + 1;
	int64_t step = now_us / budget->step_us;
	int64_t passed = MIN(step - budget->step, n);

	for (int64_t i = 0; i < passed; i++) {
		budget->requests[(step - i) % n] = 0;
		budget->repeats[(step - i) % n] = 0;
	}
	budget->step = MAX(step, budget->step);
	return (uint32_t)(budget->step % n);
}

void bsh_retry_budget_add_request(bsh_retry_budget_t *budget, int64_t now_us)
{
	budget->requests[current(budget, now_us)]++;
}

double bsh_retry_budget_left(bsh_retry_budget_t *budget, int64_t now_us)
{
	uint32_t at = current(budget, now_us);
	uint32_t oldest = (at + 1) % (BSH_RETRY_STEPS + 1);
	uint32_t requests = 0;
	uint32_t repeats = 0;

	for (uint32_t i = 0; i <= BSH_RETRY_STEPS; i++) {
		repeats += budget->repeats[i];
		if (i != oldest)
			requests += budget->requests[i];
	}
	return USED_SHARE * (budget->ratio * requests + budget->slack) -
	       repeats;
}

bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us)
{
	if (bsh_retry_budget_left(budget, now_us) < 1)
		return false;
	budget->repeats[current(budget, now_us)]++;
	return true;
}
