/* Processes that log orders at the voters of the order lease. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENTRIES	 4
#define ENGINES	 2
#define LEASE_MS 3000U
/* An instance logs for others 13.4 s after its start, and the lease object says
 * so once all orders of 3.6 s are logged. */
#define LOG_WAIT_MS 40000

/* Time after the end of a holder in which engines that it has ordered just before
 * are ordered again: the lease time, a margin and the time to load.  Without the
 * log it is 5.7 to 6.7 s. */
#define FIRST_ORDER_MS 5000

typedef struct {
	platform_rig_t rig;
	worker_t *engines[ENGINES];
	rig_reply_t reply;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	f->rig.lease_ms = LEASE_MS;
	f->rig.settings = "[entry]\norder_log_targets=1\n";
	platform_rig_configure(&f->rig, NULL);
	for (int i = 0; i < ENGINES; i++)
		f->engines[i] = platform_rig_add_worker(&f->rig, "llm", "m0");
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig,
					platform_rig_add_entry(&f->rig));
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

static void call(fixture_t *f, const rig_entry_t *entry, const char *path,
		 const char *id, const char *model, uint32_t deadline_ms)
{
	platform_rig_reply_clear(&f->reply);
	platform_rig_send(&f->rig, entry->front, path, id, model, deadline_ms,
			  &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
}

/* The instance that may give logged orders only; NULL: none. */
static rig_entry_t *find_log_holder(fixture_t *f)
{
	for (int i = 0; i < ENTRIES; i++) {
		rig_entry_t *entry = &f->rig.entries[i];

		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, entry->metrics, "/metrics", "m",
				  NULL, 2000, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		if (f->reply.body != NULL &&
		    strstr(f->reply.body, "\nbsh_orders_logged_only 1\n") !=
			    NULL)
			return entry;
	}
	return NULL;
}

static rig_entry_t *wait_for_log_holder(fixture_t *f)
{
	int64_t until_us = bsh_loop_clock_us() + LOG_WAIT_MS * INT64_C(1000);
	rig_entry_t *holder = NULL;

	while (holder == NULL && bsh_loop_clock_us() < until_us) {
		platform_rig_run(&f->rig, 200);
		holder = find_log_holder(f);
	}
	g_assert_nonnull(holder);
	return holder;
}

static const rig_entry_t *other_than(const fixture_t *f,
				     const rig_entry_t *entry)
{
	return entry == &f->rig.entries[0] ? &f->rig.entries[1]
					   : &f->rig.entries[0];
}

/* Sends requests for a model until one is served; they wait for 2 s at most. */
static void wait_for_model(fixture_t *f, const rig_entry_t *entry,
			   const char *model)
{
	int64_t until_us = bsh_loop_clock_us() + FIRST_ORDER_MS * INT64_C(1000);

	for (int i = 0; f->reply.status != 200 || i == 0; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", model, i);

		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		call(f, entry, "/once/1", id, model, 8000);
	}
	g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
}

static void check_successor(fixture_t *f, int signal)
{
	rig_entry_t *holder = wait_for_log_holder(f);
	const rig_entry_t *other = other_than(f, holder);

	/* The engines are ordered just before. */
	call(f, other, "/once/1", "v1", "m3", 8000);
	g_assert_cmpint(f->reply.status, ==, 200);
	platform_rig_signal(holder, signal);
	wait_for_model(f, other, "m4");
	if (signal == SIGSTOP) {
		platform_rig_signal(holder, SIGCONT);
		platform_rig_run(&f->rig, LEASE_MS);
	}
	call(f, other, "/once/1", "v3", "m5", 8000);
	g_assert_cmpint(f->reply.status, ==, 200);
	for (int i = 0; i < ENGINES; i++) {
		g_assert_cmpuint(f->engines[i]->lease_overlaps, ==, 0);
		g_assert_cmpuint(f->engines[i]->fence_reuses, ==, 0);
	}
}

/* Guards against seconds without orders after the holder of the lease is killed,
 * and against two holders of one engine within a lease time. */
static void test_killed_holder(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_successor(f, SIGKILL);
}

/* The same for a holder that is frozen and goes on later. */
static void test_frozen_holder(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_successor(f, SIGSTOP);
}

/* Guards against a holder that gives no orders once its voters are gone. */
static void test_voters_gone(fixture_t *f, gconstpointer data)
{
	rig_entry_t *holder = wait_for_log_holder(f);

	(void)data;
	for (int i = 0; i < ENTRIES; i++)
		if (&f->rig.entries[i] != holder)
			platform_rig_signal(&f->rig.entries[i], SIGKILL);
	wait_for_model(f, holder, "m3");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/logged-orders/killed-holder", fixture_t, NULL, set_up,
		   test_killed_holder, tear_down);
	g_test_add("/logged-orders/frozen-holder", fixture_t, NULL, set_up,
		   test_frozen_holder, tear_down);
	g_test_add("/logged-orders/voters-gone", fixture_t, NULL, set_up,
		   test_voters_gone, tear_down);
	return g_test_run();
}
