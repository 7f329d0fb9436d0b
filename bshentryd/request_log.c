/* How requests end and how long they take: log lines, counters, histograms. */
#include "traffic.h"

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"

#define REQUESTS_HELP "Requests by how they ended."
static bsh_counter_t end_counters[ENDS] = {
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

static bsh_counter_t begun =
	BSH_COUNTER("bsh_requests_begun_total", "Requests that were read.");
static bsh_counter_t open_gauge =
	BSH_GAUGE("bsh_requests_open",
		  "Requests that were read and have not ended: begun less the "
		  "sum of bsh_requests_total.");
static bsh_counter_t unanswered =
	BSH_COUNTER("bsh_requests_unanswered_total",
		    "Requests whose response was cut off by this instance.");

static bsh_counter_t overdue = BSH_COUNTER(
	"bsh_requests_overdue_total",
	"Requests that ended later than 0.5 s after their route's time.");

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

/* Age of a confirmation; -1: the store has not confirmed the state yet. */
static int64_t age_us(const request_t *r, const int64_t *confirmed_us)
{
	int64_t at_us = __atomic_load_n(confirmed_us, __ATOMIC_RELAXED);

	return at_us > 0 ? MAX(traffic_now_us(r->traffic) - at_us, 0) : -1;
}

/* An operator's bound on answers counts from the time of the route. */
#define OVERDUE_US INT64_C(500000)

static int to_ms(int64_t us)
{
	return us >= 0 ? (int)(us / 1000) : -1;
}

static const char *text_or_dash(const char *text)
{
	return text[0] != '\0' ? text : "-";
}

static const char *last_target(const request_t *r)
{
	return text_or_dash(r->attempt->target_id);
}

static void log_end(const request_t *r, const char *end, int status,
		    const char *reason)
{
	const freshness_t *freshness = &r->traffic->entry->freshness;
	int64_t now_us = traffic_now_us(r->traffic);

	bsh_log(BSH_LOG_INFO,
		"request id=%s route=%s kind=%s model=%s end=%s status=%d "
		"reason=%s target=%s software=%s began_by=%s after_event=%s "
		"sends=%u tried=%u repeat=%s waited_ms=%d "
		"first_ms=%d total_ms=%d left_ms=%d timeout_ms=%u "
		"config=%" G_GUINT64_FORMAT
		" config_age_ms=%d targets_age_ms=%d view=%" G_GUINT64_FORMAT,
		r->info.log_id, r->route != NULL ? r->route->name : "-",
		r->route != NULL ? kind_names[r->route->kind] : "-",
		r->info.log_model, end, status, reason, last_target(r),
		text_or_dash(r->attempt->software), r->info.log_began_by,
		r->info.log_event_id, r->sends, r->n_tried, r->retry_denial,
		to_ms(r->waited_us),
		r->first_byte_us > 0 ? to_ms(r->first_byte_us - r->arrived_us)
				     : -1,
		to_ms(now_us - r->arrived_us), (int)forward_time_left_ms(r),
		r->route != NULL ? r->route->timeout_ms : 0,
		r->catalog != NULL ? r->catalog->version : 0,
		to_ms(age_us(r, &freshness->config_us)),
		to_ms(age_us(r, &freshness->targets_us)),
		r->traffic->view_number);
}

static void count_times(const request_t *r)
{
	const freshness_t *freshness = &r->traffic->entry->freshness;
	bsh_route_kind_t kind = r->route->kind;

	int64_t now_us = traffic_now_us(r->traffic);

	bsh_counter_add(&overdue, now_us - r->timeout_us > OVERDUE_US);
	bsh_histogram_observe(&total_time[kind], now_us - r->arrived_us);
	bsh_histogram_observe(&wait_time[kind], r->waited_us);
	if (r->first_byte_us > 0)
		bsh_histogram_observe(&first_time[kind],
				      r->first_byte_us - r->arrived_us);
	bsh_histogram_observe(&config_age, age_us(r, &freshness->config_us));
	bsh_histogram_observe(&targets_age, age_us(r, &freshness->targets_us));
}

static void update_open_gauge(void)
{
	int64_t ended = 0;

	for (int i = 0; i < ENDS; i++)
		ended += bsh_counter_get(&end_counters[i]);
	bsh_counter_set(&open_gauge, bsh_counter_get(&begun) - ended);
}

void request_log_begin(void)
{
	bsh_counter_add(&begun, 1);
	update_open_gauge();
}

void request_log_end(const request_t *r, request_end_t end, int status,
		     const char *reason)
{
	static const char *const names[] = { "answered", "failed", "refused",
					     "unknown",	 "gone",   "no-route" };

	bsh_counter_add(&end_counters[end], 1);
	update_open_gauge();
	if (r->route != NULL)
		count_times(r);
	log_end(r, names[end], status, reason);
}

void request_log_wait(request_t *r, const view_ready_t *ready)
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
		r->info.log_id, r->info.log_model, r->n_tried, ready_in_ms,
		to_ms(traffic_time_left_us(r)), r->traffic->view->has_holder,
		r->traffic->view_number);
}

void request_log_attempt(const attempt_t *a, attempt_end_t end, bsh_error_t err,
			 bool again)
{
	const request_t *r = a->request;
	static const char *const names[] = {
		"answered", "not-reached", "withheld",	"refused",
		"failed",   "broken",	   "cancelled",
	};

	bsh_log(BSH_LOG_INFO,
		"attempt-ended id=%s target=%s software=%s end=%s error=%s "
		"status=%d "
		"sends=%u again=%d repeat=%s candidates=%u open=%u "
		"took_ms=%d passed_events=%" G_GUINT64_FORMAT,
		r->info.log_id, a->target_id, a->software, names[end],
		end == ATTEMPT_FAILED ? "target-failed" : bsh_error_name(err),
		a->status, r->sends, again, r->retry_denial, r->candidates,
		a->open, to_ms(traffic_now_us(r->traffic) - a->began_us),
		r->relay.passed);
}

/* What this instance knows of the target of the last attempt. */
static const char *target_state_name(const request_t *r)
{
	const GArray *targets = r->traffic->view->targets;
	const attempt_t *a = r->attempt;

	if (a->at_peer)
		return "instance";
	for (guint i = 0; i < targets->len; i++) {
		const view_target_t *target =
			&g_array_index(targets, view_target_t, i);

		if (strcmp(target->id, a->target_id) != 0)
			continue;
		if (target->started_ms != a->target_started_ms)
			return "restarted";
		return target->entry_removed ? "removed" : "listed";
	}
	return "left";
}

/* Which side closed the connection to the target first. */
static const char *closing_side(const request_t *r, bsh_error_t cause)
{
	bool is_own = cause == BSH_ERR_MISMATCH || cause == BSH_ERR_TOO_LARGE ||
		      cause == BSH_ERR_MALFORMED ||
		      cause == BSH_ERR_NOT_RESUMABLE;

	return r->cancelled || is_own ? "instance" : "target";
}

void request_log_cut(const request_t *r, bsh_error_t err, bsh_error_t cause)
{
	bsh_counter_add(&unanswered, 1);
	bsh_log(BSH_LOG_WARNING,
		"response-cut id=%s target=%s error=%s cause=%s closed_by=%s "
		"sends=%u repeat=%s "
		"passed_events=%" G_GUINT64_FORMAT
		" left_ms=%d target_state=%s draining=%d "
		"config=%" G_GUINT64_FORMAT,
		r->info.log_id, last_target(r), bsh_error_name(err),
		bsh_error_name(cause), closing_side(r, cause), r->sends,
		r->retry_denial, r->relay.passed,
		to_ms(traffic_time_left_us(r)), target_state_name(r),
		r->traffic->draining, r->catalog->version);
	drain_log_cut(r);
}

void request_log_silence(const request_t *r, const char *action)
{
	bsh_log(BSH_LOG_INFO,
		"target-silent id=%s target=%s silent_ms=%d action=%s "
		"repeat=%s candidates=%u passed_events=%" G_GUINT64_FORMAT
		" left_ms=%d config=%" G_GUINT64_FORMAT
		" view=%" G_GUINT64_FORMAT,
		r->info.log_id, last_target(r),
		to_ms(traffic_now_us(r->traffic) - r->last_active_us), action,
		r->retry_denial, r->candidates, r->relay.passed,
		to_ms(traffic_time_left_us(r)), r->catalog->version,
		r->traffic->view_number);
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

void request_log_register(void)
{
	for (int i = 0; i < ENDS; i++)
		bsh_counter_register(&end_counters[i]);
	bsh_counter_register(&begun);
	bsh_counter_register(&open_gauge);
	bsh_counter_register(&unanswered);
	bsh_counter_register(&overdue);
	register_histograms();
}
