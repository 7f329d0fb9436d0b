#ifndef BSH_COORDINATION_PLACE_LEDGER_H
#define BSH_COORDINATION_PLACE_LEDGER_H

/*
 * NAME
 *	place_ledger - places of targets, given out to the instances
 *
 * DESCRIPTION
 *	A place is the right to have one request open at a target.  Of each
 *	target of a target one instance keeps the ledger: the one that
 *	rendezvous hashing ranks first.  The others tell it their need, what
 *	they have open and how many requests wait, and it gives out what is
 *	free: to the most urgent request, and among those of the same urgency
 *	to the instance that has waited longest.
 *
 *	A target has as many places as it runs requests at a time, and one
 *	quarter more unless it is brittle, so that it need not wait for the
 *	next one.  Each rejection that an instance tells of takes away one of
 *	those that are in use, as an instance that does not take part may have
 *	it; they come back one a second.  If a brittle target bears N
 *	rejections a second, no place is given out from the time at which half
 *	of N were told within the last second.
 *
 *	A need replaces the former one of its instance: it gives back all
 *	places beyond what is open.  An instance that is not heard of loses
 *	its places after BSH_PLACE_HOLDER_TTL_US.  A new ledger gives out half
 *	of the places for BSH_PLACE_WARMUP_US, until it has heard of those
 *	that were given out before.
 *
 *	Pure: no I/O and no clock.
 */

#include <glib.h>
#include <stdint.h>

#include "base/settings.h"
#include "coordination/place_hold.h"
#include "protocol/message.h"

#define BSH_PLACE_WARMUP_US INT64_C(300000)

typedef struct {
	GHashTable *targets; /* key of a target to its places */
} bsh_place_ledger_t;

/* A grant to an instance, which is to be sent. */
typedef void (*bsh_place_grant_fn_t)(void *ctx, const char *instance,
				     const bsh_place_grant_t *grant);

void bsh_place_ledger_init(bsh_place_ledger_t *ledger);
void bsh_place_ledger_finish(bsh_place_ledger_t *ledger);

/* bsh_place_ledger_need - an instance tells its need; it gets a grant in any
 * case, others if something has become free.  A need that was overtaken by a
 * later one of the same or a later process of the instance is ignored. */
void bsh_place_ledger_need(bsh_place_ledger_t *ledger, const char *instance,
			   uint64_t incarnation, const bsh_place_need_t *need,
			   int64_t now_us, bsh_place_grant_fn_t fn, void *ctx);

/* bsh_place_ledger_run - drops instances that are not heard of, and gives out
 * what has become free with time; to be called several times a second. */
void bsh_place_ledger_run(bsh_place_ledger_t *ledger, int64_t now_us,
			  bsh_place_grant_fn_t fn, void *ctx);

/* bsh_place_ledger_size - number of targets in the ledger. */
uint32_t bsh_place_ledger_size(const bsh_place_ledger_t *ledger);

#endif
