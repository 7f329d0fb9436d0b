/*
 * Differential proof of the promises `replicas` and `memory`: several
 * controllers, a store, engines and a platform list, all faked, under a
 * virtual clock.  The checker counts only what the fake engines record.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/loader.h"
#include "naive/naive_loads.h"
#include "support/sim.h"

#define PROCS	     3
#define TARGETS	     3
#define MODELS	     10
#define THREADS	     4
#define POOL	     "pool"
#define TARGET_MIB   1000
#define STORE_WAIT   (2 * SIM_S) /* a caller gives up after this */
#define ORDER_WAIT   (5 * SIM_S)
#define LATE_MAX     (20 * SIM_S) /* life of a message; settle_ms is 30 s */
#define ADOPT_MAX    (11 * SIM_S) /* bound of the promise `configuration` */
#define FAULTS_BEGIN (15 * SIM_S)
#define FAULTS_END   (120 * SIM_S)
#define HEALED	     (130 * SIM_S)
#define LIVE_BOUND   (120 * SIM_S)
#define QUIET_BOUND  (90 * SIM_S) /* until no slot is quarantined */
#define LIVE_STEP    (8 * SIM_S)
#define STORE_CALL   (UINT64_C(1) << 40)

enum {
	KILL = 1 << 0,
	CUT = 1 << 1,
	CUT_ONE = 1 << 2,
	FREEZE = 1 << 3,
	LATE = 1 << 4,
	STORE_DOWN = 1 << 5,
	LOST = 1 << 6,
	STORE_SLOW = 1 << 7,
	SLOW_LOADS = 1 << 8,
	RESTART = 1 << 9,
	RECLAIM = 1 << 10,
	RACE = 1 << 11,
	LAG = 1 << 12,
	FEWER = 1 << 13,
	HOUR = 1 << 14,
	KINDS = 14
};

static const char *const kind_names[] = { "kill",
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

typedef struct {
	bool is_used;
	bsh_slot_state_t state;
	bsh_attempt_id_t attempt;
	uint64_t serial; /* of the load, so that late timers are ignored */
} load_t;

typedef struct {
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bool is_up;
	bsh_instance_state_t listed;
	uint64_t listed_incarnation;
	uint64_t fences[MODELS]; /* survive a restart */
	load_t loads[MODELS];
} engine_t;

struct world;

typedef struct {
	struct world *w;
	int index;
	char name[BSH_CELL_NAME_SIZE];
	uint64_t incarnation;
	bool is_up;
	bool is_frozen;
	bool is_armed;	/* freezes at its next load order */
	bool is_doomed; /* killed after its next load order */
	bool is_listed_gone;
	uint64_t listed_incarnation;
	bool no_store_out, no_store_in, no_target_out, no_target_in;
	double drift;
	int64_t offset_us;
	bsh_loader_t ours;
	naive_loads_t naive;
	GQueue inbox, outbox; /* of msg_t, while frozen */
	GHashTable *calls;
	uint64_t next_call, store_call;
	uint64_t generation;
	bool is_store_update;
} proc_t;

typedef enum {
	TO_STORE_READ,
	TO_STORE_UPDATE,
	TO_ENGINE_ORDER,
	TO_ENGINE_POLL,
	READ_ANSWER,
	UPDATE_ANSWER,
	ORDER_ANSWER,
	STATUS,
	LIST,
	TICK,
	DEMAND,
	DOCUMENT
} msg_kind_t;

typedef struct {
	struct world *w;
	msg_kind_t kind;
	int proc;
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
	int64_t emitted_us;
	int64_t began_us;
	bsh_target_status_t status;
	bsh_target_model_t models[MODELS];
} msg_t;

typedef struct world {
	sim_t sim;
	bool is_naive, is_verbose, fencing;
	proc_t procs[PROCS];
	engine_t engines[TARGETS];
	uint64_t version;
	char *value;
	bool is_store_down, is_store_slow, loses_answers, is_late, is_slow_load;
	int64_t lag_us;
	int64_t changed_us; /* document with fewer replicas, or -1 */
	uint64_t serial;
	GPtrArray *all;
	uint32_t replica_violations, memory_violations, live_failures;
	bool has_live_check;
	bool was_ready[MODELS];
	int64_t due_us[MODELS];
	uint64_t next_demand;
} world_t;

static const char *const model_names[MODELS] = { "m0", "m1", "m2", "m3", "m4",
						 "m5", "m6", "m7", "a8", "a9" };
static const uint32_t model_mib[MODELS] = { 400, 300, 450, 350, 300,
					    250, 500, 200, 40,	60 };
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

static void handle(void *ctx, void *data);

static int64_t clock_of(const proc_t *p)
{
	return p->offset_us + (int64_t)((double)p->w->sim.now_us * p->drift);
}

static msg_t *msg_new(world_t *w, msg_kind_t kind, const proc_t *p)
{
	msg_t *m = g_new0(msg_t, 1);

	m->w = w;
	m->kind = kind;
	m->proc = p->index;
	m->incarnation = p->incarnation;
	g_ptr_array_add(w->all, m);
	return m;
}

static void msg_free(void *data)
{
	g_free(((msg_t *)data)->value);
	g_free(data);
}

static int64_t hop(world_t *w)
{
	return sim_delay(&w->sim, SIM_MS / 2, 3 * SIM_MS);
}

static void after(world_t *w, int64_t delay_us, msg_t *m)
{
	sim_after(&w->sim, delay_us, handle, w, m);
}

/* Sends of a process; a frozen one keeps them until it is resumed. */
static void emit(proc_t *p, msg_t *m)
{
	world_t *w = p->w;
	int64_t delay_us = hop(w);

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
		if (w->is_late && m->kind == TO_ENGINE_ORDER &&
		    sim_chance(&w->sim, 0.4))
			delay_us = sim_delay(&w->sim, 4 * SIM_S, LATE_MAX);
	}
	after(w, delay_us, m);
}

/* The caller's timeout: an answer with an unknown effect. */
static void arm_timeout(proc_t *p, const msg_t *request, msg_kind_t answer,
			int result, int64_t wait_us)
{
	msg_t *m = msg_new(p->w, answer, p);

	m->call = request->call;
	m->result = result;
	m->target = request->target;
	g_hash_table_add(p->calls, g_memdup2(&m->call, sizeof(m->call)));
	after(p->w, wait_us, m);
}

static void op_read(void *ctx, const char *cell)
{
	proc_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_STORE_READ, p);

	(void)cell;
	m->call = STORE_CALL + p->next_call++;
	arm_timeout(p, m, READ_ANSWER, BSH_STORE_UNAVAILABLE, STORE_WAIT);
	emit(p, m);
}

static void op_update(void *ctx, const char *cell, uint64_t base_version,
		      const char *value)
{
	proc_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_STORE_UPDATE, p);

	(void)cell;
	m->call = STORE_CALL + p->next_call++;
	m->version = base_version;
	m->value = g_strdup(value);
	arm_timeout(p, m, UPDATE_ANSWER, BSH_STORE_LOST, STORE_WAIT);
	emit(p, m);
}

static void kill_proc(void *ctx, void *data);

static int find_name(const char *name, bool is_model)
{
	for (int i = 0; i < (is_model ? MODELS : TARGETS); i++) {
		char target[BSH_CELL_NAME_SIZE];

		snprintf(target, sizeof(target), "target-%d", i);
		if (strcmp(name, is_model ? model_names[i] : target) == 0)
			return i;
	}
	errx(1, "unknown name %s", name);
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	proc_t *p = ctx;
	msg_t *m = msg_new(p->w, TO_ENGINE_ORDER, p);

	m->call = order->id;
	m->order = order->kind;
	m->target = find_name(order->target, false);
	m->model = find_name(order->model, true);
	m->attempt = order->attempt;
	m->fence = order->fence;
	m->emitted_us = p->w->sim.now_us;
	TRACE(p->w,
	      "%s#%" G_GUINT64_FORMAT
	      " orders %s %s on %s fence %" G_GUINT64_FORMAT,
	      p->name, p->incarnation,
	      order->kind == BSH_ORDER_LOAD ? "load" : "unload", order->model,
	      order->target, order->fence);
	if (p->is_armed && order->kind == BSH_ORDER_LOAD) {
		p->is_armed = false;
		p->is_frozen = true;
		TRACE(p->w, "%s frozen before its send", p->name);
	}
	arm_timeout(p, m, ORDER_ANSWER, BSH_ORDER_UNKNOWN, ORDER_WAIT);
	emit(p, m);
	if (p->is_doomed && order->kind == BSH_ORDER_LOAD) {
		p->is_doomed = false;
		sim_after(&p->w->sim, 0, kill_proc, p->w, p);
	}
}

static void poll_target(proc_t *p, int target)
{
	msg_t *m = msg_new(p->w, TO_ENGINE_POLL, p);

	m->target = target;
	m->began_us = clock_of(p);
	emit(p, m);
}

static void op_poll(void *ctx, const char *target)
{
	poll_target(ctx, find_name(target, false));
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	const proc_t *p = ctx;

	TRACE(p->w, "%s answers %s: %d %s", p->name, answer->model,
	      answer->result, answer->reason);
}

static void op_event(void *ctx, const bsh_loader_event_t *event)
{
	const proc_t *p = ctx;

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

static void give_document(proc_t *p, uint64_t generation)
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
		naive_loads_set_document(&p->naive, &d, clock_of(p));
	else
		bsh_loader_set_document(&p->ours, &d, clock_of(p));
}

static void give_list(proc_t *p)
{
	world_t *w = p->w;
	bsh_loader_instance_t items[PROCS + TARGETS];

	for (int i = 0; i < PROCS; i++)
		items[i] = (bsh_loader_instance_t){
			.name = w->procs[i].name,
			.incarnation = w->procs[i].listed_incarnation,
			.state = w->procs[i].is_listed_gone ? BSH_INSTANCE_GONE
							    : 0
		};
	for (int i = 0; i < TARGETS; i++)
		items[PROCS + i] = (bsh_loader_instance_t){
			.name = w->engines[i].name,
			.incarnation = w->engines[i].listed_incarnation,
			.is_target = true,
			.pool = POOL,
			.memory_mib = TARGET_MIB,
			.state = w->engines[i].listed
		};
	if (w->is_naive)
		naive_loads_set_instances(&p->naive, items, PROCS + TARGETS,
					  clock_of(p));
	else
		bsh_loader_set_instances(&p->ours, items, PROCS + TARGETS,
					 clock_of(p));
}

static void give_members(proc_t *p)
{
	bsh_sender_t live[PROCS];
	size_t count = 0;

	for (int i = 0; i < PROCS; i++) {
		const proc_t *q = &p->w->procs[i];

		if (!q->is_up)
			continue;
		g_strlcpy(live[count].instance, q->name, BSH_CELL_NAME_SIZE);
		live[count++].incarnation = q->incarnation;
	}
	if (!p->w->is_naive)
		bsh_loader_set_members(&p->ours, live, count, clock_of(p));
}

static void proc_start(proc_t *p)
{
	world_t *w = p->w;
	bsh_loader_config_t config = { .settle_ms = 30000 };

	p->incarnation++;
	p->is_up = true;
	p->is_frozen = false;
	p->is_armed = p->is_doomed = false;
	p->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	p->drift = 0.998 + 0.004 * bsh_rng_unit(&w->sim.rng);
	p->offset_us = sim_delay(&w->sim, 0, 1000 * SIM_S);
	g_strlcpy(config.self.instance, p->name, BSH_CELL_NAME_SIZE);
	config.self.incarnation = p->incarnation;
	config.seed[0] = g_rand_int(w->sim.rng.rand);
	config.seed[1] = p->incarnation;
	if (w->is_naive)
		naive_loads_init(&p->naive, &config, &ops, p);
	else
		bsh_loader_init(&p->ours, &config, &ops, p);
	give_members(p);
	give_list(p);
	give_document(p, w->changed_us >= 0 ? 2 : 1);
	after(w, hop(w), msg_new(w, TICK, p));
	after(w, hop(w), msg_new(w, LIST, p));
}

static void proc_stop(proc_t *p)
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

static bool proc_owns(const proc_t *p)
{
	if (!p->is_up)
		return false;
	return p->w->is_naive ? p->naive.lease_until_us > clock_of(p)
			      : bsh_loader_owns(&p->ours, POOL);
}

static int owner_of(world_t *w)
{
	for (int i = 0; i < PROCS; i++) {
		if (proc_owns(&w->procs[i]))
			return i;
	}
	return (int)bsh_rng_below(&w->sim.rng, PROCS);
}

static void at_store(world_t *w, const msg_t *m)
{
	proc_t *p = &w->procs[m->proc];
	bool is_read = m->kind == TO_STORE_READ;
	msg_t *answer = msg_new(w, is_read ? READ_ANSWER : UPDATE_ANSWER, p);
	int64_t delay_us = hop(w);

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
		TRACE(w, "store version %" G_GUINT64_FORMAT " by %s",
		      w->version, p->name);
	}
	if (w->loses_answers && sim_chance(&w->sim, 0.4))
		return;
	if (w->is_store_slow)
		delay_us = sim_delay(&w->sim, 0, 3 * SIM_S);
	if (!p->no_store_in)
		after(w, delay_us, answer);
}

/* The checker: counts from the engines' records at each load that begins. */
static void check_load(world_t *w, const msg_t *m)
{
	const engine_t *e = &w->engines[m->target];
	bool is_old =
		w->changed_us < 0 || m->emitted_us <= w->changed_us + ADOPT_MAX;
	uint32_t limit = replicas[is_old ? 0 : 1][m->model];
	uint32_t count = 0;
	uint32_t used = 0;

	for (int t = 0; t < TARGETS; t++)
		count += w->engines[t].loads[m->model].is_used ? 1 : 0;
	for (int i = 0; i < MODELS; i++)
		used += e->loads[i].is_used ? model_mib[i] : 0;
	if (count > limit) {
		w->replica_violations++;
		TRACE(w, "VIOLATION replicas of %s: %u of %u",
		      model_names[m->model], count, limit);
	}
	if (used > TARGET_MIB) {
		w->memory_violations++;
		TRACE(w, "VIOLATION memory of %s: %u", e->name, used);
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
		TRACE(w, "%s loads %s", e->name, model_names[m->model]);
		check_load(w, m);
	} else if (load->is_used && load->state != BSH_SLOT_UNLOADING) {
		load->state = BSH_SLOT_UNLOADING;
		arm_load(w, m, sim_delay(&w->sim, SIM_S / 2, 3 * SIM_S));
	}
	return BSH_ORDER_ACCEPTED;
}

static void at_engine(world_t *w, const msg_t *m)
{
	engine_t *e = &w->engines[m->target];
	proc_t *p = &w->procs[m->proc];
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
		after(w, hop(w), answer);
}

static void run_proc(proc_t *p, msg_t *m)
{
	world_t *w = p->w;
	int64_t now_us = clock_of(p);
	msg_t *again;

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
		give_members(p);
		give_list(p);
		for (int i = 0; i < TARGETS; i++)
			poll_target(p, i);
		after(w, SIM_S, msg_new(w, LIST, p));
		return;
	case TICK:
		again = msg_new(w, TICK, p);
		if (w->is_naive) {
			naive_loads_tick(&p->naive, now_us);
			after(w, 200 * SIM_MS, again);
		} else {
			bsh_loader_tick(&p->ours, now_us);
			after(w, bsh_loader_next_us(&p->ours) - now_us, again);
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
		give_document(p, 2);
		return;
	default:
		errx(1, "message of kind %d at a process", m->kind);
	}
}

static void handle(void *ctx, void *data)
{
	world_t *w = ctx;
	msg_t *m = data;
	proc_t *p = &w->procs[m->proc];

	switch (m->kind) {
	case TO_STORE_READ:
	case TO_STORE_UPDATE:
		at_store(w, m);
		return;
	case TO_ENGINE_ORDER:
	case TO_ENGINE_POLL:
		at_engine(w, m);
		return;
	default:
		break;
	}
	if (!p->is_up || m->incarnation != p->incarnation)
		return;
	if (p->is_frozen)
		g_queue_push_tail(&p->inbox, m);
	else
		run_proc(p, m);
}

static void resume(proc_t *p)
{
	msg_t *m;

	if (!p->is_up || !p->is_frozen)
		return;
	TRACE(p->w, "%s resumed", p->name);
	p->is_frozen = false;
	while ((m = g_queue_pop_head(&p->outbox)) != NULL)
		emit(p, m);
	while (!p->is_frozen && (m = g_queue_pop_head(&p->inbox)) != NULL)
		run_proc(p, m);
}

/* The platform's list follows with its lag. */
static void list_proc(void *ctx, void *data)
{
	proc_t *p = data;

	(void)ctx;
	p->listed_incarnation = p->incarnation;
	p->is_listed_gone = !p->is_up;
}

static void list_engine(void *ctx, void *data)
{
	engine_t *e = data;

	(void)ctx;
	e->listed_incarnation = e->incarnation;
	e->listed = e->is_up ? BSH_INSTANCE_LIVE : BSH_INSTANCE_GONE;
}

static void restart_proc(void *ctx, void *data)
{
	world_t *w = ctx;
	proc_t *p = data;

	if (p->is_up)
		return;
	TRACE(w, "%s restarted", p->name);
	proc_start(p);
	sim_after(&w->sim, w->lag_us, list_proc, w, p);
}

static void kill_proc(void *ctx, void *data)
{
	world_t *w = ctx;
	proc_t *p = data;

	if (!p->is_up)
		return;
	TRACE(w, "%s killed", p->name);
	p->is_doomed = false;
	proc_stop(p);
	sim_after(&w->sim, w->lag_us, list_proc, w, p);
}

static void end_freeze(void *ctx, void *data)
{
	(void)ctx;
	((proc_t *)data)->is_armed = false;
	resume(data);
}

static void end_cut(void *ctx, void *data)
{
	proc_t *p = data;

	(void)ctx;
	p->no_store_in = p->no_store_out = false;
	p->no_target_in = p->no_target_out = false;
}

static void end_flag(void *ctx, void *data)
{
	(void)ctx;
	*(bool *)data = false;
}

static void stop_engine(world_t *w, engine_t *e, bool is_back)
{
	memset(e->loads, 0, sizeof(e->loads));
	if (is_back)
		e->incarnation++;
	else
		e->is_up = false;
	TRACE(w, "%s %s", e->name, is_back ? "restarted" : "reclaimed");
	sim_after(&w->sim, w->lag_us, list_engine, w, e);
}

typedef struct {
	world_t *w;
	int kind;
} fault_t;

static void raise_flag(world_t *w, bool *flag, int64_t for_us)
{
	*flag = true;
	sim_after(&w->sim, for_us, end_flag, w, flag);
}

static void inject(void *ctx, void *data)
{
	world_t *w = ctx;
	fault_t *f = data;
	int64_t for_us = sim_delay(&w->sim, 8 * SIM_S, 45 * SIM_S);
	proc_t *p = &w->procs[sim_chance(&w->sim, 0.7)
				      ? owner_of(w)
				      : (int)bsh_rng_below(&w->sim.rng, PROCS)];
	engine_t *e = &w->engines[bsh_rng_below(&w->sim.rng, TARGETS)];

	TRACE(w, "FAULT %d (%s, %s)", f->kind, p->name, e->name);
	switch (f->kind) {
	case KILL:
		p->is_doomed = true;
		if (sim_chance(&w->sim, 0.3))
			kill_proc(w, p);
		sim_after(&w->sim, for_us, restart_proc, w, p);
		break;
	case CUT:
		p->no_target_in = p->no_target_out = sim_chance(&w->sim, 0.6);
		p->no_store_in = p->no_store_out =
			!p->no_target_in || sim_chance(&w->sim, 0.5);
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case CUT_ONE:
		if (sim_chance(&w->sim, 0.5))
			p->no_target_in = true;
		else
			p->no_store_in = true;
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case FREEZE:
		p->is_armed = true;
		sim_after(&w->sim, for_us + 30 * SIM_S, end_freeze, w, p);
		break;
	case LATE:
		raise_flag(w, &w->is_late, for_us);
		break;
	case STORE_DOWN:
		raise_flag(w, &w->is_store_down, for_us);
		break;
	case HOUR:
		raise_flag(w, &w->is_store_down, 3600 * SIM_S);
		break;
	case LOST:
		raise_flag(w, &w->loses_answers, for_us);
		break;
	case STORE_SLOW:
		raise_flag(w, &w->is_store_slow, for_us);
		break;
	case SLOW_LOADS:
		raise_flag(w, &w->is_slow_load, for_us);
		break;
	case RESTART:
		if (e->is_up)
			stop_engine(w, e, true);
		break;
	case RECLAIM:
		stop_engine(w, e, false);
		break;
	case RACE:
		/* The owner loses the store but still reaches targets. */
		p = &w->procs[owner_of(w)];
		p->no_store_in = p->no_store_out = true;
		sim_after(&w->sim, for_us, end_cut, w, p);
		break;
	case LAG:
		w->lag_us = 30 * SIM_S;
		break;
	case FEWER:
		if (w->changed_us >= 0)
			break;
		w->changed_us = w->sim.now_us;
		for (int i = 0; i < PROCS; i++) {
			if (w->procs[i].is_up)
				after(w, sim_delay(&w->sim, 0, ADOPT_MAX / 2),
				      msg_new(w, DOCUMENT, &w->procs[i]));
		}
		break;
	default:
		errx(1, "unknown fault %d", f->kind);
	}
	g_free(f);
}

static void demand_all(world_t *w, int model)
{
	for (int i = 0; i < PROCS; i++) {
		msg_t *m;

		if (!w->procs[i].is_up)
			continue;
		m = msg_new(w, DEMAND, &w->procs[i]);
		m->model = model;
		m->call = ++w->next_demand;
		after(w, hop(w), m);
	}
}

/* First requests of a random model reach several routers at once. */
static void random_demand(void *ctx, void *data)
{
	world_t *w = ctx;

	(void)data;
	if (w->has_live_check)
		return;
	demand_all(w, (int)bsh_rng_below(&w->sim.rng, MODELS));
	sim_after(&w->sim, sim_delay(&w->sim, SIM_S / 2, 3 * SIM_S),
		  random_demand, w, NULL);
}

static void run_live(world_t *w, int64_t healed_us)
{
	int64_t end_us = healed_us + MODELS * LIVE_STEP + LIVE_BOUND;

	w->has_live_check = true;
	for (int64_t at_us = healed_us; at_us < end_us; at_us += 2 * SIM_S) {
		int ready = 0;

		sim_run(&w->sim, at_us);
		for (int i = 0; i < MODELS; i++)
			ready += w->was_ready[i] ? 1 : 0;
		if (ready == MODELS && at_us >= healed_us + QUIET_BOUND)
			break;
		for (int i = 0; i < MODELS; i++) {
			int64_t from_us = healed_us + i * LIVE_STEP;

			for (int t = 0; t < TARGETS && at_us >= from_us; t++) {
				const load_t *load = &w->engines[t].loads[i];

				if (load->is_used &&
				    load->state == BSH_SLOT_READY)
					w->was_ready[i] = true;
			}
			if (at_us >= from_us && !w->was_ready[i]) {
				demand_all(w, i);
				if (at_us >= from_us + LIVE_BOUND)
					w->due_us[i] = at_us;
			}
		}
	}
	for (int i = 0; i < MODELS; i++) {
		if (w->was_ready[i] && w->due_us[i] == 0)
			continue;
		w->live_failures++;
		TRACE(w, "VIOLATION %s not loaded in time", model_names[i]);
	}
}

/* No capacity stays lost: nothing is unloading or quarantined at the end. */
static void check_capacity(world_t *w)
{
	bsh_cell_t cell;

	bsh_cell_init(&cell, POOL, 1);
	if (w->value == NULL ||
	    bsh_cell_decode(&cell, w->value, strlen(w->value), NULL) != BSH_OK)
		w->live_failures++;
	for (guint i = 0; i < cell.slots->len; i++) {
		const bsh_slot_t *s = &g_array_index(cell.slots, bsh_slot_t, i);
		const engine_t *e = &w->engines[find_name(s->target, false)];
		uint64_t generation = w->changed_us >= 0 ? 1 : 0;

		if (s->state == BSH_SLOT_QUARANTINED || !e->is_up ||
		    s->target_incarnation != e->incarnation ||
		    s->index >=
			    replicas[generation][find_name(s->model, true)]) {
			w->live_failures++;
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
	w->all = g_ptr_array_new_with_free_func(msg_free);
	w->changed_us = -1;
	w->lag_us = sim_delay(&w->sim, SIM_S, 6 * SIM_S);
	w->fencing = seed % 2 == 0;
	for (int i = 0; i < TARGETS; i++) {
		engine_t *e = &w->engines[i];

		snprintf(e->name, sizeof(e->name), "target-%d", i);
		e->incarnation = e->listed_incarnation = 1;
		e->is_up = true;
	}
	for (int i = 0; i < PROCS; i++) {
		proc_t *p = &w->procs[i];

		p->w = w;
		p->index = i;
		snprintf(p->name, sizeof(p->name), "entry-%d", i);
		p->listed_incarnation = 1;
		g_queue_init(&p->inbox);
		g_queue_init(&p->outbox);
	}
	for (int i = 0; i < PROCS; i++)
		proc_start(&w->procs[i]);
	sim_after(&w->sim, 2 * SIM_S, random_demand, w, NULL);
}

typedef struct {
	uint32_t replicas, memory, live;
} result_t;

static result_t run(uint32_t seed, int faults, int times, bool is_naive,
		    bool is_verbose)
{
	world_t *w = g_new0(world_t, 1);
	int64_t healed_us = HEALED + (faults & HOUR ? 3600 * SIM_S : 0);
	result_t result;

	w->is_naive = is_naive;
	w->is_verbose = is_verbose;
	world_start(w, seed);
	for (int kind = 1; kind <= HOUR; kind <<= 1) {
		for (int n = 0; n < times && (faults & kind); n++) {
			fault_t *f = g_new0(fault_t, 1);

			f->kind = kind;
			sim_after(&w->sim,
				  sim_delay(&w->sim, FAULTS_BEGIN, FAULTS_END),
				  inject, w, f);
		}
	}
	sim_run(&w->sim, healed_us);
	/* All faults end. */
	w->is_late = w->is_store_down = w->is_store_slow = false;
	w->loses_answers = w->is_slow_load = false;
	w->lag_us = 2 * SIM_S;
	for (int i = 0; i < PROCS; i++) {
		end_cut(w, &w->procs[i]);
		end_freeze(w, &w->procs[i]);
		restart_proc(w, &w->procs[i]);
	}
	if (!is_naive) {
		run_live(w, healed_us);
		check_capacity(w);
	}
	result = (result_t){ w->replica_violations, w->memory_violations,
			     w->live_failures };
	for (int i = 0; i < PROCS; i++)
		proc_stop(&w->procs[i]);
	g_ptr_array_free(w->all, TRUE);
	sim_finish(&w->sim);
	g_free(w->value);
	g_free(w);
	return result;
}

static char *fault_text(int faults, int times)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i <= KINDS; i++) {
		if (faults & (1 << i))
			g_string_append_printf(text, "%s%s",
					       text->len > 0 ? "+" : "",
					       kind_names[i]);
	}
	if (times > 1)
		g_string_append_printf(text, " x%d", times);
	return g_string_free(text, FALSE);
}

typedef struct {
	int faults;
	int times;
	uint32_t seeds;
	/* Alone, these faults do not make the naive version exceed the
	 * replicas, so the row proves nothing for that promise. */
	bool is_memory_only;
} row_t;

/* Runs of one row; each thread takes the next seed. */
typedef struct {
	const row_t *row;
	uint32_t first;
	bool is_verbose;
	gint next;
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

static void add(result_t *sum, const result_t *r)
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
		add(&naive, &b.naive[i]);
		add(&ours, o);
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
	{ CUT_ONE, 2, 10, false },
	{ FREEZE, 2, 10, false },
	{ LATE, 2, 10, false },
	{ STORE_DOWN, 2, 10, true },
	{ LOST, 2, 10, false },
	{ STORE_SLOW, 2, 10, false },
	{ SLOW_LOADS, 2, 10, false },
	{ RESTART, 2, 10, false },
	{ RECLAIM, 2, 10, false },
	{ RACE, 2, 10, false },
	{ LAG, 1, 10, false },
	{ FEWER, 1, 10, false },
	{ FREEZE | CUT, 1, 10, false },
	{ FREEZE | STORE_DOWN, 1, 10, false },
	{ FREEZE | RESTART, 1, 10, false },
	{ FREEZE | KILL, 1, 10, false },
	{ LATE | KILL, 2, 20, false },
	{ LATE | KILL | SLOW_LOADS | RACE, 2, 20, false },
	{ LATE | RESTART | FREEZE, 2, 10, false },
	{ LATE | KILL | FEWER, 2, 60, false },
	{ LATE | KILL | FREEZE | RESTART, 3, 60, false },
	{ LOST | KILL, 1, 10, false },
	{ STORE_SLOW | RACE, 1, 10, false },
	{ LATE | FEWER, 1, 10, false },
	{ FREEZE | FEWER, 1, 10, false },
	{ SLOW_LOADS | RECLAIM, 1, 10, false },
	{ LAG | KILL | FREEZE, 2, 10, false },
	{ LAG | RECLAIM | LATE, 1, 10, false },
	{ HOUR | LATE | FREEZE | SLOW_LOADS, 1, 4, false },
	{ HOUR - 1, 1, 16, false },
	{ HOUR - 1, 2, 16, false },
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
		{ "faults", 0, 0, G_OPTION_ARG_INT, &row.faults, "mask", "N" },
		{ "times", 0, 0, G_OPTION_ARG_INT, &row.times, "each", "N" },
		{ "verbose", 0, 0, G_OPTION_ARG_NONE, &is_verbose, "trace",
		  NULL },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	bool ok = true;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		errx(1, "bad arguments");
	g_option_context_free(context);
	row.seeds = (uint32_t)seeds;
	if (row.faults != 0)
		return run_row(&row, (uint32_t)seed, is_verbose) ? 0 : 1;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ok &= run_row(&rows[i], (uint32_t)seed, false);
	return ok ? 0 : 1;
}
