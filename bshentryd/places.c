/* Places of requests at targets that may be full: this instance needs one for
 * each request to them, which another instance gives out. */
#include "traffic.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

#define TICK_US INT64_C(20000)
/* Delay of a target that has to be asked for a place. */
#define ASK_US INT64_C(3000)
/* A waiting request looks for another target at this interval. */
#define RECHECK_US INT64_C(30000)
/* Targets that a request asks for a place. */
#define TURNS_MAX 8U
/* A brittle target gets one request at a time from an instance whose needs
 * nobody has answered for this time, and none this long after a rejection. */
#define ALONE_US       INT64_C(400000)
#define ALONE_PAUSE_US INT64_C(1000000)
/* Longest time for which a cancelled request keeps its place. */
#define LINGER_MAX_US INT64_C(500000)
/* Callers that were refused return over this share of the wait, as all of them
 * at once would only be refused again. */
#define RETURN_SPREAD_PERCENT 50

struct service_state {
	bsh_service_pressure_t pressure;
	bsh_pressure_t logged;
	bool is_engine;
	char name[BSH_NAME_SIZE];
};

static bsh_counter_t rejections =
	BSH_COUNTER("bsh_target_rejections_total",
		    "Requests that targets rejected for want of room.");
static bsh_counter_t waits =
	BSH_COUNTER("bsh_place_waits_total",
		    "Requests that waited for a place at a target.");
static bsh_counter_t denied =
	BSH_COUNTER("bsh_places_denied_total",
		    "Requests refused as no place was expected in time.");

static void on_tick(void *ctx);
static void reuse(void *ctx);

void places_init(traffic_t *t)
{
	bsh_counter_register(&rejections);
	bsh_counter_register(&waits);
	bsh_counter_register(&denied);
	t->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	bsh_loop_timer_init(&t->places_timer, t->loop, on_tick, t);
	bsh_loop_task_init(&t->places_task, t->loop, reuse, t);
}

void places_finish(traffic_t *t)
{
	bsh_loop_timer_stop(&t->places_timer);
	bsh_loop_task_cancel(&t->places_task);
	g_hash_table_destroy(t->services);
}

void places_set_target(traffic_t *t, target_state_t *state,
		       const view_target_t *target)
{
	service_state_t *service =
		g_hash_table_lookup(t->services, target->service);
	int32_t index;

	if (service == NULL) {
		service = g_new0(service_state_t, 1);
		g_strlcpy(service->name, target->service,
			  sizeof(service->name));
		g_hash_table_insert(t->services, service->name, service);
	}
	index = bsh_catalog_service(t->view->catalog, service->name);
	service->is_engine =
		index >= 0 &&
		bsh_catalog_service_at(t->view->catalog, (uint32_t)index)
			->has_engine;
	state->service = service;
	state->slots = target->slots;
	/* Instances learn of a new process of the target at different times:
	 * counted by process it would have twice its places until then. */
	bsh_place_hold_set_target(&state->hold, bsh_process_key(target->id, 0));
}

static bsh_pressure_t pressure_of(const traffic_t *t,
				  const target_state_t *state)
{
	if (state->service == NULL)
		return BSH_PRESSURE_CALM;
	return bsh_service_pressure_state(&state->service->pressure,
					  traffic_now_us(t));
}

/* Engines have room for many requests and are chosen by their load: there a
 * place is needed only where they may be brittle. */
bool places_are_counted(const traffic_t *t, const target_state_t *state)
{
	bsh_pressure_t pressure = pressure_of(t, state);

	if (state->service != NULL && state->service->is_engine)
		return pressure == BSH_PRESSURE_BRITTLE ||
		       pressure == BSH_PRESSURE_UNKNOWN;
	return pressure != BSH_PRESSURE_CALM;
}

bool places_are_brittle(const traffic_t *t, const target_state_t *state)
{
	return pressure_of(t, state) == BSH_PRESSURE_BRITTLE;
}

static uint32_t open_at(const traffic_t *t, target_state_t *state)
{
	return bsh_place_hold_open(&state->hold, state->record.running,
				   traffic_now_us(t));
}

static uint32_t rejections_max(const traffic_t *t, const target_state_t *state)
{
	return places_are_brittle(t, state)
		       ? state->service->pressure.rejections_max
		       : BSH_REJECTIONS_ANY;
}

static void add_ask(const traffic_t *t, target_state_t *state, GArray *asks)
{
	int64_t now_us = traffic_now_us(t);
	place_ask_t ask = {
		.need.slots = state->slots,
		.need.run_ms = (uint32_t)(state->record.first_byte_us / 1000),
		.need.rejections_max = rejections_max(t, state),
		.unanswered = bsh_place_hold_is_silent(&state->hold, now_us),
	};

	bsh_place_hold_need(&state->hold, open_at(t, state), now_us, &ask.need);
	g_array_append_val(asks, ask);
}

static void post(const traffic_t *t, GArray *asks)
{
	control_places_msg_t *message = g_new0(control_places_msg_t, 1);

	message->control = t->entry->control;
	message->asks = asks;
	bsh_loop_post(&t->entry->control_loop, control_ask_places, message);
}

static void tell(traffic_t *t, target_state_t *state)
{
	GArray *asks = g_array_new(FALSE, FALSE, sizeof(place_ask_t));

	add_ask(t, state, asks);
	post(t, asks);
	if (!bsh_loop_timer_is_running(&t->places_timer))
		bsh_loop_timer_after(&t->places_timer, TICK_US);
}

static void tell_if_due(traffic_t *t, target_state_t *state)
{
	if (bsh_place_hold_is_due(&state->hold, open_at(t, state),
				  traffic_now_us(t)))
		tell(t, state);
}

static void log_pressure(const traffic_t *t, service_state_t *service)
{
	bsh_pressure_t now = bsh_service_pressure_state(&service->pressure,
							traffic_now_us(t));

	if (now == service->logged)
		return;
	bsh_log(BSH_LOG_INFO,
		"service-pressure service=%s state=%s before=%s "
		"rejections_max=%d",
		service->name, bsh_pressure_name(now),
		bsh_pressure_name(service->logged),
		now == BSH_PRESSURE_BRITTLE
			? (int)service->pressure.rejections_max
			: -1);
	service->logged = now;
}

void places_note_answer(attempt_t *a)
{
	traffic_t *t = a->request->traffic;
	target_state_t *state = a->target;
	const platform_head_t *head = &a->head;
	/* Retry-After is an instance's own matter, not a want of room. */
	bool rejected =
		a->status == 503 && head->not_run && head->pause_ms == 0;
	uint32_t most = head->rejections_max < 0
				? BSH_REJECTIONS_ANY
				: (uint32_t)head->rejections_max;

	if (state->service == NULL)
		return;
	if (rejected) {
		bsh_counter_add(&rejections, 1);
		bsh_place_hold_rejected(&state->hold);
		state->rejected_us = traffic_now_us(t);
	}
	bsh_service_pressure_answer(&state->service->pressure, rejected, most,
				    traffic_now_us(t));
	log_pressure(t, state->service);
	/* The one that keeps the ledger is to know at once. */
	if (rejected && places_are_counted(t, state))
		tell_if_due(t, state);
	else if (places_are_counted(t, state) &&
		 !bsh_loop_timer_is_running(&t->places_timer))
		bsh_loop_timer_after(&t->places_timer, TICK_US);
}

/* Nobody answers the needs: a target that bears rejections is used without, a
 * brittle one by one request at a time. */
static bool may_go_unasked(const traffic_t *t, target_state_t *state)
{
	const bsh_place_hold_t *hold = &state->hold;
	int64_t now_us = traffic_now_us(t);

	if (!bsh_place_hold_is_silent(hold, now_us))
		return false;
	if (!places_are_brittle(t, state))
		return true;
	return now_us - hold->asked_us >= ALONE_US && open_at(t, state) == 0 &&
	       (state->rejected_us == 0 ||
		now_us - state->rejected_us >= ALONE_PAUSE_US);
}

bool places_are_free(const traffic_t *t, target_state_t *state)
{
	return !places_are_counted(t, state) ||
	       bsh_place_hold_is_free(&state->hold, open_at(t, state),
				      traffic_now_us(t)) ||
	       may_go_unasked(t, state);
}

int64_t places_delay_us(const traffic_t *t, target_state_t *state)
{
	if (places_are_free(t, state))
		return 0;
	return MAX(bsh_place_hold_next_wait_us(&state->hold, traffic_now_us(t)),
		   ASK_US);
}

void places_unwant(request_t *r)
{
	bsh_place_hold_t *hold;

	if (r->wants == NULL)
		return;
	hold = &r->wants->hold;
	r->wants = NULL;
	r->asks_place = false;
	if (hold->wanted > 0)
		hold->wanted--;
}

static void want(request_t *r, target_state_t *state)
{
	traffic_t *t = r->traffic;

	if (r->wants == state)
		return;
	places_unwant(r);
	r->wants = state;
	r->asks_place = true;
	if (r->place_turns++ == 0)
		bsh_counter_add(&waits, 1);
	if (state->hold.wanted == 0 || r->priority < state->hold.urgency)
		state->hold.urgency = r->priority;
	state->hold.wanted++;
	tell_if_due(t, state);
}

/* Wait for the place that the request wants; 0: not known. */
static int64_t wait_us(const request_t *r)
{
	return bsh_place_hold_wait_us(&r->wants->hold,
				      traffic_now_us(r->traffic));
}

/* A request keeps its turn at a target unless another one is much sooner; it asks
 * a few of them, not all. */
static bool keeps_turn(const request_t *r, target_state_t *other)
{
	const traffic_t *t = r->traffic;

	if (r->wants == NULL || r->wants->last_view != t->view_number ||
	    !places_are_counted(t, r->wants))
		return false;
	return r->place_turns >= TURNS_MAX ||
	       places_delay_us(t, other) + RECHECK_US >= wait_us(r) / 2;
}

/* True if a place is expected within the latency objective. */
static bool is_in_time(const request_t *r, int64_t place_wait_us)
{
	return traffic_is_begun_stream(r) ||
	       traffic_now_us(r->traffic) - r->arrived_us + place_wait_us <=
		       r->route->latency_objective_ms * INT64_C(1000);
}

place_t places_claim(request_t *r, const view_target_t *target)
{
	traffic_t *t = r->traffic;
	target_state_t *state = target_pick_state(t, target->id);

	if (places_are_free(t, state))
		return PLACE_FREE;
	if (keeps_turn(r, state))
		return is_in_time(r, wait_us(r)) ? PLACE_WAIT : PLACE_NONE;
	/* A request that would not wait there must not be given a place. */
	if (!is_in_time(r, places_delay_us(t, state)))
		return PLACE_NONE;
	want(r, state);
	return PLACE_WAIT;
}

int64_t places_retry_ms(const request_t *r, const view_target_t *target)
{
	traffic_t *t = r->traffic;
	const target_state_t *state = target_pick_state(t, target->id);
	int64_t wait_ms =
		bsh_place_hold_next_wait_us(&state->hold, traffic_now_us(t)) /
		1000;
	int64_t retry_ms = MAX(wait_ms, RETRY_DEFAULT_MS);
	int64_t spread_ms = retry_ms * RETURN_SPREAD_PERCENT / 100;

	bsh_counter_add(&denied, 1);
	bsh_log(BSH_LOG_INFO,
		"request-without-place id=%s target=%s open=%u wanted=%u "
		"wait_ms=%d waited_ms=%d",
		r->info.log_id, state->id, state->record.running,
		state->hold.wanted, (int)wait_ms,
		(int)((traffic_now_us(t) - r->arrived_us) / 1000));
	return retry_ms + g_random_int_range(0, (gint32)spread_ms + 1);
}

int64_t places_recheck_us(void)
{
	return RECHECK_US;
}

void places_released(attempt_t *a, bool cancelled)
{
	traffic_t *t = a->request->traffic;
	target_state_t *state = a->target;

	if (state->service == NULL || state->hold.told_us == 0)
		return;
	/* Not every target notices that a connection was closed. */
	if (cancelled && a->sent)
		bsh_place_hold_linger(&state->hold,
				      MIN((int64_t)state->record.first_byte_us,
					  LINGER_MAX_US),
				      traffic_now_us(t));
	if (!state->hold.contended)
		return;
	if (bsh_place_hold_may_reuse(&state->hold, traffic_now_us(t)) &&
	    places_are_free(t, state))
		bsh_loop_task_schedule(&t->places_task);
	else if (state->hold.asked_us == 0)
		tell(t, state);
}

/* Sends the requests that wait for a place at the target, the most urgent first,
 * and lets those that have just asked for one look for another target. */
static void wake(traffic_t *t, target_state_t *state)
{
	g_autoptr(GPtrArray) waiting = traffic_waiting(t);

	for (guint i = 0; i < waiting->len; i++) {
		request_t *r = g_ptr_array_index(waiting, i);

		if (r->wants != state || r->state != REQUEST_WAITING)
			continue;
		if (!r->asks_place && !places_are_free(t, state))
			continue;
		r->asks_place = false;
		r->resume_us = 0;
		traffic_resume_is_due(r);
	}
}

/* Places have become free that waiting requests of this instance may use. */
static void reuse(void *ctx)
{
	traffic_t *t = ctx;
	g_autoptr(GPtrArray) wanted = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_state_t *state = value;

		if (state->hold.wanted > 0 && places_are_free(t, state))
			g_ptr_array_add(wanted, state);
	}
	for (guint i = 0; i < wanted->len; i++)
		wake(t, g_ptr_array_index(wanted, i));
}

void traffic_set_places(void *data)
{
	traffic_places_msg_t *message = data;
	traffic_t *t = message->traffic;
	GHashTableIter iter;
	void *value;
	g_autoptr(GPtrArray) granted = g_ptr_array_new();

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_state_t *state = value;

		for (guint i = 0; i < message->grants->len; i++)
			if (bsh_place_hold_grant(
				    &state->hold,
				    &g_array_index(message->grants,
						   bsh_place_grant_t, i),
				    traffic_now_us(t)))
				g_ptr_array_add(granted, state);
	}
	for (guint i = 0; i < granted->len; i++) {
		target_state_t *state = g_ptr_array_index(granted, i);

		if (state->hold.contended && state->service != NULL) {
			bsh_service_pressure_waits(&state->service->pressure,
						   traffic_now_us(t));
			log_pressure(t, state->service);
		}
		wake(t, state);
		tell_if_due(t, state);
	}
	g_array_free(message->grants, TRUE);
	g_free(message);
}

static void log_all_pressure(traffic_t *t)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		log_pressure(t, value);
}

static void on_tick(void *ctx)
{
	traffic_t *t = ctx;
	GArray *asks = g_array_new(FALSE, FALSE, sizeof(place_ask_t));
	int64_t now_us = traffic_now_us(t);
	bool active = false;
	GHashTableIter iter;
	void *value;

	log_all_pressure(t);
	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_state_t *state = value;
		uint32_t open = open_at(t, state);

		/* Places at a calm service expire, here and in the ledger. */
		if (!places_are_counted(t, state))
			continue;
		active = active || open > 0 || state->hold.wanted > 0 ||
			 state->hold.places > 0;
		if (bsh_place_hold_is_due(&state->hold, open, now_us))
			add_ask(t, state, asks);
	}
	if (asks->len > 0)
		post(t, asks);
	else
		g_array_free(asks, TRUE);
	if (active)
		bsh_loop_timer_after(&t->places_timer, TICK_US);
}
