#ifndef BSH_COORDINATION_PLACE_HOLD_H
#define BSH_COORDINATION_PLACE_HOLD_H

/*
 * NAME
 *	place_hold - the places of an instance at a target
 *
 * DESCRIPTION
 *	The instance's side of coordination/place_ledger.h.  The instance tells
 *	its need and gives back with it all places that it does not use; the
 *	grant that answers it says how many requests it may have open.  Needs
 *	and grants may be lost or take long: a need is repeated as it was until
 *	it is answered, and the next one waits for that, up to
 *	BSH_PLACE_RENEW_US.  Then needs follow at a longer interval while
 *	something is open, held or wanted.  A grant that answers an earlier
 *	need is ignored.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "protocol/message.h"

/* An instance that was not heard of for this time has lost its places. */
#define BSH_PLACE_HOLDER_TTL_US INT64_C(1200000)
/* A grant counts for this time from the need that it answers: less than
 * BSH_PLACE_HOLDER_TTL_US. */
#define BSH_PLACE_GRANT_TTL_US INT64_C(1000000)
/* While others wait, a place is used again for this time from the need that its
 * grant answers: requests that take less time than a need and its grant would
 * else leave their target idle. */
#define BSH_PLACE_SLICE_US INT64_C(200000)
/* A need that was not answered for this time is replaced by a new one. */
#define BSH_PLACE_RENEW_US INT64_C(250000)
/* The instance that keeps the ledger has not answered for this time. */
#define BSH_PLACE_SILENT_US INT64_C(60000)

typedef struct {
	uint64_t target; /* 0: none yet */
	uint32_t sequence;
	uint32_t places; /* requests that may be open */
	uint32_t wanted; /* requests that wait for a place here */
	uint32_t urgency;
	uint32_t rejected;   /* in all, as the ledger knows this instance */
	uint32_t unreported; /* rejections since the last need */
	uint32_t told;	     /* wanted in the last need */
	uint32_t told_open;  /* open in it */
	int64_t told_us;     /* last need, or its repetition; 0: none */
	int64_t renewed_us;  /* last need that was no repetition */
	int64_t asked_us;    /* first need that was not answered; 0: none */
	int64_t granted_us;  /* need that the last grant answers; 0: none */
	int64_t wait_us;     /* of the next request, by the last grant */
	int64_t wait_at_us;  /* when that was received */
	bool contended;
	/* Requests that were cancelled here and may go on at the target. */
	uint32_t lingering;
	int64_t lingers_until_us;
} bsh_place_hold_t;

/* bsh_place_hold_set_target - forget what belongs to an earlier target. */
void bsh_place_hold_set_target(bsh_place_hold_t *hold, uint64_t target);

/* bsh_place_hold_open - places in use, for this number of running requests. */
uint32_t bsh_place_hold_open(bsh_place_hold_t *hold, uint32_t running,
			     int64_t now_us);
/* bsh_place_hold_linger - a request was cancelled and keeps its place. */
void bsh_place_hold_linger(bsh_place_hold_t *hold, int64_t run_us,
			   int64_t now_us);

/* bsh_place_hold_rejected - the target has rejected a request. */
void bsh_place_hold_rejected(bsh_place_hold_t *hold);

/* bsh_place_hold_is_free - a request may be sent. */
bool bsh_place_hold_is_free(const bsh_place_hold_t *hold, uint32_t open,
			    int64_t now_us);
/* bsh_place_hold_wait_us - expected wait of those that wait already; 0: not
 * known. */
int64_t bsh_place_hold_wait_us(const bsh_place_hold_t *hold, int64_t now_us);
/* bsh_place_hold_next_wait_us - the same for a request that does not wait yet. */
int64_t bsh_place_hold_next_wait_us(const bsh_place_hold_t *hold,
				    int64_t now_us);
/* bsh_place_hold_is_silent - the need is not answered. */
bool bsh_place_hold_is_silent(const bsh_place_hold_t *hold, int64_t now_us);

/* bsh_place_hold_may_reuse - a place that has become free may go to a request
 * of this instance, though others wait. */
bool bsh_place_hold_may_reuse(const bsh_place_hold_t *hold, int64_t now_us);

/* bsh_place_hold_is_due - a need is to be told now, or repeated. */
bool bsh_place_hold_is_due(const bsh_place_hold_t *hold, uint32_t open,
			   int64_t now_us);
/* bsh_place_hold_need - the need that is about to be told; target, sequence,
 * open, wanted, urgency and rejected are set. */
void bsh_place_hold_need(bsh_place_hold_t *hold, uint32_t open, int64_t now_us,
			 bsh_place_need_t *need);
/* bsh_place_hold_grant - returns false for a grant that does not count. */
bool bsh_place_hold_grant(bsh_place_hold_t *hold,
			  const bsh_place_grant_t *grant, int64_t now_us);

#endif
