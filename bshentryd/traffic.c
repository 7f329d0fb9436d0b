/* Requests of callers: routing, retries and the end of a request. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "platform/ingress.h"
#include "where.h"

/* Connections of callers; a request occupies one, and many are idle. */
#define CONNECTIONS_MAX 2000U
#define IDLE_TIMEOUT_S	75U
/* Limit of the server for a request body; the configuration may set a lower
 * one. */
#define BODY_MAX_BYTES (8U << 20)
/* Idle connections to targets. */
#define IDLE_CONNECTIONS_MAX 256U
/* Interval at which a request with an isolated key is looked at again. */
#define HELD_INTERVAL_US INT64_C(25000)
/* An accepted configuration is in force within this time at each instance that
 * hears of it: one without a confirmation for longer may lack routes. */
#define CONFIG_AGE_MAX_US INT64_C(2000000)
static bsh_counter_t waiting_gauge = BSH_GAUGE(
	"bsh_requests_waiting", "Requests that wait for a model or a target.");
static bsh_counter_t version_gauge =
	BSH_GAUGE("bsh_configuration_in_use_version",
		  "Version of the configuration that requests are routed by.");

static void dispatch(request_t *r);

int64_t traffic_now_us(const traffic_t *traffic)
{
	return bsh_loop_now_us(traffic->loop);
}

/* State of a request. */

void traffic_set_state(request_t *r, request_state_t state)
{
	traffic_t *t = r->traffic;
	model_demand_t *counters =
		demand_is_counted(r) ? demand_counters(t, r) : NULL;

	if (state != REQUEST_WAITING)
		places_unwant(r);
	if (r->state == state)
		return;
	suspects_release(r);
	if (r->state == REQUEST_WAITING) {
		r->waited_us += traffic_now_us(t) - r->wait_began_us;
		g_queue_unlink(&t->waiting, &r->wait_link);
		if (counters != NULL && r->wait_counted &&
		    counters->waiting > 0)
			counters->waiting--;
		r->wait_counted = false;
	} else if (r->state == REQUEST_RUNNING && counters != NULL &&
		   counters->running > 0) {
		counters->running--;
	}
	r->state = state;
	if (state == REQUEST_WAITING) {
		r->wait_began_us = traffic_now_us(t);
		g_queue_push_tail_link(&t->waiting, &r->wait_link);
		/* The planner does not know versions: for a request that only
		 * one of several can serve it would load the model anywhere. */
		r->wait_counted = counters != NULL && !r->awaits_software &&
				  !stream_origin_is_constrained(r);
		if (r->wait_counted) {
			counters->waiting++;
			demand_send_soon(t);
		}
	} else if (state == REQUEST_RUNNING && counters != NULL) {
		counters->running++;
	}
	bsh_counter_set(&waiting_gauge, t->waiting.length);
}

/* Ends the request; it is freed by on_done(). */
static void finish(request_t *r, request_end_t end, int status,
		   const char *reason)
{
	bsh_loop_timer_stop(&r->timer);
	bsh_loop_timer_stop(&r->inactivity_timer);
	bsh_loop_timer_stop(&r->handover_timer);
	traffic_set_state(r, REQUEST_ENDED);
	accounts_settle(r);
	drain_note_run(r);
	request_log_end(r, end, status, reason);
}

void traffic_fail(request_t *r, bsh_error_t err, int64_t retry_ms)
{
	const bsh_error_info_t *answer;
	bsh_error_t cause = err;

	attempts_cancel_all(r, false);
	/* After an attempt with an unknown outcome the response must not claim
	 * that the request has not run. */
	if (r->may_have_run &&
	    bsh_error_info(err)->outcome == BSH_OUTCOME_NOT_RUN)
		err = err == BSH_ERR_DEADLINE ? BSH_ERR_TIMEOUT
					      : BSH_ERR_CONNECTION_LOST;
	answer = bsh_error_info(err);
	if (r->answer_begun) {
		request_log_cut(r, err, cause);
		bsh_http_response_abort(r->http);
		finish(r, END_UNKNOWN, r->status, bsh_error_name(err));
		return;
	}
	answer_problem(r, err, retry_ms);
	finish(r,
	       answer->outcome == BSH_OUTCOME_NOT_RUN ? END_REFUSED
						      : END_UNKNOWN,
	       answer->http_status, answer->name);
}

/* Waiting. */

int64_t traffic_time_left_us(const request_t *r)
{
	return MIN(MIN(r->client_deadline_us, r->timeout_us),
		   r->stream_deadline_us) -
	       traffic_now_us(r->traffic);
}

bool traffic_is_begun_stream(const request_t *r)
{
	return r->answer_begun && r->is_stream && r->route->resumable &&
	       r->relay.passed > 0;
}

/* Ends a request whose caller no longer waits for it.  After a pause of the
 * process, or when it is short of processor time, the deadline and the
 * disconnect may not have been handled yet. */
static void end_abandoned(request_t *r)
{
	if (bsh_http_request_is_connected(r->http)) {
		traffic_fail(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
		return;
	}
	attempts_cancel_all(r, false);
	bsh_http_response_abort(r->http);
	finish(r, END_GONE, 0, "caller-left");
}

/* True until the version that began the stream is known, and during the pause
 * before a stream looks for a target again. */
static bool is_held_back(const request_t *r)
{
	return r->awaits_software ||
	       (r->state == REQUEST_WAITING &&
		traffic_now_us(r->traffic) < r->resume_us);
}

/* Refuses a request with a quarantined key, and holds back one that must wait for
 * others with the same key.  False: it may be sent. */
static bool is_suspected(request_t *r)
{
	suspect_t suspect = suspects_check(r);

	if (suspect == SUSPECT_NONE)
		return false;
	if (suspect == SUSPECT_QUARANTINED) {
		traffic_fail(r, BSH_ERR_QUARANTINED, -1);
	} else if (suspect == SUSPECT_EXPIRED && !r->answer_begun) {
		traffic_fail(r, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
	} else {
		traffic_set_state(r, REQUEST_WAITING);
		waiting_hold(r, HELD_INTERVAL_US);
	}
	return true;
}

/* Passes the request on to another instance if this one reaches no target. */
static bool is_passed_on(request_t *r)
{
	const bsh_relay_peer_t *peer;
	relay_t relay = relays_choose(r, &peer);

	if (relay == RELAY_NONE)
		return false;
	if (relay == RELAY_NOT_LISTED) {
		traffic_set_state(r, REQUEST_WAITING);
		return true;
	}
	traffic_set_state(r, REQUEST_RUNNING);
	suspects_sent(r);
	attempts_pass_on(r, peer);
	return true;
}

/* After two targets that were not reached a request waits until it is known
 * whether this instance reaches any: it would soon have tried all. */
static bool awaits_reach(request_t *r)
{
	if (r->n_tried < 2 || r->may_have_run ||
	    r->traffic->reach.state != BSH_REACH_CHECKING)
		return false;
	traffic_set_state(r, REQUEST_WAITING);
	return true;
}

/* An instance that is cut off tries one target at most for a request that no
 * other instance takes: it is refused soon, not after the last target. */
static bool may_try_target(const request_t *r)
{
	return !reach_is_cut(r->traffic) || r->n_tried == 0 ||
	       traffic_is_begun_stream(r);
}

/* Refuses a request whose key the configuration in force does not have, or has for
 * an account that is beyond its limit. */
static bool is_denied(request_t *r)
{
	int64_t retry_ms;
	bsh_error_t err = accounts_check(r, &retry_ms);

	if (err != BSH_OK)
		traffic_fail(r, err, retry_ms);
	return err != BSH_OK;
}

static void dispatch(request_t *r)
{
	bsh_target_candidate_t candidate;
	const view_target_t *target;
	place_t place;

	if (forward_is_abandoned(r)) {
		end_abandoned(r);
		return;
	}
	if (!drain_takes(r, 0)) {
		traffic_fail(r, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
		return;
	}
	if (is_denied(r) || is_held_back(r))
		return;
	r->resume_us = 0;
	if (!stream_origin_serves(r)) {
		traffic_fail(r, BSH_ERR_NOT_RESUMABLE, RETRY_DEFAULT_MS);
		return;
	}
	if (is_suspected(r))
		return;
	if (r->awaits_budget) {
		if (!retry_is_allowed(r, r->sends)) {
			waiting_resume_later(r);
			return;
		}
		r->awaits_budget = false;
	}
	if (is_passed_on(r) || awaits_reach(r))
		return;
	if (traffic_is_begun_stream(r)) {
		if (r->n_tried >= TRIED_BEGUN_MAX)
			r->n_tried = 0;
	} else if (r->n_tried >= TRIED_MAX) {
		traffic_fail(r, BSH_ERR_CONNECT, RETRY_DEFAULT_MS);
		return;
	}
	target = may_try_target(r) ? target_pick(r, &candidate) : NULL;
	if (target == NULL) {
		r->turn_since_us = 0;
		waiting_or_fail(r);
		return;
	}
	if (!suspects_has_turn(r)) {
		traffic_set_state(r, REQUEST_WAITING);
		waiting_hold(r, HELD_INTERVAL_US);
		return;
	}
	place = places_claim(r, target);
	if (place != PLACE_FREE) {
		if (place == PLACE_WAIT)
			waiting_for_place(r);
		else
			traffic_fail(r, BSH_ERR_CAPACITY,
				     places_retry_ms(r, target));
		return;
	}
	traffic_set_state(r, REQUEST_RUNNING);
	suspects_sent(r);
	accounts_sent(r);
	attempts_send(r, target, &candidate);
}

void traffic_resume_is_due(request_t *r)
{
	dispatch(r);
}

/* The end of an attempt. */

static void send_again(request_t *r)
{
	retry_count();
	dispatch(r);
}

void traffic_attempt_ended(request_t *r, attempt_end_t end, bsh_error_t err)
{
	bool again;

	if (end == ATTEMPT_ANSWERED) {
		finish(r, r->status < 400 ? END_ANSWERED : END_FAILED,
		       r->status, "-");
		return;
	}
	if (end == ATTEMPT_WITHHELD) {
		request_log_attempt(r->attempt, end, err, false);
		/* Its caller has left, or its key is checked again. */
		dispatch(r);
		return;
	}
	again = end == ATTEMPT_NOT_REACHED || retry_is_allowed(r, r->sends);
	r->awaits_budget = !again && traffic_is_begun_stream(r) &&
			   strcmp(r->retry_denial, "budget-empty") == 0;
	request_log_attempt(r->attempt, end, err, again);
	if (end == ATTEMPT_NOT_REACHED) {
		dispatch(r);
	} else if (again && end == ATTEMPT_REFUSED &&
		   traffic_is_begun_stream(r)) {
		waiting_pause_resume(r);
	} else if (again) {
		send_again(r);
	} else if (r->awaits_budget) {
		waiting_resume_later(r);
	} else if (end == ATTEMPT_FAILED && !r->answer_begun) {
		forward_answer_failure(r->attempt);
		finish(r, END_FAILED, r->status, "target-failed");
	} else {
		traffic_fail(r, err, RETRY_DEFAULT_MS);
	}
}

/* A request that still waits can no longer be run in time, and its caller leaves
 * at its deadline, or after its pause for a stream: it is refused while the
 * caller still hears that it has not run. */
static int64_t wait_end_us(const request_t *r)
{
	return MIN(MIN(r->client_deadline_us, r->timeout_us),
		   r->stream_deadline_us) -
	       RUN_MIN_US;
}

static void on_deadline(void *ctx)
{
	request_t *r = ctx;
	int64_t end_us = MIN(r->client_deadline_us, r->timeout_us);

	if (traffic_now_us(r->traffic) < end_us &&
	    (r->state != REQUEST_WAITING || r->answer_begun)) {
		bsh_loop_timer_start(&r->timer, end_us);
		return;
	}
	attempts_cancel_all(r, true);
	traffic_fail(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
}

/* Requests from the HTTP server. */

static void free_request(request_t *r)
{
	bsh_loop_timer_stop(&r->timer);
	attempts_finish(r);
	platform_request_info_finish(&r->info);
	bsh_event_relay_finish(&r->relay);
	bsh_catalog_unref(r->catalog);
	memory_request_freed(r);
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
		attempts_cancel_all(r, false);
		finish(r, END_GONE, 0, "caller-left");
	} else if (!delivered) {
		bsh_log(BSH_LOG_INFO, "answer-not-delivered id=%s",
			r->info.log_id);
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

static void follow_route(request_t *r, uint32_t service)
{
	const bsh_route_rule_t *route = r->route;

	r->service = bsh_catalog_service_at(r->catalog, service);
	r->suspect_service = NULL;
	r->priority = route->priority;
	r->is_stream = route->kind == BSH_KIND_STREAM;
	r->repeatable = route->kind == BSH_KIND_REPEATABLE ||
			(r->is_stream && route->resumable);
	r->timeout_us = r->arrived_us + route->timeout_ms * INT64_C(1000);
	r->stream_deadline_us = INT64_MAX;
	if (r->is_stream) {
		r->patience_us =
			INT64_C(1000) * platform_caller_event_timeout_ms(
						route->latency_objective_ms,
						route->event_gap_ms);
		r->stream_deadline_us = r->arrived_us + r->patience_us;
	}
	bsh_event_relay_finish(&r->relay);
	bsh_event_relay_init(&r->relay,
			     g_ascii_strtoull(r->info.last_event_id, NULL, 10));
}

static void set_route(request_t *r)
{
	follow_route(r, bsh_route_pick_split(r->route, g_random_int()));
}

static request_t *new_request(traffic_t *t, bsh_http_request_t *http)
{
	request_t *r = g_new0(request_t, 1);

	r->traffic = t;
	r->http = http;
	r->state = REQUEST_ENDED;
	r->wait_link.data = r;
	r->retry_denial = "-";
	r->expected_us = -1;
	r->arrived_us = traffic_now_us(t);
	r->events = g_string_new(NULL);
	attempts_init(r);
	r->arrived_boot_us = accounts_now_us();
	platform_request_info_init(&r->info, http, t->entry->settings.key);
	r->client_deadline_us = INT64_MAX;
	if (r->info.deadline_ms != BSH_CALL_DEADLINE_NONE)
		r->client_deadline_us =
			r->arrived_us + r->info.deadline_ms * INT64_C(1000);
	r->method = g_strdup(bsh_http_request_method(http));
	r->path = g_strdup(bsh_http_request_target(http));
	r->body = bsh_http_request_take_body(http, &r->body_bytes);
	bsh_loop_timer_init(&r->timer, t->loop, on_deadline, r);
	relays_receive(r);
	bsh_http_request_set_handler(http, &request_handler, r);
	r->link.data = r;
	g_queue_push_tail_link(&t->requests, &r->link);
	request_log_begin();
	return r;
}

static void refuse_early(request_t *r, bsh_error_t err, request_end_t end,
			 int64_t retry_ms)
{
	answer_problem(r, err, retry_ms);
	finish(r, end, bsh_error_info(err)->http_status, bsh_error_name(err));
}

bsh_error_t traffic_unknown_error(const traffic_t *t)
{
	int64_t confirmed_us = __atomic_load_n(&t->entry->freshness.config_us,
					       __ATOMIC_RELAXED);

	return traffic_now_us(t) - confirmed_us > CONFIG_AGE_MAX_US
		       ? BSH_ERR_STALE_CONFIG
		       : BSH_ERR_NOT_FOUND;
}

/* Refuses a request without a route. */
static void refuse_unknown(request_t *r)
{
	bsh_error_t err = traffic_unknown_error(r->traffic);

	refuse_early(r, err,
		     err == BSH_ERR_NOT_FOUND ? END_NO_ROUTE : END_REFUSED,
		     RETRY_DEFAULT_MS);
}

static void match_route(request_t *r)
{
	r->route = bsh_catalog_match(r->catalog,
				     bsh_http_request_header(r->http, "Host"),
				     bsh_http_request_path(r->http));
}

static void start_timer(request_t *r)
{
	bsh_loop_timer_start(&r->timer, wait_end_us(r));
}

static void on_request(void *ctx, bsh_http_request_t *http)
{
	traffic_t *t = ctx;
	request_t *r = new_request(t, http);
	int64_t retry_ms;

	memory_request_taken(r);
	if (t->view == NULL) {
		refuse_early(r, BSH_ERR_STALE_CONFIG, END_REFUSED,
			     RETRY_DEFAULT_MS);
		return;
	}
	r->catalog = bsh_catalog_ref(t->view->catalog);
	if (r->peer_version > r->catalog->version) {
		refuse_early(r, BSH_ERR_STALE_CONFIG, END_REFUSED,
			     RETRY_DEFAULT_MS);
		return;
	}
	if (r->body_bytes > r->catalog->limits.body_max_bytes) {
		refuse_early(r, BSH_ERR_TOO_LARGE, END_REFUSED,
			     RETRY_DEFAULT_MS);
		return;
	}
	match_route(r);
	if (r->route == NULL) {
		refuse_unknown(r);
		return;
	}
	set_route(r);
	if (!accounts_admit(r, &retry_ms)) {
		refuse_early(r, BSH_ERR_RATE_LIMITED, END_REFUSED, retry_ms);
		return;
	}
	/* The instance that read it first has counted it. */
	if (!r->from_peer) {
		if (demand_is_counted(r))
			demand_counters(t, r)->arrived++;
		retry_count_request(r);
	}
	start_timer(r);
	if (!stream_origin_find(r))
		traffic_set_state(r, REQUEST_WAITING);
	dispatch(r);
}

/* A request of which the body is still being sent: its caller is told as soon as
 * it is known that this instance will not run it. */
static bool on_review(void *ctx, bsh_http_request_t *http)
{
	traffic_t *t = ctx;
	request_t *r;

	if (drain_takes_upload(t, http))
		return true;
	r = new_request(t, http);
	if (t->view != NULL) {
		r->catalog = bsh_catalog_ref(t->view->catalog);
		match_route(r);
	}
	if (r->route != NULL)
		set_route(r);
	r->refused_early = true;
	refuse_early(r, BSH_ERR_DRAINING, END_REFUSED, RETRY_ELSEWHERE_MS);
	return false;
}

void traffic_refuse_upload(traffic_t *t, bsh_http_request_t *http,
			   bsh_error_t err)
{
	request_t *r = new_request(t, http);

	g_clear_pointer(&r->body, g_free);
	r->body_bytes = 0;
	r->refused_early = true;
	refuse_early(r, err, END_REFUSED, RETRY_DEFAULT_MS);
}

static void on_too_large(void *ctx, bsh_http_request_t *http)
{
	refuse_early(new_request(ctx, http), BSH_ERR_TOO_LARGE, END_REFUSED,
		     RETRY_DEFAULT_MS);
}

/* Messages from the control thread. */

static gint compare_urgency(gconstpointer a, gconstpointer b)
{
	const request_t *x = *(const request_t *const *)a;
	const request_t *y = *(const request_t *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->fair_tag != y->fair_tag)
		return x->fair_tag < y->fair_tag ? -1 : 1;
	return x->arrived_us < y->arrived_us ? -1
					     : x->arrived_us > y->arrived_us;
}

/* Routes a waiting request by the configuration in force.  No target gets its
 * model any more if its route was moved to another service or dropped, and it
 * would wait in vain.  A response that has begun stays with its service. */
static void follow_configuration(request_t *r)
{
	bsh_catalog_t *catalog = r->traffic->view->catalog;

	if (r->catalog == catalog || r->answer_begun || r->awaits_software)
		return;
	traffic_set_state(r, REQUEST_ENDED);
	r->service = NULL; /* a part of the old catalog */
	bsh_catalog_unref(r->catalog);
	r->catalog = bsh_catalog_ref(catalog);
	match_route(r);
	if (r->route == NULL && !r->may_have_run) {
		refuse_unknown(r);
		return;
	}
	if (r->route != NULL)
		set_route(r);
	if (r->route == NULL || (r->may_have_run && !r->repeatable)) {
		traffic_fail(r, BSH_ERR_CONNECTION_LOST, -1);
		return;
	}
	start_timer(r);
	traffic_set_state(r, REQUEST_WAITING);
}

GPtrArray *traffic_waiting(const traffic_t *t)
{
	GPtrArray *waiting = g_ptr_array_new();

	for (GList *l = t->waiting.head; l != NULL; l = l->next)
		g_ptr_array_add(waiting, l->data);
	g_ptr_array_sort(waiting, compare_urgency);
	return waiting;
}

void traffic_retry_waiting(traffic_t *t)
{
	g_autoptr(GPtrArray) waiting = traffic_waiting(t);

	for (guint i = 0; i < waiting->len; i++) {
		request_t *r = g_ptr_array_index(waiting, i);

		follow_configuration(r);
		if (r->state == REQUEST_WAITING)
			dispatch(r);
	}
}

static void log_configuration(const traffic_t *t, const view_t *before,
			      int64_t built_us)
{
	uint64_t version = t->view->catalog->version;
	uint64_t old = before != NULL ? before->catalog->version : 0;

	bsh_counter_set(&version_gauge, (int64_t)version);
	if (version == old)
		return;
	bsh_log(BSH_LOG_INFO,
		"configuration-in-use version=%" G_GUINT64_FORMAT
		" before=%" G_GUINT64_FORMAT " taken_ms=%d waiting=%u",
		version, old, (int)((traffic_now_us(t) - built_us) / 1000),
		t->waiting.length);
}

void traffic_set_view(void *data)
{
	traffic_view_msg_t *message = data;
	traffic_t *t = message->traffic;
	view_t *before;

	before = t->view;
	t->view = message->view;
	t->view_number++;
	log_configuration(t, before, message->built_us);
	g_free(message);
	target_pick_view_changed(t);
	target_end_view_changed(t);
	relays_view_changed(t);
	stream_origin_view_changed(t, before);
	view_unref(before);
	if (t->view->listed)
		__atomic_store_n(&t->entry->serving, true, __ATOMIC_RELEASE);
	traffic_retry_waiting(t);
}

void traffic_set_stream_version(void *data)
{
	traffic_stream_msg_t *answer = data;
	traffic_t *t = answer->traffic;
	GList *next;

	for (GList *l = t->waiting.head; l != NULL; l = next) {
		request_t *r = l->data;

		next = l->next;
		if (stream_origin_answer(r, answer))
			dispatch(r);
	}
	g_free(answer);
}

void traffic_where(void *ask)
{
	static const where_ops_t ops = {
		traffic_unknown_error, follow_route,	accounts_now_us,
		accounts_access,       drain_takes,	reach_is_cut,
		target_pick_survey,    waiting_outlook,
	};

	where_answer(ask, &ops);
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
		.on_review = on_review,
		.ctx = t,
	};
	bsh_error_t err;

	request_log_register();
	retry_register();
	limits_register();
	bsh_counter_register(&waiting_gauge);
	bsh_counter_register(&version_gauge);
	entry->traffic = t;
	t->entry = entry;
	t->loop = &entry->traffic_loop;
	t->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	t->notices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->demand = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	t->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->candidates =
		g_array_new(FALSE, FALSE, sizeof(bsh_target_candidate_t));
	t->candidate_targets = g_ptr_array_new();
	bsh_prefill_init(&t->prefill);
	pace_init(&t->pace, entry->settings.routing_pace > 0,
		  bsh_process_key(entry->settings.instance, 0));
	stream_origin_init(t);
	target_end_init(t);
	suspects_init(t);
	reach_init(t);
	relays_init(t);
	accounts_init(t);
	memory_init(t, &config);
	places_init(t);
	bsh_loop_task_init(&t->streams_task, t->loop, stream_origin_send, t);
	bsh_loop_timer_init(&t->demand_timer, t->loop, demand_send, t);
	drain_init(t);
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
	/* The end of each request needs the parts below. */
	bsh_http_server_free(t->server);
	reach_finish(t);
	target_end_finish(t);
	bsh_http_client_free(t->client);
	suspects_finish(t);
	bsh_loop_timer_stop(&t->demand_timer);
	drain_finish(t);
	bsh_loop_task_cancel(&t->streams_task);
	stream_origin_finish(t);
	places_finish(t);
	view_unref(t->view);
	relays_finish(t);
	accounts_finish(t);
	g_hash_table_destroy(t->targets);
	g_hash_table_destroy(t->notices);
	g_hash_table_destroy(t->demand);
	g_hash_table_destroy(t->budgets);
	g_array_free(t->candidates, TRUE);
	g_ptr_array_free(t->candidate_targets, TRUE);
	bsh_prefill_finish(&t->prefill);
	pace_finish(&t->pace);
	g_free(t);
}
