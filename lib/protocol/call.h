#ifndef BSH_PROTOCOL_CALL_H
#define BSH_PROTOCOL_CALL_H

/*
 * NAME
 *	call - JSON over HTTP client that classifies the effect of a call
 *
 * DESCRIPTION
 *	Common part of store_client and engine_client.  The result of a call
 *	states whether the server may have acted on it, so that the calling
 *	code can decide whether to repeat it.  Calls are never repeated here.
 *
 *	fn is called exactly once for each call, never from within
 *	bsh_call_start(), and not after bsh_json_client_finish().
 */

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/http_client.h"

typedef enum {
	BSH_CALL_DONE = 0,    /* 200 to 202 with a usable answer */
	BSH_CALL_UNCHANGED,   /* 204: a watch timed out without a change */
	BSH_CALL_NOT_FOUND,   /* 404, no effect */
	BSH_CALL_CONFLICT,    /* 409, no effect */
	BSH_CALL_REFUSED,     /* other 3xx, 4xx and 507, no effect */
	BSH_CALL_UNAVAILABLE, /* 503 or no byte was sent, no effect */
	BSH_CALL_UNKNOWN      /* sent without a usable answer, effect unknown */
} bsh_call_result_t;

typedef struct {
	bsh_call_result_t result;
	int status;   /* HTTP status, 0: none received */
	bool sent;    /* a byte may have left this process */
	json_t *json; /* NULL without a JSON body; valid in the callback only */
	uint32_t retry_after_ms; /* of Retry-After, 0: none */
	int64_t began_us;	 /* start of the call, bsh_loop_clock_us() */
} bsh_call_answer_t;

typedef void (*bsh_call_fn_t)(void *ctx, const bsh_call_answer_t *answer);

typedef struct {
	bsh_loop_t *loop;
	bsh_http_client_t *http;
	GHashTable *open; /* set of calls in progress */
} bsh_json_client_t;

/* bsh_json_client_init - http must outlive the client. */
void bsh_json_client_init(bsh_json_client_t *client, bsh_loop_t *loop,
			  bsh_http_client_t *http);

/* bsh_json_client_finish - cancel all calls in progress. */
void bsh_json_client_finish(bsh_json_client_t *client);

typedef struct {
	const char *method;
	const char *address; /* IP:port */
	const char *path;    /* with the query, percent-encoded */
	const char *header;  /* one more header, "Name: value", or NULL */
	const char *body;    /* JSON, copied, or NULL */
	size_t body_size;
	uint32_t timeout_ms;
} bsh_call_spec_t;

/*
 * bsh_call_start - start a call.  If that fails, fn receives
 * BSH_CALL_UNAVAILABLE later.
 */
void bsh_call_start(bsh_json_client_t *client, const bsh_call_spec_t *spec,
		    bsh_call_fn_t fn, void *ctx);

/* bsh_call_result_name - name for logs and counters: "done", "conflict", ... */
const char *bsh_call_result_name(bsh_call_result_t result);

#endif
