#ifndef BSH_STATE_PLACEMENT_H
#define BSH_STATE_PLACEMENT_H

/*
 * NAME
 *	placement - which target gets a model, what is unloaded and when
 *
 * DESCRIPTION
 *	Decisions only: the loader records and carries them out.
 *
 *	- history: each model's own arrivals (gaps between wakes, time of
 *	  day), from which the keep-alive and the prefetch follow;
 *	- choice of a target for a load, by load time (copy in memory, on
 *	  disk, remote; base already loaded), free memory, zone and idle
 *	  load;
 *	- choice of the slots to evict when no target has room;
 *	- order in which waiting models use the weight store's rate, and the
 *	  estimate of when a load will be ready.
 *
 *	Each decision carries a reason for the time line.
 *
 * UNITS
 *	Times in microseconds on the caller's monotonic clock, except
 *	wall_us (microseconds since the epoch, for the time of day).
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/cell.h"

#define BSH_PLACEMENT_REASON_SIZE 96
#define BSH_PLACEMENT_GAP_BINS	  48 /* half-octave bins of gap lengths */
#define BSH_PLACEMENT_DAY_BINS	  48 /* half hours of the day */

/* Where the weights of a model are, as far as one target is concerned. */
typedef enum {
	BSH_COPY_MEMORY = 0, /* in the target's host memory */
	BSH_COPY_DISK,	     /* on the target's disk */
	BSH_COPY_REMOTE	     /* only in the weight store */
} bsh_copy_t;

/* Limits and weights from the document. */
typedef struct {
	double weight;		  /* 0: cold-start time, 1: idle hours */
	double loads_per_s;	  /* of the weight store, this owner's share */
	uint32_t concurrent;	  /* loads at once at full speed */
	uint32_t memory_permille; /* load time from memory, of load_ms */
	uint32_t disk_permille;	  /* load time from disk, of load_ms */
} bsh_placement_limits_t;

/* What placement knows of one model. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char base[BSH_CELL_NAME_SIZE]; /* "" unless an adapter */
	uint32_t memory_mib;
	uint32_t load_ms; /* from the weight store, at full speed */
	uint8_t priority; /* 0 (highest) to 9 */
	/* History. */
	int64_t last_us; /* latest use, -1 if none */
	int64_t last_wall_us;
	float gaps[BSH_PLACEMENT_GAP_BINS]; /* decayed counts */
	float gap_sum;
} bsh_placement_model_t;

typedef struct {
	bsh_placement_limits_t limits;
	GHashTable *models; /* name to bsh_placement_model_t */
	double tokens;	    /* of the weight store's rate */
	int64_t tokens_us;
	/* Pooled over all models: prior of a model without own history. */
	float gaps[BSH_PLACEMENT_GAP_BINS];
	float gap_sum;
	double day[BSH_PLACEMENT_DAY_BINS];  /* decayed wakes */
	double rate[BSH_PLACEMENT_DAY_BINS]; /* of wakes, mean 1 */
	int64_t day_wall_us;
	double slowdown[BSH_COPY_REMOTE + 1]; /* measured over nominal */
} bsh_placement_t;

/* A target as a candidate for one load. */
typedef struct {
	const char *name;
	const char *zone;
	uint32_t memory_mib;
	uint32_t free_mib;	/* not reserved and not used by strays */
	uint32_t evictable_mib; /* of slots that may be evicted */
	uint32_t running;	/* requests running on the target */
	uint32_t loading;	/* loads in progress on the target */
	bsh_copy_t copy;
	bool has_base;	/* the adapter's base is loaded here */
	bool has_model; /* already holds the model: not a candidate */
	bool excluded;	/* leaving, unreachable or backing off */
} bsh_candidate_t;

/* A loaded or bound slot as a candidate for eviction. */
typedef struct {
	const char *model;
	uint32_t index;
	const char *target;
	uint32_t memory_mib;
	uint32_t running;    /* requests running; above 0 is never evicted */
	bool is_waiting;     /* requests wait for it: never evicted */
	bool is_idle_binding;     /* bound, never loaded */
	bool is_base_in_use; /* an adapter on the target needs it */
} bsh_victim_t;

typedef struct {
	size_t index;	  /* into the candidates; SIZE_MAX if none */
	bool needs_evict; /* room only after eviction */
	bsh_copy_t copy;
	int64_t load_us; /* time from order to ready, without queueing */
	char reason[BSH_PLACEMENT_REASON_SIZE];
} bsh_choice_t;

/* A model that waits for its load. */
typedef struct {
	const char *model;
	int64_t deadline_us; /* earliest of its requests */
	int64_t since_us;
	int64_t load_us;
	uint8_t priority;
	uint32_t waiting; /* requests; 0 for a prefetch */
	bool uses_store;  /* the copy is remote */
} bsh_waiting_t;

void bsh_placement_init(bsh_placement_t *p,
			const bsh_placement_limits_t *limits);
void bsh_placement_finish(bsh_placement_t *p);
void bsh_placement_set_limits(bsh_placement_t *p,
			      const bsh_placement_limits_t *limits);

/* bsh_placement_set_model - add or change; the history is kept. */
void bsh_placement_set_model(bsh_placement_t *p, const char *name,
			     const char *base, uint32_t memory_mib,
			     uint32_t load_ms, uint8_t priority);
void bsh_placement_remove_model(bsh_placement_t *p, const char *name);

/*
 * bsh_placement_use - requests of the model began or were running now.  Gaps
 * are recorded in time weighted by the wakes of that time of day, so that a
 * night counts for little.
 */
void bsh_placement_record_use(bsh_placement_t *p, const char *model, int64_t now_us,
		       int64_t wall_us);

/* bsh_placement_loaded - a load took load_us; corrects later estimates. */
void bsh_placement_record_load(bsh_placement_t *p, const char *model,
			  bsh_copy_t copy, int64_t load_us);

/*
 * bsh_placement_keep_us - how much longer an idle model is worth its memory:
 * the time h that maximises
 *	P(wake within h) * cold cost - idle price * E[idle time within h]
 * from the distribution of the model's own gaps, or 0 if none gains.  share
 * is the part of an accelerator that it occupies, load_us what a reload
 * would take.
 */
int64_t bsh_placement_keep_alive_us(const bsh_placement_t *p, const char *model,
			      double share, int64_t load_us, int64_t now_us,
			      int64_t wall_us,
			      char reason[BSH_PLACEMENT_REASON_SIZE]);

/*
 * bsh_placement_wake_chance - probability that an idle model is used within
 * horizon_us, from its gaps and the time of day.
 */
double bsh_placement_wake_probability(const bsh_placement_t *p, const char *model,
				 int64_t horizon_us, int64_t now_us,
				 int64_t wall_us);

/* bsh_placement_prefetch - whether loading an idle model now pays. */
bool bsh_placement_prefetch(const bsh_placement_t *p, const char *model,
			    double share, int64_t load_us, int64_t now_us,
			    int64_t wall_us,
			    char reason[BSH_PLACEMENT_REASON_SIZE]);

/* bsh_placement_load_us - load time of a model from a copy. */
int64_t bsh_placement_load_us(const bsh_placement_t *p, const char *model,
			      bsh_copy_t copy);

/*
 * bsh_placement_choose - the target for a load.  zone is the zone with most
 * of the demand, or "".
 */
void bsh_placement_choose_target(const bsh_placement_t *p, const char *model,
			  const char *zone, const bsh_candidate_t *candidates,
			  size_t count, bsh_choice_t *choice);

/*
 * bsh_placement_evict - mark the cheapest set of victims on one target that
 * frees at least need_mib for a model of the given priority.
 *
 * RETURN VALUE
 *	Number of victims marked in chosen[]; 0 if the set cannot be found.
 */
size_t bsh_placement_choose_victims(const bsh_placement_t *p, const char *target,
			   uint32_t need_mib, uint8_t priority,
			   const bsh_victim_t *victims, size_t count,
			   int64_t now_us, int64_t wall_us, bool *chosen,
			   char reason[BSH_PLACEMENT_REASON_SIZE]);

/*
 * bsh_placement_order - sort waiting models: those that can still meet their
 * deadline first, by priority, then by latest start time.
 */
void bsh_placement_sort_waiting(bsh_waiting_t *waiting, size_t count, int64_t now_us);

/*
 * bsh_placement_may_load - whether the weight store's rate admits a load now
 * (running is the number of remote loads in progress); takes a token if so.
 */
bool bsh_placement_take_token(bsh_placement_t *p, uint32_t running,
			    int64_t now_us);

/* bsh_placement_next_token_us - when bsh_placement_may_load() can succeed. */
int64_t bsh_placement_next_token_us(const bsh_placement_t *p, int64_t now_us);

/*
 * bsh_placement_estimate_us - time until a load at the given place of the
 * queue is ready: ahead loads in the queue, running loads in progress.
 */
int64_t bsh_placement_estimate_us(const bsh_placement_t *p, uint32_t ahead,
				  uint32_t running, int64_t load_us,
				  int64_t now_us);

#endif
