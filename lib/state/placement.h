#ifndef BSH_STATE_PLACEMENT_H
#define BSH_STATE_PLACEMENT_H

/*
 * NAME
 *	placement - placement planner: targets, keep-alive and eviction
 *
 * DESCRIPTION
 *	The planner only decides; the loader records the decisions and
 *	carries them out.  It provides:
 *
 *	- the keep-alive time and the prefetch of a model, predicted from
 *	  its idle gaps and the time of day;
 *	- the target for a load, by load time (weights in host memory, on
 *	  disk or remote; base loaded or not), availability zone, free
 *	  memory, and requests and loads on the target;
 *	- the slots to evict when no target has free memory;
 *	- the order of waiting loads, a token bucket for the rate of the
 *	  weight store, and an estimate of when a load will be ready.
 *
 *	A model wakes when it is used for the first time, or after a gap of
 *	more than a second without use.
 *
 *	Each decision carries a reason for the timeline.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 *
 * UNITS
 *	Times in microseconds on the caller's monotonic clock, except
 *	wall_us (microseconds since the epoch, for the time of day).
 *
 * ERRORS
 *	A model that bsh_placement_set_model() has not added is ignored:
 *	its uses are not recorded, its times and probabilities are 0, and no
 *	target is chosen for it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/cell.h"

#define BSH_PLACEMENT_REASON_SIZE 96
#define BSH_PLACEMENT_GAP_BINS	  48 /* half-octave bins of gap lengths */
#define BSH_PLACEMENT_DAY_BINS	  48 /* half hours of the day */

/* Location of a model's weights closest to a target's accelerators. */
typedef enum {
	BSH_COPY_MEMORY = 0, /* in the target's host memory */
	BSH_COPY_DISK,	     /* on the target's disk */
	BSH_COPY_REMOTE	     /* only in the weight store */
} bsh_copy_t;

/* Cost weight and load limits. */
typedef struct {
	/* 0: only cold-start time counts; 1: only idle accelerator time. */
	double weight;
	double loads_per_s;	  /* this owner's share of the store's rate */
	uint32_t concurrent;	  /* remote loads at once at full speed */
	uint32_t memory_permille; /* load time from host memory / load_ms */
	uint32_t disk_permille;	  /* load time from disk / load_ms */
} bsh_placement_limits_t;

/* Declaration and history of one model. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	char base[BSH_CELL_NAME_SIZE]; /* "" unless an adapter */
	uint32_t memory_mib;
	uint32_t load_ms; /* from the weight store, at full speed */
	uint8_t priority; /* 0 (highest) to 9 */
	/* History. */
	int64_t last_us;      /* latest use, -1 if none */
	int64_t last_wall_us; /* wall time of the latest use */
	/* Decayed histogram of the model's idle gaps, and its sum. */
	float gaps[BSH_PLACEMENT_GAP_BINS];
	float gap_sum;
} bsh_placement_model_t;

typedef struct {
	bsh_placement_limits_t limits;
	GHashTable *models; /* name to bsh_placement_model_t */
	double tokens;	    /* remote loads that the token bucket admits */
	int64_t tokens_us;  /* time of the token count */
	/* Histogram over all models: prior for models with few gaps. */
	float gaps[BSH_PLACEMENT_GAP_BINS];
	float gap_sum;
	/* Wakes of all models by the time of day (UTC). */
	double day[BSH_PLACEMENT_DAY_BINS];  /* decayed counts */
	double rate[BSH_PLACEMENT_DAY_BINS]; /* smoothed, about 1 on average */
	int64_t day_wall_us;		     /* latest wake, -1 if none */
	/* Ratio of measured to nominal load time, by location of the copy. */
	double slowdown[BSH_COPY_REMOTE + 1];
} bsh_placement_t;

/* Candidate target for one load. */
typedef struct {
	const char *name;
	const char *zone;    /* availability zone */
	uint32_t memory_mib; /* total */
	/* Neither reserved by a slot nor used by models without a slot. */
	uint32_t free_mib;
	uint32_t evictable_mib; /* of slots evictable or being unloaded */
	uint32_t running;	/* requests running on the target */
	uint32_t loading;	/* loads in progress on the target */
	bsh_copy_t copy;	/* location of the model's weights */
	bool has_base;		/* the adapter's base is loaded on the target */
	/* Not eligible for this model: holds it already, a load of it has
	 * failed lately, or its base cannot be bound. */
	bool has_model;
	bool excluded; /* leaving, gone or restarted: for all models */
} bsh_placement_candidate_t;

/* Loaded or bound slot, considered for eviction. */
typedef struct {
	const char *model;
	uint32_t index;
	const char *target;
	uint32_t memory_mib;
	uint32_t running;     /* running requests; above 0: never evicted */
	bool is_waiting;      /* requests wait for it: never evicted */
	bool is_idle_binding; /* bound, no load order sent yet */
	bool is_base_in_use;  /* an adapter on the target uses it: kept */
} bsh_victim_t;

typedef struct {
	size_t index;	  /* into the candidates; SIZE_MAX if none */
	bool needs_evict; /* not enough free memory without eviction */
	bsh_copy_t copy;  /* location of the weights that are loaded */
	int64_t load_us;  /* expected load time, without queueing */
	char reason[BSH_PLACEMENT_REASON_SIZE];
} bsh_choice_t;

/* Model that waits for its load. */
typedef struct {
	const char *model;
	int64_t deadline_us; /* earliest deadline of its requests */
	int64_t since_us;    /* start of the wait */
	int64_t load_us;     /* expected load time */
	uint8_t priority;    /* 0 (highest) to 9 */
	uint32_t waiting;    /* waiting requests; 0 for a prefetch */
	bool uses_store;     /* the weights are only in the weight store */
} bsh_placement_waiting_t;

void bsh_placement_init(bsh_placement_t *p,
			const bsh_placement_limits_t *limits);
void bsh_placement_finish(bsh_placement_t *p);
void bsh_placement_set_limits(bsh_placement_t *p,
			      const bsh_placement_limits_t *limits);

/* bsh_placement_set_model - add a model or change it, keeping its history. */
void bsh_placement_set_model(bsh_placement_t *p, const char *name,
			     const char *base, uint32_t memory_mib,
			     uint32_t load_ms, uint8_t priority);
void bsh_placement_remove_model(bsh_placement_t *p, const char *name);

/*
 * bsh_placement_record_use - record that requests of the model start or run
 * at now_us.  A gap is measured in time weighted by the rate of wakes at that
 * time of day, so that quiet hours add little to it.
 */
void bsh_placement_record_use(bsh_placement_t *p, const char *model,
			      int64_t now_us, int64_t wall_us);

/*
 * bsh_placement_record_load - record a load that took load_us, which corrects
 * later estimates for copies in the same location.
 */
void bsh_placement_record_load(bsh_placement_t *p, const char *model,
			       bsh_copy_t copy, int64_t load_us);

/*
 * bsh_placement_keep_alive_us - keep-alive time of an idle model from now on:
 * the time h that maximizes
 *	P(wake within h) * cold cost - idle price * E[idle time within h]
 * over the distribution of the model's gaps; 0 if no h gives a gain.  share
 * (0 to 1) is the part of a target's memory that the model occupies; load_us
 * is the time of a reload.
 */
int64_t bsh_placement_keep_alive_us(const bsh_placement_t *p, const char *model,
				    double share, int64_t load_us,
				    int64_t now_us, int64_t wall_us,
				    char reason[BSH_PLACEMENT_REASON_SIZE]);

/*
 * bsh_placement_wake_probability - probability that an idle model is used
 * within horizon_us, from its gaps and the time of day.
 */
double bsh_placement_wake_probability(const bsh_placement_t *p,
				      const char *model, int64_t horizon_us,
				      int64_t now_us, int64_t wall_us);

/*
 * bsh_placement_prefetch - whether loading an idle model now costs less than
 * it is expected to save.  reason is set only if true.
 */
bool bsh_placement_prefetch(const bsh_placement_t *p, const char *model,
			    double share, int64_t load_us, int64_t now_us,
			    int64_t wall_us,
			    char reason[BSH_PLACEMENT_REASON_SIZE]);

/* bsh_placement_load_us - expected load time of a model from a location. */
int64_t bsh_placement_load_us(const bsh_placement_t *p, const char *model,
			      bsh_copy_t copy);

/*
 * bsh_placement_choose_target - the target for a load.  zone is the
 * availability zone with most of the demand, or "".
 */
void bsh_placement_choose_target(const bsh_placement_t *p, const char *model,
				 const char *zone,
				 const bsh_placement_candidate_t *candidates,
				 size_t count, bsh_choice_t *choice);

/*
 * bsh_placement_choose_victims - mark slots of one target to evict that free
 * at least need_mib, those with the lowest expected loss per MiB first.
 * priority is that of the model to load, for the reason.
 *
 * RETURN VALUE
 *	Number of victims marked in chosen[]; 0 if the evictable slots do
 *	not free need_mib.
 */
size_t bsh_placement_choose_victims(const bsh_placement_t *p,
				    const char *target, uint32_t need_mib,
				    uint8_t priority,
				    const bsh_victim_t *victims, size_t count,
				    int64_t now_us, int64_t wall_us,
				    bool *chosen,
				    char reason[BSH_PLACEMENT_REASON_SIZE]);

/*
 * bsh_placement_sort_waiting - sort waiting models into load order: models
 * with waiting requests before prefetches, then those that can still meet
 * their deadline, then by priority and by latest start time.
 */
void bsh_placement_sort_waiting(bsh_placement_waiting_t *waiting, size_t count,
				int64_t now_us);

/*
 * bsh_placement_take_token - take a token for a load from the weight store;
 * false if none is left or if running, the number of remote loads in
 * progress, has reached the limit.
 */
bool bsh_placement_take_token(bsh_placement_t *p, uint32_t running,
			      int64_t now_us);

/* bsh_placement_next_token_us - time at which the next token is available. */
int64_t bsh_placement_next_token_us(const bsh_placement_t *p, int64_t now_us);

/*
 * bsh_placement_estimate_us - expected time until a queued load is ready, with
 * ahead loads before it in the queue and running loads in progress.
 */
int64_t bsh_placement_estimate_us(const bsh_placement_t *p, uint32_t ahead,
				  uint32_t running, int64_t load_us,
				  int64_t now_us);

#endif
