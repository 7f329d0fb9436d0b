/* The targets and what they hold, from their objects in the platform's store or
 * from the announcements of the lease holder. */
#include "control.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/departed_target.h"
#include "coordination/missing_target.h"
#include "coordination/target_inventory.h"
#include "platform/decode.h"
#include "base/name.h"

/* Target objects that expired during an outage of the store, or were lost with
 * a restore, are back within about 2 s; a target still without one is removed
 * then. */
#define OUTAGE_GRACE_US INT64_C(2500000)
/* A shorter outage lets no object expire: targets write theirs more often. */
#define OUTAGE_MIN_US INT64_C(2000000)
/* An announced placement is used instead of the holdings of the target's object
 * for this long; by then the target has updated its object. */
#define PLACEMENT_TTL_US INT64_C(2500000)
/* Timeout of one watch, as a share of the drain time and within these limits.
 * A watch that the store has lost reports no change until it is renewed, and a
 * leaving target must be detected within this share of the drain time. */
#define WATCH_TIMEOUT_MAX_MS  5000U
#define WATCH_TIMEOUT_MIN_MS  500U
#define WATCH_TIMEOUT_PERCENT 50
/* Shortest time between two watches, as a share of the drain time and at most
 * this: the targets of a large deployment change some ten times a second, and
 * each change would cost a call. */
#define WATCH_PACE_MAX_US  INT64_C(200000)
#define WATCH_PACE_DIVISOR 20

typedef struct {
	bsh_target_t target; /* last known state */
	uint64_t list;	     /* number of the last list that contained it */
	int64_t since_us;    /* when its process was first listed here */
	int64_t removal_us;  /* when it is removed, as its object is missing;
			      * 0: not missing */
	/* Placement announced by the lease holder. */
	bool has_placement;
	uint64_t placement_started_ms;
	uint64_t placement_term;
	uint64_t placement_version;
	int64_t placement_us; /* last announcement of it */
	bsh_holdings_t placement;
	/* Last announcement of the target that was applied. */
	uint64_t announcement_term;
	uint64_t announcement_number;
} listed_t;

/* Announcement that removed a target; an older one that arrives later must not
 * add the target again. */
typedef struct {
	uint64_t term;
	uint64_t number;
} tombstone_t;

struct targets {
	control_t *control;
	feed_t feed;
	GHashTable *table;	/* id to listed_t */
	GHashTable *tombstones; /* id to tombstone_t */
	bsh_departed_t departed;
	bool listed;
	/* Lower bound of the last time at which the list that the lease holder
	 * announces was complete. */
	int64_t announced_complete_us;
	int64_t store_restored_us; /* last restore of the store; 0: none */
};

static bsh_counter_t malformed_objects =
	BSH_COUNTER("bsh_target_entries_unusable_total",
		    "Entries of the list of targets that name no target.");
static bsh_counter_t target_count =
	BSH_GAUGE("bsh_targets", "Targets on the platform's list.");

/* Last time at which the list was known to be complete. */
static int64_t complete_us(const targets_t *targets)
{
	int64_t now_us = control_now_us(targets->control);
	int64_t own_age_us = bsh_loop_clock_us() - targets->feed.complete_us;

	return MAX(targets->announced_complete_us, now_us - own_age_us);
}

/* Time for which a target is kept after its object was found missing. */
static int64_t removal_grace_us(const targets_t *targets)
{
	const bsh_settings_t *settings = &targets->control->entry->settings;
	int64_t now_us = control_now_us(targets->control);
	int64_t outage_until_us = 0;

	int64_t recovered_us =
		now_us + targets->feed.recovered_us - bsh_loop_clock_us();

	/* If the store has neither failed since the start nor been restored,
	 * no object can have expired in an outage or been lost.  It has not
	 * failed either if it answered the lease holder all the while. */
	if (targets->feed.failed_us > 0 &&
	    targets->announced_complete_us < recovered_us - OUTAGE_MIN_US)
		outage_until_us = recovered_us + OUTAGE_GRACE_US;
	if (targets->store_restored_us > 0)
		outage_until_us =
			MAX(outage_until_us,
			    targets->store_restored_us + OUTAGE_GRACE_US);
	return bsh_missing_target_until_us(now_us, complete_us(targets),
					   settings->entry_drain_ms *
						   INT64_C(1000),
					   outage_until_us) -
	       now_us;
}

static void note_departure(targets_t *targets, const listed_t *listed)
{
	bsh_departed_add(&targets->departed, listed->target.id,
			 listed->target.started_ms,
			 targets->control->store.epoch,
			 control_now_us(targets->control));
}

static void remove_target(targets_t *targets, listed_t *listed,
			  const char *reason)
{
	g_autofree char *id = g_strdup(listed->target.id);

	bsh_log(BSH_LOG_INFO, "target-gone target=%s address=%s reason=%s", id,
		listed->target.address, reason);
	note_departure(targets, listed);
	g_hash_table_remove(targets->table, id);
	bsh_counter_set(&target_count, g_hash_table_size(targets->table));
	control_target_gone(targets->control, id);
}

static void mark_missing(targets_t *targets, listed_t *listed, int64_t grace_us)
{
	if (listed->removal_us != 0)
		return;
	/* A target that was leaving has stopped. */
	if (listed->target.leaving) {
		remove_target(targets, listed, "left");
		return;
	}
	note_departure(targets, listed);
	listed->removal_us = control_now_us(targets->control) + grace_us;
	bsh_log(BSH_LOG_INFO, "target-missing target=%s grace_ms=%d",
		listed->target.id, (int)(grace_us / 1000));
	control_target_missing(targets->control, listed->target.id);
}

static void update_target(targets_t *targets, const bsh_target_t *target,
			  uint64_t list)
{
	listed_t *listed = g_hash_table_lookup(targets->table, target->id);
	bool was_there = listed != NULL && listed->removal_us == 0;
	bool was_leaving;
	bool state_changed;
	bool copies_changed;
	bool same;

	if (listed == NULL) {
		listed = g_new0(listed_t, 1);
		g_hash_table_insert(targets->table, g_strdup(target->id),
				    listed);
		bsh_counter_set(&target_count,
				g_hash_table_size(targets->table));
	}
	same = was_there && bsh_target_equal(&listed->target, target);
	copies_changed = memcmp(&listed->target.copies, &target->copies,
				sizeof(target->copies)) != 0;
	if (target->started_ms != listed->placement_started_ms)
		listed->has_placement = false;
	/* A target that is leaving stays so until it is started again. */
	was_leaving = was_there && listed->target.leaving &&
		      listed->target.started_ms == target->started_ms;
	state_changed = !was_there || target->leaving != was_leaving ||
			listed->target.started_ms != target->started_ms;
	if (target->started_ms != listed->target.started_ms ||
	    listed->since_us == 0)
		listed->since_us = control_now_us(targets->control);
	listed->target = *target;
	listed->target.leaving = target->leaving || was_leaving;
	listed->removal_us = 0;
	if (list != 0)
		listed->list = list;
	if (same && copies_changed)
		control_target_copies_changed(targets->control,
					      &listed->target);
	if (same)
		return;
	bsh_log(BSH_LOG_INFO,
		"target-listed target=%s service=%s address=%s zone=%s "
		"software=%s leaving=%d holdings=%u",
		target->id, target->service, target->address, target->zone,
		target->software, target->leaving, target->holdings.n);
	control_target_changed(targets->control, &listed->target);
	if (state_changed)
		control_target_state_changed(targets->control, target->id);
}

/* False if the target has left and its entry may be from the copy from which the
 * store was restored since. */
static bool has_returned(targets_t *targets, const bsh_target_t *target,
			 uint64_t revision, uint64_t list)
{
	bsh_departed_entry_t entry = {
		.id = target->id,
		.started_ms = target->started_ms,
		.epoch = platform_revision_epoch(revision),
		.revision = revision,
		.from_list = list != 0,
	};

	if (bsh_departed_accept(&targets->departed, &entry,
				control_now_us(targets->control)))
		return true;
	bsh_log(BSH_LOG_INFO,
		"target-entry-outdated target=%s revision=%" G_GUINT64_FORMAT,
		target->id, revision);
	return false;
}

static void on_object(void *ctx, const platform_object_t *object, uint64_t list)
{
	targets_t *targets = ctx;
	listed_t *listed = g_hash_table_lookup(targets->table, object->name);
	char name[BSH_LOG_TEXT_SIZE];
	bsh_target_t target;
	const char *field;

	if (object->deleted) {
		if (listed != NULL)
			mark_missing(targets, listed,
				     removal_grace_us(targets));
		return;
	}
	if (platform_decode_target(object->name, object->spec, &target,
				   &field) == BSH_OK) {
		if (has_returned(targets, &target, object->revision, list))
			update_target(targets, &target, list);
		return;
	}
	bsh_counter_add(&malformed_objects, 1);
	bsh_log(BSH_LOG_WARNING, "target-entry-unusable target=%s field=%s",
		bsh_log_text(object->name, name), field);
	if (listed != NULL)
		mark_missing(targets, listed, removal_grace_us(targets));
}

static void on_listed(void *ctx, uint64_t list)
{
	targets_t *targets = ctx;
	GPtrArray *absent = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		listed_t *listed = data;

		if (listed->list != list)
			g_ptr_array_add(absent, listed);
	}
	for (guint i = 0; i < absent->len; i++)
		mark_missing(targets, g_ptr_array_index(absent, i),
			     removal_grace_us(targets));
	g_ptr_array_free(absent, TRUE);
	targets->listed = true;
	control_schedule_view(targets->control);
}

static void on_resync_needed(void *ctx)
{
	const targets_t *targets = ctx;

	control_relist(targets->control);
}

static int64_t watch_pace_us(const bsh_settings_t *settings)
{
	return MIN(settings->entry_drain_ms * INT64_C(1000) /
			   WATCH_PACE_DIVISOR,
		   WATCH_PACE_MAX_US);
}

static uint32_t watch_timeout_ms(const bsh_settings_t *settings)
{
	return CLAMP(settings->entry_drain_ms * WATCH_TIMEOUT_PERCENT / 100,
		     WATCH_TIMEOUT_MIN_MS, WATCH_TIMEOUT_MAX_MS);
}

targets_t *targets_new(control_t *control)
{
	targets_t *targets = g_new0(targets_t, 1);
	feed_ops_t ops = { .on_object = on_object,
			   .on_listed = on_listed,
			   .on_resync_needed = on_resync_needed,
			   .ctx = targets,
			   .wait_ms =
				   watch_timeout_ms(&control->entry->settings),
			   .pace_us =
				   watch_pace_us(&control->entry->settings) };

	bsh_counter_register(&malformed_objects);
	bsh_counter_register(&target_count);
	targets->control = control;
	targets->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	targets->tombstones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bsh_departed_init(&targets->departed);
	feed_init(&targets->feed, &control->store, control->loop,
		  PLATFORM_KIND_TARGETS, &ops);
	return targets;
}

void targets_start(targets_t *targets)
{
	feed_start_once(&targets->feed);
}

void targets_relist(targets_t *targets)
{
	feed_relist(&targets->feed);
}

void targets_store_restored(targets_t *targets)
{
	targets->store_restored_us = control_now_us(targets->control);
}

void targets_free(targets_t *targets)
{
	feed_stop(&targets->feed);
	g_hash_table_destroy(targets->table);
	g_hash_table_destroy(targets->tombstones);
	bsh_departed_finish(&targets->departed);
	g_free(targets);
}

bool targets_listed(const targets_t *targets)
{
	return targets->listed;
}

static void decode_pairs(const bsh_placement_entry_t *entry,
			 bsh_holdings_t *holdings)
{
	uint32_t pair[2];

	memset(holdings, 0, sizeof(*holdings));
	for (uint32_t at = 0; at + sizeof(pair) <= entry->holdings_bytes;
	     at += sizeof(pair)) {
		memcpy(pair, entry->holdings + at, sizeof(pair));
		bsh_holdings_add(holdings, GUINT32_FROM_BE(pair[0]),
				 GUINT32_FROM_BE(pair[1]));
	}
}

static void set_placement(targets_t *targets,
			  const bsh_placement_entry_t *entry,
			  const bsh_holdings_t *holdings, uint64_t term)
{
	listed_t *listed = g_hash_table_lookup(targets->table, entry->target);
	bool same;

	if (listed == NULL || entry->started_ms != listed->target.started_ms ||
	    (listed->has_placement && term < listed->placement_term) ||
	    (listed->has_placement && term == listed->placement_term &&
	     entry->version < listed->placement_version))
		return;
	same = listed->has_placement &&
	       bsh_holdings_equal(holdings, &listed->placement);
	listed->has_placement = true;
	listed->placement_us = control_now_us(targets->control);
	listed->placement_started_ms = entry->started_ms;
	listed->placement_term = term;
	listed->placement_version = entry->version;
	listed->placement = *holdings;
	if (!same)
		control_schedule_view(targets->control);
}

/* Returns false if a later announcement has been applied to the target. */
static bool accept_announcement(targets_t *targets,
				const bsh_placement_entry_t *entry,
				uint64_t term)
{
	listed_t *listed = g_hash_table_lookup(targets->table, entry->target);
	tombstone_t *tombstone =
		g_hash_table_lookup(targets->tombstones, entry->target);

	if (tombstone != NULL &&
	    (term < tombstone->term ||
	     (term == tombstone->term && entry->number < tombstone->number)))
		return false;
	/* That it is gone may be told again: the first message has no effect
	 * while the store is the source. */
	if (tombstone != NULL && term == tombstone->term &&
	    entry->number == tombstone->number &&
	    entry->state != BSH_TARGET_GONE)
		return false;
	if (entry->state == BSH_TARGET_GONE) {
		tombstone = g_new0(tombstone_t, 1);
		tombstone->term = term;
		tombstone->number = entry->number;
		g_hash_table_replace(targets->tombstones,
				     g_strdup(entry->target), tombstone);
	}
	return listed == NULL || term > listed->announcement_term ||
	       (term == listed->announcement_term &&
		entry->number >= listed->announcement_number);
}

/* Applies the announced state of a target. */
static void apply_announced_state(targets_t *targets,
				  const bsh_placement_entry_t *entry,
				  const bsh_holdings_t *holdings)
{
	listed_t *listed = g_hash_table_lookup(targets->table, entry->target);
	bsh_target_t target;

	if (entry->state == BSH_TARGET_GONE) {
		if (listed != NULL)
			remove_target(targets, listed, "told");
		return;
	}
	if (entry->state == BSH_TARGET_MISSING) {
		if (listed != NULL)
			mark_missing(targets, listed,
				     entry->grace_ms * INT64_C(1000));
		return;
	}
	memset(&target, 0, sizeof(target));
	/* Fields that are not announced stay as listed. */
	if (listed != NULL)
		target = listed->target;
	g_strlcpy(target.id, entry->target, sizeof(target.id));
	g_strlcpy(target.service, entry->service, sizeof(target.service));
	/* A process keeps its address; the own list may name another way to
	 * it. */
	if (listed == NULL || listed->target.started_ms != entry->started_ms)
		g_strlcpy(target.address, entry->address,
			  sizeof(target.address));
	g_strlcpy(target.zone, entry->zone, sizeof(target.zone));
	target.slots = entry->slots;
	target.leaving = entry->state == BSH_TARGET_LEAVING;
	target.started_ms = entry->started_ms;
	g_strlcpy(target.software, entry->software, sizeof(target.software));
	target.holdings = *holdings;
	/* The holder has accepted the target's entry. */
	bsh_departed_forget(&targets->departed, target.id);
	update_target(targets, &target, 0);
}

void targets_apply_announcement(targets_t *targets,
				const bsh_placement_entry_t *entry,
				uint64_t term, int64_t contact_age_us)
{
	bsh_holdings_t holdings;
	int64_t departed_us;
	listed_t *listed;

	if (!accept_announcement(targets, entry, term))
		return;
	decode_pairs(entry, &holdings);
	/* A holder that has lost the store still names targets that have
	 * departed since. */
	departed_us = bsh_departed_at_us(&targets->departed, entry->target,
					 entry->started_ms);
	if (targets_follow_holder(targets) &&
	    (departed_us == 0 ||
	     control_now_us(targets->control) - contact_age_us >=
		     departed_us)) {
		apply_announced_state(targets, entry, &holdings);
		listed = g_hash_table_lookup(targets->table, entry->target);
		if (listed != NULL) {
			listed->announcement_term = term;
			listed->announcement_number = entry->number;
		}
	}
	if (entry->state != BSH_TARGET_GONE && entry->version > 0)
		set_placement(targets, entry, &holdings, term);
}

bool targets_follow_holder(const targets_t *targets)
{
	return targets->feed.paused || !targets->feed.reached;
}

bool targets_apply_inventory(targets_t *targets, GHashTable *changes,
			     uint64_t term)
{
	g_autoptr(GPtrArray) gone = g_ptr_array_new();
	g_autoptr(GArray) marks =
		g_array_new(FALSE, FALSE, sizeof(bsh_target_mark_t));
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		listed_t *listed = data;
		bsh_target_mark_t mark = { bsh_target_key(listed->target.id),
					   listed->announcement_term,
					   listed->announcement_number };

		g_array_append_val(marks, mark);
		if (!g_hash_table_contains(changes, GUINT_TO_POINTER(mark.key)))
			g_ptr_array_add(gone, listed);
	}
	if (!bsh_target_inventory_covered(
		    changes, term,
		    (const bsh_target_mark_t *)(void *)marks->data, marks->len))
		return false;
	/* A target on the own list may be newer than the holder's. */
	if (!targets_follow_holder(targets))
		return true;
	for (guint i = 0; i < gone->len; i++)
		remove_target(targets, g_ptr_array_index(gone, i), "told");
	return true;
}

static void add_keys(GHashTable *table, const uint8_t *keys, uint32_t bytes)
{
	uint32_t key;

	for (uint32_t at = 0; at + sizeof(key) <= bytes; at += sizeof(key)) {
		memcpy(&key, keys + at, sizeof(key));
		g_hash_table_add(table, GUINT_TO_POINTER(GUINT32_FROM_BE(key)));
	}
}

bool targets_apply_reader(targets_t *targets, const bsh_msg_reader_t *message)
{
	g_autoptr(GHashTable) leaving =
		g_hash_table_new(g_direct_hash, g_direct_equal);
	g_autoptr(GHashTable) missing =
		g_hash_table_new(g_direct_hash, g_direct_equal);
	g_autoptr(GPtrArray) listed_targets = g_ptr_array_new();
	int64_t answered_us = control_now_us(targets->control) -
			      message->contact_age_ms * INT64_C(1000);
	GHashTableIter iter;
	void *data;
	bool news = false;

	if (!targets_follow_holder(targets))
		return false;
	add_keys(leaving, message->leaving, message->leaving_bytes);
	add_keys(missing, message->missing, message->missing_bytes);
	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		g_ptr_array_add(listed_targets, data);
	for (guint i = 0; i < listed_targets->len; i++) {
		listed_t *listed = g_ptr_array_index(listed_targets, i);
		void *key = GUINT_TO_POINTER(bsh_target_key(listed->target.id));

		if (g_hash_table_contains(leaving, key) &&
		    !listed->target.leaving) {
			listed->target.leaving = true;
			bsh_log(BSH_LOG_INFO, "target-leaving target=%s",
				listed->target.id);
			control_target_changed(targets->control,
					       &listed->target);
			news = true;
		} else if (g_hash_table_contains(missing, key) &&
			   listed->removal_us == 0 &&
			   listed->since_us <= answered_us) {
			/* A process that was listed after the reader's last
			 * answer may have replaced the one that it misses. */
			mark_missing(targets, listed,
				     removal_grace_us(targets));
			news = true;
		}
	}
	return news;
}

bool targets_apply_reader_targets(targets_t *targets,
				  const bsh_msg_reader_targets_t *message)
{
	bool news = false;

	if (!targets_follow_holder(targets))
		return false;
	for (uint32_t i = 0; i < message->entry_count; i++) {
		const bsh_placement_entry_t *entry = &message->entries[i];
		const listed_t *listed =
			g_hash_table_lookup(targets->table, entry->target);
		bsh_holdings_t holdings;

		if (entry->state != BSH_TARGET_LIVE ||
		    (listed != NULL &&
		     entry->started_ms <= listed->target.started_ms))
			continue;
		decode_pairs(entry, &holdings);
		apply_announced_state(targets, entry, &holdings);
		news = true;
	}
	return news;
}

typedef struct {
	const targets_t *targets;
	GArray *missing;
	guint max;
} collect_t;

static void collect_departed(void *ctx, const char *id)
{
	collect_t *collect = ctx;
	uint32_t key = GUINT32_TO_BE(bsh_target_key(id));

	if (!g_hash_table_contains(collect->targets->table, id) &&
	    collect->missing->len < collect->max)
		g_array_append_val(collect->missing, key);
}

void targets_collect_ended(const targets_t *targets, GArray *leaving,
			   GArray *missing, guint max)
{
	const control_t *control = targets->control;
	collect_t collect = { targets, missing, max };
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const listed_t *listed = data;
		GArray *keys = listed->target.leaving	 ? leaving
			       : listed->removal_us != 0 ? missing
							 : NULL;
		uint32_t key = GUINT32_TO_BE(bsh_target_key(listed->target.id));

		if (keys != NULL && keys->len < max)
			g_array_append_val(keys, key);
	}
	/* The holder's announcements name the targets that it has removed. */
	if (orders_is_holder(control->orders))
		return;
	/* An instance that hears no reader for the drain time reads the list
	 * itself before its end. */
	bsh_departed_foreach_since(
		&targets->departed,
		control_now_us(control) -
			control->entry->settings.entry_drain_ms * INT64_C(1000),
		collect_departed, &collect);
}

int64_t targets_answered_us(const targets_t *targets)
{
	return targets->feed.answered_us;
}

int64_t targets_complete_us(const targets_t *targets)
{
	return targets->feed.complete_us;
}

void targets_set_backoff_max(targets_t *targets, int64_t backoff_max_us)
{
	feed_set_backoff_max(&targets->feed, backoff_max_us);
}

void targets_set_wait(targets_t *targets, uint32_t wait_ms)
{
	uint32_t usual_ms =
		watch_timeout_ms(&targets->control->entry->settings);

	feed_set_wait(&targets->feed,
		      wait_ms > 0 ? MIN(wait_ms, usual_ms) : usual_ms);
}

bool targets_are_current(const targets_t *targets)
{
	return targets_is_synced(targets) &&
	       targets->feed.complete_us > targets->feed.resumed_us;
}

void targets_set_source(targets_t *targets, bool from_store)
{
	if (from_store == !targets->feed.paused)
		return;
	bsh_log(BSH_LOG_INFO, "targets-source source=%s",
		from_store ? "store" : "holder");
	if (from_store)
		feed_resume(&targets->feed);
	else
		feed_pause(&targets->feed);
}

bool targets_is_synced(const targets_t *targets)
{
	return targets->listed && targets->feed.reached &&
	       !targets->feed.paused;
}

bool targets_store_fails(const targets_t *targets)
{
	return !targets->feed.paused &&
	       targets->feed.failed_us > targets->feed.answered_us;
}

void targets_note_announced(targets_t *targets, int64_t contact_age_us)
{
	/* The holder's age counts from the time at which its watch should have
	 * been answered, so the last answer may be one watch older. */
	int64_t age_us = contact_age_us + targets->feed.ops.wait_ms * 1000LL;

	targets->announced_complete_us =
		MAX(targets->announced_complete_us,
		    control_now_us(targets->control) - age_us);
}

int64_t targets_watch_due_us(const targets_t *targets)
{
	return targets->feed.answered_us + targets->feed.ops.wait_ms * 1000LL;
}

int64_t targets_confirmed_us(const targets_t *targets)
{
	int64_t holder_age_us =
		orders_holder_contact_age_us(targets->control->orders);
	int64_t own_us = targets->feed.answered_us;

	if (!targets->feed.paused || holder_age_us == INT64_MAX)
		return own_us;
	return MAX(own_us, bsh_loop_clock_us() - holder_age_us);
}

bool targets_is_missing(const targets_t *targets, const char *id,
			uint32_t *grace_ms)
{
	const listed_t *listed = g_hash_table_lookup(targets->table, id);
	int64_t left_us;

	if (listed == NULL || listed->removal_us == 0)
		return false;
	left_us = listed->removal_us - control_now_us(targets->control);
	*grace_ms = (uint32_t)MAX(left_us / 1000, 0);
	return true;
}

const bsh_target_t *targets_find(const targets_t *targets, const char *id)
{
	const listed_t *listed = g_hash_table_lookup(targets->table, id);

	return listed != NULL ? &listed->target : NULL;
}

void targets_fill(targets_t *targets, view_t *view)
{
	const bsh_settings_t *settings = &targets->control->entry->settings;
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const listed_t *listed = data;
		const bsh_target_t *target = &listed->target;
		const bsh_holdings_t *held;
		uint64_t version;
		view_target_t item = {
			.hash = XXH64(target->id, strlen(target->id), 0),
			.slots = target->slots,
			.started_ms = target->started_ms,
			.same_zone = strcmp(target->zone, settings->zone) == 0,
			.entry_removed = listed->removal_us != 0,
		};

		if (target->leaving)
			continue;
		held = orders_usable(targets->control->orders, target,
				     &version);
		if (held == NULL)
			held = listed->has_placement ? &listed->placement
						     : &target->holdings;
		item.holdings = *held;
		g_strlcpy(item.id, target->id, sizeof(item.id));
		g_strlcpy(item.address, target->address, sizeof(item.address));
		g_strlcpy(item.service, target->service, sizeof(item.service));
		g_strlcpy(item.software, target->software,
			  sizeof(item.software));
		item.software_key =
			bsh_software_key(target->service, target->software);
		g_array_append_val(view->targets, item);
	}
}

void targets_tick(targets_t *targets)
{
	int64_t now_us = control_now_us(targets->control);
	/* During an outage of the store targets cannot update their objects. */
	bool can_expire = targets->feed.paused || targets->feed.reached;
	bool expired = false;
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		listed_t *listed = data;

		if (listed->removal_us != 0 && now_us >= listed->removal_us)
			g_ptr_array_add(gone, listed);
		if (listed->has_placement && can_expire &&
		    now_us - listed->placement_us >= PLACEMENT_TTL_US) {
			listed->has_placement = false;
			expired = true;
		}
	}
	if (expired)
		control_schedule_view(targets->control);
	for (guint i = 0; i < gone->len; i++)
		remove_target(targets, g_ptr_array_index(gone, i), "missing");
	if (bsh_departed_expire(&targets->departed, now_us))
		feed_relist(&targets->feed);
	g_ptr_array_free(gone, TRUE);
}

void targets_foreach(const targets_t *targets,
		     void (*fn)(void *ctx, const bsh_target_t *target),
		     void *ctx)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, targets->table);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const listed_t *listed = data;

		fn(ctx, &listed->target);
	}
}
