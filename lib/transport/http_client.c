#include "transport/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "base/log.h"
#include "transport/http_call.h"

/* Receive buffer per call.  It holds a few events of a stream; more would be
 * costly with many open streams. */
#define RECEIVE_BUFFER_BYTES 8192L
/* libcurl's minimum.  The default of 64 KiB is allocated for each request with
 * a body, and freeing a block of that size makes malloc consolidate its free
 * lists each time. */
#define SEND_BUFFER_BYTES      16384L
#define DEFAULT_BODY_MAX_BYTES (1U << 20)
/* TCP keepalive detects a connection whose peer is gone, or whose state a
 * middlebox has dropped, after 1 s + 2 * 1 s without a reply of the peer's
 * kernel.  TCP_USER_TIMEOUT bounds the time that sent data may stay
 * unacknowledged to the same 3 s. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define UNACKED_TIMEOUT_MS   3000

static void leave_connection(bsh_http_call_t *call)
{
	if (call->connection != NULL)
		call->connection->user = NULL;
	call->connection = NULL;
}

static void free_call(bsh_http_client_t *client, bsh_http_call_t *call)
{
	if (call->submitted)
		curl_multi_remove_handle(client->multi, call->easy);
	else
		g_queue_remove(&client->start_queue, call);
	if (call->is_queued)
		g_queue_remove(&client->failed, call);
	leave_connection(call);
	bsh_loop_timer_stop(&call->timer);
	if (call->previous != NULL)
		call->previous->next = call->next;
	else
		client->calls = call->next;
	if (call->next != NULL)
		call->next->previous = call->previous;
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	if (call->body != NULL)
		g_string_free(call->body, TRUE);
	g_free(call);
}

static bool is_refused(const bsh_http_call_t *call)
{
	long os_error = 0;

	return !call->sent &&
	       curl_easy_getinfo(call->easy, CURLINFO_OS_ERRNO, &os_error) ==
		       CURLE_OK &&
	       os_error == ECONNREFUSED;
}

/* detail is a text of this program or of libcurl. */
static void log_malformed(const bsh_http_call_t *call)
{
	const char *ip = NULL;
	long port = 0;

	curl_easy_getinfo(call->easy, CURLINFO_PRIMARY_IP, &ip);
	curl_easy_getinfo(call->easy, CURLINFO_PRIMARY_PORT, &port);
	bsh_log(BSH_LOG_WARNING,
		"response-malformed address=%s:%ld status=%d detail=\"%s\"",
		ip != NULL ? ip : "", port, call->check.status, call->detail);
}

/* End a call with err.  Must not be called from within a libcurl callback. */
static void complete_call(bsh_http_call_t *call, bsh_error_t err)
{
	bsh_http_result_t result = {
		.err = err,
		.sent = call->sent,
		.refused = is_refused(call),
		.complete = err == BSH_OK,
		.status = call->status,
		.body_bytes = call->body_bytes,
		.body = call->body != NULL ? call->body->str : "",
		.detail = call->detail,
	};
	bsh_http_handler_t handler = call->handler;
	void *ctx = call->ctx;
	GString *body = call->body;

	if (err == BSH_ERR_MALFORMED)
		log_malformed(call);
	call->body = NULL;
	g_autofree char *detail = g_strdup(call->detail);
	result.detail = detail;
	/* Freed before on_end, so that on_end can start a call that reuses the
	 * connection. */
	free_call(call->client, call);
	handler.on_end(ctx, &result);
	if (body != NULL)
		g_string_free(body, TRUE);
}

static bsh_error_t call_error(const bsh_http_call_t *call, CURLcode code)
{
	if (call->err != BSH_OK)
		return call->err;
	/* libcurl takes a close within the head for the end of an answer
	 * without a body. */
	if (code == CURLE_OK && !call->check.head_complete)
		return BSH_ERR_CONNECTION_LOST;
	if (code == CURLE_OK)
		/* The end of a close-delimited response cannot be told from a
		 * lost connection. */
		return call->has_no_body ||
				       bsh_http_check_is_delimited(
					       &call->check) ||
				       (call->allow_close_delimited &&
					bsh_http_response_ends_by_close(call))
			       ? BSH_OK
			       : BSH_ERR_CONNECTION_LOST;
	if (!call->sent)
		return code == CURLE_OUT_OF_MEMORY ? BSH_ERR_SYSTEM
						   : BSH_ERR_CONNECT;
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return BSH_ERR_TIMEOUT;
	/* Lines that libcurl refuses itself. */
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_BAD_FUNCTION_ARGUMENT:
	case CURLE_BAD_CONTENT_ENCODING:
		return BSH_ERR_MALFORMED;
	default:
		return BSH_ERR_CONNECTION_LOST;
	}
}

/* Starts a call anew of which nothing was sent, on a connection of its own. */
static void repeat_call(bsh_http_call_t *call)
{
	bsh_http_client_t *client = call->client;

	call->needs_fresh = false;
	call->err = BSH_OK;
	call->fd = -1;
	leave_connection(call);
	client->curl_depth++;
	curl_multi_remove_handle(client->multi, call->easy);
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(client->multi, call->easy);
	client->curl_depth--;
}

static void complete_finished_calls(bsh_http_client_t *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left)) != NULL) {
		bsh_http_call_t *call = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		if (call->cancelled)
			free_call(client, call);
		else if (call->needs_fresh)
			repeat_call(call);
		else
			complete_call(call, call_error(call, code));
	}
}

static void socket_action(bsh_http_client_t *client, curl_socket_t fd,
			  int flags)
{
	int running;

	client->curl_depth++;
	curl_multi_socket_action(client->multi, fd, flags, &running);
	client->curl_depth--;
	complete_finished_calls(client);
}

static void on_socket_ready(void *ctx, int fd, unsigned int events)
{
	int flags = 0;

	if (events & BSH_LOOP_READ)
		flags |= CURL_CSELECT_IN;
	if (events & BSH_LOOP_WRITE)
		flags |= CURL_CSELECT_OUT;
	if (events & BSH_LOOP_ERROR)
		flags |= CURL_CSELECT_ERR;
	socket_action(ctx, fd, flags);
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
			  void *socket_ctx)
{
	bsh_http_client_t *client = ctx;
	bsh_loop_watch_t *watch = socket_ctx;
	unsigned int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL)
			bsh_loop_unwatch(watch);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= BSH_LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= BSH_LOOP_WRITE;
	if (watch != NULL)
		return bsh_loop_watch_set(watch, events) == BSH_OK ? 0 : -1;
	watch = bsh_loop_watch(client->loop, fd, events, on_socket_ready,
			       client);
	if (watch == NULL)
		return -1;
	curl_multi_assign(client->multi, fd, watch);
	return 0;
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	bsh_http_client_t *client = ctx;

	(void)multi;
	if (timeout_ms < 0)
		bsh_loop_timer_stop(&client->timer);
	else
		bsh_loop_timer_after(&client->timer, timeout_ms * 1000);
	return 0;
}

static void on_multi_timer(void *ctx)
{
	socket_action(ctx, CURL_SOCKET_TIMEOUT, 0);
}

static void forget_connection(bsh_http_client_t *client,
			      bsh_http_connection_t *connection)
{
	if (connection == NULL)
		return;
	if (connection->user != NULL)
		leave_connection(connection->user);
	bsh_http_connection_remove(&client->connections, connection);
}

/* Finds the kept connection that the call uses, or enters a new one. */
static void set_connection(bsh_http_call_t *call, const char *peer_ip,
			   int peer_port, const char *local_ip, int local_port)
{
	bsh_http_connections_t *table = &call->client->connections;
	g_autofree char *name = g_strdup_printf(
		"%s:%d %s:%d", peer_ip, peer_port, local_ip, local_port);

	call->connection = bsh_http_connection_find(table, name);
	if (call->fd >= 0) {
		forget_connection(call->client, call->connection);
		call->connection =
			bsh_http_connection_add(table, call->fd, name);
	}
	if (call->connection != NULL)
		call->connection->user = call;
}

static int on_socket_closed(void *ctx, curl_socket_t fd)
{
	bsh_http_client_t *client = ctx;
	bsh_http_connection_t *connection =
		bsh_http_connection_of(&client->connections, fd);
	bsh_http_call_t *call = connection != NULL ? connection->user : NULL;

	if (call != NULL)
		call->is_end_orderly = bsh_http_connection_ended(connection);
	forget_connection(client, connection);
	return close(fd);
}

/* Called when the connection is established, before the request is sent.  What
 * arrives before that belongs to no request, and would be taken for the response;
 * libcurl looks only for the end of a kept connection. */
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's prototype */
static int on_before_request(void *ctx, char *primary_ip, char *local_ip,
			     int primary_port, int local_port)
{
	bsh_http_call_t *call = ctx;

	if (call->cancelled)
		return CURL_PREREQFUNC_ABORT;
	set_connection(call, primary_ip, primary_port, local_ip, local_port);
	/* libcurl repeats a request whose reused connection turns out to be
	 * closed; retries are decided and counted above this layer. */
	if (call->sent) {
		call->err = BSH_ERR_CONNECTION_LOST;
		return CURL_PREREQFUNC_ABORT;
	}
	if (bsh_http_connection_has_input(call->connection)) {
		call->needs_fresh = bsh_http_call_is_reused(call);
		call->err = BSH_ERR_CONNECT;
		return CURL_PREREQFUNC_ABORT;
	}
	if (call->handler.may_send != NULL &&
	    !call->handler.may_send(call->ctx)) {
		call->err = BSH_ERR_CONNECT;
		return CURL_PREREQFUNC_ABORT;
	}
	call->sent = true;
	if (call->handler.on_sent != NULL)
		call->handler.on_sent(call->ctx);
	return call->cancelled ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void bsh_http_call_fail_later(bsh_http_call_t *call)
{
	bsh_http_client_t *client = call->client;

	if (call->is_queued)
		return;
	call->is_queued = true;
	g_queue_push_tail(&client->failed, call);
	bsh_loop_task_schedule(&client->fail_task);
}

static void on_call_timer(void *ctx)
{
	bsh_http_call_t *call = ctx;
	int64_t now_us = bsh_loop_clock_us();
	int64_t at_us = call->last_active_us + call->idle_us;

	if (call->paused)
		at_us = now_us + call->idle_us;
	if (call->deadline_us > 0)
		at_us = MIN(at_us, call->deadline_us);
	/* Received data updates only last_active_us; the timer is restarted
	 * here when it expires early. */
	if (at_us > now_us) {
		bsh_loop_timer_start(&call->timer, at_us);
		return;
	}
	g_strlcpy(call->detail,
		  "no response before the idle timeout or the deadline",
		  sizeof(call->detail));
	complete_call(call, call->sent ? BSH_ERR_TIMEOUT : BSH_ERR_CONNECT);
}

static void submit_call(bsh_http_call_t *call)
{
	bsh_http_client_t *client = call->client;

	call->submitted = true;
	call->last_active_us = bsh_loop_clock_us();
	bsh_loop_timer_start(&call->timer,
			     call->deadline_us > 0
				     ? MIN(call->deadline_us,
					   call->last_active_us + call->idle_us)
				     : call->last_active_us + call->idle_us);
	client->curl_depth++;
	curl_multi_add_handle(client->multi, call->easy);
	client->curl_depth--;
}

static void start_queued_calls(void *ctx)
{
	bsh_http_client_t *client = ctx;
	bsh_http_call_t *call;

	while ((call = g_queue_pop_head(&client->start_queue)) != NULL)
		submit_call(call);
}

static void free_cancelled_calls(void *ctx)
{
	bsh_http_client_t *client = ctx;
	bsh_http_call_t *call = client->calls;

	while (call != NULL) {
		bsh_http_call_t *next = call->next;

		if (call->cancelled)
			free_call(client, call);
		call = next;
	}
}

/* on_end may start or cancel other calls. */
static void end_failed_calls(void *ctx)
{
	bsh_http_client_t *client = ctx;
	bsh_http_call_t *call;

	while ((call = g_queue_peek_head(&client->failed)) != NULL) {
		if (call->cancelled)
			free_call(client, call);
		else
			complete_call(call, call->err);
	}
}

bsh_http_client_t *bsh_http_client_new(bsh_loop_t *loop, uint32_t max_idle)
{
	bsh_http_client_t *client;
	CURLM *multi;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return NULL;
	multi = curl_multi_init();
	if (multi == NULL)
		return NULL;
	client = g_new0(bsh_http_client_t, 1);
	client->loop = loop;
	client->multi = multi;
	bsh_http_connections_init(&client->connections);
	g_queue_init(&client->start_queue);
	g_queue_init(&client->failed);
	bsh_loop_timer_init(&client->timer, loop, on_multi_timer, client);
	bsh_loop_task_init(&client->start_task, loop, start_queued_calls,
			   client);
	bsh_loop_task_init(&client->cancel_task, loop, free_cancelled_calls,
			   client);
	bsh_loop_task_init(&client->fail_task, loop, end_failed_calls, client);
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, (long)max_idle);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return client;
}

void bsh_http_client_free(bsh_http_client_t *client)
{
	while (client->calls != NULL)
		free_call(client, client->calls);
	client->curl_depth++;
	curl_multi_cleanup(client->multi);
	bsh_loop_timer_stop(&client->timer);
	bsh_loop_task_cancel(&client->start_task);
	bsh_loop_task_cancel(&client->cancel_task);
	bsh_loop_task_cancel(&client->fail_task);
	g_queue_clear(&client->start_queue);
	bsh_http_connections_finish(&client->connections);
	g_free(client);
}

static bool set_headers(bsh_http_call_t *call, const bsh_http_call_spec_t *spec)
{
	bool has_type = false;

	/* An empty Expect header disables the 100-continue wait of one round
	 * trip before larger bodies. */
	call->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; spec->headers != NULL && spec->headers[i] != NULL;
	     i++) {
		if (strpbrk(spec->headers[i], "\r\n") != NULL)
			return false;
		if (g_ascii_strncasecmp(spec->headers[i],
					"content-type:", 13) == 0)
			has_type = true;
		call->headers =
			curl_slist_append(call->headers, spec->headers[i]);
	}
	/* Otherwise libcurl adds application/x-www-form-urlencoded. */
	if (!has_type)
		call->headers =
			curl_slist_append(call->headers, "Content-Type:");
	return true;
}

static bool requires_length(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0;
}

static bool set_body(bsh_http_call_t *call, const bsh_http_call_spec_t *spec)
{
	CURLoption option = spec->body_is_static ? CURLOPT_POSTFIELDS
						 : CURLOPT_COPYPOSTFIELDS;
	const char *body = spec->body;

	if (strcmp(spec->method, "HEAD") == 0) {
		call->has_no_body = true;
		curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
		return true;
	}
	/* Send Content-Length: 0 with these methods. */
	if (body == NULL && requires_length(spec->method))
		body = "";
	if (body == NULL)
		return true;
	return curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				(curl_off_t)spec->body_size) == CURLE_OK &&
	       curl_easy_setopt(call->easy, option, body) == CURLE_OK;
}

static void set_callbacks(bsh_http_call_t *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->detail);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	bsh_http_response_set_callbacks(call);
}

/* Errors are ignored: without these options, a dead connection is detected
 * later, by the timeouts of the calls. */
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	bsh_http_call_t *call = ctx;
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS },
	};

	(void)purpose;
	call->fd = fd;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].name,
			   &options[i].value, sizeof(options[i].value));
	return CURL_SOCKOPT_OK;
}

static bool set_options(bsh_http_call_t *call, const bsh_http_call_spec_t *spec)
{
	CURL *easy = call->easy;

	set_callbacks(call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closed);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->client);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, SEND_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
			 (long)(spec->reuse_max_idle_s != 0
					? spec->reuse_max_idle_s
					: BSH_HTTP_REUSE_MAX_IDLE_S));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(spec->connect_timeout_ms != 0
					? spec->connect_timeout_ms
					: BSH_HTTP_CONNECT_TIMEOUT_MS));
	if (spec->fresh_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	return curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http") ==
		       CURLE_OK &&
	       curl_easy_setopt(easy, CURLOPT_URL, spec->url) == CURLE_OK &&
	       set_headers(call, spec) &&
	       curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers) ==
		       CURLE_OK &&
	       set_body(call, spec) &&
	       curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, spec->method) ==
		       CURLE_OK;
}

bsh_error_t bsh_http_client_start(bsh_http_client_t *client,
				  const bsh_http_call_spec_t *spec,
				  const bsh_http_handler_t *handler, void *ctx,
				  bsh_http_call_t **out)
{
	bsh_http_call_t *call;
	CURL *easy;

	if (!g_str_has_prefix(spec->url, "http://") ||
	    strpbrk(spec->method, " \r\n") != NULL)
		return BSH_ERR_INVALID;
	/* libcurl 7.88 keeps a pointer to the last header line of an earlier
	 * transfer of the handle, and a folded first line reallocates it. */
	easy = curl_easy_init();
	if (easy == NULL)
		return BSH_ERR_SYSTEM;
	call = g_new0(bsh_http_call_t, 1);
	call->client = client;
	call->easy = easy;
	call->fd = -1;
	call->handler = *handler;
	call->ctx = ctx;
	call->deadline_us = spec->deadline_us;
	call->allow_close_delimited = spec->allow_close_delimited;
	if (spec->body != NULL)
		call->request_body_bytes = spec->body_size;
	call->idle_us = INT64_C(1000) * (spec->idle_timeout_ms != 0
						 ? spec->idle_timeout_ms
						 : BSH_HTTP_IDLE_TIMEOUT_MS);
	call->body_max_bytes = spec->body_max_bytes != 0
				       ? spec->body_max_bytes
				       : DEFAULT_BODY_MAX_BYTES;
	if (handler->on_data == NULL)
		call->body = g_string_new(NULL);
	bsh_loop_timer_init(&call->timer, client->loop, on_call_timer, call);
	call->next = client->calls;
	if (client->calls != NULL)
		client->calls->previous = call;
	client->calls = call;
	if (!set_options(call, spec)) {
		free_call(client, call);
		return BSH_ERR_INVALID;
	}
	*out = call;
	/* libcurl must not be entered from its own callbacks. */
	if (client->curl_depth > 0) {
		g_queue_push_tail(&client->start_queue, call);
		bsh_loop_task_schedule(&client->start_task);
	} else {
		submit_call(call);
	}
	return BSH_OK;
}

bool bsh_http_call_is_reused(const bsh_http_call_t *call)
{
	long connects = 0;

	return curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS,
				 &connects) == CURLE_OK &&
	       connects == 0;
}

void bsh_http_call_cancel(bsh_http_call_t *call)
{
	bsh_http_client_t *client = call->client;

	call->cancelled = true;
	bsh_loop_timer_stop(&call->timer);
	/* libcurl must not be entered from its own callbacks. */
	if (client->curl_depth == 0 || !call->submitted)
		free_call(client, call);
	else
		bsh_loop_task_schedule(&client->cancel_task);
}

void bsh_http_call_pause(bsh_http_call_t *call)
{
	call->paused = true;
}

void bsh_http_call_resume(bsh_http_call_t *call)
{
	bsh_http_client_t *client = call->client;

	if (!call->paused)
		return;
	call->paused = false;
	call->last_active_us = bsh_loop_clock_us();
	if (call->submitted) {
		client->curl_depth++;
		curl_easy_pause(call->easy, CURLPAUSE_CONT);
		client->curl_depth--;
	}
}

bool bsh_http_call_sent(const bsh_http_call_t *call)
{
	return call->sent;
}
