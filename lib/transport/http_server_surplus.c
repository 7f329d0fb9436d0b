#include "transport/http_server_private.h"

#include <sys/socket.h>

/* A new connection whose head is not whole within this time is silent: a caller
 * sends it at once, and must not be closed for the crowd that came before. */
#define SILENT_US INT64_C(150000)
/* A response of which nothing was read for this time may be cut for another
 * connection. */
#define UNREAD_US INT64_C(5000000)
/* Interval at which connections beyond the limit are looked at again. */
#define SURPLUS_INTERVAL_US INT64_C(50000)

bool http_server_has_unread_input(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* The order in which connections are closed for others. */
typedef enum {
	CONNECTION_SILENT,  /* has sent no whole head yet */
	CONNECTION_STALLED, /* its body does not move, or is dropped */
	CONNECTION_IDLE,    /* has had a response and sends nothing */
	CONNECTION_UNREAD,  /* its response is not read */
	CONNECTION_BUSY	    /* not to be closed */
} connection_use_t;

static connection_use_t use_of(const connection_t *connection, int64_t now_us)
{
	const bsh_http_request_t *request = connection->request;

	if (connection->closing)
		return CONNECTION_BUSY;
	if (request == NULL && connection->served)
		return CONNECTION_IDLE;
	if (request == NULL || !request->head_received)
		return now_us - connection->moved_us >= SILENT_US
			       ? CONNECTION_SILENT
			       : CONNECTION_BUSY;
	if (request->refused)
		return CONNECTION_STALLED;
	if (!request->dispatched && now_us - connection->moved_us >= STALLED_US)
		return CONNECTION_STALLED;
	if (http_server_has_unread(request) &&
	    now_us - connection->moved_us >= UNREAD_US)
		return CONNECTION_UNREAD;
	return CONNECTION_BUSY;
}

/* What was sent and is not read yet is progress: the process may have been paused. */
static bool is_sending(const connection_t *connection, int64_t now_us)
{
	const bsh_http_request_t *request = connection->request;

	if (use_of(connection, now_us) == CONNECTION_UNREAD ||
	    (request != NULL && request->refused))
		return false;
	return http_server_has_unread_input(connection->fd);
}

/* The connection that is of least use, other than busy ones and, if looks is set,
 * those that are sending; NULL: there is none. */
static connection_t *find_least_useful(const bsh_http_server_t *server,
				       bool looks)
{
	int64_t now_us = bsh_loop_now_us(server->loop);
	connection_use_t least = CONNECTION_BUSY;
	connection_t *found = NULL;

	for (connection_t *c = server->connections; c != NULL; c = c->next) {
		connection_use_t use = use_of(c, now_us);

		if (use == CONNECTION_BUSY ||
		    (found != NULL &&
		     (use > least ||
		      (use == least && c->moved_us >= found->moved_us))) ||
		    (looks && is_sending(c, now_us)))
			continue;
		least = use;
		found = c;
	}
	return found;
}

/* Closes the connection that is of least use; false if all are in use. */
static bool close_least_useful(bsh_http_server_t *server)
{
	connection_t *found = find_least_useful(server, false);

	/* To look at all sockets takes a call for each. */
	if (found != NULL && is_sending(found, bsh_loop_now_us(server->loop)))
		found = find_least_useful(server, true);
	if (found == NULL)
		return false;
	found->closing = true;
	server->closing_count++;
	/* A suspended connection is not polled. */
	if (found->request != NULL)
		bsh_http_response_abort(found->request);
	/* libmicrohttpd detects the shutdown and closes the socket. */
	shutdown(found->fd, SHUT_RDWR);
	bsh_loop_task_schedule(&server->run_task);
	if (server->config.on_closed != NULL)
		server->config.on_closed(server->config.ctx);
	return true;
}

/* Beyond the limit as many connections are closed, now or once they are of no
 * use. */
void http_server_close_surplus(void *ctx)
{
	bsh_http_server_t *server = ctx;

	while (server->connection_count - server->closing_count >
	       server->config.max_connections)
		if (!close_least_useful(server)) {
			bsh_loop_timer_after(&server->surplus_timer,
					     SURPLUS_INTERVAL_US);
			return;
		}
}

/* The end of what the client sends, of which all was read. */
static bool has_left(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* libmicrohttpd, which polls edge-triggered, may not notice an end that comes while
 * it is behind with the data before it: the connection and its body would be held
 * until the idle timeout. */
void http_server_close_left(void *ctx)
{
	bsh_http_server_t *server = ctx;
	int64_t now_us = bsh_loop_now_us(server->loop);
	bool receives = false;

	for (connection_t *c = server->connections; c != NULL; c = c->next) {
		if (c->request == NULL ||
		    (c->request->dispatched && !c->request->refused))
			continue;
		receives = true;
		if (now_us - c->moved_us >= STALLED_US && has_left(c->fd))
			shutdown(c->fd, SHUT_RDWR);
	}
	if (receives)
		bsh_loop_timer_after(&server->left_timer, STALLED_US);
}

void http_server_look_for_left(bsh_http_server_t *server)
{
	if (!bsh_loop_timer_is_running(&server->left_timer))
		bsh_loop_timer_after(&server->left_timer, STALLED_US);
}
