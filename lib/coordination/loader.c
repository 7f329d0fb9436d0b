#include "coordination/loader.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/loader_private.h"

#define TICK_WAITING_US (100 * US_PER_MS)
#define TICK_IDLE_US	(1 * US_PER_S)
/* Least time between two runs of a cell for changes of a target's status: the
 * statuses of many targets are handled by one run. */
#define RUN_INTERVAL_US	    (250 * US_PER_MS)
#define PURGE_INTERVAL_US   (60 * US_PER_S)
#define IN_USE_TIMEOUT_US   (5 * US_PER_S)
#define IDLE_CHECK_DELAY_US (200 * US_PER_MS)

static guint attempt_hash(gconstpointer key)
{
	const bsh_attempt_id_t *attempt = key;

	return (guint)(attempt->low ^ attempt->high);
}

static gboolean attempt_equal(gconstpointer a, gconstpointer b)
{
	return bsh_attempt_equal(a, b);
}

static void target_free(void *data)
{
	target_t *target = data;

	g_hash_table_destroy(target->loaded);
	g_hash_table_destroy(target->copies);
	g_hash_table_destroy(target->excluded_until);
	g_free(target);
}

void bsh_loader_init(bsh_loader_t *l, const bsh_loader_config_t *config,
		     const bsh_loader_ops_t *ops, void *ctx)
{
	bsh_placement_limits_t limits = { .weight = 0.5,
					  .loads_per_s = 1,
					  .concurrent = 1,
					  .memory_permille = 150,
					  .disk_permille = 400 };

	memset(l, 0, sizeof(*l));
	l->config = *config;
	if (l->config.lease_ms == 0)
		l->config.lease_ms = BSH_LOADER_LEASE_MS_DEFAULT;
	if (l->config.settle_ms == 0)
		l->config.settle_ms = BSH_LOADER_SETTLE_MS_DEFAULT;
	if (l->config.absent_ms == 0)
		l->config.absent_ms = BSH_LOADER_ABSENT_MS_DEFAULT;
	l->ops = ops;
	l->ctx = ctx;
	l->is_config_fresh = true;
	bsh_placement_init(&l->placement, &limits);
	l->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->cells =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cell_free);
	l->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   target_free);
	l->queued_models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->bindings = g_hash_table_new_full(attempt_hash, attempt_equal, NULL,
					    g_free);
	l->orders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	l->demands = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   demand_free);
	l->members = g_array_new(FALSE, FALSE, sizeof(member_t));
	l->next_order = 1;
	l->started_us = -1;
}

void bsh_loader_finish(bsh_loader_t *l)
{
	g_hash_table_destroy(l->demands);
	g_hash_table_destroy(l->orders);
	g_hash_table_destroy(l->bindings);
	g_hash_table_destroy(l->queued_models);
	g_hash_table_destroy(l->targets);
	g_hash_table_destroy(l->instances);
	g_hash_table_destroy(l->cells);
	g_hash_table_destroy(l->models);
	g_hash_table_destroy(l->pools);
	g_array_free(l->members, TRUE);
	bsh_placement_finish(&l->placement);
}

int64_t loader_wall_us(const bsh_loader_t *l)
{
	return l->now_us + l->config.wall_offset_us;
}

uint64_t loader_random(bsh_loader_t *l)
{
	uint64_t input[2] = { l->config.seed[1], l->next_random++ };

	return XXH64(input, sizeof(input), l->config.seed[0]);
}

bsh_attempt_id_t loader_new_attempt(bsh_loader_t *l)
{
	bsh_attempt_id_t attempt = { .high = loader_random(l),
				     .low = loader_random(l) };

	return attempt;
}

model_t *loader_model(const bsh_loader_t *l, const char *name)
{
	return g_hash_table_lookup(l->models, name);
}

target_t *loader_target(const bsh_loader_t *l, const char *name)
{
	return g_hash_table_lookup(l->targets, name);
}

cell_t *loader_cell(const bsh_loader_t *l, const char *name)
{
	return g_hash_table_lookup(l->cells, name);
}

binding_t *loader_find_binding(const bsh_loader_t *l,
			       const bsh_attempt_id_t *attempt)
{
	return g_hash_table_lookup(l->bindings, attempt);
}

binding_t *loader_get_binding(bsh_loader_t *l, const bsh_attempt_id_t *attempt)
{
	binding_t *b = loader_find_binding(l, attempt);

	if (b != NULL)
		return b;
	b = g_new0(binding_t, 1);
	b->attempt = *attempt;
	b->load_sent_us = -1;
	b->load_accepted_us = -1;
	b->ready_us = -1;
	b->unload_accepted_us = -1;
	b->quiescent_since_us = -1;
	g_hash_table_insert(l->bindings, &b->attempt, b);
	return b;
}

bool loader_owns(const bsh_loader_t *l, const cell_t *c)
{
	return c->is_known &&
	       bsh_sender_equal(&c->stored.owner, &l->config.self);
}

void loader_event(bsh_loader_t *l, const char *kind, const cell_t *c,
		  const bsh_slot_t *slot, const char *reason)
{
	bsh_loader_event_t event = { .kind = kind, .reason = reason };

	if (l->ops->event == NULL)
		return;
	if (c != NULL) {
		event.cell = c->name;
		event.epoch = c->stored.epoch;
	}
	if (slot != NULL) {
		event.model = slot->model;
		event.index = slot->index;
		event.target = slot->target;
		event.attempt = slot->attempt;
		event.fence = slot->fence;
	}
	l->ops->event(l->ctx, &event);
}

static void reject_input(bsh_loader_t *l, const char *reason)
{
	l->counts.rejected++;
	loader_event(l, "rejected", NULL, NULL, reason);
}

/* When sender was found to be gone, or -1. */
static int64_t gone_since_us(const bsh_loader_t *l, const bsh_sender_t *sender)
{
	const instance_t *i =
		g_hash_table_lookup(l->instances, sender->instance);

	/* An earlier incarnation of this instance ended before this process
	 * started. */
	if (strcmp(sender->instance, l->config.self.instance) == 0)
		return sender->incarnation < l->config.self.incarnation
			       ? l->started_us
			       : -1;
	if (i == NULL)
		return -1;
	if (i->incarnation > sender->incarnation)
		return i->earlier_gone_us;
	return i->incarnation == sender->incarnation ? i->gone_us : -1;
}

bool loader_is_gone(const bsh_loader_t *l, const bsh_sender_t *sender)
{
	return gone_since_us(l, sender) >= 0;
}

bool loader_orders_expired(const bsh_loader_t *l, const bsh_sender_t *sender)
{
	int64_t since_us = gone_since_us(l, sender);

	return since_us >= 0 &&
	       l->now_us - since_us >= ms_us(l->config.settle_ms);
}

static void run_cell(bsh_loader_t *l, cell_t *c)
{
	c->last_run_us = l->now_us;
	/* Stays set until a plan is made: while a store call is in flight, no
	 * plan can be made. */
	c->is_plan_due |= c->is_dirty || l->now_us >= c->next_idle_check_us ||
			  g_hash_table_size(l->queued_models) > 0;
	c->is_dirty = false;
	cell_run(l, c);
}

void loader_run(bsh_loader_t *l, cell_t *c)
{
	GHashTableIter iter;
	gpointer value;

	if (l->started_us < 0)
		l->started_us = l->now_us;
	if (c != NULL) {
		c->is_dirty = true;
		run_cell(l, c);
	} else {
		g_hash_table_iter_init(&iter, l->cells);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			((cell_t *)value)->is_dirty = true;
			run_cell(l, value);
		}
	}
	place_send_loads(l);
	demands_answer(l);
}

/* Names of pools and of their cells are keys of tables: one that is cut off would
 * be entered under another key than it is looked up by. */
static bool is_pool_name(const bsh_loader_pool_t *pool)
{
	return strlen(pool->name) <= BSH_CELL_POOL_NAME_MAX;
}

static pool_t *add_pool(bsh_loader_t *l, const bsh_loader_pool_t *from,
			uint64_t generation)
{
	pool_t *pool = g_hash_table_lookup(l->pools, from->name);

	if (pool == NULL) {
		pool = g_new0(pool_t, 1);
		g_strlcpy(pool->name, from->name, sizeof(pool->name));
		pool->cells = MAX(from->cells, 1);
		g_hash_table_insert(l->pools, pool->name, pool);
	} else if (pool->cells != MAX(from->cells, 1)) {
		reject_input(l, "the number of cells of a pool cannot change");
	}
	pool->fencing = from->fencing;
	pool->memory_mib = from->memory_mib;
	pool->max_running = MAX(from->max_running, 1);
	pool->generation = generation;
	for (uint32_t i = 0; i < pool->cells; i++) {
		char name[BSH_CELL_NAME_SIZE];

		bsh_cell_name(pool->name, i, pool->cells, name);
		if (loader_cell(l, name) == NULL) {
			cell_t *c = cell_new(name, pool, i);

			g_hash_table_insert(l->cells, c->name, c);
		}
	}
	return pool;
}

static bool add_model(bsh_loader_t *l, const bsh_loader_model_t *from,
		      uint64_t generation)
{
	pool_t *pool = g_hash_table_lookup(l->pools, from->pool);
	model_t *m = loader_model(l, from->name);

	if (pool == NULL || from->name[0] == '\0' ||
	    strlen(from->name) >= BSH_CELL_NAME_SIZE)
		return false;
	if (m == NULL) {
		m = g_new0(model_t, 1);
		g_strlcpy(m->name, from->name, sizeof(m->name));
		m->replicas = 1;
		m->ready_estimate_us = -1;
		g_hash_table_insert(l->models, m->name, m);
	}
	g_strlcpy(m->version, from->version == NULL ? "" : from->version,
		  sizeof(m->version));
	g_strlcpy(m->base, from->base == NULL ? "" : from->base,
		  sizeof(m->base));
	m->pool = pool;
	m->memory_mib = from->memory_mib;
	m->max_replicas = from->max_replicas;
	m->load_ms = from->load_ms;
	m->priority = from->priority;
	m->generation = generation;
	bsh_placement_set_model(&l->placement, m->name, m->base, m->memory_mib,
				m->load_ms, m->priority);
	return true;
}

static gboolean remove_unlisted_model(gpointer key, gpointer value,
				      gpointer ctx)
{
	bsh_loader_t *l = ctx;
	const model_t *m = value;

	if (m->generation == l->generation)
		return FALSE;
	bsh_placement_remove_model(&l->placement, key);
	g_hash_table_remove(l->queued_models, key);
	return TRUE;
}

void bsh_loader_set_document(bsh_loader_t *l,
			     const bsh_loader_document_t *document,
			     int64_t now_us)
{
	l->now_us = now_us;
	if (document->generation < l->generation || document->generation == 0) {
		reject_input(l, "document generation is not higher");
		return;
	}
	l->generation = document->generation;
	l->placement.limits.weight = document->weight;
	l->loads_per_s = document->loads_per_s;
	l->concurrent = document->concurrent;
	for (size_t i = 0; i < document->pool_count; i++) {
		if (is_pool_name(&document->pools[i]))
			add_pool(l, &document->pools[i], document->generation);
		else
			reject_input(l, "pool with a name that is too long");
	}
	for (size_t i = 0; i < document->model_count; i++) {
		if (!add_model(l, &document->models[i], document->generation))
			reject_input(l, "model without a known pool");
	}
	g_hash_table_foreach_remove(l->models, remove_unlisted_model, l);
	place_update_limits(l);
	loader_run(l, NULL);
}

void bsh_loader_set_config_fresh(bsh_loader_t *l, bool is_fresh, int64_t now_us)
{
	l->now_us = now_us;
	if (l->is_config_fresh == is_fresh)
		return;
	l->is_config_fresh = is_fresh;
	loader_run(l, NULL);
}

static target_t *get_target(bsh_loader_t *l, const char *name)
{
	target_t *t = loader_target(l, name);

	if (t != NULL)
		return t;
	t = g_new0(target_t, 1);
	g_strlcpy(t->name, name, sizeof(t->name));
	t->status_us = -1;
	t->loaded =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->copies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->excluded_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(l->targets, t->name, t);
	return t;
}

static void raise_incarnation(target_t *t, uint64_t incarnation)
{
	if (incarnation <= t->incarnation)
		return;
	t->incarnation = incarnation;
	t->is_gone = false;
	t->is_listed = false;
	/* Copies in host memory end with the process; those on disk remain. */
	g_hash_table_remove_all(t->excluded_until);
	for (GList *k = g_hash_table_get_keys(t->copies), *i = k;;
	     i = i->next) {
		if (i == NULL) {
			g_list_free(k);
			break;
		}
		g_hash_table_insert(t->copies, g_strdup(i->data),
				    GINT_TO_POINTER(BSH_COPY_DISK));
	}
}

static void update_target(bsh_loader_t *l, const bsh_loader_instance_t *item,
			  const instance_t *known)
{
	target_t *t = get_target(l, item->name);

	raise_incarnation(t, item->incarnation);
	/* A list that lags may contain an earlier incarnation. */
	if (item->incarnation < t->incarnation)
		return;
	g_strlcpy(t->pool, item->pool == NULL ? "" : item->pool,
		  sizeof(t->pool));
	g_strlcpy(t->zone, item->zone == NULL ? "" : item->zone,
		  sizeof(t->zone));
	t->memory_mib = item->memory_mib;
	t->is_listed = true;
	t->is_gone = known->state == BSH_INSTANCE_GONE;
	if (known->state == BSH_INSTANCE_LEAVING)
		t->leaving_incarnation =
			MAX(t->leaving_incarnation, item->incarnation);
}

static void update_instance(bsh_loader_t *l, const bsh_loader_instance_t *item)
{
	instance_t *i = g_hash_table_lookup(l->instances, item->name);

	if (i == NULL || item->incarnation > i->incarnation) {
		if (i == NULL) {
			i = g_new0(instance_t, 1);
			g_strlcpy(i->name, item->name, sizeof(i->name));
			g_hash_table_insert(l->instances, i->name, i);
		}
		i->earlier_gone_us = l->now_us;
		i->incarnation = item->incarnation;
		i->state = BSH_INSTANCE_LIVE;
		i->gone_us = -1;
		l->ranks_version++;
	}
	if (item->incarnation == i->incarnation) {
		/* An incarnation never returns from leaving or gone; a list
		 * that says otherwise lags. */
		i->state = MAX(i->state, item->state);
		i->seen_us = l->now_us;
		i->list_sequence = l->list_sequence;
		if (i->state == BSH_INSTANCE_GONE && i->gone_us < 0) {
			i->gone_us = l->now_us;
			l->ranks_version++;
		}
	}
	if (item->is_target)
		update_target(l, item, i);
}

void bsh_loader_set_instances(bsh_loader_t *l,
			      const bsh_loader_instance_t *items, size_t count,
			      int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	l->now_us = now_us;
	l->list_sequence++;
	for (size_t i = 0; i < count; i++) {
		if (items[i].name == NULL || items[i].name[0] == '\0' ||
		    strlen(items[i].name) >= BSH_CELL_NAME_SIZE) {
			reject_input(l, "instance without a valid name");
			continue;
		}
		update_instance(l, &items[i]);
	}
	g_hash_table_iter_init(&iter, l->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		instance_t *i = value;
		target_t *t = loader_target(l, i->name);

		if (i->list_sequence == l->list_sequence || i->gone_us >= 0 ||
		    now_us - i->seen_us < ms_us(l->config.absent_ms))
			continue;
		i->state = BSH_INSTANCE_GONE;
		i->gone_us = now_us;
		l->ranks_version++;
		if (t != NULL && t->incarnation == i->incarnation)
			t->is_gone = true;
	}
	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((cell_t *)value)->is_route_dirty = true;
	loader_run(l, NULL);
}

void bsh_loader_set_members(bsh_loader_t *l, const bsh_sender_t *live,
			    size_t count, int64_t now_us)
{
	GArray *old = l->members;

	l->now_us = now_us;
	l->ranks_version++;
	l->members = g_array_new(FALSE, FALSE, sizeof(member_t));
	for (size_t i = 0; i < count; i++) {
		member_t member = { .sender = live[i], .since_us = now_us };

		for (guint j = 0; j < old->len; j++) {
			const member_t *was = &g_array_index(old, member_t, j);

			if (bsh_sender_equal(&was->sender, &live[i]))
				member.since_us = was->since_us;
		}
		g_array_append_val(l->members, member);
	}
	g_array_free(old, TRUE);
	loader_run(l, NULL);
}

void bsh_loader_order_result(bsh_loader_t *l, uint64_t id,
			     bsh_order_result_t result, uint64_t fence,
			     int64_t now_us)
{
	order_t *order = g_hash_table_lookup(l->orders, &id);
	cell_t *c;

	l->now_us = now_us;
	if (order == NULL) {
		reject_input(l, "result of an unknown order");
		return;
	}
	c = loader_cell(l, order->cell);
	g_hash_table_steal(l->orders, &order->id);
	slot_order_result(l, order, result, fence);
	g_free(order);
	if (c != NULL)
		loader_run(l, c);
}

/* Replaces the target's models; true if they differ from the former ones. */
static bool update_loaded(target_t *t, const bsh_target_status_t *status)
{
	bool changed = g_hash_table_size(t->loaded) != status->model_count;
	GHashTable *before = t->loaded;

	t->loaded =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < status->model_count; i++) {
		const bsh_target_model_t *from = &status->models[i];
		const loaded_model_t *was =
			g_hash_table_lookup(before, from->model);
		loaded_model_t *to = g_new0(loaded_model_t, 1);

		to->state = from->state;
		to->attempt = from->attempt;
		to->has_attempt = from->has_attempt;
		to->memory_mib = from->memory_mib;
		g_strlcpy(to->version,
			  from->version == NULL ? "" : from->version,
			  sizeof(to->version));
		changed |= was == NULL || was->state != to->state ||
			   strcmp(was->version, to->version) != 0;
		g_hash_table_insert(t->loaded, g_strdup(from->model), to);
	}
	g_hash_table_destroy(before);
	return changed;
}

static cell_t *cell_of_target(const bsh_loader_t *l, const target_t *t)
{
	const pool_t *pool = g_hash_table_lookup(l->pools, t->pool);
	char name[BSH_CELL_NAME_SIZE];

	if (pool == NULL)
		return NULL;
	bsh_cell_name(pool->name, bsh_cell_of_target(t->name, pool->cells),
		      pool->cells, name);
	return loader_cell(l, name);
}

void bsh_loader_update_status(bsh_loader_t *l,
			      const bsh_target_status_t *status, int64_t now_us)
{
	target_t *t;
	cell_t *c;
	bool changed;

	l->now_us = now_us;
	if (status->target == NULL || status->target[0] == '\0' ||
	    strlen(status->target) >= BSH_CELL_NAME_SIZE) {
		reject_input(l, "status without a valid target");
		return;
	}
	t = get_target(l, status->target);
	/* The answers of overlapping polls may arrive out of order. */
	if (status->incarnation < t->incarnation ||
	    status->began_us < t->status_us)
		return;
	changed = status->incarnation != t->status_incarnation ||
		  (status->leaving && !target_is_leaving(t));
	raise_incarnation(t, status->incarnation);
	t->status_incarnation = status->incarnation;
	t->status_us = status->began_us;
	t->used_mib = status->memory_used_mib;
	t->running = status->running;
	if (status->leaving)
		t->leaving_incarnation =
			MAX(t->leaving_incarnation, status->incarnation);
	changed |= update_loaded(t, status);
	c = cell_of_target(l, t);
	if (c == NULL || !loader_owns(l, c))
		return;
	c->is_route_dirty |= changed;
	/* While an unload or a failed load is open, a status without a change
	 * matters too: a newer status may confirm the unload. */
	if (!slots_apply_status(l, c) && !changed)
		return;
	if (g_hash_table_size(l->demands) > 0 ||
	    now_us - c->last_run_us >= RUN_INTERVAL_US)
		loader_run(l, c);
	else
		c->is_dirty = true;
}

void bsh_loader_set_leaving(bsh_loader_t *l, const char *target,
			    uint64_t incarnation, int64_t now_us)
{
	target_t *t = loader_target(l, target);
	cell_t *c;

	l->now_us = now_us;
	if (t == NULL || incarnation < t->incarnation ||
	    t->leaving_incarnation >= incarnation)
		return;
	t->leaving_incarnation = incarnation;
	c = cell_of_target(l, t);
	if (c == NULL)
		return;
	c->is_route_dirty = true;
	loader_run(l, c);
}

void bsh_loader_set_copy(bsh_loader_t *l, const char *target, const char *model,
			 bsh_copy_t copy)
{
	target_t *t = loader_target(l, target);

	if (t == NULL)
		return;
	if (copy == BSH_COPY_REMOTE)
		g_hash_table_remove(t->copies, model);
	else
		g_hash_table_insert(t->copies, g_strdup(model),
				    GINT_TO_POINTER((int)copy));
}

static void set_in_use(bsh_loader_t *l, model_t *m, bool is_running)
{
	cell_t *c;
	char name[BSH_CELL_NAME_SIZE];

	m->in_use_until_us = l->now_us + (is_running ? IN_USE_TIMEOUT_US : 0);
	if (is_running)
		return;
	/* Idle from now on: check soon whether to keep it loaded. */
	for (uint32_t i = 0; i < m->pool->cells; i++) {
		bsh_cell_name(m->pool->name, i, m->pool->cells, name);
		c = loader_cell(l, name);
		if (c != NULL)
			c->next_idle_check_us =
				MIN(c->next_idle_check_us,
				    l->now_us + IDLE_CHECK_DELAY_US);
	}
}

void bsh_loader_report_use(bsh_loader_t *l, const char *model, uint32_t started,
			   uint32_t running, int64_t now_us)
{
	model_t *m = loader_model(l, model);
	model_t *base;
	bool is_running = started > 0 || running > 0;

	l->now_us = now_us;
	if (m == NULL || (!is_running && now_us >= m->in_use_until_us))
		return;
	bsh_placement_record_use(&l->placement, model, now_us,
				 loader_wall_us(l));
	set_in_use(l, m, is_running);
	/* The use of an adapter also uses its base. */
	base = loader_model(l, m->base);
	if (base != NULL && is_running)
		set_in_use(l, base, true);
}

static gboolean is_unreferenced(gpointer key, gpointer value, gpointer ctx)
{
	const bsh_loader_t *l = ctx;
	const binding_t *b = value;

	(void)key;
	return b->purge_mark != l->next_random && b->pending_loads == 0 &&
	       b->pending_unloads == 0 && b->unsettled_until_us <= l->now_us;
}

/* Frees the bindings without a stored or proposed slot and without an open
 * order. */
static void purge_bindings(bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;

	l->next_purge_us = l->now_us + PURGE_INTERVAL_US;
	l->next_random++;
	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cell_t *c = value;

		for (guint i = 0; i < c->stored.slots->len; i++) {
			binding_t *b = loader_find_binding(
				l, &cell_slot(c, i)->attempt);

			if (b != NULL)
				b->purge_mark = l->next_random;
		}
		/* The update in flight may become the stored value. */
		for (guint i = 0; i < c->next.slots->len; i++) {
			const bsh_slot_t *slot =
				&g_array_index(c->next.slots, bsh_slot_t, i);
			binding_t *b = loader_find_binding(l, &slot->attempt);

			if (b != NULL)
				b->purge_mark = l->next_random;
		}
	}
	g_hash_table_foreach_remove(l->bindings, is_unreferenced, l);
}

void bsh_loader_tick(bsh_loader_t *l, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	l->now_us = now_us;
	if (now_us >= l->next_purge_us)
		purge_bindings(l);
	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		cell_t *c = value;

		if (c->is_dirty || now_us - c->last_run_us >= TICK_IDLE_US ||
		    (loader_owns(l, c) && c->io == IO_IDLE &&
		     now_us >= c->next_idle_check_us) ||
		    (g_hash_table_size(l->queued_models) > 0 &&
		     now_us - c->last_run_us >= RUN_INTERVAL_US))
			run_cell(l, c);
	}
	place_send_loads(l);
	demands_answer(l);
}

int64_t bsh_loader_next_us(const bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;
	int64_t next_us = l->now_us + TICK_IDLE_US;

	if (g_hash_table_size(l->demands) > 0 ||
	    g_hash_table_size(l->orders) > 0)
		return l->now_us + TICK_WAITING_US;
	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cell_t *c = value;

		/* A round that is overdue waits for the answer to a store
		 * call; a tick would have no effect. */
		if (c->next_idle_check_us > l->now_us)
			next_us = MIN(next_us, c->next_idle_check_us);
		if (c->is_dirty)
			next_us =
				MIN(next_us, c->last_run_us + RUN_INTERVAL_US);
		if (c->next_io_us > l->now_us)
			next_us = MIN(next_us, c->next_io_us);
	}
	return MAX(next_us, l->now_us + US_PER_MS);
}

void bsh_loader_request_read(bsh_loader_t *l, const char *cell, int64_t now_us)
{
	cell_t *c = loader_cell(l, cell);

	l->now_us = now_us;
	if (c == NULL)
		return;
	c->is_read_needed = true;
	loader_run(l, c);
}

void bsh_loader_drain(bsh_loader_t *l, int64_t now_us)
{
	l->now_us = now_us;
	l->is_draining = true;
	loader_run(l, NULL);
}

bool bsh_loader_is_drained(const bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;

	if (!l->is_draining || g_hash_table_size(l->orders) > 0)
		return false;
	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cell_t *c = value;

		if (c->is_holder || loader_owns(l, c) || c->io == IO_UPDATE ||
		    c->is_update_unresolved)
			return false;
	}
	return true;
}

bool bsh_loader_owns(const bsh_loader_t *l, const char *cell)
{
	const cell_t *c = loader_cell(l, cell);

	return c != NULL && loader_owns(l, c);
}

bool bsh_loader_owner_at(const bsh_loader_t *l, const char *model,
			 uint32_t index, bsh_sender_t *owner)
{
	const model_t *m = loader_model(l, model);
	uint64_t best = 0;
	char name[BSH_CELL_NAME_SIZE];
	const cell_t *c;

	memset(owner, 0, sizeof(*owner));
	if (m == NULL)
		return false;
	bsh_cell_name(m->pool->name,
		      bsh_cell_of_slot(model, index, m->pool->cells),
		      m->pool->cells, name);
	c = loader_cell(l, name);
	if (c != NULL && c->is_known && c->stored.owner.instance[0] != '\0' &&
	    !loader_is_gone(l, &c->stored.owner)) {
		*owner = c->stored.owner;
		return true;
	}
	/* No owner observed: the preferred owner is the likely one. */
	for (guint i = 0; i < l->members->len; i++) {
		const bsh_sender_t *member =
			&g_array_index(l->members, member_t, i).sender;
		uint64_t weight = bsh_cell_affinity(name, member->instance);

		if (i == 0 || weight > best) {
			best = weight;
			*owner = *member;
		}
	}
	return l->members->len > 0;
}

bool bsh_loader_owner(const bsh_loader_t *l, const char *model,
		      bsh_sender_t *owner)
{
	return bsh_loader_owner_at(l, model, 0, owner);
}

void bsh_loader_reissue_routes(bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		routes_publish(l, value, true);
}
