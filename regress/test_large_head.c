/* Responses to requests with long headers: the memory of a connection is shared
 * by the request's head and the parts of the response. */
#include <apr_general.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/loop.h"

#define HEAD_MIN_BYTES	      (30 << 10)
#define HEAD_STEP_BYTES	      32
#define HEAD_MAX_BYTES	      (51 << 10)
#define RESPONSE_BYTES	      100000
#define STATUS_HEAD_TOO_LARGE 431

typedef struct {
	bsh_loop_t loop;
	bsh_http_server_t *server;
	bsh_http_client_t *client;
	bool is_chunked;
	uint32_t requests;
	bool done;
	int status;
	bsh_error_t err;
	int64_t body_bytes;
	char data[RESPONSE_BYTES];
} fixture_t;

static void on_request(void *ctx, bsh_http_request_t *request)
{
	fixture_t *f = ctx;

	f->requests++;
	if (!f->is_chunked) {
		bsh_http_response_send(request, 200, f->data, sizeof(f->data));
		return;
	}
	bsh_http_response_begin(request, 200, -1);
	bsh_http_response_write(request, f->data, sizeof(f->data));
	bsh_http_response_end(request);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	fixture_t *f = ctx;

	f->done = true;
	f->status = result->status;
	f->err = result->err;
	f->body_bytes = result->body_bytes;
}

static void set_up(fixture_t *f, gconstpointer data)
{
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    .max_connections = 20,
					    .idle_timeout_s = 60,
					    .body_max_bytes = 1 << 20,
					    .on_request = on_request,
					    .ctx = f };

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	f->is_chunked = data != NULL;
	g_assert_cmpint(bsh_loop_init(&f->loop), ==, BSH_OK);
	g_assert_cmpint(bsh_http_server_new(&f->server, &f->loop, &config), ==,
			BSH_OK);
	f->client = bsh_http_client_new(&f->loop, 4);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	bsh_http_client_free(f->client);
	bsh_http_server_free(f->server);
	bsh_loop_finish(&f->loop);
}

static void send_head(fixture_t *f, size_t bytes)
{
	static const bsh_http_handler_t handler = { .on_end = on_end };
	g_autofree char *value = g_strnfill(bytes, 'a');
	g_autofree char *header = g_strconcat("X-Long: ", value, NULL);
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/x",
					       bsh_http_server_port(f->server));
	const char *const headers[] = { header, NULL };
	bsh_http_call_spec_t spec = { .method = "GET",
				      .url = url,
				      .headers = headers,
				      .idle_timeout_ms = 3000,
				      .fresh_connection = true };
	bsh_http_call_t *call;

	f->done = false;
	f->requests = 0;
	g_assert_cmpint(
		bsh_http_client_start(f->client, &spec, &handler, f, &call), ==,
		BSH_OK);
	while (!f->done)
		bsh_loop_step(&f->loop, 5000);
}

/* Guards against a request that is read and passed on, and whose connection then
 * ends without an answer because its head left no memory for the response. */
static void test_long_head(fixture_t *f, gconstpointer data)
{
	(void)data;
	for (size_t bytes = HEAD_MIN_BYTES; bytes < HEAD_MAX_BYTES;
	     bytes += HEAD_STEP_BYTES) {
		send_head(f, bytes);
		g_test_message("%zu bytes: requests %u status %d error %d "
			       "body %d",
			       bytes, f->requests, f->status, f->err,
			       (int)f->body_bytes);
		if (f->requests == 0) {
			g_assert_cmpint(f->status, ==, STATUS_HEAD_TOO_LARGE);
			continue;
		}
		g_assert_cmpint(f->status, ==, 200);
		g_assert_cmpint(f->err, ==, BSH_OK);
		g_assert_cmpint(f->body_bytes, ==, RESPONSE_BYTES);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/large-head/length", fixture_t, NULL, set_up,
		   test_long_head, tear_down);
	g_test_add("/large-head/chunked", fixture_t, "chunked", set_up,
		   test_long_head, tear_down);
	return g_test_run();
}
