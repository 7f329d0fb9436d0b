#ifndef BSH_COORDINATION_CONFIRMATION_H
#define BSH_COORDINATION_CONFIRMATION_H

/*
 * NAME
 *	confirmation - when the configuration in force was last known to be the
 *	newest
 *
 * DESCRIPTION
 *	Instances that read the store vouch for a version as of a moment.  While
 *	this instance has an older one, the moment is kept and counts once that
 *	version is in force: the age then tells for how long this instance may
 *	have been behind, also while versions come faster than they spread.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds of any one clock.
 */

#include <stdint.h>

typedef struct {
	uint64_t known;	      /* version in force; 0: none */
	int64_t confirmed_us; /* it was the newest one then; 0: never */
	uint64_t told;	      /* newer version that was vouched for; 0: none */
	int64_t told_us;      /* for this moment */
} bsh_confirmation_t;

void bsh_confirmation_init(bsh_confirmation_t *confirmation);

/* bsh_confirmation_note - the version was the newest one at that moment. */
void bsh_confirmation_note(bsh_confirmation_t *confirmation, uint64_t version,
			   int64_t at_us);

/* bsh_confirmation_adopted - the version is in force now. */
void bsh_confirmation_adopted(bsh_confirmation_t *confirmation,
			      uint64_t version);

/* bsh_confirmation_follow - both: what another thread has published, while
 * in_force is in force here. */
void bsh_confirmation_follow(bsh_confirmation_t *confirmation,
			     uint64_t in_force, uint64_t version,
			     int64_t at_us);

#endif
