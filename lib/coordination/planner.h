#ifndef BSH_COORDINATION_PLANNER_H
#define BSH_COORDINATION_PLANNER_H

/*
 * NAME
 *	planner - placement planner for the models and adapters of one service
 *
 * DESCRIPTION
 *	Runs at the instance that holds the lease (coordination/lease.h).  The
 *	instances report demand for models and adapters; the planner gives the
 *	targets orders to load and unload, one at a time for each target.
 *
 *	Demand.  Models with waiting requests come first, the one with the
 *	most total waiting time before the others.  A model is loaded on the
 *	target where that takes least time: from a copy in the target's host
 *	memory, from its disk, else from the weight store, which serves only a
 *	few loads at once.  A model is evicted only for one that is worth
 *	more; see loss() and set_wanted() in planner_choose.c.
 *
 *	A model without waiting requests and without a copy on any target is
 *	loaded once, so that its first request finds a copy on a disk; one that
 *	nobody has asked for only once the demand has been known for some time,
 *	or before there is any.
 *
 *	Orders.  An order carries the number of orders that the target must
 *	have accepted before it; the target refuses an order with another
 *	number.  An order without an answer is repeated with the same number
 *	until the target's count shows that it, or another one, was carried
 *	out, so a delayed copy of an order cannot take effect after a later
 *	order.  A restart of the target resets its count.  The memory that
 *	unanswered orders to the earlier incarnation may still take stays
 *	reserved for BSH_PLANNER_ORDER_DELAY_MAX_US, also if the target leaves
 *	the list and returns.
 *
 *	Configuration.  A planner outlives its service: an unanswered order of
 *	a service that has left the configuration may still be carried out,
 *	and the service may come back.  Meanwhile it gives no orders.  A model
 *	that has left the configuration is not loaded, and an unanswered order
 *	to load it is not repeated; while a target holds it, its name and size
 *	remain known, so that it can be evicted.
 *
 *	Before an order to unload a model is sent, the model is withdrawn from
 *	what the instances may use, so that requests in transit still find it.
 *
 *	Pure: no I/O and no clock.  Callbacks must not change the planner.
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

/* An unanswered order is carried out within this time or never: the longest
 * known delay of an order at a target is 12 s. */
#define BSH_PLANNER_ORDER_DELAY_MAX_US INT64_C(13000000)

typedef enum {
	BSH_ORDER_ACCEPTED,
	BSH_ORDER_HOLDS, /* redundant: the target is in the ordered state */
	BSH_ORDER_BUSY,	 /* refused: busy, wrong count or old term */
	BSH_ORDER_WRONG_TARGET, /* malformed, or another target received it */
	BSH_ORDER_NOT_SENT,
	BSH_ORDER_UNKNOWN /* no answer: may have been carried out */
} bsh_order_result_t;

typedef struct {
	bool load;	   /* false: unload */
	uint32_t model;	   /* hash of the name */
	uint32_t adapter;  /* hash of the name; 0: the base model */
	uint64_t expected; /* orders the target must have accepted before */
} bsh_order_t;

typedef struct {
	/* Send an order; bsh_planner_order_result() receives the result.
	 * Returns false if it is not sent; no result follows. */
	bool (*order)(void *ctx, const bsh_target_t *target,
		      const bsh_order_t *order);
	/* Request a report; bsh_planner_report_result() receives it. */
	void (*report)(void *ctx, const bsh_target_t *target);
	/* The holdings that requests may use at this target have changed.  At
	 * its first report in a term they are compared with its list entry. */
	void (*placed)(void *ctx, const bsh_target_t *target,
		       const bsh_holdings_t *usable, uint64_t version);
	/* A target has carried out an accepted order.  took_us is the time
	 * from the observed acceptance to the observed end or, for an order
	 * that ends without a report, to its expected end; the order itself
	 * may have ended earlier.  May be NULL. */
	void (*done)(void *ctx, const bsh_target_t *target,
		     const bsh_order_t *order, int64_t took_us);
} bsh_planner_ops_t;

typedef struct {
	uint32_t concurrent_loads; /* most loads from the weight store */
	uint32_t seed_loads; /* limit for loads without waiting requests */
} bsh_planner_config_t;

typedef struct {
	uint64_t orders;
	uint64_t store_loads;
	uint64_t copy_loads; /* from the target's host memory or disk */
	uint64_t unloads;
	uint64_t adapter_loads;
	uint64_t repeated;     /* unanswered orders that were sent again */
	uint64_t failed_loads; /* accepted loads whose model is not held */
} bsh_planner_stats_t;

typedef struct bsh_planner bsh_planner_t;

bsh_planner_t *bsh_planner_new(const bsh_planner_config_t *config,
			       const bsh_planner_ops_t *ops, void *ctx);
void bsh_planner_free(bsh_planner_t *planner);

/* bsh_planner_set_service - use a new catalog and the planner's service in it;
 * takes a reference to the catalog. */
void bsh_planner_set_service(bsh_planner_t *planner, bsh_catalog_t *catalog,
			     const bsh_service_rule_t *service);

/* bsh_planner_end_service - the service is no longer in the configuration, or has
 * no engine any more: give no orders until bsh_planner_set_service(). */
void bsh_planner_end_service(bsh_planner_t *planner);

/* bsh_planner_model - a model of the service, or one that has left it and is
 * still held by a target; NULL: the model is not known. */
const bsh_model_rule_t *bsh_planner_model(const bsh_planner_t *planner,
					  uint32_t hash);

/* bsh_planner_adapter_name - write the name of an adapter of the model, also of
 * one that has left the configuration.
 *
 * RETURN VALUE
 *	False if the model has had no adapter with this hash.
 */
bool bsh_planner_adapter_name(const bsh_planner_t *planner, uint32_t model,
			      uint32_t hash, char name[BSH_ADAPTER_NAME_SIZE]);

/* bsh_planner_begin_term - begin a term.  Each target has to report before its
 * first order; until then its list entry is used for its holdings. */
void bsh_planner_begin_term(bsh_planner_t *planner);

/* bsh_planner_update_target - add a target, or update it from its entry in the
 * platform's list. */
void bsh_planner_update_target(bsh_planner_t *planner,
			       const bsh_target_t *target, int64_t now_us);
/* bsh_planner_remove_target - the target has left the list.  Memory that
 * unanswered orders may still take stays reserved: it may come back. */
void bsh_planner_remove_target(bsh_planner_t *planner, const char *id,
			       int64_t now_us);

/* bsh_planner_defer_orders - give the target with this key (bsh_target_key()) no
 * order before until_us; it need not have been added yet. */
void bsh_planner_defer_orders(bsh_planner_t *planner, uint32_t key,
			      int64_t until_us, int64_t now_us);

/* bsh_planner_update_demand - replace the last demand report of an instance. */
void bsh_planner_update_demand(bsh_planner_t *planner, const char *instance,
			       const bsh_demand_entry_t *entries, uint32_t n,
			       int64_t now_us);

/* bsh_planner_check_target - an instance could not connect to the target with
 * this key: it is asked for a report and, if it does not answer, its holdings
 * are withdrawn until it reports or is started again. */
void bsh_planner_check_target(bsh_planner_t *planner, uint32_t key,
			      int64_t now_us);

/* bsh_planner_update_loads - set the requests that run at the targets, summed
 * over the instances; a target without an entry has none. */
void bsh_planner_update_loads(bsh_planner_t *planner,
			      const bsh_load_entry_t *entries, uint32_t n);

/* bsh_planner_order_result - pass the result of the order op. */
void bsh_planner_order_result(bsh_planner_t *planner, const char *id,
			      bsh_order_result_t result, int64_t now_us);
/* bsh_planner_report_result - pass the result of the report op; report is NULL
 * if the target did not answer. */
void bsh_planner_report_result(bsh_planner_t *planner, const char *id,
			       const bsh_target_report_t *report,
			       int64_t now_us);

/* bsh_planner_tick - advance orders and choose new ones; call only while orders
 * may be given. */
void bsh_planner_tick(bsh_planner_t *planner, int64_t now_us);

/*
 * bsh_planner_estimate_ready - call fn for each model and adapter with waiting
 * requests, with the estimated time until a target can serve it.
 */
void bsh_planner_estimate_ready(bsh_planner_t *planner, int64_t now_us,
				void (*fn)(void *ctx,
					   const bsh_ready_entry_t *entry),
				void *ctx);

/*
 * bsh_planner_usable - the holdings that requests may use at a target and their
 * version, which rises with each change.  version may be NULL.
 *
 * RETURN VALUE
 *	NULL if the target is unknown or has not reported during this term.
 */
const bsh_holdings_t *bsh_planner_usable(const bsh_planner_t *planner,
					 const char *id, uint64_t *version);

const bsh_planner_stats_t *bsh_planner_stats(const bsh_planner_t *planner);

#endif
