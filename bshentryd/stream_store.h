#ifndef BSHENTRYD_STREAM_STORE_H
#define BSHENTRYD_STREAM_STORE_H

/*
 * NAME
 *	stream_store - records of streams in the platform's store
 *
 * DESCRIPTION
 *	Writes the segments of a coordination/stream_journal.h as objects
 *	INSTANCE-SEGMENT, and reads those of all instances.  An instance reads
 *	them only when a caller resumes a stream that no instance knows, as
 *	after all of them have ended at once.
 *
 *	All functions run on the control thread.
 *
 * UNITS
 *	Microseconds of CLOCK_MONOTONIC, the loop clock.
 *
 * BOUNDS
 *	One write and one list at a time; STREAM_STORE_READ_INTERVAL_US from the
 *	start of a list to the next one.
 */

#include <stdbool.h>

#include "coordination/stream_journal.h"
#include "platform/store.h"
#include "transport/loop.h"

#define STREAM_STORE_READ_INTERVAL_US INT64_C(2000000)

/* A list has ended; records: bsh_stream_record_t of all objects that could be
 * read, none if it failed. */
typedef void (*stream_store_read_fn_t)(void *ctx, const GArray *records);

typedef struct {
	platform_store_t *store;
	const char *instance;
	stream_store_read_fn_t on_read;
	void *ctx; /* of on_read */
	bsh_stream_journal_t journal;
	bsh_loop_timer_t write_timer;
	bool exists[BSH_STREAM_SEGMENTS]; /* the segment's object does */
	uint32_t writing;		  /* segment of the write */
	bool reading;
	int64_t read_us; /* start of the last list; 0: none yet */
	char *after;	 /* last object of the list's pages so far, or NULL */
	GArray *records; /* of these pages */
} stream_store_t;

/* stream_store_init - instance must remain valid. */
void stream_store_init(stream_store_t *ss, platform_store_t *store,
		       bsh_loop_t *loop, const char *instance,
		       stream_store_read_fn_t on_read, void *ctx);
void stream_store_finish(stream_store_t *ss);

/* stream_store_add - have records, bsh_stream_record_t, written soon. */
void stream_store_add(stream_store_t *ss, const bsh_stream_record_t *records,
		      uint32_t n);

/*
 * stream_store_read - read the records of all instances; on_read follows.
 *
 * RETURN VALUE
 *	False if they were read a short time ago, and on_read does not follow.
 */
bool stream_store_read(stream_store_t *ss);

/* stream_store_restored - the store has lost changes: what this instance keeps
 * is written again. */
void stream_store_restored(stream_store_t *ss);

#endif
