/* Streams that began while one software version served alone, and that callers take
 * up after the instances that knew so were restarted. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define INSTANCES 3
#define STREAMS	  4
/* Versions that have served are known for 30 s. */
#define COVERAGE_MS 31000
/* An instance has met the others by then, and has been told what they know. */
#define CONTACT_MS 1500

static const char rest_of_stream[] = "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
				     "id: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entries[INSTANCES];
	worker_t *workers[2];
	rig_reply_t reply;
} fixture_t;

static worker_t *add_engine(fixture_t *f, const char *version)
{
	worker_t *engine = platform_rig_add_worker(&f->rig, "llm", "m0");

	g_strlcpy(engine->version, version, sizeof(engine->version));
	platform_rig_publish_worker(engine, "ready");
	return engine;
}

/* Gives the route /moves/ these services. */
static void configure_moves(fixture_t *f, const char *services)
{
	g_autofree char *route = g_strdup_printf(
		"{\"name\":\"moves\",\"host\":\"" RIG_HOST
		"\",\"pathPrefix\":\"/moves/\",\"kind\":\"stream\","
		"\"resumable\":true,%s}",
		services);

	f->rig.has_second_engine = true;
	platform_rig_configure(&f->rig, route);
}

static void start(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	configure_moves(f, "\"service\":\"llm\"");
	for (size_t i = 0; i < G_N_ELEMENTS(f->workers); i++)
		f->workers[i] = add_engine(f, "v1");
	for (size_t i = 0; i < INSTANCES; i++)
		f->entries[i] = platform_rig_add_entry(&f->rig);
	for (size_t i = 0; i < INSTANCES; i++)
		platform_rig_wait_ready(&f->rig, f->entries[i]);
}

static void set_up(fixture_t *f, gconstpointer data)
{
	start(f, data);
	platform_rig_run(&f->rig, COVERAGE_MS);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

static void set_mode(fixture_t *f, worker_mode_t mode)
{
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		f->rig.workers[i].mode = mode;
}

static void stop(fixture_t *f, rig_entry_t *entry, int signal_number)
{
	platform_rig_signal(entry, signal_number);
	while (entry->alive)
		platform_rig_run(&f->rig, 5);
}

static void restart(fixture_t *f, rig_entry_t *entry, int signal_number)
{
	stop(f, entry, signal_number);
	platform_rig_spawn(&f->rig, entry);
	platform_rig_wait_ready(&f->rig, entry);
	platform_rig_run(&f->rig, CONTACT_MS);
}

/* Begins streams at an instance, all of which are broken off after two events. */
static void begin(fixture_t *f, const rig_entry_t *entry, const char *path,
		  const char *name)
{
	set_mode(f, WORKER_BREAKS_STREAM);
	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", name, i);

		platform_rig_reply_clear(&f->reply);
		platform_rig_send(&f->rig, entry->front, path, id, "m0", 4000,
				  &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		g_assert_cmpint(f->reply.status, ==, 200);
		g_assert_false(f->reply.complete);
	}
	set_mode(f, WORKER_ANSWERS);
}

/* Takes the streams up at an instance; returns the number of those that go on. */
static uint32_t take_up(fixture_t *f, const rig_entry_t *entry,
			const char *path, const char *name)
{
	uint32_t went_on = 0;

	for (int i = 0; i < STREAMS; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", name, i);
		g_autofree char *again =
			g_strdup_printf("%s-%s-%d", entry->name, name, i);

		platform_rig_reply_clear(&f->reply);
		platform_rig_resume(&f->rig, entry->front, path, again, "m0",
				    4000, 2, id, &f->reply);
		platform_rig_wait(&f->rig, &f->reply.done);
		g_assert_cmpint(f->reply.took_us, <, 1000000);
		if (f->reply.status != 200) {
			g_assert_cmpint(f->reply.status, ==, 503);
			g_assert_cmpuint(platform_rig_runs(&f->rig, again), ==,
					 0);
			continue;
		}
		g_assert_cmpstr(f->reply.body, ==, rest_of_stream);
		went_on++;
	}
	return went_on;
}

/* Guards against the loss of all streams of the last instance of a rolling restart,
 * which is killed before its turn: the others have started less than 30 s ago. */
static void test_rolling(fixture_t *f, gconstpointer data)
{
	(void)data;
	restart(f, f->entries[1], SIGTERM);
	restart(f, f->entries[2], SIGTERM);
	begin(f, f->entries[0], "/stream/1", "a");
	stop(f, f->entries[0], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/stream/1", "a"), ==,
			 STREAMS);
	g_assert_cmpuint(take_up(f, f->entries[2], "/stream/1", "a"), ==,
			 STREAMS);
}

/* Guards against the same after kills, twice in a row, where what an instance knows
 * comes from one that was started itself, and the streams are older than all of
 * these starts. */
static void test_killed_in_series(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "b");
	for (int i = 0; i < 2; i++) {
		restart(f, f->entries[1], SIGKILL);
		restart(f, f->entries[2], SIGKILL);
	}
	restart(f, f->entries[0], SIGKILL);
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "b"),
				 ==, STREAMS);
}

/* Guards against the same where a release of the instances starts some of other
 * names, and then stops the earlier ones. */
static void test_other_instances(fixture_t *f, gconstpointer data)
{
	rig_entry_t *later[2];

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(later); i++) {
		later[i] = platform_rig_add_entry(&f->rig);
		platform_rig_wait_ready(&f->rig, later[i]);
	}
	platform_rig_run(&f->rig, CONTACT_MS);
	begin(f, f->entries[0], "/stream/1", "c");
	stop(f, f->entries[1], SIGTERM);
	stop(f, f->entries[2], SIGTERM);
	stop(f, f->entries[0], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(later); i++)
		g_assert_cmpuint(take_up(f, later[i], "/stream/1", "c"), ==,
				 STREAMS);
}

/* Guards against events of two versions in one stream: all targets were replaced
 * by another version while the instances were restarted.  The new instances find
 * one version in their list, and have been told of the other one. */
static void test_replaced_meanwhile(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "d");
	stop(f, f->entries[1], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(f->workers); i++) {
		add_engine(f, "v2");
		platform_rig_publish_worker(f->workers[i], "draining");
		platform_rig_remove_worker(f->workers[i]);
	}
	platform_rig_run(&f->rig, 1000);
	restart(f, f->entries[2], SIGKILL);
	platform_rig_spawn(&f->rig, f->entries[1]);
	platform_rig_wait_ready(&f->rig, f->entries[1]);
	platform_rig_run(&f->rig, CONTACT_MS);
	stop(f, f->entries[0], SIGKILL);
	for (size_t i = 1; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "d"),
				 ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against the loss of streams that began before their route was split, as
 * no instance can tell their version from those of its services. */
static void test_route_is_split(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_add_worker(&f->rig, "llm2", "m0");
	begin(f, f->entries[0], "/moves/1", "e");
	configure_moves(f, "\"trafficSplit\":[{\"service\":\"llm\","
			   "\"weight\":1},{\"service\":\"llm2\","
			   "\"weight\":1}]");
	platform_rig_run(&f->rig, 500);
	stop(f, f->entries[0], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/moves/1", "e"), ==,
			 STREAMS);
	g_assert_cmpuint(take_up(f, f->entries[2], "/moves/1", "e"), ==,
			 STREAMS);
}

/* Guards against a stream that goes on at the service to which its route has moved,
 * as that one has had one version only, too. */
static void test_route_moves(fixture_t *f, gconstpointer data)
{
	worker_t *other = platform_rig_add_worker(&f->rig, "llm2", "m0");

	(void)data;
	g_strlcpy(other->version, "v2", sizeof(other->version));
	platform_rig_publish_worker(other, "ready");
	platform_rig_run(&f->rig, COVERAGE_MS);
	begin(f, f->entries[0], "/moves/1", "f");
	configure_moves(f, "\"service\":\"llm2\"");
	platform_rig_run(&f->rig, 500);
	stop(f, f->entries[0], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/moves/1", "f"), ==, 0);
	g_assert_cmpuint(take_up(f, f->entries[2], "/moves/1", "f"), ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against the loss of streams that began before an outage of the store, in
 * which no instance can vouch for a version. */
static void test_killed_in_outage(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "g");
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 5000);
	stop(f, f->entries[0], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/stream/1", "g"), ==,
			 STREAMS);
	g_assert_cmpuint(take_up(f, f->entries[2], "/stream/1", "g"), ==,
			 STREAMS);
	f->rig.store_down = false;
}

/* Streams of a split route are not of the only version of one service, so they
 * have records. */
static void split_route(fixture_t *f)
{
	platform_rig_add_worker(&f->rig, "llm2", "m0");
	configure_moves(f, "\"trafficSplit\":[{\"service\":\"llm\","
			   "\"weight\":1},{\"service\":\"llm2\","
			   "\"weight\":1}]");
	platform_rig_run(&f->rig, CONTACT_MS);
}

/* Guards against the loss of records whose keepers were restarted one after the
 * other while the instance that forwards the streams stayed. */
static void test_keepers_restart(fixture_t *f, gconstpointer data)
{
	(void)data;
	split_route(f);
	begin(f, f->entries[0], "/moves/1", "h");
	restart(f, f->entries[1], SIGKILL);
	restart(f, f->entries[2], SIGTERM);
	stop(f, f->entries[0], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/moves/1", "h"), ==,
			 STREAMS);
	g_assert_cmpuint(take_up(f, f->entries[2], "/moves/1", "h"), ==,
			 STREAMS);
}

/* Guards against the same after the end of that instance: a keeper has to pass the
 * records on. */
static void test_keepers_restart_later(fixture_t *f, gconstpointer data)
{
	(void)data;
	split_route(f);
	begin(f, f->entries[0], "/moves/1", "i");
	stop(f, f->entries[0], SIGKILL);
	restart(f, f->entries[1], SIGKILL);
	restart(f, f->entries[2], SIGKILL);
	g_assert_cmpuint(take_up(f, f->entries[1], "/moves/1", "i"), ==,
			 STREAMS);
	g_assert_cmpuint(take_up(f, f->entries[2], "/moves/1", "i"), ==,
			 STREAMS);
}

/* Guards against the same where instances of other names take the place of the
 * keepers. */
static void test_keepers_replaced(fixture_t *f, gconstpointer data)
{
	rig_entry_t *later[2];

	(void)data;
	split_route(f);
	begin(f, f->entries[0], "/moves/1", "j");
	for (size_t i = 0; i < G_N_ELEMENTS(later); i++) {
		later[i] = platform_rig_add_entry(&f->rig);
		platform_rig_wait_ready(&f->rig, later[i]);
	}
	platform_rig_run(&f->rig, CONTACT_MS);
	for (size_t i = 0; i < INSTANCES; i++)
		stop(f, f->entries[i], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(later); i++)
		g_assert_cmpuint(take_up(f, later[i], "/moves/1", "j"), ==,
				 STREAMS);
}

static void kill_all(fixture_t *f)
{
	for (size_t i = 0; i < INSTANCES; i++)
		platform_rig_signal(f->entries[i], SIGKILL);
	for (size_t i = 0; i < INSTANCES; i++)
		while (f->entries[i]->alive)
			platform_rig_run(&f->rig, 5);
}

static void start_all(fixture_t *f)
{
	for (size_t i = 0; i < INSTANCES; i++)
		platform_rig_spawn(&f->rig, f->entries[i]);
	for (size_t i = 0; i < INSTANCES; i++)
		platform_rig_wait_ready(&f->rig, f->entries[i]);
	platform_rig_run(&f->rig, CONTACT_MS);
}

/* Guards against the loss of all streams when all instances are killed at a time:
 * none is left that knows the versions. */
static void test_all_killed(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "k");
	kill_all(f);
	start_all(f);
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "k"),
				 ==, STREAMS);
	/* Before they have seen 30 s of their own. */
	kill_all(f);
	start_all(f);
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "k"),
				 ==, STREAMS);
}

/* Guards against events of two versions in one stream: the targets were replaced by
 * others of another version while no instance ran. */
static void test_all_replaced(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "l");
	kill_all(f);
	for (size_t i = 0; i < G_N_ELEMENTS(f->workers); i++) {
		add_engine(f, "v2");
		platform_rig_remove_worker(f->workers[i]);
	}
	start_all(f);
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "l"),
				 ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

/* Guards against the same if the store has discarded the changes: what they were is
 * not known then. */
static void test_all_replaced_unseen(fixture_t *f, gconstpointer data)
{
	(void)data;
	begin(f, f->entries[0], "/stream/1", "m");
	kill_all(f);
	for (size_t i = 0; i < G_N_ELEMENTS(f->workers); i++) {
		add_engine(f, "v2");
		platform_rig_remove_worker(f->workers[i]);
	}
	platform_rig_compact(&f->rig, "config");
	start_all(f);
	for (size_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(take_up(f, f->entries[i], "/stream/1", "m"),
				 ==, 0);
	g_assert_cmpuint(f->rig.mixed_streams, ==, 0);
}

#define ADD(name, test)                                                        \
	g_test_add("/stream-restarts/" name, fixture_t, NULL, set_up, test,    \
		   tear_down)
/* Without the wait until the versions are known. */
#define ADD_EARLY(name, test)                                                  \
	g_test_add("/stream-restarts/" name, fixture_t, NULL, start, test,     \
		   tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A failed test does not end the ones after it. */
	g_test_set_nonfatal_assertions();
	ADD("rolling", test_rolling);
	ADD("killed-in-series", test_killed_in_series);
	ADD("other-instances", test_other_instances);
	ADD("replaced-meanwhile", test_replaced_meanwhile);
	ADD("route-is-split", test_route_is_split);
	ADD("route-moves", test_route_moves);
	ADD("killed-in-outage", test_killed_in_outage);
	ADD("all-killed", test_all_killed);
	ADD("all-replaced", test_all_replaced);
	ADD("all-replaced-unseen", test_all_replaced_unseen);
	ADD_EARLY("keepers-restart", test_keepers_restart);
	ADD_EARLY("keepers-restart-later", test_keepers_restart_later);
	ADD_EARLY("keepers-replaced", test_keepers_replaced);
	return g_test_run();
}
