#include <glib.h>

#include "coordination/model_usage.h"

#define SECOND INT64_C(1000000)

/* A report of no requests from one router must not end the use of a model on
 * which another router has streams. */
static void test_total_over_routers(void)
{
	bsh_use_t use;

	bsh_use_init(&use);
	g_assert_cmpuint(bsh_use_report(&use, "m", "a", "t1", 2, 0), ==, 2);
	g_assert_cmpuint(bsh_use_report(&use, "m", "b", "t1", 3, 0), ==, 5);
	g_assert_cmpuint(bsh_use_report(&use, "m", "b", "t2", 1, 0), ==, 6);
	g_assert_cmpuint(bsh_use_report(&use, "n", "b", "t2", 0, 0), ==, 0);
	g_assert_cmpuint(bsh_use_report(&use, "m", "a", "t1", 0, SECOND), ==,
			 4);
	bsh_use_finish(&use);
}

/* The last report of a killed router must expire; otherwise its model would
 * stay loaded forever. */
static void test_killed_router_expires(void)
{
	bsh_use_t use;

	bsh_use_init(&use);
	bsh_use_report(&use, "m", "gone", "t1", 7, 0);
	g_assert_cmpuint(bsh_use_report(&use, "m", "a", "t1", 1, 3 * SECOND),
			 ==, 8);
	g_assert_cmpuint(bsh_use_report(&use, "m", "a", "t1", 1, 4 * SECOND),
			 ==, 1);
	g_assert_cmpuint(bsh_use_report(&use, "m", "a", "t1", 0, 5 * SECOND),
			 ==, 0);
	g_assert_cmpuint(g_hash_table_size(use.models), ==, 0);
	bsh_use_finish(&use);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/use/total", test_total_over_routers);
	g_test_add_func("/use/router-gone", test_killed_router_expires);
	return g_test_run();
}
