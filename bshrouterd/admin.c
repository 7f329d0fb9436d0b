#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "protocol/problem.h"
#include "router.h"
#include "transport/http_server.h"

#define ADMIN_CONNECTIONS_MAX 64
#define ADMIN_IDLE_TIMEOUT_S  30
#define ADMIN_BODY_MAX_BYTES  1024
/* The report timer of the traffic thread runs every second; if it has not run
 * for this long, /healthz reports a hang. */
#define TRAFFIC_HANG_TIMEOUT_US INT64_C(10000000)

static bsh_http_server_t *server;

static void answer_text(bsh_http_request_t *request, int status,
			const char *type, const GString *text)
{
	bsh_http_response_add_header(request, "Content-Type", type);
	bsh_http_response_send(request, status, text->str, text->len);
}

static void healthz(const router_t *router, bsh_http_request_t *request)
{
	int64_t heartbeat_us = __atomic_load_n(&router->traffic_heartbeat_us,
					       __ATOMIC_RELAXED);
	g_autoptr(GString) text = g_string_new("ok\n");
	int status = 200;

	if (bsh_loop_clock_us() - heartbeat_us > TRAFFIC_HANG_TIMEOUT_US) {
		g_string_assign(text, "the traffic thread does not respond\n");
		status = 503;
	}
	answer_text(request, status, "text/plain", text);
}

static void readyz(const router_t *router, bsh_http_request_t *request)
{
	unsigned int not_ready =
		__atomic_load_n(&router->not_ready, __ATOMIC_RELAXED);
	g_autoptr(GString) text = g_string_new(NULL);

	if (not_ready == 0)
		g_string_append(text, "ready\n");
	if (not_ready & ROUTER_NO_CONFIG)
		g_string_append(text, "no configuration\n");
	if (not_ready & ROUTER_CONFIG_STALE)
		g_string_append(text, "configuration not confirmed\n");
	if (not_ready & ROUTER_DRAINING)
		g_string_append(text, "draining\n");
	answer_text(request, not_ready == 0 ? 200 : 503, "text/plain", text);
}

static void metrics(bsh_http_request_t *request)
{
	g_autoptr(GString) text = g_string_new(NULL);

	bsh_counter_print(text);
	answer_text(request, 200, "text/plain; version=0.0.4", text);
}

static void timeline(router_t *router, bsh_http_request_t *request)
{
	const char *since = bsh_http_request_argument(request, "since");
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *last = NULL;

	last = g_strdup_printf(
		"%" PRIu64,
		bsh_timeline_print(
			&router->timeline,
			since != NULL ? g_ascii_strtoull(since, NULL, 10) : 0,
			text));
	bsh_http_response_add_header(request, "Berylshunt-Last", last);
	answer_text(request, 200, "application/jsonl", text);
}

static void send_problem(bsh_http_request_t *request, bsh_error_t err)
{
	bsh_problem_t problem;
	char *body;

	bsh_problem_init(&problem, err);
	body = bsh_problem_body(&problem);
	bsh_http_response_add_header(request, "Content-Type",
				     BSH_PROBLEM_MEDIA_TYPE);
	bsh_http_response_send(request, bsh_error_info(err)->http_status, body,
			       strlen(body));
	free(body);
}

static void on_request(void *ctx, bsh_http_request_t *request)
{
	const char *path = bsh_http_request_path(request);
	router_t *router = ctx;

	if (strcmp(bsh_http_request_method(request), "GET") != 0)
		send_problem(request, BSH_ERR_UNSUPPORTED);
	else if (strcmp(path, "/healthz") == 0)
		healthz(router, request);
	else if (strcmp(path, "/readyz") == 0)
		readyz(router, request);
	else if (strcmp(path, "/metrics") == 0)
		metrics(request);
	else if (strcmp(path, "/timeline") == 0)
		timeline(router, request);
	else
		send_problem(request, BSH_ERR_NOT_FOUND);
}

bsh_error_t router_admin_start(router_t *router)
{
	bsh_http_server_config_t config = {
		.address = router->settings.router_admin,
		.max_connections = ADMIN_CONNECTIONS_MAX,
		.idle_timeout_s = ADMIN_IDLE_TIMEOUT_S,
		.body_max_bytes = ADMIN_BODY_MAX_BYTES,
		.on_request = on_request,
		.ctx = router,
	};
	bsh_error_t err =
		bsh_http_server_new(&server, &router->control_loop, &config);

	if (err != BSH_OK)
		bsh_log(BSH_LOG_ERROR, "admin-listen address=%s error=%s",
			config.address, bsh_error_name(err));
	return err;
}

void router_admin_stop(void)
{
	bsh_http_server_free(server);
}
