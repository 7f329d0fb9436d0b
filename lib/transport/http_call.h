#ifndef BSH_TRANSPORT_HTTP_CALL_H
#define BSH_TRANSPORT_HTTP_CALL_H

/*
 * NAME
 *	http_call - state of the calls of an HTTP client
 *
 * DESCRIPTION
 *	Shared by http_client.c, which starts and ends calls, and
 *	http_response.c, which takes what libcurl receives for them.
 */

#include <curl/curl.h>
#include <glib.h>

#include "transport/http_check.h"
#include "transport/http_client.h"
#include "transport/http_connection.h"

struct bsh_http_client {
	bsh_loop_t *loop;
	CURLM *multi;
	bsh_loop_timer_t timer;
	bsh_loop_task_t start_task;
	bsh_loop_task_t cancel_task;
	bsh_loop_task_t fail_task;
	GQueue start_queue; /* calls started from within libcurl's callbacks */
	GQueue failed;	    /* calls whose end libcurl may not report soon */
	bsh_http_call_t *calls; /* all running calls */
	bsh_http_connections_t connections;
	int curl_depth; /* > 0 while libcurl is on the stack */
};

struct bsh_http_call {
	bsh_http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	bsh_http_handler_t handler;
	void *ctx;
	bsh_loop_timer_t timer; /* idle timeout and deadline */
	int64_t deadline_us;
	int64_t idle_us;
	int64_t last_active_us; /* last received data, start or resume */
	GString *body;
	size_t body_max_bytes;
	size_t request_body_bytes;
	int64_t body_bytes;
	size_t head_bytes;
	bsh_http_check_t check;
	int status;
	bsh_error_t err; /* set by a callback that aborts the transfer */
	bool sent;
	bool has_no_body; /* the method is HEAD */
	bool needs_fresh; /* the kept connection is not usable */
	int fd;		  /* of a new connection; -1: the connection is kept */
	bsh_http_connection_t *connection; /* NULL: not established */
	bool is_end_orderly; /* the server has read all and closed */
	bool allow_close_delimited;
	bool submitted; /* passed to libcurl */
	bool cancelled;
	bool is_queued; /* in the client's queue of failed calls */
	bool paused;
	char detail[CURL_ERROR_SIZE];
	bsh_http_call_t *next;
	bsh_http_call_t *previous;
};

/* bsh_http_call_fail_later - end the call with call->err from the loop.  May be
 * called from within libcurl's callbacks. */
void bsh_http_call_fail_later(bsh_http_call_t *call);

/* bsh_http_response_set_callbacks - let libcurl pass the response of the call to
 * the checks and to its handler. */
void bsh_http_response_set_callbacks(bsh_http_call_t *call);

/* bsh_http_response_ends_by_close - true if the close of the connection is the
 * end of a close-delimited response. */
bool bsh_http_response_ends_by_close(const bsh_http_call_t *call);

#endif
