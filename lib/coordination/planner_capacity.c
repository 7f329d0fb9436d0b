#include "coordination/planner_private.h"

uint32_t planner_order_mb(const bsh_planner_t *planner,
			  const bsh_order_t *order)
{
	const bsh_model_rule_t *model =
		bsh_planner_model(planner, order->model);

	if (!order->load || model == NULL)
		return 0;
	return order->adapter != 0 ? model->adapter_mb : model->weights_mb;
}

uint32_t planner_used_mb(const bsh_planner_t *planner,
			 const planner_target_t *t, int64_t now_us)
{
	uint64_t used = 0;

	for (uint32_t i = 0; i < t->held.n; i++) {
		const bsh_holding_t *item = &t->held.items[i];
		const bsh_model_rule_t *model =
			bsh_planner_model(planner, item->model);

		/* The model had left the configuration before this process
		 * knew it. */
		if (model == NULL)
			return UINT32_MAX;
		used += item->adapter != 0 ? model->adapter_mb
					   : model->weights_mb;
	}
	if (t->has_order &&
	    !bsh_holdings_has(&t->held, t->order.model, t->order.adapter))
		used += planner_order_mb(planner, &t->order);
	if (now_us < t->reserved_until_us)
		used += t->reserved_mb;
	return (uint32_t)MIN(used, UINT32_MAX);
}

uint32_t planner_used_slots(const planner_target_t *t, int64_t now_us)
{
	uint32_t used = 0;

	for (uint32_t i = 0; i < t->held.n; i++)
		used += t->held.items[i].adapter != 0;
	if (t->has_order && t->order.load && t->order.adapter != 0 &&
	    !bsh_holdings_has(&t->held, t->order.model, t->order.adapter))
		used++;
	if (now_us < t->reserved_until_us)
		used += t->reserved_adapters;
	return used;
}

bool planner_needs_store(const planner_target_t *t, uint32_t model)
{
	return !bsh_copies_in_memory(&t->target.copies, model) &&
	       !bsh_copies_on_disk(&t->target.copies, model);
}

uint32_t planner_store_loads(const bsh_planner_t *planner)
{
	uint32_t n = 0;

	for (guint i = 0; i < planner->targets->len; i++) {
		const planner_target_t *t =
			g_ptr_array_index(planner->targets, i);

		if (t->has_order && t->order.load && t->order.adapter == 0)
			n += t->from_store;
		else if (t->planned_load != 0)
			n += t->planned_from_store;
	}
	return n;
}

uint32_t planner_store_load_ms(const bsh_planner_t *planner, uint32_t load_ms,
			       uint32_t n)
{
	return (uint32_t)(load_ms * MAX(n / planner->store_concurrency, 1.0));
}

uint32_t planner_store_limit(const bsh_planner_t *planner)
{
	return (uint32_t)MAX(planner->store_concurrency, 1.0);
}
