/*
 * Placement of models: runs the loader on the cells kept in the store, reports
 * member and target changes to it, and distributes the routes that it issues.
 */
#include "cells.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"
#include "coordination/member.h"
#include "coordination/model_usage.h"

#define OBJECT_KIND "cell"
/* With more live controllers than this, routes are sent only to those that have
 * forwarded a demand, not to all. */
#define BROADCAST_MEMBERS_MAX 16

/* Newest ROUTES message of a scope, the pair "cell/model". */
typedef struct {
	uint64_t epoch;
	uint64_t sequence;
	char *model;
	GBytes *message; /* encoded */
} scope_t;

struct cells {
	bsh_loader_t loader;
	bsh_loop_timer_t timer;
	GHashTable *scopes;	 /* "cell/model" to scope_t */
	GHashTable *subscribers; /* names of instances that receive routes */
	bsh_use_t use;
};

typedef struct {
	control_t *control;
	char *cell;
} store_call_t;

#define COUNT(field, name, help)                                               \
	{                                                                      \
		BSH_COUNTER(name, help), offsetof(bsh_loader_counts_t, field)  \
	}

/* Metrics, with the offsets of their values in bsh_loader_counts_t. */
static struct {
	bsh_counter_t counter;
	size_t offset;
} counts[] = {
	COUNT(loads, "bsh_loader_loads_total", "Load orders."),
	COUNT(unloads, "bsh_loader_unloads_total", "Unload orders."),
	COUNT(stale_fences, "bsh_loader_stale_fences_total",
	      "Orders refused for an old fence."),
	COUNT(load_failures, "bsh_loader_load_failures_total", "Failed loads."),
	COUNT(updates, "bsh_loader_updates_total", "Updates of cells."),
	COUNT(conflicts, "bsh_loader_conflicts_total",
	      "Updates that lost to another one."),
	COUNT(lost, "bsh_loader_updates_lost_total",
	      "Updates without an answer."),
	COUNT(takeovers, "bsh_loader_takeovers_total", "Cells taken over."),
	COUNT(handovers, "bsh_loader_handovers_total", "Cells handed over."),
	COUNT(quarantines, "bsh_loader_quarantines_total",
	      "Slots put into quarantine."),
	COUNT(evictions, "bsh_loader_evictions_total",
	      "Models unloaded for others."),
	COUNT(demands, "bsh_loader_demands_total", "Demands."),
	COUNT(refused, "bsh_loader_demands_refused_total", "Refused demands."),
	COUNT(rejected, "bsh_loader_rejected_total",
	      "Inputs that did not fit and changed nothing."),
};
static bsh_counter_t store_reads =
	BSH_COUNTER("bsh_store_reads_total", "Read calls to the store.");
static bsh_counter_t store_writes =
	BSH_COUNTER("bsh_store_writes_total", "Write calls to the store.");

static void run(control_t *control);

static store_call_t *make_call(control_t *control, const char *cell)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->control = control;
	call->cell = g_strdup(cell);
	return call;
}

static void free_call(store_call_t *call)
{
	g_free(call->cell);
	g_free(call);
}

static bsh_store_result_t store_result(const bsh_store_answer_t *answer)
{
	switch (answer->result) {
	case BSH_CALL_DONE:
		return BSH_STORE_OK;
	case BSH_CALL_NOT_FOUND:
		return BSH_STORE_NOT_FOUND;
	case BSH_CALL_CONFLICT:
		return BSH_STORE_CONFLICT;
	case BSH_CALL_REFUSED:
		return answer->status == 413 ? BSH_STORE_TOO_LARGE
					     : BSH_STORE_UNAVAILABLE;
	case BSH_CALL_UNAVAILABLE:
		return BSH_STORE_UNAVAILABLE;
	default:
		return BSH_STORE_LOST;
	}
}

static void on_read(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;
	bsh_store_result_t result = store_result(answer);
	char *text;

	/* A read has no effect, so a lost answer is a plain failure. */
	if (result == BSH_STORE_LOST)
		result = BSH_STORE_UNAVAILABLE;
	text = result == BSH_STORE_OK
		       ? bsh_json_text(answer->value,
				       JSON_COMPACT | JSON_ENCODE_ANY)
		       : NULL;

	bsh_loader_read_result(
		&control->cells->loader, call->cell, result, answer->version,
		text, text != NULL ? strlen(text) : 0, control_now_us());
	free(text);
	free_call(call);
	run(control);
}

/* To be called after the update that releases the cell, so that a controller
 * that then reads the cell finds it released. */
static void announce_handover(control_t *control, const char *cell)
{
	bsh_message_t message = { .type = BSH_MSG_HANDOVER };

	message.handover.cell = cell;
	peers_broadcast(control, &message);
}

static void on_update(void *ctx, const bsh_store_answer_t *answer)
{
	store_call_t *call = ctx;
	control_t *control = call->control;
	bsh_loader_t *loader = &control->cells->loader;
	bool was_owner = bsh_loader_owns(loader, call->cell);

	bsh_loader_update_result(loader, call->cell, store_result(answer),
				 answer->version, control_now_us());
	if (was_owner && answer->result == BSH_CALL_DONE &&
	    !bsh_loader_owns(loader, call->cell))
		announce_handover(control, call->cell);
	free_call(call);
	run(control);
}

static void read_cell(void *ctx, const char *cell)
{
	control_t *control = ctx;

	bsh_store_get(&control->store, OBJECT_KIND, cell, on_read,
		      make_call(control, cell));
}

static void update_cell(void *ctx, const char *cell, uint64_t base_version,
			const char *value)
{
	control_t *control = ctx;

	bsh_store_put(&control->store, OBJECT_KIND, cell, base_version, value,
		      strlen(value), on_update, make_call(control, cell));
}

static void order(void *ctx, const bsh_loader_order_t *loader_order)
{
	targets_order(ctx, loader_order);
}

static void poll(void *ctx, const char *target)
{
	targets_poll(ctx, target);
}

static void free_scope(void *data)
{
	scope_t *scope = data;

	g_free(scope->model);
	g_bytes_unref(scope->message);
	g_free(scope);
}

/* Cache a ROUTES message if it is newer than the one held for its scope; false
 * if it is not or if it is malformed. */
static bool cache_routes(control_t *control, const bsh_message_t *message)
{
	const bsh_msg_routes_t *routes = &message->routes;
	scope_t *scope =
		g_hash_table_lookup(control->cells->scopes, routes->cell);
	const char *slash = strchr(routes->cell, '/');
	char *data;
	size_t size;

	if (scope != NULL && (routes->epoch < scope->epoch ||
			      (routes->epoch == scope->epoch &&
			       routes->sequence <= scope->sequence)))
		return false;
	if (slash == NULL ||
	    bsh_message_encode(message, &data, &size) != BSH_OK)
		return false;
	scope = g_new0(scope_t, 1);
	scope->epoch = routes->epoch;
	scope->sequence = routes->sequence;
	scope->model = g_strdup(slash + 1);
	scope->message = g_bytes_new_with_free_func(data, size, free, data);
	g_hash_table_replace(control->cells->scopes, g_strdup(routes->cell),
			     scope);
	return true;
}

/* Send the routes of a scope to an instance; NULL: to the local router. */
static void send_scope(control_t *control, const scope_t *scope,
		       const char *instance)
{
	bsh_message_t message;
	gsize size;
	const char *data = g_bytes_get_data(scope->message, &size);

	if (bsh_message_decode(&message, data, size) != BSH_OK)
		return;
	if (instance != NULL)
		peers_send(control, instance, &message);
	else
		routers_send(control, &message);
	bsh_message_finish(&message);
}

void cells_send_model(control_t *control, const char *model,
		      const char *instance)
{
	GHashTableIter it;
	gpointer scope;

	g_hash_table_iter_init(&it, control->cells->scopes);
	while (g_hash_table_iter_next(&it, NULL, &scope)) {
		if (strcmp(((scope_t *)scope)->model, model) == 0)
			send_scope(control, scope, instance);
	}
}

static void distribute(control_t *control, const scope_t *scope,
		       const bsh_message_t *message)
{
	GHashTableIter it;
	gpointer instance;

	send_scope(control, scope, NULL);
	if (bsh_members_live(peers_members(control)) <= BROADCAST_MEMBERS_MAX) {
		peers_broadcast(control, message);
		return;
	}
	g_hash_table_iter_init(&it, control->cells->subscribers);
	while (g_hash_table_iter_next(&it, &instance, NULL))
		send_scope(control, scope, instance);
}

static void route(void *ctx, const bsh_loader_route_t *loader_route)
{
	control_t *control = ctx;
	g_autofree char *name = g_strdup_printf("%s/%s", loader_route->cell,
						loader_route->model);
	bsh_route_entry_t *entries =
		g_new0(bsh_route_entry_t, loader_route->count + 1);
	bsh_message_t message = { .type = BSH_MSG_ROUTES };
	uint32_t n = 0;

	for (size_t i = 0; i < loader_route->count; i++) {
		entries[n].name = loader_route->model;
		if (targets_fill_route_entry(control, loader_route->targets[i],
					     loader_route->incarnations[i],
					     &entries[n]))
			n++;
	}
	message.routes =
		(bsh_msg_routes_t){ name, loader_route->epoch,
				    loader_route->sequence, entries, n };
	if (cache_routes(control, &message))
		distribute(control,
			   g_hash_table_lookup(control->cells->scopes, name),
			   &message);
	g_free(entries);
}

static void answer(void *ctx, const bsh_demand_answer_t *loader_answer)
{
	demands_loader_answer(ctx, loader_answer);
}

static void event(void *ctx, const bsh_loader_event_t *e)
{
	control_t *control = ctx;
	char attempt[BSH_ATTEMPT_TEXT_SIZE];

	bsh_attempt_text(&e->attempt, attempt);
	bsh_timeline_add(&control->timeline, e->kind,
			 "{s:s, s:s, s:i, s:s, s:s, s:I, s:I, s:s}", "cell",
			 e->cell != NULL ? e->cell : "", "model",
			 e->model != NULL ? e->model : "", "index",
			 (int)e->index, "target",
			 e->target != NULL ? e->target : "", "attempt", attempt,
			 "fence", (json_int_t)e->fence, "epoch",
			 (json_int_t)e->epoch, "reason",
			 e->reason != NULL ? e->reason : "");
	bsh_log(BSH_LOG_DEBUG, "%s cell=%s model=%s target=%s reason=%s",
		e->kind, e->cell != NULL ? e->cell : "-",
		e->model != NULL ? e->model : "-",
		e->target != NULL ? e->target : "-",
		e->reason != NULL ? e->reason : "-");
}

static const bsh_loader_ops_t ops = {
	.read = read_cell,
	.update = update_cell,
	.order = order,
	.poll = poll,
	.route = route,
	.answer = answer,
	.event = event,
};

static void run(control_t *control)
{
	bsh_loader_t *loader = &control->cells->loader;

	bsh_loader_tick(loader, control_now_us());
	control_timer_at(&control->cells->timer, bsh_loader_next_us(loader));
}

static void on_timer(void *ctx)
{
	run(ctx);
}

void cells_start(control_t *control)
{
	struct cells *cells = g_new0(struct cells, 1);
	bsh_loader_config_t config = {
		.self.incarnation = control->incarnation,
		.lease_ms = control->settings.lease_ms,
		.settle_ms = control->settings.settle_ms,
		.absent_ms = BSH_LOADER_ABSENT_MS_DEFAULT,
		.wall_offset_us = g_get_real_time() - control_now_us(),
		.seed = { (uint64_t)control_seed() << 32 | control_seed(),
			  (uint64_t)control_seed() << 32 | control_seed() }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		bsh_counter_register(&counts[i].counter);
	bsh_counter_register(&store_reads);
	bsh_counter_register(&store_writes);
	g_strlcpy(config.self.instance, control->settings.instance,
		  sizeof(config.self.instance));
	g_strlcpy(config.zone, control->settings.zone, sizeof(config.zone));
	control->cells = cells;
	bsh_use_init(&cells->use);
	cells->scopes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_scope);
	cells->subscribers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bsh_loader_init(&cells->loader, &config, &ops, control);
	bsh_loader_set_config_fresh(&cells->loader, false, control_now_us());
	bsh_loop_timer_init(&cells->timer, &control->loop, on_timer, control);
	cells_members_changed(control);
}

void cells_stop(control_t *control)
{
	struct cells *cells = control->cells;

	bsh_loop_timer_stop(&cells->timer);
	bsh_loader_finish(&cells->loader);
	g_hash_table_destroy(cells->scopes);
	g_hash_table_destroy(cells->subscribers);
	bsh_use_finish(&cells->use);
	g_free(cells);
}

static void fill_pools(const bsh_document_t *doc, GArray *pools)
{
	for (guint i = 0; i < doc->pools->len; i++) {
		const bsh_doc_pool_t *pool = bsh_document_pool_at(doc, i);
		bsh_loader_pool_t out = { .name = pool->name,
					  .fencing = pool->fencing,
					  .memory_mib = pool->memory_mib,
					  .max_running = pool->max_running,
					  .cells = pool->cells };

		if (pool->kind == BSH_DOC_ENGINE)
			g_array_append_val(pools, out);
	}
}

static void fill_models(const bsh_document_t *doc, GArray *models)
{
	for (guint i = 0; i < doc->models->len; i++) {
		const bsh_doc_model_t *model =
			&g_array_index(doc->models, bsh_doc_model_t, i);
		bsh_loader_model_t out = {
			.name = model->name,
			.version = model->version,
			.pool = bsh_document_pool_at(doc, model->pool)->name,
			.base = model->base[0] != '\0' ? model->base : NULL,
			.memory_mib = model->memory_mib,
			.max_replicas = model->max_replicas,
			.priority = (uint8_t)model->priority,
			.load_ms = model->load_ms
		};

		g_array_append_val(models, out);
	}
}

void cells_document_changed(control_t *control)
{
	const bsh_document_t *doc = config_document(control);
	GArray *pools = g_array_new(FALSE, FALSE, sizeof(bsh_loader_pool_t));
	GArray *models = g_array_new(FALSE, FALSE, sizeof(bsh_loader_model_t));
	bsh_loader_document_t out = { .generation =
					      config_generation(control) };

	if (doc != NULL) {
		fill_pools(doc, pools);
		fill_models(doc, models);
		out.weight = doc->weight;
		out.loads_per_s = doc->loads_per_s;
		out.concurrent = doc->load_concurrent;
		out.pools = (const bsh_loader_pool_t *)(void *)pools->data;
		out.pool_count = pools->len;
		out.models = (const bsh_loader_model_t *)(void *)models->data;
		out.model_count = models->len;
		bsh_loader_set_document(&control->cells->loader, &out,
					control_now_us());
		run(control);
	}
	g_array_free(pools, TRUE);
	g_array_free(models, TRUE);
}

void cells_set_fresh(control_t *control, bool is_fresh)
{
	bsh_loader_set_config_fresh(&control->cells->loader, is_fresh,
				    control_now_us());
	run(control);
}

static void add_member(void *ctx, const bsh_member_t *member)
{
	GArray *live = ctx;
	bsh_sender_t sender = { .incarnation = member->incarnation };

	if (member->leaving || (member->state != BSH_MEMBER_ALIVE &&
				member->state != BSH_MEMBER_SUSPECT))
		return;
	g_strlcpy(sender.instance, member->name, sizeof(sender.instance));
	g_array_append_val(live, sender);
}

void cells_members_changed(control_t *control)
{
	GArray *live = g_array_new(FALSE, TRUE, sizeof(bsh_sender_t));

	if (control->cells != NULL) {
		bsh_members_foreach(peers_members(control), add_member, live);
		bsh_loader_set_members(&control->cells->loader,
				       (const bsh_sender_t *)(void *)live->data,
				       live->len, control_now_us());
		run(control);
	}
	g_array_free(live, TRUE);
}

void cells_platform_list(control_t *control, const bsh_loader_instance_t *items,
			 size_t count)
{
	bsh_loader_set_instances(&control->cells->loader, items, count,
				 control_now_us());
	run(control);
}

void cells_target_status(control_t *control, const bsh_target_status_t *status)
{
	bsh_loader_update_status(&control->cells->loader, status,
				 control_now_us());
	run(control);
}

void cells_order_result(control_t *control, uint64_t id,
			bsh_order_result_t result, uint64_t fence)
{
	bsh_loader_order_result(&control->cells->loader, id, result, fence,
				control_now_us());
	run(control);
}

void cells_target_leaving(control_t *control, const char *target,
			  uint64_t incarnation)
{
	bsh_loader_set_leaving(&control->cells->loader, target, incarnation,
			       control_now_us());
	run(control);
}

bool cells_owns_target(const control_t *control, const char *pool,
		       const char *target)
{
	const bsh_document_t *doc = config_document(control);
	const bsh_doc_pool_t *p =
		doc != NULL ? bsh_document_pool(doc, pool) : NULL;
	char cell[BSH_CELL_NAME_SIZE];

	if (p == NULL || p->kind != BSH_DOC_ENGINE)
		return false;
	bsh_cell_name(pool, bsh_cell_of_target(target, p->cells), p->cells,
		      cell);
	return bsh_loader_owns(&control->cells->loader, cell);
}

bool cells_is_self(const control_t *control, const bsh_sender_t *owner)
{
	return strcmp(owner->instance, control->settings.instance) == 0 &&
	       owner->incarnation == control->incarnation;
}

bool cells_owner(const control_t *control, const char *model,
		 bsh_sender_t *owner)
{
	return bsh_loader_owner(&control->cells->loader, model, owner);
}

void cells_add_demand(control_t *control, const bsh_demand_t *demand)
{
	bsh_loader_add_demand(&control->cells->loader, demand,
			      control_now_us());
	run(control);
}

void cells_cancel_demand(control_t *control, uint64_t id)
{
	bsh_loader_cancel_demand(&control->cells->loader, id, control_now_us());
}

void cells_add_subscriber(control_t *control, const char *instance)
{
	g_hash_table_add(control->cells->subscribers, g_strdup(instance));
}

static void receive_routes(control_t *control, const bsh_message_t *message)
{
	if (cache_routes(control, message))
		send_scope(control,
			   g_hash_table_lookup(control->cells->scopes,
					       message->routes.cell),
			   NULL);
}

void cells_receive(control_t *control, const bsh_message_t *message)
{
	switch (message->type) {
	case BSH_MSG_ROUTES:
		receive_routes(control, message);
		break;
	case BSH_MSG_HANDOVER:
		bsh_loader_request_read(&control->cells->loader,
					message->handover.cell,
					control_now_us());
		run(control);
		break;
	default:
		break;
	}
}

static void forward_report(control_t *control, const char *owner,
			   const bsh_report_entry_t *entry)
{
	bsh_message_t message = { .type = BSH_MSG_REPORT };

	message.report = (bsh_msg_report_t){ entry, 1 };
	peers_send(control, owner, &message);
}

static void record_use(control_t *control, const char *instance,
		       const bsh_report_entry_t *e)
{
	struct cells *cells = control->cells;
	int64_t now_us = control_now_us();
	uint32_t total =
		bsh_use_report(&cells->use, e->model, instance, e->target,
			       e->running + e->waiting, now_us);

	bsh_loader_report_use(&cells->loader, e->model, e->started, total,
			      now_us);
}

/* The owner of a model's cell counts its requests; other controllers forward
 * the report of their own router to the owner. */
void cells_report(control_t *control, const bsh_message_t *message)
{
	const bsh_document_t *doc = config_document(control);
	bool is_local =
		strcmp(message->sender, control->settings.instance) == 0;
	bsh_sender_t owner;

	for (uint32_t i = 0; i < message->report.entry_count; i++) {
		const bsh_report_entry_t *e = &message->report.entries[i];

		if (doc == NULL || bsh_document_model(doc, e->model) == NULL ||
		    !bsh_loader_owner(&control->cells->loader, e->model,
				      &owner))
			continue;
		if (cells_is_self(control, &owner))
			record_use(control, message->sender, e);
		else if (is_local)
			forward_report(control, owner.instance, e);
	}
}

void cells_sync_router(control_t *control)
{
	GHashTableIter it;
	gpointer scope;

	g_hash_table_iter_init(&it, control->cells->scopes);
	while (g_hash_table_iter_next(&it, NULL, &scope))
		send_scope(control, scope, NULL);
}

void cells_drain(control_t *control)
{
	bsh_loader_drain(&control->cells->loader, control_now_us());
	run(control);
}

bool cells_drained(const control_t *control)
{
	return bsh_loader_is_drained(&control->cells->loader);
}

void cells_update_counters(control_t *control)
{
	const char *base = (const char *)&control->cells->loader.counts;

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		uint64_t value;

		memcpy(&value, base + counts[i].offset, sizeof(value));
		bsh_counter_set(&counts[i].counter, (int64_t)value);
	}
	bsh_counter_set(&store_reads, (int64_t)control->store.reads);
	bsh_counter_set(&store_writes, (int64_t)control->store.writes);
}

json_t *cells_status(const control_t *control)
{
	const bsh_document_t *doc = config_document(control);
	json_t *list = json_array();
	char name[BSH_CELL_NAME_SIZE];

	for (guint i = 0; doc != NULL && i < doc->pools->len; i++) {
		const bsh_doc_pool_t *pool = bsh_document_pool_at(doc, i);

		if (pool->kind != BSH_DOC_ENGINE)
			continue;
		for (uint32_t n = 0; n < pool->cells; n++) {
			bsh_cell_name(pool->name, n, pool->cells, name);
			json_array_append_new(
				list,
				bsh_json_pack(
					"{s:s, s:b}", "name", name, "owned",
					bsh_loader_owns(&control->cells->loader,
							name)));
		}
	}
	return list;
}
