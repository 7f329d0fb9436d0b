#ifndef BSH_NAIVE_LOADS_H
#define BSH_NAIVE_LOADS_H

/*
 * NAME
 *	naive_loads - straightforward placement controller
 *
 * DESCRIPTION
 *	The baseline of prove_loads, as a competent engineer writes it first.
 *	The holder of a lease in the store loads each requested model that is
 *	not loaded, on the live target with the most free memory according to
 *	its own record of its orders and the targets' statuses.
 *	Memory counts as free as soon as the unload is ordered.  A load that
 *	is not ready in time is retried on another target.  At most one
 *	replica of a model is recorded.
 *
 *	The functions take the same inputs as those of coordination/loader.h.
 *
 * UNITS
 *	Times are microseconds of the process's own clock.
 */

#include "coordination/loader.h"

#define NAIVE_MODELS_MAX 64

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char version[BSH_CELL_NAME_SIZE];
	/* Target that has or loads the model by this record, or "". */
	char target[BSH_CELL_NAME_SIZE];
	uint32_t memory_mib;
	uint32_t max_replicas;
	int64_t ordered_us; /* latest load order, or takeover */
	int64_t used_us;    /* latest demand */
	bool is_ready;
	bool is_wanted; /* requested while not ready */
} naive_model_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	uint32_t memory_mib;
	bool is_live;
} naive_target_t;

typedef struct {
	bsh_loader_config_t config;
	const bsh_loader_ops_t *ops;
	void *ctx;
	char cell[BSH_CELL_NAME_SIZE];
	naive_model_t models[NAIVE_MODELS_MAX];
	size_t model_count;
	GArray *targets;	 /* naive_target_t, latest platform list */
	bool is_busy;		 /* a store call is in flight */
	uint64_t version;	 /* of the lease object, last observed; also the
				 * fence of orders */
	int64_t lease_until_us;	 /* end of the own lease */
	uint64_t seen_renewal;	 /* unused */
	int64_t version_seen_us; /* when version was first read, -1: never */
	uint64_t next_order;	 /* order id */
	/* When the next store call is due; during a call, when it began. */
	int64_t next_io_us;
	int64_t idle_max_us; /* an unused model is unloaded after this */
} naive_loads_t;

void naive_loads_init(naive_loads_t *n, const bsh_loader_config_t *config,
		      const bsh_loader_ops_t *ops, void *ctx);
void naive_loads_finish(naive_loads_t *n);
void naive_loads_set_document(naive_loads_t *n, const bsh_loader_document_t *d,
			      int64_t now_us);
void naive_loads_set_instances(naive_loads_t *n,
			       const bsh_loader_instance_t *items, size_t count,
			       int64_t now_us);
void naive_loads_read_result(naive_loads_t *n, bsh_store_result_t result,
			     uint64_t version, const char *value,
			     int64_t now_us);
void naive_loads_update_result(naive_loads_t *n, bsh_store_result_t result,
			       uint64_t version, int64_t now_us);
void naive_loads_update_status(naive_loads_t *n,
			       const bsh_target_status_t *status,
			       int64_t now_us);
void naive_loads_add_demand(naive_loads_t *n, const bsh_demand_t *demand,
			    int64_t now_us);
void naive_loads_tick(naive_loads_t *n, int64_t now_us);

#endif
