#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

/*
 * NAME
 *	stand - a small deployment for the cases of the review
 *
 * DESCRIPTION
 *	The platform's store and the callers are those of
 *	regress/support/platform_rig.  The workers are engines of this file:
 *	they load models in the time that the configuration states, carry out
 *	one order at a time, check `expected`, do not check fences, write their
 *	entry each heartbeat, and keep a record of each order.  Instances run
 *	the command of deploy/system.toml with settings that are filled in from
 *	deploy/berylshunt.conf.in.  The working directory is the root of the
 *	repository.
 *
 * ERRORS
 *	A failed start ends the process with status 2.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "support/platform_rig.h"
#include "support/relay.h"

/* Bounds as on the users' sheets. */
#define STAND_LEASE_MS	   3000
#define STAND_DRAIN_MS	   2000
#define STAND_GRACE_S	   8
#define STAND_HEARTBEAT_MS 1200
#define STAND_ENGINES_MAX  6

typedef struct stand stand_t;

/* An order as an engine received it. */
typedef struct {
	int64_t at_ms; /* since the start of the case */
	char engine[32];
	char holder[64];
	uint64_t fence;
	bool load;
	char model[32];
	char adapter[16];
	uint64_t expected;
	char result[24];
} stand_order_t;

typedef struct {
	stand_t *stand;
	char id[32];
	char service[32];
	char address[32];
	char zone[16];
	char version[16]; /* of its software */
	bsh_http_server_t *server;
	json_t *models;	 /* loaded models: name to list of adapters */
	json_t *copies;	 /* names of the models of which it keeps weights */
	uint64_t orders; /* accepted since its start */
	uint64_t started_ms;
	uint64_t beats;
	bool registered;
	bsh_loop_timer_t beat_timer;
	/* The load that runs; empty: none. */
	char loading[32];
	/* The model that is dropped when its runs have ended; empty: none. */
	char unloading[32];
	GHashTable *runs; /* model to number of its runs */
	bsh_loop_timer_t load_timer;
	bsh_loop_timer_t start_timer;
	bool leaving;
	char next_version[16]; /* with which it starts again */
	uint32_t down_ms;      /* between its end and its start */
	uint32_t overloads;    /* orders to hold more than it has room for */
	/* Orders get no answer, and are carried out this long after if their
	 * condition still holds; 0: they are answered at once. */
	uint32_t late_ms;
	uint32_t late_loads_ms; /* the same for orders to load alone */
	GPtrArray *late;	/* of late_order_t */
	/* It sends nothing before this time; loop clock. */
	int64_t silent_until_us;
	uint32_t work_ms;  /* from a request to its first event */
	uint32_t gap_ms;   /* between events */
	uint32_t n_events; /* of a stream */
} stand_engine_t;

struct stand {
	platform_rig_t rig;
	stand_engine_t engines[STAND_ENGINES_MAX];
	uint32_t n_engines;
	GArray *orders; /* stand_order_t */
	FILE *record;
	int64_t began_us;
	bool trouble; /* TROUBLE is not 0 */
	uint32_t load_ms;
	char gossip[RIG_ENTRIES_MAX][32]; /* addresses for datagrams */
	char key[65];			  /* of the deployment, in hex */
};

/* stand_init - open the record and start the store. */
void stand_init(stand_t *stand, const char *record_path);
void stand_finish(stand_t *stand);

/* stand_log - write a line with the time to the record. */
void stand_log(stand_t *stand, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
int64_t stand_now_ms(const stand_t *stand);

/* stand_configure - write the next version of the configuration.  services: JSON
 * of the services, routes: JSON of the routes. */
void stand_configure(stand_t *stand, const char *routes, const char *services);
/* stand_route - JSON of a route; free with g_free(). */
char *stand_route(const char *name, const char *kind, const char *service,
		  uint32_t max_attempts, bool resumable, uint32_t timeout_ms,
		  uint32_t aim_ms);
/* stand_service - JSON of a service whose engines have these models, which are
 * named m0, m1, ... from first on. */
char *stand_service(const stand_t *stand, const char *name, uint32_t first,
		    uint32_t n_models);

stand_engine_t *stand_add_engine(stand_t *stand, const char *service,
				 const char *const *models);
/* stand_crash_engine - end the engine's process; it starts again under its id and
 * address after this time, empty, with its copies on disk. */
void stand_crash_engine(stand_engine_t *engine, uint32_t down_ms);
/* stand_replace_engine - the engine drains, leaves, and starts again under its id
 * and address with another software version. */
void stand_replace_engine(stand_engine_t *engine, const char *version,
			  uint32_t drain_ms, uint32_t down_ms);
/* stand_ip - loopback address of a host of this deployment; host: 10 to 99. */
void stand_ip(uint32_t host, char *ip, size_t size);
/* stand_add_instance - start an instance.  store: address at which it calls the
 * store; NULL: that of the store itself. */
rig_entry_t *stand_add_instance(stand_t *stand, const char *store);
void stand_wait_ready(stand_t *stand, uint32_t n);

/* stand_holder - name of the instance that holds the order lease, or "". */
const char *stand_holder(const stand_t *stand);
rig_entry_t *stand_instance(stand_t *stand, const char *name);
bool stand_is_running(stand_t *stand, const rig_entry_t *entry);

#endif
