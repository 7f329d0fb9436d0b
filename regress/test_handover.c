/* Requests whose second attempt, or whose wait for another target, does not go
 * as planned. */
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/platform_rig.h"

#define SILENCE_MS	1200
#define FILLERS		4
#define WORKERS_OF_MANY 9

static const char whole_stream[] =
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	"id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

#define MOVED_ROUTE(service)                                                   \
	"{\"name\":\"late\",\"host\":\"" RIG_HOST "\",\"pathPrefix\":\"/late/" \
	"\",\"kind\":\"stream\",\"service\":\"" service                        \
	"\",\"maxAttempts\":2,\"resumable\":true,\"timeoutMs\":6000,"          \
	"\"targetLatencyMs\":500,\"priority\":0}"

#define MANY_ROUTE                                                             \
	"{\"name\":\"many\",\"host\":\"" RIG_HOST "\",\"pathPrefix\":\"/many/" \
	"\",\"kind\":\"stream\",\"service\":\"llm\""                           \
	",\"maxAttempts\":4,\"resumable\":true,\"timeoutMs\":6000,"            \
	"\"targetLatencyMs\":500,\"priority\":0}"

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	rig_reply_t reply;
	/* A listener that completes no further connection. */
	int listener;
	int fillers[FILLERS];
} fixture_t;

static void set_up(fixture_t *f, const char *service, uint32_t n)
{
	const char *model = strcmp(service, "llm") == 0 ? "m0" : NULL;

	f->listener = -1;
	for (uint32_t i = 0; i < n; i++)
		platform_rig_add_worker(&f->rig, service, model);
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	platform_rig_run(&f->rig, 200);
}

static void set_up_two(fixture_t *f, gconstpointer service)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	set_up(f, service, 2);
}

static void set_up_many(fixture_t *f, gconstpointer service)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, MANY_ROUTE);
	set_up(f, service, WORKERS_OF_MANY);
}

static void set_up_seven(fixture_t *f, gconstpointer service)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, MANY_ROUTE);
	set_up(f, service, 7);
}

static void set_up_five(fixture_t *f, gconstpointer service)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, MANY_ROUTE);
	set_up(f, service, 5);
}

/* One worker for the service that the route names and one for the service that
 * it is moved to. */
static void set_up_moved(fixture_t *f, gconstpointer service)
{
	platform_rig_init(&f->rig);
	f->rig.has_second_engine = true;
	platform_rig_configure(&f->rig, MOVED_ROUTE("llm"));
	platform_rig_add_worker(&f->rig, "llm2", "m0");
	set_up(f, service, 1);
}

static void tear_down(fixture_t *f, gconstpointer service)
{
	(void)service;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
	if (f->listener < 0)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(f->fillers); i++)
		close(f->fillers[i]);
	close(f->listener);
}

/* Value of a counter or gauge of the instance. */
static int64_t metric(fixture_t *f, const char *name)
{
	g_autofree char *start = g_strdup_printf("\n%s ", name);
	rig_reply_t reply;
	const char *line;
	int64_t value;

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

static worker_t *wait_for_run(fixture_t *f)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	for (;;) {
		for (uint32_t i = 0; i < f->rig.n_workers; i++)
			if (f->rig.workers[i].runs > 0)
				return &f->rig.workers[i];
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
	}
}

static void wait_for_events(fixture_t *f, const worker_t *worker, uint32_t n)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;

	while (worker->events < n) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
	}
}

/* Moves the worker to an address where connections are not set up, as at a
 * machine that has lost its power. */
static void make_unreachable(fixture_t *f, worker_t *worker)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&address, size),
			==, 0);
	g_assert_cmpint(listen(f->listener, 0), ==, 0);
	g_assert_cmpint(
		getsockname(f->listener, (struct sockaddr *)&address, &size),
		==, 0);
	/* The queue of the listener is full: further SYNs are dropped. */
	for (size_t i = 0; i < G_N_ELEMENTS(f->fillers); i++) {
		f->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(f->fillers[i], (struct sockaddr *)&address, size);
	}
	g_snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	platform_rig_publish_worker(worker, "ready");
}

/* Guards against a first attempt that is given up for a target to which the
 * request has not even been sent. */
static void test_call_unreachable_elsewhere(fixture_t *f, gconstpointer service)
{
	worker_t *silent;

	(void)service;
	platform_rig_send(&f->rig, f->entry->front, "/look/1", "b1", NULL, 8000,
			  &f->reply);
	silent = wait_for_run(f);
	platform_rig_silence_worker(silent, SILENCE_MS);
	make_unreachable(f, silent == &f->rig.workers[0] ? &f->rig.workers[1]
							 : &f->rig.workers[0]);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpstr(f->reply.body, ==, "done");
	g_assert_cmpuint(silent->aborted, ==, 0);
}

/* Guards against the same for a stream that has begun. */
static void test_stream_unreachable_elsewhere(fixture_t *f,
					      gconstpointer service)
{
	worker_t *silent;

	(void)service;
	platform_rig_send(&f->rig, f->entry->front, "/stream/1", "b2", "m0",
			  8000, &f->reply);
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	platform_rig_silence_worker(silent, SILENCE_MS);
	make_unreachable(f, silent == &f->rig.workers[0] ? &f->rig.workers[1]
							 : &f->rig.workers[0]);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
	g_assert_cmpuint(silent->aborted, ==, 0);
}

/* Begins a stream, makes all other workers refuse, and breaks the stream off.
 * Returns the worker that began it. */
static worker_t *break_beside_full(fixture_t *f, const char *id)
{
	worker_t *broken;

	platform_rig_send(&f->rig, f->entry->front, "/many/1", id, "m0", 8000,
			  &f->reply);
	broken = wait_for_run(f);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		if (&f->rig.workers[i] != broken)
			f->rig.workers[i].mode = WORKER_IS_FULL;
	wait_for_events(f, broken, 2);
	broken->mode = WORKER_BREAKS_STREAM;
	return broken;
}

/* Runs the loop until a worker has refused n requests, and returns it; NULL
 * after 400 ms. */
static worker_t *wait_for_refusals(fixture_t *f, uint32_t n)
{
	int64_t until_us = bsh_loop_clock_us() + 400000;

	while (bsh_loop_clock_us() < until_us) {
		bsh_loop_step(&f->rig.loop, 1000);
		for (uint32_t i = 0; i < f->rig.n_workers; i++)
			if (f->rig.workers[i].refused >= n)
				return &f->rig.workers[i];
	}
	return NULL;
}

/* Guards against one begun stream that uses up the retry budget of its service
 * by asking the same full target again and again. */
static void test_budget_beside_full_targets(fixture_t *f, gconstpointer service)
{
	worker_t *broken = break_beside_full(f, "b3");
	int64_t sent;

	(void)service;
	platform_rig_run(&f->rig, 100);
	broken->mode = WORKER_IS_FULL;
	g_assert_false(f->reply.done);
	sent = metric(f, "bsh_repeats_total");
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		g_test_message("%s refused %u", f->rig.workers[i].id,
			       f->rig.workers[i].refused);
	g_test_message("sent %" G_GINT64_FORMAT, sent);
	/* Each of the other targets is asked once before the first pause. */
	g_assert_cmpint(sent, <, WORKERS_OF_MANY);
	g_assert_cmpint(metric(f, "bsh_retry_budget_left"), >, 0);
}

/* Guards against a begun stream that waits, or is cut off, although one of many
 * targets has room: it must be asked, too. */
static void test_last_of_many_targets(fixture_t *f, gconstpointer service)
{
	worker_t *broken = break_beside_full(f, "b5");
	worker_t *free_one = NULL;

	(void)service;
	platform_rig_run(&f->rig, 100);
	broken->mode = WORKER_IS_FULL;
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		if (&f->rig.workers[i] != broken &&
		    f->rig.workers[i].refused == 0)
			free_one = &f->rig.workers[i];
	if (free_one == NULL)
		return;
	g_test_message("%s has never been asked", free_one->id);
	free_one->mode = WORKER_ANSWERS;
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Guards against a begun stream that has used up the retry budget by asking full
 * targets, and is cut off although one of them has room in time. */
static void test_full_target_has_room_later(fixture_t *f, gconstpointer service)
{
	worker_t *broken = break_beside_full(f, "b9");

	(void)service;
	platform_rig_run(&f->rig, 50);
	broken->mode = WORKER_IS_FULL;
	platform_rig_run(&f->rig, 1100);
	g_assert_false(f->reply.done);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		f->rig.workers[i].mode = WORKER_ANSWERS;
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Guards against a second attempt at the target that is silent. */
static void test_handover_to_silent_target(fixture_t *f, gconstpointer service)
{
	worker_t *broken = break_beside_full(f, "b6");
	worker_t *silent = wait_for_refusals(f, 2);

	(void)service;
	broken->mode = WORKER_IS_FULL;
	if (silent == NULL)
		return;
	silent->mode = WORKER_ANSWERS;
	platform_rig_silence_worker(silent, SILENCE_MS);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpuint(silent->runs, <=, 1);
	g_assert_true(f->reply.complete);
}

/* Guards against a response that is lost because the second target fails later
 * than the first one is given up, although the first one goes on. */
static void test_fails_late_elsewhere(fixture_t *f, gconstpointer service)
{
	bool is_stream = strcmp(service, "llm") == 0;
	worker_t *silent;
	worker_t *second;

	platform_rig_send(&f->rig, f->entry->front,
			  is_stream ? "/stream/1" : "/look/1", "b7",
			  is_stream ? "m0" : NULL, 8000, &f->reply);
	silent = wait_for_run(f);
	if (is_stream)
		wait_for_events(f, silent, 2);
	second = silent == &f->rig.workers[0] ? &f->rig.workers[1]
					      : &f->rig.workers[0];
	second->mode = WORKER_CLOSES_AFTER_RUN;
	second->work_ms = 400;
	platform_rig_silence_worker(silent, SILENCE_MS);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
}

/* Guards against two targets that write events of one stream for 400 ms or more:
 * the second one goes on with its first event, and the first must stop. */
static void test_overlap(fixture_t *f, gconstpointer service)
{
	int64_t until_us = bsh_loop_clock_us() + 5000000;
	int64_t second_us = 0;
	worker_t *silent;
	worker_t *second;

	(void)service;
	platform_rig_send(&f->rig, f->entry->front, "/stream/1", "b8", "m0",
			  8000, &f->reply);
	silent = wait_for_run(f);
	wait_for_events(f, silent, 2);
	second = silent == &f->rig.workers[0] ? &f->rig.workers[1]
					      : &f->rig.workers[0];
	second->work_ms = 700;
	platform_rig_silence_worker(silent, 3000);
	while (silent->aborted == 0) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 1);
		if (second_us == 0 && second->events > 0)
			second_us = bsh_loop_clock_us();
	}
	g_test_message("overlap %" G_GINT64_FORMAT " ms",
		       (bsh_loop_clock_us() - second_us) / 1000);
	g_assert_cmpint(second_us, >, 0);
	g_assert_cmpint(bsh_loop_clock_us() - second_us, <, 400000);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Begins a stream whose handover has begun, and the second attempt with it. */
static void begin_handover(fixture_t *f, const char *id, worker_t **silent,
			   worker_t **second)
{
	platform_rig_send(&f->rig, f->entry->front, "/stream/1", id, "m0", 8000,
			  &f->reply);
	*silent = wait_for_run(f);
	wait_for_events(f, *silent, 2);
	*second = *silent == &f->rig.workers[0] ? &f->rig.workers[1]
						: &f->rig.workers[0];
	(*second)->work_ms = 200;
	platform_rig_silence_worker(*silent, SILENCE_MS);
	while ((*second)->runs == 0)
		platform_rig_run(&f->rig, 1);
}

static void check_whole(fixture_t *f)
{
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, whole_stream);
}

/* Guards against a stream that is cut off when the instance stops
 * during its handover. */
static void test_stop_meanwhile(fixture_t *f, gconstpointer service)
{
	worker_t *silent;
	worker_t *second;

	(void)service;
	begin_handover(f, "c1", &silent, &second);
	platform_rig_signal(f->entry, SIGTERM);
	check_whole(f);
}

/* Guards against a stream that is cut off by a reload of the settings
 * during its handover. */
static void test_reload_meanwhile(fixture_t *f, gconstpointer service)
{
	worker_t *silent;
	worker_t *second;

	(void)service;
	begin_handover(f, "c2", &silent, &second);
	platform_rig_signal(f->entry, SIGHUP);
	check_whole(f);
}

/* Guards against a stream that is cut off when both targets leave the list
 * during its handover. */
static void test_targets_vanish_meanwhile(fixture_t *f, gconstpointer service)
{
	worker_t *silent;
	worker_t *second;

	(void)service;
	begin_handover(f, "c3", &silent, &second);
	platform_rig_remove_worker(silent);
	platform_rig_publish_worker(second, "draining");
	check_whole(f);
}

/* Guards against a stream that is cut off when the silent target restarts
 * during its handover. */
static void test_silent_restarts_meanwhile(fixture_t *f, gconstpointer service)
{
	worker_t *silent;
	worker_t *second;

	(void)service;
	begin_handover(f, "c4", &silent, &second);
	platform_rig_restart_worker(silent);
	check_whole(f);
}

/* Guards against a target that goes on with a request whose caller has left. */
static void test_caller_leaves_meanwhile(fixture_t *f, gconstpointer service)
{
	worker_t *silent;
	worker_t *second;

	(void)service;
	begin_handover(f, "c5", &silent, &second);
	platform_rig_reply_clear(&f->reply);
	platform_rig_run(&f->rig, 100);
	g_assert_cmpuint(silent->aborted, ==, 1);
	g_assert_cmpuint(second->aborted, ==, 1);
}

/* Guards against a request that has run once and is then held until its
 * deadline for a service that its route no longer names and that has no
 * target left. */
static void test_route_moves_after_a_run(fixture_t *f, gconstpointer service)
{
	worker_t *first = &f->rig.workers[1];

	(void)service;
	first->work_ms = 400;
	platform_rig_send(&f->rig, f->entry->front, "/late/1", "b4", "m0", 5000,
			  &f->reply);
	g_assert_true(wait_for_run(f) == first);
	platform_rig_restart_worker(first);
	platform_rig_publish_worker(first, "draining");
	platform_rig_run(&f->rig, 300);
	g_assert_false(f->reply.done);
	platform_rig_configure(&f->rig, MOVED_ROUTE("llm2"));
	platform_rig_wait(&f->rig, &f->reply.done);
	g_test_message("status %d after %" G_GINT64_FORMAT " ms",
		       f->reply.status, f->reply.took_us / 1000);
	g_assert_cmpint(f->reply.took_us, <, 1500000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/handover/call-unreachable-elsewhere", fixture_t, "desk",
		   set_up_two, test_call_unreachable_elsewhere, tear_down);
	g_test_add("/handover/stream-unreachable-elsewhere", fixture_t, "llm",
		   set_up_two, test_stream_unreachable_elsewhere, tear_down);
	g_test_add("/handover/budget-beside-full-targets", fixture_t, "llm",
		   set_up_many, test_budget_beside_full_targets, tear_down);
	g_test_add("/handover/last-of-many-targets", fixture_t, "llm",
		   set_up_many, test_last_of_many_targets, tear_down);
	g_test_add("/handover/full-target-has-room-later", fixture_t, "llm",
		   set_up_five, test_full_target_has_room_later, tear_down);
	g_test_add("/handover/handover-to-silent-target", fixture_t, "llm",
		   set_up_seven, test_handover_to_silent_target, tear_down);
	g_test_add("/handover/stream-fails-late-elsewhere", fixture_t, "llm",
		   set_up_two, test_fails_late_elsewhere, tear_down);
	g_test_add("/handover/call-fails-late-elsewhere", fixture_t, "desk",
		   set_up_two, test_fails_late_elsewhere, tear_down);
	g_test_add("/handover/overlap", fixture_t, "llm", set_up_two,
		   test_overlap, tear_down);
	g_test_add("/handover/stop-meanwhile", fixture_t, "llm", set_up_two,
		   test_stop_meanwhile, tear_down);
	g_test_add("/handover/reload-meanwhile", fixture_t, "llm", set_up_two,
		   test_reload_meanwhile, tear_down);
	g_test_add("/handover/targets-vanish-meanwhile", fixture_t, "llm",
		   set_up_two, test_targets_vanish_meanwhile, tear_down);
	g_test_add("/handover/silent-restarts-meanwhile", fixture_t, "llm",
		   set_up_two, test_silent_restarts_meanwhile, tear_down);
	g_test_add("/handover/caller-leaves-meanwhile", fixture_t, "llm",
		   set_up_two, test_caller_leaves_meanwhile, tear_down);
	g_test_add("/handover/route-moves-after-a-run", fixture_t, "llm",
		   set_up_moved, test_route_moves_after_a_run, tear_down);
	return g_test_run();
}
