/* Orders whose targets are logged at the voters of the order lease before they are
 * sent, and the entries of former holders. */
#include "orders_private.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/* Interval at which entries that a majority has not acknowledged are sent again. */
#define RESEND_US INT64_C(50000)
/* Interval of messages without entries, which show whether the voters answer. */
#define IDLE_US INT64_C(250000)
/* Orders are not logged, and the lease object says so, once a majority has
 * acknowledged nothing in time for this long: four messages without entries. */
#define SILENCE_US INT64_C(1000000)
/* Interval at which the targets are counted. */
#define COUNT_US INT64_C(500000)
/* Interval of questions to the voters. */
#define QUERY_US INT64_C(40000)

static bsh_counter_t logged_only =
	BSH_GAUGE("bsh_orders_logged_only",
		  "1 while this instance may give logged orders only.");
static bsh_counter_t timeouts = BSH_COUNTER(
	"bsh_order_log_timeouts_total",
	"Orders whose log entry a majority did not acknowledge in time.");

void logged_orders_init(orders_t *orders)
{
	bsh_counter_register(&logged_only);
	bsh_counter_register(&timeouts);
	/* A previous holder may have extended its term for all this time. */
	bsh_order_log_init(&orders->log,
			   BSH_LEASE_EXTENSION_US +
				   INT64_C(1000) *
					   orders->control->entry->settings
						   .entry_order_lease_ms +
				   BSH_LEASE_MARGIN_US,
			   order_lease_exclusion_us(orders), now_us(orders));
	bsh_order_log_writer_init(&orders->log_writer);
	bsh_order_log_reader_init(&orders->log_reader);
	orders->logged = g_ptr_array_new();
}

static void drop_all(orders_t *orders)
{
	while (orders->logged->len > 0)
		orders_drop_call(g_ptr_array_steal_index(orders->logged, 0));
}

void logged_orders_finish(orders_t *orders)
{
	drop_all(orders);
	g_ptr_array_free(orders->logged, TRUE);
	bsh_order_log_finish(&orders->log);
	bsh_order_log_writer_finish(&orders->log_writer);
	bsh_order_log_reader_finish(&orders->log_reader);
}

static bool is_enabled(const orders_t *orders)
{
	return orders->log_wanted &&
	       orders->lease.voters.n >= BSH_LEASE_LOG_VOTERS_MIN;
}

static void count_target(void *ctx, const bsh_target_t *target)
{
	(void)target;
	++*(uint32_t *)ctx;
}

/* Orders stay logged if the number of targets falls again. */
static void update_wanted(orders_t *orders)
{
	uint32_t wanted =
		orders->control->entry->settings.entry_order_log_targets;
	uint32_t targets = 0;

	if (wanted == 0 || orders->log_wanted ||
	    now_us(orders) - orders->log_counted_us < COUNT_US)
		return;
	orders->log_counted_us = now_us(orders);
	targets_foreach(orders->control->targets, count_target, &targets);
	orders->log_wanted = targets >= wanted;
}

void logged_orders_begin_term(orders_t *orders)
{
	/* Messages of the new term do not have their entries. */
	drop_all(orders);
	bsh_order_log_writer_begin(&orders->log_writer, orders->lease.term);
	orders->log_timely_us = 0;
}

static int64_t acknowledged_us(const orders_t *orders)
{
	return bsh_order_log_acknowledged(&orders->log_writer,
					  &orders->lease.voters,
					  &orders->lease.former_voters);
}

static bool voters_answer(const orders_t *orders)
{
	return orders->log_timely_us > 0 &&
	       now_us(orders) - orders->log_timely_us < SILENCE_US;
}

/* Acknowledgements that come too late to permit an order do not count: a majority
 * that always needs 0.3 s would leave the targets without orders. */
static void note_acknowledgement(orders_t *orders)
{
	if (now_us(orders) - acknowledged_us(orders) < BSH_ORDER_LOG_VALID_US)
		orders->log_timely_us = now_us(orders);
}

/* Time after its receipt for which an entry may stand for a recent order. */
static int64_t keep_us(const orders_t *orders)
{
	return BSH_ORDER_LOG_VALID_US + order_lease_exclusion_us(orders);
}

logged_orders_result_t logged_orders_add(orders_t *orders, order_call_t *call)
{
	int64_t now = now_us(orders);

	if (!bsh_lease_must_log(&orders->lease) &&
	    (!is_enabled(orders) || !voters_answer(orders))) {
		orders->unlogged_us = now;
		return LOGGED_ORDERS_SEND;
	}
	call->written_us = bsh_order_log_write(
		&orders->log_writer, bsh_target_key(call->target), now);
	if (call->written_us == 0)
		return LOGGED_ORDERS_FULL;
	g_ptr_array_add(orders->logged, call);
	orders->log_due = true;
	return LOGGED_ORDERS_QUEUED;
}

typedef void (*voter_fn_t)(orders_t *orders, const char *voter, void *ctx);

static void foreach_voter(orders_t *orders, voter_fn_t fn, void *ctx)
{
	const bsh_voters_t *voters = &orders->lease.voters;
	const bsh_voters_t *former = &orders->lease.former_voters;

	for (uint32_t i = 0; i < voters->n; i++)
		fn(orders, voters->names[i], ctx);
	for (uint32_t i = 0; i < former->n; i++)
		if (!bsh_voters_contain(voters, former->names[i]))
			fn(orders, former->names[i], ctx);
}

static void send_to_voter(orders_t *orders, const char *voter, void *ctx)
{
	if (strcmp(voter, orders->lease.self) != 0)
		peers_send(orders->control->peers, voter, ctx);
}

static void send_entries(orders_t *orders)
{
	bsh_message_t message = { .type = BSH_MSG_ORDER_LOG };
	uint32_t keys[BSH_ORDER_LOG_KEYS_MAX];
	int64_t sent_us;
	uint32_t n = bsh_order_log_message(&orders->log_writer, keys, &sent_us,
					   now_us(orders));

	orders->log_due = false;
	orders->log_sent_us = now_us(orders);
	if (bsh_order_log_append(&orders->log, orders->lease.term, keys, n,
				 now_us(orders)))
		bsh_order_log_acknowledge(&orders->log_writer,
					  orders->lease.self, sent_us);
	for (uint32_t i = 0; i < n; i++)
		keys[i] = GUINT32_TO_BE(keys[i]);
	message.order_log.term = orders->lease.term;
	message.order_log.sent_us = (uint64_t)sent_us;
	message.order_log.keys = (const uint8_t *)keys;
	message.order_log.keys_bytes = n * (uint32_t)sizeof(keys[0]);
	foreach_voter(orders, send_to_voter, &message);
}

/* Sends, drops or keeps one order. */
static void settle(orders_t *orders, order_call_t *call, int64_t acknowledged)
{
	int64_t now = now_us(orders);

	if (!orders_may_order(orders)) {
		orders_drop_call(call);
		return;
	}
	if (bsh_order_log_permits(call->written_us, acknowledged, now)) {
		orders_send_call(call);
		return;
	}
	if (bsh_order_log_is_valid(call->written_us, now)) {
		g_ptr_array_add(orders->logged, call);
		return;
	}
	bsh_counter_add(&timeouts, 1);
	if (bsh_lease_must_log(&orders->lease)) {
		orders_drop_call(call);
		return;
	}
	orders->unlogged_us = now;
	orders_send_call(call);
}

static void settle_all(orders_t *orders)
{
	/* Planners may add orders meanwhile. */
	g_autoptr(GPtrArray) calls = orders->logged;
	int64_t acknowledged = acknowledged_us(orders);

	orders->logged = g_ptr_array_new();
	for (guint i = 0; i < calls->len; i++)
		settle(orders, g_ptr_array_index(calls, i), acknowledged);
}

void logged_orders_flush(orders_t *orders)
{
	int64_t since_us = now_us(orders) - orders->log_sent_us;
	bool waiting;

	if (orders->logged->len > 0)
		settle_all(orders);
	if (!bsh_lease_is_holder(&orders->lease, now_us(orders)) ||
	    (!is_enabled(orders) && !bsh_lease_must_log(&orders->lease)))
		return;
	waiting = orders->logged->len > 0 && since_us >= RESEND_US;
	if (orders->log_due || waiting || since_us >= IDLE_US)
		send_entries(orders);
}

void logged_orders_update_lease(orders_t *orders)
{
	int64_t now = now_us(orders);
	bool is_holder = bsh_lease_is_holder(&orders->lease, now);

	update_wanted(orders);
	bsh_lease_set_may_log(
		&orders->lease,
		is_enabled(orders) && is_holder &&
			now >= orders->lease.first_order_us &&
			now - orders->unlogged_us >= keep_us(orders) &&
			bsh_lease_is_order_list_complete(&orders->lease, now) &&
			voters_answer(orders));
	is_holder = is_holder && bsh_lease_must_log(&orders->lease);
	if (is_holder == orders->must_log)
		return;
	orders->must_log = is_holder;
	bsh_counter_set(&logged_only, is_holder);
	bsh_log(BSH_LOG_INFO,
		"order-log required=%d term=%" G_GUINT64_FORMAT " voters=%u",
		is_holder, orders->lease.term, orders->lease.voters.n);
}

static void exclude_entries(orders_t *orders, const GArray *entries)
{
	/* An order may be given until its entry is no longer valid. */
	for (guint i = 0; i < entries->len; i++) {
		const bsh_order_time_t *entry =
			&g_array_index(entries, bsh_order_time_t, i);

		order_lease_exclude_target(orders, entry->key,
					   entry->ordered_us +
						   BSH_ORDER_LOG_VALID_US);
	}
}

static void query_voter(orders_t *orders, const char *voter, void *ctx)
{
	g_autoptr(GArray) entries = NULL;

	if (strcmp(voter, orders->lease.self) != 0) {
		peers_send(orders->control->peers, voter, ctx);
		return;
	}
	entries = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	if (!bsh_order_log_read(&orders->log, orders->lease.term, entries,
				now_us(orders)))
		return;
	exclude_entries(orders, entries);
	bsh_order_log_add_answer(&orders->log_reader, voter);
}

static void end_if_read(orders_t *orders)
{
	if (!bsh_order_log_is_read(&orders->log_reader, &orders->lease.voters,
				   &orders->lease.former_voters))
		return;
	bsh_lease_log_read(&orders->lease, now_us(orders));
	bsh_log(BSH_LOG_INFO,
		"order-log-read term=%" G_GUINT64_FORMAT
		" ordered=%u took_ms=%d",
		orders->lease.term, order_lease_count_recent(orders),
		(int)((now_us(orders) - orders->lease.acquired_us) / 1000));
	bsh_order_log_reader_begin(&orders->log_reader, 0);
}

void logged_orders_read_former(orders_t *orders)
{
	int64_t now = now_us(orders);
	bsh_message_t message = { .type = BSH_MSG_ORDER_LOG_QUERY,
				  .order_log_time = { orders->lease.term,
						      (uint64_t)now } };

	if (!bsh_lease_awaits_log(&orders->lease, now))
		return;
	if (orders->log_reader.term != orders->lease.term)
		bsh_order_log_reader_begin(&orders->log_reader,
					   orders->lease.term);
	else if (now - orders->log_query_us < QUERY_US)
		return;
	orders->log_query_us = now;
	foreach_voter(orders, query_voter, &message);
	end_if_read(orders);
}

static void receive_entries(orders_t *orders, const char *sender,
			    const bsh_msg_order_log_t *entries)
{
	uint32_t keys[BSH_ORDER_LOG_KEYS_MAX];
	uint32_t n = entries->keys_bytes / (uint32_t)sizeof(keys[0]);
	bsh_message_t message = { .type = BSH_MSG_ORDER_LOG_ACK,
				  .order_log_time = { entries->term,
						      entries->sent_us } };

	for (uint32_t i = 0; i < n; i++) {
		uint32_t key;

		memcpy(&key, entries->keys + i * sizeof(key), sizeof(key));
		keys[i] = GUINT32_FROM_BE(key);
	}
	if (bsh_order_log_append(&orders->log, entries->term, keys, n,
				 now_us(orders)))
		peers_send(orders->control->peers, sender, &message);
}

static void receive_query(orders_t *orders, const char *sender,
			  const bsh_msg_order_log_time_t *query)
{
	g_autoptr(GArray) entries =
		g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	bsh_message_t message = { .type = BSH_MSG_ORDER_LOG_LIST };
	bsh_msg_release_keys_t *list = &message.release_keys;
	bsh_order_list_part_t memory;

	if (!bsh_order_log_read(&orders->log, query->term, entries,
				now_us(orders)) ||
	    entries->len > BSH_ORDER_LIST_MAX)
		return;
	list->term = query->term;
	list->revision = query->sent_us;
	for (uint32_t i = 0; i < bsh_order_list_parts(entries->len); i++) {
		bsh_order_list_encode(
			(const bsh_order_time_t *)(const void *)entries->data,
			entries->len, i, now_us(orders), &memory, list);
		peers_send(orders->control->peers, sender, &message);
	}
}

static void receive_list(orders_t *orders, const char *sender,
			 const bsh_msg_release_keys_t *list)
{
	const GArray *entries = bsh_order_log_receive(
		&orders->log_reader, sender, list, now_us(orders));

	if (entries == NULL || orders->log_reader.term != orders->lease.term)
		return;
	exclude_entries(orders, entries);
	end_if_read(orders);
}

void logged_orders_receive(orders_t *orders, const char *sender,
			   const bsh_message_t *message)
{
	const bsh_msg_order_log_time_t *time = &message->order_log_time;

	if (message->type == BSH_MSG_ORDER_LOG) {
		receive_entries(orders, sender, &message->order_log);
	} else if (message->type == BSH_MSG_ORDER_LOG_QUERY) {
		receive_query(orders, sender, time);
	} else if (message->type == BSH_MSG_ORDER_LOG_LIST) {
		receive_list(orders, sender, &message->release_keys);
	} else if (time->term == orders->log_writer.term &&
		   time->sent_us <= (uint64_t)orders->log_writer.made_us) {
		bsh_order_log_acknowledge(&orders->log_writer, sender,
					  (int64_t)time->sent_us);
		note_acknowledgement(orders);
		logged_orders_flush(orders);
	}
}
