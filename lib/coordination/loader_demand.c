#include <string.h>

#include "coordination/loader_private.h"

/* Store calls of a cell must fail for this time before demands are refused. */
#define STORE_DOWN_US (1 * US_PER_S)
/* Retry-After.  RETRY_LONG_MS: the store is down or no target is suitable. */
#define RETRY_LONG_MS 5000
#define RETRY_MIN_MS  1000
#define RETRY_MAX_MS  600000
/* An estimate may exceed the time to the deadline by this part of it. */
#define DEADLINE_MARGIN_DIVISOR 10
/* Time after Retry-After in which refused requests may be repeated. */
#define RETRY_GRACE_US (30 * US_PER_S)
/* Targets that are full at one plan may have free memory at the next, so a
 * demand is refused with BSH_ERR_CAPACITY only after this time. */
#define UNPLACEABLE_REFUSE_US (2 * US_PER_S)

void demand_free(void *demand)
{
	g_free(demand);
}

static uint32_t retry_after_ms(const bsh_loader_t *l, bsh_error_t error,
			       int64_t ready_us)
{
	if (error == BSH_ERR_STORE || error == BSH_ERR_CAPACITY)
		return RETRY_LONG_MS;
	if (error == BSH_ERR_REFUSED || ready_us <= l->now_us)
		return RETRY_MIN_MS;
	return (uint32_t)CLAMP((ready_us - l->now_us) / US_PER_MS, RETRY_MIN_MS,
			       RETRY_MAX_MS);
}

static void send_answer(bsh_loader_t *l, const demand_t *d,
			bsh_demand_result_t result, bsh_error_t error,
			int64_t ready_us, const char *reason)
{
	bsh_demand_answer_t out = { .id = d->id,
				    .model = d->model,
				    .result = result,
				    .ready_us = ready_us,
				    .error = error,
				    .reason = reason };

	if (result == BSH_DEMAND_REFUSED) {
		l->counts.refused++;
		out.retry_after_ms = retry_after_ms(l, error, ready_us);
	}
	l->ops->answer(l->ctx, &out);
}

/* State of a model's slots over all cells owned by this process. */
typedef struct {
	bool is_owned;	    /* at least one cell of the model */
	bool is_ready;	    /* at least one slot */
	bool is_bound;	    /* at least one slot */
	bool is_store_down; /* for every owned cell */
	bool is_bindable;   /* at least one index has no slot */
} slot_summary_t;

static slot_summary_t summarize_slots(const bsh_loader_t *l, const model_t *m)
{
	slot_summary_t s = { .is_store_down = true };

	for (uint32_t i = 0; i < m->max_replicas; i++) {
		char name[BSH_CELL_NAME_SIZE];
		const bsh_slot_t *slot;
		const cell_t *c;

		bsh_cell_name(m->pool->name,
			      bsh_cell_of_slot(m->name, i, m->pool->cells),
			      m->pool->cells, name);
		c = loader_cell(l, name);
		if (c == NULL || !loader_owns(l, c))
			continue;
		s.is_owned = true;
		if (c->failing_since_us < 0 ||
		    l->now_us - c->failing_since_us < STORE_DOWN_US)
			s.is_store_down = false;
		slot = bsh_cell_slot(&c->stored, m->name, i);
		if (slot == NULL) {
			s.is_bindable = true;
			continue;
		}
		if (!slot_is_active(slot))
			continue;
		s.is_bound = true;
		if (slot_is_ready(l, slot))
			s.is_ready = true;
	}
	return s;
}

/*
 * Refuses a demand that cannot be served by its deadline.  The model stays
 * queued for a load, behind those that can still meet a deadline, so that a
 * request repeated after Retry-After can find it loaded.
 */
static void refuse_past_deadline(bsh_loader_t *l, const demand_t *d, model_t *m,
				 int64_t ready_us, const char *reason)
{
	send_answer(l, d, BSH_DEMAND_REFUSED, BSH_ERR_DEADLINE, ready_us,
		    reason);
	m->retries_expected_until_us =
		MAX(ready_us, l->now_us) + RETRY_GRACE_US;
	m->is_prefetch = true;
	g_strlcpy(m->prefetch_reason, "refused requests may return",
		  sizeof(m->prefetch_reason));
	place_queue_load(l, m);
}

/* Whether the load would end too late.  Estimates are not exact: one that is
 * only slightly above the deadline is tried. */
static bool misses_deadline(const bsh_loader_t *l, const demand_t *d,
			    const model_t *m)
{
	int64_t left_us = d->deadline_us - l->now_us;

	return m->ready_estimate_us - l->now_us >
	       left_us + left_us / DEADLINE_MARGIN_DIVISOR;
}

/* Sends the final answer if it is certain by now; false if it is not. */
static bool answer_if_certain(bsh_loader_t *l, const demand_t *d)
{
	model_t *m = loader_model(l, d->model);
	slot_summary_t s;

	if (m == NULL || m->max_replicas == 0) {
		send_answer(l, d, BSH_DEMAND_REFUSED, BSH_ERR_NOT_FOUND, 0,
			    "model not in the document");
		return true;
	}
	s = summarize_slots(l, m);
	if (s.is_ready) {
		send_answer(l, d, BSH_DEMAND_READY, BSH_OK, l->now_us, "ready");
		return true;
	}
	if (!s.is_owned) {
		send_answer(l, d, BSH_DEMAND_REFUSED, BSH_ERR_REFUSED, 0,
			    "not the owner of the model's cell");
		return true;
	}
	if (d->deadline_us <= l->now_us) {
		refuse_past_deadline(l, d, m, m->ready_estimate_us,
				     "deadline passed before the load ended");
		return true;
	}
	if (!s.is_bound && s.is_store_down) {
		send_answer(l, d, BSH_DEMAND_REFUSED, BSH_ERR_STORE, 0,
			    "store unavailable, no slot bound");
		return true;
	}
	if (!s.is_bound && m->is_unplaceable &&
	    l->now_us - d->since_us >= UNPLACEABLE_REFUSE_US) {
		send_answer(l, d, BSH_DEMAND_REFUSED, BSH_ERR_CAPACITY, 0,
			    "no target has room");
		return true;
	}
	if (m->retry_us >= d->deadline_us) {
		refuse_past_deadline(l, d, m, m->retry_us,
				     "loads of the model fail");
		return true;
	}
	if (misses_deadline(l, d, m)) {
		refuse_past_deadline(l, d, m, m->ready_estimate_us,
				     "load would end after the deadline");
		return true;
	}
	return false;
}

/* Takes the demand off the model's count; at 0 the model leaves the load queue
 * unless it is prefetched. */
static void stop_waiting(bsh_loader_t *l, const demand_t *d)
{
	model_t *m = loader_model(l, d->model);

	if (m != NULL && m->waiting > 0 && --m->waiting == 0 && !m->is_prefetch)
		g_hash_table_remove(l->queued_models, m->name);
}

void demands_answer(bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!answer_if_certain(l, value))
			continue;
		stop_waiting(l, value);
		g_hash_table_iter_remove(&iter);
	}
}

void bsh_loader_add_demand(bsh_loader_t *l, const bsh_demand_t *demand,
			   int64_t now_us)
{
	model_t *m = loader_model(l, demand->model);
	demand_t *d;

	l->now_us = now_us;
	l->counts.demands++;
	d = g_new0(demand_t, 1);
	d->id = demand->id;
	d->deadline_us = demand->deadline_us;
	d->since_us = now_us;
	d->priority = demand->priority;
	d->count = MAX(demand->count, 1);
	g_strlcpy(d->model, demand->model, sizeof(d->model));
	if (demand->zone != NULL)
		g_strlcpy(d->zone, demand->zone, sizeof(d->zone));
	if (m == NULL || answer_if_certain(l, d)) {
		if (m == NULL)
			answer_if_certain(l, d);
		else
			bsh_loader_report_use(l, m->name, d->count, 0, now_us);
		demand_free(d);
		return;
	}
	bsh_loader_report_use(l, m->name, d->count, 0, now_us);
	g_strlcpy(m->zone, d->zone, sizeof(m->zone));
	if (g_hash_table_contains(l->demands, &d->id)) {
		/* A repeated demand replaces the earlier one. */
		stop_waiting(l, g_hash_table_lookup(l->demands, &d->id));
		g_hash_table_remove(l->demands, &d->id);
	}
	g_hash_table_insert(l->demands, &d->id, d);
	m->waiting++;
	m->is_unplaceable = false;
	place_queue_load(l, m);
	loader_run(l, NULL);
	/* The run may already have sent the final answer. */
	if (g_hash_table_contains(l->demands, &demand->id))
		send_answer(l, d, BSH_DEMAND_LOADING, BSH_OK,
			    m->ready_estimate_us < 0 ? now_us
						     : m->ready_estimate_us,
			    "load is on its way");
}

void bsh_loader_cancel_demand(bsh_loader_t *l, uint64_t id, int64_t now_us)
{
	const demand_t *d = g_hash_table_lookup(l->demands, &id);

	l->now_us = now_us;
	if (d == NULL)
		return;
	stop_waiting(l, d);
	g_hash_table_remove(l->demands, &id);
}

typedef struct {
	GPtrArray *targets;
	GArray *incarnations;
	GString *text; /* names and incarnations */
} ready_targets_t;

/* Collects the ready targets of count slots of one model from first on. */
static void collect_ready(const bsh_loader_t *l, const cell_t *c, guint first,
			  guint count, ready_targets_t *ready)
{
	g_ptr_array_set_size(ready->targets, 0);
	g_array_set_size(ready->incarnations, 0);
	g_string_truncate(ready->text, 0);
	for (guint i = first; i < first + count; i++) {
		bsh_slot_t *slot = cell_slot(c, i);
		const target_t *t = loader_target(l, slot->target);

		if (t == NULL || target_is_leaving(t) || t->is_gone ||
		    t->incarnation != slot->target_incarnation ||
		    !slot_is_ready(l, slot))
			continue;
		g_ptr_array_add(ready->targets, slot->target);
		g_array_append_val(ready->incarnations,
				   slot->target_incarnation);
		g_string_append_printf(ready->text, "%s %" G_GUINT64_FORMAT " ",
				       slot->target, slot->target_incarnation);
	}
}

static void issue_route(bsh_loader_t *l, cell_t *c, const char *model,
			const ready_targets_t *ready)
{
	bsh_loader_route_t route = {
		.cell = c->name,
		.model = model,
		.epoch = c->stored.epoch,
		.sequence = ++c->route_sequence,
		.targets = (const char *const *)ready->targets->pdata,
		.incarnations = (const uint64_t *)ready->incarnations->data,
		.count = ready->targets->len
	};

	l->ops->route(l->ctx, &route);
}

/* Issues an empty route for each model that no longer has a slot. */
static void issue_empty_routes(bsh_loader_t *l, cell_t *c,
			       const ready_targets_t *none)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->routes);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (bsh_cell_has_model(&c->stored, key))
			continue;
		issue_route(l, c, key, none);
		g_hash_table_iter_remove(&iter);
	}
}

void routes_publish(bsh_loader_t *l, cell_t *c, bool force)
{
	ready_targets_t ready;

	if (l->ops->route == NULL || !loader_owns(l, c) ||
	    (!force && !c->is_route_dirty))
		return;
	c->is_route_dirty = false;
	ready.targets = g_ptr_array_new();
	ready.incarnations = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ready.text = g_string_new(NULL);
	for (guint i = 0; i < c->stored.slots->len;) {
		const char *model = cell_slot(c, i)->model;
		const char *before;
		guint count = 1;

		while (i + count < c->stored.slots->len &&
		       strcmp(cell_slot(c, i + count)->model, model) == 0)
			count++;
		collect_ready(l, c, i, count, &ready);
		before = g_hash_table_lookup(c->routes, model);
		if (force || (before == NULL && ready.text->len > 0) ||
		    (before != NULL && strcmp(before, ready.text->str) != 0)) {
			issue_route(l, c, model, &ready);
			g_hash_table_insert(c->routes, g_strdup(model),
					    g_strdup(ready.text->str));
		}
		i += count;
	}
	g_ptr_array_set_size(ready.targets, 0);
	g_array_set_size(ready.incarnations, 0);
	issue_empty_routes(l, c, &ready);
	g_ptr_array_free(ready.targets, TRUE);
	g_array_free(ready.incarnations, TRUE);
	g_string_free(ready.text, TRUE);
}
