#ifndef BSHENTRYD_TARGETS_PRIVATE_H
#define BSHENTRYD_TARGETS_PRIVATE_H

/*
 * NAME
 *	targets_private - state shared by targets.c and announced_targets.c
 *
 * DESCRIPTION
 *	targets.c		the list, from the objects in the store
 *	announced_targets.c	what the lease holder and readers of the store
 *				tell of it
 *
 * UNITS
 *	Names ending in _us are microseconds of CLOCK_BOOTTIME.
 */

#include "control.h"
#include "coordination/departed_target.h"

typedef struct {
	bsh_target_t target; /* last known state */
	uint64_t list;	     /* number of the last list that contained it */
	int64_t since_us;    /* when its process was first listed here */
	int64_t removal_us;  /* when it is removed, as its object is missing;
			      * 0: not missing */
	/* Placement announced by the lease holder. */
	bool has_placement;
	uint64_t placement_started_ms;
	uint64_t placement_term;
	uint64_t placement_version;
	int64_t placement_us; /* last announcement of it */
	bsh_holdings_t placement;
	/* Last announcement of the target that was applied. */
	uint64_t announcement_term;
	uint64_t announcement_number;
} listed_t;

/* Announcement that removed a target; an older one that arrives later must not
 * add the target again. */
typedef struct {
	uint64_t term;
	uint64_t number;
} tombstone_t;

struct targets {
	control_t *control;
	feed_t feed;
	GHashTable *table;	/* id to listed_t */
	GHashTable *tombstones; /* id to tombstone_t */
	bsh_departed_t departed;
	bool listed;
	/* Lower bound of the last time at which the list that the lease holder
	 * announces was complete. */
	int64_t announced_complete_us;
	int64_t store_restored_us; /* last restore of the store; 0: none */
};

/* Time for which a target is kept after its object was found missing. */
int64_t targets_removal_grace_us(const targets_t *targets);
void targets_remove(targets_t *targets, listed_t *listed, const char *reason);
/* Removes the target after this time, or at once if it was leaving. */
void targets_mark_missing(targets_t *targets, listed_t *listed,
			  int64_t grace_us);
/* Adds or changes a target; list: number of the list that has it, 0: none. */
void targets_update(targets_t *targets, const bsh_target_t *target,
		    uint64_t list);

#endif
