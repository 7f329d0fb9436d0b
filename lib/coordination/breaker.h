#ifndef BSH_COORDINATION_BREAKER_H
#define BSH_COORDINATION_BREAKER_H

/*
 * NAME
 *	breaker - circuit breaker of one target
 *
 * DESCRIPTION
 *	Closed: requests pass.  After BSH_BREAKER_FAILURES failures in a row
 *	it opens for a time that doubles from 1 s to 30 s with jitter.  Then
 *	it is half-open: one probe request may pass at a time; its success
 *	closes the breaker, its failure opens it again.  A probe without a
 *	result for BSH_BREAKER_PROBE_US no longer blocks the next probe.
 *
 *	Failures are those that tell about the target: not reached, broken,
 *	idle timeout, mismatched answer.  A refusal for lack of room is not
 *	a failure.
 */

#include <stdbool.h>
#include <stdint.h>

#define BSH_BREAKER_FAILURES	3
#define BSH_BREAKER_OPEN_MIN_US INT64_C(1000000)
#define BSH_BREAKER_OPEN_MAX_US INT64_C(30000000)
#define BSH_BREAKER_PROBE_TIMEOUT_US	INT64_C(10000000)

typedef enum {
	BSH_BREAKER_CLOSED = 0,
	BSH_BREAKER_OPEN,
	BSH_BREAKER_HALF_OPEN
} bsh_breaker_state_t;

typedef struct {
	int64_t until_us; /* open: end; half-open: probe counts as lost */
	uint8_t state;	  /* bsh_breaker_state_t */
	uint8_t failures; /* in a row while closed */
	uint8_t opened;	  /* times opened in a row */
	bool probing;	  /* half-open: a probe is out */
} bsh_breaker_t;

/* bsh_breaker_allows - may a request (closed) or a probe pass at now_us? */
bool bsh_breaker_allows(const bsh_breaker_t *breaker, int64_t now_us);

/* bsh_breaker_start - a request was sent to the target. */
void bsh_breaker_start(bsh_breaker_t *breaker, int64_t now_us);

/*
 * bsh_breaker_result - a request ended.  jitter is uniform in [0, 1).
 *
 * RETURN VALUE
 *	True if the breaker opened or closed by this result.
 */
bool bsh_breaker_result(bsh_breaker_t *breaker, bool success, double jitter,
			int64_t now_us);

/* bsh_breaker_release - a request ended without telling about the target. */
void bsh_breaker_release(bsh_breaker_t *breaker);

/* bsh_breaker_retry_us - earliest time of the next pass; 0 when closed. */
int64_t bsh_breaker_retry_us(const bsh_breaker_t *breaker);

#endif
