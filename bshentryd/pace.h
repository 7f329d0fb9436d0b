#ifndef BSHENTRYD_PACE_H
#define BSHENTRYD_PACE_H

/*
 * NAME
 *	pace - targets that have just started or recovered, in the traffic
 *	thread
 *
 * DESCRIPTION
 *	Knows targets and their answers, not requests.  Decisions are those of
 *	coordination/target_pace.h; here they are logged and counted.  Unless
 *	it is enabled, nothing is done and no target is at its pace.
 *
 * UNITS
 *	Times are microseconds on the clock of the traffic loop.
 */

#include <glib.h>

#include "coordination/target_pace.h"

typedef struct {
	bool enabled; /* routing.pace */
	bool listed;  /* targets that are new from now on have started */
	uint64_t instance_key; /* hash of the name of this instance */
	uint32_t instances;    /* that may be running, including this one */
	GHashTable *peers;     /* service to bsh_pace_peers_t */
} pace_t;

/* Of one target; zeroed memory is valid. */
typedef struct {
	bsh_target_pace_t window;
	bsh_pace_peers_t *peers; /* NULL: not listed yet */
	int64_t began_us;	 /* of the window */
	uint32_t against;	 /* answers against the target in it */
} pace_target_t;

/* What names a target and its process. */
typedef struct {
	const char *id;
	const char *service;
	uint64_t started_ms;
	uint32_t slots;
} pace_process_t;

void pace_init(pace_t *pace, bool enabled, uint64_t instance_key);
void pace_finish(pace_t *pace);

/* pace_set_target - the target is listed; is_new: with another process than
 * before, or for the first time. */
void pace_set_target(pace_t *pace, pace_target_t *target,
		     const pace_process_t *process, bool is_new,
		     int64_t now_us);
/* pace_view_changed - the targets of a view are set; listed: they are all. */
void pace_view_changed(pace_t *pace, bool listed, uint32_t instances);

/* pace_left_out - the target is left out for failures until until_us, when it
 * may have recovered. */
void pace_left_out(const pace_t *pace, pace_target_t *target,
		   const pace_process_t *process, int64_t until_us);
/* pace_is_reached - this instance has as many requests open at the target as it
 * may have at present. */
bool pace_is_reached(const pace_t *pace, const pace_target_t *target,
		     uint32_t open, int64_t now_us);
/* pace_substituted - another target was chosen. */
void pace_substituted(void);

/* pace_answered - an answer has begun took_us after the request; expected_us: for
 * its size, 0: not estimated. */
void pace_answered(const pace_t *pace, pace_target_t *target, const char *id,
		   const bsh_pace_answer_t *answer, int64_t now_us);
/* pace_failed - the target has rejected or failed a request. */
void pace_failed(const pace_t *pace, pace_target_t *target, const char *id,
		 int64_t now_us);

#endif
