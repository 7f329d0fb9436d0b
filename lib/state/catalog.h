#ifndef BSH_STATE_CATALOG_H
#define BSH_STATE_CATALOG_H

/*
 * NAME
 *	catalog - configuration snapshot: route table, services and models
 *
 * DESCRIPTION
 *	A catalog is built once by the platform's decoder and is immutable
 *	afterwards.  Threads share it by atomic reference counting.
 *
 *	Models and adapters are identified by the 32-bit hash of their name
 *	(bsh_catalog_hash()).  The hash is never 0; 0 stands for none.
 *
 * UNITS
 *	Times in milliseconds, sizes of weights in megabytes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "state/account.h"

typedef enum {
	BSH_KIND_REPEATABLE = 0, /* may be executed more than once */
	BSH_KIND_AT_MOST_ONCE,	 /* executed at most once for each attempt */
	BSH_KIND_STREAM		 /* event stream; repeatable if resumable */
} bsh_route_kind_t;

typedef struct {
	uint32_t service; /* index into the catalog's services */
	uint32_t weight;
} bsh_route_split_t;

typedef struct {
	char *name;
	char *host;
	char *path_prefix;
	size_t prefix_bytes;
	bsh_route_kind_t kind;
	uint32_t timeout_ms;	       /* until the end of the response */
	uint32_t latency_objective_ms; /* timeout_ms if not configured */
	uint32_t event_gap_ms; /* longest pause between events; 0: not set */
	uint32_t priority;     /* 0 is the most urgent */
	uint32_t max_attempts; /* at least 1 */
	bool sticky;	       /* requests carry a model and prompt parts */
	bool resumable;	       /* a stream may continue on another target */
	bool anonymous;	       /* requests need no key of a client account */
	GArray *splits;	       /* bsh_route_split_t, at least one */
} bsh_route_rule_t;

typedef struct {
	char *name;
	uint32_t hash;
	uint32_t weights_mb;
	uint32_t adapters;	 /* number of adapters, named a1, a2, ... */
	uint32_t adapter_mb;	 /* of each adapter */
	uint32_t load_ms;	 /* load time from the weight store */
	uint32_t disk_load_ms;	 /* load time from the target's disk */
	uint32_t memory_load_ms; /* load time from the target's host memory */
} bsh_model_rule_t;

typedef struct {
	char *name;
	uint32_t max_connections;    /* of one target, from all callers */
	bool has_engine;	     /* serves models; the rest applies then */
	uint32_t slots;		     /* requests in one batch of a target */
	uint32_t kv_capacity_tokens; /* KV cache of one target */
	uint32_t weights_mb;	     /* memory for weights of one target */
	uint32_t adapter_slots;	     /* adapters that one target can hold */
	double loads_per_s;  /* from the weight store, over all targets */
	GArray *models;	     /* bsh_model_rule_t */
	GHashTable *by_hash; /* hash of a model's name to its index + 1 */
} bsh_service_rule_t;

typedef struct {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} bsh_limits_t;

typedef struct {
	gint refs;
	uint64_t version;
	GPtrArray *routes;   /* bsh_route_rule_t */
	GPtrArray *services; /* bsh_service_rule_t */
	GHashTable *hosts;   /* host to GPtrArray, longest prefix first */
	bsh_limits_t limits;
	bsh_accounts_t *accounts; /* NULL: requests need no key */
} bsh_catalog_t;

bsh_catalog_t *bsh_catalog_new(void);
bsh_catalog_t *bsh_catalog_ref(bsh_catalog_t *catalog);
void bsh_catalog_unref(bsh_catalog_t *catalog);

/*
 * bsh_catalog_add_service - add a service, which the caller fills in.  The
 * name is copied; the service belongs to the catalog.
 */
bsh_service_rule_t *bsh_catalog_add_service(bsh_catalog_t *catalog,
					    const char *name);
/* bsh_service_add_model - add a copy of model with the given name and the hash
 * of that name. */
void bsh_service_add_model(bsh_service_rule_t *service, const char *name,
			   const bsh_model_rule_t *model);
/*
 * bsh_catalog_add_route - add a route, which the caller fills in.  The strings
 * are copied; the route belongs to the catalog.
 */
bsh_route_rule_t *bsh_catalog_add_route(bsh_catalog_t *catalog,
					const char *name, const char *host,
					const char *path_prefix);
/*
 * bsh_catalog_build_index - build the index of routes by host.  Call once,
 * after the last route was added.
 */
void bsh_catalog_build_index(bsh_catalog_t *catalog);

/* bsh_catalog_service - index of the service with this name, or -1. */
int32_t bsh_catalog_service(const bsh_catalog_t *catalog, const char *name);
const bsh_service_rule_t *bsh_catalog_service_at(const bsh_catalog_t *catalog,
						 uint32_t index);
const bsh_model_rule_t *bsh_service_model(const bsh_service_rule_t *service,
					  uint32_t hash);

/*
 * bsh_catalog_match - the route of the host with the longest prefix of path,
 * or NULL.  host is compared without case and without its port.
 */
const bsh_route_rule_t *bsh_catalog_match(const bsh_catalog_t *catalog,
					  const char *host, const char *path);

/* bsh_catalog_hash - hash of a model's or adapter's name; never 0. */
uint32_t bsh_catalog_hash(const char *name, size_t size);

/* Adapters of a model are named a1, a2, and so on. */
#define BSH_ADAPTER_NAME_SIZE 16
void bsh_adapter_name(uint32_t number, char name[BSH_ADAPTER_NAME_SIZE]);
uint32_t bsh_adapter_hash(uint32_t number);
/* bsh_adapter_number - number of the adapter with this hash among the first n;
 * 0: it is none of them. */
uint32_t bsh_adapter_number(uint32_t hash, uint32_t n);

/* bsh_route_pick_split - service of the route, by weight. */
uint32_t bsh_route_pick_split(const bsh_route_rule_t *route, uint32_t random);

#endif
