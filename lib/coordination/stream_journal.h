#ifndef BSH_COORDINATION_STREAM_JOURNAL_H
#define BSH_COORDINATION_STREAM_JOURNAL_H

/*
 * NAME
 *	stream_journal - records of streams that are to outlive all instances
 *
 * DESCRIPTION
 *	While targets of several software versions serve, a stream may only go
 *	on at the version that began it (coordination/stream_table.h).  The
 *	instances know that from each other; when all of them end at once, only
 *	what the platform's store has is left.  The journal collects records of
 *	streams and says which of its segments is to be written, and when.
 *
 *	A segment holds the records of BSH_STREAM_SEGMENT_US, or fewer if it is
 *	full; the oldest segment is used again.  It is written whole, some
 *	times while it grows.  At most one write is under way.  A segment that
 *	could not be written is due again, after twice as long each time, up to
 *	BSH_STREAM_WRITE_BACKOFF_MAX_US.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a monotonic clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/stream_table.h"
#include "protocol/message.h"

/* Together the segments cover BSH_STREAM_MEMORY_US. */
#define BSH_STREAM_SEGMENTS   9U
#define BSH_STREAM_SEGMENT_US INT64_C(4000000)
/* 350 KB in the store, of at most 1 MB an object. */
#define BSH_STREAM_SEGMENT_RECORDS_MAX 16384U
/* Records that come in a burst are written together. */
#define BSH_STREAM_WRITE_DELAY_US INT64_C(20000)
/* Shortest time between the starts of two writes.  A stream that began within
 * the last such time before the end of all instances may have no record; at a
 * shorter one the calls to the store would be most of their price in a release. */
#define BSH_STREAM_WRITE_INTERVAL_US INT64_C(200000)
/* Longest time between two writes while the store does not take them. */
#define BSH_STREAM_WRITE_BACKOFF_MAX_US INT64_C(1600000)

typedef struct {
	GArray *records; /* bsh_stream_record_t */
	int64_t began_us;
	guint stored; /* of the records, those that the store has */
} bsh_stream_segment_t;

typedef struct {
	bsh_stream_segment_t segments[BSH_STREAM_SEGMENTS];
	uint32_t current;
	GHashTable *known;   /* keys of the streams of the current segment to
			      * their versions */
	int64_t pending_us;  /* first record that was not written; 0: none */
	int64_t written_us;  /* start of the last write; 0: none yet */
	int64_t interval_us; /* from there to the next one */
	bool writing;	     /* a write is under way */
	uint32_t writing_at; /* its segment */
	guint writing_n;     /* its number of records */
} bsh_stream_journal_t;

void bsh_stream_journal_init(bsh_stream_journal_t *journal);
void bsh_stream_journal_finish(bsh_stream_journal_t *journal);

/* bsh_stream_journal_add - add a record; one that the current segment has
 * already is not added again. */
void bsh_stream_journal_add(bsh_stream_journal_t *journal, uint64_t stream,
			    uint64_t software, int64_t now_us);

/*
 * bsh_stream_journal_begin_write - begin a write if one is due.
 *
 * RETURN VALUE
 *	The records of the segment *number, valid until the next call; NULL if
 *	nothing is to be written now.  bsh_stream_journal_end_write() follows.
 */
const GArray *bsh_stream_journal_begin_write(bsh_stream_journal_t *journal,
					     uint32_t *number, int64_t now_us);
/* bsh_stream_journal_end_write - the write that was begun has ended. */
void bsh_stream_journal_end_write(bsh_stream_journal_t *journal, bool stored,
				  int64_t now_us);
/* bsh_stream_journal_lost - the store may have lost what was written. */
void bsh_stream_journal_lost(bsh_stream_journal_t *journal, int64_t now_us);

/* bsh_stream_journal_next_us - earliest time of the next write; INT64_MAX: none
 * is due, or one is under way. */
int64_t bsh_stream_journal_next_us(const bsh_stream_journal_t *journal);

/*
 * bsh_stream_records_encode - records as the text of an object of the store;
 * the caller frees it with g_free().
 */
char *bsh_stream_records_encode(const GArray *records);
/*
 * bsh_stream_records_decode - append the records of such a text.
 *
 * RETURN VALUE
 *	False if the text is malformed; nothing is appended then.
 */
bool bsh_stream_records_decode(const char *text, GArray *records);

#endif
