#include "coordination/order_list.h"

#include <string.h>

#define KEY_BYTES ((uint32_t)sizeof(uint32_t))
#define AGE_BYTES ((uint32_t)sizeof(uint16_t))

uint32_t bsh_order_list_parts(uint32_t n)
{
	return MAX((n + BSH_RELEASE_KEYS_MAX - 1) / BSH_RELEASE_KEYS_MAX, 1);
}

void bsh_order_list_encode(const bsh_order_time_t *orders, uint32_t n,
			   uint32_t part, int64_t now_us,
			   bsh_order_list_part_t *memory,
			   bsh_msg_release_keys_t *message)
{
	uint32_t first = part * BSH_RELEASE_KEYS_MAX;
	uint32_t count = MIN(n - first, BSH_RELEASE_KEYS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		const bsh_order_time_t *order = &orders[first + i];
		/* An age that is too low only excludes the target longer. */
		int64_t age_ms = CLAMP((now_us - order->ordered_us) / 1000, 0,
				       UINT16_MAX);

		memory->keys[i] = GUINT32_TO_BE(order->key);
		memory->ages[i] = GUINT16_TO_BE((uint16_t)age_ms);
	}
	message->part = part;
	message->parts = bsh_order_list_parts(n);
	message->keys = (const uint8_t *)memory->keys;
	message->keys_bytes = count * KEY_BYTES;
	message->ages = (const uint8_t *)memory->ages;
	message->ages_bytes = count * AGE_BYTES;
}

void bsh_order_list_init(bsh_order_list_t *list)
{
	memset(list, 0, sizeof(*list));
	list->orders = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
}

void bsh_order_list_finish(bsh_order_list_t *list)
{
	g_array_free(list->orders, TRUE);
}

static bool is_well_formed(const bsh_msg_release_keys_t *message)
{
	return message->parts > 0 && message->parts <= BSH_RELEASE_PARTS_MAX &&
	       message->part < message->parts &&
	       message->keys_bytes % KEY_BYTES == 0 &&
	       message->ages_bytes % AGE_BYTES == 0 &&
	       message->keys_bytes / KEY_BYTES ==
		       message->ages_bytes / AGE_BYTES;
}

static void add_orders(bsh_order_list_t *list,
		       const bsh_msg_release_keys_t *message, int64_t now_us)
{
	for (uint32_t i = 0; i < message->keys_bytes / KEY_BYTES; i++) {
		bsh_order_time_t order;
		uint32_t key;
		uint16_t age_ms;

		memcpy(&key, message->keys + i * KEY_BYTES, KEY_BYTES);
		memcpy(&age_ms, message->ages + i * AGE_BYTES, AGE_BYTES);
		order.key = GUINT32_FROM_BE(key);
		order.ordered_us =
			now_us - INT64_C(1000) * GUINT16_FROM_BE(age_ms);
		g_array_append_val(list->orders, order);
	}
}

bool bsh_order_list_receive(bsh_order_list_t *list, const char *sender,
			    const bsh_msg_release_keys_t *message,
			    int64_t now_us)
{
	if (!is_well_formed(message) || message->revision < list->revision)
		return false;
	if (message->revision > list->revision ||
	    message->parts != list->parts ||
	    strcmp(sender, list->sender) != 0) {
		g_strlcpy(list->sender, sender, sizeof(list->sender));
		list->revision = message->revision;
		list->parts = message->parts;
		list->received = 0;
		g_array_set_size(list->orders, 0);
	}
	if ((list->received & (1U << message->part)) != 0)
		return false;
	list->received |= 1U << message->part;
	add_orders(list, message, now_us);
	return list->received == (1U << list->parts) - 1;
}
