#include <glib.h>

#include "coordination/lease.h"

#define LEASE_MS 3000U
#define SECOND	 INT64_C(1000000)

/* Guards against two holders that give orders within one lease time, whatever
 * the first one's process was doing. */
static void test_terms_do_not_overlap(void)
{
	bsh_lease_t first;
	bsh_lease_t second;
	int64_t last_order_us = 0;
	int64_t now_us;

	bsh_lease_init(&first, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_init(&second, "entry-2", LEASE_MS, 0, 0);
	g_assert_cmpint(bsh_lease_next(&first, 0), ==, BSH_LEASE_CREATE);
	bsh_lease_done(&first, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_cmpint(bsh_lease_next(&second, 2000), ==, BSH_LEASE_CREATE);
	bsh_lease_done(&second, BSH_LEASE_CONFLICT, "entry-1", true, 10, 3000);
	/* The first one is cut off from the store and renews no more. */
	for (now_us = 4000; now_us < 20 * SECOND; now_us += 10000) {
		if (bsh_lease_next(&first, now_us) != BSH_LEASE_NOTHING)
			bsh_lease_done(&first, BSH_LEASE_UNKNOWN, NULL, true, 0,
				       now_us);
		if (bsh_lease_may_order(&first, now_us))
			last_order_us = now_us;
		if (bsh_lease_next(&second, now_us) == BSH_LEASE_REPLACE)
			bsh_lease_done(&second, BSH_LEASE_DONE, "entry-2", true,
				       11, now_us + 1000);
		if (bsh_lease_may_order(&second, now_us))
			break;
	}
	g_assert_cmpint(last_order_us, >, 0);
	g_assert_cmpint(now_us, <, 20 * SECOND);
	g_assert_cmpint(now_us - last_order_us, >, LEASE_MS * 1000);
	g_assert_cmpuint(second.term, >, first.term);
}

/* Guards against a holder that was paused past its term and then goes on. */
static void test_paused_holder_stops(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_true(bsh_lease_may_order(&lease, 2000));
	g_assert_false(bsh_lease_may_order(&lease, 3 * SECOND));
	/* Another one has taken it over meanwhile. */
	g_assert_cmpint(bsh_lease_next(&lease, 3 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", true, 12,
		       3 * SECOND + 1000);
	g_assert_false(bsh_lease_may_order(&lease, 3 * SECOND + 2000));
	g_assert_cmpstr(lease.holder, ==, "entry-2");
}

/* Guards against an update that is taken as failed although it was, or will
 * be, carried out. */
static void test_lost_answer_is_read_back(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0, 1000);
	g_assert_false(bsh_lease_may_order(&lease, SECOND));
	g_assert_cmpint(bsh_lease_next(&lease, SECOND), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10,
		       SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 2000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 11,
		       SECOND + 3000);
	g_assert_true(bsh_lease_may_order(&lease, SECOND + 4000));
	g_assert_cmpuint(lease.term, ==, 11);
}

/* Guards against a renewal whose lost answer ends the term although nobody
 * else has taken it. */
static void test_lost_renewal_goes_on(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 1000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0,
		       SECOND + 10000);
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 300000), ==,
			BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 12,
		       SECOND + 301000);
	g_assert_true(bsh_lease_may_order(&lease, SECOND + 302000));
	g_assert_cmpint(bsh_lease_next(&lease, SECOND + 302000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-1", true, 13,
		       SECOND + 303000);
	g_assert_true(bsh_lease_may_order(&lease, 2 * SECOND));
	g_assert_cmpuint(lease.term, ==, 10);
}

/* Guards against a takeover whose lost answer makes the new holder forget that
 * it has to wait for the former one. */
static void test_lost_takeover_still_waits(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_heard(&lease, "entry-1", 10, SECOND);
	g_assert_cmpint(bsh_lease_next(&lease, 4 * SECOND), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_UNKNOWN, NULL, true, 0,
		       4 * SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 5 * SECOND), ==, BSH_LEASE_READ);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 11,
		       5 * SECOND + 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 5 * SECOND + 2000), ==,
			BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 12,
		       5 * SECOND + 3000);
	g_assert_false(bsh_lease_may_order(&lease, 6 * SECOND));
}

/* Guards against a restarted process that goes on with a term whose wait its
 * predecessor had not finished. */
static void test_restart_during_wait(void)
{
	bsh_lease_t lease;

	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", false, 11, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 300000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", false, 12, 301000);
	g_assert_false(bsh_lease_may_order(&lease, 2 * SECOND));
	bsh_lease_init(&lease, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&lease, 0);
	bsh_lease_done(&lease, BSH_LEASE_CONFLICT, "entry-2", true, 12, 1000);
	g_assert_cmpint(bsh_lease_next(&lease, 300000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&lease, BSH_LEASE_DONE, "entry-2", true, 13, 301000);
	g_assert_true(bsh_lease_may_order(&lease, 302000));
}

/* Guards against a graceful stop that leaves the targets without orders for
 * the whole lease time, and against a successor that does not wait. */
static void test_release_hands_over(void)
{
	bsh_lease_t first;
	bsh_lease_t second;

	bsh_lease_init(&first, "entry-1", LEASE_MS, 0, 0);
	bsh_lease_init(&second, "entry-2", LEASE_MS, 0, 0);
	bsh_lease_next(&first, 0);
	bsh_lease_done(&first, BSH_LEASE_DONE, "entry-1", true, 10, 1000);
	bsh_lease_heard(&second, "entry-1", 10, 2000);
	bsh_lease_release(&first);
	g_assert_false(bsh_lease_may_order(&first, 3000));
	g_assert_cmpint(bsh_lease_next(&first, 3000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&first, BSH_LEASE_DONE, "", true, 11, 4000);
	bsh_lease_heard(&second, "", 11, 5000);
	g_assert_cmpint(bsh_lease_next(&second, 6000), ==, BSH_LEASE_REPLACE);
	bsh_lease_done(&second, BSH_LEASE_DONE, "entry-2", true, 12, 7000);
	g_assert_false(bsh_lease_may_order(&second, 8000));
	g_assert_cmpint(second.first_order_us, >, LEASE_MS * 1000);
	g_assert_cmpint(second.first_order_us, <, 4 * SECOND);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/terms-do-not-overlap",
			test_terms_do_not_overlap);
	g_test_add_func("/lease/paused-holder", test_paused_holder_stops);
	g_test_add_func("/lease/lost-answer", test_lost_answer_is_read_back);
	g_test_add_func("/lease/lost-renewal", test_lost_renewal_goes_on);
	g_test_add_func("/lease/lost-takeover", test_lost_takeover_still_waits);
	g_test_add_func("/lease/restart-during-wait", test_restart_during_wait);
	g_test_add_func("/lease/release", test_release_hands_over);
	return g_test_run();
}
