#include <string.h>

#include "policy.h"

#define SEEN_US (125 * SIM_MS) /* mean time until a poll shows it ready */

typedef struct {
	int target; /* -1: neither loaded nor loading */
	bool is_ready;
	int64_t idle_us; /* end of the latest use */
	GArray *waiting; /* request_t */
} naive_model_t;

typedef struct {
	world_t *w;
	int64_t keep_us; /* INT64_MAX: for ever */
	naive_model_t *models;
} naive_t;

static bool is_base_held(const naive_t *n, int model)
{
	for (int i = 0; i < n->w->load->model_count; i++) {
		if (n->w->load->models[i].base == model &&
		    n->models[i].target >= 0)
			return true;
	}
	return false;
}

static bool is_idle(const naive_t *n, int model)
{
	const naive_model_t *m = &n->models[model];

	return m->target >= 0 && m->is_ready && m->waiting->len == 0 &&
	       n->w->targets[m->target].held[model].running == 0 &&
	       !is_base_held(n, model);
}

static void drop(naive_t *n, int model)
{
	world_unload(n->w, n->models[model].target, model);
	n->models[model].target = -1;
	n->models[model].is_ready = false;
}

/* Unloads the longest idle models of a target until need_mib will fit. */
static void make_room(naive_t *n, int target, uint32_t need_mib)
{
	uint64_t coming = 0;

	for (int i = 0; i < n->w->load->model_count; i++) {
		if (n->w->targets[target].held[i].is_unloading)
			coming += n->w->load->models[i].memory_mib;
	}
	while (n->w->targets[target].used_mib - coming + need_mib >
	       target_mib()) {
		int oldest = -1;

		for (int i = 0; i < n->w->load->model_count; i++) {
			if (n->models[i].target == target && is_idle(n, i) &&
			    (oldest < 0 ||
			     n->models[i].idle_us < n->models[oldest].idle_us))
				oldest = i;
		}
		if (oldest < 0)
			return;
		coming += n->w->load->models[oldest].memory_mib;
		drop(n, oldest);
	}
}

static bool fits(const naive_t *n, int target, uint32_t need_mib)
{
	return n->w->targets[target].is_up &&
	       n->w->targets[target].used_mib + need_mib <= target_mib();
}

/* Any target with room. */
static int any_target(naive_t *n, uint32_t need_mib)
{
	int count = n->w->load->d->targets;
	int first = (int)bsh_rng_below(&n->w->sim.rng, (uint32_t)count);

	for (int i = 0; i < count; i++) {
		int target = (first + i) % count;

		if (fits(n, target, need_mib))
			return target;
	}
	for (int i = 0; i < count; i++) {
		if (n->w->targets[(first + i) % count].is_up) {
			make_room(n, (first + i) % count, need_mib);
			break;
		}
	}
	return -1;
}

static void try_load(naive_t *n, int model)
{
	const bench_model_t *m = &n->w->load->models[model];
	naive_model_t *own = &n->models[model];
	int target;

	/* Without the store there is no lease, and no load without it. */
	if (own->target >= 0 || n->w->is_store_down)
		return;
	if (m->base >= 0) {
		const naive_model_t *base = &n->models[m->base];

		if (base->target < 0)
			try_load(n, m->base);
		if (base->target < 0 || !base->is_ready)
			return;
		target = base->target;
		if (!fits(n, target, m->memory_mib)) {
			make_room(n, target, m->memory_mib);
			return;
		}
	} else {
		target = any_target(n, m->memory_mib);
	}
	if (target >= 0 && !n->w->targets[target].held[model].is_used &&
	    world_load(n->w, target, model)) {
		own->target = target;
		own->is_ready = false;
	}
}

static void try_all(naive_t *n)
{
	for (int i = 0; i < n->w->load->model_count; i++) {
		if (n->models[i].waiting->len > 0)
			try_load(n, i);
	}
}

typedef struct {
	naive_t *n;
	int model;
} due_t;

static void keep_ends(void *ctx, void *data)
{
	world_t *w = ctx;
	due_t *d = data;
	naive_t *n = d->n;

	if (is_idle(n, d->model) &&
	    w->sim.now_us - n->models[d->model].idle_us >= n->keep_us) {
		int base = w->load->models[d->model].base;

		drop(n, d->model);
		if (base >= 0 && is_idle(n, base) &&
		    w->sim.now_us - n->models[base].idle_us >= n->keep_us)
			drop(n, base);
	}
	g_free(d);
}

static void note_idle(naive_t *n, int model)
{
	due_t *d;

	n->models[model].idle_us = n->w->sim.now_us;
	if (n->keep_us == INT64_MAX)
		return;
	d = g_new0(due_t, 1);
	d->n = n;
	d->model = model;
	sim_after(&n->w->sim, n->keep_us, keep_ends, n->w, d);
}

static void seen_ready(void *ctx, void *data)
{
	world_t *w = ctx;
	due_t *d = data;
	naive_t *n = d->n;
	naive_model_t *m = &n->models[d->model];

	if (m->target >= 0 && w->targets[m->target].held[d->model].is_ready) {
		m->is_ready = true;
		for (guint i = 0; i < m->waiting->len; i++) {
			request_t r = g_array_index(m->waiting, request_t, i);

			world_waited(w, &r, w->sim.now_us - r.at_us, false);
			world_serve(w, m->target, &r);
		}
		g_array_set_size(m->waiting, 0);
		note_idle(n, d->model);
	}
	g_free(d);
	try_all(n);
}

static void changed(world_t *w, int target, int model)
{
	naive_t *n = w->policy;
	naive_model_t *m = &n->models[model];
	const held_t *h = &w->targets[target].held[model];
	due_t *d;

	if (m->target == target && h->is_ready && !m->is_ready) {
		d = g_new0(due_t, 1);
		d->n = n;
		d->model = model;
		sim_after(&w->sim, SEEN_US, seen_ready, w, d);
		return;
	}
	if (m->target == target && h->is_ready && h->running == 0) {
		note_idle(n, model);
		if (w->load->models[model].base >= 0)
			note_idle(n, w->load->models[model].base);
	}
	try_all(n);
}

static void copied(world_t *w, int target, int model)
{
	(void)w;
	(void)target;
	(void)model;
}

static void begin(world_t *w, const request_t *r)
{
	naive_t *n = w->policy;
	naive_model_t *m = &n->models[r->model];

	if (m->target >= 0 && m->is_ready) {
		world_waited(w, r, 0, false);
		world_serve(w, m->target, r);
		return;
	}
	g_array_append_val(m->waiting, *r);
	try_load(n, r->model);
}

static void list(world_t *w)
{
	naive_t *n = w->policy;

	for (int i = 0; i < w->load->model_count; i++) {
		naive_model_t *m = &n->models[i];

		if (m->target >= 0 && !w->targets[m->target].is_up) {
			m->target = -1;
			m->is_ready = false;
		}
	}
	try_all(n);
}

static const policy_ops_t policy_ops = { changed, copied, begin, list };

outcome_t run_naive(const workload_t *load, scene_t scene, uint32_t seed,
		    int64_t keep_us)
{
	naive_t n = { .keep_us = keep_us };
	world_t *w = g_new0(world_t, 1);
	outcome_t outcome;

	n.w = w;
	n.models = g_new0(naive_model_t, load->model_count);
	for (int i = 0; i < load->model_count; i++) {
		n.models[i].target = -1;
		n.models[i].waiting =
			g_array_new(FALSE, FALSE, sizeof(request_t));
	}
	world_init(w, load, scene, seed, &policy_ops, &n);
	world_run(w);
	for (int i = 0; i < load->model_count; i++) {
		for (guint j = 0; j < n.models[i].waiting->len; j++)
			world_waited(w,
				     &g_array_index(n.models[i].waiting,
						    request_t, j),
				     0, true);
		g_array_free(n.models[i].waiting, TRUE);
	}
	outcome = outcome_of(&w->m);
	world_finish(w);
	g_free(n.models);
	g_free(w);
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
		/* The quickest reload: from host memory, just in time. */
		double idle_s = m->load_ms / 1000.0 * 0.15;

		if (end_us[r->model] >= 0)
			idle_s = MIN(
				idle_s,
				MAX((double)(r->at_us - end_us[r->model]) / 1e6,
				    0));
		if (r->at_us >= load->begin_us)
			o.idle_hours +=
				idle_s / 3600 * m->memory_mib / target_mib();
		end_us[r->model] = MAX(end_us[r->model], r->at_us + r->run_us);
	}
	g_free(end_us);
	return o;
}
