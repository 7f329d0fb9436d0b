#include <string.h>

#include "coordination/route.h"
#include "support/sim.h"

static const char *const names[] = { "t0", "t1", "t2", "t3" };

static void setup(bsh_route_t *route, int targets)
{
	bsh_route_config_t config;

	bsh_route_config_default(&config);
	config.max_running = 4;
	config.max_targets = 8;
	g_strlcpy(config.zone, "a", sizeof(config.zone));
	bsh_route_init(route, &config);
	for (int i = 0; i < targets; i++)
		bsh_route_set_target(route, names[i], 1, "127.0.0.1:1", "a", 0);
	bsh_route_set_ready(route, "m", "cell", 1, 1, names, (size_t)targets);
}

static bsh_error_t choose(bsh_route_t *route, bsh_route_choice_t *choice,
			  int64_t now_us)
{
	bsh_route_request_t request = { .key = "m", .repeatable = true };

	return bsh_route_choose(route, &request, choice, now_us);
}

/* Guards against a leaving target that gets requests again because a stale list
 * still reports it as live. */
static void test_leaving_never_reverts(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;

	setup(&route, 1);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_OK);
	g_assert_true(bsh_route_set_leaving(&route, "t0", 1));
	g_assert_false(bsh_route_may_send(&route, &choice));
	g_assert_false(bsh_route_set_leaving(&route, "t0", 1));
	bsh_route_set_target(&route, "t0", 1, "127.0.0.1:1", "a", 0);
	bsh_route_set_ready(&route, "m", "cell", 1, 2, names, 1);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_ERR_NOT_FOUND);
	g_assert_cmpuint(bsh_route_slots(&route, "m"), ==, 0);
	bsh_route_set_target(&route, "t0", 2, "127.0.0.1:1", "a", 0);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_OK);
	/* A target marked as leaving before it is set, and an incarnation that
	 * is removed and set again. */
	bsh_route_set_leaving(&route, "t9", 5);
	bsh_route_set_target(&route, "t9", 5, "127.0.0.1:1", "a", 0);
	g_assert_true(bsh_route_is_leaving(&route, "t9", 5));
	bsh_route_remove_target(&route, "t0", 2);
	bsh_route_set_target(&route, "t0", 2, "127.0.0.1:1", "a", 0);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_ERR_NOT_FOUND);
	bsh_route_finish(&route);
}

/* Guards against a ready set of a former owner that replaces a newer one, and
 * against the ready set of one cell that replaces that of another cell. */
static void test_ready_stamps(void)
{
	bsh_route_t route;

	setup(&route, 4);
	g_assert_true(bsh_route_set_ready(&route, "m", "cell", 2, 1, names, 1));
	g_assert_false(
		bsh_route_set_ready(&route, "m", "cell", 1, 9, names, 4));
	g_assert_false(
		bsh_route_set_ready(&route, "m", "cell", 2, 1, names, 4));
	g_assert_true(
		bsh_route_set_ready(&route, "m", "other", 1, 1, names + 2, 2));
	g_assert_cmpuint(bsh_route_slots(&route, "m"), ==, 12);
	bsh_route_remove_key(&route, "m");
	g_assert_cmpuint(bsh_route_slots(&route, "m"), ==, 0);
	g_assert_cmpuint(bsh_route_target(&route, 2)->keys, ==, 0);
	bsh_route_finish(&route);
}

/* Guards against more requests at a target than its limit, and against open
 * requests that a result of an older incarnation changes. */
static void test_limits(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;
	bsh_route_request_t request = { .key = "m", .repeatable = true };
	int started = 0;

	setup(&route, 2);
	while (choose(&route, &choice, 0) == BSH_OK && started < 100) {
		bsh_route_start(&route, &request, &choice, 0);
		started++;
	}
	g_assert_cmpint(started, ==, 8);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_ERR_CAPACITY);
	choice.target = 1;
	choice.incarnation = 1;
	bsh_route_end(&route, &choice, BSH_ROUTE_NEUTRAL, 0);
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_OK);
	g_assert_cmpuint(choice.target, ==, 1);
	/* The result of an older incarnation does not count. */
	bsh_route_set_target(&route, "t1", 2, "127.0.0.1:1", "a", 0);
	bsh_route_end(&route, &choice, BSH_ROUTE_FAILURE, 0);
	g_assert_cmpuint(bsh_route_target(&route, 1)->open, ==, 0);
	g_assert_cmpuint(bsh_route_target(&route, 1)->breaker.failures, ==, 0);
	bsh_route_finish(&route);
}

/* Guards against a failing target that still gets requests, and against a
 * recovered target that gets none because its breaker never closes. */
static void test_breaker(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;
	bsh_route_request_t request = { .key = "m", .repeatable = true };
	int64_t retry_us;

	setup(&route, 1);
	for (int i = 0; i < BSH_BREAKER_FAILURES; i++) {
		g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_OK);
		bsh_route_start(&route, &request, &choice, 0);
		bsh_route_end(&route, &choice, BSH_ROUTE_FAILURE, 0);
	}
	g_assert_cmpint(choose(&route, &choice, 0), ==, BSH_ERR_CONNECT);
	retry_us = choice.retry_us;
	g_assert_cmpint(retry_us, >=, BSH_BREAKER_OPEN_MIN_US);
	g_assert_cmpint(choose(&route, &choice, retry_us), ==, BSH_OK);
	bsh_route_start(&route, &request, &choice, retry_us);
	/* One probe at a time. */
	g_assert_cmpint(choose(&route, &choice, retry_us), ==, BSH_ERR_CONNECT);
	choice.target = 0;
	choice.incarnation = 1;
	bsh_route_end(&route, &choice, BSH_ROUTE_SUCCESS, retry_us);
	g_assert_cmpint(choose(&route, &choice, retry_us), ==, BSH_OK);
	bsh_route_start(&route, &request, &choice, retry_us);
	g_assert_cmpint(choose(&route, &choice, retry_us), ==, BSH_OK);
	bsh_route_finish(&route);
}

/* Guards against sending a non-repeatable request as the breaker's probe of a
 * failed target, where it would probably fail. */
static void test_probe_repeatable_only(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice = { .target = 0, .incarnation = 1 };
	bsh_route_request_t request = { .key = "m" };

	setup(&route, 2);
	for (int i = 0; i < BSH_BREAKER_FAILURES; i++)
		bsh_route_end(&route, &choice, BSH_ROUTE_FAILURE, 0);
	for (int i = 0; i < 50; i++) {
		g_assert_cmpint(
			bsh_route_choose(&route, &request, &choice, 10 * SIM_S),
			==, BSH_OK);
		g_assert_cmpuint(choice.target, ==, 1);
	}
	bsh_route_finish(&route);
}

/* Guards against a target that an old report of high load keeps excluded, and
 * against a new report that is ignored. */
static void test_report_age(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;

	setup(&route, 2);
	bsh_route_report(&route, "t0", 1, 4, 0, 10 * SIM_S);
	bsh_route_report(&route, "t1", 1, 1, 0, 10 * SIM_S);
	bsh_route_report(&route, "t1", 1, 9, 9, 5 * SIM_S); /* older */
	choose(&route, &choice, 10 * SIM_S);
	g_assert_cmpuint(choice.target, ==, 1);
	bsh_route_report(&route, "t1", 1, 30, 0, 11 * SIM_S);
	choose(&route, &choice, 11 * SIM_S);
	g_assert_cmpuint(choice.target, ==, 0);
	/* Far above the limit; the report loses its weight with age. */
	bsh_route_set_leaving(&route, "t0", 1);
	g_assert_cmpint(choose(&route, &choice, 11 * SIM_S), ==,
			BSH_ERR_CAPACITY);
	g_assert_cmpint(choose(&route, &choice, 60 * SIM_S), ==, BSH_OK);
	bsh_route_finish(&route);
}

/* Guards against all routers sending to the target with the lowest reported
 * load, although the difference is small. */
static void test_no_thundering_herd(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;
	int chosen[2] = { 0 };

	setup(&route, 2);
	bsh_route_report(&route, "t0", 1, 1, 0, SIM_S);
	bsh_route_report(&route, "t1", 1, 3, 0, SIM_S);
	for (int i = 0; i < 100; i++) {
		choose(&route, &choice, SIM_S);
		chosen[choice.target]++;
	}
	g_assert_cmpint(chosen[0], >, 20);
	g_assert_cmpint(chosen[1], >, 20);
	bsh_route_finish(&route);
}

/* Guards against repeating a prefill on a target without the cached prefix, and
 * against trusting entries from before a loss of cache events. */
static void test_prefix(void)
{
	bsh_route_t route;
	bsh_route_choice_t choice;
	char text[4 * BSH_ROUTE_BLOCK_BYTES];
	uint64_t hashes[BSH_ROUTE_MAX_PREFIX];
	bsh_route_request_t request = { .key = "m",
					.repeatable = true,
					.prefix = hashes };

	memset(text, 'x', sizeof(text));
	request.prefix_count =
		bsh_route_hash_prefix("m", text, sizeof(text) - 1, hashes);
	g_assert_cmpuint(request.prefix_count, ==, 3);
	setup(&route, 4);
	bsh_route_cache_event(&route, "t2", hashes[2], true, SIM_S);
	bsh_route_choose(&route, &request, &choice, SIM_S);
	g_assert_cmpuint(choice.target, ==, 2);
	g_assert_cmpuint(choice.prefix_match, ==, 3);
	/* The router's own sends count before the engine's events arrive. */
	choice.target = 3;
	bsh_route_start(&route, &request, &choice, SIM_S);
	bsh_route_cache_gap(&route, "t2", 2 * SIM_S);
	choice.incarnation = 1;
	bsh_route_end(&route, &choice, BSH_ROUTE_SUCCESS, 3 * SIM_S);
	bsh_route_start(&route, &request, &choice, 3 * SIM_S);
	bsh_route_end(&route, &choice, BSH_ROUTE_SUCCESS, 3 * SIM_S);
	bsh_route_choose(&route, &request, &choice, 4 * SIM_S);
	g_assert_cmpuint(choice.target, ==, 3);
	/* An eviction event that may predate the last use is ignored. */
	bsh_route_cache_event(&route, "t3", hashes[2], false, 4 * SIM_S);
	bsh_route_choose(&route, &request, &choice, 4 * SIM_S);
	g_assert_cmpuint(choice.target, ==, 3);
	for (int b = 0; b < 3; b++)
		bsh_route_cache_event(&route, "t3", hashes[b], false,
				      9 * SIM_S);
	bsh_route_choose(&route, &request, &choice, 9 * SIM_S);
	g_assert_cmpuint(choice.target, ==, 2);
	bsh_route_finish(&route);
}

/* Guards against memory that grows with each replaced target, because the
 * records of removed targets are not reused. */
static void test_records_bounded(void)
{
	bsh_route_t route;
	char name[16];

	setup(&route, 2);
	for (int i = 0; i < 1000; i++) {
		g_snprintf(name, sizeof(name), "x%d", i);
		g_assert_cmpint(bsh_route_set_target(&route, name, 1,
						     "127.0.0.1:1", "b", 0),
				==, BSH_OK);
		bsh_route_remove_target(&route, name, 1);
	}
	g_assert_cmpuint(route.targets->len, <=, 8);
	g_assert_cmpuint(g_hash_table_size(route.by_name), <=, 8);
	g_assert_cmpuint(bsh_route_slots(&route, "m"), ==, 8);
	bsh_route_finish(&route);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/leaving", test_leaving_never_reverts);
	g_test_add_func("/route/stamps", test_ready_stamps);
	g_test_add_func("/route/limits", test_limits);
	g_test_add_func("/route/breaker", test_breaker);
	g_test_add_func("/route/probe", test_probe_repeatable_only);
	g_test_add_func("/route/reports", test_report_age);
	g_test_add_func("/route/herd", test_no_thundering_herd);
	g_test_add_func("/route/prefix", test_prefix);
	g_test_add_func("/route/bounded", test_records_bounded);
	return g_test_run();
}
