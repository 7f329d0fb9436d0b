/* Requests of callers: routing, queueing, retries and the end of a request. */
#include "traffic.h"

#include <math.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "platform/ingress.h"
#include "protocol/problem.h"

/* Connections of callers; a request occupies one, and many are idle. */
#define CONNECTIONS_MAX 2000U
#define IDLE_TIMEOUT_S	75U
/* Limit of the server for a request body; the configuration may set a lower
 * one. */
#define BODY_MAX_BYTES (8U << 20)
/* Idle connections to targets. */
#define IDLE_CONNECTIONS_MAX 256U
/* A request is not retried with less time than this left, as the answer would
 * come too late. */
#define RETRY_MIN_MS 40U
/* Least time that a request needs at a target, apart from the wait. */
#define RUN_MIN_US INT64_C(60000)
/* Lower bound of the inactivity timeout.  The timeout is the latency objective
 * of the route, or the longest pause between events once a stream has begun.
 * When it expires and the target has answered no other request meanwhile, a
 * repeatable request is retried on another target. */
#define INACTIVITY_MIN_US INT64_C(300000)
/* Estimates vary as loads begin and end: a waiting request is refused only when
 * the estimate has exceeded its deadline for this time. */
#define LATE_CONFIRM_US INT64_C(250000)
/* Longest time after its arrival that a request waits without a lease holder:
 * no instance orders targets to load models then. */
#define NO_HOLDER_WAIT_US INT64_C(3000000)
/* Retry-After without an estimate. */
#define RETRY_DEFAULT_MS 300
/* Retry-After while draining: another instance can serve the caller at once. */
#define RETRY_ELSEWHERE_MS 20
/* Time reserved during the drain for a waiting request to run. */
#define DRAIN_RUN_US INT64_C(2500000)
/* Remaining requests are aborted this long before the end of the grace time, so
 * that their responses are sent before the process is killed. */
#define ABORT_MARGIN_US INT64_C(500000)
/* Interval at which a stopping process closes connections that became idle. */
#define QUIT_POLL_INTERVAL_US INT64_C(50000)

enum {
	COUNT_ANSWERED,
	COUNT_FAILED,
	COUNT_REFUSED,
	COUNT_UNKNOWN,
	COUNT_GONE,
	COUNT_NO_ROUTE,
	COUNT_ENDS
};

#define REQUESTS_HELP "Requests by how they ended."
static bsh_counter_t end_counters[COUNT_ENDS] = {
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP,
			   "end=\"answered\""),
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP,
			   "end=\"failed\""),
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP,
			   "end=\"refused\""),
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP,
			   "end=\"unknown\""),
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP, "end=\"gone\""),
	BSH_COUNTER_LABELS("bsh_requests_total", REQUESTS_HELP,
			   "end=\"no-route\""),
};
static bsh_counter_t retries =
	BSH_COUNTER("bsh_repeats_total", "Requests sent to another target.");
static bsh_counter_t retries_denied =
	BSH_COUNTER("bsh_repeats_denied_total",
		    "Requests not sent again because the budget was empty.");
static bsh_counter_t budget_left =
	BSH_GAUGE("bsh_retry_budget_left",
		  "Repeats that may be sent now, for the service with fewest.");
static bsh_counter_t waiting_gauge = BSH_GAUGE(
	"bsh_requests_waiting", "Requests that wait for a model or a target.");

static const char *const kind_names[] = {
	[BSH_KIND_REPEATABLE] = "repeatable",
	[BSH_KIND_AT_MOST_ONCE] = "once",
	[BSH_KIND_STREAM] = "stream",
};
#define BY_KIND(name, help)                                                    \
	{                                                                      \
		BSH_HISTOGRAM(name, help, "kind=\"repeatable\""),              \
			BSH_HISTOGRAM(name, help, "kind=\"once\""),            \
			BSH_HISTOGRAM(name, help, "kind=\"stream\""),          \
	}
static bsh_histogram_t total_time[] = BY_KIND(
	"bsh_request_seconds", "Time from a request to the end of its answer.");
static bsh_histogram_t first_time[] =
	BY_KIND("bsh_request_first_byte_seconds",
		"Time from a request to the first byte of its answer.");
static bsh_histogram_t wait_time[] =
	BY_KIND("bsh_request_wait_seconds",
		"Time that a request waited for a model or a target.");
static bsh_histogram_t config_age = BSH_HISTOGRAM(
	"bsh_request_config_age_seconds",
	"Time since the store confirmed the configuration, by request.", NULL);
static bsh_histogram_t targets_age = BSH_HISTOGRAM(
	"bsh_request_targets_age_seconds",
	"Time since the store confirmed the list of targets, by request.",
	NULL);

static void dispatch(request_t *r);

int64_t traffic_now_us(const traffic_t *traffic)
{
	return bsh_loop_now_us(traffic->loop);
}

/* State of a request. */

static void set_state(request_t *r, request_state_t state)
{
	traffic_t *t = r->traffic;
	model_demand_t *counters =
		demand_is_counted(r) ? demand_counters(t, r) : NULL;

	if (r->state == state)
		return;
	if (r->state == REQUEST_WAITING) {
		r->waited_us += traffic_now_us(t) - r->wait_began_us;
		g_queue_unlink(&t->waiting, &r->wait_link);
		if (counters != NULL && counters->waiting > 0)
			counters->waiting--;
	} else if (r->state == REQUEST_RUNNING && counters != NULL &&
		   counters->running > 0) {
		counters->running--;
	}
	r->state = state;
	if (state == REQUEST_WAITING) {
		r->wait_began_us = traffic_now_us(t);
		g_queue_push_tail_link(&t->waiting, &r->wait_link);
		if (counters != NULL)
			counters->waiting++;
		demand_send_soon(t);
	} else if (state == REQUEST_RUNNING && counters != NULL) {
		counters->running++;
	}
	bsh_counter_set(&waiting_gauge, t->waiting.length);
}

/* Age of a confirmation; -1: the store has not confirmed the state yet. */
static int64_t age_us(const request_t *r, const int64_t *confirmed_us)
{
	int64_t at_us = __atomic_load_n(confirmed_us, __ATOMIC_RELAXED);

	return at_us > 0 ? MAX(traffic_now_us(r->traffic) - at_us, 0) : -1;
}

static int to_ms(int64_t us)
{
	return us >= 0 ? (int)(us / 1000) : -1;
}

static void log_end(const request_t *r, const char *end, int status,
		    const char *reason)
{
	const freshness_t *freshness = &r->traffic->entry->freshness;
	int64_t now_us = traffic_now_us(r->traffic);

	bsh_log(BSH_LOG_INFO,
		"request id=%s route=%s kind=%s model=%s end=%s status=%d "
		"reason=%s target=%s sends=%u tried=%u repeat=%s waited_ms=%d "
		"first_ms=%d total_ms=%d left_ms=%d config=%" G_GUINT64_FORMAT
		" config_age_ms=%d targets_age_ms=%d view=%" G_GUINT64_FORMAT,
		r->info.attempt_id, r->route != NULL ? r->route->name : "-",
		r->route != NULL ? kind_names[r->route->kind] : "-",
		r->info.model_name != NULL ? r->info.model_name : "-", end,
		status, reason, r->target != NULL ? r->target->id : "-",
		r->sends, r->n_tried, r->retry_denial, to_ms(r->waited_us),
		r->first_byte_us > 0 ? to_ms(r->first_byte_us - r->arrived_us)
				     : -1,
		to_ms(now_us - r->arrived_us), (int)forward_time_left_ms(r),
		r->catalog != NULL ? r->catalog->version : 0,
		to_ms(age_us(r, &freshness->config_us)),
		to_ms(age_us(r, &freshness->targets_us)),
		r->traffic->view_number);
}

static void count_times(const request_t *r)
{
	const freshness_t *freshness = &r->traffic->entry->freshness;
	bsh_route_kind_t kind = r->route->kind;

	bsh_histogram_observe(&total_time[kind],
			      traffic_now_us(r->traffic) - r->arrived_us);
	bsh_histogram_observe(&wait_time[kind], r->waited_us);
	if (r->first_byte_us > 0)
		bsh_histogram_observe(&first_time[kind],
				      r->first_byte_us - r->arrived_us);
	bsh_histogram_observe(&config_age, age_us(r, &freshness->config_us));
	bsh_histogram_observe(&targets_age, age_us(r, &freshness->targets_us));
}

/* Ends the request; it is freed by on_done(). */
static void finish(request_t *r, int counter, int status, const char *reason)
{
	static const char *const names[] = { "answered", "failed", "refused",
					     "unknown",	 "gone",   "no-route" };

	bsh_loop_timer_stop(&r->timer);
	bsh_loop_timer_stop(&r->inactivity_timer);
	set_state(r, REQUEST_ENDED);
	bsh_counter_add(&end_counters[counter], 1);
	if (r->route != NULL)
		count_times(r);
	log_end(r, names[counter], status, reason);
}

static void answer_problem(request_t *r, bsh_error_t err, int64_t retry_ms)
{
	const bsh_error_info_t *answer = bsh_error_info(err);
	bsh_problem_t problem;
	char *body;
	char seconds[32];

	bsh_problem_init(&problem, err);
	if (answer->retry_after && retry_ms >= 0) {
		problem.retry_after_ms = retry_ms;
		g_snprintf(seconds, sizeof(seconds), "%d.%03d",
			   (int)(retry_ms / 1000), (int)(retry_ms % 1000));
		bsh_http_response_add_header(r->http, "Retry-After", seconds);
	}
	problem.request_id = r->info.attempt_id;
	body = bsh_problem_body(&problem);
	bsh_http_response_add_header(r->http, "Content-Type",
				     BSH_PROBLEM_MEDIA_TYPE);
	platform_answer_attempt_id(r->http, &r->info);
	bsh_http_response_send(r->http, answer->http_status, body,
			       strlen(body));
	free(body);
}

/* Ends the request with a problem document, or aborts the response if it has
 * begun. */
static void fail_request(request_t *r, bsh_error_t err, int64_t retry_ms)
{
	const bsh_error_info_t *answer;

	forward_cancel(r);
	/* After an attempt with an unknown outcome the response must not claim
	 * that the request has not run. */
	if (r->may_have_run &&
	    bsh_error_info(err)->outcome == BSH_OUTCOME_NOT_RUN)
		err = err == BSH_ERR_DEADLINE ? BSH_ERR_TIMEOUT
					      : BSH_ERR_CONNECTION_LOST;
	answer = bsh_error_info(err);
	if (r->answer_begun) {
		bsh_http_response_abort(r->http);
		finish(r, COUNT_UNKNOWN, r->status, bsh_error_name(err));
		return;
	}
	answer_problem(r, err, retry_ms);
	finish(r,
	       answer->outcome == BSH_OUTCOME_NOT_RUN ? COUNT_REFUSED
						      : COUNT_UNKNOWN,
	       answer->http_status, answer->name);
}

/* Targets. */

static target_state_t *get_target(traffic_t *t, const char *id)
{
	target_state_t *state = g_hash_table_lookup(t->targets, id);

	if (state != NULL)
		return state;
	state = g_new0(target_state_t, 1);
	g_strlcpy(state->id, id, sizeof(state->id));
	state->key = bsh_target_key(id);
	g_hash_table_insert(t->targets, state->id, state);
	return state;
}

static bool was_tried(const request_t *r, uint64_t hash)
{
	for (uint32_t i = 0; i < r->n_tried; i++)
		if (r->tried[i] == hash)
			return true;
	return false;
}

static bool can_serve(const request_t *r, const view_target_t *target)
{
	if (strcmp(target->service, r->service->name) != 0)
		return false;
	if (!demand_is_counted(r))
		return true;
	return bsh_holdings_has(&target->holdings, r->info.model, 0) &&
	       bsh_holdings_has(&target->holdings, r->info.model,
				r->info.adapter);
}

/* Hash by which requests with a common prompt prefix prefer the same target and
 * its KV cache.  The last of several parts is left out: it belongs to the
 * request or its session alone. */
static uint64_t affinity_of(const request_t *r)
{
	const bsh_request_info_t *info = &r->info;
	uint64_t part = 0;

	if (info->n_parts >= 2)
		part = info->parts[info->n_parts - 2].id;
	else if (info->n_parts == 1)
		part = info->parts[0].id;
	return part ^ info->model;
}

/* The best target that can serve the request and was not tried, or NULL;
 * *chosen, unless NULL, is what was known of it. */
static const view_target_t *choose_target(request_t *r,
					  bsh_target_candidate_t *chosen)
{
	traffic_t *t = r->traffic;
	const GArray *targets = t->view->targets;
	int64_t now_us = traffic_now_us(t);
	target_state_t *state;
	bsh_target_work_t work;
	int32_t best;

	g_array_set_size(t->candidates, 0);
	g_ptr_array_set_size(t->candidate_targets, 0);
	for (guint i = 0; i < targets->len; i++) {
		view_target_t *target =
			&g_array_index(targets, view_target_t, i);
		bsh_target_candidate_t candidate = {
			.slots = target->slots,
			.target_hash = target->hash,
			.same_zone = target->same_zone,
			.entry_removed = target->entry_removed,
		};

		if (!can_serve(r, target) || was_tried(r, target->hash))
			continue;
		state = get_target(t, target->id);
		if (demand_is_counted(r) &&
		    engine_load_has_ended(state, target->started_ms, now_us))
			continue;
		candidate.record = &state->record;
		g_array_append_val(t->candidates, candidate);
		g_ptr_array_add(t->candidate_targets, target);
	}
	r->candidates = t->candidates->len;
	engine_load_work(r, &work);
	best = bsh_target_choose(
		(bsh_target_candidate_t *)(void *)t->candidates->data,
		t->candidates->len, &work, affinity_of(r), now_us);
	if (best < 0)
		return NULL;
	if (chosen != NULL)
		*chosen = g_array_index(t->candidates, bsh_target_candidate_t,
					best);
	return g_ptr_array_index(t->candidate_targets, best);
}

void traffic_update_budget_gauge(traffic_t *t)
{
	double least = HUGE_VAL;
	GHashTableIter iter;
	void *budget;

	g_hash_table_iter_init(&iter, t->budgets);
	while (g_hash_table_iter_next(&iter, NULL, &budget))
		least = MIN(least,
			    bsh_retry_budget_left(budget, traffic_now_us(t)));
	if (least != HUGE_VAL)
		bsh_counter_set(&budget_left, (int64_t)least);
}

static bsh_retry_budget_t *retry_budget_of(request_t *r)
{
	traffic_t *t = r->traffic;
	const bsh_settings_t *s = &t->entry->settings;
	bsh_retry_budget_t *budget =
		g_hash_table_lookup(t->budgets, r->service->name);

	if (budget != NULL)
		goto share;
	budget = g_new0(bsh_retry_budget_t, 1);
	bsh_retry_budget_init(budget, s->retry_ratio,
			      (uint32_t)(s->retry_window_s * 1000));
	g_hash_table_insert(t->budgets, g_strdup(r->service->name), budget);
share:
	bsh_retry_budget_set_slack(budget, s->retry_slack, t->view->instances);
	return budget;
}

/* Waiting. */

static int64_t time_left_us(const request_t *r)
{
	return MIN(MIN(r->client_deadline_us, r->timeout_us),
		   r->stream_deadline_us) -
	       traffic_now_us(r->traffic);
}

/* True if the model is expected early enough for the request to end before the
 * drain aborts it. */
static bool is_ready_before_abort(const request_t *r, const view_ready_t *ready)
{
	int64_t left_us = r->traffic->abort_at_us - traffic_now_us(r->traffic);

	return ready != NULL && ready->ready_us != INT64_MAX &&
	       ready->ready_us - ready->estimated_us + DRAIN_RUN_US < left_us;
}

static void log_wait(request_t *r, const view_ready_t *ready)
{
	int ready_in_ms = -1;

	if (r->wait_logged)
		return;
	r->wait_logged = true;
	if (ready != NULL && ready->ready_us != INT64_MAX)
		ready_in_ms = to_ms(ready->ready_us - ready->estimated_us);
	bsh_log(BSH_LOG_INFO,
		"request-waiting id=%s model=%s tried=%u ready_in_ms=%d "
		"left_ms=%d holder=%d view=%" G_GUINT64_FORMAT,
		r->info.attempt_id, r->info.model_name, r->n_tried, ready_in_ms,
		to_ms(time_left_us(r)), r->traffic->view->has_holder,
		r->traffic->view_number);
}

/* True if the model is expected after the deadline of the request.  If it waits
 * already, the estimate must have been too late for LATE_CONFIRM_US. */
static bool is_too_late(request_t *r, int64_t wait_us)
{
	int64_t now_us = traffic_now_us(r->traffic);

	if (wait_us + RUN_MIN_US <= time_left_us(r)) {
		r->late_since_us = 0;
		return false;
	}
	if (r->late_since_us == 0)
		r->late_since_us = now_us;
	return r->state != REQUEST_WAITING ||
	       now_us - r->late_since_us >= LATE_CONFIRM_US;
}

/* Queues the request until the next view, or refuses it at once if it cannot be
 * served in time. */
static void wait_or_refuse(request_t *r)
{
	const view_t *view = r->traffic->view;
	const view_ready_t *ready;
	int64_t now_us = traffic_now_us(r->traffic);
	int64_t wait_us;

	if (!demand_is_counted(r)) {
		fail_request(r, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
		return;
	}
	if (bsh_service_model(r->service, r->info.model) == NULL) {
		fail_request(r, BSH_ERR_NOT_FOUND, -1);
		return;
	}
	ready = view_find_ready(view, r->info.model, r->info.adapter);
	if (ready != NULL && ready->ready_us != INT64_MAX) {
		/* The clock is that of the control thread: only the
		 * difference is valid here. */
		wait_us = ready->ready_us - ready->estimated_us;
		if (is_too_late(r, wait_us)) {
			fail_request(r, BSH_ERR_DEADLINE, wait_us / 1000);
			return;
		}
	}
	if (r->traffic->draining && !is_ready_before_abort(r, ready)) {
		fail_request(r, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
		return;
	}
	if (!view->has_holder && now_us - r->arrived_us > NO_HOLDER_WAIT_US) {
		fail_request(r, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
		return;
	}
	log_wait(r, ready);
	/* At the next dispatch a target that was tried may be the only one, and
	 * may have recovered. */
	r->n_tried = 0;
	set_state(r, REQUEST_WAITING);
}

static void on_inactivity(void *ctx);

/* Time after which a target that sends nothing counts as inactive. */
static int64_t inactivity_timeout_us(const request_t *r)
{
	const bsh_route_rule_t *route = r->route;
	bool has_begun = r->is_stream && r->relay.passed > 0;
	uint32_t ms = has_begun && route->event_gap_ms > 0
			      ? route->event_gap_ms
			      : route->latency_objective_ms;

	return MAX(ms * INT64_C(1000), INACTIVITY_MIN_US);
}

static void send_to(request_t *r, const view_target_t *target,
		    const bsh_target_candidate_t *candidate)
{
	int64_t now_us = traffic_now_us(r->traffic);

	r->target = get_target(r->traffic, target->id);
	r->target_started_ms = target->started_ms;
	if (r->n_tried < TRIED_MAX)
		r->tried[r->n_tried++] = target->hash;
	set_state(r, REQUEST_RUNNING);
	engine_load_started(r, candidate);
	r->last_active_us = now_us;
	if (r->repeatable)
		bsh_loop_timer_after(&r->inactivity_timer,
				     inactivity_timeout_us(r));
	if (forward_start(r, target) != BSH_OK)
		traffic_attempt_ended(r, ATTEMPT_NOT_REACHED, BSH_ERR_SYSTEM);
}

/* Ends a request whose caller no longer waits for it.  After a pause of the
 * process, or when it is short of processor time, the deadline and the
 * disconnect may not have been handled yet. */
static void end_abandoned(request_t *r)
{
	if (bsh_http_request_is_connected(r->http)) {
		fail_request(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
		return;
	}
	forward_cancel(r);
	bsh_http_response_abort(r->http);
	finish(r, COUNT_GONE, 0, "caller-left");
}

static void dispatch(request_t *r)
{
	bsh_target_candidate_t candidate;
	const view_target_t *target;

	if (forward_is_abandoned(r)) {
		end_abandoned(r);
		return;
	}
	if (r->n_tried >= TRIED_MAX) {
		fail_request(r, BSH_ERR_CONNECT, RETRY_DEFAULT_MS);
		return;
	}
	target = choose_target(r, &candidate);
	if (target != NULL)
		send_to(r, target, &candidate);
	else if (r->n_tried > 0 && !demand_is_counted(r))
		fail_request(r, BSH_ERR_CONNECT, RETRY_DEFAULT_MS);
	else
		wait_or_refuse(r);
}

/* The end of an attempt. */

/* True if a request with this many sends may be retried; takes a token from the
 * retry budget then.  Sets r->retry_denial. */
static bool may_send_again(request_t *r, uint32_t sends)
{
	bool is_committed =
		r->answer_begun &&
		!(r->is_stream && r->route->resumable && r->relay.passed > 0);

	if (sends >= r->route->max_attempts)
		r->retry_denial = "attempts-used";
	else if (forward_time_left_ms(r) < RETRY_MIN_MS)
		r->retry_denial = "no-time";
	else if (r->may_have_run && !r->repeatable)
		r->retry_denial = "may-have-run";
	/* A response that has begun can only be continued when it is a
	 * resumable stream, from the last event that was passed on. */
	else if (is_committed)
		r->retry_denial = "answer-begun";
	else if (!bsh_retry_budget_take(retry_budget_of(r),
					traffic_now_us(r->traffic)))
		r->retry_denial = "budget-empty";
	else
		r->retry_denial = "-";
	if (strcmp(r->retry_denial, "budget-empty") == 0)
		bsh_counter_add(&retries_denied, 1);
	return strcmp(r->retry_denial, "-") == 0;
}

static void record_target_outcome(request_t *r, attempt_end_t end)
{
	bsh_target_record_t *record = &r->target->record;
	int64_t now_us = traffic_now_us(r->traffic);

	engine_load_ended(r);
	switch (end) {
	case ATTEMPT_ANSWERED:
	case ATTEMPT_REFUSED:
	case ATTEMPT_WITHHELD:
		/* A refusal means that the target is full or does not hold the
		 * model, not that it has failed. */
		bsh_target_ended(record, false, now_us);
		break;
	case ATTEMPT_NOT_REACHED:
		bsh_target_unreachable(record, now_us);
		if (r->refused && demand_is_counted(r)) {
			r->target->refused_started_ms = r->target_started_ms;
			r->target->refused_us = now_us;
			demand_send_soon(r->traffic);
		}
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_BROKEN:
		bsh_target_ended(record, true, now_us);
		break;
	}
}

static void log_attempt(const request_t *r, attempt_end_t end, bsh_error_t err,
			bool again)
{
	static const char *const names[] = {
		"answered", "not-reached", "withheld",
		"refused",  "failed",	   "broken",
	};

	bsh_log(BSH_LOG_INFO,
		"attempt-ended id=%s target=%s end=%s error=%s status=%d "
		"sends=%u again=%d repeat=%s candidates=%u took_ms=%d "
		"passed_events=%" G_GUINT64_FORMAT,
		r->info.attempt_id, r->target->id, names[end],
		end == ATTEMPT_FAILED ? "target-failed" : bsh_error_name(err),
		r->status, r->sends, again, r->retry_denial, r->candidates,
		to_ms(traffic_now_us(r->traffic) - r->call_began_us),
		r->relay.passed);
}

static void record_attempt_end(request_t *r, attempt_end_t end)
{
	bsh_loop_timer_stop(&r->inactivity_timer);
	record_target_outcome(r, end);
	if (end != ATTEMPT_NOT_REACHED && end != ATTEMPT_WITHHELD)
		r->sends++;
	if (end == ATTEMPT_FAILED || end == ATTEMPT_BROKEN)
		r->may_have_run = true;
}

static void send_again(request_t *r)
{
	bsh_counter_add(&retries, 1);
	dispatch(r);
}

void traffic_attempt_ended(request_t *r, attempt_end_t end, bsh_error_t err)
{
	bool again;

	record_attempt_end(r, end);
	if (end == ATTEMPT_ANSWERED) {
		finish(r, r->status < 400 ? COUNT_ANSWERED : COUNT_FAILED,
		       r->status, "-");
		return;
	}
	if (end == ATTEMPT_WITHHELD) {
		log_attempt(r, end, err, false);
		end_abandoned(r);
		return;
	}
	again = end == ATTEMPT_NOT_REACHED || may_send_again(r, r->sends);
	log_attempt(r, end, err, again);
	if (end == ATTEMPT_NOT_REACHED) {
		dispatch(r);
	} else if (again) {
		send_again(r);
	} else if (end == ATTEMPT_FAILED) {
		forward_answer_failure(r);
		finish(r, COUNT_FAILED, r->status, "target-failed");
	} else {
		fail_request(r, err, RETRY_DEFAULT_MS);
	}
}

static void on_inactivity(void *ctx)
{
	request_t *r = ctx;
	int64_t left_us = r->last_active_us + inactivity_timeout_us(r) -
			  traffic_now_us(r->traffic);

	if (r->state != REQUEST_RUNNING ||
	    (r->head_received && !r->head.event_stream))
		return;
	/* A paused call is idle because the caller reads slowly. */
	if (left_us > 0 || r->paused) {
		bsh_loop_timer_after(&r->inactivity_timer,
				     left_us > 0 ? left_us : INACTIVITY_MIN_US);
		return;
	}
	/* Keep waiting while the target answers other requests, as this one
	 * then only takes longer, and when there is no other target. */
	if (r->target->record.last_first_byte_at_us > r->last_active_us ||
	    choose_target(r, NULL) == NULL ||
	    !may_send_again(r, r->sends + 1)) {
		bsh_loop_timer_after(&r->inactivity_timer, INACTIVITY_MIN_US);
		return;
	}
	forward_cancel(r);
	record_attempt_end(r, ATTEMPT_BROKEN);
	log_attempt(r, ATTEMPT_BROKEN, BSH_ERR_TIMEOUT, true);
	send_again(r);
}

/* True if the target has answered neither this request within the inactivity
 * timeout nor any other request since it was sent. */
static bool is_unresponsive(const request_t *r)
{
	return r->first_byte_us == 0 &&
	       r->target->record.last_first_byte_at_us <= r->call_began_us &&
	       traffic_now_us(r->traffic) - r->call_began_us >=
		       inactivity_timeout_us(r);
}

static void on_deadline(void *ctx)
{
	request_t *r = ctx;

	if (r->state == REQUEST_RUNNING) {
		record_target_outcome(r, r->head_received && !is_unresponsive(r)
						 ? ATTEMPT_ANSWERED
						 : ATTEMPT_BROKEN);
		r->may_have_run = r->may_have_run || r->call_sent;
	}
	fail_request(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
}

/* Requests from the HTTP server. */

static void free_request(request_t *r)
{
	bsh_loop_timer_stop(&r->timer);
	bsh_loop_timer_stop(&r->inactivity_timer);
	platform_request_info_finish(&r->info);
	platform_head_finish(&r->head);
	bsh_event_relay_finish(&r->relay);
	bsh_catalog_unref(r->catalog);
	g_string_free(r->held_body, TRUE);
	g_string_free(r->events, TRUE);
	g_free(r->method);
	g_free(r->path);
	g_free(r->body);
	g_free(r);
}

static void on_done(void *ctx, bool delivered)
{
	request_t *r = ctx;
	traffic_t *t = r->traffic;

	r->detached = true;
	if (r->state != REQUEST_ENDED) {
		forward_cancel(r);
		if (r->state == REQUEST_RUNNING) {
			engine_load_ended(r);
			bsh_target_ended(&r->target->record, is_unresponsive(r),
					 traffic_now_us(t));
		}
		finish(r, COUNT_GONE, 0, "caller-left");
	} else if (!delivered) {
		bsh_log(BSH_LOG_INFO, "answer-not-delivered id=%s",
			r->info.attempt_id);
	}
	g_queue_unlink(&t->requests, &r->link);
	free_request(r);
}

static void on_drained(void *ctx)
{
	forward_resume(ctx);
}

static const bsh_http_request_handler_t request_handler = { on_done,
							    on_drained };

static uint32_t pick_split(const bsh_route_rule_t *route)
{
	uint32_t total = 0;
	uint32_t at;

	for (guint i = 0; i < route->splits->len; i++)
		total += g_array_index(route->splits, bsh_route_split_t, i)
				 .weight;
	at = (uint32_t)g_random_int_range(0, (gint32)MAX(total, 1));
	for (guint i = 0; i < route->splits->len; i++) {
		const bsh_route_split_t *split =
			&g_array_index(route->splits, bsh_route_split_t, i);

		if (at < split->weight)
			return split->service;
		at -= split->weight;
	}
	return g_array_index(route->splits, bsh_route_split_t, 0).service;
}

static void set_route(request_t *r)
{
	const bsh_route_rule_t *route = r->route;

	r->service = bsh_catalog_service_at(r->catalog, pick_split(route));
	r->is_stream = route->kind == BSH_KIND_STREAM;
	r->repeatable = route->kind == BSH_KIND_REPEATABLE ||
			(r->is_stream && route->resumable);
	r->timeout_us = r->arrived_us + route->timeout_ms * INT64_C(1000);
	r->stream_deadline_us = INT64_MAX;
	if (r->is_stream)
		r->stream_deadline_us =
			r->arrived_us +
			INT64_C(1000) * platform_caller_event_timeout_ms(
						route->latency_objective_ms,
						route->event_gap_ms);
	bsh_event_relay_init(&r->relay,
			     g_ascii_strtoull(r->info.last_event_id, NULL, 10));
}

static request_t *new_request(traffic_t *t, bsh_http_request_t *http)
{
	request_t *r = g_new0(request_t, 1);

	r->traffic = t;
	r->http = http;
	r->state = REQUEST_ENDED;
	r->wait_link.data = r;
	r->retry_denial = "-";
	r->arrived_us = traffic_now_us(t);
	r->held_body = g_string_new(NULL);
	r->events = g_string_new(NULL);
	platform_head_init(&r->head);
	platform_request_info_init(&r->info, http);
	r->client_deadline_us = INT64_MAX;
	if (r->info.deadline_ms != BSH_CALL_DEADLINE_NONE)
		r->client_deadline_us =
			r->arrived_us + r->info.deadline_ms * INT64_C(1000);
	r->method = g_strdup(bsh_http_request_method(http));
	r->path = g_strdup(bsh_http_request_target(http));
	r->body = bsh_http_request_take_body(http, &r->body_bytes);
	bsh_loop_timer_init(&r->timer, t->loop, on_deadline, r);
	bsh_loop_timer_init(&r->inactivity_timer, t->loop, on_inactivity, r);
	bsh_http_request_set_handler(http, &request_handler, r);
	r->link.data = r;
	g_queue_push_tail_link(&t->requests, &r->link);
	return r;
}

static void refuse_early(request_t *r, bsh_error_t err, int counter)
{
	answer_problem(r, err, RETRY_DEFAULT_MS);
	finish(r, counter, bsh_error_info(err)->http_status,
	       bsh_error_name(err));
}

static void on_request(void *ctx, bsh_http_request_t *http)
{
	traffic_t *t = ctx;
	request_t *r = new_request(t, http);

	if (t->view == NULL) {
		refuse_early(r, BSH_ERR_STALE_CONFIG, COUNT_REFUSED);
		return;
	}
	r->catalog = bsh_catalog_ref(t->view->catalog);
	if (r->body_bytes > r->catalog->limits.body_max_bytes) {
		refuse_early(r, BSH_ERR_TOO_LARGE, COUNT_REFUSED);
		return;
	}
	r->route = bsh_catalog_match(r->catalog,
				     bsh_http_request_header(http, "Host"),
				     bsh_http_request_path(http));
	if (r->route == NULL) {
		refuse_early(r, BSH_ERR_NOT_FOUND, COUNT_NO_ROUTE);
		return;
	}
	set_route(r);
	if (demand_is_counted(r))
		demand_counters(t, r)->arrived++;
	bsh_retry_budget_add_request(retry_budget_of(r), r->arrived_us);
	bsh_loop_timer_start(&r->timer,
			     MIN(r->client_deadline_us, r->timeout_us));
	dispatch(r);
}

static void on_too_large(void *ctx, bsh_http_request_t *http)
{
	refuse_early(new_request(ctx, http), BSH_ERR_TOO_LARGE, COUNT_REFUSED);
}

/* Messages from the control thread. */

static gboolean is_stale_target(void *key, void *value, void *ctx)
{
	const target_state_t *state = value;
	const traffic_t *t = ctx;

	(void)key;
	return state->last_view != t->view_number && state->record.running == 0;
}

static void update_targets(traffic_t *t)
{
	for (guint i = 0; i < t->view->targets->len; i++)
		get_target(t,
			   g_array_index(t->view->targets, view_target_t, i).id)
			->last_view = t->view_number;
	g_hash_table_foreach_remove(t->targets, is_stale_target, t);
}

static gint compare_urgency(gconstpointer a, gconstpointer b)
{
	const request_t *x = *(const request_t *const *)a;
	const request_t *y = *(const request_t *const *)b;

	if (x->route->priority != y->route->priority)
		return x->route->priority < y->route->priority ? -1 : 1;
	return x->arrived_us < y->arrived_us ? -1
					     : x->arrived_us > y->arrived_us;
}

static void retry_waiting(traffic_t *t)
{
	g_autoptr(GPtrArray) waiting = g_ptr_array_new();

	for (GList *l = t->waiting.head; l != NULL; l = l->next)
		g_ptr_array_add(waiting, l->data);
	g_ptr_array_sort(waiting, compare_urgency);
	for (guint i = 0; i < waiting->len; i++) {
		request_t *r = g_ptr_array_index(waiting, i);

		if (r->state == REQUEST_WAITING)
			dispatch(r);
	}
}

void traffic_set_view(void *data)
{
	traffic_view_msg_t *message = data;
	traffic_t *t = message->traffic;

	view_unref(t->view);
	t->view = message->view;
	t->view_number++;
	g_free(message);
	update_targets(t);
	if (t->view->listed)
		__atomic_store_n(&t->entry->serving, true, __ATOMIC_RELEASE);
	retry_waiting(t);
}

void traffic_drain(void *data)
{
	traffic_t *t = data;

	t->draining = true;
	t->abort_at_us = traffic_now_us(t) +
			 (int64_t)(t->entry->settings.entry_grace_s * 1e6) -
			 ABORT_MARGIN_US;
	bsh_http_server_close_after_responses(t->server);
	bsh_loop_timer_start(&t->abort_timer, t->abort_at_us);
	retry_waiting(t);
}

/* Aborts the requests that are left at the end of the drain: one that was never
 * sent is refused, the others end with an unknown outcome. */
static void abort_requests(void *data)
{
	traffic_t *t = data;
	GList *next;

	for (GList *l = t->requests.head; l != NULL; l = next) {
		request_t *r = l->data;

		next = l->next;
		if (r->state == REQUEST_ENDED)
			continue;
		r->may_have_run = r->may_have_run || r->call_sent;
		fail_request(r, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
	}
}

static void check_quit(void *data)
{
	traffic_t *t = data;

	if (t->requests.length == 0) {
		bsh_loop_stop(t->loop);
		return;
	}
	bsh_http_server_close_idle(t->server);
	bsh_loop_timer_after(&t->quit_timer, QUIT_POLL_INTERVAL_US);
}

void traffic_quit(void *data)
{
	traffic_t *t = data;

	bsh_http_server_stop(t->server);
	bsh_loop_timer_after(&t->quit_timer, QUIT_POLL_INTERVAL_US);
}

static void register_histograms(void)
{
	bsh_histogram_t *const by_kind[] = { total_time, first_time,
					     wait_time };

	for (size_t i = 0; i < G_N_ELEMENTS(by_kind); i++)
		for (size_t kind = 0; kind < G_N_ELEMENTS(kind_names); kind++)
			bsh_histogram_register(&by_kind[i][kind]);
	bsh_histogram_register(&config_age);
	bsh_histogram_register(&targets_age);
}

bsh_error_t traffic_start(entry_t *entry)
{
	traffic_t *t = g_new0(traffic_t, 1);
	bsh_http_server_config_t config = {
		.address = entry->settings.router_listen,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.body_max_bytes = BODY_MAX_BYTES,
		.on_request = on_request,
		.on_too_large = on_too_large,
		.ctx = t,
	};
	bsh_error_t err;

	for (int i = 0; i < COUNT_ENDS; i++)
		bsh_counter_register(&end_counters[i]);
	bsh_counter_register(&retries);
	bsh_counter_register(&retries_denied);
	bsh_counter_register(&budget_left);
	bsh_counter_register(&waiting_gauge);
	register_histograms();
	entry->traffic = t;
	t->entry = entry;
	t->loop = &entry->traffic_loop;
	t->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	t->demand = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	t->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->candidates =
		g_array_new(FALSE, FALSE, sizeof(bsh_target_candidate_t));
	t->candidate_targets = g_ptr_array_new();
	bsh_prefill_init(&t->prefill);
	g_queue_init(&t->waiting);
	g_queue_init(&t->requests);
	bsh_loop_timer_init(&t->demand_timer, t->loop, demand_send, t);
	bsh_loop_timer_init(&t->quit_timer, t->loop, check_quit, t);
	bsh_loop_timer_init(&t->abort_timer, t->loop, abort_requests, t);
	t->client = bsh_http_client_new(t->loop, IDLE_CONNECTIONS_MAX);
	if (t->client == NULL)
		return BSH_ERR_SYSTEM;
	err = bsh_http_server_new(&t->server, t->loop, &config);
	if (err == BSH_OK)
		bsh_loop_timer_after(&t->demand_timer, 0);
	return err;
}

void traffic_stop(traffic_t *t)
{
	bsh_http_client_free(t->client);
	bsh_http_server_free(t->server);
	bsh_loop_timer_stop(&t->demand_timer);
	bsh_loop_timer_stop(&t->quit_timer);
	bsh_loop_timer_stop(&t->abort_timer);
	view_unref(t->view);
	g_hash_table_destroy(t->targets);
	g_hash_table_destroy(t->demand);
	g_hash_table_destroy(t->budgets);
	g_array_free(t->candidates, TRUE);
	g_ptr_array_free(t->candidate_targets, TRUE);
	bsh_prefill_finish(&t->prefill);
	g_free(t);
}
