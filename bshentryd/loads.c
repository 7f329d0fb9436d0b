/* Exchange of the load of targets: each instance reports its own to the lease
 * holder, which sends the sums to all. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "coordination/load_table.h"

/* Interval at which the holder sends the sums.  Requests that are sent between
 * two of them are known only to the instance that sends them. */
#define SUM_INTERVAL_US INT64_C(200000)

struct loads {
	control_t *control;
	bsh_load_table_t table;
	int64_t summed_us;
};

static bsh_counter_t busiest_work =
	BSH_GAUGE("bsh_target_work_most_ms",
		  "Estimated prefill work open at the busiest target.");

loads_t *loads_new(control_t *control)
{
	loads_t *loads = g_new0(loads_t, 1);

	bsh_counter_register(&busiest_work);
	loads->control = control;
	bsh_load_table_init(&loads->table);
	return loads;
}

void loads_free(loads_t *loads)
{
	bsh_load_table_finish(&loads->table);
	g_free(loads);
}

static void receive_report(loads_t *loads, const char *instance,
			   const bsh_msg_load_t *load)
{
	bsh_load_table_set(&loads->table, instance, load->entries,
			   load->entry_count, control_now_us(loads->control));
}

void loads_report(loads_t *loads, const GArray *entries)
{
	const char *self = loads->control->entry->settings.instance;
	const char *holder = orders_holder(loads->control->orders);
	bsh_message_t message = { .type = BSH_MSG_LOAD };

	message.load.entries = (const bsh_load_entry_t *)(void *)entries->data;
	message.load.entry_count = MIN(entries->len, BSH_LOAD_ENTRIES_MAX);
	if (orders_is_holder(loads->control->orders))
		receive_report(loads, self, &message.load);
	else if (holder[0] != '\0')
		peers_send(loads->control->peers, holder, &message);
}

void loads_receive_refused(loads_t *loads, const bsh_msg_unreachable_t *message)
{
	uint32_t key;

	if (!orders_is_holder(loads->control->orders))
		return;
	for (uint32_t at = 0; at + sizeof(key) <= message->keys_bytes;
	     at += sizeof(key)) {
		memcpy(&key, message->keys + at, sizeof(key));
		orders_check_target(loads->control->orders,
				    GUINT32_FROM_BE(key));
	}
}

void loads_report_refused(loads_t *loads, const GArray *keys)
{
	const char *holder = orders_holder(loads->control->orders);
	bsh_message_t message = { .type = BSH_MSG_UNREACHABLE };
	guint n = MIN(keys->len, BSH_INVENTORY_TARGETS_MAX);

	message.unreachable.keys = (const uint8_t *)keys->data;
	message.unreachable.keys_bytes = n * (uint32_t)sizeof(uint32_t);
	if (orders_is_holder(loads->control->orders))
		loads_receive_refused(loads, &message.unreachable);
	else if (holder[0] != '\0')
		peers_send(loads->control->peers, holder, &message);
}

static void publish_sums(const loads_t *loads, const bsh_load_entry_t *entries,
			 uint32_t n)
{
	entry_t *entry = loads->control->entry;
	traffic_loads_msg_t *message = g_new0(traffic_loads_msg_t, 1);

	message->traffic = entry->traffic;
	message->entries = g_array_new(FALSE, FALSE, sizeof(bsh_load_entry_t));
	if (n > 0)
		g_array_append_vals(message->entries, entries, n);
	bsh_counter_set(&busiest_work, n > 0 ? entries[0].work_ms : 0);
	bsh_loop_post(&entry->traffic_loop, traffic_set_loads, message);
}

void loads_receive(loads_t *loads, const char *sender,
		   const bsh_msg_load_t *load)
{
	if (load->term == 0)
		receive_report(loads, sender, load);
	else if (strcmp(sender, orders_holder(loads->control->orders)) == 0)
		publish_sums(loads, load->entries, load->entry_count);
}

static void limit_values(GArray *entries)
{
	for (guint i = 0; i < entries->len; i++) {
		bsh_load_entry_t *entry =
			&g_array_index(entries, bsh_load_entry_t, i);

		entry->work_ms = MIN(entry->work_ms, BSH_LOAD_VALUE_MAX);
		entry->running = MIN(entry->running, BSH_LOAD_VALUE_MAX);
	}
}

void loads_tick(loads_t *loads)
{
	int64_t now_us = control_now_us(loads->control);
	bsh_message_t message = { .type = BSH_MSG_LOAD };
	g_autoptr(GArray) sums = NULL;

	if (!orders_is_holder(loads->control->orders) ||
	    now_us - loads->summed_us < SUM_INTERVAL_US)
		return;
	loads->summed_us = now_us;
	sums = bsh_load_table_sum(&loads->table, now_us);
	limit_values(sums);
	orders_note_loads(loads->control->orders, sums);
	message.load.term = orders_lease(loads->control->orders)->term;
	message.load.entries = (const bsh_load_entry_t *)(void *)sums->data;
	message.load.entry_count = MIN(sums->len, BSH_LOAD_ENTRIES_MAX);
	publish_sums(loads, message.load.entries, sums->len);
	peers_broadcast(loads->control->peers, &message);
}
