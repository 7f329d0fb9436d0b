#ifndef BSH_COORDINATION_LOADER_PRIVATE_H
#define BSH_COORDINATION_LOADER_PRIVATE_H

/*
 * NAME
 *	loader_private - types and functions shared by the loader's sources
 *
 * DESCRIPTION
 *	loader.c	inputs, timers, queries
 *	loader_cell.c	store calls, lease and ownership, next update of a cell
 *	loader_slot.c	slot states, orders, confirmation of unloads
 *	loader_place.c	binding, eviction, keep-alive, standby, prefetch
 *	loader_demand.c	waiting demands, routes
 *
 *	Most inputs end in loader_run().  A run starts at most one store call
 *	per cell, sends the orders that the stored value permits and answers
 *	the demands whose result is certain.
 *
 * UNITS
 *	Fields in _us are times on the now_us clock unless noted.
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
	uint64_t generation; /* of the latest document with this pool */
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
	uint64_t generation;	 /* of the latest document with this model */
	int64_t in_use_until_us; /* end of use without another report */
	int64_t retry_us;	 /* no slot is bound before; after failures */
	uint32_t failures;	 /* failed loads since the latest success */
	uint32_t waiting;	 /* waiting demands */
	bool is_prefetch;	 /* queued for a load without a demand */
	char prefetch_reason[BSH_PLACEMENT_REASON_SIZE];
	/* Until then, clients refused with Retry-After are expected to repeat
	 * their requests, and the model is not unloaded as idle. */
	int64_t retries_expected_until_us;
	uint32_t replicas;	   /* needed for the traffic, at least 1 */
	int64_t ready_estimate_us; /* estimated readiness, -1 if unknown */
	bool is_unplaceable; /* no suitable target at the latest attempt */
	char zone[BSH_CELL_NAME_SIZE]; /* of the latest demand, or "" */
} model_t;

/* An instance of the platform's list: a target or a controller. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bsh_instance_state_t state;
	int64_t gone_us;	/* when it was first found to be gone, or -1 */
	int64_t seen_us;	/* time of the latest list that contains it */
	uint64_t list_sequence; /* number of that list */
	/* When this incarnation was first listed: all lower ones had ended. */
	int64_t earlier_gone_us;
} instance_t;

/* A model in the latest status of a target. */
typedef struct {
	bsh_slot_state_t state;
	char version[BSH_CELL_NAME_SIZE];
	bsh_attempt_id_t attempt;
	bool has_attempt;
	uint32_t memory_mib;
} loaded_model_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char pool[BSH_CELL_NAME_SIZE];
	char zone[BSH_CELL_NAME_SIZE];
	uint32_t memory_mib;  /* in the list; 0 if unknown */
	uint64_t incarnation; /* highest in any list or status */
	bool is_listed;	      /* the list has had this incarnation */
	bool is_gone;
	uint64_t leaving_incarnation; /* highest that is leaving, 0 if none */
	/* Latest status, of incarnation status_incarnation. */
	uint64_t status_incarnation;
	int64_t status_us; /* when its poll began; -1 if none */
	uint32_t used_mib;
	uint32_t running;   /* requests */
	GHashTable *loaded; /* model to loaded_model_t */
	GHashTable *copies; /* model to bsh_copy_t */
	/* Model to int64_t, time until which the target is not chosen for it
	 * after a failed load. */
	GHashTable *excluded_until;
} target_t;

/* Local state of one binding, keyed by its attempt id. */
typedef struct {
	bsh_attempt_id_t attempt;
	uint32_t pending_loads; /* load orders without a result */
	uint32_t pending_unloads;
	/* Until then a load order with unknown result may be delivered. */
	int64_t unsettled_until_us;
	bool is_ordered;    /* a load order may have been delivered */
	bool is_bound_here; /* bound by this process */
	bool is_failed;	    /* load failed or model vanished */
	/* When the load order was sent; -1 if none was, or it was not
	 * accepted. */
	int64_t load_sent_us;
	int64_t load_accepted_us;   /* -1 if not accepted */
	bsh_copy_t copy;	    /* expected to be used by the load */
	bool is_store_load;	    /* load from the weight store in progress */
	int64_t ready_us;	    /* first status that showed READY, or -1 */
	int64_t unload_accepted_us; /* unload accepted or refused, or -1 */
	uint64_t unload_fence;	    /* of that order */
	uint64_t unload_sent_fence; /* of the latest unload order sent */
	uint64_t unload_incarnation;
	/* The target enforces fences and has accepted unload_fence: it refuses
	 * all earlier orders. */
	bool is_fence_recorded;
	/* Since when no load order for the slot can be delivered, or -1. */
	int64_t quiescent_since_us;
	int64_t retry_us; /* no order is repeated before */
	uint32_t retries;
	int64_t next_poll_us;	  /* no status is requested before */
	uint64_t fence_to_exceed; /* reported by the target; 0 if none */
	int64_t keep_until_us;	  /* no idle check before */
	uint64_t purge_mark;	  /* equal to next_random while in use */
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
	bsh_cell_t stored; /* value last read from or written to the store */
	bsh_cell_t next;   /* value of the update in flight or last planned */
	uint64_t version;  /* of stored, 0 if the object does not exist */
	bool is_known;	   /* the store has returned a value or NOT_FOUND */
	cell_io_t io;
	int64_t io_began_us;	   /* start of the latest store call */
	bool is_update_unresolved; /* the latest update has no known result */
	uint32_t rank; /* among the candidates, as of rank_version */
	uint64_t rank_version;
	bool is_read_needed;	   /* after a conflict or a lost answer */
	int64_t handover_after_us; /* no handover to a preferred owner before */
	int64_t next_io_us;	   /* no store call before; back-off */
	int64_t next_read_us;
	uint32_t io_failures;
	/* Start of the first store call that failed since the latest answer,
	 * -1 if none has. */
	int64_t failing_since_us;
	/* Lease of another owner as observed here. */
	uint64_t observed_renewal, observed_epoch;
	int64_t observed_since_us; /* first answer that showed these */
	int64_t confirmed_us; /* start of the latest call that showed them */
	int64_t renewed_us;   /* start of the latest own update; -1 if none */
	int64_t next_idle_check_us; /* of idle slots, for unloading */
	int64_t next_review_us;	    /* of prefetch and number of replicas */
	int64_t next_standby_us;
	int64_t next_stray_check_us;
	bool is_holder; /* this process is a holder of some slot */
	uint64_t route_sequence;
	GHashTable *routes;		/* model to text of the latest route */
	uint64_t applied_list_sequence; /* list that the targets match */
	bool is_dirty;	     /* input has arrived since the latest run */
	bool is_plan_due;    /* plan an update before the next renewal */
	bool is_route_dirty; /* routes may have changed */
	int64_t last_run_us;
} cell_t;

typedef struct {
	bsh_sender_t sender;
	int64_t since_us; /* since when it has been a live member */
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
	bool is_stray; /* unload of a model without a slot */
} order_t;

typedef struct {
	uint64_t id;
	char model[BSH_CELL_NAME_SIZE];
	char zone[BSH_CELL_NAME_SIZE];
	int64_t deadline_us;
	int64_t since_us; /* arrival */
	uint8_t priority;
	uint32_t count; /* requests */
} demand_t;

static inline int64_t ms_us(uint32_t ms)
{
	return (int64_t)ms * US_PER_MS;
}

/* loader.c */
int64_t loader_wall_us(const bsh_loader_t *l);
uint64_t loader_random(bsh_loader_t *l);
bsh_attempt_id_t loader_new_attempt(bsh_loader_t *l);
model_t *loader_model(const bsh_loader_t *l, const char *name);
target_t *loader_target(const bsh_loader_t *l, const char *name);
cell_t *loader_cell(const bsh_loader_t *l, const char *name);
/* The binding of an attempt; it is created if necessary. */
binding_t *loader_get_binding(bsh_loader_t *l, const bsh_attempt_id_t *attempt);
binding_t *loader_find_binding(const bsh_loader_t *l,
			       const bsh_attempt_id_t *attempt);
bool loader_owns(const bsh_loader_t *l, const cell_t *c);
void loader_event(bsh_loader_t *l, const char *kind, const cell_t *c,
		  const bsh_slot_t *slot, const char *reason);
/* Whether sender has been gone for settle_ms, so that none of its orders can
 * be delivered any more. */
bool loader_orders_expired(const bsh_loader_t *l, const bsh_sender_t *sender);
bool loader_is_gone(const bsh_loader_t *l, const bsh_sender_t *sender);
/* Runs cell c (NULL: all cells), sends due loads and answers demands. */
void loader_run(bsh_loader_t *l, cell_t *c);

/* loader_cell.c */
cell_t *cell_new(const char *name, pool_t *pool, uint32_t number);
void cell_free(void *cell);
void cell_run(bsh_loader_t *l, cell_t *c);
void cell_drained(bsh_loader_t *l, cell_t *c);

/* loader_slot.c */
bsh_slot_t *cell_slot(const cell_t *c, guint i);
/* The slot's model in the latest status of its target incarnation, or NULL. */
const loaded_model_t *slot_loaded_model(const bsh_loader_t *l,
					const bsh_slot_t *slot);
/* Whether the slot is bound, loading or ready. */
bool slot_is_active(const bsh_slot_t *slot);
/* Whether the target reports the model as ready in the document's version. */
bool slot_is_ready(const bsh_loader_t *l, const bsh_slot_t *slot);
/* Whether no process can have sent a load order for the slot. */
bool slot_is_never_ordered(const bsh_loader_t *l, const bsh_cell_t *cell,
			   const bsh_slot_t *slot);
/* Whether orders of other holders may still be delivered. */
bool slot_has_other_holders(const bsh_loader_t *l, const bsh_cell_t *cell,
			    const bsh_slot_t *slot);
/* Whether load orders of this process may still be delivered. */
bool slot_has_open_loads(const bsh_loader_t *l, const bsh_slot_t *slot);
/* Removes a slot that was never ordered; otherwise starts its unload. */
void slot_start_unload(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		       bsh_slot_t *slot, const char *reason);
/* Applies statuses, ended targets and the document to all slots of next; true
 * if the change must be written. */
bool slots_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next);
/* Applies the latest statuses to the bindings; true if a slot is unloading or
 * a binding has failed. */
bool slots_apply_status(bsh_loader_t *l, cell_t *c);
/* Sends the unload orders that are due. */
void slots_send_orders(bsh_loader_t *l, cell_t *c);
void slot_send_load(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
		    bsh_copy_t copy, const char *reason);
void slot_order_result(bsh_loader_t *l, order_t *order,
		       bsh_order_result_t result, uint64_t fence);
bool target_is_leaving(const target_t *t);
bsh_copy_t target_copy(const target_t *t, const char *model);

/* loader_place.c */
/* Unloads idle slots and binds new ones in next; true if it was changed. */
bool place_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next);
void place_queue_load(bsh_loader_t *l, model_t *m);
/* Sends load orders for the queued models and updates their estimates. */
void place_send_loads(bsh_loader_t *l);
/* Sets this owner's share of the weight store's rate. */
void place_update_limits(bsh_loader_t *l);
/* Loads from the weight store in progress. */
uint32_t place_store_loads(const bsh_loader_t *l);

/* loader_demand.c */
/* Answers and removes the waiting demands whose result is certain. */
void demands_answer(bsh_loader_t *l);
void demand_free(void *demand);
/* Issues the changed routes of an owned cell; all of them if force is set. */
void routes_publish(bsh_loader_t *l, cell_t *c, bool force);

#endif
