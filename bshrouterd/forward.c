#include <string.h>

#include "coordination/journal.h"
#include "traffic.h"

static int64_t now_us(const traffic_request_t *r)
{
	return bsh_loop_now_us(r->traffic->loop);
}

/* The response to the caller. */

static void add_response_headers(traffic_request_t *r, bool complete)
{
	for (guint i = 0; i + 1 < r->response_headers->len; i += 2)
		bsh_http_response_add_header(
			r->http, g_ptr_array_index(r->response_headers, i),
			g_ptr_array_index(r->response_headers, i + 1));
	if (r->content_type[0] != '\0')
		bsh_http_response_add_header(r->http, "Content-Type",
					     r->content_type);
	bsh_http_response_add_header(r->http, "X-Request-Id", r->id_text);
	/* While the response is still arriving, its outcome is unknown. */
	if (complete)
		bsh_http_response_add_header(
			r->http, "Berylshunt-Outcome",
			bsh_outcome_name(BSH_OUTCOME_ANSWERED));
}

static void begin_response(traffic_request_t *r)
{
	if (r->head_sent)
		return;
	r->head_sent = true;
	add_response_headers(r, false);
	bsh_http_response_begin(r->http, r->status, r->length);
}

static void write_response(traffic_request_t *r, const char *data, size_t size)
{
	if (size == 0 || r->http == NULL)
		return;
	if (bsh_http_response_write(r->http, data, size) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES &&
	    r->call != NULL) {
		r->paused = true;
		bsh_http_call_pause(r->call);
	}
}

void traffic_resume_call(traffic_request_t *r)
{
	if (!r->paused)
		return;
	r->paused = false;
	if (r->call != NULL)
		bsh_http_call_resume(r->call);
}

/*
 * Sends the held body and the first complete bytes of data, if complete is not
 * 0, and holds the rest.  In a stream, complete ends at an event boundary, so
 * that an error event can follow if the stream breaks.
 */
static void forward_body(traffic_request_t *r, const char *data, size_t size,
			 size_t complete)
{
	if (r->http == NULL || r->detached) {
		g_string_truncate(r->held_body, 0);
		return;
	}
	begin_response(r);
	if (complete > 0) {
		write_response(r, r->held_body->str, r->held_body->len);
		g_string_truncate(r->held_body, 0);
		write_response(r, data, complete);
	}
	if (complete < size)
		g_string_append_len(r->held_body, data + complete,
				    (gssize)(size - complete));
}

void traffic_flush_body(traffic_request_t *r)
{
	if (r->event_stream)
		return;
	forward_body(r, "", 0, 0);
	write_response(r, r->held_body->str, r->held_body->len);
	g_string_truncate(r->held_body, 0);
}

void traffic_set_response(traffic_request_t *r, const router_result_t *result)
{
	r->status = (int)result->status;
	g_strlcpy(r->content_type, result->content_type,
		  sizeof(r->content_type));
	g_string_truncate(r->held_body, 0);
	g_string_append_len(r->held_body, (const char *)result->body,
			    (gssize)result->body_bytes);
}

void traffic_finish_response(traffic_request_t *r)
{
	if (r->http == NULL || r->detached)
		return;
	if (r->head_sent) {
		/* What is held of a stream is a partial event; drop it. */
		if (!r->event_stream)
			write_response(r, r->held_body->str, r->held_body->len);
		bsh_http_response_end(r->http);
		return;
	}
	r->head_sent = true;
	add_response_headers(r, true);
	bsh_http_response_send(r->http, r->status, r->held_body->str,
			       r->held_body->len);
}

void traffic_finish_error(traffic_request_t *r, bsh_error_t err,
			  bsh_outcome_t outcome, int64_t retry_after_ms)
{
	g_autoptr(GString) event = NULL;
	bsh_problem_t problem;

	if (r->http == NULL || r->detached)
		return;
	bsh_problem_init(&problem, err);
	problem.outcome = outcome;
	problem.request_id = r->id_text[0] != '\0' ? r->id_text : NULL;
	if (bsh_error_info(err)->retry_after)
		problem.retry_after_ms = retry_after_ms;
	if (!r->head_sent) {
		traffic_send_problem(r->http, &problem);
		return;
	}
	if (!r->event_stream) {
		bsh_http_response_abort(r->http);
		return;
	}
	event = g_string_new(NULL);
	bsh_problem_event(&problem, event);
	write_response(r, event->str, event->len);
	bsh_http_response_end(r->http);
}

/* The call to the target. */

static void on_sent(void *ctx)
{
	traffic_request_t *r = ctx;

	bsh_attempt_sent(&r->traffic->attempts, &r->id, now_us(r));
	traffic_note_sent(r);
	traffic_schedule_task(r->traffic);
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
static bool parse_header(traffic_request_t *r, const char *name, size_t size,
			 const char *value, size_t value_size)
{
	char number[24] = "";

	if (is_header_name(name, size, "Content-Length")) {
		copy_header_value(number, sizeof(number), value, value_size);
		r->length = g_ascii_strtoll(number, NULL, 10);
	} else if (is_header_name(name, size, "Transfer-Encoding")) {
		r->chunked = true;
	} else if (is_header_name(name, size, "Content-Type")) {
		copy_header_value(r->content_type, sizeof(r->content_type),
				  value, value_size);
		r->event_stream =
			g_ascii_strncasecmp(r->content_type,
					    "text/event-stream", 17) == 0;
	} else if (is_header_name(name, size, "X-Request-Id")) {
		/* A truncated value matches no id, so the response is
		 * rejected. */
		copy_header_value(r->response_request_id,
				  sizeof(r->response_request_id), value,
				  value_size);
	} else if (is_header_name(name, size, "Berylshunt-Outcome")) {
		r->not_run =
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
	traffic_request_t *r = ctx;

	if (parse_header(r, name, name_size, value, value_size))
		return;
	g_ptr_array_add(r->response_headers, g_strndup(name, name_size));
	g_ptr_array_add(r->response_headers, g_strndup(value, value_size));
}

static void on_head(void *ctx, int status)
{
	traffic_request_t *r = ctx;
	bsh_answer_head_t head = {
		.status = (uint16_t)status,
		.request_id = r->response_request_id[0] != '\0'
				      ? r->response_request_id
				      : NULL,
		.length = r->length,
		.chunked = r->chunked,
		.event_stream = r->event_stream,
		.not_run = r->not_run,
	};

	r->status = status;
	/* These have no body, whatever Content-Length says. */
	if (status == 204 || status == 304 || strcmp(r->method, "HEAD") == 0)
		head.length = 0;
	bsh_attempt_head(&r->traffic->attempts, &r->id, &head, now_us(r));
	traffic_schedule_task(r->traffic);
}

static void record_first_byte(traffic_request_t *r)
{
	router_traffic_t *t = r->traffic;

	if (r->first_byte_seen)
		return;
	r->first_byte_seen = true;
	bsh_admission_first_byte(&t->admission, r->key, now_us(r) - r->sent_us,
				 now_us(r));
	bsh_route_first_byte(&t->route, &r->attempt.target, now_us(r));
}

/*
 * Number of bytes up to the end of the last whole event, or -1 if an event is
 * too large or follows [DONE].  *done is set on the [DONE] event.
 */
static ssize_t scan_events(traffic_request_t *r, const char *data, size_t size,
			   bool *done)
{
	bsh_sse_result_t result;

	if (!r->event_stream)
		return (ssize_t)size;
	if (bsh_sse_feed(&r->sse, data, size, &result) != BSH_OK)
		return -1;
	bsh_counter_add(&router_counters.events, result.events);
	*done = result.done;
	return (ssize_t)result.complete_bytes;
}

static void append_journal_body(traffic_request_t *r, const char *data,
				size_t size)
{
	if (r->idempotency_key == NULL)
		return;
	if (r->journal_body == NULL)
		r->journal_body = g_string_new(NULL);
	if (r->journal_body->len <= BSH_JOURNAL_BODY_MAX_BYTES)
		g_string_append_len(r->journal_body, data, (gssize)size);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	traffic_request_t *r = ctx;
	bsh_attempts_t *attempts = &r->traffic->attempts;
	bool done = false;
	ssize_t complete;

	record_first_byte(r);
	bsh_counter_add(&router_counters.body_bytes, (int64_t)size);
	complete = scan_events(r, data, size, &done);
	if (complete < 0) {
		bsh_request_id_t id = r->id;

		traffic_cancel_call(r);
		bsh_attempt_failed(attempts, &id, now_us(r));
		traffic_schedule_task(r->traffic);
		return;
	}
	switch (bsh_attempt_body(attempts, &r->id, size, done, now_us(r))) {
	case BSH_ANSWER_DROP:
		traffic_schedule_task(r->traffic);
		return;
	case BSH_ANSWER_HOLD:
		/* Without a caller only journal_body is needed. */
		if (r->http != NULL && !r->detached)
			g_string_append_len(r->held_body, data, (gssize)size);
		break;
	case BSH_ANSWER_FORWARD:
		forward_body(r, data, size, (size_t)complete);
		break;
	}
	append_journal_body(r, data, size);
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	traffic_request_t *r = ctx;
	bsh_attempts_t *attempts = &r->traffic->attempts;
	bsh_request_id_t id = r->id;

	r->call = NULL;
	r->paused = false;
	if (result->err == BSH_OK)
		bsh_attempt_end(attempts, &id, now_us(r));
	else
		bsh_attempt_failed(attempts, &id, now_us(r));
	traffic_schedule_task(r->traffic);
}

static const bsh_http_handler_t call_handler = {
	.on_sent = on_sent,
	.on_header = on_header,
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void reset_response(traffic_request_t *r)
{
	r->first_byte_seen = false;
	r->paused = false;
	r->status = 0;
	r->length = -1;
	r->chunked = false;
	r->event_stream = false;
	r->not_run = false;
	r->response_request_id[0] = '\0';
	r->content_type[0] = '\0';
	g_ptr_array_set_size(r->response_headers, 0);
	g_string_truncate(r->held_body, 0);
	if (r->journal_body != NULL)
		g_string_truncate(r->journal_body, 0);
	bsh_sse_finish(&r->sse);
	bsh_sse_init(&r->sse, NULL, NULL);
}

void traffic_cancel_call(traffic_request_t *r)
{
	if (r->call != NULL)
		bsh_http_call_cancel(r->call);
	r->call = NULL;
	r->paused = false;
	g_string_truncate(r->held_body, 0);
}

bsh_error_t traffic_start_call(traffic_request_t *r, const char *address)
{
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

	reset_response(r);
	r->id = r->attempt.id;
	bsh_request_id_print(&r->id, r->id_text);
	r->sent_us = now_us(r);
	g_ptr_array_add(r->headers,
			g_strdup_printf("X-Request-Id: %s", r->id_text));
	g_ptr_array_add(r->headers, NULL);
	spec.headers = (const char *const *)r->headers->pdata;
	err = bsh_http_client_start(r->traffic->client, &spec, &call_handler, r,
				    &r->call);
	/* X-Request-Id is for this attempt only. */
	g_ptr_array_set_size(r->headers, (gint)count);
	return err;
}
