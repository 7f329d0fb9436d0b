#include "coordination/target_limit.h"

#include <glib.h>
#include <string.h>

/* Part of the limit that is used.  The rest is for instances that briefly
 * disagree on who uses the target, and for requests that take unequal times to
 * reach it. */
#define USABLE_SHARE  0.85
#define BUCKET_TOKENS 1.0
/* Latest time that a refused caller is given. */
#define PROMISE_MAX_US INT64_C(10000000)
/* Rounding must not keep a full token from counting as one. */
#define TOKEN_TOLERANCE 1e-9

void bsh_target_limit_init(bsh_target_limit_t *limit)
{
	memset(limit, 0, sizeof(*limit));
	limit->per_s = BSH_LIMIT_NONE;
}

/* Tokens a second. */
static double fill_rate(const bsh_target_limit_t *limit, uint32_t instances,
			int64_t now_us)
{
	double per_s =
		MAX(limit->per_s * USABLE_SHARE, BSH_LIMIT_TRICKLE_PER_S);

	if (limit->shared_us != 0 &&
	    now_us - limit->shared_us <= BSH_LIMIT_SHARE_MAX_AGE_US)
		return per_s * limit->share;
	return per_s / MAX(instances, 1U);
}

static void fill(bsh_target_limit_t *limit, uint32_t instances, int64_t now_us)
{
	double seconds = (double)(now_us - limit->filled_us) / 1e6;

	limit->tokens += fill_rate(limit, instances, now_us) * MAX(seconds, 0);
	limit->tokens = MIN(limit->tokens, BUCKET_TOKENS);
	limit->filled_us = now_us;
}

bool bsh_target_limit_name(bsh_target_limit_t *limit, uint64_t process,
			   double per_s, int64_t named_us, int64_t now_us)
{
	bool is_new = process != limit->process;
	bool had = limit->process != 0 && limit->per_s >= 0;

	if (!is_new && named_us < limit->named_us)
		return false;
	limit->named_us = named_us;
	if (!is_new && per_s == limit->per_s)
		return false;
	limit->process = process;
	limit->per_s = per_s;
	if (is_new || !had) {
		limit->tokens = 0.0;
		limit->filled_us = now_us;
		limit->shared_us = 0;
	}
	return had || per_s >= 0;
}

void bsh_target_limit_set_share(bsh_target_limit_t *limit, double share,
				int64_t now_us)
{
	limit->share = share;
	limit->shared_us = now_us;
}

int64_t bsh_target_limit_wait_us(bsh_target_limit_t *limit, uint32_t instances,
				 int64_t now_us)
{
	double rate;

	if (limit->per_s < 0)
		return 0;
	fill(limit, instances, now_us);
	if (limit->tokens >= 1.0 - TOKEN_TOLERANCE)
		return 0;
	rate = fill_rate(limit, instances, now_us);
	if (rate <= 0)
		return INT64_MAX;
	return (int64_t)((1.0 - limit->tokens) / rate * 1e6) + 1;
}

void bsh_target_limit_take(bsh_target_limit_t *limit, uint32_t instances,
			   int64_t now_us)
{
	if (limit->per_s < 0)
		return;
	fill(limit, instances, now_us);
	limit->tokens = MAX(limit->tokens - 1.0, 0.0);
}

int64_t bsh_target_limit_promise(bsh_target_limit_t *limit, uint32_t instances,
				 int64_t now_us)
{
	int64_t wait_us = bsh_target_limit_wait_us(limit, instances, now_us);
	double rate;

	if (limit->per_s < 0 || wait_us == INT64_MAX)
		return wait_us;
	rate = fill_rate(limit, instances, now_us);
	limit->promised_us = MAX(now_us + wait_us,
				 limit->promised_us + (int64_t)(1e6 / rate));
	limit->promised_us = MIN(limit->promised_us, now_us + PROMISE_MAX_US);
	return limit->promised_us - now_us;
}

uint32_t bsh_limit_users(double per_s, uint32_t n)
{
	/* k buckets and 4 s of the usable part stay 0.6 L + 2 below 6 L + 5,
	 * what a target may get in 4 s. */
	double most = 2.0 * per_s + 3.0;

	return most < n ? (uint32_t)most : n;
}

double bsh_limit_share(double per_s, uint32_t rank, uint32_t n)
{
	uint32_t users = bsh_limit_users(per_s, n);

	return rank < users ? 1.0 / users : 0.0;
}
