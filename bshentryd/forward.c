/* One attempt of a request at one target. */
#include "traffic.h"

#include <string.h>

#include "base/log.h"
#include "protocol/relay_mark.h"

/* A body up to this size is buffered until it is complete, so that the request
 * can still be retried when the response breaks off. */
#define HELD_BODY_MAX_BYTES (256U << 10)
/* Longest body of a response; one without a length could go on for ever. */
#define BODY_MAX_BYTES (INT64_C(64) << 20)
/* A connection is set up within a few milliseconds; a target that is
 * partitioned or has lost power does not answer at all. */
#define CONNECT_TIMEOUT_MS 300U
/* The same while this instance is cut off: an open connection may still serve,
 * but a new one hardly ever. */
#define CONNECT_TIMEOUT_CUT_MS 100U

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

/* While memory is short nothing is held back: a response that breaks off then ends
 * with its connection. */
static size_t held_max_bytes(const traffic_t *t)
{
	return bsh_memory_budget_is_short(&t->memory) ? 0 : HELD_BODY_MAX_BYTES;
}

static void hold(attempt_t *a, const char *data, size_t size)
{
	g_string_append_len(a->held_body, data, (gssize)size);
	memory_held_changed(a->request->traffic, (int64_t)size);
}

void forward_drop_held(attempt_t *a)
{
	memory_held_changed(a->request->traffic, -(int64_t)a->held_body->len);
	g_string_truncate(a->held_body, 0);
}

static void add_headers(const attempt_t *a)
{
	const GPtrArray *headers = a->head.headers;

	for (guint i = 0; i + 1 < headers->len; i += 2)
		bsh_http_response_add_header(a->request->http,
					     g_ptr_array_index(headers, i),
					     g_ptr_array_index(headers, i + 1));
}

static void begin_answer(attempt_t *a, int64_t length)
{
	request_t *r = a->request;

	if (r->answer_begun)
		return;
	r->answer_begun = true;
	r->status = a->status;
	add_headers(a);
	bsh_http_response_begin(r->http, a->status, length);
}

static void write_answer(request_t *r, const char *data, size_t size)
{
	if (size == 0 || r->detached)
		return;
	if (bsh_http_response_write(r->http, data, size) >
		    BSH_HTTP_HIGH_WATERMARK_BYTES &&
	    r->attempt->call != NULL) {
		r->paused = true;
		bsh_http_call_pause(r->attempt->call);
	}
}

void forward_resume(request_t *r)
{
	if (!r->paused)
		return;
	r->paused = false;
	if (r->attempt->call != NULL)
		bsh_http_call_resume(r->attempt->call);
}

static void answer_held(attempt_t *a)
{
	request_t *r = a->request;

	add_headers(a);
	r->answer_begun = true;
	r->status = a->status;
	bsh_http_response_send(r->http, a->status, a->held_body->str,
			       a->held_body->len);
}

void forward_answer_failure(attempt_t *a)
{
	answer_held(a);
}

/* Ends the attempt, and cancels its call if it is still running. */
static void end_attempt(attempt_t *a, attempt_end_t end, bsh_error_t err)
{
	/* What the target sent is no answer; the request was not too large. */
	if (err == BSH_ERR_TOO_LARGE)
		err = BSH_ERR_MISMATCH;
	forward_cancel(a);
	attempts_ended(a, end, err);
}

/* The last check before the request leaves: it may have taken long to connect,
 * or the process may have been paused meanwhile, and its key may have been removed
 * or be one of another account than its header names. */
static bool may_send(void *ctx)
{
	attempt_t *a = ctx;

	a->withheld = forward_is_abandoned(a->request) ||
		      !accounts_are_unchanged(a->request);
	return !a->withheld;
}

static void on_sent(void *ctx)
{
	attempt_t *a = ctx;

	a->sent = true;
}

static void on_header(void *ctx, const char *name, size_t name_size,
		      const char *value, size_t value_size)
{
	attempt_t *a = ctx;

	platform_head_add(&a->head, name, name_size, value, value_size);
}

static void record_first_byte(attempt_t *a)
{
	request_t *r = a->request;
	int64_t now_us = traffic_now_us(r->traffic);

	if (a->spoke_us > 0)
		return;
	a->spoke_us = now_us;
	if (r->first_byte_us == 0)
		r->first_byte_us = now_us;
	if (!a->at_peer)
		engine_load_began(a, now_us - a->began_us);
}

static bool is_event_stream(const attempt_t *a)
{
	return a->head.event_stream && a->status == 200;
}

/* True if the response is the refusal of an earlier request, or may be one: it
 * names no attempt, and the connection has carried others. */
static bool is_doubtful_refusal(const attempt_t *a)
{
	return platform_head_is_refusal(&a->head, a->status) &&
	       a->head.attempt_id[0] == '\0' &&
	       bsh_http_call_is_reused(a->call);
}

/* True if the response must not reach the caller: it belongs to another attempt
 * or is a success that lacks the target's seal or was re-encoded on its way. */
static bool is_mismatched(const attempt_t *a)
{
	const platform_head_t *head = &a->head;

	if (head->attempt_id[0] != '\0' &&
	    strcmp(head->attempt_id, a->request->info.attempt_id) != 0)
		return true;
	return a->status >= 200 && a->status < 300 &&
	       (!head->sealed || head->encoded);
}

static void on_head(void *ctx, int status)
{
	attempt_t *a = ctx;
	request_t *r = a->request;

	a->status = status;
	a->head_received = true;
	if (is_mismatched(a) || is_doubtful_refusal(a)) {
		end_attempt(a, ATTEMPT_BROKEN, BSH_ERR_MISMATCH);
		return;
	}
	/* 421 may come from another target at the same address. */
	if (status != 421 && !a->at_peer) {
		limits_note_answer(a);
		notices_note_answer(a);
		places_note_answer(a);
	}
	if (platform_head_is_refusal(&a->head, status)) {
		end_attempt(a, ATTEMPT_REFUSED, BSH_ERR_REFUSED);
		return;
	}
	/* Only events can continue a stream of which a part was passed on. */
	if (r->answer_begun && !is_event_stream(a)) {
		end_attempt(a, ATTEMPT_BROKEN, BSH_ERR_CONNECTION_LOST);
		return;
	}
	/* A failure does not replace an attempt that may still answer, and the
	 * head of a stream says nothing about its events. */
	if (is_event_stream(a) || status >= 500)
		return;
	attempts_spoke(a);
	record_first_byte(a);
}

/* The answer is past its beginning: the request does not end its process. */
static void clear_suspects(attempt_t *a)
{
	traffic_t *t = a->request->traffic;
	suspects_t suspects;

	a->cleared = true;
	/* The instance that sent it to a target knows when. */
	if (a->at_peer)
		return;
	if (bsh_quarantine_size(&t->quarantine) == 0)
		return;
	suspects_of(a, &suspects);
	suspects_clear(t, &suspects);
}

static void on_event_data(attempt_t *a, const char *data, size_t size)
{
	request_t *r = a->request;
	bsh_error_t err;

	/* Bytes of an event that is not complete show no progress of the first
	 * target: a stalled one may send some now and then. */
	if (a == r->handover)
		attempts_spoke(a);
	g_string_truncate(r->events, 0);
	err = bsh_event_relay_feed(&r->relay, data, size, r->events);
	if (r->events->len > 0)
		attempts_spoke(a);
	if (r->events->len > 0 && !stream_origin_bind(r, a)) {
		end_attempt(a, ATTEMPT_BROKEN, BSH_ERR_NOT_RESUMABLE);
		return;
	}
	if (r->events->len > 0) {
		r->last_active_us = traffic_now_us(r->traffic);
		r->stream_deadline_us = r->last_active_us + r->patience_us;
		record_first_byte(a);
		begin_answer(a, -1);
		write_answer(r, r->events->str, r->events->len);
	}
	if (err != BSH_OK) {
		end_attempt(a, ATTEMPT_BROKEN, err);
	} else if (!a->cleared && a->spoke_us > 0 &&
		   traffic_now_us(r->traffic) - a->spoke_us >=
			   BSH_ANSWER_BEGINNING_US) {
		clear_suspects(a);
	}
}

static void on_data(void *ctx, const char *data, size_t size)
{
	attempt_t *a = ctx;
	request_t *r = a->request;

	a->body_bytes += (int64_t)size;
	if (a->body_bytes > BODY_MAX_BYTES) {
		end_attempt(a, ATTEMPT_BROKEN, BSH_ERR_TOO_LARGE);
		return;
	}
	if (is_event_stream(a)) {
		on_event_data(a, data, size);
		return;
	}
	if (!r->answer_begun) {
		hold(a, data, size);
		if (a->held_body->len <= held_max_bytes(r->traffic))
			return;
		attempts_spoke(a);
		begin_answer(a, a->head.length);
		write_answer(r, a->held_body->str, a->held_body->len);
		forward_drop_held(a);
		return;
	}
	write_answer(r, data, size);
}

/* A complete answer shows that its request ends no process.  Without a length the
 * end of the process may look like the end of the answer. */
static void clear_complete(attempt_t *a)
{
	if (a->cleared || a->at_peer || a->status < 200 || a->status >= 300 ||
	    !suspects_are_accused(a->request))
		return;
	if (a->head.length >= 0 || a->head.chunked)
		clear_suspects(a);
	else
		target_end_verify(a);
}

/* A stream without a length that ends before its first event was broken off. */
static bool is_empty_stream(const attempt_t *a)
{
	return a->spoke_us == 0 && a->head.length < 0 && !a->head.chunked;
}

static void finish_complete(attempt_t *a)
{
	request_t *r = a->request;

	if (is_event_stream(a)) {
		attempts_spoke(a);
		if (!bsh_event_relay_is_between_events(&r->relay) ||
		    is_empty_stream(a)) {
			end_attempt(a, ATTEMPT_BROKEN, BSH_ERR_CONNECTION_LOST);
			return;
		}
		clear_complete(a);
		begin_answer(a, -1);
		bsh_http_response_end(r->http);
		end_attempt(a, ATTEMPT_ANSWERED, BSH_OK);
	} else if (r->answer_begun) {
		clear_complete(a);
		bsh_http_response_end(r->http);
		end_attempt(a, ATTEMPT_ANSWERED, BSH_OK);
	} else if (a->status >= 500) {
		end_attempt(a, ATTEMPT_FAILED, BSH_ERR_CONNECTION_LOST);
	} else {
		clear_complete(a);
		answer_held(a);
		end_attempt(a, ATTEMPT_ANSWERED, BSH_OK);
	}
}

static void on_end(void *ctx, const bsh_http_result_t *result)
{
	attempt_t *a = ctx;

	a->call = NULL;
	a->refused = result->refused;
	if (a == a->request->attempt)
		a->request->paused = false;
	if (result->err == BSH_OK)
		finish_complete(a);
	else if (!result->sent)
		end_attempt(
			a, a->withheld ? ATTEMPT_WITHHELD : ATTEMPT_NOT_REACHED,
			BSH_ERR_CONNECT);
	else
		end_attempt(a, ATTEMPT_BROKEN, result->err);
}

static const bsh_http_handler_t call_handler = {
	.may_send = may_send,
	.on_sent = on_sent,
	.on_header = on_header,
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

void forward_cancel(attempt_t *a)
{
	if (a->call != NULL)
		bsh_http_call_cancel(a->call);
	a->call = NULL;
	if (a == a->request->attempt)
		a->request->paused = false;
}

static void reset_attempt(attempt_t *a)
{
	platform_head_reset(&a->head);
	a->status = 0;
	a->head_received = false;
	a->spoke_us = 0;
	a->body_bytes = 0;
	a->cleared = false;
	a->sent = false;
	a->withheld = false;
	a->refused = false;
	forward_drop_held(a);
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

bsh_error_t forward_start(attempt_t *a, const char *address)
{
	request_t *r = a->request;
	char event_id[BSH_EVENT_ID_SIZE];
	char mark[BSH_RELAY_MARK_SIZE];
	char key[BSH_ACCOUNT_KEY_HEX_SIZE];
	platform_forward_t forward = {
		.target = a->at_peer ? NULL : a->target_id,
		.deadline_ms = forward_time_left_ms(r),
		.priority = r->priority,
		.has_priority = r->service->has_engine,
		.has_accounts = r->has_accounts,
		.last_event_id = resume_event_id(r, event_id, sizeof(event_id)),
	};
	GPtrArray *headers;
	g_autofree char *url = g_strconcat("http://", address, r->path, NULL);
	bsh_http_call_spec_t spec = {
		.method = r->method,
		.url = url,
		.body = r->body_bytes > 0 ? r->body : NULL,
		.body_size = r->body_bytes,
		.connect_timeout_ms =
			MIN(CONNECT_TIMEOUT_MS, forward.deadline_ms),
		/* The timers of the request bound the time without data. */
		.idle_timeout_ms = 10 * 60 * 1000,
		/* An earlier refusal of the same attempt could be taken for
		 * the answer on a connection that was kept. */
		.fresh_connection = !r->repeatable || r->sends > 0,
		.body_is_static = true,
		.allow_close_delimited = true,
	};
	bool to_target_in_cut = !a->at_peer && reach_is_cut(r->traffic);
	bsh_error_t err;

	if (to_target_in_cut)
		spec.connect_timeout_ms =
			MIN(spec.connect_timeout_ms, CONNECT_TIMEOUT_CUT_MS);
	if (a->at_peer) {
		if (r->has_accounts && r->info.has_key) {
			bsh_account_key_encode(&r->info.key, key);
			forward.relay_key = key;
		}
		relays_mark(r, forward.relay_key, mark, sizeof(mark));
		forward.relay_mark = mark;
		forward.relay_version = r->catalog->version;
	}
	if (!a->at_peer && r->account[0] != '\0')
		forward.account = r->account;
	headers = platform_forward_headers(&r->info, &forward);
	spec.headers = (const char *const *)headers->pdata;
	reset_attempt(a);
	a->began_us = traffic_now_us(r->traffic);
	err = bsh_http_client_start(r->traffic->client, &spec, &call_handler, a,
				    &a->call);
	g_ptr_array_free(headers, TRUE);
	return err;
}
