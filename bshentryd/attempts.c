/* The attempts of a request: at one target, or at two while it is handed over
 * from a target that sends nothing. */
#include "traffic.h"

/* Lower bound of the inactivity timeout.  The timeout is the latency objective
 * of the route, or the longest pause between events once a stream has begun. */
#define INACTIVITY_MIN_US INT64_C(300000)
/* Silence after which the first attempt is given up although the second target
 * has sent nothing yet: a target may pause for about a second and go on.  It is
 * less if the caller waits for a shorter time, of which a part is left for the
 * second target. */
#define GIVE_UP_MAX_US	INT64_C(1500000)
#define GIVE_UP_PERCENT 75
/* Least time for the second target to refuse the request. */
#define HANDOVER_MIN_US INT64_C(300000)
/* The second target is being connected to. */
#define HANDOVER_RETRY_US INT64_C(50000)

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

/* True if the target has answered neither this request within the inactivity
 * timeout nor any other request since it was sent. */
static bool is_unresponsive(const attempt_t *a)
{
	const request_t *r = a->request;

	return r->first_byte_us == 0 &&
	       a->target->record.last_first_byte_at_us <= a->began_us &&
	       traffic_now_us(r->traffic) - a->began_us >=
		       inactivity_timeout_us(r);
}

static void record_unreachable(attempt_t *a)
{
	request_t *r = a->request;
	int64_t now_us = traffic_now_us(r->traffic);

	bsh_target_unreachable(&a->target->record, now_us);
	if (a->at_peer)
		return;
	if (a->refused && demand_is_counted(r))
		target_end_refused(r->traffic, a->target, a->target_started_ms);
	else
		reach_failed(r->traffic);
}

/* Tells the pace of a target, whose record has the end, that it has failed or
 * rejected the attempt. */
static void note_pace(attempt_t *a, attempt_end_t end)
{
	const request_t *r = a->request;
	traffic_t *t = r->traffic;
	const bsh_target_record_t *record = &a->target->record;
	pace_process_t process = { .id = a->target_id,
				   .service = r->service->name,
				   .started_ms = a->target_started_ms,
				   .slots = a->target->slots };

	/* 421 says that the model is not there, or comes from another target at
	 * the same address. */
	if (a->at_peer || end == ATTEMPT_ANSWERED || end == ATTEMPT_CANCELLED ||
	    end == ATTEMPT_WITHHELD ||
	    (end == ATTEMPT_REFUSED && a->status == 421))
		return;
	pace_failed(&t->pace, &a->target->pace, a->target_id,
		    traffic_now_us(t));
	if (bsh_target_is_left_out(record))
		pace_left_out(&t->pace, &a->target->pace, &process,
			      record->paused_until_us);
}

/* Ends the attempt in the accounts of its target and of the request. */
static void close_attempt(attempt_t *a, attempt_end_t end)
{
	request_t *r = a->request;
	bool failed = end == ATTEMPT_FAILED || end == ATTEMPT_BROKEN;
	/* A complete failure that an instance passes on is that of a target. */
	bool at_fault = failed && !(a->at_peer && end == ATTEMPT_FAILED);

	forward_cancel(a);
	if (!a->at_peer)
		engine_load_ended(a);
	/* A refusal means that the target is full or does not hold the model,
	 * not that it has failed. */
	if (end == ATTEMPT_NOT_REACHED)
		record_unreachable(a);
	else if (end == ATTEMPT_CANCELLED)
		bsh_target_cancelled(&a->target->record);
	else
		bsh_target_ended(&a->target->record, at_fault,
				 traffic_now_us(r->traffic));
	note_pace(a, end);
	places_released(a, end == ATTEMPT_CANCELLED || end == ATTEMPT_BROKEN);
	a->active = false;
	a->target = NULL;
	if (!a->sent)
		return;
	r->sends++;
	if (end != ATTEMPT_REFUSED)
		r->runs++;
	r->may_have_run = r->may_have_run || failed;
}

/* Cancels an attempt that is no longer needed.  Its target may have run the
 * request. */
static void cancel_attempt(attempt_t *a, bool failed)
{
	a->request->may_have_run = a->request->may_have_run || a->sent;
	close_attempt(a, failed ? ATTEMPT_BROKEN : ATTEMPT_CANCELLED);
}

static void cancel_handover(request_t *r)
{
	if (r->handover == NULL)
		return;
	bsh_loop_timer_stop(&r->handover_timer);
	cancel_attempt(r->handover, false);
	r->handover = NULL;
}

/* The second attempt continues the response; the first one is closed. */
static void promote_handover(request_t *r)
{
	bsh_loop_timer_stop(&r->handover_timer);
	r->attempt = r->handover;
	r->handover = NULL;
	r->paused = false;
	r->last_active_us = traffic_now_us(r->traffic);
	bsh_event_relay_restart(&r->relay);
	bsh_loop_timer_after(&r->inactivity_timer, inactivity_timeout_us(r));
}

/* Gives up the first attempt for the second one. */
static void complete_handover(request_t *r)
{
	attempt_t *first = r->attempt;

	request_log_silence(r, "handed-over");
	close_attempt(first, ATTEMPT_BROKEN);
	request_log_attempt(first, ATTEMPT_BROKEN, BSH_ERR_TIMEOUT, true);
	promote_handover(r);
}

/* Silence after which the first attempt is given up. */
static int64_t give_up_us(const request_t *r)
{
	int64_t patience_us = r->patience_us;

	if (!r->is_stream)
		patience_us = MIN(r->client_deadline_us, r->timeout_us) -
			      r->last_active_us;
	return MIN(GIVE_UP_MAX_US, patience_us / 100 * GIVE_UP_PERCENT);
}

static void on_handover_timer(void *ctx)
{
	request_t *r = ctx;

	/* A target that was not reached cannot have accepted anything. */
	if (r->handover->sent)
		complete_handover(r);
	else
		bsh_loop_timer_after(&r->handover_timer, HANDOVER_RETRY_US);
}

void attempts_spoke(attempt_t *a)
{
	request_t *r = a->request;

	if (r->handover == NULL)
		return;
	if (a == r->handover) {
		complete_handover(r);
		return;
	}
	request_log_silence(r, "goes-on");
	cancel_handover(r);
	r->last_active_us = traffic_now_us(r->traffic);
	bsh_loop_timer_after(&r->inactivity_timer, inactivity_timeout_us(r));
}

/* Starts an attempt.  Returns false, and records the attempt as one that has
 * reached no target, if it cannot be started. */
static bool start_attempt(attempt_t *a, const view_target_t *target,
			  const bsh_target_candidate_t *candidate)
{
	request_t *r = a->request;

	r->cancelled = false;
	a->active = true;
	a->at_peer = false;
	a->target = target_pick_state(r->traffic, target->id);
	g_strlcpy(a->target_id, target->id, sizeof(a->target_id));
	a->target_started_ms = target->started_ms;
	g_strlcpy(a->software, target->software, sizeof(a->software));
	a->software_key = target->software_key;
	if (r->n_tried < G_N_ELEMENTS(r->tried))
		r->tried[r->n_tried++] = target->hash;
	engine_load_started(a, candidate);
	a->open = a->target->record.running;
	limits_take(a);
	if (forward_start(a, target->address) == BSH_OK)
		return true;
	close_attempt(a, ATTEMPT_NOT_REACHED);
	request_log_attempt(a, ATTEMPT_NOT_REACHED, BSH_ERR_SYSTEM, false);
	return false;
}

void attempts_send(request_t *r, const view_target_t *target,
		   const bsh_target_candidate_t *candidate)
{
	r->last_active_us = traffic_now_us(r->traffic);
	bsh_event_relay_restart(&r->relay);
	if (r->repeatable)
		bsh_loop_timer_after(&r->inactivity_timer,
				     inactivity_timeout_us(r));
	if (!start_attempt(r->attempt, target, candidate))
		traffic_attempt_ended(r, ATTEMPT_NOT_REACHED, BSH_ERR_SYSTEM);
}

void attempts_pass_on(request_t *r, const bsh_relay_peer_t *peer)
{
	attempt_t *a = r->attempt;

	r->last_active_us = traffic_now_us(r->traffic);
	bsh_event_relay_restart(&r->relay);
	r->cancelled = false;
	a->active = true;
	a->at_peer = true;
	a->target = relays_peer_state(r->traffic, peer->name);
	g_strlcpy(a->target_id, peer->name, sizeof(a->target_id));
	a->target_started_ms = 0;
	a->software[0] = '\0';
	a->software_key = 0;
	if (r->n_tried < G_N_ELEMENTS(r->tried))
		r->tried[r->n_tried++] = peer->hash;
	bsh_target_started(&a->target->record, 0.0, r->last_active_us);
	a->open = a->target->record.running;
	relays_sent(a);
	if (forward_start(a, peer->address) == BSH_OK)
		return;
	close_attempt(a, ATTEMPT_NOT_REACHED);
	request_log_attempt(a, ATTEMPT_NOT_REACHED, BSH_ERR_SYSTEM, false);
	traffic_attempt_ended(r, ATTEMPT_NOT_REACHED, BSH_ERR_SYSTEM);
}

static void begin_handover(request_t *r, const view_target_t *target,
			   const bsh_target_candidate_t *candidate)
{
	attempt_t *second = r->attempt == &r->attempts[0] ? &r->attempts[1]
							  : &r->attempts[0];

	int64_t now_us = traffic_now_us(r->traffic);

	request_log_silence(r, "ask-another");
	retry_count();
	if (!start_attempt(second, target, candidate)) {
		bsh_loop_timer_after(&r->inactivity_timer, INACTIVITY_MIN_US);
		return;
	}
	r->handover = second;
	bsh_loop_timer_start(&r->handover_timer,
			     MAX(r->last_active_us + give_up_us(r),
				 now_us + HANDOVER_MIN_US));
}

static void on_inactivity(void *ctx)
{
	request_t *r = ctx;
	const attempt_t *a = r->attempt;
	int64_t left_us = r->last_active_us + inactivity_timeout_us(r) -
			  traffic_now_us(r->traffic);
	bsh_target_candidate_t candidate;
	const view_target_t *target;
	int64_t retry_ms;

	if (r->state == REQUEST_WAITING) {
		traffic_resume_is_due(r);
		return;
	}
	if (r->state != REQUEST_RUNNING || r->handover != NULL ||
	    (a->head_received && !a->head.event_stream))
		return;
	/* A paused call is idle because the caller reads slowly. */
	if (left_us > 0 || r->paused) {
		bsh_loop_timer_after(&r->inactivity_timer,
				     left_us > 0 ? left_us : INACTIVITY_MIN_US);
		return;
	}
	reach_failed(r->traffic);
	/* Keep waiting while the target answers other requests, as this one
	 * then only takes longer, and when there is no other target. */
	if (a->target->record.last_first_byte_at_us > r->last_active_us ||
	    !stream_origin_may_move(r) ||
	    (target = target_pick(r, &candidate)) == NULL ||
	    !places_are_free(r->traffic,
			     target_pick_state(r->traffic, target->id)) ||
	    /* It may charge another account, so it is done last but for the
	     * retry budget. */
	    accounts_check(r, &retry_ms) != BSH_OK ||
	    !retry_is_allowed(r, r->sends + 1)) {
		request_log_silence(r, "wait");
		bsh_loop_timer_after(&r->inactivity_timer, INACTIVITY_MIN_US);
		return;
	}
	begin_handover(r, target, &candidate);
}

static void handover_ended(request_t *r, attempt_end_t end, bsh_error_t err)
{
	attempt_t *second = r->handover;

	bsh_loop_timer_stop(&r->handover_timer);
	r->handover = NULL;
	close_attempt(second, end);
	request_log_attempt(second, end, err, false);
	bsh_loop_timer_after(&r->inactivity_timer, INACTIVITY_MIN_US);
}

void attempts_ended(attempt_t *a, attempt_end_t end, bsh_error_t err)
{
	request_t *r = a->request;

	if (end == ATTEMPT_BROKEN && err == BSH_ERR_CONNECTION_LOST &&
	    !a->at_peer)
		target_end_attempt_cut(a);
	if (a == r->handover) {
		handover_ended(r, end, err);
		return;
	}
	if (end == ATTEMPT_ANSWERED || end == ATTEMPT_WITHHELD)
		cancel_handover(r);
	if (r->handover != NULL) {
		close_attempt(a, end);
		request_log_attempt(a, end, err, true);
		promote_handover(r);
		return;
	}
	bsh_loop_timer_stop(&r->inactivity_timer);
	close_attempt(a, end);
	traffic_attempt_ended(r, end, err);
}

void attempts_abort(attempt_t *a, bsh_error_t err)
{
	forward_cancel(a);
	attempts_ended(a, ATTEMPT_BROKEN, err);
}

void attempts_cancel_all(request_t *r, bool timed_out)
{
	attempt_t *a = r->attempt;

	bsh_loop_timer_stop(&r->inactivity_timer);
	cancel_handover(r);
	r->cancelled = r->cancelled || a->active;
	if (a->active)
		cancel_attempt(a, !a->at_peer &&
					  (is_unresponsive(a) ||
					   (timed_out && !a->head_received)));
}

void attempts_init(request_t *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
		attempt_t *a = &r->attempts[i];

		a->request = r;
		a->held_body = g_string_new(NULL);
		platform_head_init(&a->head);
	}
	r->attempt = &r->attempts[0];
	bsh_loop_timer_init(&r->inactivity_timer, r->traffic->loop,
			    on_inactivity, r);
	bsh_loop_timer_init(&r->handover_timer, r->traffic->loop,
			    on_handover_timer, r);
}

void attempts_finish(request_t *r)
{
	bsh_loop_timer_stop(&r->inactivity_timer);
	bsh_loop_timer_stop(&r->handover_timer);
	for (size_t i = 0; i < G_N_ELEMENTS(r->attempts); i++) {
		platform_head_finish(&r->attempts[i].head);
		forward_drop_held(&r->attempts[i]);
		g_string_free(r->attempts[i].held_body, TRUE);
	}
}
