#ifndef BSH_COORDINATION_ROUTE_H
#define BSH_COORDINATION_ROUTE_H

/*
 * NAME
 *	route - target selection by estimated time to the first token
 *
 * DESCRIPTION
 *	Holds the targets, the set of targets that are ready for each model
 *	or service ("key"), and the load and prefix cache contents of the
 *	targets as far as this router has observed them, and chooses a target
 *	for each request.  A target is usable if it is ready for the key, has
 *	been set and is not leaving.
 *
 *	The score of a target is the estimated time to the first token: the
 *	prefills queued at the target, the prefill of this request without
 *	the blocks that are cached there, a small delay per running request,
 *	and a wait for a slot when the target is full.  The delay per running
 *	request is small because a decode batch hardly delays a first token;
 *	moving a request away from its cached prefix because of it costs more
 *	than it saves.
 *
 *	Load: the requests that this router has open at a target are known
 *	exactly; the load by others comes from the target's last report.  As
 *	the report ages (time constant BSH_ROUTE_REPORT_TAU_US), the load by
 *	others is blended towards the mean of the candidates, so that an old
 *	report neither attracts the requests of all routers nor excludes a
 *	target for long.  Up to BSH_ROUTE_CANDIDATES_MAX ready targets are
 *	all compared; of more, a random sample is taken and targets with a
 *	matching prefix are added.
 *
 *	Prefix cache: a table of bounded size maps block hashes to targets.
 *	Entries come from the requests that this router sends, before any
 *	cache event arrives, and from the engines' cache events.  After lost
 *	cache events of a target, its older entries have a lower weight until
 *	a request or an event confirms them.
 *
 *	Leaving: any source may report it.  An incarnation marked by
 *	bsh_route_set_leaving() and all older ones of the target are never
 *	chosen again.  The mark is also kept for a name that has not been set
 *	as a target yet.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 *
 * ERRORS
 *	bsh_route_choose() fails with
 *	BSH_ERR_NOT_FOUND	no target is usable for the key (cold)
 *	BSH_ERR_CAPACITY	a usable target is at its limit, and no other
 *				can take the request
 *	BSH_ERR_CONNECT		every usable target has an open breaker or is
 *				excluded by the request
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/rng.h"
#include "coordination/breaker.h"

#define BSH_ROUTE_NAME_SIZE	 96
#define BSH_ROUTE_ADDRESS_SIZE	 64
#define BSH_ROUTE_CANDIDATES_MAX 12 /* per choice */
#define BSH_ROUTE_MAX_PREFIX	 16 /* hashed blocks per prompt */
#define BSH_ROUTE_MAX_EXCLUDED	 4
#define BSH_ROUTE_BLOCK_BYTES	 1024
#define BSH_ROUTE_REPORT_TAU_US	 INT64_C(1500000)
/*
 * Time constant of the reported number of waiting requests.  The queue changes
 * within the time of one prefill; with a longer constant, all routers that use
 * the same old report would send to the same target.
 */
#define BSH_ROUTE_WAITING_TAU_US     INT64_C(10000)
#define BSH_ROUTE_SAMPLES	     8
#define BSH_ROUTE_SAMPLE_INTERVAL_MS 250 /* minimum between two samples */
#define BSH_ROUTE_NONE		     UINT32_MAX

typedef struct {
	uint32_t max_running;	 /* per target, if it states none */
	uint32_t max_targets;	 /* records, including leaving ones */
	uint32_t prefix_entries; /* rounded up to a power of two */
	uint32_t base_us;	 /* prefill time of a request without blocks */
	uint32_t block_us;	 /* prefill time per block not cached */
	/* Maximum random addition to a score, so that targets whose scores
	 * differ by less share the requests. */
	uint32_t score_noise_us;
	uint32_t running_us; /* delay of the first token per open request */
	uint32_t wait_us;    /* wait for a slot, per request over limit */
	uint32_t zone_penalty_us; /* for another availability zone */
	char zone[32];		  /* availability zone of this instance */
	uint32_t seed;		  /* of the random generator */
} bsh_route_config_t;

/* This router's requests at a target, from at_ms to the next sample. */
typedef struct {
	uint32_t at_ms; /* 0: no sample */
	uint16_t open;
	uint16_t pending; /* of these, without a first byte */
} bsh_route_sample_t;

/* One target.  Read-only outside of this module. */
typedef struct {
	char name[BSH_ROUTE_NAME_SIZE];
	char address[BSH_ROUTE_ADDRESS_SIZE];
	uint64_t incarnation;
	uint64_t leaving_incarnation; /* valid if leaving_known */
	bool known; /* false: not set as a target, or removed */
	bool leaving_known;
	bool same_zone;		    /* availability zone of this instance */
	uint32_t max_running;	    /* limit of open requests */
	uint32_t open;		    /* this router's open requests */
	uint32_t pending;	    /* of these, without a first byte */
	int64_t pending_us;	    /* their estimated prefill time */
	uint32_t reported;	    /* running + waiting, last report */
	uint32_t waiting;	    /* last report */
	uint32_t open_at_report;    /* this router's share of reported */
	uint32_t pending_at_report; /* this router's share of waiting */
	int64_t reported_us;	    /* time of the measurement; 0: no report */
	int64_t cache_gap_us;	    /* time of the last lost cache events */
	uint32_t keys;		    /* per-cell ready sets that contain it */
	bsh_route_sample_t samples[BSH_ROUTE_SAMPLES];
	uint32_t sample_next;
	bsh_breaker_t breaker;
} bsh_route_target_t;

typedef struct {
	uint64_t hash;
	uint32_t target;
	uint32_t seen_ms; /* last use or event, local clock */
} bsh_route_prefix_entry_t;

typedef struct {
	bsh_route_config_t config;
	GPtrArray *targets;  /* bsh_route_target_t; records never move */
	GHashTable *by_name; /* name -> index + 1 */
	GHashTable *keys;    /* key -> ready set */
	bsh_route_prefix_entry_t *prefixes;
	uint32_t prefix_mask;
	uint32_t reclaim_index; /* record last examined for reuse */
	bsh_rng_t rng;
} bsh_route_t;

typedef struct {
	const char *key; /* model "name@version" or service name */
	uint8_t priority;
	bool repeatable;	/* false: avoid sending it as a breaker probe */
	const uint64_t *prefix; /* bsh_route_hash_prefix(), or NULL */
	uint32_t prefix_count;
	uint32_t excluded[BSH_ROUTE_MAX_EXCLUDED]; /* already tried */
	uint32_t excluded_count;
} bsh_route_request_t;

typedef struct {
	uint32_t target;       /* index, or BSH_ROUTE_NONE */
	uint64_t incarnation;  /* of the target when chosen */
	uint32_t prefix_match; /* leading blocks expected in the cache */
	int64_t cost_us;       /* estimated prefill; 0 after the first byte */
	int64_t retry_us; /* on BSH_ERR_CONNECT: time of next probe, or 0 */
} bsh_route_choice_t;

/* bsh_route_config_default - set all fields to defaults; zone is empty. */
void bsh_route_config_default(bsh_route_config_t *config);

void bsh_route_init(bsh_route_t *route, const bsh_route_config_t *config);
void bsh_route_finish(bsh_route_t *route);

/*
 * bsh_route_set_target - add or update a target (from the platform's list, a
 * ROUTES frame or a status).  A new incarnation, or one that had been removed,
 * starts with no load, no open requests and a closed breaker.  zone NULL means
 * the own availability zone, max_running 0 the configured default.
 *
 * ERRORS
 *	BSH_ERR_INVALID, BSH_ERR_CAPACITY (max_targets), BSH_ERR_CONFLICT (older
 *	incarnation, ignored)
 */
bsh_error_t bsh_route_set_target(bsh_route_t *route, const char *name,
				 uint64_t incarnation, const char *address,
				 const char *zone, uint32_t max_running);

/* bsh_route_remove_target - remove an incarnation that the platform no longer
 * lists, and mark it as leaving. */
void bsh_route_remove_target(bsh_route_t *route, const char *name,
			     uint64_t incarnation);

/*
 * bsh_route_set_leaving - mark an incarnation and all older ones as leaving.
 *
 * RETURN VALUE
 *	True if it was not marked before; the caller then passes it on to
 *	peers.
 */
bool bsh_route_set_leaving(bsh_route_t *route, const char *name,
			   uint64_t incarnation);

bool bsh_route_is_leaving(const bsh_route_t *route, const char *name,
			  uint64_t incarnation);

/*
 * bsh_route_set_ready - replace the set of targets of one cell that are ready
 * for key.  The call is ignored unless the stamp (epoch, sequence) of the
 * cell's owner is newer than the last one of the same cell.  The ready set of
 * a key is the union over its cells.  A name that has not been set as a target
 * becomes usable with bsh_route_set_target().  A key without any usable target
 * is cold.
 *
 * RETURN VALUE
 *	True if the set was replaced.
 */
bool bsh_route_set_ready(bsh_route_t *route, const char *key, const char *cell,
			 uint64_t epoch, uint64_t sequence,
			 const char *const *names, size_t count);

/* bsh_route_remove_key - remove a model or service that is no longer
 * declared. */
void bsh_route_remove_key(bsh_route_t *route, const char *key);

/*
 * bsh_route_report - set the load of a target, measured at measured_us (local
 * clock; the caller subtracts the known delay of the report).  A report is
 * ignored if it is for another incarnation or not newer than the last one.
 */
void bsh_route_report(bsh_route_t *route, const char *name,
		      uint64_t incarnation, uint32_t running, uint32_t waiting,
		      int64_t measured_us);

/* bsh_route_cache_event - record that the target stored or evicted a block. */
void bsh_route_cache_event(bsh_route_t *route, const char *name, uint64_t hash,
			   bool stored, int64_t now_us);

/* bsh_route_cache_gap - record that cache events of the target were lost. */
void bsh_route_cache_gap(bsh_route_t *route, const char *name, int64_t now_us);

/*
 * bsh_route_choose - choose a target.  Changes no state but that of the random
 * generator; to be followed by bsh_route_start() when the request is sent.
 */
bsh_error_t bsh_route_choose(bsh_route_t *route,
			     const bsh_route_request_t *request,
			     bsh_route_choice_t *choice, int64_t now_us);

/*
 * bsh_route_may_send - check a choice again once the connection is made: false
 * if the target has been marked as leaving, removed or replaced since.
 */
bool bsh_route_may_send(const bsh_route_t *route,
			const bsh_route_choice_t *choice);

/* bsh_route_start - record that the request is sent to choice->target. */
void bsh_route_start(bsh_route_t *route, const bsh_route_request_t *request,
		     const bsh_route_choice_t *choice, int64_t now_us);

/* bsh_route_first_byte - record that the first byte of the answer arrived; sets
 * choice->cost_us to 0. */
void bsh_route_first_byte(bsh_route_t *route, bsh_route_choice_t *choice,
			  int64_t now_us);

typedef enum {
	BSH_ROUTE_SUCCESS, /* answered */
	BSH_ROUTE_FAILURE, /* unreachable, broken, idle, mismatched */
	BSH_ROUTE_NEUTRAL  /* refused for lack of capacity, or cancelled */
} bsh_route_result_t;

/* bsh_route_end - record the end of an attempt.  No effect if the target has
 * been replaced since. */
void bsh_route_end(bsh_route_t *route, const bsh_route_choice_t *choice,
		   bsh_route_result_t result, int64_t now_us);

/* bsh_route_target - the record at index, or NULL if out of range. */
const bsh_route_target_t *bsh_route_target(const bsh_route_t *route,
					   uint32_t index);

/* bsh_route_slots - sum of max_running over the usable targets of a key. */
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
