#ifndef BSH_COORDINATION_VERSION_SNAPSHOT_H
#define BSH_COORDINATION_VERSION_SNAPSHOT_H

/*
 * NAME
 *	version_snapshot - history of software versions as an object of the store
 *
 * DESCRIPTION
 *	When all instances end at once, no process is left that knows which
 *	versions have served.  One of them therefore writes what it knows to
 *	the store, as of a revision of the list of targets.  A process that
 *	finds no other one adds to it all changes of the list since that
 *	revision, which the store keeps for some time, and continues the history
 *	without a gap (coordination/version_history.h).
 *
 *	Times in the object are ages when it was written.  They are taken as
 *	they are when it is read later, which proves less: the coverage is
 *	longer by then, and the versions were seen earlier.
 *
 *	Pure: no I/O and no clock.
 *
 * ERRORS
 *	An object that is malformed in any part proves nothing.
 */

#include <jansson.h>

#include "coordination/version_history.h"

typedef struct {
	uint64_t revision; /* of the list of targets */
	GArray *services;  /* of the implementation */
} bsh_version_snapshot_t;

void bsh_version_snapshot_init(bsh_version_snapshot_t *snapshot);
void bsh_version_snapshot_finish(bsh_version_snapshot_t *snapshot);

/*
 * bsh_version_snapshot_encode - what is known of n services.
 *
 * RETURN VALUE
 *	The content of the object; NULL if the versions of
 *	BSH_STREAM_MEMORY_US are known for none of them.
 */
json_t *bsh_version_snapshot_encode(const bsh_version_history_t *history,
				    const uint64_t *services, uint32_t n,
				    uint64_t revision, int64_t now_us);
/* bsh_version_snapshot_decode - false if the object is malformed. */
bool bsh_version_snapshot_decode(const json_t *object,
				 bsh_version_snapshot_t *snapshot);
/* bsh_version_snapshot_note - a change of the list since the revision names this
 * version of the service. */
void bsh_version_snapshot_note(bsh_version_snapshot_t *snapshot,
			       uint64_t service, uint64_t software);
/*
 * bsh_version_snapshot_merge - continue the history of the snapshot; all changes
 * until asked_us were noted.
 *
 * RETURN VALUE
 *	Number of services whose coverage is longer than before.
 */
uint32_t bsh_version_snapshot_merge(const bsh_version_snapshot_t *snapshot,
				    bsh_version_history_t *history,
				    int64_t asked_us, int64_t now_us);

#endif
