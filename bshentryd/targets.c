/* The targets and what they hold, from their objects in the platform's store. */
#include "targets_private.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/missing_target.h"
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

int64_t targets_removal_grace_us(const targets_t *targets)
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

void targets_remove(targets_t *targets, listed_t *listed, const char *reason)
{
	g_autofree char *id = g_strdup(listed->target.id);

	bsh_log(BSH_LOG_INFO, "target-gone target=%s address=%s reason=%s", id,
		listed->target.address, reason);
	note_departure(targets, listed);
	g_hash_table_remove(targets->table, id);
	bsh_counter_set(&target_count, g_hash_table_size(targets->table));
	control_target_gone(targets->control, id);
}

void targets_mark_missing(targets_t *targets, listed_t *listed,
			  int64_t grace_us)
{
	if (listed->removal_us != 0)
		return;
	/* A target that was leaving has stopped. */
	if (listed->target.leaving) {
		targets_remove(targets, listed, "left");
		return;
	}
	note_departure(targets, listed);
	listed->removal_us = control_now_us(targets->control) + grace_us;
	bsh_log(BSH_LOG_INFO, "target-missing target=%s grace_ms=%d",
		listed->target.id, (int)(grace_us / 1000));
	control_target_missing(targets->control, listed->target.id);
}

void targets_update(targets_t *targets, const bsh_target_t *target,
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
			targets_mark_missing(targets, listed,
					     targets_removal_grace_us(targets));
		return;
	}
	if (platform_decode_target(object->name, object->spec, &target,
				   &field) == BSH_OK) {
		if (has_returned(targets, &target, object->revision, list))
			targets_update(targets, &target, list);
		return;
	}
	bsh_counter_add(&malformed_objects, 1);
	bsh_log(BSH_LOG_WARNING, "target-entry-unusable target=%s field=%s",
		bsh_log_text(object->name, name), field);
	if (listed != NULL)
		targets_mark_missing(targets, listed,
				     targets_removal_grace_us(targets));
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
		targets_mark_missing(targets, g_ptr_array_index(absent, i),
				     targets_removal_grace_us(targets));
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

bool targets_follow_holder(const targets_t *targets)
{
	return targets->feed.paused || !targets->feed.reached;
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

uint64_t targets_revision(const targets_t *targets)
{
	return targets_is_synced(targets) && !targets->feed.listing
		       ? targets->feed.revision
		       : 0;
}

int64_t targets_confirm_interval_us(const targets_t *targets)
{
	return targets->feed.ops.wait_ms * INT64_C(1000);
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
		targets_remove(targets, g_ptr_array_index(gone, i), "missing");
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
