/* Instances as processes that share the reading of the platform's store: the calls
 * that it gets, and that each instance still learns what has changed. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENTRIES	   6
#define CHANGES_MS 20
#define MORE_ROUTE                                                             \
	"{\"name\":\"more\",\"host\":\"" RIG_HOST                              \
	"\",\"pathPrefix\":\"/more/\","                                        \
	"\"kind\":\"idempotent\",\"service\":\"desk\",\"maxAttempts\":2,"      \
	"\"resumable\":false,\"timeoutMs\":10000,\"targetLatencyMs\":500,"     \
	"\"priority\":0}"

/* Calls by all instances; the rig has no context for its hook. */
static uint32_t watches_of_targets;
static uint32_t calls;

static void count_call(platform_rig_t *rig, bsh_http_request_t *request)
{
	const char *url = bsh_http_request_target(request);

	(void)rig;
	calls++;
	if (strstr(url, "/servers") != NULL &&
	    (strstr(url, "?watch=") != NULL || strstr(url, "&watch=") != NULL))
		watches_of_targets++;
}

typedef struct {
	platform_rig_t rig;
	worker_t *engine;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->engine = platform_rig_add_worker(&f->rig, "llm", "m0");
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 4000);
	calls = 0;
	watches_of_targets = 0;
	f->rig.before_call = count_call;
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_finish(&f->rig);
}

static int status_of(fixture_t *f, int entry, const char *path)
{
	static uint32_t n;
	g_autofree char *id = g_strdup_printf("s%u", n++);
	rig_reply_t reply;
	int status;

	platform_rig_send(&f->rig, f->rig.entries[entry].front, path, id, NULL,
			  1000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	status = reply.status;
	platform_rig_reply_clear(&reply);
	return status;
}

/* Time until all instances but those that do not run serve the path. */
static int64_t served_by_all_us(fixture_t *f, const char *path, int except)
{
	int64_t begin_us = bsh_loop_clock_us();

	for (int i = 0; i < ENTRIES; i++) {
		while (i != except && status_of(f, i, path) != 200) {
			g_assert_cmpint(bsh_loop_clock_us() - begin_us, <,
					10000000);
			platform_rig_run(&f->rig, 20);
		}
	}
	return bsh_loop_clock_us() - begin_us;
}

/* Guards against a call for each change of a target, and one from each instance:
 * a list that changes all the time is read by one, some times a second. */
static void test_changing_targets(fixture_t *f, gconstpointer data)
{
	const int seconds = 4;

	(void)data;
	for (int i = 0; i < seconds * 1000 / CHANGES_MS; i++) {
		platform_rig_publish_worker(f->engine, "ready");
		platform_rig_run(&f->rig, CHANGES_MS);
	}
	g_test_message("watches=%u calls=%u", watches_of_targets, calls);
	/* A twentieth of the drain time of 2 s lies between two watches; two
	 * instances may read for a moment. */
	g_assert_cmpuint(watches_of_targets, <=, 2 * seconds * 10);
	/* Besides, the lease, the configuration and a list of instances. */
	g_assert_cmpuint(calls, <=, 2 * seconds * 10 + seconds * 4 + ENTRIES);
}

/* Guards against an instance that does not learn of a new configuration, as it
 * does not read the store and another one had to tell it. */
static void test_new_configuration(fixture_t *f, gconstpointer data)
{
	int64_t took_us;

	(void)data;
	g_assert_cmpint(status_of(f, 0, "/more/1"), ==, 404);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", -1);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	g_assert_cmpint(took_us, <, 2000000);
	g_assert_cmpuint(calls, <, 40);
}

/* The same while the instance that reads for all stands still. */
static void test_frozen_reader(fixture_t *f, gconstpointer data)
{
	const char *holder;
	int frozen = 0;
	int64_t took_us;

	(void)data;
	holder = json_string_value(json_object_get(
		json_object_get(platform_rig_object(
					&f->rig, "berylshunt-leases", "orders"),
				"spec"),
		"holder"));
	g_assert_nonnull(holder);
	for (int i = 0; i < ENTRIES; i++)
		if (strcmp(f->rig.entries[i].name, holder) == 0)
			frozen = i;
	kill(f->rig.entries[frozen].pid, SIGSTOP);
	platform_rig_configure(&f->rig, MORE_ROUTE);
	took_us = served_by_all_us(f, "/more/1", frozen);
	kill(f->rig.entries[frozen].pid, SIGCONT);
	g_test_message("took_us=%" G_GINT64_FORMAT " calls=%u", took_us, calls);
	g_assert_cmpint(took_us, <, 2000000);
	g_assert_cmpint(served_by_all_us(f, "/more/1", -1), <, 2000000);
}

/* Guards against an outage of the store that costs calls of each instance. */
static void test_outage(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->rig.store_down = true;
	platform_rig_run(&f->rig, 6000);
	g_test_message("calls=%u", calls);
	/* One kind of call of each instance every 0.4 to 0.8 s, and four a
	 * second for the lease. */
	g_assert_cmpuint(calls, <, ENTRIES * 6000 / 400 + 6 * 4 + ENTRIES);
	f->rig.store_down = false;
	platform_rig_configure(&f->rig, MORE_ROUTE);
	g_assert_cmpint(served_by_all_us(f, "/more/1", -1), <, 3000000);
}

#define ADD(path, fn)                                                          \
	g_test_add("/store-calls/" path, fixture_t, NULL, set_up, fn, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("changing-targets", test_changing_targets);
	ADD("new-configuration", test_new_configuration);
	ADD("frozen-reader", test_frozen_reader);
	ADD("outage", test_outage);
	return g_test_run();
}
