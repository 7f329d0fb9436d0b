#include <math.h>
#include <string.h>

#include "coordination/loader_private.h"

#define IDLE_CHECK_INTERVAL_US (5 * US_PER_S)
#define REVIEW_INTERVAL_US     (15 * US_PER_S)
#define STANDBY_INTERVAL_US    (60 * US_PER_S)
#define STANDBY_MAX	       64 /* new standby bindings per round */
/* A standby slot is bound for a model that is used with at least this
 * probability within the horizon. */
#define STANDBY_HORIZON_US  (3600 * US_PER_S)
#define STANDBY_CHANCE_MIN  0.01
#define KEEP_RECHECK_MAX_US (60 * US_PER_S)
/* Reports of use lag, so a model is neither unloaded nor evicted for this time
 * after it became ready. */
#define KEEP_AFTER_READY_US (5 * US_PER_S)
#define BIND_ESTIMATE_US    (50 * US_PER_MS) /* store update of a binding */
#define EVICT_US	    (1 * US_PER_S)
/* A target that runs at least this part of max_running is saturated; a model
 * gets one more replica when all of its ready targets are. */
#define SATURATION_PERMILLE 800
#define PERMILLE	    1000

/* Copy of a cell on which one choice is based.  The names in candidates and
 * victims point into it. */
typedef struct {
	bsh_cell_t cell;
	GArray *candidates; /* bsh_placement_candidate_t, by target */
	GArray *freeing;    /* uint32_t, MiB being unloaded, by target */
	GArray *victims;    /* bsh_victim_t, one per active slot */
} snapshot_t;

/* The share is the number of cells owned by this process over that of all. */
void place_update_limits(bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t all = 0;
	uint32_t owned = 0;
	double share;

	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		all++;
		if (loader_owns(l, value))
			owned++;
	}
	share = all == 0 || owned == 0 ? 1 : (double)owned / all;
	l->placement.limits.loads_per_s = l->loads_per_s * share;
	l->placement.limits.concurrent =
		MAX((uint32_t)lround(l->concurrent * share), 1);
}

void place_queue_load(bsh_loader_t *l, model_t *m)
{
	if (!g_hash_table_contains(l->queued_models, m->name))
		g_hash_table_add(l->queued_models, g_strdup(m->name));
}

static bool is_in_use(const bsh_loader_t *l, const model_t *m)
{
	return l->now_us < m->in_use_until_us;
}

static double memory_share(const bsh_cell_t *cell, const bsh_slot_t *slot)
{
	const bsh_cell_target_t *on = bsh_cell_target(cell, slot->target);

	if (on == NULL || on->memory_mib == 0)
		return 1;
	return (double)slot->memory_mib / on->memory_mib;
}

/* Memory in use on the target that is not accounted for by slots. */
static uint32_t stray_mib(const bsh_cell_t *cell, const target_t *t)
{
	uint64_t accounted_mib = 0;
	GHashTableIter iter;
	gpointer key;

	if (t->status_us < 0 || t->status_incarnation != t->incarnation)
		return 0;
	g_hash_table_iter_init(&iter, t->loaded);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const bsh_slot_t *slot = bsh_cell_slot_on(cell, key, t->name);

		if (slot != NULL)
			accounted_mib += slot->memory_mib;
	}
	return t->used_mib > accounted_mib
		       ? (uint32_t)(t->used_mib - accounted_mib)
		       : 0;
}

static void add_candidate(const bsh_loader_t *l, const bsh_cell_t *next,
			  const bsh_cell_target_t *on, snapshot_t *snapshot)
{
	const target_t *t = loader_target(l, on->name);
	uint32_t free_mib = on->memory_mib - on->reserved_mib;
	bsh_placement_candidate_t candidate = { .name = on->name, .zone = "" };
	uint32_t freeing_mib = 0;

	if (t != NULL) {
		uint32_t strays_mib = stray_mib(next, t);

		candidate.zone = t->zone;
		candidate.running = t->running;
		candidate.free_mib =
			free_mib > strays_mib ? free_mib - strays_mib : 0;
	}
	candidate.memory_mib = on->memory_mib;
	candidate.excluded = t == NULL || t->is_gone || !t->is_listed ||
			     t->incarnation != on->incarnation ||
			     target_is_leaving(t);
	g_array_append_val(snapshot->candidates, candidate);
	g_array_append_val(snapshot->freeing, freeing_mib);
}

static bsh_victim_t make_victim(const bsh_loader_t *l, const bsh_cell_t *next,
				const bsh_slot_t *slot)
{
	const model_t *m = loader_model(l, slot->model);
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	bsh_victim_t victim = { .model = slot->model,
				.index = slot->index,
				.target = slot->target,
				.memory_mib = slot->memory_mib };

	victim.is_idle_binding = slot_is_never_ordered(l, next, slot);
	if (m == NULL)
		return victim;
	victim.running = is_in_use(l, m) ? 1 : 0;
	victim.is_waiting = m->waiting > 0 ||
			    (b != NULL && b->pending_loads > 0) ||
			    (b != NULL && b->ready_us >= 0 &&
			     l->now_us - b->ready_us < KEEP_AFTER_READY_US);
	return victim;
}

/* Whether a load order was sent for an active slot or the target shows it. */
static bool is_loading_or_loaded(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return slot_is_active(slot) &&
	       ((b != NULL && !b->is_failed && b->load_sent_us >= 0) ||
		slot_loaded_model(l, slot) != NULL);
}

/* Takes a snapshot of from: its targets as candidates, its active slots as
 * victims. */
static void snapshot_init(const bsh_loader_t *l, const bsh_cell_t *from,
			  snapshot_t *snapshot)
{
	const bsh_cell_t *next = &snapshot->cell;
	GHashTable *bases =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	bsh_cell_init(&snapshot->cell, from->name, from->cells);
	bsh_cell_copy(&snapshot->cell, from);
	snapshot->candidates =
		g_array_new(FALSE, TRUE, sizeof(bsh_placement_candidate_t));
	snapshot->freeing = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	snapshot->victims = g_array_new(FALSE, TRUE, sizeof(bsh_victim_t));
	for (guint i = 0; i < next->targets->len; i++)
		add_candidate(
			l, next,
			&g_array_index(next->targets, bsh_cell_target_t, i),
			snapshot);
	for (guint i = 0; i < next->slots->len; i++) {
		const bsh_slot_t *slot =
			&g_array_index(next->slots, bsh_slot_t, i);
		const model_t *m = loader_model(l, slot->model);

		if (m != NULL && m->base[0] != '\0')
			g_hash_table_add(
				bases,
				g_strconcat(m->base, "\n", slot->target, NULL));
	}
	for (guint i = 0; i < next->slots->len; i++) {
		const bsh_slot_t *slot =
			&g_array_index(next->slots, bsh_slot_t, i);
		guint at = (guint)(bsh_cell_target(next, slot->target) -
				   (bsh_cell_target_t *)next->targets->data);
		bsh_placement_candidate_t *candidate = &g_array_index(
			snapshot->candidates, bsh_placement_candidate_t, at);
		g_autofree char *key =
			g_strconcat(slot->model, "\n", slot->target, NULL);
		bsh_victim_t victim;

		if (slot->state == BSH_SLOT_UNLOADING)
			g_array_index(snapshot->freeing, uint32_t, at) +=
				slot->memory_mib;
		if (!slot_is_active(slot))
			continue;
		victim = make_victim(l, next, slot);
		victim.is_base_in_use = g_hash_table_contains(bases, key);
		if (victim.running == 0 && !victim.is_waiting &&
		    !victim.is_base_in_use)
			candidate->evictable_mib += slot->memory_mib;
		else if (victim.is_waiting)
			candidate->loading++;
		g_array_append_val(snapshot->victims, victim);
	}
	for (guint i = 0; i < snapshot->candidates->len; i++)
		g_array_index(snapshot->candidates, bsh_placement_candidate_t,
			      i)
			.evictable_mib +=
			g_array_index(snapshot->freeing, uint32_t, i);
	g_hash_table_destroy(bases);
}

static void snapshot_finish(snapshot_t *snapshot)
{
	g_array_free(snapshot->candidates, TRUE);
	g_array_free(snapshot->freeing, TRUE);
	g_array_free(snapshot->victims, TRUE);
	bsh_cell_finish(&snapshot->cell);
}

/* First index of the model that may be bound in this cell; false if none. */
static bool free_index(const cell_t *c, const bsh_cell_t *next,
		       const model_t *m, uint32_t *index)
{
	guint records;

	/* When max_replicas has been lowered, the slots above it count until
	 * their unload is confirmed. */
	bsh_cell_slots(next, m->name, &records);
	if (records >= m->max_replicas)
		return false;
	for (uint32_t i = 0; i < m->max_replicas; i++) {
		if (bsh_cell_of_slot(m->name, i, c->pool->cells) == c->number &&
		    bsh_cell_slot(next, m->name, i) == NULL) {
			*index = i;
			return true;
		}
	}
	return false;
}

static uint32_t count_active(const bsh_cell_t *next, const model_t *m)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < m->max_replicas; i++) {
		const bsh_slot_t *slot = bsh_cell_slot(next, m->name, i);

		if (slot != NULL && slot_is_active(slot))
			count++;
	}
	return count;
}

/* Active slots of the model in all cells owned by this process.  Updates in
 * flight are included, so that two cells do not both bind for one demand. */
static uint32_t count_active_owned(const bsh_loader_t *l, const cell_t *c,
				   const bsh_cell_t *next, const model_t *m)
{
	uint32_t count = count_active(next, m);

	for (uint32_t n = 0; n < m->pool->cells; n++) {
		char name[BSH_CELL_NAME_SIZE];
		const cell_t *other;

		if (n == c->number)
			continue;
		bsh_cell_name(m->pool->name, n, m->pool->cells, name);
		other = loader_cell(l, name);
		if (other != NULL && loader_owns(l, other))
			count += count_active(other->io == IO_UPDATE
						      ? &other->next
						      : &other->stored,
					      m);
	}
	return count;
}

/* Reserves memory of a candidate; false if there is too little. */
static bool reserve_memory(bsh_placement_candidate_t *k, uint32_t need_mib)
{
	uint32_t from_free = MIN(k->free_mib, need_mib);

	if (need_mib - from_free > k->evictable_mib)
		return false;
	k->free_mib -= from_free;
	k->evictable_mib -= need_mib - from_free;
	return true;
}

/* Completes the candidates for one model.  A target without the base of an
 * adapter needs memory for the base too. */
static void adapt_candidates(const bsh_loader_t *l, const cell_t *c,
			     const bsh_cell_t *next, const model_t *m,
			     bool may_evict, snapshot_t *snapshot)
{
	const model_t *base = loader_model(l, m->base);
	uint32_t index;
	bool may_bind_base = base != NULL && free_index(c, next, base, &index);

	for (guint i = 0; i < snapshot->candidates->len; i++) {
		bsh_placement_candidate_t *k = &g_array_index(
			snapshot->candidates, bsh_placement_candidate_t, i);
		target_t *t = loader_target(l, k->name);
		const int64_t *excluded_until_us;
		const bsh_slot_t *on;

		if (t == NULL)
			continue;
		excluded_until_us =
			g_hash_table_lookup(t->excluded_until, m->name);
		k->copy = target_copy(t, m->name);
		k->has_model =
			bsh_cell_slot_on(next, m->name, k->name) != NULL ||
			(excluded_until_us != NULL &&
			 l->now_us < *excluded_until_us);
		if (!may_evict)
			k->evictable_mib = 0;
		if (m->base[0] == '\0')
			continue;
		on = bsh_cell_slot_on(next, m->base, k->name);
		k->has_base = on != NULL && slot_is_active(on);
		if (k->has_base)
			continue;
		k->has_model |= on != NULL || !may_bind_base ||
				!reserve_memory(k, base->memory_mib);
	}
}

static bool bind_slot(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		      const model_t *m, const char *target, const char *reason)
{
	bsh_attempt_id_t attempt = loader_new_attempt(l);
	uint32_t index;

	if (!free_index(c, next, m, &index) ||
	    bsh_cell_bind(next, m->name, index, target, m->memory_mib,
			  &l->config.self, &attempt) != BSH_OK)
		return false;
	loader_get_binding(l, &attempt)->is_bound_here = true;
	loader_event(l, "bind", c, bsh_cell_slot(next, m->name, index), reason);
	return true;
}

/* Unloads victims on the target; false if too little memory can be freed. */
static bool evict(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		  const model_t *m, const char *target, uint32_t need_mib,
		  const snapshot_t *snapshot)
{
	const bsh_victim_t *victims =
		(const bsh_victim_t *)snapshot->victims->data;
	g_autofree bool *chosen = g_new0(bool, snapshot->victims->len + 1);
	char reason[BSH_PLACEMENT_REASON_SIZE];

	if (bsh_placement_choose_victims(
		    &l->placement, target, need_mib, m->priority, victims,
		    snapshot->victims->len, l->now_us, loader_wall_us(l),
		    chosen, reason) == 0)
		return false;
	for (guint i = 0; i < snapshot->victims->len; i++) {
		bsh_slot_t *slot;

		if (!chosen[i])
			continue;
		slot = bsh_cell_slot(next, victims[i].model, victims[i].index);
		l->counts.evictions++;
		slot_start_unload(l, c, next, slot, reason);
	}
	return true;
}

/* Binds m and, for an adapter, its base on the chosen target if they fit;
 * otherwise evicts.  True if next was changed. */
static bool bind_or_evict(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			  model_t *m, const bsh_choice_t *choice,
			  const snapshot_t *snapshot)
{
	const bsh_placement_candidate_t *on = &g_array_index(
		snapshot->candidates, bsh_placement_candidate_t, choice->index);
	uint32_t freeing_mib =
		g_array_index(snapshot->freeing, uint32_t, choice->index);
	const model_t *base = loader_model(l, m->base);
	uint64_t need_mib = m->memory_mib;
	uint64_t free_mib = bsh_cell_free_mib(&snapshot->cell, on->name);
	uint64_t strays_mib =
		stray_mib(&snapshot->cell, loader_target(l, on->name));
	bool changed = false;

	free_mib = free_mib > strays_mib ? free_mib - strays_mib : 0;
	if (base != NULL && !on->has_base)
		need_mib += base->memory_mib;
	if (free_mib + freeing_mib < need_mib)
		changed = evict(l, c, next, m, on->name,
				(uint32_t)(need_mib - free_mib - freeing_mib),
				snapshot);
	if (bsh_cell_free_mib(next, on->name) < need_mib + strays_mib)
		return changed; /* wait until the unloads are confirmed */
	if (base != NULL && !on->has_base &&
	    !bind_slot(l, c, next, base, on->name, "base of a waiting adapter"))
		return changed;
	return bind_slot(l, c, next, m, on->name, choice->reason) || changed;
}

/* Chooses a target for one more slot of m and binds it there, or evicts for it.
 * True if next was changed. */
static bool place_model(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			model_t *m, bool may_evict)
{
	bsh_choice_t choice;
	uint32_t index;
	snapshot_t snapshot;
	bool changed = false;

	if (!free_index(c, next, m, &index))
		return false;
	snapshot_init(l, next, &snapshot);
	adapt_candidates(l, c, next, m, may_evict, &snapshot);
	bsh_placement_choose_target(
		&l->placement, m->name, m->zone,
		(const bsh_placement_candidate_t *)snapshot.candidates->data,
		snapshot.candidates->len, &choice);
	m->is_unplaceable = choice.index == SIZE_MAX;
	if (!m->is_unplaceable)
		changed = bind_or_evict(l, c, next, m, &choice, &snapshot);
	snapshot_finish(&snapshot);
	return changed;
}

/* Earliest deadline of the model's demands; *priority is set to the lower one
 * of that demand and the model (a higher number is a lower priority). */
static int64_t earliest_deadline_us(const bsh_loader_t *l, const model_t *m,
				    uint8_t *priority)
{
	int64_t first_us = NEVER_US;
	GHashTableIter iter;
	gpointer value;

	*priority = m->priority;
	if (m->waiting == 0)
		return first_us;
	g_hash_table_iter_init(&iter, l->demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const demand_t *d = value;

		if (strcmp(d->model, m->name) != 0)
			continue;
		if (d->deadline_us < first_us) {
			first_us = d->deadline_us;
			*priority = MAX(d->priority, m->priority);
		}
	}
	return first_us;
}

/* Fastest copy of the model on a target of the cell. */
static bsh_copy_t best_copy(const bsh_loader_t *l, const cell_t *c,
			    const char *model)
{
	bsh_copy_t best = BSH_COPY_REMOTE;

	for (guint i = 0; i < c->stored.targets->len; i++) {
		const target_t *t =
			loader_target(l, g_array_index(c->stored.targets,
						       bsh_cell_target_t, i)
						 .name);

		if (t != NULL && !t->is_gone)
			best = MIN(best, target_copy(t, model));
	}
	return best;
}

/* Queued models of the pool (NULL: of all pools), in load order. */
static GArray *queue_in_order(const bsh_loader_t *l, const pool_t *pool)
{
	GArray *list =
		g_array_new(FALSE, TRUE, sizeof(bsh_placement_waiting_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, l->queued_models);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const model_t *m = loader_model(l, key);
		bsh_placement_waiting_t waiting = { .model = key };

		if (m == NULL || (pool != NULL && m->pool != pool))
			continue;
		waiting.deadline_us =
			earliest_deadline_us(l, m, &waiting.priority);
		waiting.load_us = bsh_placement_load_us(&l->placement, m->name,
							BSH_COPY_REMOTE);
		waiting.waiting = m->waiting;
		g_array_append_val(list, waiting);
	}
	bsh_placement_sort_waiting((bsh_placement_waiting_t *)list->data,
				   list->len, l->now_us);
	return list;
}

static bool bind_queued(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GArray *list = queue_in_order(l, c->pool);
	bool changed = false;

	for (guint i = 0; i < list->len; i++) {
		const bsh_placement_waiting_t *w =
			&g_array_index(list, bsh_placement_waiting_t, i);
		model_t *m = loader_model(l, w->model);

		if (l->now_us < m->retry_us ||
		    count_active_owned(l, c, next, m) >= m->replicas)
			continue;
		changed |= place_model(l, c, next, m, w->waiting > 0);
	}
	g_array_free(list, TRUE);
	return changed;
}

/*
 * Part of the target's memory that an idle slot occupies, and the time of its
 * reload.  An adapter also accounts for its base, unless the base is in use.
 */
static void reload_cost(const bsh_loader_t *l, const bsh_cell_t *next,
			const bsh_slot_t *slot, const model_t *m, double *share,
			int64_t *load_us)
{
	const model_t *base = loader_model(l, m->base);
	const target_t *t = loader_target(l, slot->target);
	const bsh_slot_t *base_slot;

	*share = memory_share(next, slot);
	*load_us = bsh_placement_load_us(&l->placement, m->name,
					 target_copy(t, m->name));
	if (base == NULL || is_in_use(l, base))
		return;
	base_slot = bsh_cell_slot_on(next, base->name, slot->target);
	if (base_slot == NULL)
		return;
	*share += memory_share(next, base_slot);
	*load_us += bsh_placement_load_us(&l->placement, base->name,
					  target_copy(t, base->name));
}

/* Unloads idle slots whose expected benefit does not justify their memory. */
static bool unload_idle(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	snapshot_t snapshot;
	bool changed = false;

	snapshot_init(l, next, &snapshot);
	for (guint i = 0; i < snapshot.victims->len; i++) {
		const bsh_victim_t *v =
			&g_array_index(snapshot.victims, bsh_victim_t, i);
		bsh_slot_t *slot = bsh_cell_slot(next, v->model, v->index);
		const model_t *m = loader_model(l, v->model);
		char reason[BSH_PLACEMENT_REASON_SIZE];
		binding_t *b;
		int64_t keep_us;
		int64_t load_us;
		double share;

		if (slot == NULL || m == NULL || v->running > 0 ||
		    v->is_waiting || v->is_base_in_use || m->is_prefetch ||
		    l->now_us < m->retries_expected_until_us ||
		    !slot_is_ready(l, slot))
			continue;
		b = loader_get_binding(l, &slot->attempt);
		if (l->now_us < b->keep_until_us)
			continue;
		reload_cost(l, next, slot, m, &share, &load_us);
		keep_us = bsh_placement_keep_alive_us(
			&l->placement, m->name, share, load_us, l->now_us,
			loader_wall_us(l), reason);
		if (keep_us > 0 && count_active(next, m) <= m->replicas) {
			b->keep_until_us =
				l->now_us + MIN(keep_us, KEEP_RECHECK_MAX_US);
			continue;
		}
		slot_start_unload(l, c, next, slot, reason);
		changed = true;
	}
	snapshot_finish(&snapshot);
	return changed;
}

/* Whether the model needs and may have one more replica: it is in use and all
 * of its ready targets are saturated. */
static bool needs_replica(const bsh_loader_t *l, const cell_t *c,
			  const model_t *m)
{
	uint32_t ready = 0;

	if (!is_in_use(l, m))
		return false;
	for (uint32_t i = 0; i < m->max_replicas; i++) {
		const bsh_slot_t *slot = bsh_cell_slot(&c->stored, m->name, i);
		const target_t *t;

		if (slot == NULL || !slot_is_ready(l, slot))
			continue;
		ready++;
		t = loader_target(l, slot->target);
		if ((uint64_t)t->running * PERMILLE <
		    (uint64_t)c->pool->max_running * SATURATION_PERMILLE)
			return false;
	}
	return ready > 0 && ready >= m->replicas && ready < m->max_replicas;
}

/* Decides on prefetches and the number of replicas of the pool's models. */
static void review_models(bsh_loader_t *l, cell_t *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		model_t *m = value;
		uint32_t active = count_active(&c->stored, m);

		if (m->pool != c->pool)
			continue;
		/* A prefetch without a suitable target is decided anew. */
		if (m->waiting == 0 && active == 0 &&
		    l->now_us >= m->retries_expected_until_us)
			m->is_prefetch = false;
		if (m->waiting == 0 && !m->is_prefetch)
			g_hash_table_remove(l->queued_models, m->name);
		if (needs_replica(l, c, m)) {
			m->replicas = active + 1;
			place_queue_load(l, m);
			continue;
		}
		if (!is_in_use(l, m))
			m->replicas = 1;
		if (m->waiting > 0 || m->is_prefetch || active > 0 ||
		    m->failures > 0 || is_in_use(l, m) ||
		    !bsh_placement_prefetch(
			    &l->placement, m->name,
			    c->pool->memory_mib == 0
				    ? 1
				    : (double)m->memory_mib /
					      c->pool->memory_mib,
			    bsh_placement_load_us(&l->placement, m->name,
						  best_copy(l, c, m->name)),
			    l->now_us, loader_wall_us(l), m->prefetch_reason))
			continue;
		m->is_prefetch = true;
		l->counts.prefetches++;
		place_queue_load(l, m);
	}
}

typedef struct {
	model_t *model;
	double chance; /* of use within STANDBY_HORIZON_US */
} standby_candidate_t;

static gint by_chance(gconstpointer a, gconstpointer b)
{
	const standby_candidate_t *x = a;
	const standby_candidate_t *y = b;

	if (x->chance != y->chance)
		return x->chance > y->chance ? -1 : 1;
	return strcmp(x->model->name, y->model->name);
}

/* Binds free memory as standby slots for the models most likely to be used, so
 * that they can be loaded without a store update, also while the store is
 * unavailable. */
static bool bind_standby(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(standby_candidate_t));
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, l->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		standby_candidate_t s = { .model = value };

		if (s.model->pool != c->pool || count_active(next, s.model) > 0)
			continue;
		s.chance = bsh_placement_wake_probability(
			&l->placement, s.model->name, STANDBY_HORIZON_US,
			l->now_us, loader_wall_us(l));
		if (s.chance >= STANDBY_CHANCE_MIN)
			g_array_append_val(list, s);
	}
	g_array_sort(list, by_chance);
	for (guint i = 0; i < list->len && i < STANDBY_MAX; i++)
		changed |= place_model(
			l, c, next,
			g_array_index(list, standby_candidate_t, i).model,
			false);
	g_array_free(list, TRUE);
	return changed;
}

bool place_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	bool may_bind = l->is_config_fresh &&
			next->generation <= l->generation &&
			next->cells == c->pool->cells;
	bool changed = false;

	if (l->now_us >= c->next_idle_check_us) {
		c->next_idle_check_us = l->now_us + IDLE_CHECK_INTERVAL_US;
		changed |= unload_idle(l, c, next);
	}
	if (l->now_us >= c->next_review_us) {
		c->next_review_us = l->now_us + REVIEW_INTERVAL_US;
		review_models(l, c);
	}
	if (!may_bind)
		return changed;
	if (g_hash_table_size(l->queued_models) > 0)
		changed |= bind_queued(l, c, next);
	if (l->now_us >= c->next_standby_us) {
		c->next_standby_us = l->now_us + STANDBY_INTERVAL_US;
		changed |= bind_standby(l, c, next);
	}
	return changed;
}

/* Whether the slot may be loaded within max_replicas.  All other slots that may
 * be loaded count, also those above a max_replicas that was lowered. */
static bool is_within_replicas(const bsh_loader_t *l, const cell_t *c,
			       const bsh_slot_t *slot)
{
	const model_t *m = loader_model(l, slot->model);
	uint32_t others = 0;
	guint count;
	const bsh_slot_t *first =
		bsh_cell_slots(&c->stored, slot->model, &count);

	for (guint i = 0; i < count; i++) {
		if (&first[i] != slot &&
		    !slot_is_never_ordered(l, &c->stored, &first[i]))
			others++;
	}
	return m != NULL && others + 1 <= m->max_replicas;
}

static bool may_send_load(const bsh_loader_t *l, const cell_t *c,
			  const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	const target_t *t = loader_target(l, slot->target);

	if (!slot_is_active(slot) ||
	    !bsh_cell_is_sender(&c->stored, slot, &l->config.self) ||
	    t == NULL || t->is_gone ||
	    t->incarnation != slot->target_incarnation ||
	    target_is_leaving(t) || slot_loaded_model(l, slot) != NULL ||
	    !is_within_replicas(l, c, slot))
		return false;
	return b == NULL || (!b->is_failed && b->pending_loads == 0 &&
			     b->load_sent_us < 0 && l->now_us >= b->retry_us);
}

uint32_t place_store_loads(const bsh_loader_t *l)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->bindings);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const binding_t *)value)->is_store_load ? 1 : 0;
	return count;
}

typedef struct {
	cell_t *cell;		/* of best; else the first owned, or NULL */
	const bsh_slot_t *best; /* bound slot to load next, or NULL */
	bsh_copy_t copy;	/* of best */
	uint32_t started;	/* ready or loading */
	int64_t expected_us;	/* readiness of the first that loads, or -1 */
} load_progress_t;

/* Loads of the model over all cells owned by this process. */
static load_progress_t load_progress(const bsh_loader_t *l, const model_t *m)
{
	load_progress_t p = { .expected_us = -1 };

	for (uint32_t i = 0; i < m->max_replicas; i++) {
		char name[BSH_CELL_NAME_SIZE];
		const bsh_slot_t *slot;
		const binding_t *b;
		bsh_copy_t copy;
		cell_t *c;

		bsh_cell_name(m->pool->name,
			      bsh_cell_of_slot(m->name, i, m->pool->cells),
			      m->pool->cells, name);
		c = loader_cell(l, name);
		if (c == NULL || !loader_owns(l, c))
			continue;
		if (p.cell == NULL)
			p.cell = c;
		slot = bsh_cell_slot(&c->stored, m->name, i);
		if (slot == NULL || !slot_is_active(slot))
			continue;
		b = loader_find_binding(l, &slot->attempt);
		if (is_loading_or_loaded(l, slot)) {
			p.started++;
			if (b != NULL && b->load_sent_us >= 0 &&
			    p.expected_us < 0)
				p.expected_us =
					b->load_sent_us +
					bsh_placement_load_us(&l->placement,
							      m->name, b->copy);
			continue;
		}
		if (!may_send_load(l, c, slot))
			continue;
		copy = target_copy(loader_target(l, slot->target), m->name);
		if (p.best == NULL || copy < p.copy) {
			p.best = slot;
			p.copy = copy;
			p.cell = c;
		}
	}
	return p;
}

/* The slot of the adapter's base if the base must be loaded first, or NULL. */
static const bsh_slot_t *missing_base(const bsh_loader_t *l, const cell_t *c,
				      const model_t *m, const bsh_slot_t *slot)
{
	const bsh_slot_t *base;

	if (m->base[0] == '\0')
		return NULL;
	base = bsh_cell_slot_on(&c->stored, m->base, slot->target);
	return base == NULL || slot_is_ready(l, base) ? NULL : base;
}

typedef struct {
	uint32_t ahead;	  /* remote loads before this one in the queue */
	uint32_t running; /* remote loads in progress */
} load_queue_t;

/* Sends a load order; a load from the weight store waits for those before it
 * in the queue and for the store's rate. */
static bool send_if_allowed(bsh_loader_t *l, load_queue_t *queue, cell_t *c,
			    const bsh_slot_t *slot, const char *reason)
{
	bsh_copy_t copy =
		target_copy(loader_target(l, slot->target), slot->model);

	if (!may_send_load(l, c, slot))
		return false;
	if (copy == BSH_COPY_REMOTE) {
		if (queue->ahead > 0 ||
		    !bsh_placement_take_token(&l->placement, queue->running,
					      l->now_us)) {
			queue->ahead++;
			return false;
		}
		queue->running++;
	}
	slot_send_load(l, c, slot, copy, reason);
	return true;
}

/* Estimates when the model will be ready and sends its next load order. */
static void dispatch_model(bsh_loader_t *l, load_queue_t *queue, model_t *m)
{
	const char *reason =
		m->waiting > 0 ? "requests are waiting" : m->prefetch_reason;
	load_progress_t p = load_progress(l, m);
	const bsh_slot_t *base;
	bsh_copy_t copy;

	m->ready_estimate_us = -1;
	if (p.cell == NULL)
		return;
	if (p.started > 0) {
		m->ready_estimate_us = p.expected_us;
		if (p.started >= m->replicas)
			return;
	}
	copy = p.best != NULL ? p.copy : best_copy(l, p.cell, m->name);
	if (m->ready_estimate_us < 0) {
		m->ready_estimate_us =
			l->now_us + (p.best != NULL ? 0 : BIND_ESTIMATE_US) +
			(copy == BSH_COPY_REMOTE
				 ? bsh_placement_estimate_us(
					   &l->placement, queue->ahead,
					   queue->running,
					   bsh_placement_load_us(&l->placement,
								 m->name, copy),
					   l->now_us)
				 : bsh_placement_load_us(&l->placement, m->name,
							 copy));
	}
	if (p.best == NULL) {
		if (copy == BSH_COPY_REMOTE && p.started == 0)
			queue->ahead++;
		return;
	}
	base = missing_base(l, p.cell, m, p.best);
	if (base != NULL) {
		m->ready_estimate_us += bsh_placement_load_us(
			&l->placement, base->model,
			target_copy(loader_target(l, base->target),
				    base->model));
		send_if_allowed(l, queue, p.cell, base, "base of an adapter");
		return;
	}
	send_if_allowed(l, queue, p.cell, p.best, reason);
}

void place_send_loads(bsh_loader_t *l)
{
	load_queue_t queue = { 0 };
	GArray *list;

	if (g_hash_table_size(l->queued_models) == 0)
		return;
	queue.running = place_store_loads(l);
	list = queue_in_order(l, NULL);
	for (guint i = 0; i < list->len; i++)
		dispatch_model(
			l, &queue,
			loader_model(
				l,
				g_array_index(list, bsh_placement_waiting_t, i)
					.model));
	g_array_free(list, TRUE);
}
