#ifndef BSH_TRANSPORT_HTTP_SERVER_PRIVATE_H
#define BSH_TRANSPORT_HTTP_SERVER_PRIVATE_H

/*
 * NAME
 *	http_server_private - types and functions shared by the server's files
 *
 * DESCRIPTION
 *	http_server.c		connections, and requests until they are received
 *	http_server_message.c	access to requests, responses
 *	http_server_surplus.c	connections that are closed for others
 */

#include <glib.h>
#include <microhttpd.h>

#include "transport/http_server.h"

/* A body that has not moved for this time is stalled, and one that is older may be
 * dropped for another: a caller that sends goes on within it, also over a link
 * that loses packets. */
#define STALLED_US INT64_C(1000000)

typedef struct connection {
	int fd;
	bsh_http_request_t *request; /* being received or in progress */
	int64_t moved_us;	     /* last progress */
	bool served;		     /* has had a response */
	bool closing;		     /* for another one */
	struct connection *next;
	struct connection *previous;
} connection_t;

struct bsh_http_server {
	bsh_loop_t *loop;
	bsh_http_server_config_t config;
	struct MHD_Daemon *daemon;
	bsh_loop_watch_t *watch;
	bsh_loop_timer_t timer;
	bsh_loop_timer_t surplus_timer;
	bsh_loop_timer_t left_timer;
	bsh_loop_task_t run_task;
	bsh_loop_task_t review_task;
	connection_t *connections;
	uint32_t connection_count;
	uint32_t closing_count; /* of these, closed for others */
	uint32_t request_count;
	bool closing; /* each response closes its connection */
	bool stopped; /* no longer listening */
	bool freeing; /* bsh_http_server_free() was called */
};

struct bsh_http_request {
	bsh_http_server_t *server;
	struct MHD_Connection *mhd;
	connection_t *connection;
	char *target;
	char *path;
	char method[16];
	GString *body;
	uint64_t received_bytes;
	size_t reserved_bytes; /* by grow_body */
	int64_t began_us;
	size_t copied_bytes; /* of a response that was sent at once */
	GPtrArray *headers;  /* of the response: name, value, name, ... */
	struct MHD_Response *response;
	int status;
	GString *out; /* response data not yet read by libmicrohttpd */
	size_t out_start;
	/* Detects a disconnect of the client while suspended. */
	bsh_loop_watch_t *disconnect_watch;
	/* The client has sent a further request; disconnect_watch is off. */
	bool pipelined;
	bsh_loop_task_t drained_task;
	bsh_http_request_handler_t handler;
	void *handler_ctx;
	bool head_received;
	bool head_too_large;
	bool too_large;
	bool reject_early; /* respond before the body is read */
	bool dispatched; /* on_request, on_too_large or on_review was called */
	bool reviewing;	 /* on_review is being called */
	bool refused;	 /* by on_review: the body is dropped */
	bool refusal_sent; /* its whole response was passed to the kernel */
	bool suspended; /* connection suspended until there is data to send */
	bool queued;	/* response passed to libmicrohttpd */
	bool ended;	/* response complete */
	bool aborted;	/* client disconnected or response aborted */
	bool want_drained; /* call on_drained when out is empty */
};

/* http_server_buffered - tell of bytes of responses. */
void http_server_buffered(const bsh_http_request_t *request, ssize_t bytes);
/* http_server_has_unread - bytes of its response wait for the client. */
bool http_server_has_unread(const bsh_http_request_t *request);
/* http_server_has_unread_input - the socket has input that was not read. */
bool http_server_has_unread_input(int fd);
/* http_server_close_surplus - close connections beyond the limit, now or once they
 * are of no use; a handler of timers. */
void http_server_close_surplus(void *server);
/* http_server_look_for_left - while bodies are being received, close the
 * connections of clients that have left. */
void http_server_look_for_left(bsh_http_server_t *server);
/* http_server_close_left - handler of left_timer. */
void http_server_close_left(void *server);
/* http_server_resume - go on with a suspended connection. */
void http_server_resume(bsh_http_request_t *request);
/* http_server_suspend - suspend a connection until there is data to send. */
void http_server_suspend(bsh_http_request_t *request);
/* http_server_send_refusal - send the response past libmicrohttpd, which would
 * close the connection after it although the client still sends. */
void http_server_send_refusal(bsh_http_request_t *request, int status,
			      const char *body, size_t size);

#endif
