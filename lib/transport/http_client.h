#ifndef BSH_TRANSPORT_HTTP_CLIENT_H
#define BSH_TRANSPORT_HTTP_CLIENT_H

/*
 * NAME
 *	http_client - asynchronous HTTP/1.1 client on an event loop
 *
 * DESCRIPTION
 *	A call is one request and its response, run by libcurl's multi socket
 *	interface.  The response body is passed on as it arrives (on_data) or
 *	collected up to a limit.  on_end is called exactly once per call,
 *	never from within bsh_http_client_start(), and never after
 *	bsh_http_call_cancel().
 *
 *	All functions and callbacks run on the loop's thread.
 *
 *	result.sent states whether the request may have reached the server.
 *	It is set before the first byte is passed to the kernel, so a call
 *	that ends with sent == false has certainly not been executed.  A
 *	request is never sent twice: if a reused connection turns out to be
 *	closed, the call ends with BSH_ERR_CONNECTION_LOST, and any retry is
 *	up to the user of this module.
 *
 *	Set fresh_connection for a request that must not be repeated: a reused
 *	connection may have failed without either end having detected it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

#define BSH_HTTP_CONNECT_TIMEOUT_MS 1000
#define BSH_HTTP_IDLE_TIMEOUT_MS    30000
/* The peer may have dropped a connection that has been idle for longer
 * undetected. */
#define BSH_HTTP_REUSE_MAX_IDLE_S 20

typedef struct bsh_http_client bsh_http_client_t;
typedef struct bsh_http_call bsh_http_call_t;

typedef struct {
	bsh_error_t err;
	bool sent;     /* a byte of the request may have been sent */
	bool refused;  /* the peer's machine has refused the connection */
	bool complete; /* the whole response was received; err is BSH_OK */
	int status;    /* 0: no final response header was received */
	int64_t body_bytes;
	/* Collected body if on_data is NULL, otherwise empty; NUL terminated,
	 * valid during on_end. */
	const char *body;
	const char *detail; /* error text, for logs; may be empty */
} bsh_http_result_t;

/*
 * Values of err:
 *	BSH_OK		the response is complete, whatever its status
 *	BSH_ERR_CONNECT	no connection; sent is false
 *	BSH_ERR_CONNECTION_LOST
 *			connection lost, or the end of the response cannot be
 *			told from a lost connection
 *	BSH_ERR_TIMEOUT	nothing received for idle_timeout_ms, or deadline_us
 *			passed, after the request was sent
 *	BSH_ERR_MALFORMED
 *			the response is no answer of the protocol (see
 *			http_check); detail says why
 *	BSH_ERR_TOO_LARGE
 *			collected body over body_max_bytes, or header lines of
 *			more than 64 KiB
 *	BSH_ERR_SYSTEM	libcurl could not start the call; sent is false
 */

/* One header of the final response; name and value are not NUL terminated. */
typedef void (*bsh_http_header_fn_t)(void *ctx, const char *name,
				     size_t name_size, const char *value,
				     size_t value_size);

typedef struct {
	/* All but on_end may be NULL. */
	/* Connected; false ends the call with BSH_ERR_CONNECT before anything
	 * is sent. */
	bool (*may_send)(void *ctx);
	/* Connected; the first byte of the request is about to be sent. */
	void (*on_sent)(void *ctx);
	bsh_http_header_fn_t on_header;
	/* All headers of the response were received. */
	void (*on_head)(void *ctx, int status);
	/* A part of the response body; data is valid during the call. */
	void (*on_data)(void *ctx, const char *data, size_t size);
	/* The call has ended; it is freed before this callback. */
	void (*on_end)(void *ctx, const bsh_http_result_t *result);
} bsh_http_handler_t;

typedef struct {
	const char *method;
	const char *url;
	/* "Name: value" strings, NULL terminated; NULL: no headers. */
	const char *const *headers;
	const char *body; /* NULL: no body */
	size_t body_size;
	uint32_t connect_timeout_ms; /* 0: BSH_HTTP_CONNECT_TIMEOUT_MS */
	uint32_t idle_timeout_ms;    /* 0: BSH_HTTP_IDLE_TIMEOUT_MS */
	int64_t deadline_us;	     /* on the loop's clock; 0: none */
	size_t body_max_bytes;	     /* bound of a collected body; 0: 1 MiB */
	/* Connections that have been idle for longer are not reused; 0:
	 * BSH_HTTP_REUSE_MAX_IDLE_S. */
	uint32_t reuse_max_idle_s;
	bool fresh_connection; /* neither reuse a connection nor keep it */
	bool body_is_static;   /* body outlives the call: not copied */
	/* Accept a close-delimited response (neither Content-Length nor
	 * Transfer-Encoding) as complete after an orderly close, a success
	 * (2xx) only if the server has received the whole request by then;
	 * otherwise it ends with BSH_ERR_CONNECTION_LOST. */
	bool allow_close_delimited;
} bsh_http_call_spec_t;

/*
 * bsh_http_client_new - create a client that keeps at most max_idle idle
 * connections.
 *
 * RETURN VALUE
 *	The client, or NULL if libcurl cannot be initialised.
 */
bsh_http_client_t *bsh_http_client_new(bsh_loop_t *loop, uint32_t max_idle);

/* bsh_http_client_free - free the client; running calls are cancelled without
 * on_end. */
void bsh_http_client_free(bsh_http_client_t *client);

/*
 * bsh_http_client_start - start a call.
 *
 * RETURN VALUE
 *	BSH_OK and the call in *call, which is valid until on_end or
 *	bsh_http_call_cancel().  BSH_ERR_INVALID for an unusable method, URL
 *	or header, or BSH_ERR_SYSTEM if libcurl has no handle; on_end is then
 *	not called.
 */
bsh_error_t bsh_http_client_start(bsh_http_client_t *client,
				  const bsh_http_call_spec_t *spec,
				  const bsh_http_handler_t *handler, void *ctx,
				  bsh_http_call_t **call);

/* bsh_http_call_is_reused - the call's connection has carried an earlier one.
 * For use in on_head and later. */
bool bsh_http_call_is_reused(const bsh_http_call_t *call);

/* bsh_http_call_cancel - abort a call and close its connection; no callback
 * follows. */
void bsh_http_call_cancel(bsh_http_call_t *call);

/* bsh_http_call_pause - stop reading until bsh_http_call_resume(); the idle
 * timeout is suspended, the deadline is not. */
void bsh_http_call_pause(bsh_http_call_t *call);
void bsh_http_call_resume(bsh_http_call_t *call);

/* bsh_http_call_sent - value of result.sent so far, for a running call. */
bool bsh_http_call_sent(const bsh_http_call_t *call);

#endif
