/* Handover of the order lease with a list of many targets. */
#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "coordination/lease.h"
#include "coordination/order_list.h"

#define SECOND	     INT64_C(1000000)
#define LEASE_US     (3 * SECOND)
#define EXCLUSION_US (LEASE_US + BSH_LEASE_MARGIN_US)

/* Encodes a part in memory of its own; the caller passes on the message. */
static bsh_msg_release_keys_t make_part(const GArray *orders, uint32_t part,
					uint64_t revision, int64_t now_us,
					bsh_order_list_part_t *memory)
{
	bsh_msg_release_keys_t message = { .revision = revision };

	bsh_order_list_encode(
		(const bsh_order_time_t *)(const void *)orders->data,
		orders->len, part, now_us, memory, &message);
	return message;
}

static void add_order(GArray *orders, uint32_t key, int64_t ordered_us)
{
	bsh_order_time_t order = { key, ordered_us };

	g_array_append_val(orders, order);
}

/* Guards against a list that counts as complete without one of its parts or
 * with parts of two lists, and against an exclusion that ends too early. */
static void test_parts(void)
{
	g_autoptr(GArray) orders =
		g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	bsh_order_list_part_t memory;
	bsh_msg_release_keys_t part;
	bsh_order_list_t list;
	uint32_t n = 2 * BSH_RELEASE_KEYS_MAX + 1;
	int64_t now_us = 10 * SECOND;

	for (uint32_t i = 0; i < n; i++)
		add_order(orders, 0xfffffff0U + i, now_us - i * 11003);
	/* Longer ago than a message can tell. */
	g_array_index(orders, bsh_order_time_t, 5).ordered_us = -100 * SECOND;
	g_assert_cmpuint(bsh_order_list_parts(0), ==, 1);
	g_assert_cmpuint(bsh_order_list_parts(n), ==, 3);
	bsh_order_list_init(&list);
	part = make_part(orders, 0, 7, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part = make_part(orders, 1, 8, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part = make_part(orders, 2, 7, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part = make_part(orders, 2, 8, now_us, &memory);
	part.ages_bytes -= 2;
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part = make_part(orders, 2, 8, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part.part = part.parts;
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	/* Sent again later, with higher ages. */
	part = make_part(orders, 0, 8, now_us + SECOND, &memory);
	g_assert_true(bsh_order_list_receive(&list, "a", &part,
					     now_us + SECOND + 5000));
	g_assert_cmpuint(list.orders->len, ==, n);
	for (uint32_t i = 0; i < n; i++) {
		const bsh_order_time_t *got =
			&g_array_index(list.orders, bsh_order_time_t, i);
		const bsh_order_time_t *sent = &g_array_index(
			orders, bsh_order_time_t, got->key - 0xfffffff0U);

		g_assert_cmpint(got->ordered_us, >=, sent->ordered_us);
		if (sent->ordered_us > 0)
			g_assert_cmpint(got->ordered_us, <=,
					sent->ordered_us + 6000);
	}
	/* Parts of another sender are not added to it. */
	part = make_part(orders, 1, 9, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "a", &part, now_us));
	part = make_part(orders, 0, 9, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "b", &part, now_us));
	part = make_part(orders, 2, 9, now_us, &memory);
	g_assert_false(bsh_order_list_receive(&list, "b", &part, now_us));
	bsh_order_list_finish(&list);
}

#define TARGETS_MAX	   400U
#define TICK_US		   (SECOND / 20)
#define STEP_US		   (SECOND / 200)
#define STORE_TIMEOUT_US   (3 * SECOND / 2)
#define STORE_ANSWER_US	   (SECOND / 50)
#define REPORT_INTERVAL_US (SECOND / 4)
#define DATAGRAM_US	   (SECOND / 500)
#define RELEASE_SENDS	   3U

typedef struct {
	bsh_rng_t rng;
	uint32_t targets;
	int64_t interval_us; /* between two orders */
	uint32_t at;	     /* target of the last order */
	int64_t next_us;
	int64_t last_us; /* last order to any target */
	int64_t gap_us;	 /* longest time without orders */
	bsh_lease_t leases[2];
	int64_t answer_us[2]; /* of the store to the pending call; 0: none */
	bsh_lease_call_t calls[2];
	uint64_t revision;
	int64_t cut_us;	     /* the store stops to answer the holder */
	int64_t answered_us; /* last answer of the store to the holder */
	bool withholds;
	/* Last order to each target: of either, and as each of them knows. */
	int64_t ordered_us[TARGETS_MAX];
	int64_t known_us[2][TARGETS_MAX];
	int last_by[TARGETS_MAX];
	GArray *released; /* list of the holder; NULL: not released */
	uint32_t sends;
	bsh_order_list_t received;
} fleet_t;

static void call_store(fleet_t *f, int n, int64_t now_us)
{
	bool cut = n == 0 && now_us >= f->cut_us;
	bsh_lease_t *lease = &f->leases[n];

	if (f->answer_us[n] > 0 && now_us >= f->answer_us[n]) {
		f->answer_us[n] = 0;
		if (cut) {
			bsh_lease_done(lease, BSH_LEASE_UNKNOWN, NULL, false, 0,
				       now_us);
		} else if (f->calls[n] == BSH_LEASE_READ) {
			bsh_lease_done(lease, BSH_LEASE_DONE, "entry-1", true,
				       f->revision, now_us);
		} else {
			bsh_lease_done(lease, BSH_LEASE_DONE, lease->self,
				       lease->update_active, ++f->revision,
				       now_us);
			if (n == 0)
				bsh_lease_announced(&f->leases[1], lease->self,
						    true, f->revision, now_us);
		}
		if (n == 0 && !cut)
			f->answered_us = now_us;
	}
	if (f->answer_us[n] > 0)
		return;
	f->calls[n] = bsh_lease_next(lease, now_us);
	if (f->calls[n] != BSH_LEASE_NOTHING)
		f->answer_us[n] =
			now_us + (cut ? STORE_TIMEOUT_US : STORE_ANSWER_US);
}

static void hand_over(fleet_t *f, uint32_t listed_max, int64_t now_us)
{
	bsh_lease_t *lease = &f->leases[0];
	bsh_handover_t step;
	uint32_t listed = 0;

	bsh_lease_supported(lease, now_us + SECOND, now_us);
	for (uint32_t t = 0; t < f->targets; t++)
		listed += now_us - f->known_us[0][t] < EXCLUSION_US;
	step = bsh_lease_handover_step(
		lease, now_us - f->answered_us, now_us % REPORT_INTERVAL_US,
		f->withholds, listed, listed_max, now_us);
	f->withholds = step == BSH_HANDOVER_WITHHOLD ||
		       (step == BSH_HANDOVER_NOW && f->withholds);
	if (step != BSH_HANDOVER_NOW || !bsh_lease_hand_over(lease, now_us))
		return;
	f->released = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	for (uint32_t t = 0; t < f->targets; t++)
		if (now_us - f->known_us[0][t] < EXCLUSION_US)
			add_order(f->released, t, f->known_us[0][t]);
	f->sends = RELEASE_SENDS;
}

/* Sends the release; the first message of each kind is lost. */
static void send_release(fleet_t *f, int64_t now_us)
{
	uint32_t parts = bsh_order_list_parts(f->released->len);

	for (uint32_t i = f->sends == RELEASE_SENDS; i < parts; i++) {
		bsh_order_list_part_t memory;
		bsh_msg_release_keys_t part = make_part(
			f->released, i, f->leases[0].revision, now_us, &memory);

		if (!bsh_order_list_receive(&f->received, "entry-1", &part,
					    now_us + DATAGRAM_US) ||
		    !bsh_lease_released(&f->leases[1], "entry-1", true, true,
					part.revision, now_us + DATAGRAM_US))
			continue;
		for (guint k = 0; k < f->received.orders->len; k++) {
			const bsh_order_time_t *order = &g_array_index(
				f->received.orders, bsh_order_time_t, k);

			f->known_us[1][order->key] = order->ordered_us;
		}
	}
	if (f->sends-- < RELEASE_SENDS)
		bsh_lease_released(&f->leases[1], "entry-1", true, false,
				   f->leases[0].revision, now_us + DATAGRAM_US);
}

static void give_order(fleet_t *f, int n, int64_t now_us)
{
	uint32_t t = 0;

	for (uint32_t i = 0; i < f->targets; i++) {
		t = (f->at + 1 + i) % f->targets;
		if (n == 0 || now_us - f->known_us[1][t] >= EXCLUSION_US ||
		    f->last_by[t] == 1)
			break;
		if (i == f->targets - 1)
			return;
	}
	if (f->last_by[t] != n)
		g_assert_cmpint(now_us - f->ordered_us[t], >=, LEASE_US);
	f->at = t;
	f->last_by[t] = n;
	f->ordered_us[t] = now_us;
	f->known_us[n][t] = now_us;
	f->gap_us = MAX(f->gap_us, now_us - f->last_us);
	f->last_us = now_us;
	f->next_us = now_us + f->interval_us;
}

/* Longest time without orders after the store has stopped to answer the holder,
 * which orders targets in turn. */
static int64_t gap_of_cut_off_holder(uint32_t targets, int64_t interval_us,
				     int64_t cut_us, uint32_t listed_max)
{
	fleet_t *f = g_new0(fleet_t, 1);
	int64_t gap_us;

	f->targets = targets;
	f->interval_us = interval_us;
	f->cut_us = cut_us;
	for (uint32_t t = 0; t < targets; t++)
		f->known_us[0][t] = f->known_us[1][t] = -EXCLUSION_US;
	bsh_lease_init(&f->leases[0], "entry-1", 3000, 0, 0);
	bsh_lease_init(&f->leases[1], "entry-2", 3000, 300000, 0);
	bsh_order_list_init(&f->received);
	for (int64_t now_us = STEP_US; now_us < cut_us + 20 * SECOND;
	     now_us += STEP_US) {
		call_store(f, 0, now_us);
		if (now_us >= SECOND)
			call_store(f, 1, now_us);
		if (bsh_lease_is_holder(&f->leases[0], now_us))
			bsh_lease_announced(&f->leases[1], "entry-1", true,
					    f->leases[0].revision, now_us);
		bsh_lease_set_store_reachable(&f->leases[1], true, now_us);
		if (now_us % TICK_US == 0 && f->released == NULL)
			hand_over(f, listed_max, now_us);
		if (now_us % TICK_US == 0 && f->sends > 0)
			send_release(f, now_us);
		for (int n = 0; n < 2; n++)
			if (now_us >= f->next_us && (n == 1 || !f->withholds) &&
			    bsh_lease_may_order(&f->leases[n], now_us))
				give_order(f, n, now_us);
	}
	gap_us = MAX(f->gap_us, cut_us + 20 * SECOND - f->last_us);
	g_test_message("%u targets, an order in %d ms: no orders for %d ms, "
		       "listed %u",
		       targets, (int)(interval_us / 1000), (int)(gap_us / 1000),
		       f->released != NULL ? f->released->len : 0);
	if (f->released != NULL)
		g_array_free(f->released, TRUE);
	bsh_order_list_finish(&f->received);
	g_free(f);
	return gap_us;
}

/* Guards against a holder of many targets that is cut off from the store and
 * leaves all of them without orders for more than 2.6 s, or whose successor
 * orders a target within a lease time. */
static void test_gap_of_cut_off_holder(void)
{
	for (int64_t cut_us = 6 * SECOND; cut_us < 7 * SECOND; cut_us += 37000)
		g_assert_cmpint(gap_of_cut_off_holder(71, SECOND / 50, cut_us,
						      BSH_ORDER_LIST_MAX),
				<=, 26 * SECOND / 10);
	/* Several parts. */
	g_assert_cmpint(gap_of_cut_off_holder(TARGETS_MAX, SECOND / 200,
					      6 * SECOND, BSH_ORDER_LIST_MAX),
			<=, 26 * SECOND / 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order-handover/parts", test_parts);
	g_test_add_func("/order-handover/cut-off-holder",
			test_gap_of_cut_off_holder);
	return g_test_run();
}
