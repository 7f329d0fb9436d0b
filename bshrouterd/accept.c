#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/journal.h"
#include "protocol/openai.h"
#include "traffic.h"

#define DEADLINE_MAX_MS		  3600000
#define IDEMPOTENCY_KEY_MAX_BYTES 255
#define SERVICES_PREFIX		  "/services/"
#define CHAT_PATH		  "/v1/chat/completions"
#define COMPLETION_PATH		  "/v1/completions"
#define DRAIN_RETRY_AFTER_MS	  0
#define STALE_RETRY_AFTER_MS	  1000
#define CAPACITY_RETRY_AFTER_MS	  1000

void traffic_send_problem(bsh_http_request_t *http,
			  const bsh_problem_t *problem)
{
	int64_t retry_s = bsh_problem_retry_after_s(problem);
	char *body = bsh_problem_body(problem);
	char text[24];

	if (retry_s >= 0) {
		snprintf(text, sizeof(text), "%" PRId64, retry_s);
		bsh_http_response_add_header(http, "Retry-After", text);
	}
	bsh_http_response_add_header(http, "Content-Type",
				     BSH_PROBLEM_MEDIA_TYPE);
	bsh_http_response_add_header(http, "Berylshunt-Outcome",
				     bsh_outcome_name(problem->outcome));
	if (problem->request_id != NULL)
		bsh_http_response_add_header(http, "X-Request-Id",
					     problem->request_id);
	if (problem->entry != NULL && problem->entry[0] != '\0')
		bsh_http_response_add_header(http, "Berylshunt-Entry",
					     problem->entry);
	bsh_http_response_send(http, bsh_error_info(problem->err)->http_status,
			       body, strlen(body));
	free(body);
}

/* Refuses a request that was not passed to the attempt module. */
static void refuse(router_traffic_t *t, bsh_http_request_t *http,
		   bsh_error_t err, const char *detail, int64_t retry_after_ms)
{
	bsh_problem_t problem;

	bsh_problem_init(&problem, err);
	problem.detail = detail;
	/* Nothing was sent to a target, so the default outcome of this kind of
	 * error does not apply. */
	problem.outcome = BSH_OUTCOME_NOT_RUN;
	if (bsh_error_info(err)->retry_after)
		problem.retry_after_ms = MAX(retry_after_ms, 0);
	if (err == BSH_ERR_DRAINING)
		problem.entry = t->alternative;
	bsh_counter_add(&router_counters.errors[err], 1);
	bsh_counter_add(&router_counters.not_run, 1);
	bsh_timeline_add(&t->router->timeline, "refused", "{s:s, s:s, s:s?}",
			 "reason", bsh_error_name(err), "outcome", "not-run",
			 "detail", detail);
	traffic_send_problem(http, &problem);
}

static void on_done(void *ctx, bool delivered)
{
	traffic_http_done(ctx, delivered);
}

static void on_drained(void *ctx)
{
	traffic_resume_call(ctx);
}

static const bsh_http_request_handler_t http_handler = { on_done, on_drained };

static traffic_request_t *new_request(router_traffic_t *t,
				      bsh_http_request_t *http)
{
	traffic_request_t *r = g_new0(traffic_request_t, 1);

	r->traffic = t;
	r->http = http;
	r->waiting.user = r;
	g_strlcpy(r->method, bsh_http_request_method(http), sizeof(r->method));
	r->headers = g_ptr_array_new_with_free_func(g_free);
	traffic_calls_init(r);
	return r;
}

void traffic_free_request(traffic_request_t *r)
{
	traffic_calls_finish(r);
	g_ptr_array_free(r->headers, TRUE);
	g_free(r->idempotency_key);
	g_free(r->path);
	g_free(r->body);
	g_free(r);
}

/*
 * Reads a whole number in [min, max] into *value, which is unchanged if the
 * header is absent.  On false, detail is the error message.
 */
static bool read_number_header(const bsh_http_request_t *http, const char *name,
			       uint64_t min, uint64_t max, uint64_t *value,
			       char *detail)
{
	const char *text = bsh_http_request_header(http, name);
	guint64 number;

	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, min, max, &number, NULL)) {
		snprintf(detail, BSH_OPENAI_DETAIL_SIZE,
			 "%s: must be a whole number from %" PRIu64
			 " to %" PRIu64,
			 name, min, max);
		return false;
	}
	*value = number;
	return true;
}

/* Options of a request, from the configuration and its headers. */
typedef struct {
	uint64_t deadline_ms;
	uint64_t priority;
	bool repeatable;
	bool stream;
} call_options_t;

static bool read_options(traffic_request_t *r, call_options_t *options,
			 char *detail)
{
	uint64_t configured_priority = options->priority;
	const char *key = bsh_http_request_header(r->http, "Idempotency-Key");

	if (!read_number_header(r->http, "Berylshunt-Deadline-Ms", 1,
				DEADLINE_MAX_MS, &options->deadline_ms,
				detail) ||
	    !read_number_header(r->http, "Berylshunt-Priority", 0, 9,
				&options->priority, detail))
		return false;
	/* The header can only lower the priority; 0 is the highest. */
	options->priority = MAX(options->priority, configured_priority);
	if (key != NULL &&
	    (key[0] == '\0' || strlen(key) > IDEMPOTENCY_KEY_MAX_BYTES)) {
		snprintf(detail, BSH_OPENAI_DETAIL_SIZE,
			 "Idempotency-Key: must have 1 to %d bytes",
			 IDEMPOTENCY_KEY_MAX_BYTES);
		return false;
	}
	if (key != NULL && !options->repeatable)
		r->idempotency_key = g_strdup(key);
	return true;
}

/* Headers not forwarded to the target: hop-by-hop, or set by the router. */
static bool is_stripped_header(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Transfer-Encoding",
		"TE",
		"Trailer",
		"Upgrade",
		"Host",
		"Content-Length",
		"Expect",
		"X-Request-Id",
		"X-Priority",
		"Proxy-Authorization",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return true;
	}
	return g_ascii_strncasecmp(name, "Berylshunt-", 11) == 0;
}

static void copy_header(void *ctx, const char *name, const char *value)
{
	traffic_request_t *r = ctx;

	if (is_stripped_header(name))
		return;
	/* libcurl removes a header given as "Name:" and sends one given as
	 * "Name;" with an empty value. */
	g_ptr_array_add(r->headers,
			value[0] != '\0'
				? g_strdup_printf("%s: %s", name, value)
				: g_strdup_printf("%s;", name));
}

static void hash_caller(traffic_request_t *r)
{
	const char *credentials =
		bsh_http_request_header(r->http, "Authorization");

	if (credentials != NULL)
		r->waiting.caller =
			XXH3_64bits(credentials, strlen(credentials));
}

static void refuse_and_free(traffic_request_t *r, bsh_error_t err,
			    const char *detail, int64_t retry_after_ms)
{
	router_traffic_t *t = r->traffic;

	refuse(t, r->http, err, detail, retry_after_ms);
	bsh_drain_release(&t->drain, bsh_loop_now_us(t->loop));
	traffic_free_request(r);
}

static void start_request(traffic_request_t *r, const call_options_t *options)
{
	router_traffic_t *t = r->traffic;
	int64_t deadline_us =
		bsh_loop_now_us(t->loop) + (int64_t)options->deadline_ms * 1000;
	bsh_error_t err;

	r->priority = (uint8_t)options->priority;
	r->waiting.priority = r->priority;
	r->waiting.deadline_us = deadline_us;
	hash_caller(r);
	bsh_http_request_headers(r->http, copy_header, r);
	g_ptr_array_add(r->headers,
			g_strdup_printf("X-Priority: %u", r->priority));
	r->body = bsh_http_request_take_body(r->http, &r->body_size);
	if (r->idempotency_key != NULL)
		bsh_journal_digest(r->method, r->path, r->body, r->body_size,
				   r->digest);
	bsh_http_request_set_handler(r->http, &http_handler, r);
	err = traffic_begin_request(r, deadline_us, options->repeatable,
				    options->stream);
	if (err != BSH_OK) {
		static const bsh_http_request_handler_t none = { NULL, NULL };

		bsh_http_request_set_handler(r->http, &none, NULL);
		refuse_and_free(r, err, "too many requests in progress",
				CAPACITY_RETRY_AFTER_MS);
	}
}

static void accept_model(traffic_request_t *r, bsh_openai_kind_t kind)
{
	const bsh_document_t *doc = &r->traffic->config->doc;
	char detail[BSH_OPENAI_DETAIL_SIZE];
	const bsh_doc_model_t *model;
	bsh_openai_request_t request;
	call_options_t options;
	const char *body;
	size_t size;
	bsh_error_t err;

	body = bsh_http_request_body(r->http, &size);
	err = bsh_openai_parse(&request, kind, body, size, detail);
	if (err != BSH_OK) {
		refuse_and_free(r, err, detail, 0);
		return;
	}
	model = bsh_document_model(doc, request.model);
	if (model == NULL) {
		snprintf(detail, sizeof(detail), "model: no model '%s'",
			 request.model);
		bsh_openai_finish(&request);
		refuse_and_free(r, BSH_ERR_NOT_FOUND, detail, 0);
		return;
	}
	options = (call_options_t){ model->deadline_ms, model->priority,
				    model->repeatable, request.stream };
	g_strlcpy(r->name, model->name, sizeof(r->name));
	traffic_make_key(r->key, model->name, false);
	r->path =
		g_strdup(kind == BSH_OPENAI_CHAT ? CHAT_PATH : COMPLETION_PATH);
	r->prefix_count = bsh_route_hash_prefix(r->key, request.prompt->str,
						request.prompt->len, r->prefix);
	bsh_openai_finish(&request);
	if (read_options(r, &options, detail))
		start_request(r, &options);
	else
		refuse_and_free(r, BSH_ERR_INVALID, detail, 0);
}

static void accept_service(traffic_request_t *r)
{
	const bsh_document_t *doc = &r->traffic->config->doc;
	const char *target =
		bsh_http_request_target(r->http) + sizeof(SERVICES_PREFIX) - 1;
	size_t name_size = strcspn(target, "/?");
	g_autofree char *name = g_strndup(target, name_size);
	const bsh_doc_service_t *service = bsh_document_service(doc, name);
	char detail[BSH_OPENAI_DETAIL_SIZE];
	call_options_t options;

	if (service == NULL) {
		snprintf(detail, sizeof(detail), "no service '%.100s'", name);
		refuse_and_free(r, BSH_ERR_NOT_FOUND, detail, 0);
		return;
	}
	options = (call_options_t){ service->deadline_ms, 0,
				    service->repeatable, false };
	g_strlcpy(r->name, service->name, sizeof(r->name));
	traffic_make_key(r->key, service->name, true);
	r->is_service = true;
	r->path = g_strconcat(target[name_size] == '/' ? "" : "/",
			      target + name_size, NULL);
	if (read_options(r, &options, detail))
		start_request(r, &options);
	else
		refuse_and_free(r, BSH_ERR_INVALID, detail, 0);
}

static void list_models(router_traffic_t *t, bsh_http_request_t *http)
{
	bsh_http_response_add_header(http, "Content-Type", "application/json");
	bsh_http_response_send(http, 200, t->models_body->str,
			       t->models_body->len);
}

/* Reason for which no request is accepted now, or BSH_OK. */
static bsh_error_t check_accepting(router_traffic_t *t)
{
	if (!bsh_drain_accepts(&t->drain))
		return BSH_ERR_DRAINING;
	if (t->config == NULL || !traffic_is_fresh(t, bsh_loop_now_us(t->loop)))
		return BSH_ERR_STALE_CONFIG;
	return BSH_OK;
}

static void dispatch(router_traffic_t *t, bsh_http_request_t *http)
{
	const char *path = bsh_http_request_path(http);
	const char *method = bsh_http_request_method(http);
	bool is_chat = strcmp(path, CHAT_PATH) == 0;
	bool is_completion = strcmp(path, COMPLETION_PATH) == 0;
	bool is_models = strcmp(path, "/v1/models") == 0;
	bool is_service = g_str_has_prefix(path, SERVICES_PREFIX);

	if (!is_chat && !is_completion && !is_models && !is_service) {
		refuse(t, http, BSH_ERR_NOT_FOUND, "no such path", 0);
	} else if (!is_service &&
		   strcmp(method, is_models ? "GET" : "POST") != 0) {
		bsh_http_response_add_header(http, "Allow",
					     is_models ? "GET" : "POST");
		refuse(t, http, BSH_ERR_UNSUPPORTED, NULL, 0);
	} else if (is_models) {
		list_models(t, http);
	} else {
		bsh_drain_admit(&t->drain);
		if (is_service)
			accept_service(new_request(t, http));
		else
			accept_model(new_request(t, http),
				     is_chat ? BSH_OPENAI_CHAT
					     : BSH_OPENAI_COMPLETION);
	}
}

void traffic_on_request(void *ctx, bsh_http_request_t *http)
{
	router_traffic_t *t = ctx;
	bsh_error_t err = check_accepting(t);

	bsh_counter_add(&router_counters.requests, 1);
	if (err == BSH_ERR_DRAINING)
		refuse(t, http, err, NULL, DRAIN_RETRY_AFTER_MS);
	else if (err != BSH_OK)
		refuse(t, http, err, NULL, STALE_RETRY_AFTER_MS);
	else
		dispatch(t, http);
	traffic_schedule_task(t);
}

void traffic_on_too_large(void *ctx, bsh_http_request_t *http)
{
	router_traffic_t *t = ctx;
	char detail[80];

	snprintf(detail, sizeof(detail), "body: is longer than %u bytes",
		 t->router->settings.router_body_max_bytes);
	bsh_counter_add(&router_counters.requests, 1);
	refuse(t, http, BSH_ERR_TOO_LARGE, detail, 0);
}
