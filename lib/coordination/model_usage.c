#include "coordination/model_usage.h"

typedef struct {
	uint32_t running;
	int64_t expires_us;
} report_t;

void bsh_use_init(bsh_use_t *use)
{
	use->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_destroy);
}

void bsh_use_finish(bsh_use_t *use)
{
	g_hash_table_destroy(use->models);
	use->models = NULL;
}

static gboolean has_expired(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	return ((const report_t *)value)->expires_us <= *(const int64_t *)ctx;
}

static GHashTable *get_reports(bsh_use_t *use, const char *model)
{
	GHashTable *reports = g_hash_table_lookup(use->models, model);

	if (reports == NULL) {
		reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
		g_hash_table_insert(use->models, g_strdup(model), reports);
	}
	return reports;
}

uint32_t bsh_use_report(bsh_use_t *use, const char *model, const char *instance,
			const char *target, uint32_t running, int64_t now_us)
{
	GHashTable *reports = get_reports(use, model);
	report_t *report = g_new0(report_t, 1);
	uint32_t total = 0;
	GHashTableIter iter;
	gpointer value;

	report->running = running;
	report->expires_us = now_us + BSH_USE_KEEP_US;
	g_hash_table_replace(reports, g_strconcat(instance, " ", target, NULL),
			     report);
	g_hash_table_foreach_remove(reports, has_expired, &now_us);
	g_hash_table_iter_init(&iter, reports);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		total += ((const report_t *)value)->running;
	if (total == 0)
		g_hash_table_remove(use->models, model);
	return total;
}
