#include "coordination/breaker.h"

bool bsh_breaker_allows(const bsh_breaker_t *breaker, int64_t now_us)
{
	if (breaker->state == BSH_BREAKER_CLOSED)
		return true;
	if (breaker->state == BSH_BREAKER_HALF_OPEN && !breaker->probing)
		return true;
	return now_us >= breaker->until_us;
}

void bsh_breaker_start(bsh_breaker_t *breaker, int64_t now_us)
{
	if (breaker->state == BSH_BREAKER_CLOSED)
		return;
	breaker->state = BSH_BREAKER_HALF_OPEN;
	breaker->probing = true;
	breaker->until_us = now_us + BSH_BREAKER_PROBE_TIMEOUT_US;
}

static void open_breaker(bsh_breaker_t *breaker, double jitter, int64_t now_us)
{
	int64_t open_us = BSH_BREAKER_OPEN_MIN_US;

	for (int i = 0; i < breaker->opened; i++) {
		if (open_us >= BSH_BREAKER_OPEN_MAX_US)
			break;
		open_us *= 2;
	}
	if (open_us > BSH_BREAKER_OPEN_MAX_US)
		open_us = BSH_BREAKER_OPEN_MAX_US;
	if (breaker->opened < UINT8_MAX)
		breaker->opened++;
	/* Jitter: routers that observed the same failure do not probe at the
	 * same time. */
	open_us += (int64_t)((double)open_us * 0.5 * jitter);
	breaker->state = BSH_BREAKER_OPEN;
	breaker->failures = 0;
	breaker->probing = false;
	breaker->until_us = now_us + open_us;
}

bool bsh_breaker_result(bsh_breaker_t *breaker, bool success, double jitter,
			int64_t now_us)
{
	switch ((bsh_breaker_state_t)breaker->state) {
	case BSH_BREAKER_CLOSED:
		if (success) {
			breaker->failures = 0;
			return false;
		}
		if (++breaker->failures < BSH_BREAKER_FAILURES)
			return false;
		open_breaker(breaker, jitter, now_us);
		return true;
	case BSH_BREAKER_HALF_OPEN:
		if (!success) {
			open_breaker(breaker, jitter, now_us);
			return true;
		}
		*breaker = (bsh_breaker_t){ 0 };
		return true;
	case BSH_BREAKER_OPEN:
		/* The request was sent before the breaker opened. */
		break;
	}
	return false;
}

void bsh_breaker_release(bsh_breaker_t *breaker)
{
	breaker->probing = false;
}

int64_t bsh_breaker_retry_us(const bsh_breaker_t *breaker)
{
	if (breaker->state == BSH_BREAKER_CLOSED)
		return 0;
	return breaker->until_us;
}
