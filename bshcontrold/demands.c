/*
 * Questions of routers for cold models.  A demand goes to the loader here or,
 * by a NEED frame, to the cell's owner.  While a cell has no live owner, the
 * demand waits for the takeover: a refusal would not be certain yet.
 */
#include "cells.h"

#include <string.h>

#include "base/counter.h"
#include "coordination/member.h"

#define DEADLINE_MAX_MS 3600000
#define RETRY_AFTER_MS	1000
#define CHECK_US	INT64_C(50000)
/* An owner that has not answered by then gets no blame yet, but the router is
 * told when a takeover would be over. */
#define SILENCE_US INT64_C(150000)

typedef enum {
	DEMAND_WAITING, /* for an owner */
	DEMAND_FORWARDED,
	DEMAND_LOADER
} demand_state_t;

typedef struct {
	uint64_t id;	    /* here */
	uint64_t remote_id; /* at the asking side */
	char *asker;	    /* instance; NULL: the router of this instance */
	char *owner;	    /* FORWARDED: to this instance */
	char *model;
	uint32_t priority;
	uint32_t waiting;
	int64_t deadline_us;
	int64_t asked_us; /* since when it has this state */
	demand_state_t state;
	bool is_answered; /* the asker has got an estimate */
	bool has_waited;
} demand_t;

struct demands {
	GHashTable *table; /* &demand->id to demand_t */
	bsh_loop_timer_t timer;
	uint64_t next_id;
};

static bsh_counter_t open_gauge =
	BSH_GAUGE("bsh_control_demands", "Demands without a final answer.");
static bsh_counter_t waited = BSH_COUNTER("bsh_control_demands_waited_total",
					  "Demands that waited for an owner.");

static void free_demand(void *data)
{
	demand_t *demand = data;

	g_free(demand->asker);
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
	demand->is_answered = true;
	/* The routes come first, so that a ready model can be used. */
	if (answer->verdict == BSH_NEED_READY)
		cells_send_model(control, demand->model, demand->asker);
	if (demand->asker != NULL)
		peers_send(control, demand->asker, &message);
	else
		routers_send(control, &message);
}

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

/* Lease expiry is judged after the lease and a quarter; then the load. */
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

	if (!demand->is_answered)
		answer(control, demand, &out);
}

static void set_state(demand_t *demand, demand_state_t state)
{
	demand->state = state;
	demand->asked_us = control_now_us();
}

static void wait_for_owner(control_t *control, demand_t *demand)
{
	if (demand->asker != NULL) {
		/* The asker waits itself and may know the owner by now. */
		refuse(control, demand, BSH_ERR_REFUSED, RETRY_AFTER_MS);
		return;
	}
	set_state(demand, DEMAND_WAITING);
	if (!demand->has_waited)
		bsh_counter_add(&waited, 1);
	demand->has_waited = true;
	estimate_takeover(control, demand);
}

static void ask_loader(control_t *control, demand_t *demand)
{
	bsh_demand_t out = { .id = demand->id,
			     .model = demand->model,
			     .zone = control->settings.zone,
			     .deadline_us = demand->deadline_us,
			     .priority = (uint8_t)demand->priority,
			     .count = MAX(demand->waiting, 1) };

	set_state(demand, DEMAND_LOADER);
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

/* The demand may be freed. */
static void dispatch(control_t *control, demand_t *demand)
{
	const bsh_document_t *doc = config_document(control);
	bsh_sender_t owner = { .instance = "" };

	if (shutdown_is_draining(control) && demand->asker == NULL)
		refuse(control, demand, BSH_ERR_DRAINING, 0);
	else if (doc == NULL || bsh_document_model(doc, demand->model) == NULL)
		refuse(control, demand, BSH_ERR_NOT_FOUND, RETRY_AFTER_MS);
	else if (cells_owner(control, demand->model, &owner) &&
		 cells_is_self(control, &owner))
		ask_loader(control, demand);
	else if (demand->asker == NULL && is_live(control, owner.instance))
		forward(control, demand, owner.instance);
	else
		wait_for_owner(control, demand);
}

/* What the loader cannot serve because it does not own the cell waits. */
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

/* A demand whose owner has changed or gone is dispatched again. */
static bool is_stranded(const control_t *control, const demand_t *demand)
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
		if (demand->state == DEMAND_LOADER)
			cells_cancel_demand(control, demand->id);
		refuse(control, demand, BSH_ERR_DEADLINE, RETRY_AFTER_MS);
	} else if (is_stranded(control, demand)) {
		dispatch(control, demand);
	} else if (demand->state == DEMAND_FORWARDED &&
		   now_us - demand->asked_us >= SILENCE_US) {
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

	/* By id, because a step can end other demands as well. */
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
		bsh_loop_timer_after(&demands->timer, CHECK_US);
}

/* A router asks again while its requests wait; the newer NEED counts all of
 * them, so the earlier one is dropped. */
static void supersede(control_t *control, const char *asker, const char *model,
		      uint64_t newest)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const demand_t *demand = value;

		if (demand->id >= newest || strcmp(demand->model, model) != 0 ||
		    g_strcmp0(demand->asker, asker) != 0)
			continue;
		if (demand->state == DEMAND_LOADER)
			cells_cancel_demand(control, demand->id);
		g_hash_table_iter_remove(&it);
	}
	update_gauge(control);
}

/* asker NULL: the router of this instance. */
static void take_need(control_t *control, const char *asker,
		      const bsh_msg_need_t *need)
{
	struct demands *demands = control->demands;
	demand_t *demand = g_new0(demand_t, 1);
	uint64_t newest = ++demands->next_id;

	demand->id = newest;
	demand->remote_id = need->id;
	demand->asker = g_strdup(asker);
	demand->model = g_strdup(need->model);
	demand->priority = need->priority;
	demand->waiting = need->waiting;
	demand->deadline_us =
		control_now_us() +
		(int64_t)MIN(need->deadline_ms, DEADLINE_MAX_MS) * 1000;
	g_hash_table_insert(demands->table, &demand->id, demand);
	dispatch(control, demand);
	supersede(control, asker, need->model, newest);
	if (!bsh_loop_timer_is_running(&demands->timer))
		bsh_loop_timer_after(&demands->timer, CHECK_US);
}

void demands_need(control_t *control, const bsh_message_t *message)
{
	bsh_timeline_add(&control->timeline, "need", "{s:s, s:I, s:I}", "model",
			 message->need.model, "deadline_ms",
			 (json_int_t)message->need.deadline_ms, "waiting",
			 (json_int_t)message->need.waiting);
	take_need(control, NULL, &message->need);
}

static void take_answer(control_t *control, const bsh_message_t *message)
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
		take_need(control, message->sender, &message->need);
	} else {
		take_answer(control, message);
	}
}

void demands_router_down(control_t *control)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->demands->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const demand_t *demand = value;

		if (demand->asker != NULL)
			continue;
		if (demand->state == DEMAND_LOADER)
			cells_cancel_demand(control, demand->id);
		g_hash_table_iter_remove(&it);
	}
	update_gauge(control);
}

/* Frames in flight are lost with the connection: ask again. */
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
	bsh_counter_register(&waited);
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
