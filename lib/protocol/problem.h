#ifndef BSH_PROTOCOL_PROBLEM_H
#define BSH_PROTOCOL_PROBLEM_H

/*
 * NAME
 *	problem - error answers to callers (RFC 9457 problem details)
 *
 * DESCRIPTION
 *	One JSON object with the standard members and the extension members
 *	outcome (always), retry_after_ms, request_id and entry (if set).
 *	Status, type and title come from the table in base/error.h.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_PROBLEM_MEDIA_TYPE	"application/problem+json"
#define BSH_PROBLEM_TYPE_PREFIX "urn:berylshunt:problem:"

typedef struct {
	bsh_error_t err;
	bsh_outcome_t outcome;
	const char *detail;	/* cause of this occurrence, may be NULL */
	int64_t retry_after_ms; /* -1: none */
	const char *request_id; /* may be NULL */
	const char *entry;	/* IP:port of another instance, may be NULL */
} bsh_problem_t;

/* bsh_problem_init - set the outcome from the table, and no other member. */
void bsh_problem_init(bsh_problem_t *problem, bsh_error_t err);

/* bsh_problem_body - JSON text, to be freed with free(). */
char *bsh_problem_body(const bsh_problem_t *problem);

/* bsh_problem_retry_after_s - value of the Retry-After header, rounded up; -1:
 * no header. */
int64_t bsh_problem_retry_after_s(const bsh_problem_t *problem);

/* bsh_problem_event - append the server-sent event "error" that ends a stream
 * which cannot be completed. */
void bsh_problem_event(const bsh_problem_t *problem, GString *out);

#endif
