/* Targets that end when they have to reject too many requests for want of
 * room. */
#include <glib.h>
#include <string.h>

#include "support/platform_rig.h"

#define ENTRIES	  10
#define NEWCOMERS 10
#define WORKERS	  3
#define PLACES	  8
#define TICK_MS	  10
/* Requests of a tick: three times what the places can serve. */
#define TICK_REQUESTS 4
#define WORK_MS	      200
/* Instances must act on what an answer names this long after its first one: the
 * platform's rule.  From then on the targets of a service may fall twice, and
 * once more for each ten of them. */
#define CONTACT_MS 3000
#define MEASURE_MS 5000
#define FALLS_MAX  (2 + WORKERS / 10)
/* Of what the places could have served. */
#define SERVED_MIN 0.9

typedef struct {
	platform_rig_t rig;
	GPtrArray *calls; /* rig_reply_t, open */
	uint32_t n;
	uint32_t answered;
	uint32_t refused;
	uint32_t refused_blank; /* without Retry-After */
	uint32_t unknown;	/* 502, 504 or no answer */
} fixture_t;

static void set_up(fixture_t *f, gconstpointer path)
{
	bool is_engine = strcmp(path, "/stream/") == 0;

	memset(f, 0, sizeof(*f));
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	f->rig.restart_ms = 1000;
	for (int i = 0; i < WORKERS; i++) {
		worker_t *worker = platform_rig_add_worker(
			&f->rig, is_engine ? "llm" : "desk",
			is_engine ? "m0" : NULL);

		worker->places = PLACES;
		worker->work_ms = WORK_MS;
	}
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < ENTRIES; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[i]);
	platform_rig_run(&f->rig, 500);
	f->calls = g_ptr_array_new_with_free_func(g_free);
}

static void tear_down(fixture_t *f, gconstpointer path)
{
	(void)path;
	for (guint i = 0; i < f->calls->len; i++)
		platform_rig_reply_clear(g_ptr_array_index(f->calls, i));
	g_ptr_array_free(f->calls, TRUE);
	platform_rig_finish(&f->rig);
}

static void collect(fixture_t *f)
{
	for (guint i = f->calls->len; i > 0; i--) {
		rig_reply_t *reply = g_ptr_array_index(f->calls, i - 1);

		if (!reply->done)
			continue;
		if (reply->status == 200) {
			f->answered++;
		} else if (reply->status == 429 || reply->status == 503) {
			f->refused++;
			f->refused_blank += reply->retry_after == NULL;
		} else {
			f->unknown++;
		}
		platform_rig_reply_clear(reply);
		g_ptr_array_remove_index_fast(f->calls, i - 1);
	}
}

/* Sends requests at all instances in turn. */
static void run_callers(fixture_t *f, const char *path, uint32_t ms)
{
	bool is_engine = strcmp(path, "/stream/") == 0;
	int64_t until_us = bsh_loop_clock_us() + ms * INT64_C(1000);

	while (bsh_loop_clock_us() < until_us) {
		for (int i = 0; i < TICK_REQUESTS; i++) {
			rig_reply_t *reply = g_new0(rig_reply_t, 1);
			g_autofree char *id = g_strdup_printf("b%u", f->n);
			/* Repeats of one request could be blamed for the end of
			 * a process. */
			g_autofree char *target =
				g_strdup_printf("%s%u", path, f->n);
			const rig_entry_t *entry =
				&f->rig.entries[f->n++ % f->rig.n_entries];

			platform_rig_send(&f->rig, entry->front, target, id,
					  is_engine ? "m0" : NULL, 2000, reply);
			g_ptr_array_add(f->calls, reply);
		}
		platform_rig_run(&f->rig, TICK_MS);
		collect(f);
	}
}

static uint32_t falls(const fixture_t *f)
{
	uint32_t n = 0;

	for (int i = 0; i < WORKERS; i++)
		n += f->rig.workers[i].falls;
	return n;
}

/* Most rejections of one target in any second from this time on. */
static uint32_t most_rejections(const fixture_t *f, int64_t from_us)
{
	uint32_t most = 0;

	for (int w = 0; w < WORKERS; w++) {
		const GArray *at = f->rig.workers[w].rejected_us;
		guint first = 0;

		for (guint i = 0; i < at->len; i++) {
			int64_t now_us = g_array_index(at, int64_t, i);

			while (now_us - g_array_index(at, int64_t, first) >
				       1000000 ||
			       g_array_index(at, int64_t, first) < from_us) {
				if (first == i)
					break;
				first++;
			}
			if (now_us >= from_us)
				most = MAX(most, i - first + 1);
		}
	}
	return most;
}

/* Answers, of what the places could have served in that time. */
static double served_share(const fixture_t *f, uint32_t ms)
{
	int64_t sum_us = 0;
	uint32_t n = 0;

	for (int i = 0; i < WORKERS; i++) {
		sum_us += f->rig.workers[i].delivered_us;
		n += f->rig.workers[i].delivered;
	}
	if (n == 0)
		return 0.0;
	return f->answered * ((double)sum_us / n) /
	       (WORKERS * PLACES * 1e3 * ms);
}

/* Guards against targets that fall over under the requests that they have to
 * reject, as each instance finds out by asking that no place is free. */
static void test_targets_stay_up(fixture_t *f, gconstpointer data)
{
	const char *path = data;
	uint32_t falls_before;
	int64_t from_us;

	for (int i = 0; i < WORKERS; i++)
		f->rig.workers[i].brittle = 2;
	run_callers(f, path, CONTACT_MS);
	falls_before = falls(f);
	from_us = bsh_loop_clock_us();
	f->answered = 0;
	f->refused = 0;
	f->unknown = 0;
	run_callers(f, path, MEASURE_MS);
	g_test_message("falls=%u most rejections in 1 s=%u answered=%u "
		       "refused=%u blank=%u unknown=%u served=%.2f",
		       falls(f) - falls_before, most_rejections(f, from_us),
		       f->answered, f->refused, f->refused_blank, f->unknown,
		       served_share(f, MEASURE_MS));
	g_assert_cmpuint(falls(f) - falls_before, <=, FALLS_MAX);
	g_assert_cmpfloat(served_share(f, MEASURE_MS), >=, SERVED_MIN);
	g_assert_cmpuint(f->refused_blank, ==, 0);
}

/* Guards against two instances that both give out the places of a target: some
 * of those that have just started are not known yet to the one that gives them
 * out, and ask another one in its place. */
static void test_newcomers(fixture_t *f, gconstpointer data)
{
	const char *path = data;
	uint32_t falls_before;

	for (int i = 0; i < WORKERS; i++)
		f->rig.workers[i].brittle = 2;
	for (int i = 0; i < NEWCOMERS; i++)
		platform_rig_add_entry(&f->rig);
	for (int i = 0; i < NEWCOMERS; i++)
		platform_rig_wait_ready(&f->rig, &f->rig.entries[ENTRIES + i]);
	run_callers(f, path, CONTACT_MS);
	falls_before = falls(f);
	run_callers(f, path, MEASURE_MS);
	g_test_message("falls=%u, before %u", falls(f) - falls_before,
		       falls_before);
	g_assert_cmpuint(falls(f) - falls_before, <=, FALLS_MAX);
}

/* Lets the target that runs the request fall under requests of others. */
static void fall_under(fixture_t *f, const char *id)
{
	rig_reply_t reply = { 0 };
	rig_reply_t others[PLACES + 4] = { { 0 } };
	worker_t *used = NULL;
	uint32_t before = falls(f);

	platform_rig_send(&f->rig, f->rig.entries[0].front, "/book/same", id,
			  NULL, 2000, &reply);
	for (int ms = 0; ms < 1000 && used == NULL; ms += TICK_MS) {
		platform_rig_run(&f->rig, TICK_MS);
		for (int i = 0; i < WORKERS; i++)
			if ((platform_rig_run_workers(&f->rig, id) >> i & 1) !=
			    0)
				used = &f->rig.workers[i];
	}
	g_assert_nonnull(used);
	if (used == NULL)
		return;
	for (guint i = 0; i < G_N_ELEMENTS(others); i++) {
		g_autofree char *other = g_strdup_printf("%s-%u", id, i);

		platform_rig_send(&f->rig, used->address, "/other", other, NULL,
				  2000, &others[i]);
	}
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpuint(falls(f), ==, before + 1);
	platform_rig_run(&f->rig, f->rig.restart_ms + WORK_MS);
	platform_rig_reply_clear(&reply);
	for (guint i = 0; i < G_N_ELEMENTS(others); i++)
		platform_rig_reply_clear(&others[i]);
}

/* Guards against a request that is refused for good, as processes of brittle
 * targets have ended while it ran there. */
static void test_falls_accuse_no_request(fixture_t *f, gconstpointer data)
{
	rig_reply_t reply = { 0 };

	(void)data;
	for (int i = 0; i < WORKERS; i++)
		f->rig.workers[i].brittle = 2;
	f->rig.restart_ms = 300;
	/* An answer that says so comes before the first fall. */
	platform_rig_send(&f->rig, f->rig.entries[0].front, "/look/first",
			  "first", NULL, 2000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	platform_rig_reply_clear(&reply);
	for (int i = 0; i < 4; i++) {
		g_autofree char *id = g_strdup_printf("same%d", i);

		fall_under(f, id);
	}
	platform_rig_send(&f->rig, f->rig.entries[0].front, "/book/same",
			  "last", NULL, 2000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	g_assert_cmpint(reply.status, ==, 200);
	platform_rig_reply_clear(&reply);
}

static uint64_t counter_of(fixture_t *f, const char *name)
{
	rig_reply_t reply = { 0 };
	const char *at;
	uint64_t value = 0;

	platform_rig_send(&f->rig, f->rig.entries[0].metrics, "/metrics", "m",
			  NULL, 2000, &reply);
	platform_rig_wait(&f->rig, &reply.done);
	at = strstr(reply.body, name);
	/* The lines before it name it, too. */
	for (; at != NULL; at = strstr(at + 1, name))
		if (at[strlen(name)] == ' ')
			value = g_ascii_strtoull(at + strlen(name), NULL, 10);
	platform_rig_reply_clear(&reply);
	return value;
}

/* Guards against requests that are delayed by asking for places at targets that
 * are hardly used. */
static void test_calm_service_is_not_asked(fixture_t *f, gconstpointer data)
{
	uint64_t before = 0;

	(void)data;
	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("calm%d", i);
		rig_reply_t reply = { 0 };

		platform_rig_send(&f->rig, f->rig.entries[0].front, "/look/1",
				  id, NULL, 2000, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		g_assert_cmpint(reply.status, ==, 200);
		platform_rig_reply_clear(&reply);
		platform_rig_run(&f->rig, 100);
		if (i == 0)
			before = counter_of(f, "bsh_place_waits_total");
	}
	g_assert_cmpuint(counter_of(f, "bsh_place_waits_total"), ==, before);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* One case that fails does not keep the others from running. */
	g_test_set_nonfatal_assertions();
	g_test_add("/brittle/calls", fixture_t, "/book/", set_up,
		   test_targets_stay_up, tear_down);
	g_test_add("/brittle/lookups", fixture_t, "/look/", set_up,
		   test_targets_stay_up, tear_down);
	g_test_add("/brittle/streams", fixture_t, "/stream/", set_up,
		   test_targets_stay_up, tear_down);
	g_test_add("/brittle/newcomers", fixture_t, "/stream/", set_up,
		   test_newcomers, tear_down);
	g_test_add("/brittle/calm-service-is-not-asked", fixture_t, "/look/",
		   set_up, test_calm_service_is_not_asked, tear_down);
	g_test_add("/brittle/falls-accuse-no-request", fixture_t, "/look/",
		   set_up, test_falls_accuse_no_request, tear_down);
	return g_test_run();
}
