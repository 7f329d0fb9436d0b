#ifndef BSH_NAIVE_LOADS_H
#define BSH_NAIVE_LOADS_H

/*
 * NAME
 *	naive_loads - loads as a competent person writes them first
 *
 * DESCRIPTION
 *	The holder of a lease in the store loads what it misses on any target
 *	with room, after what the targets' statuses and its own memory say.
 *	Memory counts as free once the unload is ordered.  A load that does
 *	not come up in time is tried on another target.
 */

#include "coordination/loader.h"

#define NAIVE_MODELS_MAX 64

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char version[BSH_CELL_NAME_SIZE];
	char target[BSH_CELL_NAME_SIZE]; /* "" when not loaded by us */
	uint32_t memory_mib;
	uint32_t max_replicas;
	int64_t ordered_us;
	int64_t used_us;
	bool is_ready;
	bool is_wanted;
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
	GArray *targets;
	bool is_busy; /* a store call is in flight */
	uint64_t version;
	int64_t lease_until_us; /* own lease, by own clock */
	uint64_t seen_renewal;
	int64_t seen_us;
	uint64_t next_order;
	int64_t next_io_us;
	int64_t keep_us;
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
