#ifndef BSH_STATE_CATALOG_H
#define BSH_STATE_CATALOG_H

/*
 * NAME
 *	catalog - one accepted configuration: routes, services and models
 *
 * DESCRIPTION
 *	A catalog is built once by the platform's decoder and is immutable
 *	afterwards.  It is shared between threads by counted references.
 *
 *	Names of models and adapters are compared by their 32-bit hash
 *	(bsh_catalog_hash()); 0 is never a hash, and stands for "none".
 *
 * UNITS
 *	Times are milliseconds, sizes of weights megabytes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

typedef enum {
	BSH_KIND_REPEATABLE = 0, /* may run more than once */
	BSH_KIND_AT_MOST_ONCE,		 /* runs at most once for each attempt */
	BSH_KIND_STREAM		 /* events; repeatable only when resumable */
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
	uint32_t timeout_ms; /* longest time to the end of the answer */
	uint32_t latency_objective_ms;  /* latency objective */
	uint32_t event_gap_ms;     /* longest pause between events; 0: none */
	uint32_t priority;   /* 0 is the most urgent */
	uint32_t max_attempts;
	bool sticky;	/* requests carry a model and prompt parts */
	bool resumable; /* a stream may continue on another target */
	GArray *splits; /* bsh_route_split_t, at least one */
} bsh_route_rule_t;

typedef struct {
	char *name;
	uint32_t hash;
	uint32_t weights_mb;
	uint32_t adapters; /* named a1, a2, ... */
	uint32_t adapter_mb;
	uint32_t load_ms; /* from the weight store */
	uint32_t disk_load_ms; /* from a copy on the target's disk */
	uint32_t memory_load_ms; /* from a copy in the target's host memory */
} bsh_model_rule_t;

typedef struct {
	char *name;
	uint32_t max_connections; /* of one target, from all callers */
	bool has_engine;
	uint32_t slots;		/* requests in one batch of a target */
	uint32_t kv_capacity_tokens;	/* memory of one target */
	uint32_t weights_mb;	/* of one target */
	uint32_t adapter_slots; /* of one target */
	double loads_per_s;	/* from the weight store, all targets */
	GArray *models;		/* bsh_model_rule_t */
	GHashTable *by_hash;	/* hash to index + 1 */
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
} bsh_catalog_t;

bsh_catalog_t *bsh_catalog_new(void);
bsh_catalog_t *bsh_catalog_ref(bsh_catalog_t *catalog);
void bsh_catalog_unref(bsh_catalog_t *catalog);

/* bsh_catalog_add_service - returns the service to be filled in. */
bsh_service_rule_t *bsh_catalog_add_service(bsh_catalog_t *catalog,
					    const char *name);
/* bsh_service_add_model - the name is copied and its hash set. */
void bsh_service_add_model(bsh_service_rule_t *service, const char *name,
			   const bsh_model_rule_t *model);
/* bsh_catalog_add_route - returns the route to be filled in. */
bsh_route_rule_t *bsh_catalog_add_route(bsh_catalog_t *catalog,
					const char *name, const char *host,
					const char *path_prefix);
/* bsh_catalog_seal - builds the index of routes; call once, at the end. */
void bsh_catalog_build_index(bsh_catalog_t *catalog);

/* bsh_catalog_service - index of a service by name, or -1. */
int32_t bsh_catalog_service(const bsh_catalog_t *catalog, const char *name);
const bsh_service_rule_t *bsh_catalog_service_at(const bsh_catalog_t *catalog,
						 uint32_t index);
const bsh_model_rule_t *bsh_service_model(const bsh_service_rule_t *service,
					  uint32_t hash);

/*
 * bsh_catalog_match - the route of a host with the longest prefix that begins
 * the path, or NULL.  A port behind the host is ignored.
 */
const bsh_route_rule_t *bsh_catalog_match(const bsh_catalog_t *catalog,
					  const char *host, const char *path);

/* bsh_catalog_hash - hash of a model's or adapter's name; never 0. */
uint32_t bsh_catalog_hash(const char *name, size_t size);

#endif
