/* What the lease holder and readers of the store tell of the targets. */
#include "targets_private.h"

#include <string.h>

#include "base/log.h"
#include "coordination/target_inventory.h"

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
			targets_remove(targets, listed, "told");
		return;
	}
	if (entry->state == BSH_TARGET_MISSING) {
		if (listed != NULL)
			targets_mark_missing(targets, listed,
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
	targets_update(targets, &target, 0);
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
		targets_remove(targets, g_ptr_array_index(gone, i), "told");
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
			targets_mark_missing(targets, listed,
					     targets_removal_grace_us(targets));
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
