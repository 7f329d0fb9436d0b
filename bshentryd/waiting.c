/* Requests that no target takes now: whether they wait, and for what, or are
 * refused at once. */
#include "traffic.h"

/* Interval at which a stream that no target can continue at present looks for
 * one. */
#define RESUME_INTERVAL_US INT64_C(250000)
/* Pause of a stream of which the caller has a part after a target has refused to
 * continue it; doubles with each further refusal.  Each attempt takes a token of
 * the retry budget, which belongs to all requests of the service. */
#define REFUSED_PAUSE_US     INT64_C(50000)
#define REFUSED_PAUSE_MAX_US INT64_C(800000)
/* Estimates vary as loads begin and end: a waiting request is refused only when
 * the estimate has exceeded its deadline for this time. */
#define LATE_CONFIRM_US INT64_C(250000)
/* Longest time after its arrival that a request waits without a lease holder:
 * no instance orders targets to load models then. */
#define NO_HOLDER_WAIT_US INT64_C(3000000)
/* Longest wait of a stream that its caller resumes for a target of its version
 * with its model. */
#define VERSION_WAIT_MAX_US INT64_C(1000000)
/* True if the model is expected early enough for the request to end before the
 * drain aborts it. */
static bool is_ready_before_abort(request_t *r, const view_ready_t *ready)
{
	return ready != NULL && ready->ready_us != INT64_MAX &&
	       drain_takes(r, ready->ready_us - ready->estimated_us);
}

/* True if the model is expected after the deadline of the request.  If it waits
 * already, the estimate must have been too late for LATE_CONFIRM_US. */
static bool is_too_late(request_t *r, int64_t wait_us)
{
	int64_t now_us = traffic_now_us(r->traffic);

	if (wait_us + RUN_MIN_US <= traffic_time_left_us(r)) {
		r->late_since_us = 0;
		return false;
	}
	if (r->late_since_us == 0)
		r->late_since_us = now_us;
	return r->state != REQUEST_WAITING ||
	       now_us - r->late_since_us >= LATE_CONFIRM_US;
}

/* True if the configuration has the model and, if it names one, the adapter:
 * others are never loaded. */
static bool is_declared(const request_t *r)
{
	const bsh_model_rule_t *model =
		bsh_service_model(r->service, r->info.model);

	return model != NULL &&
	       (r->info.adapter == 0 ||
		bsh_adapter_number(r->info.adapter, model->adapters) != 0);
}

static void set_refusal(outlook_t *outlook, bsh_error_t err, int64_t retry_ms)
{
	outlook->err = err;
	outlook->retry_ms = retry_ms;
}

/* The request waits until the next view, or is refused at once if it cannot be
 * served in time. */
static void judge_model(request_t *r, outlook_t *outlook)
{
	const view_t *view = r->traffic->view;
	const view_ready_t *ready;
	int64_t now_us = traffic_now_us(r->traffic);
	int64_t wait_us;

	if (!demand_is_counted(r)) {
		set_refusal(outlook, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
		return;
	}
	if (!is_declared(r)) {
		set_refusal(outlook, traffic_unknown_error(r->traffic),
			    RETRY_DEFAULT_MS);
		return;
	}
	outlook->waits_for = WAITS_FOR_MODEL;
	ready = view_find_ready(view, r->info.model, r->info.adapter);
	outlook->ready = ready;
	if (ready != NULL && ready->ready_us != INT64_MAX) {
		/* The clock is that of the control thread: only the
		 * difference is valid here. */
		wait_us = ready->ready_us - ready->estimated_us;
		if (is_too_late(r, wait_us)) {
			set_refusal(outlook, BSH_ERR_DEADLINE, wait_us / 1000);
			return;
		}
	}
	if (r->traffic->draining && !is_ready_before_abort(r, ready))
		set_refusal(outlook, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
	else if (!view->has_holder &&
		 now_us - r->arrived_us > NO_HOLDER_WAIT_US)
		set_refusal(outlook, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
}

static void wait_for_model(request_t *r, const view_ready_t *ready)
{
	request_log_wait(r, ready);
	/* At the next dispatch a target that was tried may be the only one, and
	 * may have recovered. */
	r->n_tried = 0;
	traffic_set_state(r, REQUEST_WAITING);
}

/* A stream of which the caller has a part can only be continued or cut off: it
 * waits for a target as long as its caller waits for an event. */
static void wait_to_resume(request_t *r, int64_t pause_us)
{
	if (traffic_time_left_us(r) < RUN_MIN_US) {
		traffic_fail(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
		return;
	}
	request_log_wait(r, NULL);
	traffic_set_state(r, REQUEST_WAITING);
	r->resume_us = traffic_now_us(r->traffic) + pause_us;
	bsh_loop_timer_start(&r->inactivity_timer, r->resume_us);
}

void waiting_resume_later(request_t *r)
{
	wait_to_resume(r, RESUME_INTERVAL_US);
}

/* A target has refused to continue the stream: others are asked one at a time,
 * and those that have refused again after the others. */
void waiting_pause_resume(request_t *r)
{
	int64_t pause_us = REFUSED_PAUSE_US << MIN(r->refusals, 4U);

	r->refusals++;
	wait_to_resume(r, MIN(pause_us, REFUSED_PAUSE_MAX_US));
}

/* No target is left to ask: those that were tried are asked again later. */
static void wait_for_target(request_t *r)
{
	r->n_tried = 0;
	wait_to_resume(r, RESUME_INTERVAL_US);
}

/* No target of the version that began the stream holds its model.  One that was
 * started again soon loads it from its disk; a load from the weight store takes
 * longer than a caller waits for an event. */
static void judge_version(const request_t *r, outlook_t *outlook)
{
	int64_t waited_us = traffic_now_us(r->traffic) - r->arrived_us;

	outlook->waits_for = WAITS_FOR_VERSION;
	if (waited_us >= VERSION_WAIT_MAX_US)
		set_refusal(outlook, BSH_ERR_NOT_RESUMABLE, RETRY_DEFAULT_MS);
}

static void wait_for_version(request_t *r)
{
	request_log_wait(r, NULL);
	r->n_tried = 0;
	traffic_set_state(r, REQUEST_WAITING);
	bsh_loop_timer_after(&r->inactivity_timer, RESUME_INTERVAL_US);
}

/* Looks at a waiting request again only after this time. */
void waiting_hold(request_t *r, int64_t wait_us)
{
	r->resume_us = traffic_now_us(r->traffic) + wait_us;
	bsh_loop_timer_start(&r->inactivity_timer, r->resume_us);
}

void waiting_for_place(request_t *r)
{
	if (traffic_time_left_us(r) < RUN_MIN_US) {
		traffic_fail(r, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
		return;
	}
	traffic_set_state(r, REQUEST_WAITING);
	waiting_hold(r, places_recheck_us());
}

/* True if the limit, or the pause, ends within the latency objective of the request
 * and early enough before its deadline. */
static bool may_wait_for_leave(const request_t *r)
{
	bool limited = r->limited_by != NULL;
	int64_t wait_us = limited ? r->limit_wait_us : r->pause_wait_us;

	return (limited ? limits_may_wait(r) : notices_may_wait(r)) &&
	       wait_us + RUN_MIN_US <= traffic_time_left_us(r);
}

/* Only the limits of targets, or their pauses, keep the request away. */
static void judge_leave(const request_t *r, outlook_t *outlook)
{
	outlook->waits_for =
		r->limited_by != NULL ? WAITS_FOR_LIMIT : WAITS_FOR_PAUSE;
	if (!may_wait_for_leave(r))
		set_refusal(outlook, BSH_ERR_CAPACITY, RETRY_DEFAULT_MS);
}

static void wait_for_leave(request_t *r)
{
	traffic_set_state(r, REQUEST_WAITING);
	waiting_hold(r, r->limited_by != NULL ? r->limit_wait_us
					      : r->pause_wait_us);
}

void waiting_outlook(request_t *r, outlook_t *outlook)
{
	*outlook = (outlook_t){ .err = BSH_OK };
	if (traffic_time_left_us(r) < RUN_MIN_US)
		set_refusal(outlook, BSH_ERR_DEADLINE, RETRY_DEFAULT_MS);
	else if (reach_is_cut(r->traffic))
		set_refusal(outlook, BSH_ERR_CAPACITY, RETRY_ELSEWHERE_MS);
	else if (r->limited_by != NULL || r->pause_wait_us > 0)
		judge_leave(r, outlook);
	else if (stream_origin_is_constrained(r))
		judge_version(r, outlook);
	else if (r->n_tried > 0 && !demand_is_counted(r))
		set_refusal(outlook, BSH_ERR_CONNECT, RETRY_DEFAULT_MS);
	else
		judge_model(r, outlook);
}

/* Retry-After; callers that a limit or a pause keeps away are given different
 * times. */
static int64_t retry_ms(request_t *r, const outlook_t *outlook)
{
	if (outlook->waits_for == WAITS_FOR_LIMIT)
		return limits_retry_ms(r);
	if (outlook->waits_for == WAITS_FOR_PAUSE)
		return notices_retry_ms(r);
	return outlook->retry_ms;
}

/* No usable target can take the request now. */
void waiting_or_fail(request_t *r)
{
	outlook_t outlook;

	if (traffic_is_begun_stream(r)) {
		wait_for_target(r);
		return;
	}
	waiting_outlook(r, &outlook);
	if (outlook.err != BSH_OK)
		traffic_fail(r, outlook.err, retry_ms(r, &outlook));
	else if (outlook.waits_for == WAITS_FOR_MODEL)
		wait_for_model(r, outlook.ready);
	else if (outlook.waits_for == WAITS_FOR_VERSION)
		wait_for_version(r);
	else
		wait_for_leave(r);
}
