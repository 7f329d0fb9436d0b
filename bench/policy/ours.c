#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/loader.h"
#include "policy.h"

#define POOL		 "pool"
#define HOP_US		 (1 * SIM_MS)
#define STORE_US	 (3 * SIM_MS)
#define IDLE_POLL_US	 (10 * SIM_S)
#define OUTAGE_ANSWER_US (20 * SIM_MS)

typedef struct {
	world_t *w;
	bsh_loader_t loader;
	GHashTable *numbers; /* model name to index + 1 */
	GArray **routes;     /* by model: int targets */
	GHashTable *waiting; /* demand id to request_t */
	uint64_t next_demand;
	uint64_t version;
	char *value;
	int64_t poll_at[TARGETS_MAX];
} ours_t;

typedef struct {
	ours_t *o;
	uint64_t id, base, version;
	char *value;
	int target, model;
	bool is_load, is_ready;
} call_t;

static call_t *call_new(ours_t *o)
{
	call_t *c = g_new0(call_t, 1);

	c->o = o;
	return c;
}

static void call_free(call_t *c)
{
	g_free(c->value);
	g_free(c);
}

static int target_number(const char *name)
{
	return atoi(name + strlen("target-"));
}

static void read_done(void *ctx, void *data)
{
	world_t *w = ctx;
	call_t *c = data;
	ours_t *o = c->o;

	if (w->is_store_down)
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_UNAVAILABLE,
				       0, NULL, 0, w->sim.now_us);
	else if (o->version == 0)
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_NOT_FOUND, 0,
				       NULL, 0, w->sim.now_us);
	else
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_OK,
				       o->version, o->value, strlen(o->value),
				       w->sim.now_us);
	call_free(c);
}

static void update_done(void *ctx, void *data)
{
	world_t *w = ctx;
	call_t *c = data;
	ours_t *o = c->o;

	if (w->is_store_down) {
		bsh_loader_update_result(&o->loader, POOL,
					 BSH_STORE_UNAVAILABLE, 0,
					 w->sim.now_us);
	} else if (c->base != o->version) {
		bsh_loader_update_result(&o->loader, POOL, BSH_STORE_CONFLICT,
					 o->version, w->sim.now_us);
	} else {
		g_free(o->value);
		o->value = g_strdup(c->value);
		o->version++;
		bsh_loader_update_result(&o->loader, POOL, BSH_STORE_OK,
					 o->version, w->sim.now_us);
	}
	call_free(c);
}

static void op_read(void *ctx, const char *cell)
{
	ours_t *o = ctx;

	(void)cell;
	o->w->m.store_calls += world_measures(o->w, o->w->sim.now_us) ? 1 : 0;
	sim_after(&o->w->sim, STORE_US, read_done, o->w, call_new(o));
}

static void op_update(void *ctx, const char *cell, uint64_t base,
		      const char *value)
{
	ours_t *o = ctx;
	call_t *c = call_new(o);

	(void)cell;
	c->base = base;
	c->value = g_strdup(value);
	o->w->m.store_calls += world_measures(o->w, o->w->sim.now_us) ? 1 : 0;
	sim_after(&o->w->sim, STORE_US, update_done, o->w, c);
}

static void poll_done(void *ctx, void *data);

static void poll_in(ours_t *o, int target, int64_t delay_us)
{
	int64_t at_us = o->w->sim.now_us + delay_us;
	call_t *c;

	if (o->poll_at[target] > o->w->sim.now_us &&
	    o->poll_at[target] <= at_us)
		return;
	o->poll_at[target] = at_us;
	c = call_new(o);
	c->target = target;
	sim_after(&o->w->sim, delay_us, poll_done, o->w, c);
}

static void poll_done(void *ctx, void *data)
{
	world_t *w = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	int target = c->target;
	const bench_target_t *t = &w->targets[target];
	bsh_target_model_t *models;
	char name[BSH_CELL_NAME_SIZE];
	bsh_target_status_t s = { .target = name,
				  .incarnation = t->incarnation,
				  .memory_total_mib = target_mib(),
				  .memory_used_mib = t->used_mib,
				  .began_us = w->sim.now_us };
	bool is_moving = false;

	call_free(c);
	if (o->poll_at[target] != w->sim.now_us)
		return; /* a sooner poll took its place */
	o->poll_at[target] = 0;
	models = g_new0(bsh_target_model_t, w->load->model_count);
	s.models = models;
	g_snprintf(name, sizeof(name), "target-%d", target);
	for (int i = 0; i < w->load->model_count; i++) {
		const held_t *h = &t->held[i];

		if (!h->is_used)
			continue;
		s.running += h->running;
		is_moving |= !h->is_ready;
		models[s.model_count++] = (bsh_target_model_t){
			.model = w->load->models[i].name,
			.version = "1",
			.state = h->is_ready	   ? BSH_SLOT_READY
				 : h->is_unloading ? BSH_SLOT_UNLOADING
						   : BSH_SLOT_LOADING,
			.memory_mib = w->load->models[i].memory_mib
		};
	}
	if (t->is_up)
		bsh_loader_update_status(&o->loader, &s, w->sim.now_us);
	g_free(models);
	poll_in(o, target, is_moving ? POLL_US : IDLE_POLL_US);
}

static void op_poll(void *ctx, const char *target)
{
	poll_in(ctx, target_number(target), HOP_US);
}

static void order_done(void *ctx, void *data)
{
	world_t *w = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	bsh_order_result_t result = BSH_ORDER_ACCEPTED;

	if (!w->targets[c->target].is_up)
		result = BSH_ORDER_NOT_SENT;
	else if (!c->is_load)
		world_unload(w, c->target, c->model);
	else if (!world_load(w, c->target, c->model))
		result = BSH_ORDER_NO_MEMORY;
	bsh_loader_order_result(&o->loader, c->id, result, 0, w->sim.now_us);
	poll_in(o, c->target, POLL_US);
	call_free(c);
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	ours_t *o = ctx;
	call_t *c = call_new(o);

	c->id = order->id;
	c->is_load = order->kind == BSH_ORDER_LOAD;
	c->target = target_number(order->target);
	c->model =
		GPOINTER_TO_INT(g_hash_table_lookup(o->numbers, order->model)) -
		1;
	sim_after(&o->w->sim, HOP_US, order_done, o->w, c);
}

static void op_route(void *ctx, const bsh_loader_route_t *route)
{
	ours_t *o = ctx;
	int model =
		GPOINTER_TO_INT(g_hash_table_lookup(o->numbers, route->model)) -
		1;

	g_array_set_size(o->routes[model], 0);
	for (size_t i = 0; i < route->count; i++) {
		int target = target_number(route->targets[i]);

		g_array_append_val(o->routes[model], target);
	}
}

static int ready_target(const ours_t *o, int model)
{
	const GArray *route = o->routes[model];

	for (guint i = 0; i < route->len; i++) {
		int target = g_array_index(route, int, i);

		if (o->w->targets[target].held[model].is_ready)
			return target;
	}
	return -1;
}

static void report(ours_t *o, int model, uint32_t started, uint32_t running)
{
	bsh_loader_report_use(&o->loader, o->w->load->models[model].name,
			      started, running, o->w->sim.now_us);
}

static void demand(ours_t *o, const request_t *r)
{
	const bench_model_t *m = &o->w->load->models[r->model];
	bsh_demand_t d = { .id = ++o->next_demand,
			   .model = m->name,
			   .deadline_us = r->at_us + m->deadline_us,
			   .priority = m->priority,
			   .count = 1 };

	g_hash_table_insert(o->waiting, g_memdup2(&d.id, sizeof(d.id)),
			    g_memdup2(r, sizeof(*r)));
	bsh_loader_add_demand(&o->loader, &d, o->w->sim.now_us);
}

static void answered(void *ctx, void *data)
{
	world_t *w = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	request_t *waiting = g_hash_table_lookup(o->waiting, &c->id);
	int target;

	if (waiting != NULL) {
		request_t r = *waiting;

		g_hash_table_remove(o->waiting, &c->id);
		target = c->is_ready ? ready_target(o, r.model) : -1;
		if (target >= 0) {
			world_waited(w, &r, w->sim.now_us - r.at_us, false);
			world_serve(w, target, &r);
			report(o, r.model, 1, 1);
		} else if (c->is_ready) {
			demand(o, &r); /* lost again at once */
		} else {
			world_waited(w, &r, 0, true);
		}
	}
	call_free(c);
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	ours_t *o = ctx;
	call_t *c;

	if (answer->result == BSH_DEMAND_LOADING)
		return;
	c = call_new(o);
	c->id = answer->id;
	c->is_ready = answer->result == BSH_DEMAND_READY;
	sim_after(&o->w->sim, HOP_US, answered, o->w, c);
}

static const bsh_loader_ops_t loader_ops = { .read = op_read,
					     .update = op_update,
					     .order = op_order,
					     .poll = op_poll,
					     .route = op_route,
					     .answer = op_answer };

static void begin(world_t *w, const request_t *r)
{
	ours_t *o = w->policy;
	int target = ready_target(o, r->model);

	if (target < 0) {
		w->m.wakes += world_measures(w, r->at_us) ? 1 : 0;
		demand(o, r);
		return;
	}
	world_waited(w, r, 0, false);
	world_serve(w, target, r);
	report(o, r->model, 1, 1);
}

static void changed(world_t *w, int target, int model)
{
	ours_t *o = w->policy;
	const held_t *h = &w->targets[target].held[model];

	if (h->is_used && h->is_ready)
		report(o, model, 0, h->running);
}

static void copied(world_t *w, int target, int model)
{
	ours_t *o = w->policy;
	char name[BSH_CELL_NAME_SIZE];

	g_snprintf(name, sizeof(name), "target-%d", target);
	bsh_loader_set_copy(&o->loader, name, w->load->models[model].name,
			    world_copy(w, target, model));
}

static void list(world_t *w)
{
	ours_t *o = w->policy;
	bsh_loader_instance_t items[TARGETS_MAX + 1];
	char names[TARGETS_MAX][BSH_CELL_NAME_SIZE];
	int count = w->load->d->targets;

	for (int i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "target-%d", i);
		items[i] = (bsh_loader_instance_t){
			.name = names[i],
			.incarnation = w->targets[i].incarnation,
			.is_target = true,
			.pool = POOL,
			.zone = "a",
			.memory_mib = target_mib(),
			.state = w->targets[i].is_up ? BSH_INSTANCE_LIVE
						     : BSH_INSTANCE_GONE
		};
	}
	bsh_loader_set_instances(&o->loader, items, (size_t)count,
				 w->sim.now_us);
}

static const policy_ops_t policy_ops = { changed, copied, begin, list };

static void tick(void *ctx, void *data)
{
	world_t *w = ctx;
	ours_t *o = data;

	bsh_loader_tick(&o->loader, w->sim.now_us);
	sim_after(&w->sim, bsh_loader_next_us(&o->loader) - w->sim.now_us, tick,
		  w, o);
}

static void give_document(ours_t *o, double weight)
{
	const workload_t *load = o->w->load;
	bsh_loader_pool_t pool = { POOL, true, target_mib(), 8, 1 };
	g_autofree bsh_loader_model_t *models =
		g_new0(bsh_loader_model_t, load->model_count);
	bsh_loader_document_t d = { .generation = 1,
				    .weight = weight,
				    .loads_per_s = load->d->loads_per_s,
				    .concurrent = load->d->concurrent,
				    .pools = &pool,
				    .pool_count = 1,
				    .models = models,
				    .model_count = (size_t)load->model_count };

	for (int i = 0; i < load->model_count; i++) {
		const bench_model_t *m = &load->models[i];

		models[i] = (bsh_loader_model_t){
			.name = m->name,
			.version = "1",
			.pool = POOL,
			.base = m->base < 0 ? NULL : load->models[m->base].name,
			.memory_mib = m->memory_mib,
			.max_replicas = 1,
			.priority = m->priority,
			.load_ms = m->load_ms
		};
		g_hash_table_insert(o->numbers, (gpointer)m->name,
				    GINT_TO_POINTER(i + 1));
	}
	bsh_loader_set_document(&o->loader, &d, o->w->sim.now_us);
}

outcome_t run_ours(const workload_t *load, scene_t scene, uint32_t seed,
		   double weight)
{
	bsh_loader_config_t config = {
		.self = { "entry-1", 1 },
		.seed = { seed, 1 },
		/* One owner: renewals would only take the time
		 * of the run. */
		.lease_ms = 60000
	};
	ours_t *o = g_new0(ours_t, 1);
	world_t *w = g_new0(world_t, 1);
	outcome_t outcome;

	o->w = w;
	o->numbers = g_hash_table_new(g_str_hash, g_str_equal);
	o->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	o->routes = g_new0(GArray *, load->model_count);
	for (int i = 0; i < load->model_count; i++)
		o->routes[i] = g_array_new(FALSE, FALSE, sizeof(int));
	world_init(w, load, scene, seed, &policy_ops, o);
	bsh_loader_init(&o->loader, &config, &loader_ops, o);
	bsh_loader_set_members(&o->loader, &config.self, 1, 0);
	list(w);
	give_document(o, weight);
	for (int i = 0; i < load->d->targets; i++)
		poll_in(o, i, POLL_US);
	sim_after(&w->sim, HOP_US, tick, w, o);
	world_run(w);
	outcome = outcome_of(&w->m);
	bsh_loader_finish(&o->loader);
	world_finish(w);
	for (int i = 0; i < load->model_count; i++)
		g_array_free(o->routes[i], TRUE);
	g_free(o->routes);
	g_hash_table_destroy(o->numbers);
	g_hash_table_destroy(o->waiting);
	g_free(o->value);
	g_free(o);
	g_free(w);
	return outcome;
}
