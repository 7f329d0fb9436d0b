/*
 * Guards against more replicas of a model than configured (promise `replicas`)
 * and more models on a target than its memory holds (promise `memory`), caused
 * by late orders, lost store answers or two controllers that both act as owner.
 * The same seeded faults run against berylshunt and the naive version, with a
 * fake store, engines and platform list under a virtual clock.  The checker
 * counts only what the fake engines record.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/loader.h"
#include "naive/naive_loads.h"
#include "support/sim.h"

#define CONTROLLERS	 3
#define TARGETS		 3
#define MODELS		 10
#define THREADS		 4
#define POOL		 "pool"
#define TARGET_MIB	 1000
#define STORE_TIMEOUT_US (2 * SIM_S) /* of a call */
#define ORDER_TIMEOUT_US (5 * SIM_S)
/* Longest life of an order on the network; below settle_ms, which is 30 s. */
#define ORDER_DELAY_MAX_US (20 * SIM_S)
/* From a change to its use everywhere; bound of the promise `configuration`. */
#define ADOPTION_MAX_US (11 * SIM_S)
#define FAULTS_BEGIN_US (15 * SIM_S)
#define FAULTS_END_US	(120 * SIM_S)
#define HEALED_US	(130 * SIM_S) /* all faults are ended */
#define READY_BOUND_US	(120 * SIM_S) /* from first demand to ready */
/* From HEALED_US until no slot is quarantined. */
#define QUARANTINE_BOUND_US (90 * SIM_S)
#define MODEL_INTERVAL_US   (8 * SIM_S) /* between first demands of models */
#define STORE_CALL_ID_BASE  (UINT64_C(1) << 40) /* above all order ids */

/* Fault classes, a bit mask; named in fault_names. */
enum {
	KILL = 1 << 0,
	CUT = 1 << 1,
	CUT_ONE_WAY = 1 << 2,
	FREEZE = 1 << 3,
	LATE_ORDER = 1 << 4,
	STORE_DOWN = 1 << 5,
	STORE_LOST = 1 << 6,
	STORE_SLOW = 1 << 7,
	SLOW_LOADS = 1 << 8,
	TARGET_RESTART = 1 << 9,
	TARGET_RECLAIM = 1 << 10,
	TWO_OWNERS = 1 << 11,
	LIST_LAG = 1 << 12,
	FEWER_REPLICAS = 1 << 13,
	STORE_DOWN_HOUR = 1 << 14,
	FAULT_BIT_MAX = 14 /* number of the highest bit */
};

static const char *const fault_names[] = { "kill",
					   "cut",
					   "cut-one-way",
					   "freeze",
					   "late-order",
					   "store-down",
					   "store-lost",
					   "store-slow",
					   "slow-loads",
					   "restart",
					   "target-reclaimed",
					   "two-owners",
					   "list-lag",
					   "fewer-replicas",
					   "store-down-hour" };

/* A model on an engine. */
typedef struct {
	bool is_used; /* occupies memory */
	bsh_slot_state_t state;
	bsh_attempt_id_t attempt;
	uint64_t serial; /* of its latest timer; others are ignored */
} load_t;

/* A target.  The listed values are those of the platform list. */
typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bool is_up;
	bsh_instance_state_t listed;
	uint64_t listed_incarnation;
	uint64_t fences[MODELS]; /* highest accepted; kept across a restart */
	load_t loads[MODELS];
} engine_t;

struct world;

/* A controller process with its connections and its clock. */
typedef struct {
	struct world *w;
	int index;
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bool is_up;
	bool is_frozen;
	bool is_freeze_armed; /* freezes before it sends its next load order */
	bool is_kill_armed;   /* is killed after it sends its next load order */
	bool is_listed_gone;
	uint64_t listed_incarnation;
	/* Lost directions of the connections to the store and the targets. */
	bool no_store_out, no_store_in, no_target_out, no_target_in;
	double clock_rate; /* of the local clock, 1: exact */
	int64_t clock_offset_us;
	bsh_loader_t ours;
	naive_loads_t naive;
	GQueue inbox, outbox; /* msg_t, held while frozen */
	GHashTable *calls;    /* ids of store calls and orders in flight */
	uint64_t next_call, store_call; /* store_call is unused */
	uint64_t generation;		/* of its document */
	bool is_store_update;		/* unused */
} controller_t;

/* Messages to the store and the engines, then those to a controller. */
typedef enum {
	TO_STORE_READ,
	TO_STORE_UPDATE,
	TO_ENGINE_ORDER,
	TO_ENGINE_POLL,
	READ_ANSWER,
	UPDATE_ANSWER,
	ORDER_ANSWER,
	STATUS,
	LIST, /* timer: platform list and polls of all targets */
	TICK, /* timer of the loader */
	DEMAND,
	DOCUMENT /* with fewer replicas */
} msg_kind_t;

typedef struct {
	struct world *w;
	msg_kind_t kind;
	int controller;
	uint64_t incarnation;
	int target;
	int model;
	uint64_t call;
	int result;
	uint64_t version;
	char *value;
	bsh_order_kind_t order;
	bsh_attempt_id_t attempt;
	uint64_t fence;
	int64_t issued_us; /* order, by the virtual clock */
	int64_t began_us;  /* poll, by the controller's clock */
	bsh_target_status_t status;
	bsh_target_model_t models[MODELS];
} msg_t;

/* One simulated run. */
typedef struct world {
	sim_t sim;
	bool is_naive, is_verbose, fencing;
	controller_t controllers[CONTROLLERS];
	engine_t engines[TARGETS];
	/* The object of the cell in the store; version 0: none. */
	uint64_t version;
	char *value;
	bool is_store_down, is_store_slow, loses_answers, is_order_late,
		is_slow_load;
	int64_t list_lag_us; /* of the platform list */
	int64_t reduced_us;  /* acceptance of fewer replicas, -1: none */
	uint64_t serial;     /* of the latest load timer */
	GPtrArray *messages; /* all msg_t of the run, freed at its end */
	uint32_t replica_violations, memory_violations, liveness_failures;
	bool is_checking_liveness;
	bool was_ready[MODELS];
	/* Latest time past the bound at which a model was not ready, or 0. */
	int64_t overdue_us[MODELS];
	uint64_t next_demand; /* demand id */
} world_t;

static const char *const model_names[MODELS] = { "m0", "m1", "m2", "m3", "m4",
						 "m5", "m6", "m7", "a8", "a9" };
static const uint32_t model_mib[MODELS] = { 400, 300, 450, 350, 300,
					    250, 500, 200, 40,	60 };
/* Most replicas by generation of the document (1 or 2) and model. */
static const uint32_t replicas[2][MODELS] = {
	{ 2, 2, 1, 1, 2, 1, 1, 2, 2, 1 }, { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 }
};

#define TRACE(w, ...)                                                          \
	do {                                                                   \
		if ((w)->is_verbose) {                                         \
			fprintf(stderr, "%9.3f ",                              \
				(double)(w)->sim.now_us / 1e6);                \
			fprintf(stderr, __VA_ARGS__);                          \
			fputc('\n', stderr);                                   \
		}                                                              \
	} while (0)

static void deliver_message(void *ctx, void *data);

static int64_t local_clock_us(const controller_t *p)
{
	return p->clock_offset_us +
	       (int64_t)((double)p->w->sim.now_us * p->clock_rate);
}

static msg_t *msg_new(world_t *w, msg_kind_t kind, const controller_t *p)
{
	msg_t *m = g_new0(msg_t, 1);

	m->w = w;
	m->kind = kind;
	m->controller = p->index;
	m->incarnation = p->incarnation;
	g_ptr_array_add(w->messages, m);
	return m;
}

static void msg_free(void *data)
{
	g_free(((msg_t *)data)->value);
	g_free(data);
}

static int64_t network_delay_us(world_t *w)
{
	return sim_delay(&w->sim, SIM_MS / 2, 3 * SIM_MS);
}

static void schedule_message(world_t *w, int64_t delay_us, msg_t *m)
{
	sim_after(&w->sim, delay_us, deliver_message, w, m);
}

/* Sends a message of a controller; while the controller is frozen, the message
 * is held. */
static void send_message(controller_t *p, msg_t *m)
{
	world_t *w = p->w;
	int64_t delay_us = network_delay_us(w);

	if (p->is_frozen) {
		g_queue_push_tail(&p->outbox, m);
		return;
	}
	if (m->kind == TO_STORE_READ || m->kind == TO_STORE_UPDATE) {
		if (p->no_store_out)
			return;
		if (w->is_store_slow)
			delay_us = sim_delay(&w->sim, 0, 8 * SIM_S);
	} else {
		if (p->no_target_out)
			return;
		if (w->is_order_late && m->kind == TO_ENGINE_ORDER &&
		    sim_chance(&w->sim, 0.4))
			delay_us = sim_delay(&w->sim, 4 * SIM_S,
					     ORDER_DELAY_MAX_US);
	}
	schedule_message(w, delay_us, m);
}

/* Schedules the answer that the caller gets when its call times out. */
static void arm_timeout(controller_t *p, const msg_t *request,
			msg_kind_t answer, int result, int64_t wait_us)
{
	msg_t *m = msg_new(p->w, answer, p);

	m->call = request->call;
	m->result = result;
	m->target = request->target;
	g_hash_table_add(p->calls, g_memdup2(&m->call, sizeof(m->call)));
	schedule_message(p->w, wait_us, m);
}

static void op_read(void *ctx, const char *cell)
{
	controller_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_STORE_READ, p);

	(void)cell;
	m->call = STORE_CALL_ID_BASE + p->next_call++;
	arm_timeout(p, m, READ_ANSWER, BSH_STORE_UNAVAILABLE, STORE_TIMEOUT_US);
	send_message(p, m);
}

static void op_update(void *ctx, const char *cell, uint64_t base_version,
		      const char *value)
{
	controller_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_STORE_UPDATE, p);

	(void)cell;
	m->call = STORE_CALL_ID_BASE + p->next_call++;
	m->version = base_version;
	m->value = g_strdup(value);
	arm_timeout(p, m, UPDATE_ANSWER, BSH_STORE_LOST, STORE_TIMEOUT_US);
	send_message(p, m);
}

static void kill_controller(void *ctx, void *data);

static int index_of(const char *name, bool is_model)
{
	for (int i = 0; i < (is_model ? MODELS : TARGETS); i++) {
		char target[BSH_CELL_NAME_SIZE];

		snprintf(target, sizeof(target), "target-%d", i);
		if (strcmp(name, is_model ? model_names[i] : target) == 0)
			return i;
	}
	errx(1, "no target or model has the name %s", name);
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	controller_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_ENGINE_ORDER, p);

	m->call = order->id;
	m->order = order->kind;
	m->target = index_of(order->target, false);
	m->model = index_of(order->model, true);
	m->attempt = order->attempt;
	m->fence = order->fence;
	m->issued_us = p->w->sim.now_us;
	TRACE(p->w,
	      "%s#%" G_GUINT64_FORMAT
	      " issues %s order for %s on %s, fence %" G_GUINT64_FORMAT,
	      p->name, p->incarnation,
	      order->kind == BSH_ORDER_LOAD ? "load" : "unload", order->model,
	      order->target, order->fence);
	if (p->is_freeze_armed && order->kind == BSH_ORDER_LOAD) {
		p->is_freeze_armed = false;
		p->is_frozen = true;
		TRACE(p->w, "%s freezes before it sends the order", p->name);
	}
	arm_timeout(p, m, ORDER_ANSWER, BSH_ORDER_UNKNOWN, ORDER_TIMEOUT_US);
	send_message(p, m);
	if (p->is_kill_armed && order->kind == BSH_ORDER_LOAD) {
		p->is_kill_armed = false;
		sim_after(&p->w->sim, 0, kill_controller, p->w, p);
	}
}

static void poll_target(controller_t *p, int target)
{
	msg_t *m = msg_new(p->w, TO_ENGINE_POLL, p);

	m->target = target;
	m->began_us = local_clock_us(p);
	send_message(p, m);
}

static void op_poll(void *ctx, const char *target)
{
	poll_target(ctx, index_of(target, false));
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	const controller_t *p = ctx;

	TRACE(p->w, "%s answers demand for %s: result %d, %s", p->name,
	      answer->model, answer->result, answer->reason);
}

static void op_event(void *ctx, const bsh_loader_event_t *event)
{
	const controller_t *p = ctx;

	TRACE(p->w,
	      "%s#%" G_GUINT64_FORMAT " %s %s/%u on %s fence %" G_GUINT64_FORMAT
	      " epoch %" G_GUINT64_FORMAT ": %s",
	      p->name, p->incarnation, event->kind,
	      event->model ? event->model : "-", event->index,
	      event->target ? event->target : "-", event->fence, event->epoch,
	      event->reason);
}

static const bsh_loader_ops_t ops = { .read = op_read,
				      .update = op_update,
				      .order = op_order,
				      .poll = op_poll,
				      .answer = op_answer,
				      .event = op_event };

static void set_document(controller_t *p, uint64_t generation)
{
	const uint32_t *max = replicas[generation - 1];
	const bsh_loader_pool_t pool = { POOL, p->w->fencing, TARGET_MIB, 8,
					 1 };
	bsh_loader_model_t models[MODELS];
	bsh_loader_document_t d = { .generation = generation,
				    .weight = 0.5,
				    .loads_per_s = 4,
				    .concurrent = 4,
				    .pools = &pool,
				    .pool_count = 1,
				    .models = models,
				    .model_count = MODELS };

	p->generation = generation;
	for (int i = 0; i < MODELS; i++) {
		models[i] = (bsh_loader_model_t){
			.name = model_names[i],
			.version = "1",
			.pool = POOL,
			.base = model_names[i][0] == 'a' ? "m0" : NULL,
			.memory_mib = model_mib[i],
			.max_replicas = max[i],
			.priority = 5,
			.load_ms = 3000
		};
	}
	if (p->w->is_naive)
		naive_loads_set_document(&p->naive, &d, local_clock_us(p));
	else
		bsh_loader_set_document(&p->ours, &d, local_clock_us(p));
}

static void set_instances(controller_t *p)
{
	world_t *w = p->w;
	bsh_loader_instance_t items[CONTROLLERS + TARGETS];

	for (int i = 0; i < CONTROLLERS; i++)
		items[i] = (bsh_loader_instance_t){
			.name = w->controllers[i].name,
			.incarnation = w->controllers[i].listed_incarnation,
			.state = w->controllers[i].is_listed_gone
					 ? BSH_INSTANCE_GONE
					 : 0
		};
	for (int i = 0; i < TARGETS; i++)
		items[CONTROLLERS + i] = (bsh_loader_instance_t){
			.name = w->engines[i].name,
			.incarnation = w->engines[i].listed_incarnation,
			.is_target = true,
			.pool = POOL,
			.memory_mib = TARGET_MIB,
			.state = w->engines[i].listed
		};
	if (w->is_naive)
		naive_loads_set_instances(&p->naive, items,
					  CONTROLLERS + TARGETS,
					  local_clock_us(p));
	else
		bsh_loader_set_instances(&p->ours, items, CONTROLLERS + TARGETS,
					 local_clock_us(p));
}

static void set_members(controller_t *p)
{
	bsh_sender_t live[CONTROLLERS];
	size_t count = 0;

	for (int i = 0; i < CONTROLLERS; i++) {
		const controller_t *q = &p->w->controllers[i];

		if (!q->is_up)
			continue;
		g_strlcpy(live[count].instance, q->name, BSH_CELL_NAME_SIZE);
		live[count++].incarnation = q->incarnation;
	}
	if (!p->w->is_naive)
		bsh_loader_set_members(&p->ours, live, count,
				       local_clock_us(p));
}

static void controller_start(controller_t *p)
{
	world_t *w = p->w;
	bsh_loader_config_t config = { .settle_ms = 30000 };

	p->incarnation++;
	p->is_up = true;
	p->is_frozen = false;
	p->is_freeze_armed = p->is_kill_armed = false;
	p->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	p->clock_rate = 0.998 + 0.004 * bsh_rng_unit(&w->sim.rng);
	p->clock_offset_us = sim_delay(&w->sim, 0, 1000 * SIM_S);
	g_strlcpy(config.self.instance, p->name, BSH_CELL_NAME_SIZE);
	config.self.incarnation = p->incarnation;
	config.seed[0] = g_rand_int(w->sim.rng.rand);
	config.seed[1] = p->incarnation;
	if (w->is_naive)
		naive_loads_init(&p->naive, &config, &ops, p);
	else
		bsh_loader_init(&p->ours, &config, &ops, p);
	set_members(p);
	set_instances(p);
	set_document(p, w->reduced_us >= 0 ? 2 : 1);
	schedule_message(w, network_delay_us(w), msg_new(w, TICK, p));
	schedule_message(w, network_delay_us(w), msg_new(w, LIST, p));
}

static void controller_stop(controller_t *p)
{
	if (!p->is_up)
		return;
	if (p->w->is_naive)
		naive_loads_finish(&p->naive);
	else
		bsh_loader_finish(&p->ours);
	p->is_up = false;
	g_hash_table_destroy(p->calls);
	g_queue_clear(&p->inbox);
	g_queue_clear(&p->outbox);
}

static bool controller_owns(const controller_t *p)
{
	if (!p->is_up)
		return false;
	return p->w->is_naive ? p->naive.lease_until_us > local_clock_us(p)
			      : bsh_loader_owns(&p->ours, POOL);
}

static int owner_or_random(world_t *w)
{
	for (int i = 0; i < CONTROLLERS; i++) {
		if (controller_owns(&w->controllers[i]))
			return i;
	}
	return (int)bsh_rng_below(&w->sim.rng, CONTROLLERS);
}

static void store_receive(world_t *w, const msg_t *m)
{
	controller_t *p = &w->controllers[m->controller];
	bool is_read = m->kind == TO_STORE_READ;
	msg_t *answer = msg_new(w, is_read ? READ_ANSWER : UPDATE_ANSWER, p);
	int64_t delay_us = network_delay_us(w);

	answer->incarnation = m->incarnation;
	answer->call = m->call;
	answer->result = BSH_STORE_OK;
	if (w->is_store_down) {
		answer->result = BSH_STORE_UNAVAILABLE;
	} else if (is_read) {
		answer->version = w->version;
		answer->value = g_strdup(w->value);
		if (w->version == 0)
			answer->result = BSH_STORE_NOT_FOUND;
	} else if (m->version != w->version) {
		answer->result = BSH_STORE_CONFLICT;
		answer->version = w->version;
	} else {
		g_free(w->value);
		w->value = g_strdup(m->value);
		answer->version = ++w->version;
		TRACE(w, "store: version %" G_GUINT64_FORMAT " written by %s",
		      w->version, p->name);
	}
	if (w->loses_answers && sim_chance(&w->sim, 0.4))
		return;
	if (w->is_store_slow)
		delay_us = sim_delay(&w->sim, 0, 3 * SIM_S);
	if (!p->no_store_in)
		schedule_message(w, delay_us, answer);
}

/* Checks both promises from the engines' records whenever a load begins.  An
 * order issued within ADOPTION_MAX_US of the change may use the old limit. */
static void check_load(world_t *w, const msg_t *m)
{
	const engine_t *e = &w->engines[m->target];
	bool is_old = w->reduced_us < 0 ||
		      m->issued_us <= w->reduced_us + ADOPTION_MAX_US;
	uint32_t limit = replicas[is_old ? 0 : 1][m->model];
	uint32_t count = 0;
	uint32_t used = 0;

	for (int t = 0; t < TARGETS; t++)
		count += w->engines[t].loads[m->model].is_used ? 1 : 0;
	for (int i = 0; i < MODELS; i++)
		used += e->loads[i].is_used ? model_mib[i] : 0;
	if (count > limit) {
		w->replica_violations++;
		TRACE(w, "VIOLATION replicas of %s: %u, limit %u",
		      model_names[m->model], count, limit);
	}
	if (used > TARGET_MIB) {
		w->memory_violations++;
		TRACE(w, "VIOLATION memory of %s: %u MiB used, above its total",
		      e->name, used);
	}
}

typedef struct {
	int target;
	int model;
	uint64_t serial;
} load_timer_t;

static void load_done(void *ctx, void *data)
{
	world_t *w = ctx;
	load_timer_t *t = data;
	load_t *load = &w->engines[t->target].loads[t->model];

	if (load->is_used && load->serial == t->serial) {
		if (load->state == BSH_SLOT_LOADING)
			load->state = BSH_SLOT_READY;
		else if (load->state == BSH_SLOT_UNLOADING)
			load->is_used = false;
	}
	g_free(t);
}

static void arm_load(world_t *w, const msg_t *m, int64_t delay_us)
{
	load_timer_t *t = g_new0(load_timer_t, 1);

	t->target = m->target;
	t->model = m->model;
	t->serial = w->engines[m->target].loads[m->model].serial = ++w->serial;
	sim_after(&w->sim, delay_us, load_done, w, t);
}

static bsh_order_result_t engine_order(world_t *w, const msg_t *m)
{
	engine_t *e = &w->engines[m->target];
	load_t *load = &e->loads[m->model];

	if (w->fencing) {
		if (m->fence < e->fences[m->model])
			return BSH_ORDER_STALE_FENCE;
		e->fences[m->model] = m->fence;
	}
	if (m->order == BSH_ORDER_LOAD) {
		if (load->is_used)
			return load->state == BSH_SLOT_UNLOADING
				       ? BSH_ORDER_REFUSED
				       : BSH_ORDER_ACCEPTED;
		load->is_used = true;
		load->state = BSH_SLOT_LOADING;
		load->attempt = m->attempt;
		arm_load(w, m,
			 sim_delay(&w->sim, SIM_S, 4 * SIM_S) *
				 (w->is_slow_load ? 12 : 1));
		TRACE(w, "%s starts to load %s", e->name,
		      model_names[m->model]);
		check_load(w, m);
	} else if (load->is_used && load->state != BSH_SLOT_UNLOADING) {
		load->state = BSH_SLOT_UNLOADING;
		arm_load(w, m, sim_delay(&w->sim, SIM_S / 2, 3 * SIM_S));
	}
	return BSH_ORDER_ACCEPTED;
}

static void engine_receive(world_t *w, const msg_t *m)
{
	engine_t *e = &w->engines[m->target];
	controller_t *p = &w->controllers[m->controller];
	msg_t *answer;

	if (!e->is_up)
		return;
	answer = msg_new(w, m->kind == TO_ENGINE_POLL ? STATUS : ORDER_ANSWER,
			 p);
	answer->incarnation = m->incarnation;
	answer->call = m->call;
	answer->target = m->target;
	if (m->kind == TO_ENGINE_ORDER) {
		answer->result = (int)engine_order(w, m);
		answer->fence = e->fences[m->model];
	} else {
		bsh_target_status_t *s = &answer->status;

		s->target = e->name;
		s->incarnation = e->incarnation;
		s->memory_total_mib = TARGET_MIB;
		s->began_us = m->began_us;
		for (int i = 0; i < MODELS; i++) {
			if (!e->loads[i].is_used)
				continue;
			s->memory_used_mib += model_mib[i];
			answer->models[s->model_count++] = (bsh_target_model_t){
				.model = model_names[i],
				.version = "1",
				.state = e->loads[i].state,
				.has_attempt = true,
				.attempt = e->loads[i].attempt
			};
		}
	}
	if (!p->no_target_in)
		schedule_message(w, network_delay_us(w), answer);
}

static void controller_receive(controller_t *p, msg_t *m)
{
	world_t *w = p->w;
	int64_t now_us = local_clock_us(p);
	msg_t *next_tick;

	switch (m->kind) {
	case READ_ANSWER:
		if (!g_hash_table_remove(p->calls, &m->call))
			return;
		if (w->is_naive)
			naive_loads_read_result(
				&p->naive, m->result, m->version,
				m->value ? m->value : "", now_us);
		else
			bsh_loader_read_result(
				&p->ours, POOL, m->result, m->version, m->value,
				m->value ? strlen(m->value) : 0, now_us);
		return;
	case UPDATE_ANSWER:
		if (!g_hash_table_remove(p->calls, &m->call))
			return;
		if (w->is_naive)
			naive_loads_update_result(&p->naive, m->result,
						  m->version, now_us);
		else
			bsh_loader_update_result(&p->ours, POOL, m->result,
						 m->version, now_us);
		return;
	case ORDER_ANSWER:
		if (g_hash_table_remove(p->calls, &m->call) && !w->is_naive)
			bsh_loader_order_result(&p->ours, m->call, m->result,
						m->fence, now_us);
		return;
	case STATUS:
		m->status.models = m->models;
		if (w->is_naive)
			naive_loads_update_status(&p->naive, &m->status,
						  now_us);
		else
			bsh_loader_update_status(&p->ours, &m->status, now_us);
		return;
	case LIST:
		set_members(p);
		set_instances(p);
		for (int i = 0; i < TARGETS; i++)
			poll_target(p, i);
		schedule_message(w, SIM_S, msg_new(w, LIST, p));
		return;
	case TICK:
		next_tick = msg_new(w, TICK, p);
		if (w->is_naive) {
			naive_loads_tick(&p->naive, now_us);
			schedule_message(w, 200 * SIM_MS, next_tick);
		} else {
			bsh_loader_tick(&p->ours, now_us);
			schedule_message(w,
					 bsh_loader_next_us(&p->ours) - now_us,
					 next_tick);
		}
		return;
	case DEMAND: {
		bsh_demand_t d = { .id = m->call,
				   .model = model_names[m->model],
				   .deadline_us = now_us + 20 * SIM_S,
				   .priority = 5,
				   .count = 1 };

		if (w->is_naive)
			naive_loads_add_demand(&p->naive, &d, now_us);
		else
			bsh_loader_add_demand(&p->ours, &d, now_us);
		return;
	}
	case DOCUMENT:
		set_document(p, 2);
		return;
	default:
		errx(1, "a controller received a message of kind %d", m->kind);
	}
}

static void deliver_message(void *ctx, void *data)
{
	world_t *w = ctx;
	msg_t *m = data;
	controller_t *p = &w->controllers[m->controller];

	switch (m->kind) {
	case TO_STORE_READ:
	case TO_STORE_UPDATE:
		store_receive(w, m);
		return;
	case TO_ENGINE_ORDER:
	case TO_ENGINE_POLL:
		engine_receive(w, m);
		return;
	default:
		break;
	}
	if (!p->is_up || m->incarnation != p->incarnation)
		return;
	if (p->is_frozen)
		g_queue_push_tail(&p->inbox, m);
	else
		controller_receive(p, m);
}

static void resume(controller_t *p)
{
	msg_t *m;

	if (!p->is_up || !p->is_frozen)
		return;
	TRACE(p->w, "%s resumed", p->name);
	p->is_frozen = false;
	while ((m = g_queue_pop_head(&p->outbox)) != NULL)
		send_message(p, m);
	while (!p->is_frozen && (m = g_queue_pop_head(&p->inbox)) != NULL)
		controller_receive(p, m);
}

/* The platform list shows the state of an instance after its lag. */
static void update_listed_controller(void *ctx, void *data)
{
	controller_t *p = data;

	(void)ctx;
	p->listed_incarnation = p->incarnation;
	p->is_listed_gone = !p->is_up;
}

static void update_listed_engine(void *ctx, void *data)
{
	engine_t *e = data;

	(void)ctx;
	e->listed_incarnation = e->incarnation;
	e->listed = e->is_up ? BSH_INSTANCE_LIVE : BSH_INSTANCE_GONE;
}

static void restart_controller(void *ctx, void *data)
{
	world_t *w = ctx;
	controller_t *p = data;

	if (p->is_up)
		return;
	TRACE(w, "%s restarted", p->name);
	controller_start(p);
	sim_after(&w->sim, w->list_lag_us, update_listed_controller, w, p);
}

static void kill_controller(void *ctx, void *data)
{
	world_t *w = ctx;
	controller_t *p = data;

	if (!p->is_up)
		return;
	TRACE(w, "%s killed", p->name);
	p->is_kill_armed = false;
	controller_stop(p);
	sim_after(&w->sim, w->list_lag_us, update_listed_controller, w, p);
}

static void end_freeze(void *ctx, void *data)
{
	(void)ctx;
	((controller_t *)data)->is_freeze_armed = false;
	resume(data);
}

static void end_cut(void *ctx, void *data)
{
	controller_t *p = data;

	(void)ctx;
	p->no_store_in = p->no_store_out = false;
	p->no_target_in = p->no_target_out = false;
}

static void clear_flag(void *ctx, void *data)
{
	(void)ctx;
	*(bool *)data = false;
}

static void stop_engine(world_t *w, engine_t *e, bool is_restart)
{
	memset(e->loads, 0, sizeof(e->loads));
	if (is_restart)
		e->incarnation++;
	else
		e->is_up = false;
	TRACE(w, "%s %s", e->name, is_restart ? "restarted" : "reclaimed");
	sim_after(&w->sim, w->list_lag_us, update_listed_engine, w, e);
}

typedef struct {
	world_t *w;
	int kind;
} fault_t;

static void set_flag_for(world_t *w, bool *flag, int64_t for_us)
{
	*flag = true;
	sim_after(&w->sim, for_us, clear_flag, w, flag);
}

/* Starts one fault.  One of a controller hits the owner of the cell with a
 * probability of at least 0.7. */
static void inject_fault(void *ctx, void *data)
{
	world_t *w = ctx;
	fault_t *f = data;
	int64_t for_us = sim_delay(&w->sim, 8 * SIM_S, 45 * SIM_S);
	controller_t *p =
		&w->controllers[sim_chance(&w->sim, 0.7)
					? owner_or_random(w)
					: (int)bsh_rng_below(&w->sim.rng,
							     CONTROLLERS)];
	engine_t *e = &w->engines[bsh_rng_below(&w->sim.rng, TARGETS)];

	TRACE(w, "FAULT %d (controller %s, target %s)", f->kind, p->name,
	      e->name);
	switch (f->kind) {
	case KILL:
		p->is_kill_armed = true;
		if (sim_chance(&w->sim, 0.3))
			kill_controller(w, p);
		sim_after(&w->sim, for_us, restart_controller, w, p);
		break;
	case CUT:
		p->no_target_in = p->no_target_out = sim_chance(&w->sim, 0.6);
		p->no_store_in = p->no_store_out =
			!p->no_target_in || sim_chance(&w->sim, 0.5);
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case CUT_ONE_WAY:
		if (sim_chance(&w->sim, 0.5))
			p->no_target_in = true;
		else
			p->no_store_in = true;
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case FREEZE:
		p->is_freeze_armed = true;
		sim_after(&w->sim, for_us + 30 * SIM_S, end_freeze, w, p);
		break;
	case LATE_ORDER:
		set_flag_for(w, &w->is_order_late, for_us);
		break;
	case STORE_DOWN:
		set_flag_for(w, &w->is_store_down, for_us);
		break;
	case STORE_DOWN_HOUR:
		set_flag_for(w, &w->is_store_down, 3600 * SIM_S);
		break;
	case STORE_LOST:
		set_flag_for(w, &w->loses_answers, for_us);
		break;
	case STORE_SLOW:
		set_flag_for(w, &w->is_store_slow, for_us);
		break;
	case SLOW_LOADS:
		set_flag_for(w, &w->is_slow_load, for_us);
		break;
	case TARGET_RESTART:
		if (e->is_up)
			stop_engine(w, e, true);
		break;
	case TARGET_RECLAIM:
		stop_engine(w, e, false);
		break;
	case TWO_OWNERS:
		/* The owner loses the store but still reaches the targets,
		 * so that another controller takes over meanwhile. */
		p = &w->controllers[owner_or_random(w)];
		p->no_store_in = p->no_store_out = true;
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case LIST_LAG:
		w->list_lag_us = 30 * SIM_S;
		break;
	case FEWER_REPLICAS:
		if (w->reduced_us >= 0)
			break;
		w->reduced_us = w->sim.now_us;
		for (int i = 0; i < CONTROLLERS; i++) {
			if (w->controllers[i].is_up)
				schedule_message(w,
						 sim_delay(&w->sim, 0,
							   ADOPTION_MAX_US / 2),
						 msg_new(w, DOCUMENT,
							 &w->controllers[i]));
		}
		break;
	default:
		errx(1, "unknown fault %d", f->kind);
	}
	g_free(f);
}

static void send_demand_to_all(world_t *w, int model)
{
	for (int i = 0; i < CONTROLLERS; i++) {
		msg_t *m;

		if (!w->controllers[i].is_up)
			continue;
		m = msg_new(w, DEMAND, &w->controllers[i]);
		m->model = model;
		m->call = ++w->next_demand;
		schedule_message(w, network_delay_us(w), m);
	}
}

/* Sends a demand for a random model to all controllers at once. */
static void send_random_demand(void *ctx, void *data)
{
	world_t *w = ctx;

	(void)data;
	if (w->is_checking_liveness)
		return;
	send_demand_to_all(w, (int)bsh_rng_below(&w->sim.rng, MODELS));
	sim_after(&w->sim, sim_delay(&w->sim, SIM_S / 2, 3 * SIM_S),
		  send_random_demand, w, NULL);
}

/* After all faults have ended, demands each model, one every
 * MODEL_INTERVAL_US, and requires that it is ready within READY_BOUND_US. */
static void check_liveness(world_t *w, int64_t healed_us)
{
	int64_t end_us =
		healed_us + MODELS * MODEL_INTERVAL_US + READY_BOUND_US;

	w->is_checking_liveness = true;
	for (int64_t at_us = healed_us; at_us < end_us; at_us += 2 * SIM_S) {
		int ready = 0;

		sim_run(&w->sim, at_us);
		for (int i = 0; i < MODELS; i++)
			ready += w->was_ready[i] ? 1 : 0;
		if (ready == MODELS && at_us >= healed_us + QUARANTINE_BOUND_US)
			break;
		for (int i = 0; i < MODELS; i++) {
			int64_t from_us = healed_us + i * MODEL_INTERVAL_US;

			for (int t = 0; t < TARGETS && at_us >= from_us; t++) {
				const load_t *load = &w->engines[t].loads[i];

				if (load->is_used &&
				    load->state == BSH_SLOT_READY)
					w->was_ready[i] = true;
			}
			if (at_us >= from_us && !w->was_ready[i]) {
				send_demand_to_all(w, i);
				if (at_us >= from_us + READY_BOUND_US)
					w->overdue_us[i] = at_us;
			}
		}
	}
	for (int i = 0; i < MODELS; i++) {
		if (w->was_ready[i] && w->overdue_us[i] == 0)
			continue;
		w->liveness_failures++;
		TRACE(w, "VIOLATION %s not ready within READY_BOUND_US",
		      model_names[i]);
	}
}

/* Guards against lost capacity: at the end no slot may be quarantined, bound to
 * an earlier incarnation of a target or one that is down, or above the replica
 * limit. */
static void check_capacity(world_t *w)
{
	bsh_cell_t cell;

	bsh_cell_init(&cell, POOL, 1);
	if (w->value == NULL ||
	    bsh_cell_decode(&cell, w->value, strlen(w->value), NULL) != BSH_OK)
		w->liveness_failures++;
	for (guint i = 0; i < cell.slots->len; i++) {
		const bsh_slot_t *s = &g_array_index(cell.slots, bsh_slot_t, i);
		const engine_t *e = &w->engines[index_of(s->target, false)];
		uint64_t generation = w->reduced_us >= 0 ? 1 : 0;

		if (s->state == BSH_SLOT_QUARANTINED || !e->is_up ||
		    s->target_incarnation != e->incarnation ||
		    s->index >=
			    replicas[generation][index_of(s->model, true)]) {
			w->liveness_failures++;
			TRACE(w, "VIOLATION slot %s/%u on %s is %s", s->model,
			      s->index, s->target,
			      bsh_slot_state_name(s->state));
		}
	}
	bsh_cell_finish(&cell);
}

static void world_start(world_t *w, uint32_t seed)
{
	sim_init(&w->sim, seed);
	w->messages = g_ptr_array_new_with_free_func(msg_free);
	w->reduced_us = -1;
	w->list_lag_us = sim_delay(&w->sim, SIM_S, 6 * SIM_S);
	w->fencing = seed % 2 == 0;
	for (int i = 0; i < TARGETS; i++) {
		engine_t *e = &w->engines[i];

		snprintf(e->name, sizeof(e->name), "target-%d", i);
		e->incarnation = e->listed_incarnation = 1;
		e->is_up = true;
	}
	for (int i = 0; i < CONTROLLERS; i++) {
		controller_t *p = &w->controllers[i];

		p->w = w;
		p->index = i;
		snprintf(p->name, sizeof(p->name), "entry-%d", i);
		p->listed_incarnation = 1;
		g_queue_init(&p->inbox);
		g_queue_init(&p->outbox);
	}
	for (int i = 0; i < CONTROLLERS; i++)
		controller_start(&w->controllers[i]);
	sim_after(&w->sim, 2 * SIM_S, send_random_demand, w, NULL);
}

typedef struct {
	uint32_t replicas, memory; /* violations */
	uint32_t live;		   /* liveness failures */
} result_t;

static result_t run(uint32_t seed, int faults, int times, bool is_naive,
		    bool is_verbose)
{
	world_t *w = g_new0(world_t, 1);
	int64_t healed_us =
		HEALED_US + (faults & STORE_DOWN_HOUR ? 3600 * SIM_S : 0);
	result_t result;

	w->is_naive = is_naive;
	w->is_verbose = is_verbose;
	world_start(w, seed);
	for (int kind = 1; kind <= STORE_DOWN_HOUR; kind <<= 1) {
		for (int n = 0; n < times && (faults & kind); n++) {
			fault_t *f = g_new0(fault_t, 1);

			f->kind = kind;
			sim_after(&w->sim,
				  sim_delay(&w->sim, FAULTS_BEGIN_US,
					    FAULTS_END_US),
				  inject_fault, w, f);
		}
	}
	sim_run(&w->sim, healed_us);
	/* Ends the faults that are still active. */
	w->is_order_late = w->is_store_down = w->is_store_slow = false;
	w->loses_answers = w->is_slow_load = false;
	w->list_lag_us = 2 * SIM_S;
	for (int i = 0; i < CONTROLLERS; i++) {
		end_cut(w, &w->controllers[i]);
		end_freeze(w, &w->controllers[i]);
		restart_controller(w, &w->controllers[i]);
	}
	if (!is_naive) {
		check_liveness(w, healed_us);
		check_capacity(w);
	}
	result = (result_t){ w->replica_violations, w->memory_violations,
			     w->liveness_failures };
	for (int i = 0; i < CONTROLLERS; i++)
		controller_stop(&w->controllers[i]);
	g_ptr_array_free(w->messages, TRUE);
	sim_finish(&w->sim);
	g_free(w->value);
	g_free(w);
	return result;
}

static char *fault_text(int faults, int times)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i <= FAULT_BIT_MAX; i++) {
		if (faults & (1 << i))
			g_string_append_printf(text, "%s%s",
					       text->len > 0 ? "+" : "",
					       fault_names[i]);
	}
	if (times > 1)
		g_string_append_printf(text, " x%d", times);
	return g_string_free(text, FALSE);
}

typedef struct {
	int faults;
	int times;
	uint32_t seeds;
	/* With these faults alone the naive version never exceeds the replicas,
	 * so the row proves nothing for that promise. */
	bool is_memory_only;
} row_t;

/* The runs of one row; each thread repeatedly claims the next seed. */
typedef struct {
	const row_t *row;
	uint32_t first; /* seed */
	bool is_verbose;
	gint next;		/* number of seeds claimed */
	result_t *naive, *ours; /* by seed */
} batch_t;

static gpointer run_seeds(gpointer data)
{
	batch_t *b = data;
	uint32_t i;

	while ((i = (uint32_t)g_atomic_int_add(&b->next, 1)) < b->row->seeds) {
		b->naive[i] = run(b->first + i, b->row->faults, b->row->times,
				  true, false);
		b->ours[i] = run(b->first + i, b->row->faults, b->row->times,
				 false, b->is_verbose);
	}
	return NULL;
}

static void run_batch(batch_t *b)
{
	GThread *threads[THREADS];

	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("seeds", run_seeds, b);
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
}

static void add_result(result_t *sum, const result_t *r)
{
	sum->replicas += r->replicas;
	sum->memory += r->memory;
	sum->live += r->live;
}

static bool run_row(const row_t *row, uint32_t first, bool is_verbose)
{
	g_autofree char *text = fault_text(row->faults, row->times);
	g_autofree result_t *results = g_new0(result_t, 2 * row->seeds);
	batch_t b = { .row = row,
		      .first = first,
		      .is_verbose = is_verbose,
		      .naive = results,
		      .ours = results + row->seeds };
	result_t naive = { 0 };
	result_t ours = { 0 };

	run_batch(&b);
	for (uint32_t i = 0; i < row->seeds; i++) {
		const result_t *o = &b.ours[i];

		if (o->replicas + o->memory + o->live > 0 &&
		    ours.replicas + ours.memory + ours.live == 0)
			fprintf(stderr,
				"%s: first failing seed %u (%u replicas, %u "
				"memory, %u liveness); replay with --faults %d "
				"--times %d --seed %u --verbose\n",
				text, first + i, o->replicas, o->memory,
				o->live, row->faults, row->times, first + i);
		add_result(&naive, &b.naive[i]);
		add_result(&ours, o);
	}
	if (!row->is_memory_only || ours.replicas > 0)
		printf("replicas\t%s\t%u\t%u\t%u\n", text, row->seeds,
		       naive.replicas, ours.replicas);
	printf("memory\t%s\t%u\t%u\t%u\n", text, row->seeds, naive.memory,
	       ours.memory);
	fflush(stdout);
	return ours.live == 0;
}

static const row_t rows[] = {
	{ KILL, 2, 10, false },
	{ CUT, 2, 10, false },
	{ CUT_ONE_WAY, 2, 10, false },
	{ FREEZE, 2, 10, false },
	{ LATE_ORDER, 2, 10, false },
	{ STORE_DOWN, 2, 10, true },
	{ STORE_LOST, 2, 10, false },
	{ STORE_SLOW, 2, 10, false },
	{ SLOW_LOADS, 2, 10, false },
	{ TARGET_RESTART, 2, 10, false },
	{ TARGET_RECLAIM, 2, 10, false },
	{ TWO_OWNERS, 2, 10, false },
	{ LIST_LAG, 1, 10, false },
	{ FEWER_REPLICAS, 1, 10, false },
	{ FREEZE | CUT, 1, 10, false },
	{ FREEZE | STORE_DOWN, 1, 10, false },
	{ FREEZE | TARGET_RESTART, 1, 10, false },
	{ FREEZE | KILL, 1, 10, false },
	{ LATE_ORDER | KILL, 2, 20, false },
	{ LATE_ORDER | KILL | SLOW_LOADS | TWO_OWNERS, 2, 20, false },
	{ LATE_ORDER | TARGET_RESTART | FREEZE, 2, 10, false },
	{ LATE_ORDER | KILL | FEWER_REPLICAS, 2, 60, false },
	{ LATE_ORDER | KILL | FREEZE | TARGET_RESTART, 3, 60, false },
	{ STORE_LOST | KILL, 1, 10, false },
	{ STORE_SLOW | TWO_OWNERS, 1, 10, false },
	{ LATE_ORDER | FEWER_REPLICAS, 1, 10, false },
	{ FREEZE | FEWER_REPLICAS, 1, 10, false },
	{ SLOW_LOADS | TARGET_RECLAIM, 1, 10, false },
	{ LIST_LAG | KILL | FREEZE, 2, 10, false },
	{ LIST_LAG | TARGET_RECLAIM | LATE_ORDER, 1, 10, false },
	{ STORE_DOWN_HOUR | LATE_ORDER | FREEZE | SLOW_LOADS, 1, 4, false },
	{ STORE_DOWN_HOUR - 1, 1, 16, false },
	{ STORE_DOWN_HOUR - 1, 2, 16, false },
};

int main(int argc, char **argv)
{
	gboolean is_verbose = FALSE;
	int seed = 1;
	row_t row = { .times = 1, .seeds = 1 };
	int seeds = 1;
	GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "seeds", "N" },
		{ "faults", 0, 0, G_OPTION_ARG_INT, &row.faults,
		  "mask of fault bits", "N" },
		{ "times", 0, 0, G_OPTION_ARG_INT, &row.times,
		  "occurrences of each fault", "N" },
		{ "verbose", 0, 0, G_OPTION_ARG_NONE, &is_verbose,
		  "print a trace of the run", NULL },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	bool ok = true;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		errx(1, "invalid arguments, see --help");
	g_option_context_free(context);
	row.seeds = (uint32_t)seeds;
	if (row.faults != 0)
		return run_row(&row, (uint32_t)seed, is_verbose) ? 0 : 1;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ok &= run_row(&rows[i], (uint32_t)seed, false);
	return ok ? 0 : 1;
}
