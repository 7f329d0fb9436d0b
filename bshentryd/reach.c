/* Whether this instance reaches the targets: connections that are tried after a
 * failure, and what follows from their results. */
#include "traffic.h"

#include "base/counter.h"
#include "base/log.h"

/* A connection is accepted within a round trip. */
#define CONNECT_TIMEOUT_MS 150U
/* Interval at which the end of a cut is looked for. */
#define TICK_US INT64_C(50000)

static bsh_counter_t cuts_counter = BSH_COUNTER(
	"bsh_cuts_total", "Times that this instance has lost all targets.");
static bsh_counter_t cut_gauge =
	BSH_GAUGE("bsh_cut", "1 while this instance reaches no target.");

/* A connection that is tried; nothing is sent on it. */
typedef struct {
	traffic_t *traffic;
	bsh_http_call_t *call;
	bool accepted;
} check_t;

static void start_round(traffic_t *t);

static void post_state(traffic_t *t)
{
	control_reach_msg_t *message = g_new0(control_reach_msg_t, 1);

	message->control = t->entry->control;
	message->cut = t->reach.state == BSH_REACH_CUT;
	bsh_loop_post(&t->entry->control_loop, control_reach, message);
}

static void log_state(traffic_t *t, bsh_reach_state_t before)
{
	bool cut = t->reach.state == BSH_REACH_CUT;

	if (cut == (before == BSH_REACH_CUT))
		return;
	bsh_log(BSH_LOG_WARNING, "reach state=%s before=%s tried=%u targets=%u",
		bsh_reach_state_name(t->reach.state),
		bsh_reach_state_name(before), t->reach.round_size,
		t->view->targets->len);
	bsh_counter_add(&cuts_counter, cut);
	bsh_counter_set(&cut_gauge, cut);
	post_state(t);
}

static void follow_verdict(traffic_t *t, bsh_reach_verdict_t verdict,
			   bsh_reach_state_t before)
{
	log_state(t, before);
	if (verdict == BSH_REACH_UNKNOWN)
		return;
	target_end_judge(t, verdict == BSH_REACH_TARGETS_FAILED);
	/* Those that wait look again: for a target, or to be refused. */
	bsh_loop_task_schedule(&t->recheck_task);
	if (verdict == BSH_REACH_IS_CUT)
		bsh_loop_timer_after(&t->reach_timer, TICK_US);
}

static void finish_check(check_t *check)
{
	traffic_t *t = check->traffic;
	bsh_reach_state_t before = t->reach.state;
	bool accepted = check->accepted;

	g_ptr_array_remove_fast(t->reach_checks, check);
	follow_verdict(t,
		       bsh_reach_result(&t->reach, accepted, traffic_now_us(t)),
		       before);
}

static bool refuse_to_send(void *ctx)
{
	((check_t *)ctx)->accepted = true;
	return false;
}

static void on_checked(void *ctx, const bsh_http_result_t *result)
{
	check_t *check = ctx;

	(void)result;
	check->call = NULL;
	finish_check(check);
}

static const bsh_http_handler_t check_handler = {
	.may_send = refuse_to_send,
	.on_end = on_checked,
};

static void free_check(void *data)
{
	check_t *check = data;

	if (check->call != NULL)
		bsh_http_call_cancel(check->call);
	g_free(check);
}

static void start_check(traffic_t *t, const view_target_t *target)
{
	static const char *const headers[] = { NULL };
	g_autofree char *url =
		g_strconcat("http://", target->address, "/", NULL);
	bsh_http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.fresh_connection = true,
	};
	check_t *check = g_new0(check_t, 1);
	bsh_error_t err;

	check->traffic = t;
	g_ptr_array_add(t->reach_checks, check);
	err = bsh_http_client_start(t->client, &spec, &check_handler, check,
				    &check->call);
	if (err == BSH_OK)
		return;
	bsh_log(BSH_LOG_WARNING, "connection-not-tried target=%s error=%s",
		target->id, bsh_error_name(err));
	finish_check(check);
}

/* Tries targets at random, each once. */
static void start_round(traffic_t *t)
{
	const GArray *targets = t->view->targets;
	uint32_t n = MIN(targets->len, BSH_REACH_ROUND_MAX);
	bsh_reach_state_t before = t->reach.state;
	guint first =
		n > 0 ? (guint)g_random_int_range(0, (gint32)targets->len) : 0;

	follow_verdict(t, bsh_reach_begin(&t->reach, n, traffic_now_us(t)),
		       before);
	for (uint32_t i = 0; n >= BSH_REACH_TARGETS_MIN && i < n; i++)
		start_check(t, &g_array_index(targets, view_target_t,
					      (first + i * targets->len / n) %
						      targets->len));
}

static void on_timer(void *ctx)
{
	traffic_t *t = ctx;

	if (t->reach.state != BSH_REACH_CUT)
		return;
	if (bsh_reach_is_due(&t->reach, traffic_now_us(t)))
		start_round(t);
	bsh_loop_timer_after(&t->reach_timer, TICK_US);
}

void reach_init(traffic_t *t)
{
	bsh_counter_register(&cuts_counter);
	bsh_counter_register(&cut_gauge);
	bsh_reach_init(&t->reach);
	t->reach_checks = g_ptr_array_new_with_free_func(free_check);
	bsh_loop_timer_init(&t->reach_timer, t->loop, on_timer, t);
}

void reach_finish(traffic_t *t)
{
	bsh_loop_timer_stop(&t->reach_timer);
	g_ptr_array_free(t->reach_checks, TRUE);
}

void reach_failed(traffic_t *t)
{
	if (bsh_reach_failed(&t->reach, traffic_now_us(t)))
		start_round(t);
}

bool reach_is_certain(const traffic_t *t)
{
	return bsh_reach_is_certain(&t->reach, traffic_now_us(t));
}

bool reach_is_cut(const traffic_t *t)
{
	return t->reach.state == BSH_REACH_CUT;
}
