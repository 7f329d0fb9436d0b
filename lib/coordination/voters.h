#ifndef BSH_COORDINATION_VOTERS_H
#define BSH_COORDINATION_VOTERS_H

/*
 * NAME
 *	voters - instances whose majority extends a term of the lease
 *
 * DESCRIPTION
 *	Two majorities overlap only if both are counted over one set of
 *	instances.  The set is therefore part of the lease object: its holder
 *	and whoever replaces it count the same names.
 *
 *	The size is limited, as the object is written several times a second.
 *	Of more candidates each instance chooses the same ones, by rendezvous
 *	hashing of their names.
 *
 *	A voter is identified by its name: two processes with one name must
 *	never run at the same time.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a clock that continues while the machine is suspended.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

/* A majority of this many tolerates the loss of seven. */
#define BSH_VOTERS_MAX 15U
/* Time before an instance that is no longer known is left out: one that restarts
 * is not registered for some seconds. */
#define BSH_CANDIDATE_KEEP_US INT64_C(60000000)

typedef struct {
	uint32_t n; /* 0: not known */
	char names[BSH_VOTERS_MAX][BSH_NAME_SIZE];
} bsh_voters_t;

/*
 * bsh_voters_add - add a candidate.
 *
 * If the set is full, it keeps those with the highest scores, so the result
 * does not depend on the order of the calls.  Empty names, names that do not
 * fit and names that are already in the set are ignored.
 */
void bsh_voters_add(bsh_voters_t *voters, const char *name);

bool bsh_voters_contain(const bsh_voters_t *voters, const char *name);

/* bsh_voters_equal - true if both have the same names. */
bool bsh_voters_equal(const bsh_voters_t *a, const bsh_voters_t *b);

/* Instances that may be named as voters. */
typedef struct {
	GHashTable *known_us; /* name to the last time it was known */
} bsh_candidates_t;

void bsh_candidates_init(bsh_candidates_t *candidates);
void bsh_candidates_finish(bsh_candidates_t *candidates);

/* bsh_candidates_add - the instance is known now. */
void bsh_candidates_add(bsh_candidates_t *candidates, const char *name,
			int64_t now_us);

/* bsh_candidates_choose - set voters to those known within
 * BSH_CANDIDATE_KEEP_US. */
void bsh_candidates_choose(bsh_candidates_t *candidates, int64_t now_us,
			   bsh_voters_t *voters);

#endif
