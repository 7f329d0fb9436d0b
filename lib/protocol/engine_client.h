#ifndef BSH_PROTOCOL_ENGINE_CLIENT_H
#define BSH_PROTOCOL_ENGINE_CLIENT_H

/*
 * NAME
 *	engine_client - orders to a model engine and its status (section 5.3)
 *
 * DESCRIPTION
 *	Requests of callers go to engines through the router; this client is
 *	for the controller.  Orders carry a fence and an attempt id, so the
 *	same order may be sent again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "protocol/call.h"

#define BSH_ENGINE_CALL_TIMEOUT_MS   2000
#define BSH_ENGINE_STATUS_TIMEOUT_MS 1000

typedef struct {
	const char *model;
	const char *version;
	const char *base; /* "" unless an adapter */
	const char *attempt;
	uint64_t fence;
	uint32_t memory_mib;
} bsh_engine_order_t;

typedef struct {
	bsh_call_result_t result;
	bool sent;	  /* false: nothing left this process */
	bool stale_fence; /* CONFLICT: the target saw a higher fence */
	uint64_t fence;	  /* that fence */
	bool no_memory;	  /* REFUSED: 507 */
} bsh_engine_answer_t;

typedef void (*bsh_engine_fn_t)(void *ctx, const bsh_engine_answer_t *answer);

void bsh_engine_load(bsh_json_client_t *caller, const char *address,
		     const bsh_engine_order_t *order, bsh_engine_fn_t fn,
		     void *ctx);
void bsh_engine_unload(bsh_json_client_t *caller, const char *address,
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
	const char *attempt; /* "" if the engine does not tell */
	bsh_engine_model_state_t state;
	uint32_t memory_mib; /* 0 if the engine does not tell */
} bsh_engine_model_t;

typedef struct {
	const char *name;
	uint64_t incarnation;
	bool leaving;
	uint32_t memory_total_mib;
	uint32_t memory_used_mib;
	uint32_t running;
	uint32_t waiting;
	const bsh_engine_model_t *models;
	size_t model_count;
	int64_t began_us; /* when the question was sent */
} bsh_engine_status_t;

/* status is NULL unless the answer is complete; valid during the call. */
typedef void (*bsh_engine_status_fn_t)(void *ctx,
				       const bsh_engine_status_t *status);

void bsh_engine_status(bsh_json_client_t *caller, const char *address,
		       bsh_engine_status_fn_t fn, void *ctx);

#endif
