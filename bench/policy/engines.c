#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy.h"

#define TARGET_MIB	(80 * 1024)
#define HOST_MEMORY_MIB (128 * 1024)
#define DISK_MIB	(400 * 1024)
#define UNLOAD_US	(500 * SIM_MS)
#define MEMORY_PART	0.15
#define DISK_PART	0.4
#define RECLAIM_AT_US	(12 * 3600 * SIM_S) /* of the first measured day */
#define RECLAIM_US	(2 * 3600 * SIM_S)
#define OUTAGE_US	(3600 * SIM_S)
#define HOUR_US		3.6e9

/* A load from the weight store; the speed is shared beyond `concurrent`. */
typedef struct {
	int target, model;
	uint64_t serial;
	double left_s; /* at full speed */
} transfer_t;

typedef struct {
	int target, model;
	uint64_t serial;
} end_t;

uint32_t target_mib(void)
{
	return TARGET_MIB;
}

bool world_measures(const world_t *w, int64_t at_us)
{
	return at_us >= w->load->begin_us && at_us < w->load->end_us;
}

/* Books the span that ends now as idle if nothing ran. */
static void book(world_t *w, int target, int model)
{
	held_t *h = &w->targets[target].held[model];
	int64_t from_us = MAX(h->since_us, w->load->begin_us);
	int64_t to_us = MIN(w->sim.now_us, w->load->end_us);

	if (h->is_used && h->running == 0 && to_us > from_us)
		w->m.idle_hours += (double)(to_us - from_us) / HOUR_US *
				   w->load->models[model].memory_mib /
				   TARGET_MIB;
	h->since_us = w->sim.now_us;
}

bsh_copy_t world_copy(const world_t *w, int target, int model)
{
	const bench_target_t *t = &w->targets[target];

	if (t->memory_stamp[model] > 0)
		return BSH_COPY_MEMORY;
	return t->disk_stamp[model] > 0 ? BSH_COPY_DISK : BSH_COPY_REMOTE;
}

static void trim(world_t *w, int target, int64_t *stamps, uint64_t limit_mib)
{
	for (;;) {
		uint64_t used = 0;
		int oldest = -1;

		for (int i = 0; i < w->load->model_count; i++) {
			if (stamps[i] == 0)
				continue;
			used += w->load->models[i].memory_mib;
			if (oldest < 0 || stamps[i] < stamps[oldest])
				oldest = i;
		}
		if (used <= limit_mib)
			return;
		stamps[oldest] = 0;
		w->ops->copied(w, target, oldest);
	}
}

static void cache(world_t *w, int target, int model)
{
	bench_target_t *t = &w->targets[target];

	t->memory_stamp[model] = w->sim.now_us + 1;
	t->disk_stamp[model] = w->sim.now_us + 1;
	w->ops->copied(w, target, model);
	trim(w, target, t->memory_stamp, HOST_MEMORY_MIB);
	trim(w, target, t->disk_stamp, DISK_MIB);
}

static void load_ended(void *ctx, void *data)
{
	world_t *w = ctx;
	end_t *e = data;
	held_t *h = &w->targets[e->target].held[e->model];

	if (h->is_used && h->serial == e->serial) {
		if (h->is_unloading) {
			book(w, e->target, e->model);
			h->is_used = h->is_unloading = false;
			w->targets[e->target].used_mib -=
				w->load->models[e->model].memory_mib;
		} else {
			h->is_ready = true;
			cache(w, e->target, e->model);
		}
		w->ops->changed(w, e->target, e->model);
	}
	g_free(e);
}

static void end_after(world_t *w, int target, int model, int64_t delay_us)
{
	end_t *e = g_new0(end_t, 1);

	e->target = target;
	e->model = model;
	e->serial = w->targets[target].held[model].serial;
	sim_after(&w->sim, delay_us, load_ended, w, e);
}

static double speed(const world_t *w)
{
	double n = w->transfers->len;

	return n == 0 ? 1
		      : MIN(1.0, w->load->d->concurrent / n) * w->store_speed;
}

static void transfer_step(void *ctx, void *data);

/* Advances all transfers to now and arms the next completion. */
static void transfers_update(world_t *w)
{
	double passed_s = (double)(w->sim.now_us - w->transfers_us) / 1e6;
	double rate = speed(w);
	double next_s = INFINITY;

	w->transfers_us = w->sim.now_us;
	for (guint i = 0; i < w->transfers->len; i++)
		g_array_index(w->transfers, transfer_t, i).left_s -=
			passed_s * rate;
	for (guint i = w->transfers->len; i-- > 0;) {
		transfer_t *t = &g_array_index(w->transfers, transfer_t, i);
		const held_t *h = &w->targets[t->target].held[t->model];

		if (!h->is_used || h->serial != t->serial) {
			g_array_remove_index_fast(w->transfers, i);
		} else if (t->left_s <= 1e-6) {
			int target = t->target;
			int model = t->model;

			g_array_remove_index_fast(w->transfers, i);
			end_after(w, target, model, 0);
		}
	}
	rate = speed(w);
	for (guint i = 0; i < w->transfers->len; i++)
		next_s = MIN(next_s,
			     g_array_index(w->transfers, transfer_t, i).left_s /
				     rate);
	if (isfinite(next_s)) {
		uint64_t *serial = g_new(uint64_t, 1);

		*serial = ++w->serial;
		sim_after(&w->sim, (int64_t)ceil(next_s * 1e6), transfer_step,
			  w, serial);
	}
}

static void transfer_step(void *ctx, void *data)
{
	world_t *w = ctx;
	bool is_latest = *(uint64_t *)data == w->serial;

	g_free(data);
	/* A change since then has armed a later event. */
	if (is_latest)
		transfers_update(w);
}

static void transfer_start(void *ctx, void *data)
{
	world_t *w = ctx;
	transfer_t *t = data;

	transfers_update(w);
	g_array_append_val(w->transfers, *t);
	transfers_update(w);
	g_free(t);
}

bool world_load(world_t *w, int target, int model)
{
	bench_target_t *t = &w->targets[target];
	const bench_model_t *m = &w->load->models[model];
	held_t *h = &t->held[model];
	bsh_copy_t copy = world_copy(w, target, model);
	double full_s = m->load_ms / 1000.0;

	if (h->is_used)
		return !h->is_unloading;
	if (!t->is_up || t->used_mib + m->memory_mib > TARGET_MIB) {
		w->m.overcommits++;
		return false;
	}
	t->used_mib += m->memory_mib;
	*h = (held_t){ .is_used = true,
		       .serial = ++w->next_serial,
		       .since_us = w->sim.now_us };
	if (world_measures(w, w->sim.now_us)) {
		w->m.loads++;
		w->m.loads_cached += copy != BSH_COPY_REMOTE ? 1 : 0;
	}
	if (copy == BSH_COPY_REMOTE) {
		transfer_t *x = g_new0(transfer_t, 1);
		double rate = w->load->d->loads_per_s * w->store_speed;

		x->target = target;
		x->model = model;
		x->serial = h->serial;
		x->left_s = full_s;
		w->next_start_us = MAX(w->next_start_us, w->sim.now_us);
		sim_after(&w->sim, w->next_start_us - w->sim.now_us,
			  transfer_start, w, x);
		w->next_start_us += (int64_t)(1e6 / rate);
	} else {
		end_after(w, target, model,
			  (int64_t)(full_s * 1e6 *
				    (copy == BSH_COPY_MEMORY ? MEMORY_PART
							     : DISK_PART)));
	}
	return true;
}

void world_unload(world_t *w, int target, int model)
{
	held_t *h = &w->targets[target].held[model];

	if (!h->is_used || h->is_unloading)
		return;
	h->is_ready = false;
	h->is_unloading = true;
	h->serial = ++w->next_serial;
	end_after(w, target, model, UNLOAD_US);
}

static void served(void *ctx, void *data)
{
	world_t *w = ctx;
	end_t *e = data;
	held_t *h = &w->targets[e->target].held[e->model];

	if (h->is_used && h->running > 0 && h->serial == e->serial) {
		int base = w->load->models[e->model].base;

		h->since_us = w->sim.now_us;
		h->running--;
		if (base >= 0 && w->targets[e->target].held[base].running > 0) {
			w->targets[e->target].held[base].since_us =
				w->sim.now_us;
			w->targets[e->target].held[base].running--;
		}
		w->ops->changed(w, e->target, e->model);
	}
	g_free(e);
}

void world_serve(world_t *w, int target, const request_t *r)
{
	held_t *h = &w->targets[target].held[r->model];
	end_t *e = g_new0(end_t, 1);

	int base = w->load->models[r->model].base;

	/* An adapter's request keeps its base busy as well. */
	if (base >= 0) {
		book(w, target, base);
		w->targets[target].held[base].running++;
	}
	book(w, target, r->model);
	h->running++;
	e->target = target;
	e->model = r->model;
	e->serial = h->serial;
	sim_after(&w->sim, r->run_us, served, w, e);
}

void world_waited(world_t *w, const request_t *r, int64_t wait_us,
		  bool is_refused)
{
	int64_t limit_us = w->load->models[r->model].deadline_us;
	bool is_late = is_refused || wait_us > limit_us;
	/* A late or refused request counts with its whole deadline. */
	double value = (double)(is_late ? limit_us : wait_us);

	if (!world_measures(w, r->at_us))
		return;
	w->m.requests++;
	w->m.late += is_late ? 1 : 0;
	g_array_append_val(w->m.waits_us, value);
}

static void next_request(void *ctx, void *data)
{
	world_t *w = ctx;
	guint i = GPOINTER_TO_UINT(data);
	const GArray *all = w->load->requests;
	const request_t *r = &g_array_index(all, request_t, i);

	if (i + 1 < all->len)
		sim_after(&w->sim,
			  g_array_index(all, request_t, i + 1).at_us - r->at_us,
			  next_request, w, GUINT_TO_POINTER(i + 1));
	w->ops->begin(w, r);
}

static void stop_target(world_t *w, int target)
{
	bench_target_t *t = &w->targets[target];

	for (int i = 0; i < w->load->model_count; i++) {
		book(w, target, i);
		t->held[i] = (held_t){ 0 };
		t->memory_stamp[i] = 0;
		t->disk_stamp[i] = 0;
	}
	t->used_mib = 0;
	t->is_up = false;
}

static void scene_begins(void *ctx, void *data)
{
	world_t *w = ctx;

	(void)data;
	if (w->scene == SCENE_STORE_DOWN)
		w->is_store_down = true;
	for (int i = 0;
	     w->scene == SCENE_RECLAIMED && i < w->load->d->targets / 3; i++)
		stop_target(w, i);
	w->ops->list(w);
}

static void scene_ends(void *ctx, void *data)
{
	world_t *w = ctx;

	(void)data;
	w->is_store_down = false;
	for (int i = 0; i < w->load->d->targets; i++) {
		if (!w->targets[i].is_up) {
			w->targets[i].is_up = true;
			w->targets[i].incarnation++;
		}
	}
	w->ops->list(w);
}

void world_init(world_t *w, const workload_t *load, scene_t scene,
		uint32_t seed, const policy_ops_t *ops, void *policy)
{
	int64_t at_us = load->begin_us + RECLAIM_AT_US;

	memset(w, 0, sizeof(*w));
	sim_init(&w->sim, seed);
	w->load = load;
	w->ops = ops;
	w->policy = policy;
	w->scene = scene;
	w->store_speed = scene == SCENE_SLOW_WEIGHTS ? 0.1 : 1;
	w->transfers = g_array_new(FALSE, FALSE, sizeof(transfer_t));
	w->m.waits_us = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < load->d->targets; i++) {
		bench_target_t *t = &w->targets[i];

		t->is_up = true;
		t->incarnation = 1;
		t->held = g_new0(held_t, load->model_count);
		t->memory_stamp = g_new0(int64_t, load->model_count);
		t->disk_stamp = g_new0(int64_t, load->model_count);
	}
	if (load->requests->len > 0)
		sim_after(&w->sim,
			  g_array_index(load->requests, request_t, 0).at_us,
			  next_request, w, GUINT_TO_POINTER(0));
	if (scene == SCENE_RECLAIMED || scene == SCENE_STORE_DOWN) {
		sim_after(&w->sim, at_us, scene_begins, w, NULL);
		sim_after(&w->sim,
			  at_us + (scene == SCENE_RECLAIMED ? RECLAIM_US
							    : OUTAGE_US),
			  scene_ends, w, NULL);
	}
}

void world_run(world_t *w)
{
	sim_run(&w->sim, w->load->end_us + 700 * SIM_S);
	for (int t = 0; t < w->load->d->targets; t++) {
		for (int i = 0; i < w->load->model_count; i++)
			book(w, t, i);
	}
}

void world_finish(world_t *w)
{
	for (int i = 0; i < w->load->d->targets; i++) {
		g_free(w->targets[i].held);
		g_free(w->targets[i].memory_stamp);
		g_free(w->targets[i].disk_stamp);
	}
	g_array_free(w->transfers, TRUE);
	g_array_free(w->m.waits_us, TRUE);
	sim_finish(&w->sim);
}

static gint by_value(gconstpointer a, gconstpointer b)
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

outcome_t outcome_of(const measure_t *m)
{
	outcome_t o = { .idle_hours = m->idle_hours,
			.loads = (double)m->loads,
			.overcommits = m->overcommits };

	g_array_sort(m->waits_us, by_value);
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
