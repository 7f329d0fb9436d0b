#ifndef BSH_COORDINATION_LOADER_H
#define BSH_COORDINATION_LOADER_H

/*
 * NAME
 *	loader - placement controller: leases on cells, slot binding, load and
 *	unload orders with fencing tokens
 *
 * DESCRIPTION
 *	One loader per controller process serves all cells (state/cell.h).  A
 *	cell is owned by one controller at a time, which holds a lease on it
 *	and alone binds its slots; the other controllers observe the lease and
 *	take the cell over when it expires.
 *
 *	The loader is a state machine without I/O.  Inputs are the functions
 *	below; store calls, orders and answers leave through bsh_loader_ops_t.
 *	The caller passes its monotonic clock as now_us; wall_offset_us of the
 *	configuration is added for the time of day.
 *
 *	The caller (bshcontrold) must:
 *
 *	- answer each read and update exactly once, also after a timeout
 *	  (BSH_STORE_LOST for an update, BSH_STORE_UNAVAILABLE for a read);
 *	  BSH_STORE_UNAVAILABLE for an update means that it certainly had
 *	  no effect and never will;
 *	- answer each order exactly once with bsh_loader_order_result(), and
 *	  only when the call has ended: after BSH_ORDER_NOT_SENT the order
 *	  must never be sent;
 *	- poll the status of each target about once a second while the loader
 *	  owns a cell (at once after ops->poll) and pass each status with the
 *	  time at which the poll began.  Never pass a status that came from
 *	  a target other than the polled one;
 *	- call bsh_loader_tick() at bsh_loader_next_us() or sooner;
 *	- call bsh_loader_report_use() for each report of a router;
 *	- use a new incarnation after a restart.
 *
 *	ops functions must not call back into the loader.  Pointers passed to
 *	them are valid during the call only.
 *
 * ORDERS
 *	An order for a slot is sent only if the slot is in the value last read
 *	from or written to the store, with this process as its sender.  A load
 *	order that was not accepted is repeated with the same attempt id and
 *	fence until the status shows the model.
 *
 *	A stray is a model that the status of a target shows although no slot
 *	covers it; the owner of the cell unloads it.
 *
 * ERRORS
 *	Invalid input (unknown cell, malformed value) changes nothing and is
 *	counted in counts.rejected; most of it is also reported as event
 *	"rejected".
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/cell.h"
#include "state/placement.h"

#define BSH_LOADER_LEASE_MS_DEFAULT  6000
#define BSH_LOADER_SETTLE_MS_DEFAULT 30000
#define BSH_LOADER_ABSENT_MS_DEFAULT 600000

typedef struct {
	bsh_sender_t self;
	char zone[BSH_CELL_NAME_SIZE];
	/* A duration of 0 selects its default above. */
	uint32_t lease_ms; /* length of the lease on a cell */
	/* Longest time for which an order may still be delivered after its
	 * sender has ended or its call has timed out. */
	uint32_t settle_ms;
	/* An instance missing from the platform's list for this long is
	 * treated as gone.  State BSH_INSTANCE_GONE or a higher incarnation
	 * has this effect at once. */
	uint32_t absent_ms;
	int64_t wall_offset_us; /* wall clock minus monotonic clock */
	uint64_t seed[2];	/* random; for attempt ids and retry delays */
} bsh_loader_config_t;

/* A pool of the accepted document.  Strings are copied. */
typedef struct {
	const char *name;
	bool fencing;	      /* targets refuse orders with a lower fence */
	uint32_t memory_mib;  /* per target, if the platform gives none */
	uint32_t max_running; /* requests per target */
	/* Number of cells: at least 1, equal on all instances, constant while
	 * the pool has slots.  No slot is bound in a cell that was stored with
	 * another number. */
	uint32_t cells;
} bsh_loader_pool_t;

typedef struct {
	const char *name;
	const char *version;
	const char *pool;
	const char *base; /* NULL unless an adapter */
	uint32_t memory_mib;
	uint32_t max_replicas;
	uint8_t priority; /* 0 (highest) to 9 */
	uint32_t load_ms; /* from the weight store, at full speed */
} bsh_loader_model_t;

typedef struct {
	uint64_t generation;
	/* 0: only cold-start time counts; 1: only idle accelerator time. */
	double weight;
	double loads_per_s;  /* of the weight store, for all owners */
	uint32_t concurrent; /* loads at once from the weight store */
	const bsh_loader_pool_t *pools; /* engine pools only */
	size_t pool_count;
	const bsh_loader_model_t *models;
	size_t model_count;
} bsh_loader_document_t;

typedef enum {
	BSH_INSTANCE_LIVE = 0,
	BSH_INSTANCE_LEAVING,
	BSH_INSTANCE_GONE
} bsh_instance_state_t;

/* An entry of the platform's instance list. */
typedef struct {
	const char *name;
	uint64_t incarnation;
	bool is_target; /* kind "engine"; false for "entry" */
	const char *pool;
	const char *zone;
	uint32_t memory_mib;
	bsh_instance_state_t state;
} bsh_loader_instance_t;

typedef enum {
	BSH_STORE_OK = 0,
	BSH_STORE_NOT_FOUND,   /* read: no such object */
	BSH_STORE_CONFLICT,    /* update: base version is out of date */
	BSH_STORE_LOST,	       /* update: no answer, effect unknown */
	BSH_STORE_UNAVAILABLE, /* no effect: outage, rate limit, not sent */
	BSH_STORE_TOO_LARGE    /* update: no effect */
} bsh_store_result_t;

typedef enum {
	BSH_ORDER_LOAD = 0,
	BSH_ORDER_UNLOAD
} bsh_order_kind_t;

typedef struct {
	uint64_t id; /* for bsh_loader_order_result() */
	bsh_order_kind_t kind;
	const char *target;
	uint64_t target_incarnation;
	const char *model;
	const char *version;
	const char *base; /* "" unless an adapter */
	bsh_attempt_id_t attempt;
	uint64_t fence;
	uint32_t memory_mib;
} bsh_loader_order_t;

typedef enum {
	BSH_ORDER_ACCEPTED = 0, /* 202 */
	BSH_ORDER_STALE_FENCE, /* 409 stale-fence; reports the target's fence */
	BSH_ORDER_NO_MEMORY,   /* 507 */
	BSH_ORDER_REFUSED,     /* any other refusal, no effect */
	BSH_ORDER_NOT_SENT,    /* not sent and never to be sent */
	BSH_ORDER_UNKNOWN      /* sent, no answer, effect unknown */
} bsh_order_result_t;

typedef struct {
	const char *model;
	const char *version;
	bsh_slot_state_t state; /* LOADING, READY or UNLOADING */
	bool has_attempt;
	bsh_attempt_id_t attempt;
	uint32_t memory_mib; /* 0 if not reported */
} bsh_target_model_t;

typedef struct {
	const char *target;
	uint64_t incarnation;
	bool leaving;
	uint32_t memory_total_mib;
	uint32_t memory_used_mib;
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	const bsh_target_model_t *models;
	size_t model_count;
	int64_t began_us; /* when the poll was sent, on the now_us clock */
} bsh_target_status_t;

/* Requests of a router that wait for a model without a ready target. */
typedef struct {
	uint64_t id; /* chosen by the caller; returned in answers */
	const char *model;
	const char *zone; /* of the router, or NULL */
	int64_t deadline_us;
	uint8_t priority;
	uint32_t count; /* requests, at least 1 */
} bsh_demand_t;

typedef enum {
	BSH_DEMAND_READY = 0,
	BSH_DEMAND_LOADING, /* ready_us is set; READY or REFUSED follows */
	BSH_DEMAND_REFUSED  /* not run; retry_after_ms is set */
} bsh_demand_result_t;

typedef struct {
	uint64_t id;
	const char *model;
	bsh_demand_result_t result;
	int64_t ready_us; /* LOADING: estimated time of readiness */
	uint32_t retry_after_ms;
	bsh_error_t error; /* REFUSED: CAPACITY, DEADLINE, STORE, ... */
	const char *reason;
} bsh_demand_answer_t;

/* Complete set of ready targets of a model in a cell; replaces an earlier set
 * with a lower (epoch, sequence). */
typedef struct {
	const char *cell;
	const char *model;
	uint64_t epoch;
	uint64_t sequence;
	const char *const *targets;
	const uint64_t *incarnations; /* of the targets */
	size_t count;
} bsh_loader_route_t;

/* An event for the time line.  Unused fields are NULL or 0. */
typedef struct {
	const char *kind; /* "bind", "load", "unload", "ready", "free", ... */
	const char *cell;
	const char *model;
	uint32_t index;
	const char *target;
	bsh_attempt_id_t attempt;
	uint64_t fence;
	uint64_t epoch;
	const char *reason;
} bsh_loader_event_t;

typedef struct {
	/* Read cell/<cell>; answer with bsh_loader_read_result(). */
	void (*read)(void *ctx, const char *cell);
	/* Update cell/<cell> if its version is base_version (0: must not
	 * exist); answer with bsh_loader_update_result(). */
	void (*update)(void *ctx, const char *cell, uint64_t base_version,
		       const char *value);
	/* Send an order; answer with bsh_loader_order_result(). */
	void (*order)(void *ctx, const bsh_loader_order_t *order);
	/* Poll the target's status at once.  May be NULL. */
	void (*poll)(void *ctx, const char *target);
	/* Replace the ready targets of a model.  May be NULL. */
	void (*route)(void *ctx, const bsh_loader_route_t *route);
	void (*answer)(void *ctx, const bsh_demand_answer_t *answer);
	/* May be NULL. */
	void (*event)(void *ctx, const bsh_loader_event_t *event);
} bsh_loader_ops_t;

typedef struct {
	/* Store calls and their results; lost: updates without an answer. */
	uint64_t reads, updates, conflicts, lost, unavailable;
	uint64_t loads, unloads, stale_fences, load_failures;
	uint64_t takeovers, handovers, quarantines, evictions, prefetches;
	uint64_t demands, refused, rejected;
	/* Load orders by the copy that the load is expected to use. */
	uint64_t loads_memory, loads_disk, loads_remote;
} bsh_loader_counts_t;

typedef struct {
	bsh_loader_config_t config;
	const bsh_loader_ops_t *ops;
	void *ctx;
	bsh_placement_t placement;
	bsh_loader_counts_t counts;
	uint64_t generation;
	bool is_config_fresh; /* the configuration is confirmed as current */
	bool is_draining;
	int64_t now_us;
	GHashTable *pools, *models, *cells, *instances, *targets; /* by name */
	GHashTable *queued_models; /* names: with demands, or prefetched */
	GHashTable *bindings; /* attempt id to local state of the binding */
	GHashTable *orders;   /* id to order in flight */
	GHashTable *demands;  /* id to waiting demand */
	GArray *members;      /* live controllers and since when */
	uint64_t next_order, next_random;
	uint64_t list_sequence; /* number of the latest platform list */
	uint64_t ranks_version; /* rises when ranks of candidates may change */
	int64_t next_purge_us;	/* of bindings without a slot */
	int64_t started_us;	/* first run of this process, -1 before */
	double loads_per_s;	/* of the weight store, for all owners */
	uint32_t concurrent;	/* loads from the weight store, all owners */
} bsh_loader_t;

void bsh_loader_init(bsh_loader_t *loader, const bsh_loader_config_t *config,
		     const bsh_loader_ops_t *ops, void *ctx);
void bsh_loader_finish(bsh_loader_t *loader);

/* bsh_loader_set_document - a document with a lower generation is rejected. */
void bsh_loader_set_document(bsh_loader_t *loader,
			     const bsh_loader_document_t *document,
			     int64_t now_us);

/* bsh_loader_set_config_fresh - whether the configuration is confirmed as
 * current.  While it is not, no slot is bound.  Initially true. */
void bsh_loader_set_config_fresh(bsh_loader_t *loader, bool is_fresh,
				 int64_t now_us);

/* bsh_loader_set_instances - a complete platform list, read at now_us. */
void bsh_loader_set_instances(bsh_loader_t *loader,
			      const bsh_loader_instance_t *items, size_t count,
			      int64_t now_us);

/*
 * bsh_loader_set_members - the complete set of live controllers according to
 * membership, including this process and without leaving ones.  It affects
 * the choice of the owner only; safety does not depend on it.
 */
void bsh_loader_set_members(bsh_loader_t *loader, const bsh_sender_t *live,
			    size_t count, int64_t now_us);

void bsh_loader_read_result(bsh_loader_t *loader, const char *cell,
			    bsh_store_result_t result, uint64_t version,
			    const char *value, size_t length, int64_t now_us);

/* bsh_loader_update_result - version is that of the new value (OK). */
void bsh_loader_update_result(bsh_loader_t *loader, const char *cell,
			      bsh_store_result_t result, uint64_t version,
			      int64_t now_us);

/* bsh_loader_order_result - for STALE_FENCE, fence is the target's. */
void bsh_loader_order_result(bsh_loader_t *loader, uint64_t id,
			     bsh_order_result_t result, uint64_t fence,
			     int64_t now_us);

/* bsh_loader_update_status - a status that is older than the latest one, by
 * incarnation or start of its poll, is ignored. */
void bsh_loader_update_status(bsh_loader_t *loader,
			      const bsh_target_status_t *status,
			      int64_t now_us);

/* bsh_loader_set_leaving - a target is leaving, from any source.  No new slot
 * is bound there, and it is removed from the routes. */
void bsh_loader_set_leaving(bsh_loader_t *loader, const char *target,
			    uint64_t incarnation, int64_t now_us);

/*
 * bsh_loader_set_copy - where a target has a copy of a model.  Without this
 * call, a disk copy is assumed on each target that has loaded the model, also
 * in an earlier incarnation.
 */
void bsh_loader_set_copy(bsh_loader_t *loader, const char *target,
			 const char *model, bsh_copy_t copy);

/*
 * bsh_loader_add_demand - answered at once through ops->answer (READY, LOADING
 * or REFUSED); after LOADING a final READY or REFUSED follows by the deadline.
 * A demand for a cell of another owner is refused with BSH_ERR_REFUSED; call
 * bsh_loader_owner() first.
 */
void bsh_loader_add_demand(bsh_loader_t *loader, const bsh_demand_t *demand,
			   int64_t now_us);

/* bsh_loader_cancel_demand - the requests of a demand no longer wait. */
void bsh_loader_cancel_demand(bsh_loader_t *loader, uint64_t id,
			      int64_t now_us);

/*
 * bsh_loader_report_use - started is the number of requests of the model that
 * began since the last call, running the number that run or wait now, over all
 * routers that report to this process.  If either is above 0, the model counts
 * as in use for 5 s, so the call must be repeated sooner; with both 0 the use
 * ends at once.
 */
void bsh_loader_report_use(bsh_loader_t *loader, const char *model,
			   uint32_t started, uint32_t running, int64_t now_us);

void bsh_loader_tick(bsh_loader_t *loader, int64_t now_us);

/* bsh_loader_next_us - when the next tick is due. */
int64_t bsh_loader_next_us(const bsh_loader_t *loader);

/* bsh_loader_request_read - read a cell soon, after a HANDOVER message. */
void bsh_loader_request_read(bsh_loader_t *loader, const char *cell,
			     int64_t now_us);

/* bsh_loader_drain - hand over all cells and claim none from now on. */
void bsh_loader_drain(bsh_loader_t *loader, int64_t now_us);

/* bsh_loader_is_drained - whether the drain is complete: no cell is owned, this
 * process is holder of no slot, and no order or update is in flight. */
bool bsh_loader_is_drained(const bsh_loader_t *loader);

/*
 * bsh_loader_owner - the owner, as last observed, of the cell of the model's
 * slot 0.  If it has none or its owner is gone, the preferred owner among the
 * live controllers; false if there is none.  owner may be this process.
 */
bool bsh_loader_owner(const bsh_loader_t *loader, const char *model,
		      bsh_sender_t *owner);

/* bsh_loader_owner_at - same for another slot index of the model. */
bool bsh_loader_owner_at(const bsh_loader_t *loader, const char *model,
			 uint32_t index, bsh_sender_t *owner);

/* bsh_loader_owns - whether this process owns the cell, as last observed. */
bool bsh_loader_owns(const bsh_loader_t *loader, const char *cell);

/* bsh_loader_reissue_routes - call ops->route again for every model with a
 * slot in an owned cell. */
void bsh_loader_reissue_routes(bsh_loader_t *loader);

#endif
