#ifndef BSHENTRYD_VERSION_STORE_H
#define BSHENTRYD_VERSION_STORE_H

/*
 * NAME
 *	version_store - history of software versions in the platform's store
 *
 * DESCRIPTION
 *	The holder of the order lease writes one object each
 *	VERSION_STORE_WRITE_INTERVAL_US while it follows the list of targets.
 *	A process to which no other one can tell the history reads the object,
 *	and the changes of the list of targets since its revision.
 *
 *	All functions run on the control thread.
 *
 * UNITS
 *	Microseconds of the clock of control_now_us().
 *
 * BOUNDS
 *	One call at a time; VERSION_STORE_READ_INTERVAL_US from the start of a
 *	read that fails to the next one.
 *
 * ERRORS
 *	An object that does not exist or is malformed, and a revision whose
 *	history the store has discarded, prove nothing; they are not read again
 *	by this process until version_store_reset().
 */

#include "coordination/version_snapshot.h"
#include "platform/store.h"

#define VERSION_STORE_WRITE_INTERVAL_US INT64_C(5000000)
#define VERSION_STORE_READ_INTERVAL_US	INT64_C(2000000)

/* The snapshot includes all changes of the list until asked_us. */
typedef void (*version_store_read_fn_t)(void *ctx,
					const bsh_version_snapshot_t *snapshot,
					int64_t asked_us);

typedef int64_t (*version_store_now_fn_t)(void *ctx);

typedef struct {
	platform_store_t *store;
	version_store_read_fn_t on_read;
	version_store_now_fn_t now;
	void *ctx; /* of both */
	bsh_version_snapshot_t snapshot;
	bool exists; /* the object does */
	bool is_calling;
	bool is_read;	    /* it is known what the object proves */
	int64_t written_us; /* start of the last write */
	int64_t read_us;    /* start of the last read; 0: none */
	int64_t asked_us;   /* for the changes */
} version_store_t;

void version_store_init(version_store_t *vs, platform_store_t *store,
			version_store_read_fn_t on_read,
			version_store_now_fn_t now, void *ctx);
void version_store_finish(version_store_t *vs);

/* version_store_is_due - true if version_store_write() is due. */
bool version_store_is_due(const version_store_t *vs, int64_t now_us);
/* version_store_write - write a snapshot; spec is consumed. */
void version_store_write(version_store_t *vs, json_t *spec, int64_t now_us);
/* version_store_read - read the object, unless that was done; on_read follows if
 * it proves anything. */
void version_store_read(version_store_t *vs, int64_t now_us);
/* version_store_reset - what was read does not count any more. */
void version_store_reset(version_store_t *vs);

#endif
