#ifndef BSH_COORDINATION_ENTRY_CHOICE_H
#define BSH_COORDINATION_ENTRY_CHOICE_H

/*
 * NAME
 *	entry_choice - which instances a caller is told to use
 *
 * DESCRIPTION
 *	Instances that are leaving, dead or suspected are left out: a caller
 *	keeps the answer for seconds, and a suspected instance is needed by
 *	nobody while others are known to be alive.  Where no other instance
 *	is known to be alive, this one is named alone, if it is not leaving.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#include "coordination/member.h"

#define BSH_ENTRY_ADDRESSES_MAX 64U

typedef struct {
	const char *addresses[BSH_ENTRY_ADDRESSES_MAX];
	uint32_t n;
} bsh_entry_choice_t;

/* bsh_entry_choice_add - consider one member; strings are borrowed. */
void bsh_entry_choice_add(bsh_entry_choice_t *choice,
			  const bsh_member_t *member);

#endif
