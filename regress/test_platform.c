#include <apr_general.h>
#include <glib.h>
#include <string.h>

#include "platform/decode.h"
#include "platform/target_client.h"
#include "transport/http_server.h"

static json_t *parse(const char *text)
{
	json_t *value = json_loads(text, 0, NULL);

	g_assert_nonnull(value);
	return value;
}

static const char config_text[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"H.example\",\"pathPrefix\":\"/a/\","
	"\"kind\":\"stream\",\"timeoutMs\":17000,\"targetLatencyMs\":2500,"
	"\"priority\":0,\"service\":\"s1\",\"maxAttempts\":1,\"sticky\":true,"
	"\"resumable\":false,\"gapAimMs\":400},"
	"{\"name\":\"r2\",\"host\":\"h.example\",\"pathPrefix\":\"/a/b/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":900,\"targetLatencyMs\":300,"
	"\"priority\":2,\"maxAttempts\":2,\"trafficSplit\":["
	"{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}]"
	"}],"
	"\"services\":[{\"name\":\"s1\",\"healthPath\":\"/healthz\","
	"\"maxConnections\":360,\"engine\":{\"slots\":64,\"kvCapacity\":1000,"
	"\"models\":[{\"name\":\"m1\",\"weightsMb\":65099.99999,\"loadS\":6.0,"
	"\"adapters\":3,\"adapterMb\":12.0,\"warmS\":0.6,\"diskS\":0.78}],"
	"\"weightsMb\":200000.0,\"adapterSlots\":8,\"loadsPerS\":3.3}},"
	"{\"name\":\"s2\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

/* Guards against a field that is decoded from the wrong key, and against sizes
 * rounded down, which would place one model too many on a target. */
static void test_catalog(void)
{
	g_autoptr(GString) problem = g_string_new(NULL);
	json_t *spec = parse(config_text);
	bsh_catalog_t *catalog = platform_decode_catalog(spec, NULL, problem);
	const bsh_route_rule_t *route;
	const bsh_service_rule_t *service;
	const bsh_model_rule_t *model;

	g_assert_nonnull(catalog);
	g_assert_cmpuint(catalog->version, ==, 7);
	g_assert_cmpuint(catalog->limits.idle_timeout_ms, ==, 15000);
	route = bsh_catalog_match(catalog, "h.example:80", "/a/x");
	g_assert_nonnull(route);
	g_assert_cmpint(route->kind, ==, BSH_KIND_STREAM);
	g_assert_false(route->resumable);
	g_assert_cmpuint(route->timeout_ms, ==, 17000);
	route = bsh_catalog_match(catalog, "h.example", "/a/b/c");
	g_assert_cmpstr(route->name, ==, "r2");
	g_assert_cmpuint(route->splits->len, ==, 2);
	g_assert_null(bsh_catalog_match(catalog, "h.example", "/b/"));
	g_assert_null(bsh_catalog_match(catalog, "other.example", "/a/"));
	service = bsh_catalog_service_at(catalog, 0);
	g_assert_cmpuint(service->adapter_slots, ==, 8);
	model = bsh_service_model(service, bsh_catalog_hash("m1", 2));
	g_assert_cmpuint(model->weights_mb, ==, 65100);
	g_assert_cmpuint(model->load_ms, ==, 6000);
	g_assert_cmpuint(model->disk_load_ms, ==, 780);
	g_assert_cmpuint(model->memory_load_ms, ==, 600);
	bsh_catalog_unref(catalog);
	json_decref(spec);
}

/* Guards against a configuration that is applied in part although one of its
 * fields is missing or malformed. */
static void test_catalog_is_whole_or_nothing(void)
{
	static const char *const texts[] = {
		"{\"routes\":[]}",
		"{\"version\":\"7\"}",
		"{\"version\":7,\"routes\":[{\"host\":\"h\"}]}",
		("{\"version\":7,\"routes\":[{\"host\":\"h\",\"pathPrefix\":"
		 "\"/a/\",\"kind\":\"stream\",\"service\":\"none\"}]}"),
		"{\"version\":7,\"services\":[{}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autoptr(GString) problem = g_string_new(NULL);
		json_t *spec = parse(texts[i]);

		g_assert_null(platform_decode_catalog(spec, NULL, problem));
		g_assert_cmpuint(problem->len, >, 0);
		json_decref(spec);
	}
}

/* Guards against malformed entries of other writers being used as targets, and
 * against the heartbeat counter of an entry being read as its order count. */
static void test_target_entries(void)
{
	static const char *const bad[] = {
		"{}",
		"[]",
		"null",
		("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		 "\"slots\":6,\"state\":\"resting\",\"seq\":1}"),
		("{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		 "\"slots\":6,\"state\":\"ready\",\"seq\":1}"),
		("{\"service\":\"s\",\"address\":\"host:5\",\"zone\":\"z\","
		 "\"slots\":6,\"state\":\"ready\",\"seq\":1}"),
		("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		 "\"slots\":\"6\",\"state\":\"ready\",\"seq\":1}"),
		("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		 "\"slots\":6,\"state\":\"ready\"}"),
		("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		 "\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":\"x\"}"),
	};
	bsh_target_t target;
	json_t *spec;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		spec = json_loads(bad[i], JSON_DECODE_ANY, NULL);
		g_assert_cmpint(
			platform_decode_target("i-1", spec, &target, NULL), ==,
			BSH_ERR_INVALID);
		json_decref(spec);
	}
	spec = parse("{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
		     "\"zone\":\"z\",\"slots\":6,\"state\":\"draining\","
		     "\"seq\":9,\"version\":\"v1.2\",\"born\":1700000000000,"
		     "\"models\":[{\"name\":"
		     "\"m1\",\"version\":1,\"adapters\":[\"a2\"]}],"
		     "\"atHand\":{\"inMemory\":[\"m1\"],\"onDisk\":[\"m1\","
		     "\"m2\"]}}");
	g_assert_cmpint(platform_decode_target("i-1", spec, &target, NULL), ==,
			BSH_OK);
	g_assert_true(target.leaving);
	g_assert_cmpuint(target.started_ms, ==, 1700000000000);
	g_assert_cmpstr(target.software, ==, "v1.2");
	g_assert_true(bsh_holdings_has(&target.holdings,
				       bsh_catalog_hash("m1", 2),
				       bsh_catalog_hash("a2", 2)));
	g_assert_true(
		bsh_copies_on_disk(&target.copies, bsh_catalog_hash("m2", 2)));
	g_assert_false(bsh_copies_in_memory(&target.copies,
					    bsh_catalog_hash("m2", 2)));
	json_decref(spec);
}

/* Guards against adapters that are being loaded not being counted: they already
 * take up a slot. */
static void test_report(void)
{
	static const char text[] =
		"{\"stage\":\"colocated\",\"models\":[{\"name\":\"m1\","
		"\"version\":1,\"adapters\":[\"a1\"]}],\"busy\":true,\"seq\":4,"
		"\"queued\":1,\"inFlight\":12,\"coming\":[\"m1/a3@2\"]}";
	bsh_target_report_t report;

	g_assert_cmpint(platform_decode_report(text, strlen(text), &report), ==,
			BSH_OK);
	g_assert_true(report.busy);
	g_assert_cmpuint(report.orders, ==, 4);
	g_assert_cmpuint(report.holdings.n, ==, 3);
	g_assert_true(bsh_holdings_has(&report.holdings,
				       bsh_catalog_hash("m1", 2),
				       bsh_catalog_hash("a3", 2)));
	g_assert_cmpint(platform_decode_report("{}", 2, &report), ==,
			BSH_ERR_INVALID);
	g_assert_cmpint(platform_decode_report("\xff", 1, &report), ==,
			BSH_ERR_INVALID);
}

/* A target and the client of the instance that orders it. */
typedef struct {
	int requests;
	bool may_send;
	int ends;
	platform_order_result_t result;
} order_t;

static void on_order_request(void *ctx, bsh_http_request_t *request)
{
	order_t *o = ctx;

	o->requests++;
	bsh_http_response_send(request, 202, "{}", 2);
}

static bool may_send(void *ctx)
{
	const order_t *o = ctx;

	return o->may_send;
}

static void on_result(void *ctx, platform_order_result_t result)
{
	order_t *o = ctx;

	o->ends++;
	o->result = result;
}

/* Guards against an order that is sent after the term of its holder: the process
 * was frozen while it connected to the target. */
static void test_order_is_checked_once_connected(void)
{
	const struct {
		bool may_send;
		platform_order_result_t result;
	} cases[] = { { true, PLATFORM_ORDER_ACCEPTED },
		      { false, PLATFORM_ORDER_NOT_SENT } };
	platform_order_t order = { .target = "i-1",
				   .load = true,
				   .model = "m1",
				   .holder = "entry-1",
				   .fence = 1 };
	bsh_http_server_config_t config = { .address = "127.0.0.1:0",
					    .max_connections = 10,
					    .idle_timeout_s = 1,
					    .body_max_bytes = 1000,
					    .on_request = on_order_request };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		order_t o = { .may_send = cases[i].may_send };
		bsh_http_server_t *server;
		bsh_http_client_t *client;
		bsh_loop_t loop;
		char address[32];

		config.ctx = &o;
		g_assert_cmpint(bsh_loop_init(&loop), ==, BSH_OK);
		g_assert_cmpint(bsh_http_server_new(&server, &loop, &config),
				==, BSH_OK);
		client = bsh_http_client_new(&loop, 1);
		g_snprintf(address, sizeof(address), "127.0.0.1:%u",
			   bsh_http_server_port(server));
		order.address = address;
		platform_target_order(client, &order, may_send, on_result, &o);
		while (o.ends == 0)
			bsh_loop_step(&loop, 100000);
		g_assert_cmpint(o.result, ==, cases[i].result);
		g_assert_cmpint(o.requests, ==, cases[i].may_send);
		bsh_http_client_free(client);
		bsh_http_server_free(server);
		bsh_loop_finish(&loop);
	}
}

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/catalog", test_catalog);
	g_test_add_func("/platform/catalog-whole",
			test_catalog_is_whole_or_nothing);
	g_test_add_func("/platform/target-entries", test_target_entries);
	g_test_add_func("/platform/report", test_report);
	g_test_add_func("/platform/order-is-checked-once-connected",
			test_order_is_checked_once_connected);
	return g_test_run();
}
