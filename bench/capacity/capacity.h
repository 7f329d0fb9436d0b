#ifndef BSH_BENCH_CAPACITY_H
#define BSH_BENCH_CAPACITY_H

/*
 * NAME
 *	capacity - measured slopes of the control overhead
 *
 * DESCRIPTION
 *	Each part prints rows
 *	part<TAB>measure<TAB>instances<TAB>value<TAB>unit<TAB>limit
 *	with an empty limit where there is none.  A row over its limit is
 *	marked by a sixth field "OVER".
 */

#include <glib.h>
#include <stdint.h>

/* Control overhead per node, from the requirements. */
#define LIMIT_BYTES_PER_S 13000.0
#define LIMIT_CPU_PERCENT 1.0
#define LIMIT_MEMORY_MIB  64.0

/* capacity_row - limit 0: none. */
void capacity_row(const char *part, const char *measure, guint instances,
		  double value, const char *unit, double limit);

/* capacity_reference_ns - one turn of the fixed reference loop. */
double capacity_reference_ns(void);

void capacity_members(guint instances);

/* capacity_document - entries: models and adapters. */
void capacity_document(guint entries);

#endif
