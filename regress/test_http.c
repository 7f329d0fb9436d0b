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

#define BODY_MAX    1000
#define STEP_US	    INT64_C(100000)
#define GIVE_UP_US  INT64_C(20000000)
#define STREAM_SIZE 300000

/* A server whose answers are chosen by the path, and a client, in one loop. */
typedef struct {
	bsh_loop_t loop;
	bsh_http_server_t *server;
	bsh_http_client_t *client;
	char url[64];
	bsh_http_request_t *held; /* /hold: answered by the test */
	int requests;
	int done;
	int delivered;
	/* the client's view */
	GString *body;
	int status;
	int ends;
	bsh_http_result_t result;
	size_t limit; /* pause the call at this size; 0: never */
	bsh_http_call_t *call;
} net_t;

static void on_done(void *ctx, bool delivered)
{
	net_t *net = ctx;

	net->done++;
	net->delivered += delivered;
	net->held = NULL;
}

static void fill(net_t *net)
{
	char piece[1000];

	memset(piece, 'x', sizeof(piece));
	while (STREAM_SIZE - net->limit > 0) {
		net->limit += sizeof(piece);
		if (bsh_http_response_write(net->held, piece, sizeof(piece)) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES)
			return;
	}
	bsh_http_response_end(net->held);
}

static void on_drained(void *ctx)
{
	fill(ctx);
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	static const bsh_http_request_handler_t handler = { on_done,
							    on_drained };
	net_t *net = ctx;
	const char *path = bsh_http_request_path(request);
	size_t size;
	const char *body = bsh_http_request_body(request, &size);

	net->requests++;
	bsh_http_request_set_handler(request, &handler, net);
	net->held = request;
	if (strcmp(path, "/echo") == 0) {
		bsh_http_response_add_header(request, "X-Seen",
				       bsh_http_request_method(request));
		bsh_http_response_send(request, 200, body, size);
	} else if (strcmp(path, "/fill") == 0) {
		bsh_http_response_begin(request, 200, -1);
		fill(net);
	} else if (strcmp(path, "/short") == 0) {
		bsh_http_response_begin(request, 200, 100);
		bsh_http_response_write(request, "ten bytes.", 10);
		bsh_http_response_abort(request);
	}
}

static void net_init(net_t *net)
{
	bsh_http_server_config_t config = {
		.address = "127.0.0.1:0",
		.max_connections = 100,
		.idle_timeout_s = 1,
		.body_max_bytes = BODY_MAX,
		.on_request = on_request,
		.ctx = net,
	};

	memset(net, 0, sizeof(*net));
	g_assert_cmpint(bsh_loop_init(&net->loop), ==, BSH_OK);
	g_assert_cmpint(bsh_http_server_new(&net->server, &net->loop, &config),
			==, BSH_OK);
	net->client = bsh_http_client_new(&net->loop, 8);
	net->body = g_string_new(NULL);
	g_snprintf(net->url, sizeof(net->url), "http://127.0.0.1:%u",
		   bsh_http_server_port(net->server));
}

static void net_finish(net_t *net)
{
	bsh_http_client_free(net->client);
	bsh_http_server_free(net->server);
	bsh_loop_finish(&net->loop);
	g_string_free(net->body, TRUE);
}

static void step_until(net_t *net, const int *counter, int value)
{
	int64_t end_us = bsh_loop_clock_us() + GIVE_UP_US;

	while (*counter < value) {
		g_assert_cmpint(bsh_loop_clock_us(), <, end_us);
		bsh_loop_step(&net->loop, STEP_US);
	}
}

static void on_head(void *ctx, int status)
{
	((net_t *)ctx)->status = status;
}

static void on_data(void *ctx, const char *data, size_t size)
{
	net_t *net = ctx;

	g_string_append_len(net->body, data, (gssize)size);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	net_t *net = ctx;

	net->ends++;
	net->result = *result;
	net->call = NULL;
}

static const bsh_http_handler_t client_handler = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void start(net_t *net, const char *path, const char *body,
		  bsh_http_call_spec_t spec, bsh_error_t expected)
{
	g_autofree char *url = g_strconcat(net->url, path, NULL);
	bsh_error_t err;

	spec.method = body != NULL ? "POST" : "GET";
	spec.url = url;
	spec.body = body;
	spec.body_size = body != NULL ? strlen(body) : 0;
	err = bsh_http_client_start(net->client, &spec, &client_handler, net,
				    &net->call);
	g_assert_cmpint(err, ==, expected);
}

static void get(net_t *net, const char *path, const char *body)
{
	int ends = net->ends;

	g_string_truncate(net->body, 0);
	start(net, path, body, (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(net, &net->ends, ends + 1);
}

/* Guards against a lost or altered body, and against a second connection
 * where the first can be reused. */
static void test_echo(void)
{
	net_t net;

	net_init(&net);
	for (int i = 0; i < 3; i++) {
		get(&net, "/echo", "a request");
		g_assert_cmpint(net.result.err, ==, BSH_OK);
		g_assert_cmpint(net.status, ==, 200);
		g_assert_cmpstr(net.body->str, ==, "a request");
	}
	step_until(&net, &net.delivered, 3);
	g_assert_cmpuint(bsh_http_server_connections(net.server), ==, 1);
	net_finish(&net);
}

/* Guards against an unbounded buffer for a slow reader and against bytes lost
 * while the source or the reader is paused. */
static void test_backpressure(void)
{
	net_t net;

	net_init(&net);
	get(&net, "/fill", NULL);
	g_assert_cmpint(net.result.err, ==, BSH_OK);
	g_assert_true(net.result.complete);
	g_assert_cmpuint(net.body->len, ==, STREAM_SIZE);
	net_finish(&net);
}

/* Guards against an answer without its end that counts as whole. */
static void test_broken_answer(void)
{
	net_t net;

	net_init(&net);
	get(&net, "/short", NULL);
	g_assert_cmpint(net.result.err, ==, BSH_ERR_CONNECTION_LOST);
	g_assert_true(net.result.sent);
	g_assert_false(net.result.complete);
	g_assert_cmpstr(net.body->str, ==, "ten bytes.");
	net_finish(&net);
}

/* Guards against "not run" being claimed after a send, and against "may have
 * run" when no connection stood. */
static void test_sent(void)
{
	bsh_http_call_spec_t spec = { .idle_timeout_ms = 50 };
	net_t net;

	net_init(&net);
	start(&net, "/hold", "x", spec, BSH_OK);
	step_until(&net, &net.ends, 1);
	g_assert_cmpint(net.result.err, ==, BSH_ERR_TIMEOUT);
	g_assert_true(net.result.sent);
	/* Its connection is closed, and the server learns of it. */
	step_until(&net, &net.done, 1);
	g_assert_cmpint(net.delivered, ==, 0);

	bsh_http_server_stop(net.server);
	get(&net, "/echo", "x");
	g_assert_cmpint(net.result.err, ==, BSH_ERR_CONNECT);
	g_assert_false(net.result.sent);
	net_finish(&net);
}

/* Guards against a cancelled call that keeps running at the server, and
 * against a callback after the cancel. */
static void test_cancel(void)
{
	net_t net;

	net_init(&net);
	start(&net, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&net, &net.requests, 1);
	bsh_http_call_cancel(net.call);
	step_until(&net, &net.done, 1);
	g_assert_cmpint(net.delivered, ==, 0);
	g_assert_cmpint(net.ends, ==, 0);
	net_finish(&net);
}

/* Guards against header injection through a call's headers. */
static void test_header_injection(void)
{
	static const char *const headers[] = { "X-A: b\r\nX-C: d", NULL };
	bsh_http_call_spec_t spec = { .headers = headers };
	net_t net;

	net_init(&net);
	start(&net, "/echo", "x", spec, BSH_ERR_INVALID);
	net_finish(&net);
}

/* Guards against a graceful stop that cuts a request in progress or leaves
 * its connection open for the next one. */
static void test_stop(void)
{
	net_t net;

	net_init(&net);
	get(&net, "/echo", "idle connection");
	start(&net, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&net, &net.requests, 2);
	bsh_http_server_stop(net.server);
	bsh_http_response_begin(net.held, 200, -1);
	bsh_http_response_write(net.held, "whole", 5);
	bsh_loop_step(&net.loop, 0);
	bsh_http_response_end(net.held);
	g_string_truncate(net.body, 0);
	step_until(&net, &net.ends, 2);
	g_assert_cmpint(net.result.err, ==, BSH_OK);
	g_assert_cmpstr(net.body->str, ==, "whole");
	while (bsh_http_server_connections(net.server) > 0)
		bsh_loop_step(&net.loop, STEP_US);
	net_finish(&net);
}

typedef struct {
	GString *got;
	int closed;
} raw_t;

static void on_raw(void *ctx, int fd, unsigned int events)
{
	raw_t *raw = ctx;
	char buffer[4096];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)events;
	if (n > 0)
		g_string_append_len(raw->got, buffer, n);
	else
		raw->closed = 1;
}

/* Sends text, then nothing more (half: closes the sending side); returns what
 * came back until the server closed. */
static GString *raw_exchange(net_t *net, const char *text, bool half)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(bsh_http_server_port(net->server)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	raw_t raw = { .got = g_string_new(NULL) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bsh_loop_watch_t *watch;

	g_assert_cmpint(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), ==,
		0);
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
	if (half)
		shutdown(fd, SHUT_WR);
	watch = bsh_loop_watch(&net->loop, fd, BSH_LOOP_READ, on_raw, &raw);
	step_until(net, &raw.closed, 1);
	bsh_loop_unwatch(watch);
	close(fd);
	return raw.got;
}

/* Guards against a malformed, truncated or oversized request that reaches the
 * application, ends the process or disturbs another request. */
static void test_bad_requests(void)
{
	static const struct {
		const char *text;
		const char *status; /* NULL: closed without an answer */
		bool half;
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
	g_autofree char *big =
		g_strdup_printf("POST /echo HTTP/1.1\r\nHost: a\r\n"
				"Connection: close\r\n"
				"Content-Length: 1001\r\n\r\n%01001d",
				0);
	GString *got;
	net_t net;

	net_init(&net);
	start(&net, "/hold", "x", (bsh_http_call_spec_t){ 0 }, BSH_OK);
	step_until(&net, &net.requests, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		got = raw_exchange(&net, cases[i].text, cases[i].half);
		g_test_message("%zu: %.40s", i, got->str);
		if (cases[i].status != NULL)
			g_assert_true(
				g_str_has_prefix(got->str, cases[i].status));
		g_assert_null(strstr(got->str, "200 OK"));
		g_string_free(got, TRUE);
	}
	got = raw_exchange(&net, big, false);
	g_assert_true(g_str_has_prefix(got->str, "HTTP/1.1 413"));
	g_string_free(got, TRUE);
	g_assert_cmpint(net.requests, ==, 1);
	bsh_http_response_send(net.held, 200, "kept", 4);
	step_until(&net, &net.ends, 1);
	g_assert_cmpstr(net.body->str, ==, "kept");
	net_finish(&net);
}

static void count(void *ctx)
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
		bsh_loop_timer_init(&timers[i], &loop, count, &runs);
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
		bsh_loop_post(loop, count, ((void **)ctx)[1]);
	return NULL;
}

/* Guards against a lost wake-up from another thread. */
static void test_post(void)
{
	bsh_loop_t loop;
	int runs = 0;
	void *args[] = { &loop, &runs };
	pthread_t thread;

	g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
	pthread_create(&thread, NULL, post_from_thread, args);
	while (runs < 1000)
		bsh_loop_step(&loop, GIVE_UP_US);
	pthread_join(thread, NULL);
	bsh_loop_finish(&loop);
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop/timers", test_timers);
	g_test_add_func("/loop/post", test_post);
	g_test_add_func("/http/echo", test_echo);
	g_test_add_func("/http/backpressure", test_backpressure);
	g_test_add_func("/http/broken-answer", test_broken_answer);
	g_test_add_func("/http/sent", test_sent);
	g_test_add_func("/http/cancel", test_cancel);
	g_test_add_func("/http/header-injection", test_header_injection);
	g_test_add_func("/http/stop", test_stop);
	g_test_add_func("/http/bad-requests", test_bad_requests);
	return g_test_run();
}
