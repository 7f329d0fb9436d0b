/* Requests that wait for a model while another configuration is put in force. */
#include <glib.h>
#include <string.h>

#include "support/platform_rig.h"

#define LATE_ROUTE(service)                                                    \
	"{\"name\":\"late\",\"host\":\"" RIG_HOST "\",\"pathPrefix\":\"/late/" \
	"\",\"kind\":\"stream\",\"service\":\"" service                        \
	"\",\"maxAttempts\":2,\"resumable\":true,\"timeoutMs\":6000,"          \
	"\"targetLatencyMs\":500,\"priority\":0}"

typedef struct {
	platform_rig_t rig;
	rig_entry_t *entry;
	rig_reply_t reply;
} fixture_t;

/* Only "llm2" has a worker, so a request for "llm" waits. */
static void set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_init(&f->rig);
	f->rig.has_second_engine = true;
	platform_rig_configure(&f->rig, LATE_ROUTE("llm"));
	platform_rig_add_worker(&f->rig, "llm2", "m0");
	f->entry = platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, f->entry);
	/* Until a lease holder is known. */
	platform_rig_run(&f->rig, 1000);
	platform_rig_send(&f->rig, f->entry->front, "/late/1", "a1", "m0", 8000,
			  &f->reply);
	platform_rig_run(&f->rig, 300);
	g_assert_false(f->reply.done);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_reply_clear(&f->reply);
	platform_rig_finish(&f->rig);
}

/* Guards against a request that waits for the service that its route no longer
 * names, until its deadline. */
static void test_route_moves(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_configure(&f->rig, LATE_ROUTE("llm2"));
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 200);
	g_assert_true(f->reply.complete);
	g_assert_cmpint(f->reply.took_us, <, 1500000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a1"), ==, 1);
}

/* Guards against a request that is held until its deadline although no route
 * leads to its service any more. */
static void test_route_is_dropped(fixture_t *f, gconstpointer data)
{
	(void)data;
	platform_rig_configure(&f->rig, NULL);
	platform_rig_wait(&f->rig, &f->reply.done);
	g_assert_cmpint(f->reply.status, ==, 404);
	g_assert_cmpint(f->reply.took_us, <, 1500000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a1"), ==, 0);
}

/* Guards against a request that waits for a model until its caller has left: it
 * is refused while the caller still hears that it has not run. */
static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
	rig_reply_t patient;
	rig_reply_t brief;

	(void)data;
	/* Callers leave a stream after 2 s without its first event. */
	platform_rig_send(&f->rig, f->entry->front, "/late/2", "a2", "m0", 8000,
			  &patient);
	platform_rig_send(&f->rig, f->entry->front, "/late/3", "a3", "m0", 900,
			  &brief);
	platform_rig_wait(&f->rig, &brief.done);
	g_assert_cmpint(brief.status, ==, 503);
	g_assert_nonnull(brief.retry_after);
	g_assert_cmpint(brief.took_us, <, 900000);
	platform_rig_wait(&f->rig, &patient.done);
	g_assert_cmpint(patient.status, ==, 503);
	g_assert_cmpint(patient.took_us, <, 2000000);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a2"), ==, 0);
	g_assert_cmpuint(platform_rig_runs(&f->rig, "a3"), ==, 0);
	platform_rig_reply_clear(&patient);
	platform_rig_reply_clear(&brief);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add("/waiting-request/route-moves", fixture_t, NULL, set_up,
		   test_route_moves, tear_down);
	g_test_add("/waiting-request/route-is-dropped", fixture_t, NULL, set_up,
		   test_route_is_dropped, tear_down);
	g_test_add("/waiting-request/caller-leaves", fixture_t, NULL, set_up,
		   test_caller_leaves, tear_down);
	return g_test_run();
}
