#ifndef BSH_COORDINATION_LOADER_PRIVATE_H
#define BSH_COORDINATION_LOADER_PRIVATE_H

/*
 * NAME
 *	loader_private - state shared by the sources of the loader
 *
 * DESCRIPTION
 *	loader.c	inputs and time
 *	loader_cell.c	store calls, ownership, plan of the next update
 *	loader_slot.c	slot transitions, orders, unload confirmation
 *	loader_place.c	binding, eviction, keep-alive, standby, prefetch
 *	loader_demand.c	waiting requests, routes
 */

#include "coordination/loader.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_S  INT64_C(1000000)
#define NEVER_US  INT64_MAX

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	bool fencing;
	uint32_t memory_mib;
	uint32_t max_running;
	uint32_t cells;
	uint64_t generation; /* document that listed it last */
} pool_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char version[BSH_CELL_NAME_SIZE];
	char base[BSH_CELL_NAME_SIZE];
	pool_t *pool;
	uint32_t memory_mib;
	uint32_t max_replicas;
	uint32_t load_ms;
	uint8_t priority;
	uint64_t generation;
	int64_t in_use_until_us; /* running requests were reported */
	int64_t retry_us;	 /* no load before, after failures */
	uint32_t failures;
	uint32_t waiting; /* demands */
	bool is_prefetch; /* wanted although nobody waits */
	char prefetch_reason[BSH_PLACEMENT_REASON_SIZE];
	int64_t return_us;   /* refused requests may return until then */
	uint32_t replicas;   /* wanted for the load, at least 1 */
	int64_t estimate_us; /* of readiness, -1 if unknown */
	bool has_no_room;    /* at the latest plan */
	char zone[BSH_CELL_NAME_SIZE]; /* of the latest demand */
} model_t;

/* An instance of the platform's list: target or controller. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bsh_instance_state_t state;
	int64_t gone_us;	 /* first seen gone, or -1 */
	int64_t seen_us;	 /* last list that had it */
	uint64_t listed;	 /* number of that list */
	int64_t earlier_gone_us; /* all lower incarnations */
} instance_t;

typedef struct {
	bsh_slot_state_t state;
	char version[BSH_CELL_NAME_SIZE];
	bsh_attempt_id_t attempt;
	bool has_attempt;
	uint32_t memory_mib;
} loaded_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char pool[BSH_CELL_NAME_SIZE];
	char zone[BSH_CELL_NAME_SIZE];
	uint32_t memory_mib;  /* of the list; 0 if unknown */
	uint64_t incarnation; /* highest seen from list, status, peers */
	bool is_listed;	      /* in the list with this incarnation */
	bool is_gone;
	uint64_t leaving; /* incarnation that is leaving */
	/* Latest status, of incarnation status_incarnation. */
	uint64_t status_incarnation;
	int64_t status_us; /* when its poll began; -1 if none */
	uint32_t used_mib;
	uint32_t running;
	GHashTable *loaded; /* model to loaded_t */
	GHashTable *copies; /* model to GINT copy */
	GHashTable *failed; /* model to int64_t, excluded until */
} target_t;

/* What this process knows of one binding; keyed by its attempt id. */
typedef struct {
	bsh_attempt_id_t attempt;
	uint32_t pending; /* load orders without an answer */
	uint32_t pending_unloads;
	int64_t unsettled_until_us; /* an order may still be on its way */
	bool is_ordered;       /* a load order may have reached the target */
	bool is_own;	       /* bound by this process */
	bool is_failed;	       /* load failed or model vanished */
	int64_t load_us;       /* latest load order, -1 if none */
	int64_t load_ok_us;    /* accepted, -1 if not */
	bsh_copy_t copy;       /* expected at the load order */
	bool is_counted;       /* in the weight store's running loads */
	int64_t ready_us;      /* first seen ready, -1 if not */
	int64_t unload_ok_us;  /* unload accepted at unload_fence */
	uint64_t unload_fence; /* of the accepted order */
	uint64_t sent_fence;   /* of the latest order */
	uint64_t unload_incarnation;
	bool is_fence_known; /* by acceptance of a target that checks */
	int64_t clear_us;    /* since when no order may arrive, -1 if not */
	int64_t retry_us;
	uint32_t retries;
	int64_t poll_us;  /* next request of a status */
	uint64_t refence; /* target's fence, to be exceeded; 0 if none */
	int64_t keep_until_us;
	uint64_t mark; /* for removal of records no longer needed */
} binding_t;

typedef enum {
	IO_IDLE = 0,
	IO_READ,
	IO_UPDATE
} cell_io_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	pool_t *pool;
	uint32_t number;
	bsh_cell_t seen; /* value last seen in the store */
	bsh_cell_t next; /* proposed value of the update in flight */
	uint64_t version;
	bool is_seen;
	cell_io_t io;
	int64_t io_us; /* when the call in flight began */
	bool is_lost;  /* an update without answer is to be resolved */
	uint32_t rank; /* among the candidates, as of rank_stamp */
	uint64_t rank_stamp;
	bool wants_read;    /* after a conflict or a lost answer */
	int64_t keep_us;    /* no handover to a preferred owner before */
	int64_t next_io_us; /* no store call before (back-off) */
	int64_t next_read_us;
	uint32_t io_failures;
	int64_t failing_us; /* since when the store fails, -1 if it works */
	/* Lease of another owner as observed here. */
	uint64_t observed_renewal, observed_epoch;
	int64_t observed_us; /* first answer that showed it */
	int64_t proven_us;   /* begin of the latest read that showed it */
	int64_t renewed_us;  /* begin of the latest own update; -1 if none */
	int64_t house_us;    /* next keep-alive and prefetch round */
	int64_t review_us;
	int64_t standby_us;
	int64_t stray_us;
	bool is_held; /* this process is a holder of some slot */
	uint64_t route_sequence;
	GHashTable *routes; /* model to joined names last issued */
	uint64_t list_seen; /* list that the targets were taken from */
	bool is_dirty;	    /* input since the latest run */
	bool is_due;	    /* the plan is to be made anew */
	bool is_route_dirty;
	int64_t run_us; /* latest run */
} cell_t;

typedef struct {
	bsh_sender_t sender;
	int64_t since_us;
} member_t;

typedef struct {
	uint64_t id;
	bsh_order_kind_t kind;
	char cell[BSH_CELL_NAME_SIZE];
	char target[BSH_CELL_NAME_SIZE];
	char model[BSH_CELL_NAME_SIZE];
	uint64_t target_incarnation;
	bsh_attempt_id_t attempt;
	uint64_t fence;
	bool is_stray;
} order_t;

typedef struct {
	uint64_t id;
	char model[BSH_CELL_NAME_SIZE];
	char zone[BSH_CELL_NAME_SIZE];
	int64_t deadline_us;
	int64_t since_us;
	uint8_t priority;
	uint32_t count;
} demand_t;

static inline int64_t ms_us(uint32_t ms)
{
	return (int64_t)ms * US_PER_MS;
}

/* loader.c */
int64_t loader_wall_us(const bsh_loader_t *l);
uint64_t loader_random(bsh_loader_t *l);
bsh_attempt_id_t loader_attempt(bsh_loader_t *l);
model_t *loader_model(const bsh_loader_t *l, const char *name);
target_t *loader_target(const bsh_loader_t *l, const char *name);
cell_t *loader_cell(const bsh_loader_t *l, const char *name);
binding_t *loader_binding(bsh_loader_t *l, const bsh_attempt_id_t *attempt);
binding_t *loader_find_binding(const bsh_loader_t *l,
			       const bsh_attempt_id_t *attempt);
bool loader_owns(const bsh_loader_t *l, const cell_t *c);
void loader_event(bsh_loader_t *l, const char *kind, const cell_t *c,
		  const bsh_slot_t *slot, const char *reason);
/* Whether sender has been gone for settle_ms. */
bool loader_is_settled_gone(const bsh_loader_t *l, const bsh_sender_t *sender);
bool loader_is_gone(const bsh_loader_t *l, const bsh_sender_t *sender);
/* Runs a cell, then the load queue and the demands. */
void loader_run(bsh_loader_t *l, cell_t *c);

/* loader_cell.c */
cell_t *cell_new(const char *name, pool_t *pool, uint32_t number);
void cell_free(void *cell);
void cell_run(bsh_loader_t *l, cell_t *c);
void cell_drained(bsh_loader_t *l, cell_t *c);

/* loader_slot.c */
bsh_slot_t *slot_of(const cell_t *c, guint i);
const loaded_t *slot_loaded(const bsh_loader_t *l, const bsh_slot_t *slot);
bool slot_is_active(const bsh_slot_t *slot);
bool slot_is_ready(const bsh_loader_t *l, const bsh_slot_t *slot);
bool slot_is_idle_binding(const bsh_loader_t *l, const bsh_cell_t *cell,
			  const bsh_slot_t *slot);
bool slot_has_others(const bsh_loader_t *l, const bsh_cell_t *cell,
		     const bsh_slot_t *slot);
bool slot_is_busy(const bsh_loader_t *l, const bsh_slot_t *slot);
void slot_start_unload(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		       bsh_slot_t *slot, const char *reason);
/* Applies confirmations and the document to all slots of next. */
bool slots_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next);
/* True if a slot is unloading or a binding has failed. */
bool slots_observe(bsh_loader_t *l, cell_t *c);
void slots_order(bsh_loader_t *l, cell_t *c);
void slot_send_load(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
		    bsh_copy_t copy, const char *reason);
void slot_order_result(bsh_loader_t *l, order_t *order,
		       bsh_order_result_t result, uint64_t fence);
bool target_is_leaving(const target_t *t);
bsh_copy_t target_copy(const target_t *t, const char *model);

/* loader_place.c */
bool place_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next);
void place_want(bsh_loader_t *l, model_t *m);
void place_queue(bsh_loader_t *l);
void place_limits(bsh_loader_t *l);
uint32_t place_running(const bsh_loader_t *l);

/* loader_demand.c */
void demand_run(bsh_loader_t *l);
void demand_free(void *demand);
void route_run(bsh_loader_t *l, cell_t *c, bool force);

#endif
