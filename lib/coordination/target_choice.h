#ifndef BSH_COORDINATION_TARGET_CHOICE_H
#define BSH_COORDINATION_TARGET_CHOICE_H

/*
 * NAME
 *	target_choice - load balancer that chooses the target of a request
 *
 * DESCRIPTION
 *	The target with the lowest expected delay is chosen.  The delay is the
 *	smoothed time to the first byte of recent answers, scaled by the share
 *	of the target's slots that are in use and by its share of failures,
 *	plus a penalty for another availability zone.  Among targets of nearly
 *	equal delay, rendezvous hashing of the request's shared prompt prefix
 *	decides, so that requests with one prefix use the target that has
 *	already processed it.
 *
 *	After several failures in a row, or if no connection can be made, a
 *	target is paused for a time that doubles with each further failure.
 *	After the pause one request at a time probes it.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Results of this instance's requests to one target. */
typedef struct {
	uint32_t running;     /* requests of this instance in progress */
	double first_byte_us; /* smoothed time to the first byte */
	int64_t last_first_byte_at_us; /* 0: no response has begun yet */
	uint32_t failures;	       /* in a row */
	double failure_share;	       /* smoothed share of failed requests */
	int64_t paused_until_us;       /* end of the pause after failures */
	bool probing; /* a probe request is in progress after a pause */
} bsh_target_record_t;

typedef struct {
	const bsh_target_record_t *record;
	uint32_t slots;
	uint64_t target_hash; /* of the target's id */
	bool same_zone;	      /* as this instance */
	/* Its entry was removed from the platform's list, the grace time still
	 * runs: chosen only if no other target is usable. */
	bool entry_removed;
} bsh_target_candidate_t;

/*
 * bsh_target_choose - choose the target of a request; affinity is the hash of
 * the request's shared prompt prefix.
 *
 * RETURN VALUE
 *	Index of the candidate, or -1 if none is usable.
 */
int32_t bsh_target_choose(const bsh_target_candidate_t *candidates, uint32_t n,
			  uint64_t affinity, int64_t now_us);

/* bsh_target_usable - false while a target is paused or being probed. */
bool bsh_target_usable(const bsh_target_record_t *record, int64_t now_us);

/* bsh_target_started - a request was sent to the target. */
void bsh_target_started(bsh_target_record_t *record, int64_t now_us);
/* bsh_target_first_byte - the answer began took_us after the request. */
void bsh_target_first_byte(bsh_target_record_t *record, int64_t took_us,
			   int64_t now_us);
/* bsh_target_ended - a request ended; failed: with a failure of the target. */
void bsh_target_ended(bsh_target_record_t *record, bool failed, int64_t now_us);
/* bsh_target_unreachable - the request ended without a connection. */
void bsh_target_unreachable(bsh_target_record_t *record, int64_t now_us);

#endif
