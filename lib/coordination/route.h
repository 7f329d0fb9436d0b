#ifndef BSH_COORDINATION_ROUTE_H
#define BSH_COORDINATION_ROUTE_H

/*
 * NAME
 *	route - choice of a ready target for a warm request
 *
 * DESCRIPTION
 *	Holds the targets, which of them are ready for which model or
 *	service ("key"), what is known of their load and prefix caches, and
 *	chooses a target per request.
 *
  *	The score is the estimated time to the first token: the prefills
 *	ahead at the target, the prefill of this request without the blocks
 *	that are cached there, a little per running request, and a wait for
 *	a slot when the target is full.  Running requests count little: a
 *	decode batch hardly delays a first token, and moving requests away
 *	from their cached prefix because of it costs more than it saves.
 *
 *	Load: what this router has open at the target is known exactly; the
 *	load of others comes from the last report.  The part of others is
 *	moved towards the average of the candidates as the report ages (time
 *	constant BSH_ROUTE_REPORT_TAU_US), so that an old report neither
 *	attracts a herd nor excludes a target for long.  Up to
 *	BSH_ROUTE_SCAN ready targets are all compared; of more, a random
 *	sample is taken and the targets with a matching prefix are added.
 *
 *	Prefix cache: a bounded table maps block hashes to targets.  It
 *	learns from the router's own choices (before any event arrives) and
 *	from the engines' cache events.  After a gap in the events of a
 *	target, what was learnt before the gap counts for less until it is
 *	confirmed again.
 *
 *	Leaving: any source may call bsh_route_leaving().  It holds for that
 *	incarnation and all older ones and never reverts; it is remembered
 *	for targets that are not known yet.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 *
 * ERRORS
 *	bsh_route_choose() fails with
 *	BSH_ERR_NOT_FOUND	no target is ready for the key (cold)
 *	BSH_ERR_CAPACITY	every usable target is at its limit
 *	BSH_ERR_CONNECT		every ready target's breaker is open, or all
 *				were excluded by the request
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"
#include "coordination/breaker.h"

#define BSH_ROUTE_NAME_SIZE	96
#define BSH_ROUTE_ADDRESS_SIZE	64
#define BSH_ROUTE_CANDIDATES_MAX		12 /* compared at most per choice */
#define BSH_ROUTE_MAX_PREFIX	16 /* blocks of a prompt that are hashed */
#define BSH_ROUTE_MAX_EXCLUDED	4
#define BSH_ROUTE_BLOCK_BYTES	1024
#define BSH_ROUTE_REPORT_TAU_US INT64_C(1500000)
/* A queue of prefills changes within one of them, and all routers that believe
 * the same old report move to the same target. */
#define BSH_ROUTE_WAITING_TAU_US INT64_C(10000)
#define BSH_ROUTE_SAMPLES	 8
#define BSH_ROUTE_SAMPLE_INTERVAL_MS	 250 /* least distance of two samples */
#define BSH_ROUTE_NONE		 UINT32_MAX

typedef struct {
	uint32_t max_running;	  /* per target, when it gives none */
	uint32_t max_targets;	  /* records kept, live or leaving */
	uint32_t prefix_entries;  /* rounded up to a power of two */
	uint32_t base_us;	  /* prefill time of a request without blocks */
	uint32_t block_us;	  /* prefill time per block not cached */
	uint32_t spread_us;	  /* scores this close count as equal */
	uint32_t running_us;	  /* delay of a first token per running one */
	uint32_t wait_us;	  /* wait for a slot, per request too many */
	uint32_t zone_penalty_us; /* score of a target in another zone */
	char zone[32];		  /* of this instance */
	uint32_t seed;
} bsh_route_config_t;

/* Number of this router's requests at a target from a time on. */
typedef struct {
	uint32_t at_ms;
	uint16_t open;
	uint16_t pending; /* of these, without a first byte */
} bsh_route_sample_t;

/* One target.  Read-only for users of the module. */
typedef struct {
	char name[BSH_ROUTE_NAME_SIZE];
	char address[BSH_ROUTE_ADDRESS_SIZE];
	uint64_t incarnation;
	uint64_t leaving_incarnation; /* valid when has_left */
	bool known;		      /* false: only leaving is known */
	bool has_left;
	bool same_zone;
	uint32_t max_running;
	uint32_t open;		    /* this router's open requests */
	uint32_t pending;	    /* of these, without a first byte */
	int64_t pending_us;	    /* their estimated prefill time */
	uint32_t reported;	    /* running + waiting, last report */
	uint32_t waiting;	    /* last report */
	uint32_t open_at_report;    /* this router's part of reported */
	uint32_t pending_at_report; /* this router's part of waiting */
	int64_t reported_us;	    /* when it was measured; 0: never */
	int64_t cache_gap_us;	    /* last gap in the cache events */
	uint32_t keys;		    /* number of keys it is ready for */
	bsh_route_sample_t samples[BSH_ROUTE_SAMPLES];
	uint32_t sample_next;
	bsh_breaker_t breaker;
} bsh_route_target_t;

typedef struct {
	uint64_t hash;
	uint32_t target;
	uint32_t seen_ms; /* last use or event, router time */
} bsh_route_prefix_entry_t;

typedef struct {
	bsh_route_config_t config;
	GPtrArray *targets;  /* bsh_route_target_t; an index never changes */
	GHashTable *by_name; /* name -> index + 1 */
	GHashTable *keys;    /* model or service -> ready set */
	bsh_route_prefix_entry_t *prefixes;
	uint32_t prefix_mask;
	uint32_t sweep; /* next record looked at for reuse */
	bsh_rng_t rng;
} bsh_route_t;

typedef struct {
	const char *key; /* model "name@version" or service name */
	uint8_t priority;
	bool repeatable; /* false: not used as a breaker's probe if avoidable */
	const uint64_t *prefix; /* bsh_route_hash_prefix(), or NULL */
	uint32_t prefix_count;
	uint32_t excluded[BSH_ROUTE_MAX_EXCLUDED]; /* tried before */
	uint32_t excluded_count;
} bsh_route_request_t;

typedef struct {
	uint32_t target;       /* index, see bsh_route_target() */
	uint64_t incarnation;  /* the target's, at the time of the choice */
	uint32_t prefix_match; /* leading blocks expected in its cache */
	int64_t cost_us;       /* estimated prefill time; 0 after first byte */
	int64_t retry_us;      /* on BSH_ERR_CONNECT: next probe, or 0 */
} bsh_route_choice_t;

/* bsh_route_config_default - defaults of all fields; zone is empty. */
void bsh_route_config_default(bsh_route_config_t *config);

void bsh_route_init(bsh_route_t *route, const bsh_route_config_t *config);
void bsh_route_finish(bsh_route_t *route);

/*
 * bsh_route_set_target - a target is known (platform's list, ROUTES frame or
 * status).  A new incarnation of a known name resets its load, breaker and
 * open count; an older incarnation is ignored.  max_running 0 means the
 * configured default.
 *
 * ERRORS
 *	BSH_ERR_INVALID, BSH_ERR_CAPACITY (too many targets), BSH_ERR_CONFLICT
 *	(older incarnation, ignored)
 */
bsh_error_t bsh_route_set_target(bsh_route_t *route, const char *name,
				 uint64_t incarnation, const char *address,
				 const char *zone, uint32_t max_running);

/* bsh_route_forget - the platform's list reports this incarnation gone. */
void bsh_route_remove_target(bsh_route_t *route, const char *name,
		      uint64_t incarnation);

/*
 * bsh_route_leaving - some source says that this incarnation is leaving.
 *
 * RETURN VALUE
 *	True if this was news, which the caller passes on to peers.
 */
bool bsh_route_set_leaving(bsh_route_t *route, const char *name,
		       uint64_t incarnation);

bool bsh_route_is_leaving(const bsh_route_t *route, const char *name,
			  uint64_t incarnation);

/*
 * bsh_route_set_ready - the complete set of targets of one cell that are
 * ready for key, with the stamp (epoch, sequence) of the cell's owner.  An
 * older stamp of the same cell is ignored.  The ready set of a key is the
 * union over its cells.  Targets that are not known yet take part once they
 * are.  A key without any ready target is cold.
 *
 * RETURN VALUE
 *	True if the set was taken.
 */
bool bsh_route_set_ready(bsh_route_t *route, const char *key, const char *cell,
			 uint64_t epoch, uint64_t sequence,
			 const char *const *names, size_t count);

/* bsh_route_remove_key - the model or service is no longer declared. */
void bsh_route_remove_key(bsh_route_t *route, const char *key);

/*
 * bsh_route_report - load report of a target, measured at measured_us (in
 * this process's clock; the caller subtracts the known delay).
 */
void bsh_route_report(bsh_route_t *route, const char *name,
		      uint64_t incarnation, uint32_t running, uint32_t waiting,
		      int64_t measured_us);

/* bsh_route_cache_event - the target stored or evicted a block. */
void bsh_route_cache_event(bsh_route_t *route, const char *name, uint64_t hash,
			   bool stored, int64_t now_us);

/* bsh_route_cache_gap - events of this target were lost. */
void bsh_route_cache_gap(bsh_route_t *route, const char *name, int64_t now_us);

/*
 * bsh_route_choose - choose a target.  Changes nothing but the generator;
 * follow with bsh_route_start() when the request is really sent.
 */
bsh_error_t bsh_route_choose(bsh_route_t *route,
			     const bsh_route_request_t *request,
			     bsh_route_choice_t *choice, int64_t now_us);

/*
 * bsh_route_may_send - last check when the connection is made: false when the
 * target became leaving or was replaced since the choice.
 */
bool bsh_route_may_send(const bsh_route_t *route,
			const bsh_route_choice_t *choice);

/* bsh_route_start - the request is sent to choice->target. */
void bsh_route_start(bsh_route_t *route, const bsh_route_request_t *request,
		     const bsh_route_choice_t *choice, int64_t now_us);

/* bsh_route_first - the first byte of the answer came; sets cost_us to 0. */
void bsh_route_first_byte(bsh_route_t *route, bsh_route_choice_t *choice,
		     int64_t now_us);

typedef enum {
	BSH_ROUTE_SUCCESS, /* answered */
	BSH_ROUTE_FAILURE, /* not reached, broken, silent or mismatched */
	BSH_ROUTE_NEUTRAL  /* refused for lack of room, or cancelled */
} bsh_route_result_t;

/* bsh_route_end - the attempt ended; ignored for an older incarnation. */
void bsh_route_end(bsh_route_t *route, const bsh_route_choice_t *choice,
		   bsh_route_result_t result, int64_t now_us);

/* bsh_route_target - the record of an index; NULL when out of range. */
const bsh_route_target_t *bsh_route_target(const bsh_route_t *route,
					   uint32_t index);

/* bsh_route_slots - sum of the limits of the usable targets of a key. */
uint32_t bsh_route_slots(const bsh_route_t *route, const char *key);

/*
 * bsh_route_hash_prefix - chained hashes of the full blocks of a prompt
 * (XXH3-64 of the block, seeded with the previous hash; the first seed is the
 * hash of key).  Engines publish cache events with the same hashes.
 *
 * RETURN VALUE
 *	Number of hashes, at most BSH_ROUTE_MAX_PREFIX.
 */
uint32_t bsh_route_hash_prefix(const char *key, const char *text, size_t size,
			       uint64_t out[BSH_ROUTE_MAX_PREFIX]);

#endif
