#ifndef BSH_TRANSPORT_HTTP_SERVER_H
#define BSH_TRANSPORT_HTTP_SERVER_H

/*
 * NAME
 *	http_server - HTTP/1.1 server on one event loop
 *
 * DESCRIPTION
 *	Uses libmicrohttpd in epoll mode; its epoll descriptor is watched by
 *	the loop.  on_request is called when a request has been received with
 *	its whole body.  The response is sent from on_request or later, by
 *	bsh_http_response_send(), or in parts by bsh_http_response_begin(),
 *	bsh_http_response_write() and bsh_http_response_end().
 *
 *	A request is valid until on_done, which is called exactly once for
 *	each request passed to on_request or on_too_large.  If the client
 *	disconnects first, on_done is called with delivered == false.  A
 *	client that shuts down its sending side counts as disconnected.
 *
 *	A request of which the body is still being sent can be refused by
 *	bsh_http_server_review().  Its response is sent at once, and the rest
 *	of the body is read and dropped until the client closes: a close with
 *	unread bytes would reset the connection, and the client might lose the
 *	response.
 *
 *	While there is no room for a body, the slowest one that is being received
 *	is refused for it in the same way.  Beyond max_connections the connection
 *	that is of least use is closed: one that has sent no whole head, one whose
 *	body does not move, or one that is idle.
 *
 *	Malformed requests never reach on_request: libmicrohttpd answers them
 *	or closes the connection.  A body over the limit is read and answered
 *	with 413.
 *
 *	All functions and callbacks run on the loop's thread.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/error.h"
#include "transport/loop.h"

/* Unsent bytes of a response above which its producer should pause. */
#define BSH_HTTP_HIGH_WATERMARK_BYTES 65536U

typedef struct bsh_http_server bsh_http_server_t;
typedef struct bsh_http_request bsh_http_request_t;

typedef struct {
	const char *address; /* "IP:port"; port 0: any free port */
	uint32_t max_connections;
	/* Of a connection without activity.  The time between on_request and
	 * the response does not count. */
	uint32_t idle_timeout_s;
	size_t body_max_bytes; /* bound of a request body */
	void (*on_request)(void *ctx, bsh_http_request_t *request);
	/* A body over the limit was received; must call
	 * bsh_http_response_send().  NULL: respond 413 without a body. */
	void (*on_too_large)(void *ctx, bsh_http_request_t *request);
	/* Accounts of memory; NULL: there is no bound.  grow_body: a body that is
	 * received grows from one number of bytes to another; false: there is no
	 * room.  end_body: it is whole or was dropped.  buffered: bytes of
	 * responses were added or, below 0, passed to the kernel. */
	bool (*grow_body)(void *ctx, size_t from, size_t to);
	void (*end_body)(void *ctx, size_t size);
	void (*buffered)(void *ctx, ssize_t bytes);
	/* Largest body that is legal now; a declared length above it is refused
	 * at the head.  NULL: body_max_bytes. */
	size_t (*body_limit)(void *ctx);
	/* There is no room for a body, or it is too large by its declared length:
	 * must call bsh_http_response_send().  Its body must not be used, and the
	 * rest of it is dropped. */
	void (*on_no_room)(void *ctx, bsh_http_request_t *request,
			   bool too_large);
	/* A connection was closed for another one. */
	void (*on_closed)(void *ctx);
	/* Called by bsh_http_server_review(); its body must not be used.  False:
	 * the request is refused, and bsh_http_response_send() was called.
	 * NULL: none is refused. */
	bool (*on_review)(void *ctx, bsh_http_request_t *request);
	void *ctx;
} bsh_http_server_config_t;

typedef struct {
	/* The request has ended and is freed after the call.  delivered: the
	 * whole response was passed to the kernel. */
	void (*on_done)(void *ctx, bool delivered);
	/* The write buffer is empty after it had exceeded
	 * BSH_HTTP_HIGH_WATERMARK_BYTES; may be NULL. */
	void (*on_drained)(void *ctx);
} bsh_http_request_handler_t;

/*
 * bsh_http_server_new - create a server and listen on config->address.
 *
 * RETURN VALUE
 *	BSH_OK, BSH_ERR_INVALID for a malformed address, BSH_ERR_SYSTEM if the
 *	address cannot be bound.
 */
bsh_error_t bsh_http_server_new(bsh_http_server_t **server, bsh_loop_t *loop,
				const bsh_http_server_config_t *config);

/* bsh_http_server_free - abort the requests in progress and free the server;
 * bsh_http_server_stop() begins a graceful stop. */
void bsh_http_server_free(bsh_http_server_t *server);

/* bsh_http_server_port - local port, also when port 0 was given. */
uint16_t bsh_http_server_port(const bsh_http_server_t *server);

/*
 * bsh_http_server_close_idle - begin a graceful stop: close connections without
 * a request.  Requests in progress continue, and from now on each response
 * closes its connection.  May be called repeatedly.
 */
void bsh_http_server_close_idle(bsh_http_server_t *server);

/* bsh_http_server_close_after_responses - close each connection after its next
 * response; idle connections stay open until then. */
void bsh_http_server_close_after_responses(bsh_http_server_t *server);

/* bsh_http_server_stop - stop listening and call
 * bsh_http_server_close_idle(). */
void bsh_http_server_stop(bsh_http_server_t *server);

/*
 * bsh_http_server_review - call on_review for each request of which the head was
 * received and the body was not.  After bsh_http_server_close_after_responses()
 * it is called for each new one by itself, and by bsh_http_server_free().
 */
void bsh_http_server_review(bsh_http_server_t *server);

/* bsh_http_server_connections - number of open connections. */
uint32_t bsh_http_server_connections(const bsh_http_server_t *server);

/* bsh_http_server_requests - number of requests between on_request and
 * on_done. */
uint32_t bsh_http_server_requests(const bsh_http_server_t *server);

/* Parts of a request; the strings are valid as long as the request. */
const char *bsh_http_request_method(const bsh_http_request_t *request);
/* Path and query as received, not decoded. */
const char *bsh_http_request_target(const bsh_http_request_t *request);
/* Path as received, not decoded. */
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
/* Body, NUL terminated. */
const char *bsh_http_request_body(const bsh_http_request_t *request,
				  size_t *size);

/* bsh_http_request_take_body - transfer ownership of the body to the caller,
 * who frees it by g_free(). */
char *bsh_http_request_take_body(bsh_http_request_t *request, size_t *size);

/* bsh_http_request_is_connected - ask the socket whether the client has
 * disconnected, which on_done reports only in a later turn of the loop.  True
 * if the client has sent a further request before its disconnect. */
bool bsh_http_request_is_connected(const bsh_http_request_t *request);

/* bsh_http_request_set_handler - set the callbacks of a request. */
void bsh_http_request_set_handler(bsh_http_request_t *request,
				  const bsh_http_request_handler_t *handler,
				  void *ctx);

/* bsh_http_response_add_header - add a header to the response, before it
 * begins.  A header with a control character in its value is left out. */
void bsh_http_response_add_header(bsh_http_request_t *request, const char *name,
				  const char *value);

/* bsh_http_response_send - send a complete response; the body is copied.  A
 * response that has begun is aborted instead, with a log line. */
void bsh_http_response_send(bsh_http_request_t *request, int status,
			    const char *body, size_t size);

/* bsh_http_response_begin - begin a response; content_length is -1 if unknown,
 * the body is then chunked. */
void bsh_http_response_begin(bsh_http_request_t *request, int status,
			     int64_t content_length);

/*
 * bsh_http_response_write - append data to the body.
 *
 * RETURN VALUE
 *	Bytes in the write buffer.  Above BSH_HTTP_HIGH_WATERMARK_BYTES the
 *	caller should pause until on_drained.
 */
size_t bsh_http_response_write(bsh_http_request_t *request, const char *data,
			       size_t size);

/* bsh_http_response_end - complete the response. */
void bsh_http_response_end(bsh_http_request_t *request);

/*
 * bsh_http_response_abort - send the data written so far and close the
 * connection without completing the response, so that the client detects the
 * truncation.
 */
void bsh_http_response_abort(bsh_http_request_t *request);

#endif
