#ifndef BSH_COORDINATION_LOAD_TABLE_H
#define BSH_COORDINATION_LOAD_TABLE_H

/*
 * NAME
 *	load_table - load of the targets, summed over the instances
 *
 * DESCRIPTION
 *	Each instance reports what it has open at the targets.  The lease
 *	holder keeps the last report of each instance in a load table and
 *	sends the sums to all instances, which choose targets by them
 *	(coordination/target_choice.h).  A report replaces the former one of
 *	the same instance and counts for BSH_LOAD_REPORT_TTL_US.
 *
 *	Targets are named by the low 32 bits of the hash of their id.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Work is the estimated prefill time in milliseconds of the requests
 *	whose answer has not begun.
 */

#include <glib.h>
#include <stdint.h>

#include "protocol/message.h"

/* An instance reports several times a second; without a report for this time it
 * is down or partitioned. */
#define BSH_LOAD_REPORT_TTL_US INT64_C(1500000)

typedef struct {
	GHashTable *instances; /* name to the last report */
} bsh_load_table_t;

void bsh_load_table_init(bsh_load_table_t *table);
void bsh_load_table_finish(bsh_load_table_t *table);

/* bsh_load_table_set - replace the report of an instance. */
void bsh_load_table_set(bsh_load_table_t *table, const char *instance,
			const bsh_load_entry_t *entries, uint32_t n,
			int64_t now_us);

/*
 * bsh_load_table_sum - the sums by target in order of falling work.  Drops the
 * reports that are too old.
 *
 * RETURN VALUE
 *	Array of bsh_load_entry_t, to be freed by the caller.
 */
GArray *bsh_load_table_sum(bsh_load_table_t *table, int64_t now_us);

/* bsh_load_sort - sort entries by falling work, then by falling number of
 * requests: a message holds a limited number of them. */
void bsh_load_sort(GArray *entries);

#endif
