#ifndef BSHENTRYD_QUARANTINE_STORE_H
#define BSHENTRYD_QUARANTINE_STORE_H

/*
 * NAME
 *	quarantine_store - suspects in the platform's store
 *
 * DESCRIPTION
 *	The instances forget what they know of requests that end processes
 *	when all of them end at once.  Each isolated or quarantined key is an
 *	object in the store, with the ends behind it; the instance that rendezvous hashing
 *	ranks first for the key writes and deletes it.  An instance reads the
 *	objects once, at its start.
 *
 *	All functions run on the control thread.
 *
 * BOUNDS
 *	QUARANTINE_STORE_MAX objects; one call at a time, and one at each tick.
 */

#include <glib.h>
#include <stdbool.h>

#include "coordination/quarantine.h"
#include "platform/store.h"

#define QUARANTINE_STORE_MAX 64U

/* The objects were read; facts: bsh_suspect_fact_t. */
typedef void (*quarantine_listed_fn_t)(void *ctx, const GArray *facts);
/* True if this instance writes the object of the key. */
typedef bool (*quarantine_owns_fn_t)(void *ctx, uint64_t key);

typedef struct {
	platform_store_t *store;
	quarantine_listed_fn_t on_listed;
	quarantine_owns_fn_t owns;
	void *ctx;	   /* of both */
	GHashTable *known; /* key to known_t */
	bool listed;
	bool calling;
	uint64_t called_key; /* of the call that runs; 0: the list */
} quarantine_store_t;

void quarantine_store_init(quarantine_store_t *qs, platform_store_t *store,
			   quarantine_listed_fn_t on_listed,
			   quarantine_owns_fn_t owns, void *ctx);
void quarantine_store_finish(quarantine_store_t *qs);

/* quarantine_store_tick - write or delete one object if that is due; before the
 * first answer to the list it is asked for again. */
void quarantine_store_tick(quarantine_store_t *qs,
			   const bsh_quarantine_t *table, int64_t now_us);

/* quarantine_store_restored - the store has lost changes: all keys are written
 * again. */
void quarantine_store_restored(quarantine_store_t *qs);

#endif
