/* One attempt of a request at one target. */
#include "traffic.h"

#include <string.h>

#include "base/log.h"

/* A body up to this size is buffered until it is complete, so that the request
 * can still be retried when the response breaks off. */
#define HELD_BODY_MAX_BYTES (256U << 10)
/* A connection is set up within a few milliseconds; a target that is
 * partitioned or has lost power does not answer at all. */
#define CONNECT_TIMEOUT_MS 300U

uint32_t forward_time_left_ms(const request_t *r)
{
	int64_t now_us = traffic_now_us(r->traffic);
	int64_t until_us = MIN(r->client_deadline_us, r->timeout_us);

	return until_us > now_us + 1000 ? (uint32_t)((until_us - now_us) / 1000)
					: 1;
}

bool forward_is_abandoned(const request_t *r)
{
	return bsh_loop_clock_us() >=
		       MIN(r->client_deadline_us, r->timeout_us) ||
	       !bsh_http_request_is_connected(r->http);
}

static void add_headers(const request_t *r)
{
	for (guint i = 0; i + 1 < r->head.headers->len; i += 2)
		bsh_http_response_add_header(
			r->http, g_ptr_array_index(r->head.headers, i),
			g_ptr_array_index(r->head.headers, i + 1));
}

static void begin_answer(request_t *r, int64_t length)
{
	if (r->answer_begun)
		return;
	r->answer_begun = true;
	add_headers(r);
	bsh_http_response_begin(r->http, r->status, length);
}

static void write_answer(request_t *r, const char *data, size_t size)
{
	if (size == 0 || r->detached)
		return;
	if (bsh_http_response_write(r->http, data, size) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES &&
	    r->call != NULL) {
		r->paused = true;
		bsh_http_call_pause(r->call);
	}
}

void forward_resume(request_t *r)
{
	if (!r->paused)
		return;
	r->paused = false;
	if (r->call != NULL)
		bsh_http_call_resume(r->call);
}

static void answer_held(request_t *r)
{
	add_headers(r);
	r->answer_begun = true;
	bsh_http_response_send(r->http, r->status, r->held_body->str,
			       r->held_body->len);
}

void forward_answer_failure(request_t *r)
{
	answer_held(r);
}

/* Ends the attempt, and cancels its call if it is still running. */
static void end_attempt(request_t *r, attempt_end_t end, bsh_error_t err)
{
	bsh_loop_timer_stop(&r->inactivity_timer);
	forward_cancel(r);
	traffic_attempt_ended(r, end, err);
}

/* The last check before the request leaves: it may have taken long to connect,
 * or the process may have been paused meanwhile. */
static bool may_send(void *ctx)
{
	request_t *r = ctx;

	r->withheld = forward_is_abandoned(r);
	return !r->withheld;
}

static void on_sent(void *ctx)
{
	request_t *r = ctx;

	r->call_sent = true;
}

static void on_header(void *ctx, const char *name, size_t name_size,
		      const char *value, size_t value_size)
{
	request_t *r = ctx;

	platform_head_add(&r->head, name, name_size, value, value_size);
}

static void record_first_byte(request_t *r)
{
	int64_t now_us = traffic_now_us(r->traffic);

	if (r->first_byte_us == 0)
		r->first_byte_us = now_us;
	engine_load_began(r, now_us - r->call_began_us);
}

/* True if the response must not reach the caller: it belongs to another attempt
 * or is a success that lacks the target's seal or was re-encoded on its way. */
static bool is_mismatched(const request_t *r)
{
	const platform_head_t *head = &r->head;

	if (head->attempt_id[0] != '\0' &&
	    strcmp(head->attempt_id, r->info.attempt_id) != 0)
		return true;
	return r->status >= 200 && r->status < 300 &&
	       (!head->sealed || head->encoded);
}

static void on_head(void *ctx, int status)
{
	request_t *r = ctx;

	r->status = status;
	r->head_received = true;
	/* Only an event stream is watched for inactivity after its head: it may
	 * stall at any time. */
	if (!r->head.event_stream || status != 200)
		bsh_loop_timer_stop(&r->inactivity_timer);
	if (is_mismatched(r)) {
		end_attempt(r, ATTEMPT_BROKEN, BSH_ERR_MISMATCH);
		return;
	}
	if (platform_head_is_refusal(&r->head, status)) {
		end_attempt(r, ATTEMPT_REFUSED, BSH_ERR_REFUSED);
		return;
	}
	/* Only events can continue a stream of which a part was passed on. */
	if (r->answer_begun && (!r->head.event_stream || status != 200)) {
		end_attempt(r, ATTEMPT_BROKEN, BSH_ERR_CONNECTION_LOST);
		return;
	}
	if (!r->head.event_stream || status != 200)
		record_first_byte(r);
}

static void on_event_data(request_t *r, const char *data, size_t size)
{
	bsh_error_t err;

	g_string_truncate(r->events, 0);
	err = bsh_event_relay_feed(&r->relay, data, size, r->events);
	if (r->events->len > 0) {
		r->last_active_us = traffic_now_us(r->traffic);
		if (!r->answer_begun)
			record_first_byte(r);
		begin_answer(r, -1);
		write_answer(r, r->events->str, r->events->len);
	}
	if (err != BSH_OK)
		end_attempt(r, ATTEMPT_BROKEN, err);
}

static void on_data(void *ctx, const char *data, size_t size)
{
	request_t *r = ctx;

	if (r->head.event_stream && r->status == 200) {
		on_event_data(r, data, size);
		return;
	}
	if (!r->answer_begun) {
		g_string_append_len(r->held_body, data, (gssize)size);
		if (r->held_body->len <= HELD_BODY_MAX_BYTES)
			return;
		begin_answer(r, r->head.length);
		write_answer(r, r->held_body->str, r->held_body->len);
		g_string_truncate(r->held_body, 0);
		return;
	}
	write_answer(r, data, size);
}

static void finish_complete(request_t *r)
{
	if (r->head.event_stream && r->status == 200) {
		if (!bsh_event_relay_is_between_events(&r->relay)) {
			end_attempt(r, ATTEMPT_BROKEN, BSH_ERR_CONNECTION_LOST);
			return;
		}
		begin_answer(r, -1);
		bsh_http_response_end(r->http);
		end_attempt(r, ATTEMPT_ANSWERED, BSH_OK);
		return;
	}
	if (r->answer_begun) {
		bsh_http_response_end(r->http);
		end_attempt(r, ATTEMPT_ANSWERED, BSH_OK);
	} else if (r->status >= 500) {
		end_attempt(r, ATTEMPT_FAILED, BSH_ERR_CONNECTION_LOST);
	} else {
		answer_held(r);
		end_attempt(r, ATTEMPT_ANSWERED, BSH_OK);
	}
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	request_t *r = ctx;

	r->call = NULL;
	r->paused = false;
	r->refused = result->refused;
	if (result->err == BSH_OK)
		finish_complete(r);
	else if (!result->sent)
		end_attempt(
			r, r->withheld ? ATTEMPT_WITHHELD : ATTEMPT_NOT_REACHED,
			BSH_ERR_CONNECT);
	else
		end_attempt(r, ATTEMPT_BROKEN, result->err);
}

static const bsh_http_handler_t call_handler = {
	.may_send = may_send,
	.on_sent = on_sent,
	.on_header = on_header,
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

void forward_cancel(request_t *r)
{
	if (r->call != NULL)
		bsh_http_call_cancel(r->call);
	r->call = NULL;
	r->paused = false;
}

static void reset_attempt(request_t *r)
{
	platform_head_reset(&r->head);
	r->status = 0;
	r->head_received = false;
	r->call_sent = false;
	r->withheld = false;
	r->refused = false;
	r->paused = false;
	g_string_truncate(r->held_body, 0);
	bsh_event_relay_restart(&r->relay);
}

/* Value of Last-Event-Id that resumes the stream after the last event that was
 * passed on; NULL: none was. */
static const char *resume_event_id(const request_t *r, char *text, size_t size)
{
	if (r->relay.passed == 0)
		return NULL;
	g_snprintf(text, size, "%" G_GUINT64_FORMAT, r->relay.last_id);
	return text;
}

bsh_error_t forward_start(request_t *r, const view_target_t *target)
{
	char event_id[BSH_EVENT_ID_SIZE];
	platform_forward_t forward = {
		.target = target->id,
		.deadline_ms = forward_time_left_ms(r),
		.priority = r->route->priority,
		.has_priority = r->service->has_engine,
		.last_event_id = resume_event_id(r, event_id, sizeof(event_id)),
	};
	GPtrArray *headers = platform_forward_headers(&r->info, &forward);
	g_autofree char *url =
		g_strconcat("http://", target->address, r->path, NULL);
	bsh_http_call_spec_t spec = {
		.method = r->method,
		.url = url,
		.headers = (const char *const *)headers->pdata,
		.body = r->body_bytes > 0 ? r->body : NULL,
		.body_size = r->body_bytes,
		.connect_timeout_ms =
			MIN(CONNECT_TIMEOUT_MS, forward.deadline_ms),
		/* The timers of the request bound the time without data. */
		.idle_timeout_ms = 10 * 60 * 1000,
		.fresh_connection = !r->repeatable,
		.body_is_static = true,
		.allow_close_delimited = true,
	};
	bsh_error_t err;

	reset_attempt(r);
	r->call_began_us = traffic_now_us(r->traffic);
	err = bsh_http_client_start(r->traffic->client, &spec, &call_handler, r,
				    &r->call);
	g_ptr_array_free(headers, TRUE);
	return err;
}
