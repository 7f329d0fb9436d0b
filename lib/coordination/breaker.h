#ifndef BSH_COORDINATION_BREAKER_H
#define BSH_COORDINATION_BREAKER_H

/*
 * NAME
 *	breaker - circuit breaker of one target
 *
 * DESCRIPTION
 *	While closed, the breaker allows every request.  It opens after
 *	BSH_BREAKER_FAILURES failures in a row.  The open time doubles from
 *	1 s to 30 s with each opening in a row, plus a jitter of up to half
 *	of it.  The breaker is then half-open: it allows one probe request at
 *	a time, whose success closes it and whose failure opens it again.
 *	After BSH_BREAKER_PROBE_TIMEOUT_US without a result of the probe, the
 *	next one is allowed.
 *
 *	Only faults of the target count as failures: unreachable, connection
 *	broken, idle timeout, mismatched answer.  A refusal for lack of
 *	capacity is not a failure.
 *
 *	Not thread-safe.  Pure: no I/O and no clock.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_BREAKER_FAILURES	     3
#define BSH_BREAKER_OPEN_MIN_US	     INT64_C(1000000)
#define BSH_BREAKER_OPEN_MAX_US	     INT64_C(30000000)
#define BSH_BREAKER_PROBE_TIMEOUT_US INT64_C(10000000)

typedef enum {
	BSH_BREAKER_CLOSED = 0,
	BSH_BREAKER_OPEN,
	BSH_BREAKER_HALF_OPEN
} bsh_breaker_state_t;

typedef struct {
	int64_t until_us; /* open: end; half-open: end of probe timeout */
	uint8_t state;	  /* bsh_breaker_state_t */
	uint8_t failures; /* in a row, while closed */
	uint8_t opened;	  /* times opened in a row */
	bool probing;	  /* half-open: a probe has no result yet */
} bsh_breaker_t;

/* bsh_breaker_allows - true if a request may be sent at now_us; it is a probe
 * unless the breaker is closed. */
bool bsh_breaker_allows(const bsh_breaker_t *breaker, int64_t now_us);

/* bsh_breaker_start - record that a request was sent to the target. */
void bsh_breaker_start(bsh_breaker_t *breaker, int64_t now_us);

/*
 * bsh_breaker_result - record the result of a request.  jitter is a random
 * number, uniform in [0, 1).
 *
 * RETURN VALUE
 *	True if the result opened or closed the breaker.
 */
bool bsh_breaker_result(bsh_breaker_t *breaker, bool success, double jitter,
			int64_t now_us);

/* bsh_breaker_release - record the end of a request that counts neither as a
 * success nor as a failure.  Allows the next probe. */
void bsh_breaker_release(bsh_breaker_t *breaker);

/* bsh_breaker_retry_us - earliest time of the next probe; 0 when closed. */
int64_t bsh_breaker_retry_us(const bsh_breaker_t *breaker);

#endif
