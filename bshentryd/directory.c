/* HTTP endpoints: readiness probe, addresses of instances for callers,
 * metrics, and where a request would be sent. */
#include "control.h"

#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "platform/ingress.h"
#include "where_query.h"

#define CONNECTIONS_MAX 512U
/* Callers look up addresses every few seconds, and probes are sent every
 * second: their connections stay open in between. */
#define IDLE_TIMEOUT_S 10U

struct directory {
	control_t *control;
	bsh_http_server_t *ready_server;
	bsh_http_server_t *resolve_server;
	bsh_http_server_t *metrics_server;
	bool last_ready; /* answer to the last probe */
};

static bsh_counter_t resolve_answers =
	BSH_COUNTER("bsh_resolve_answers_total", "Answers with addresses.");

static bsh_counter_t log_lines_dropped = BSH_COUNTER(
	"bsh_log_lines_dropped_total", "Lines of the log that were left out.");

bool directory_is_ready(const directory_t *directory)
{
	const control_t *control = directory->control;

	/* Not by the state of this thread: the traffic thread may not have run
	 * since that was sent to it, and would refuse the first requests.  Until
	 * the suspects are known it would hold them back. */
	return !control->draining &&
	       __atomic_load_n(&control->entry->serving, __ATOMIC_ACQUIRE) &&
	       __atomic_load_n(&control->entry->suspects_known,
			       __ATOMIC_ACQUIRE);
}

static void on_ready_request(void *ctx, bsh_http_request_t *request)
{
	directory_t *directory = ctx;
	bool ready = directory_is_ready(directory);

	if (!platform_is_ready_probe(request)) {
		bsh_http_response_send(request, 404, "", 0);
		return;
	}
	if (ready != directory->last_ready)
		bsh_log(BSH_LOG_INFO, "readiness ready=%d", ready);
	directory->last_ready = ready;
	bsh_http_response_send(request, ready ? 200 : 503, "", 0);
}

static void on_resolve_request(void *ctx, bsh_http_request_t *request)
{
	directory_t *directory = ctx;
	const bsh_settings_t *settings = &directory->control->entry->settings;
	platform_resolve_query_t query;
	bsh_entry_choice_t choice = { .n = 0 };

	if (!platform_is_resolve_query(request, &query)) {
		bsh_http_response_send(request, 404, "", 0);
		return;
	}
	/* Before the first configuration this instance cannot serve a request
	 * and does not know the other instances yet. */
	if (catalogs_current(directory->control->catalogs) == NULL) {
		bsh_http_response_send(request, 503, "", 0);
		return;
	}
	peers_choose_entries(directory->control->peers, &choice);
	if (choice.n == 0) {
		bsh_http_response_send(request, 503, "", 0);
		return;
	}
	bsh_counter_add(&resolve_answers, 1);
	platform_answer_resolve(request, choice.addresses, choice.n,
				settings->entry_resolve_keep_s);
}

static void on_admin_request(void *ctx, bsh_http_request_t *request)
{
	const directory_t *directory = ctx;
	g_autoptr(GString) out = g_string_new(NULL);

	if (where_is_query(request)) {
		where_receive(directory->control->entry, request,
			      traffic_where);
		return;
	}
	if (strcmp(bsh_http_request_path(request), "/metrics") != 0) {
		bsh_http_response_send(request, 404, "", 0);
		return;
	}
	bsh_counter_set(&log_lines_dropped, (int64_t)bsh_log_dropped());
	bsh_counter_print(out);
	bsh_histogram_print(out);
	bsh_http_response_add_header(request, "Content-Type",
				     "text/plain; version=0.0.4");
	bsh_http_response_send(request, 200, out->str, out->len);
}

directory_t *directory_new(control_t *control)
{
	directory_t *directory = g_new0(directory_t, 1);

	bsh_counter_register(&resolve_answers);
	bsh_counter_register(&log_lines_dropped);
	directory->control = control;
	return directory;
}

static bsh_error_t open_server(directory_t *directory, const char *address,
			       void (*on_request)(void *ctx,
						  bsh_http_request_t *request),
			       bsh_http_server_t **server)
{
	bsh_http_server_config_t config = {
		.address = address,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.body_max_bytes = 1024,
		.on_request = on_request,
		.ctx = directory,
	};
	bsh_error_t err;

	if (address[0] == '\0')
		return BSH_OK;
	err = bsh_http_server_new(server, directory->control->loop, &config);
	if (err != BSH_OK)
		bsh_log(BSH_LOG_ERROR, "listen address=%s error=%s", address,
			bsh_error_name(err));
	return err;
}

bsh_error_t directory_start(directory_t *directory)
{
	const bsh_settings_t *settings = &directory->control->entry->settings;
	bsh_error_t err;

	err = open_server(directory, settings->entry_ready, on_ready_request,
			  &directory->ready_server);
	if (err == BSH_OK)
		err = open_server(directory, settings->control_listen,
				  on_resolve_request,
				  &directory->resolve_server);
	if (err == BSH_OK)
		err = open_server(directory, settings->router_admin,
				  on_admin_request, &directory->metrics_server);
	return err;
}

void directory_free(directory_t *directory)
{
	if (directory->ready_server != NULL)
		bsh_http_server_free(directory->ready_server);
	if (directory->resolve_server != NULL)
		bsh_http_server_free(directory->resolve_server);
	if (directory->metrics_server != NULL)
		bsh_http_server_free(directory->metrics_server);
	g_free(directory);
}
