#ifndef BSH_TRANSPORT_HTTP_SERVER_H
#define BSH_TRANSPORT_HTTP_SERVER_H

/*
 * NAME
 *	http_server - HTTP/1.1 server on one event loop
 *
 * DESCRIPTION
 *	libmicrohttpd in epoll mode; its epoll descriptor is nested in the
 *	loop.  on_request is called when a request has arrived with its whole
 *	body.  It answers at once or later, with bsh_http_answer() or with
 *	bsh_http_answer_begin(), bsh_http_answer_write() and
 *	bsh_http_answer_end().
 *
 *	A request lives until on_done, which is called exactly once for each
 *	request given to on_request.  When the caller goes away first, on_done
 *	comes with delivered == false.  A caller that closes its sending side
 *	counts as gone.
 *
 *	Malformed requests are answered or closed by libmicrohttpd; bodies
 *	over the limit are read and answered with 413.  Neither reaches
 *	on_request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "transport/loop.h"

/* Waiting bytes of an answer above which its source is expected to pause. */
#define BSH_HTTP_HIGH_WATERMARK_BYTES 65536U

typedef struct bsh_http_server bsh_http_server_t;
typedef struct bsh_http_request bsh_http_request_t;

typedef struct {
	const char *address; /* IP:port; port 0 takes a free one */
	uint32_t max_connections;
	uint32_t idle_timeout_s; /* of a connection between requests */
	size_t body_max_bytes;
	void (*on_request)(void *ctx, bsh_http_request_t *request);
	/* Answers a body over the limit through bsh_http_answer(); NULL: a
	 * plain 413. */
	void (*on_too_large)(void *ctx, bsh_http_request_t *request);
	void *ctx;
} bsh_http_server_config_t;

typedef struct {
	/* The request ends; delivered: the whole answer was handed to the
	 * kernel.  The request is freed after the call. */
	void (*on_done)(void *ctx, bool delivered);
	/* All written data has left, after more than
	 * BSH_HTTP_WRITE_HIGH_BYTES had waited; NULL when not needed. */
	void (*on_drained)(void *ctx);
} bsh_http_request_handler_t;

/*
 * bsh_http_server_new - listen and serve.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID for the address, BSH_ERR_SYSTEM when the
 *	address cannot be bound.
 */
bsh_error_t bsh_http_server_new(bsh_http_server_t **server, bsh_loop_t *loop,
				const bsh_http_server_config_t *config);

/* bsh_http_server_free - cuts what still runs; see _stop(). */
void bsh_http_server_free(bsh_http_server_t *server);

uint16_t bsh_http_server_port(const bsh_http_server_t *server);

/*
 * bsh_http_server_close_idle - begin of a graceful stop: closes connections
 * without a request.  Requests in progress finish; from now on each answer
 * closes its connection.  May be repeated.
 */
void bsh_http_server_close_idle(bsh_http_server_t *server);

/* bsh_http_server_close_after_answers - from now on each answer closes its
 * connection; idle connections stay open for the next request. */
void bsh_http_server_close_after_answers(bsh_http_server_t *server);

/* bsh_http_server_stop - as _close_idle(), and no longer listens. */
void bsh_http_server_stop(bsh_http_server_t *server);

/* bsh_http_server_connections - open connections. */
uint32_t bsh_http_server_connections(const bsh_http_server_t *server);

/* bsh_http_server_requests - requests between on_request and on_done. */
uint32_t bsh_http_server_requests(const bsh_http_server_t *server);

/* Parts of a request; strings live as long as the request. */
const char *bsh_http_request_method(const bsh_http_request_t *request);
/* Path and query as sent, not decoded. */
const char *bsh_http_request_target(const bsh_http_request_t *request);
/* Path only, as sent. */
const char *bsh_http_request_path(const bsh_http_request_t *request);
/* Value of a query argument, decoded, or NULL. */
const char *bsh_http_request_argument(const bsh_http_request_t *request,
				      const char *name);
/* Value of a header, or NULL. */
const char *bsh_http_request_header(const bsh_http_request_t *request,
				    const char *name);
void bsh_http_request_headers(const bsh_http_request_t *request,
			      void (*fn)(void *ctx, const char *name,
					 const char *value),
			      void *ctx);
/* Body with a NUL behind it. */
const char *bsh_http_request_body(const bsh_http_request_t *request,
				  size_t *size);

/* bsh_http_request_take_body - the caller owns the body; frees by g_free(). */
char *bsh_http_request_take_body(bsh_http_request_t *request, size_t *size);

void bsh_http_request_set_handler(bsh_http_request_t *request,
				  const bsh_http_request_handler_t *handler,
				  void *ctx);

/* bsh_http_answer_header - add a header; before the answer begins. */
void bsh_http_response_add_header(bsh_http_request_t *request, const char *name,
			    const char *value);

/* bsh_http_answer - send a whole answer; the body is copied. */
void bsh_http_response_send(bsh_http_request_t *request, int status, const char *body,
		     size_t size);

/* bsh_http_answer_begin - content_length is -1 when not known (chunked). */
void bsh_http_response_begin(bsh_http_request_t *request, int status,
			   int64_t content_length);

/*
 * bsh_http_answer_write - append to the answer.
 *
 * RETURN VALUE
 *	Bytes that wait to be sent.  Above BSH_HTTP_WRITE_HIGH_BYTES the
 *	source is paused until on_drained.
 */
size_t bsh_http_response_write(bsh_http_request_t *request, const char *data,
			     size_t size);

/* bsh_http_answer_end - the answer is complete. */
void bsh_http_response_end(bsh_http_request_t *request);

/*
 * bsh_http_answer_abort - close the connection without the end of the answer,
 * so that the caller sees it as broken.  What was written is sent first.
 */
void bsh_http_response_abort(bsh_http_request_t *request);

#endif
