#include "coordination/target_inventory.h"

bool bsh_target_inventory_covered(GHashTable *changes, uint64_t term,
				  const bsh_target_mark_t *marks, uint32_t n)
{
	guint covered = 0;

	for (uint32_t i = 0; i < n; i++) {
		void *change;

		covered += marks[i].term == term &&
			   g_hash_table_lookup_extended(
				   changes, GUINT_TO_POINTER(marks[i].key),
				   NULL, &change) &&
			   marks[i].number >= GPOINTER_TO_UINT(change);
	}
	return covered >= g_hash_table_size(changes);
}
