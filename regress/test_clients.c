#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/engine_client.h"
#include "protocol/store_client.h"
#include "transport/http_server.h"

#define WAIT_US INT64_C(5000000)

/* Answer of the server to a path; status 0: none, -1: connection cut. */
typedef struct {
	const char *path;
	int status;
	const char *body;
} script_t;

static const script_t scripts[] = {
	{ "/v1/objects/k/done", 200, "{\"version\":3,\"value\":{\"a\":1}}" },
	{ "/v1/objects/k/conflict", 409, "{\"version\":9}" },
	{ "/v1/objects/k/missing", 404, "" },
	{ "/v1/objects/k/rate", 429, "" },
	{ "/v1/objects/k/large", 413, "" },
	{ "/v1/objects/k/outage", 503, "" },
	{ "/v1/objects/k/fault", 500, "" },
	{ "/v1/objects/k/broken", 200, "{\"version\":" },
	{ "/v1/objects/k/bare", 200, "{}" },
	{ "/v1/objects/k/negative", 200, "{\"version\":-1}" },
	{ "/v1/objects/k/cut", -1, "" },
	{ "/v1/objects/k/quiet", 204, "" },
	{ "/v1/objects/k/silent", 0, "" },
};

typedef struct {
	bsh_loop_t loop;
	bsh_http_client_t *http;
	bsh_json_client_t caller;
	bsh_store_client_t store;
	bsh_http_server_t *server;
	char address[BSH_ADDRESS_SIZE];
	const char *engine_body; /* answer to paths that are not in scripts */
	int engine_status;
	char if_match[256]; /* header of the last request */
	int calls;
	bsh_store_answer_t answer;
	bsh_engine_answer_t engine;
	bool has_status;
	uint64_t incarnation;
	size_t models;
	bsh_engine_model_state_t state;
	size_t instances;
	size_t leaving;
} net_t;

static void reply(bsh_http_request_t *request, int status, const char *body)
{
	if (status == 0)
		return;
	if (status < 0) {
		bsh_http_response_begin(request, 200, 100);
		bsh_http_response_abort(request);
		return;
	}
	bsh_http_response_add_header(request, "Retry-After", "2");
	bsh_http_response_send(request, status, body, strlen(body));
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	net_t *net = ctx;
	const char *path = bsh_http_request_path(request);
	const char *match = bsh_http_request_header(request, "If-Match");

	g_strlcpy(net->if_match, match != NULL ? match : "",
		  sizeof(net->if_match));
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		if (strcmp(scripts[i].path, path) == 0) {
			reply(request, scripts[i].status, scripts[i].body);
			return;
		}
	}
	reply(request, net->engine_status, net->engine_body);
}

static void net_init(net_t *net)
{
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    .max_connections = 32,
					    .idle_timeout_s = 10,
					    .body_max_bytes = 1 << 20,
					    .on_request = on_request,
					    .ctx = net };

	memset(net, 0, sizeof(*net));
	g_assert_cmpint(bsh_loop_init(&net->loop), ==, BSH_OK);
	net->http = bsh_http_client_new(&net->loop, 8);
	g_assert_nonnull(net->http);
	g_assert_cmpint(bsh_http_server_new(&net->server, &net->loop, &config),
			==, BSH_OK);
	g_snprintf(net->address, sizeof(net->address), "127.0.0.1:%u",
		   bsh_http_server_port(net->server));
	bsh_json_client_init(&net->caller, &net->loop, net->http);
	bsh_store_client_init(&net->store, &net->caller, net->address);
}

static void net_finish(net_t *net)
{
	bsh_json_client_finish(&net->caller);
	bsh_store_client_finish(&net->store);
	bsh_http_client_free(net->http);
	bsh_http_server_free(net->server);
	bsh_loop_finish(&net->loop);
}

static void wait_call(net_t *net)
{
	int64_t end_us = bsh_loop_clock_us() + WAIT_US;
	int before = net->calls;

	while (net->calls == before) {
		g_assert_cmpint(bsh_loop_clock_us(), <, end_us);
		bsh_loop_step(&net->loop, 10000);
	}
}

static void on_store(void *ctx, const bsh_store_answer_t *answer)
{
	net_t *net = ctx;

	net->calls++;
	net->answer = *answer;
	net->answer.value = NULL;
	if (answer->result == BSH_CALL_DONE && answer->value != NULL)
		g_assert_cmpint(
			json_integer_value(json_object_get(answer->value, "a")),
			==, 1);
}

static bsh_call_result_t put(net_t *net, const char *name)
{
	bsh_store_put(&net->store, "k", name, 5, "{}", 2, on_store, net);
	wait_call(net);
	return net->answer.result;
}

/*
 * Guards against reporting an update as without effect although it may have
 * taken effect.  The controller would then bind a target or run a call twice.
 */
static void test_store_results(void)
{
	net_t net;

	net_init(&net);
	g_assert_cmpint(put(&net, "done"), ==, BSH_CALL_DONE);
	g_assert_cmpuint(net.answer.version, ==, 3);
	g_assert_cmpstr(net.if_match, ==, "\"5\"");
	g_assert_cmpint(put(&net, "conflict"), ==, BSH_CALL_CONFLICT);
	g_assert_cmpuint(net.answer.version, ==, 9);
	g_assert_cmpint(put(&net, "rate"), ==, BSH_CALL_REFUSED);
	g_assert_cmpuint(net.answer.retry_after_ms, ==, 2000);
	g_assert_cmpint(put(&net, "large"), ==, BSH_CALL_REFUSED);
	g_assert_cmpint(net.answer.status, ==, 413);
	g_assert_cmpint(put(&net, "outage"), ==, BSH_CALL_UNAVAILABLE);
	g_assert_cmpint(put(&net, "missing"), ==, BSH_CALL_NOT_FOUND);
	g_assert_cmpint(put(&net, "fault"), ==, BSH_CALL_UNKNOWN);
	g_assert_cmpint(put(&net, "broken"), ==, BSH_CALL_UNKNOWN);
	g_assert_cmpint(put(&net, "bare"), ==, BSH_CALL_UNKNOWN);
	g_assert_cmpint(put(&net, "negative"), ==, BSH_CALL_UNKNOWN);
	g_assert_cmpint(put(&net, "cut"), ==, BSH_CALL_UNKNOWN);
	net_finish(&net);
}

/* Guards against reporting a read as done when its answer has no value, and an
 * unchanged watch as an error. */
static void test_store_reads(void)
{
	net_t net;

	net_init(&net);
	bsh_store_get(&net.store, "k", "done", on_store, &net);
	wait_call(&net);
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_DONE);
	bsh_store_get(&net.store, "k", "bare", on_store, &net);
	wait_call(&net);
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNKNOWN);
	bsh_store_watch(&net.store, "k", "quiet", 3, 100, on_store, &net);
	wait_call(&net);
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNCHANGED);
	g_assert_cmpuint(net.store.reads, ==, 3);
	net_finish(&net);
}

/* Guards against reporting a call as possibly sent when the connection was
 * refused or the address is invalid. */
static void test_store_not_reached(void)
{
	net_t net;

	net_init(&net);
	bsh_http_server_stop(net.server);
	g_assert_cmpint(put(&net, "done"), ==, BSH_CALL_UNAVAILABLE);
	g_strlcpy(net.store.address, "not an address",
		  sizeof(net.store.address));
	g_assert_cmpint(put(&net, "done"), ==, BSH_CALL_UNAVAILABLE);
	net_finish(&net);
}

static void on_call(void *ctx, const bsh_call_answer_t *answer)
{
	net_t *net = ctx;

	net->calls++;
	net->answer.result = answer->result;
}

/* Guards against a call that never ends because the server does not answer. */
static void test_call_silent(void)
{
	bsh_call_spec_t spec = { .method = "PUT",
				 .path = "/v1/objects/k/silent",
				 .body = "{}",
				 .body_size = 2,
				 .timeout_ms = 100 };
	net_t net;

	net_init(&net);
	spec.address = net.address;
	bsh_call_start(&net.caller, &spec, on_call, &net);
	wait_call(&net);
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNKNOWN);
	/* Finishing the client cancels a call without a callback. */
	bsh_call_start(&net.caller, &spec, on_call, &net);
	net_finish(&net);
	g_assert_cmpint(net.calls, ==, 1);
}

#define ITEM(name, state)                                                      \
	"{\"name\":\"" name "\",\"incarnation\":7,\"kind\":\"engine\","        \
	"\"pool\":\"p\",\"zone\":\"a\",\"address\":\"1.1.1.1:1\",\"control\":" \
	"\"1.1.1.1:2\",\"memory_mib\":100,\"state\":\"" state "\"}"

static void on_instances(void *ctx, bsh_call_result_t result,
			 const bsh_store_instance_t *items, size_t count,
			 int64_t began_us)
{
	net_t *net = ctx;

	g_assert_cmpint(began_us, >, 0);
	net->answer.result = result;
	net->instances = count;
	net->leaving = 0;
	for (size_t i = 0; i < count; i++) {
		g_assert_cmpstr(items[i].kind, ==, "engine");
		g_assert_cmpuint(items[i].memory_mib, ==, 100);
		net->leaving += strcmp(items[i].state, "leaving") == 0;
	}
	net->calls++;
}

static void read_list(net_t *net, const char *body)
{
	net->engine_status = 200;
	net->engine_body = body;
	bsh_store_instances(&net->store, on_instances, net);
	wait_call(net);
}

/* Guards against treating a partial list as a whole one, which would make all
 * other targets appear gone, and against applying a malformed list. */
static void test_store_instances(void)
{
	net_t net;

	net_init(&net);
	read_list(&net,
		  "{\"version\":4,\"items\":[" ITEM("e1", "live") "," ITEM(
			  "e2", "live") "," ITEM("e3", "live") "]}");
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_DONE);
	g_assert_cmpuint(net.instances, ==, 3);
	g_assert_cmpuint(net.store.list_version, ==, 4);
	read_list(&net, "{\"version\":4,\"partial\":true,\"items\":[]}");
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNCHANGED);
	read_list(&net, "{\"version\":6,\"partial\":true,\"items\":[" ITEM(
				"e2", "leaving") "],\"removed\":[\"e3\"]}");
	g_assert_cmpuint(net.instances, ==, 2);
	g_assert_cmpuint(net.leaving, ==, 1);
	read_list(&net, "{\"version\":7,\"partial\":true,\"items\":["
			"{\"name\":\"e1\"}],\"removed\":[\"e2\"]}");
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNKNOWN);
	read_list(&net, "{\"version\":7,\"partial\":true,\"items\":[],"
			"\"removed\":[3]}");
	g_assert_cmpint(net.answer.result, ==, BSH_CALL_UNKNOWN);
	g_assert_cmpuint(json_object_size(net.store.list), ==, 2);
	g_assert_cmpuint(net.store.list_version, ==, 6);
	net_finish(&net);
}

static void on_order(void *ctx, const bsh_engine_answer_t *answer)
{
	net_t *net = ctx;

	net->engine = *answer;
	net->calls++;
}

static void send_load(net_t *net, int status, const char *body)
{
	bsh_engine_order_t order = { "m", "1", "", "ab", 4, 100 };

	net->engine_status = status;
	net->engine_body = body;
	bsh_engine_load(&net->caller, net->address, &order, on_order, net);
	wait_call(net);
}

/* Guards against confusing a stale fence with another conflict, and an order
 * that may have been sent with one that was not. */
static void test_engine_orders(void)
{
	net_t net;

	net_init(&net);
	send_load(&net, 202, "{}");
	g_assert_cmpint(net.engine.result, ==, BSH_CALL_DONE);
	send_load(&net, 409, "{\"error\":\"stale-fence\",\"fence\":12}");
	g_assert_true(net.engine.stale_fence);
	g_assert_cmpuint(net.engine.fence, ==, 12);
	send_load(&net, 409, "{\"error\":\"unloading\"}");
	g_assert_false(net.engine.stale_fence);
	send_load(&net, 507, "{}");
	g_assert_true(net.engine.no_memory);
	send_load(&net, -1, "");
	g_assert_cmpint(net.engine.result, ==, BSH_CALL_UNKNOWN);
	g_assert_true(net.engine.sent);
	bsh_http_server_stop(net.server);
	send_load(&net, 202, "{}");
	g_assert_false(net.engine.sent);
	net_finish(&net);
}

static void on_status(void *ctx, const bsh_engine_status_t *status)
{
	net_t *net = ctx;

	net->calls++;
	net->has_status = status != NULL;
	if (status == NULL)
		return;
	net->incarnation = status->incarnation;
	net->models = status->model_count;
	if (status->model_count > 0)
		net->state = status->models[0].state;
}

#define HEAD                                                                   \
	"{\"name\":\"e\",\"incarnation\":7,\"state\":\"live\","                \
	"\"memory_total_mib\":9,\"memory_used_mib\":1,\"running\":0,"          \
	"\"waiting\":0,\"models\":"

static void read_status(net_t *net, const char *body)
{
	net->engine_status = 200;
	net->engine_body = body;
	bsh_engine_status(&net->caller, net->address, on_status, net);
	wait_call(net);
}

/* Guards against accepting a status that is only partly valid: a loaded model
 * would seem to be absent. */
static void test_engine_status(void)
{
	static const char *const malformed[] = {
		HEAD "{}}", HEAD "[{\"model\":\"m\"}]}",
		HEAD "[{\"model\":\"m\",\"version\":\"1\","
		     "\"state\":\"odd\"}]}",
		"{\"models\":[]}", "[]"
	};
	net_t net;

	net_init(&net);
	read_status(&net, HEAD "[{\"model\":\"m\",\"version\":\"1\","
			       "\"state\":\"ready\"}]}");
	g_assert_true(net.has_status);
	g_assert_cmpuint(net.incarnation, ==, 7);
	g_assert_cmpuint(net.models, ==, 1);
	g_assert_cmpint(net.state, ==, BSH_ENGINE_READY);
	read_status(&net, HEAD "[]}");
	g_assert_true(net.has_status);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		read_status(&net, malformed[i]);
		g_assert_false(net.has_status);
	}
	net_finish(&net);
}

int main(int argc, char **argv)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/results", test_store_results);
	g_test_add_func("/store/reads", test_store_reads);
	g_test_add_func("/store/not-reached", test_store_not_reached);
	g_test_add_func("/store/instances", test_store_instances);
	g_test_add_func("/call/silent", test_call_silent);
	g_test_add_func("/engine/orders", test_engine_orders);
	g_test_add_func("/engine/status", test_engine_status);
	return g_test_run();
}
