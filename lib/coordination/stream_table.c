#include "coordination/stream_table.h"

#include <string.h>
#include <xxhash.h>

typedef struct {
	uint64_t stream;
	uint64_t software;
	int64_t set_us;
	uint64_t holders[BSH_STREAM_HOLDERS];
	uint32_t holder_count; /* of all that were noted */
	GList link;	       /* in table.order */
} entry_t;

void bsh_stream_table_init(bsh_stream_table_t *table, uint32_t limit)
{
	table->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&table->order);
	table->limit = limit;
}

void bsh_stream_table_finish(bsh_stream_table_t *table)
{
	/* The links are parts of the entries. */
	g_queue_init(&table->order);
	g_hash_table_destroy(table->entries);
}

static void drop_oldest(bsh_stream_table_t *table)
{
	entry_t *oldest = table->order.head->data;

	g_queue_unlink(&table->order, &oldest->link);
	g_hash_table_remove(table->entries, &oldest->stream);
}

static void drop_expired(bsh_stream_table_t *table, int64_t now_us)
{
	while (table->order.head != NULL) {
		const entry_t *oldest = table->order.head->data;

		if (now_us - oldest->set_us < BSH_STREAM_MEMORY_US)
			return;
		drop_oldest(table);
	}
}

void bsh_stream_table_set(bsh_stream_table_t *table, uint64_t stream,
			  uint64_t software, int64_t now_us)
{
	entry_t *entry;

	if (stream == 0 || software == 0)
		return;
	drop_expired(table, now_us);
	entry = g_hash_table_lookup(table->entries, &stream);
	if (entry == NULL) {
		if (table->order.length >= table->limit)
			drop_oldest(table);
		entry = g_new0(entry_t, 1);
		entry->stream = stream;
		entry->software = software;
		entry->link.data = entry;
		g_hash_table_insert(table->entries, &entry->stream, entry);
	} else {
		g_queue_unlink(&table->order, &entry->link);
		if (entry->software != software)
			entry->software = BSH_SOFTWARE_UNCERTAIN;
	}
	entry->set_us = now_us;
	g_queue_push_tail_link(&table->order, &entry->link);
}

uint64_t bsh_stream_table_find(bsh_stream_table_t *table, uint64_t stream,
			       int64_t now_us)
{
	const entry_t *entry;

	drop_expired(table, now_us);
	entry = g_hash_table_lookup(table->entries, &stream);
	return entry != NULL ? entry->software : 0;
}

void bsh_stream_table_collect(bsh_stream_table_t *table, GArray *records,
			      int64_t now_us)
{
	drop_expired(table, now_us);
	for (GList *l = table->order.head; l != NULL; l = l->next) {
		const entry_t *entry = l->data;
		bsh_stream_record_t record = { entry->stream, entry->software };

		g_array_append_val(records, record);
	}
}

bool bsh_stream_table_note_holder(bsh_stream_table_t *table, uint64_t stream,
				  uint64_t holder)
{
	entry_t *entry = g_hash_table_lookup(table->entries, &stream);
	uint32_t noted;

	if (entry == NULL)
		return false;
	noted = MIN(entry->holder_count, BSH_STREAM_HOLDERS);
	for (uint32_t i = 0; i < noted; i++)
		if (entry->holders[i] == holder)
			return false;
	entry->holders[entry->holder_count++ % BSH_STREAM_HOLDERS] = holder;
	return true;
}

uint32_t bsh_stream_table_size(const bsh_stream_table_t *table)
{
	return table->order.length;
}

uint64_t bsh_stream_key(const char *attempt_id)
{
	if (attempt_id[0] == '\0')
		return 0;
	return MAX(XXH64(attempt_id, strlen(attempt_id), 0), 1);
}

uint64_t bsh_service_key(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static void drop_unseen(bsh_software_history_t *history, int64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < history->n; i++)
		if (now_us - history->seen[i].seen_us < BSH_STREAM_MEMORY_US)
			history->seen[kept++] = history->seen[i];
	history->n = kept;
}

void bsh_software_history_note(bsh_software_history_t *history,
			       uint64_t software, int64_t now_us)
{
	if (software == 0)
		software = BSH_SOFTWARE_UNCERTAIN;
	for (uint32_t i = 0; i < history->n; i++)
		if (history->seen[i].software == software) {
			history->seen[i].seen_us =
				MAX(history->seen[i].seen_us, now_us);
			return;
		}
	drop_unseen(history, now_us);
	if (history->n == BSH_SOFTWARE_VERSIONS_MAX) {
		history->overflow_us = MAX(history->overflow_us, now_us);
		return;
	}
	history->seen[history->n].software = software;
	history->seen[history->n++].seen_us = now_us;
}

/* Number of versions that have served recently; *software is one of them. */
static uint32_t count_recent(const bsh_software_history_t *history,
			     int64_t now_us, uint64_t *software)
{
	uint32_t n = 0;

	if (history->overflow_us > 0 &&
	    now_us - history->overflow_us < BSH_STREAM_MEMORY_US)
		return BSH_SOFTWARE_VERSIONS_MAX + 1;
	for (uint32_t i = 0; i < history->n; i++) {
		if (now_us - history->seen[i].seen_us >= BSH_STREAM_MEMORY_US)
			continue;
		*software = history->seen[i].software;
		n++;
	}
	return n;
}

uint64_t bsh_software_history_only(const bsh_software_history_t *history,
				   int64_t now_us)
{
	uint64_t software = 0;

	if (count_recent(history, now_us, &software) != 1 ||
	    software == BSH_SOFTWARE_UNCERTAIN)
		return 0;
	return software;
}

bool bsh_software_history_several(const bsh_software_history_t *history,
				  int64_t now_us)
{
	uint64_t software = 0;

	return count_recent(history, now_us, &software) > 1;
}
