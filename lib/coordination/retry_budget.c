#include "coordination/retry_budget.h"

#include <glib.h>
#include <string.h>

/* Share of the budget that is used.  The rest covers instances that briefly
 * disagree on their number, by which the slack is divided, and retries that
 * reach a target in a later window than the one they were sent in. */
#define USABLE_SHARE 0.85

void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   uint32_t window_ms)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->step_us = INT64_C(1000) * MAX(window_ms, BSH_RETRY_STEPS) /
			  BSH_RETRY_STEPS;
}

void bsh_retry_budget_set_slack(bsh_retry_budget_t *budget, double slack,
				uint32_t instances, int64_t replaced_us)
{
	/* A retry counts where it arrives, up to one step after the window. */
	int64_t window_us = (BSH_RETRY_STEPS + 1) * budget->step_us;

	budget->slack = slack / MAX(instances, 1);
	budget->slack_from_us = replaced_us > 0 ? replaced_us + window_us : 0;
}

/* Clears the steps that have begun since the last call and returns the index of
 * the current one. */
static uint32_t advance_step(bsh_retry_budget_t *budget, int64_t now_us)
{
	const int64_t n = BSH_RETRY_STEPS + 1;
	int64_t step = now_us / budget->step_us;
	int64_t new_steps = MIN(step - budget->step, n);

	for (int64_t i = 0; i < new_steps; i++) {
		budget->requests[(step - i) % n] = 0;
		budget->retries[(step - i) % n] = 0;
	}
	budget->step = MAX(step, budget->step);
	return (uint32_t)(budget->step % n);
}

void bsh_retry_budget_add_request(bsh_retry_budget_t *budget, int64_t now_us)
{
	budget->requests[advance_step(budget, now_us)]++;
}

double bsh_retry_budget_left(bsh_retry_budget_t *budget, int64_t now_us)
{
	uint32_t at = advance_step(budget, now_us);
	uint32_t oldest = (at + 1) % (BSH_RETRY_STEPS + 1);
	uint32_t requests = 0;
	uint32_t retries = 0;
	double slack = now_us >= budget->slack_from_us ? budget->slack : 0;

	for (uint32_t i = 0; i <= BSH_RETRY_STEPS; i++) {
		retries += budget->retries[i];
		if (i != oldest)
			requests += budget->requests[i];
	}
	return USABLE_SHARE * (budget->ratio * requests + slack) - retries;
}

bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us)
{
	if (bsh_retry_budget_left(budget, now_us) < 1)
		return false;
	budget->retries[advance_step(budget, now_us)]++;
	return true;
}
