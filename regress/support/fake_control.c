#include "support/fake_control.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

static enum MHD_Result reply(struct MHD_Connection *connection,
			     unsigned int status, const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result =
		MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_and_free(struct MHD_Connection *connection,
				      unsigned int status, char *text)
{
	enum MHD_Result result = reply(connection, status, text);

	g_free(text);
	return result;
}

static char *config_text(const fake_control_t *fake)
{
	return g_strdup_printf("{\"generation\":%" G_GINT64_FORMAT
			       ",\"document\":%s}",
			       (gint64)fake->generation, fake->document);
}

void fake_control_accept(fake_control_t *fake, const char *document)
{
	g_free(fake->document);
	fake->document = g_strdup(document);
	fake->generation++;
}

static enum MHD_Result get_config(fake_control_t *fake,
				  struct MHD_Connection *connection)
{
	char *concurrent_document = fake->concurrent_document;
	enum MHD_Result result;

	if (fake->document == NULL)
		return reply(connection, 404, "{\"title\":\"None\"}");
	result = reply_and_free(connection, 200, config_text(fake));
	if (concurrent_document != NULL) {
		fake->concurrent_document = NULL;
		fake_control_accept(fake, concurrent_document);
		g_free(concurrent_document);
	}
	return result;
}

static enum MHD_Result put_config(fake_control_t *fake,
				  struct MHD_Connection *connection,
				  const char *body)
{
	const char *match = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "If-Match");
	g_autofree char *expected = g_strdup_printf("\"%" G_GINT64_FORMAT "\"",
						    (gint64)fake->generation);

	fake->puts++;
	if (g_strcmp0(match, expected) != 0)
		return reply_and_free(connection, 409, config_text(fake));
	fake_control_accept(fake, body);
	if (fake->lose_put_answer) {
		fake->lose_put_answer = false;
		return MHD_NO;
	}
	return reply_and_free(
		connection, 200,
		g_strdup_printf("{\"generation\":%" G_GINT64_FORMAT
				",\"state\":\"accepted\"}",
				(gint64)fake->generation));
}

static enum MHD_Result get_status(fake_control_t *fake,
				  struct MHD_Connection *connection)
{
	const char *extra = fake->extra_members;
	char *text = g_strdup_printf(
		"{\"generation\":%" G_GINT64_FORMAT
		",\"in_force\":%" G_GINT64_FORMAT
		",\"targets\":[{\"name\":\"t1\",\"pool\":\"gpu\",\"zone\":"
		"\"a\","
		"\"state\":\"live\",\"incarnation\":4,"
		"\"address\":\"127.0.0.8:1\"}],\"members\":["
		"{\"name\":\"entry-1\",\"zone\":\"a\",\"state\":\"%s\","
		"\"generation\":%" G_GINT64_FORMAT
		",\"incarnation\":3,\"control\":\"%s\"}%s]}",
		(gint64)fake->generation, (gint64)fake->in_force,
		fake->drains > 0 ? "leaving" : "live", (gint64)fake->generation,
		fake->address, extra != NULL ? extra : "");

	if (fake->in_force < fake->generation)
		fake->in_force++;
	return reply_and_free(connection, 200, text);
}

static enum MHD_Result route(fake_control_t *fake,
			     struct MHD_Connection *connection, const char *url,
			     const char *method, const char *body)
{
	bool is_get = strcmp(method, "GET") == 0;

	if (fake->canned_path != NULL &&
	    g_str_has_prefix(url, fake->canned_path) &&
	    (fake->canned_method == NULL ||
	     strcmp(method, fake->canned_method) == 0))
		return reply(connection, fake->canned_status,
			     fake->canned_body);
	if (strcmp(url, "/v1/config") == 0)
		return is_get ? get_config(fake, connection)
			      : put_config(fake, connection, body);
	if (strcmp(url, "/v1/status") == 0)
		return get_status(fake, connection);
	if (strcmp(url, "/v1/drain") == 0 && !is_get) {
		fake->drains++;
		g_free(fake->drain_body);
		fake->drain_body = g_strdup(body);
		return reply(connection, 202, "{}");
	}
	if (strcmp(url, "/timeline") == 0 && fake->timeline != NULL)
		return reply(connection, 200, fake->timeline);
	if (strcmp(url, "/metrics") == 0 && fake->metrics != NULL)
		return reply(connection, 200, fake->metrics);
	if (strcmp(url, "/v1/objects/timeline") == 0)
		return reply_and_free(
			connection, 200,
			g_strdup_printf("{\"items\":%s}", fake->store_items));
	if (strcmp(url, "/v1/entry") == 0) {
		const char *zone = MHD_lookup_connection_value(
			connection, MHD_GET_ARGUMENT_KIND, "zone");

		return reply_and_free(
			connection, 200,
			g_strdup_printf("{\"address\":\"127.0.0.9:1\""
					",\"zone\":\"%s\","
					"\"keep_s\":30}",
					zone != NULL ? zone : "-"));
	}
	return reply(connection, 404, "{\"title\":\"No such resource.\"}");
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **request)
{
	fake_control_t *fake = ctx;
	GString *body = *request;
	enum MHD_Result result;

	(void)version;
	if (body == NULL) {
		*request = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	g_mutex_lock(&fake->lock);
	result = route(fake, connection, url, method, body->str);
	g_mutex_unlock(&fake->lock);
	return result;
}

static void on_completed(void *ctx, struct MHD_Connection *connection,
			 void **request, enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)connection;
	(void)code;
	if (*request != NULL)
		g_string_free(*request, TRUE);
	*request = NULL;
}

void fake_control_init(fake_control_t *fake)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const union MHD_DaemonInfo *info;

	memset(fake, 0, sizeof(*fake));
	g_mutex_init(&fake->lock);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fake->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request,
		fake, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	g_assert_nonnull(fake->daemon);
	info = MHD_get_daemon_info(fake->daemon, MHD_DAEMON_INFO_BIND_PORT);
	g_snprintf(fake->address, sizeof(fake->address), "127.0.0.1:%u",
		   info->port);
}

void fake_control_finish(fake_control_t *fake)
{
	MHD_stop_daemon(fake->daemon);
	g_free(fake->document);
	g_free(fake->drain_body);
	g_free(fake->concurrent_document);
	g_mutex_clear(&fake->lock);
}

char *program_path(const char *program)
{
	const char *build = g_getenv("BSH_BUILD");

	return g_build_filename(build != NULL ? build : "build", program, NULL);
}

int run_program(char **out, char **err, const char *program,
		const char *const *arguments)
{
	GPtrArray *argv = g_ptr_array_new();
	g_autofree char *path = program_path(program);
	GError *error = NULL;
	int status = -1;

	g_ptr_array_add(argv, path);
	for (int i = 0; arguments[i] != NULL; i++)
		g_ptr_array_add(argv, (gpointer)arguments[i]);
	g_ptr_array_add(argv, NULL);
	g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL,
		     NULL, out, err, &status, &error);
	g_assert_no_error(error);
	g_ptr_array_free(argv, TRUE);
	g_assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}
