/* Handover of the order lease with a list of many targets. */
#include <glib.h>
#include <string.h>

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
	part.ages_bytes += 2;
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
	bsh_order_list_finish(&list);
}

#define TARGETS_MAX	   400U
#define TICK_US		   (SECOND / 20)
#define STEP_US		   (SECOND / 200)
#define STORE_TIMEOUT_US   (3 * SECOND / 2)
#define STORE_ANSWER_US	   (SECOND / 50)
#define REPORT_INTERVAL_US (SECOND / 4)
#define CUT_US		   (6 * SECOND)
#define END_US		   (CUT_US + 20 * SECOND)

/* Holder (0) and successor (1). */
typedef struct {
	uint32_t targets;
	int64_t cut_us; /* the store stops to answer the holder */
	uint32_t lost;	/* bit n: message n of the release is lost */
	uint32_t sent;	/* messages */
	uint32_t sends; /* of the whole release */
	bsh_lease_t leases[2];
	int64_t answer_us[2]; /* of the store to the pending call; 0: none */
	bsh_lease_call_t calls[2];
	uint64_t revision;
	int64_t answered_us; /* last answer of the store to the holder */
	uint32_t at;	     /* target of the last order */
	int64_t last_us;     /* last order to any target */
	int64_t gap_us;	     /* longest time without orders */
	/* Last order to each target, as each of them knows. */
	int64_t known_us[2][TARGETS_MAX];
	int last_by[TARGETS_MAX];
	GArray *released; /* list of the holder; empty: not released */
	bsh_order_list_t received;
} fleet_t;

static void end_call(fleet_t *f, int n, bool cut, int64_t now_us)
{
	bool read = f->calls[n] == BSH_LEASE_READ;
	bsh_lease_t *lease = &f->leases[n];

	f->answer_us[n] = 0;
	if (cut) {
		bsh_lease_done(lease, BSH_LEASE_UNKNOWN, NULL, false, 0,
			       now_us);
		return;
	}
	f->revision += !read;
	bsh_lease_done(lease, BSH_LEASE_DONE, read ? "entry-1" : lease->self,
		       true, f->revision, now_us);
	if (n == 0)
		f->answered_us = now_us;
}

static void call_store(fleet_t *f, int n, int64_t now_us)
{
	bool cut = n == 0 && now_us >= f->cut_us;

	if (f->answer_us[n] > 0 && now_us >= f->answer_us[n])
		end_call(f, n, cut, now_us);
	if (f->answer_us[n] > 0)
		return;
	f->calls[n] = bsh_lease_next(&f->leases[n], now_us);
	if (f->calls[n] != BSH_LEASE_NOTHING)
		f->answer_us[n] =
			now_us + (cut ? STORE_TIMEOUT_US : STORE_ANSWER_US);
}

static void hand_over(fleet_t *f, int64_t now_us)
{
	bsh_lease_t *lease = &f->leases[0];

	bsh_lease_supported(lease, now_us + SECOND, now_us);
	if (bsh_lease_handover_step(lease, now_us - f->answered_us,
				    now_us % REPORT_INTERVAL_US, false,
				    f->targets, BSH_ORDER_LIST_MAX,
				    now_us) == BSH_HANDOVER_NOW &&
	    bsh_lease_hand_over(lease, now_us))
		for (uint32_t t = 0; t < f->targets; t++)
			add_order(f->released, t, f->known_us[0][t]);
}

static void send_release(fleet_t *f, int64_t now_us)
{
	uint32_t parts = bsh_order_list_parts(f->released->len);
	/* The last two times with a RELEASE. */
	uint32_t messages = parts + (f->sends++ >= 2);
	uint64_t revision = f->leases[0].revision;

	for (uint32_t i = 0; i < messages; i++) {
		bsh_order_list_part_t memory;
		bsh_msg_release_keys_t part;
		bool whole = false;

		if ((f->lost >> f->sent++ & 1) != 0)
			continue;
		if (i < parts) {
			part = make_part(f->released, i, revision, now_us,
					 &memory);
			whole = bsh_order_list_receive(&f->received, "entry-1",
						       &part, now_us);
		}
		if ((!whole && i < parts) ||
		    !bsh_lease_released(&f->leases[1], "entry-1", true, whole,
					revision, now_us))
			continue;
		for (guint k = 0; whole && k < f->received.orders->len; k++) {
			const bsh_order_time_t *order = &g_array_index(
				f->received.orders, bsh_order_time_t, k);

			f->known_us[1][order->key] = order->ordered_us;
		}
	}
}

/* Orders the next target in turn that is not excluded. */
static void give_order(fleet_t *f, int n, int64_t now_us)
{
	for (uint32_t i = 1; i <= f->targets; i++) {
		uint32_t t = (f->at + i) % f->targets;

		if (f->last_by[t] != n) {
			if (now_us - f->known_us[n][t] < EXCLUSION_US)
				continue;
			g_assert_cmpint(now_us - f->known_us[0][t], >=,
					LEASE_US);
		}
		f->at = t;
		f->last_by[t] = n;
		f->known_us[n][t] = now_us;
		f->gap_us = MAX(f->gap_us, now_us - f->last_us);
		f->last_us = now_us;
		return;
	}
}

/* Longest time without orders after the store has stopped to answer the holder,
 * which orders targets in turn. */
static int64_t gap_of_cut_off_holder(uint32_t targets, int64_t interval_us,
				     int64_t cut_us, uint32_t lost)
{
	g_autofree fleet_t *f = g_new0(fleet_t, 1);

	f->targets = targets;
	f->cut_us = cut_us;
	f->lost = lost;
	f->released = g_array_new(FALSE, FALSE, sizeof(bsh_order_time_t));
	for (uint32_t t = 0; t < targets; t++)
		f->known_us[0][t] = f->known_us[1][t] = -EXCLUSION_US;
	bsh_lease_init(&f->leases[0], "entry-1", 3000, 0, 0);
	bsh_lease_init(&f->leases[1], "entry-2", 3000, 60000, 0);
	bsh_order_list_init(&f->received);
	for (int64_t now_us = STEP_US; now_us < END_US; now_us += STEP_US) {
		call_store(f, 0, now_us);
		if (now_us >= SECOND)
			call_store(f, 1, now_us);
		if (bsh_lease_is_holder(&f->leases[0], now_us))
			bsh_lease_announced(&f->leases[1], "entry-1", true,
					    f->leases[0].revision, now_us);
		if (now_us % TICK_US == 0 && f->released->len == 0)
			hand_over(f, now_us);
		if (now_us % TICK_US == 0 && f->released->len > 0 &&
		    f->sends < 4)
			send_release(f, now_us);
		for (int n = 0; n < 2; n++)
			if (now_us - f->last_us >= interval_us &&
			    bsh_lease_may_order(&f->leases[n], now_us))
				give_order(f, n, now_us);
	}
	g_test_message("%u targets, lost %x: no orders for %d ms", targets,
		       lost, (int)(f->gap_us / 1000));
	g_assert_cmpint(f->last_us, >, END_US - SECOND);
	g_array_free(f->released, TRUE);
	bsh_order_list_finish(&f->received);
	return f->gap_us;
}

/* Guards against a holder of many targets that is cut off from the store and
 * leaves all of them without orders for more than 2.6 s, and against a successor
 * that orders a target within a lease time, also with a part of the list. */
static void test_cut_off_holder(void)
{
	for (int64_t us = 0; us < SECOND; us += 37000)
		g_assert_cmpint(
			gap_of_cut_off_holder(71, SECOND / 50, CUT_US + us, 1),
			<=, 26 * SECOND / 10);
	g_assert_cmpint(
		gap_of_cut_off_holder(TARGETS_MAX, SECOND / 200, CUT_US, 0x6),
		<=, 26 * SECOND / 10);
	for (uint32_t lost = 0; lost < 1 << 14; lost += 101)
		gap_of_cut_off_holder(TARGETS_MAX, SECOND / 100, CUT_US, lost);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order-handover/parts", test_parts);
	g_test_add_func("/order-handover/cut-off-holder", test_cut_off_holder);
	return g_test_run();
}
