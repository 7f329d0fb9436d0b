#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy.h"

#define TARGET_MIB     (80 * 1024)
#define HOST_CACHE_MIB (128 * 1024)
#define DISK_CACHE_MIB (400 * 1024)
#define UNLOAD_US      (500 * SIM_MS)
/* Load time from a copy over that from the weight store. */
#define MEMORY_LOAD_RATIO 0.15
#define DISK_LOAD_RATIO	  0.4
/* Start of a failure scenario, from the start of the measured span. */
#define SCENARIO_START_US (12 * 3600 * SIM_S)
#define RECLAIM_US	  (2 * 3600 * SIM_S)
#define OUTAGE_US	  (3600 * SIM_S)
#define HOUR_US		  3.6e9

/*
 * A load from the weight store.  More than `concurrent` transfers share the
 * bandwidth.
 */
typedef struct {
	int target, model;
	uint64_t serial;
	double remaining_s; /* transfer time left at full speed */
} transfer_t;

/* End of a load, an unload or a request; void if the serial has changed. */
typedef struct {
	int target, model;
	uint64_t serial;
} slot_event_t;

uint32_t target_memory_mib(void)
{
	return TARGET_MIB;
}

bool cluster_is_measured(const cluster_t *cl, int64_t at_us)
{
	return at_us >= cl->load->begin_us && at_us < cl->load->end_us;
}

/* Ends the present span and adds it to the idle hours if no request ran. */
static void add_idle_time(cluster_t *cl, int target, int model)
{
	slot_t *slot = &cl->targets[target].slots[model];
	int64_t from_us = MAX(slot->since_us, cl->load->begin_us);
	int64_t to_us = MIN(cl->sim.now_us, cl->load->end_us);

	if (slot->is_used && slot->running == 0 && to_us > from_us)
		cl->m.idle_hours += (double)(to_us - from_us) / HOUR_US *
				    cl->load->models[model].memory_mib /
				    TARGET_MIB;
	slot->since_us = cl->sim.now_us;
}

bsh_copy_t cluster_copy(const cluster_t *cl, int target, int model)
{
	const bench_target_t *t = &cl->targets[target];

	if (t->memory_copy_us[model] > 0)
		return BSH_COPY_MEMORY;
	return t->disk_copy_us[model] > 0 ? BSH_COPY_DISK : BSH_COPY_REMOTE;
}

/* Evicts the oldest copies until the rest fits the limit. */
static void evict_copies(cluster_t *cl, int target, int64_t *stamps,
			 uint64_t limit_mib)
{
	for (;;) {
		uint64_t used = 0;
		int oldest = -1;

		for (int i = 0; i < cl->load->model_count; i++) {
			if (stamps[i] == 0)
				continue;
			used += cl->load->models[i].memory_mib;
			if (oldest < 0 || stamps[i] < stamps[oldest])
				oldest = i;
		}
		if (used <= limit_mib)
			return;
		stamps[oldest] = 0;
		cl->ops->on_copy_change(cl, target, oldest);
	}
}

/* Adds the model to host memory and disk, within their limits. */
static void add_copies(cluster_t *cl, int target, int model)
{
	bench_target_t *t = &cl->targets[target];

	t->memory_copy_us[model] = cl->sim.now_us + 1;
	t->disk_copy_us[model] = cl->sim.now_us + 1;
	cl->ops->on_copy_change(cl, target, model);
	evict_copies(cl, target, t->memory_copy_us, HOST_CACHE_MIB);
	evict_copies(cl, target, t->disk_copy_us, DISK_CACHE_MIB);
}

/* Completes a load or an unload. */
static void on_transition_end(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	slot_event_t *e = data;
	slot_t *slot = &cl->targets[e->target].slots[e->model];

	if (slot->is_used && slot->serial == e->serial) {
		if (slot->is_unloading) {
			add_idle_time(cl, e->target, e->model);
			slot->is_used = slot->is_unloading = false;
			cl->targets[e->target].used_mib -=
				cl->load->models[e->model].memory_mib;
		} else {
			slot->is_ready = true;
			add_copies(cl, e->target, e->model);
		}
		cl->ops->on_slot_change(cl, e->target, e->model);
	}
	g_free(e);
}

static void schedule_transition_end(cluster_t *cl, int target, int model,
				    int64_t delay_us)
{
	slot_event_t *e = g_new0(slot_event_t, 1);

	e->target = target;
	e->model = model;
	e->serial = cl->targets[target].slots[model].serial;
	sim_after(&cl->sim, delay_us, on_transition_end, cl, e);
}

/* Speed of each transfer; 1 is a load at full speed. */
static double transfer_speed(const cluster_t *cl)
{
	double n = cl->transfers->len;

	return n == 0 ? 1
		      : MIN(1.0, cl->load->d->concurrent / n) * cl->store_speed;
}

static void on_transfer_due(void *ctx, void *data);

/* Updates the progress of all transfers and schedules the next completion. */
static void transfers_update(cluster_t *cl)
{
	double passed_s = (double)(cl->sim.now_us - cl->transfers_us) / 1e6;
	double rate = transfer_speed(cl);
	double next_s = INFINITY;

	cl->transfers_us = cl->sim.now_us;
	for (guint i = 0; i < cl->transfers->len; i++)
		g_array_index(cl->transfers, transfer_t, i).remaining_s -=
			passed_s * rate;
	for (guint i = cl->transfers->len; i-- > 0;) {
		transfer_t *t = &g_array_index(cl->transfers, transfer_t, i);
		const slot_t *slot = &cl->targets[t->target].slots[t->model];

		if (!slot->is_used || slot->serial != t->serial) {
			g_array_remove_index_fast(cl->transfers, i);
		} else if (t->remaining_s <= 1e-6) {
			int target = t->target;
			int model = t->model;

			g_array_remove_index_fast(cl->transfers, i);
			schedule_transition_end(cl, target, model, 0);
		}
	}
	rate = transfer_speed(cl);
	for (guint i = 0; i < cl->transfers->len; i++)
		next_s = MIN(next_s, g_array_index(cl->transfers, transfer_t, i)
						     .remaining_s /
					     rate);
	if (isfinite(next_s)) {
		uint64_t *serial = g_new(uint64_t, 1);

		*serial = ++cl->serial;
		sim_after(&cl->sim, (int64_t)ceil(next_s * 1e6),
			  on_transfer_due, cl, serial);
	}
}

static void on_transfer_due(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	bool is_latest = *(uint64_t *)data == cl->serial;

	g_free(data);
	/* An update since then has scheduled a newer event. */
	if (is_latest)
		transfers_update(cl);
}

static void on_transfer_start(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	transfer_t *t = data;

	transfers_update(cl);
	g_array_append_val(cl->transfers, *t);
	transfers_update(cl);
	g_free(t);
}

bool cluster_load(cluster_t *cl, int target, int model)
{
	bench_target_t *t = &cl->targets[target];
	const bench_model_t *m = &cl->load->models[model];
	slot_t *slot = &t->slots[model];
	bsh_copy_t copy = cluster_copy(cl, target, model);
	double full_s = m->load_ms / 1000.0;

	if (slot->is_used)
		return !slot->is_unloading;
	if (!t->is_up || t->used_mib + m->memory_mib > TARGET_MIB) {
		cl->m.loads_refused++;
		return false;
	}
	t->used_mib += m->memory_mib;
	*slot = (slot_t){ .is_used = true,
			  .serial = ++cl->next_serial,
			  .since_us = cl->sim.now_us };
	if (cluster_is_measured(cl, cl->sim.now_us)) {
		cl->m.loads++;
		cl->m.loads_cached += copy != BSH_COPY_REMOTE ? 1 : 0;
	}
	if (copy == BSH_COPY_REMOTE) {
		transfer_t *x = g_new0(transfer_t, 1);
		double rate = cl->load->d->loads_per_s * cl->store_speed;

		x->target = target;
		x->model = model;
		x->serial = slot->serial;
		x->remaining_s = full_s;
		cl->next_start_us = MAX(cl->next_start_us, cl->sim.now_us);
		sim_after(&cl->sim, cl->next_start_us - cl->sim.now_us,
			  on_transfer_start, cl, x);
		cl->next_start_us += (int64_t)(1e6 / rate);
	} else {
		schedule_transition_end(
			cl, target, model,
			(int64_t)(full_s * 1e6 *
				  (copy == BSH_COPY_MEMORY ? MEMORY_LOAD_RATIO
							   : DISK_LOAD_RATIO)));
	}
	return true;
}

void cluster_unload(cluster_t *cl, int target, int model)
{
	slot_t *slot = &cl->targets[target].slots[model];

	if (!slot->is_used || slot->is_unloading)
		return;
	slot->is_ready = false;
	slot->is_unloading = true;
	slot->serial = ++cl->next_serial;
	schedule_transition_end(cl, target, model, UNLOAD_US);
}

static void on_request_end(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	slot_event_t *e = data;
	slot_t *slot = &cl->targets[e->target].slots[e->model];

	if (slot->is_used && slot->running > 0 && slot->serial == e->serial) {
		int base = cl->load->models[e->model].base;

		slot->since_us = cl->sim.now_us;
		slot->running--;
		if (base >= 0 &&
		    cl->targets[e->target].slots[base].running > 0) {
			cl->targets[e->target].slots[base].since_us =
				cl->sim.now_us;
			cl->targets[e->target].slots[base].running--;
		}
		cl->ops->on_slot_change(cl, e->target, e->model);
	}
	g_free(e);
}

void cluster_serve(cluster_t *cl, int target, const request_t *r)
{
	slot_t *slot = &cl->targets[target].slots[r->model];
	slot_event_t *e = g_new0(slot_event_t, 1);

	int base = cl->load->models[r->model].base;

	/* A request to an adapter also occupies its base model. */
	if (base >= 0) {
		add_idle_time(cl, target, base);
		cl->targets[target].slots[base].running++;
	}
	add_idle_time(cl, target, r->model);
	slot->running++;
	e->target = target;
	e->model = r->model;
	e->serial = slot->serial;
	sim_after(&cl->sim, r->run_us, on_request_end, cl, e);
}

void cluster_record_wait(cluster_t *cl, const request_t *r, int64_t wait_us,
			 bool is_refused)
{
	int64_t limit_us = cl->load->models[r->model].deadline_us;
	bool is_late = is_refused || wait_us > limit_us;
	double value = (double)(is_late ? limit_us : wait_us);

	if (!cluster_is_measured(cl, r->at_us))
		return;
	cl->m.requests++;
	cl->m.late += is_late ? 1 : 0;
	g_array_append_val(cl->m.waits_us, value);
}

/* Schedules the next arrival and passes this one to the policy. */
static void on_arrival(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	guint i = GPOINTER_TO_UINT(data);
	const GArray *all = cl->load->requests;
	const request_t *r = &g_array_index(all, request_t, i);

	if (i + 1 < all->len)
		sim_after(&cl->sim,
			  g_array_index(all, request_t, i + 1).at_us - r->at_us,
			  on_arrival, cl, GUINT_TO_POINTER(i + 1));
	cl->ops->on_request(cl, r);
}

/* Stops a target, which loses its models and copies. */
static void stop_target(cluster_t *cl, int target)
{
	bench_target_t *t = &cl->targets[target];

	for (int i = 0; i < cl->load->model_count; i++) {
		add_idle_time(cl, target, i);
		t->slots[i] = (slot_t){ 0 };
		t->memory_copy_us[i] = 0;
		t->disk_copy_us[i] = 0;
	}
	t->used_mib = 0;
	t->is_up = false;
}

static void on_scenario_begin(void *ctx, void *data)
{
	cluster_t *cl = ctx;

	(void)data;
	if (cl->scenario == SCENARIO_STORE_DOWN)
		cl->is_store_down = true;
	for (int i = 0;
	     cl->scenario == SCENARIO_RECLAIMED && i < cl->load->d->targets / 3;
	     i++)
		stop_target(cl, i);
	cl->ops->on_targets_change(cl);
}

static void on_scenario_end(void *ctx, void *data)
{
	cluster_t *cl = ctx;

	(void)data;
	cl->is_store_down = false;
	for (int i = 0; i < cl->load->d->targets; i++) {
		if (!cl->targets[i].is_up) {
			cl->targets[i].is_up = true;
			cl->targets[i].incarnation++;
		}
	}
	cl->ops->on_targets_change(cl);
}

void cluster_init(cluster_t *cl, const workload_t *load, scenario_t scenario,
		  uint32_t seed, const policy_ops_t *ops, void *policy)
{
	int64_t at_us = load->begin_us + SCENARIO_START_US;

	memset(cl, 0, sizeof(*cl));
	sim_init(&cl->sim, seed);
	cl->load = load;
	cl->ops = ops;
	cl->policy = policy;
	cl->scenario = scenario;
	cl->store_speed = scenario == SCENARIO_SLOW_WEIGHTS ? 0.1 : 1;
	cl->transfers = g_array_new(FALSE, FALSE, sizeof(transfer_t));
	cl->m.waits_us = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < load->d->targets; i++) {
		bench_target_t *t = &cl->targets[i];

		t->is_up = true;
		t->incarnation = 1;
		t->slots = g_new0(slot_t, load->model_count);
		t->memory_copy_us = g_new0(int64_t, load->model_count);
		t->disk_copy_us = g_new0(int64_t, load->model_count);
	}
	if (load->requests->len > 0)
		sim_after(&cl->sim,
			  g_array_index(load->requests, request_t, 0).at_us,
			  on_arrival, cl, GUINT_TO_POINTER(0));
	if (scenario == SCENARIO_RECLAIMED || scenario == SCENARIO_STORE_DOWN) {
		sim_after(&cl->sim, at_us, on_scenario_begin, cl, NULL);
		sim_after(&cl->sim,
			  at_us + (scenario == SCENARIO_RECLAIMED ? RECLAIM_US
								  : OUTAGE_US),
			  on_scenario_end, cl, NULL);
	}
}

void cluster_run(cluster_t *cl)
{
	sim_run(&cl->sim, cl->load->end_us + 700 * SIM_S);
	for (int t = 0; t < cl->load->d->targets; t++) {
		for (int i = 0; i < cl->load->model_count; i++)
			add_idle_time(cl, t, i);
	}
}

void cluster_finish(cluster_t *cl)
{
	for (int i = 0; i < cl->load->d->targets; i++) {
		g_free(cl->targets[i].slots);
		g_free(cl->targets[i].memory_copy_us);
		g_free(cl->targets[i].disk_copy_us);
	}
	g_array_free(cl->transfers, TRUE);
	g_array_free(cl->m.waits_us, TRUE);
	sim_finish(&cl->sim);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile_s(const GArray *sorted, double q)
{
	if (sorted->len == 0)
		return 0;
	return g_array_index(sorted, double,
			     MIN((guint)(q * sorted->len), sorted->len - 1)) /
	       1e6;
}

outcome_t outcome_of(const metrics_t *m)
{
	outcome_t o = { .idle_hours = m->idle_hours,
			.loads = (double)m->loads,
			.loads_refused = m->loads_refused };

	g_array_sort(m->waits_us, compare_doubles);
	o.p50_s = quantile_s(m->waits_us, 0.5);
	o.p99_s = quantile_s(m->waits_us, 0.99);
	o.p999_s = quantile_s(m->waits_us, 0.999);
	if (m->requests > 0)
		o.late_part = (double)m->late / (double)m->requests;
	if (m->loads > 0)
		o.hit_rate = (double)m->loads_cached / (double)m->loads;
	if (m->wakes > 0)
		o.store_calls_per_wake =
			(double)m->store_calls / (double)m->wakes;
	return o;
}
