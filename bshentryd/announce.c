/* Announcements of the lease holder to the other instances: the targets and
 * what they hold, so that not every instance has to watch them in the store. */
#include "control.h"

#include <math.h>
#include <string.h>

/* Announcements kept for retransmission.  An instance that lacks this many or
 * more is sent all targets. */
#define LOG_ENTRIES 512U
/* Targets in one announcement. */
#define BATCH_TARGETS_MAX 6U
/* Upper bounds of the encoded size of an entry without its strings and
 * holdings, and of the other fields of the message. */
#define ENTRY_OVERHEAD_BYTES   64U
#define MESSAGE_OVERHEAD_BYTES 160U
#define READY_ENTRIES_MAX      40U
/* Changes within this time share one announcement: each announcement costs the
 * holder a datagram to every instance. */
#define COALESCE_DELAY_US INT64_C(15000)
/* Datagrams of announcements that are sent at once, and the time until the next
 * ones: 10,000 a second, a third of a core and half of a link of 200 Mbit/s. */
#define BURST_DATAGRAMS 500U
#define BURST_DELAY_US	INT64_C(50000)
/* An announcement is not taken for lost within this time after it was sent. */
#define DELIVERY_TIMEOUT_US INT64_C(80000)
/* Shortest time between two retransmissions to one instance. */
#define RETRANSMIT_INTERVAL_US INT64_C(200000)
/* Datagrams of whole lists in a second, and at once: what a link of 10 Mbit/s
 * carries.  Without a bound, those for 100 instances with 1,000 targets kept the
 * store's answers from the holder, which lost the lease. */
#define LIST_DATAGRAMS_PER_S 1000.0
/* Time in the term for which whole lists wait until the base of this one can be
 * announced, and for which it is; and time for the reports that follow. */
#define BASE_WAIT_US	INT64_C(600000)
#define BASE_TIME_US	INT64_C(3000000)
#define BASE_REPORTS_US INT64_C(400000)
/* The holder has announced a change that is older than this, or its term is over
 * in less. */
#define UNANNOUNCED_US	   INT64_C(10000000)
#define FORGET_INTERVAL_US INT64_C(1000000)

/* One announcement, as kept for retransmission. */
typedef struct {
	char targets[BATCH_TARGETS_MAX][BSH_NAME_SIZE];
	uint32_t n;
	int64_t sent_us; /* loop clock */
} announcement_t;

struct announcer {
	control_t *control;
	uint64_t last; /* number of the last announcement of this term */
	announcement_t log[LOG_ENTRIES]; /* number n at n % LOG_ENTRIES */
	GPtrArray *pending;		 /* ids of targets to be announced */
	bsh_loop_timer_t timer;
	/* Instance to time of its last retransmission, loop clock. */
	GHashTable *retransmitted_us;
	/* Id of a target to the last announcement of it in this term. */
	GHashTable *changes;
	double list_datagrams; /* that may be sent now */
	int64_t list_us;       /* when they were counted */
	/* Id of a target to the time of its last change here that the holder of
	 * the lease has not announced. */
	GHashTable *unannounced;
	int64_t forgot_us; /* when older ones were last dropped from it */
	int64_t term_us;   /* begin of the own term */
	int64_t base_us;   /* first TERM_BASE of it; 0: none yet */
	bsh_announced_base_t base;
	bsh_announced_base_t own; /* end of the last own term */
};

/* Targets of a message that is being built; the entries point into ids and
 * pairs. */
typedef struct {
	bsh_placement_entry_t entries[BATCH_TARGETS_MAX];
	uint32_t pairs[BATCH_TARGETS_MAX][2 * BSH_TARGET_HOLDINGS_MAX];
	char ids[BATCH_TARGETS_MAX][BSH_NAME_SIZE];
	uint32_t n;
	size_t bytes; /* upper bound of the encoded entries */
} batch_t;

static void send_pending(void *ctx);

/* A table from names to times. */
static GHashTable *new_times(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

announcer_t *announcer_new(control_t *control)
{
	announcer_t *announcer = g_new0(announcer_t, 1);

	announcer->control = control;
	announcer->pending = g_ptr_array_new_with_free_func(g_free);
	bsh_loop_timer_init(&announcer->timer, control->loop, send_pending,
			    announcer);
	announcer->retransmitted_us = new_times();
	announcer->changes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	announcer->unannounced = new_times();
	announcer->list_datagrams = LIST_DATAGRAMS_PER_S;
	return announcer;
}

void announcer_free(announcer_t *announcer)
{
	bsh_loop_timer_stop(&announcer->timer);
	g_ptr_array_free(announcer->pending, TRUE);
	g_hash_table_destroy(announcer->retransmitted_us);
	g_hash_table_destroy(announcer->changes);
	g_hash_table_destroy(announcer->unannounced);
	g_free(announcer);
}

static gboolean is_announced(void *key, void *changed_us, void *now_us)
{
	(void)key;
	return *(const int64_t *)now_us - *(const int64_t *)changed_us >
	       UNANNOUNCED_US;
}

static void forget_announced(announcer_t *announcer)
{
	int64_t now_us = bsh_loop_clock_us();

	announcer->forgot_us = now_us;
	g_hash_table_foreach_remove(announcer->unannounced, is_announced,
				    &now_us);
}

static void note_unannounced(announcer_t *announcer, const char *target)
{
	int64_t *changed_us = g_new0(int64_t, 1);

	*changed_us = bsh_loop_clock_us();
	g_hash_table_replace(announcer->unannounced, g_strdup(target),
			     changed_us);
	/* At a start all targets are noted at a time. */
	if (*changed_us - announcer->forgot_us > FORGET_INTERVAL_US)
		forget_announced(announcer);
}

void announcer_note_announced(announcer_t *announcer, const char *target)
{
	if (targets_follow_holder(announcer->control->targets))
		g_hash_table_remove(announcer->unannounced, target);
}

/* Announces what the list here has and the announcements of the former term may
 * not have. */
static void queue_unannounced(announcer_t *announcer)
{
	GHashTable *targets = announcer->unannounced;
	GHashTableIter iter;
	void *target;

	forget_announced(announcer);
	announcer->unannounced = new_times();
	g_hash_table_iter_init(&iter, targets);
	while (g_hash_table_iter_next(&iter, &target, NULL))
		announcer_queue_target(announcer, target);
	g_hash_table_destroy(targets);
}

void announcer_begin_term(announcer_t *announcer)
{
	bsh_announced_base_t base =
		orders_announced_base(announcer->control->orders);

	announcer->base =
		announcer->own.term > base.term ? announcer->own : base;
	announcer->own.term = orders_lease(announcer->control->orders)->term;
	announcer->term_us = bsh_loop_clock_us();
	announcer->base_us = 0;
	announcer->last = BSH_ANNOUNCED_BEGIN;
	announcer->own.number = announcer->last;
	announcer->log[BSH_ANNOUNCED_BEGIN].n = 0;
	announcer->log[BSH_ANNOUNCED_BEGIN].sent_us = bsh_loop_clock_us();
	g_hash_table_remove_all(announcer->retransmitted_us);
	g_hash_table_remove_all(announcer->changes);
	queue_unannounced(announcer);
}

/* Notes the last announcement as that of the target's last change. */
static void note_change(const announcer_t *announcer, const char *target)
{
	if (targets_find(announcer->control->targets, target) == NULL)
		g_hash_table_remove(announcer->changes, target);
	else
		g_hash_table_replace(announcer->changes, g_strdup(target),
				     GUINT_TO_POINTER((guint)announcer->last));
}

static void encode_pairs(const bsh_holdings_t *holdings, uint32_t *pairs)
{
	for (uint32_t i = 0; i < holdings->n; i++) {
		pairs[2 * i] = GUINT32_TO_BE(holdings->items[i].model);
		pairs[2 * i + 1] = GUINT32_TO_BE(holdings->items[i].adapter);
	}
}

/* Adds the state of a target.  Returns false if the batch has no room. */
static bool add_target(const announcer_t *announcer, batch_t *batch,
		       const char *id)
{
	const control_t *control = announcer->control;
	const bsh_target_t *target = targets_find(control->targets, id);
	bsh_placement_entry_t entry = { .state = BSH_TARGET_GONE,
					.number = announcer->last,
					.service = "",
					.address = "",
					.zone = "",
					.software = "" };
	const bsh_holdings_t *holdings = NULL;
	size_t bytes = ENTRY_OVERHEAD_BYTES + strlen(id);

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
		entry.software = target->software;
		entry.holdings_bytes =
			holdings->n * 2 * (uint32_t)sizeof(uint32_t);
		bytes += strlen(entry.service) + strlen(entry.address) +
			 strlen(entry.zone) + strlen(entry.software) +
			 entry.holdings_bytes;
	}
	if (batch->n == BATCH_TARGETS_MAX ||
	    (batch->n > 0 && batch->bytes + bytes + MESSAGE_OVERHEAD_BYTES >
				     BSH_DATAGRAM_MESSAGE_MAX_BYTES))
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

/* Time since the store last answered or, if that is longer, since it should
 * have answered the watch on the targets, on which the other instances rely. */
static int64_t contact_age_us(const control_t *control)
{
	int64_t now_us = bsh_loop_clock_us();

	return MAX(now_us - control->store.answered_us,
		   now_us - targets_watch_due_us(control->targets));
}

/* Sends the batch to one instance, or to all if instance is NULL, and empties
 * it. */
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

void announcer_tell_targets(const announcer_t *announcer, const GPtrArray *ids)
{
	batch_t batch = { .n = 0 };
	bsh_message_t message = { .type = BSH_MSG_READER_TARGETS };

	for (guint i = 0; i < ids->len;) {
		while (i < ids->len &&
		       add_target(announcer, &batch, g_ptr_array_index(ids, i)))
			i++;
		message.reader_targets.entries = batch.entries;
		message.reader_targets.entry_count = batch.n;
		peers_broadcast(announcer->control->peers, &message);
		batch.n = 0;
		batch.bytes = 0;
	}
}

void announcer_queue_target(announcer_t *announcer, const char *target)
{
	if (!orders_is_holder(announcer->control->orders)) {
		note_unannounced(announcer, target);
		return;
	}
	for (guint i = 0; i < announcer->pending->len; i++)
		if (strcmp(g_ptr_array_index(announcer->pending, i), target) ==
		    0)
			return;
	g_ptr_array_add(announcer->pending, g_strdup(target));
	if (!bsh_loop_timer_is_running(&announcer->timer))
		bsh_loop_timer_after(&announcer->timer, COALESCE_DELAY_US);
}

/* Sends the next announcement to all instances, with as many of the pending
 * targets as fit. */
static void send_announcement(announcer_t *announcer)
{
	announcement_t *announcement =
		&announcer->log[++announcer->last % LOG_ENTRIES];
	batch_t batch = { .n = 0 };

	announcer->own.number = announcer->last;
	announcement->n = 0;
	announcement->sent_us = bsh_loop_clock_us();
	while (announcer->pending->len > 0 &&
	       add_target(announcer, &batch,
			  g_ptr_array_index(announcer->pending, 0))) {
		g_strlcpy(announcement->targets[announcement->n++],
			  g_ptr_array_index(announcer->pending, 0),
			  BSH_NAME_SIZE);
		note_change(announcer,
			    g_ptr_array_index(announcer->pending, 0));
		g_ptr_array_remove_index(announcer->pending, 0);
	}
	send_batch(announcer, NULL, &batch, announcer->last - 1,
		   announcer->last, NULL, 0);
}

/* The term has ended before these were announced. */
static void drop_pending(announcer_t *announcer)
{
	for (guint i = 0; i < announcer->pending->len; i++)
		note_unannounced(announcer,
				 g_ptr_array_index(announcer->pending, i));
	g_ptr_array_set_size(announcer->pending, 0);
}

static void send_pending(void *ctx)
{
	announcer_t *announcer = ctx;

	uint32_t instances =
		MAX(peers_instance_count(announcer->control->peers), 1);
	uint32_t sent = 0;

	if (!orders_is_holder(announcer->control->orders))
		drop_pending(announcer);
	do {
		if (announcer->pending->len == 0)
			return;
		send_announcement(announcer);
		sent += instances;
	} while (sent < BURST_DATAGRAMS);
	if (announcer->pending->len > 0)
		bsh_loop_timer_after(&announcer->timer, BURST_DELAY_US);
}

typedef struct {
	const announcer_t *announcer;
	const char *instance;
	batch_t batch;
} full_list_t;

/* Sends a datagram that does not show which announcements it includes. */
static void send_unnumbered(const announcer_t *announcer, const char *instance,
			    batch_t *batch)
{
	send_batch(announcer, instance, batch, UINT64_MAX, 0, NULL, 0);
}

static void add_to_full_list(void *ctx, const bsh_target_t *target)
{
	full_list_t *full = ctx;

	if (add_target(full->announcer, &full->batch, target->id))
		return;
	send_unnumbered(full->announcer, full->instance, &full->batch);
	add_target(full->announcer, &full->batch, target->id);
}

typedef struct {
	const announcer_t *announcer;
	GArray *keys;
	GArray *changes;
} inventory_list_t;

static void add_to_inventory(void *ctx, const bsh_target_t *target)
{
	inventory_list_t *list = ctx;
	uint32_t key = GUINT32_TO_BE(bsh_target_key(target->id));
	uint32_t change = GUINT32_TO_BE(GPOINTER_TO_UINT(
		g_hash_table_lookup(list->announcer->changes, target->id)));

	g_array_append_val(list->keys, key);
	g_array_append_val(list->changes, change);
}

/* Sends the keys of all targets and when they last changed: the instance drops
 * the others, and checks that it has received a state since then. */
static void send_inventory(const announcer_t *announcer, const char *instance)
{
	g_autoptr(GArray) keys = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	inventory_list_t list = { announcer, keys, changes };
	bsh_message_t message = { .type = BSH_MSG_INVENTORY };
	bsh_msg_inventory_t *inventory = &message.inventory;

	targets_foreach(announcer->control->targets, add_to_inventory, &list);
	inventory->term = orders_lease(announcer->control->orders)->term;
	inventory->number = announcer->last;
	inventory->parts = MAX((keys->len + BSH_INVENTORY_TARGETS_MAX - 1) /
				       BSH_INVENTORY_TARGETS_MAX,
			       1);
	for (; inventory->part < inventory->parts; inventory->part++) {
		guint first = inventory->part * BSH_INVENTORY_TARGETS_MAX;
		guint n = MIN(keys->len - first, BSH_INVENTORY_TARGETS_MAX);

		inventory->keys =
			(const uint8_t *)keys->data + first * sizeof(uint32_t);
		inventory->keys_bytes = n * (uint32_t)sizeof(uint32_t);
		inventory->changes = (const uint8_t *)changes->data +
				     first * sizeof(uint32_t);
		inventory->changes_bytes = inventory->keys_bytes;
		peers_send(announcer->control->peers, instance, &message);
	}
}

static void send_all_targets(const announcer_t *announcer, const char *instance)
{
	full_list_t full = { .announcer = announcer, .instance = instance };

	targets_foreach(announcer->control->targets, add_to_full_list, &full);
	send_unnumbered(announcer, instance, &full.batch);
	send_inventory(announcer, instance);
}

/* Returns false if the states of an announcement no longer fit one datagram: of
 * several the receiver would not know that one was lost. */
static bool retransmit_since(const announcer_t *announcer, const char *instance,
			     uint64_t received_through)
{
	batch_t batch = { .n = 0 };

	for (uint64_t i = received_through + 1; i <= announcer->last; i++) {
		const announcement_t *announcement =
			&announcer->log[i % LOG_ENTRIES];

		for (uint32_t j = 0; j < announcement->n; j++)
			if (!add_target(announcer, &batch,
					announcement->targets[j]))
				return false;
		send_batch(announcer, instance, &batch, i - 1, i, NULL, 0);
	}
	return true;
}

static void count_target(void *ctx, const bsh_target_t *target)
{
	(void)target;
	++*(uint32_t *)ctx;
}

/* Whether the whole list is sent: not while TERM_BASE may make it unnecessary, and
 * not more of them than a slow link carries. */
static bool may_send_list(announcer_t *announcer)
{
	int64_t now_us = bsh_loop_clock_us();
	uint32_t targets = 0;
	double datagrams;

	if (announcer->base.term != 0 &&
	    (announcer->base_us == 0
		     ? now_us - announcer->term_us < BASE_WAIT_US
		     : now_us - announcer->base_us < BASE_REPORTS_US))
		return false;
	targets_foreach(announcer->control->targets, count_target, &targets);
	datagrams =
		MIN(ceil((double)targets / BATCH_TARGETS_MAX) +
			    ceil((double)targets / BSH_INVENTORY_TARGETS_MAX),
		    LIST_DATAGRAMS_PER_S);
	announcer->list_datagrams =
		MIN(announcer->list_datagrams +
			    (double)(now_us - announcer->list_us) / 1e6 *
				    LIST_DATAGRAMS_PER_S,
		    LIST_DATAGRAMS_PER_S);
	announcer->list_us = now_us;
	if (announcer->list_datagrams < datagrams)
		return false;
	announcer->list_datagrams -= datagrams;
	return true;
}

/* Says on which announcements of the former term the list here is based, once it
 * has been read from the store in this term: what was found is announced. */
static void send_base(announcer_t *announcer)
{
	bsh_message_t message = { .type = BSH_MSG_TERM_BASE };
	int64_t now_us = bsh_loop_clock_us();

	if (announcer->base.term == 0 ||
	    !targets_are_current(announcer->control->targets) ||
	    (announcer->base_us != 0 &&
	     now_us - announcer->base_us > BASE_TIME_US))
		return;
	if (announcer->base_us == 0)
		announcer->base_us = now_us;
	message.term_base.term = announcer->own.term;
	message.term_base.former_term = announcer->base.term;
	message.term_base.number = announcer->base.number;
	peers_broadcast(announcer->control->peers, &message);
}

void announcer_catch_up(announcer_t *announcer, const char *instance,
			uint64_t term, uint64_t received_through)
{
	const bsh_lease_t *lease = orders_lease(announcer->control->orders);
	int64_t now_us = bsh_loop_clock_us();
	int64_t *retransmitted_us =
		g_hash_table_lookup(announcer->retransmitted_us, instance);
	bool exceeds_log;

	if (!orders_is_holder(announcer->control->orders) ||
	    term != lease->term || received_through >= announcer->last)
		return;
	exceeds_log = announcer->last - received_through >= LOG_ENTRIES;
	if (!exceeds_log &&
	    now_us - announcer->log[(received_through + 1) % LOG_ENTRIES]
				    .sent_us <
		    DELIVERY_TIMEOUT_US)
		return;
	if (retransmitted_us == NULL) {
		retransmitted_us = g_new0(int64_t, 1);
		g_hash_table_insert(announcer->retransmitted_us,
				    g_strdup(instance), retransmitted_us);
	}
	if (now_us - *retransmitted_us < RETRANSMIT_INTERVAL_US)
		return;
	*retransmitted_us = now_us;
	if (received_through != 0 && !exceeds_log &&
	    retransmit_since(announcer, instance, received_through))
		return;
	if (may_send_list(announcer))
		send_all_targets(announcer, instance);
}

void announcer_send_heartbeat(announcer_t *announcer)
{
	const GArray *estimates = orders_ready(announcer->control->orders);
	int64_t now_us = control_now_us(announcer->control);
	bsh_ready_entry_t ready[READY_ENTRIES_MAX];
	batch_t batch = { .n = 0 };
	uint32_t n = 0;

	for (; n < estimates->len && n < READY_ENTRIES_MAX; n++) {
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
	send_base(announcer);
}
