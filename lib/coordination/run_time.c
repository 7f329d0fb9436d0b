#include "coordination/run_time.h"

#include <glib.h>

void bsh_run_time_add(bsh_run_time_t *time, int64_t run_us, int64_t now_us)
{
	if (now_us - time->window_began_us >= BSH_RUN_TIME_WINDOW_US) {
		time->former_longest_us = time->longest_us;
		time->former_requests = time->requests;
		time->longest_us = 0;
		time->requests = 0;
		time->window_began_us = now_us;
	}
	time->longest_us = MAX(time->longest_us, MAX(run_us, 1));
	time->requests++;
}

static int64_t longest_us(const bsh_run_time_t *time)
{
	return MAX(time->longest_us, time->former_longest_us);
}

int64_t bsh_run_time_bound_us(const bsh_run_time_t *time)
{
	int64_t run_us = longest_us(time);

	if (run_us == 0)
		return INT64_MAX;
	return run_us + run_us / 100 * BSH_RUN_TIME_MARGIN_PERCENT +
	       BSH_RUN_TIME_MARGIN_US;
}

uint32_t bsh_run_time_requests(const bsh_run_time_t *time)
{
	return time->requests + time->former_requests;
}

bool bsh_run_time_fits(const bsh_run_time_t *time, int64_t wait_us,
		       int64_t limit_us, int64_t left_us)
{
	int64_t bound_us;

	if (limit_us <= left_us)
		return true;
	if (time == NULL)
		return false;
	bound_us = bsh_run_time_bound_us(time);
	return bound_us != INT64_MAX && wait_us + bound_us <= left_us;
}

bool bsh_run_time_takes(const bsh_run_time_t *time,
			const bsh_late_request_t *request)
{
	if (request->has_begun || request->limit_us <= request->left_us)
		return true;
	if (request->is_stream)
		return false;
	if (!bsh_run_time_fits(time, request->wait_us, request->limit_us,
			       request->left_us))
		return false;
	return request->repeatable ||
	       request->wait_us + BSH_RUN_TIME_ONCE_FACTOR * longest_us(time) +
			       BSH_RUN_TIME_MARGIN_US <=
		       request->left_us;
}
