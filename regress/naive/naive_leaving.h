#ifndef BSH_NAIVE_LEAVING_H
#define BSH_NAIVE_LEAVING_H

/*
 * NAME
 *	naive_leaving - straightforward dissemination of leaving targets
 *
 * DESCRIPTION
 *	The baseline of prove_leaving_members, as one writes it first.  Each
 *	instance sends to all others, once a second, the set of targets that it
 *	observed leaving itself.  Only the latest set of each instance with a
 *	recent heartbeat counts; nothing is forwarded.
 */

#include "support/fleet.h"

extern const fleet_app_t fleet_naive_leaving;

/* naive_leaving_mark_target - the instance observed that the target (0 to 63)
 * is leaving. */
void naive_leaving_mark_target(void *app, guint target);

/* naive_leaving_is_target_leaving - according to the instance itself or to a
 * peer with a heartbeat within the last 3 s. */
bool naive_leaving_is_target_leaving(void *app, guint target, int64_t now_us);

#endif
