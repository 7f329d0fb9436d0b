#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "coordination/loader.h"
#include "policy.h"

/*
 * Measures bytes per slot record, CPU time per decision and memory per model
 * for the capacity page, from one small deployment to the design size.
 */

#define POOL	     "pool"
#define TARGET_COUNT 64
#define ROUNDS	     200
#define MEMORY_MIB   (80 * 1024)

typedef struct {
	bsh_loader_t loader;
	char *value;
	uint64_t version;
	bool is_read, is_update;
	uint64_t orders;
} loader_probe_t;

static void op_read(void *ctx, const char *cell)
{
	(void)cell;
	((loader_probe_t *)ctx)->is_read = true;
}

static void op_update(void *ctx, const char *cell, uint64_t base,
		      const char *value)
{
	loader_probe_t *p = ctx;

	(void)cell;
	(void)base;
	p->is_update = true;
	g_free(p->value);
	p->value = g_strdup(value);
}

static void op_order(void *ctx, const bsh_loader_order_t *order)
{
	(void)order;
	((loader_probe_t *)ctx)->orders++;
}

static void op_answer(void *ctx, const bsh_demand_answer_t *answer)
{
	(void)ctx;
	(void)answer;
}

static const bsh_loader_ops_t ops = { .read = op_read,
				      .update = op_update,
				      .order = op_order,
				      .answer = op_answer };

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

/* Completes store calls until the loader has none pending. */
static void answer_store_calls(loader_probe_t *p, int64_t now_us)
{
	while (p->is_read || p->is_update) {
		if (p->is_read) {
			p->is_read = false;
			bsh_loader_read_result(&p->loader, POOL,
					       BSH_STORE_NOT_FOUND, 0, NULL, 0,
					       now_us);
		} else {
			p->is_update = false;
			bsh_loader_update_result(&p->loader, POOL, BSH_STORE_OK,
						 ++p->version, now_us);
		}
	}
}

static void set_targets(loader_probe_t *p, int count)
{
	g_autofree bsh_loader_instance_t *items =
		g_new0(bsh_loader_instance_t, count);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (int i = 0; i < count; i++) {
		g_ptr_array_add(names, g_strdup_printf("target-%d", i));
		items[i] = (bsh_loader_instance_t){ .name = g_ptr_array_index(
							    names, i),
						    .incarnation = 1,
						    .is_target = true,
						    .pool = POOL,
						    .memory_mib = MEMORY_MIB };
	}
	bsh_loader_set_instances(&p->loader, items, (size_t)count, 0);
	g_ptr_array_free(names, TRUE);
}

static void set_models(loader_probe_t *p, int count)
{
	const bsh_loader_pool_t pool = { POOL, true, MEMORY_MIB, 8, 1 };
	g_autofree bsh_loader_model_t *models =
		g_new0(bsh_loader_model_t, count);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	bsh_loader_document_t d = { .generation = 1,
				    .weight = 0.5,
				    .loads_per_s = 1000,
				    .concurrent = 1000,
				    .pools = &pool,
				    .pool_count = 1,
				    .models = models,
				    .model_count = (size_t)count };

	for (int i = 0; i < count; i++) {
		g_ptr_array_add(names, g_strdup_printf("model-%d", i));
		models[i] = (bsh_loader_model_t){ .name = g_ptr_array_index(
							  names, i),
						  .version = "1",
						  .pool = POOL,
						  .memory_mib = 900,
						  .max_replicas = 2,
						  .priority = 5,
						  .load_ms = 3000 };
	}
	bsh_loader_set_document(&p->loader, &d, 0);
	g_ptr_array_free(names, TRUE);
}

static void measure(int models)
{
	bsh_loader_config_t config = { .self = { "entry-1", 1 },
				       .seed = { 1, 1 } };
	loader_probe_t *p = g_new0(loader_probe_t, 1);
	size_t before = mallinfo2().uordblks;
	int64_t now_us = 0;
	int64_t demand_ns = 0;
	int64_t tick_ns = 0;
	uint64_t calls;
	size_t empty_bytes;
	guint first_slots;
	bsh_cell_t cell;
	int demand_count;

	bsh_loader_init(&p->loader, &config, &ops, p);
	bsh_loader_set_members(&p->loader, &config.self, 1, 0);
	set_targets(p, TARGET_COUNT);
	set_models(p, models);
	answer_store_calls(p, now_us);
	empty_bytes = strlen(p->value);
	bsh_cell_init(&cell, POOL, 1);
	bsh_cell_decode(&cell, p->value, empty_bytes, NULL);
	first_slots = cell.slots->len;
	calls = p->loader.counts.updates;
	demand_count = MIN(models, 2000);
	for (int i = 0; i < demand_count; i++) {
		char name[BSH_CELL_NAME_SIZE];
		bsh_demand_t d = { .id = (uint64_t)i + 1,
				   .model = name,
				   .deadline_us = now_us + 600 * SIM_S,
				   .count = 1 };
		int64_t from_ns;

		g_snprintf(name, sizeof(name), "model-%d", i);
		now_us += 10 * SIM_MS;
		from_ns = cpu_ns();
		bsh_loader_add_demand(&p->loader, &d, now_us);
		answer_store_calls(p, now_us);
		demand_ns += cpu_ns() - from_ns;
		bsh_loader_cancel_demand(&p->loader, d.id, now_us);
	}
	calls = p->loader.counts.updates - calls;
	for (int i = 0; i < ROUNDS; i++) {
		int64_t from_ns = cpu_ns();

		now_us += SIM_S;
		bsh_loader_tick(&p->loader, now_us);
		answer_store_calls(p, now_us);
		tick_ns += cpu_ns() - from_ns;
	}
	if (bsh_cell_decode(&cell, p->value, strlen(p->value), NULL) ==
		    BSH_OK &&
	    cell.slots->len > first_slots)
		printf("size\tmodels=%d\tslots=%u\tbytes_per_slot=%.1f\t"
		       "value_bytes=%zu\tdemand_us=%.1f\ttick_us=%.1f\t"
		       "memory_bytes_per_model=%.0f\tupdates_per_wake=%.2f\n",
		       models, cell.slots->len,
		       (double)(strlen(p->value) - empty_bytes) /
			       (cell.slots->len - first_slots),
		       strlen(p->value), demand_ns / 1e3 / demand_count,
		       tick_ns / 1e3 / ROUNDS,
		       (double)(mallinfo2().uordblks - before) / models,
		       (double)calls / demand_count);
	else
		printf("size\tmodels=%d\tno new slots\n", models);
	bsh_cell_finish(&cell);
	bsh_loader_finish(&p->loader);
	g_free(p->value);
	g_free(p);
}

void measure_size(void)
{
	static const int sizes[] = { 90, 870, 2000, 5270 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
}
