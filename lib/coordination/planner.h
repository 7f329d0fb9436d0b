#ifndef BSH_COORDINATION_PLANNER_H
#define BSH_COORDINATION_PLANNER_H

/*
 * NAME
 *	planner - which models the targets of one service hold
 *
 * DESCRIPTION
 *	Runs at the instance that holds the lease (coordination/lease.h).  The
 *	instances report demand for models and adapters; the planner gives
 *	orders to load and unload, one at a time for each target.
 *
 *	Demand.  A model for which requests wait goes first, the one with most
 *	waiting time first.  It is loaded where that takes least: from a copy
 *	in the target's host memory, from its disk, else from the weight
 *	store, of which only a few loads run at once.  A model is evicted only
 *	for one that is worth more; see loss() and gain() in planner.c.
 *
 *	Without waiting requests, models of which no target has a copy are
 *	loaded once, so that their first request finds a copy on a disk.
 *
 *	Orders.  An order names the number of orders that the target must have
 *	accepted before.  One without an answer is repeated with the same
 *	number until the target's count shows that it, or another, was carried
 *	out: so no late copy of an order can be carried out on top of a later
 *	one.  A restart of the target resets the count; the memory that an
 *	unanswered order of the earlier incarnation may still bring stays
 *	reserved for BSH_PLANNER_LATE_US.
 *
 *	A model is withdrawn from the instances' view before the order to
 *	unload it goes out, so that requests on their way still find it.
 *
 *	Pure: no I/O and no clock.  Callbacks must not call into the planner.
 *
 * UNITS
 *	Microseconds of a monotonic clock; sizes in megabytes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/message.h"
#include "state/catalog.h"
#include "state/target.h"

/* An unanswered order is carried out within this time or never (the slowest
 * late order that targets are known for comes after 12 s). */
#define BSH_PLANNER_ORDER_DELAY_MAX_US INT64_C(13000000)

typedef enum {
	BSH_ORDER_ACCEPTED,
	BSH_ORDER_HOLDS,
	BSH_ORDER_BUSY,
	BSH_ORDER_WRONG_TARGET,
	BSH_ORDER_NOT_SENT,
	BSH_ORDER_UNKNOWN
} bsh_order_result_t;

typedef struct {
	bool load;
	uint32_t model;
	uint32_t adapter; /* 0: the base model */
	uint64_t expected;
} bsh_order_t;

typedef struct {
	/* Send an order; the result comes by bsh_planner_ordered(). */
	void (*order)(void *ctx, const bsh_target_t *target,
		      const bsh_order_t *order);
	/* Ask the target; the answer comes by bsh_planner_reported(). */
	void (*report)(void *ctx, const bsh_target_t *target);
	/* What requests may use at this target has changed, or is known for
	 * the first time during this term. */
	void (*placed)(void *ctx, const bsh_target_t *target,
		       const bsh_holdings_t *usable, uint64_t version);
	/* A target has carried out an accepted order, took_us after the
	 * acceptance or later.  May be NULL. */
	void (*done)(void *ctx, const bsh_target_t *target,
		     const bsh_order_t *order, int64_t took_us);
} bsh_planner_ops_t;

typedef struct {
	uint32_t concurrent_loads; /* from the weight store */
	uint32_t seed_loads;	   /* of them without a waiting request */
} bsh_planner_config_t;

typedef struct {
	uint64_t orders;
	uint64_t store_loads;
	uint64_t copy_loads; /* from memory or disk of the target */
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t repeated; /* orders without an answer, sent again */
} bsh_planner_stats_t;

typedef struct bsh_planner bsh_planner_t;

bsh_planner_t *bsh_planner_new(const bsh_planner_config_t *config,
			       const bsh_planner_ops_t *ops, void *ctx);
void bsh_planner_free(bsh_planner_t *planner);

/* bsh_planner_set_service - the service of a new catalog, which it keeps. */
void bsh_planner_set_service(bsh_planner_t *planner, bsh_catalog_t *catalog,
			     const bsh_service_rule_t *service);

/* bsh_planner_begin - a term begins: each target is asked before its first
 * order, and until then its entry says what it holds. */
void bsh_planner_begin_term(bsh_planner_t *planner);

/* bsh_planner_target - a target as its entry in the list shows it. */
void bsh_planner_update_target(bsh_planner_t *planner,
			       const bsh_target_t *target, int64_t now_us);
void bsh_planner_remove_target(bsh_planner_t *planner, const char *id);

/* bsh_planner_hold - give this target no order before; it need not be known
 * yet. */
void bsh_planner_defer_orders(bsh_planner_t *planner, const char *id,
			      int64_t until_us, int64_t now_us);

/* bsh_planner_demand - what an instance reports; replaces its last report. */
void bsh_planner_update_demand(bsh_planner_t *planner, const char *instance,
			       const bsh_demand_entry_t *entries, uint32_t n,
			       int64_t now_us);

void bsh_planner_order_result(bsh_planner_t *planner, const char *id,
			      bsh_order_result_t result, int64_t now_us);
/* bsh_planner_reported - report is NULL when the target did not answer. */
void bsh_planner_report_result(bsh_planner_t *planner, const char *id,
			       const bsh_target_report_t *report,
			       int64_t now_us);

/* bsh_planner_tick - decide; call while orders may be given. */
void bsh_planner_tick(bsh_planner_t *planner, int64_t now_us);

/*
 * bsh_planner_ready - for models and adapters that requests wait for: how long
 * until a target can take them.
 */
void bsh_planner_estimate_ready(bsh_planner_t *planner, int64_t now_us,
				void (*fn)(void *ctx,
					   const bsh_ready_entry_t *entry),
				void *ctx);

/* bsh_planner_usable - what requests may use at a target and how often that has
 * changed (version may be NULL); NULL: not known during this term. */
const bsh_holdings_t *bsh_planner_usable(const bsh_planner_t *planner,
					 const char *id, uint64_t *version);

const bsh_planner_stats_t *bsh_planner_stats(const bsh_planner_t *planner);

#endif
