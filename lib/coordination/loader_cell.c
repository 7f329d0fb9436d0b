#include <string.h>

#include "coordination/loader_private.h"

#define RETRY_MIN_US	  (250 * US_PER_MS)
#define RETRY_MAX_US	  (2 * US_PER_S)
#define REJECTED_RETRY_US (5 * US_PER_S)
#define FAILURES_MAX	  16
/* Best candidates that observe the lease of a cell. */
#define OBSERVERS_MAX 3
/* After a takeover the new owner keeps the cell for this time. */
#define TAKEOVER_KEEP_US (600 * US_PER_S)
/* Time as a member after which a cell is handed over to a preferred owner. */
#define PREFERRED_MIN_AGE_US (30 * US_PER_S)

cell_t *cell_new(const char *name, pool_t *pool, uint32_t number)
{
	cell_t *c = g_new0(cell_t, 1);

	g_strlcpy(c->name, name, sizeof(c->name));
	c->pool = pool;
	c->number = number;
	bsh_cell_init(&c->stored, name, pool->cells);
	bsh_cell_init(&c->next, name, pool->cells);
	c->failing_since_us = -1;
	c->renewed_us = -1;
	c->observed_since_us = -1;
	c->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void cell_free(void *cell)
{
	cell_t *c = cell;

	bsh_cell_finish(&c->stored);
	bsh_cell_finish(&c->next);
	g_hash_table_destroy(c->routes);
	g_free(c);
}

static void note_store_failure(bsh_loader_t *l, cell_t *c)
{
	int64_t delay_us = RETRY_MIN_US << MIN(c->io_failures, 3);

	l->counts.unavailable++;
	c->io_failures = MIN(c->io_failures + 1, FAILURES_MAX);
	if (c->failing_since_us < 0) {
		c->failing_since_us = c->io_began_us;
		loader_event(l, "store-failing", c, NULL, "no answer");
	}
	delay_us = MIN(delay_us, RETRY_MAX_US);
	c->next_io_us = l->now_us + delay_us / 2 +
			(int64_t)(loader_random(l) % (uint64_t)delay_us) / 2;
}

static void note_store_answer(bsh_loader_t *l, cell_t *c)
{
	if (c->failing_since_us >= 0)
		loader_event(l, "store-works", c, NULL, "answered");
	c->io_failures = 0;
	c->failing_since_us = -1;
}

static void start_read(bsh_loader_t *l, cell_t *c)
{
	c->io = IO_READ;
	c->io_began_us = l->now_us;
	l->counts.reads++;
	l->ops->read(l->ctx, c->name);
}

/* Records when the present lease was first and last observed. */
static void observe_lease(bsh_loader_t *l, cell_t *c)
{
	if (c->observed_since_us < 0 ||
	    c->stored.renewal != c->observed_renewal ||
	    c->stored.epoch != c->observed_epoch) {
		c->observed_renewal = c->stored.renewal;
		c->observed_epoch = c->stored.epoch;
		c->observed_since_us = l->now_us;
	}
	c->confirmed_us = c->io_began_us;
	c->next_read_us = l->now_us + ms_us(l->config.lease_ms) / 2;
}

static void update_is_holder(const bsh_loader_t *l, cell_t *c)
{
	c->is_holder = false;
	for (guint i = 0; i < c->stored.slots->len && !c->is_holder; i++)
		c->is_holder = bsh_cell_is_holder(&c->stored, cell_slot(c, i),
						  &l->config.self);
}

/* Makes a value read from or written to the store the stored one. */
static void adopt_value(bsh_loader_t *l, cell_t *c, const bsh_cell_t *value,
			uint64_t version)
{
	bool was_owner = loader_owns(l, c);

	if (c->is_update_unresolved && version > c->version) {
		c->is_update_unresolved = false;
		loader_event(l, "resolved", c, NULL,
			     bsh_attempt_equal(&value->update_attempt,
					       &c->next.update_attempt)
				     ? "update had taken effect"
				     : "update superseded");
	}
	bsh_cell_copy(&c->stored, value);
	c->version = version;
	c->is_known = true;
	c->applied_list_sequence = 0;
	c->rank_version = 0;
	c->is_route_dirty = true;
	update_is_holder(l, c);
	observe_lease(l, c);
	if (loader_owns(l, c)) {
		c->renewed_us = c->io_began_us;
		if (!was_owner) {
			c->next_idle_check_us = l->now_us;
			g_hash_table_remove_all(c->routes);
			loader_event(l, "owner", c, NULL, "lease taken");
		}
	} else if (was_owner) {
		loader_event(l, "owner-lost", c, NULL,
			     "another owner in the store");
	}
	place_update_limits(l);
}

static void accept_read_value(bsh_loader_t *l, cell_t *c, uint64_t version,
			      const char *value, size_t length)
{
	g_autofree char *reason = NULL;
	bsh_cell_t fresh;

	/* A read that lags must not replace a newer value. */
	if (c->is_known && version < c->version) {
		c->next_io_us = l->now_us + RETRY_MIN_US;
		return;
	}
	bsh_cell_init(&fresh, c->name, c->pool->cells);
	if (bsh_cell_decode(&fresh, value, length, &reason) != BSH_OK ||
	    strcmp(fresh.name, c->name) != 0) {
		l->counts.rejected++;
		loader_event(l, "rejected", c, NULL,
			     reason == NULL ? "another cell's value" : reason);
		c->next_io_us = l->now_us + REJECTED_RETRY_US;
	} else {
		adopt_value(l, c, &fresh, version);
	}
	bsh_cell_finish(&fresh);
}

void bsh_loader_read_result(bsh_loader_t *l, const char *cell,
			    bsh_store_result_t result, uint64_t version,
			    const char *value, size_t length, int64_t now_us)
{
	cell_t *c = loader_cell(l, cell);

	l->now_us = now_us;
	if (c == NULL || c->io != IO_READ) {
		l->counts.rejected++;
		return;
	}
	c->io = IO_IDLE;
	if (result == BSH_STORE_OK) {
		c->is_read_needed = false;
		note_store_answer(l, c);
		accept_read_value(l, c, version, value, length);
	} else if (result == BSH_STORE_NOT_FOUND) {
		c->is_read_needed = false;
		note_store_answer(l, c);
		if (c->version > 0)
			loader_event(l, "rejected", c, NULL,
				     "object was deleted; written again");
		c->version = 0;
		c->is_known = true;
		observe_lease(l, c);
	} else {
		note_store_failure(l, c);
	}
	loader_run(l, c);
}

void bsh_loader_update_result(bsh_loader_t *l, const char *cell,
			      bsh_store_result_t result, uint64_t version,
			      int64_t now_us)
{
	cell_t *c = loader_cell(l, cell);

	l->now_us = now_us;
	if (c == NULL || c->io != IO_UPDATE) {
		l->counts.rejected++;
		return;
	}
	c->io = IO_IDLE;
	switch (result) {
	case BSH_STORE_OK:
		note_store_answer(l, c);
		adopt_value(l, c, &c->next, version);
		break;
	case BSH_STORE_CONFLICT:
		l->counts.conflicts++;
		note_store_answer(l, c);
		/* A repeated update also conflicts if its first request took
		 * effect; the read shows that. */
		c->is_read_needed = true;
		break;
	case BSH_STORE_LOST:
		l->counts.lost++;
		note_store_failure(l, c);
		c->is_update_unresolved = true;
		c->is_read_needed = true;
		break;
	case BSH_STORE_TOO_LARGE:
		loader_event(l, "rejected", c, NULL, "value above the limit");
		c->next_io_us = now_us + REJECTED_RETRY_US;
		break;
	default:
		note_store_failure(l, c);
		break;
	}
	loader_run(l, c);
}

/* Number of candidates for the cell that are preferred to this process. */
static uint32_t compute_rank(const bsh_loader_t *l, const cell_t *c)
{
	uint64_t own = bsh_cell_affinity(c->name, l->config.self.instance);
	uint32_t above = 0;

	for (guint i = 0; i < l->members->len; i++) {
		const bsh_sender_t *member =
			&g_array_index(l->members, member_t, i).sender;

		if (strcmp(member->instance, l->config.self.instance) == 0 ||
		    loader_is_gone(l, member) ||
		    (c->is_known && bsh_sender_equal(member, &c->stored.owner)))
			continue;
		if (bsh_cell_affinity(c->name, member->instance) > own)
			above++;
	}
	return above;
}

/* The rank is cached: it changes rarely, and computing it for 500 cells with
 * 1,100 members each is expensive. */
static uint32_t cached_rank(const bsh_loader_t *l, cell_t *c)
{
	if (c->rank_version != l->ranks_version + 1) {
		c->rank = compute_rank(l, c);
		c->rank_version = l->ranks_version + 1;
	}
	return c->rank;
}

/*
 * Whether this process may claim a cell with another owner or none.  Candidates
 * wait half a lease for each better one, to avoid conflicting claims.  A lease
 * counts as expired when it has been observed unchanged for 1.25 times its
 * length, between an answer and the start of a later read, so the clocks of the
 * owner and this process are not compared.
 */
static bool may_claim(const bsh_loader_t *l, const cell_t *c, uint32_t rank)
{
	const bsh_sender_t *owner = &c->stored.owner;
	int64_t lease_us = ms_us(l->config.lease_ms);
	int64_t wait_us = rank * lease_us / 2;
	int64_t observed_us = c->confirmed_us - c->observed_since_us;

	if (l->is_draining || l->generation == 0)
		return false;
	if (strcmp(owner->instance, l->config.self.instance) == 0)
		return owner->incarnation < l->config.self.incarnation;
	if (owner->instance[0] == '\0')
		return rank == 0 || observed_us >= wait_us;
	if (loader_is_gone(l, owner))
		return rank == 0 || observed_us >= wait_us;
	return observed_us >= lease_us + lease_us / 4 + wait_us;
}

/* The member that should own the cell instead of this process, or NULL. */
static const bsh_sender_t *successor(const bsh_loader_t *l, const cell_t *c)
{
	uint64_t own = bsh_cell_affinity(c->name, l->config.self.instance);
	uint64_t best = 0;
	const bsh_sender_t *to = NULL;

	for (guint i = 0; i < l->members->len; i++) {
		const member_t *member =
			&g_array_index(l->members, member_t, i);
		uint64_t weight =
			bsh_cell_affinity(c->name, member->sender.instance);

		if (strcmp(member->sender.instance, l->config.self.instance) ==
			    0 ||
		    loader_is_gone(l, &member->sender))
			continue;
		if (!l->is_draining &&
		    (weight < own ||
		     l->now_us - member->since_us < PREFERRED_MIN_AGE_US))
			continue;
		if (to == NULL || weight > best) {
			best = weight;
			to = &member->sender;
		}
	}
	return to;
}

/* Removes this process from the holders of each slot for which it has no open
 * load order. */
static bool release_holder(bsh_loader_t *l, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = 0; i < next->slots->len; i++) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);

		if (slot_has_open_loads(l, slot) ||
		    !bsh_cell_remove_holder(next, slot, &l->config.self))
			continue;
		changed = true;
	}
	return changed;
}

/* Hands the cell over when draining, or to a preferred owner that has been a
 * member for long enough; without a successor the cell is left unowned. */
static bool hand_over(bsh_loader_t *l, const cell_t *c, bsh_cell_t *next)
{
	const bsh_sender_t *to = successor(l, c);

	if (!l->is_draining && (to == NULL || c->failing_since_us >= 0 ||
				l->now_us < c->handover_after_us))
		return false;
	memset(&next->owner, 0, sizeof(next->owner));
	if (to != NULL)
		next->owner = *to;
	next->epoch++;
	release_holder(l, next);
	l->counts.handovers++;
	loader_event(l, "handover", c, NULL,
		     to == NULL ? "draining, no successor" : to->instance);
	return true;
}

/* Brings the targets in next up to date with the platform's list. */
static bool update_targets(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	if (c->applied_list_sequence == l->list_sequence)
		return false;
	g_hash_table_iter_init(&iter, l->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const target_t *t = value;
		const bsh_cell_target_t *known;
		uint32_t memory_mib;

		if (strcmp(t->pool, c->pool->name) != 0 ||
		    bsh_cell_of_target(t->name, c->pool->cells) != c->number)
			continue;
		known = bsh_cell_target(next, t->name);
		if (t->is_gone) {
			if (known != NULL &&
			    bsh_cell_remove_target(next, t->name) == BSH_OK)
				changed = true;
			continue;
		}
		memory_mib =
			t->memory_mib > 0 ? t->memory_mib : c->pool->memory_mib;
		if (known != NULL && known->incarnation == t->incarnation &&
		    known->memory_mib == MAX(memory_mib, known->reserved_mib))
			continue;
		if (bsh_cell_set_target(next, t->name, t->incarnation,
					memory_mib) == BSH_OK)
			changed = true;
	}
	return changed;
}

/* Removes the holders whose orders have expired and makes this process the
 * sender of all slots. */
static bool update_senders(bsh_loader_t *l, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = 0; i < next->slots->len; i++) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);

		for (uint16_t h = slot->holder_count; h-- > 0;) {
			const bsh_sender_t *holder =
				bsh_cell_sender(next, slot->holders[h]);

			if (loader_orders_expired(l, holder) &&
			    bsh_cell_remove_holder(next, slot, holder))
				changed = true;
		}
		/* If the list of holders is full, no order is sent for the slot
		 * until a holder is gone. */
		if (!bsh_cell_is_sender(next, slot, &l->config.self) &&
		    bsh_cell_set_sender(next, slot, &l->config.self) == BSH_OK)
			changed = true;
	}
	return changed;
}

/* Fills c->next; false if there is nothing to write. */
static bool plan_update(bsh_loader_t *l, cell_t *c)
{
	bsh_cell_t *next = &c->next;
	bool is_renewal =
		l->now_us - c->renewed_us >= ms_us(l->config.lease_ms) / 2;
	bool changed = false;

	if (loader_owns(l, c) && !c->is_plan_due && !is_renewal)
		return false;
	c->is_plan_due = false;
	bsh_cell_copy(next, &c->stored);
	if (!loader_owns(l, c)) {
		if (!may_claim(l, c, cached_rank(l, c)))
			return c->is_holder && release_holder(l, next);
		l->counts.takeovers++;
		loader_event(l, "claim", c, NULL,
			     next->owner.instance[0] == '\0' ? "no owner"
			     : loader_is_gone(l, &next->owner)
				     ? "owner gone"
				     : "lease expired");
		/* Do not return the cell to an owner that has just failed. */
		if (next->owner.instance[0] != '\0')
			c->handover_after_us = l->now_us + TAKEOVER_KEEP_US;
		next->owner = l->config.self;
		next->epoch++;
		next->cells = c->version == 0 ? c->pool->cells : next->cells;
		update_senders(l, next);
		return true;
	}
	if (hand_over(l, c, next))
		return true;
	changed |= update_senders(l, next);
	changed |= update_targets(l, c, next);
	changed |= slots_plan(l, c, next);
	changed |= place_plan(l, c, next);
	changed |= is_renewal;
	if (!changed)
		c->applied_list_sequence = l->list_sequence;
	return changed;
}

static void send_update(bsh_loader_t *l, cell_t *c)
{
	g_autofree char *value = NULL;
	g_autofree char *reason = NULL;
	bsh_error_t err = bsh_cell_check(&c->next, &reason);

	if (err == BSH_OK)
		err = bsh_cell_encode(&c->next, &value);
	if (err != BSH_OK) {
		l->counts.rejected++;
		loader_event(l, "rejected", c, NULL,
			     reason == NULL ? bsh_error_name(err) : reason);
		c->next_io_us = l->now_us + REJECTED_RETRY_US;
		return;
	}
	c->io = IO_UPDATE;
	c->io_began_us = l->now_us;
	l->counts.updates++;
	l->ops->update(l->ctx, c->name, c->version, value);
}

static void update_if_needed(bsh_loader_t *l, cell_t *c)
{
	if (!plan_update(l, c))
		return;
	if (bsh_sender_equal(&c->next.owner, &l->config.self) ||
	    loader_owns(l, c))
		c->next.renewal++;
	c->next.generation = MAX(c->next.generation, l->generation);
	c->next.update_attempt = loader_new_attempt(l);
	send_update(l, c);
}

static bool is_read_due(const bsh_loader_t *l, cell_t *c)
{
	if (c->is_read_needed)
		return true;
	if (loader_owns(l, c))
		return false;
	/* Only holders and the best candidates read a cell they don't own. */
	if (!c->is_holder && cached_rank(l, c) >= OBSERVERS_MAX)
		return false;
	return !c->is_known || c->next_read_us <= l->now_us;
}

/* Starts the next store call of a cell, if one is due. */
static void store_step(bsh_loader_t *l, cell_t *c)
{
	if (c->io != IO_IDLE || l->now_us < c->next_io_us)
		return;
	if (is_read_due(l, c))
		start_read(l, c);
	else if (c->is_update_unresolved)
		/*
		 * The read returned the old version, but the first request may
		 * still be applied.  The same value is sent again, so either
		 * request writes the value in c->next.
		 */
		send_update(l, c);
	else if (c->is_known)
		update_if_needed(l, c);
}

void cell_run(bsh_loader_t *l, cell_t *c)
{
	store_step(l, c);
	if (!loader_owns(l, c))
		return;
	slots_send_orders(l, c);
	routes_publish(l, c, false);
}
