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
} bsh_entry_choice_t;

/* bsh_entry_choice_add - add a member if it qualifies and there is room; its
 * address is borrowed. */
void bsh_entry_choice_add(bsh_entry_choice_t *choice,
			  const bsh_member_t *member);

#endif
