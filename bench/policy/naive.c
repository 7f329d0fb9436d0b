#include <string.h>

#include "policy.h"

/*
 * Baseline: loads a model on a random target with free memory, evicts the
 * models idle for longest when none has any, and unloads a model after a fixed
 * idle time.
 */

/* Mean delay until a poll observes that a model is ready. */
#define READY_OBSERVED_US (125 * SIM_MS)

typedef struct {
	int target;	       /* -1: neither loaded nor loading */
	bool is_ready;	       /* as observed by a poll */
	int64_t idle_since_us; /* end of the latest use */
	GArray *waiting;       /* request_t */
} naive_model_t;

typedef struct {
	cluster_t *cl;
	int64_t keep_alive_us; /* INT64_MAX: no limit */
	naive_model_t *models;
} naive_t;

static bool has_loaded_adapter(const naive_t *n, int model)
{
	for (int i = 0; i < n->cl->load->model_count; i++) {
		if (n->cl->load->models[i].base == model &&
		    n->models[i].target >= 0)
			return true;
	}
	return false;
}

/* Ready, without requests and, as a base, without loaded adapters. */
static bool is_idle(const naive_t *n, int model)
{
	const naive_model_t *m = &n->models[model];

	return m->target >= 0 && m->is_ready && m->waiting->len == 0 &&
	       n->cl->targets[m->target].slots[model].running == 0 &&
	       !has_loaded_adapter(n, model);
}

static void unload_model(naive_t *n, int model)
{
	cluster_unload(n->cl, n->models[model].target, model);
	n->models[model].target = -1;
	n->models[model].is_ready = false;
}

/* Unloads models of a target, idle for longest first, until need_mib fit. */
static void evict_idle(naive_t *n, int target, uint32_t need_mib)
{
	uint64_t unloading_mib = 0;

	for (int i = 0; i < n->cl->load->model_count; i++) {
		if (n->cl->targets[target].slots[i].is_unloading)
			unloading_mib += n->cl->load->models[i].memory_mib;
	}
	while (n->cl->targets[target].used_mib - unloading_mib + need_mib >
	       target_memory_mib()) {
		int oldest = -1;

		for (int i = 0; i < n->cl->load->model_count; i++) {
			if (n->models[i].target == target && is_idle(n, i) &&
			    (oldest < 0 ||
			     n->models[i].idle_since_us <
				     n->models[oldest].idle_since_us))
				oldest = i;
		}
		if (oldest < 0)
			return;
		unloading_mib += n->cl->load->models[oldest].memory_mib;
		unload_model(n, oldest);
	}
}

static bool fits(const naive_t *n, int target, uint32_t need_mib)
{
	return n->cl->targets[target].is_up &&
	       n->cl->targets[target].used_mib + need_mib <=
		       target_memory_mib();
}

/* A random target with free memory; -1 if none, after evicting on one. */
static int choose_target(naive_t *n, uint32_t need_mib)
{
	int count = n->cl->load->d->targets;
	int first = (int)bsh_rng_below(&n->cl->sim.rng, (uint32_t)count);

	for (int i = 0; i < count; i++) {
		int target = (first + i) % count;

		if (fits(n, target, need_mib))
			return target;
	}
	for (int i = 0; i < count; i++) {
		if (n->cl->targets[(first + i) % count].is_up) {
			evict_idle(n, (first + i) % count, need_mib);
			break;
		}
	}
	return -1;
}

/* Starts a load if possible; an adapter needs its base to be ready. */
static void start_load(naive_t *n, int model)
{
	const bench_model_t *m = &n->cl->load->models[model];
	naive_model_t *state = &n->models[model];
	int target;

	/* A load needs a lease, and a lease needs the object store. */
	if (state->target >= 0 || n->cl->is_store_down)
		return;
	if (m->base >= 0) {
		const naive_model_t *base = &n->models[m->base];

		if (base->target < 0)
			start_load(n, m->base);
		if (base->target < 0 || !base->is_ready)
			return;
		target = base->target;
		if (!fits(n, target, m->memory_mib)) {
			evict_idle(n, target, m->memory_mib);
			return;
		}
	} else {
		target = choose_target(n, m->memory_mib);
	}
	if (target >= 0 && !n->cl->targets[target].slots[model].is_used &&
	    cluster_load(n->cl, target, model)) {
		state->target = target;
		state->is_ready = false;
	}
}

static void start_waiting_loads(naive_t *n)
{
	for (int i = 0; i < n->cl->load->model_count; i++) {
		if (n->models[i].waiting->len > 0)
			start_load(n, i);
	}
}

typedef struct {
	naive_t *n;
	int model;
} model_timer_t;

static void on_keep_alive_expired(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	model_timer_t *d = data;
	naive_t *n = d->n;

	if (is_idle(n, d->model) &&
	    cl->sim.now_us - n->models[d->model].idle_since_us >=
		    n->keep_alive_us) {
		int base = cl->load->models[d->model].base;

		unload_model(n, d->model);
		if (base >= 0 && is_idle(n, base) &&
		    cl->sim.now_us - n->models[base].idle_since_us >=
			    n->keep_alive_us)
			unload_model(n, base);
	}
	g_free(d);
}

static void mark_idle(naive_t *n, int model)
{
	model_timer_t *d;

	n->models[model].idle_since_us = n->cl->sim.now_us;
	if (n->keep_alive_us == INT64_MAX)
		return;
	d = g_new0(model_timer_t, 1);
	d->n = n;
	d->model = model;
	sim_after(&n->cl->sim, n->keep_alive_us, on_keep_alive_expired, n->cl,
		  d);
}

/* Serves the waiting requests after a poll has observed readiness. */
static void on_ready_observed(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	model_timer_t *d = data;
	naive_t *n = d->n;
	naive_model_t *m = &n->models[d->model];

	if (m->target >= 0 && cl->targets[m->target].slots[d->model].is_ready) {
		m->is_ready = true;
		for (guint i = 0; i < m->waiting->len; i++) {
			request_t r = g_array_index(m->waiting, request_t, i);

			cluster_record_wait(cl, &r, cl->sim.now_us - r.at_us,
					    false);
			cluster_serve(cl, m->target, &r);
		}
		g_array_set_size(m->waiting, 0);
		mark_idle(n, d->model);
	}
	g_free(d);
	start_waiting_loads(n);
}

static void on_slot_change(cluster_t *cl, int target, int model)
{
	naive_t *n = cl->policy;
	naive_model_t *m = &n->models[model];
	const slot_t *slot = &cl->targets[target].slots[model];
	model_timer_t *d;

	if (m->target == target && slot->is_ready && !m->is_ready) {
		d = g_new0(model_timer_t, 1);
		d->n = n;
		d->model = model;
		sim_after(&cl->sim, READY_OBSERVED_US, on_ready_observed, cl,
			  d);
		return;
	}
	if (m->target == target && slot->is_ready && slot->running == 0) {
		mark_idle(n, model);
		if (cl->load->models[model].base >= 0)
			mark_idle(n, cl->load->models[model].base);
	}
	start_waiting_loads(n);
}

static void on_copy_change(cluster_t *cl, int target, int model)
{
	(void)cl;
	(void)target;
	(void)model;
}

static void on_request(cluster_t *cl, const request_t *r)
{
	naive_t *n = cl->policy;
	naive_model_t *m = &n->models[r->model];

	if (m->target >= 0 && m->is_ready) {
		cluster_record_wait(cl, r, 0, false);
		cluster_serve(cl, m->target, r);
		return;
	}
	g_array_append_val(m->waiting, *r);
	start_load(n, r->model);
}

static void on_targets_change(cluster_t *cl)
{
	naive_t *n = cl->policy;

	for (int i = 0; i < cl->load->model_count; i++) {
		naive_model_t *m = &n->models[i];

		if (m->target >= 0 && !cl->targets[m->target].is_up) {
			m->target = -1;
			m->is_ready = false;
		}
	}
	start_waiting_loads(n);
}

static const policy_ops_t policy_ops = { on_slot_change, on_copy_change,
					 on_request, on_targets_change };

outcome_t run_naive(const workload_t *load, scenario_t scenario, uint32_t seed,
		    int64_t keep_alive_us)
{
	naive_t n = { .keep_alive_us = keep_alive_us };
	cluster_t *cl = g_new0(cluster_t, 1);
	outcome_t outcome;

	n.cl = cl;
	n.models = g_new0(naive_model_t, load->model_count);
	for (int i = 0; i < load->model_count; i++) {
		n.models[i].target = -1;
		n.models[i].waiting =
			g_array_new(FALSE, FALSE, sizeof(request_t));
	}
	cluster_init(cl, load, scenario, seed, &policy_ops, &n);
	cluster_run(cl);
	for (int i = 0; i < load->model_count; i++) {
		for (guint j = 0; j < n.models[i].waiting->len; j++)
			cluster_record_wait(cl,
					    &g_array_index(n.models[i].waiting,
							   request_t, j),
					    0, true);
		g_array_free(n.models[i].waiting, TRUE);
	}
	outcome = outcome_of(&cl->m);
	cluster_finish(cl);
	g_free(n.models);
	g_free(cl);
	return outcome;
}

outcome_t run_planner(const workload_t *load)
{
	int64_t *end_us = g_new(int64_t, load->model_count);
	outcome_t o = { 0 };

	for (int i = 0; i < load->model_count; i++)
		end_us[i] = -1;
	for (guint i = 0; i < load->requests->len; i++) {
		const request_t *r =
			&g_array_index(load->requests, request_t, i);
		const bench_model_t *m = &load->models[r->model];
		/* Fastest reload: from host memory, done at the arrival. */
		double idle_s = m->load_ms / 1000.0 * 0.15;

		if (end_us[r->model] >= 0)
			idle_s = MIN(
				idle_s,
				MAX((double)(r->at_us - end_us[r->model]) / 1e6,
				    0));
		if (r->at_us >= load->begin_us)
			o.idle_hours += idle_s / 3600 * m->memory_mib /
					target_memory_mib();
		end_us[r->model] = MAX(end_us[r->model], r->at_us + r->run_us);
	}
	g_free(end_us);
	return o;
}
