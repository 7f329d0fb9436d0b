#ifndef BSH_COORDINATION_RETRY_BUDGET_H
#define BSH_COORDINATION_RETRY_BUDGET_H

/*
 * NAME
 *	retry_budget - one instance's share of the fleet's repeated sends
 *
 * DESCRIPTION
 *	In any window the fleet may send `ratio` repeats for each request and
 *	`slack` more.  Each instance earns its repeats from its own requests
 *	and takes an equal part of the slack, so the sum holds with no
 *	exchange of messages, also while instances are cut off.  One budget
 *	belongs to one service.
 *
 *	The window slides in steps of a tenth of its length.  The step that
 *	only partly belongs to it is counted in full among the repeats and
 *	left out among the requests.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_RETRY_STEPS 10

typedef struct {
	double ratio;
	double slack; /* of this instance */
	int64_t step_us;
	int64_t step; /* number of the current one */
	uint32_t requests[BSH_RETRY_STEPS + 1];
	uint32_t repeats[BSH_RETRY_STEPS + 1];
} bsh_retry_budget_t;

/* bsh_retry_budget_init - for a window of this length. */
void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   uint32_t window_ms);
/* bsh_retry_budget_share - instances: number that share the slack. */
void bsh_retry_budget_set_slack(bsh_retry_budget_t *budget, double slack,
				uint32_t instances);
/* bsh_retry_budget_request - a caller's request for the service came. */
void bsh_retry_budget_add_request(bsh_retry_budget_t *budget, int64_t now_us);
/* bsh_retry_budget_left - repeats that may be sent now. */
double bsh_retry_budget_left(bsh_retry_budget_t *budget, int64_t now_us);
/* bsh_retry_budget_take - true if one repeat may be sent now. */
bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us);

#endif
