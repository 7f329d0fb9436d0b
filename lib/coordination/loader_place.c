#include <math.h>
#include <string.h>

#include "coordination/loader_private.h"

#define HOUSE_US	(5 * US_PER_S)
#define REVIEW_US	(15 * US_PER_S)
#define STANDBY_US	(60 * US_PER_S)
#define STANDBY_MAX	64 /* new standby bindings per round */
#define STANDBY_WAKE_US (3600 * US_PER_S)
#define STANDBY_CHANCE	0.01
#define KEEP_CHECK_US	(60 * US_PER_S)
#define KEEP_MIN_US	(5 * US_PER_S) /* reports of use lag */
#define BIND_US		(50 * US_PER_MS)
#define EVICT_US	(1 * US_PER_S)
#define SCALE_PERMILLE	800 /* of max_running on every target */
#define PERMILLE	1000

/* The cell as it was when a choice began; names point into it. */
typedef struct {
	bsh_cell_t cell;
	GArray *candidates; /* bsh_candidate_t, by target of the cell */
	GArray *freeing;    /* uint32_t, memory being unloaded per target */
	GArray *victims;    /* bsh_victim_t */
} room_t;

/* This owner's share of the weight store's rate, by cells owned. */
void place_limits(bsh_loader_t *l)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t all = 0;
	uint32_t owned = 0;
	double part;

	g_hash_table_iter_init(&iter, l->cells);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		all++;
		if (loader_owns(l, value))
			owned++;
	}
	part = all == 0 || owned == 0 ? 1 : (double)owned / all;
	l->placement.limits.loads_per_s = l->loads_per_s * part;
	l->placement.limits.concurrent =
		MAX((uint32_t)lround(l->concurrent * part), 1);
}

void place_want(bsh_loader_t *l, model_t *m)
{
	if (!g_hash_table_contains(l->wanted, m->name))
		g_hash_table_add(l->wanted, g_strdup(m->name));
}

static bool is_in_use(const bsh_loader_t *l, const model_t *m)
{
	return l->now_us < m->in_use_until_us;
}

static double share_of(const bsh_cell_t *cell, const bsh_slot_t *slot)
{
	const bsh_cell_target_t *on = bsh_cell_target(cell, slot->target);

	if (on == NULL || on->memory_mib == 0)
		return 1;
	return (double)slot->memory_mib / on->memory_mib;
}

/* Memory in use on the target that no slot accounts for. */
static uint32_t stray_mib(const bsh_cell_t *cell, const target_t *t)
{
	uint64_t known = 0;
	GHashTableIter iter;
	gpointer key;

	if (t->status_us < 0 || t->status_incarnation != t->incarnation)
		return 0;
	g_hash_table_iter_init(&iter, t->loaded);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const bsh_slot_t *slot = bsh_cell_slot_on(cell, key, t->name);

		if (slot != NULL)
			known += slot->memory_mib;
	}
	return t->used_mib > known ? (uint32_t)(t->used_mib - known) : 0;
}

static void add_candidate(const bsh_loader_t *l, const bsh_cell_t *next,
			  const bsh_cell_target_t *on, room_t *room)
{
	const target_t *t = loader_target(l, on->name);
	uint32_t free_mib = on->memory_mib - on->reserved_mib;
	bsh_candidate_t candidate = { .name = on->name, .zone = "" };
	uint32_t none = 0;

	if (t != NULL) {
		uint32_t strays = stray_mib(next, t);

		candidate.zone = t->zone;
		candidate.running = t->running;
		candidate.free_mib = free_mib > strays ? free_mib - strays : 0;
	}
	candidate.memory_mib = on->memory_mib;
	candidate.excluded = t == NULL || t->is_gone || !t->is_listed ||
			     t->incarnation != on->incarnation ||
			     target_is_leaving(t);
	g_array_append_val(room->candidates, candidate);
	g_array_append_val(room->freeing, none);
}

static bsh_victim_t victim_of(const bsh_loader_t *l, const bsh_cell_t *next,
			      const bsh_slot_t *slot)
{
	const model_t *m = loader_model(l, slot->model);
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	bsh_victim_t victim = { .model = slot->model,
				.index = slot->index,
				.target = slot->target,
				.memory_mib = slot->memory_mib };

	victim.is_idle_binding = slot_is_idle_binding(l, next, slot);
	if (m == NULL)
		return victim;
	victim.running = is_in_use(l, m) ? 1 : 0;
	victim.is_waiting = m->waiting > 0 || (b != NULL && b->pending > 0) ||
			    (b != NULL && b->ready_us >= 0 &&
			     l->now_us - b->ready_us < KEEP_MIN_US);
	return victim;
}

static bool is_loading(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return slot_is_active(slot) &&
	       ((b != NULL && !b->is_failed && b->load_us >= 0) ||
		slot_loaded(l, slot) != NULL);
}

/* Targets and possible victims of the cell as the new value has them. */
static void room_init(const bsh_loader_t *l, const bsh_cell_t *from,
		      room_t *room)
{
	const bsh_cell_t *next = &room->cell;
	GHashTable *bases =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	bsh_cell_init(&room->cell, from->name, from->cells);
	bsh_cell_copy(&room->cell, from);
	room->candidates = g_array_new(FALSE, TRUE, sizeof(bsh_candidate_t));
	room->freeing = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	room->victims = g_array_new(FALSE, TRUE, sizeof(bsh_victim_t));
	for (guint i = 0; i < next->targets->len; i++)
		add_candidate(
			l, next,
			&g_array_index(next->targets, bsh_cell_target_t, i),
			room);
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
		bsh_candidate_t *candidate =
			&g_array_index(room->candidates, bsh_candidate_t, at);
		g_autofree char *key =
			g_strconcat(slot->model, "\n", slot->target, NULL);
		bsh_victim_t victim;

		if (slot->state == BSH_SLOT_UNLOADING)
			g_array_index(room->freeing, uint32_t, at) +=
				slot->memory_mib;
		if (!slot_is_active(slot))
			continue;
		victim = victim_of(l, next, slot);
		victim.is_base_in_use = g_hash_table_contains(bases, key);
		if (victim.running == 0 && !victim.is_waiting &&
		    !victim.is_base_in_use)
			candidate->evictable_mib += slot->memory_mib;
		else if (victim.is_waiting)
			candidate->loading++;
		g_array_append_val(room->victims, victim);
	}
	for (guint i = 0; i < room->candidates->len; i++)
		g_array_index(room->candidates, bsh_candidate_t, i)
			.evictable_mib +=
			g_array_index(room->freeing, uint32_t, i);
	g_hash_table_destroy(bases);
}

static void room_finish(room_t *room)
{
	g_array_free(room->candidates, TRUE);
	g_array_free(room->freeing, TRUE);
	g_array_free(room->victims, TRUE);
	bsh_cell_finish(&room->cell);
}

/* First index of the model that this cell may bind; false if none. */
static bool free_index(const cell_t *c, const bsh_cell_t *next,
		       const model_t *m, uint32_t *index)
{
	guint records;

	/* Slots above a lowered maximum count until they are confirmed gone. */
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

/* Active slots of the model in all cells owned here.  A proposal in flight
 * counts, so that two cells do not both bind for one demand. */
static uint32_t count_everywhere(const bsh_loader_t *l, const cell_t *c,
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
						      : &other->seen,
					      m);
	}
	return count;
}

/* Sets memory of a candidate aside; false if there is too little. */
static bool reserve(bsh_candidate_t *k, uint32_t need_mib)
{
	uint32_t from_free = MIN(k->free_mib, need_mib);

	if (need_mib - from_free > k->evictable_mib)
		return false;
	k->free_mib -= from_free;
	k->evictable_mib -= need_mib - from_free;
	return true;
}

/* Candidates as seen by one model.  The base of an adapter must be bound on
 * the same target as well. */
static void fit(const bsh_loader_t *l, const cell_t *c, const bsh_cell_t *next,
		const model_t *m, bool may_evict, room_t *room)
{
	const model_t *base = loader_model(l, m->base);
	uint32_t index;
	bool may_base = base != NULL && free_index(c, next, base, &index);

	for (guint i = 0; i < room->candidates->len; i++) {
		bsh_candidate_t *k =
			&g_array_index(room->candidates, bsh_candidate_t, i);
		target_t *t = loader_target(l, k->name);
		const int64_t *failed;
		const bsh_slot_t *on;

		if (t == NULL)
			continue;
		failed = g_hash_table_lookup(t->failed, m->name);
		k->copy = target_copy(t, m->name);
		k->has_model =
			bsh_cell_slot_on(next, m->name, k->name) != NULL ||
			(failed != NULL && l->now_us < *failed);
		if (!may_evict)
			k->evictable_mib = 0;
		if (m->base[0] == '\0')
			continue;
		on = bsh_cell_slot_on(next, m->base, k->name);
		k->has_base = on != NULL && slot_is_active(on);
		if (k->has_base)
			continue;
		k->has_model |= on != NULL || !may_base ||
				!reserve(k, base->memory_mib);
	}
}

static bool bind_slot(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		      const model_t *m, const char *target, const char *reason)
{
	bsh_attempt_id_t attempt = loader_attempt(l);
	uint32_t index;

	if (!free_index(c, next, m, &index) ||
	    bsh_cell_bind(next, m->name, index, target, m->memory_mib,
			  &l->config.self, &attempt) != BSH_OK)
		return false;
	loader_binding(l, &attempt)->is_own = true;
	loader_event(l, "bind", c, bsh_cell_slot(next, m->name, index), reason);
	return true;
}

/* Unloads victims on the target; false when they free too little. */
static bool evict(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		  const model_t *m, const char *target, uint32_t need_mib,
		  const room_t *room)
{
	const bsh_victim_t *victims = (const bsh_victim_t *)room->victims->data;
	g_autofree bool *chosen = g_new0(bool, room->victims->len + 1);
	char reason[BSH_PLACEMENT_REASON_SIZE];

	if (bsh_placement_choose_victims(&l->placement, target, need_mib, m->priority,
				victims, room->victims->len, l->now_us,
				loader_wall_us(l), chosen, reason) == 0)
		return false;
	for (guint i = 0; i < room->victims->len; i++) {
		bsh_slot_t *slot;

		if (!chosen[i])
			continue;
		slot = bsh_cell_slot(next, victims[i].model, victims[i].index);
		l->counts.evictions++;
		slot_start_unload(l, c, next, slot, reason);
	}
	return true;
}

/* Binds m and, for an adapter, its base on the chosen target if there is
 * room; otherwise makes room.  True when next was changed. */
static bool settle_choice(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			  model_t *m, const bsh_choice_t *choice,
			  const room_t *room)
{
	const bsh_candidate_t *on = &g_array_index(
		room->candidates, bsh_candidate_t, choice->index);
	uint32_t freeing =
		g_array_index(room->freeing, uint32_t, choice->index);
	const model_t *base = loader_model(l, m->base);
	uint64_t need = m->memory_mib;
	uint64_t free_mib = bsh_cell_free_mib(&room->cell, on->name);
	uint64_t strays = stray_mib(&room->cell, loader_target(l, on->name));
	bool changed = false;

	free_mib = free_mib > strays ? free_mib - strays : 0;
	if (base != NULL && !on->has_base)
		need += base->memory_mib;
	if (free_mib + freeing < need)
		changed = evict(l, c, next, m, on->name,
				(uint32_t)(need - free_mib - freeing), room);
	if (bsh_cell_free_mib(next, on->name) < need + strays)
		return changed; /* until the unloads are confirmed */
	if (base != NULL && !on->has_base &&
	    !bind_slot(l, c, next, base, on->name, "base of a waiting adapter"))
		return changed;
	return bind_slot(l, c, next, m, on->name, choice->reason) || changed;
}

static bool bind_model(bsh_loader_t *l, cell_t *c, bsh_cell_t *next, model_t *m,
		       bool may_evict)
{
	bsh_choice_t choice;
	uint32_t index;
	room_t room;
	bool changed = false;

	if (!free_index(c, next, m, &index))
		return false;
	room_init(l, next, &room);
	fit(l, c, next, m, may_evict, &room);
	bsh_placement_choose_target(&l->placement, m->name, m->zone,
			     (const bsh_candidate_t *)room.candidates->data,
			     room.candidates->len, &choice);
	m->has_no_room = choice.index == SIZE_MAX;
	if (!m->has_no_room)
		changed = settle_choice(l, c, next, m, &choice, &room);
	room_finish(&room);
	return changed;
}

static int64_t first_deadline_us(const bsh_loader_t *l, const model_t *m,
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

/* Copy of the model that its load is expected to use. */
static bsh_copy_t best_copy(const bsh_loader_t *l, const cell_t *c,
			    const char *model)
{
	bsh_copy_t best = BSH_COPY_REMOTE;

	for (guint i = 0; i < c->seen.targets->len; i++) {
		const target_t *t = loader_target(
			l, g_array_index(c->seen.targets, bsh_cell_target_t, i)
				   .name);

		if (t != NULL && !t->is_gone)
			best = MIN(best, target_copy(t, model));
	}
	return best;
}

/* Wanted models of the pool (NULL: of all), in load order. */
static GArray *wanted(const bsh_loader_t *l, const pool_t *pool)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(bsh_waiting_t));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, l->wanted);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const model_t *m = loader_model(l, key);
		bsh_waiting_t waiting = { .model = key };

		if (m == NULL || (pool != NULL && m->pool != pool))
			continue;
		waiting.deadline_us =
			first_deadline_us(l, m, &waiting.priority);
		waiting.load_us = bsh_placement_load_us(&l->placement, m->name,
							BSH_COPY_REMOTE);
		waiting.waiting = m->waiting;
		g_array_append_val(list, waiting);
	}
	bsh_placement_sort_waiting((bsh_waiting_t *)list->data, list->len, l->now_us);
	return list;
}

static bool bind_wanted(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GArray *list = wanted(l, c->pool);
	bool changed = false;

	for (guint i = 0; i < list->len; i++) {
		const bsh_waiting_t *w = &g_array_index(list, bsh_waiting_t, i);
		model_t *m = loader_model(l, w->model);

		if (l->now_us < m->retry_us ||
		    count_everywhere(l, c, next, m) >= m->replicas)
			continue;
		changed |= bind_model(l, c, next, m, w->waiting > 0);
	}
	g_array_free(list, TRUE);
	return changed;
}

/*
 * What an idle slot occupies and what its reload would take.  A loaded
 * adapter holds its base as well, unless the base has uses of its own.
 */
static void hold_terms(const bsh_loader_t *l, const bsh_cell_t *next,
		       const bsh_slot_t *slot, const model_t *m, double *share,
		       int64_t *load_us)
{
	const model_t *base = loader_model(l, m->base);
	const target_t *t = loader_target(l, slot->target);
	const bsh_slot_t *below;

	*share = share_of(next, slot);
	*load_us = bsh_placement_load_us(&l->placement, m->name,
					 target_copy(t, m->name));
	if (base == NULL || is_in_use(l, base))
		return;
	below = bsh_cell_slot_on(next, base->name, slot->target);
	if (below == NULL)
		return;
	*share += share_of(next, below);
	*load_us += bsh_placement_load_us(&l->placement, base->name,
					  target_copy(t, base->name));
}

/* Idle loaded slots that are not worth their memory are unloaded. */
static bool unload_idle(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	room_t room;
	bool changed = false;

	room_init(l, next, &room);
	for (guint i = 0; i < room.victims->len; i++) {
		const bsh_victim_t *v =
			&g_array_index(room.victims, bsh_victim_t, i);
		bsh_slot_t *slot = bsh_cell_slot(next, v->model, v->index);
		const model_t *m = loader_model(l, v->model);
		char reason[BSH_PLACEMENT_REASON_SIZE];
		binding_t *b;
		int64_t keep_us;
		int64_t load_us;
		double share;

		if (slot == NULL || m == NULL || v->running > 0 ||
		    v->is_waiting || v->is_base_in_use || m->is_prefetch ||
		    l->now_us < m->return_us || !slot_is_ready(l, slot))
			continue;
		b = loader_binding(l, &slot->attempt);
		if (l->now_us < b->keep_until_us)
			continue;
		hold_terms(l, next, slot, m, &share, &load_us);
		keep_us = bsh_placement_keep_alive_us(&l->placement, m->name, share,
						load_us, l->now_us,
						loader_wall_us(l), reason);
		if (keep_us > 0 && count_active(next, m) <= m->replicas) {
			b->keep_until_us =
				l->now_us + MIN(keep_us, KEEP_CHECK_US);
			continue;
		}
		slot_start_unload(l, c, next, slot, reason);
		changed = true;
	}
	room_finish(&room);
	return changed;
}

/* Whether the requests running on every ready target fill it. */
static bool is_crowded(const bsh_loader_t *l, const cell_t *c, const model_t *m)
{
	uint32_t ready = 0;

	if (!is_in_use(l, m))
		return false;
	for (uint32_t i = 0; i < m->max_replicas; i++) {
		const bsh_slot_t *slot = bsh_cell_slot(&c->seen, m->name, i);
		const target_t *t;

		if (slot == NULL || !slot_is_ready(l, slot))
			continue;
		ready++;
		t = loader_target(l, slot->target);
		if ((uint64_t)t->running * PERMILLE <
		    (uint64_t)c->pool->max_running * SCALE_PERMILLE)
			return false;
	}
	return ready > 0 && ready >= m->replicas && ready < m->max_replicas;
}

/* Prefetch and number of replicas. */
static void review_models(bsh_loader_t *l, cell_t *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		model_t *m = value;
		uint32_t active = count_active(&c->seen, m);

		if (m->pool != c->pool)
			continue;
		/* What found no room is reviewed anew. */
		if (m->waiting == 0 && active == 0 && l->now_us >= m->return_us)
			m->is_prefetch = false;
		if (m->waiting == 0 && !m->is_prefetch)
			g_hash_table_remove(l->wanted, m->name);
		if (is_crowded(l, c, m)) {
			m->replicas = active + 1;
			place_want(l, m);
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
		place_want(l, m);
	}
}

typedef struct {
	model_t *model;
	double value;
} standby_t;

static gint by_value(gconstpointer a, gconstpointer b)
{
	const standby_t *x = a;
	const standby_t *y = b;

	if (x->value != y->value)
		return x->value > y->value ? -1 : 1;
	return strcmp(x->model->name, y->model->name);
}

/* Rule 9: free memory is bound for the models most likely to wake. */
static bool bind_standby(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(standby_t));
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, l->models);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		standby_t s = { .model = value };

		if (s.model->pool != c->pool || count_active(next, s.model) > 0)
			continue;
		s.value = bsh_placement_wake_probability(
			&l->placement, s.model->name, STANDBY_WAKE_US,
			l->now_us, loader_wall_us(l));
		if (s.value >= STANDBY_CHANCE)
			g_array_append_val(list, s);
	}
	g_array_sort(list, by_value);
	for (guint i = 0; i < list->len && i < STANDBY_MAX; i++)
		changed |= bind_model(l, c, next,
				      g_array_index(list, standby_t, i).model,
				      false);
	g_array_free(list, TRUE);
	return changed;
}

bool place_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	bool may_bind = l->is_fresh && next->generation <= l->generation &&
			next->cells == c->pool->cells;
	bool changed = false;

	if (l->now_us >= c->house_us) {
		c->house_us = l->now_us + HOUSE_US;
		changed |= unload_idle(l, c, next);
	}
	if (l->now_us >= c->review_us) {
		c->review_us = l->now_us + REVIEW_US;
		review_models(l, c);
	}
	if (!may_bind)
		return changed;
	if (g_hash_table_size(l->wanted) > 0)
		changed |= bind_wanted(l, c, next);
	if (l->now_us >= c->standby_us) {
		c->standby_us = l->now_us + STANDBY_US;
		changed |= bind_standby(l, c, next);
	}
	return changed;
}

/* Whether the model's other slots leave room for one more loaded replica:
 * slots above a lowered maximum may still be loaded. */
static bool is_within_replicas(const bsh_loader_t *l, const cell_t *c,
			       const bsh_slot_t *slot)
{
	const model_t *m = loader_model(l, slot->model);
	uint32_t others = 0;
	guint count;
	const bsh_slot_t *first = bsh_cell_slots(&c->seen, slot->model, &count);

	for (guint i = 0; i < count; i++) {
		if (&first[i] != slot &&
		    !slot_is_idle_binding(l, &c->seen, &first[i]))
			others++;
	}
	return m != NULL && others + 1 <= m->max_replicas;
}

static bool may_send(const bsh_loader_t *l, const cell_t *c,
		     const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	const target_t *t = loader_target(l, slot->target);

	if (!slot_is_active(slot) ||
	    !bsh_cell_is_sender(&c->seen, slot, &l->config.self) || t == NULL ||
	    t->is_gone || t->incarnation != slot->target_incarnation ||
	    target_is_leaving(t) || slot_loaded(l, slot) != NULL ||
	    !is_within_replicas(l, c, slot))
		return false;
	return b == NULL || (!b->is_failed && b->pending == 0 &&
			     b->load_us < 0 && l->now_us >= b->retry_us);
}

/* Loads started from the weight store that have not ended. */
uint32_t place_running(const bsh_loader_t *l)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->bindings);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const binding_t *)value)->is_counted ? 1 : 0;
	return count;
}

typedef struct {
	cell_t *cell;
	const bsh_slot_t *best; /* bound slot to load next */
	bsh_copy_t copy;
	uint32_t up;	     /* ready or loading */
	int64_t expected_us; /* readiness of the first that loads, or -1 */
} progress_t;

static progress_t progress(const bsh_loader_t *l, const model_t *m)
{
	progress_t p = { .expected_us = -1 };

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
		slot = bsh_cell_slot(&c->seen, m->name, i);
		if (slot == NULL || !slot_is_active(slot))
			continue;
		b = loader_find_binding(l, &slot->attempt);
		if (is_loading(l, slot)) {
			p.up++;
			if (b != NULL && b->load_us >= 0 && p.expected_us < 0)
				p.expected_us =
					b->load_us +
					bsh_placement_load_us(&l->placement,
							      m->name, b->copy);
			continue;
		}
		if (!may_send(l, c, slot))
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

/* The base's slot on the adapter's target if the base must be loaded first.
 * NULL when nothing is missing. */
static const bsh_slot_t *missing_base(const bsh_loader_t *l, const cell_t *c,
				      const model_t *m, const bsh_slot_t *slot)
{
	const bsh_slot_t *base;

	if (m->base[0] == '\0')
		return NULL;
	base = bsh_cell_slot_on(&c->seen, m->base, slot->target);
	return base == NULL || slot_is_ready(l, base) ? NULL : base;
}

typedef struct {
	uint32_t ahead;	  /* remote loads before this one in the queue */
	uint32_t running; /* remote loads in progress */
} load_queue_t;

static bool send_if_allowed(bsh_loader_t *l, load_queue_t *queue, cell_t *c,
			    const bsh_slot_t *slot, const char *reason)
{
	bsh_copy_t copy =
		target_copy(loader_target(l, slot->target), slot->model);

	if (!may_send(l, c, slot))
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

static void queue_model(bsh_loader_t *l, load_queue_t *queue, model_t *m)
{
	const char *reason =
		m->waiting > 0 ? "requests are waiting" : m->prefetch_reason;
	progress_t p = progress(l, m);
	const bsh_slot_t *base;
	bsh_copy_t copy;

	m->estimate_us = -1;
	if (p.cell == NULL)
		return;
	if (p.up > 0) {
		m->estimate_us = p.expected_us;
		if (p.up >= m->replicas)
			return;
	}
	copy = p.best != NULL ? p.copy : best_copy(l, p.cell, m->name);
	if (m->estimate_us < 0) {
		m->estimate_us =
			l->now_us + (p.best != NULL ? 0 : BIND_US) +
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
		if (copy == BSH_COPY_REMOTE && p.up == 0)
			queue->ahead++;
		return;
	}
	base = missing_base(l, p.cell, m, p.best);
	if (base != NULL) {
		m->estimate_us += bsh_placement_load_us(
			&l->placement, base->model,
			target_copy(loader_target(l, base->target),
				    base->model));
		send_if_allowed(l, queue, p.cell, base, "base of an adapter");
		return;
	}
	send_if_allowed(l, queue, p.cell, p.best, reason);
}

void place_queue(bsh_loader_t *l)
{
	load_queue_t queue = { 0 };
	GArray *list;

	if (g_hash_table_size(l->wanted) == 0)
		return;
	queue.running = place_running(l);
	list = wanted(l, NULL);
	for (guint i = 0; i < list->len; i++)
		queue_model(
			l, &queue,
			loader_model(
				l,
				g_array_index(list, bsh_waiting_t, i).model));
	g_array_free(list, TRUE);
}
