#ifndef BSH_PROTOCOL_CALL_H
#define BSH_PROTOCOL_CALL_H

/*
 * NAME
 *	call - one JSON call over HTTP, with what is known about its effect
 *
 * DESCRIPTION
 *	Common part of store_client and engine_client.  fn is called exactly
 *	once for each call started, never from within the start, and not
 *	after bsh_json_client_finish().
 */

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/http_client.h"

typedef enum {
	BSH_CALL_DONE = 0,    /* 2xx with a usable answer */
	BSH_CALL_UNCHANGED,   /* 204: a watch ended without a change */
	BSH_CALL_NOT_FOUND,   /* 404, no effect */
	BSH_CALL_CONFLICT,    /* 409, no effect */
	BSH_CALL_REFUSED,     /* other 3xx, 4xx and 507, no effect */
	BSH_CALL_UNAVAILABLE, /* 503 or nothing was sent, no effect */
	BSH_CALL_UNKNOWN      /* sent, without a usable answer */
} bsh_call_result_t;

typedef struct {
	bsh_call_result_t result;
	int status;   /* 0: none arrived */
	bool sent;    /* a byte may have left this process */
	json_t *json; /* NULL without a JSON body; borrowed */
	uint32_t retry_after_ms;
	int64_t began_us; /* start of the call, on the loop's clock */
} bsh_call_answer_t;

typedef void (*bsh_call_fn_t)(void *ctx, const bsh_call_answer_t *answer);

typedef struct {
	bsh_loop_t *loop;
	bsh_http_client_t *http;
	GHashTable *open; /* calls without an answer yet */
} bsh_json_client_t;

/* bsh_json_client_init - http must outlive the caller. */
void bsh_json_client_init(bsh_json_client_t *caller, bsh_loop_t *loop,
			  bsh_http_client_t *http);

/* bsh_json_client_finish - cancel all open calls. */
void bsh_json_client_finish(bsh_json_client_t *caller);

typedef struct {
	const char *method;
	const char *address; /* IP:port */
	const char *path;    /* with query, encoded */
	const char *header;  /* "Name: value" or NULL */
	const char *body;    /* JSON, copied, or NULL */
	size_t body_size;
	uint32_t timeout_ms;
} bsh_call_spec_t;

/* bsh_call_start - fn is told about every failure, also of the start. */
void bsh_call_start(bsh_json_client_t *caller, const bsh_call_spec_t *spec,
		    bsh_call_fn_t fn, void *ctx);

/* bsh_call_result_name - "done", "conflict", ... for logs and counters. */
const char *bsh_call_result_name(bsh_call_result_t result);

#endif
