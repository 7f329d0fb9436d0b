/* Connections to the platform's store that stall, while new ones are served. */
#include <glib.h>
#include <string.h>

#include "platform/store.h"
#include "support/platform_rig.h"
#include "support/relay.h"

#define PARALLEL_CALLS 4

typedef struct {
	platform_rig_t rig;
	relay_t relay;
	bsh_http_client_t *client;
	platform_store_t store;
	uint32_t ended;
	platform_result_t result; /* of the last call */
} fixture_t;

static void ignore_restore(void *ctx, uint32_t before)
{
	(void)ctx;
	(void)before;
}

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	relay_init(&f->relay, &f->rig.loop,
		   (uint16_t)g_ascii_strtoull(
			   strrchr(f->rig.store_address, ':') + 1, NULL, 10));
	f->client = bsh_http_client_new(&f->rig.loop, PARALLEL_CALLS);
	g_assert_nonnull(f->client);
	platform_store_init(&f->store, f->client, &f->rig.loop,
			    f->relay.address, ignore_restore, f);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	bsh_http_client_free(f->client);
	relay_finish(&f->relay);
	platform_rig_finish(&f->rig);
}

static void on_answer(void *ctx, const platform_answer_t *answer)
{
	fixture_t *f = ctx;

	f->ended++;
	f->result = answer->result;
}

/* Lists n times at once, and checks the result of the last call. */
static void check_lists(fixture_t *f, uint32_t n, platform_result_t expected)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	f->ended = 0;
	for (uint32_t i = 0; i < n; i++)
		platform_store_list(&f->store, PLATFORM_KIND_CONFIG, NULL,
				    false, on_answer, f);
	while (f->ended < n) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
	}
	g_assert_cmpint(f->result, ==, expected);
}

/* Guards against calls that use one stalled connection after the other, each
 * until it times out, so that an instance stays at an old configuration. */
static void test_stalled_idle(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_lists(f, PARALLEL_CALLS, PLATFORM_DONE);
	relay_set_mode(&f->relay, RELAY_STALLS_OPEN);
	check_lists(f, 1, PLATFORM_UNKNOWN);
	for (int i = 0; i < 3; i++)
		check_lists(f, 1, PLATFORM_DONE);
	/* Also later, when a new connection has served. */
	platform_rig_run(&f->rig, 2500);
	for (int i = 0; i < 3; i++)
		check_lists(f, 2, PLATFORM_DONE);
}

/* Guards against a test that ends as the store gets a request of another run, for
 * an instance that had its port before. */
static void test_foreign_request(fixture_t *f, gconstpointer data)
{
	rig_reply_t reply;

	(void)data;
	platform_rig_send(&f->rig, f->rig.store_address, "/stream/1", "foreign",
			  NULL, 1000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 404);
	platform_rig_reply_clear(&reply);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/store-connections/stalled-idle", fixture_t, NULL, set_up,
		   test_stalled_idle, tear_down);
	g_test_add("/store-connections/foreign-request", fixture_t, NULL,
		   set_up, test_foreign_request, tear_down);
	return g_test_run();
}
