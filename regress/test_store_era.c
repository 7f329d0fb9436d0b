/* A store that comes back from an older copy: what it acknowledged since is
 * lost, and its revisions are given out again. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "platform/store.h"
#include "support/platform_rig.h"

#define LEASE_MS 1000U

typedef struct {
	platform_rig_t rig;
	worker_t *engine;
	worker_t *desk;
	rig_entry_t *entries[3];
	int64_t copied; /* revision of the copy: all but what instances wrote */
	rig_reply_t reply;
} fixture_t;

/* The workers write their records again, as they do all the time. */
static void publish_workers(fixture_t *f)
{
	platform_rig_publish_worker(f->engine, "ready");
	platform_rig_publish_worker(f->desk, "ready");
}

/* Raises the revision by at least n. */
static void write_revisions(fixture_t *f, int64_t n)
{
	int64_t until = f->rig.revision + n;

	while (f->rig.revision < until)
		publish_workers(f);
}

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	f->rig.lease_ms = LEASE_MS;
	platform_rig_configure(&f->rig, NULL);
	f->engine = platform_rig_add_worker(&f->rig, "llm", "m0");
	f->desk = platform_rig_add_worker(&f->rig, "desk", NULL);
	f->copied = f->rig.revision;
	/* The instances then write at revisions that the store does not give
	 * out again within a test. */
	write_revisions(f, 100);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		f->entries[i] = platform_rig_add_entry(&f->rig);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		platform_rig_wait_ready(&f->rig, f->entries[i]);
	platform_rig_run(&f->rig, 1500);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

static int call(fixture_t *f, const rig_entry_t *entry, const char *path,
		const char *model)
{
	static uint32_t number;
	g_autofree char *id = g_strdup_printf("e%u", ++number);

	platform_rig_reply_clear(&f->reply);
	platform_rig_send(&f->rig, entry->front, path, id, model, 8000,
			  &f->reply);
	platform_rig_wait(&f->rig, &f->reply.done);
	return f->reply.status;
}

/* The instance that gave the engine its last order. */
static rig_entry_t *holder(fixture_t *f)
{
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		if (strcmp(f->entries[i]->name, f->engine->holder) == 0)
			return f->entries[i];
	g_assert_not_reached();
}

static rig_entry_t *entry_beside(fixture_t *f, const rig_entry_t *other)
{
	return f->entries[0] == other ? f->entries[1] : f->entries[0];
}

static void assert_orders_exclusive(const fixture_t *f)
{
	g_assert_cmpuint(f->engine->lease_overlaps, ==, 0);
	g_assert_cmpuint(f->engine->fence_reuses, ==, 0);
}

/* Calls for a model that is not loaded until the engine has it. */
static void wait_for_load(fixture_t *f, const rig_entry_t *entry,
			  const char *model)
{
	int64_t until_us = bsh_loop_clock_us() + 10000000;

	while (call(f, entry, "/once/1", model) != 200) {
		g_assert_cmpint(bsh_loop_clock_us(), <, until_us);
		platform_rig_run(&f->rig, 100);
	}
}

static const char late_route[] =
	"{\"name\":\"late\",\"host\":\"" RIG_HOST
	"\",\"pathPrefix\":\"/late/\",\"kind\":\"idempotent\","
	"\"service\":\"desk\",\"maxAttempts\":2,\"timeoutMs\":10000,"
	"\"targetLatencyMs\":500,\"priority\":0}";
static const char later_route[] =
	"{\"name\":\"later\",\"host\":\"" RIG_HOST
	"\",\"pathPrefix\":\"/later/\",\"kind\":\"idempotent\","
	"\"service\":\"desk\",\"maxAttempts\":2,\"timeoutMs\":10000,"
	"\"targetLatencyMs\":500,\"priority\":0}";

/* Guards against an instance that goes back to an older configuration, and
 * against one that misses the next one: its watch waits for a revision that the
 * store gives out again for another change. */
static void test_configuration(fixture_t *f, gconstpointer data)
{
	int64_t revision;

	(void)data;
	f->rig.store_keeps_watches = true;
	platform_rig_configure(&f->rig, late_route);
	platform_rig_run(&f->rig, 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_cmpint(call(f, f->entries[i], "/late/1", NULL), ==,
				200);
	revision = f->rig.revision;
	platform_rig_set_back(&f->rig, f->copied);
	write_revisions(f, revision - f->copied - 10);
	platform_rig_run(&f->rig, 500);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_cmpint(call(f, f->entries[i], "/late/1", NULL), ==,
				200);
	platform_rig_set_back(&f->rig, f->copied);
	platform_rig_configure(&f->rig, later_route);
	write_revisions(f, revision - f->copied + 10);
	platform_rig_run(&f->rig, 2000);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_cmpint(call(f, f->entries[i], "/later/1", NULL), ==,
				200);
}

/* Guards against a fencing token that is given out twice, and against two
 * holders within one lease time, after the object of the lease was lost. */
static void test_lost_lease(fixture_t *f, gconstpointer data)
{
	(void)data;
	wait_for_load(f, f->entries[0], "m1");
	platform_rig_set_back(&f->rig, f->copied);
	publish_workers(f);
	wait_for_load(f, f->entries[0], "m2");
	assert_orders_exclusive(f);
}

/* Guards against targets without orders, and against two holders within one
 * lease time, after the store names a former holder again. */
static void test_former_holder(fixture_t *f, gconstpointer data)
{
	rig_entry_t *former;
	int64_t copied;

	(void)data;
	wait_for_load(f, f->entries[0], "m1");
	former = holder(f);
	copied = f->rig.revision;
	platform_rig_signal(former, SIGTERM);
	while (former->alive)
		platform_rig_run(&f->rig, 50);
	wait_for_load(f, entry_beside(f, former), "m2");
	g_assert_true(holder(f) != former);
	platform_rig_spawn(&f->rig, former);
	platform_rig_wait_ready(&f->rig, former);
	platform_rig_run(&f->rig, 500);
	platform_rig_set_back(&f->rig, copied);
	publish_workers(f);
	wait_for_load(f, former, "m3");
	wait_for_load(f, former, "m4");
	assert_orders_exclusive(f);
}

static const char *lease_object_holder(const fixture_t *f)
{
	const json_t *object =
		platform_rig_object(&f->rig, "berylshunt-leases", "orders");

	return json_string_value(
		json_object_get(json_object_get(object, "spec"), "holder"));
}

/* Guards against a process that starts after the store was set back and trusts
 * the released lease and its list of recent orders in the older copy. */
static void test_older_release(fixture_t *f, gconstpointer data)
{
	rig_entry_t *former;
	int64_t copied = 0;

	(void)data;
	wait_for_load(f, f->entries[0], "m1");
	former = holder(f);
	/* The released lease then lists no recent order. */
	platform_rig_run(&f->rig, 2 * LEASE_MS);
	platform_rig_signal(former, SIGTERM);
	while (former->alive) {
		platform_rig_run(&f->rig, 1);
		if (copied == 0 && g_strcmp0(lease_object_holder(f), "") == 0)
			copied = f->rig.revision;
	}
	g_assert_cmpint(copied, >, 0);
	wait_for_load(f, entry_beside(f, former), "m2");
	g_assert_true(holder(f) != former);
	platform_rig_set_back(&f->rig, copied);
	publish_workers(f);
	platform_rig_spawn(&f->rig, former);
	platform_rig_wait_ready(&f->rig, former);
	wait_for_load(f, former, "m3");
	assert_orders_exclusive(f);
}

/* Guards against an instance that the others cannot find, as its registration
 * was lost. */
static void test_registration(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_set_back(&f->rig, f->copied);
	platform_rig_run(&f->rig, 2000);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_nonnull(platform_rig_object(
			&f->rig, "berylshunt-instances", f->entries[i]->name));
}

/* Guards against an instance that is found again after it has stopped: the
 * store forgets that it has deleted its registration while it drains. */
static void test_lost_deletion(fixture_t *f, gconstpointer data)
{
	rig_entry_t *stopping = f->entries[0];
	int64_t copied = f->rig.revision;

	(void)data;
	platform_rig_signal(stopping, SIGTERM);
	platform_rig_run(&f->rig, 300);
	g_assert_null(platform_rig_object(&f->rig, "berylshunt-instances",
					  stopping->name));
	g_assert_true(stopping->alive);
	platform_rig_set_back(&f->rig, copied);
	while (stopping->alive)
		platform_rig_run(&f->rig, 10);
	g_assert_null(platform_rig_object(&f->rig, "berylshunt-instances",
					  stopping->name));
}

/* Calls the desk through each instance for some time. */
static void call_desk(fixture_t *f, int64_t ms, int status)
{
	int64_t until_us = bsh_loop_clock_us() + ms * 1000;

	while (bsh_loop_clock_us() < until_us) {
		for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
			g_assert_cmpint(call(f, f->entries[i], "/look/1", NULL),
					==, status);
		platform_rig_run(&f->rig, 50);
	}
}

/* Removes the desk and adds another one, which the copy does not contain. */
static worker_t *replace_desk(fixture_t *f)
{
	worker_t *desk;

	platform_rig_remove_worker(f->desk);
	f->copied = f->rig.revision;
	desk = platform_rig_add_worker(&f->rig, "desk", NULL);
	platform_rig_run(&f->rig, 2500);
	return desk;
}

/* Guards against a target that is dropped before it can have written its lost
 * entry again, and against one that is kept although it does not. */
static void test_lost_target(fixture_t *f, gconstpointer data)
{
	worker_t *desk = replace_desk(f);

	(void)data;
	f->rig.store_keeps_watches = true;
	platform_rig_set_back(&f->rig, f->copied);
	call_desk(f, 1900, 200);
	platform_rig_publish_worker(desk, "ready");
	call_desk(f, 2000, 200);
	platform_rig_set_back(&f->rig, f->copied);
	platform_rig_run(&f->rig, 3500);
	call_desk(f, 500, 503);
}

/* Guards against requests to a target that has left: its entry is in the older
 * copy again, until it expires, as nobody deletes it. */
static void test_departed_target(fixture_t *f, gconstpointer data)
{
	int64_t copied = f->rig.revision;

	(void)data;
	platform_rig_remove_worker(f->desk);
	platform_rig_run(&f->rig, 2500);
	call_desk(f, 100, 503);
	f->desk->runs = 0;
	platform_rig_set_back(&f->rig, copied);
	call_desk(f, 2000, 503);
	g_assert_cmpuint(f->desk->runs, ==, 0);
	/* A target that writes its entry again has not left. */
	platform_rig_publish_worker(f->desk, "ready");
	platform_rig_run(&f->rig, 1000);
	call_desk(f, 500, 200);
}

/* Guards against requests to a target whose entry was removed a moment before
 * the restore, and against a live one that is never used again: its entry stays
 * although its revision does not rise. */
static void test_returned_entry(fixture_t *f, gconstpointer data)
{
	int64_t copied = f->rig.revision;

	(void)data;
	platform_rig_remove_worker(f->desk);
	platform_rig_run(&f->rig, 300);
	platform_rig_set_back(&f->rig, copied);
	platform_rig_run(&f->rig, 2000);
	f->desk->runs = 0;
	call_desk(f, 1000, 503);
	g_assert_cmpuint(f->desk->runs, ==, 0);
	platform_rig_run(&f->rig, 3500);
	call_desk(f, 500, 200);
}

/* Guards against a target that is dropped by an instance which saw it leave and
 * was told by the lease holder only that it has returned. */
static void test_returned_target_after_handover(fixture_t *f,
						gconstpointer data)
{
	int64_t copied = f->rig.revision;
	int64_t until_us;
	rig_entry_t *former;

	(void)data;
	platform_rig_remove_worker(f->desk);
	platform_rig_run(&f->rig, 2500);
	platform_rig_set_back(&f->rig, copied);
	platform_rig_run(&f->rig, 300);
	platform_rig_publish_worker(f->desk, "ready");
	wait_for_load(f, f->entries[0], "m1");
	call_desk(f, 300, 200);
	former = holder(f);
	platform_rig_signal(former, SIGKILL);
	until_us = bsh_loop_clock_us() + 5000000;
	while (bsh_loop_clock_us() < until_us) {
		g_assert_cmpint(
			call(f, entry_beside(f, former), "/look/1", NULL), ==,
			200);
		platform_rig_run(&f->rig, 50);
	}
}

/* Guards against requests to a target that has reported that it leaves: the
 * older copy has it as ready. */
static void test_leaving_target(fixture_t *f, gconstpointer data)
{
	int64_t copied = f->rig.revision;

	(void)data;
	platform_rig_publish_worker(f->desk, "draining");
	platform_rig_run(&f->rig, 500);
	f->desk->runs = 0;
	platform_rig_set_back(&f->rig, copied);
	call_desk(f, 1500, 503);
	g_assert_cmpuint(f->desk->runs, ==, 0);
}

/* Guards against any of the above when the store was away before it came back
 * from the older copy, so that calls have failed and a majority has extended
 * the lease. */
static void test_restore_after_outage(fixture_t *f, gconstpointer unresponsive)
{
	worker_t *desk = replace_desk(f);

	wait_for_load(f, f->entries[0], "m1");
	if (GPOINTER_TO_INT(unresponsive))
		f->rig.store_unresponsive = true;
	else
		f->rig.store_down = true;
	call_desk(f, 2500, 200);
	wait_for_load(f, f->entries[0], "m2");
	platform_rig_set_back(&f->rig, f->copied);
	f->rig.store_unresponsive = false;
	f->rig.store_down = false;
	call_desk(f, 1500, 200);
	platform_rig_publish_worker(f->engine, "ready");
	platform_rig_publish_worker(desk, "ready");
	call_desk(f, 500, 200);
	wait_for_load(f, f->entries[0], "m3");
	assert_orders_exclusive(f);
	call_desk(f, 1000, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(f->entries); i++)
		g_assert_nonnull(platform_rig_object(
			&f->rig, "berylshunt-instances", f->entries[i]->name));
}

/* The client of the store by itself. */

typedef struct {
	platform_rig_t rig;
	platform_store_t store;
	uint32_t restores;
	bool done;
	platform_result_t result;
	uint64_t revision;
} client_t;

static void on_restored(void *ctx, uint32_t before)
{
	client_t *c = ctx;

	g_assert_cmpuint(before, ==, c->store.epoch - 1);
	c->restores++;
}

static void set_up_client(client_t *c, gconstpointer data)
{
	(void)data;
	platform_rig_init(&c->rig);
	platform_store_init(&c->store, c->rig.client, &c->rig.loop,
			    c->rig.store_address, on_restored, c);
	for (int i = 0; i < 5; i++)
		platform_rig_configure(&c->rig, NULL);
}

static void tear_down_client(client_t *c, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&c->rig);
}

static void on_answer(void *ctx, const platform_answer_t *answer)
{
	client_t *c = ctx;

	c->done = true;
	c->result = answer->result;
	c->revision = answer->revision;
}

static void wait_for_answer(client_t *c)
{
	platform_rig_wait(&c->rig, &c->done);
	c->done = false;
}

static void get_config(client_t *c)
{
	platform_store_get(&c->store, PLATFORM_KIND_CONFIG, "main", on_answer,
			   c);
	wait_for_answer(c);
}

static void replace_config(client_t *c, uint64_t revision)
{
	platform_store_replace(&c->store, PLATFORM_KIND_CONFIG, "main",
			       revision, json_object(), on_answer, c);
	wait_for_answer(c);
}

static void set_back_during_call(platform_rig_t *rig,
				 bsh_http_request_t *request)
{
	int64_t revision = rig->revision;

	(void)request;
	rig->before_call = NULL;
	platform_rig_set_back(rig, revision - 2);
	while (rig->revision < revision)
		platform_rig_configure(rig, NULL);
}

/* Guards against a conditional change that replaces another state than the one
 * that was read, as both have the same revision. */
static void test_change_after_restore(client_t *c, gconstpointer data)
{
	uint64_t before;

	(void)data;
	get_config(c);
	before = c->revision;
	set_back_during_call(&c->rig, NULL);
	get_config(c);
	g_assert_cmpuint(c->restores, ==, 1);
	g_assert_cmpuint(c->revision, >, before);
	g_assert_cmpuint(c->revision, <, UINT64_C(1) << 53);
	replace_config(c, before);
	g_assert_cmpint(c->result, ==, PLATFORM_CONFLICT);
	platform_store_delete(&c->store, PLATFORM_KIND_CONFIG, "main", before,
			      on_answer, c);
	wait_for_answer(c);
	g_assert_cmpint(c->result, ==, PLATFORM_CONFLICT);
	platform_store_watch(&c->store, PLATFORM_KIND_CONFIG, before, 1000,
			     on_answer, c);
	wait_for_answer(c);
	g_assert_cmpint(c->result, ==, PLATFORM_HISTORY_GONE);
	get_config(c);
	replace_config(c, c->revision);
	g_assert_cmpint(c->result, ==, PLATFORM_DONE);
}

/* Guards against a change that counts as a proof of the replaced state although
 * the store was restored while it was under way. */
static void test_change_during_restore(client_t *c, gconstpointer data)
{
	(void)data;
	get_config(c);
	c->rig.before_call = set_back_during_call;
	replace_config(c, c->revision);
	g_assert_cmpint(c->result, ==, PLATFORM_UNKNOWN);
	g_assert_cmpuint(c->restores, ==, 1);
}

/* Guards against a watch that misses changes below its revision which the store
 * has made since it was restored. */
static void test_watch_during_restore(client_t *c, gconstpointer data)
{
	(void)data;
	get_config(c);
	c->rig.before_call = set_back_during_call;
	platform_store_watch(&c->store, PLATFORM_KIND_CONFIG, c->revision, 200,
			     on_answer, c);
	wait_for_answer(c);
	g_assert_cmpint(c->result, ==, PLATFORM_HISTORY_GONE);
}

/* Guards against a state from before the restore that arrives after it. */
static void test_answer_after_restore(client_t *c, gconstpointer data)
{
	(void)data;
	get_config(c);
	platform_store_get(&c->store, PLATFORM_KIND_CONFIG, "main", on_answer,
			   c);
	platform_store_note_revision(&c->store,
				     (UINT64_C(1) << PLATFORM_EPOCH_SHIFT) + 1);
	wait_for_answer(c);
	g_assert_cmpint(c->result, ==, PLATFORM_UNKNOWN);
	c->rig.era = 1;
	get_config(c);
	g_assert_cmpint(c->result, ==, PLATFORM_DONE);
	g_assert_cmpuint(c->restores, ==, 1);
}

#define ADD_CLIENT(path, fn)                                                   \
	g_test_add(path, client_t, NULL, set_up_client, fn, tear_down_client)
#define ADD(path, fn) g_test_add(path, fixture_t, NULL, set_up, fn, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/store-era/configuration", test_configuration);
	ADD("/store-era/lost-lease", test_lost_lease);
	ADD("/store-era/former-holder", test_former_holder);
	ADD("/store-era/older-release", test_older_release);
	ADD("/store-era/registration", test_registration);
	ADD("/store-era/lost-deletion", test_lost_deletion);
	ADD("/store-era/lost-target", test_lost_target);
	ADD("/store-era/departed-target", test_departed_target);
	ADD("/store-era/returned-entry", test_returned_entry);
	ADD("/store-era/returned-target-after-handover",
	    test_returned_target_after_handover);
	ADD("/store-era/leaving-target", test_leaving_target);
	ADD("/store-era/after-outage", test_restore_after_outage);
	g_test_add("/store-era/after-silence", fixture_t, GINT_TO_POINTER(1),
		   set_up, test_restore_after_outage, tear_down);
	ADD_CLIENT("/store-era/change-after", test_change_after_restore);
	ADD_CLIENT("/store-era/change-during", test_change_during_restore);
	ADD_CLIENT("/store-era/watch-during", test_watch_during_restore);
	ADD_CLIENT("/store-era/answer-after", test_answer_after_restore);
	return g_test_run();
}
