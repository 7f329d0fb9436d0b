#ifndef BSH_COORDINATION_TARGET_INVENTORY_H
#define BSH_COORDINATION_TARGET_INVENTORY_H

/*
 * NAME
 *	target_inventory - completeness of a received list of targets
 *
 * DESCRIPTION
 *	The lease holder sends an instance that has missed announcements the
 *	state of each target, in datagrams that may be lost, and then the keys
 *	of all targets with the announcements of their last changes
 *	(bsh_msg_inventory_t).  The instance is up to date only if it has
 *	received the state of each target since its last change: that it knows
 *	the target is not enough, as its own state may be from before the
 *	announcements that it missed.
 *
 *	Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How recent the known state of a target is. */
typedef struct {
	uint32_t key;	 /* bsh_target_key() */
	uint64_t term;	 /* of the holder that sent the state; 0: none */
	uint64_t number; /* last announcement at the time of the state */
} bsh_target_mark_t;

/* bsh_target_inventory_covered - true if each target of the inventory, a table
 * of keys and announcements of the last change, has a state of this term from
 * then or later. */
bool bsh_target_inventory_covered(GHashTable *changes, uint64_t term,
				  const bsh_target_mark_t *marks, uint32_t n);

#endif
