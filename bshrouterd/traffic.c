#include "traffic.h"

#include "base/log.h"

/* Idle keep-alive connections of callers, beyond one per request. */
#define IDLE_CONNECTIONS_MAX  4096
#define CALLER_IDLE_TIMEOUT_S 75
/* Idle keep-alive connections to targets. */
#define TARGET_IDLE_CONNECTIONS_MAX 512

bsh_error_t router_traffic_init(router_t *router)
{
	router_traffic_t *t = g_new0(router_traffic_t, 1);
	bsh_http_server_config_t config = {
		.address = router->settings.router_listen,
		.max_connections = router->settings.router_max_requests +
				   IDLE_CONNECTIONS_MAX,
		.idle_timeout_s = CALLER_IDLE_TIMEOUT_S,
		.body_max_bytes = router->settings.router_body_max_bytes,
		.on_request = traffic_on_request,
		.on_too_large = traffic_on_too_large,
		.ctx = t,
	};
	bsh_error_t err;

	t->router = router;
	t->loop = &router->traffic_loop;
	router->traffic = t;
	traffic_routes_init(t);
	err = traffic_modules_init(t);
	if (err != BSH_OK)
		return err;
	t->client = bsh_http_client_new(t->loop, TARGET_IDLE_CONNECTIONS_MAX);
	if (t->client == NULL)
		return BSH_ERR_SYSTEM;
	err = bsh_http_server_new(&t->server, t->loop, &config);
	if (err != BSH_OK)
		bsh_log(BSH_LOG_ERROR, "listen address=%s error=%s",
			config.address, bsh_error_name(err));
	return err;
}

void *router_traffic_main(void *ctx)
{
	router_t *router = ctx;

	bsh_loop_run(&router->traffic_loop);
	return NULL;
}

void router_traffic_finish(router_t *router)
{
	router_traffic_t *t = router->traffic;

	bsh_http_client_free(t->client);
	bsh_http_server_free(t->server);
	traffic_modules_finish(t);
	traffic_routes_finish(t);
	g_free(t);
	router->traffic = NULL;
}
