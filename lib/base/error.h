#ifndef BSH_BASE_ERROR_H
#define BSH_BASE_ERROR_H

/*
 * NAME
 *	error - the closed list of error kinds and the answer to each
 *
 * DESCRIPTION
 *	Every function that can fail returns bsh_error_t; BSH_OK is zero.
 *	bsh_error_answer() maps a kind to what a caller is told: the HTTP
 *	status, the outcome class and whether Retry-After is sent.
 *
 * SOURCE
 *	RFC 9457 (problem details), RFC 9110 (status codes).
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	BSH_OK = 0,
	BSH_ERR_INVALID,	 /* malformed input */
	BSH_ERR_TOO_LARGE,	 /* input over a size limit */
	BSH_ERR_NOT_FOUND,	 /* no such model, service or object */
	BSH_ERR_CONFLICT,	 /* conditional update lost */
	BSH_ERR_KEY_REUSED,	 /* idempotency key with another request */
	BSH_ERR_IN_PROGRESS,	 /* same key is running elsewhere */
	BSH_ERR_DEADLINE,	 /* cannot be met or has passed, not run */
	BSH_ERR_CAPACITY,	 /* no room within the document, not run */
	BSH_ERR_DRAINING,	 /* this instance takes no new work */
	BSH_ERR_STALE_CONFIG,		 /* configuration not confirmed, not run */
	BSH_ERR_STORE,		 /* platform store unavailable, not run */
	BSH_ERR_RATE_LIMITED,		 /* rate limit reached, not run */
	BSH_ERR_CONNECT,	 /* target not reached, nothing was sent */
	BSH_ERR_REFUSED,	 /* target refused before running */
	BSH_ERR_CONNECTION_LOST,		 /* connection lost after the send */
	BSH_ERR_TIMEOUT,	 /* no answer in time after the send */
	BSH_ERR_MISMATCH,	 /* answer does not belong to the request */
	BSH_ERR_ANSWER_NOT_KEPT, /* answered before, body too large to keep */
	BSH_ERR_OUTCOME_UNKNOWN, /* earlier attempt with unknown outcome */
	BSH_ERR_CANCELLED,	 /* the caller went away */
	BSH_ERR_AUTH,		 /* wrong key or replayed frame */
	BSH_ERR_STALE_FENCE,	 /* order with an old fencing number */
	BSH_ERR_UNSUPPORTED,	 /* method or feature not offered */
	BSH_ERR_SYSTEM,		 /* operating system or library failure */
	BSH_ERR_INTERNAL,	 /* invariant violated */
	BSH_ERR_COUNT
} bsh_error_t;

/* What is known about the execution of a request. */
typedef enum {
	BSH_OUTCOME_NOT_RUN = 0,
	BSH_OUTCOME_ANSWERED,
	BSH_OUTCOME_UNKNOWN
} bsh_outcome_t;

typedef struct {
	const char *name;  /* stable identifier, also the problem type */
	const char *title; /* one short sentence */
	uint16_t http_status;
	bsh_outcome_t outcome; /* outcome that this kind implies */
	bool retry_after;      /* a Retry-After header is sent */
} bsh_error_info_t;

/*
 * bsh_error_answer - answer for an error kind; never NULL.  A value outside
 * the list maps to BSH_ERR_INTERNAL.
 */
const bsh_error_info_t *bsh_error_info(bsh_error_t err);

/* bsh_error_name - stable name of a kind, for logs and the time line. */
const char *bsh_error_name(bsh_error_t err);

/* bsh_outcome_name - "not-run", "answered" or "unknown". */
const char *bsh_outcome_name(bsh_outcome_t outcome);

#endif
