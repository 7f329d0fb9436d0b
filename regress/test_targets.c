#include <glib.h>

#include "coordination/missing_target.h"

#define MS INT64_C(1000)

/* Guards against requests to a leaving target after the drain time: the grace
 * time of a missing target must end by the drain time counted from the last
 * moment at which its entry can have been removed unnoticed. */
static void test_grace_after_handover(void)
{
	/* The holder's last answer from the store came at 17,500 ms, another
	 * instance read the list at 18,690 ms. */
	int64_t until_us = bsh_missing_target_until_us(18690 * MS, 17500 * MS,
						       3000 * MS, 0);

	g_assert_cmpint(until_us, <, (17500 + 3000) * MS);
	g_assert_cmpint(until_us, >, 18690 * MS);
}

/* Guards against a target that is dropped although its entry may come back. */
static void test_grace_with_fresh_list(void)
{
	int64_t until_us = bsh_missing_target_until_us(10000 * MS, 9990 * MS,
						       2000 * MS, 0);

	g_assert_cmpint(until_us, >=, 11000 * MS);
	g_assert_cmpint(until_us, <, 11990 * MS);
	/* After an outage of the store entries come back within about 2 s. */
	g_assert_cmpint(bsh_missing_target_until_us(10000 * MS, 2000 * MS,
						    2000 * MS, 12500 * MS),
			==, 12500 * MS);
}

/* Guards against a time in the past when the list was complete long ago. */
static void test_grace_with_old_list(void)
{
	g_assert_cmpint(bsh_missing_target_until_us(10000 * MS, 1000 * MS,
						    2000 * MS, 0),
			==, 10000 * MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/missing-target/handover", test_grace_after_handover);
	g_test_add_func("/missing-target/fresh-list",
			test_grace_with_fresh_list);
	g_test_add_func("/missing-target/old-list", test_grace_with_old_list);
	return g_test_run();
}
