#ifndef BSH_BENCH_POLICY_H
#define BSH_BENCH_POLICY_H

/*
 * NAME
 *	policy - measurement of load decisions under a virtual clock
 *
 * DESCRIPTION
 *	workload.c	deployments and their seeded arrivals
 *	engines.c	fake engines, caches, weight store, accounting
 *	ours.c		lib/coordination/loader against the fakes
 *	naive.c		any target with room, fixed keep-alive
 *	bench_policy.c	runs, comparison, curve, output
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/placement.h"
#include "support/sim.h"

#define MODELS_MAX  5400
#define TARGETS_MAX 16
#define DAY_US	    (86400 * SIM_S)
#define POLL_US	    (250 * SIM_MS) /* of a target with a load under way */

typedef enum {
	SCENE_PLAIN = 0,
	SCENE_SLOW_WEIGHTS, /* weight store at a tenth of its speed */
	SCENE_RECLAIMED,    /* a third of the targets at once, for 2 h */
	SCENE_STORE_DOWN,   /* object store down for 1 h */
	SCENES
} scene_t;

typedef struct {
	const char *name;
	double weight;
	int models, adapters, targets;
	double loads_per_s;
	uint32_t concurrent;
	double day_from_h, day_to_h, night_part;
	double wakes_per_day;	   /* mean of a model or adapter */
	double long_deadline_part; /* requests that may wait 10 min */
	int warm_days, measured_days;
} deployment_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	int base; /* -1 unless an adapter */
	uint32_t memory_mib;
	uint32_t load_ms;
	uint8_t priority;
	int64_t deadline_us;
	double wakes_per_day;
} bench_model_t;

typedef struct {
	int64_t at_us;
	int64_t run_us;
	int model;
} request_t;

typedef struct {
	const deployment_t *d;
	bench_model_t *models;
	int model_count;
	GArray *requests;	  /* request_t by time */
	int64_t begin_us, end_us; /* measured part */
} workload_t;

typedef struct {
	bool is_used, is_ready, is_unloading;
	uint64_t serial;
	uint32_t running;
	int64_t since_us; /* of the present idle or busy span */
} held_t;

typedef struct {
	uint64_t incarnation;
	bool is_up;
	uint32_t used_mib;
	int64_t poll_us;
	held_t *held;	       /* by model */
	int64_t *memory_stamp; /* LRU of copies in host memory; 0: none */
	int64_t *disk_stamp;
} bench_target_t;

typedef struct {
	GArray *waits_us; /* double: cold-start time of each request */
	double idle_hours;
	uint64_t late; /* after the deadline, or refused */
	uint64_t requests;
	uint64_t loads, loads_cached;
	uint64_t overcommits;
	uint64_t wakes, store_calls;
} measure_t;

typedef struct world world_t;

typedef struct {
	void (*changed)(world_t *w, int target, int model);
	void (*copied)(world_t *w, int target, int model);
	void (*begin)(world_t *w, const request_t *r);
	void (*list)(world_t *w); /* the platform's list changed */
} policy_ops_t;

struct world {
	sim_t sim;
	const workload_t *load;
	const policy_ops_t *ops;
	void *policy;
	bench_target_t targets[TARGETS_MAX];
	scene_t scene;
	double store_speed;
	bool is_store_down;
	GArray *transfers;
	int64_t transfers_us;
	int64_t next_start_us;
	uint64_t serial;      /* of the armed transfer event */
	uint64_t next_serial; /* of loads */
	measure_t m;
};

const deployment_t *deployments(size_t *count);
void workload_init(workload_t *load, const deployment_t *d, uint32_t seed);
void workload_finish(workload_t *load);

void world_init(world_t *w, const workload_t *load, scene_t scene,
		uint32_t seed, const policy_ops_t *ops, void *policy);
void world_run(world_t *w);
void world_finish(world_t *w);

/* world_load - the engine begins to load; false without memory. */
bool world_load(world_t *w, int target, int model);
void world_unload(world_t *w, int target, int model);
bsh_copy_t world_copy(const world_t *w, int target, int model);
/* world_serve - the request runs on a target that has the model ready. */
void world_serve(world_t *w, int target, const request_t *r);
/* world_wait - a request's cold-start time; late beyond its deadline. */
void world_waited(world_t *w, const request_t *r, int64_t wait_us,
		  bool is_refused);
bool world_measures(const world_t *w, int64_t at_us);
uint32_t target_mib(void);

typedef struct {
	double p50_s, p99_s, p999_s, idle_hours, late_part, hit_rate;
	double loads, store_calls_per_wake;
	uint64_t overcommits;
} outcome_t;

outcome_t run_ours(const workload_t *load, scene_t scene, uint32_t seed,
		   double weight);
outcome_t run_naive(const workload_t *load, scene_t scene, uint32_t seed,
		    int64_t keep_us);
/* run_planner - a planner that knows the arrivals, without memory limits. */
outcome_t run_planner(const workload_t *load);
outcome_t outcome_of(const measure_t *m);

void measure_size(void);

#endif
