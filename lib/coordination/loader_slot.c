#include <string.h>

#include "coordination/loader_private.h"

#define ORDER_RETRY_MIN_US (500 * US_PER_MS)
#define ORDER_RETRY_MAX_US (8 * US_PER_S)
#define RETRIES_MAX	   8
/* Exclusion of a target for a model after its first failed load; the time
 * doubles with each further failure of the model. */
#define TARGET_EXCLUSION_US	       (30 * US_PER_S)
#define TARGET_EXCLUSION_DOUBLINGS_MAX 8
#define MODEL_RETRY_MIN_US	       (2 * US_PER_S)
#define MODEL_RETRY_MAX_US	       (300 * US_PER_S)
/* A load that takes this many times its estimate counts as failed. */
#define STUCK_FACTOR 20
#define STUCK_MIN_US (60 * US_PER_S)
/* Interval of repeated unload orders and of checks for strays. */
#define UNLOAD_RETRY_US (10 * US_PER_S)
/* Fences reported by targets are ignored from this value on. */
#define FENCE_MAX (UINT64_C(1) << 62)

bsh_slot_t *cell_slot(const cell_t *c, guint i)
{
	return &g_array_index(c->stored.slots, bsh_slot_t, i);
}

bool slot_is_active(const bsh_slot_t *slot)
{
	return slot->state == BSH_SLOT_BOUND ||
	       slot->state == BSH_SLOT_LOADING || slot->state == BSH_SLOT_READY;
}

bool target_is_leaving(const target_t *t)
{
	return t->leaving_incarnation >= t->incarnation &&
	       t->leaving_incarnation > 0;
}

bsh_copy_t target_copy(const target_t *t, const char *model)
{
	gpointer copy;

	if (!g_hash_table_lookup_extended(t->copies, model, NULL, &copy))
		return BSH_COPY_REMOTE;
	return (bsh_copy_t)GPOINTER_TO_INT(copy);
}

const loaded_model_t *slot_loaded_model(const bsh_loader_t *l,
					const bsh_slot_t *slot)
{
	const target_t *t = loader_target(l, slot->target);

	if (t == NULL || t->status_us < 0 ||
	    t->status_incarnation != slot->target_incarnation)
		return NULL;
	return g_hash_table_lookup(t->loaded, slot->model);
}

bool slot_is_ready(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const loaded_model_t *loaded = slot_loaded_model(l, slot);
	const model_t *m = loader_model(l, slot->model);

	return slot_is_active(slot) && loaded != NULL && m != NULL &&
	       loaded->state == BSH_SLOT_READY &&
	       strcmp(loaded->version, m->version) == 0;
}

bool slot_has_other_holders(const bsh_loader_t *l, const bsh_cell_t *cell,
			    const bsh_slot_t *slot)
{
	for (uint16_t i = 0; i < slot->holder_count; i++) {
		const bsh_sender_t *holder =
			bsh_cell_sender(cell, slot->holders[i]);

		if (!bsh_sender_equal(holder, &l->config.self) &&
		    !loader_orders_expired(l, holder))
			return true;
	}
	return false;
}

bool slot_has_open_loads(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return b != NULL &&
	       (b->pending_loads > 0 || l->now_us < b->unsettled_until_us);
}

bool slot_is_never_ordered(const bsh_loader_t *l, const bsh_cell_t *cell,
			   const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return b != NULL && b->is_bound_here && !b->is_ordered &&
	       !slot_has_open_loads(l, slot) && slot->holder_count == 1 &&
	       bsh_cell_is_holder(cell, slot, &l->config.self);
}

void slot_start_unload(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		       bsh_slot_t *slot, const char *reason)
{
	if (slot_is_never_ordered(l, next, slot)) {
		loader_event(l, "unbind", c, slot, reason);
		bsh_cell_remove(next, slot->model, slot->index);
		return;
	}
	bsh_cell_set_state(next, slot, BSH_SLOT_UNLOADING, true);
	loader_event(l, "unload-decided", c, slot, reason);
}

/* Marks the binding as failed, excludes its target for the model for some time
 * and, from the second failure in a row on, delays the model's next binding. */
static void record_load_failure(bsh_loader_t *l, cell_t *c,
				const bsh_slot_t *slot, const char *reason)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	model_t *m = loader_model(l, slot->model);
	target_t *t = loader_target(l, slot->target);
	uint32_t n;

	if (b->is_failed)
		return;
	b->is_failed = true;
	b->is_store_load = false;
	l->counts.load_failures++;
	loader_event(l, "load-failed", c, slot, reason);
	if (m == NULL || t == NULL)
		return;
	n = MIN(m->failures, TARGET_EXCLUSION_DOUBLINGS_MAX);
	m->failures++;
	/* The first failure is retried at once, on another target. */
	if (n > 0)
		m->retry_us = l->now_us +
			      MIN(MODEL_RETRY_MIN_US << n, MODEL_RETRY_MAX_US);
	g_hash_table_insert(
		t->excluded_until, g_strdup(slot->model),
		g_memdup2(&(int64_t){ l->now_us + (TARGET_EXCLUSION_US << n) },
			  sizeof(int64_t)));
}

static void record_ready(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
			 binding_t *b)
{
	model_t *m = loader_model(l, slot->model);
	target_t *t = loader_target(l, slot->target);

	b->ready_us = l->now_us;
	b->is_ordered = true;
	b->is_store_load = false;
	b->keep_until_us = 0;
	if (b->load_sent_us >= 0)
		bsh_placement_record_load(&l->placement, slot->model, b->copy,
					  l->now_us - b->load_sent_us);
	m->failures = 0;
	m->is_prefetch = false;
	if (m->waiting == 0)
		g_hash_table_remove(l->queued_models, m->name);
	/* Engines keep a copy of each loaded model on disk at least. */
	if (target_copy(t, slot->model) == BSH_COPY_REMOTE)
		g_hash_table_insert(t->copies, g_strdup(slot->model),
				    GINT_TO_POINTER(BSH_COPY_DISK));
	loader_event(l, "ready", c, slot, "status of the target");
}

/* Applies the latest status of the target to an active slot: the load has
 * succeeded, failed or takes too long. */
static void check_active(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	const loaded_model_t *loaded = slot_loaded_model(l, slot);
	const target_t *t = loader_target(l, slot->target);
	int64_t limit_us;

	if (t == NULL || t->status_incarnation != slot->target_incarnation)
		return;
	if (loaded != NULL)
		b->is_ordered = true;
	if (slot_is_ready(l, slot)) {
		if (b->ready_us < 0)
			record_ready(l, c, slot, b);
		return;
	}
	if (loaded == NULL) {
		if (b->ready_us >= 0 && t->status_us > b->ready_us)
			record_load_failure(l, c, slot,
					    "model vanished from target");
		else if (b->load_accepted_us >= 0 &&
			 t->status_us >= b->load_accepted_us)
			record_load_failure(l, c, slot,
					    "load ended without model");
		return;
	}
	limit_us =
		MAX(STUCK_FACTOR * bsh_placement_load_us(&l->placement,
							 slot->model, b->copy),
		    STUCK_MIN_US);
	if (b->load_accepted_us >= 0 &&
	    l->now_us - b->load_accepted_us > limit_us)
		record_load_failure(l, c, slot, "load takes too long");
}

bool slots_apply_status(bsh_loader_t *l, cell_t *c)
{
	bool is_waiting = false;

	for (guint i = 0; i < c->stored.slots->len; i++) {
		const bsh_slot_t *slot = cell_slot(c, i);
		const target_t *t = loader_target(l, slot->target);
		const binding_t *b;

		if (!slot_is_active(slot) ||
		    (t != NULL && t->incarnation > slot->target_incarnation)) {
			is_waiting = true;
			continue;
		}
		check_active(l, c, slot);
		b = loader_find_binding(l, &slot->attempt);
		is_waiting |= b != NULL && b->is_failed;
	}
	return is_waiting;
}

/*
 * Plans a slot whose target incarnation has ended.  Its models are gone with
 * it, but a later incarnation at the same address may still accept an old
 * order.
 */
static bool plan_ended_incarnation(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
				   bsh_slot_t *slot, const target_t *t)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	bool is_restarted =
		t->incarnation > slot->target_incarnation && !t->is_gone;
	bool is_present = is_restarted &&
			  t->status_incarnation == t->incarnation &&
			  g_hash_table_contains(t->loaded, slot->model);

	b->is_store_load = false;
	if (slot_has_other_holders(l, next, slot) ||
	    slot_has_open_loads(l, slot))
		b->quiescent_since_us = -1;
	else if (b->quiescent_since_us < 0)
		b->quiescent_since_us = l->now_us;
	/*
	 * An order names no incarnation, so the new one may have accepted it
	 * before its restart was observed here.  That is excluded only by a
	 * later status of the new incarnation or, for a target that is gone,
	 * when the platform's list can no longer lag: settle_ms after the load
	 * order was accepted.
	 */
	if (b->quiescent_since_us >= 0 && !is_present) {
		bool is_settled =
			is_restarted
				? t->status_incarnation == t->incarnation &&
					  t->status_us >= b->quiescent_since_us
				: b->load_accepted_us < 0 ||
					  l->now_us - b->load_accepted_us >=
						  ms_us(l->config.settle_ms);

		if (!is_settled)
			return false;
		loader_event(l, "free", c, slot,
			     is_restarted ? "target restarted" : "target gone");
		bsh_cell_remove(next, slot->model, slot->index);
		return true;
	}
	if (t->incarnation > slot->target_incarnation && !t->is_gone) {
		slot->target_incarnation = t->incarnation;
		bsh_cell_set_state(next, slot, BSH_SLOT_UNLOADING, true);
		loader_event(l, "unload-decided", c, slot,
			     "target restarted, old orders may arrive");
		return true;
	}
	if (slot->state == BSH_SLOT_QUARANTINED)
		return false;
	bsh_cell_set_state(next, slot, BSH_SLOT_QUARANTINED, true);
	l->counts.quarantines++;
	loader_event(l, "quarantine", c, slot,
		     "target gone, old orders may arrive");
	return true;
}

/*
 * Whether the unload is confirmed: the target's status proves that the model
 * is absent (*is_absent), and no order can load it again, because the target
 * refuses orders with a lower fence or none can be delivered any more.
 */
static bool is_unload_confirmed(const bsh_loader_t *l, const bsh_cell_t *next,
				const bsh_slot_t *slot, binding_t *b,
				bool *is_absent)
{
	const target_t *t = loader_target(l, slot->target);
	bool is_quiescent = !slot_has_other_holders(l, next, slot) &&
			    !slot_has_open_loads(l, slot);

	if (!is_quiescent)
		b->quiescent_since_us = -1;
	else if (b->quiescent_since_us < 0)
		b->quiescent_since_us = l->now_us;
	*is_absent = b->unload_accepted_us >= 0 &&
		     b->unload_fence == slot->fence &&
		     b->unload_incarnation == slot->target_incarnation &&
		     t->status_incarnation == slot->target_incarnation &&
		     t->status_us >= b->unload_accepted_us &&
		     slot_loaded_model(l, slot) == NULL;
	if (!*is_absent)
		return false;
	if (b->is_fence_recorded)
		return true;
	return is_quiescent && t->status_us >= b->quiescent_since_us;
}

static bool plan_unloading(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			   bsh_slot_t *slot)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	bool is_absent;

	b->is_store_load = false;
	if (b->fence_to_exceed > 0) {
		next->fence = MAX(next->fence, b->fence_to_exceed);
		bsh_cell_set_state(next, slot, slot->state, true);
		b->fence_to_exceed = 0;
		return true;
	}
	if (is_unload_confirmed(l, next, slot, b, &is_absent)) {
		loader_event(l, "free", c, slot,
			     b->is_fence_recorded
				     ? "unload confirmed, fence accepted"
				     : "unload confirmed, no sender left");
		bsh_cell_remove(next, slot->model, slot->index);
		return true;
	}
	if (!is_absent || slot->state == BSH_SLOT_QUARANTINED)
		return false;
	if (!slot_has_other_holders(l, next, slot) &&
	    !slot_has_open_loads(l, slot))
		return false; /* wait for the next status */
	bsh_cell_set_state(next, slot, BSH_SLOT_QUARANTINED, false);
	l->counts.quarantines++;
	loader_event(l, "quarantine", c, slot,
		     "unloaded, an earlier sender may hold an order");
	return true;
}

/* Reason to unload an active slot, or NULL. */
static const char *unload_reason(const bsh_loader_t *l, const bsh_cell_t *next,
				 const bsh_slot_t *slot, const target_t *t)
{
	const bsh_slot_t *base;
	const model_t *m = loader_model(l, slot->model);
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	const loaded_model_t *loaded = slot_loaded_model(l, slot);

	if (m == NULL)
		return "model not in the document";
	if (slot->index >= m->max_replicas)
		return "document has fewer replicas";
	if (b != NULL && b->is_failed)
		return "load failed";
	if (loaded != NULL && strcmp(loaded->version, m->version) != 0)
		return "another version is loaded";
	if (m->base[0] != '\0') {
		base = bsh_cell_slot_on(next, m->base, slot->target);
		if (base == NULL || !slot_is_active(base))
			return "base is not on the target";
	}
	if (t != NULL && target_is_leaving(t) &&
	    (t->running == 0 || l->now_us >= m->in_use_until_us))
		return "target is leaving";
	return NULL;
}

static bool plan_active(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			bsh_slot_t *slot, const target_t *t)
{
	binding_t *b = loader_find_binding(l, &slot->attempt);
	const char *reason = unload_reason(l, next, slot, t);

	if (reason != NULL) {
		slot_start_unload(l, c, next, slot, reason);
		return true;
	}
	if (b == NULL)
		return false;
	if (b->fence_to_exceed > 0) {
		next->fence = MAX(next->fence, b->fence_to_exceed);
		bsh_cell_set_state(next, slot, slot->state, true);
		b->fence_to_exceed = 0;
		loader_event(l, "refence", c, slot,
			     "target knows a higher one");
		return true;
	}
	/* These states go into the next update but don't require one. */
	if (slot_is_ready(l, slot))
		slot->state = BSH_SLOT_READY;
	else if (b->load_sent_us >= 0)
		slot->state = BSH_SLOT_LOADING;
	return false;
}

bool slots_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = next->slots->len; i-- > 0;) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);
		const target_t *t = loader_target(l, slot->target);

		/* Only the sender of a slot may send orders for it. */
		if (!bsh_cell_is_sender(next, slot, &l->config.self))
			continue;
		if (t != NULL &&
		    (t->incarnation > slot->target_incarnation || t->is_gone))
			changed |= plan_ended_incarnation(l, c, next, slot, t);
		else if (slot_is_active(slot))
			changed |= plan_active(l, c, next, slot, t);
		else if (t != NULL)
			changed |= plan_unloading(l, c, next, slot);
	}
	return changed;
}

static uint64_t send_order(bsh_loader_t *l, const cell_t *c,
			   const bsh_loader_order_t *template, bool is_stray)
{
	order_t *order = g_new0(order_t, 1);
	bsh_loader_order_t out = *template;

	order->id = l->next_order++;
	order->kind = template->kind;
	order->attempt = template->attempt;
	order->fence = template->fence;
	order->target_incarnation = template->target_incarnation;
	order->is_stray = is_stray;
	g_strlcpy(order->cell, c->name, sizeof(order->cell));
	g_strlcpy(order->target, template->target, sizeof(order->target));
	g_strlcpy(order->model, template->model, sizeof(order->model));
	g_hash_table_insert(l->orders, &order->id, order);
	out.id = order->id;
	l->ops->order(l->ctx, &out);
	return out.id;
}

/*
 * Whether the slot is unchanged by the update that is in flight or without an
 * answer.  That update may take effect at any time, and an order must be
 * covered by the value in the store when it is delivered.
 */
static bool is_kept_by_update(const bsh_loader_t *l, const cell_t *c,
			      const bsh_slot_t *slot)
{
	const bsh_slot_t *next;

	if (c->io != IO_UPDATE && !c->is_update_unresolved)
		return true;
	next = bsh_cell_slot(&c->next, slot->model, slot->index);
	return next != NULL && next->fence == slot->fence &&
	       bsh_attempt_equal(&next->attempt, &slot->attempt) &&
	       slot_is_active(next) &&
	       bsh_cell_is_holder(&c->next, next, &l->config.self) &&
	       bsh_sender_equal(&c->next.owner, &l->config.self);
}

void slot_send_load(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
		    bsh_copy_t copy, const char *reason)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	const model_t *m = loader_model(l, slot->model);
	bsh_loader_order_t order = { .kind = BSH_ORDER_LOAD,
				     .target = slot->target,
				     .target_incarnation =
					     slot->target_incarnation,
				     .model = slot->model,
				     .attempt = slot->attempt,
				     .fence = slot->fence,
				     .memory_mib = slot->memory_mib };

	if (m == NULL || !is_kept_by_update(l, c, slot))
		return;
	order.version = m->version;
	order.base = m->base;
	b->pending_loads++;
	b->is_ordered = true;
	b->copy = copy;
	b->is_store_load = copy == BSH_COPY_REMOTE;
	if (b->load_sent_us < 0)
		b->load_sent_us = l->now_us;
	l->counts.loads++;
	if (copy == BSH_COPY_MEMORY)
		l->counts.loads_memory++;
	else if (copy == BSH_COPY_DISK)
		l->counts.loads_disk++;
	else
		l->counts.loads_remote++;
	loader_event(l, "load", c, slot, reason);
	send_order(l, c, &order, false);
}

static void send_unload(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	bsh_loader_order_t order = { .kind = BSH_ORDER_UNLOAD,
				     .target = slot->target,
				     .target_incarnation =
					     slot->target_incarnation,
				     .model = slot->model,
				     .version = "",
				     .base = "",
				     .attempt = slot->attempt,
				     .fence = slot->fence,
				     .memory_mib = slot->memory_mib };

	b->pending_unloads++;
	b->unload_sent_fence = slot->fence;
	b->retry_us = l->now_us + UNLOAD_RETRY_US;
	l->counts.unloads++;
	loader_event(l, "unload", c, slot, "slot is unloading");
	send_order(l, c, &order, false);
}

/* Sends or repeats the unload order of a slot and requests a status. */
static void step_unload(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot)
{
	binding_t *b = loader_get_binding(l, &slot->attempt);
	const target_t *t = loader_target(l, slot->target);
	bool is_done = b->unload_accepted_us >= 0 &&
		       b->unload_fence == slot->fence &&
		       b->unload_incarnation == slot->target_incarnation;

	if (t == NULL || t->is_gone ||
	    t->incarnation != slot->target_incarnation ||
	    b->pending_unloads > 0)
		return;
	if (!is_done) {
		if (b->unload_sent_fence != slot->fence ||
		    l->now_us >= b->retry_us)
			send_unload(l, c, slot);
	} else if (slot_loaded_model(l, slot) != NULL &&
		   l->now_us >= b->retry_us) {
		/* A delayed load order was executed after the unload. */
		send_unload(l, c, slot);
	}
	if (l->ops->poll != NULL && l->now_us >= b->next_poll_us) {
		b->next_poll_us = l->now_us + ORDER_RETRY_MIN_US;
		l->ops->poll(l->ctx, slot->target);
	}
}

/* Orders the unload of models on the target that no slot covers. */
static void unload_strays(bsh_loader_t *l, cell_t *c, const target_t *t)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, t->loaded);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const loaded_model_t *loaded = value;
		bsh_loader_order_t order = { .kind = BSH_ORDER_UNLOAD,
					     .target = t->name,
					     .target_incarnation =
						     t->status_incarnation,
					     .model = key,
					     .version = "",
					     .base = "",
					     .attempt = loaded->attempt,
					     .fence = c->stored.fence };

		if (loaded->state == BSH_SLOT_UNLOADING ||
		    bsh_cell_slot_on(&c->stored, key, t->name) != NULL ||
		    ((c->io == IO_UPDATE || c->is_update_unresolved) &&
		     bsh_cell_slot_on(&c->next, key, t->name) != NULL))
			continue;
		loader_event(l, "unload-stray", c, NULL, key);
		l->counts.unloads++;
		send_order(l, c, &order, true);
	}
}

void slots_send_orders(bsh_loader_t *l, cell_t *c)
{
	for (guint i = 0; i < c->stored.slots->len; i++) {
		const bsh_slot_t *slot = cell_slot(c, i);

		if (!slot_is_active(slot) &&
		    bsh_cell_is_sender(&c->stored, slot, &l->config.self))
			step_unload(l, c, slot);
	}
	if (c->failing_since_us >= 0 || l->now_us < c->next_stray_check_us)
		return;
	c->next_stray_check_us = l->now_us + UNLOAD_RETRY_US;
	for (guint i = 0; i < c->stored.targets->len; i++) {
		const bsh_cell_target_t *on =
			&g_array_index(c->stored.targets, bsh_cell_target_t, i);
		const target_t *t = loader_target(l, on->name);

		if (t != NULL && t->status_us >= 0 &&
		    t->status_us >= c->renewed_us - UNLOAD_RETRY_US &&
		    t->status_incarnation == t->incarnation)
			unload_strays(l, c, t);
	}
}

static void handle_load_result(bsh_loader_t *l, cell_t *c,
			       const bsh_slot_t *slot, binding_t *b,
			       bsh_order_result_t result, uint64_t fence)
{
	b->pending_loads--;
	if (result == BSH_ORDER_ACCEPTED) {
		b->load_accepted_us = l->now_us;
		b->retries = 0;
		return;
	}
	if (result == BSH_ORDER_UNKNOWN)
		b->unsettled_until_us =
			MAX(b->unsettled_until_us,
			    l->now_us + ms_us(l->config.settle_ms));
	b->is_store_load = false;
	b->load_sent_us = -1;
	b->retries = MIN(b->retries + 1, RETRIES_MAX);
	b->retry_us = l->now_us +
		      MIN(ORDER_RETRY_MIN_US << b->retries, ORDER_RETRY_MAX_US);
	if (c == NULL || slot == NULL)
		return;
	if (result == BSH_ORDER_STALE_FENCE) {
		l->counts.stale_fences++;
		/* Either another owner has taken over or the target has
		 * recorded the fence of another slot; a read shows which. */
		if (fence >= slot->fence && fence < FENCE_MAX)
			b->fence_to_exceed = fence;
		c->is_read_needed = true;
	} else if (result == BSH_ORDER_NO_MEMORY ||
		   result == BSH_ORDER_REFUSED) {
		record_load_failure(l, c, slot, "target refused the load");
	} else if (b->retries >= RETRIES_MAX / 2) {
		record_load_failure(l, c, slot, "target does not answer");
	}
}

static void handle_unload_result(bsh_loader_t *l, cell_t *c,
				 const bsh_slot_t *slot, binding_t *b,
				 const order_t *order,
				 bsh_order_result_t result, uint64_t fence)
{
	b->pending_unloads--;
	if (slot == NULL || slot->fence != order->fence)
		return;
	if (result == BSH_ORDER_ACCEPTED || result == BSH_ORDER_REFUSED) {
		b->unload_accepted_us = l->now_us;
		b->unload_fence = order->fence;
		b->unload_incarnation = order->target_incarnation;
		/* A refusal does not prove that the fence was recorded. */
		b->is_fence_recorded =
			result == BSH_ORDER_ACCEPTED && c->pool->fencing;
		b->next_poll_us = l->now_us;
		return;
	}
	b->retry_us = l->now_us + ORDER_RETRY_MIN_US * 2;
	if (result == BSH_ORDER_STALE_FENCE) {
		l->counts.stale_fences++;
		if (fence >= slot->fence && fence < FENCE_MAX)
			b->fence_to_exceed = fence;
		c->is_read_needed = true;
	}
}

void slot_order_result(bsh_loader_t *l, order_t *order,
		       bsh_order_result_t result, uint64_t fence)
{
	cell_t *c = loader_cell(l, order->cell);
	binding_t *b = loader_find_binding(l, &order->attempt);
	const bsh_slot_t *slot = NULL;

	if (order->is_stray || b == NULL)
		return;
	if (c != NULL)
		slot = bsh_cell_slot_on(&c->stored, order->model,
					order->target);
	if (slot != NULL && !bsh_attempt_equal(&slot->attempt, &order->attempt))
		slot = NULL;
	if (order->kind == BSH_ORDER_LOAD)
		handle_load_result(l, c, slot, b, result, fence);
	else
		handle_unload_result(l, c, slot, b, order, result, fence);
}
