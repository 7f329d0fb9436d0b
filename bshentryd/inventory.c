/* Complete lists of targets from the lease holder, received in parts. */
#include "control.h"

#include <string.h>

#include "base/log.h"

struct inventory {
	control_t *control;
	uint64_t term;
	uint64_t number;
	uint32_t parts;
	GHashTable *received; /* numbers of the parts */
	/* Of all parts so far: key of a target to its last change. */
	GHashTable *changes;
};

inventory_t *inventory_new(control_t *control)
{
	inventory_t *inventory = g_new0(inventory_t, 1);

	inventory->control = control;
	inventory->received = g_hash_table_new(g_direct_hash, g_direct_equal);
	inventory->changes = g_hash_table_new(g_direct_hash, g_direct_equal);
	return inventory;
}

void inventory_free(inventory_t *inventory)
{
	g_hash_table_destroy(inventory->received);
	g_hash_table_destroy(inventory->changes);
	g_free(inventory);
}

static void begin(inventory_t *inventory, const bsh_msg_inventory_t *message)
{
	inventory->term = message->term;
	inventory->number = message->number;
	inventory->parts = message->parts;
	g_hash_table_remove_all(inventory->received);
	g_hash_table_remove_all(inventory->changes);
}

static void add_part(inventory_t *inventory, const bsh_msg_inventory_t *message)
{
	uint32_t key;
	uint32_t change;

	for (uint32_t at = 0; at + sizeof(key) <= message->keys_bytes;
	     at += sizeof(key)) {
		memcpy(&key, message->keys + at, sizeof(key));
		memcpy(&change, message->changes + at, sizeof(change));
		g_hash_table_insert(inventory->changes,
				    GUINT_TO_POINTER(GUINT32_FROM_BE(key)),
				    GUINT_TO_POINTER(GUINT32_FROM_BE(change)));
	}
	g_hash_table_add(inventory->received, GUINT_TO_POINTER(message->part));
}

void inventory_receive(inventory_t *inventory,
		       const bsh_msg_inventory_t *message)
{
	if (message->changes_bytes != message->keys_bytes) {
		bsh_log(BSH_LOG_WARNING,
			"targets-inventory-unusable number=%" G_GUINT64_FORMAT
			" detail=different-lengths",
			message->number);
		return;
	}
	if (message->term != inventory->term ||
	    message->number != inventory->number ||
	    message->parts != inventory->parts)
		begin(inventory, message);
	add_part(inventory, message);
	if (g_hash_table_size(inventory->received) < inventory->parts)
		return;
	/* The states of some targets may have been lost: the holder sends all
	 * of them again. */
	if (!targets_apply_inventory(inventory->control->targets,
				     inventory->changes, message->term))
		return;
	bsh_log(BSH_LOG_INFO,
		"targets-inventory term=%" G_GUINT64_FORMAT
		" number=%" G_GUINT64_FORMAT " targets=%u",
		message->term, message->number,
		g_hash_table_size(inventory->changes));
	orders_note_inventory(inventory->control->orders, message->term,
			      message->number);
}
