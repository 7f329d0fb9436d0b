#include "support/world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEAVING_BOUND_US    (3 * SIM_S) /* see target_t.late_requests */
#define UNMEETABLE_BOUND_US (100 * SIM_MS)
#define TARGET_RUNNING_MAX  8 /* then a target refuses with status 429 */
#define TRIES_MAX	    4 /* of one call */

/* Stages of a connection; STAGE_CHUNK + n is chunk n of the answer. */
enum {
	STAGE_CONNECT, /* the connection is established */
	STAGE_ARRIVE,  /* the target receives the request */
	STAGE_HEAD,    /* the target sends the head of the answer */
	STAGE_CHUNK    /* the target sends the first chunk */
};

/* Object in the store. */
typedef struct {
	uint64_t version;
	char *value;
} object_t;

/* A call to the store, or a message to a router, in flight. */
typedef struct {
	world_t *w;
	int router;
	uint64_t router_incarnation;
	int kind;
	int target;
	uint64_t number; /* of the store call, or incarnation of the target */
	uint64_t version;
	bool flag; /* store: it is a write; target: it is leaving */
	bool lost; /* the response of the store is lost */
	bsh_store_status_t status;
	char *name;
	char *value;
	int64_t ready_us;
} message_t;

/* Kinds of messages, by the operation of the adapter that receives them. */
enum {
	MSG_LIST,
	MSG_LEAVING,
	MSG_NEED_ANSWER,
	MSG_READY,
	MSG_STORE
};

static const struct {
	int first;
	int count;
} model_targets[WORLD_MODELS] = { { 0, 4 }, { 4, 2 }, { 6, 3 } };

static const char *const target_names[WORLD_TARGETS] = { "e0", "e1", "e2",
							 "e3", "c0", "c1",
							 "s0", "s1", "s2" };
static const char *const router_names[WORLD_ROUTERS] = { "r0", "r1", "r2" };
static const char *const model_names[WORLD_MODELS] = { "chat", "cold",
						       "deposits" };

const char *world_target_name(int target)
{
	return target_names[target];
}

const char *world_router_name(int router)
{
	return router_names[router];
}

const char *world_model_name(int model)
{
	return model_names[model];
}

int world_model_of(request_kind_t kind)
{
	return kind == KIND_DEPOSIT ? 2 : kind == KIND_COLD;
}

void world_model_targets(int model, int *first, int *count)
{
	*first = model_targets[model].first;
	*count = model_targets[model].count;
}

bool world_is_active(const world_t *w, uint32_t fault)
{
	return (w->active & fault) != 0;
}

static bool draw_fault(world_t *w, uint32_t fault, double probability)
{
	return world_is_active(w, fault) && sim_chance(&w->sim, probability);
}

static void log_event(const world_t *w, const char *what, int a, int b)
{
	if (w->verbose)
		fprintf(stderr, "%10.6f %s %d %d\n",
			(double)w->sim.now_us / 1e6, what, a, b);
}

/* Routers. */

static bool is_process_alive(const world_t *w, int router, uint64_t incarnation)
{
	return w->routers[router].alive &&
	       w->routers[router].incarnation == incarnation;
}

static int64_t frozen_left_us(const world_t *w, int router)
{
	return w->routers[router].frozen_until_us - w->sim.now_us;
}

static void tick(void *ctx, void *data)
{
	world_t *w = ctx;
	int router = GPOINTER_TO_INT(data);
	router_t *r = &w->routers[router];

	if (!r->alive || r->armed_us > w->sim.now_us)
		return;
	if (frozen_left_us(w, router) > 0) {
		r->armed_us = r->frozen_until_us;
		sim_after(&w->sim, frozen_left_us(w, router), tick, w, data);
		return;
	}
	r->armed_us = INT64_MAX;
	w->adapter->tick(r->self);
}

void world_arm(world_t *w, int router, int64_t at_us)
{
	router_t *r = &w->routers[router];

	if (at_us == INT64_MAX || at_us >= r->armed_us)
		return;
	r->armed_us = MAX(at_us, w->sim.now_us);
	sim_after(&w->sim, r->armed_us - w->sim.now_us, tick, w,
		  GINT_TO_POINTER(router));
}

static void start_router(world_t *w, int router)
{
	router_t *r = &w->routers[router];

	r->incarnation++;
	r->alive = true;
	r->armed_us = INT64_MAX;
	r->self = w->adapter->create(w, router);
	/* A new instance receives its peers' view before it accepts work. */
	for (int t = 0; t < WORLD_TARGETS; t++)
		w->adapter->list(r->self, t, w->targets[t].incarnation,
				 w->targets[t].leaving &&
					 w->targets[t].leaving_known_us > 0);
	for (int m = 0; m < WORLD_MODELS; m++) {
		if (m != 1 || w->loaded)
			w->adapter->ready(r->self, m);
	}
}

/* Ends the router's process and cuts its open requests and connections. */
static void stop_router(world_t *w, int router)
{
	router_t *r = &w->routers[router];

	r->alive = false;
	for (guint i = 0; i < w->submissions->len; i++) {
		submission_t *sub = g_ptr_array_index(w->submissions, i);

		if (sub->router == router && sub->ended_us == 0 &&
		    sub->request != NULL && sub->gone_us == 0) {
			sub->cut = true;
			sub->ended_us = w->sim.now_us;
		}
	}
	for (conn_t *c = w->conns; c != NULL; c = c->next) {
		if (c->router == router)
			c->closed = true;
	}
	w->adapter->destroy(r->self);
	r->self = NULL;
}

void world_exit(world_t *w, int router)
{
	w->routers[router].exited_us = w->sim.now_us;
	log_event(w, "exit", router, 0);
}

bool world_is_gone(world_t *w, const char *router, uint64_t incarnation)
{
	const router_t *r = &w->routers[router[1] - '0'];
	int64_t gone_us = incarnation < 8 ? r->gone_us[incarnation] : 1;

	return gone_us > 0 && gone_us <= w->sim.now_us;
}

/* Messages to routers. */

static void free_message(message_t *m)
{
	g_free(m->name);
	free(m->value);
	g_free(m);
}

static void post_target(world_t *w, int router, int kind, int target,
			bool leaving, int64_t delay_us);

static void record_leaving_known(world_t *w, int target, uint64_t incarnation)
{
	target_t *t = &w->targets[target];

	if (!t->leaving || t->incarnation != incarnation ||
	    t->leaving_known_us != 0)
		return;
	t->leaving_known_us = w->sim.now_us;
	/* The first router that receives it announces it; the membership is
	 * assumed to deliver that to all within 2 s. */
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (w->routers[r].alive)
			post_target(w, r, MSG_LEAVING, target, true,
				    sim_delay(&w->sim, 0, 2 * SIM_S));
	}
}

/* Records open requests whose deadline the load of the model cannot meet;
 * ready_us 0: the load is refused. */
static void record_unmeetable(world_t *w, int router, int64_t ready_us)
{
	for (guint i = 0; i < w->submissions->len; i++) {
		submission_t *sub = g_ptr_array_index(w->submissions, i);

		if (sub->kind == KIND_COLD && sub->router == router &&
		    sub->request != NULL && sub->ended_us == 0 &&
		    sub->first_us == 0 && sub->unmeetable_us == 0 &&
		    (ready_us == 0 || ready_us > sub->deadline_us))
			sub->unmeetable_us = w->sim.now_us;
	}
}

static void deliver_message(void *ctx, void *data)
{
	world_t *w = ctx;
	message_t *m = data;
	const adapter_t *a = w->adapter;
	void *self = w->routers[m->router].self;

	if (!is_process_alive(w, m->router, m->router_incarnation)) {
		free_message(m);
		return;
	}
	if (frozen_left_us(w, m->router) > 0) {
		sim_after(&w->sim, frozen_left_us(w, m->router),
			  deliver_message, w, m);
		return;
	}
	switch (m->kind) {
	case MSG_LIST:
		if (m->flag)
			record_leaving_known(w, m->target, m->number);
		a->list(self, m->target, m->number, m->flag);
		break;
	case MSG_LEAVING:
		record_leaving_known(w, m->target, m->number);
		a->leaving_reported(self, m->target, m->number);
		break;
	case MSG_NEED_ANSWER:
		/* Once the model is ready, an estimate that arrives late does
		 * not show that a deadline is missed. */
		if (!w->loaded) {
			record_unmeetable(w, m->router, m->ready_us);
			a->need_answer(self, 1, m->ready_us, 2000);
		}
		break;
	case MSG_READY:
		a->ready(self, m->target);
		break;
	case MSG_STORE:
		a->store_done(self, m->number, m->flag, m->status, m->version,
			      m->value);
		break;
	}
	free_message(m);
}

static message_t *new_message(world_t *w, int router, int kind)
{
	message_t *m = g_new0(message_t, 1);

	m->w = w;
	m->router = router;
	m->router_incarnation = w->routers[router].incarnation;
	m->kind = kind;
	return m;
}

static void post(message_t *m, int64_t delay_us)
{
	sim_after(&m->w->sim, delay_us, deliver_message, m->w, m);
}

static void post_target(world_t *w, int router, int kind, int target,
			bool leaving, int64_t delay_us)
{
	message_t *m = new_message(w, router, kind);

	m->target = target;
	m->number = w->targets[target].incarnation;
	m->flag = leaving;
	post(m, delay_us);
}

/* Callers. */

static void submit(void *ctx, void *data);

static void on_caller_gone(void *ctx, void *data)
{
	world_t *w = ctx;
	submission_t *sub = data;
	router_t *r = &w->routers[sub->router];

	if (sub->ended_us != 0 || !r->alive || sub->request == NULL)
		return;
	sub->gone_us = w->sim.now_us;
	w->adapter->caller_gone(r->self, sub);
}

static submission_t *new_submission(world_t *w, int call, request_kind_t kind,
				    int router)
{
	submission_t *sub = g_new0(submission_t, 1);

	sub->world = w;
	sub->number = (int)w->submissions->len;
	sub->call = call;
	sub->kind = kind;
	sub->router = router;
	g_ptr_array_add(w->submissions, sub);
	return sub;
}

static void submit_retry(world_t *w, const submission_t *old, int64_t delay_us)
{
	submission_t *sub;

	if (old->tries + 1 >= TRIES_MAX)
		return;
	sub = new_submission(w, old->call, old->kind,
			     (int)bsh_rng_below(&w->sim.rng, WORLD_ROUTERS));
	sub->keyed = old->keyed;
	sub->tries = old->tries + 1;
	sim_after(&w->sim, delay_us, submit, w, sub);
}

static void submit(void *ctx, void *data)
{
	world_t *w = ctx;
	submission_t *sub = data;
	router_t *r = &w->routers[sub->router];

	for (int i = 0; !r->alive && i < WORLD_ROUTERS; i++) {
		sub->router = (sub->router + 1) % WORLD_ROUTERS;
		r = &w->routers[sub->router];
	}
	if (!r->alive)
		return;
	if (frozen_left_us(w, sub->router) > 0) {
		sim_after(&w->sim, frozen_left_us(w, sub->router), submit, w,
			  sub);
		return;
	}
	sub->submitted_us = w->sim.now_us;
	sub->deadline_us =
		w->sim.now_us + sim_delay(&w->sim, 500 * SIM_MS, 10 * SIM_S);
	sub->expected = sub->kind == KIND_DEPOSIT ? 1 : 2 + sub->number % 5;
	log_event(w, "submit", sub->number, sub->router);
	if (draw_fault(w, FAULT_CALLER_GONE, 0.3))
		sim_after(&w->sim, sim_delay(&w->sim, 0, 2 * SIM_S),
			  on_caller_gone, w, sub);
	if (sub->keyed && sub->tries == 0 && draw_fault(w, FAULT_RACE, 0.5))
		submit_retry(w, sub, sim_delay(&w->sim, 0, 5 * SIM_MS));
	w->adapter->submit(r->self, sub);
}

void world_head(submission_t *sub)
{
	if (sub->first_us == 0)
		sub->first_us = sub->world->sim.now_us;
}

void world_chunk(submission_t *sub, const chunk_t *chunk)
{
	world_head(sub);
	if (chunk->call != sub->call || chunk->index != sub->chunks)
		sub->wrong_chunk = true;
	sub->chunks++;
}

void world_end(submission_t *sub, bsh_error_t err, bsh_outcome_t outcome,
	       uint32_t retry_ms)
{
	world_t *w = sub->world;

	sub->ends++;
	sub->request = NULL;
	if (sub->ended_us != 0)
		return;
	sub->ended_us = w->sim.now_us;
	sub->ok = err == BSH_OK;
	sub->err = err;
	sub->outcome = outcome;
	sub->retry_ms = retry_ms;
	log_event(w, bsh_error_name(err), sub->number, (int)outcome);
	if (sub->keyed && err != BSH_OK)
		submit_retry(w, sub,
			     MAX(retry_ms, 300) * SIM_MS +
				     sim_delay(&w->sim, 0, SIM_S));
}

/* Connections and targets. */

static void advance_conn(void *ctx, void *data);

conn_t *world_open(world_t *w, int router, int target, submission_t *sub,
		   const char *request_id)
{
	conn_t *c = g_new0(conn_t, 1);

	c->world = w;
	c->next = w->conns;
	w->conns = c;
	w->opened++;
	c->sub = sub;
	c->router = router;
	c->router_incarnation = w->routers[router].incarnation;
	c->target = target;
	c->target_incarnation = w->targets[target].incarnation;
	g_strlcpy(c->request_id, request_id, sizeof(c->request_id));
	c->deliver_to = c;
	c->stop_at = -1;
	c->break_at = -1;
	if (draw_fault(w, FAULT_CUT, 0.3)) /* no connection is made */
		return c;
	sim_after(&w->sim,
		  draw_fault(w, FAULT_CUT, 0.4)
			  ? sim_delay(&w->sim, 500 * SIM_MS, 990 * SIM_MS)
			  : sim_delay(&w->sim, 300, 3000),
		  advance_conn, w, c);
	return c;
}

void world_close(conn_t *conn)
{
	conn->closed = true;
}

/* Another connection of the same router that waits for an answer of the same
 * sort, engine or service; newer: only one opened after c. */
static conn_t *other_conn(const conn_t *c, bool newer)
{
	for (conn_t *o = c->world->conns; o != NULL; o = o->next) {
		if (newer && o == c)
			return NULL;
		if (o != c && o->router == c->router && !o->closed && o->sent &&
		    !o->head_delivered && !o->ended &&
		    (o->target >= 6) == (c->target >= 6))
			return o;
	}
	return NULL;
}

static void choose_faults(world_t *w, conn_t *c)
{
	int stages = STAGE_CHUNK + c->sub->expected;
	conn_t *other;

	if ((w->dead_targets >> c->target & 1) != 0)
		c->break_at = STAGE_HEAD;

	if (draw_fault(w, FAULT_SILENT, 0.3) || draw_fault(w, FAULT_CUT, 0.3))
		c->stop_at =
			STAGE_HEAD +
			(int)bsh_rng_below(&w->sim.rng,
					   (uint32_t)(stages - STAGE_HEAD));
	if (draw_fault(w, FAULT_BREAK, 0.4))
		c->break_at =
			STAGE_HEAD +
			(int)bsh_rng_below(&w->sim.rng,
					   (uint32_t)(stages - STAGE_HEAD));
	if (draw_fault(w, FAULT_LATE, 0.4))
		c->late_us = sim_delay(&w->sim, SIM_S, 12 * SIM_S);
	if (draw_fault(w, FAULT_CROSSED, 0.4) &&
	    (other = other_conn(c, false)) != NULL) {
		c->deliver_to = other;
		other->deliver_to = c;
	}
}

/*
 * Connection on which an event of c reaches the router, NULL if none.  A late
 * event of a closed connection arrives on a newer connection, if one waits for
 * an answer, or else still on the closed one.
 */
static conn_t *delivery_conn(world_t *w, conn_t *c)
{
	conn_t *to = c->deliver_to;

	if (c->late_us > 0 && to->closed && other_conn(c, true) != NULL)
		to = c->deliver_to = other_conn(c, true);
	if (!is_process_alive(w, to->router, to->router_incarnation) ||
	    to->ended)
		return NULL;
	return to;
}

static void conn_failed(world_t *w, conn_t *c)
{
	conn_t *to = delivery_conn(w, c);

	c->ended = true;
	if (to == NULL || to->closed)
		return;
	to->ended = true;
	to->closed = true;
	w->adapter->failed(w->routers[to->router].self, to);
}

static void receive_request(world_t *w, conn_t *c)
{
	target_t *t = &w->targets[c->target];
	conn_t *to;

	t->arrivals++;
	if (t->leaving_known_us > 0 &&
	    w->sim.now_us > t->leaving_known_us + LEAVING_BOUND_US)
		t->late_requests++;
	if (c->target < 6 && (t->running >= TARGET_RUNNING_MAX ||
			      draw_fault(w, FAULT_REFUSE, 0.6))) {
		bsh_answer_head_t head = { .status = 429,
					   .request_id = c->request_id,
					   .length = 0 };

		log_event(w, "target refuses", c->sub->number, c->target);
		to = delivery_conn(w, c);
		c->ended = true;
		if (to != NULL && !to->closed) {
			to->ended = true;
			to->head_delivered = true;
			w->adapter->head(w->routers[to->router].self, to,
					 &head);
		}
		return;
	}
	t->running++;
	c->sub->executions++;
	g_array_index(w->executions, int, c->sub->call)++;
	log_event(w, "execute", c->sub->number, c->target);
	choose_faults(w, c);
}

static void send_head(world_t *w, conn_t *c)
{
	bool plain = c->sub->kind != KIND_STREAM;
	bsh_answer_head_t head = { .status = 200,
				   .request_id = c->request_id,
				   .length = plain ? c->sub->expected : -1,
				   .chunked = !plain,
				   .event_stream = !plain };
	conn_t *to = delivery_conn(w, c);

	if (to == NULL)
		return;
	to->head_delivered = true;
	w->adapter->head(w->routers[to->router].self, to, &head);
}

static void send_chunk(world_t *w, conn_t *c)
{
	int index = c->stage - STAGE_CHUNK;
	bool last = index == c->sub->expected - 1;
	chunk_t chunk = { .call = c->sub->call,
			  .index = index,
			  .done = last && c->sub->kind == KIND_STREAM };
	conn_t *to = delivery_conn(w, c);

	if (to == NULL)
		return;
	w->adapter->body(w->routers[to->router].self, to, &chunk);
	if (!last)
		return;
	to = delivery_conn(w, c);
	if (to != NULL) {
		to->ended = true;
		w->adapter->end(w->routers[to->router].self, to);
	}
}

static int64_t step_delay(world_t *w, const conn_t *c)
{
	const request_kind_t kind = c->sub->kind;

	switch (c->stage) {
	case STAGE_ARRIVE:
		return sim_delay(&w->sim, 300, 2000);
	case STAGE_HEAD:
		return c->late_us +
		       sim_delay(&w->sim, 20 * SIM_MS, 150 * SIM_MS);
	default:
		return kind == KIND_STREAM
			       ? sim_delay(&w->sim, 10 * SIM_MS,
					   w->chunk_interval_max_us)
			       : sim_delay(&w->sim, SIM_MS, 10 * SIM_MS);
	}
}

static void end_execution(world_t *w, const conn_t *c)
{
	target_t *t = &w->targets[c->target];

	if (c->stage > STAGE_ARRIVE &&
	    t->incarnation == c->target_incarnation && t->running > 0)
		t->running--;
}

static void advance_conn(void *ctx, void *data)
{
	world_t *w = ctx;
	conn_t *c = data;
	target_t *t = &w->targets[c->target];
	router_t *r = &w->routers[c->router];
	bool last;

	if (is_process_alive(w, c->router, c->router_incarnation) &&
	    frozen_left_us(w, c->router) > 0) {
		sim_after(&w->sim, frozen_left_us(w, c->router), advance_conn,
			  w, c);
		return;
	}
	if (!t->up || t->incarnation != c->target_incarnation) {
		conn_failed(w, c);
		return;
	}
	if (c->stage == STAGE_CONNECT) {
		if (c->closed ||
		    !is_process_alive(w, c->router, c->router_incarnation) ||
		    !w->adapter->connected(r->self, c))
			return;
		c->sent = true;
	} else if (c->stage == STAGE_ARRIVE) {
		receive_request(w, c);
		if (c->ended)
			return;
	}
	if (c->stage >= STAGE_HEAD) {
		/* The target ends a cancelled stream; only late events of a
		 * closed connection are still delivered. */
		if (c->closed && c->deliver_to == c && c->late_us == 0) {
			end_execution(w, c);
			return;
		}
		if (c->stage == c->stop_at)
			return;
		if (c->stage == c->break_at) {
			end_execution(w, c);
			conn_failed(w, c);
			return;
		}
		if (c->stage == STAGE_HEAD)
			send_head(w, c);
		else
			send_chunk(w, c);
	}
	last = c->stage == STAGE_CHUNK + c->sub->expected - 1;
	c->stage++;
	if (last)
		end_execution(w, c);
	else
		sim_after(&w->sim, step_delay(w, c), advance_conn, w, c);
}

/* Loads of the cold model, as the controller reports them. */

static void load_done(void *ctx, void *data)
{
	world_t *w = ctx;

	(void)data;
	if (w->sim.now_us < w->load_ready_us) {
		sim_after(&w->sim, w->load_ready_us - w->sim.now_us, load_done,
			  w, NULL);
		return;
	}
	w->loaded = true;
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		message_t *m;

		if (!w->routers[r].alive)
			continue;
		m = new_message(w, r, MSG_READY);
		m->target = 1;
		post(m, sim_delay(&w->sim, SIM_MS, 20 * SIM_MS));
	}
}

static void answer_need(world_t *w, int router, int64_t ready_us)
{
	message_t *m = new_message(w, router, MSG_NEED_ANSWER);

	m->ready_us = ready_us;
	post(m, sim_delay(&w->sim, SIM_MS, 20 * SIM_MS));
}

void world_need(world_t *w, int router, int model)
{
	if (model != 1 || w->loaded || world_is_active(w, FAULT_NO_CONTROL))
		return;
	if (world_is_active(w, FAULT_NO_LOAD)) {
		answer_need(w, router, 0);
		return;
	}
	if (w->load_ready_us == 0) {
		w->load_ready_us = w->sim.now_us +
				   sim_delay(&w->sim, 1500 * SIM_MS, 5 * SIM_S);
		if (world_is_active(w, FAULT_SLOW_LOAD))
			w->load_ready_us += sim_delay(&w->sim, 0, 15 * SIM_S);
		sim_after(&w->sim, w->load_ready_us - w->sim.now_us, load_done,
			  w, NULL);
	}
	answer_need(w, router, w->load_ready_us);
}

/* The weight store became slower: every router receives the new estimate. */
static void delay_load(world_t *w)
{
	if (w->load_ready_us == 0 || w->loaded)
		return;
	w->load_ready_us += sim_delay(&w->sim, SIM_S, 12 * SIM_S);
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (w->routers[r].alive)
			answer_need(w, r, w->load_ready_us);
	}
}

/* Store. */

static void free_object(void *data)
{
	object_t *o = data;

	free(o->value);
	g_free(o);
}

static int64_t store_delay(world_t *w)
{
	if (world_is_active(w, FAULT_STORE_SLOW))
		return sim_delay(&w->sim, 100 * SIM_MS, 4 * SIM_S);
	return sim_delay(&w->sim, SIM_MS, 8 * SIM_MS);
}

static void apply_store_call(void *ctx, void *data)
{
	world_t *w = ctx;
	message_t *m = data;
	object_t *o = g_hash_table_lookup(w->store, m->name);

	m->status = BSH_STORE_OK;
	if (!m->flag) {
		if (o == NULL) {
			m->status = BSH_STORE_MISSING;
		} else {
			m->version = o->version;
			m->value = strdup(o->value);
		}
	} else if ((o == NULL ? 0 : o->version) != m->version) {
		m->status = BSH_STORE_CONFLICT;
	} else {
		if (o == NULL) {
			o = g_new0(object_t, 1);
			g_hash_table_insert(w->store, g_strdup(m->name), o);
		}
		free(o->value);
		o->value = m->value;
		m->value = NULL;
		m->version = ++o->version;
	}
	if (m->lost) {
		m->status = BSH_STORE_LOST;
		m->version = 0;
	}
	post(m, store_delay(w) / 2);
}

static void send_store_call(world_t *w, message_t *m)
{
	if (world_is_active(w, FAULT_STORE_DOWN)) {
		m->status = sim_chance(&w->sim, 0.5) ? BSH_STORE_DOWN
						     : BSH_STORE_LOST;
		post(m, sim_delay(&w->sim, SIM_MS, 20 * SIM_MS));
		return;
	}
	if (m->flag && draw_fault(w, FAULT_STORE_LOST, 0.5)) {
		m->lost = true;
		/* The response is lost; the write is applied up to 300 ms
		 * later, never, or as usual. */
		if (sim_chance(&w->sim, 0.3)) {
			message_t *late = g_new0(message_t, 1);

			*late = *m;
			late->name = g_strdup(m->name);
			late->number = 0;
			m->status = BSH_STORE_LOST;
			m->value = NULL;
			post(m, store_delay(w));
			sim_after(&w->sim, sim_delay(&w->sim, 0, 300 * SIM_MS),
				  apply_store_call, w, late);
			return;
		}
		if (sim_chance(&w->sim, 0.2)) {
			m->status = BSH_STORE_LOST;
			post(m, store_delay(w));
			return;
		}
	}
	sim_after(&w->sim, store_delay(w) / 2, apply_store_call, w, m);
}

void world_store_read(world_t *w, int router, uint64_t call, const char *name)
{
	message_t *m = new_message(w, router, MSG_STORE);

	m->number = call;
	m->name = g_strdup(name);
	send_store_call(w, m);
}

void world_store_write(world_t *w, int router, uint64_t call, const char *name,
		       uint64_t version, const char *value, size_t size)
{
	message_t *m = new_message(w, router, MSG_STORE);

	m->number = call;
	m->name = g_strdup(name);
	m->flag = true;
	m->version = version;
	m->value = strndup(value, size);
	send_store_call(w, m);
}

/* Faults that start with an event. */

static void restart_target(void *ctx, void *data)
{
	world_t *w = ctx;
	int target = GPOINTER_TO_INT(data);
	target_t *t = &w->targets[target];

	t->incarnation++;
	t->up = true;
	t->leaving = false;
	t->leaving_known_us = 0;
	t->running = 0;
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (w->routers[r].alive)
			post_target(w, r, MSG_LIST, target, false,
				    sim_delay(&w->sim, SIM_MS, SIM_S));
	}
}

static void kill_target(world_t *w, int target)
{
	w->targets[target].up = false;
	log_event(w, "target killed", target, 0);
	sim_after(&w->sim, sim_delay(&w->sim, SIM_S, 4 * SIM_S), restart_target,
		  w, GINT_TO_POINTER(target));
}

static void end_leaving(void *ctx, void *data)
{
	world_t *w = ctx;

	kill_target(w, GPOINTER_TO_INT(data));
}

/*
 * One router receives it with the target's status, all of them later with the
 * platform's list.  With FAULT_LIST_LAG the list takes longer and shows the old
 * state once more.
 */
static void start_leaving(world_t *w, int target)
{
	target_t *t = &w->targets[target];
	bool lag = (w->faults & FAULT_LIST_LAG) != 0;
	int first = (int)bsh_rng_below(&w->sim.rng, WORLD_ROUTERS);

	if (!t->up || t->leaving)
		return;
	t->leaving = true;
	t->leaving_known_us = 0;
	log_event(w, "target leaves", target, 0);
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (!w->routers[r].alive)
			continue;
		if (r == first)
			post_target(w, r, MSG_LEAVING, target, true,
				    sim_delay(&w->sim, 10 * SIM_MS, 2 * SIM_S));
		post_target(w, r, MSG_LIST, target, true,
			    sim_delay(&w->sim, lag ? 6 * SIM_S : 4 * SIM_S,
				      12 * SIM_S));
		if (lag)
			post_target(w, r, MSG_LIST, target, false,
				    sim_delay(&w->sim, 0, 14 * SIM_S));
	}
	sim_after(&w->sim, sim_delay(&w->sim, 8 * SIM_S, 14 * SIM_S),
		  end_leaving, w, GINT_TO_POINTER(target));
}

static void replace_router(void *ctx, void *data)
{
	start_router(ctx, GPOINTER_TO_INT(data));
}

static void kill_router(world_t *w, int router)
{
	router_t *r = &w->routers[router];

	if (!r->alive || r->incarnation >= 7)
		return;
	log_event(w, "router killed", router, 0);
	stop_router(w, router);
	r->gone_us[r->incarnation] =
		w->sim.now_us + sim_delay(&w->sim, 500 * SIM_MS, 5 * SIM_S);
	/* Callers whose connection is lost retry if they have a key. */
	for (guint i = 0, n = w->submissions->len; i < n; i++) {
		submission_t *sub = g_ptr_array_index(w->submissions, i);

		if (sub->cut && sub->ended_us == w->sim.now_us && sub->keyed)
			submit_retry(w, sub, sim_delay(&w->sim, 0, 3 * SIM_S));
	}
	sim_after(&w->sim, sim_delay(&w->sim, SIM_S, 4 * SIM_S), replace_router,
		  w, GINT_TO_POINTER(router));
}

/* The platform's list may show a frozen instance as gone before it resumes. */
static void freeze(world_t *w, int router)
{
	router_t *r = &w->routers[router];

	if (!r->alive || r->incarnation >= 7)
		return;
	log_event(w, "router frozen", router, 0);
	r->frozen_until_us =
		w->sim.now_us + sim_delay(&w->sim, 100 * SIM_MS, 6 * SIM_S);
	if (sim_chance(&w->sim, 0.5))
		r->gone_us[r->incarnation] =
			w->sim.now_us +
			sim_delay(&w->sim, 200 * SIM_MS, 4 * SIM_S);
}

static void stop_exited(world_t *w)
{
	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (w->routers[r].alive && w->routers[r].exited_us > 0) {
			log_event(w, "process ended", r, 0);
			stop_router(w, r);
		}
	}
}

static void start_fault_event(world_t *w, uint32_t fault)
{
	uint32_t n = bsh_rng_below(&w->sim.rng, 1000);
	int router = (int)(n % WORLD_ROUTERS);

	switch (fault) {
	case FAULT_KILL:
		kill_target(w, (int)(n % WORLD_TARGETS));
		break;
	case FAULT_LEAVING:
		start_leaving(w, (int)(n % 4));
		start_leaving(w, 6 + (int)(n % 3));
		break;
	case FAULT_SLOW_LOAD:
		delay_load(w);
		break;
	case FAULT_SHUTDOWN:
		if (!w->routers[router].alive ||
		    w->routers[router].terminated_us > 0)
			return;
		w->routers[router].terminated_us = w->sim.now_us;
		log_event(w, "SIGTERM", router, 0);
		w->adapter->terminate(w->routers[router].self);
		break;
	case FAULT_ROUTER_KILL:
		kill_router(w, router);
		break;
	case FAULT_FREEZE:
		freeze(w, router);
		break;
	default:
		break;
	}
}

static void begin_fault(void *ctx, void *data)
{
	world_t *w = ctx;

	w->active |= GPOINTER_TO_UINT(data);
	log_event(w, "fault begins", GPOINTER_TO_INT(data), 0);
	start_fault_event(w, GPOINTER_TO_UINT(data));
}

static void end_fault(void *ctx, void *data)
{
	world_t *w = ctx;

	w->active &= ~GPOINTER_TO_UINT(data);
}

/* One schedule. */

void world_init(world_t *w, const adapter_t *adapter, uint32_t seed,
		uint32_t faults, int rounds)
{
	memset(w, 0, sizeof(*w));
	sim_init(&w->sim, seed);
	w->adapter = adapter;
	w->faults = faults;
	w->rounds = rounds;
	w->requests = 40;
	w->span_us = 12 * SIM_S;
	w->fault_duration_max_us = 4 * SIM_S;
	w->chunk_interval_max_us = 60 * SIM_MS;
	w->submissions = g_ptr_array_new_with_free_func(g_free);
	w->executions = g_array_new(FALSE, TRUE, sizeof(int));
	w->store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_object);
	w->sim.now_us = SIM_S;
}

static void plan_faults(world_t *w)
{
	for (int bit = 0; bit < 21; bit++) {
		uint32_t fault = w->faults & (1U << bit);

		for (int i = 0; fault != 0 && i < w->rounds; i++) {
			int64_t at_us =
				i * w->span_us / 2 +
				sim_delay(&w->sim, SIM_S / 2, w->span_us / 4);

			sim_after(&w->sim, at_us, begin_fault, w,
				  GUINT_TO_POINTER(fault));
			sim_after(&w->sim,
				  at_us + sim_delay(&w->sim, SIM_S,
						    w->fault_duration_max_us),
				  end_fault, w, GUINT_TO_POINTER(fault));
		}
	}
}

static request_kind_t choose_kind(world_t *w)
{
	int total = 0;
	int n;

	for (int i = 0; i < 4; i++)
		total += w->weights[i];
	n = (int)bsh_rng_below(&w->sim.rng, (uint32_t)total);
	for (int i = 0; i < 3; i++) {
		if (n < w->weights[i])
			return (request_kind_t)i;
		n -= w->weights[i];
	}
	return KIND_DEPOSIT;
}

static void plan_requests(world_t *w)
{
	int64_t burst_us = sim_delay(&w->sim, 0, w->span_us);

	g_array_set_size(w->executions, (guint)w->requests);
	for (int i = 0; i < w->requests; i++) {
		submission_t *sub = new_submission(
			w, i, choose_kind(w),
			(int)bsh_rng_below(&w->sim.rng, WORLD_ROUTERS));
		int64_t at_us = sim_delay(&w->sim, 0, w->span_us);

		sub->keyed =
			sub->kind == KIND_DEPOSIT && sim_chance(&w->sim, 0.8);
		if ((w->faults & FAULT_OVERLOAD) != 0 && i % 2 == 0)
			at_us = burst_us + sim_delay(&w->sim, 0, SIM_MS);
		sim_after(&w->sim, at_us, submit, w, sub);
	}
}

void world_run(world_t *w)
{
	for (int t = 0; t < WORLD_TARGETS; t++) {
		w->targets[t].incarnation = 1;
		w->targets[t].up = true;
	}
	for (int r = 0; r < WORLD_ROUTERS; r++)
		start_router(w, r);
	plan_faults(w);
	plan_requests(w);
	while (sim_step(&w->sim, WORLD_END_US))
		stop_exited(w);
	w->sim.now_us = WORLD_END_US;
}

void world_finish(world_t *w)
{
	conn_t *next;

	for (int r = 0; r < WORLD_ROUTERS; r++) {
		if (w->routers[r].alive)
			w->adapter->destroy(w->routers[r].self);
	}
	for (conn_t *c = w->conns; c != NULL; c = next) {
		next = c->next;
		g_free(c);
	}
	g_ptr_array_free(w->submissions, TRUE);
	g_array_free(w->executions, TRUE);
	g_hash_table_destroy(w->store);
	sim_finish(&w->sim);
}
