#include <string.h>

#include "coordination/loader_private.h"

#define RETRY_MIN_US	(250 * US_PER_MS)
#define RETRY_MAX_US	(2 * US_PER_S)
#define REJECTED_US	(5 * US_PER_S)
#define FAILURES_MAX	16
#define OBSERVERS	3 /* candidates that watch the lease of a cell */
#define KEEP_OWNER_US	(600 * US_PER_S)
#define SETTLE_OWNER_US (30 * US_PER_S) /* before a preferred owner gets it */

cell_t *cell_new(const char *name, pool_t *pool, uint32_t number)
{
	cell_t *c = g_new0(cell_t, 1);

	g_strlcpy(c->name, name, sizeof(c->name));
	c->pool = pool;
	c->number = number;
	bsh_cell_init(&c->seen, name, pool->cells);
	bsh_cell_init(&c->next, name, pool->cells);
	c->failing_us = -1;
	c->renewed_us = -1;
	c->observed_us = -1;
	c->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void cell_free(void *cell)
{
	cell_t *c = cell;

	bsh_cell_finish(&c->seen);
	bsh_cell_finish(&c->next);
	g_hash_table_destroy(c->routes);
	g_free(c);
}

static void store_failed(bsh_loader_t *l, cell_t *c)
{
	int64_t delay_us = RETRY_MIN_US << MIN(c->io_failures, 3);

	l->counts.unavailable++;
	c->io_failures = MIN(c->io_failures + 1, FAILURES_MAX);
	if (c->failing_us < 0) {
		c->failing_us = c->io_us;
		loader_event(l, "store-failing", c, NULL, "no answer");
	}
	delay_us = MIN(delay_us, RETRY_MAX_US);
	c->next_io_us = l->now_us + delay_us / 2 +
			(int64_t)(loader_random(l) % (uint64_t)delay_us) / 2;
}

static void store_works(bsh_loader_t *l, cell_t *c)
{
	if (c->failing_us >= 0)
		loader_event(l, "store-works", c, NULL, "answered");
	c->io_failures = 0;
	c->failing_us = -1;
}

static void start_read(bsh_loader_t *l, cell_t *c)
{
	c->io = IO_READ;
	c->io_us = l->now_us;
	l->counts.reads++;
	l->ops->read(l->ctx, c->name);
}

static void observe(bsh_loader_t *l, cell_t *c)
{
	if (c->observed_us < 0 || c->seen.renewal != c->observed_renewal ||
	    c->seen.epoch != c->observed_epoch) {
		c->observed_renewal = c->seen.renewal;
		c->observed_epoch = c->seen.epoch;
		c->observed_us = l->now_us;
	}
	c->proven_us = c->io_us;
	c->next_read_us = l->now_us + ms_us(l->config.lease_ms) / 2;
}

static void note_holders(const bsh_loader_t *l, cell_t *c)
{
	c->is_held = false;
	for (guint i = 0; i < c->seen.slots->len && !c->is_held; i++)
		c->is_held = bsh_cell_is_holder(&c->seen, slot_of(c, i),
						&l->config.self);
}

/* Takes a value read from or written to the store as the present one. */
static void adopt(bsh_loader_t *l, cell_t *c, const bsh_cell_t *value,
		  uint64_t version)
{
	bool was_owner = loader_owns(l, c);

	if (c->is_lost && version > c->version) {
		c->is_lost = false;
		loader_event(l, "resolved", c, NULL,
			     bsh_attempt_equal(&value->update_attempt, &c->next.update_attempt)
				     ? "update had taken effect"
				     : "update superseded");
	}
	bsh_cell_copy(&c->seen, value);
	c->version = version;
	c->is_seen = true;
	c->list_seen = 0;
	c->rank_stamp = 0;
	c->is_route_dirty = true;
	note_holders(l, c);
	observe(l, c);
	if (loader_owns(l, c)) {
		c->renewed_us = c->io_us;
		if (!was_owner) {
			c->house_us = l->now_us;
			g_hash_table_remove_all(c->routes);
			loader_event(l, "owner", c, NULL, "lease taken");
		}
	} else if (was_owner) {
		loader_event(l, "owner-lost", c, NULL,
			     "another owner in the store");
	}
	place_limits(l);
}

static void read_value(bsh_loader_t *l, cell_t *c, uint64_t version,
		       const char *value, size_t length)
{
	g_autofree char *reason = NULL;
	bsh_cell_t fresh;

	/* A lagging answer must not undo what was seen. */
	if (c->is_seen && version < c->version) {
		c->next_io_us = l->now_us + RETRY_MIN_US;
		return;
	}
	bsh_cell_init(&fresh, c->name, c->pool->cells);
	if (bsh_cell_decode(&fresh, value, length, &reason) != BSH_OK ||
	    strcmp(fresh.name, c->name) != 0) {
		l->counts.rejected++;
		loader_event(l, "rejected", c, NULL,
			     reason == NULL ? "another cell's value" : reason);
		c->next_io_us = l->now_us + REJECTED_US;
	} else {
		adopt(l, c, &fresh, version);
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
		c->wants_read = false;
		store_works(l, c);
		read_value(l, c, version, value, length);
	} else if (result == BSH_STORE_NOT_FOUND) {
		c->wants_read = false;
		store_works(l, c);
		if (c->version > 0)
			loader_event(l, "rejected", c, NULL,
				     "object was deleted; written again");
		c->version = 0;
		c->is_seen = true;
		observe(l, c);
	} else {
		store_failed(l, c);
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
		store_works(l, c);
		adopt(l, c, &c->next, version);
		break;
	case BSH_STORE_CONFLICT:
		l->counts.conflicts++;
		store_works(l, c);
		/* A repeated update conflicts with its own first effect. */
		c->wants_read = true;
		break;
	case BSH_STORE_LOST:
		l->counts.lost++;
		store_failed(l, c);
		c->is_lost = true;
		c->wants_read = true;
		break;
	case BSH_STORE_TOO_LARGE:
		loader_event(l, "rejected", c, NULL, "value above the limit");
		c->next_io_us = now_us + REJECTED_US;
		break;
	default:
		store_failed(l, c);
		break;
	}
	loader_run(l, c);
}

/* Position of this process among the candidates for the cell. */
static uint32_t rank_of(const bsh_loader_t *l, const cell_t *c)
{
	uint64_t own = bsh_cell_affinity(c->name, l->config.self.instance);
	uint32_t above = 0;

	for (guint i = 0; i < l->members->len; i++) {
		const bsh_sender_t *member =
			&g_array_index(l->members, member_t, i).sender;

		if (strcmp(member->instance, l->config.self.instance) == 0 ||
		    loader_is_gone(l, member) ||
		    (c->is_seen && bsh_sender_equal(member, &c->seen.owner)))
			continue;
		if (bsh_cell_affinity(c->name, member->instance) > own)
			above++;
	}
	return above;
}

/* The rank changes rarely, and 1,100 members times 500 cells are many. */
static uint32_t rank(const bsh_loader_t *l, cell_t *c)
{
	if (c->rank_stamp != l->members_stamp + 1) {
		c->rank = rank_of(l, c);
		c->rank_stamp = l->members_stamp + 1;
	}
	return c->rank;
}

static bool may_claim(const bsh_loader_t *l, const cell_t *c, uint32_t place)
{
	const bsh_sender_t *owner = &c->seen.owner;
	int64_t lease_us = ms_us(l->config.lease_ms);
	int64_t wait_us = place * lease_us / 2;
	int64_t watched_us = c->proven_us - c->observed_us;

	if (l->is_draining || l->generation == 0)
		return false;
	if (strcmp(owner->instance, l->config.self.instance) == 0)
		return owner->incarnation < l->config.self.incarnation;
	if (owner->instance[0] == '\0')
		return place == 0 || watched_us >= wait_us;
	if (loader_is_gone(l, owner))
		return place == 0 || watched_us >= wait_us;
	return watched_us >= lease_us + lease_us / 4 + wait_us;
}

/* The member that should own the cell instead; NULL to keep it. */
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
		     l->now_us - member->since_us < SETTLE_OWNER_US))
			continue;
		if (to == NULL || weight > best) {
			best = weight;
			to = &member->sender;
		}
	}
	return to;
}

/* Removes this process from the holders where no order of it is left. */
static bool release(bsh_loader_t *l, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = 0; i < next->slots->len; i++) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);

		if (slot_is_busy(l, slot) ||
		    !bsh_cell_remove_holder(next, slot, &l->config.self))
			continue;
		changed = true;
	}
	return changed;
}

static bool hand_over(bsh_loader_t *l, const cell_t *c, bsh_cell_t *next)
{
	const bsh_sender_t *to = successor(l, c);

	if (!l->is_draining &&
	    (to == NULL || c->failing_us >= 0 || l->now_us < c->keep_us))
		return false;
	memset(&next->owner, 0, sizeof(next->owner));
	if (to != NULL)
		next->owner = *to;
	next->epoch++;
	release(l, next);
	l->counts.handovers++;
	loader_event(l, "handover", c, NULL,
		     to == NULL ? "draining, no successor" : to->instance);
	return true;
}

static bool take_targets(bsh_loader_t *l, cell_t *c, bsh_cell_t *next)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	if (c->list_seen == l->lists)
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

static bool take_slots(bsh_loader_t *l, bsh_cell_t *next)
{
	bool changed = false;

	for (guint i = 0; i < next->slots->len; i++) {
		bsh_slot_t *slot = &g_array_index(next->slots, bsh_slot_t, i);

		for (uint16_t h = slot->holder_count; h-- > 0;) {
			const bsh_sender_t *holder =
				bsh_cell_sender(next, slot->holders[h]);

			if (loader_is_settled_gone(l, holder) &&
			    bsh_cell_remove_holder(next, slot, holder))
				changed = true;
		}
		/* With a full list the slot waits until a holder is gone. */
		if (!bsh_cell_is_sender(next, slot, &l->config.self) &&
		    bsh_cell_set_sender(next, slot, &l->config.self) == BSH_OK)
			changed = true;
	}
	return changed;
}

/* Fills c->next; false when nothing has to be written. */
static bool plan(bsh_loader_t *l, cell_t *c)
{
	bsh_cell_t *next = &c->next;
	bool is_renewal =
		l->now_us - c->renewed_us >= ms_us(l->config.lease_ms) / 2;
	bool changed = false;

	if (loader_owns(l, c) && !c->is_due && !is_renewal)
		return false;
	c->is_due = false;
	bsh_cell_copy(next, &c->seen);
	if (!loader_owns(l, c)) {
		if (!may_claim(l, c, rank(l, c)))
			return c->is_held && release(l, next);
		l->counts.takeovers++;
		loader_event(l, "claim", c, NULL,
			     next->owner.instance[0] == '\0' ? "no owner"
			     : loader_is_gone(l, &next->owner)
				     ? "owner gone"
				     : "lease expired");
		/* The owner that just failed is not preferred for a while. */
		if (next->owner.instance[0] != '\0')
			c->keep_us = l->now_us + KEEP_OWNER_US;
		next->owner = l->config.self;
		next->epoch++;
		next->cells = c->version == 0 ? c->pool->cells : next->cells;
		take_slots(l, next);
		return true;
	}
	if (hand_over(l, c, next))
		return true;
	changed |= take_slots(l, next);
	changed |= take_targets(l, c, next);
	changed |= slots_plan(l, c, next);
	changed |= place_plan(l, c, next);
	changed |= is_renewal;
	if (!changed)
		c->list_seen = l->lists;
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
		c->next_io_us = l->now_us + REJECTED_US;
		return;
	}
	c->io = IO_UPDATE;
	c->io_us = l->now_us;
	l->counts.updates++;
	l->ops->update(l->ctx, c->name, c->version, value);
}

static void write_next(bsh_loader_t *l, cell_t *c)
{
	if (!plan(l, c))
		return;
	if (bsh_sender_equal(&c->next.owner, &l->config.self) ||
	    loader_owns(l, c))
		c->next.renewal++;
	c->next.generation = MAX(c->next.generation, l->generation);
	c->next.update_attempt = loader_attempt(l);
	send_update(l, c);
}

static bool needs_read(const bsh_loader_t *l, cell_t *c)
{
	if (c->wants_read)
		return true;
	if (loader_owns(l, c))
		return false;
	/* Only the first candidates and holders watch a cell. */
	if (!c->is_held && rank(l, c) >= OBSERVERS)
		return false;
	return !c->is_seen || c->next_read_us <= l->now_us;
}

static void store_step(bsh_loader_t *l, cell_t *c)
{
	if (c->io != IO_IDLE || l->now_us < c->next_io_us)
		return;
	if (needs_read(l, c))
		start_read(l, c);
	else if (c->is_lost)
		/*
		 * The read showed the old version, but the first request may
		 * still arrive.  The same value is sent again, so whichever
		 * request arrives first has the effect remembered here.
		 */
		send_update(l, c);
	else if (c->is_seen)
		write_next(l, c);
}

void cell_run(bsh_loader_t *l, cell_t *c)
{
	store_step(l, c);
	if (!loader_owns(l, c))
		return;
	slots_order(l, c);
	route_run(l, c, false);
}
