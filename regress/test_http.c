#include <apr_general.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/http_client.h"
#include "transport/http_server.h"

#define BODY_MAX_BYTES 1000
#define STEP_US	       INT64_C(100000)
#define TIMEOUT_US     INT64_C(20000000)
#define STREAM_BYTES   300000

/* A client and a server on one loop; the path of a request selects the
 * response. */
typedef struct {
	bsh_loop_t loop;
	bsh_http_server_t *server;
	bsh_http_client_t *client;
	char url[64];
	bsh_http_request_t *held; /* latest open request; the test responds to
				   * /hold */
	int requests;		  /* on_request calls */
	int done;		  /* on_done calls */
	int delivered;		  /* of them with the response delivered */
	/* Observed by the client. */
	GString *body;
	int status;
	int ends; /* on_end calls */
	bsh_http_result_t result;
	size_t filled_bytes; /* bytes that the response to /fill has so far */
	bsh_http_call_t *call;
	bool withhold; /* the client's last check forbids to send */
} fixture_t;

static void on_done(void *ctx, bool delivered)
{
	fixture_t *f = ctx;

	f->done++;
	f->delivered += delivered;
	f->held = NULL;
}

static void write_until_full(fixture_t *f)
{
	char piece[1000];

	memset(piece, 'x', sizeof(piece));
	while (STREAM_BYTES - f->filled_bytes > 0) {
		f->filled_bytes += sizeof(piece);
		if (bsh_http_response_write(f->held, piece, sizeof(piece)) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES)
			return;
	}
	bsh_http_response_end(f->held);
}

static void on_drained(void *ctx)
{
	write_until_full(ctx);
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	static const bsh_http_request_handler_t handler = { on_done,
							    on_drained };
	fixture_t *f = ctx;
	const char *path = bsh_http_request_path(request);
	size_t size;
	const char *body = bsh_http_request_body(request, &size);

	f->requests++;
	bsh_http_request_set_handler(request, &handler, f);
	f->held = request;
	if (strcmp(path, "/echo") == 0) {
		bsh_http_response_add_header(request, "X-Seen",
					     bsh_http_request_method(request));
		bsh_http_response_send(request, 200, body, size);
	} else if (strcmp(path, "/fill") == 0) {
		bsh_http_response_begin(request, 200, -1);
		write_until_full(f);
	} else if (strcmp(path, "/short") == 0) {
		bsh_http_response_begin(request, 200, 100);
		bsh_http_response_write(request, "ten bytes.", 10);
		bsh_http_response_abort(request);
	}
}

static void fixture_init_limited(fixture_t *f, uint32_t max_connections)
{
	bsh_http_server_config_t config = {
		.address = "127.0.0.1:0",
		.max_connections = max_connections,
		.idle_timeout_s = 1,
		.body_max_bytes = BODY_MAX_BYTES,
		.on_request = on_request,
		.ctx = f,
	};

	memset(f, 0, sizeof(*f));
	g_assert_cmpint(bsh_loop_init(&f->loop), ==, BSH_OK);
	g_assert_cmpint(bsh_http_server_new(&f->server, &f->loop, &config), ==,
			BSH_OK);
	f->client = bsh_http_client_new(&f->loop, 8);
	f->body = g_string_new(NULL);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u",
		   bsh_http_server_port(f->server));
}

static void fixture_init(fixture_t *f)
{
	fixture_init_limited(f, 100);
}

static void fixture_finish(fixture_t *f)
{
	bsh_http_client_free(f->client);
	bsh_http_server_free(f->server);
	bsh_loop_finish(&f->loop);
	g_string_free(f->body, TRUE);
}

static void step_until(fixture_t *f, const int *counter, int value)
{
	int64_t end_us = bsh_loop_clock_us() + TIMEOUT_US;

	while (*counter < value) {
		g_assert_cmpint(bsh_loop_clock_us(), <, end_us);
		bsh_loop_step(&f->loop, STEP_US);
	}
}

static void on_head(void *ctx, int status)
{
	((fixture_t *)ctx)->status = status;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	fixture_t *f = ctx;

	g_string_append_len(f->body, data, (gssize)size);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	fixture_t *f = ctx;

	f->ends++;
	f->result = *result;
	f->call = NULL;
}

static bool may_send(void *ctx)
{
	const fixture_t *f = ctx;

	return !f->withhold;
}

static const bsh_http_handler_t client_handler = {
	.may_send = may_send,
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void start_call(fixture_t *f, const char *path, const char *body,
		       bsh_http_call_spec_t spec, bsh_error_t expected)
{
	g_autofree char *url = g_strconcat(f->url, path, NULL);
	bsh_error_t err;

	spec.method = body != NULL ? "POST" : "GET";
	spec.url = url;
	spec.body = body;
	spec.body_size = body != NULL ? strlen(body) : 0;
	err = bsh_http_client_start(f->client, &spec, &client_handler, f,
				    &f->call);
	g_assert_cmpint(err, ==, expected);
}

static void fetch(fixture_t *f, const char *path, const char *body)
{
	int ends = f->ends;

	g_string_truncate(f->body, 0);
	start_call(f, path, body, (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(f, &f->ends, ends + 1);
}

/* Guards against a lost or altered body, and against an idle connection that is
 * not reused. */
static void test_echo(void)
{
	fixture_t f;

	fixture_init(&f);
	for (int i = 0; i < 3; i++) {
		fetch(&f, "/echo", "a request");
		g_assert_cmpint(f.result.err, ==, BSH_OK);
		g_assert_cmpint(f.status, ==, 200);
		g_assert_cmpstr(f.body->str, ==, "a request");
	}
	step_until(&f, &f.delivered, 3);
	g_assert_cmpuint(bsh_http_server_connections(f.server), ==, 1);
	fixture_finish(&f);
}

/* Guards against an unbounded write buffer for a slow client, and against bytes
 * lost while the producer or the reader is paused. */
static void test_backpressure(void)
{
	fixture_t f;

	fixture_init(&f);
	fetch(&f, "/fill", NULL);
	g_assert_cmpint(f.result.err, ==, BSH_OK);
	g_assert_true(f.result.complete);
	g_assert_cmpuint(f.body->len, ==, STREAM_BYTES);
	fixture_finish(&f);
}

/* Guards against a truncated response that is reported as complete. */
static void test_truncated_response(void)
{
	fixture_t f;

	fixture_init(&f);
	fetch(&f, "/short", NULL);
	g_assert_cmpint(f.result.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_true(f.result.sent);
	g_assert_false(f.result.complete);
	g_assert_cmpstr(f.body->str, ==, "ten bytes.");
	fixture_finish(&f);
}

/* Guards against a begun response that a second one ends as if it were
 * complete. */
static void test_second_response(void)
{
	bsh_http_call_spec_t spec = { .idle_timeout_ms = 5000 };
	fixture_t f;

	fixture_init(&f);
	start_call(&f, "/hold", "x", spec, BSH_OK);
	step_until(&f, &f.requests, 1);
	bsh_http_response_begin(f.held, 200, -1);
	bsh_http_response_write(f.held, "part", 4);
	bsh_http_response_send(f.held, 500, "failed", 6);
	step_until(&f, &f.ends, 1);
	g_assert_cmpint(f.status, ==, 200);
	g_assert_false(f.result.complete);
	g_assert_cmpint(f.result.err, ==, BSH_ERR_CONNECTION_LOST);
	fixture_finish(&f);
}

/* Guards against a sent request that is reported as not sent, and against the
 * reverse when no connection was established. */
static void test_sent(void)
{
	bsh_http_call_spec_t spec = { .idle_timeout_ms = 50 };
	fixture_t f;

	fixture_init(&f);
	start_call(&f, "/hold", "x", spec, BSH_OK);
	step_until(&f, &f.ends, 1);
	g_assert_cmpint(f.result.err, ==, BSH_ERR_TIMEOUT);
	g_assert_true(f.result.sent);
	/* The client closes the connection, and the server detects it. */
	step_until(&f, &f.done, 1);
	g_assert_cmpint(f.delivered, ==, 0);

	bsh_http_server_stop(f.server);
	fetch(&f, "/echo", "x");
	g_assert_cmpint(f.result.err, ==, BSH_ERR_CONNECT);
	g_assert_false(f.result.sent);
	fixture_finish(&f);
}

/* Guards against a request that leaves although its caller has given up while
 * the connection was being made, and against its being reported as sent. */
static void test_withheld(void)
{
	fixture_t f;

	fixture_init(&f);
	fetch(&f, "/echo", "x");
	g_assert_cmpint(f.requests, ==, 1);
	f.withhold = true;
	f.ends = 0;
	fetch(&f, "/echo", "x");
	g_assert_cmpint(f.result.err, ==, BSH_ERR_CONNECT);
	g_assert_false(f.result.sent);
	g_assert_cmpint(f.requests, ==, 1);
	fixture_finish(&f);
}

/* Guards against a cancelled call that the server keeps processing, and against
 * a callback after the cancellation. */
static void test_cancel(void)
{
	fixture_t f;

	fixture_init(&f);
	start_call(&f, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&f, &f.requests, 1);
	bsh_http_call_cancel(f.call);
	step_until(&f, &f.done, 1);
	g_assert_cmpint(f.delivered, ==, 0);
	g_assert_cmpint(f.ends, ==, 0);
	fixture_finish(&f);
}

/* Guards against header injection by a line break in a request header. */
static void test_header_injection(void)
{
	static const char *const headers[] = { "X-A: b\r\nX-C: d", NULL };
	bsh_http_call_spec_t spec = { .headers = headers };
	fixture_t f;

	fixture_init(&f);
	start_call(&f, "/echo", "x", spec, BSH_ERR_INVALID);
	fixture_finish(&f);
}

/* Guards against a graceful stop that aborts a request in progress, or that
 * leaves its connection open afterwards. */
static void test_stop(void)
{
	fixture_t f;

	fixture_init(&f);
	fetch(&f, "/echo", "idle connection");
	start_call(&f, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&f, &f.requests, 2);
	bsh_http_server_stop(f.server);
	bsh_http_response_begin(f.held, 200, -1);
	bsh_http_response_write(f.held, "whole", 5);
	bsh_loop_step(&f.loop, 0);
	bsh_http_response_end(f.held);
	g_string_truncate(f.body, 0);
	step_until(&f, &f.ends, 2);
	g_assert_cmpint(f.result.err, ==, BSH_OK);
	g_assert_cmpstr(f.body->str, ==, "whole");
	while (bsh_http_server_connections(f.server) > 0)
		bsh_loop_step(&f.loop, STEP_US);
	fixture_finish(&f);
}

typedef struct {
	GString *received;
	int closed;
} raw_t;

static void on_raw_readable(void *ctx, int fd, unsigned int events)
{
	raw_t *raw = ctx;
	char buffer[4096];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)events;
	if (n > 0)
		g_string_append_len(raw->received, buffer, n);
	else
		raw->closed = 1;
}

/* Sends text, then nothing more, and returns the data received until the server
 * closes the connection.  half_close: shut down the sending side after text. */
static GString *raw_exchange(fixture_t *f, const char *text, bool half_close)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(bsh_http_server_port(f->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	raw_t raw = { .received = g_string_new(NULL) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bsh_loop_watch_t *watch;

	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
	if (half_close)
		shutdown(fd, SHUT_WR);
	watch = bsh_loop_watch(&f->loop, fd, BSH_LOOP_READ, on_raw_readable,
			       &raw);
	step_until(f, &raw.closed, 1);
	bsh_loop_unwatch(watch);
	close(fd);
	return raw.received;
}

static int raw_connect(const fixture_t *f)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(bsh_http_server_port(f->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	return fd;
}

static void step_for(fixture_t *f, int64_t time_us)
{
	int64_t end_us = bsh_loop_clock_us() + time_us;

	while (bsh_loop_clock_us() < end_us)
		bsh_loop_step(&f->loop, STEP_US);
}

/* Guards against a stream that is cut for another connection as unread, although
 * its target was silent for seconds and its caller reads at once. */
static void test_slow_stream_at_limit(void)
{
	fixture_t f;
	int fds[2];

	fixture_init_limited(&f, 2);
	start_call(&f, "/hold", NULL, (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&f, &f.requests, 1);
	bsh_http_response_begin(f.held, 200, -1);
	bsh_http_response_write(f.held, "one,", 4);
	/* Longer than a response may stay unread. */
	step_for(&f, 5200000);
	g_assert_cmpstr(f.body->str, ==, "one,");
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = raw_connect(&f);
	bsh_http_response_write(f.held, "two", 3);
	step_for(&f, 100000);
	g_assert_cmpint(f.ends, ==, 0);
	bsh_http_response_end(f.held);
	step_until(&f, &f.ends, 1);
	g_assert_cmpint(f.result.err, ==, BSH_OK);
	g_assert_cmpstr(f.body->str, ==, "one,two");
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fixture_finish(&f);
}

/* Guards against a connection that is closed for another one as idle while its next
 * request is in the socket: its caller does not learn whether that ran. */
static void test_next_request_at_limit(void)
{
	static const char text[] = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
	char answer[1000];
	fixture_t f;
	int fds[3] = { -1, -1, -1 };

	fixture_init_limited(&f, 2);
	fds[0] = raw_connect(&f);
	for (int i = 1; i <= 2; i++) {
		ssize_t n;

		g_assert_cmpint(
			send(fds[0], text, sizeof(text) - 1, MSG_NOSIGNAL), ==,
			sizeof(text) - 1);
		for (int j = 1; i == 2 && j < 3; j++)
			fds[j] = raw_connect(&f);
		step_for(&f, 100000);
		n = recv(fds[0], answer, sizeof(answer) - 1, MSG_DONTWAIT);
		g_assert_cmpint(n, >, 0);
		answer[n] = '\0';
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
		g_assert_cmpint(f.requests, ==, i);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	fixture_finish(&f);
}

/* Guards against a process that aborts as it ends its server, or passes a request
 * to a part that is about to be freed: a request that comes just then is closed
 * unread. */
static void test_request_at_free(void)
{
	static const char text[] = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
	fixture_t f;
	int fds[8];

	fixture_init(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = raw_connect(&f);
	while (bsh_http_server_connections(f.server) < G_N_ELEMENTS(fds))
		bsh_loop_step(&f.loop, STEP_US);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		g_assert_cmpint(
			send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL), ==,
			sizeof(text) - 1);
	fixture_finish(&f);
	g_assert_cmpint(f.requests, ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
}

/* Guards against a malformed, truncated or oversized request that reaches the
 * application, terminates the process or affects another request. */
static void test_bad_requests(void)
{
	static const struct {
		const char *text;
		const char *status; /* NULL: closed without a response */
		bool half_close;
	} cases[] = {
		{ "GARBAGE\r\n\r\n", NULL, false },
		{ "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n"
		  "\r\ncut",
		  NULL, true },
		{ "POST /echo HTTP/1.1\r\nHost: a\r\n"
		  "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		  "HTTP/1.1 400", false },
		{ "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
		  "HTTP/1.1 400", false },
		{ "POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
		  "Content-Length: 99999999999\r\n\r\n",
		  "HTTP/1.1 413", false },
	};
	g_autofree char *oversized =
		g_strdup_printf("POST /echo HTTP/1.1\r\nHost: a\r\n"
				"Connection: close\r\n"
				"Content-Length: 1001\r\n\r\n%01001d",
				0);
	GString *received;
	fixture_t f;

	fixture_init(&f);
	start_call(&f, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&f, &f.requests, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		received = raw_exchange(&f, cases[i].text, cases[i].half_close);
		g_test_message("%zu: %.40s", i, received->str);
		if (cases[i].status != NULL)
			g_assert_true(g_str_has_prefix(received->str,
						       cases[i].status));
		g_assert_null(strstr(received->str, "200 OK"));
		g_string_free(received, TRUE);
	}
	received = raw_exchange(&f, oversized, false);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 413"));
	g_string_free(received, TRUE);
	g_assert_cmpint(f.requests, ==, 1);
	bsh_http_response_send(f.held, 200, "kept", 4);
	step_until(&f, &f.ends, 1);
	g_assert_cmpstr(f.body->str, ==, "kept");
	fixture_finish(&f);
}

static void increment(void *ctx)
{
	++*(int *)ctx;
}

/* Guards against timers that run out of order or after they were stopped. */
static void test_timers(void)
{
	bsh_loop_timer_t timers[50];
	bsh_loop_t loop;
	int64_t now_us;
	int runs = 0;

	g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
	now_us = bsh_loop_clock_us();
	for (int i = 0; i < 50; i++) {
		bsh_loop_timer_init(&timers[i], &loop, increment, &runs);
		bsh_loop_timer_start(&timers[i], now_us - (i * 7) % 50);
	}
	for (int i = 0; i < 50; i += 2)
		bsh_loop_timer_stop(&timers[i]);
	for (guint i = 1; i < loop.timers->len; i++) {
		const bsh_loop_timer_t *up =
			g_ptr_array_index(loop.timers, (i - 1) / 2);
		const bsh_loop_timer_t *t = g_ptr_array_index(loop.timers, i);

		g_assert_cmpint(up->at_us, <=, t->at_us);
		g_assert_cmpint(t->position, ==, (int)i);
	}
	bsh_loop_step(&loop, 0);
	g_assert_cmpint(runs, ==, 25);
	bsh_loop_finish(&loop);
}

static void *post_from_thread(void *ctx)
{
	bsh_loop_t *loop = ((void **)ctx)[0];

	for (int i = 0; i < 1000; i++)
		bsh_loop_post(loop, increment, ((void **)ctx)[1]);
	return NULL;
}

/* Guards against a lost wake-up when another thread posts a call. */
static void test_post(void)
{
	bsh_loop_t loop;
	int runs = 0;
	void *args[] = { &loop, &runs };
	pthread_t thread;

	g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
	pthread_create(&thread, NULL, post_from_thread, args);
	while (runs < 1000)
		bsh_loop_step(&loop, TIMEOUT_US);
	pthread_join(thread, NULL);
	bsh_loop_finish(&loop);
}

#define POSTS_BESIDE_STEPS 200000
#define PAUSE_LOOPS_MAX	   4096

static void *post_with_pauses(void *ctx)
{
	bsh_loop_t *loop = ((void **)ctx)[0];

	for (int i = 0; i < POSTS_BESIDE_STEPS; i++) {
		bsh_loop_post(loop, increment, ((void **)ctx)[1]);
		/* Lets the loop find its list empty in between. */
		for (volatile int n = i % PAUSE_LOOPS_MAX; n > 0; n--)
			;
	}
	return NULL;
}

/* Guards against memory that is freed while another thread uses it, and calls
 * that are lost or run twice, when a call is posted in the moment in which the
 * loop has found none. */
static void test_post_beside_steps(void)
{
	bsh_loop_t loop;
	int runs = 0;
	void *args[] = { &loop, &runs };
	int64_t end_us = bsh_loop_clock_us() + TIMEOUT_US;
	pthread_t thread;

	g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
	pthread_create(&thread, NULL, post_with_pauses, args);
	while (runs < POSTS_BESIDE_STEPS && bsh_loop_clock_us() < end_us)
		bsh_loop_step(&loop, 0);
	pthread_join(thread, NULL);
	bsh_loop_step(&loop, 0);
	g_assert_cmpint(runs, ==, POSTS_BESIDE_STEPS);
	bsh_loop_finish(&loop);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop/timers", test_timers);
	g_test_add_func("/loop/post", test_post);
	g_test_add_func("/loop/post-beside-steps", test_post_beside_steps);
	g_test_add_func("/http/echo", test_echo);
	g_test_add_func("/http/backpressure", test_backpressure);
	g_test_add_func("/http/broken-answer", test_truncated_response);
	g_test_add_func("/http/second-response", test_second_response);
	g_test_add_func("/http/sent", test_sent);
	g_test_add_func("/http/withheld", test_withheld);
	g_test_add_func("/http/cancel", test_cancel);
	g_test_add_func("/http/header-injection", test_header_injection);
	g_test_add_func("/http/stop", test_stop);
	g_test_add_func("/http/bad-requests", test_bad_requests);
	g_test_add_func("/http/request-at-free", test_request_at_free);
	g_test_add_func("/http/slow-stream-at-limit",
			test_slow_stream_at_limit);
	g_test_add_func("/http/next-request-at-limit",
			test_next_request_at_limit);
	return g_test_run();
}
