#include <math.h>
#include <string.h>

#include "coordination/planner_private.h"

/* Time constant of the smoothed request rates: a few seconds are short enough
 * to follow a change of demand and long enough to span the gaps between
 * requests for rare models. */
#define RATE_TAU_US 5e6
/* An instance reports several times a second; without a report for this time it
 * is down or partitioned, and its waiting requests are not counted. */
#define REPORT_MAX_AGE_US INT64_C(2000000)

typedef struct {
	GArray *entries; /* bsh_demand_entry_t of the last report */
	int64_t reported_us;
} planner_instance_t;

static guint hash_key(gconstpointer data)
{
	const planner_demand_t *demand = data;

	return demand->model ^ (demand->adapter * 31U);
}

static gboolean equal_key(gconstpointer a, gconstpointer b)
{
	const planner_demand_t *x = a;
	const planner_demand_t *y = b;

	return x->model == y->model && x->adapter == y->adapter;
}

static void free_instance(void *data)
{
	planner_instance_t *instance = data;

	g_array_free(instance->entries, TRUE);
	g_free(instance);
}

void planner_demand_init(bsh_planner_t *planner)
{
	planner->demand =
		g_hash_table_new_full(hash_key, equal_key, g_free, NULL);
	planner->instances = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_instance);
}

void planner_demand_finish(bsh_planner_t *planner)
{
	g_hash_table_destroy(planner->demand);
	g_hash_table_destroy(planner->instances);
}

const planner_demand_t *planner_demand_of(const bsh_planner_t *planner,
					  uint32_t model, uint32_t adapter)
{
	planner_demand_t key = { .model = model, .adapter = adapter };

	return g_hash_table_lookup(planner->demand, &key);
}

static planner_demand_t *get_demand(bsh_planner_t *planner, uint32_t model,
				    uint32_t adapter, int64_t now_us)
{
	planner_demand_t key = { .model = model, .adapter = adapter };
	planner_demand_t *demand = g_hash_table_lookup(planner->demand, &key);

	if (demand != NULL)
		return demand;
	demand = g_new0(planner_demand_t, 1);
	demand->model = model;
	demand->adapter = adapter;
	demand->updated_us = now_us;
	g_hash_table_add(planner->demand, demand);
	return demand;
}

double planner_demand_rate(const planner_demand_t *demand, int64_t now_us)
{
	if (demand == NULL)
		return 0;
	return demand->rate *
	       exp(-(double)(now_us - demand->updated_us) / RATE_TAU_US);
}

static void add_arrivals(planner_demand_t *demand, uint32_t arrived,
			 int64_t now_us)
{
	demand->rate = planner_demand_rate(demand, now_us) +
		       arrived * (1e6 / RATE_TAU_US);
	demand->updated_us = now_us;
}

static void subtract_report(bsh_planner_t *planner,
			    const planner_instance_t *instance)
{
	for (guint i = 0; i < instance->entries->len; i++) {
		const bsh_demand_entry_t *entry = &g_array_index(
			instance->entries, bsh_demand_entry_t, i);
		planner_demand_t *demand =
			get_demand(planner, entry->model, entry->adapter,
				   instance->reported_us);

		demand->waiting -= MIN(demand->waiting, entry->waiting);
		demand->running = MAX(demand->running - entry->running, 0.0);
	}
}

static void add_entry(bsh_planner_t *planner, const bsh_demand_entry_t *entry,
		      int64_t now_us)
{
	planner_demand_t *demand =
		get_demand(planner, entry->model, entry->adapter, now_us);

	add_arrivals(demand, entry->arrived, now_us);
	demand->running += entry->running;
	if (entry->waiting == 0)
		return;
	if (demand->waiting_since_us == 0)
		demand->waiting_since_us = now_us;
	demand->waiting += entry->waiting;
	demand->max_wait_left_ms = entry->max_wait_left_ms;
}

static void reset_wait_times(bsh_planner_t *planner)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, planner->demand);
	while (g_hash_table_iter_next(&iter, &data, NULL)) {
		planner_demand_t *demand = data;

		if (demand->waiting == 0)
			demand->waiting_since_us = 0;
	}
}

void bsh_planner_update_demand(bsh_planner_t *planner, const char *name,
			       const bsh_demand_entry_t *entries, uint32_t n,
			       int64_t now_us)
{
	planner_instance_t *instance =
		g_hash_table_lookup(planner->instances, name);

	if (instance == NULL) {
		instance = g_new0(planner_instance_t, 1);
		instance->entries =
			g_array_new(FALSE, TRUE, sizeof(bsh_demand_entry_t));
		g_hash_table_insert(planner->instances, g_strdup(name),
				    instance);
	}
	subtract_report(planner, instance);
	g_array_set_size(instance->entries, 0);
	if (n > 0)
		g_array_append_vals(instance->entries, entries, n);
	instance->reported_us = now_us;
	for (uint32_t i = 0; i < n; i++)
		add_entry(planner, &entries[i], now_us);
	reset_wait_times(planner);
}

void planner_demand_expire(bsh_planner_t *planner, int64_t now_us)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, planner->instances);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const planner_instance_t *instance = data;

		if (now_us - instance->reported_us < REPORT_MAX_AGE_US)
			continue;
		subtract_report(planner, instance);
		g_hash_table_iter_remove(&iter);
		reset_wait_times(planner);
	}
}
