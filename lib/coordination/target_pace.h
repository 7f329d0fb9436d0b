#ifndef BSH_COORDINATION_TARGET_PACE_H
#define BSH_COORDINATION_TARGET_PACE_H

/*
 * NAME
 *	target_pace - requests for a target that has started or recovered
 *
 * DESCRIPTION
 *	For each such target an instance keeps a window: the number of requests
 *	that it may have open there.  The windows of all instances together
 *	begin at a quarter of the target's slots.  With many instances each has
 *	less than one request: then it takes part, with one request at a time,
 *	only if its lot is below its window.
 *
 *	A window doubles with time, as an instance may see no answer of the
 *	target for seconds, and grows with each answer in time.  It is halved
 *	by a rejection or failure, and shrinks while answers are late: when the
 *	smoothed ratio of the times to the first byte to those of the peers of
 *	the target is above BSH_PACE_LATE_FACTOR.  There is no bound any more
 *	after BSH_PACE_KEPT answers in time over BSH_PACE_KEPT_US, or after
 *	BSH_PACE_QUIET_US, since the start or the last answer against it.
 *
 *	Peers are the targets of the same service without a window.  If none
 *	has answered within BSH_PACE_PEERS_US, no answer counts as late.
 *
 *	Nothing is shared with other instances.  Pure: no I/O and no clock.
 *
 * UNITS
 *	now_us and times that end in _us are microseconds of one monotonic
 *	clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Speeds in a service differ by 0.55 to 1.2, so that a sound target takes up to
 * 1.6 times the mean; the rest is for noise of the smoothed ratio. */
#define BSH_PACE_LATE_FACTOR 2.5
/* Answers in time that end the window, and the least time that they cover. */
#define BSH_PACE_KEPT	 8U
#define BSH_PACE_KEPT_US INT64_C(1000000)
/* Time without answers against the target that ends the window. */
#define BSH_PACE_QUIET_US INT64_C(5000000)
/* Age at which the times of peers say nothing any more. */
#define BSH_PACE_PEERS_US INT64_C(60000000)

/* Times to the first byte of the peers of a service. */
typedef struct {
	double mean_log; /* of the time per size of work */
	int64_t last_us; /* last answer; 0: none */
} bsh_pace_peers_t;

typedef struct {
	bool active;	    /* there is a window */
	double lot;	    /* of this instance at this target, 0 to 1 */
	double window;	    /* at changed_us, in requests of this instance */
	double window_min;  /* lower bound of it */
	int64_t changed_us; /* from then on it doubles with time */
	int64_t against_us; /* beginning, or last answer against the target */
	double late_log;    /* smoothed log of the ratio to the peers */
	uint32_t kept;	    /* answers in time since against_us */
} bsh_target_pace_t;

/* A first byte of a target. */
typedef struct {
	int64_t took_us;
	double expected_us; /* for the size of the work; 0: not estimated */
} bsh_pace_answer_t;

/* bsh_pace_lot - the lot of an instance at one process of a target; the keys are
 * hashes. */
double bsh_pace_lot(uint64_t instance_key, uint64_t process_key);

/* bsh_pace_begin - the target has started or recovered; instances: that send to
 * it, including this one. */
void bsh_pace_begin(bsh_target_pace_t *pace, uint32_t slots, uint32_t instances,
		    double lot, int64_t now_us);

/*
 * bsh_pace_open_max - requests that this instance may have open at the target.
 *
 * RETURN VALUE
 *	UINT32_MAX if there is no bound; 0 if the instance takes no part yet.
 */
uint32_t bsh_pace_open_max(const bsh_target_pace_t *pace, int64_t now_us);

/* bsh_pace_expire - end a window that has been quiet; call before the next two.
 * True if it has ended by that. */
bool bsh_pace_expire(bsh_target_pace_t *pace, int64_t now_us);

/*
 * bsh_pace_answered - the target has begun an answer that is neither a
 * rejection nor a failure.  Without a window it is a sample of the peers.
 *
 * RETURN VALUE
 *	False if the answers are late.
 */
bool bsh_pace_answered(bsh_target_pace_t *pace, bsh_pace_peers_t *peers,
		       const bsh_pace_answer_t *answer, int64_t now_us);

/* bsh_pace_failed - the target has rejected or failed a request. */
void bsh_pace_failed(bsh_target_pace_t *pace, int64_t now_us);

#endif
