#ifndef BSH_COORDINATION_STREAM_TABLE_H
#define BSH_COORDINATION_STREAM_TABLE_H

/*
 * NAME
 *	stream_table - software version that began each recent stream
 *
 * DESCRIPTION
 *	What two software versions of a service write in one stream does not
 *	fit together, so a stream that is resumed has to go on at the version
 *	that began it.  The table maps the key of a stream to that version.
 *
 *	A stream is named by the hash of the attempt that brought its first
 *	event (bsh_stream_key()), a version by its hash (bsh_software_key()).
 *	An entry is dropped BSH_STREAM_MEMORY_US after it was last set, and
 *	the oldest ones are dropped when the table is full: a stream that is
 *	not in the table has an unknown version.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a monotonic clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/message.h"

/* Holders of a record that are noted; the one noted first is dropped for another
 * one. The instance that forwards a stream, three keepers, and those that take the
 * place of keepers. */
#define BSH_STREAM_HOLDERS 6
/* A caller resumes a stream within its deadline; no declared one is longer. */
#define BSH_STREAM_MEMORY_US INT64_C(30000000)
/* Version of a stream that cannot be told; it matches no target. */
#define BSH_SOFTWARE_UNCERTAIN UINT64_MAX

typedef struct {
	GHashTable *entries; /* stream to entry */
	GQueue order;	     /* entries, the oldest first */
	uint32_t limit;
} bsh_stream_table_t;

void bsh_stream_table_init(bsh_stream_table_t *table, uint32_t limit);
void bsh_stream_table_finish(bsh_stream_table_t *table);

/* bsh_stream_table_set - record the version of a stream.  A stream that is
 * recorded with two versions gets BSH_SOFTWARE_UNCERTAIN. */
void bsh_stream_table_set(bsh_stream_table_t *table, uint64_t stream,
			  uint64_t software, int64_t now_us);
/* bsh_stream_table_find - the version of a stream; 0: unknown. */
uint64_t bsh_stream_table_find(bsh_stream_table_t *table, uint64_t stream,
			       int64_t now_us);
/* bsh_stream_table_collect - append all records to an array of
 * bsh_stream_record_t. */
void bsh_stream_table_collect(bsh_stream_table_t *table, GArray *records,
			      int64_t now_us);
/*
 * bsh_stream_table_note_holder - another process, given by a hash, is sent the
 * record of a stream, or has it.
 *
 * RETURN VALUE
 *	True if it is to be sent the record: it was not noted before, and the
 *	stream has one.
 */
bool bsh_stream_table_note_holder(bsh_stream_table_t *table, uint64_t stream,
				  uint64_t holder);
uint32_t bsh_stream_table_size(const bsh_stream_table_t *table);

/* bsh_stream_key - key of the stream whose first event this attempt brought; 0
 * for "". */
uint64_t bsh_stream_key(const char *attempt_id);

/* bsh_service_key - hash that stands for a service in messages. */
uint64_t bsh_service_key(const char *name);

/*
 * Software versions of the targets of one service, by the lists of targets.
 */
#define BSH_SOFTWARE_VERSIONS_MAX 8

typedef struct {
	uint64_t software;
	int64_t seen_us; /* last list that names it */
} bsh_software_seen_t;

typedef struct {
	bsh_software_seen_t seen[BSH_SOFTWARE_VERSIONS_MAX];
	uint32_t n;
	int64_t overflow_us; /* last time of more versions than fit; 0: none */
} bsh_software_history_t;

/* bsh_software_history_note - a list named a target with this version at now_us,
 * which may be earlier than that of another call; 0: one that cannot be read,
 * which is never the only one. */
void bsh_software_history_note(bsh_software_history_t *history,
			       uint64_t software, int64_t now_us);
/* bsh_software_history_only - the one version that has served within
 * BSH_STREAM_MEMORY_US; 0: there were several, or none. */
uint64_t bsh_software_history_only(const bsh_software_history_t *history,
				   int64_t now_us);
/* bsh_software_history_several - true if several versions have served within
 * BSH_STREAM_MEMORY_US. */
bool bsh_software_history_several(const bsh_software_history_t *history,
				  int64_t now_us);

#endif
