#ifndef BSH_BENCH_CAPACITY_H
#define BSH_BENCH_CAPACITY_H

/*
 * NAME
 *	capacity - control overhead by number of instances and models
 *
 * DESCRIPTION
 *	capacity_members() simulates instances under a virtual clock;
 *	capacity_document() measures the configuration document and the
 *	messages of routes.  Each part prints rows
 *	part<TAB>measure<TAB>instances<TAB>value<TAB>unit<TAB>limit
 *	The limit is empty if there is none.  A row whose value exceeds its
 *	limit has a seventh field "OVER".
 */

#include <glib.h>
#include <stdint.h>

/* Limits of the control overhead per node, from the requirements. */
#define LIMIT_BYTES_PER_S 13000.0
#define LIMIT_CPU_PERCENT 1.0
#define LIMIT_MEMORY_MIB  64.0

/* capacity_row - prints a row; limit 0: none. */
void capacity_row(const char *part, const char *measure, guint instances,
		  double value, const char *unit, double limit);

/*
 * capacity_reference_ns - CPU time of one iteration of a reference loop, to
 * compare figures between machines.
 */
double capacity_reference_ns(void);

/* capacity_members - membership, failure detection and configuration. */
void capacity_members(guint instances);

/* capacity_document - entries: number of models and adapters. */
void capacity_document(guint entries);

#endif
