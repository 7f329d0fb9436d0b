#include <string.h>

#include "coordination/attempt.h"
#include "support/sim.h"
#include "support/world.h"

static struct {
	bsh_attempts_t set;
	bsh_attempt_t a;
	int enqueued;
	int retries;
	int cancelled;
	int released;
	int detached;
	int finished;
	int results[3];
	bsh_error_t err;
	bsh_outcome_t outcome;
	int records;
	bsh_outcome_t recorded;
	char text[BSH_ATTEMPT_ID_SIZE];
} t;

static void on_intent(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	(void)a;
}

static void on_enqueue(void *ctx, bsh_attempt_t *a, bool retry)
{
	(void)ctx;
	(void)a;
	t.enqueued++;
	t.retries += retry;
}

static void on_dequeue(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	(void)a;
}

static void on_cancel(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	(void)a;
	t.cancelled++;
}

static void on_release(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	(void)a;
	t.released++;
}

static void on_result(void *ctx, bsh_attempt_t *a, bsh_route_result_t result)
{
	(void)ctx;
	(void)a;
	t.results[result]++;
}

static void on_detach(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome)
{
	(void)ctx;
	(void)a;
	t.detached++;
	t.err = err;
	t.outcome = outcome;
}

static void on_record(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome)
{
	(void)ctx;
	(void)a;
	t.records++;
	t.recorded = outcome;
}

static void on_finish(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome, uint32_t retry_ms)
{
	(void)ctx;
	(void)a;
	(void)retry_ms;
	t.finished++;
	t.err = err;
	t.outcome = outcome;
}

static void setup(bool repeatable, bool has_key, bool stream)
{
	static const bsh_attempt_ops_t ops = { .intent = on_intent,
					       .enqueue = on_enqueue,
					       .dequeue = on_dequeue,
					       .cancel = on_cancel,
					       .release = on_release,
					       .target_result = on_result,
					       .detach = on_detach,
					       .record = on_record,
					       .finish = on_finish };
	bsh_attempt_spec_t spec = { .deadline_us = 10 * SIM_S,
				    .first_us = 100 * SIM_MS,
				    .repeatable = repeatable,
				    .has_key = has_key,
				    .stream = stream,
				    .engine = repeatable };
	bsh_attempts_config_t config;

	memset(&t, 0, sizeof(t));
	bsh_attempts_config_default(&config);
	bsh_attempts_init(&t.set, &config, 9, &ops, NULL);
	t.set.budget.tokens = 5;
	g_assert_cmpint(bsh_attempt_begin(&t.set, &t.a, &spec, 0), ==, BSH_OK);
}

static void start(bool sent, int64_t now_us)
{
	bsh_route_choice_t target = { .target = 1, .incarnation = 1 };

	g_assert_true(bsh_attempt_start(&t.set, &t.a, &target, now_us));
	if (sent)
		bsh_attempt_sent(&t.set, &t.a.id, now_us);
	bsh_request_id_print(&t.a.id, t.text);
}

static bsh_answer_verdict_t head(int status, int64_t length, bool stream,
				 int64_t now_us)
{
	bsh_answer_head_t h = { .status = (uint16_t)status,
				.request_id = t.text,
				.length = length,
				.chunked = length < 0,
				.event_stream = stream };

	return bsh_attempt_head(&t.set, &t.a.id, &h, now_us);
}

/* Guards against a request id that is changed by printing and parsing it, and
 * against accepting text that is no id. */
static void test_request_id(void)
{
	bsh_request_id_t id = { UINT64_MAX, 77, 3 };
	bsh_request_id_t copy;
	char text[BSH_ATTEMPT_ID_SIZE];

	bsh_request_id_print(&id, text);
	g_assert_cmpint(bsh_request_id_parse(text, &copy), ==, BSH_OK);
	g_assert_cmpmem(&id.incarnation, 16, &copy.incarnation, 16);
	g_assert_cmpuint(copy.attempt, ==, 3);
	text[16] = '+';
	g_assert_cmpint(bsh_request_id_parse(text, &copy), ==, BSH_ERR_INVALID);
	g_assert_cmpint(bsh_request_id_parse("7", &copy), ==, BSH_ERR_INVALID);
	g_assert_cmpint(bsh_request_id_parse(NULL, &copy), ==, BSH_ERR_INVALID);
}

/* Guards against the retry of a non-repeatable call that may have run: its
 * connection is lost, or no answer is received, after it was sent. */
static void test_non_repeatable_sent_once(void)
{
	setup(false, false, false);
	start(false, 0);
	bsh_attempt_failed(&t.set, &t.a.id, 10);
	g_assert_cmpint(t.retries, ==, 1);
	start(true, 20);
	bsh_attempt_failed(&t.set, &t.a.id, 30);
	g_assert_cmpint(t.retries, ==, 1);
	g_assert_cmpint(t.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
	/* Without an answer its outcome is unknown at the deadline. */
	setup(false, false, false);
	start(true, 0);
	bsh_attempts_tick(&t.set, 9 * SIM_S);
	g_assert_cmpint(t.finished, ==, 0);
	bsh_attempts_tick(&t.set, bsh_attempts_next_us(&t.set));
	g_assert_cmpint(t.err, ==, BSH_ERR_TIMEOUT);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
	g_assert_cmpint(t.retries, ==, 0);
}

/* Guards against the outcome not-run for a request whose second attempt is
 * refused after its first one may have run. */
static void test_outcome_covers_all_attempts(void)
{
	setup(true, false, false);
	start(true, 0);
	bsh_attempt_failed(&t.set, &t.a.id, 10);
	g_assert_cmpint(t.retries, ==, 1);
	bsh_attempt_refused(&t.set, &t.a, BSH_ERR_DEADLINE, 100, 20);
	g_assert_cmpint(t.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
}

/* Guards against a refusal that is taken from the answer to another request or
 * from a 503 of a service that does not return X-Request-Id. */
static void test_refusal_needs_matching_id(void)
{
	setup(true, false, false);
	start(true, 0);
	g_assert_cmpint(head(429, 0, false, 10), ==, BSH_ANSWER_DROP);
	g_assert_cmpint(t.retries, ==, 1);
	g_assert_false(t.a.may_have_run);
	start(true, 20);
	t.text[0] ^= 1;
	g_assert_cmpint(head(429, 0, false, 30), ==, BSH_ANSWER_DROP);
	g_assert_true(t.a.may_have_run);
	g_assert_cmpint(t.set.mismatched, ==, 1);
	/* A 503 of a plain service does not prove that nothing ran. */
	setup(false, false, false);
	start(true, 0);
	g_assert_cmpint(head(503, 0, false, 10), ==, BSH_ANSWER_HOLD);
}

/* Guards against a truncated answer that counts as complete: a stream without
 * [DONE], a short body, or one delimited only by the end of the connection. */
static void test_incomplete_answer(void)
{
	setup(true, false, true);
	start(true, 0);
	g_assert_cmpint(head(200, -1, true, 10), ==, BSH_ANSWER_HOLD);
	g_assert_cmpint(bsh_attempt_body(&t.set, &t.a.id, 9, false, 20), ==,
			BSH_ANSWER_FORWARD);
	bsh_attempt_end(&t.set, &t.a.id, 30);
	g_assert_cmpint(t.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_cmpint(t.retries, ==, 0);
	setup(true, false, true);
	start(true, 0);
	head(200, -1, true, 10);
	bsh_attempt_body(&t.set, &t.a.id, 9, true, 20);
	bsh_attempt_failed(&t.set, &t.a.id, 30);
	g_assert_cmpint(t.err, ==, BSH_OK);
	/* A short body, and one delimited by the end of the connection. */
	for (int length = 100; length >= -1; length -= 101) {
		bsh_answer_head_t h = { .status = 200, .length = length };

		setup(false, false, false);
		start(true, 0);
		bsh_attempt_head(&t.set, &t.a.id, &h, 10);
		bsh_attempt_body(&t.set, &t.a.id, 99, false, 20);
		bsh_attempt_end(&t.set, &t.a.id, 30);
		g_assert_cmpint(t.err, ==, BSH_ERR_CONNECTION_LOST);
		g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
	}
}

/* Guards against a connection without an answer that delays a request until its
 * deadline, and against use of a late answer of the replaced attempt. */
static void test_silent_attempt_is_replaced(void)
{
	bsh_request_id_t old;

	setup(true, false, false);
	start(true, 0);
	old = t.a.id;
	bsh_attempts_tick(&t.set, 2 * SIM_S);
	g_assert_cmpint(t.retries, ==, 1);
	g_assert_cmpint(t.cancelled, ==, 1);
	start(true, 2 * SIM_S);
	g_assert_cmpint(bsh_attempt_body(&t.set, &old, 1, false, 3 * SIM_S), ==,
			BSH_ANSWER_DROP);
	g_assert_cmpuint(t.set.late, ==, 1);
	g_assert_cmpint(head(200, 5, false, 3 * SIM_S), ==, BSH_ANSWER_HOLD);
	/* At the deadline the held bytes are sent to the caller. */
	bsh_attempt_body(&t.set, &t.a.id, 3, false, 4 * SIM_S);
	bsh_attempts_tick(&t.set, 10 * SIM_S);
	g_assert_cmpint(t.released, ==, 1);
	bsh_attempt_body(&t.set, &t.a.id, 2, false, 11 * SIM_S);
	bsh_attempt_end(&t.set, &t.a.id, 11 * SIM_S);
	g_assert_cmpint(t.err, ==, BSH_OK);
}

/* Guards against a call that is lost because its silent target was given up and
 * no other target takes it. */
static void test_silent_attempt_is_kept(void)
{
	bsh_request_id_t old;

	setup(true, false, false);
	start(true, 0);
	old = t.a.id;
	bsh_attempts_tick(&t.set, 2 * SIM_S);
	/* No other target is usable. */
	bsh_attempt_refused(&t.set, &t.a, BSH_ERR_CAPACITY, 0, 2 * SIM_S);
	/* The first one goes on. */
	t.a.id = old;
	head(200, 5, false, 3 * SIM_S);
	bsh_attempt_body(&t.set, &old, 5, false, 3 * SIM_S);
	bsh_attempt_end(&t.set, &old, 3 * SIM_S);
	g_assert_cmpint(t.finished, ==, 1);
	g_assert_cmpint(t.err, ==, BSH_OK);
}

/* Guards against a retry when the retry budget is empty. */
static void test_no_retry_without_budget(void)
{
	setup(true, false, false);
	t.set.budget.tokens = 0;
	start(false, 0);
	bsh_attempt_failed(&t.set, &t.a.id, 10);
	g_assert_cmpint(t.err, ==, BSH_ERR_CONNECT);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_NOT_RUN);
	g_assert_cmpint(t.retries, ==, 0);
}

/* Guards against the loss of the result of a call with an idempotency key when
 * its caller disconnects or its deadline passes. */
static void test_keyed_call_runs_to_end(void)
{
	for (int gone = 0; gone < 2; gone++) {
		setup(false, true, false);
		g_assert_cmpint(t.enqueued, ==, 0);
		g_assert_true(bsh_attempt_intent(&t.set, &t.a.id,
						 BSH_INTENT_RUN, 0, 5));
		start(true, 10);
		if (gone == 1)
			bsh_attempt_caller_gone(&t.set, &t.a, 20);
		bsh_attempts_tick(&t.set, 10 * SIM_S);
		g_assert_cmpint(t.detached, ==, 1 - gone);
		g_assert_cmpint(t.finished, ==, 0);
		head(200, 2, false, 11 * SIM_S);
		bsh_attempt_body(&t.set, &t.a.id, 2, false, 11 * SIM_S);
		bsh_attempt_end(&t.set, &t.a.id, 11 * SIM_S);
		g_assert_cmpint(t.records, ==, 1);
		g_assert_cmpint(t.recorded, ==, BSH_OUTCOME_ANSWERED);
		g_assert_cmpint(t.finished, ==, 1);
	}
}

/* Guards against an intent that stays open after its request was refused or
 * timed out. */
static void test_intent_is_withdrawn(void)
{
	setup(false, true, false);
	bsh_attempts_tick(&t.set, 10 * SIM_S);
	g_assert_cmpint(t.err, ==, BSH_ERR_DEADLINE);
	g_assert_cmpint(t.records, ==, 1);
	g_assert_cmpint(t.recorded, ==, BSH_OUTCOME_NOT_RUN);
	g_assert_false(bsh_attempt_intent(&t.set, &t.a.id, BSH_INTENT_RUN, 0,
					  11 * SIM_S));
	g_assert_cmpint(t.enqueued, ==, 0);
	setup(false, true, false);
	bsh_attempt_intent(&t.set, &t.a.id, BSH_INTENT_RUN, 0, 5);
	bsh_attempt_refused(&t.set, &t.a, BSH_ERR_CAPACITY, 100, 10);
	g_assert_cmpint(t.recorded, ==, BSH_OUTCOME_NOT_RUN);
	/* The record of another request must not be changed. */
	setup(false, true, false);
	bsh_attempt_intent(&t.set, &t.a.id, BSH_INTENT_IN_PROGRESS, 100, 5);
	g_assert_cmpint(t.records, ==, 0);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
}

/* Guards against a request that runs on at the target after its caller has
 * disconnected. */
static void test_caller_cancels(void)
{
	setup(true, false, true);
	start(true, 0);
	bsh_attempt_caller_gone(&t.set, &t.a, 10);
	g_assert_cmpint(t.cancelled, ==, 1);
	g_assert_cmpint(t.results[BSH_ROUTE_NEUTRAL], ==, 1);
	g_assert_cmpint(t.err, ==, BSH_ERR_CANCELLED);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
}

/* Guards against a request lost because its target became leaving during the
 * connection set-up, and against a charge of that to the retry budget. */
static void test_target_leaving_before_send(void)
{
	setup(true, false, true);
	t.set.budget.tokens = 0;
	start(false, 0);
	bsh_attempt_target_leaving(&t.set, &t.a.id, 10);
	g_assert_cmpint(t.retries, ==, 1);
	g_assert_cmpint(t.results[BSH_ROUTE_FAILURE], ==, 0);
}

/* Simulations of complete instances. */

static void init_world(world_t *w, uint32_t seed, uint32_t faults, int requests)
{
	world_init(w, &berylshunt_adapter, seed, faults, 1);
	w->requests = requests;
	w->span_us = requests * 50 * SIM_MS;
	w->fault_duration_max_us = w->span_us;
	w->weights[KIND_STREAM] = 2;
	w->weights[KIND_PLAIN] = 1;
}

/* Guards against proofs (regress/prove) that pass only because requests are
 * refused: without faults every request succeeds and runs once. */
static void test_no_faults(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		world_t w;

		init_world(&w, seed, 0, 100);
		w.weights[KIND_DEPOSIT] = 1;
		world_run(&w);
		for (guint i = 0; i < w.submissions->len; i++) {
			const submission_t *sub =
				g_ptr_array_index(w.submissions, i);

			g_assert_true(sub->ok);
			g_assert_cmpint(sub->executions, ==, 1);
		}
		world_finish(&w);
	}
}

/* Guards against retries that amplify an outage: while half of the targets
 * fail, at most 1.1 connections are opened per request. */
static void test_retry_amplification(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		world_t w;
		int first_tries = 0;

		init_world(&w, seed, 0, 1000);
		w.dead_targets = 1 << 0 | 1 << 2;
		world_run(&w);
		for (guint i = 0; i < w.submissions->len; i++) {
			const submission_t *sub =
				g_ptr_array_index(w.submissions, i);

			first_tries += sub->submitted_us > 0;
		}
		g_test_message("seed %u: %d connections for %d requests", seed,
			       w.opened, first_tries);
		g_assert_cmpint(w.opened * 10, <=, first_tries * 11);
		g_assert_cmpint(w.opened, >, first_tries / 2);
		world_finish(&w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/request-id", test_request_id);
	g_test_add_func("/attempt/non-repeatable",
			test_non_repeatable_sent_once);
	g_test_add_func("/attempt/earlier-attempt",
			test_outcome_covers_all_attempts);
	g_test_add_func("/attempt/refusal", test_refusal_needs_matching_id);
	g_test_add_func("/attempt/completeness", test_incomplete_answer);
	g_test_add_func("/attempt/silent", test_silent_attempt_is_replaced);
	g_test_add_func("/attempt/silent-is-kept", test_silent_attempt_is_kept);
	g_test_add_func("/attempt/budget", test_no_retry_without_budget);
	g_test_add_func("/attempt/keyed", test_keyed_call_runs_to_end);
	g_test_add_func("/attempt/withdrawn", test_intent_is_withdrawn);
	g_test_add_func("/attempt/cancel", test_caller_cancels);
	g_test_add_func("/attempt/target-leaving",
			test_target_leaving_before_send);
	g_test_add_func("/requests/no-faults", test_no_faults);
	g_test_add_func("/requests/amplification", test_retry_amplification);
	return g_test_run();
}
