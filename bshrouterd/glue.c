#include <string.h>

#include "base/log.h"
#include "traffic.h"

/* Interval of REPORT while requests are in progress. */
#define REPORT_INTERVAL_US INT64_C(1000000)
/* Retry-After of errors for which the attempt module gives no time, such as an
 * intent without a verdict at the deadline. */
#define RETRY_AFTER_DEFAULT_MS 1000

static int64_t now_us(const router_traffic_t *t)
{
	return bsh_loop_now_us(t->loop);
}

static traffic_request_t *request_of(bsh_attempt_t *a)
{
	return a->spec.user;
}

static void push_job(router_traffic_t *t, traffic_job_kind_t kind,
		     traffic_request_t *r)
{
	traffic_job_t *job = g_new0(traffic_job_t, 1);

	job->kind = kind;
	job->request = r;
	g_queue_push_tail(&t->jobs, job);
	bsh_loop_task_schedule(&t->task);
}

/* End of a request. */

static void free_if_done(traffic_request_t *r)
{
	router_traffic_t *t = r->traffic;

	if (r->free_pending || r->http != NULL || !r->finished)
		return;
	r->free_pending = true;
	g_ptr_array_add(t->to_free, r);
	bsh_loop_task_schedule(&t->task);
}

void traffic_http_done(traffic_request_t *r, bool delivered)
{
	router_traffic_t *t = r->traffic;

	r->http = NULL;
	if (!delivered)
		bsh_counter_add(&router_counters.caller_gone, 1);
	if (!r->finished)
		bsh_attempt_caller_gone(&t->attempts, &r->attempt, now_us(t));
	free_if_done(r);
	traffic_schedule_task(t);
}

/* Callbacks of the attempt module. */

static void make_intent(const traffic_request_t *r, router_intent_t *intent)
{
	uint64_t id[2] = { GUINT64_TO_BE(r->attempt.id.incarnation),
			   GUINT64_TO_BE(r->attempt.id.sequence) };

	intent->id = r->attempt.id.sequence;
	intent->service = r->name;
	intent->key = r->idempotency_key;
	memcpy(intent->digest, r->digest, sizeof(intent->digest));
	memcpy(intent->attempt, id, sizeof(intent->attempt));
}

static void on_intent(void *ctx, bsh_attempt_t *a)
{
	traffic_request_t *r = request_of(a);
	router_traffic_t *t = ctx;
	router_intent_t intent;

	make_intent(r, &intent);
	g_hash_table_insert(t->intents, &a->id.sequence, r);
	bsh_timeline_add(&t->router->timeline, "intent", "{s:s, s:s, s:I}",
			 "name", r->name, "key", r->idempotency_key, "request",
			 (json_int_t)a->id.sequence);
	router_send_intent(t->router, &intent);
}

static void on_record(void *ctx, bsh_attempt_t *a, bsh_outcome_t outcome)
{
	traffic_request_t *r = request_of(a);
	router_traffic_t *t = ctx;
	router_result_t result = { .outcome = outcome };
	traffic_call_t *call = traffic_call(r);
	router_intent_t intent;

	make_intent(r, &intent);
	if (outcome == BSH_OUTCOME_ANSWERED) {
		result.status = (uint32_t)call->status;
		result.content_type = call->content_type;
		if (call->journal_body != NULL &&
		    call->journal_body->len >
			    BSH_ATTEMPT_RECORDED_BODY_MAX_BYTES) {
			result.body_too_large = true;
		} else if (call->journal_body != NULL) {
			result.body = (const uint8_t *)call->journal_body->str;
			result.body_bytes = (uint32_t)call->journal_body->len;
		}
	}
	g_hash_table_remove(t->intents, &a->id.sequence);
	/* Counted before it is posted, so that a drain cannot end cleanly
	 * before the control thread has sent or dropped it. */
	t->results_pending++;
	bsh_drain_set(&t->drain, BSH_DRAIN_JOURNAL, t->results_pending,
		      now_us(t));
	bsh_timeline_add(&t->router->timeline, "recorded", "{s:s, s:s, s:s}",
			 "name", r->name, "key", r->idempotency_key, "outcome",
			 bsh_outcome_name(outcome));
	router_send_intent_done(t->router, &intent, &result);
}

static void on_enqueue(void *ctx, bsh_attempt_t *a, bool retry)
{
	uint32_t kept = bsh_attempt_kept_target(a);
	router_traffic_t *t = ctx;

	if (kept != BSH_ROUTE_NONE)
		bsh_timeline_add(&t->router->timeline, "target-silent",
				 "{s:I, s:s, s:s}", "request",
				 (json_int_t)a->id.sequence, "name",
				 request_of(a)->name, "target",
				 bsh_route_target(&t->route, kept)->name);
	/* Deferred, because admission may be on the stack. */
	push_job(t, retry ? TRAFFIC_JOB_REQUEUE : TRAFFIC_JOB_SUBMIT,
		 request_of(a));
}

static void on_dequeue(void *ctx, bsh_attempt_t *a)
{
	router_traffic_t *t = ctx;

	bsh_admission_cancel(&t->admission, &request_of(a)->waiting);
}

static void on_cancel(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	traffic_cancel_call(traffic_call(request_of(a)));
}

static void on_release(void *ctx, bsh_attempt_t *a)
{
	(void)ctx;
	traffic_flush_body(request_of(a));
}

static void on_target_result(void *ctx, bsh_attempt_t *a,
			     bsh_route_result_t result)
{
	traffic_request_t *r = request_of(a);
	traffic_call_t *call = traffic_call(r);
	router_traffic_t *t = ctx;
	traffic_job_t *job = g_new0(traffic_job_t, 1);

	bsh_route_end(&t->route, &a->target, result, now_us(t));
	if (call->load != NULL)
		call->load->running--;
	call->load = NULL;
	job->kind = TRAFFIC_JOB_ATTEMPT_ENDED;
	job->elapsed_us =
		result == BSH_ROUTE_SUCCESS ? now_us(t) - call->sent_us : -1;
	g_strlcpy(job->key, r->key, sizeof(job->key));
	g_queue_push_tail(&t->jobs, job);
	bsh_loop_task_schedule(&t->task);
}

static void on_detach(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome)
{
	(void)ctx;
	traffic_finish_error(request_of(a), err, outcome, -1);
	request_of(a)->detached = true;
}

static void count_outcome(bsh_error_t err, bsh_outcome_t outcome)
{
	router_counters_t *c = &router_counters;

	if (outcome == BSH_OUTCOME_ANSWERED)
		bsh_counter_add(&c->answered, 1);
	else if (outcome == BSH_OUTCOME_NOT_RUN)
		bsh_counter_add(&c->not_run, 1);
	else
		bsh_counter_add(&c->unknown, 1);
	if (err != BSH_OK && err < BSH_ERR_COUNT)
		bsh_counter_add(&c->errors[err], 1);
}

static void record_finish(traffic_request_t *r, bsh_error_t err,
			  bsh_outcome_t outcome, uint32_t retry_after_ms)
{
	const traffic_call_t *call = traffic_call(r);
	const char *event = "failed";

	if (err == BSH_OK)
		event = "answered";
	else if (outcome == BSH_OUTCOME_NOT_RUN)
		event = "refused";
	bsh_timeline_add(&r->traffic->router->timeline, event,
			 "{s:I, s:s, s:s, s:s, s:s, s:i, s:i, s:b}", "request",
			 (json_int_t)r->attempt.id.sequence, "attempt",
			 call->id_text, "name", r->name, "reason",
			 bsh_error_name(err), "outcome",
			 bsh_outcome_name(outcome), "status", call->status,
			 "retry_after_ms", (int)retry_after_ms, "caller_gone",
			 r->attempt.caller_gone);
}

static void on_finish(void *ctx, bsh_attempt_t *a, bsh_error_t err,
		      bsh_outcome_t outcome, uint32_t retry_after_ms)
{
	traffic_request_t *r = request_of(a);
	router_traffic_t *t = ctx;

	g_hash_table_remove(t->intents, &a->id.sequence);
	r->finished = true;
	count_outcome(err, outcome);
	record_finish(r, err, outcome, retry_after_ms);
	if (err == BSH_OK)
		traffic_finish_response(r);
	else
		traffic_finish_error(r, err, outcome,
				     retry_after_ms > 0
					     ? retry_after_ms
					     : RETRY_AFTER_DEFAULT_MS);
	free_if_done(r);
}

static const bsh_attempt_ops_t attempt_ops = {
	.intent = on_intent,
	.enqueue = on_enqueue,
	.dequeue = on_dequeue,
	.cancel = on_cancel,
	.release = on_release,
	.target_result = on_target_result,
	.detach = on_detach,
	.record = on_record,
	.finish = on_finish,
};

/* Callbacks of admission. */

static bsh_error_t choose_target(traffic_request_t *r,
				 bsh_route_request_t *request,
				 bsh_route_choice_t *choice)
{
	uint32_t kept = bsh_attempt_kept_target(&r->attempt);
	router_traffic_t *t = r->traffic;
	bsh_error_t err;

	*request = (bsh_route_request_t){
		.key = r->key,
		.priority = r->priority,
		.repeatable = r->attempt.spec.repeatable,
		.prefix = r->prefix,
		.prefix_count = r->prefix_count,
		.excluded_count = r->attempt.tried_count,
	};
	memcpy(request->excluded, r->attempt.tried, sizeof(request->excluded));
	memset(choice, 0, sizeof(*choice));
	err = bsh_route_choose(&t->route, request, choice, now_us(t));
	if (err != BSH_ERR_CONNECT || request->excluded_count == 0)
		return err;
	/* Without another target, one that failed may be tried again if its
	 * breaker permits, but not the one that has the request still. */
	request->excluded_count = kept != BSH_ROUTE_NONE ? 1 : 0;
	request->excluded[0] = kept;
	return bsh_route_choose(&t->route, request, choice, now_us(t));
}

static traffic_load_t *get_load(router_traffic_t *t, const char *name,
				uint32_t target)
{
	g_autofree char *key = g_strdup_printf("%s %u", name, target);
	traffic_load_t *load = g_hash_table_lookup(t->loads, key);

	if (load == NULL) {
		load = g_new0(traffic_load_t, 1);
		g_strlcpy(load->name, name, sizeof(load->name));
		load->target = target;
		g_hash_table_insert(t->loads, g_steal_pointer(&key), load);
	}
	return load;
}

static void start_attempt(traffic_request_t *r,
			  const bsh_route_request_t *request,
			  const bsh_route_choice_t *choice)
{
	traffic_call_t *call = traffic_prepare_call(r);
	router_traffic_t *t = r->traffic;

	bsh_route_start(&t->route, request, choice, now_us(t));
	bsh_counter_add(&router_counters.attempts, 1);
	if (r->attempt.id.attempt > 1)
		bsh_counter_add(&router_counters.retries, 1);
	call->load = get_load(t, r->name, choice->target);
	call->load->running++;
	call->load->started++;
	if (traffic_start_call(call, bsh_route_target(&t->route, choice->target)
					     ->address) != BSH_OK) {
		traffic_job_t *job = g_new0(traffic_job_t, 1);

		job->kind = TRAFFIC_JOB_CALL_FAILED;
		job->id = call->id;
		g_queue_push_tail(&t->jobs, job);
		bsh_loop_task_schedule(&t->task);
	}
}

static bsh_start_t on_start(void *ctx, bsh_admission_request_t *waiting)
{
	traffic_request_t *r = waiting->user;
	router_traffic_t *t = ctx;
	bsh_route_request_t request;
	bsh_route_choice_t choice;
	bsh_error_t err = choose_target(r, &request, &choice);

	if (err == BSH_ERR_NOT_FOUND)
		return BSH_START_COLD;
	if (err == BSH_ERR_CONNECT &&
	    bsh_attempt_kept_target(&r->attempt) != BSH_ROUTE_NONE)
		return BSH_START_NONE;
	if (err == BSH_ERR_CONNECT)
		waiting->not_before_us = choice.retry_us;
	if (err != BSH_OK || !bsh_route_may_send(&t->route, &choice))
		return BSH_START_FULL;
	/* Fails only after the deadline; the timer of the attempt then ends
	 * the request. */
	if (!bsh_attempt_start(&t->attempts, &r->attempt, &choice, now_us(t)))
		return BSH_START_FULL;
	start_attempt(r, &request, &choice);
	return BSH_START_OK;
}

static void on_refuse(void *ctx, bsh_admission_request_t *waiting,
		      bsh_error_t err, uint32_t retry_after_ms)
{
	traffic_request_t *r = waiting->user;
	router_traffic_t *t = ctx;

	bsh_attempt_refused(&t->attempts, &r->attempt, err, retry_after_ms,
			    now_us(t));
}

static void on_need(void *ctx, const char *key, uint8_t priority,
		    int64_t deadline_us)
{
	router_traffic_t *t = ctx;
	int64_t left_us = deadline_us - now_us(t);
	uint32_t waiting = bsh_admission_waiting(&t->admission, key);

	bsh_timeline_add(&t->router->timeline, "need", "{s:s, s:i, s:i}",
			 "name", traffic_key_name(key), "priority", priority,
			 "waiting", (int)waiting);
	router_send_need(t->router, ++t->last_need_id, traffic_key_name(key),
			 left_us > 0 ? (uint64_t)left_us / 1000 : 0, priority,
			 waiting);
}

static const bsh_admission_ops_t admission_ops = { on_start, on_refuse,
						   on_need };

/* Callbacks of drain. */

static void on_not_ready(void *ctx)
{
	router_traffic_t *t = ctx;

	router_set_not_ready(t->router, ROUTER_DRAINING, true);
	bsh_timeline_add(&t->router->timeline, "drain-begin", "{s:i}",
			 "requests", (int)bsh_http_server_requests(t->server));
}

static void on_announce_leaving(void *ctx)
{
	router_traffic_t *t = ctx;

	router_send_drain(t->router, false,
			  bsh_http_server_requests(t->server));
}

static void on_close_idle(void *ctx)
{
	router_traffic_t *t = ctx;

	/* While requests are in progress the port stays open, so that new
	 * callers get a 503 with the address of another entry, if one is known,
	 * instead of a refused connection. */
	if (t->drain.left[BSH_DRAIN_REQUESTS] > 0)
		bsh_http_server_close_idle(t->server);
	else
		bsh_http_server_stop(t->server);
}

static void stop_control_loop(void *ctx)
{
	router_t *router = ctx;

	bsh_loop_stop(&router->control_loop);
}

static void on_drain_exit(void *ctx, bool clean)
{
	router_traffic_t *t = ctx;

	if (t->ended)
		return;
	t->ended = true;
	bsh_timeline_add(&t->router->timeline, "drain-end", "{s:b, s:s}",
			 "clean", clean, "left",
			 clean ? "" : bsh_drain_left(&t->drain));
	bsh_log(BSH_LOG_INFO, "drain-end clean=%d", clean);
	router_send_drain(t->router, true, 0);
	/* Runs after the message, since posts are executed in order. */
	bsh_loop_post(&t->router->control_loop, stop_control_loop, t->router);
	bsh_loop_stop(t->loop);
}

static const bsh_drain_ops_t drain_ops = {
	.not_ready = on_not_ready,
	.announce_leaving = on_announce_leaving,
	.close_idle = on_close_idle,
	.exit = on_drain_exit,
};

static void begin_drain(void *ctx)
{
	router_t *router = ctx;
	router_traffic_t *t = router->traffic;

	bsh_drain_set(&t->drain, BSH_DRAIN_CONNECTIONS,
		      bsh_http_server_connections(t->server), now_us(t));
	bsh_drain_begin(&t->drain, now_us(t));
	traffic_schedule_task(t);
}

void router_begin_drain(router_t *router)
{
	bsh_loop_post(&router->traffic_loop, begin_drain, router);
}

void router_on_drain(router_t *router, const char *alternative)
{
	router_traffic_t *t = router->traffic;

	g_strlcpy(t->alternative, alternative, sizeof(t->alternative));
	begin_drain(router);
}

void router_on_results_dequeued(router_t *router, uint32_t count)
{
	router_traffic_t *t = router->traffic;

	t->results_pending -= MIN(count, t->results_pending);
	bsh_drain_set(&t->drain, BSH_DRAIN_JOURNAL, t->results_pending,
		      now_us(t));
	traffic_schedule_task(t);
}

/* Jobs, timer and load reports. */

/* Two jobs of a request may be queued if its kept attempt was answered and then
 * failed; only the first one submits it. */
static bool is_to_be_submitted(const traffic_request_t *r)
{
	return r->attempt.state == BSH_ATTEMPT_QUEUED &&
	       r->waiting.model == NULL;
}

static void run_job(router_traffic_t *t, traffic_job_t *job)
{
	traffic_request_t *r = job->request;

	switch (job->kind) {
	case TRAFFIC_JOB_ATTEMPT_ENDED:
		bsh_admission_ended(&t->admission, job->key, job->elapsed_us,
				    now_us(t));
		break;
	case TRAFFIC_JOB_CALL_FAILED:
		bsh_attempt_failed(&t->attempts, &job->id, now_us(t));
		break;
	case TRAFFIC_JOB_SUBMIT:
		/* It may have ended since the job was queued. */
		if (is_to_be_submitted(r))
			bsh_admission_submit(&t->admission, r->key, &r->waiting,
					     now_us(t));
		break;
	case TRAFFIC_JOB_REQUEUE:
		if (is_to_be_submitted(r))
			bsh_admission_requeue(&t->admission, r->key,
					      &r->waiting, now_us(t));
		break;
	}
}

static void free_requests(router_traffic_t *t)
{
	for (guint i = 0; i < t->to_free->len; i++) {
		traffic_free_request(g_ptr_array_index(t->to_free, i));
		bsh_drain_release(&t->drain, now_us(t));
	}
	g_ptr_array_set_size(t->to_free, 0);
}

static void set_timer(router_traffic_t *t)
{
	int64_t at_us = MIN(bsh_admission_next_us(&t->admission),
			    bsh_attempts_next_us(&t->attempts));

	at_us = MIN(at_us, bsh_drain_next_us(&t->drain, now_us(t)));
	if (t->was_fresh)
		at_us = MIN(at_us, t->fresh_until_us);
	if (at_us == INT64_MAX)
		bsh_loop_timer_stop(&t->timer);
	else if (!bsh_loop_timer_is_running(&t->timer) ||
		 t->timer.at_us != at_us)
		bsh_loop_timer_start(&t->timer, at_us);
}

static void set_gauges(const router_traffic_t *t)
{
	router_counters_t *c = &router_counters;

	bsh_counter_set(&c->open, bsh_http_server_requests(t->server));
	bsh_counter_set(&c->waiting, t->admission.waiting);
	bsh_counter_set(&c->connections,
			bsh_http_server_connections(t->server));
	bsh_counter_set(&c->late, (int64_t)t->attempts.late);
	bsh_counter_set(&c->mismatched, (int64_t)t->attempts.mismatched);
}

static void on_task(void *ctx)
{
	router_traffic_t *t = ctx;
	traffic_job_t *job;

	while ((job = g_queue_pop_head(&t->jobs)) != NULL) {
		run_job(t, job);
		g_free(job);
	}
	free_requests(t);
	if (!bsh_drain_accepts(&t->drain))
		bsh_drain_set(&t->drain, BSH_DRAIN_CONNECTIONS,
			      bsh_http_server_connections(t->server),
			      now_us(t));
	set_timer(t);
}

void traffic_schedule_task(router_traffic_t *t)
{
	bsh_loop_task_schedule(&t->task);
}

static void on_timer(void *ctx)
{
	router_traffic_t *t = ctx;

	traffic_is_fresh(t, now_us(t));
	bsh_attempts_tick(&t->attempts, now_us(t));
	bsh_admission_tick(&t->admission, now_us(t));
	bsh_drain_tick(&t->drain, now_us(t));
	traffic_schedule_task(t);
}

static void add_waiting(router_traffic_t *t, GArray *entries)
{
	for (guint i = 0; i < t->admission.backlog->len; i++) {
		const bsh_admission_model_t *m =
			g_ptr_array_index(t->admission.backlog, i);
		router_report_t entry = {
			.name = traffic_key_name(m->key),
			.target = "",
			.waiting = bsh_admission_waiting(&t->admission, m->key),
		};

		g_array_append_val(entries, entry);
	}
}

static void on_report(void *ctx)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(router_report_t));
	router_traffic_t *t = ctx;
	GHashTableIter it;
	traffic_load_t *load;

	__atomic_store_n(&t->router->traffic_heartbeat_us, bsh_loop_clock_us(),
			 __ATOMIC_RELAXED);
	set_gauges(t);
	g_hash_table_iter_init(&it, t->loads);
	while (g_hash_table_iter_next(&it, NULL, (void **)&load)) {
		const bsh_route_target_t *target =
			bsh_route_target(&t->route, load->target);
		router_report_t entry = {
			.name = load->name,
			.target = target->name,
			.target_incarnation = target->incarnation,
			.started = load->started,
			.running = load->running,
		};

		g_array_append_val(entries, entry);
		load->started = 0;
	}
	add_waiting(t, entries);
	/* After the last entries one empty report is sent, then none. */
	if (entries->len > 0 || t->reported)
		router_send_report(
			t->router,
			(const router_report_t *)(void *)entries->data,
			entries->len);
	t->reported = entries->len > 0;
	g_array_free(entries, TRUE);
	g_hash_table_iter_init(&it, t->loads);
	while (g_hash_table_iter_next(&it, NULL, (void **)&load)) {
		if (load->running == 0)
			g_hash_table_iter_remove(&it);
	}
	bsh_loop_timer_start(&t->report_timer, now_us(t) + REPORT_INTERVAL_US);
}

/* Start of a request, replies of the controller, set-up. */

bsh_error_t traffic_begin_request(traffic_request_t *r, int64_t deadline_us,
				  bool repeatable, bool stream)
{
	router_traffic_t *t = r->traffic;
	bsh_attempt_spec_t spec = {
		.user = r,
		.deadline_us = deadline_us,
		.repeatable = repeatable,
		.has_key = r->idempotency_key != NULL,
		.stream = stream,
		.engine = !r->is_service,
	};
	bsh_error_t err =
		bsh_attempt_begin(&t->attempts, &r->attempt, &spec, now_us(t));

	if (err != BSH_OK)
		return err;
	r->begun = true;
	bsh_timeline_add(&t->router->timeline, "admitted",
			 "{s:I, s:s, s:I, s:i, s:I}", "request",
			 (json_int_t)r->attempt.id.sequence, "name", r->name,
			 "generation", (json_int_t)t->config->generation,
			 "priority", r->priority, "deadline_ms",
			 (json_int_t)((deadline_us - now_us(t)) / 1000));
	return BSH_OK;
}

void traffic_note_sent(const traffic_call_t *call)
{
	const traffic_request_t *r = call->request;
	router_traffic_t *t = r->traffic;
	const bsh_route_target_t *target =
		bsh_route_target(&t->route, r->attempt.target.target);

	bsh_timeline_add(
		&t->router->timeline, "sent", "{s:I, s:s, s:s, s:s, s:I, s:I}",
		"request", (json_int_t)call->id.sequence, "attempt",
		call->id_text, "name", r->name, "target",
		target != NULL ? target->name : "", "target_incarnation",
		(json_int_t)r->attempt.target.incarnation, "generation",
		(json_int_t)(t->config != NULL ? t->config->generation : 0));
}

void router_on_intent_answer(router_t *router, uint64_t id,
			     router_intent_verdict_t verdict,
			     uint32_t retry_after_ms,
			     const router_result_t *result)
{
	static const bsh_intent_verdict_t verdicts[] = {
		[ROUTER_INTENT_RUN] = BSH_INTENT_RUN,
		[ROUTER_INTENT_ANSWERED] = BSH_INTENT_ANSWERED,
		[ROUTER_INTENT_NOT_KEPT] = BSH_INTENT_NOT_KEPT,
		[ROUTER_INTENT_IN_PROGRESS] = BSH_INTENT_IN_PROGRESS,
		[ROUTER_INTENT_UNKNOWN] = BSH_INTENT_UNKNOWN,
		[ROUTER_INTENT_MISMATCH] = BSH_INTENT_MISMATCH,
		[ROUTER_INTENT_UNAVAILABLE] = BSH_INTENT_UNAVAILABLE,
	};
	router_traffic_t *t = router->traffic;
	traffic_request_t *r = g_hash_table_lookup(t->intents, &id);

	if (r == NULL)
		return;
	g_hash_table_remove(t->intents, &id);
	if (verdict == ROUTER_INTENT_ANSWERED)
		traffic_set_response(r, result);
	bsh_attempt_intent(&t->attempts, &r->attempt.id, verdicts[verdict],
			   retry_after_ms, now_us(t));
	traffic_schedule_task(t);
}

void router_on_load_accepted(router_t *router, const char *model,
			     uint64_t estimate_ms)
{
	router_traffic_t *t = router->traffic;
	char key[TRAFFIC_KEY_SIZE];

	traffic_make_key(key, model, false);
	bsh_admission_load_accepted(
		&t->admission, key,
		now_us(t) + (int64_t)MIN(estimate_ms, INT32_MAX) * 1000,
		now_us(t));
	traffic_schedule_task(t);
}

void router_on_load_refused(router_t *router, const char *model,
			    uint32_t retry_after_ms)
{
	router_traffic_t *t = router->traffic;
	char key[TRAFFIC_KEY_SIZE];

	traffic_make_key(key, model, false);
	bsh_admission_load_refused(&t->admission, key, retry_after_ms,
				   now_us(t));
	traffic_schedule_task(t);
}

bsh_error_t traffic_modules_init(router_traffic_t *t)
{
	uint32_t seed = (uint32_t)t->router->incarnation;
	bsh_admission_config_t admission;
	bsh_attempts_config_t attempts;
	bsh_route_config_t route;

	bsh_admission_config_default(&admission);
	admission.seed = seed;
	bsh_admission_init(&t->admission, &admission, &admission_ops, t);
	bsh_attempts_config_default(&attempts);
	attempts.max_open = t->router->settings.router_max_requests;
	bsh_attempts_init(&t->attempts, &attempts, t->router->incarnation,
			  &attempt_ops, t);
	bsh_route_config_default(&route);
	route.seed = seed;
	g_strlcpy(route.zone, t->router->settings.zone, sizeof(route.zone));
	bsh_route_init(&t->route, &route);
	bsh_drain_init(&t->drain, t->router->settings.drain_ms, &drain_ops, t);
	t->intents = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->to_free = g_ptr_array_new();
	g_queue_init(&t->jobs);
	bsh_loop_task_init(&t->task, t->loop, on_task, t);
	bsh_loop_timer_init(&t->timer, t->loop, on_timer, t);
	bsh_loop_timer_init(&t->report_timer, t->loop, on_report, t);
	bsh_loop_timer_start(&t->report_timer, now_us(t) + REPORT_INTERVAL_US);
	return BSH_OK;
}

void traffic_modules_finish(router_traffic_t *t)
{
	bsh_loop_timer_stop(&t->timer);
	bsh_loop_timer_stop(&t->report_timer);
	bsh_loop_task_cancel(&t->task);
	free_requests(t);
	g_queue_clear_full(&t->jobs, g_free);
	g_ptr_array_free(t->to_free, TRUE);
	g_hash_table_destroy(t->intents);
	g_hash_table_destroy(t->loads);
	bsh_attempts_finish(&t->attempts);
	bsh_admission_finish(&t->admission);
	bsh_route_finish(&t->route);
}
