#ifndef BSH_COORDINATION_RUN_TIME_H
#define BSH_COORDINATION_RUN_TIME_H

/*
 * NAME
 *	run_time - how long requests of a route last, and whether an instance
 *	that is being stopped takes one more
 *
 * DESCRIPTION
 *	An instance that is being stopped aborts the requests that are left at
 *	the end of its grace time.  A request that may last longer is refused
 *	as not run, so that its caller turns to another instance at once; one
 *	that surely ends earlier is served.
 *
 *	A request ends at its deadline at the latest.  If that is after the
 *	abort, the longest of the recent requests of its route decides: a mean
 *	would let every second one be cut.  Without any it is refused.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* A request counts for one to two windows, and until there is a later one. */
#define BSH_RUN_TIME_WINDOW_US INT64_C(60000000)
/* A request may last longer than the longest one seen. */
#define BSH_RUN_TIME_MARGIN_PERCENT 25
#define BSH_RUN_TIME_MARGIN_US	    INT64_C(100000)

/* All zero: no request was seen. */
typedef struct {
	int64_t window_began_us;
	int64_t longest_us;	   /* in the current window; 0: none */
	int64_t former_longest_us; /* in the one before */
	uint32_t requests;	   /* in the current window */
	uint32_t former_requests;
} bsh_run_time_t;

/* bsh_run_time_add - a request that was sent to a target has ended after
 * run_us, without the time for which it waited before. */
void bsh_run_time_add(bsh_run_time_t *time, int64_t run_us, int64_t now_us);

/* bsh_run_time_bound_us - time for which a request may last; INT64_MAX: not
 * known. */
int64_t bsh_run_time_bound_us(const bsh_run_time_t *time);

/* bsh_run_time_requests - number of requests that the time rests on. */
uint32_t bsh_run_time_requests(const bsh_run_time_t *time);

/*
 * bsh_run_time_fits - true if a request ends before the abort.
 *
 * time: of its route; NULL: no request was seen.  wait_us: time before it is
 * sent.  limit_us: time until its deadline.  left_us: time until the abort.
 */
bool bsh_run_time_fits(const bsh_run_time_t *time, int64_t wait_us,
		       int64_t limit_us, int64_t left_us);

#endif
