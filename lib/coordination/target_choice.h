#ifndef BSH_COORDINATION_TARGET_CHOICE_H
#define BSH_COORDINATION_TARGET_CHOICE_H

/*
 * NAME
 *	target_choice - to which target a request goes
 *
 * DESCRIPTION
 *	The target with the lowest expected delay is taken: the smoothed time
 *	to the first byte of its recent answers, times the share of its
 *	places that are taken, plus a penalty for another zone.  Among targets
 *	of nearly the same delay, the one that a hash of the request's shared
 *	prompt part prefers is taken, so that requests with the same part meet
 *	on the target that has read it.
 *
 *	A target that fails is left out for a while that doubles with each
 *	failure in a row; one request at a time then tries it again.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* What an instance has seen of one target. */
typedef struct {
	uint32_t running; /* own requests at it now */
	double first_us;  /* smoothed time to the first byte */
	int64_t first_at_us;
	uint32_t failures;    /* in a row */
	double failure_share; /* smoothed share of failed requests */
	int64_t closed_until_us;
	bool trying; /* one request is out after a pause */
} bsh_target_record_t;

typedef struct {
	const bsh_target_record_t *record;
	uint32_t slots;
	uint64_t target_hash;
	bool same_zone;
	bool doubtful; /* its entry has just vanished */
} bsh_candidate_t;

/* bsh_target_choose - index of the target, or -1 when none may be used. */
int32_t bsh_target_choose(const bsh_candidate_t *candidates, uint32_t n,
			  uint64_t affinity, int64_t now_us);

/* bsh_target_usable - false while a target is left out after failures. */
bool bsh_target_usable(const bsh_target_record_t *record, int64_t now_us);

void bsh_target_started(bsh_target_record_t *record, int64_t now_us);
/* bsh_target_first_byte - the answer began after this time. */
void bsh_target_first_byte(bsh_target_record_t *record, int64_t took_us,
			   int64_t now_us);
void bsh_target_ended(bsh_target_record_t *record, bool failed, int64_t now_us);
/* bsh_target_unreachable - no connection could be made. */
void bsh_target_unreachable(bsh_target_record_t *record, int64_t now_us);

#endif
