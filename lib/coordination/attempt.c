#include "coordination/attempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * The first-byte timeout of an attempt is this many times the expected time to
 * the first byte, but not less than first_byte_timeout_min_us.
 */
#define FIRST_BYTE_TIMEOUT_FACTOR 8

void bsh_request_id_print(const bsh_request_id_t *id,
			  char out[BSH_ATTEMPT_ID_SIZE])
{
	snprintf(out, BSH_ATTEMPT_ID_SIZE,
		 "%016" PRIx64 "-%016" PRIx64 "-%" PRIu32, id->incarnation,
		 id->sequence, id->attempt);
}

bsh_error_t bsh_request_id_parse(const char *text, bsh_request_id_t *id)
{
	char canonical[BSH_ATTEMPT_ID_SIZE];
	char *end;

	if (text == NULL || strlen(text) < 35 || text[16] != '-' ||
	    text[33] != '-')
		return BSH_ERR_INVALID;
	id->incarnation = g_ascii_strtoull(text, &end, 16);
	id->sequence = g_ascii_strtoull(text + 17, &end, 16);
	id->attempt = (uint32_t)g_ascii_strtoull(text + 34, &end, 10);
	/* Reject what is not exactly the printed form, such as a sign. */
	bsh_request_id_print(id, canonical);
	return strcmp(canonical, text) == 0 ? BSH_OK : BSH_ERR_INVALID;
}

void bsh_attempts_config_default(bsh_attempts_config_t *config)
{
	config->connect_us = 1000000;
	config->idle_us = 15000000;
	config->first_byte_timeout_min_us = 2000000;
	config->hold_bytes = 65536;
	config->max_open = 16384;
}

void bsh_attempts_init(bsh_attempts_t *set, const bsh_attempts_config_t *config,
		       uint64_t incarnation, const bsh_attempt_ops_t *ops,
		       void *ctx)
{
	memset(set, 0, sizeof(*set));
	set->config = *config;
	set->ops = *ops;
	set->ctx = ctx;
	set->incarnation = incarnation;
	set->next_sequence = 1;
	set->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	set->timers = g_sequence_new(NULL);
}

void bsh_attempts_finish(bsh_attempts_t *set)
{
	g_hash_table_destroy(set->open);
	g_sequence_free(set->timers);
}

/* Timers. */

static bool is_running(const bsh_attempt_t *a)
{
	return a->state == BSH_ATTEMPT_OPEN || a->state == BSH_ATTEMPT_SENT ||
	       a->state == BSH_ATTEMPT_ANSWERING;
}

static bool has_other(const bsh_attempt_t *a)
{
	return a->other.state != BSH_ATTEMPT_NEW;
}

uint32_t bsh_attempt_kept_target(const bsh_attempt_t *a)
{
	return a->other.state == BSH_ATTEMPT_SENT ? a->other.target.target
						  : BSH_ROUTE_NONE;
}

static int64_t first_byte_timeout_us(const bsh_attempts_t *set,
				     const bsh_attempt_t *a)
{
	return MAX(set->config.first_byte_timeout_min_us,
		   FIRST_BYTE_TIMEOUT_FACTOR * a->spec.first_us);
}

/* Time at which a timeout of the request in its present state expires. */
static int64_t due_us(const bsh_attempts_t *set, const bsh_attempt_t *a)
{
	int64_t deadline_us = a->spec.deadline_us;

	/* The deadline bounds only the first byte to a connected caller. */
	if (a->caller_gone || a->forwarded)
		deadline_us = INT64_MAX;
	switch (a->state) {
	case BSH_ATTEMPT_OPEN:
		return MIN(deadline_us, a->started_us + set->config.connect_us);
	case BSH_ATTEMPT_SENT:
		if (a->caller_gone)
			return a->last_byte_us + set->config.idle_us;
		if (has_other(a) || (a->spec.repeatable &&
				     a->attempts <= BSH_ATTEMPT_RETRIES_MAX))
			return MIN(deadline_us,
				   a->last_byte_us +
					   first_byte_timeout_us(set, a));
		return deadline_us;
	case BSH_ATTEMPT_ANSWERING:
		return MIN(
			MIN(deadline_us, a->last_byte_us + set->config.idle_us),
			a->accepted_us + BSH_ATTEMPT_DURATION_MAX_US);
	case BSH_ATTEMPT_NEW:
	case BSH_ATTEMPT_INTENT:
	case BSH_ATTEMPT_QUEUED:
	case BSH_ATTEMPT_ENDED:
		break;
	}
	return deadline_us;
}

static int compare_timer(const void *a, const void *b, void *data)
{
	const bsh_attempt_t *x = a;
	const bsh_attempt_t *y = b;

	(void)data;
	if (x->timer_us != y->timer_us)
		return x->timer_us < y->timer_us ? -1 : 1;
	return x->id.sequence < y->id.sequence
		       ? -1
		       : x->id.sequence > y->id.sequence;
}

static void set_timer(bsh_attempts_t *set, bsh_attempt_t *a, int64_t at_us)
{
	a->timer_us = at_us;
	if (a->timer == NULL)
		a->timer = g_sequence_insert_sorted(set->timers, a,
						    compare_timer, NULL);
	else
		g_sequence_sort_changed(a->timer, compare_timer, NULL);
}

/*
 * Moves the timer only to an earlier time.  A timer that expires too early is
 * set again by bsh_attempts_tick(), which is cheaper than moving it with each
 * byte of a stream.
 */
static void advance_timer(bsh_attempts_t *set, bsh_attempt_t *a)
{
	int64_t at_us = due_us(set, a);

	if (a->timer == NULL || at_us < a->timer_us)
		set_timer(set, a, at_us);
}

/* End of an attempt. */

static void add_tried_target(bsh_attempt_t *a)
{
	for (uint32_t i = 0; i < a->tried_count; i++) {
		if (a->tried[i] == a->target.target)
			return;
	}
	if (a->tried_count < BSH_ROUTE_MAX_EXCLUDED)
		a->tried[a->tried_count++] = a->target.target;
}

static void end_attempt(bsh_attempts_t *set, bsh_attempt_t *a, bool ran,
			bsh_error_t err, bsh_route_result_t result)
{
	set->ops.cancel(set->ctx, a);
	set->ops.target_result(set->ctx, a, result);
	a->may_have_run |= ran;
	/*
	 * Keep the error of an attempt that may have run over that of a later
	 * one that has not.
	 */
	if (ran || !a->may_have_run)
		a->last_err = err;
	a->holding = false;
	add_tried_target(a);
}

static void return_retry(bsh_attempts_t *set)
{
	set->budget.tokens =
		MIN(set->budget.tokens + 1.0, BSH_ATTEMPT_BUDGET_MAX);
	set->budget.retries--;
}

/* Makes the other attempt the running one, so that events and callbacks apply
 * to it.  Neither of the two has received an answer. */
static void switch_attempt(bsh_attempt_t *a)
{
	bsh_attempt_other_t running = { .attempt = a->id.attempt,
					.state = a->state,
					.target = a->target,
					.started_us = a->started_us,
					.last_byte_us = a->last_byte_us };

	a->id.attempt = a->other.attempt;
	a->state = a->other.state;
	a->target = a->other.target;
	a->started_us = a->other.started_us;
	a->last_byte_us = a->other.last_byte_us;
	a->other = running;
}

/* Ends the other attempt; the request ends or continues with err. */
static void end_other(bsh_attempts_t *set, bsh_attempt_t *a, bsh_error_t err)
{
	bool sent = a->other.state == BSH_ATTEMPT_SENT;
	/* The first attempt was silent for the whole first-byte timeout. */
	bool silent = sent && a->other.attempt <= a->id.attempt &&
		      err != BSH_ERR_CANCELLED;

	if (a->other.state == BSH_ATTEMPT_QUEUED) {
		set->ops.dequeue(set->ctx, a);
		return_retry(set);
	} else {
		switch_attempt(a);
		end_attempt(set, a, sent, silent ? BSH_ERR_TIMEOUT : err,
			    silent ? BSH_ROUTE_FAILURE : BSH_ROUTE_NEUTRAL);
		switch_attempt(a);
	}
	a->other.state = BSH_ATTEMPT_NEW;
}

/* Continues with the other attempt after the running one has ended. */
static void resume_other(bsh_attempts_t *set, bsh_attempt_t *a)
{
	switch_attempt(a);
	a->other.state = BSH_ATTEMPT_NEW;
	set_timer(set, a, due_us(set, a));
}

/* End of a request. */

static void finish_with_outcome(bsh_attempts_t *set, bsh_attempt_t *a,
				bsh_error_t err, bsh_outcome_t outcome,
				uint32_t retry_after_ms)
{
	bool withdraw_intent = a->state == BSH_ATTEMPT_INTENT &&
			       outcome == BSH_OUTCOME_NOT_RUN;

	a->state = BSH_ATTEMPT_ENDED;
	if (a->timer != NULL)
		g_sequence_remove(a->timer);
	a->timer = NULL;
	g_hash_table_remove(set->open, &a->id.sequence);
	if (a->committed || withdraw_intent)
		set->ops.record(set->ctx, a, outcome);
	set->ops.finish(set->ctx, a, err, outcome, retry_after_ms);
}

/* Finishes with the outcome that follows from what was sent. */
static void finish(bsh_attempts_t *set, bsh_attempt_t *a, bsh_error_t err,
		   uint32_t retry_after_ms)
{
	bsh_outcome_t outcome = BSH_OUTCOME_ANSWERED;

	if (has_other(a))
		end_other(set, a, err);
	if (err != BSH_OK)
		outcome = a->may_have_run ? BSH_OUTCOME_UNKNOWN
					  : BSH_OUTCOME_NOT_RUN;
	/*
	 * An error whose defined outcome is not-run must not be reported when
	 * an earlier attempt may have run.
	 */
	if (outcome == BSH_OUTCOME_UNKNOWN &&
	    bsh_error_info(err)->outcome == BSH_OUTCOME_NOT_RUN)
		err = a->last_err != BSH_OK ? a->last_err
					    : BSH_ERR_CONNECTION_LOST;
	finish_with_outcome(set, a, err, outcome, retry_after_ms);
}

/* Retries. */

static bool take_retry(bsh_attempts_t *set, const bsh_attempt_t *a, bool ran,
		       int64_t now_us)
{
	if (a->caller_gone || a->forwarded ||
	    a->attempts > BSH_ATTEMPT_RETRIES_MAX ||
	    now_us >= a->spec.deadline_us)
		return false;
	if (ran && !a->spec.repeatable)
		return false;
	if (set->budget.tokens < 1.0)
		return false;
	set->budget.tokens -= 1.0;
	set->budget.retries++;
	return true;
}

static void enqueue(bsh_attempts_t *set, bsh_attempt_t *a, bool retry)
{
	a->state = BSH_ATTEMPT_QUEUED;
	advance_timer(set, a);
	/* The callback may start, refuse or even finish the request. */
	set->ops.enqueue(set->ctx, a, retry);
}

/* Ends the running attempt as failed; continues with the other one, retries or
 * finishes the request. */
static void fail_attempt(bsh_attempts_t *set, bsh_attempt_t *a, bool ran,
			 bsh_error_t err, bsh_route_result_t result,
			 int64_t now_us)
{
	end_attempt(set, a, ran, err, result);
	if (has_other(a))
		resume_other(set, a);
	else if (take_retry(set, a, ran, now_us))
		enqueue(set, a, true);
	else
		finish(set, a, err, 0);
}

/* Acceptance and start. */

bsh_error_t bsh_attempt_begin(bsh_attempts_t *set, bsh_attempt_t *a,
			      const bsh_attempt_spec_t *spec, int64_t now_us)
{
	if (now_us >= spec->deadline_us)
		return BSH_ERR_DEADLINE;
	if (g_hash_table_size(set->open) >= set->config.max_open)
		return BSH_ERR_CAPACITY;
	memset(a, 0, sizeof(*a));
	a->spec = *spec;
	a->id.incarnation = set->incarnation;
	a->id.sequence = set->next_sequence++;
	a->target.target = BSH_ROUTE_NONE;
	a->length = -1;
	a->accepted_us = now_us;
	g_hash_table_insert(set->open, &a->id.sequence, a);
	if (!spec->repeatable && spec->has_key) {
		a->state = BSH_ATTEMPT_INTENT;
		advance_timer(set, a);
		set->ops.intent(set->ctx, a);
	} else {
		enqueue(set, a, false);
	}
	return BSH_OK;
}

static bsh_attempt_t *find_open(const bsh_attempts_t *set,
				const bsh_request_id_t *id)
{
	if (id->incarnation != set->incarnation)
		return NULL;
	return g_hash_table_lookup(set->open, &id->sequence);
}

bool bsh_attempt_intent(bsh_attempts_t *set, const bsh_request_id_t *id,
			bsh_intent_verdict_t verdict, uint32_t retry_after_ms,
			int64_t now_us)
{
	bsh_attempt_t *a = find_open(set, id);

	if (a == NULL || a->state != BSH_ATTEMPT_INTENT)
		return false;
	if (now_us >= a->spec.deadline_us && verdict == BSH_INTENT_RUN) {
		finish(set, a, BSH_ERR_DEADLINE, 0);
		return true;
	}
	/* The intent is decided; finishing must not withdraw it. */
	a->state = BSH_ATTEMPT_NEW;
	switch (verdict) {
	case BSH_INTENT_RUN:
		a->committed = true;
		enqueue(set, a, false);
		break;
	case BSH_INTENT_ANSWERED:
		finish_with_outcome(set, a, BSH_OK, BSH_OUTCOME_ANSWERED, 0);
		break;
	case BSH_INTENT_NOT_KEPT:
		finish_with_outcome(set, a, BSH_ERR_ANSWER_NOT_KEPT,
				    BSH_OUTCOME_ANSWERED, 0);
		break;
	case BSH_INTENT_IN_PROGRESS:
		finish_with_outcome(set, a, BSH_ERR_IN_PROGRESS,
				    BSH_OUTCOME_UNKNOWN, retry_after_ms);
		break;
	case BSH_INTENT_UNKNOWN:
		finish_with_outcome(set, a, BSH_ERR_OUTCOME_UNKNOWN,
				    BSH_OUTCOME_UNKNOWN, 0);
		break;
	case BSH_INTENT_MISMATCH:
		finish_with_outcome(set, a, BSH_ERR_KEY_REUSED,
				    BSH_OUTCOME_NOT_RUN, 0);
		break;
	case BSH_INTENT_UNAVAILABLE:
		finish_with_outcome(set, a, BSH_ERR_STORE, BSH_OUTCOME_NOT_RUN,
				    retry_after_ms);
		break;
	}
	return true;
}

bool bsh_attempt_start(bsh_attempts_t *set, bsh_attempt_t *a,
		       const bsh_route_choice_t *target, int64_t now_us)
{
	if (a->state != BSH_ATTEMPT_QUEUED || now_us >= a->spec.deadline_us)
		return false;
	a->id.attempt = ++a->attempts;
	if (a->attempts == 1) {
		set->budget.requests++;
		set->budget.tokens =
			MIN(set->budget.tokens + BSH_ATTEMPT_BUDGET_RATIO,
			    BSH_ATTEMPT_BUDGET_MAX);
	}
	a->state = BSH_ATTEMPT_OPEN;
	a->target = *target;
	a->started_us = now_us;
	a->last_byte_us = now_us;
	a->holding = false;
	a->framed = false;
	a->done_seen = false;
	a->event_stream = false;
	a->status = 0;
	a->length = -1;
	a->received = 0;
	advance_timer(set, a);
	return true;
}

/* Waits for the running attempt for another first-byte timeout. */
static void wait_for_silent_target(bsh_attempts_t *set, bsh_attempt_t *a,
				   int64_t now_us)
{
	set_timer(set, a,
		  MIN(a->spec.deadline_us,
		      now_us + first_byte_timeout_us(set, a)));
}

void bsh_attempt_refused(bsh_attempts_t *set, bsh_attempt_t *a, bsh_error_t err,
			 uint32_t retry_after_ms, int64_t now_us)
{
	if (a->state != BSH_ATTEMPT_QUEUED)
		return;
	if (!has_other(a)) {
		finish(set, a, err, retry_after_ms);
		return;
	}
	return_retry(set);
	resume_other(set, a);
	wait_for_silent_target(set, a, now_us);
}

/* Transport events. */

static bsh_attempt_t *find_running(bsh_attempts_t *set,
				   const bsh_request_id_t *id)
{
	bsh_attempt_t *a = find_open(set, id);

	if (a == NULL || !is_running(a) || a->id.attempt != id->attempt) {
		set->late++;
		return NULL;
	}
	return a;
}

/*
 * Like find_running(), but id may also name the other attempt, which then
 * becomes the running one.  The caller must end one of the two.
 */
static bsh_attempt_t *find_receiving(bsh_attempts_t *set,
				     const bsh_request_id_t *id)
{
	bsh_attempt_t *a = find_open(set, id);

	if (a == NULL || a->other.state != BSH_ATTEMPT_SENT ||
	    a->other.attempt != id->attempt)
		return find_running(set, id);
	switch_attempt(a);
	return a;
}

void bsh_attempt_sent(bsh_attempts_t *set, const bsh_request_id_t *id,
		      int64_t now_us)
{
	bsh_attempt_t *a = find_running(set, id);

	if (a == NULL || a->state != BSH_ATTEMPT_OPEN)
		return;
	a->state = BSH_ATTEMPT_SENT;
	a->last_byte_us = now_us;
	advance_timer(set, a);
}

void bsh_attempt_target_leaving(bsh_attempts_t *set, const bsh_request_id_t *id,
				int64_t now_us)
{
	bsh_attempt_t *a = find_running(set, id);

	if (a == NULL || a->state != BSH_ATTEMPT_OPEN)
		return;
	end_attempt(set, a, false, BSH_ERR_CONNECT, BSH_ROUTE_NEUTRAL);
	if (!a->caller_gone && now_us < a->spec.deadline_us &&
	    a->attempts <= BSH_ATTEMPT_RETRIES_MAX)
		enqueue(set, a, true);
	else if (has_other(a))
		resume_other(set, a);
	else
		finish(set, a, BSH_ERR_CONNECT, 0);
}

static bool is_same_id(const bsh_request_id_t *a, const bsh_request_id_t *b)
{
	return a->incarnation == b->incarnation && a->sequence == b->sequence &&
	       a->attempt == b->attempt;
}

/* True if the X-Request-Id of the answer is the id of this attempt. */
static bool names_attempt(const bsh_attempt_t *a, const bsh_answer_head_t *head)
{
	bsh_request_id_t id;

	return head->request_id != NULL &&
	       bsh_request_id_parse(head->request_id, &id) == BSH_OK &&
	       is_same_id(&id, &a->id);
}

/*
 * A refusal is proved only by an answer with the id of this attempt that has
 * the target's outcome header or, from an engine, a status for "no capacity"
 * or "model not loaded".
 */
static bool is_refusal(const bsh_attempt_t *a, const bsh_answer_head_t *head)
{
	if (!names_attempt(a, head))
		return false;
	if (head->not_run)
		return true;
	return a->spec.engine && (head->status == 404 || head->status == 429 ||
				  head->status == 503 || head->status == 507);
}

static bool is_foreign(const bsh_attempt_t *a, const bsh_answer_head_t *head)
{
	if (a->spec.engine || head->request_id != NULL)
		return !names_attempt(a, head);
	return false;
}

/* True if the deadline has passed and the late answer must be dropped. */
static bool expire_at_deadline(bsh_attempts_t *set, bsh_attempt_t *a,
			       int64_t now_us);

bsh_answer_verdict_t bsh_attempt_head(bsh_attempts_t *set,
				      const bsh_request_id_t *id,
				      const bsh_answer_head_t *head,
				      int64_t now_us)
{
	bsh_attempt_t *a = find_receiving(set, id);

	if (a == NULL || expire_at_deadline(set, a, now_us))
		return BSH_ANSWER_DROP;
	/* A second head on the connection belongs to another request. */
	if (a->state == BSH_ATTEMPT_ANSWERING || is_foreign(a, head)) {
		set->mismatched++;
		fail_attempt(set, a, true, BSH_ERR_MISMATCH, BSH_ROUTE_FAILURE,
			     now_us);
		return BSH_ANSWER_DROP;
	}
	if (is_refusal(a, head)) {
		fail_attempt(set, a, false, BSH_ERR_REFUSED, BSH_ROUTE_NEUTRAL,
			     now_us);
		return BSH_ANSWER_DROP;
	}
	if (has_other(a))
		end_other(set, a, BSH_ERR_TIMEOUT);
	a->state = BSH_ATTEMPT_ANSWERING;
	a->last_byte_us = now_us;
	a->status = head->status;
	a->length = head->length;
	a->framed = head->length >= 0 || head->chunked;
	a->event_stream = head->event_stream;
	a->holding = true;
	advance_timer(set, a);
	return BSH_ANSWER_HOLD;
}

static bool needs_done(const bsh_attempt_t *a)
{
	return a->spec.engine && a->event_stream;
}

bsh_answer_verdict_t bsh_attempt_body(bsh_attempts_t *set,
				      const bsh_request_id_t *id, size_t size,
				      bool done_event, int64_t now_us)
{
	bsh_attempt_t *a = find_receiving(set, id);

	if (a == NULL)
		return BSH_ANSWER_DROP;
	if (a->state != BSH_ATTEMPT_ANSWERING) {
		/*
		 * A body without a head is the rest of another answer; further
		 * bytes of this connection cannot be assigned to a request.
		 */
		set->mismatched++;
		fail_attempt(set, a, true, BSH_ERR_MISMATCH, BSH_ROUTE_FAILURE,
			     now_us);
		return BSH_ANSWER_DROP;
	}
	a->last_byte_us = now_us;
	if (a->received == 0 && set->ops.first_byte != NULL)
		set->ops.first_byte(set->ctx, a);
	a->received += (int64_t)size;
	a->done_seen |= done_event;
	if (a->length >= 0 && a->received > a->length) {
		set->mismatched++;
		fail_attempt(set, a, true, BSH_ERR_MISMATCH, BSH_ROUTE_FAILURE,
			     now_us);
		return BSH_ANSWER_DROP;
	}
	if (a->caller_gone)
		return BSH_ANSWER_HOLD;
	if (a->holding && !a->event_stream && now_us < a->spec.deadline_us &&
	    a->received <= (int64_t)set->config.hold_bytes)
		return BSH_ANSWER_HOLD;
	a->holding = false;
	a->forwarded = true;
	return BSH_ANSWER_FORWARD;
}

static bool is_complete(const bsh_attempt_t *a)
{
	if (a->state != BSH_ATTEMPT_ANSWERING)
		return false;
	if (needs_done(a))
		return a->done_seen;
	return a->framed && (a->length < 0 || a->received == a->length);
}

static void complete_attempt(bsh_attempts_t *set, bsh_attempt_t *a)
{
	set->ops.target_result(set->ctx, a, BSH_ROUTE_SUCCESS);
	a->may_have_run = true;
	finish(set, a, BSH_OK, 0);
}

void bsh_attempt_end(bsh_attempts_t *set, const bsh_request_id_t *id,
		     int64_t now_us)
{
	bsh_attempt_t *a = find_receiving(set, id);

	if (a == NULL)
		return;
	if (is_complete(a))
		complete_attempt(set, a);
	else
		fail_attempt(set, a, a->state != BSH_ATTEMPT_OPEN,
			     BSH_ERR_CONNECTION_LOST, BSH_ROUTE_FAILURE,
			     now_us);
}

void bsh_attempt_failed(bsh_attempts_t *set, const bsh_request_id_t *id,
			int64_t now_us)
{
	bsh_attempt_t *a = find_receiving(set, id);

	if (a == NULL)
		return;
	if (a->state == BSH_ATTEMPT_OPEN)
		fail_attempt(set, a, false, BSH_ERR_CONNECT, BSH_ROUTE_FAILURE,
			     now_us);
	else if (is_complete(a) && (needs_done(a) || a->length >= 0))
		/* The answer was complete before the connection was lost. */
		complete_attempt(set, a);
	else
		fail_attempt(set, a, true, BSH_ERR_CONNECTION_LOST,
			     BSH_ROUTE_FAILURE, now_us);
}

void bsh_attempt_caller_gone(bsh_attempts_t *set, bsh_attempt_t *a,
			     int64_t now_us)
{
	bool ran = a->state == BSH_ATTEMPT_SENT ||
		   a->state == BSH_ATTEMPT_ANSWERING;

	(void)now_us;
	if (a->state == BSH_ATTEMPT_NEW || a->state == BSH_ATTEMPT_ENDED ||
	    a->caller_gone)
		return;
	a->caller_gone = true;
	if (a->committed && ran) {
		advance_timer(set, a);
		return;
	}
	if (a->state == BSH_ATTEMPT_QUEUED)
		set->ops.dequeue(set->ctx, a);
	else if (is_running(a))
		end_attempt(set, a, ran, BSH_ERR_CANCELLED, BSH_ROUTE_NEUTRAL);
	finish(set, a, BSH_ERR_CANCELLED, 0);
}

/* Timeouts. */

/* The deadline passed before the head of an answer was received. */
static void handle_deadline_sent(bsh_attempts_t *set, bsh_attempt_t *a,
				 int64_t now_us)
{
	bool timed_out =
		now_us - a->started_us >= first_byte_timeout_us(set, a);

	if (a->committed) {
		a->caller_gone = true;
		set->ops.detach(set->ctx, a, BSH_ERR_TIMEOUT,
				BSH_OUTCOME_UNKNOWN);
		set_timer(set, a, due_us(set, a));
		return;
	}
	/* A deadline below the first-byte timeout is no fault of the target. */
	end_attempt(set, a, true, BSH_ERR_TIMEOUT,
		    timed_out ? BSH_ROUTE_FAILURE : BSH_ROUTE_NEUTRAL);
	finish(set, a, BSH_ERR_TIMEOUT, 0);
}

static bool expire_at_deadline(bsh_attempts_t *set, bsh_attempt_t *a,
			       int64_t now_us)
{
	bool committed = a->committed;

	if (a->state != BSH_ATTEMPT_SENT || a->caller_gone ||
	    now_us < a->spec.deadline_us)
		return false;
	handle_deadline_sent(set, a, now_us);
	/* A detached call still receives the answer for its record. */
	return !committed;
}

static void handle_open_timer(bsh_attempts_t *set, bsh_attempt_t *a,
			      int64_t now_us)
{
	if (now_us >= a->spec.deadline_us) {
		end_attempt(set, a, false, BSH_ERR_DEADLINE, BSH_ROUTE_NEUTRAL);
		finish(set, a, BSH_ERR_DEADLINE, 0);
		return;
	}
	fail_attempt(set, a, false, BSH_ERR_CONNECT, BSH_ROUTE_FAILURE, now_us);
}

/*
 * A silent target may only be pausing.  Its attempt is kept until another
 * target has accepted the request: if it were cancelled first and the other
 * target refused, no target would be left with the request.
 */
static void keep_attempt(bsh_attempt_t *a)
{
	add_tried_target(a);
	a->other = (bsh_attempt_other_t){ .attempt = a->id.attempt,
					  .state = a->state,
					  .target = a->target,
					  .started_us = a->started_us,
					  .last_byte_us = a->last_byte_us };
}

static void handle_sent_timer(bsh_attempts_t *set, bsh_attempt_t *a,
			      int64_t now_us)
{
	if (a->caller_gone) {
		end_attempt(set, a, true, BSH_ERR_TIMEOUT, BSH_ROUTE_FAILURE);
		finish(set, a, BSH_ERR_TIMEOUT, 0);
		return;
	}
	if (now_us >= a->spec.deadline_us) {
		handle_deadline_sent(set, a, now_us);
		return;
	}
	if (has_other(a)) {
		/* It has not refused the request, so it has accepted it. */
		end_other(set, a, BSH_ERR_TIMEOUT);
		set_timer(set, a, due_us(set, a));
		return;
	}
	if (take_retry(set, a, true, now_us)) {
		keep_attempt(a);
		enqueue(set, a, true);
		return;
	}
	wait_for_silent_target(set, a, now_us);
}

static void handle_answering_timer(bsh_attempts_t *set, bsh_attempt_t *a,
				   int64_t now_us)
{
	bool timed_out = now_us - a->last_byte_us >= set->config.idle_us ||
			 now_us - a->accepted_us >= BSH_ATTEMPT_DURATION_MAX_US;

	if (timed_out) {
		fail_attempt(set, a, true, BSH_ERR_TIMEOUT, BSH_ROUTE_FAILURE,
			     now_us);
		return;
	}
	a->forwarded = true;
	a->holding = false;
	set->ops.release(set->ctx, a);
	set_timer(set, a, due_us(set, a));
}

static void handle_timer(bsh_attempts_t *set, bsh_attempt_t *a, int64_t now_us)
{
	switch (a->state) {
	case BSH_ATTEMPT_OPEN:
		handle_open_timer(set, a, now_us);
		break;
	case BSH_ATTEMPT_SENT:
		handle_sent_timer(set, a, now_us);
		break;
	case BSH_ATTEMPT_ANSWERING:
		handle_answering_timer(set, a, now_us);
		break;
	case BSH_ATTEMPT_QUEUED:
		set->ops.dequeue(set->ctx, a);
		finish(set, a, BSH_ERR_DEADLINE, 0);
		break;
	case BSH_ATTEMPT_INTENT:
		finish(set, a, BSH_ERR_DEADLINE, 0);
		break;
	case BSH_ATTEMPT_NEW:
	case BSH_ATTEMPT_ENDED:
		break;
	}
}

void bsh_attempts_tick(bsh_attempts_t *set, int64_t now_us)
{
	while (g_sequence_get_length(set->timers) > 0) {
		bsh_attempt_t *a =
			g_sequence_get(g_sequence_get_begin_iter(set->timers));

		if (a->timer_us > now_us)
			return;
		if (due_us(set, a) > now_us) {
			set_timer(set, a, due_us(set, a));
			continue;
		}
		handle_timer(set, a, now_us);
	}
}

int64_t bsh_attempts_next_us(const bsh_attempts_t *set)
{
	const bsh_attempt_t *a;

	if (g_sequence_get_length(set->timers) == 0)
		return INT64_MAX;
	a = g_sequence_get(g_sequence_get_begin_iter(set->timers));
	return a->timer_us;
}
