#ifndef BSH_COORDINATION_RETRY_BUDGET_H
#define BSH_COORDINATION_RETRY_BUDGET_H

/*
 * NAME
 *	retry_budget - retry budget of one service at one instance
 *
 * DESCRIPTION
 *	In any window all instances together may send `ratio` retries for
 *	each request and `slack` more.  Each instance uses the ratio of its
 *	own requests and an equal share of the slack, so the total is bounded
 *	without messages between the instances, also during a partition.
 *
 *	A process does not know what the one before it, on the same instance,
 *	has sent in the window.  It uses none of the slack for a window then.
 *
 *	The window slides in steps of a tenth of its length.  The oldest step,
 *	which only partly belongs to the window, counts in full for retries
 *	and not at all for requests.
 *
 * UNITS
 *	Microseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_RETRY_STEPS 10

typedef struct {
	double ratio; /* retries for each request */
	double slack; /* retries for each window, share of this instance */
	int64_t slack_from_us; /* when it may be used */
	int64_t step_us;       /* length of a step */
	int64_t step;	       /* number of the current step */
	uint32_t requests[BSH_RETRY_STEPS + 1];
	uint32_t retries[BSH_RETRY_STEPS + 1];
} bsh_retry_budget_t;

/* bsh_retry_budget_init - an empty budget for a window of window_ms. */
void bsh_retry_budget_init(bsh_retry_budget_t *budget, double ratio,
			   uint32_t window_ms);
/* bsh_retry_budget_set_slack - divide the slack by the number of instances.
 * replaced_us: start of this process, if it replaces another one; 0: it does
 * not. */
void bsh_retry_budget_set_slack(bsh_retry_budget_t *budget, double slack,
				uint32_t instances, int64_t replaced_us);
/* bsh_retry_budget_add_request - count a client's request for the service. */
void bsh_retry_budget_add_request(bsh_retry_budget_t *budget, int64_t now_us);
/* bsh_retry_budget_left - retries that may be sent now; may be negative. */
double bsh_retry_budget_left(bsh_retry_budget_t *budget, int64_t now_us);
/* bsh_retry_budget_take - count a retry and return true if one may be sent. */
bool bsh_retry_budget_take(bsh_retry_budget_t *budget, int64_t now_us);

#endif
