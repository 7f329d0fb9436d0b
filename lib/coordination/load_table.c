#include "coordination/load_table.h"

typedef struct {
	GArray *entries; /* bsh_load_entry_t */
	int64_t reported_us;
} load_report_t;

static void free_report(void *data)
{
	load_report_t *report = data;

	g_array_free(report->entries, TRUE);
	g_free(report);
}

void bsh_load_table_init(bsh_load_table_t *table)
{
	table->instances = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_report);
}

void bsh_load_table_finish(bsh_load_table_t *table)
{
	g_hash_table_destroy(table->instances);
	table->instances = NULL;
}

void bsh_load_table_set(bsh_load_table_t *table, const char *instance,
			const bsh_load_entry_t *entries, uint32_t n,
			int64_t now_us)
{
	load_report_t *report = g_hash_table_lookup(table->instances, instance);

	if (report == NULL) {
		report = g_new0(load_report_t, 1);
		report->entries =
			g_array_new(FALSE, FALSE, sizeof(bsh_load_entry_t));
		g_hash_table_insert(table->instances, g_strdup(instance),
				    report);
	}
	g_array_set_size(report->entries, 0);
	if (n > 0)
		g_array_append_vals(report->entries, entries, n);
	report->reported_us = now_us;
}

static void add_report(GHashTable *by_target, const load_report_t *report)
{
	for (guint i = 0; i < report->entries->len; i++) {
		const bsh_load_entry_t *entry =
			&g_array_index(report->entries, bsh_load_entry_t, i);
		bsh_load_entry_t *sum = g_hash_table_lookup(
			by_target, GUINT_TO_POINTER(entry->target));

		if (sum == NULL) {
			sum = g_new0(bsh_load_entry_t, 1);
			sum->target = entry->target;
			g_hash_table_insert(by_target,
					    GUINT_TO_POINTER(entry->target),
					    sum);
		}
		sum->work_ms += MIN(entry->work_ms, UINT32_MAX - sum->work_ms);
		sum->running += MIN(entry->running, UINT32_MAX - sum->running);
	}
}

GArray *bsh_load_table_sum(bsh_load_table_t *table, int64_t now_us)
{
	GArray *sums = g_array_new(FALSE, FALSE, sizeof(bsh_load_entry_t));
	g_autoptr(GHashTable) by_target = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, table->instances);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const load_report_t *report = data;

		if (now_us - report->reported_us >= BSH_LOAD_REPORT_TTL_US)
			g_hash_table_iter_remove(&iter);
		else
			add_report(by_target, report);
	}
	g_hash_table_iter_init(&iter, by_target);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		g_array_append_vals(sums, data, 1);
	bsh_load_sort(sums);
	return sums;
}

static gint compare_load(gconstpointer a, gconstpointer b)
{
	const bsh_load_entry_t *x = a;
	const bsh_load_entry_t *y = b;

	if (x->work_ms != y->work_ms)
		return x->work_ms > y->work_ms ? -1 : 1;
	if (x->running != y->running)
		return x->running > y->running ? -1 : 1;
	return 0;
}

void bsh_load_sort(GArray *entries)
{
	g_array_sort(entries, compare_load);
}
