/* Limits that targets name: how many requests a second they take from all
 * instances together. */
#include "traffic.h"

#include "base/counter.h"
#include "base/log.h"

/* What answers name is reported to the control thread at this interval, and at
 * once if it changes. */
#define REPORT_INTERVAL_US INT64_C(250000)
/* Retry-After of a request that another instance may send at once. */
#define RETRY_OTHER_MS 300

static bsh_counter_t limited_gauge = BSH_GAUGE(
	"bsh_targets_limited", "Targets that have named a limit of requests.");
static bsh_counter_t invalid_counter =
	BSH_COUNTER("bsh_target_limits_invalid_total",
		    "Answers of targets with a limit that is no usable "
		    "number.");

void limits_register(void)
{
	bsh_counter_register(&limited_gauge);
	bsh_counter_register(&invalid_counter);
}

static void update_gauge(const traffic_t *t)
{
	GHashTableIter iter;
	void *value;
	int64_t n = 0;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const target_state_t *)value)->limit.per_s >= 0;
	bsh_counter_set(&limited_gauge, n);
}

static bool name_limit(traffic_t *t, target_state_t *state, uint64_t process,
		       double per_s, int64_t named_us, const char *source)
{
	double before = state->limit.per_s;

	if (!bsh_target_limit_name(&state->limit, process, per_s, named_us,
				   traffic_now_us(t)))
		return false;
	update_gauge(t);
	bsh_log(BSH_LOG_INFO,
		"target-limit target=%s process=%016" G_GINT64_MODIFIER
		"x per_s=%.3f before_per_s=%.3f source=%s",
		state->id, process, per_s, before, source);
	return true;
}

static void report(traffic_t *t, target_state_t *state)
{
	const bsh_target_limit_t *limit = &state->limit;
	control_limits_msg_t *message = g_new0(control_limits_msg_t, 1);
	bsh_limit_entry_t entry = {
		.process = limit->process,
		.limit_milli = limit->per_s < 0
				       ? BSH_LIMIT_MILLI_NONE
				       : (uint32_t)(limit->per_s * 1e3),
	};

	message->control = t->entry->control;
	message->entries = g_array_new(FALSE, FALSE, sizeof(entry));
	g_array_append_val(message->entries, entry);
	state->limit_reported_us = traffic_now_us(t);
	bsh_loop_post(&t->entry->control_loop, control_limits, message);
}

void limits_note_answer(attempt_t *a)
{
	const platform_head_t *head = &a->head;
	traffic_t *t = a->request->traffic;
	bool changed;

	if (head->limit_invalid) {
		bsh_counter_add(&invalid_counter, 1);
		bsh_log(BSH_LOG_INFO, "target-limit-invalid target=%s id=%s",
			a->target_id, a->request->info.log_id);
		return;
	}
	changed =
		name_limit(t, a->target,
			   bsh_process_key(a->target_id, a->target_started_ms),
			   head->limit_per_s, traffic_now_us(t), "own");
	if (changed || (a->target->limit.per_s >= 0 &&
			traffic_now_us(t) - a->target->limit_reported_us >=
				REPORT_INTERVAL_US))
		report(t, a->target);
}

void traffic_set_limits(void *data)
{
	traffic_limits_msg_t *message = data;
	traffic_t *t = message->traffic;
	int64_t now_us = traffic_now_us(t);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_state_t *state = value;
		uint64_t process =
			bsh_process_key(state->id, state->started_ms);

		for (guint i = 0; i < message->shares->len; i++) {
			const limit_share_t *share = &g_array_index(
				message->shares, limit_share_t, i);

			if (share->process != process)
				continue;
			name_limit(t, state, process, share->per_s,
				   now_us - share->age_us, "peer");
			bsh_target_limit_set_share(&state->limit, share->share,
						   now_us);
		}
	}
	g_array_free(message->shares, TRUE);
	g_free(message);
}

int64_t limits_wait_us(const traffic_t *t, target_state_t *state,
		       uint64_t started_ms)
{
	if (state->limit.per_s < 0 ||
	    state->limit.process != bsh_process_key(state->id, started_ms))
		return 0;
	return bsh_target_limit_wait_us(&state->limit, t->view->instances,
					traffic_now_us(t));
}

void limits_take(const attempt_t *a)
{
	const traffic_t *t = a->request->traffic;

	bsh_target_limit_take(&a->target->limit, t->view->instances,
			      traffic_now_us(t));
}

bool limits_may_wait(const request_t *r)
{
	int64_t now_us = traffic_now_us(r->traffic);

	return r->limited_by != NULL && r->limit_wait_us < INT64_MAX &&
	       now_us - r->arrived_us + r->limit_wait_us <=
		       r->route->latency_objective_ms * INT64_C(1000);
}

int64_t limits_retry_ms(request_t *r)
{
	const traffic_t *t = r->traffic;
	int64_t wait_us = bsh_target_limit_promise(
		&r->limited_by->limit, t->view->instances, traffic_now_us(t));
	int64_t retry_ms =
		wait_us < INT64_MAX ? wait_us / 1000 : RETRY_OTHER_MS;

	bsh_log(BSH_LOG_INFO,
		"request-limited id=%s target=%s per_s=%.3f ready_in_ms=%d",
		r->info.log_id, r->limited_by->id, r->limited_by->limit.per_s,
		(int)retry_ms);
	return retry_ms;
}
