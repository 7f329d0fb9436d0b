/* Counts the demand for each model by the requests of this instance and reports
 * it to the control thread, which sends it to the lease holder. */
#include "traffic.h"

/* Interval of the reports, and delay of the report after a request begins to
 * wait. */
#define DEMAND_INTERVAL_US     INT64_C(250000)
#define DEMAND_URGENT_DELAY_US INT64_C(5000)
/* Shortest time between two reports of the load: it does not go with each urgent
 * report of the demand, of which there are many while requests wait. */
#define LOAD_INTERVAL_US INT64_C(200000)

static gint64 model_key(uint32_t model, uint32_t adapter)
{
	return (gint64)(((uint64_t)model << 32) | adapter);
}

model_demand_t *demand_counters(traffic_t *t, const request_t *r)
{
	gint64 key = model_key(r->info.model, r->info.adapter);
	model_demand_t *counters = g_hash_table_lookup(t->demand, &key);

	if (counters == NULL) {
		gint64 *copy = g_new(gint64, 1);

		*copy = key;
		counters = g_new0(model_demand_t, 1);
		g_hash_table_insert(t->demand, copy, counters);
	}
	return counters;
}

bool demand_is_counted(const request_t *r)
{
	return r->service != NULL && r->service->has_engine &&
	       r->info.model != 0;
}

/* Most waiting requests first: a message holds a limited number of entries. */
static gint compare_demand(gconstpointer a, gconstpointer b)
{
	const bsh_demand_entry_t *x = a;
	const bsh_demand_entry_t *y = b;

	if (x->waiting != y->waiting)
		return x->waiting > y->waiting ? -1 : 1;
	if (x->arrived != y->arrived)
		return x->arrived > y->arrived ? -1 : 1;
	return 0;
}

void demand_send(void *ctx)
{
	traffic_t *t = ctx;
	control_demand_msg_t *demand = g_new0(control_demand_msg_t, 1);
	GHashTableIter iter;
	void *key;
	void *data;

	demand->control = t->entry->control;
	demand->entries = g_array_new(FALSE, TRUE, sizeof(bsh_demand_entry_t));
	g_hash_table_iter_init(&iter, t->demand);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		model_demand_t *counters = data;
		uint64_t number = (uint64_t) * (const gint64 *)key;
		bsh_demand_entry_t entry = {
			.model = (uint32_t)(number >> 32),
			.adapter = (uint32_t)number,
			.arrived = counters->arrived,
			.running = counters->running,
			.waiting = counters->waiting,
		};

		if (counters->arrived == 0 && counters->running == 0 &&
		    counters->waiting == 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		counters->arrived = 0;
		g_array_append_val(demand->entries, entry);
	}
	retry_update_gauge(t);
	memory_refresh(t);
	stream_origin_check(t);
	t->demand_urgent = false;
	g_array_sort(demand->entries, compare_demand);
	if (traffic_now_us(t) - t->load_reported_us >= LOAD_INTERVAL_US) {
		t->load_reported_us = traffic_now_us(t);
		demand->loads = engine_load_collect(t);
	}
	demand->refused = engine_load_refused(t);
	bsh_loop_post(&t->entry->control_loop, control_demand, demand);
	bsh_loop_timer_after(&t->demand_timer, DEMAND_INTERVAL_US);
}

void demand_send_soon(traffic_t *t)
{
	if (t->demand_urgent)
		return;
	t->demand_urgent = true;
	bsh_loop_timer_after(&t->demand_timer, DEMAND_URGENT_DELAY_US);
}
