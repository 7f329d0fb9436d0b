/* Requests at targets that send nothing for a while and then go on, which is no
 * fault of the target. */
#include <glib.h>
#include <string.h>

#include "support/platform_rig.h"

#define SILENCE_MS 1200

static const char whole_stream[] =
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	"id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	worker_t *first;
	worker_t *second;
	rig_reply_t reply;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer service)
{
	const char *model = strcmp(service, "llm") == 0 ? "m0" : NULL;

	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->first = platform_rig_add_worker(&f->rig, service, model);
	f->second = platform_rig_add_worker(&f->rig, service, model);
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 200);
}

/* Value of a counter or gauge of the instance. */
static int64_t metric(fixture_t *f, const char *name)
{
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	rig_reply_t reply;
	const char *line;
	int64_t value = -1;

	platform_rig_send(&f->rig, f->entry->metrics, "/metrics", "m", NULL,
			  1000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	line = strstr(reply.body, start);
	g_assert_nonnull(line);
	value = g_ascii_strtoll(line + strlen(start), NULL, 10);
	platform_rig_reply_clear(&reply);
	return value;
}

static void tear_down(fixture_t *f, gconstpointer service)
{
	(void)service;
	platform_rig_reply_clear(&f->reply);
	/* Each request that was read has ended. */
	g_assert_cmpint(metric(f, "bsh_requests_open"), ==, 0);
	platform_rig_finish(&f->rig);
}

static void send_request(fixture_t *f, const char *path, const char *id)
{
	platform_rig_send(&f->rig, f->entry->front, path, id,
			  strcmp(f->first->service, "llm") == 0 ? "m0" : NULL,
			  8000, &f->reply);
}

/* Runs the loop until one of the workers has begun to run a request, and returns
 * it. */
static worker_t *wait_for_run(fixture_t *f)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	while (f->first->runs + f->second->runs == 0) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
	}
	return f->first->runs > 0 ? f->first : f->second;
}

static void wait_for_events(fixture_t *f, const worker_t *worker, uint32_t n)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	while (worker->events < n) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
	}
}

static worker_t *other(fixture_t *f, const worker_t *worker)
{
	return worker == f->first ? f->second : f->first;
}

/* Guards against a stream that is cut off because its target was given up
 * during a silence, and the target that was to continue it refused. */
static void test_stream_refused_elsewhere(fixture_t *f, gconstpointer service)
{
	worker_t *silent;

	(void)service;
	send_request(f, "/stream/1", "a1");
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	other(f, silent)->mode = WORKER_IS_FULL;
	platform_rig_silence_worker(silent, SILENCE_MS);
	/* A configuration is put in force meanwhile. */
	platform_rig_run(&f->rig, 100);
	platform_rig_configure(&f->rig, NULL);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Guards against the same when the other target fails after the stream was to go
 * on there. */
static void test_stream_fails_elsewhere(fixture_t *f, gconstpointer service)
{
	worker_t *silent;

	(void)service;
	send_request(f, "/stream/1", "a2");
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	other(f, silent)->mode = WORKER_CLOSES_AFTER_RUN;
	platform_rig_silence_worker(silent, SILENCE_MS);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Guards against a stream without a first event, and an idempotent call, that
 * end with a failure although their target only paused. */
static void test_first_byte_refused_elsewhere(fixture_t *f,
					      gconstpointer service)
{
	bool is_stream = strcmp(service, "llm") == 0;
	worker_t *silent;

	send_request(f, is_stream ? "/stream/1" : "/look/1", "a3");
	silent = wait_for_run(f);
	other(f, silent)->mode = WORKER_IS_FULL;
	platform_rig_silence_worker(silent, SILENCE_MS);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, is_stream ? whole_stream : "done");
}

/* Guards against a response that stays with a target that never goes on. */
static void test_stream_goes_on_elsewhere(fixture_t *f, gconstpointer service)
{
	worker_t *silent;

	(void)service;
	send_request(f, "/stream/1", "a4");
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	platform_rig_silence_worker(silent, 7000);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
	g_assert_cmpint(f->reply.took_us, <, 1500000);
	/* The run that was replaced does not go on. */
	platform_rig_run(&f->rig, 50);
	g_assert_cmpuint(silent->aborted, ==, 1);
}

/* Guards against a stream with events of both runs, or with one of them twice,
 * when the silent target goes on while the other one prepares. */
static void test_silent_target_goes_on_first(fixture_t *f,
					     gconstpointer service)
{
	worker_t *silent;

	(void)service;
	send_request(f, "/stream/1", "a5");
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	other(f, silent)->work_ms = 250;
	/* Just longer than the pause after which another target is asked. */
	platform_rig_silence_worker(silent, 600);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
	platform_rig_run(&f->rig, 300);
	g_assert_cmpuint(f->rig.pending_runs->len, ==, 0);
}

/* Guards against a begun stream that is cut off because the only other target
 * refuses for a moment. */
static void test_stream_waits_for_target(fixture_t *f, gconstpointer service)
{
	worker_t *broken;

	(void)service;
	send_request(f, "/stream/1", "a6");
	broken = wait_for_run(f);
	other(f, broken)->mode = WORKER_IS_FULL;
	wait_for_events(f, broken, 2);
	broken->mode = WORKER_BREAKS_STREAM;
	platform_rig_run(&f->rig, 50);
	broken->mode = WORKER_IS_FULL;
	platform_rig_run(&f->rig, 500);
	g_assert_false(f->reply.done);
	other(f, broken)->mode = WORKER_ANSWERS;
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a6"), ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/silent-target/stream-refused-elsewhere", fixture_t, "llm",
		   set_up, test_stream_refused_elsewhere, tear_down);
	g_test_add("/silent-target/stream-fails-elsewhere", fixture_t, "llm",
		   set_up, test_stream_fails_elsewhere, tear_down);
	g_test_add("/silent-target/first-event-refused-elsewhere", fixture_t,
		   "llm", set_up, test_first_byte_refused_elsewhere, tear_down);
	g_test_add("/silent-target/call-refused-elsewhere", fixture_t, "desk",
		   set_up, test_first_byte_refused_elsewhere, tear_down);
	g_test_add("/silent-target/stream-goes-on-elsewhere", fixture_t, "llm",
		   set_up, test_stream_goes_on_elsewhere, tear_down);
	g_test_add("/silent-target/silent-target-goes-on-first", fixture_t,
		   "llm", set_up, test_silent_target_goes_on_first, tear_down);
	g_test_add("/silent-target/stream-waits-for-target", fixture_t, "llm",
		   set_up, test_stream_waits_for_target, tear_down);
	return g_test_run();
}
