#ifndef BSH_PROTOCOL_ENGINE_CLIENT_H
#define BSH_PROTOCOL_ENGINE_CLIENT_H

/*
 * NAME
 *	engine_client - client of the control interface of model engines
 *
 * DESCRIPTION
 *	Used by the controller to load and unload models and to read an
 *	engine's status (design, section 5.3).  Requests of callers reach
 *	engines through the router instead.
 *
 *	An order contains a fencing token, so that an engine can refuse the
 *	orders of a former owner, and an attempt id, so that the same order
 *	may be sent again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "protocol/call.h"

#define BSH_ENGINE_CALL_TIMEOUT_MS   2000
#define BSH_ENGINE_STATUS_TIMEOUT_MS 1000

typedef struct {
	const char *model;
	const char *version;
	const char *base;    /* base model of an adapter, "" for a model */
	const char *attempt; /* attempt id */
	uint64_t fence;	     /* fencing token of the owner */
	uint32_t memory_mib; /* to be reserved, load only */
} bsh_engine_order_t;

typedef struct {
	bsh_call_result_t result;
	bool sent;	  /* false: no byte left this process */
	bool stale_fence; /* CONFLICT: the target has seen a higher fence */
	uint64_t fence;	  /* that higher fence, if stale_fence */
	bool no_memory;	  /* REFUSED with 507: not enough free memory */
} bsh_engine_answer_t;

typedef void (*bsh_engine_fn_t)(void *ctx, const bsh_engine_answer_t *answer);

void bsh_engine_load(bsh_json_client_t *client, const char *address,
		     const bsh_engine_order_t *order, bsh_engine_fn_t fn,
		     void *ctx);
void bsh_engine_unload(bsh_json_client_t *client, const char *address,
		       const bsh_engine_order_t *order, bsh_engine_fn_t fn,
		       void *ctx);

typedef enum {
	BSH_ENGINE_LOADING = 0,
	BSH_ENGINE_READY,
	BSH_ENGINE_UNLOADING
} bsh_engine_model_state_t;

typedef struct {
	const char *model;
	const char *version;
	const char *attempt; /* of the order that loaded it, "" if unreported */
	bsh_engine_model_state_t state;
	uint32_t memory_mib; /* 0 if unreported */
} bsh_engine_model_t;

typedef struct {
	const char *name;
	uint64_t incarnation;
	bool leaving;
	uint32_t memory_total_mib;
	uint32_t memory_used_mib;
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	const bsh_engine_model_t *models;
	size_t model_count;
	int64_t began_us; /* start of the status call, bsh_loop_clock_us() */
} bsh_engine_status_t;

/* status is NULL unless the whole answer is valid; it is valid during the call
 * only. */
typedef void (*bsh_engine_status_fn_t)(void *ctx,
				       const bsh_engine_status_t *status);

void bsh_engine_status(bsh_json_client_t *client, const char *address,
		       bsh_engine_status_fn_t fn, void *ctx);

#endif
