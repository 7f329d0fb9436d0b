#include <string.h>

#include "coordination/attempt.h"
#include "support/sim.h"
#include "support/world.h"

static struct {
	bsh_attempts_t set;
	bsh_attempt_t a;
	int enqueued;
	int retries;
	int dequeued;
	int cancelled;
	uint32_t last_cancelled; /* number of the attempt */
	int released;
	int detached;
	int finished;
	int results[3];
	bsh_route_result_t result_of[4]; /* by the number of the attempt */
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
	t.dequeued++;
}

static void on_cancel(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	t.cancelled++;
	t.last_cancelled = a->id.attempt;
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
	t.results[result]++;
	t.result_of[a->id.attempt] = result;
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
 * deadline, against giving up the first target before the second one has
 * accepted, and against use of a late answer of the replaced attempt. */
static void test_silent_attempt_is_replaced(void)
{
	bsh_request_id_t old;

	setup(true, false, false);
	start(true, 0);
	old = t.a.id;
	bsh_attempts_tick(&t.set, 2 * SIM_S);
	g_assert_cmpint(t.retries, ==, 1);
	g_assert_cmpuint(bsh_attempt_kept_target(&t.a), ==, 1);
	start(true, 2 * SIM_S);
	bsh_attempts_tick(&t.set, 3 * SIM_S);
	g_assert_cmpint(t.cancelled, ==, 0);
	g_assert_cmpint(head(200, 5, false, 3 * SIM_S), ==, BSH_ANSWER_HOLD);
	g_assert_cmpint(t.cancelled, ==, 1);
	g_assert_cmpuint(t.last_cancelled, ==, 1);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_FAILURE);
	g_assert_cmpint(bsh_attempt_body(&t.set, &old, 1, false, 3 * SIM_S), ==,
			BSH_ANSWER_DROP);
	g_assert_cmpuint(t.set.late, ==, 1);
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

/* Starts a request whose target is silent until it is submitted again. */
static bsh_request_id_t start_silent(void)
{
	bsh_request_id_t first;

	setup(true, false, false);
	start(true, 0);
	first = t.a.id;
	bsh_attempts_tick(&t.set, 2 * SIM_S);
	g_assert_cmpint(t.retries, ==, 1);
	return first;
}

/* Receives the complete answer to the attempt id. */
static void answer(const bsh_request_id_t *id, int64_t now_us)
{
	bsh_answer_head_t h = { .status = 200,
				.request_id = t.text,
				.length = 5 };

	bsh_request_id_print(id, t.text);
	g_assert_cmpint(bsh_attempt_head(&t.set, id, &h, now_us), ==,
			BSH_ANSWER_HOLD);
	g_assert_cmpint(bsh_attempt_body(&t.set, id, 5, false, now_us), ==,
			BSH_ANSWER_HOLD);
	bsh_attempt_end(&t.set, id, now_us);
	g_assert_cmpint(t.finished, ==, 1);
	g_assert_cmpint(t.err, ==, BSH_OK);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_ANSWERED);
}

/* Guards against a call that is lost because the second target refuses it or
 * fails, and against more attempts than are allowed beside the first one. */
static void test_second_target_fails(void)
{
	bsh_request_id_t first = start_silent();

	start(true, 2 * SIM_S);
	g_assert_cmpint(head(503, 0, false, 2 * SIM_S + 1), ==,
			BSH_ANSWER_DROP);
	g_assert_cmpint(t.finished, ==, 0);
	g_assert_cmpuint(t.last_cancelled, ==, 2);
	g_assert_cmpint(t.result_of[2], ==, BSH_ROUTE_NEUTRAL);
	/* A third target is tried at once. */
	bsh_attempts_tick(&t.set, 2 * SIM_S + 2);
	g_assert_cmpint(t.retries, ==, 2);
	start(false, 2 * SIM_S + 2);
	g_assert_cmpuint(t.a.id.attempt, ==, 3);
	bsh_attempt_failed(&t.set, &t.a.id, 2 * SIM_S + 3);
	g_assert_cmpint(t.result_of[3], ==, BSH_ROUTE_FAILURE);
	for (int64_t now_us = 3 * SIM_S; now_us < 10 * SIM_S; now_us += SIM_S)
		bsh_attempts_tick(&t.set, now_us);
	g_assert_cmpint(t.retries, ==, 2);
	g_assert_cmpuint(t.set.budget.retries, ==, 2);
	answer(&first, 10 * SIM_S - 1);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_SUCCESS);
	g_assert_cmpint(t.cancelled, ==, 2);
}

/* Guards against more than two attempts at a time, and against a call that is
 * lost because the second target is silent as well and a third one refuses. */
static void test_second_target_is_silent(void)
{
	bsh_request_id_t second;

	start_silent();
	start(true, 2 * SIM_S + 1);
	second = t.a.id;
	bsh_attempts_tick(&t.set, 4 * SIM_S);
	g_assert_cmpint(t.cancelled, ==, 0);
	bsh_attempts_tick(&t.set, 4 * SIM_S + 1);
	g_assert_cmpint(t.cancelled, ==, 1);
	g_assert_cmpuint(t.last_cancelled, ==, 1);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_FAILURE);
	g_assert_cmpint(t.retries, ==, 2);
	start(true, 5 * SIM_S);
	g_assert_cmpint(head(503, 0, false, 5 * SIM_S), ==, BSH_ANSWER_DROP);
	g_assert_cmpuint(t.last_cancelled, ==, 3);
	g_assert_cmpint(t.cancelled, ==, 2);
	answer(&second, 6 * SIM_S);
	g_assert_cmpint(t.result_of[2], ==, BSH_ROUTE_SUCCESS);
}

/* Guards against a call that runs on at a second target, or waits for one,
 * after the first one has answered, and against a lost token of the budget when
 * no second attempt was started. */
static void test_silent_target_answers(void)
{
	bsh_request_id_t first = start_silent();
	bsh_request_id_t second;

	answer(&first, 3 * SIM_S);
	g_assert_cmpint(t.dequeued, ==, 1);
	g_assert_cmpint(t.cancelled, ==, 0);
	g_assert_cmpfloat(t.set.budget.tokens, >, 5.0);
	g_assert_cmpuint(t.set.budget.retries, ==, 0);

	first = start_silent();
	start(true, 2 * SIM_S);
	second = t.a.id;
	answer(&first, 2 * SIM_S + 1);
	g_assert_cmpint(t.cancelled, ==, 1);
	g_assert_cmpuint(t.last_cancelled, ==, 2);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_SUCCESS);
	g_assert_cmpint(t.result_of[2], ==, BSH_ROUTE_NEUTRAL);
	bsh_attempt_failed(&t.set, &second, 2 * SIM_S + 2);
	g_assert_cmpuint(t.set.late, ==, 1);
	g_assert_cmpint(t.finished, ==, 1);
}

/* Guards against a request that ends, or is run once more, because its silent
 * target fails while a second one is sought or has it. */
static void test_silent_target_fails(void)
{
	bsh_request_id_t first = start_silent();

	bsh_attempt_failed(&t.set, &first, 2 * SIM_S + 1);
	g_assert_cmpint(t.finished, ==, 0);
	g_assert_cmpint(t.enqueued, ==, 2);
	g_assert_cmpuint(bsh_attempt_kept_target(&t.a), ==, BSH_ROUTE_NONE);
	bsh_attempt_refused(&t.set, &t.a, BSH_ERR_CAPACITY, 100, 3 * SIM_S);
	g_assert_cmpint(t.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);

	first = start_silent();
	start(true, 2 * SIM_S);
	bsh_attempt_failed(&t.set, &first, 2 * SIM_S + 1);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_FAILURE);
	g_assert_cmpint(t.enqueued, ==, 2);
	answer(&t.a.id, 3 * SIM_S);
	g_assert_cmpint(t.result_of[2], ==, BSH_ROUTE_SUCCESS);
}

/* Guards against an attempt that runs on after its request has ended, and
 * against an outcome not-run although the silent target has the request. */
static void test_both_attempts_end(void)
{
	start_silent();
	start(false, 2 * SIM_S);
	bsh_attempt_caller_gone(&t.set, &t.a, 2 * SIM_S + 1);
	g_assert_cmpint(t.cancelled, ==, 2);
	g_assert_cmpint(t.results[BSH_ROUTE_NEUTRAL], ==, 2);
	g_assert_cmpint(t.err, ==, BSH_ERR_CANCELLED);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
	g_assert_cmpint(t.finished, ==, 1);
	/* The deadline passes while the second target is connected to. */
	start_silent();
	start(false, 10 * SIM_S - 1);
	bsh_attempts_tick(&t.set, 10 * SIM_S);
	g_assert_cmpint(t.cancelled, ==, 2);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_FAILURE);
	g_assert_cmpint(t.result_of[2], ==, BSH_ROUTE_NEUTRAL);
	g_assert_cmpint(t.err, ==, BSH_ERR_TIMEOUT);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
	/* The deadline passes while the request waits for a second target. */
	start_silent();
	bsh_attempts_tick(&t.set, 10 * SIM_S);
	g_assert_cmpint(t.dequeued, ==, 1);
	g_assert_cmpint(t.cancelled, ==, 1);
	g_assert_cmpint(t.err, ==, BSH_ERR_TIMEOUT);
	g_assert_cmpint(t.outcome, ==, BSH_OUTCOME_UNKNOWN);
}

/* Guards against a request that is not tried again at another target after
 * admission refused it once, and against a second attempt that is not charged,
 * or one that was refused and is charged, to the budget. */
static void test_refused_retry_is_repeated(void)
{
	start_silent();
	bsh_attempt_refused(&t.set, &t.a, BSH_ERR_CAPACITY, 0, 2 * SIM_S);
	g_assert_cmpuint(t.set.budget.retries, ==, 0);
	bsh_attempts_tick(&t.set, 4 * SIM_S - 1);
	g_assert_cmpint(t.retries, ==, 1);
	bsh_attempts_tick(&t.set, 4 * SIM_S);
	g_assert_cmpint(t.retries, ==, 2);
	start(true, 4 * SIM_S);
	g_assert_cmpuint(t.a.id.attempt, ==, 2);
	g_assert_cmpuint(t.set.budget.retries, ==, 1);
	answer(&t.a.id, 5 * SIM_S);
	g_assert_cmpint(t.result_of[1], ==, BSH_ROUTE_FAILURE);
}

/* Guards against the end of a request because its second target was leaving
 * before anything was sent. */
static void test_second_target_leaving(void)
{
	bsh_request_id_t first = start_silent();

	start(false, 2 * SIM_S);
	bsh_attempt_target_leaving(&t.set, &t.a.id, 2 * SIM_S + 1);
	g_assert_cmpint(t.retries, ==, 2);
	g_assert_cmpuint(t.set.budget.retries, ==, 1);
	g_assert_cmpuint(bsh_attempt_kept_target(&t.a), ==, 1);
	answer(&first, 3 * SIM_S);
	g_assert_cmpint(t.dequeued, ==, 1);
}

/* A request with random events, and what it may have at any time. */
typedef struct {
	GRand *random;
	int64_t now_us;
	uint32_t event;	  /* attempt that the present event is for */
	bool live[4];	  /* started and not ended, by attempt */
	bool ran[4];	  /* sent and not refused */
	bool refusing;	  /* the present event is a refusal */
	int waiting;	  /* 1 in admission */
	int given_up;	  /* sent attempts ended by no event of their own */
	bool gone;	  /* the caller has disconnected */
	bool answered[4]; /* its answer has begun */
	uint32_t started; /* attempts */
} random_request_t;

static random_request_t *random_request;

static void on_random_enqueue(void *ctx, bsh_attempt_t *a, bool retry)
{
	on_enqueue(ctx, a, retry);
	g_assert_cmpint(random_request->waiting++, ==, 0);
}

static void on_random_dequeue(void *ctx, bsh_attempt_t *a)
{
	on_dequeue(ctx, a);
	g_assert_cmpint(random_request->waiting--, ==, 1);
}

static void on_random_result(void *ctx, bsh_attempt_t *a,
			     bsh_route_result_t result)
{
	random_request_t *x = random_request;
	uint32_t attempt = a->id.attempt;

	on_result(ctx, a, result);
	g_assert_true(x->live[attempt]);
	x->live[attempt] = false;
	x->given_up += attempt != x->event && x->ran[attempt];
	if (attempt == x->event && x->refusing)
		x->ran[attempt] = false;
}

static void on_random_finish(void *ctx, bsh_attempt_t *a, bsh_error_t err,
			     bsh_outcome_t outcome, uint32_t retry_ms)
{
	random_request_t *x = random_request;
	bool ran = false;

	on_finish(ctx, a, err, outcome, retry_ms);
	g_assert_cmpint(x->waiting, ==, 0);
	for (uint32_t i = 1; i <= x->started; i++) {
		g_assert_false(x->live[i]);
		ran |= x->ran[i];
	}
	if (err == BSH_OK)
		return;
	g_assert_true(outcome ==
		      (ran ? BSH_OUTCOME_UNKNOWN : BSH_OUTCOME_NOT_RUN));
	/* Before the deadline no target that may answer is given up. */
	if (x->now_us < a->spec.deadline_us && !x->gone)
		g_assert_cmpint(x->given_up, ==, 0);
}

/* The id of a random attempt of the request, often of one that has ended. */
static bsh_request_id_t random_id(random_request_t *x)
{
	bsh_request_id_t id = t.a.id;

	id.attempt =
		(uint32_t)g_rand_int_range(x->random, 1, (int)x->started + 2);
	x->event = id.attempt;
	return id;
}

static void random_head(random_request_t *x)
{
	bsh_request_id_t id = random_id(x);
	bsh_answer_head_t h = { .status = 200,
				.request_id = t.text,
				.length = 5 };

	/* An answer is received only after the request has been sent. */
	if (x->event > x->started || !x->ran[x->event])
		return;
	/* A second head on a connection is a mismatch. */
	x->refusing = !x->answered[x->event] && g_rand_boolean(x->random);
	if (x->refusing)
		h.status = 503;
	bsh_request_id_print(&id, t.text);
	if (bsh_attempt_head(&t.set, &id, &h, x->now_us) == BSH_ANSWER_HOLD)
		x->answered[x->event] = true;
}

static void random_start(random_request_t *x)
{
	bsh_route_choice_t target = { .target = x->started + 1,
				      .incarnation = 1 };

	if (x->waiting == 0 || t.finished > 0)
		return;
	g_assert_cmpuint(bsh_attempt_kept_target(&t.a), !=, target.target);
	if (!bsh_attempt_start(&t.set, &t.a, &target, x->now_us))
		return;
	x->waiting = 0;
	x->started++;
	g_assert_cmpuint(t.a.id.attempt, ==, x->started);
	g_assert_cmpuint(x->started, <=, BSH_ATTEMPT_RETRIES_MAX + 1);
	x->live[x->started] = true;
}

/* A sent attempt is given up only for another one. */
static void check_given_up(random_request_t *x)
{
	if (t.finished == 0 && x->given_up > 0)
		g_assert_true(x->live[1] || x->live[2] || x->live[3]);
	x->given_up = 0;
}

static void random_step(random_request_t *x)
{
	bsh_request_id_t id;

	x->event = 0;
	x->refusing = false;
	x->given_up = 0;
	x->now_us += g_rand_int_range(x->random, 0, 700) * SIM_MS;
	bsh_attempts_tick(&t.set, x->now_us);
	if (t.finished > 0)
		return;
	check_given_up(x);
	switch (g_rand_int_range(x->random, 0, 40)) {
	case 0:
		x->gone = true;
		bsh_attempt_caller_gone(&t.set, &t.a, x->now_us);
		break;
	case 1 ... 4:
		if (x->waiting == 0)
			break;
		x->waiting = 0;
		bsh_attempt_refused(&t.set, &t.a, BSH_ERR_CAPACITY, 0,
				    x->now_us);
		break;
	case 5 ... 14:
		random_start(x);
		break;
	case 15 ... 29:
		id = t.a.id;
		if (t.a.state == BSH_ATTEMPT_OPEN)
			x->ran[id.attempt] = true;
		bsh_attempt_sent(&t.set, &id, x->now_us);
		break;
	case 30 ... 31:
		random_head(x);
		break;
	case 32 ... 33:
		id = random_id(x);
		if (x->event <= x->started && x->ran[x->event])
			bsh_attempt_body(&t.set, &id, 5, false, x->now_us);
		break;
	case 34:
		id = random_id(x);
		bsh_attempt_end(&t.set, &id, x->now_us);
		break;
	case 35:
		id = random_id(x);
		bsh_attempt_failed(&t.set, &id, x->now_us);
		break;
	case 36:
		id = random_id(x);
		bsh_attempt_target_leaving(&t.set, &id, x->now_us);
		break;
	default:
		break;
	}
}

static bool run_random(uint32_t seed)
{
	random_request_t x = { .random = g_rand_new_with_seed(seed) };
	bool overlapped = false;

	random_request = &x;
	setup(true, false, false);
	x.waiting = 1;
	t.set.ops.enqueue = on_random_enqueue;
	t.set.ops.dequeue = on_random_dequeue;
	t.set.ops.target_result = on_random_result;
	t.set.ops.finish = on_random_finish;
	for (int step = 0; step < 2000 && t.finished == 0; step++) {
		int live;

		random_step(&x);
		check_given_up(&x);
		live = x.live[1] + x.live[2] + x.live[3];
		g_assert_cmpint(live, <=, 2);
		overlapped |= live == 2;
		if (t.finished == 0)
			g_assert_cmpint(live + x.waiting, >=, 1);
	}
	g_assert_cmpint(t.finished, ==, 1);
	g_assert_cmpfloat(t.set.budget.tokens, <=, 5.0 + 0.11);
	g_assert_cmpuint(t.set.budget.retries, <=, BSH_ATTEMPT_RETRIES_MAX);
	g_assert_cmpuint(g_hash_table_size(t.set.open), ==, 0);
	g_assert_cmpint(g_sequence_get_length(t.set.timers), ==, 0);
	bsh_attempts_finish(&t.set);
	g_rand_free(x.random);
	return overlapped;
}

/* Guards against orders of events that leave an attempt running, end it twice,
 * leave the request in admission or nowhere, or end it while a silent target
 * may still answer. */
static void test_random_overlaps(void)
{
	int overlapped = 0;

	for (uint32_t seed = 1; seed <= 20000; seed++)
		overlapped += run_random(seed);
	g_test_message("%d of 20000 requests had two attempts", overlapped);
	g_assert_cmpint(overlapped, >, 1000);
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
	g_test_add_func("/attempt/second-fails", test_second_target_fails);
	g_test_add_func("/attempt/second-silent", test_second_target_is_silent);
	g_test_add_func("/attempt/first-answers", test_silent_target_answers);
	g_test_add_func("/attempt/first-fails", test_silent_target_fails);
	g_test_add_func("/attempt/both-end", test_both_attempts_end);
	g_test_add_func("/attempt/refused-retry",
			test_refused_retry_is_repeated);
	g_test_add_func("/attempt/second-leaving", test_second_target_leaving);
	g_test_add_func("/attempt/random-overlaps", test_random_overlaps);
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
