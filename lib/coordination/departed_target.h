#ifndef BSH_COORDINATION_DEPARTED_TARGET_H
#define BSH_COORDINATION_DEPARTED_TARGET_H

/*
 * NAME
 *	departed_target - targets that have left, after a restore of the store
 *
 * DESCRIPTION
 *	A store that was restored from an older copy may contain the entries of
 *	targets that have left since the copy was made.  Such a target must get
 *	no requests.  One whose entry had only expired may be alive: it writes
 *	its entry again, which raises the revision unless nothing but a counter
 *	has changed.  So an entry of a departed target that was found in a list
 *	after the restore is accepted once it has a higher revision than at
 *	first, or is still there after BSH_DEPARTED_CONFIRM_US: one that nobody
 *	writes has expired by then.  An entry that a watch returns has just
 *	been written.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds, those ending in _ms milliseconds.
 *	The epoch of the store is its number of restores; revisions rise across
 *	restores.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A copy is some seconds old, so older departures cannot be undone. */
#define BSH_DEPARTED_KEEP_US INT64_C(60000000)
/* Longer than the platform keeps an entry that is not written, which is three
 * times the interval at which a target writes it. */
#define BSH_DEPARTED_CONFIRM_US INT64_C(5000000)

typedef struct {
	GHashTable *records; /* id of a target to its departure */
} bsh_departed_t;

/* An entry of a target, as received from the store. */
typedef struct {
	const char *id;
	uint64_t started_ms; /* start of the target's process */
	uint32_t epoch;	     /* of the store, at the time of the entry */
	uint64_t revision;
	bool from_list; /* found in a list; false: in a watch */
} bsh_departed_entry_t;

void bsh_departed_init(bsh_departed_t *departed);
void bsh_departed_finish(bsh_departed_t *departed);

/* bsh_departed_add - the target's entry was removed in this epoch.  Keeps an
 * earlier departure of the same process. */
void bsh_departed_add(bsh_departed_t *departed, const char *id,
		      uint64_t started_ms, uint32_t epoch, int64_t now_us);

/*
 * bsh_departed_accept - check an entry.
 *
 * RETURN VALUE
 *	False if the target has departed and the entry may be that of the older
 *	copy.  Otherwise its departure is forgotten.
 */
bool bsh_departed_accept(bsh_departed_t *departed,
			 const bsh_departed_entry_t *entry, int64_t now_us);

/* bsh_departed_at_us - when this process was found to have departed; 0: it was
 * not. */
int64_t bsh_departed_at_us(const bsh_departed_t *departed, const char *id,
			   uint64_t started_ms);

/* bsh_departed_foreach_since - pass the id of each target that was found to have
 * departed at since_us or later. */
void bsh_departed_foreach_since(const bsh_departed_t *departed,
				int64_t since_us,
				void (*fn)(void *ctx, const char *id),
				void *ctx);

/* bsh_departed_forget - the target has returned, by a source other than the
 * store. */
void bsh_departed_forget(bsh_departed_t *departed, const char *id);

/*
 * bsh_departed_expire - forget departures that need not be kept.
 *
 * RETURN VALUE
 *	True if an entry that was not accepted before is accepted now if it is
 *	still there: the caller lists the targets.
 */
bool bsh_departed_expire(bsh_departed_t *departed, int64_t now_us);

#endif
