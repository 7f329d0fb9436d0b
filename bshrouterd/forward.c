#include <string.h>

#include "coordination/journal.h"
#include "traffic.h"

static int64_t now_us(const traffic_call_t *c)
{
	return bsh_loop_now_us(c->request->traffic->loop);
}

traffic_call_t *traffic_call(traffic_request_t *r)
{
	uint32_t attempt = r->attempt.id.attempt;

	if (attempt != 0 && r->calls[1].id.attempt == attempt)
		return &r->calls[1];
	return &r->calls[0];
}

/* The response to the caller. */

static void add_response_headers(const traffic_call_t *c, bool complete)
{
	bsh_http_request_t *http = c->request->http;

	for (guint i = 0; i + 1 < c->response_headers->len; i += 2)
		bsh_http_response_add_header(
			http, g_ptr_array_index(c->response_headers, i),
			g_ptr_array_index(c->response_headers, i + 1));
	if (c->content_type[0] != '\0')
		bsh_http_response_add_header(http, "Content-Type",
					     c->content_type);
	bsh_http_response_add_header(http, "X-Request-Id", c->id_text);
	/* While the response is still arriving, its outcome is unknown. */
	if (complete)
		bsh_http_response_add_header(
			http, "Berylshunt-Outcome",
			bsh_outcome_name(BSH_OUTCOME_ANSWERED));
}

static void begin_response(const traffic_call_t *c)
{
	traffic_request_t *r = c->request;

	if (r->head_sent)
		return;
	r->head_sent = true;
	add_response_headers(c, false);
	bsh_http_response_begin(r->http, c->status, c->length);
}

static void write_response(traffic_call_t *c, const char *data, size_t size)
{
	bsh_http_request_t *http = c->request->http;

	if (size == 0 || http == NULL)
		return;
	if (bsh_http_response_write(http, data, size) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES &&
	    c->call != NULL) {
		c->paused = true;
		bsh_http_call_pause(c->call);
	}
}

void traffic_resume_call(traffic_request_t *r)
{
	traffic_call_t *c = traffic_call(r);

	if (!c->paused)
		return;
	c->paused = false;
	if (c->call != NULL)
		bsh_http_call_resume(c->call);
}

/*
 * Sends the held body and the first complete bytes of data, if complete is not
 * 0, and holds the rest.  In a stream, complete ends at an event boundary, so
 * that an error event can follow if the stream breaks.
 */
static void forward_body(traffic_call_t *c, const char *data, size_t size,
			 size_t complete)
{
	const traffic_request_t *r = c->request;

	if (r->http == NULL || r->detached) {
		g_string_truncate(c->held_body, 0);
		return;
	}
	begin_response(c);
	if (complete > 0) {
		write_response(c, c->held_body->str, c->held_body->len);
		g_string_truncate(c->held_body, 0);
		write_response(c, data, complete);
	}
	if (complete < size)
		g_string_append_len(c->held_body, data + complete,
				    (gssize)(size - complete));
}

void traffic_flush_body(traffic_request_t *r)
{
	traffic_call_t *c = traffic_call(r);

	if (c->event_stream)
		return;
	forward_body(c, "", 0, 0);
	write_response(c, c->held_body->str, c->held_body->len);
	g_string_truncate(c->held_body, 0);
}

void traffic_set_response(traffic_request_t *r, const router_result_t *result)
{
	traffic_call_t *c = traffic_call(r);

	c->status = (int)result->status;
	g_strlcpy(c->content_type, result->content_type,
		  sizeof(c->content_type));
	g_string_truncate(c->held_body, 0);
	g_string_append_len(c->held_body, (const char *)result->body,
			    (gssize)result->body_bytes);
}

void traffic_finish_response(traffic_request_t *r)
{
	traffic_call_t *c = traffic_call(r);

	if (r->http == NULL || r->detached)
		return;
	if (r->head_sent) {
		/* What is held of a stream is a partial event; drop it. */
		if (!c->event_stream)
			write_response(c, c->held_body->str, c->held_body->len);
		bsh_http_response_end(r->http);
		return;
	}
	r->head_sent = true;
	add_response_headers(c, true);
	bsh_http_response_send(r->http, c->status, c->held_body->str,
			       c->held_body->len);
}

void traffic_finish_error(traffic_request_t *r, bsh_error_t err,
			  bsh_outcome_t outcome, int64_t retry_after_ms)
{
	traffic_call_t *c = traffic_call(r);
	g_autoptr(GString) event = NULL;
	bsh_problem_t problem;

	if (r->http == NULL || r->detached)
		return;
	bsh_problem_init(&problem, err);
	problem.outcome = outcome;
	problem.request_id = c->id_text[0] != '\0' ? c->id_text : NULL;
	if (bsh_error_info(err)->retry_after)
		problem.retry_after_ms = retry_after_ms;
	if (!r->head_sent) {
		traffic_send_problem(r->http, &problem);
		return;
	}
	if (!c->event_stream) {
		bsh_http_response_abort(r->http);
		return;
	}
	event = g_string_new(NULL);
	bsh_problem_event(&problem, event);
	write_response(c, event->str, event->len);
	bsh_http_response_end(r->http);
}

/* The call to the target. */

static void on_sent(void *ctx)
{
	traffic_call_t *c = ctx;

	bsh_attempt_sent(&c->request->traffic->attempts, &c->id, now_us(c));
	traffic_note_sent(c);
	traffic_schedule_task(c->request->traffic);
}

static bool is_header_name(const char *name, size_t size, const char *expected)
{
	return strlen(expected) == size &&
	       g_ascii_strncasecmp(name, expected, size) == 0;
}

static void copy_header_value(char *out, size_t out_size, const char *value,
			      size_t size)
{
	g_strlcpy(out, value, MIN(out_size, size + 1));
}

/* Evaluates a response header; true if it must not be forwarded. */
static bool parse_header(traffic_call_t *c, const char *name, size_t size,
			 const char *value, size_t value_size)
{
	char number[24] = "";

	if (is_header_name(name, size, "Content-Length")) {
		copy_header_value(number, sizeof(number), value, value_size);
		c->length = g_ascii_strtoll(number, NULL, 10);
	} else if (is_header_name(name, size, "Transfer-Encoding")) {
		c->chunked = true;
	} else if (is_header_name(name, size, "Content-Type")) {
		copy_header_value(c->content_type, sizeof(c->content_type),
				  value, value_size);
		c->event_stream =
			g_ascii_strncasecmp(c->content_type,
					    "text/event-stream", 17) == 0;
	} else if (is_header_name(name, size, "X-Request-Id")) {
		/* A truncated value matches no id, so the response is
		 * rejected. */
		copy_header_value(c->response_request_id,
				  sizeof(c->response_request_id), value,
				  value_size);
	} else if (is_header_name(name, size, "Berylshunt-Outcome")) {
		c->not_run =
			value_size == 7 && strncmp(value, "not-run", 7) == 0;
	} else {
		return is_header_name(name, size, "Connection") ||
		       is_header_name(name, size, "Keep-Alive") ||
		       is_header_name(name, size, "Trailer") ||
		       is_header_name(name, size, "Upgrade") ||
		       is_header_name(name, size, "Proxy-Authenticate") ||
		       is_header_name(name, size, "Date");
	}
	return true;
}

static void on_header(void *ctx, const char *name, size_t name_size,
		      const char *value, size_t value_size)
{
	traffic_call_t *c = ctx;

	if (parse_header(c, name, name_size, value, value_size))
		return;
	g_ptr_array_add(c->response_headers, g_strndup(name, name_size));
	g_ptr_array_add(c->response_headers, g_strndup(value, value_size));
}

static void on_head(void *ctx, int status)
{
	traffic_call_t *c = ctx;
	bsh_answer_head_t head = {
		.status = (uint16_t)status,
		.request_id = c->response_request_id[0] != '\0'
				      ? c->response_request_id
				      : NULL,
		.length = c->length,
		.chunked = c->chunked,
		.event_stream = c->event_stream,
		.not_run = c->not_run,
	};

	c->status = status;
	/* These have no body, whatever Content-Length says. */
	if (status == 204 || status == 304 ||
	    strcmp(c->request->method, "HEAD") == 0)
		head.length = 0;
	bsh_attempt_head(&c->request->traffic->attempts, &c->id, &head,
			 now_us(c));
	traffic_schedule_task(c->request->traffic);
}

static void record_first_byte(traffic_call_t *c)
{
	traffic_request_t *r = c->request;
	router_traffic_t *t = r->traffic;

	if (c->first_byte_seen)
		return;
	c->first_byte_seen = true;
	bsh_admission_first_byte(&t->admission, r->key, now_us(c) - c->sent_us,
				 now_us(c));
	bsh_route_first_byte(&t->route, &r->attempt.target, now_us(c));
}

/*
 * Number of bytes up to the end of the last whole event, or -1 if an event is
 * too large or follows [DONE].  *done is set on the [DONE] event.
 */
static ssize_t scan_events(traffic_call_t *c, const char *data, size_t size,
			   bool *done)
{
	bsh_sse_result_t result;

	if (!c->event_stream)
		return (ssize_t)size;
	if (bsh_sse_feed(&c->sse, data, size, &result) != BSH_OK)
		return -1;
	bsh_counter_add(&router_counters.events, result.events);
	*done = result.done;
	return (ssize_t)result.complete_bytes;
}

static void append_journal_body(traffic_call_t *c, const char *data,
				size_t size)
{
	if (c->request->idempotency_key == NULL)
		return;
	if (c->journal_body == NULL)
		c->journal_body = g_string_new(NULL);
	if (c->journal_body->len <= BSH_JOURNAL_BODY_MAX_BYTES)
		g_string_append_len(c->journal_body, data, (gssize)size);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	traffic_call_t *c = ctx;
	bsh_attempts_t *attempts = &c->request->traffic->attempts;
	bool done = false;
	ssize_t complete;

	record_first_byte(c);
	bsh_counter_add(&router_counters.body_bytes, (int64_t)size);
	complete = scan_events(c, data, size, &done);
	if (complete < 0) {
		bsh_request_id_t id = c->id;

		traffic_cancel_call(c);
		bsh_attempt_failed(attempts, &id, now_us(c));
		traffic_schedule_task(c->request->traffic);
		return;
	}
	switch (bsh_attempt_body(attempts, &c->id, size, done, now_us(c))) {
	case BSH_ANSWER_DROP:
		traffic_schedule_task(c->request->traffic);
		return;
	case BSH_ANSWER_HOLD:
		/* Without a caller only journal_body is needed. */
		if (c->request->http != NULL && !c->request->detached)
			g_string_append_len(c->held_body, data, (gssize)size);
		break;
	case BSH_ANSWER_FORWARD:
		forward_body(c, data, size, (size_t)complete);
		break;
	}
	append_journal_body(c, data, size);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	traffic_call_t *c = ctx;
	bsh_attempts_t *attempts = &c->request->traffic->attempts;
	bsh_request_id_t id = c->id;

	c->call = NULL;
	c->paused = false;
	if (result->err == BSH_OK)
		bsh_attempt_end(attempts, &id, now_us(c));
	else
		bsh_attempt_failed(attempts, &id, now_us(c));
	traffic_schedule_task(c->request->traffic);
}

static const bsh_http_handler_t call_handler = {
	.on_sent = on_sent,
	.on_header = on_header,
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void reset_response(traffic_call_t *c)
{
	c->first_byte_seen = false;
	c->paused = false;
	c->status = 0;
	c->length = -1;
	c->chunked = false;
	c->event_stream = false;
	c->not_run = false;
	c->response_request_id[0] = '\0';
	c->content_type[0] = '\0';
	g_ptr_array_set_size(c->response_headers, 0);
	g_string_truncate(c->held_body, 0);
	if (c->journal_body != NULL)
		g_string_truncate(c->journal_body, 0);
	bsh_sse_finish(&c->sse);
	bsh_sse_init(&c->sse, NULL, NULL);
}

void traffic_cancel_call(traffic_call_t *c)
{
	if (c->call != NULL)
		bsh_http_call_cancel(c->call);
	c->call = NULL;
	c->paused = false;
	g_string_truncate(c->held_body, 0);
}

traffic_call_t *traffic_prepare_call(traffic_request_t *r)
{
	uint32_t kept = r->attempt.other.attempt;
	traffic_call_t *c = &r->calls[0];

	if (bsh_attempt_kept_target(&r->attempt) != BSH_ROUTE_NONE &&
	    c->id.attempt == kept)
		c = &r->calls[1];
	reset_response(c);
	c->id = r->attempt.id;
	bsh_request_id_print(&c->id, c->id_text);
	return c;
}

void traffic_calls_init(traffic_request_t *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(r->calls); i++) {
		traffic_call_t *c = &r->calls[i];

		c->request = r;
		c->length = -1;
		c->response_headers = g_ptr_array_new_with_free_func(g_free);
		c->held_body = g_string_new(NULL);
		bsh_sse_init(&c->sse, NULL, NULL);
	}
}

void traffic_calls_finish(traffic_request_t *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(r->calls); i++) {
		traffic_call_t *c = &r->calls[i];

		bsh_sse_finish(&c->sse);
		g_string_free(c->held_body, TRUE);
		if (c->journal_body != NULL)
			g_string_free(c->journal_body, TRUE);
		g_ptr_array_free(c->response_headers, TRUE);
	}
}

bsh_error_t traffic_start_call(traffic_call_t *c, const char *address)
{
	traffic_request_t *r = c->request;
	const bsh_attempts_config_t *config = &r->traffic->attempts.config;
	g_autofree char *url = g_strconcat("http://", address, r->path, NULL);
	guint count = r->headers->len;
	bsh_http_call_spec_t spec = {
		.method = r->method,
		.url = url,
		.body = r->body_size > 0 ? r->body : NULL,
		.body_size = r->body_size,
		.connect_timeout_ms = (uint32_t)(config->connect_us / 1000),
		/* The attempt module enforces the idle timeout. */
		.idle_timeout_ms =
			(uint32_t)(BSH_ATTEMPT_DURATION_MAX_US / 1000),
		.fresh_connection = !r->attempt.spec.repeatable,
		.body_is_static = true,
	};
	bsh_error_t err;

	c->sent_us = now_us(c);
	g_ptr_array_add(r->headers,
			g_strdup_printf("X-Request-Id: %s", c->id_text));
	g_ptr_array_add(r->headers, NULL);
	spec.headers = (const char *const *)r->headers->pdata;
	err = bsh_http_client_start(r->traffic->client, &spec, &call_handler, c,
				    &c->call);
	/* X-Request-Id is for this attempt only. */
	g_ptr_array_set_size(r->headers, (gint)count);
	return err;
}
