#ifndef BSH_BENCH_POLICY_H
#define BSH_BENCH_POLICY_H

/*
 * NAME
 *	policy - discrete-event simulation of model load and unload policies
 *
 * DESCRIPTION
 *	workload.c	deployments and seeded request arrivals
 *	engines.c	simulated engines, copy caches, weight store, metrics
 *	ours.c		policy of lib/coordination/loader
 *	naive.c		baselines: fixed keep-alive on any target with free
 *			memory, and a planner with known arrivals
 *	size.c		memory and CPU time of the loader by number of models
 *	bench_policy.c	runs over seeds, comparison, tables and plots
 *
 * UNITS
 *	Times are microseconds of the virtual clock unless the name ends in
 *	another unit.  Models and targets are numbered from 0.
 *
 * THREADS
 *	A cluster and its workload belong to one thread.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/placement.h"
#include "support/sim.h"

#define MODELS_MAX  5400
#define TARGETS_MAX 16
#define DAY_US	    (86400 * SIM_S)
/* Poll period of a target on which a model is loading or unloading. */
#define LOADING_POLL_US (250 * SIM_MS)

typedef enum {
	SCENARIO_PLAIN = 0,
	SCENARIO_SLOW_WEIGHTS, /* weight store at 10 % of its speed */
	SCENARIO_RECLAIMED,  /* a third of the targets stops at once, for 2 h */
	SCENARIO_STORE_DOWN, /* object store unreachable for 1 h */
	SCENARIOS
} scenario_t;

typedef struct {
	const char *name;
	double weight; /* of idle accelerator time in the cost, 0 to 1 */
	int models, adapters, targets;
	double loads_per_s;  /* start rate of loads from the weight store */
	uint32_t concurrent; /* transfers that run at full speed */
	double day_from_h, day_to_h; /* hours of the day rate, 0 to 24 */
	double night_ratio;	     /* night rate over day rate, 0 to 1 */
	double wakes_per_day;	     /* mean over models and adapters */
	double long_deadline_ratio;  /* models with a deadline of 10 min */
	int warm_up_days;	     /* simulated before the measured span */
	int measured_days;
} deployment_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	int base; /* model that an adapter extends; -1: not an adapter */
	uint32_t memory_mib;
	uint32_t load_ms; /* from the weight store at full speed */
	uint8_t priority;
	int64_t deadline_us; /* cold-start time that a request accepts */
	double wakes_per_day;
} bench_model_t;

typedef struct {
	int64_t at_us;	/* arrival */
	int64_t run_us; /* service time */
	int model;
} request_t;

typedef struct {
	const deployment_t *d;
	bench_model_t *models;
	int model_count;
	GArray *requests;	  /* request_t, by arrival */
	int64_t begin_us, end_us; /* measured span */
} workload_t;

/* A model in the accelerator memory of a target. */
typedef struct {
	bool is_used; /* memory is allocated: loading, ready or unloading */
	bool is_ready, is_unloading;
	uint64_t serial; /* of the load or unload; voids older events */
	uint32_t running;
	int64_t since_us; /* start of the present idle or busy span */
} slot_t;

typedef struct {
	uint64_t incarnation;
	bool is_up;
	uint32_t used_mib;
	int64_t poll_us;
	slot_t *slots;		 /* by model */
	int64_t *memory_copy_us; /* latest load, by model; 0: no copy */
	int64_t *disk_copy_us;	 /* latest load, by model; 0: no copy */
} bench_target_t;

typedef struct {
	GArray *waits_us;  /* double: cold-start time of each request */
	double idle_hours; /* of accelerators, by share of memory held */
	uint64_t late;	   /* served after the deadline, or refused */
	uint64_t requests;
	uint64_t loads;
	uint64_t loads_cached;	/* from a copy in host memory or on disk */
	uint64_t loads_refused; /* no free memory, or the target is down */
	uint64_t wakes;		/* requests that found no ready target */
	uint64_t store_calls;	/* reads and updates of the object store */
} metrics_t;

typedef struct cluster cluster_t;

/* Events that the simulation delivers to a policy. */
typedef struct {
	/* A load, an unload or a request has ended. */
	void (*on_slot_change)(cluster_t *cl, int target, int model);
	/* A copy in host memory or on disk was added or evicted. */
	void (*on_copy_change)(cluster_t *cl, int target, int model);
	void (*on_request)(cluster_t *cl, const request_t *r);
	/* A failure scenario has begun or ended. */
	void (*on_targets_change)(cluster_t *cl);
} policy_ops_t;

struct cluster {
	sim_t sim;
	const workload_t *load;
	const policy_ops_t *ops;
	void *policy;
	bench_target_t targets[TARGETS_MAX];
	scenario_t scenario;
	double store_speed;    /* of the weight store, 1: nominal */
	bool is_store_down;    /* object store */
	GArray *transfers;     /* transfer_t, under way */
	int64_t transfers_us;  /* latest update of their progress */
	int64_t next_start_us; /* earliest start of the next transfer */
	uint64_t serial;       /* of the latest scheduled transfer event */
	uint64_t next_serial;  /* of slots */
	metrics_t m;
};

/* deployments - the simulated deployments, a static table. */
const deployment_t *deployments(size_t *count);
/* workload_init - generates models and requests; d must outlive the load. */
void workload_init(workload_t *load, const deployment_t *d, uint32_t seed);
void workload_finish(workload_t *load);

/* cluster_init - all targets up and empty; load must outlive the cluster. */
void cluster_init(cluster_t *cl, const workload_t *load, scenario_t scenario,
		  uint32_t seed, const policy_ops_t *ops, void *policy);
/* cluster_run - runs to 700 s after the measured span. */
void cluster_run(cluster_t *cl);
void cluster_finish(cluster_t *cl);

/*
 * cluster_load - starts to load a model; false if the target is down, lacks
 * free memory or is still unloading the model.
 */
bool cluster_load(cluster_t *cl, int target, int model);
void cluster_unload(cluster_t *cl, int target, int model);
/* cluster_copy - the fastest source from which the target can load. */
bsh_copy_t cluster_copy(const cluster_t *cl, int target, int model);
/* cluster_serve - runs the request on a target where the model is ready. */
void cluster_serve(cluster_t *cl, int target, const request_t *r);
/*
 * cluster_record_wait - records the cold-start time of a request.  A late or
 * refused request counts with its whole deadline.
 */
void cluster_record_wait(cluster_t *cl, const request_t *r, int64_t wait_us,
			 bool is_refused);
/* cluster_is_measured - whether a time lies in the measured span. */
bool cluster_is_measured(const cluster_t *cl, int64_t at_us);
/* target_memory_mib - accelerator memory of each target. */
uint32_t target_memory_mib(void);

typedef struct {
	double p50_s, p99_s, p999_s; /* cold-start time */
	double idle_hours, late_part, hit_rate;
	double loads, store_calls_per_wake;
	uint64_t loads_refused;
} outcome_t;

/* run_ours - weight: of idle accelerator time in the loader's decisions. */
outcome_t run_ours(const workload_t *load, scenario_t scenario, uint32_t seed,
		   double weight);
/* run_naive - keep_alive_us: idle time until unload; INT64_MAX: never. */
outcome_t run_naive(const workload_t *load, scenario_t scenario, uint32_t seed,
		    int64_t keep_alive_us);
/*
 * run_planner - idle hours of a planner with known arrivals and unlimited
 * memory; the other figures are 0.
 */
outcome_t run_planner(const workload_t *load);
/* outcome_of - sorts the waits of m. */
outcome_t outcome_of(const metrics_t *m);

/* measure_size - prints the loader's memory and CPU time by model count. */
void measure_size(void);

#endif
