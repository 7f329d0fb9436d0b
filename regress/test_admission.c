#include <string.h>

#include "coordination/admission.h"
#include "coordination/drain.h"
#include "support/sim.h"

static struct {
	bsh_admission_t adm;
	int room; /* requests that the targets accept */
	bool cold;
	bool none; /* no target for the request */
	int needs;
	int started[8]; /* by request->user */
	int last_started;
	int refused;
	bsh_error_t err;
	uint32_t retry_ms[512];
} t;

static bsh_start_t on_start(void *ctx, bsh_admission_request_t *request)
{
	(void)ctx;
	if (t.none)
		return BSH_START_NONE;
	if (t.cold)
		return BSH_START_COLD;
	if (t.room == 0)
		return BSH_START_FULL;
	t.room--;
	t.started[GPOINTER_TO_INT(request->user) % 8]++;
	t.last_started = GPOINTER_TO_INT(request->user);
	return BSH_START_OK;
}

static void on_refuse(void *ctx, bsh_admission_request_t *request,
		      bsh_error_t err, uint32_t retry_ms)
{
	(void)ctx;
	(void)request;
	t.err = err;
	t.retry_ms[t.refused++ % 512] = retry_ms;
}

static void on_need(void *ctx, const char *key, uint8_t priority,
		    int64_t deadline_us)
{
	(void)ctx;
	(void)key;
	(void)priority;
	(void)deadline_us;
	t.needs++;
}

static void declare(const char *key, uint8_t priority)
{
	bsh_admission_model_config_t config = { .priority = priority,
						.load_us = 5 * SIM_S,
						.first_us = 100 * SIM_MS,
						.service_us = SIM_S,
						.load_slots = 4 };

	g_assert_cmpint(bsh_admission_declare(&t.adm, key, &config), ==,
			BSH_OK);
}

static void setup(void)
{
	static const bsh_admission_ops_t ops = { on_start, on_refuse, on_need };
	bsh_admission_config_t config;

	memset(&t, 0, sizeof(t));
	bsh_admission_config_default(&config);
	config.max_waiting_model = 64;
	bsh_admission_init(&t.adm, &config, &ops, NULL);
	declare("m", 3);
}

static void teardown(void)
{
	bsh_admission_refuse_all(&t.adm, BSH_ERR_DRAINING, 0);
	g_assert_cmpuint(t.adm.waiting, ==, 0);
	bsh_admission_finish(&t.adm);
}

static void submit(bsh_admission_request_t *w, const char *key, int user,
		   uint8_t priority, int64_t deadline_us)
{
	memset(w, 0, sizeof(*w));
	w->user = GINT_TO_POINTER(user);
	w->priority = priority;
	w->deadline_us = deadline_us;
	bsh_admission_submit(&t.adm, key, w, 0);
}

/* Guards against a NEED for each request that waits for a cold model, and
 * against requests that stay queued although NEED_ANSWER estimates the load to
 * end after their deadline. */
static void test_one_load(void)
{
	bsh_admission_request_t w[20];

	setup();
	t.cold = true;
	for (int i = 0; i < 20; i++)
		submit(&w[i], "m", i, 3, i < 10 ? 2 * SIM_S : 30 * SIM_S);
	g_assert_cmpint(t.needs, ==, 1);
	g_assert_cmpint(t.refused, ==, 0);
	bsh_admission_load_accepted(&t.adm, "m", 3 * SIM_S, 10 * SIM_MS);
	g_assert_cmpint(t.refused, ==, 10);
	g_assert_cmpint(t.err, ==, BSH_ERR_DEADLINE);
	submit(&w[0], "m", 0, 3, 2 * SIM_S);
	g_assert_cmpint(t.refused, ==, 11);
	t.cold = false;
	t.room = 100;
	bsh_admission_set_slots(&t.adm, "m", 4, 3 * SIM_S);
	g_assert_cmpint(t.room, ==, 90);
	g_assert_cmpint(t.needs, ==, 1);
	teardown();
}

/* Guards against requests that are held up to their deadline because no
 * controller answers NEED. */
static void test_unanswered_need(void)
{
	bsh_admission_request_t w;

	setup();
	t.cold = true;
	submit(&w, "m", 0, 3, 4 * SIM_S);
	while (t.refused == 0) {
		int64_t at_us = bsh_admission_next_us(&t.adm);

		g_assert_cmpint(at_us, <, SIM_S);
		bsh_admission_tick(&t.adm, at_us);
	}
	g_assert_cmpint(t.needs, >=, 2);
	teardown();
}

/* Guards against a request that is queued, or that sends a new NEED, right
 * after the controller refused the load. */
static void test_load_refused(void)
{
	bsh_admission_request_t w[2];

	setup();
	t.cold = true;
	submit(&w[0], "m", 0, 3, 30 * SIM_S);
	bsh_admission_load_refused(&t.adm, "m", 4000, 10);
	g_assert_cmpint(t.err, ==, BSH_ERR_CAPACITY);
	g_assert_cmpuint(t.retry_ms[0], >=, 4000);
	submit(&w[1], "m", 1, 3, 30 * SIM_S);
	g_assert_cmpint(t.refused, ==, 2);
	g_assert_cmpint(t.needs, ==, 1);
	teardown();
}

/* Guards against a queue longer than what can start before the deadline, and
 * against a request of high priority that is started after earlier requests of
 * low priority. */
static void test_queue_position(void)
{
	bsh_admission_request_t w[100];
	int queued;

	setup();
	bsh_admission_set_slots(&t.adm, "m", 4, 0);
	for (int i = 0; i < 40; i++)
		submit(&w[i], "m", i, 5, 5 * SIM_S);
	queued = 40 - t.refused;
	/* One start per 250 ms: about 20 of them before the deadline. */
	g_assert_cmpint(queued, >=, 15);
	g_assert_cmpint(queued, <=, 25);
	submit(&w[50], "m", 77, 0, 4 * SIM_S);
	t.room = 1;
	bsh_admission_ended(&t.adm, "m", -1, 10);
	g_assert_cmpint(t.last_started, ==, 77);
	teardown();
}

/* Guards against a queue longer than max_waiting_model, and against a full
 * queue that refuses a request of higher priority. */
static void test_queue_limit(void)
{
	static bsh_admission_request_t w[100];
	bsh_admission_request_t high;

	setup();
	bsh_admission_set_slots(&t.adm, "m", 1000, 0);
	for (int i = 0; i < 100; i++)
		submit(&w[i], "m", i, 5, 60 * SIM_S);
	g_assert_cmpuint(bsh_admission_waiting(&t.adm, "m"), ==, 64);
	g_assert_cmpint(t.err, ==, BSH_ERR_CAPACITY);
	submit(&high, "m", 0, 1, 60 * SIM_S);
	g_assert_nonnull(high.model);
	g_assert_cmpuint(bsh_admission_waiting(&t.adm, "m"), ==, 64);
	teardown();
}

/* Guards against one caller that fills the queue, so that the requests of all
 * others are refused. */
static void test_caller_share(void)
{
	static bsh_admission_request_t w[100];
	bsh_admission_request_t other;

	setup();
	bsh_admission_set_slots(&t.adm, "m", 1000, 0);
	for (int i = 0; i < 100; i++) {
		memset(&w[i], 0, sizeof(w[i]));
		w[i].caller = i < 4 ? (uint64_t)(100 + i) : 7;
		w[i].deadline_us = 60 * SIM_S;
		bsh_admission_submit(&t.adm, "m", &w[i], 0);
	}
	g_assert_cmpint(t.err, ==, BSH_ERR_RATE_LIMITED);
	g_assert_cmpuint(bsh_admission_waiting(&t.adm, "m"), <, 40);
	memset(&other, 0, sizeof(other));
	other.caller = 8;
	other.deadline_us = 60 * SIM_S;
	g_assert_cmpint(bsh_admission_submit(&t.adm, "m", &other, 0), ==,
			BSH_OK);
	teardown();
}

/* Guards against a model with many requests that starves another model on the
 * same targets. */
static void test_fair_shares(void)
{
	static bsh_admission_request_t w[120];

	setup();
	declare("low", 9);
	declare("high", 0);
	bsh_admission_set_slots(&t.adm, "m", 1000, 0);
	bsh_admission_set_slots(&t.adm, "low", 1000, 0);
	bsh_admission_set_slots(&t.adm, "high", 1000, 0);
	for (int i = 0; i < 40; i++) {
		submit(&w[i], "high", 1, 3, 60 * SIM_S);
		submit(&w[40 + i], "low", 2, 3, 60 * SIM_S);
	}
	t.room = 22;
	bsh_admission_ended(&t.adm, "m", -1, 10);
	/* Weights 10 and 1. */
	g_assert_cmpint(t.started[1], >=, 18);
	g_assert_cmpint(t.started[2], >=, 2);
	teardown();
}

/* Guards against a burst of refusals with similar Retry-After, after which all
 * callers retry at the same time. */
static void test_retry_after_spreads(void)
{
	static bsh_admission_request_t w[400];
	int in_second[61] = { 0 };

	setup();
	t.cold = true;
	for (int i = 0; i < 60; i++)
		submit(&w[i], "m", i, 3, 30 * SIM_S);
	bsh_admission_load_refused(&t.adm, "m", 2000, 0);
	for (int i = 60; i < 400; i++)
		submit(&w[i], "m", i, 3, 30 * SIM_S);
	g_assert_cmpint(t.refused, ==, 400);
	for (int i = 0; i < 400; i++) {
		g_assert_cmpuint(t.retry_ms[i], <=, BSH_ADMISSION_MAX_RETRY_MS);
		in_second[t.retry_ms[i] / 1000]++;
	}
	for (int i = 0; i < 61; i++)
		g_assert_cmpint(in_second[i], <=, 24);
	teardown();
}

/* Guards against a request without a target that blocks its queue, and against
 * counting it as started. */
static void test_no_target(void)
{
	bsh_admission_request_t w[2];

	setup();
	t.none = true;
	submit(&w[0], "m", 0, 3, 9 * SIM_S);
	g_assert_cmpint(t.refused, ==, 1);
	g_assert_cmpint(t.err, ==, BSH_ERR_CAPACITY);
	t.none = false;
	submit(&w[0], "m", 0, 3, 9 * SIM_S);
	submit(&w[1], "m", 1, 3, 9 * SIM_S);
	g_assert_cmpuint(t.adm.waiting, ==, 2);
	t.none = true;
	bsh_admission_tick(&t.adm, BSH_ADMISSION_TICK_US);
	g_assert_cmpint(t.refused, ==, 3);
	g_assert_cmpuint(t.adm.waiting, ==, 0);
	g_assert_cmpint(t.started[0] + t.started[1], ==, 0);
	teardown();
}

/* Guards against an estimate above all deadlines that is never corrected: it
 * refuses every request, so no request measures a new value. */
static void test_estimate_recovers(void)
{
	bsh_admission_request_t w = { .deadline_us = 21 * SIM_S };

	setup();
	t.room = 1;
	bsh_admission_set_slots(&t.adm, "m", 4, 0);
	bsh_admission_first_byte(&t.adm, "m", 50 * SIM_S, 10 * SIM_S);
	bsh_admission_submit(&t.adm, "m", &w, 11 * SIM_S);
	g_assert_cmpint(t.refused, ==, 1);
	bsh_admission_submit(&t.adm, "m", &w, 16 * SIM_S);
	g_assert_cmpint(t.refused, ==, 1);
	teardown();
}

/* Drain. */

static int callbacks_called;
static int exits;
static bool was_clean;

static void on_callback(void *ctx)
{
	(void)ctx;
	callbacks_called++;
}

static void on_drained(void *ctx, bool clean)
{
	(void)ctx;
	exits++;
	was_clean = clean;
}

/* Guards against a shutdown that ends before its requests, and against one that
 * waits for an idle connection without a time limit. */
static void test_drain(void)
{
	static const bsh_drain_ops_t ops = { on_callback, on_callback,
					     on_callback, on_callback,
					     on_callback, on_drained };
	bsh_drain_t drain;

	bsh_drain_init(&drain, 60000, &ops, NULL);
	g_assert_true(bsh_drain_admit(&drain));
	bsh_drain_set(&drain, BSH_DRAIN_CONNECTIONS, 2, 0);
	bsh_drain_begin(&drain, SIM_S);
	g_assert_cmpint(callbacks_called, ==, 5);
	g_assert_false(bsh_drain_admit(&drain));
	bsh_drain_begin(&drain, 2 * SIM_S);
	bsh_drain_tick(&drain, 3600 * SIM_S);
	g_assert_cmpint(exits, ==, 0);
	g_assert_cmpstr(bsh_drain_left(&drain), ==, "requests");
	bsh_drain_release(&drain, 3600 * SIM_S);
	g_assert_cmpint(exits, ==, 1);
	g_assert_false(was_clean);
	bsh_drain_init(&drain, 60000, &ops, NULL);
	bsh_drain_begin(&drain, SIM_S);
	g_assert_cmpint(exits, ==, 2);
	g_assert_true(was_clean);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/one-load", test_one_load);
	g_test_add_func("/admission/silent-controller", test_unanswered_need);
	g_test_add_func("/admission/refused-load", test_load_refused);
	g_test_add_func("/admission/queue-place", test_queue_position);
	g_test_add_func("/admission/bounded", test_queue_limit);
	g_test_add_func("/admission/caller-share", test_caller_share);
	g_test_add_func("/admission/fair-shares", test_fair_shares);
	g_test_add_func("/admission/retry-after", test_retry_after_spreads);
	g_test_add_func("/admission/estimate", test_estimate_recovers);
	g_test_add_func("/admission/no-target", test_no_target);
	g_test_add_func("/drain/end", test_drain);
	return g_test_run();
}
