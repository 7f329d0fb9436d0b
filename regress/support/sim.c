#include "support/sim.h"

typedef struct {
	int64_t at_us;
	uint64_t order; /* of insertion; decides between equal at_us */
	sim_event_fn_t fn;
	void *ctx;
	void *data;
} event_t;

void sim_init(sim_t *sim, uint32_t seed)
{
	sim->now_us = 0;
	sim->next_order = 0;
	sim->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	bsh_rng_init(&sim->rng, seed);
}

void sim_finish(sim_t *sim)
{
	g_array_free(sim->heap, TRUE);
	bsh_rng_finish(&sim->rng);
}

static event_t *at(const sim_t *sim, guint index)
{
	return &g_array_index(sim->heap, event_t, index);
}

static bool is_before(const event_t *a, const event_t *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void swap(event_t *a, event_t *b)
{
	event_t copy = *a;

	*a = *b;
	*b = copy;
}

void sim_after(sim_t *sim, int64_t delay_us, sim_event_fn_t fn, void *ctx,
	       void *data)
{
	event_t event = { .at_us = sim->now_us + MAX(delay_us, 0),
			  .order = sim->next_order++,
			  .fn = fn,
			  .ctx = ctx,
			  .data = data };
	guint i = sim->heap->len;

	g_array_append_val(sim->heap, event);
	while (i > 0 && is_before(at(sim, i), at(sim, (i - 1) / 2))) {
		swap(at(sim, i), at(sim, (i - 1) / 2));
		i = (i - 1) / 2;
	}
}

static event_t pop(sim_t *sim)
{
	event_t first = *at(sim, 0);
	guint i = 0;

	*at(sim, 0) = *at(sim, sim->heap->len - 1);
	g_array_set_size(sim->heap, sim->heap->len - 1);
	for (;;) {
		guint earliest = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
			if (c < sim->heap->len &&
			    is_before(at(sim, c), at(sim, earliest)))
				earliest = c;
		}
		if (earliest == i)
			return first;
		swap(at(sim, i), at(sim, earliest));
		i = earliest;
	}
}

bool sim_step(sim_t *sim, int64_t until_us)
{
	event_t event;

	if (sim->heap->len == 0 || at(sim, 0)->at_us > until_us)
		return false;
	event = pop(sim);
	sim->now_us = event.at_us;
	event.fn(event.ctx, event.data);
	return true;
}

void sim_run(sim_t *sim, int64_t until_us)
{
	while (sim_step(sim, until_us))
		;
	if (sim->now_us < until_us)
		sim->now_us = until_us;
}

bool sim_chance(sim_t *sim, double probability)
{
	return bsh_rng_unit(&sim->rng) < probability;
}

int64_t sim_delay(sim_t *sim, int64_t min_us, int64_t max_us)
{
	return min_us +
	       (int64_t)(bsh_rng_unit(&sim->rng) * (double)(max_us - min_us));
}
