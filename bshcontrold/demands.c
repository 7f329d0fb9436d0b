/*
 * Demands: requests of routers to load a model.  A demand is submitted to the
 * local loader if this process owns the model's cell, else forwarded to the
 * owner in a NEED frame.  While the cell has no live owner, the demand waits
 * for the takeover instead of being refused, since the next owner may be able
 * to load the model.
 */
#include "cells.h"

#include <string.h>

#include "base/counter.h"
#include "coordination/member.h"

/* Longest deadline accepted in a NEED frame. */
#define DEADLINE_MAX_MS 3600000
#define RETRY_AFTER_MS	1000
#define CHECK_PERIOD_US INT64_C(50000)
/* When the owner has not answered for this long, the requester is sent the
 * estimate of a takeover; the demand remains with the owner. */
#define OWNER_TIMEOUT_US INT64_C(150000)

typedef enum {
	DEMAND_WAITING,	  /* no live owner is known */
	DEMAND_FORWARDED, /* sent to the owner */
	DEMAND_SUBMITTED  /* with the loader of this process */
} demand_state_t;

typedef struct {
	uint64_t id;	    /* assigned by this process */
	uint64_t remote_id; /* assigned by the requester, for its answer */
	char *requester;    /* instance; NULL: the router of this instance */
	char *owner;	    /* FORWARDED: instance that received it */
	char *model;
	uint32_t priority;
	uint32_t waiting; /* requests that wait for the model */
	int64_t deadline_us;
	int64_t state_since_us;
	demand_state_t state;
	bool has_estimate; /* an estimate has been sent to the requester */
	bool has_waited;   /* counted as having waited for an owner */
} demand_t;

struct demands {
	GHashTable *table; /* &demand->id to demand_t */
	bsh_loop_timer_t timer;
	uint64_t next_id;
};

static bsh_counter_t open_gauge =
	BSH_GAUGE("bsh_control_demands", "Demands without a final answer.");
static bsh_counter_t waited_counter =
	BSH_COUNTER("bsh_control_demands_waited_total",
		    "Demands that waited for an owner.");

static void free_demand(void *data)
{
	demand_t *demand = data;

	g_free(demand->requester);
	g_free(demand->owner);
	g_free(demand->model);
	g_free(demand);
}

static void update_gauge(const control_t *control)
{
	bsh_counter_set(&open_gauge,
			g_hash_table_size(control->demands->table));
}

static void send_answer(control_t *control, demand_t *demand,
			const bsh_msg_need_answer_t *answer)
{
	bsh_message_t message = { .type = BSH_MSG_NEED_ANSWER,
				  .need_answer = *answer };

	message.need_answer.id = demand->remote_id;
	message.need_answer.model = demand->model;
	demand->has_estimate = true;
	/* The routes are sent first, so that the router can use the model as
	 * soon as it receives the answer. */
	if (answer->verdict == BSH_NEED_READY)
		cells_send_model(control, demand->model, demand->requester);
	if (demand->requester != NULL)
		peers_send(control, demand->requester, &message);
	else
		routers_send(control, &message);
}

/* Any answer but an estimate is final and frees the demand. */
static void answer(control_t *control, demand_t *demand,
		   const bsh_msg_need_answer_t *out)
{
	send_answer(control, demand, out);
	if (out->verdict == BSH_NEED_LOADING)
		return;
	g_hash_table_remove(control->demands->table, &demand->id);
	update_gauge(control);
}

static void refuse(control_t *control, demand_t *demand, bsh_error_t error,
		   uint64_t retry_after_ms)
{
	bsh_msg_need_answer_t out = { .verdict = BSH_NEED_REFUSED,
				      .error = error,
				      .retry_after_ms = retry_after_ms };

	answer(control, demand, &out);
}

/* Send an estimate for the case that the cell is taken over: its lease counts
 * as expired after 5/4 of lease_ms, then the model is loaded. */
static void estimate_takeover(control_t *control, demand_t *demand)
{
	const bsh_document_t *doc = config_document(control);
	const bsh_doc_model_t *model =
		doc != NULL ? bsh_document_model(doc, demand->model) : NULL;
	bsh_msg_need_answer_t out = {
		.verdict = BSH_NEED_LOADING,
		.estimate_ms = (uint64_t)control->settings.lease_ms * 5 / 4 +
			       (model != NULL ? model->load_ms : 0)
	};

	if (!demand->has_estimate)
		answer(control, demand, &out);
}

static void set_state(demand_t *demand, demand_state_t state)
{
	demand->state = state;
	demand->state_since_us = control_now_us();
}

/* Hold back a demand of the local router; refuse one of another controller. */
static void wait_for_owner(control_t *control, demand_t *demand)
{
	if (demand->requester != NULL) {
		/* The requester keeps its own demand and may have found the
		 * owner meanwhile. */
		refuse(control, demand, BSH_ERR_REFUSED, RETRY_AFTER_MS);
		return;
	}
	set_state(demand, DEMAND_WAITING);
	if (!demand->has_waited)
		bsh_counter_add(&waited_counter, 1);
	demand->has_waited = true;
	estimate_takeover(control, demand);
}

static void submit_to_loader(control_t *control, demand_t *demand)
{
	bsh_demand_t out = { .id = demand->id,
			     .model = demand->model,
			     .zone = control->settings.zone,
			     .deadline_us = demand->deadline_us,
			     .priority = (uint8_t)demand->priority,
			     .count = MAX(demand->waiting, 1) };

	set_state(demand, DEMAND_SUBMITTED);
	cells_add_demand(control, &out);
}

static void forward(control_t *control, demand_t *demand, const char *owner)
{
	int64_t left_us = demand->deadline_us - control_now_us();
	bsh_message_t message = { .type = BSH_MSG_NEED };

	message.need.id = demand->id;
	message.need.model = demand->model;
	message.need.deadline_ms = (uint64_t)MAX(left_us, 0) / 1000;
	message.need.priority = demand->priority;
	message.need.waiting = demand->waiting;
	g_free(demand->owner);
	demand->owner = g_strdup(owner);
	set_state(demand, DEMAND_FORWARDED);
	peers_send(control, owner, &message);
}

static bool is_live(const control_t *control, const char *instance)
{
	const bsh_member_t *member =
		bsh_members_find(peers_members(control), instance);

	return member != NULL && (member->state == BSH_MEMBER_ALIVE ||
				  member->state == BSH_MEMBER_SUSPECT);
}

/* Submit, forward, hold back or refuse a demand; it may be freed. */
static void dispatch(control_t *control, demand_t *demand)
{
	const bsh_document_t *doc = config_document(control);
	bsh_sender_t owner = { .instance = "" };

	if (shutdown_is_draining(control) && demand->requester == NULL)
		refuse(control, demand, BSH_ERR_DRAINING, 0);
	else if (doc == NULL || bsh_document_model(doc, demand->model) == NULL)
		refuse(control, demand, BSH_ERR_NOT_FOUND, RETRY_AFTER_MS);
	else if (cells_owner(control, demand->model, &owner) &&
		 cells_is_self(control, &owner))
		submit_to_loader(control, demand);
	else if (demand->requester == NULL && is_live(control, owner.instance))
		forward(control, demand, owner.instance);
	else
		wait_for_owner(control, demand);
}

/* Pass an answer of the loader to the requester, except BSH_ERR_REFUSED: the
 * loader does not own the cell, so the demand waits for the owner. */
void demands_loader_answer(control_t *control,
			   const bsh_demand_answer_t *loader_answer)
{
	demand_t *demand = g_hash_table_lookup(control->demands->table,
					       &loader_answer->id);
	bsh_msg_need_answer_t out = { .verdict = BSH_NEED_READY,
				      .error = loader_answer->error,
				      .retry_after_ms =
					      loader_answer->retry_after_ms };

	if (demand == NULL)
		return;
	if (loader_answer->result == BSH_DEMAND_REFUSED &&
	    loader_answer->error == BSH_ERR_REFUSED) {
		wait_for_owner(control, demand);
		return;
	}
	bsh_timeline_add(&control->timeline, "demand-answer", "{s:s, s:i, s:s}",
			 "model", loader_answer->model, "result",
			 (int)loader_answer->result, "reason",
			 loader_answer->reason != NULL ? loader_answer->reason
						       : "");
	if (loader_answer->result == BSH_DEMAND_LOADING) {
		out.verdict = BSH_NEED_LOADING;
		out.estimate_ms = (uint64_t)MAX(
			0, (loader_answer->ready_us - control_now_us()) / 1000);
	} else if (loader_answer->result == BSH_DEMAND_REFUSED) {
		out.verdict = BSH_NEED_REFUSED;
	}
	answer(control, demand, &out);
}

/* True if the demand has no owner, or its owner has changed or gone. */
static bool needs_dispatch(const control_t *control, const demand_t *demand)
{
	bsh_sender_t owner;

	if (demand->state != DEMAND_FORWARDED)
		return demand->state == DEMAND_WAITING;
	return !is_live(control, demand->owner) ||
	       (cells_owner(control, demand->model, &owner) &&
		strcmp(owner.instance, demand->owner) != 0);
}

static void check(control_t *control, demand_t *demand)
{
	int64_t now_us = control_now_us();

	if (now_us >= demand->deadline_us) {
		if (demand->state == DEMAND_SUBMITTED)
			cells_cancel_demand(control, demand->id);
		refuse(control, demand, BSH_ERR_DEADLINE, RETRY_AFTER_MS);
	} else if (needs_dispatch(control, demand)) {
		dispatch(control, demand);
	} else if (demand->state == DEMAND_FORWARDED &&
		   now_us - demand->state_since_us >= OWNER_TIMEOUT_US) {
		estimate_takeover(control, demand);
	}
}

static void on_timer(void *ctx)
{
	control_t *control = ctx;
	struct demands *demands = control->demands;
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer value;

	/* Collects ids first, because check() may free other demands. */
	g_hash_table_iter_init(&it, demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_array_append_val(ids, ((demand_t *)value)->id);
	for (guint i = 0; i < ids->len; i++) {
		value = g_hash_table_lookup(demands->table,
					    &g_array_index(ids, uint64_t, i));
		if (value != NULL)
			check(control, value);
	}
	g_array_free(ids, TRUE);
	if (g_hash_table_size(demands->table) > 0)
		bsh_loop_timer_after(&demands->timer, CHECK_PERIOD_US);
}

/* A router repeats NEED while its requests wait.  Each NEED counts all of them,
 * so earlier demands of the same requester and model are dropped. */
static void drop_superseded(control_t *control, const char *requester,
			    const char *model, uint64_t newest)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const demand_t *demand = value;

		if (demand->id >= newest || strcmp(demand->model, model) != 0 ||
		    g_strcmp0(demand->requester, requester) != 0)
			continue;
		if (demand->state == DEMAND_SUBMITTED)
			cells_cancel_demand(control, demand->id);
		g_hash_table_iter_remove(&it);
	}
	update_gauge(control);
}

/* requester is an instance; NULL: the router of this instance. */
static void add_demand(control_t *control, const char *requester,
		       const bsh_msg_need_t *need)
{
	struct demands *demands = control->demands;
	demand_t *demand = g_new0(demand_t, 1);
	uint64_t newest = ++demands->next_id;

	demand->id = newest;
	demand->remote_id = need->id;
	demand->requester = g_strdup(requester);
	demand->model = g_strdup(need->model);
	demand->priority = need->priority;
	demand->waiting = need->waiting;
	demand->deadline_us =
		control_now_us() +
		(int64_t)MIN(need->deadline_ms, DEADLINE_MAX_MS) * 1000;
	g_hash_table_insert(demands->table, &demand->id, demand);
	dispatch(control, demand);
	drop_superseded(control, requester, need->model, newest);
	if (!bsh_loop_timer_is_running(&demands->timer))
		bsh_loop_timer_after(&demands->timer, CHECK_PERIOD_US);
}

void demands_need(control_t *control, const bsh_message_t *message)
{
	bsh_timeline_add(&control->timeline, "need", "{s:s, s:I, s:I}", "model",
			 message->need.model, "deadline_ms",
			 (json_int_t)message->need.deadline_ms, "waiting",
			 (json_int_t)message->need.waiting);
	add_demand(control, NULL, &message->need);
}

static void receive_answer(control_t *control, const bsh_message_t *message)
{
	const bsh_msg_need_answer_t *in = &message->need_answer;
	demand_t *demand =
		g_hash_table_lookup(control->demands->table, &in->id);

	if (demand == NULL || demand->state != DEMAND_FORWARDED ||
	    strcmp(demand->owner, message->sender) != 0 ||
	    strcmp(demand->model, in->model) != 0)
		return;
	if (in->verdict == BSH_NEED_REFUSED && in->error == BSH_ERR_REFUSED)
		wait_for_owner(control, demand);
	else
		answer(control, demand, in);
}

void demands_receive(control_t *control, const bsh_message_t *message)
{
	if (message->type == BSH_MSG_NEED) {
		cells_add_subscriber(control, message->sender);
		add_demand(control, message->sender, &message->need);
	} else {
		receive_answer(control, message);
	}
}

void demands_router_down(control_t *control)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const demand_t *demand = value;

		if (demand->requester != NULL)
			continue;
		if (demand->state == DEMAND_SUBMITTED)
			cells_cancel_demand(control, demand->id);
		g_hash_table_iter_remove(&it);
	}
	update_gauge(control);
}

/* Frames in flight are lost with the connection, so the demands forwarded on it
 * are dispatched again by the timer. */
void demands_peer_down(control_t *control, const char *instance)
{
	GHashTableIter it;
	gpointer value;

	if (control->demands == NULL)
		return;
	g_hash_table_iter_init(&it, control->demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		demand_t *demand = value;

		if (demand->state == DEMAND_FORWARDED &&
		    strcmp(demand->owner, instance) == 0)
			set_state(demand, DEMAND_WAITING);
	}
}

void demands_start(control_t *control)
{
	bsh_counter_register(&open_gauge);
	bsh_counter_register(&waited_counter);
	control->demands = g_new0(struct demands, 1);
	control->demands->table = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_demand);
	bsh_loop_timer_init(&control->demands->timer, &control->loop, on_timer,
			    control);
}

void demands_stop(control_t *control)
{
	bsh_loop_timer_stop(&control->demands->timer);
	g_hash_table_destroy(control->demands->table);
	g_free(control->demands);
}
