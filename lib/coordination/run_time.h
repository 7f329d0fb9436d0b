#ifndef BSH_COORDINATION_RUN_TIME_H
#define BSH_COORDINATION_RUN_TIME_H

/*
 * NAME
 *	run_time - how long requests last, and whether an instance that is
 *	being stopped takes one more
 *
 * DESCRIPTION
 *	An instance that is being stopped aborts the requests that are left at
 *	the end of its grace time.  One that it does not take is refused as not
 *	run, so that its caller turns to another instance at once.
 *
 *	The caller of a stream that is cut loses all of it, so a stream is
 *	taken only if something ends it before the abort: its deadline.  The
 *	longest stream so far is no bound: after n streams the next one is the
 *	longest of all with a chance of 1 in n + 1.
 *
 *	The caller of a call that is still running at the abort is told that
 *	its outcome is unknown.  There the longest of the recent requests
 *	decides, and a larger margin for one that must not be repeated.
 *
 *	A request that may have run, or of which the caller has a part, cannot
 *	be refused any more.  It is sent once more in any case: at worst its
 *	caller is cut at the abort instead of at once.
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
/* The same for one that must not be repeated, in place of the percentage. */
#define BSH_RUN_TIME_ONCE_FACTOR 4

/* All zero: no request was seen. */
typedef struct {
	int64_t window_began_us;
	int64_t longest_us;	   /* in the current window; 0: none */
	int64_t former_longest_us; /* in the one before */
	uint32_t requests;	   /* in the current window */
	uint32_t former_requests;
} bsh_run_time_t;

/* A request at an instance that is being stopped. */
typedef struct {
	bool is_stream;
	bool repeatable;
	/* It may have run, or its caller has a part of its response. */
	bool has_begun;
	int64_t wait_us;  /* time before it is sent */
	int64_t limit_us; /* time until its deadline */
	int64_t left_us;  /* time until the abort */
} bsh_late_request_t;

/* bsh_run_time_add - a request that was sent to a target has ended after
 * run_us, without the time for which it waited before. */
void bsh_run_time_add(bsh_run_time_t *time, int64_t run_us, int64_t now_us);

/* bsh_run_time_bound_us - time for which a request is expected to last at most;
 * INT64_MAX: not known. */
int64_t bsh_run_time_bound_us(const bsh_run_time_t *time);

/* bsh_run_time_requests - number of requests that the time rests on. */
uint32_t bsh_run_time_requests(const bsh_run_time_t *time);

/*
 * bsh_run_time_fits - true if a request is expected to end before the abort.
 *
 * time: of requests like it; NULL: none was seen.  wait_us: time before it is
 * sent.  limit_us: time until its deadline.  left_us: time until the abort.
 */
bool bsh_run_time_fits(const bsh_run_time_t *time, int64_t wait_us,
		       int64_t limit_us, int64_t left_us);

/* bsh_run_time_takes - true if an instance that is being stopped sends the
 * request; time: of requests like it; NULL: none was seen. */
bool bsh_run_time_takes(const bsh_run_time_t *time,
			const bsh_late_request_t *request);

#endif
