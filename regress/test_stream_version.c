/* Streams that are resumed while targets of several software versions serve: the
 * events of one stream come from one version. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define STREAMS 8
/* Few enough that no target counts as failing. */
#define FEW_STREAMS 2

static const char whole_stream[] =
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
	"id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";
static const char rest_of_stream[] = "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
				     "id: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entries[3];
	worker_t *old; /* version v1 */
	worker_t *new; /* version v2 */
	rig_reply_t reply;
} fixture_t;

static worker_t *add_engine(fixture_t *f, const char *version)
{
	worker_t *engine = platform_rig_add_worker(&f->rig, "llm", "m0");

	g_strlcpy(engine->version, version, sizeof(engine->version));
	platform_rig_publish_worker(engine, "ready");
	return engine;
}

static void set_up(fixture_t *f, gconstpointer new_version)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->old = add_engine(f, "v1");
	f->new = add_engine(f, new_version);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++) {
		f->entries[i] = platform_rig_add_entry(&f->rig);
		platform_rig_wait_ready(&f->rig, f->entries[i]);
	}
	/* Until the instances know each other. */
	platform_rig_run(&f->rig, 1500);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

static void set_mode(fixture_t *f, worker_mode_t mode)
{
	f->old->mode = mode;
	f->new->mode = mode;
}

/* Begins a stream at an instance; its target breaks it off after two events, and
 * none of its version continues it. */
static void begin_broken(fixture_t *f, rig_entry_t *entry, const char *id)
{
	set_mode(f, WORKER_BREAKS_STREAM);
	platform_rig_reply_clear(&f->reply);
	platform_rig_send(&f->rig, entry->front, "/stream/1", id, "m0", 4000,
			  &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_false(f->reply.complete);
	set_mode(f, WORKER_ANSWERS);
}

static void resume(fixture_t *f, rig_entry_t *entry, const char *id,
		   const char *began_by)
{
	platform_rig_reply_clear(&f->reply);
	platform_rig_resume(&f->rig, entry->front, "/stream/1", id, "m0", 4000,
			    2, began_by, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
}

static void check_went_on(const fixture_t *f)
{
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, rest_of_stream);
	g_assert_cmpint(f->reply.took_us, <, 1000000);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a stream that goes on at another version within one attempt,
 * after its target has broken it off. */
static void test_within_attempt(fixture_t *f, gconstpointer data)
{
	worker_t *third = add_engine(f, "v1");

	(void)data;
	platform_rig_run(&f->rig, 300);
	f->old->mode = WORKER_BREAKS_STREAM;
	third->mode = WORKER_BREAKS_STREAM;
	f->new->work_ms = 100;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("a%d", i);

		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1",
				  id, "m0", 4000, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
	}
	g_assert_cmpuint(f->old->runs + third->runs, >, 0);
}

/* Guards against a stream that is cut off although another target of its version
 * can continue it. */
static void test_same_version_continues(fixture_t *f, gconstpointer data)
{
	worker_t *third = add_engine(f, "v1");

	(void)data;
	platform_rig_run(&f->rig, 300);
	f->old->mode = WORKER_BREAKS_STREAM;
	f->new->mode = WORKER_IS_FULL;
	third->work_ms = 100;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("b%d", i);

		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1",
				  id, "m0", 4000, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		g_assert_cmpint(f->reply.status, ==, 200);
		g_assert_true(f->reply.complete);
		g_assert_cmpstr(f->reply.body, ==, whole_stream);
	}
	g_assert_cmpuint(f->old->runs, >, 0);
}

/* Guards against a target that is taken for the same version because it was
 * started again under its id. */
static void test_restarted_with_other_version(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->new->mode = WORKER_IS_FULL;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "c1",
			  "m0", 4000, &f->reply);
	while (f->old->events < 2)
		platform_rig_run(&f->rig, 1);
	platform_rig_restart_worker(f->old);
	g_strlcpy(f->old->version, "v3", sizeof(f->old->version));
	json_object_set_new(f->old->models, "m0", json_array());
	platform_rig_publish_worker(f->old, "ready");
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_false(f->reply.complete);
	platform_rig_run(&f->rig, 300);
	resume(f, f->entries[0], "c2", "c1");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a caller's new attempt going on at another version, at the
 * instance that it used before. */
static void test_at_same_instance(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("d%d", i);
		g_autofree char *again = g_strdup_printf("d%d-2", i);

		begin_broken(f, f->entries[0], id);
		resume(f, f->entries[0], again, id);
		check_went_on(f);
	}
}

/* Guards against the same at another instance, which never saw the stream. */
static void test_at_other_instance(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("e%d", i);
		g_autofree char *again = g_strdup_printf("e%d-2", i);

		begin_broken(f, f->entries[i % 2], id);
		resume(f, f->entries[2 - i % 2], again, id);
		check_went_on(f);
	}
}

/* Guards against the same when the instance that began the stream is gone: the
 * others know the version without it. */
static void test_after_instance_is_gone(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < FEW_STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("f%d", i);

		begin_broken(f, f->entries[0], id);
	}
	platform_rig_signal(f->entries[0], SIGKILL);
	for (int i = 0; i < FEW_STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("f%d", i);
		g_autofree char *again = g_strdup_printf("f%d-2", i);

		resume(f, f->entries[1 + i % 2], again, id);
		check_went_on(f);
	}
}

static void restart_all(fixture_t *f)
{
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		platform_rig_signal(f->entries[i], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++) {
		while (f->entries[i]->alive)
			platform_rig_run(&f->rig, 5);
		platform_rig_spawn(&f->rig, f->entries[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		platform_rig_wait_ready(&f->rig, f->entries[i]);
}

/* Longer than the records of streams take to the store. */
#define RECORDED_MS 500

/* Guards against a stream of an unknown version going on by chance, and against
 * it being held: all instances have been started since, and nobody has a record
 * of it. */
static void test_after_restart_of_all(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin_broken(f, f->entries[0], "g1");
	platform_rig_run(&f->rig, RECORDED_MS);
	restart_all(f);
	platform_rig_run(&f->rig, 500);
	resume(f, f->entries[1], "g2", "g0");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_nonnull(f->reply.retry_after);
	g_assert_cmpint(f->reply.took_us, <, 500000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "g2"), ==, 0);
}

/* Guards against the refusal of streams that began in a release because all
 * instances have ended since, whichever instance forwarded them and whichever is
 * asked. */
static void test_recorded_before_end_of_all(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("A%d", i);

		begin_broken(f, f->entries[i % 3], id);
	}
	platform_rig_run(&f->rig, RECORDED_MS);
	restart_all(f);
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("A%d", i);
		g_autofree char *again = g_strdup_printf("A%d-2", i);

		resume(f, f->entries[(i + 1) % 3], again, id);
		check_went_on(f);
	}
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against the loss of records while one of the instances that write them
 * is frozen: the other one has them, too. */
static void test_one_writer_frozen(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (size_t n = 0; n < G_N_ELEMENTS(f->entries); n++) {
		g_autofree char *id = g_strdup_printf("B%zu", n);
		g_autofree char *again = g_strdup_printf("B%zu-2", n);

		platform_rig_signal(f->entries[n], SIGSTOP);
		begin_broken(f, f->entries[(n + 1) % 3], id);
		platform_rig_run(&f->rig, RECORDED_MS);
		restart_all(f);
		resume(f, f->entries[n], again, id);
		check_went_on(f);
		/* Until the instances know each other. */
		platform_rig_run(&f->rig, 1500);
	}
}

/* Guards against a resumed stream that is held, or goes on by chance, while the
 * store does not tell which version began it. */
static void test_records_not_read(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin_broken(f, f->entries[0], "C1");
	platform_rig_run(&f->rig, RECORDED_MS);
	restart_all(f);
	platform_rig_run(&f->rig, 500);
	f->rig.store_down = true;
	resume(f, f->entries[1], "C2", "C1");
	f->rig.store_down = false;
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpint(f->reply.took_us, <, 1000000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "C2"), ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against objects of another writer that end the process or hide the
 * records of the others. */
static void test_odd_records(fixture_t *f, gconstpointer data)
{
	static const char kind[] = "berylshunt-streams";

	(void)data;
	begin_broken(f, f->entries[0], "D1");
	platform_rig_run(&f->rig, RECORDED_MS);
	platform_rig_write(&f->rig, kind, "0", json_object());
	platform_rig_write(&f->rig, kind, "1",
			   json_pack("{s:i}", "records", 7));
	platform_rig_write(&f->rig, kind, "2",
			   json_pack("{s:s}", "records", "\xc3\xa4!"));
	platform_rig_write(&f->rig, kind, "3", json_array());
	f->rig.store_page_items = 2;
	restart_all(f);
	resume(f, f->entries[2], "D2", "D1");
	check_went_on(f);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_true(f->entries[i]->alive);
}

/* Guards against a refusal where all targets have one version: the stream can go
 * on at any instance, also after a restart of all. */
static void test_one_version_alone(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin_broken(f, f->entries[0], "h1");
	platform_rig_signal(f->entries[0], SIGKILL);
	platform_rig_signal(f->entries[1], SIGKILL);
	while (f->entries[1]->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, f->entries[1]);
	platform_rig_wait_ready(&f->rig, f->entries[1]);
	resume(f, f->entries[1], "h2", "h1");
	check_went_on(f);
}

/* Guards against a stream that is forgotten because it began while one version
 * alone served, and its instance ended after a second version had come. */
static void test_second_version_comes(fixture_t *f, gconstpointer data)
{
	worker_t *third;

	(void)data;
	begin_broken(f, f->entries[0], "i1");
	third = add_engine(f, "v2");
	platform_rig_run(&f->rig, 500);
	platform_rig_signal(f->entries[0], SIGKILL);
	resume(f, f->entries[1], "i2", "i1");
	check_went_on(f);
	g_assert_cmpuint(third->runs, ==, 0);
}

/* Guards against a stream that waits although its version no longer serves. */
static void test_version_has_left(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->new->mode = WORKER_IS_FULL;
	f->old->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "j1",
			  "m0", 4000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->new->mode = WORKER_ANSWERS;
	platform_rig_publish_worker(f->old, "draining");
	platform_rig_run(&f->rig, 300);
	resume(f, f->entries[1], "j2", "j1");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpint(f->reply.took_us, <, 500000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "j2"), ==, 0);
}

/* Guards against a stream that goes on at another version at an instance that was
 * started after the version had left: it has seen one version only. */
static void test_version_left_before_start(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->old->mode = WORKER_IS_FULL;
	f->new->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "l1",
			  "m0", 4000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->old->mode = WORKER_ANSWERS;
	platform_rig_publish_worker(f->new, "draining");
	platform_rig_remove_worker(f->new);
	platform_rig_signal(f->entries[1], SIGKILL);
	while (f->entries[1]->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, f->entries[1]);
	platform_rig_wait_ready(&f->rig, f->entries[1]);
	/* Until the instances know each other. */
	platform_rig_run(&f->rig, 1000);
	resume(f, f->entries[1], "l2", "l1");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "l2"), ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a resumed stream that is held until its deadline, and against
 * loads for it at targets that cannot continue it: no target of its version has
 * the model. */
static void test_model_not_held(fixture_t *f, gconstpointer data)
{
	uint32_t loads;

	(void)data;
	f->new->mode = WORKER_IS_FULL;
	f->old->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "k1",
			  "m0", 4000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->new->mode = WORKER_ANSWERS;
	platform_rig_restart_worker(f->old);
	platform_rig_run(&f->rig, 300);
	loads = f->new->loads;
	resume(f, f->entries[1], "k2", "k1");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpint(f->reply.took_us, <, 2000000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "k2"), ==, 0);
	g_assert_cmpuint(f->new->loads, ==, loads);
}

static void configure_shift(fixture_t *f, const char *service)
{
	g_autofree char *route = g_strdup_printf(
		"{\"name\":\"shift\",\"host\":\"" RIG_HOST
		"\",\"pathPrefix\":\"/shift/\",\"kind\":\"stream\","
		"\"resumable\":true,\"service\":\"%s\"}",
		service);

	f->rig.has_second_engine = true;
	platform_rig_configure(&f->rig, route);
	platform_rig_run(&f->rig, 300);
}

/* Guards against a stream that goes on at the service to which its route has
 * moved, because one version alone serves there. */
static void test_moved_to_other_service(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_add_worker(&f->rig, "llm2", "m0"); /* version v1 */
	configure_shift(f, "llm");
	f->old->mode = WORKER_IS_FULL;
	f->new->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/shift/1", "m1", "m0",
			  4000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_false(f->reply.complete);
	configure_shift(f, "llm2");
	platform_rig_reply_clear(&f->reply);
	platform_rig_resume(&f->rig, f->entries[1]->front, "/shift/1", "m2",
			    "m0", 4000, 2, "m1", &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "m2"), ==, 0);
}

static const char split_route[] =
	"{\"name\":\"split\",\"host\":\"" RIG_HOST "\","
	"\"pathPrefix\":\"/split/\",\"kind\":\"stream\","
	"\"trafficSplit\":[{\"service\":\"llm\",\"weight\":1},"
	"{\"service\":\"llm2\",\"weight\":1}],\"maxAttempts\":2,"
	"\"resumable\":true,\"timeoutMs\":10000,"
	"\"targetLatencyMs\":500,\"priority\":0}";

/* Splits a route between the targets of v1 and a service with one of v2, begins
 * streams at the first instance, and resumes them at another or the same one.
 * Returns the number of those that went on. */
static uint32_t resume_split(fixture_t *f, const rig_entry_t *entry)
{
	uint32_t went_on = 0;
	worker_t *other;

	f->rig.has_second_engine = true;
	platform_rig_configure(&f->rig, split_route);
	other = platform_rig_add_worker(&f->rig, "llm2", "m0");
	g_strlcpy(other->version, "v2", sizeof(other->version));
	platform_rig_publish_worker(other, "ready");
	platform_rig_run(&f->rig, 500);
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("m%d", i);
		g_autofree char *again = g_strdup_printf("m%d-2", i);

		set_mode(f, WORKER_BREAKS_STREAM);
		other->mode = WORKER_BREAKS_STREAM;
		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, f->entries[0]->front, "/split/1", id,
				  "m0", 4000, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		set_mode(f, WORKER_ANSWERS);
		other->mode = WORKER_ANSWERS;
		platform_rig_reply_clear(&f->reply);
		platform_rig_resume(&f->rig, entry->front, "/split/1", again,
				    "m0", 4000, 2, id, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		went_on += f->reply.status == 200 && f->reply.complete;
	}
	return went_on;
}

/* Guards against a stream that goes on at another version because its route is
 * split, and the caller's new attempt is sent to the other service. */
static void test_split_route(fixture_t *f, gconstpointer data)
{
	(void)data;
	resume_split(f, f->entries[1]);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a refusal of a stream because its route is split, and the new
 * attempt is sent to a service without its version. */
static void test_split_route_goes_on(fixture_t *f, gconstpointer data)
{
	uint32_t went_on;

	(void)data;
	went_on = resume_split(f, f->entries[0]);
	g_assert_cmpuint(went_on, ==, STREAMS);
}

/* Guards against a resumed stream whose model nobody loads: its wait for the
 * answer of other instances must not hide its wait for the model. */
static void test_model_is_loaded_for_resumed(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin_broken(f, f->entries[0], "n1");
	platform_rig_restart_worker(f->old);
	platform_rig_restart_worker(f->new);
	platform_rig_run(&f->rig, 300);
	resume(f, f->entries[1], "n2", "n1");
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpstr(f->reply.body, ==, rest_of_stream);
}

/* Guards against events of a target that goes on with a stream although the list
 * has shown since that it was started again with another version. */
static void test_restart_listed_after_send(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->new->mode = WORKER_IS_FULL;
	f->old->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "o1",
			  "m0", 4000, &f->reply);
	while (f->old->events < 2 || f->rig.pending_runs->len > 0)
		platform_rig_run(&f->rig, 1);
	g_strlcpy(f->old->version, "v3", sizeof(f->old->version));
	f->old->mode = WORKER_ANSWERS;
	f->old->work_ms = 1200;
	while (f->old->runs < 2 && !f->reply.done)
		platform_rig_run(&f->rig, 1);
	g_assert_false(f->reply.done);
	f->old->started_ms++;
	platform_rig_publish_worker(f->old, "ready");
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a stream that is bound to the version that its target had before
 * it was started again: the list has shown so before the first event. */
static void test_restart_listed_before_event(fixture_t *f, gconstpointer data)
{
	worker_t *third;

	(void)data;
	f->new->mode = WORKER_IS_FULL;
	g_strlcpy(f->old->version, "v3", sizeof(f->old->version));
	f->old->mode = WORKER_BREAKS_STREAM;
	f->old->work_ms = 1000;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "p1",
			  "m0", 4000, &f->reply);
	while (f->old->runs < 1)
		platform_rig_run(&f->rig, 1);
	f->old->started_ms++;
	platform_rig_publish_worker(f->old, "ready");
	platform_rig_wait(&f->rig, &f->reply.done);
	third = add_engine(f, "v1");
	platform_rig_run(&f->rig, 300);
	resume(f, f->entries[0], "p2", "p1");
	g_assert_cmpuint(third->runs, ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a version that is forgotten as soon as it leaves, because no
 * change of the list has shown it for longer than versions are remembered. */
static void test_leaves_after_quiet_time(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_run(&f->rig, 33000);
	f->old->mode = WORKER_IS_FULL;
	f->new->mode = WORKER_BREAKS_STREAM;
	f->new->work_ms = 800;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "q1",
			  "m0", 4000, &f->reply);
	while (f->new->runs < 1)
		platform_rig_run(&f->rig, 1);
	platform_rig_publish_worker(f->new, "draining");
	platform_rig_wait(&f->rig, &f->reply.done);
	f->old->mode = WORKER_ANSWERS;
	resume(f, f->entries[1], "q2", "q1");
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Starts the old target again with another version and the same model; the store
 * does not learn of it. */
static void restart_unlisted(fixture_t *f)
{
	g_strlcpy(f->old->version, "v3", sizeof(f->old->version));
	f->old->started_ms++;
	f->old->orders = 0;
}

/* Guards against a stream that goes on at a target that was started again with
 * another version while the store was down: its entry still shows the old one. */
static void test_restart_while_store_is_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->new->mode = WORKER_IS_FULL;
	f->old->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "r1",
			  "m0", 1000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->old->mode = WORKER_ANSWERS;
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 200);
	restart_unlisted(f);
	platform_rig_run(&f->rig, 4000);
	resume(f, f->entries[0], "r2", "r1");
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a stream that goes on by the list that an instance had before it
 * was paused: its target was started again with another version meanwhile. */
static void test_after_pause(fixture_t *f, gconstpointer data)
{
	rig_reply_t replies[STREAMS] = { 0 };

	(void)data;
	f->new->mode = WORKER_IS_FULL;
	f->old->mode = WORKER_BREAKS_STREAM;
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("s%d", i);

		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1",
				  id, "m0", 1000, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
	}
	platform_rig_run(&f->rig, 300);
	f->old->mode = WORKER_ANSWERS;
	platform_rig_signal(f->entries[0], SIGSTOP);
	platform_rig_run(&f->rig, 100);
	restart_unlisted(f);
	platform_rig_publish_worker(f->old, "ready");
	platform_rig_run(&f->rig, 300);
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("s%d", i);
		g_autofree char *again = g_strdup_printf("s%d-2", i);

		platform_rig_resume(&f->rig, f->entries[0]->front, "/stream/1",
				    again, "m0", 4000, 2, id, &replies[i]);
	}
	platform_rig_run(&f->rig, 300);
	platform_rig_signal(f->entries[0], SIGCONT);
	for (int i = 0; i < STREAMS; i++) {
		platform_rig_wait(&f->rig, &replies[i].done);
		/* The target may write events before it is cancelled; none of
		 * them may reach the caller. */
		g_assert_cmpint(replies[i].status, !=, 200);
		platform_rig_reply_clear(&replies[i]);
	}
}

static void restart_entry(fixture_t *f, rig_entry_t *entry)
{
	platform_rig_signal(entry, SIGKILL);
	while (entry->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, entry);
	platform_rig_wait_ready(&f->rig, entry);
	platform_rig_run(&f->rig, 500);
}

/* Guards against a version that is forgotten while the instances are restarted one
 * after the other: each of them has been told of it by the others. */
static void test_left_during_restarts(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->old->mode = WORKER_IS_FULL;
	f->new->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "t1",
			  "m0", 1000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->old->mode = WORKER_ANSWERS;
	platform_rig_publish_worker(f->new, "draining");
	platform_rig_remove_worker(f->new);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		restart_entry(f, f->entries[i]);
	resume(f, f->entries[1], "t2", "t1");
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against a stream of which nobody has a record going on at the only version
 * that its instance has seen: the others have seen another one that has left. */
static void test_unknown_at_new_instance(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_publish_worker(f->new, "draining");
	platform_rig_remove_worker(f->new);
	restart_entry(f, f->entries[1]);
	platform_rig_run(&f->rig, 1000);
	resume(f, f->entries[1], "w2", "w1");
	g_assert_cmpint(f->reply.status, ==, 503);
	g_assert_nonnull(f->reply.retry_after);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "w2"), ==, 0);
}

/* Guards against a stream that goes on at another version at an instance that is
 * ready before it has met the others. */
static void test_resumed_right_after_start(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->old->mode = WORKER_IS_FULL;
	f->new->mode = WORKER_BREAKS_STREAM;
	platform_rig_send(&f->rig, f->entries[0]->front, "/stream/1", "x1",
			  "m0", 1000, &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	f->old->mode = WORKER_ANSWERS;
	platform_rig_publish_worker(f->new, "draining");
	platform_rig_remove_worker(f->new);
	platform_rig_signal(f->entries[1], SIGKILL);
	while (f->entries[1]->alive)
		platform_rig_run(&f->rig, 5);
	platform_rig_spawn(&f->rig, f->entries[1]);
	platform_rig_wait_ready(&f->rig, f->entries[1]);
	for (int i = 0; i < 200; i++) {
		g_autofree char *again = g_strdup_printf("x%d", i + 2);

		platform_rig_reply_clear(&f->reply);
		platform_rig_resume(&f->rig, f->entries[1]->front, "/stream/1",
				    again, "m0", 1000, 2, "x1", &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
		platform_rig_run(&f->rig, 5);
	}
}

/* Guards against a refusal where one version alone serves: the other instances were
 * killed, and the one that is left does not know it yet. */
static void test_others_killed(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin_broken(f, f->entries[0], "y1");
	platform_rig_signal(f->entries[0], SIGKILL);
	platform_rig_signal(f->entries[2], SIGKILL);
	platform_rig_run(&f->rig, 50);
	resume(f, f->entries[1], "y2", "y1");
	check_went_on(f);
}

#define ADD(name, version, test)                                               \
	g_test_add("/stream-version/" name, fixture_t, version, set_up, test,  \
		   tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed test does not end the ones after it. */
	g_test_set_nonfatal_assertions();
	ADD("within-attempt", "v2", test_within_attempt);
	ADD("same-version-continues", "v2", test_same_version_continues);
	ADD("restarted-with-other-version", "v2",
	    test_restarted_with_other_version);
	ADD("at-same-instance", "v2", test_at_same_instance);
	ADD("at-other-instance", "v2", test_at_other_instance);
	ADD("after-instance-is-gone", "v2", test_after_instance_is_gone);
	ADD("after-restart-of-all", "v2", test_after_restart_of_all);
	ADD("recorded-before-end-of-all", "v2",
	    test_recorded_before_end_of_all);
	ADD("one-writer-frozen", "v2", test_one_writer_frozen);
	ADD("records-not-read", "v2", test_records_not_read);
	ADD("odd-records", "v2", test_odd_records);
	ADD("one-version-alone", "v1", test_one_version_alone);
	ADD("second-version-comes", "v1", test_second_version_comes);
	ADD("version-has-left", "v2", test_version_has_left);
	ADD("model-not-held", "v2", test_model_not_held);
	ADD("version-left-before-start", "v2", test_version_left_before_start);
	ADD("moved-to-other-service", "v2", test_moved_to_other_service);
	ADD("split-route", "v1", test_split_route);
	ADD("split-route-goes-on", "v1", test_split_route_goes_on);
	ADD("model-is-loaded-for-resumed", "v1",
	    test_model_is_loaded_for_resumed);
	ADD("restart-listed-after-send", "v2", test_restart_listed_after_send);
	ADD("restart-listed-before-event", "v2",
	    test_restart_listed_before_event);
	ADD("leaves-after-quiet-time", "v2", test_leaves_after_quiet_time);
	ADD("restart-while-store-is-down", "v2",
	    test_restart_while_store_is_down);
	ADD("after-pause", "v2", test_after_pause);
	ADD("left-during-restarts", "v2", test_left_during_restarts);
	ADD("unknown-at-new-instance", "v2", test_unknown_at_new_instance);
	ADD("resumed-right-after-start", "v2", test_resumed_right_after_start);
	ADD("others-killed", "v1", test_others_killed);
	return g_test_run();
}
