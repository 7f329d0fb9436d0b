#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/loader.h"
#include "policy.h"

/*
 * Runs lib/coordination/loader against the simulated cluster: store calls,
 * polls, orders and answers are events with a fixed delay.
 */

#define POOL		 "pool"
#define MESSAGE_DELAY_US (1 * SIM_MS) /* between two instances */
#define STORE_CALL_US	 (3 * SIM_MS)
#define IDLE_POLL_US	 (10 * SIM_S)
#define OUTAGE_ANSWER_US (20 * SIM_MS)

typedef struct {
	cluster_t *cl;
	bsh_loader_t loader;
	GHashTable *model_indexes; /* model name to index + 1 */
	GArray **routes;	   /* by model: int targets */
	GHashTable *waiting;	   /* demand id to request_t */
	uint64_t next_demand;
	uint64_t version; /* of the cell in the object store; 0: none */
	char *value;
	int64_t poll_due_us[TARGETS_MAX];
} ours_t;

/* Argument of a scheduled event; unused fields are 0. */
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

static int target_index(const char *name)
{
	return atoi(name + strlen("target-"));
}

static void on_read_done(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	call_t *c = data;
	ours_t *o = c->o;

	if (cl->is_store_down)
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_UNAVAILABLE,
				       0, NULL, 0, cl->sim.now_us);
	else if (o->version == 0)
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_NOT_FOUND, 0,
				       NULL, 0, cl->sim.now_us);
	else
		bsh_loader_read_result(&o->loader, POOL, BSH_STORE_OK,
				       o->version, o->value, strlen(o->value),
				       cl->sim.now_us);
	call_free(c);
}

static void on_update_done(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	call_t *c = data;
	ours_t *o = c->o;

	if (cl->is_store_down) {
		bsh_loader_update_result(&o->loader, POOL,
					 BSH_STORE_UNAVAILABLE, 0,
					 cl->sim.now_us);
	} else if (c->base != o->version) {
		bsh_loader_update_result(&o->loader, POOL, BSH_STORE_CONFLICT,
					 o->version, cl->sim.now_us);
	} else {
		g_free(o->value);
		o->value = g_strdup(c->value);
		o->version++;
		bsh_loader_update_result(&o->loader, POOL, BSH_STORE_OK,
					 o->version, cl->sim.now_us);
	}
	call_free(c);
}

static void op_read(void *ctx, const char *cell)
{
	ours_t *o = ctx;

	(void)cell;
	o->cl->m.store_calls +=
		cluster_is_measured(o->cl, o->cl->sim.now_us) ? 1 : 0;
	sim_after(&o->cl->sim, STORE_CALL_US, on_read_done, o->cl, call_new(o));
}

static void op_update(void *ctx, const char *cell, uint64_t base,
		      const char *value)
{
	ours_t *o = ctx;
	call_t *c = call_new(o);

	(void)cell;
	c->base = base;
	c->value = g_strdup(value);
	o->cl->m.store_calls +=
		cluster_is_measured(o->cl, o->cl->sim.now_us) ? 1 : 0;
	sim_after(&o->cl->sim, STORE_CALL_US, on_update_done, o->cl, c);
}

static void on_poll(void *ctx, void *data);

/* Schedules a status poll of the target unless an earlier one is due. */
static void schedule_poll(ours_t *o, int target, int64_t delay_us)
{
	int64_t at_us = o->cl->sim.now_us + delay_us;
	call_t *c;

	if (o->poll_due_us[target] > o->cl->sim.now_us &&
	    o->poll_due_us[target] <= at_us)
		return;
	o->poll_due_us[target] = at_us;
	c = call_new(o);
	c->target = target;
	sim_after(&o->cl->sim, delay_us, on_poll, o->cl, c);
}

static void on_poll(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	int target = c->target;
	const bench_target_t *t = &cl->targets[target];
	bsh_target_model_t *models;
	char name[BSH_CELL_NAME_SIZE];
	bsh_target_status_t s = { .target = name,
				  .incarnation = t->incarnation,
				  .memory_total_mib = target_memory_mib(),
				  .memory_used_mib = t->used_mib,
				  .began_us = cl->sim.now_us };
	bool is_changing = false;

	call_free(c);
	if (o->poll_due_us[target] != cl->sim.now_us)
		return; /* replaced by an earlier poll */
	o->poll_due_us[target] = 0;
	models = g_new0(bsh_target_model_t, cl->load->model_count);
	s.models = models;
	g_snprintf(name, sizeof(name), "target-%d", target);
	for (int i = 0; i < cl->load->model_count; i++) {
		const slot_t *slot = &t->slots[i];

		if (!slot->is_used)
			continue;
		s.running += slot->running;
		is_changing |= !slot->is_ready;
		models[s.model_count++] = (bsh_target_model_t){
			.model = cl->load->models[i].name,
			.version = "1",
			.state = slot->is_ready	      ? BSH_SLOT_READY
				 : slot->is_unloading ? BSH_SLOT_UNLOADING
						      : BSH_SLOT_LOADING,
			.memory_mib = cl->load->models[i].memory_mib
		};
	}
	if (t->is_up)
		bsh_loader_update_status(&o->loader, &s, cl->sim.now_us);
	g_free(models);
	schedule_poll(o, target, is_changing ? LOADING_POLL_US : IDLE_POLL_US);
}

static void op_poll(void *ctx, const char *target)
{
	schedule_poll(ctx, target_index(target), MESSAGE_DELAY_US);
}

static void on_order_done(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	bsh_order_result_t result = BSH_ORDER_ACCEPTED;

	if (!cl->targets[c->target].is_up)
		result = BSH_ORDER_NOT_SENT;
	else if (!c->is_load)
		cluster_unload(cl, c->target, c->model);
	else if (!cluster_load(cl, c->target, c->model))
		result = BSH_ORDER_NO_MEMORY;
	bsh_loader_order_result(&o->loader, c->id, result, 0, cl->sim.now_us);
	schedule_poll(o, c->target, LOADING_POLL_US);
	call_free(c);
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	ours_t *o = ctx;
	call_t *c = call_new(o);

	c->id = order->id;
	c->is_load = order->kind == BSH_ORDER_LOAD;
	c->target = target_index(order->target);
	c->model = GPOINTER_TO_INT(g_hash_table_lookup(o->model_indexes,
						       order->model)) -
		   1;
	sim_after(&o->cl->sim, MESSAGE_DELAY_US, on_order_done, o->cl, c);
}

static void op_route(void *ctx, const bsh_loader_route_t *route)
{
	ours_t *o = ctx;
	int model = GPOINTER_TO_INT(g_hash_table_lookup(o->model_indexes,
							route->model)) -
		    1;

	g_array_set_size(o->routes[model], 0);
	for (size_t i = 0; i < route->count; i++) {
		int target = target_index(route->targets[i]);

		g_array_append_val(o->routes[model], target);
	}
}

/* First target of the route on which the model is ready, or -1. */
static int ready_target(const ours_t *o, int model)
{
	const GArray *route = o->routes[model];

	for (guint i = 0; i < route->len; i++) {
		int target = g_array_index(route, int, i);

		if (o->cl->targets[target].slots[model].is_ready)
			return target;
	}
	return -1;
}

static void report_use(ours_t *o, int model, uint32_t started, uint32_t running)
{
	bsh_loader_report_use(&o->loader, o->cl->load->models[model].name,
			      started, running, o->cl->sim.now_us);
}

static void add_demand(ours_t *o, const request_t *r)
{
	const bench_model_t *m = &o->cl->load->models[r->model];
	bsh_demand_t d = { .id = ++o->next_demand,
			   .model = m->name,
			   .deadline_us = r->at_us + m->deadline_us,
			   .priority = m->priority,
			   .count = 1 };

	g_hash_table_insert(o->waiting, g_memdup2(&d.id, sizeof(d.id)),
			    g_memdup2(r, sizeof(*r)));
	bsh_loader_add_demand(&o->loader, &d, o->cl->sim.now_us);
}

static void on_demand_answer(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	call_t *c = data;
	ours_t *o = c->o;
	request_t *waiting = g_hash_table_lookup(o->waiting, &c->id);
	int target;

	if (waiting != NULL) {
		request_t r = *waiting;

		g_hash_table_remove(o->waiting, &c->id);
		target = c->is_ready ? ready_target(o, r.model) : -1;
		if (target >= 0) {
			cluster_record_wait(cl, &r, cl->sim.now_us - r.at_us,
					    false);
			cluster_serve(cl, target, &r);
			report_use(o, r.model, 1, 1);
		} else if (c->is_ready) {
			add_demand(o, &r); /* unloaded in the meantime */
		} else {
			cluster_record_wait(cl, &r, 0, true);
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
	sim_after(&o->cl->sim, MESSAGE_DELAY_US, on_demand_answer, o->cl, c);
}

static const bsh_loader_ops_t loader_ops = { .read = op_read,
					     .update = op_update,
					     .order = op_order,
					     .poll = op_poll,
					     .route = op_route,
					     .answer = op_answer };

static void on_request(cluster_t *cl, const request_t *r)
{
	ours_t *o = cl->policy;
	int target = ready_target(o, r->model);

	if (target < 0) {
		cl->m.wakes += cluster_is_measured(cl, r->at_us) ? 1 : 0;
		add_demand(o, r);
		return;
	}
	cluster_record_wait(cl, r, 0, false);
	cluster_serve(cl, target, r);
	report_use(o, r->model, 1, 1);
}

static void on_slot_change(cluster_t *cl, int target, int model)
{
	ours_t *o = cl->policy;
	const slot_t *slot = &cl->targets[target].slots[model];

	if (slot->is_used && slot->is_ready)
		report_use(o, model, 0, slot->running);
}

static void on_copy_change(cluster_t *cl, int target, int model)
{
	ours_t *o = cl->policy;
	char name[BSH_CELL_NAME_SIZE];

	g_snprintf(name, sizeof(name), "target-%d", target);
	bsh_loader_set_copy(&o->loader, name, cl->load->models[model].name,
			    cluster_copy(cl, target, model));
}

static void on_targets_change(cluster_t *cl)
{
	ours_t *o = cl->policy;
	bsh_loader_instance_t items[TARGETS_MAX + 1];
	char names[TARGETS_MAX][BSH_CELL_NAME_SIZE];
	int count = cl->load->d->targets;

	for (int i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "target-%d", i);
		items[i] = (bsh_loader_instance_t){
			.name = names[i],
			.incarnation = cl->targets[i].incarnation,
			.is_target = true,
			.pool = POOL,
			.zone = "a",
			.memory_mib = target_memory_mib(),
			.state = cl->targets[i].is_up ? BSH_INSTANCE_LIVE
						      : BSH_INSTANCE_GONE
		};
	}
	bsh_loader_set_instances(&o->loader, items, (size_t)count,
				 cl->sim.now_us);
}

static const policy_ops_t policy_ops = { on_slot_change, on_copy_change,
					 on_request, on_targets_change };

static void on_tick(void *ctx, void *data)
{
	cluster_t *cl = ctx;
	ours_t *o = data;

	bsh_loader_tick(&o->loader, cl->sim.now_us);
	sim_after(&cl->sim, bsh_loader_next_us(&o->loader) - cl->sim.now_us,
		  on_tick, cl, o);
}

static void set_document(ours_t *o, double weight)
{
	const workload_t *load = o->cl->load;
	bsh_loader_pool_t pool = { POOL, true, target_memory_mib(), 8, 1 };
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
		g_hash_table_insert(o->model_indexes, (gpointer)m->name,
				    GINT_TO_POINTER(i + 1));
	}
	bsh_loader_set_document(&o->loader, &d, o->cl->sim.now_us);
}

outcome_t run_ours(const workload_t *load, scenario_t scenario, uint32_t seed,
		   double weight)
{
	bsh_loader_config_t config = {
		.self = { "entry-1", 1 },
		.seed = { seed, 1 },
		/* With one owner, renewals only lengthen the run. */
		.lease_ms = 60000
	};
	ours_t *o = g_new0(ours_t, 1);
	cluster_t *cl = g_new0(cluster_t, 1);
	outcome_t outcome;

	o->cl = cl;
	o->model_indexes = g_hash_table_new(g_str_hash, g_str_equal);
	o->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	o->routes = g_new0(GArray *, load->model_count);
	for (int i = 0; i < load->model_count; i++)
		o->routes[i] = g_array_new(FALSE, FALSE, sizeof(int));
	cluster_init(cl, load, scenario, seed, &policy_ops, o);
	bsh_loader_init(&o->loader, &config, &loader_ops, o);
	bsh_loader_set_members(&o->loader, &config.self, 1, 0);
	on_targets_change(cl);
	set_document(o, weight);
	for (int i = 0; i < load->d->targets; i++)
		schedule_poll(o, i, LOADING_POLL_US);
	sim_after(&cl->sim, MESSAGE_DELAY_US, on_tick, cl, o);
	cluster_run(cl);
	outcome = outcome_of(&cl->m);
	bsh_loader_finish(&o->loader);
	cluster_finish(cl);
	for (int i = 0; i < load->model_count; i++)
		g_array_free(o->routes[i], TRUE);
	g_free(o->routes);
	g_hash_table_destroy(o->model_indexes);
	g_hash_table_destroy(o->waiting);
	g_free(o->value);
	g_free(o);
	g_free(cl);
	return outcome;
}
