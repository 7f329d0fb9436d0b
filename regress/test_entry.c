#include <glib.h>
#include <sched.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "support/platform_rig.h"
#include "support/relay.h"

static const char late_route[] = "{\"name\":\"late\",\"host\":\"" RIG_HOST
				 "\",\"pathPrefix\":\"/late/\",\"kind\":"
				 "\"idempotent\",\"service\":\"desk\"}";

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	worker_t *engine;
	worker_t *desk;
	rig_reply_t reply;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->engine = platform_rig_add_worker(&f->rig, "llm", "m0");
	f->desk = platform_rig_add_worker(&f->rig, "desk", NULL);
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

static void call(fixture_t *f, const char *path, const char *id,
		 const char *model)
{
	platform_rig_reply_clear(&f->reply);
	platform_rig_send(&f->rig, f->entry->front, path, id, model, 8000,
			  &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
}

/* Guards against a failure anywhere on the path of an ordinary request. */
static void test_ordinary_requests(fixture_t *f, gconstpointer data)
{
	(void)data;
	call(f, "/book/1", "a1", NULL);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpstr(f->reply.body, ==, "done");
	call(f, "/once/1", "a2", "m0");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_true(g_str_has_prefix(f->reply.body, "id: 1\n"));
	g_assert_nonnull(strstr(f->reply.body, "data: e6\n\n"));
	call(f, "/none/1", "a3", NULL);
	g_assert_cmpint(f->reply.status, ==, 404);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a1"), ==, 1);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a2"), ==, 1);
}

/* Guards against a directory that still lists an instance that is stopping. */
static void test_directory(fixture_t *f, gconstpointer data)
{
	static const char path[] = "/api/resolve?name=x&zone=z1";
	rig_reply_t *reply = &f->reply;
	int64_t until_us = bsh_loop_clock_us() + 5000000;
	rig_entry_t *second = platform_rig_add_entry(&f->rig);
	bool both = false;

	(void)data;
	platform_rig_wait_ready(&f->rig, second);
	while (!both) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_reply_clear(reply);
		platform_rig_send(&f->rig, f->entry->directory, path, "d", NULL,
				  1000, reply);
		platform_rig_wait(&f->rig, &reply->done);
		both = reply->body != NULL &&
		       strstr(reply->body, second->front) != NULL &&
		       strstr(reply->body, f->entry->front) != NULL;
	}
	platform_rig_signal(second, SIGTERM);
	platform_rig_run(&f->rig, 700);
	platform_rig_reply_clear(reply);
	platform_rig_send(&f->rig, f->entry->directory, path, "d", NULL, 1000,
			  reply);
	platform_rig_wait(&f->rig, &reply->done);
	g_assert_nonnull(strstr(reply->body, f->entry->front));
	g_assert_null(strstr(reply->body, second->front));
}

/* Guards against a request that may run only once being retried after its
 * response was lost, or being answered as not run. */
static void test_lost_answer(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->desk->mode = WORKER_CLOSES_AFTER_RUN;
	call(f, "/book/1", "b1", NULL);
	g_assert_cmpint(f->reply.status, ==, 502);
	g_assert_null(f->reply.retry_after);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "b1"), ==, 1);
	platform_rig_add_worker(&f->rig, "desk", NULL);
	platform_rig_run(&f->rig, 200);
	call(f, "/look/1", "b2", NULL);
	/* An idempotent request is retried on the other worker. */
	g_assert_cmpint(f->reply.status, ==, 200);
}

/* Guards against a missing Retry-After, and a late response, when a worker
 * confirms that it did not run the request. */
static void test_refusal(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->desk->mode = WORKER_IS_FULL;
	call(f, "/book/1", "c1", NULL);
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_nonnull(f->reply.retry_after);
	g_assert_cmpint(f->reply.took_us, <, 1000000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "c1"), ==, 0);
}

/* Guards against a resumable stream failing because the only target with its
 * model failed once. */
static void test_only_target_fails_once(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->engine->mode = WORKER_CLOSES_AFTER_RUN;
	platform_rig_send(&f->rig, f->entry->front, "/stream/1", "l1", "m0",
			  8000, &f->reply);
	platform_rig_run(&f->rig, 40);
	f->engine->mode = WORKER_ANSWERS;
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "l1"), ==, 2);
}

/* Guards against an attempt being cancelled without an alternative: the only
 * target with the model sends nothing for longer than the latency objective. */
static void test_only_target_is_slow(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->engine->work_ms = 1500;
	call(f, "/stream/1", "l2", "m0");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "l2"), ==, 1);
}

static gpointer spin(gpointer stop)
{
	while (!g_atomic_int_get((gint *)stop))
		;
	return NULL;
}

/* Guards against a single instance that holds each request back for a time after
 * its start, as no other one tells what it knows of suspects. */
static void test_lone_instance_is_prompt(fixture_t *f, gconstpointer data)
{
	rig_entry_t *entry = &f->rig.entries[0];
	rig_reply_t reply;

	(void)data;
	platform_rig_signal(entry, SIGKILL);
	while (entry->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, entry);
	platform_rig_wait_ready(&f->rig, entry);
	platform_rig_send(&f->rig, entry->front, "/look/1", "lone", NULL, 2000,
			  &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	g_assert_cmpint(reply.took_us, <, 600000);
	platform_rig_reply_clear(&reply);
}

/* Guards against an instance that reports that it is ready before its traffic
 * thread knows the configuration and the targets.  The threads compete for one
 * busy processor, so that the traffic thread runs late. */
static void test_ready_instance_serves(void)
{
	GThread *busy[4];
	gint stop = 0;
	cpu_set_t all;
	cpu_set_t one;
	platform_rig_t rig;
	rig_reply_t reply;

	g_assert_cmpint(sched_getaffinity(0, sizeof(all), &all), ==, 0);
	CPU_ZERO(&one);
	for (size_t i = 0; i < CPU_SETSIZE && CPU_COUNT(&one) == 0; i++)
		if (CPU_ISSET(i, &all))
			CPU_SET(i, &one);
	g_assert_cmpint(sched_setaffinity(0, sizeof(one), &one), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(busy); i++)
		busy[i] = g_thread_new("busy", spin, &stop);
	platform_rig_init(&rig);
	platform_rig_add_worker(&rig, "desk", NULL);
	platform_rig_configure(&rig, NULL);
	for (int i = 0; i < 12; i++) {
		rig_entry_t *entry = platform_rig_add_entry(&rig);

		platform_rig_wait_ready(&rig, entry);
		platform_rig_send(&rig, entry->front, "/look/1", "rs", NULL,
				  2000, &reply);
		platform_rig_wait(&rig, &reply.done);
		g_assert_cmpint(reply.status, ==, 200);
		platform_rig_reply_clear(&reply);
		platform_rig_signal(entry, SIGKILL);
	}
	platform_rig_finish(&rig);
	g_atomic_int_set(&stop, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(busy); i++)
		g_thread_join(busy[i]);
	g_assert_cmpint(sched_setaffinity(0, sizeof(all), &all), ==, 0);
}

/* Guards against a gap, a partial event or an early end when a worker breaks
 * off a resumable stream, and against a stream that is not resumable being
 * continued on another worker. */
static void test_broken_stream(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->engine->mode = WORKER_BREAKS_STREAM;
	platform_rig_add_worker(&f->rig, "llm", "m0");
	platform_rig_run(&f->rig, 200);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("d%d", i);

		call(f, "/stream/1", id, "m0");
		g_assert_cmpint(f->reply.status, ==, 200);
		g_assert_true(f->reply.complete);
		g_assert_cmpstr(f->reply.body, ==,
				"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
				"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
				"id: 5\ndata: e5\n\nid: 6\ndata: e6\n\n");
	}
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		f->rig.workers[i].mode = WORKER_BREAKS_STREAM;
	call(f, "/once/1", "d9", "m0");
	g_assert_false(f->reply.complete);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "d9"), ==, 1);
}

/* Guards against a stream that looks complete although only its first part was
 * passed on: the worker that was to resume it answered with an error. */
static void test_failed_resume(fixture_t *f, gconstpointer data)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm", "m0");

	(void)data;
	platform_rig_run(&f->rig, 200);
	f->engine->mode = WORKER_BREAKS_STREAM;
	other->mode = WORKER_FAILS;
	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("r%d", i);

		call(f, "/stream/1", id, "m0");
		if (f->reply.status == 200 && f->reply.complete)
			g_assert_nonnull(strstr(f->reply.body, "data: e6\n\n"));
	}
	g_assert_cmpuint(f->engine->runs, >, 0);
	g_assert_cmpuint(other->runs, >, 0);
}

/* Sets the mode of the one of two workers that gets the requests; the next
 * stream must be retried on the other one and complete. */
static void check_retried_stream(fixture_t *f, worker_mode_t mode)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm", "m0");

	platform_rig_run(&f->rig, 200);
	call(f, "/stream/1", "s0", "m0");
	(f->engine->runs > 0 ? f->engine : other)->mode = mode;
	call(f, "/stream/1", "s1", "m0");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpint(f->reply.took_us, <, 1500000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "s1"), ==, 2);
}

/* Guards against streams that stay at a worker that sends the response head and
 * no events, until their callers time out. */
static void test_mute_worker(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_retried_stream(f, WORKER_SENDS_HEAD_ONLY);
}

/* Guards against a stream that stays at a worker that stops sending events but
 * keeps the connection open. */
static void test_stalled_stream(fixture_t *f, gconstpointer data)
{
	(void)data;
	check_retried_stream(f, WORKER_STALLS);
}

/* Guards against the same where the worker sends a byte of the next event now
 * and then, which shows no progress, more often than the other one needs for its
 * first event. */
static void test_dripping_stream(fixture_t *f, gconstpointer data)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm", "m0");
	uint32_t handed_over = 0;

	(void)data;
	f->engine->mode = WORKER_DRIPS;
	other->work_ms = 150;
	platform_rig_run(&f->rig, 200);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("s%d", i);

		call(f, "/stream/1", id, "m0");
		g_assert_cmpint(f->reply.status, ==, 200);
		g_assert_true(f->reply.complete);
		g_assert_cmpint(f->reply.took_us, <, 1500000);
		handed_over += platform_rig_runs(&f->rig, id) == 2;
	}
	g_assert_cmpuint(handed_over, >, 0);
}

/* Guards against a requested model that no instance loads, and against loads
 * beyond the memory of a worker. */
static void test_loads_on_demand(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 1; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("e%d", i);
		g_autofree char *model = g_strdup_printf("m%d", i);

		call(f, "/once/1", id, model);
		g_assert_cmpint(f->reply.status, ==, 200);
		g_assert_cmpuint(platform_rig_runs(&f->rig, id), ==, 1);
	}
	g_assert_cmpuint(f->engine->loads, >=, 5);
	g_assert_cmpuint(f->engine->overloads, ==, 0);
}

/* Guards against requests that are aborted or lost when an instance stops:
 * running ones complete, and waiting ones are refused with Retry-After. */
static void test_graceful_stop(fixture_t *f, gconstpointer data)
{
	rig_reply_t waiting;

	(void)data;
	f->engine->work_ms = 800;
	/* The request for m5 waits, as no target holds the model yet. */
	platform_rig_send(&f->rig, f->entry->front, "/once/1", "f1", "m0", 8000,
			  &f->reply);
	platform_rig_run(&f->rig, 100);
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 1100);
	platform_rig_send(&f->rig, f->entry->front, "/once/1", "f2", "m5", 8000,
			  &waiting);
	platform_rig_run(&f->rig, 50);
	platform_rig_signal(f->entry, SIGTERM);
	platform_rig_wait(&f->rig, &waiting.done);
	g_assert_cmpint(waiting.status, ==, 503);
	g_assert_nonnull(waiting.retry_after);
	g_assert_cmpint(waiting.took_us, <, 1000000);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	while (f->entry->alive)
		platform_rig_run(&f->rig, 50);
	g_assert_true(WIFEXITED(f->entry->status));
	g_assert_cmpint(WEXITSTATUS(f->entry->status), ==, 0);
	platform_rig_reply_clear(&waiting);
}

/* Guards against a gap in orders during a rolling restart, which stops one
 * holder after the other: each gives orders until its process ends. */
static void test_stopping_holder_gives_orders(fixture_t *f, gconstpointer data)
{
	rig_entry_t *second = platform_rig_add_entry(&f->rig);
	rig_entry_t *first = f->entry;

	(void)data;
	platform_rig_wait_ready(&f->rig, second);
	platform_rig_run(&f->rig, 500);
	platform_rig_signal(first, SIGTERM);
	platform_rig_run(&f->rig, 50);
	f->entry = second;
	call(f, "/once/1", "k1", "m3");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpint(f->reply.took_us, <, 900000);
	/* The next holder takes over after the first process has ended. */
	while (first->alive)
		platform_rig_run(&f->rig, 50);
	/* It waits a lease time and its own delay before its first order. */
	platform_rig_run(&f->rig, 2 * f->rig.lease_ms);
	call(f, "/once/1", "k2", "m4");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpuint(f->engine->lease_overlaps, ==, 0);
}

/* Guards against a gap in orders while no instance reaches the store: the
 * holder continues with the support of a majority of the instances. */
static void test_orders_without_store(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f->rig,
					platform_rig_add_entry(&f->rig));
	platform_rig_run(&f->rig, 2000);
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 2 * f->rig.lease_ms);
	call(f, "/once/1", "w1", "m3");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpint(f->reply.took_us, <, 1000000);
}

/* Guards against a gap in orders while the store answers every instance but the
 * holder: it hands the lease over. */
static void test_handover(void)
{
	fixture_t f = { 0 };
	rig_entry_t *others[2];
	relay_t relay;
	char *port;

	platform_rig_init(&f.rig);
	f.rig.lease_ms = 3000;
	platform_rig_configure(&f.rig, NULL);
	f.engine = platform_rig_add_worker(&f.rig, "llm", "m0");
	port = strrchr(f.rig.store_address, ':');
	relay_init(&relay, &f.rig.loop,
		   (uint16_t)g_ascii_strtoull(port + 1, NULL, 10));
	g_strlcpy(f.rig.store_address, relay.address,
		  sizeof(f.rig.store_address));
	f.entry = platform_rig_add_entry(&f.rig);
	platform_rig_wait_ready(&f.rig, f.entry);
	platform_rig_run(&f.rig, 1000);
	g_snprintf(f.rig.store_address, sizeof(f.rig.store_address),
		   "127.0.0.1:%u", relay.to_port);
	for (int i = 0; i < 2; i++) {
		others[i] = platform_rig_add_entry(&f.rig);
		platform_rig_wait_ready(&f.rig, others[i]);
	}
	platform_rig_run(&f.rig, 1000);
	g_assert_cmpstr(f.engine->holder, ==, "");
	f.entry = others[0];
	call(&f, "/once/1", "v1", "m3");
	g_assert_cmpstr(f.engine->holder, ==, f.rig.entries[0].name);
	relay_set_mode(&relay, RELAY_HOLDS_ALL);
	/* Longer than a handover takes, shorter than a takeover. */
	platform_rig_run(&f.rig, 3000);
	call(&f, "/once/1", "v2", "m4");
	g_assert_cmpint(f.reply.status, ==, 200);
	g_assert_cmpint(f.reply.took_us, <, 1000000);
	g_assert_cmpstr(f.engine->holder, !=, f.rig.entries[0].name);
	g_assert_cmpuint(f.engine->lease_overlaps, ==, 0);
	relay_finish(&relay);
	tear_down(&f, NULL);
}

/* Guards against requests to a target whose entry was removed, from an instance
 * that receives the list from the lease holder only. */
static void test_vanished_target(fixture_t *f, gconstpointer data)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm", "m0");
	worker_t *vanished;
	uint32_t runs;

	(void)data;
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 1000);
	call(f, "/stream/1", "n1", "m0");
	vanished = other->runs > 0 ? other : f->engine;
	runs = vanished->runs;
	g_assert_cmpuint(runs, ==, 1);
	platform_rig_remove_worker(vanished);
	platform_rig_run(&f->rig, 200);
	for (int i = 2; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("n%d", i);

		call(f, "/stream/1", id, "m0");
		g_assert_cmpint(f->reply.status, ==, 200);
	}
	g_assert_cmpuint(vanished->runs, ==, runs);
}

/* Resets all connections through the relay again and again. */
static void reset_connections(fixture_t *f, relay_t *relay, int64_t ms)
{
	int64_t until_us = bsh_loop_clock_us() + ms * 1000;

	relay_set_mode(relay, RELAY_HOLDS_ALL);
	while (bsh_loop_clock_us() < until_us) {
		relay_reset_all(relay);
		platform_rig_run(&f->rig, 20);
	}
}

/* Guards against requests to a target later than the drain time after its entry
 * was removed, because the lease holder had lost the store just before and the
 * other instances began a new grace time when they read the list themselves. */
static void check_vanished_during_handover(bool after_failure)
{
	/* The default, which the rig does not change. */
	const int64_t drain_us = 2000000;
	fixture_t f = { 0 };
	rig_entry_t *others[2];
	int64_t removed_us;
	relay_t holder_relay;
	relay_t relay;
	uint16_t port;

	platform_rig_init(&f.rig);
	f.rig.lease_ms = 3000;
	platform_rig_configure(&f.rig, NULL);
	f.engine = platform_rig_add_worker(&f.rig, "llm", "m0");
	port = (uint16_t)g_ascii_strtoull(strrchr(f.rig.store_address, ':') + 1,
					  NULL, 10);
	relay_init(&holder_relay, &f.rig.loop, port);
	relay_init(&relay, &f.rig.loop, port);
	g_strlcpy(f.rig.store_address, holder_relay.address,
		  sizeof(f.rig.store_address));
	f.entry = platform_rig_add_entry(&f.rig);
	platform_rig_wait_ready(&f.rig, f.entry);
	platform_rig_run(&f.rig, 1000);
	g_strlcpy(f.rig.store_address, relay.address,
		  sizeof(f.rig.store_address));
	for (int i = 0; i < 2; i++) {
		others[i] = platform_rig_add_entry(&f.rig);
		platform_rig_wait_ready(&f.rig, others[i]);
	}
	platform_rig_run(&f.rig, 1000);
	f.entry = others[0];
	call(&f, "/stream/1", "x1", "m0");
	g_assert_cmpint(f.reply.status, ==, 200);
	if (after_failure) {
		/* The others miss the holder and do not reach the store; they
		 * follow the holder again before the store answers them. */
		platform_rig_signal(&f.rig.entries[0], SIGSTOP);
		reset_connections(&f, &relay, 1500);
		platform_rig_signal(&f.rig.entries[0], SIGCONT);
		reset_connections(&f, &relay, 1000);
		relay_set_mode(&relay, RELAY_PASSES);
	}
	relay_set_mode(&holder_relay, RELAY_HOLDS_ALL);
	platform_rig_run(&f.rig, 50);
	platform_rig_remove_worker(f.engine);
	removed_us = bsh_loop_clock_us();
	platform_rig_run(&f.rig, drain_us / 1000);
	f.engine->runs = 0;
	while (bsh_loop_clock_us() < removed_us + drain_us + 1000000) {
		platform_rig_reply_clear(&f.reply);
		platform_rig_send(&f.rig, f.entry->front, "/stream/1", "x2",
				  "m0", 100, &f.reply);
		platform_rig_run(&f.rig, 50);
	}
	g_assert_cmpuint(f.engine->runs, ==, 0);
	relay_finish(&relay);
	relay_finish(&holder_relay);
	tear_down(&f, NULL);
}

/* Guards against a target that is kept for good, because its instance was cut
 * off when the target left and then received the states of the other targets
 * from a new lease holder, which did not name it. */
static void test_vanished_while_cut_off(void)
{
	fixture_t f = { 0 };
	worker_t *vanished;
	const char *holder;
	relay_t relay;
	char *port;

	platform_rig_init(&f.rig);
	platform_rig_configure(&f.rig, NULL);
	f.engine = platform_rig_add_worker(&f.rig, "llm", "m0");
	vanished = platform_rig_add_worker(&f.rig, "llm", "m1");
	for (int i = 0; i < 2; i++)
		platform_rig_wait_ready(&f.rig, platform_rig_add_entry(&f.rig));
	port = strrchr(f.rig.store_address, ':');
	relay_init(&relay, &f.rig.loop,
		   (uint16_t)g_ascii_strtoull(port + 1, NULL, 10));
	g_strlcpy(f.rig.store_address, relay.address,
		  sizeof(f.rig.store_address));
	f.entry = platform_rig_add_entry(&f.rig);
	platform_rig_wait_ready(&f.rig, f.entry);
	platform_rig_run(&f.rig, 1500);
	/* The load shows which of the first two instances holds the lease. */
	call(&f, "/stream/1", "y1", "m3");
	g_assert_cmpint(f.reply.status, ==, 200);
	holder = f.engine->holder[0] != '\0' ? f.engine->holder
					     : vanished->holder;
	relay_set_mode(&relay, RELAY_HOLDS_ALL);
	platform_rig_signal(
		&f.rig.entries[strcmp(holder, f.rig.entries[0].name) != 0],
		SIGKILL);
	platform_rig_run(&f.rig, 100);
	platform_rig_remove_worker(vanished);
	/* The second instance takes the lease over and drops the target. */
	platform_rig_run(&f.rig, 9000);
	vanished->runs = 0;
	for (int i = 0; i < 5; i++) {
		platform_rig_reply_clear(&f.reply);
		platform_rig_send(&f.rig, f.entry->front, "/stream/1", "y2",
				  "m1", 100, &f.reply);
		platform_rig_run(&f.rig, 50);
	}
	g_assert_cmpuint(vanished->runs, ==, 0);
	relay_finish(&relay);
	tear_down(&f, NULL);
}

static void test_vanished_during_handover(void)
{
	check_vanished_during_handover(false);
}

/* The same with instances that have not reached the store since it failed: they
 * took the change of source for the end of that outage. */
static void test_vanished_after_failure(void)
{
	check_vanished_during_handover(true);
}

/* Guards against requests to a draining target after its drain time, because
 * the store has lost the watch that would have reported the change. */
static void test_lost_watch(fixture_t *f, gconstpointer data)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm", "m0");
	worker_t *leaving;

	(void)data;
	platform_rig_run(&f->rig, 300);
	call(f, "/stream/1", "p1", "m0");
	leaving = other->runs > 0 ? other : f->engine;
	/* The change ends the pending watch, so a new one has just begun. */
	platform_rig_publish_worker(leaving, "ready");
	platform_rig_run(&f->rig, 20);
	f->rig.store_watches_stalled = true;
	platform_rig_publish_worker(leaving, "draining");
	/* The default drain time, which the rig does not change. */
	platform_rig_run(&f->rig, 2000);
	leaving->runs = 0;
	for (int i = 2; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("p%d", i);

		call(f, "/stream/1", id, "m0");
		g_assert_cmpint(f->reply.status, ==, 200);
	}
	g_assert_cmpuint(leaving->runs, ==, 0);
}

/* Guards against a worker that keeps running a request whose caller has
 * disconnected. */
static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->desk->mode = WORKER_NEVER_ANSWERS;
	platform_rig_send(&f->rig, f->entry->front, "/look/1", "g1", NULL, 8000,
			  &f->reply);
	platform_rig_run(&f->rig, 200);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "g1"), ==, 1);
	platform_rig_reply_clear(&f->reply);
	platform_rig_run(&f->rig, 300);
	g_assert_cmpuint(f->desk->aborted, ==, 1);
}

/* Guards against a request that is sent on after its caller has given up and
 * disconnected, by an instance that was paused or slow to read it. */
static void test_paused_instance(fixture_t *f, gconstpointer data)
{
	(void)data;
	call(f, "/look/1", "q1", NULL);
	platform_rig_signal(f->entry, SIGSTOP);
	/* A thread that runs at the time of the signal stops a little later. */
	waitpid(f->entry->pid, NULL, WUNTRACED);
	platform_rig_reply_clear(&f->reply);
	platform_rig_send(&f->rig, f->entry->front, "/look/1", "q2", NULL, 300,
			  &f->reply);
	platform_rig_run(&f->rig, 400);
	platform_rig_reply_clear(&f->reply);
	platform_rig_signal(f->entry, SIGCONT);
	platform_rig_run(&f->rig, 400);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "q2"), ==, 0);
	call(f, "/look/1", "q3", NULL);
	g_assert_cmpint(f->reply.status, ==, 200);
}

/* Guards against an older or missing configuration during a store outage, and
 * against a new one that is not adopted after it. */
static void test_configuration_without_store(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 500);
	call(f, "/book/1", "h1", NULL);
	g_assert_cmpint(f->reply.status, ==, 200);
	platform_rig_configure(&f->rig, late_route);
	f->rig.store_down = false;
	platform_rig_run(&f->rig, 1500);
	call(f, "/late/1", "h2", NULL);
	g_assert_cmpint(f->reply.status, ==, 200);
}

/* Guards against a configuration change that is lost because its watch stalls
 * and the store then compacts its history.  The store ends the watches of the
 * other kinds, which must make the instance list all kinds again. */
static void test_configuration_after_lost_history(fixture_t *f,
						  gconstpointer data)
{
	(void)data;
	f->rig.store_watches_stalled = true;
	platform_rig_configure(&f->rig, late_route);
	platform_rig_run(&f->rig, 300);
	platform_rig_compact(&f->rig, "config");
	platform_rig_run(&f->rig, 1500);
	call(f, "/late/1", "j1", NULL);
	g_assert_cmpint(f->reply.status, ==, 200);
}

/* Guards against a 404 from an instance without a configuration: it must answer
 * 503 and not be ready. */
static void test_without_configuration(void)
{
	platform_rig_t rig;
	rig_entry_t *entry;
	rig_reply_t reply;

	platform_rig_init(&rig);
	entry = platform_rig_add_entry(&rig);
	platform_rig_run(&rig, 500);
	platform_rig_send(&rig, entry->front, "/book/1", "i1", NULL, 1000,
			  &reply);
	platform_rig_wait(&rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 503);
	g_assert_nonnull(reply.retry_after);
	platform_rig_reply_clear(&reply);
	platform_rig_send(&rig, entry->ready, "/api/ready", "i2", NULL, 1000,
			  &reply);
	platform_rig_wait(&rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 503);
	platform_rig_reply_clear(&reply);
	platform_rig_finish(&rig);
}

#define ADD(path, fn) g_test_add(path, fixture_t, NULL, set_up, fn, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Each case is reported by its name. */
	g_test_set_nonfatal_assertions();
	ADD("/entry/serves", test_ordinary_requests);
	ADD("/entry/directory", test_directory);
	ADD("/entry/lost-answer", test_lost_answer);
	ADD("/entry/lone-instance-is-prompt", test_lone_instance_is_prompt);
	ADD("/entry/refusal", test_refusal);
	ADD("/entry/only-target-fails-once", test_only_target_fails_once);
	ADD("/entry/only-target-is-slow", test_only_target_is_slow);
	g_test_add_func("/entry/ready-instance-serves",
			test_ready_instance_serves);
	ADD("/entry/broken-stream", test_broken_stream);
	ADD("/entry/failed-resume", test_failed_resume);
	ADD("/entry/mute-worker", test_mute_worker);
	ADD("/entry/stalled-stream", test_stalled_stream);
	ADD("/entry/dripping-stream", test_dripping_stream);
	ADD("/entry/loads-on-demand", test_loads_on_demand);
	ADD("/entry/stop", test_graceful_stop);
	ADD("/entry/stopping-holder", test_stopping_holder_gives_orders);
	ADD("/entry/orders-without-store", test_orders_without_store);
	g_test_add_func("/entry/handover", test_handover);
	ADD("/entry/vanished-target", test_vanished_target);
	g_test_add_func("/entry/vanished-during-handover",
			test_vanished_during_handover);
	g_test_add_func("/entry/vanished-while-cut-off",
			test_vanished_while_cut_off);
	g_test_add_func("/entry/vanished-after-failure",
			test_vanished_after_failure);
	ADD("/entry/lost-watch", test_lost_watch);
	ADD("/entry/caller-leaves", test_caller_leaves);
	ADD("/entry/paused-instance", test_paused_instance);
	ADD("/entry/configuration-without-store",
	    test_configuration_without_store);
	ADD("/entry/configuration-after-lost-history",
	    test_configuration_after_lost_history);
	g_test_add_func("/entry/without-configuration",
			test_without_configuration);
	return g_test_run();
}
