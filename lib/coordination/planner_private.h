#ifndef BSH_COORDINATION_PLANNER_PRIVATE_H
#define BSH_COORDINATION_PLANNER_PRIVATE_H

/*
 * NAME
 *	planner_private - types and functions shared by the planner's files
 *
 * DESCRIPTION
 *	planner.c		targets, orders and their results
 *	planner_capacity.c	memory, adapter slots and the weight store in use
 *	planner_demand.c	demand of the instances
 *	planner_verify.c	loads that were taken for ended without a report
 *	planner_choose.c	what to load where; calls the others
 */

#include "coordination/planner.h"

typedef enum {
	PLANNER_UNCERTAIN, /* a report is needed before the next order */
	PLANNER_IDLE,	   /* ready for an order */
	PLANNER_WITHDRAWN, /* model withdrawn; the unload order follows */
	PLANNER_SENT,	   /* the order has no answer yet */
	PLANNER_WORKING	   /* the target carries out the order */
} planner_state_t;

typedef struct {
	bsh_target_t target;
	uint64_t orders;       /* number that the target has accepted */
	bsh_holdings_t held;   /* holdings after that many orders */
	bsh_holdings_t usable; /* holdings that requests may use */
	uint64_t version;      /* rises with each change of usable */
	bool reported;	       /* the target has reported in this term */
	bool suspected; /* an instance could not connect; a report is due */
	bool down;	/* nor did it report: nothing is usable */
	planner_state_t state;
	int64_t state_us; /* start of the state */
	bool has_order;	  /* order is set: sent, or to be sent */
	bsh_order_t order;
	uint32_t order_ms;	 /* expected duration of the order */
	bool from_store;	 /* the order loads from the weight store */
	bool report_pending;	 /* a report was requested */
	int64_t next_report_us;	 /* earliest time of the next report request */
	int64_t next_order_us;	 /* earliest time of the next order */
	uint32_t planned_load;	 /* model to load after evictions; 0: none */
	uint32_t busy_retries;	 /* of the planned load, since the unload */
	bool planned_from_store; /* it comes from the weight store */
	int64_t loaded_us;	 /* end of the last load */
	/* Models whose loads were taken for ended, and no report since. */
	bsh_holdings_t unverified;
	int64_t verify_us;	   /* earliest time of a report about them */
	bool verifying;		   /* that report was requested */
	uint32_t load_key;	   /* names the target in a bsh_load_entry_t */
	uint32_t running;	   /* requests, by the last loads */
	uint32_t unloading;	   /* model of the last accepted unload order */
	uint64_t unloading_orders; /* value of orders after that one */
	/* Memory and adapters of unanswered load orders of which copies may
	 * still arrive.  The target refuses them by their number until a
	 * restart resets its count. */
	uint32_t unacked_mb;
	uint32_t unacked_adapters;
	int64_t unacked_until_us;
	/* Reserved for unanswered orders to an earlier incarnation, which
	 * this one may carry out. */
	uint32_t reserved_mb;
	uint32_t reserved_adapters;
	int64_t reserved_until_us;
} planner_target_t;

/* Reservation of a target that has left the list. */
typedef struct {
	uint32_t mb;
	uint32_t adapters;
	int64_t until_us;
} planner_reservation_t;

/* Demand for one model or adapter, summed over the instances. */
typedef struct {
	uint32_t model;
	uint32_t adapter;
	double rate;	    /* requests a second, smoothed */
	double running;	    /* requests in progress at targets */
	int64_t updated_us; /* time to which rate has decayed */
	uint32_t waiting;   /* requests that no target can serve yet */
	/* Longest time that a request can still wait, by the last report. */
	uint32_t max_wait_left_ms;
	int64_t waiting_since_us; /* 0: none wait */
} planner_demand_t;

struct bsh_planner {
	bsh_planner_config_t config;
	bsh_planner_ops_t ops;
	void *ctx;
	bsh_catalog_t *catalog;
	const bsh_service_rule_t *service; /* the last one; NULL: none yet */
	bool listed;			   /* service is in the configuration */
	GHashTable *former;    /* hash to the last bsh_model_rule_t of a model
				* that has left, or had more adapters */
	GPtrArray *targets;    /* planner_target_t */
	GHashTable *by_id;     /* the same; keys are their ids */
	GHashTable *deferred;  /* load_key to its earliest order time */
	GHashTable *departed;  /* target id to planner_reservation_t */
	GHashTable *demand;    /* key to planner_demand_t */
	GHashTable *instances; /* name to planner_instance_t */
	int64_t term_us;       /* first run of the term; 0: none yet */
	int64_t demand_us; /* first demand that was known in a run; 0: none */
	/* Number of concurrent loads that the weight store serves at full
	 * speed, estimated from the duration of loads; from 1 to
	 * config.concurrent_loads. */
	double store_concurrency;
	bsh_planner_stats_t stats;
};

/* planner.c */

/* Start an order on an idle target; an unload is sent after a short delay. */
void planner_issue_order(bsh_planner_t *planner, planner_target_t *t, bool load,
			 uint32_t model, uint32_t adapter, int64_t now_us);
/* True if the configuration has the model and, unless 0, its adapter. */
bool planner_is_listed(const bsh_planner_t *planner, uint32_t model,
		       uint32_t adapter);
/* True if requests may be sent to this target for the model or adapter. */
bool planner_serves(const planner_target_t *t, uint32_t model,
		    uint32_t adapter);
/* Estimated time until the target's order ends. */
uint32_t planner_order_left_ms(const bsh_planner_t *planner,
			       const planner_target_t *t, int64_t now_us);

/* planner_capacity.c */
/* Memory that the order takes when it is carried out. */
uint32_t planner_order_mb(const bsh_planner_t *planner,
			  const bsh_order_t *order);
/* Accelerator memory in use or reserved; UINT32_MAX if it is not known. */
uint32_t planner_used_mb(const bsh_planner_t *planner,
			 const planner_target_t *t, int64_t now_us);
/* Adapter slots in use or reserved. */
uint32_t planner_used_slots(const planner_target_t *t, int64_t now_us);
/* True if the target has no copy of the model from which it could load it. */
bool planner_needs_store(const planner_target_t *t, uint32_t model);
/* Loads from the weight store that run now, or follow an eviction. */
uint32_t planner_store_loads(const bsh_planner_t *planner);
/* Duration of a load from the weight store while n loads run in total. */
uint32_t planner_store_load_ms(const bsh_planner_t *planner, uint32_t load_ms,
			       uint32_t n);
/* Most loads from the weight store that may run at once. */
uint32_t planner_store_limit(const bsh_planner_t *planner);

/* planner_demand.c */
void planner_demand_init(bsh_planner_t *planner);
void planner_demand_finish(bsh_planner_t *planner);
/* Drop the reports of instances that have stopped reporting. */
void planner_demand_expire(bsh_planner_t *planner, int64_t now_us);
const planner_demand_t *planner_demand_of(const bsh_planner_t *planner,
					  uint32_t model, uint32_t adapter);
/* Request rate, decayed to now_us; 0 for NULL. */
double planner_demand_rate(const planner_demand_t *demand, int64_t now_us);

/* planner_verify.c */
/* The load of the model was taken for ended without a report. */
void planner_verify_add(planner_target_t *t, uint32_t model, int64_t now_us);
/* True if requests wait for such a model although the target should serve it, so
 * that a report is needed. */
bool planner_verify_is_due(const bsh_planner_t *planner,
			   const planner_target_t *t, int64_t now_us);
/* Number of such models that the target does not hold, by that report. */
uint32_t planner_verify_absent(planner_target_t *t,
			       const bsh_target_report_t *report);

/* planner_choose.c */
/* Give orders to idle targets. */
void planner_choose(bsh_planner_t *planner, int64_t now_us);
/* Estimated time until requests can use the model or adapter; UINT32_MAX if the
 * model is not declared, has no demand, or no target exists. */
uint32_t planner_estimate_ms(bsh_planner_t *planner, uint32_t model,
			     uint32_t adapter, int64_t now_us);

#endif
