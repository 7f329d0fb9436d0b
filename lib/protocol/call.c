#include "protocol/call.h"

#include <string.h>

/* Fits the largest cell or journal bucket with the JSON around it. */
#define ANSWER_MAX_BYTES (2U << 20)
#define HEADERS_MAX	 2

typedef struct {
	bsh_json_client_t *client;
	bsh_http_call_t *call;
	bsh_loop_task_t start_failed; /* reports a failed start */
	bsh_call_fn_t fn;
	void *ctx;
	uint32_t retry_after_ms;
	int64_t began_us;
} open_call_t;

const char *bsh_call_result_name(bsh_call_result_t result)
{
	static const char *const names[] = { "done",	  "unchanged",
					     "not-found", "conflict",
					     "refused",	  "unavailable",
					     "unknown" };

	return (size_t)result < G_N_ELEMENTS(names) ? names[result] : "?";
}

static void free_open_call(void *data)
{
	open_call_t *open = data;

	bsh_loop_task_cancel(&open->start_failed);
	g_free(open);
}

static void cancel_call(gpointer key, gpointer value, gpointer ctx)
{
	open_call_t *open = key;

	(void)value;
	(void)ctx;
	if (open->call != NULL)
		bsh_http_call_cancel(open->call);
}

void bsh_json_client_init(bsh_json_client_t *client, bsh_loop_t *loop,
			  bsh_http_client_t *http)
{
	client->loop = loop;
	client->http = http;
	client->open = g_hash_table_new_full(NULL, NULL, free_open_call, NULL);
}

void bsh_json_client_finish(bsh_json_client_t *client)
{
	g_hash_table_foreach(client->open, cancel_call, NULL);
	g_hash_table_destroy(client->open);
}

static bsh_call_result_t classify_status(int status)
{
	switch (status) {
	case 200:
	case 201:
	case 202:
		return BSH_CALL_DONE;
	case 204:
		return BSH_CALL_UNCHANGED;
	case 404:
		return BSH_CALL_NOT_FOUND;
	case 409:
		return BSH_CALL_CONFLICT;
	case 503:
		return BSH_CALL_UNAVAILABLE;
	case 507:
		return BSH_CALL_REFUSED;
	default:
		/* Any other 5xx may have been sent after the effect. */
		return status >= 300 && status < 500 ? BSH_CALL_REFUSED
						     : BSH_CALL_UNKNOWN;
	}
}

static bsh_call_result_t classify(const bsh_http_result_t *result)
{
	if (!result->sent)
		return BSH_CALL_UNAVAILABLE;
	if (result->err != BSH_OK)
		return BSH_CALL_UNKNOWN;
	return classify_status(result->status);
}

/* Removes the call before calling fn, which may finish the client. */
static void report(open_call_t *open, const bsh_call_answer_t *answer)
{
	bsh_call_fn_t fn = open->fn;
	void *ctx = open->ctx;

	g_hash_table_remove(open->client->open, open);
	fn(ctx, answer);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	open_call_t *open = ctx;
	bsh_call_answer_t answer = { .result = classify(result),
				     .status = result->status,
				     .sent = result->sent,
				     .retry_after_ms = open->retry_after_ms,
				     .began_us = open->began_us };
	json_t *json = NULL;

	open->call = NULL;
	if (result->err == BSH_OK && result->body_bytes > 0) {
		json = json_loads(result->body, 0, NULL);
		if (json == NULL && answer.result == BSH_CALL_DONE)
			answer.result = BSH_CALL_UNKNOWN;
	}
	answer.json = json;
	report(open, &answer);
	json_decref(json);
}

static void on_header(void *ctx, const char *name, size_t name_size,
		      const char *value, size_t value_size)
{
	static const char retry_after[] = "Retry-After";
	open_call_t *open = ctx;
	uint32_t seconds = 0;

	if (name_size != sizeof(retry_after) - 1 ||
	    g_ascii_strncasecmp(name, retry_after, name_size) != 0)
		return;
	for (size_t i = 0; i < value_size && g_ascii_isdigit(value[i]); i++)
		seconds = MIN(seconds * 10 + (uint32_t)(value[i] - '0'), 86400);
	open->retry_after_ms = seconds * 1000;
}

static void on_start_failed(void *ctx)
{
	open_call_t *open = ctx;
	bsh_call_answer_t answer = { .result = BSH_CALL_UNAVAILABLE,
				     .began_us = open->began_us };

	report(open, &answer);
}

void bsh_call_start(bsh_json_client_t *client, const bsh_call_spec_t *spec,
		    bsh_call_fn_t fn, void *ctx)
{
	static const bsh_http_handler_t handler = { .on_header = on_header,
						    .on_end = on_end };
	g_autofree char *url =
		g_strdup_printf("http://%s%s", spec->address, spec->path);
	const char *headers[HEADERS_MAX + 1] = {
		"Content-Type: application/json", spec->header, NULL
	};
	open_call_t *open = g_new0(open_call_t, 1);
	int64_t now_us = bsh_loop_clock_us();
	bsh_http_call_spec_t http = {
		.method = spec->method,
		.url = url,
		.headers = headers,
		.body = spec->body,
		.body_size = spec->body_size,
		.deadline_us = now_us + (int64_t)spec->timeout_ms * 1000,
		.body_max_bytes = ANSWER_MAX_BYTES
	};

	open->client = client;
	open->fn = fn;
	open->ctx = ctx;
	open->began_us = now_us;
	bsh_loop_task_init(&open->start_failed, client->loop, on_start_failed,
			   open);
	g_hash_table_add(client->open, open);
	if (bsh_http_client_start(client->http, &http, &handler, open,
				  &open->call) != BSH_OK)
		bsh_loop_task_schedule(&open->start_failed);
}
