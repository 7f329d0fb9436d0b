#include "coordination/fair_order.h"

void bsh_fair_order_init(bsh_fair_order_t *order)
{
	order->virtual_time = 0;
	order->ends = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void bsh_fair_order_finish(bsh_fair_order_t *order)
{
	g_hash_table_destroy(order->ends);
}

double bsh_fair_order_tag(bsh_fair_order_t *order, uint32_t account,
			  double cost, double weight)
{
	double *end =
		g_hash_table_lookup(order->ends, GUINT_TO_POINTER(account));
	double tag;

	if (end == NULL) {
		end = g_new0(double, 1);
		g_hash_table_insert(order->ends, GUINT_TO_POINTER(account),
				    end);
	}
	tag = MAX(order->virtual_time, *end);
	*end = tag + cost / weight;
	return tag;
}

void bsh_fair_order_sent(bsh_fair_order_t *order, double tag)
{
	order->virtual_time = MAX(order->virtual_time, tag);
}
