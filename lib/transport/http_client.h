#ifndef BSH_TRANSPORT_HTTP_CLIENT_H
#define BSH_TRANSPORT_HTTP_CLIENT_H

/*
 * NAME
 *	http_client - HTTP/1.1 calls on one event loop
 *
 * DESCRIPTION
 *	Calls run on libcurl's multi socket interface.  The answer is handed
 *	over as it arrives (on_data) or collected up to a limit.  on_end is
 *	called exactly once per call, never from within
 *	bsh_http_client_start(), and never after bsh_http_call_cancel().
 *
 *	result.sent tells whether the request may have reached the target.
 *	It is set before the first byte is handed to the kernel, so a call
 *	that ends with sent == false has provably not run.  A call is never
 *	sent twice: when a reused connection turns out to be closed, the call
 *	ends as BSH_ERR_BROKEN and the caller of this module decides.
 *
 *	A request that may not be repeated sets fresh_connection: a reused
 *	connection can have gone silent without either side noticing.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

#define BSH_HTTP_CONNECT_TIMEOUT_MS 1000
#define BSH_HTTP_IDLE_TIMEOUT_MS    30000

typedef struct bsh_http_client bsh_http_client_t;
typedef struct bsh_http_call bsh_http_call_t;

typedef struct {
	bsh_error_t err;
	bool sent;     /* a byte of the request may have left */
	bool complete; /* content length or last chunk was seen */
	int status;    /* 0: no status line arrived */
	int64_t body_bytes;
	/* Collected body when on_data is NULL, with a NUL behind it; valid
	 * during on_end. */
	const char *body;
	const char *detail; /* libcurl's text, for logs */
} bsh_http_result_t;

/*
 * err is
 *	BSH_OK		the answer is complete, whatever its status
 *	BSH_ERR_CONNECT	no connection; sent is false
 *	BSH_ERR_BROKEN	connection lost, or no proof of completeness
 *	BSH_ERR_TIMEOUT	nothing received for idle_timeout_ms, or deadline_us
 *	BSH_ERR_TOO_LARGE  collected body over body_max_bytes
 *	BSH_ERR_SYSTEM	libcurl could not start the call; sent is false
 */

/* One header of the answer; name and value are not NUL terminated. */
typedef void (*bsh_http_header_fn_t)(void *ctx, const char *name,
				     size_t name_size, const char *value,
				     size_t value_size);

typedef struct {
	/* Each may be NULL but on_end.  on_sent: connected, the first byte of
	 * the request is about to leave.  on_head: all headers arrived. */
	void (*on_sent)(void *ctx);
	bsh_http_header_fn_t on_header;
	void (*on_head)(void *ctx, int status);
	void (*on_data)(void *ctx, const char *data, size_t size);
	void (*on_end)(void *ctx, const bsh_http_result_t *result);
} bsh_http_handler_t;

typedef struct {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", NULL terminated, or NULL
				     */
	const char *body;	    /* NULL: none */
	size_t body_size;
	uint32_t connect_timeout_ms; /* 0: BSH_HTTP_CONNECT_TIMEOUT_MS */
	uint32_t idle_timeout_ms;    /* 0: BSH_HTTP_IDLE_TIMEOUT_MS */
	int64_t deadline_us;	     /* on the loop's clock; 0: none */
	size_t body_max_bytes;	     /* collected body; 0: 1 MiB */
	bool fresh_connection;
	bool body_is_static; /* body outlives the call: not copied */
	/* An answer without a length is whole when its connection was closed
	 * in order; otherwise such an answer counts as broken. */
	bool allow_close_delimited;
} bsh_http_call_spec_t;

/*
 * bsh_http_client_new - max_idle bounds the idle connections kept.
 *
 * RETURN VALUE
 *	The client, or NULL when libcurl cannot be set up.
 */
bsh_http_client_t *bsh_http_client_new(bsh_loop_t *loop, uint32_t max_idle);

/* bsh_http_client_free - running calls are dropped without on_end. */
void bsh_http_client_free(bsh_http_client_t *client);

/*
 * bsh_http_client_start - begin a call.
 *
 * RETURN VALUE
 *	BSH_OK and the call in *call (valid until on_end or cancel);
 *	BSH_ERR_INVALID for an unusable URL or header, with no on_end.
 */
bsh_error_t bsh_http_client_start(bsh_http_client_t *client,
				  const bsh_http_call_spec_t *spec,
				  const bsh_http_handler_t *handler, void *ctx,
				  bsh_http_call_t **call);

/* bsh_http_call_cancel - close the connection; no callback follows. */
void bsh_http_call_cancel(bsh_http_call_t *call);

/* bsh_http_call_pause - stop reading until resumed; idle time stands still. */
void bsh_http_call_pause(bsh_http_call_t *call);
void bsh_http_call_resume(bsh_http_call_t *call);

/* bsh_http_call_sent - as result.sent, while the call runs. */
bool bsh_http_call_sent(const bsh_http_call_t *call);

#endif
