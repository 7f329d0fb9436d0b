#ifndef BSH_COORDINATION_REACH_H
#define BSH_COORDINATION_REACH_H

/*
 * NAME
 *	reach - whether this instance reaches any target
 *
 * DESCRIPTION
 *	A connection to a target that fails may show that the target is down,
 *	or that this instance is cut off from all of them.  After a failure
 *	connections to some other targets are tried.  If one is accepted, the
 *	failure is that of a target; if all fail, the instance is cut off.
 *	Until that is known, the failure says nothing.  While the instance is
 *	cut off connections are tried at intervals.
 *
 *	With fewer than BSH_REACH_TARGETS_MIN targets the two cannot be told
 *	apart, and the failure counts as that of a target.
 *
 *	checking	connections are being tried after a failure
 *	cut		all failed
 *	reached		otherwise
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Times are microseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_REACH_TARGETS_MIN 2U
/* Connections that are tried at once. */
#define BSH_REACH_ROUND_MAX 4U
/* Time for which an accepted connection shows that a failure is not a cut. */
#define BSH_REACH_VALID_US INT64_C(20000)
/* Interval of rounds while the instance is cut off. */
#define BSH_REACH_INTERVAL_US INT64_C(250000)

typedef enum {
	BSH_REACH_REACHED,
	BSH_REACH_CHECKING,
	BSH_REACH_CUT
} bsh_reach_state_t;

typedef struct {
	bsh_reach_state_t state;
	uint32_t open; /* connections of the round that are not known yet */
	uint32_t round_size;
	bool accepted; /* one of the round was */
	int64_t accepted_us;
	int64_t round_us; /* begin of the last round */
} bsh_reach_t;

/* What a result has shown. */
typedef enum {
	BSH_REACH_UNKNOWN,
	BSH_REACH_TARGETS_FAILED, /* failures so far are those of targets */
	BSH_REACH_IS_CUT
} bsh_reach_verdict_t;

void bsh_reach_init(bsh_reach_t *reach);

/* bsh_reach_failed - a connection to a target has failed.  Returns true if a
 * round of connections is to be tried; BSH_REACH_TARGETS_FAILED holds at once if
 * bsh_reach_is_certain(). */
bool bsh_reach_failed(bsh_reach_t *reach, int64_t now_us);
/* bsh_reach_is_certain - a connection was accepted just now. */
bool bsh_reach_is_certain(const bsh_reach_t *reach, int64_t now_us);
/* bsh_reach_is_due - a round is to be tried, as the instance is cut off. */
bool bsh_reach_is_due(const bsh_reach_t *reach, int64_t now_us);

/* bsh_reach_begin - a round of n connections is tried. */
bsh_reach_verdict_t bsh_reach_begin(bsh_reach_t *reach, uint32_t n,
				    int64_t now_us);
/* bsh_reach_result - one of them was accepted or has failed. */
bsh_reach_verdict_t bsh_reach_result(bsh_reach_t *reach, bool accepted,
				     int64_t now_us);

const char *bsh_reach_state_name(bsh_reach_state_t state);

#endif
