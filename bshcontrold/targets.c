/*
 * Targets: reads the platform's list of instances, polls the status of engines
 * and sends them orders.  Reports changes to the loader, the membership and the
 * router.
 */
#include "cells.h"

#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "base/log.h"
#include "coordination/member.h"
#include "protocol/engine_client.h"

/*
 * Period of reading the platform's list.  Witnesses read it most often and
 * disseminate which targets are leaving.  Owners of cells need it for new and
 * gone targets, all others only for the addresses of services.  The periods
 * differ because the load on the store must not grow with the number of
 * instances.
 */
#define LIST_WITNESS_PERIOD_US INT64_C(1000000)
#define LIST_OWNER_PERIOD_US   INT64_C(5000000)
#define LIST_OTHER_PERIOD_US   INT64_C(30000000)
#define STATUS_PERIOD_US       INT64_C(1000000)
/* While a model loads or unloads: the end is only found by polling, and
 * requests that wait for the model are delayed by up to one period. */
#define STATUS_BUSY_PERIOD_US INT64_C(100000)
/* Entry instances without known addresses that are queried per list. */
#define PLACE_QUERIES_MAX 3
/* Prefix of the scope of ROUTES messages that report a leaving target. */
#define LEAVING_SCOPE "leaving/"

/* An engine or a service in the platform's list. */
typedef struct {
	control_t *control;
	char *name;
	uint64_t incarnation;
	bool is_engine;
	char *pool;
	char *zone;
	char *address;	       /* for requests */
	char *control_address; /* for orders and status; "": the same */
	uint32_t memory_mib;
	bool leaving;
	bool is_polling;	     /* a status poll is pending */
	bsh_loop_timer_t busy_timer; /* runs while a model loads or unloads */
	uint64_t last_list; /* number of the newest list that contains it */
} target_t;

/* An entry instance in the platform's list. */
typedef struct {
	uint64_t incarnation;
	char *control_address; /* operator interface; "": not in the list */
	bool is_gone;
} entry_t;

struct targets {
	GHashTable *table;   /* name to target_t */
	GHashTable *entries; /* name to entry_t */
	bsh_loop_timer_t list_timer;
	bsh_loop_timer_t status_timer;
	uint64_t list_number; /* lists processed; number of the newest one */
	bool is_listing;      /* a list request is pending */
};

static void free_target(void *data)
{
	target_t *t = data;

	bsh_loop_timer_stop(&t->busy_timer);
	g_free(t->name);
	g_free(t->pool);
	g_free(t->zone);
	g_free(t->address);
	g_free(t->control_address);
	g_free(t);
}

static void free_entry(void *data)
{
	entry_t *entry = data;

	g_free(entry->control_address);
	g_free(entry);
}

static const char *order_address(const target_t *t)
{
	return t->control_address[0] != '\0' ? t->control_address : t->address;
}

static void set_text(char **field, const char *value)
{
	if (g_strcmp0(*field, value) == 0)
		return;
	g_free(*field);
	*field = g_strdup(value);
}

static uint32_t pool_limit(const control_t *control, const char *pool)
{
	const bsh_document_t *doc = config_document(control);
	const bsh_doc_pool_t *p =
		doc != NULL ? bsh_document_pool(doc, pool) : NULL;

	return p != NULL ? p->max_running : 0;
}

static void fill_route_entry(const control_t *control, const target_t *t,
			     bsh_route_entry_t *entry)
{
	entry->target = t->name;
	entry->target_incarnation = t->incarnation;
	entry->address = t->address;
	entry->zone = t->zone;
	entry->leaving = t->leaving;
	entry->max_running = pool_limit(control, t->pool);
}

bool targets_fill_route_entry(const control_t *control, const char *name,
			      uint64_t incarnation, bsh_route_entry_t *entry)
{
	const target_t *t = g_hash_table_lookup(control->targets->table, name);

	if (t == NULL || t->incarnation != incarnation)
		return false;
	fill_route_entry(control, t, entry);
	return true;
}

static void send_leaving(control_t *control, const target_t *t)
{
	g_autofree char *scope = g_strconcat(LEAVING_SCOPE, t->name, NULL);
	bsh_route_entry_t entry = { .name = "" };
	bsh_message_t message = { .type = BSH_MSG_ROUTES };

	fill_route_entry(control, t, &entry);
	message.routes =
		(bsh_msg_routes_t){ scope, t->incarnation, 1, &entry, 1 };
	routers_send(control, &message);
}

/* Record that a target is leaving, whichever source reports it, and report it
 * to the router.  False if it was recorded before. */
static bool mark_leaving(control_t *control, target_t *t)
{
	if (t->leaving)
		return false;
	t->leaving = true;
	bsh_log(BSH_LOG_INFO, "target-leaving name=%s", t->name);
	bsh_timeline_add(&control->timeline, "target-leaving", "{s:s, s:I}",
			 "target", t->name, "incarnation",
			 (json_int_t)t->incarnation);
	send_leaving(control, t);
	return true;
}

/* As mark_leaving(), and report it to the other controllers and the loader. */
static void disseminate_leaving(control_t *control, target_t *t)
{
	if (!mark_leaving(control, t))
		return;
	bsh_members_target_leaving(peers_members(control), control_now_us(),
				   t->name, t->incarnation);
	cells_target_leaving(control, t->name, t->incarnation);
}

void targets_peer_leaving(control_t *control, const char *name,
			  uint64_t incarnation)
{
	target_t *t = g_hash_table_lookup(control->targets->table, name);

	if (t != NULL && t->incarnation == incarnation)
		mark_leaving(control, t);
	cells_target_leaving(control, name, incarnation);
}

static void send_service(control_t *control, const bsh_doc_service_t *service,
			 const char *pool)
{
	g_autofree char *scope = g_strconcat("service/", service->name, NULL);
	GArray *entries = g_array_new(FALSE, TRUE, sizeof(bsh_route_entry_t));
	bsh_message_t message = { .type = BSH_MSG_ROUTES };
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->targets->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const target_t *t = value;
		bsh_route_entry_t entry = { .name = service->name,
					    .is_service = true };

		if (t->is_engine || strcmp(t->pool, pool) != 0)
			continue;
		fill_route_entry(control, t, &entry);
		g_array_append_val(entries, entry);
	}
	message.routes = (bsh_msg_routes_t){
		scope, control->incarnation, (uint64_t)control_now_us(),
		(const bsh_route_entry_t *)(void *)entries->data, entries->len
	};
	routers_send(control, &message);
	g_array_free(entries, TRUE);
}

static void send_services(control_t *control)
{
	const bsh_document_t *doc = config_document(control);

	for (guint i = 0; doc != NULL && i < doc->services->len; i++) {
		const bsh_doc_service_t *service =
			&g_array_index(doc->services, bsh_doc_service_t, i);

		send_service(control, service,
			     bsh_document_pool_at(doc, service->pool)->name);
	}
}

void targets_sync_router(control_t *control)
{
	GHashTableIter it;
	gpointer value;

	send_services(control);
	g_hash_table_iter_init(&it, control->targets->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((target_t *)value)->leaving)
			send_leaving(control, value);
	}
}

void targets_document_changed(control_t *control)
{
	if (control->targets != NULL)
		send_services(control);
}

static void on_busy_timer(void *ctx);

/* Entry instances.  The list does not contain the gossip and link addresses
 * that membership needs, so the instance itself is queried for them. */

static void on_place(void *ctx, const bsh_call_answer_t *answer)
{
	control_t *control = ctx;
	bsh_member_place_t place = { 0 };
	json_int_t incarnation;
	const char *name;
	const char *zone;
	const char *gossip;
	const char *link;
	const char *entry;

	if (answer->result != BSH_CALL_DONE ||
	    json_unpack(answer->json, "{s:s, s:I, s:s, s:s, s:s, s:s}",
			"instance", &name, "incarnation", &incarnation, "zone",
			&zone, "gossip", &gossip, "link", &link, "entry",
			&entry) != 0)
		return;
	g_strlcpy(place.zone, zone, sizeof(place.zone));
	g_strlcpy(place.gossip, gossip, sizeof(place.gossip));
	g_strlcpy(place.link, link, sizeof(place.link));
	g_strlcpy(place.entry, entry, sizeof(place.entry));
	bsh_members_list_item(peers_members(control), control_now_us(), name,
			      (uint64_t)incarnation, &place, BSH_LIST_LIVE);
}

static void query_place(control_t *control, const bsh_store_instance_t *item)
{
	bsh_call_spec_t spec = { .method = "GET",
				 .address = item->control,
				 .path = "/v1/status",
				 .timeout_ms = 1000 };

	if (item->control[0] != '\0')
		bsh_call_start(&control->caller, &spec, on_place, control);
}

/*
 * Incarnations in the list count instances, not processes, and the list lags.
 * So an instance that membership reports as alive or suspected is not treated
 * as gone, and the incarnation from membership is used if it is higher.
 */
static void update_entry(control_t *control, const bsh_store_instance_t *item,
			 bsh_loader_instance_t *out, int *queries_left)
{
	const bsh_member_t *member =
		bsh_members_find(peers_members(control), item->name);
	entry_t *entry =
		g_hash_table_lookup(control->targets->entries, item->name);
	bool is_alive = member != NULL && !member->is_hint &&
			(member->state == BSH_MEMBER_ALIVE ||
			 member->state == BSH_MEMBER_SUSPECT);

	if (entry == NULL) {
		entry = g_new0(entry_t, 1);
		g_hash_table_insert(control->targets->entries,
				    g_strdup(item->name), entry);
	}
	set_text(&entry->control_address, item->control);
	entry->is_gone = strcmp(item->state, "gone") == 0 && !is_alive;
	entry->incarnation = item->incarnation;
	if (member != NULL && member->incarnation > entry->incarnation)
		entry->incarnation = member->incarnation;
	out->incarnation = entry->incarnation;
	out->state = entry->is_gone ? BSH_INSTANCE_GONE : BSH_INSTANCE_LIVE;
	if (entry->is_gone)
		bsh_members_list_item(peers_members(control), control_now_us(),
				      item->name, entry->incarnation, NULL,
				      BSH_LIST_GONE);
	else if ((member == NULL || !member->has_place) &&
		 strcmp(item->state, "live") == 0 && (*queries_left)-- > 0)
		query_place(control, item);
}

static void update_target(control_t *control, const bsh_store_instance_t *item)
{
	struct targets *targets = control->targets;
	target_t *t = g_hash_table_lookup(targets->table, item->name);

	if (t == NULL) {
		t = g_new0(target_t, 1);
		t->control = control;
		t->name = g_strdup(item->name);
		bsh_loop_timer_init(&t->busy_timer, &control->loop,
				    on_busy_timer, t);
		g_hash_table_insert(targets->table, t->name, t);
	}
	t->last_list = targets->list_number;
	if (item->incarnation < t->incarnation)
		return;
	if (item->incarnation > t->incarnation)
		t->leaving = false;
	t->incarnation = item->incarnation;
	t->is_engine = strcmp(item->kind, "engine") == 0;
	t->memory_mib = item->memory_mib;
	set_text(&t->pool, item->pool);
	set_text(&t->zone, item->zone);
	set_text(&t->address, item->address);
	set_text(&t->control_address, item->control);
	if (strcmp(item->state, "leaving") == 0 ||
	    bsh_members_is_target_leaving(peers_members(control), t->name,
					  t->incarnation))
		disseminate_leaving(control, t);
}

static bsh_instance_state_t list_state(const char *state)
{
	if (strcmp(state, "gone") == 0)
		return BSH_INSTANCE_GONE;
	return strcmp(state, "leaving") == 0 ? BSH_INSTANCE_LEAVING
					     : BSH_INSTANCE_LIVE;
}

/* A target with a pending poll is kept until a later list. */
static gboolean is_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	const target_t *t = value;

	(void)key;
	return t->last_list != *(uint64_t *)ctx && !t->is_polling;
}

static void process_list(control_t *control, const bsh_store_instance_t *items,
			 size_t count)
{
	struct targets *targets = control->targets;
	bsh_loader_instance_t *list = g_new0(bsh_loader_instance_t, count + 1);
	int queries_left = PLACE_QUERIES_MAX;

	targets->list_number++;
	for (size_t i = 0; i < count; i++) {
		const bsh_store_instance_t *item = &items[i];

		list[i] = (bsh_loader_instance_t){
			.name = item->name,
			.incarnation = item->incarnation,
			.is_target = strcmp(item->kind, "engine") == 0,
			.pool = item->pool,
			.zone = item->zone,
			.memory_mib = item->memory_mib,
			.state = list_state(item->state)
		};
		if (strcmp(item->kind, "entry") == 0)
			update_entry(control, item, &list[i], &queries_left);
		else if (list[i].state != BSH_INSTANCE_GONE)
			update_target(control, item);
	}
	g_hash_table_foreach_remove(targets->table, is_unlisted,
				    &targets->list_number);
	cells_platform_list(control, list, count);
	send_services(control);
	g_free(list);
}

static void on_list(void *ctx, bsh_call_result_t result,
		    const bsh_store_instance_t *items, size_t count,
		    int64_t began_us)
{
	control_t *control = ctx;

	(void)began_us;
	control->targets->is_listing = false;
	if (result == BSH_CALL_DONE)
		process_list(control, items, count);
}

static int64_t list_period(const control_t *control)
{
	const struct targets *targets = control->targets;
	GHashTableIter it;
	gpointer value;

	if (config_is_witness(control) || config_document(control) == NULL ||
	    targets->list_number == 0)
		return LIST_WITNESS_PERIOD_US;
	g_hash_table_iter_init(&it, targets->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const target_t *t = value;

		if (cells_owns_target(control, t->pool, t->name))
			return LIST_OWNER_PERIOD_US;
	}
	return LIST_OTHER_PERIOD_US;
}

static void on_list_timer(void *ctx)
{
	control_t *control = ctx;
	struct targets *targets = control->targets;

	bsh_loop_timer_after(&targets->list_timer, list_period(control));
	if (targets->is_listing)
		return;
	targets->is_listing = true;
	bsh_store_instances(&control->store, on_list, control);
}

/* A status poll.  The target is looked up by name when the answer arrives, as
 * it may have been removed. */
typedef struct {
	control_t *control;
	char *name;
	int64_t began_us;
} poll_t;

static void report_load(control_t *control, const bsh_engine_status_t *status)
{
	bsh_report_entry_t entry = { .model = "",
				     .target = status->name,
				     .target_incarnation = status->incarnation,
				     .running = status->running,
				     .waiting = status->waiting };
	bsh_message_t message = { .type = BSH_MSG_REPORT };

	message.report = (bsh_msg_report_t){ &entry, 1 };
	routers_send(control, &message);
}

static bool is_busy(const bsh_engine_status_t *status)
{
	for (size_t i = 0; i < status->model_count; i++) {
		if (status->models[i].state != BSH_ENGINE_READY)
			return true;
	}
	return false;
}

static void process_status(control_t *control, target_t *t, const poll_t *poll,
			   const bsh_engine_status_t *status)
{
	bsh_target_model_t *models =
		g_new0(bsh_target_model_t, status->model_count + 1);
	static const bsh_slot_state_t states[] = { BSH_SLOT_LOADING,
						   BSH_SLOT_READY,
						   BSH_SLOT_UNLOADING };
	bsh_target_status_t out = { .target = t->name,
				    .incarnation = status->incarnation,
				    .leaving = status->leaving,
				    .memory_total_mib =
					    status->memory_total_mib,
				    .memory_used_mib = status->memory_used_mib,
				    .running = status->running,
				    .waiting = status->waiting,
				    .models = models,
				    .model_count = status->model_count,
				    .began_us = poll->began_us };

	for (size_t i = 0; i < status->model_count; i++) {
		const bsh_engine_model_t *m = &status->models[i];

		models[i].model = m->model;
		models[i].version = m->version;
		models[i].state = states[m->state];
		models[i].memory_mib = m->memory_mib;
		models[i].has_attempt =
			bsh_attempt_parse(m->attempt, &models[i].attempt);
	}
	if (is_busy(status))
		bsh_loop_timer_after(&t->busy_timer, STATUS_BUSY_PERIOD_US);
	if (status->incarnation > t->incarnation) {
		t->incarnation = status->incarnation;
		t->leaving = false;
	}
	if (status->leaving && status->incarnation == t->incarnation)
		disseminate_leaving(control, t);
	report_load(control, status);
	cells_target_status(control, &out);
	g_free(models);
}

static void on_status(void *ctx, const bsh_engine_status_t *status)
{
	poll_t *poll = ctx;
	control_t *control = poll->control;
	target_t *t = g_hash_table_lookup(control->targets->table, poll->name);

	if (t != NULL)
		t->is_polling = false;
	/* The address may have been reused by another engine. */
	if (t != NULL && status != NULL && strcmp(status->name, t->name) == 0)
		process_status(control, t, poll, status);
	g_free(poll->name);
	g_free(poll);
}

static void poll_target(target_t *t)
{
	poll_t *poll;

	if (t->is_polling || !t->is_engine)
		return;
	poll = g_new0(poll_t, 1);
	poll->control = t->control;
	poll->name = g_strdup(t->name);
	poll->began_us = control_now_us();
	t->is_polling = true;
	bsh_engine_status(&t->control->caller, order_address(t), on_status,
			  poll);
}

static void on_busy_timer(void *ctx)
{
	poll_target(ctx);
}

void targets_poll(control_t *control, const char *name)
{
	target_t *t = g_hash_table_lookup(control->targets->table, name);

	if (t != NULL)
		poll_target(t);
}

static void on_status_timer(void *ctx)
{
	control_t *control = ctx;
	GHashTableIter it;
	gpointer value;

	bsh_loop_timer_after(&control->targets->status_timer, STATUS_PERIOD_US);
	g_hash_table_iter_init(&it, control->targets->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		target_t *t = value;

		if (t->is_engine &&
		    cells_owns_target(control, t->pool, t->name))
			poll_target(t);
	}
}

/* An order sent to an engine. */
typedef struct {
	control_t *control;
	uint64_t id;
} order_t;

static bsh_order_result_t order_result(const bsh_engine_answer_t *answer)
{
	if (!answer->sent)
		return BSH_ORDER_NOT_SENT;
	if (answer->stale_fence)
		return BSH_ORDER_STALE_FENCE;
	if (answer->no_memory)
		return BSH_ORDER_NO_MEMORY;
	if (answer->result == BSH_CALL_DONE)
		return BSH_ORDER_ACCEPTED;
	return answer->result == BSH_CALL_UNKNOWN ? BSH_ORDER_UNKNOWN
						  : BSH_ORDER_REFUSED;
}

static void on_order(void *ctx, const bsh_engine_answer_t *answer)
{
	order_t *order = ctx;

	cells_order_result(order->control, order->id, order_result(answer),
			   answer->fence);
	g_free(order);
}

/* Posted to the loop, because the loader must not be called within its own
 * callback. */
static void on_unknown_target(void *ctx)
{
	bsh_engine_answer_t answer = { .sent = false };

	on_order(ctx, &answer);
}

void targets_order(control_t *control, const bsh_loader_order_t *loader_order)
{
	const target_t *t = g_hash_table_lookup(control->targets->table,
						loader_order->target);
	char attempt[BSH_ATTEMPT_TEXT_SIZE];
	bsh_engine_order_t out = { .model = loader_order->model,
				   .version = loader_order->version,
				   .base = loader_order->base,
				   .attempt = attempt,
				   .fence = loader_order->fence,
				   .memory_mib = loader_order->memory_mib };
	order_t *order = g_new0(order_t, 1);

	order->control = control;
	order->id = loader_order->id;
	bsh_attempt_text(&loader_order->attempt, attempt);
	if (t == NULL)
		bsh_loop_post(&control->loop, on_unknown_target, order);
	else if (loader_order->kind == BSH_ORDER_LOAD)
		bsh_engine_load(&control->caller, order_address(t), &out,
				on_order, order);
	else
		bsh_engine_unload(&control->caller, order_address(t), &out,
				  on_order, order);
}

bool targets_is_entry_gone(const control_t *control, const char *instance)
{
	const entry_t *entry =
		g_hash_table_lookup(control->targets->entries, instance);

	return entry != NULL && entry->is_gone;
}

const char *targets_entry_control_address(const control_t *control,
					  const char *instance)
{
	const entry_t *entry =
		g_hash_table_lookup(control->targets->entries, instance);

	if (strcmp(instance, control->settings.instance) == 0)
		return control->settings.control_listen;
	return entry != NULL ? entry->control_address : NULL;
}

json_t *targets_status(const control_t *control)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, control->targets->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const target_t *t = value;

		json_array_append_new(
			list, bsh_json_pack("{s:s, s:I, s:s, s:s, s:s, s:s}",
					    "name", t->name, "incarnation",
					    (json_int_t)t->incarnation, "pool",
					    t->pool, "zone", t->zone, "address",
					    t->address, "state",
					    t->leaving ? "leaving" : "live"));
	}
	return list;
}

void targets_start(control_t *control)
{
	struct targets *targets = g_new0(struct targets, 1);

	control->targets = targets;
	targets->table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_target);
	targets->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_entry);
	bsh_loop_timer_init(&targets->list_timer, &control->loop, on_list_timer,
			    control);
	bsh_loop_timer_init(&targets->status_timer, &control->loop,
			    on_status_timer, control);
	bsh_loop_timer_after(&targets->list_timer, 0);
	bsh_loop_timer_after(&targets->status_timer, STATUS_PERIOD_US);
}

void targets_stop(control_t *control)
{
	struct targets *targets = control->targets;

	bsh_loop_timer_stop(&targets->list_timer);
	bsh_loop_timer_stop(&targets->status_timer);
	g_hash_table_destroy(targets->table);
	g_hash_table_destroy(targets->entries);
	g_free(targets);
}
