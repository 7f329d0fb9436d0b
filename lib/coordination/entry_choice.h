#ifndef BSH_COORDINATION_ENTRY_CHOICE_H
#define BSH_COORDINATION_ENTRY_CHOICE_H

/*
 * NAME
 *	entry_choice - instances returned to clients by the resolve request
 *
 * DESCRIPTION
 *	Instances that are leaving, dead or suspected are omitted: a client
 *	keeps the answer for seconds, and a suspected instance is not needed
 *	while others are known to be alive.  If no other instance is known to
 *	be alive, the answer contains only this one, unless it is leaving.
 *	Instances that reach no target are omitted while one reaches any.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "coordination/member.h"

#define BSH_ENTRY_ADDRESSES_MAX 64U

typedef struct {
	const char *addresses[BSH_ENTRY_ADDRESSES_MAX]; /* IP:port */
	uint32_t n;
	/* Members that reach no target, after all others. */
	const char *cut[BSH_ENTRY_ADDRESSES_MAX];
	uint32_t n_cut;
} bsh_entry_choice_t;

/* bsh_entry_choice_add - add a member if it qualifies and there is room; its
 * address is borrowed.  cut: it reaches no target. */
void bsh_entry_choice_add(bsh_entry_choice_t *choice,
			  const bsh_member_t *member, bool cut);
/* bsh_entry_choice_finish - call after the last member. */
void bsh_entry_choice_finish(bsh_entry_choice_t *choice);

#endif
