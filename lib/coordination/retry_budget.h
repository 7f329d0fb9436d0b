#ifndef BSH_COORDINATION_RETRY_BUDGET_H
#define BSH_COORDINATION_RETRY_BUDGET_H

/*
 * NAME
 *	retry_budget - one instance's share of the fleet's repeated sends
 *
 * DESCRIPTION
 *	The fleet may send `ratio` repeats for each request, and `slack` more
 *	in any window.  Each instance earns its repeats from its own requests
 *	and takes an equal part of the slack, so the sum holds with no
 *	exchange of messages, also while instances are cut off.  One bucket
 *	belongs to one service.
 *
 *	The bucket refills in the time of a window; half of each allowance is
 *	left unused, because a sliding window can hold the end of one refill
 *	and the beginning of the next.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double tokens;
	double ratio;	 /* earned by one request */
	double per_us;	 /* part of the slack, refilled evenly */
	double capacity; /* tokens at most */
	int64_t at_us;
} bsh_retry_budget_t;

/* bsh_retry_budget_init - instances: number that share the slack. */
void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   double slack, uint32_t instances, uint32_t window_ms,
			   int64_t now_us);
/* bsh_retry_budget_request - a caller's request for the service came. */
void bsh_retry_budget_request(bsh_retry_budget_t *budget, int64_t now_us);
/* bsh_retry_budget_take - true if one repeat may be sent now. */
bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us);

#endif
