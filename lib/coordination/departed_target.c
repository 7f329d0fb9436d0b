#include "coordination/departed_target.h"

typedef struct {
	uint64_t started_ms;
	uint32_t epoch;
	int64_t at_us;
	/* First entry found since, in the newest epoch. */
	uint64_t found_revision;
	uint32_t found_epoch;
	int64_t found_us; /* 0: none was found */
} departure_t;

void bsh_departed_init(bsh_departed_t *departed)
{
	departed->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void bsh_departed_finish(bsh_departed_t *departed)
{
	g_hash_table_destroy(departed->records);
}

void bsh_departed_add(bsh_departed_t *departed, const char *id,
		      uint64_t started_ms, uint32_t epoch, int64_t now_us)
{
	departure_t *departure = g_hash_table_lookup(departed->records, id);

	if (departure != NULL && departure->started_ms == started_ms)
		return;
	departure = g_new0(departure_t, 1);
	departure->started_ms = started_ms;
	departure->epoch = epoch;
	departure->at_us = now_us;
	g_hash_table_replace(departed->records, g_strdup(id), departure);
}

bool bsh_departed_accept(bsh_departed_t *departed,
			 const bsh_departed_entry_t *entry, int64_t now_us)
{
	departure_t *departure =
		g_hash_table_lookup(departed->records, entry->id);

	if (departure == NULL)
		return true;
	/* An entry of the epoch in which the former one was removed has been
	 * written since. */
	if (entry->from_list && departure->started_ms == entry->started_ms &&
	    entry->epoch > departure->epoch) {
		if (departure->found_epoch != entry->epoch) {
			departure->found_epoch = entry->epoch;
			departure->found_revision = entry->revision;
			departure->found_us = now_us;
		}
		if (entry->revision <= departure->found_revision)
			return false;
	}
	bsh_departed_forget(departed, entry->id);
	return true;
}

int64_t bsh_departed_at_us(const bsh_departed_t *departed, const char *id,
			   uint64_t started_ms)
{
	const departure_t *departure =
		g_hash_table_lookup(departed->records, id);

	return departure != NULL && departure->started_ms == started_ms
		       ? departure->at_us
		       : 0;
}

void bsh_departed_foreach_since(const bsh_departed_t *departed,
				int64_t since_us,
				void (*fn)(void *ctx, const char *id),
				void *ctx)
{
	GHashTableIter iter;
	void *id;
	void *value;

	g_hash_table_iter_init(&iter, departed->records);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const departure_t *departure = value;

		if (departure->at_us >= since_us)
			fn(ctx, id);
	}
}

void bsh_departed_forget(bsh_departed_t *departed, const char *id)
{
	g_hash_table_remove(departed->records, id);
}

bool bsh_departed_expire(bsh_departed_t *departed, int64_t now_us)
{
	bool confirmed = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, departed->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const departure_t *departure = value;

		if (departure->found_us > 0 &&
		    now_us - departure->found_us >= BSH_DEPARTED_CONFIRM_US)
			confirmed = true;
		else if (departure->found_us > 0 ||
			 now_us - departure->at_us < BSH_DEPARTED_KEEP_US)
			continue;
		g_hash_table_iter_remove(&iter);
	}
	return confirmed;
}
