/* Questions of operators where a request would be sent: arguments and answers,
 * on the control thread. */
#include "where_query.h"

#include <string.h>

#include "base/json_text.h"
#include "base/log.h"
#include "platform/ingress.h"

#define PATH "/where"
/* "PROMPT,ANSWER", and up to eight parts "ID:TOKENS" with a hexadecimal id; numbers
 * of at most nine digits fit the types that they become. */
#define TOKENS_PATTERN "^[0-9]{1,9},[0-9]{1,9}$"
#define PROMPT_PATTERN                                                         \
	"^[0-9a-fA-F]{1,16}:[0-9]{1,9}(,[0-9a-fA-F]{1,16}:[0-9]{1,9}){0,7}$"
#define MODEL_PATTERN "^[^/]+(/[^/]+)?$"

static const struct {
	const char *name;
	const char *pattern; /* NULL: any text */
	const char *allowed;
	bool needed;
} arguments[] = {
	{ "host", NULL, "the name of a host", true },
	{ "path", "^/", "a path that begins with /", true },
	{ "model", MODEL_PATTERN, "MODEL or MODEL/ADAPTER", false },
	{ "account", NULL, "the name of a client account", false },
	{ "service", NULL, "the name of a service", false },
	{ "software", NULL, "a version of the targets' software", false },
	{ "tokens", TOKENS_PATTERN, "PROMPT,ANSWER", false },
	{ "prompt", PROMPT_PATTERN, "up to 8 ID:TOKENS, separated by commas",
	  false },
};

static void free_ask(where_ask_t *ask)
{
	g_free(ask->host);
	g_free(ask->path);
	g_free(ask->account);
	g_free(ask->service);
	g_free(ask->software);
	platform_request_info_finish(&ask->info);
	json_decref(ask->answer);
	g_free(ask);
}

static void send_json(bsh_http_request_t *request, int status,
		      const json_t *value)
{
	char *text = bsh_json_text(value, JSON_COMPACT);

	bsh_http_response_add_header(request, "Content-Type",
				     "application/json");
	if (text != NULL)
		bsh_http_response_send(request, status, text, strlen(text));
	else
		bsh_http_response_send(request, 500, "", 0);
	free(text);
}

static void send_error(bsh_http_request_t *request, int status,
		       const char *title, const char *detail)
{
	json_t *value =
		bsh_json_pack("{s:s, s:s}", "title", title, "detail", detail);

	bsh_log(BSH_LOG_INFO, "where-refused status=%d reason=\"%s %s\"",
		status, title, detail);
	send_json(request, status, value);
	json_decref(value);
}

/* Refuses a question with an argument that is missing or malformed. */
static bool is_valid(bsh_http_request_t *request)
{
	for (size_t i = 0; i < G_N_ELEMENTS(arguments); i++) {
		const char *value =
			bsh_http_request_argument(request, arguments[i].name);
		g_autofree char *detail = NULL;

		if (value == NULL && !arguments[i].needed)
			continue;
		if (value != NULL && value[0] != '\0' &&
		    g_utf8_validate(value, -1, NULL) &&
		    (arguments[i].pattern == NULL ||
		     g_regex_match_simple(arguments[i].pattern, value,
					  G_REGEX_DOLLAR_ENDONLY, 0)))
			continue;
		detail = g_strdup_printf("%s must be %s", arguments[i].name,
					 arguments[i].allowed);
		send_error(request, 400, "malformed argument:", detail);
		return false;
	}
	return true;
}

static void on_done(void *ctx, bool delivered)
{
	where_ask_t *ask = ctx;

	(void)delivered;
	ask->http = NULL;
	if (ask->answered)
		free_ask(ask);
}

static void on_answer(void *ctx)
{
	where_ask_t *ask = ctx;

	ask->answered = true;
	/* Else the question is freed at the end of the request. */
	if (ask->http == NULL)
		free_ask(ask);
	else if (ask->error != NULL)
		send_error(ask->http, 400, "malformed argument:", ask->error);
	else
		send_json(ask->http, 200, ask->answer);
}

static const bsh_http_request_handler_t handler = { on_done, NULL };

bool where_is_query(const bsh_http_request_t *request)
{
	return strcmp(bsh_http_request_path(request), PATH) == 0;
}

void where_receive(entry_t *entry, bsh_http_request_t *request,
		   bsh_loop_fn_t fn)
{
	where_ask_t *ask;

	if (strcmp(bsh_http_request_method(request), "GET") != 0) {
		send_error(request, 405, "method not allowed:", "use GET");
		return;
	}
	if (!is_valid(request))
		return;
	ask = g_new0(where_ask_t, 1);
	ask->traffic = entry->traffic;
	ask->host = g_strdup(bsh_http_request_argument(request, "host"));
	ask->path = g_strdup(bsh_http_request_argument(request, "path"));
	ask->account = g_strdup(bsh_http_request_argument(request, "account"));
	ask->service = g_strdup(bsh_http_request_argument(request, "service"));
	ask->software =
		g_strdup(bsh_http_request_argument(request, "software"));
	platform_request_info_describe(
		&ask->info, bsh_http_request_argument(request, "model"),
		bsh_http_request_argument(request, "tokens"),
		bsh_http_request_argument(request, "prompt"));
	ask->loop = &entry->control_loop;
	ask->on_answer = on_answer;
	ask->http = request;
	bsh_http_request_set_handler(request, &handler, ask);
	bsh_loop_post(&entry->traffic_loop, fn, ask);
}
