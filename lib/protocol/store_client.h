#ifndef BSH_PROTOCOL_STORE_CLIENT_H
#define BSH_PROTOCOL_STORE_CLIENT_H

/*
 * NAME
 *	store_client - the platform's object service (design, section 5.2)
 *
 * DESCRIPTION
 *	Each call reports one bsh_store_answer_t.  An update that ends as
 *	BSH_CALL_UNKNOWN may have taken effect: the caller reads back.
 *	Calls are never repeated here.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "protocol/call.h"

#define BSH_STORE_CALL_TIMEOUT_MS 3000
/* An unchanged list is reported again after this time. */
#define BSH_STORE_LIST_RESYNC_US INT64_C(5000000)

typedef struct {
	bsh_call_result_t result;
	int status;
	uint64_t version;    /* DONE, and CONFLICT if the store told it */
	const json_t *value; /* of a read that is DONE */
	uint32_t retry_after_ms;
	int64_t began_us;
} bsh_store_answer_t;

typedef void (*bsh_store_fn_t)(void *ctx, const bsh_store_answer_t *answer);

typedef struct {
	const char *name;
	uint64_t incarnation;
	const char *kind; /* "entry", "engine" or "service" */
	const char *pool;
	const char *zone;
	const char *address;
	const char *control;
	uint32_t memory_mib;
	const char *state; /* "live", "leaving" or "gone" */
} bsh_store_instance_t;

/* items is NULL unless result is BSH_CALL_DONE; valid during the call.
 * BSH_CALL_UNCHANGED: as reported last, which was lately. */
typedef void (*bsh_store_list_fn_t)(void *ctx, bsh_call_result_t result,
				    const bsh_store_instance_t *items,
				    size_t count, int64_t began_us);

typedef struct {
	bsh_json_client_t *caller;
	char address[BSH_ADDRESS_SIZE];
	uint64_t reads;
	uint64_t writes;
	json_t *list; /* instances by name, as last read */
	uint64_t list_version;
	int64_t list_reported_us;
} bsh_store_client_t;

/* bsh_store_client_init - caller must outlive the client. */
void bsh_store_client_init(bsh_store_client_t *store, bsh_json_client_t *caller,
			   const char *address);
void bsh_store_client_finish(bsh_store_client_t *store);

void bsh_store_get(bsh_store_client_t *store, const char *kind,
		   const char *name, bsh_store_fn_t fn, void *ctx);

/* bsh_store_watch - DONE once the version is above the one given; UNCHANGED
 * after timeout_ms. */
void bsh_store_watch(bsh_store_client_t *store, const char *kind,
		     const char *name, uint64_t version, uint32_t timeout_ms,
		     bsh_store_fn_t fn, void *ctx);

/* bsh_store_put - conditional update; version 0: must not exist.  value is the
 * JSON text of the new value. */
void bsh_store_put(bsh_store_client_t *store, const char *kind,
		   const char *name, uint64_t version, const char *value,
		   size_t size, bsh_store_fn_t fn, void *ctx);

void bsh_store_delete(bsh_store_client_t *store, const char *kind,
		      const char *name, uint64_t version, bsh_store_fn_t fn,
		      void *ctx);

/*
 * bsh_store_instances - the platform's list.  Only what changed since the last
 * call is transferred: the whole list of a large fleet, read each second, would
 * cost a node far more than its share of traffic.  A list with a malformed item
 * is UNKNOWN as a whole and changes nothing.
 */
void bsh_store_instances(bsh_store_client_t *store, bsh_store_list_fn_t fn,
			 void *ctx);

#endif
