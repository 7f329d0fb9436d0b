#ifndef BSH_BASE_ERROR_H
#define BSH_BASE_ERROR_H

/*
 * NAME
 *	error - error codes and the HTTP response that each one maps to
 *
 * DESCRIPTION
 *	Functions that can fail return a code of this closed list,
 *	bsh_error_t; BSH_OK is zero.
 *	bsh_error_info() maps a code to what a client receives: the problem
 *	type and title, the HTTP status, whether the request was executed,
 *	and whether Retry-After is sent.
 *
 *	"Not run" means that the request has certainly not been executed.
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
	BSH_ERR_CONFLICT,	 /* version check of an update failed */
	BSH_ERR_KEY_REUSED,	 /* idempotency key of a different request */
	BSH_ERR_IN_PROGRESS,	 /* request with the same key in progress */
	BSH_ERR_DEADLINE,	 /* deadline passed or cannot be met, not run */
	BSH_ERR_CAPACITY,	 /* no capacity within configuration, not run */
	BSH_ERR_DRAINING,	 /* instance accepts no new requests */
	BSH_ERR_STALE_CONFIG,	 /* configuration not confirmed, not run */
	BSH_ERR_STORE,		 /* platform store unavailable, not run */
	BSH_ERR_RATE_LIMITED,	 /* rate limit reached, not run */
	BSH_ERR_CONNECT,	 /* no connection to a target, nothing sent */
	BSH_ERR_REFUSED,	 /* target refused the request, not run */
	BSH_ERR_CONNECTION_LOST, /* connection lost after the send */
	BSH_ERR_TIMEOUT,	 /* no response in time after the send */
	BSH_ERR_MISMATCH,	 /* response does not belong to the request */
	BSH_ERR_ANSWER_NOT_KEPT, /* answered earlier, body too large to keep */
	BSH_ERR_OUTCOME_UNKNOWN, /* earlier attempt has an unknown outcome */
	BSH_ERR_CANCELLED,	 /* client disconnected */
	BSH_ERR_AUTH,	       /* MAC mismatch (wrong key) or replayed frame */
	BSH_ERR_STALE_FENCE,   /* fencing token of an order is out of date */
	BSH_ERR_UNSUPPORTED,   /* method or feature not supported */
	BSH_ERR_SYSTEM,	       /* operating system or library failure */
	BSH_ERR_INTERNAL,      /* invariant violated */
	BSH_ERR_NOT_RESUMABLE, /* no target can continue the stream, not run */
	BSH_ERR_QUARANTINED,   /* prompt ends processes of targets, not run */
	BSH_ERR_MALFORMED,     /* response is no answer of the protocol */
	BSH_ERR_KEY_UNKNOWN,   /* no client account has the key, not run */
	BSH_ERR_COUNT
} bsh_error_t;

/* Execution state of a request. */
typedef enum {
	BSH_OUTCOME_NOT_RUN = 0, /* not executed */
	BSH_OUTCOME_ANSWERED,	 /* executed, a response exists */
	BSH_OUTCOME_UNKNOWN	 /* may have been executed */
} bsh_outcome_t;

typedef struct {
	const char *name;  /* stable identifier, end of the problem type URN */
	const char *title; /* problem title, one short sentence */
	uint16_t http_status;
	bsh_outcome_t outcome; /* outcome implied by the error */
	bool retry_after;      /* response carries a Retry-After header */
} bsh_error_info_t;

/*
 * bsh_error_info - description of an error code; never NULL.  A value outside
 * the enumeration is described as BSH_ERR_INTERNAL.
 */
const bsh_error_info_t *bsh_error_info(bsh_error_t err);

/* bsh_error_name - stable name of an error code, for logs and the timeline. */
const char *bsh_error_name(bsh_error_t err);

/* bsh_outcome_name - "not-run", "answered" or "unknown". */
const char *bsh_outcome_name(bsh_outcome_t outcome);

#endif
