/* Random valid configurations in series, while the lease holder gives orders:
 * services, engines, models and adapters leave and return, routes move. */
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "base/rng.h"
#include "protocol/relay_mark.h"
#include "support/platform_rig.h"

#define INSTANCES      3
#define MODELS	       5
#define ADAPTERS_MAX   3
#define LEASE_MS       1000U
#define STREAMS	       400
#define CALLS	       200
#define STEP_MS	       30
#define WALK_STEPS     300
#define DEADLINE_MS    3000
#define ADDED_REQUESTS 20

/* A route whose time is filled in by printf(). */
#define TIMED_ROUTE(name, kind, service)                                       \
	"{\"name\":\"" name "\",\"host\":\"" RIG_HOST                          \
	"\",\"pathPrefix\":\"/" name "/\",\"kind\":\"" kind                    \
	"\",\"service\":\"" service                                            \
	"\",\"maxAttempts\":2,\"resumable\":false,\"timeoutMs\":%u,"           \
	"\"targetLatencyMs\":200,\"priority\":0}"

typedef struct {
	platform_rig_t rig;
	bsh_rng_t rng;
	rig_reply_t streams[STREAMS];
	rig_reply_t calls[CALLS];
	uint32_t n_streams;
	uint32_t n_calls;
} fixture_t;

static uint32_t below(fixture_t *f, uint32_t n)
{
	return bsh_rng_below(&f->rng, n);
}

static json_t *random_models(fixture_t *f)
{
	json_t *models = json_array();

	for (int i = 0; i < MODELS; i++) {
		g_autofree char *name = g_strdup_printf("m%d", i);

		if (below(f, 3) == 0)
			continue;
		json_array_append_new(
			models,
			json_pack("{s:s, s:i, s:f, s:f, s:f, s:i, s:i}", "name",
				  name, "weightsMb", 100, "loadS", 0.1, "diskS",
				  0.1, "warmS", 0.1, "adapters",
				  (int)below(f, ADAPTERS_MAX + 1), "adapterMb",
				  5));
	}
	return models;
}

/* A service, which may have lost its engine, or NULL: it has left. */
static json_t *random_service(fixture_t *f, const char *name)
{
	switch (below(f, 5)) {
	case 0:
		return NULL;
	case 1:
		return json_pack("{s:s}", "name", name);
	default:
		return json_pack("{s:s, s:{s:i, s:i, s:i, s:i, s:f, s:o}}",
				 "name", name, "engine", "slots", 8,
				 "kvCapacity", 100000, "weightsMb",
				 (int)f->rig.weights_mb, "adapterSlots", 2,
				 "loadsPerS", 10.0, "models", random_models(f));
	}
}

static json_t *route(const char *name, const char *kind, const char *service)
{
	g_autofree char *prefix = g_strdup_printf("/%s/", name);

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:b, s:i, s:i, s:i}",
			 "name", name, "host", RIG_HOST, "pathPrefix", prefix,
			 "kind", kind, "service", service, "maxAttempts", 2,
			 "resumable", 1, "timeoutMs", 6000, "targetLatencyMs",
			 500, "priority", 0);
}

static void configure(fixture_t *f)
{
	static const char *const names[] = { "llm", "llm2" };
	json_t *services = json_array();
	json_t *routes = json_array();

	json_array_append_new(routes, route("look", "idempotent", "desk"));
	json_array_append_new(services, json_pack("{s:s}", "name", "desk"));
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		json_t *service = random_service(f, names[i]);

		if (service == NULL)
			continue;
		json_array_append_new(services, service);
		if (json_array_size(routes) == 1 && below(f, 2) == 0)
			json_array_append_new(
				routes, route("stream", "stream", names[i]));
	}
	platform_rig_write(&f->rig, "config", "main",
			   json_pack("{s:i, s:o, s:o, s:{}}", "version",
				     (int)++f->rig.version, "routes", routes,
				     "services", services, "limits"));
}

static void send_stream(fixture_t *f)
{
	const rig_entry_t *entry = &f->rig.entries[below(f, INSTANCES)];
	g_autofree char *id = g_strdup_printf("walk-%u", f->n_streams);
	g_autofree char *model = g_strdup_printf("m%u", below(f, MODELS));
	uint32_t adapter = below(f, ADAPTERS_MAX + 2);

	if (f->n_streams == STREAMS)
		return;
	if (adapter > 0) {
		g_autofree char *base = g_steal_pointer(&model);

		model = g_strdup_printf("%s/a%u", base, adapter);
	}
	platform_rig_send(&f->rig, entry->front, "/stream/1", id, model,
			  DEADLINE_MS, &f->streams[f->n_streams++]);
}

/* A call to a service that each configuration has. */
static void send_call(fixture_t *f)
{
	const rig_entry_t *entry = &f->rig.entries[below(f, INSTANCES)];
	g_autofree char *id = g_strdup_printf("call-%u", f->n_calls);

	if (f->n_calls < CALLS)
		platform_rig_send(&f->rig, entry->front, "/look/1", id, NULL,
				  DEADLINE_MS, &f->calls[f->n_calls++]);
}

static void check_processes(fixture_t *f)
{
	platform_rig_reap(&f->rig);
	for (int i = 0; i < INSTANCES; i++) {
		const rig_entry_t *entry = &f->rig.entries[i];

		if (!entry->alive)
			g_test_message("%s has ended: signal %d", entry->name,
				       WTERMSIG(entry->status));
		g_assert_true(entry->alive);
	}
}

static bool all_done(const fixture_t *f)
{
	for (uint32_t i = 0; i < f->n_streams; i++)
		if (!f->streams[i].done)
			return false;
	for (uint32_t i = 0; i < f->n_calls; i++)
		if (!f->calls[i].done)
			return false;
	return true;
}

/* Guards against an instance that ends as a service, model or adapter leaves the
 * configuration with orders and requests under way, against orders that overload
 * a target then, and against requests of other services that suffer. */
static void test_walk(void)
{
	static fixture_t fixture;
	fixture_t *f = &fixture;
	const char *seed = getenv("BSH_SEED");
	uint32_t number = seed != NULL ? (uint32_t)atoi(seed) : 1;

	g_test_message("BSH_SEED=%u", number);
	memset(f, 0, sizeof(*f));
	bsh_rng_init(&f->rng, number);
	platform_rig_init(&f->rig);
	f->rig.lease_ms = LEASE_MS;
	f->rig.weights_mb = 250;
	configure(f);
	platform_rig_add_worker(&f->rig, "llm", "m0");
	platform_rig_add_worker(&f->rig, "llm", "m1");
	platform_rig_add_worker(&f->rig, "llm2", "m2");
	platform_rig_add_worker(&f->rig, "desk", NULL);
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 1500);
	for (int step = 0; step < WALK_STEPS; step++) {
		if (below(f, 10) == 0)
			configure(f);
		if (below(f, 2) == 0)
			send_stream(f);
		if (below(f, 2) == 0)
			send_call(f);
		if (below(f, 60) == 0)
			platform_rig_restart_worker(
				&f->rig.workers[below(f, 3)]);
		if (below(f, 30) == 0)
			platform_rig_silence_worker(
				&f->rig.workers[below(f, 3)], 400);
		platform_rig_run(&f->rig, STEP_MS);
		check_processes(f);
	}
	for (int i = 0; i < 200 && !all_done(f); i++)
		platform_rig_run(&f->rig, 50);
	check_processes(f);
	g_assert_true(all_done(f));
	for (uint32_t i = 0; i < f->n_calls; i++)
		g_assert_cmpint(f->calls[i].status, ==, 200);
	for (uint32_t i = 0; i < f->rig.n_workers; i++)
		g_assert_cmpuint(f->rig.workers[i].overloads, ==, 0);
	for (uint32_t i = 0; i < f->n_streams; i++)
		platform_rig_reply_clear(&f->streams[i]);
	for (uint32_t i = 0; i < f->n_calls; i++)
		platform_rig_reply_clear(&f->calls[i]);
	platform_rig_finish(&f->rig);
	bsh_rng_finish(&f->rng);
}

/* Guards against a request that waits to its deadline for an adapter that the
 * configuration does not have and that is never loaded. */
static void test_unknown_adapter(void)
{
	rig_reply_t reply = { 0 };
	platform_rig_t rig;

	platform_rig_init(&rig);
	rig.lease_ms = LEASE_MS;
	platform_rig_configure(&rig, NULL);
	platform_rig_add_worker(&rig, "llm", "m0");
	platform_rig_add_entry(&rig);
	platform_rig_wait_ready(&rig, &rig.entries[0]);
	platform_rig_send(&rig, rig.entries[0].front, "/stream/1", "unknown-1",
			  "m0/a1", DEADLINE_MS, &reply);
	platform_rig_wait(&rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 404);
	g_assert_cmpint(reply.took_us, <, 500000);
	platform_rig_reply_clear(&reply);
	platform_rig_finish(&rig);
}

/* Status of a call that another instance has accepted by this version. */
static int relayed_status(platform_rig_t *rig, const char *id, uint64_t version)
{
	g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, version);
	bsh_relay_mark_t mark = { id, "POST", "/book/1", 0, NULL };
	char mark_text[BSH_RELAY_MARK_SIZE];
	rig_request_t request = { .address = rig->entries[0].front,
				  .path = mark.path,
				  .id = id,
				  .deadline_ms = DEADLINE_MS,
				  .relay_mark = mark_text,
				  .relay_version = text };
	rig_reply_t reply;
	int status;

	bsh_relay_mark_encode(platform_rig_key, &mark, mark_text,
			      sizeof(mark_text));
	platform_rig_start(rig, &request, &reply);
	platform_rig_wait(rig, &reply.done);
	status = reply.status;
	platform_rig_reply_clear(&reply);
	return status;
}

/* Guards against a request that one instance accepts by a version and another
 * one, to which it is passed on, runs by an older version. */
static void test_relayed(void)
{
	rig_reply_t reply = { 0 };
	platform_rig_t rig;
	rig_request_t forged;

	platform_rig_init(&rig);
	platform_rig_configure(&rig, NULL);
	platform_rig_add_worker(&rig, "desk", NULL);
	platform_rig_add_entry(&rig);
	platform_rig_wait_ready(&rig, &rig.entries[0]);
	g_assert_cmpint(relayed_status(&rig, "relay-1", rig.version), ==, 200);
	g_assert_cmpint(relayed_status(&rig, "relay-2", rig.version + 1), ==,
			503);
	g_assert_cmpuint(platform_rig_runs(&rig, "relay-2"), ==, 0);
	/* A caller cannot have its requests refused by the header alone. */
	forged = (rig_request_t){ .address = rig.entries[0].front,
				  .path = "/book/1",
				  .id = "relay-3",
				  .deadline_ms = DEADLINE_MS,
				  .relay_mark = "0 00",
				  .relay_version = "1000000" };
	platform_rig_start(&rig, &forged, &reply);
	platform_rig_wait(&rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	platform_rig_reply_clear(&reply);
	platform_rig_finish(&rig);
}

/* A route of its own for each kind, with this time. */
static void configure_times(platform_rig_t *rig, uint32_t timeout_ms)
{
	g_autofree char *extra = g_strdup_printf(
		TIMED_ROUTE("call", "idempotent", "desk") "," TIMED_ROUTE(
			"turn", "non_idempotent",
			"desk") "," TIMED_ROUTE("talk", "stream", "llm"),
		timeout_ms, timeout_ms, timeout_ms);

	platform_rig_configure(rig, extra);
}

/* Sends a request of each kind to each instance and checks when it has ended. */
static void check_route_times(platform_rig_t *rig, uint32_t timeout_ms)
{
	static const char *const paths[] = { "/call/1", "/turn/1", "/talk/1",
					     "/talk/2" };
	static uint32_t n;
	rig_reply_t replies[INSTANCES][G_N_ELEMENTS(paths)];

	for (int i = 0; i < INSTANCES; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
			g_autofree char *id = g_strdup_printf("time-%u", n++);

			platform_rig_send(rig, rig->entries[i].front, paths[j],
					  id,
					  j < 2	   ? NULL
					  : j == 2 ? "m0"
						   : "m1",
					  8000, &replies[i][j]);
		}
	}
	for (int i = 0; i < INSTANCES; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
			rig_reply_t *reply = &replies[i][j];

			platform_rig_wait(rig, &reply->done);
			g_test_message(
				"%s %s status=%d took_us=%" G_GINT64_FORMAT,
				rig->entries[i].name, paths[j], reply->status,
				reply->took_us);
			g_assert_cmpint(reply->took_us, <,
					(timeout_ms + 500) * INT64_C(1000));
			/* Not by the shorter time of another version.  Of the
			 * others some are refused earlier, as their target is
			 * silent. */
			if (j == 0)
				g_assert_cmpint(reply->took_us, >=,
						timeout_ms * INT64_C(1000));
			platform_rig_reply_clear(reply);
		}
	}
}

/* Guards against a request that has no final answer soon after the time of its
 * route, whatever its kind, while its target does not answer, stops in the middle
 * or lacks the model, and against the time of an earlier version. */
static void test_route_time(void)
{
	platform_rig_t rig;
	worker_t *worker;

	platform_rig_init(&rig);
	rig.lease_ms = LEASE_MS;
	configure_times(&rig, 400);
	worker = platform_rig_add_worker(&rig, "desk", NULL);
	worker->mode = WORKER_NEVER_ANSWERS;
	worker = platform_rig_add_worker(&rig, "llm", "m0");
	worker->mode = WORKER_STALLS;
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_add_entry(&rig);
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_wait_ready(&rig, &rig.entries[i]);
	for (int i = 0; i < 4; i++) {
		uint32_t timeout_ms = i % 2 == 0 ? 400 : 1100;

		configure_times(&rig, timeout_ms);
		platform_rig_run(&rig, 1000);
		check_route_times(&rig, timeout_ms);
	}
	platform_rig_finish(&rig);
}

static uint32_t served_of(platform_rig_t *rig, const char *prefix, int entry)
{
	static uint32_t n;
	rig_reply_t replies[ADDED_REQUESTS];
	uint32_t served = 0;

	for (int i = 0; i < ADDED_REQUESTS; i++) {
		g_autofree char *id = g_strdup_printf("added-%u", n++);
		g_autofree char *path = g_strdup_printf("/%s/%u", prefix, n);

		platform_rig_send(rig, rig->entries[entry].front, path, id,
				  NULL, DEADLINE_MS, &replies[i]);
		platform_rig_run(rig, 10);
	}
	for (int i = 0; i < ADDED_REQUESTS; i++) {
		platform_rig_wait(rig, &replies[i].done);
		served += replies[i].status == 200;
		platform_rig_reply_clear(&replies[i]);
	}
	return served;
}

/* Guards against routes that were added later, to a service that was there or to
 * a new one, and whose requests are refused as nothing is known of them yet, also
 * by a process that has just started and while another one stops. */
static void test_added_routes(void)
{
	platform_rig_t rig;
	json_t *config;

	platform_rig_init(&rig);
	rig.lease_ms = LEASE_MS;
	platform_rig_configure(&rig, NULL);
	for (int i = 0; i < 2; i++)
		platform_rig_add_worker(&rig, "desk", NULL);
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_add_entry(&rig);
	for (int i = 0; i < INSTANCES; i++)
		platform_rig_wait_ready(&rig, &rig.entries[i]);
	platform_rig_run(&rig, 1500);
	for (int i = 0; i < 2; i++)
		platform_rig_add_worker(&rig, "shop", NULL);
	config = json_pack("{s:i, s:[o,o,o], s:[{s:s},{s:s}], s:{}}", "version",
			   (int)++rig.version, "routes",
			   route("look", "idempotent", "desk"),
			   route("desk", "idempotent", "desk"),
			   route("shop", "non_idempotent", "shop"), "services",
			   "name", "desk", "name", "shop", "limits");
	platform_rig_write(&rig, "config", "main", config);
	platform_rig_run(&rig, 2000);
	platform_rig_signal(&rig.entries[0], SIGTERM);
	platform_rig_add_entry(&rig);
	platform_rig_wait_ready(&rig, &rig.entries[INSTANCES]);
	for (int i = 1; i <= INSTANCES; i++) {
		uint32_t first = served_of(&rig, "look", i);

		g_assert_cmpuint(first, ==, ADDED_REQUESTS);
		g_assert_cmpuint(served_of(&rig, "desk", i), ==, first);
		g_assert_cmpuint(served_of(&rig, "shop", i), ==, first);
	}
	platform_rig_finish(&rig);
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/configurations/walk", test_walk);
	g_test_add_func("/configurations/unknown-adapter",
			test_unknown_adapter);
	g_test_add_func("/configurations/relayed", test_relayed);
	g_test_add_func("/configurations/route-time", test_route_time);
	g_test_add_func("/configurations/added-routes", test_added_routes);
	return g_test_run();
}
