#include <string.h>

#include "coordination/loader_private.h"

#define ORDER_RETRY_MIN_US (500 * US_PER_MS)
#define ORDER_RETRY_MAX_US (8 * US_PER_S)
#define RETRIES_MAX	   8
#define FAILED_TARGET_US   (30 * US_PER_S)
#define FAILED_TARGET_MAX  8 /* doublings of the time above */
#define MODEL_RETRY_US	   (2 * US_PER_S)
#define MODEL_RETRY_MAX_US (300 * US_PER_S)
/* A load that takes this many times its estimate counts as failed. */
#define STUCK_FACTOR	20
#define STUCK_MIN_US	(60 * US_PER_S)
#define UNLOAD_AGAIN_US (10 * US_PER_S)
#define FENCE_MAX	(UINT64_C(1) << 62)

bsh_slot_t *slot_of(const cell_t *c, guint i)
{
	return &g_array_index(c->seen.slots, bsh_slot_t, i);
}

bool slot_is_active(const bsh_slot_t *slot)
{
	return slot->state == BSH_SLOT_BOUND ||
	       slot->state == BSH_SLOT_LOADING || slot->state == BSH_SLOT_READY;
}

bool target_is_leaving(const target_t *t)
{
	return t->leaving >= t->incarnation && t->leaving > 0;
}

bsh_copy_t target_copy(const target_t *t, const char *model)
{
	gpointer copy;

	if (!g_hash_table_lookup_extended(t->copies, model, NULL, &copy))
		return BSH_COPY_REMOTE;
	return (bsh_copy_t)GPOINTER_TO_INT(copy);
}

/* The model in the latest status of the slot's target incarnation. */
const loaded_t *slot_loaded(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const target_t *t = loader_target(l, slot->target);

	if (t == NULL || t->status_us < 0 ||
	    t->status_incarnation != slot->target_incarnation)
		return NULL;
	return g_hash_table_lookup(t->loaded, slot->model);
}

bool slot_is_ready(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const loaded_t *loaded = slot_loaded(l, slot);
	const model_t *m = loader_model(l, slot->model);

	return slot_is_active(slot) && loaded != NULL && m != NULL &&
	       loaded->state == BSH_SLOT_READY &&
	       strcmp(loaded->version, m->version) == 0;
}

bool slot_has_others(const bsh_loader_t *l, const bsh_cell_t *cell,
		     const bsh_slot_t *slot)
{
	for (uint16_t i = 0; i < slot->holder_count; i++) {
		const bsh_sender_t *holder =
			bsh_cell_sender(cell, slot->holders[i]);

		if (!bsh_sender_equal(holder, &l->config.self) &&
		    !loader_is_settled_gone(l, holder))
			return true;
	}
	return false;
}

bool slot_is_busy(const bsh_loader_t *l, const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return b != NULL &&
	       (b->pending > 0 || l->now_us < b->unsettled_until_us);
}

bool slot_is_idle_binding(const bsh_loader_t *l, const bsh_cell_t *cell,
			  const bsh_slot_t *slot)
{
	const binding_t *b = loader_find_binding(l, &slot->attempt);

	return b != NULL && b->is_own && !b->is_ordered &&
	       !slot_is_busy(l, slot) && slot->holder_count == 1 &&
	       bsh_cell_is_holder(cell, slot, &l->config.self);
}

void slot_start_unload(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		       bsh_slot_t *slot, const char *reason)
{
	if (slot_is_idle_binding(l, next, slot)) {
		loader_event(l, "unbind", c, slot, reason);
		bsh_cell_remove(next, slot->model, slot->index);
		return;
	}
	bsh_cell_set_state(next, slot, BSH_SLOT_UNLOADING, true);
	loader_event(l, "unload-decided", c, slot, reason);
}

/* The binding's load failed: other targets are preferred for a while. */
static void note_failure(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
			 const char *reason)
{
	binding_t *b = loader_binding(l, &slot->attempt);
	model_t *m = loader_model(l, slot->model);
	target_t *t = loader_target(l, slot->target);
	uint32_t n;

	if (b->is_failed)
		return;
	b->is_failed = true;
	b->is_counted = false;
	l->counts.load_failures++;
	loader_event(l, "load-failed", c, slot, reason);
	if (m == NULL || t == NULL)
		return;
	n = MIN(m->failures, FAILED_TARGET_MAX);
	m->failures++;
	/* The first failure is retried at once, on another target. */
	if (n > 0)
		m->retry_us = l->now_us +
			      MIN(MODEL_RETRY_US << n, MODEL_RETRY_MAX_US);
	g_hash_table_insert(
		t->failed, g_strdup(slot->model),
		g_memdup2(&(int64_t){ l->now_us + (FAILED_TARGET_US << n) },
			  sizeof(int64_t)));
}

static void note_ready(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
		       binding_t *b)
{
	model_t *m = loader_model(l, slot->model);
	target_t *t = loader_target(l, slot->target);

	b->ready_us = l->now_us;
	b->is_ordered = true;
	b->is_counted = false;
	b->keep_until_us = 0;
	if (b->load_us >= 0)
		bsh_placement_record_load(&l->placement, slot->model, b->copy,
				     l->now_us - b->load_us);
	m->failures = 0;
	m->is_prefetch = false;
	if (m->waiting == 0)
		g_hash_table_remove(l->wanted, m->name);
	/* Engines keep what they loaded at least on disk. */
	if (target_copy(t, slot->model) == BSH_COPY_REMOTE)
		g_hash_table_insert(t->copies, g_strdup(slot->model),
				    GINT_TO_POINTER(BSH_COPY_DISK));
	loader_event(l, "ready", c, slot, "status of the target");
}

static void observe_active(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot)
{
	binding_t *b = loader_binding(l, &slot->attempt);
	const loaded_t *loaded = slot_loaded(l, slot);
	const target_t *t = loader_target(l, slot->target);
	int64_t limit_us;

	if (t == NULL || t->status_incarnation != slot->target_incarnation)
		return;
	if (loaded != NULL)
		b->is_ordered = true;
	if (slot_is_ready(l, slot)) {
		if (b->ready_us < 0)
			note_ready(l, c, slot, b);
		return;
	}
	if (loaded == NULL) {
		if (b->ready_us >= 0 && t->status_us > b->ready_us)
			note_failure(l, c, slot, "model vanished from target");
		else if (b->load_ok_us >= 0 && t->status_us >= b->load_ok_us)
			note_failure(l, c, slot, "load ended without model");
		return;
	}
	limit_us =
		MAX(STUCK_FACTOR * bsh_placement_load_us(&l->placement,
							 slot->model, b->copy),
		    STUCK_MIN_US);
	if (b->load_ok_us >= 0 && l->now_us - b->load_ok_us > limit_us)
		note_failure(l, c, slot, "load takes too long");
}

bool slots_observe(bsh_loader_t *l, cell_t *c)
{
	bool is_waiting = false;

	for (guint i = 0; i < c->seen.slots->len; i++) {
		const bsh_slot_t *slot = slot_of(c, i);
		const target_t *t = loader_target(l, slot->target);
		const binding_t *b;

		if (!slot_is_active(slot) ||
		    (t != NULL && t->incarnation > slot->target_incarnation)) {
			is_waiting = true;
			continue;
		}
		observe_active(l, c, slot);
		b = loader_find_binding(l, &slot->attempt);
		is_waiting |= b != NULL && b->is_failed;
	}
	return is_waiting;
}

/*
 * The slot's target incarnation has ended.  What it held is gone, but the
 * address may belong to a later incarnation that takes an old order.
 */
static bool plan_ended(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
		       bsh_slot_t *slot, const target_t *t)
{
	binding_t *b = loader_binding(l, &slot->attempt);
	bool is_restarted =
		t->incarnation > slot->target_incarnation && !t->is_gone;
	bool is_present = is_restarted &&
			  t->status_incarnation == t->incarnation &&
			  g_hash_table_contains(t->loaded, slot->model);

	b->is_counted = false;
	if (slot_has_others(l, next, slot) || slot_is_busy(l, slot))
		b->clear_us = -1;
	else if (b->clear_us < 0)
		b->clear_us = l->now_us;
	/*
	 * The order names no incarnation, so the new one may have taken it
	 * before its restart was known here.  Only its own later status, or
	 * the lag of the list for a target that is gone, rules that out.
	 */
	if (b->clear_us >= 0 && !is_present) {
		bool is_known =
			is_restarted
				? t->status_incarnation == t->incarnation &&
					  t->status_us >= b->clear_us
				: b->load_ok_us < 0 ||
					  l->now_us - b->load_ok_us >=
						  ms_us(l->config.settle_ms);

		if (!is_known)
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

/* Whether the target's status proves that the slot's model is gone and no
 * order can bring it back. */
static bool is_confirmed(const bsh_loader_t *l, const bsh_cell_t *next,
			 const bsh_slot_t *slot, binding_t *b, bool *is_absent)
{
	const target_t *t = loader_target(l, slot->target);
	bool is_clear =
		!slot_has_others(l, next, slot) && !slot_is_busy(l, slot);

	if (!is_clear)
		b->clear_us = -1;
	else if (b->clear_us < 0)
		b->clear_us = l->now_us;
	*is_absent = b->unload_ok_us >= 0 && b->unload_fence == slot->fence &&
		     b->unload_incarnation == slot->target_incarnation &&
		     t->status_incarnation == slot->target_incarnation &&
		     t->status_us >= b->unload_ok_us &&
		     slot_loaded(l, slot) == NULL;
	if (!*is_absent)
		return false;
	if (b->is_fence_known)
		return true;
	return is_clear && t->status_us >= b->clear_us;
}

static bool plan_unloading(bsh_loader_t *l, cell_t *c, bsh_cell_t *next,
			   bsh_slot_t *slot)
{
	binding_t *b = loader_binding(l, &slot->attempt);
	bool is_absent;

	b->is_counted = false;
	if (b->refence > 0) {
		next->fence = MAX(next->fence, b->refence);
		bsh_cell_set_state(next, slot, slot->state, true);
		b->refence = 0;
		return true;
	}
	if (is_confirmed(l, next, slot, b, &is_absent)) {
		loader_event(l, "free", c, slot,
			     b->is_fence_known
				     ? "unload confirmed, fence accepted"
				     : "unload confirmed, no sender left");
		bsh_cell_remove(next, slot->model, slot->index);
		return true;
	}
	if (!is_absent || slot->state == BSH_SLOT_QUARANTINED)
		return false;
	if (!slot_has_others(l, next, slot) && !slot_is_busy(l, slot))
		return false; /* the next status decides */
	bsh_cell_set_state(next, slot, BSH_SLOT_QUARANTINED, false);
	l->counts.quarantines++;
	loader_event(l, "quarantine", c, slot,
		     "unloaded, an earlier sender may hold an order");
	return true;
}

/* Reason to unload an active slot at once, or NULL. */
static const char *unload_reason(const bsh_loader_t *l, const bsh_cell_t *next,
				 const bsh_slot_t *slot, const target_t *t)
{
	const bsh_slot_t *base;
	const model_t *m = loader_model(l, slot->model);
	const binding_t *b = loader_find_binding(l, &slot->attempt);
	const loaded_t *loaded = slot_loaded(l, slot);

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
	if (b->refence > 0) {
		next->fence = MAX(next->fence, b->refence);
		bsh_cell_set_state(next, slot, slot->state, true);
		b->refence = 0;
		loader_event(l, "refence", c, slot,
			     "target knows a higher one");
		return true;
	}
	/* The record follows with the next update; it needs none itself. */
	if (slot_is_ready(l, slot))
		slot->state = BSH_SLOT_READY;
	else if (b->load_us >= 0)
		slot->state = BSH_SLOT_LOADING;
	return false;
}

bool slots_plan(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = next->slots->len; i-- > 0;) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);
		const target_t *t = loader_target(l, slot->target);

		/* Orders of this process need it to be the sender. */
		if (!bsh_cell_is_sender(next, slot, &l->config.self))
			continue;
		if (t != NULL &&
		    (t->incarnation > slot->target_incarnation || t->is_gone))
			changed |= plan_ended(l, c, next, slot, t);
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
 * Whether the update in flight, or one without an answer, leaves the slot as
 * it is.  It may take effect at any moment; an order sent now must not be
 * one that the new value no longer covers.
 */
static bool is_stable(const bsh_loader_t *l, const cell_t *c,
		      const bsh_slot_t *slot)
{
	const bsh_slot_t *next;

	if (c->io != IO_UPDATE && !c->is_lost)
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
	binding_t *b = loader_binding(l, &slot->attempt);
	const model_t *m = loader_model(l, slot->model);
	bsh_loader_order_t order = { .kind = BSH_ORDER_LOAD,
				     .target = slot->target,
				     .target_incarnation =
					     slot->target_incarnation,
				     .model = slot->model,
				     .attempt = slot->attempt,
				     .fence = slot->fence,
				     .memory_mib = slot->memory_mib };

	if (m == NULL || !is_stable(l, c, slot))
		return;
	order.version = m->version;
	order.base = m->base;
	b->pending++;
	b->is_ordered = true;
	b->copy = copy;
	b->is_counted = copy == BSH_COPY_REMOTE;
	if (b->load_us < 0)
		b->load_us = l->now_us;
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
	binding_t *b = loader_binding(l, &slot->attempt);
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
	b->sent_fence = slot->fence;
	b->retry_us = l->now_us + UNLOAD_AGAIN_US;
	l->counts.unloads++;
	loader_event(l, "unload", c, slot, "slot is unloading");
	send_order(l, c, &order, false);
}

static void order_unload(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot)
{
	binding_t *b = loader_binding(l, &slot->attempt);
	const target_t *t = loader_target(l, slot->target);
	bool is_done = b->unload_ok_us >= 0 && b->unload_fence == slot->fence &&
		       b->unload_incarnation == slot->target_incarnation;

	if (t == NULL || t->is_gone ||
	    t->incarnation != slot->target_incarnation ||
	    b->pending_unloads > 0)
		return;
	if (!is_done) {
		if (b->sent_fence != slot->fence || l->now_us >= b->retry_us)
			send_unload(l, c, slot);
	} else if (slot_loaded(l, slot) != NULL && l->now_us >= b->retry_us) {
		/* A late load order undid the unload. */
		send_unload(l, c, slot);
	}
	if (l->ops->poll != NULL && l->now_us >= b->poll_us) {
		b->poll_us = l->now_us + ORDER_RETRY_MIN_US;
		l->ops->poll(l->ctx, slot->target);
	}
}

/* Models on targets of the cell that no slot covers are unloaded. */
static void order_strays(bsh_loader_t *l, cell_t *c, const target_t *t)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, t->loaded);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const loaded_t *loaded = value;
		bsh_loader_order_t order = { .kind = BSH_ORDER_UNLOAD,
					     .target = t->name,
					     .target_incarnation =
						     t->status_incarnation,
					     .model = key,
					     .version = "",
					     .base = "",
					     .attempt = loaded->attempt,
					     .fence = c->seen.fence };

		if (loaded->state == BSH_SLOT_UNLOADING ||
		    bsh_cell_slot_on(&c->seen, key, t->name) != NULL ||
		    ((c->io == IO_UPDATE || c->is_lost) &&
		     bsh_cell_slot_on(&c->next, key, t->name) != NULL))
			continue;
		loader_event(l, "unload-stray", c, NULL, key);
		l->counts.unloads++;
		send_order(l, c, &order, true);
	}
}

void slots_order(bsh_loader_t *l, cell_t *c)
{
	for (guint i = 0; i < c->seen.slots->len; i++) {
		const bsh_slot_t *slot = slot_of(c, i);

		if (!slot_is_active(slot) &&
		    bsh_cell_is_sender(&c->seen, slot, &l->config.self))
			order_unload(l, c, slot);
	}
	if (c->failing_us >= 0 || l->now_us < c->stray_us)
		return;
	c->stray_us = l->now_us + UNLOAD_AGAIN_US;
	for (guint i = 0; i < c->seen.targets->len; i++) {
		const bsh_cell_target_t *on =
			&g_array_index(c->seen.targets, bsh_cell_target_t, i);
		const target_t *t = loader_target(l, on->name);

		if (t != NULL && t->status_us >= 0 &&
		    t->status_us >= c->renewed_us - UNLOAD_AGAIN_US &&
		    t->status_incarnation == t->incarnation)
			order_strays(l, c, t);
	}
}

static void load_result(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
			binding_t *b, bsh_order_result_t result, uint64_t fence)
{
	b->pending--;
	if (result == BSH_ORDER_ACCEPTED) {
		b->load_ok_us = l->now_us;
		b->retries = 0;
		return;
	}
	if (result == BSH_ORDER_UNKNOWN)
		b->unsettled_until_us =
			MAX(b->unsettled_until_us,
			    l->now_us + ms_us(l->config.settle_ms));
	b->is_counted = false;
	b->load_us = -1;
	b->retries = MIN(b->retries + 1, RETRIES_MAX);
	b->retry_us = l->now_us +
		      MIN(ORDER_RETRY_MIN_US << b->retries, ORDER_RETRY_MAX_US);
	if (c == NULL || slot == NULL)
		return;
	if (result == BSH_ORDER_STALE_FENCE) {
		l->counts.stale_fences++;
		/* Either another owner took over or the target compares
		 * fences of other slots; the store tells which. */
		if (fence >= slot->fence && fence < FENCE_MAX)
			b->refence = fence;
		c->wants_read = true;
	} else if (result == BSH_ORDER_NO_MEMORY ||
		   result == BSH_ORDER_REFUSED) {
		note_failure(l, c, slot, "target refused the load");
	} else if (b->retries >= RETRIES_MAX / 2) {
		note_failure(l, c, slot, "target does not answer");
	}
}

static void unload_result(bsh_loader_t *l, cell_t *c, const bsh_slot_t *slot,
			  binding_t *b, const order_t *order,
			  bsh_order_result_t result, uint64_t fence)
{
	b->pending_unloads--;
	if (slot == NULL || slot->fence != order->fence)
		return;
	if (result == BSH_ORDER_ACCEPTED || result == BSH_ORDER_REFUSED) {
		b->unload_ok_us = l->now_us;
		b->unload_fence = order->fence;
		b->unload_incarnation = order->target_incarnation;
		/* A refusal does not prove that the fence was recorded. */
		b->is_fence_known =
			result == BSH_ORDER_ACCEPTED && c->pool->fencing;
		b->poll_us = l->now_us;
		return;
	}
	b->retry_us = l->now_us + ORDER_RETRY_MIN_US * 2;
	if (result == BSH_ORDER_STALE_FENCE) {
		l->counts.stale_fences++;
		if (fence >= slot->fence && fence < FENCE_MAX)
			b->refence = fence;
		c->wants_read = true;
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
		slot = bsh_cell_slot_on(&c->seen, order->model, order->target);
	if (slot != NULL && !bsh_attempt_equal(&slot->attempt, &order->attempt))
		slot = NULL;
	if (order->kind == BSH_ORDER_LOAD)
		load_result(l, c, slot, b, result, fence);
	else
		unload_result(l, c, slot, b, order, result, fence);
}
