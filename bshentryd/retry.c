/* Whether a request may be sent to another target. */
#include "traffic.h"

#include <math.h>
#include <string.h>

#include "base/counter.h"

/* A request is not retried with less time than this left, as the answer would
 * come too late. */
#define RETRY_MIN_MS 40U

static bsh_counter_t retries =
	BSH_COUNTER("bsh_repeats_total", "Requests sent to another target.");
static bsh_counter_t retries_denied =
	BSH_COUNTER("bsh_repeats_denied_total",
		    "Requests not sent again because the budget was empty.");
static bsh_counter_t budget_left =
	BSH_GAUGE("bsh_retry_budget_left",
		  "Repeats that may be sent now, for the service with fewest.");

void retry_update_gauge(traffic_t *t)
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

static bsh_retry_budget_t *budget_of(request_t *r)
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
	bsh_retry_budget_set_slack(budget, s->retry_slack, t->view->instances,
				   t->view->replaced_us);
	return budget;
}

bool retry_is_allowed(request_t *r, uint32_t sends)
{
	bool is_committed = r->answer_begun && !traffic_is_begun_stream(r);

	/* An attempt that was refused does not count for a stream that would
	 * otherwise be cut off. */
	if (traffic_is_begun_stream(r))
		sends -= r->sends - r->runs;
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
	else if (!bsh_retry_budget_take(budget_of(r),
					traffic_now_us(r->traffic)))
		r->retry_denial = "budget-empty";
	else
		r->retry_denial = "-";
	if (strcmp(r->retry_denial, "budget-empty") == 0)
		bsh_counter_add(&retries_denied, 1);
	return strcmp(r->retry_denial, "-") == 0;
}

void retry_count_request(request_t *r)
{
	bsh_retry_budget_add_request(budget_of(r), r->arrived_us);
}

void retry_count(void)
{
	bsh_counter_add(&retries, 1);
}

void retry_register(void)
{
	bsh_counter_register(&retries);
	bsh_counter_register(&retries_denied);
	bsh_counter_register(&budget_left);
}
