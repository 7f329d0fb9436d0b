#include "transport/http_server_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/log.h"
#include "base/settings.h"

/* Memory pool of a connection; bounds the request headers and the parts of a
 * response passed to the kernel. */
#define CONNECTION_MEMORY_BYTES 49152
/* A longer request head is rejected: what is left of the memory holds the head
 * of the response and one of its parts. */
#define HEAD_MAX_BYTES 32768U
#define LISTEN_BACKLOG 1024U
/* Connections that are accepted beyond the limit while none can be closed, as a part
 * of it, so that a crowd in front of an ordinary caller is gone through soon. */
#define CONNECTIONS_SPARE_PART 2U
/* Least that is reserved for a body without a declared length. */
#define RESERVE_MIN_BYTES ((size_t)16384)
/* A request whose body exceeds this size is rejected without reading the rest
 * of the body. */
#define DISCARD_MAX_BYTES (UINT64_C(64) << 20)

static void run_daemon(void *ctx)
{
	bsh_http_server_t *server = ctx;
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->daemon);
	/* The descriptor is edge-triggered: events that libmicrohttpd has not
	 * processed yet do not make it readable again.  libmicrohttpd reports
	 * them by a timeout of 0. */
	if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES)
		bsh_loop_timer_after(&server->timer, (int64_t)wait_ms * 1000);
	else
		bsh_loop_timer_stop(&server->timer);
}

static void on_daemon_ready(void *ctx, int fd, unsigned int events)
{
	bsh_http_server_t *server = ctx;

	(void)fd;
	(void)events;
	/* Deferred, so that one run sends all responses of the round. */
	bsh_loop_task_schedule(&server->run_task);
}

void http_server_resume(bsh_http_request_t *request)
{
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->mhd);
	bsh_loop_task_schedule(&request->server->run_task);
}

static void remove_disconnect_watch(bsh_http_request_t *request)
{
	if (request->disconnect_watch != NULL)
		bsh_loop_unwatch(request->disconnect_watch);
	request->disconnect_watch = NULL;
}

/* Detects a disconnect of the client while its connection is suspended, when
 * libmicrohttpd does not poll the socket. */
static void on_client_event(void *ctx, int fd, unsigned int events)
{
	bsh_http_request_t *request = ctx;
	ssize_t n;
	char byte;

	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0 && !(events & BSH_LOOP_ERROR)) {
		/* A pipelined request.  Its bytes stay in the socket, so a
		 * disconnect after them is detected only when it is read. */
		request->pipelined = true;
		remove_disconnect_watch(request);
		return;
	}
	if (n < 0 && !(events & BSH_LOOP_ERROR))
		return;
	remove_disconnect_watch(request);
	request->aborted = true;
	http_server_resume(request);
}

void http_server_suspend(bsh_http_request_t *request)
{
	/* If the watch cannot be created, a disconnect is detected by the next
	 * write. */
	if (request->disconnect_watch == NULL && !request->pipelined &&
	    request->connection != NULL && request->connection->fd >= 0)
		request->disconnect_watch = bsh_loop_watch(
			request->server->loop, request->connection->fd,
			BSH_LOOP_READ, on_client_event, request);
	request->suspended = true;
	MHD_suspend_connection(request->mhd);
}

static void on_drained_task(void *ctx)
{
	bsh_http_request_t *request = ctx;

	if (request->handler.on_drained != NULL)
		request->handler.on_drained(request->handler_ctx);
}

void http_server_buffered(const bsh_http_request_t *request, ssize_t bytes)
{
	const bsh_http_server_config_t *config = &request->server->config;

	if (config->buffered != NULL && bytes != 0)
		config->buffered(config->ctx, bytes);
}

static void end_body(bsh_http_request_t *request)
{
	const bsh_http_server_config_t *config = &request->server->config;

	if (config->end_body != NULL && request->reserved_bytes > 0)
		config->end_body(config->ctx, request->reserved_bytes);
	request->reserved_bytes = 0;
}

static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info;
	bsh_http_request_t *request = g_new0(bsh_http_request_t, 1);

	request->server = ctx;
	request->mhd = mhd;
	request->began_us = bsh_loop_now_us(request->server->loop);
	request->target = g_strdup(uri);
	request->path = g_strndup(uri, strcspn(uri, "?"));
	request->body = g_string_new(NULL);
	request->headers = g_ptr_array_new_with_free_func(g_free);
	bsh_loop_task_init(&request->drained_task, request->server->loop,
			   on_drained_task, request);
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	if (info != NULL && info->socket_context != NULL) {
		request->connection = info->socket_context;
		request->connection->request = request;
	}
	return request;
}

static void free_request(bsh_http_request_t *request)
{
	remove_disconnect_watch(request);
	end_body(request);
	http_server_buffered(request, -(ssize_t)request->copied_bytes);
	if (request->out != NULL)
		http_server_buffered(request, -(ssize_t)(request->out->len -
							 request->out_start));
	bsh_loop_task_cancel(&request->drained_task);
	if (request->connection != NULL) {
		request->connection->request = NULL;
		request->connection->served = true;
		request->connection->moved_us =
			bsh_loop_now_us(request->server->loop);
	}
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	g_ptr_array_free(request->headers, TRUE);
	if (request->body != NULL)
		g_string_free(request->body, TRUE);
	if (request->out != NULL)
		g_string_free(request->out, TRUE);
	g_free(request->target);
	g_free(request->path);
	g_free(request);
}

/* Rejects a head that leaves no memory even for the head of a response:
 * libmicrohttpd would close the connection without one. */
static void send_head_too_large(const bsh_http_request_t *request)
{
	static const char answer[] =
		"HTTP/1.1 431 Request Header Fields Too Large\r\n"
		"Content-Length: 0\r\nConnection: close\r\n\r\n";

	if (request->connection == NULL || request->connection->fd < 0)
		return;
	if (send(request->connection->fd, answer, sizeof(answer) - 1,
		 MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		bsh_log(BSH_LOG_INFO, "head-too-large-not-answered errno=%d",
			errno);
}

static const char *end_name(enum MHD_RequestTerminationCode code)
{
	switch (code) {
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return "timeout";
	case MHD_REQUEST_TERMINATED_READ_ERROR:
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
		return "caller";
	default:
		return "rejected";
	}
}

static void on_completed(void *ctx, struct MHD_Connection *mhd, void **state,
			 enum MHD_RequestTerminationCode code)
{
	bsh_http_request_t *request = *state;

	(void)ctx;
	(void)mhd;
	if (request == NULL)
		return;
	*state = NULL;
	request->suspended = false;
	request->mhd = NULL;
	if (request->head_too_large &&
	    code == MHD_REQUEST_TERMINATED_WITH_ERROR)
		send_head_too_large(request);
	if (!request->dispatched && request->head_received &&
	    !request->head_too_large)
		bsh_log(BSH_LOG_INFO,
			"request-not-received bytes=%" G_GUINT64_FORMAT
			" end=%s",
			request->received_bytes,
			request->server->freeing ? "stop" : end_name(code));
	if (request->dispatched) {
		request->server->request_count--;
		if (request->handler.on_done != NULL)
			request->handler.on_done(
				request->handler_ctx,
				request->refused
					? request->refusal_sent
					: code == MHD_REQUEST_TERMINATED_COMPLETED_OK &&
						  !request->aborted);
	}
	free_request(request);
}

static void on_connection(void *ctx, struct MHD_Connection *mhd, void **state,
			  enum MHD_ConnectionNotificationCode code)
{
	bsh_http_server_t *server = ctx;
	connection_t *connection = *state;
	const union MHD_ConnectionInfo *info;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		connection = g_new0(connection_t, 1);
		info = MHD_get_connection_info(
			mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
		connection->fd = info != NULL ? info->connect_fd : -1;
		connection->next = server->connections;
		if (server->connections != NULL)
			server->connections->previous = connection;
		server->connections = connection;
		server->connection_count++;
		connection->moved_us = bsh_loop_now_us(server->loop);
		*state = connection;
		http_server_close_surplus(server);
		return;
	}
	if (connection == NULL)
		return;
	if (connection->previous != NULL)
		connection->previous->next = connection->next;
	else
		server->connections = connection->next;
	if (connection->next != NULL)
		connection->next->previous = connection->previous;
	/* At its limit libmicrohttpd accepts again only in its next run. */
	if (server->connection_count >= server->config.max_connections)
		bsh_loop_task_schedule(&server->run_task);
	server->connection_count--;
	server->closing_count -= connection->closing;
	g_free(connection);
	*state = NULL;
}

static enum MHD_Result add_header_bytes(void *ctx, enum MHD_ValueKind kind,
					const char *name, const char *value)
{
	size_t *bytes = ctx;

	(void)kind;
	*bytes += strlen(name) + (value != NULL ? strlen(value) : 0) +
		  strlen(": \r\n");
	return MHD_YES;
}

static bool is_head_too_large(const bsh_http_request_t *request)
{
	size_t bytes = strlen(request->target);

	MHD_get_connection_values(request->mhd, MHD_HEADER_KIND,
				  add_header_bytes, &bytes);
	return bytes > HEAD_MAX_BYTES;
}

/* Refuses a request of which the body is not whole, and drops the body. */
static void refuse_body(bsh_http_request_t *request, bool too_large)
{
	bsh_http_server_t *server = request->server;

	request->reviewing = true;
	server->config.on_no_room(server->config.ctx, request, too_large);
	request->reviewing = false;
	request->refused = true;
	request->dispatched = true;
	server->request_count++;
	if (request->body != NULL)
		g_string_free(request->body, TRUE);
	request->body = g_string_new(NULL);
	end_body(request);
}

/* The slowest of the bodies that are being received, other than this one. */
static bsh_http_request_t *slowest_body(const bsh_http_request_t *other)
{
	int64_t now_us = bsh_loop_now_us(other->server->loop);
	bsh_http_request_t *found = NULL;
	double slowest = 0;

	for (connection_t *c = other->server->connections; c != NULL;
	     c = c->next) {
		bsh_http_request_t *request = c->request;
		double rate;

		if (request == NULL || request == other ||
		    request->reserved_bytes == 0 || request->dispatched ||
		    now_us - request->began_us < STALLED_US)
			continue;
		rate = (double)request->received_bytes /
		       (double)(now_us - request->began_us);
		if (found != NULL && rate >= slowest)
			continue;
		slowest = rate;
		found = request;
	}
	return found;
}

/* Makes room for the body to have this size; false if there is none. */
static bool reserve_body(bsh_http_request_t *request, size_t size)
{
	const bsh_http_server_config_t *config = &request->server->config;

	if (config->grow_body == NULL || size <= request->reserved_bytes)
		return true;
	while (!config->grow_body(config->ctx, request->reserved_bytes, size)) {
		bsh_http_request_t *slowest = slowest_body(request);

		if (slowest == NULL)
			return false;
		refuse_body(slowest, false);
	}
	request->reserved_bytes = size;
	return true;
}

/* Refuses at the head what is too large or has no room. */
static void review_declared(bsh_http_request_t *request, uint64_t declared)
{
	const bsh_http_server_config_t *config = &request->server->config;

	if (config->on_no_room == NULL || declared == 0 ||
	    request->head_too_large)
		return;
	if (config->body_limit != NULL &&
	    declared > config->body_limit(config->ctx))
		refuse_body(request, true);
	else if (!reserve_body(request, declared))
		refuse_body(request, false);
	if (request->refused)
		request->reject_early = false;
}

static void receive_head(bsh_http_request_t *request, const char *method)
{
	const char *length = MHD_lookup_connection_value(
		request->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	uint64_t declared = 0;

	request->head_received = true;
	g_strlcpy(request->method, method, sizeof(request->method));
	if (length != NULL)
		declared = g_ascii_strtoull(length, NULL, 10);
	request->too_large = declared > request->server->config.body_max_bytes;
	request->head_too_large = is_head_too_large(request);
	request->reject_early =
		declared > DISCARD_MAX_BYTES || request->head_too_large;
	review_declared(request, declared);
}

/* Of a body without a declared length the size is reserved in steps that double,
 * as the memory grows. */
static size_t reserve_size(const bsh_http_request_t *request, size_t size)
{
	size_t needed = request->body->len + size;

	if (needed <= request->reserved_bytes)
		return needed;
	return MIN(MAX(2 * request->reserved_bytes,
		       MAX(needed, RESERVE_MIN_BYTES)),
		   MAX(request->server->config.body_max_bytes, needed));
}

static enum MHD_Result receive_body(bsh_http_request_t *request,
				    const char *data, size_t size)
{
	request->received_bytes += size;
	http_server_look_for_left(request->server);
	if (request->connection != NULL)
		request->connection->moved_us =
			bsh_loop_now_us(request->server->loop);
	if (request->received_bytes > DISCARD_MAX_BYTES)
		return MHD_NO;
	if (request->refused)
		return MHD_YES;
	if (!request->too_large &&
	    !reserve_body(request, reserve_size(request, size))) {
		refuse_body(request, false);
		return MHD_YES;
	}
	if (request->received_bytes > request->server->config.body_max_bytes) {
		request->too_large = true;
		g_string_truncate(request->body, 0);
	}
	if (!request->too_large)
		g_string_append_len(request->body, data, (gssize)size);
	return MHD_YES;
}

static void dispatch_request(bsh_http_request_t *request)
{
	bsh_http_server_t *server = request->server;

	request->dispatched = true;
	server->request_count++;
	end_body(request);
	if (!request->too_large)
		server->config.on_request(server->config.ctx, request);
	else if (server->config.on_too_large != NULL)
		server->config.on_too_large(server->config.ctx, request);
	else
		bsh_http_response_send(request, 413, "", 0);
}

static bool has_control_character(const char *text)
{
	for (; *text != '\0'; text++)
		if (g_ascii_iscntrl(*text) && *text != '\t')
			return true;
	return false;
}

void http_server_send_refusal(bsh_http_request_t *request, int status,
			      const char *body, size_t size)
{
	const GPtrArray *headers = request->headers;
	g_autoptr(GString) text = g_string_new(NULL);
	int fd = request->connection != NULL ? request->connection->fd : -1;

	request->status = status;
	g_string_printf(text, "HTTP/1.1 %d %s\r\n", status,
			MHD_get_reason_phrase_for((unsigned int)status));
	for (guint i = 0; i + 1 < headers->len; i += 2) {
		const char *value = g_ptr_array_index(headers, i + 1);

		if (!has_control_character(value))
			g_string_append_printf(
				text, "%s: %s\r\n",
				(const char *)g_ptr_array_index(headers, i),
				value);
	}
	g_string_append_printf(text,
			       "Content-Length: %" G_GSIZE_FORMAT "\r\n"
			       "Connection: close\r\n\r\n",
			       size);
	g_string_append_len(text, body, (gssize)size);
	if (fd < 0)
		return;
	request->refusal_sent =
		send(fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL) ==
		(ssize_t)text->len;
	shutdown(fd, SHUT_WR);
}

static void review_request(bsh_http_request_t *request)
{
	bsh_http_server_t *server = request->server;

	if (server->config.on_review == NULL || !request->head_received ||
	    request->dispatched || request->reject_early)
		return;
	request->reviewing = true;
	request->refused =
		!server->config.on_review(server->config.ctx, request);
	request->reviewing = false;
	if (!request->refused)
		return;
	request->dispatched = true;
	server->request_count++;
}

void bsh_http_server_review(bsh_http_server_t *server)
{
	for (connection_t *c = server->connections; c != NULL; c = c->next)
		if (c->request != NULL)
			review_request(c->request);
}

static void review_new(void *ctx)
{
	bsh_http_server_review(ctx);
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *mhd,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	bsh_http_request_t *request = *state;
	enum MHD_Result result;

	(void)ctx;
	(void)url;
	(void)version;
	if (request == NULL)
		return MHD_NO;
	if (!request->head_received) {
		receive_head(request, method);
		/* A body that was received with the head needs no review. */
		if (request->server->closing)
			bsh_loop_task_schedule(&request->server->review_task);
		if (!request->reject_early)
			return MHD_YES;
	} else if (*size > 0) {
		result = receive_body(request, data, *size);
		*size = 0;
		return result;
	}
	/* What becomes whole while the server is freed is never dispatched. */
	if (request->server->freeing)
		review_request(request);
	if (request->refused ||
	    (request->server->freeing && !request->dispatched))
		return MHD_NO;
	if (request->head_too_large && request->response == NULL)
		bsh_http_response_send(request, 431, "", 0);
	else if (!request->dispatched && !request->head_too_large)
		dispatch_request(request);
	/* If the response has begun, send what was written of it. */
	if (request->aborted && request->response == NULL)
		return MHD_NO;
	if (request->response == NULL) {
		http_server_suspend(request);
		return MHD_YES;
	}
	if (request->queued)
		return MHD_YES;
	request->queued = true;
	return MHD_queue_response(mhd, (unsigned int)request->status,
				  request->response);
}

static void on_panic(void *ctx, const char *file, unsigned int line,
		     const char *reason)
{
	(void)ctx;
	bsh_crash_abort("libmicrohttpd: %s at %s:%u",
			reason != NULL ? reason : "failed check", file, line);
}

static struct MHD_Daemon *start_daemon(bsh_http_server_t *server,
				       const struct sockaddr *address)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;

	if (address->sa_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
		address, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
		server->config.max_connections +
			server->config.max_connections / CONNECTIONS_SPARE_PART,
		MHD_OPTION_CONNECTION_TIMEOUT, server->config.idle_timeout_s,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_END);
}

static bool parse_address(struct sockaddr_storage *out, const char *text)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	char host[BSH_ADDRESS_SIZE];
	uint16_t port;

	memset(out, 0, sizeof(*out));
	if (bsh_address_split(text, host, sizeof(host), &port) != BSH_OK)
		return false;
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return true;
	}
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	return inet_pton(AF_INET6, host, &v6->sin6_addr) == 1;
}

bsh_error_t bsh_http_server_new(bsh_http_server_t **out, bsh_loop_t *loop,
				const bsh_http_server_config_t *config)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_storage address;
	bsh_http_server_t *server;

	if (!parse_address(&address, config->address))
		return BSH_ERR_INVALID;
	MHD_set_panic_func(on_panic, NULL);
	server = g_new0(bsh_http_server_t, 1);
	server->loop = loop;
	server->config = *config;
	bsh_loop_timer_init(&server->timer, loop, run_daemon, server);
	bsh_loop_timer_init(&server->surplus_timer, loop,
			    http_server_close_surplus, server);
	bsh_loop_timer_init(&server->left_timer, loop, http_server_close_left,
			    server);
	bsh_loop_task_init(&server->run_task, loop, run_daemon, server);
	bsh_loop_task_init(&server->review_task, loop, review_new, server);
	server->daemon =
		start_daemon(server, (const struct sockaddr *)&address);
	if (server->daemon == NULL)
		goto fail;
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (info == NULL)
		goto fail;
	server->watch = bsh_loop_watch(loop, info->epoll_fd, BSH_LOOP_READ,
				       on_daemon_ready, server);
	if (server->watch == NULL)
		goto fail;
	*out = server;
	return BSH_OK;
fail:
	if (server->daemon != NULL)
		MHD_stop_daemon(server->daemon);
	g_free(server);
	return BSH_ERR_SYSTEM;
}

void bsh_http_server_free(bsh_http_server_t *server)
{
	bsh_loop_unwatch(server->watch);
	server->freeing = true;
	/* libmicrohttpd must not stop while connections are suspended. */
	for (connection_t *c = server->connections; c != NULL; c = c->next)
		if (c->request != NULL)
			bsh_http_response_abort(c->request);
	MHD_run(server->daemon);
	bsh_http_server_review(server);
	MHD_stop_daemon(server->daemon);
	bsh_loop_timer_stop(&server->timer);
	bsh_loop_timer_stop(&server->surplus_timer);
	bsh_loop_timer_stop(&server->left_timer);
	bsh_loop_task_cancel(&server->run_task);
	bsh_loop_task_cancel(&server->review_task);
	g_free(server);
}

uint16_t bsh_http_server_port(const bsh_http_server_t *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info != NULL ? info->port : 0;
}

void bsh_http_server_close_after_responses(bsh_http_server_t *server)
{
	server->closing = true;
}

void bsh_http_server_close_idle(bsh_http_server_t *server)
{
	server->closing = true;
	/* libmicrohttpd detects the shutdown and closes the sockets. */
	for (connection_t *c = server->connections; c != NULL; c = c->next)
		if (c->request == NULL && !http_server_has_unread_input(c->fd))
			shutdown(c->fd, SHUT_RDWR);
	bsh_loop_task_schedule(&server->run_task);
}

void bsh_http_server_stop(bsh_http_server_t *server)
{
	MHD_socket listener;

	if (!server->stopped) {
		server->stopped = true;
		listener = MHD_quiesce_daemon(server->daemon);
		if (listener != MHD_INVALID_SOCKET)
			close(listener);
	}
	bsh_http_server_close_idle(server);
}

uint32_t bsh_http_server_connections(const bsh_http_server_t *server)
{
	return server->connection_count;
}

uint32_t bsh_http_server_requests(const bsh_http_server_t *server)
{
	return server->request_count;
}
