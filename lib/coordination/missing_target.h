#ifndef BSH_COORDINATION_MISSING_TARGET_H
#define BSH_COORDINATION_MISSING_TARGET_H

/*
 * NAME
 *	missing_target - how long a target is kept after its entry has vanished
 *
 * DESCRIPTION
 *	An entry of the platform's list may vanish although its target is
 *	alive, so the target is kept for a grace time.  If the target is
 *	leaving, it must get no request later than the drain time after its
 *	entry was removed.  The removal may be as old as the last moment at
 *	which the list was known to be complete, from whichever source: the
 *	own watch, the announcements of the lease holder, or the former one
 *	of the two during a change of source.  The grace time therefore ends
 *	by the drain time counted from that moment.
 *
 *	Pure: no I/O and no clock.
 */

#include <stdint.h>

/*
 * bsh_missing_target_until_us - time until which the target is kept.
 *
 * complete_us: the last time at which the list was known to be complete.
 * outage_until_us: until then entries that expired in an outage of the store
 * may come back; 0: there was none.
 */
int64_t bsh_missing_target_until_us(int64_t now_us, int64_t complete_us,
				    int64_t drain_us, int64_t outage_until_us);

#endif
