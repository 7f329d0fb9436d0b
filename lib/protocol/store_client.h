#ifndef BSH_PROTOCOL_STORE_CLIENT_H
#define BSH_PROTOCOL_STORE_CLIENT_H

/*
 * NAME
 *	store_client - client of the platform's object store
 *
 * DESCRIPTION
 *	Reads, watches and conditionally updates versioned objects, and lists
 *	the instances (design, section 5.2).  Each call reports one
 *	bsh_store_answer_t.  An update that ends as BSH_CALL_UNKNOWN may have
 *	taken effect; the object has to be read to find out.  Calls are never
 *	repeated here.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "protocol/call.h"

#define BSH_STORE_CALL_TIMEOUT_MS 3000
/* Interval at which an unchanged list is reported in full again. */
#define BSH_STORE_LIST_RESYNC_US INT64_C(5000000)

typedef struct {
	bsh_call_result_t result;
	int status;	     /* HTTP status, 0: none received */
	uint64_t version;    /* DONE, and CONFLICT if the store reported it */
	const json_t *value; /* DONE: of a read; valid in the callback only */
	uint32_t retry_after_ms; /* 0: none */
	int64_t began_us;	 /* start of the call, bsh_loop_clock_us() */
} bsh_store_answer_t;

typedef void (*bsh_store_fn_t)(void *ctx, const bsh_store_answer_t *answer);

typedef struct {
	const char *name;
	uint64_t incarnation;
	const char *kind; /* "entry", "engine" or "service" */
	const char *pool;
	const char *zone;
	const char *address; /* IP:port for requests */
	const char *control; /* IP:port of the control interface, may be "" */
	uint32_t memory_mib; /* 0 if not listed */
	const char *state;   /* "live", "leaving" or "gone" */
} bsh_store_instance_t;

/* items is NULL unless result is BSH_CALL_DONE; valid during the call.
 * BSH_CALL_UNCHANGED: the list is still the one reported last, at most
 * BSH_STORE_LIST_RESYNC_US ago. */
typedef void (*bsh_store_list_fn_t)(void *ctx, bsh_call_result_t result,
				    const bsh_store_instance_t *items,
				    size_t count, int64_t began_us);

typedef struct {
	bsh_json_client_t *client;
	char address[BSH_ADDRESS_SIZE];
	uint64_t reads;		  /* calls started, for the counters */
	uint64_t writes;	  /* likewise */
	json_t *list;		  /* cached instances, by name */
	uint64_t list_version;	  /* of the cache, 0: request the whole list */
	int64_t list_reported_us; /* start of the call last reported in full */
} bsh_store_client_t;

/* bsh_store_client_init - client must outlive store. */
void bsh_store_client_init(bsh_store_client_t *store, bsh_json_client_t *client,
			   const char *address);
void bsh_store_client_finish(bsh_store_client_t *store);

void bsh_store_get(bsh_store_client_t *store, const char *kind,
		   const char *name, bsh_store_fn_t fn, void *ctx);

/* bsh_store_watch - long poll: DONE once the object's version exceeds version,
 * UNCHANGED after timeout_ms. */
void bsh_store_watch(bsh_store_client_t *store, const char *kind,
		     const char *name, uint64_t version, uint32_t timeout_ms,
		     bsh_store_fn_t fn, void *ctx);

/* bsh_store_put - update the object if it still has this version; 0: create it
 * if it does not exist.  value is JSON text. */
void bsh_store_put(bsh_store_client_t *store, const char *kind,
		   const char *name, uint64_t version, const char *value,
		   size_t size, bsh_store_fn_t fn, void *ctx);

/* bsh_store_delete - delete the object if it still has this version. */
void bsh_store_delete(bsh_store_client_t *store, const char *kind,
		      const char *name, uint64_t version, bsh_store_fn_t fn,
		      void *ctx);

/*
 * bsh_store_instances - read the platform's list of instances.  Only changes
 * since the last call are transferred: reading the whole list of a large fleet
 * each second would cost a node far more than its share of traffic.  An answer
 * with a malformed item ends as UNKNOWN and leaves the cached list unchanged.
 */
void bsh_store_instances(bsh_store_client_t *store, bsh_store_list_fn_t fn,
			 void *ctx);

#endif
