/* What targets say of themselves in answers: that they leave, and that they want
 * no request for a time. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "support/platform_rig.h"

#define DRAIN_MS 1000
#define TICK_MS	 20
/* Shorter than the latency objective. */
#define SHORT_DEADLINE_MS 300

typedef struct {
	platform_rig_t rig;
	GPtrArray *replies; /* rig_reply_t, open */
	uint32_t n;	    /* requests sent */
	uint32_t served;
	uint32_t refused;
	uint32_t refused_slowly;
	double retry_after_s; /* the longest one */
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
	platform_rig_init(&f->rig);
	platform_rig_configure(&f->rig, NULL);
	platform_rig_add_worker(&f->rig, "llm", "m0");
	for (int i = 0; i < GPOINTER_TO_INT(data); i++)
		platform_rig_add_worker(&f->rig, "desk", NULL)->work_ms = 5;
	platform_rig_add_entry(&f->rig);
	platform_rig_wait_ready(&f->rig, &f->rig.entries[0]);
	platform_rig_run(&f->rig, 300);
	f->replies = g_ptr_array_new_with_free_func(g_free);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (guint i = 0; i < f->replies->len; i++)
		platform_rig_reply_clear(g_ptr_array_index(f->replies, i));
	g_ptr_array_free(f->replies, TRUE);
	platform_rig_finish(&f->rig);
}

static void send_call(fixture_t *f)
{
	rig_reply_t *reply = g_new0(rig_reply_t, 1);
	g_autofree char *id = g_strdup_printf("n%u", f->n);
	g_autofree char *path = g_strdup_printf("/look/%u", f->n++);

	platform_rig_send(&f->rig, f->rig.entries[0].front, path, id, NULL,
			  3000, reply);
	g_ptr_array_add(f->replies, reply);
}

static void collect(fixture_t *f)
{
	for (guint i = f->replies->len; i > 0; i--) {
		rig_reply_t *reply = g_ptr_array_index(f->replies, i - 1);

		if (!reply->done)
			continue;
		f->served += reply->status == 200;
		if (reply->status == 503) {
			f->refused++;
			f->refused_slowly += reply->took_us > 400000;
			if (reply->retry_after != NULL)
				f->retry_after_s =
					MAX(f->retry_after_s,
					    g_ascii_strtod(reply->retry_after,
							   NULL));
		}
		platform_rig_reply_clear(reply);
		g_ptr_array_remove_index_fast(f->replies, i - 1);
	}
}

static void run_callers(fixture_t *f, uint32_t ms)
{
	for (uint32_t at = 0; at < ms; at += TICK_MS) {
		send_call(f);
		platform_rig_run(&f->rig, TICK_MS);
		collect(f);
	}
}

static worker_t *desk(fixture_t *f, int i)
{
	return &f->rig.workers[1 + i];
}

/* Guards against requests that reach a target long after it has said in an answer
 * that it leaves, when its entry in the list says nothing of it. */
static void test_leaving(fixture_t *f, gconstpointer data)
{
	worker_t *used;
	uint32_t runs;

	(void)data;
	run_callers(f, 400);
	used = desk(f, desk(f, 0)->runs > 0 ? 0 : 1);
	used->leaving = true;
	run_callers(f, DRAIN_MS);
	runs = used->runs;
	f->served = 0;
	run_callers(f, 1500);
	g_assert_cmpuint(used->runs, ==, runs);
	g_assert_cmpuint(f->refused, ==, 0);
	g_assert_cmpuint(f->served, >=, 70);
}

/* Guards against requests that are sent to the last target although it leaves,
 * and against a wait for a target that is not there. */
static void test_last_is_leaving(fixture_t *f, gconstpointer data)
{
	uint32_t runs;

	(void)data;
	desk(f, 0)->leaving = true;
	run_callers(f, DRAIN_MS);
	g_assert_cmpuint(f->served, >=, 40);
	runs = desk(f, 0)->runs;
	run_callers(f, 1500);
	g_assert_cmpuint(desk(f, 0)->runs, ==, runs);
	g_assert_cmpuint(f->refused, >=, 70);
	g_assert_cmpuint(f->refused_slowly, ==, 0);
}

/* Guards against requests to a target that has turned one away and named the time
 * for which it wants no other. */
static void test_paused(fixture_t *f, gconstpointer data)
{
	worker_t *used;
	uint32_t refused;

	(void)data;
	run_callers(f, 400);
	used = desk(f, desk(f, 0)->runs > 0 ? 0 : 1);
	used->mode = WORKER_IS_FULL;
	used->pause = "2.5";
	run_callers(f, 500);
	refused = used->refused;
	f->served = 0;
	run_callers(f, 1900);
	/* The platform's bound. */
	g_assert_cmpuint(used->refused - refused, <=, 2);
	g_assert_cmpuint(f->refused, ==, 0);
	g_assert_cmpuint(f->served, >=, 90);
	/* It is used again. */
	used->mode = WORKER_ANSWERS;
	desk(f, used == desk(f, 0) ? 1 : 0)->mode = WORKER_IS_FULL;
	run_callers(f, 1500);
	f->served = 0;
	run_callers(f, 500);
	g_assert_cmpuint(f->served, >=, 20);
}

/* Guards against a pause that is forgotten as the target's entry lapses and comes
 * back. */
static void test_paused_and_lapsed(fixture_t *f, gconstpointer data)
{
	worker_t *used;
	uint32_t refused;

	(void)data;
	run_callers(f, 400);
	used = desk(f, desk(f, 0)->runs > 0 ? 0 : 1);
	used->mode = WORKER_IS_FULL;
	used->pause = "30";
	run_callers(f, 500);
	refused = used->refused;
	g_assert_cmpuint(refused, >=, 1);
	platform_rig_remove_worker(used);
	run_callers(f, 4000);
	platform_rig_publish_worker(used, "ready");
	platform_rig_run(&f->rig, 300);
	/* The other target must not be the better choice.  The instance is stopped,
	 * so that it reads all of them before the first one can be answered. */
	desk(f, used == desk(f, 0) ? 1 : 0)->mode = WORKER_IS_FULL;
	platform_rig_signal(&f->rig.entries[0], SIGSTOP);
	for (int i = 0; i < 20; i++)
		send_call(f);
	platform_rig_run(&f->rig, 30);
	platform_rig_signal(&f->rig.entries[0], SIGCONT);
	run_callers(f, 500);
	/* The platform's bound. */
	g_assert_cmpuint(used->refused - refused, <=, 2);
}

/* Guards against requests that wait, or are sent, although all targets have named
 * a time, and against callers that are told to return before it. */
static void test_all_paused(fixture_t *f, gconstpointer data)
{
	uint32_t refused = 0;

	(void)data;
	run_callers(f, 400);
	for (int i = 0; i < 2; i++) {
		desk(f, i)->mode = WORKER_IS_FULL;
		desk(f, i)->pause = i == 0 ? "4" : "3";
	}
	run_callers(f, 500);
	for (int i = 0; i < 2; i++)
		refused += desk(f, i)->refused;
	f->refused = 0;
	f->refused_slowly = 0;
	f->retry_after_s = 0;
	run_callers(f, 400);
	for (int i = 0; i < 2; i++)
		refused -= desk(f, i)->refused;
	g_assert_cmpint(-(int)refused, <=, 4);
	g_assert_cmpuint(f->refused, >=, 15);
	g_assert_cmpuint(f->refused_slowly, ==, 0);
	g_assert_cmpfloat(f->retry_after_s, >, 2.0);
	g_assert_cmpfloat(f->retry_after_s, <=, 4.0);
}

/* Guards against requests that are held until their deadline although the pause of
 * all targets ends after it. */
static void test_pause_after_deadline(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (int i = 0; i < 2; i++) {
		desk(f, i)->mode = WORKER_IS_FULL;
		desk(f, i)->pause = "0.45";
	}
	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("d%d", i);
		rig_reply_t reply = { 0 };

		platform_rig_send(&f->rig, f->rig.entries[0].front, "/look/1",
				  id, NULL, SHORT_DEADLINE_MS, &reply);
		platform_rig_wait(&f->rig, &reply.done);
		g_assert_cmpint(reply.status, ==, 503);
		/* The first ones are sent to targets. */
		if (i >= 4)
			f->refused_slowly +=
				reply.took_us > SHORT_DEADLINE_MS * 1000 / 2;
		platform_rig_reply_clear(&reply);
	}
	g_assert_cmpuint(f->refused_slowly, ==, 0);
}

/* Guards against values of Retry-After that make no sense: they must neither stop
 * the instance nor keep a target away for ever. */
static void test_odd_pauses(fixture_t *f, gconstpointer data)
{
	static const char *const values[] = { "",
					      "0",
					      "-3",
					      "1e9",
					      "soon",
					      "nan",
					      "0x10",
					      "99999999999999999999",
					      "Thu, 01 Jan 1970 00:00:00 GMT" };

	(void)data;
	desk(f, 0)->mode = WORKER_IS_FULL;
	for (size_t i = 0; i < G_N_ELEMENTS(values) - 2; i++) {
		uint32_t refused = desk(f, 0)->refused;

		desk(f, 0)->pause = values[i];
		run_callers(f, 200);
		g_assert_cmpuint(desk(f, 0)->refused, >, refused);
	}
	g_assert_true(f->rig.entries[0].alive);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add("/target-notice/leaving", fixture_t, GINT_TO_POINTER(2),
		   set_up, test_leaving, tear_down);
	g_test_add("/target-notice/last-is-leaving", fixture_t,
		   GINT_TO_POINTER(1), set_up, test_last_is_leaving, tear_down);
	g_test_add("/target-notice/paused", fixture_t, GINT_TO_POINTER(2),
		   set_up, test_paused, tear_down);
	g_test_add("/target-notice/paused-and-lapsed", fixture_t,
		   GINT_TO_POINTER(2), set_up, test_paused_and_lapsed,
		   tear_down);
	g_test_add("/target-notice/pause-after-deadline", fixture_t,
		   GINT_TO_POINTER(2), set_up, test_pause_after_deadline,
		   tear_down);
	g_test_add("/target-notice/all-paused", fixture_t, GINT_TO_POINTER(2),
		   set_up, test_all_paused, tear_down);
	g_test_add("/target-notice/odd-pauses", fixture_t, GINT_TO_POINTER(1),
		   set_up, test_odd_pauses, tear_down);
	return g_test_run();
}
