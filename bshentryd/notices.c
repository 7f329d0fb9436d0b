/* What targets say of themselves in answers to this instance. */
#include "traffic.h"

#include "base/log.h"

static uint64_t process_of(const target_state_t *state, uint64_t started_ms)
{
	return bsh_process_key(state->id, started_ms);
}

/* Callers that were refused return over this share of the wait, as all of them
 * at once would only be refused again. */
#define RETURN_SPREAD_PERCENT 25

static void note_rejections_max(const attempt_t *a)
{
	target_state_t *state = a->target;

	if (a->head.rejections_max == state->rejections_max)
		return;
	state->rejections_max = a->head.rejections_max;
	bsh_log(BSH_LOG_INFO,
		"target-brittle target=%s id=%s "
		"rejections_max=%" G_GINT64_FORMAT,
		state->id, a->request->info.log_id, state->rejections_max);
}

void notices_note_answer(const attempt_t *a)
{
	uint64_t process = process_of(a->target, a->target_started_ms);
	const traffic_t *t = a->request->traffic;

	note_rejections_max(a);

	if (a->head.leaving &&
	    bsh_target_notice_leaving(&a->target->notice, process,
				      traffic_now_us(t)))
		bsh_log(BSH_LOG_INFO, "target-leaving target=%s id=%s",
			a->target_id, a->request->info.log_id);
	if (a->status == 503 && a->head.pause_ms > 0 &&
	    bsh_target_notice_pause(&a->target->notice, process,
				    a->head.pause_ms * INT64_C(1000),
				    traffic_now_us(t)))
		bsh_log(BSH_LOG_INFO,
			"target-pause target=%s id=%s "
			"pause_ms=%" G_GINT64_FORMAT,
			a->target_id, a->request->info.log_id,
			a->head.pause_ms);
}

bool notices_are_paused(request_t *r, const target_state_t *state,
			uint64_t started_ms)
{
	int64_t wait_us = bsh_target_notice_wait_us(
		&state->notice, process_of(state, started_ms),
		traffic_now_us(r->traffic));

	if (wait_us == 0)
		return false;
	if (r->pause_wait_us == 0 || wait_us < r->pause_wait_us)
		r->pause_wait_us = wait_us;
	return true;
}

bool notices_may_wait(const request_t *r)
{
	int64_t waited_us = traffic_now_us(r->traffic) - r->arrived_us;

	return waited_us + r->pause_wait_us <=
	       r->route->latency_objective_ms * INT64_C(1000);
}

int64_t notices_retry_ms(const request_t *r)
{
	int64_t wait_ms = r->pause_wait_us / 1000 + 1;
	int64_t spread_ms = wait_ms * RETURN_SPREAD_PERCENT / 100;

	return wait_ms + g_random_int_range(0, (gint32)spread_ms + 1);
}

bool notices_is_leaving(const target_state_t *state, uint64_t started_ms)
{
	return bsh_target_notice_is_leaving(&state->notice,
					    process_of(state, started_ms));
}

bool notices_forbid(const traffic_t *t, const target_state_t *state,
		    uint64_t started_ms)
{
	return bsh_target_notice_has_left(
		&state->notice, process_of(state, started_ms),
		t->entry->settings.entry_drain_ms * INT64_C(1000),
		traffic_now_us(t));
}
