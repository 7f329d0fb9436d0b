#include "coordination/target_inventory.h"

bool bsh_target_inventory_covered(GHashTable *keys, uint64_t term,
				  uint64_t number,
				  const bsh_target_mark_t *marks, uint32_t n)
{
	guint covered = 0;

	for (uint32_t i = 0; i < n; i++)
		covered += marks[i].term == term && marks[i].number >= number &&
			   g_hash_table_contains(
				   keys, GUINT_TO_POINTER(marks[i].key));
	return covered >= g_hash_table_size(keys);
}
