/* What the holder of the lease tells the other instances: the targets and what
 * they hold, so that not every instance has to follow them in the store. */
#include "control.h"

#include <string.h>

/* Announcements that an instance can make up for one by one; one that is
 * further behind is told all targets. */
#define LOG_SIZE 512U
/* Targets in one announcement at most. */
#define BATCH_TARGETS 6U
/* Room for the fields of an entry besides its strings and holdings, and for
 * those of the message. */
#define ENTRY_BYTES   64U
#define MESSAGE_BYTES 160U
#define READY_MAX     40U
/* Changes within this time make one announcement: each costs the holder a
 * datagram to every instance. */
#define COALESCE_US INT64_C(15000)
/* A datagram on its way is not taken for lost before this time. */
#define SETTLE_US INT64_C(80000)
/* An instance that is still behind is told again after this time. */
#define AGAIN_US INT64_C(200000)

/* What one announcement was about, and when it was sent. */
typedef struct {
	char targets[BATCH_TARGETS][BSH_NAME_SIZE];
	uint32_t n;
	int64_t sent_us;
} record_t;

struct announcer {
	control_t *control;
	uint64_t last; /* number of the last announcement of this term */
	record_t log[LOG_SIZE];
	GPtrArray *changed; /* ids of targets to be announced */
	bsh_loop_timer_t timer;
	GHashTable *told_us; /* instance to when it was last told again */
};

typedef struct {
	bsh_placement_entry_t entries[BATCH_TARGETS];
	uint32_t pairs[BATCH_TARGETS][2 * BSH_TARGET_HOLDINGS_MAX];
	char ids[BATCH_TARGETS][BSH_NAME_SIZE];
	uint32_t n;
	size_t bytes;
} batch_t;

static void announce(void *ctx);

announcer_t *announcer_new(control_t *control)
{
	announcer_t *announcer = g_new0(announcer_t, 1);

	announcer->control = control;
	announcer->changed = g_ptr_array_new_with_free_func(g_free);
	bsh_loop_timer_init(&announcer->timer, control->loop, announce,
			    announcer);
	announcer->told_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return announcer;
}

void announcer_free(announcer_t *announcer)
{
	bsh_loop_timer_stop(&announcer->timer);
	g_ptr_array_free(announcer->changed, TRUE);
	g_hash_table_destroy(announcer->told_us);
	g_free(announcer);
}

void announcer_begin(announcer_t *announcer)
{
	announcer->last = 0;
	g_hash_table_remove_all(announcer->told_us);
}

static void encode_pairs(const bsh_holdings_t *holdings, uint32_t *pairs)
{
	for (uint32_t i = 0; i < holdings->n; i++) {
		pairs[2 * i] = GUINT32_TO_BE(holdings->items[i].model);
		pairs[2 * i + 1] = GUINT32_TO_BE(holdings->items[i].adapter);
	}
}

/* False if the batch has no room for the target. */
static bool add_target(const announcer_t *announcer, batch_t *batch,
		       const char *id)
{
	const control_t *control = announcer->control;
	const bsh_target_t *target = targets_find(control->targets, id);
	bsh_placement_entry_t entry = { .state = BSH_TARGET_GONE,
					.number = announcer->last,
					.service = "",
					.address = "",
					.zone = "" };
	const bsh_holdings_t *holdings = NULL;
	size_t bytes = ENTRY_BYTES + strlen(id);

	if (target != NULL) {
		holdings =
			orders_usable(control->orders, target, &entry.version);
		if (holdings == NULL)
			holdings = &target->holdings;
		entry.service = target->service;
		entry.address = target->address;
		entry.zone = target->zone;
		entry.slots = target->slots;
		entry.state =
			target->leaving ? BSH_TARGET_LEAVING : BSH_TARGET_LIVE;
		if (targets_is_missing(control->targets, id, &entry.grace_ms))
			entry.state = BSH_TARGET_MISSING;
		entry.started_ms = target->started_ms;
		entry.holdings_bytes =
			holdings->n * 2 * (uint32_t)sizeof(uint32_t);
		bytes += strlen(entry.service) + strlen(entry.address) +
			 strlen(entry.zone) + entry.holdings_bytes;
	}
	if (batch->n == BATCH_TARGETS ||
	    (batch->n > 0 &&
	     batch->bytes + bytes + MESSAGE_BYTES > BSH_DATAGRAM_MESSAGE_MAX_BYTES))
		return false;
	g_strlcpy(batch->ids[batch->n], id, BSH_NAME_SIZE);
	entry.target = batch->ids[batch->n];
	if (holdings != NULL)
		encode_pairs(holdings, batch->pairs[batch->n]);
	entry.holdings = (const uint8_t *)batch->pairs[batch->n];
	batch->entries[batch->n++] = entry;
	batch->bytes += bytes;
	return true;
}

/* Since the store last answered, or since its watch on the targets should have:
 * the others rely on that one too. */
static int64_t contact_age_us(const control_t *control)
{
	int64_t now_us = bsh_loop_clock_us();

	return MAX(now_us - control->store.answered_us,
		   now_us - targets_due_us(control->targets));
}

/* To one instance, or to all when instance is NULL. */
static void send_batch(const announcer_t *announcer, const char *instance,
		       batch_t *batch, uint64_t from, uint64_t to,
		       const bsh_ready_entry_t *ready, uint32_t n_ready)
{
	control_t *control = announcer->control;
	const bsh_lease_t *lease = orders_lease(control->orders);
	bsh_message_t message = { .type = BSH_MSG_PLACEMENT };
	bsh_msg_placement_t *placement = &message.placement;
	int64_t age_us = contact_age_us(control);

	placement->term = lease->term;
	placement->revision = lease->revision;
	placement->active = lease->active;
	placement->sent_us = (uint64_t)control_now_us(control);
	placement->contact_age_ms =
		(uint32_t)CLAMP(age_us / 1000, 0, UINT32_MAX);
	placement->from = from;
	placement->to = to;
	placement->entries = batch->entries;
	placement->entry_count = batch->n;
	placement->ready = ready;
	placement->ready_count = n_ready;
	if (instance == NULL)
		peers_broadcast(control->peers, &message);
	else
		peers_send(control->peers, instance, &message);
	batch->n = 0;
	batch->bytes = 0;
}

void announcer_changed(announcer_t *announcer, const char *target)
{
	if (!orders_is_holder(announcer->control->orders))
		return;
	for (guint i = 0; i < announcer->changed->len; i++)
		if (strcmp(g_ptr_array_index(announcer->changed, i), target) ==
		    0)
			return;
	g_ptr_array_add(announcer->changed, g_strdup(target));
	if (!bsh_loop_timer_is_running(&announcer->timer))
		bsh_loop_timer_after(&announcer->timer, COALESCE_US);
}

/* The next announcement to all: as many of the changed targets as fit. */
static void announce_some(announcer_t *announcer)
{
	record_t *record = &announcer->log[++announcer->last % LOG_SIZE];
	batch_t batch = { .n = 0 };

	record->n = 0;
	record->sent_us = bsh_loop_clock_us();
	while (announcer->changed->len > 0 &&
	       add_target(announcer, &batch,
			  g_ptr_array_index(announcer->changed, 0))) {
		g_strlcpy(record->targets[record->n++],
			  g_ptr_array_index(announcer->changed, 0),
			  BSH_NAME_SIZE);
		g_ptr_array_remove_index(announcer->changed, 0);
	}
	send_batch(announcer, NULL, &batch, announcer->last - 1,
		   announcer->last, NULL, 0);
}

static void announce(void *ctx)
{
	announcer_t *announcer = ctx;

	if (!orders_is_holder(announcer->control->orders))
		g_ptr_array_set_size(announcer->changed, 0);
	while (announcer->changed->len > 0)
		announce_some(announcer);
}

typedef struct {
	const announcer_t *announcer;
	const char *instance;
	batch_t batch;
} all_t;

/* Parts of a whole say nothing of what else is known. */
static void send_part(const announcer_t *announcer, const char *instance,
		      batch_t *batch)
{
	send_batch(announcer, instance, batch, UINT64_MAX, 0, NULL, 0);
}

static void add_any(void *ctx, const bsh_target_t *target)
{
	all_t *all = ctx;

	if (add_target(all->announcer, &all->batch, target->id))
		return;
	send_part(all->announcer, all->instance, &all->batch);
	add_target(all->announcer, &all->batch, target->id);
}

static void tell_all(const announcer_t *announcer, const char *instance)
{
	all_t all = { .announcer = announcer, .instance = instance };

	targets_foreach(announcer->control->targets, add_any, &all);
	send_batch(announcer, instance, &all.batch, 0, announcer->last, NULL,
		   0);
}

static void tell_since(const announcer_t *announcer, const char *instance,
		       uint64_t have)
{
	batch_t batch = { .n = 0 };

	for (uint64_t i = have + 1; i <= announcer->last; i++) {
		const record_t *record = &announcer->log[i % LOG_SIZE];

		for (uint32_t j = 0; j < record->n; j++) {
			if (add_target(announcer, &batch, record->targets[j]))
				continue;
			send_part(announcer, instance, &batch);
			add_target(announcer, &batch, record->targets[j]);
		}
		send_batch(announcer, instance, &batch, i - 1, i, NULL, 0);
	}
}

void announcer_catch_up(announcer_t *announcer, const char *instance,
			uint64_t term, uint64_t have)
{
	const bsh_lease_t *lease = orders_lease(announcer->control->orders);
	int64_t now_us = bsh_loop_clock_us();
	int64_t *told_us = g_hash_table_lookup(announcer->told_us, instance);
	bool is_old;

	if (!orders_is_holder(announcer->control->orders) ||
	    term != lease->term || have >= announcer->last)
		return;
	is_old = announcer->last - have >= LOG_SIZE;
	if (!is_old &&
	    now_us - announcer->log[(have + 1) % LOG_SIZE].sent_us < SETTLE_US)
		return;
	if (told_us == NULL) {
		told_us = g_new0(int64_t, 1);
		g_hash_table_insert(announcer->told_us, g_strdup(instance),
				    told_us);
	}
	if (now_us - *told_us < AGAIN_US)
		return;
	*told_us = now_us;
	if (have == 0 || is_old)
		tell_all(announcer, instance);
	else
		tell_since(announcer, instance, have);
}

void announcer_beacon(announcer_t *announcer)
{
	const GArray *estimates = orders_ready(announcer->control->orders);
	int64_t now_us = control_now_us(announcer->control);
	bsh_ready_entry_t ready[READY_MAX];
	batch_t batch = { .n = 0 };
	uint32_t n = 0;

	for (; n < estimates->len && n < READY_MAX; n++) {
		const view_ready_t *item =
			&g_array_index(estimates, view_ready_t, n);

		ready[n].model = item->model;
		ready[n].adapter = item->adapter;
		ready[n].ready_in_ms = UINT32_MAX;
		if (item->ready_us != INT64_MAX)
			ready[n].ready_in_ms =
				(uint32_t)(MAX(item->ready_us - now_us, 0) /
					   1000);
	}
	send_batch(announcer, NULL, &batch, announcer->last, announcer->last,
		   ready, n);
}
