#ifndef BSH_COORDINATION_PLANNER_PRIVATE_H
#define BSH_COORDINATION_PLANNER_PRIVATE_H

/*
 * NAME
 *	planner_private - types that the planner's source files share
 *
 * DESCRIPTION
 *	planner.c		targets, orders and their results
 *	planner_demand.c	demand of the instances
 *	planner_choose.c	what to load where; asks the other two
 */

#include "coordination/planner.h"

typedef enum {
	PLANNER_UNCERTAIN, /* a report is needed before the next order */
	PLANNER_IDLE,
	PLANNER_WITHDRAWN, /* an unload order follows shortly */
	PLANNER_SENT,	   /* the order has no answer yet */
	PLANNER_WORKING	   /* the target carries it out */
} planner_state_t;

typedef struct {
	bsh_target_t target;
	uint64_t orders;       /* accepted by the target; see planner_state_t */
	bsh_holdings_t held;   /* as of that many orders */
	bsh_holdings_t usable; /* as the instances see it */
	uint64_t version;      /* rises with each change of usable */
	bool reported;	       /* during this term: held is known */
	planner_state_t state;
	int64_t state_us; /* since when */
	bool has_order;	  /* order is set: sent, or to be sent */
	bsh_order_t order;
	uint32_t order_ms; /* how long it is expected to take */
	bool from_store;
	bool asking;	    /* a report is on its way */
	int64_t ask_us;	    /* no report before */
	int64_t pause_us;   /* no order before */
	uint32_t intent;    /* model that is to be loaded after evictions */
	int64_t loaded_us;  /* end of the last load */
	uint32_t unloading; /* model of the last accepted unload order */
	uint64_t unloading_orders; /* count of orders with that one */
	/* Copies of orders without an answer that may still arrive; the count
	 * makes them harmless until a restart sets it back. */
	uint32_t loose_mb;
	uint32_t loose_adapters;
	int64_t loose_until_us;
	/* The same, of an earlier incarnation: they may be carried out. */
	uint32_t late_mb;
	uint32_t late_adapters;
	int64_t late_until_us;
} planner_target_t;

/* Demand for one model or adapter, summed over the instances. */
typedef struct {
	uint32_t model;
	uint32_t adapter;
	double rate; /* requests a second, smoothed */
	double running;
	int64_t at_us; /* when rate was last brought up to date */
	uint32_t waiting;
	uint32_t patience_ms;
	int64_t waiting_since_us;
} planner_demand_t;

struct bsh_planner {
	bsh_planner_config_t config;
	bsh_planner_ops_t ops;
	void *ctx;
	bsh_catalog_t *catalog;
	const bsh_service_rule_t *service;
	GPtrArray *targets;    /* planner_target_t */
	GHashTable *holds;     /* id to the time before which it has no order */
	GHashTable *demand;    /* key to planner_demand_t */
	GHashTable *instances; /* name to planner_instance_t */
	/* Loads that the weight store serves at full speed, as learnt from how
	 * long they take; config.concurrent_loads at most. */
	double full_speed;
	bsh_planner_stats_t stats;
};

/* planner.c */
void planner_order(bsh_planner_t *planner, planner_target_t *t, bool load,
		   uint32_t model, uint32_t adapter, int64_t now_us);
uint32_t planner_used_mb(const bsh_planner_t *planner,
			 const planner_target_t *t, int64_t now_us);
uint32_t planner_used_slots(const planner_target_t *t, int64_t now_us);
uint32_t planner_store_loads(const bsh_planner_t *planner);
/* True if requests may be sent to this target for the model or adapter. */
bool planner_serves(const planner_target_t *t, uint32_t model,
		    uint32_t adapter);
/* Time until a load that runs on the target ends. */
uint32_t planner_order_left_ms(const bsh_planner_t *planner,
			       const planner_target_t *t, int64_t now_us);
/* How long a load from the weight store takes beside n - 1 others. */
uint32_t planner_store_load_ms(const bsh_planner_t *planner, uint32_t load_ms,
			       uint32_t n);
/* Loads from the weight store that may run at once. */
uint32_t planner_store_limit(const bsh_planner_t *planner);

/* planner_demand.c */
void planner_demand_init(bsh_planner_t *planner);
void planner_demand_finish(bsh_planner_t *planner);
/* Forget reports of instances that have fallen silent. */
void planner_demand_expire(bsh_planner_t *planner, int64_t now_us);
const planner_demand_t *planner_demand_of(const bsh_planner_t *planner,
					  uint32_t model, uint32_t adapter);
/* The rate of a demand at this time; 0 for NULL. */
double planner_rate(const planner_demand_t *demand, int64_t now_us);

/* planner_choose.c */
void planner_choose(bsh_planner_t *planner, int64_t now_us);
uint32_t planner_estimate_ms(bsh_planner_t *planner, uint32_t model,
			     uint32_t adapter, int64_t now_us);

#endif
