/* The end of the traffic thread: requests in progress are completed, refused or,
 * at the end of the grace time, aborted.  New ones are taken only if they end
 * before that. */
#include "traffic.h"

#include "base/log.h"
#include "platform/ingress.h"

/* Remaining requests are aborted this long before the end of the grace time, so
 * that their responses are sent before the process is killed. */
#define ABORT_MARGIN_US INT64_C(500000)
/* Time after the abort in which callers may still read their answers.  One that
 * reads nothing would keep the process until it is killed, before it has withdrawn
 * its registration. */
#define DELIVERY_US INT64_C(150000)
/* Interval at which a stopping process closes connections that became idle. */
#define QUIT_POLL_INTERVAL_US INT64_C(50000)

/* Routes of which the run time is known; above, those without a request in the
 * last two windows are dropped. */
#define RUN_TIMES_MAX 1024U

static gboolean is_outdated(gpointer name, gpointer time, gpointer now_us)
{
	(void)name;
	return *(const int64_t *)now_us -
		       ((const bsh_run_time_t *)time)->window_began_us >=
	       2 * BSH_RUN_TIME_WINDOW_US;
}

void drain_note_run(const request_t *r)
{
	traffic_t *t = r->traffic;
	int64_t now_us = traffic_now_us(t);
	bsh_run_time_t *time;

	if (r->route == NULL || r->runs == 0)
		return;
	time = g_hash_table_lookup(t->run_times, r->route->name);
	if (time == NULL) {
		if (g_hash_table_size(t->run_times) >= RUN_TIMES_MAX)
			g_hash_table_foreach_remove(t->run_times, is_outdated,
						    &now_us);
		time = g_new0(bsh_run_time_t, 1);
		g_hash_table_insert(t->run_times, g_strdup(r->route->name),
				    time);
	}
	bsh_run_time_add(time, now_us - r->arrived_us - r->waited_us, now_us);
}

bool drain_takes(request_t *r, int64_t wait_us)
{
	const traffic_t *t = r->traffic;
	int64_t now_us = traffic_now_us(t);
	bsh_late_request_t request = {
		.is_stream = r->is_stream,
		.repeatable = r->repeatable,
		.has_begun = r->may_have_run || r->answer_begun,
		.wait_us = wait_us,
		.limit_us = MIN(r->client_deadline_us, r->timeout_us) - now_us,
		.left_us = t->abort_at_us - now_us,
	};
	const bsh_run_time_t *time;
	int64_t bound_us;

	if (!t->draining)
		return true;
	time = g_hash_table_lookup(t->run_times, r->route->name);
	bound_us = time != NULL ? bsh_run_time_bound_us(time) : INT64_MAX;
	r->expected_us = bound_us != INT64_MAX ? bound_us : -1;
	r->expected_from = time != NULL ? bsh_run_time_requests(time) : 0;
	return bsh_run_time_takes(time, &request);
}

bool drain_takes_upload(const traffic_t *t, const bsh_http_request_t *http)
{
	const bsh_route_rule_t *route = NULL;
	bsh_late_request_t request = { .limit_us = INT64_MAX };
	bsh_request_info_t info;

	if (!t->draining)
		return true;
	request.left_us = t->abort_at_us - traffic_now_us(t);
	if (request.left_us <= 0)
		return false;
	if (t->view != NULL)
		route = bsh_catalog_match(t->view->catalog,
					  bsh_http_request_header(http, "Host"),
					  bsh_http_request_path(http));
	/* It is answered when it is whole. */
	if (route == NULL)
		return true;
	platform_request_info_init(&info, http, t->entry->settings.key);
	request.is_stream = route->kind == BSH_KIND_STREAM;
	request.repeatable = route->kind == BSH_KIND_REPEATABLE;
	if (info.deadline_ms != BSH_CALL_DEADLINE_NONE)
		request.limit_us = info.deadline_ms * INT64_C(1000);
	request.limit_us =
		MIN(request.limit_us, route->timeout_ms * INT64_C(1000));
	platform_request_info_finish(&info);
	return bsh_run_time_takes(
		g_hash_table_lookup(t->run_times, route->name), &request);
}

/* Tells callers that still send requests which would not end in time any more. */
static void review_uploads(void *data)
{
	traffic_t *t = data;

	bsh_http_server_review(t->server);
	bsh_loop_timer_after(&t->upload_timer, QUIT_POLL_INTERVAL_US);
}

void drain_log_cut(const request_t *r)
{
	const traffic_t *t = r->traffic;
	int64_t now_us = traffic_now_us(t);

	if (!t->draining)
		return;
	bsh_log(BSH_LOG_WARNING,
		"drain-cut id=%s drain_ms=%d received_ms=%d sent_ms=%d "
		"expected_ms=%d expected_from=%u",
		r->info.log_id, (int)((now_us - t->drain_began_us) / 1000),
		(int)((r->arrived_us - t->drain_began_us) / 1000),
		(int)((r->attempt->began_us - t->drain_began_us) / 1000),
		r->expected_us >= 0 ? (int)(r->expected_us / 1000) : -1,
		r->expected_from);
}

void traffic_drain(void *data)
{
	traffic_t *t = data;

	t->draining = true;
	t->drain_began_us = traffic_now_us(t);
	t->abort_at_us = t->drain_began_us +
			 (int64_t)(t->entry->settings.entry_grace_s * 1e6) -
			 ABORT_MARGIN_US;
	bsh_http_server_close_after_responses(t->server);
	bsh_loop_timer_after(&t->upload_timer, 0);
	bsh_loop_timer_start(&t->abort_timer, t->abort_at_us);
	traffic_retry_waiting(t);
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
		attempts_cancel_all(r, false);
		traffic_fail(r, BSH_ERR_DRAINING, RETRY_ELSEWHERE_MS);
	}
	bsh_http_server_review(t->server);
}

static uint32_t count_undelivered(const traffic_t *t)
{
	uint32_t n = 0;

	for (GList *l = t->requests.head; l != NULL; l = l->next)
		n += !((const request_t *)l->data)->refused_early;
	return n;
}

static void check_quit(void *data)
{
	traffic_t *t = data;
	int64_t now_us = traffic_now_us(t);
	bool expired = now_us >= t->abort_at_us + DELIVERY_US;
	uint32_t undelivered;

	/* A connection without a request that is being sent is closed below. */
	if (expired || (t->requests.length == 0 &&
			(bsh_http_server_connections(t->server) == 0 ||
			 now_us >= t->abort_at_us))) {
		undelivered = count_undelivered(t);
		if (undelivered > 0)
			bsh_log(BSH_LOG_WARNING, "drain-expired undelivered=%u",
				undelivered);
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

void drain_init(traffic_t *t)
{
	t->run_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bsh_loop_timer_init(&t->quit_timer, t->loop, check_quit, t);
	bsh_loop_timer_init(&t->abort_timer, t->loop, abort_requests, t);
	bsh_loop_timer_init(&t->upload_timer, t->loop, review_uploads, t);
}

void drain_finish(traffic_t *t)
{
	bsh_loop_timer_stop(&t->quit_timer);
	bsh_loop_timer_stop(&t->abort_timer);
	bsh_loop_timer_stop(&t->upload_timer);
	g_hash_table_destroy(t->run_times);
}
