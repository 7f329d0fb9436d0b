#include "transport/http_server_private.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"

#define RESPONSE_BLOCK_BYTES 8192
/* A larger response buffer is freed when it becomes empty. */
#define BUFFER_KEEP_MAX_BYTES 16384

const char *bsh_http_request_method(const bsh_http_request_t *request)
{
	return request->method;
}

const char *bsh_http_request_target(const bsh_http_request_t *request)
{
	return request->target;
}

const char *bsh_http_request_path(const bsh_http_request_t *request)
{
	return request->path;
}

const char *bsh_http_request_argument(const bsh_http_request_t *request,
				      const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_GET_ARGUMENT_KIND,
					   name);
}

const char *bsh_http_request_header(const bsh_http_request_t *request,
				    const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_HEADER_KIND, name);
}

typedef struct {
	void (*fn)(void *ctx, const char *name, const char *value);
	void *ctx;
} header_visit_t;

static enum MHD_Result visit_header(void *ctx, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	const header_visit_t *visit = ctx;

	(void)kind;
	visit->fn(visit->ctx, name, value != NULL ? value : "");
	return MHD_YES;
}

void bsh_http_request_headers(const bsh_http_request_t *request,
			      void (*fn)(void *ctx, const char *name,
					 const char *value),
			      void *ctx)
{
	header_visit_t visit = { fn, ctx };

	MHD_get_connection_values(request->mhd, MHD_HEADER_KIND, visit_header,
				  &visit);
}

const char *bsh_http_request_body(const bsh_http_request_t *request,
				  size_t *size)
{
	if (size != NULL)
		*size = request->body != NULL ? request->body->len : 0;
	return request->body != NULL ? request->body->str : "";
}

char *bsh_http_request_take_body(bsh_http_request_t *request, size_t *size)
{
	GString *body = request->body;

	request->body = NULL;
	*size = body != NULL ? body->len : 0;
	return body != NULL ? g_string_free(body, FALSE) : g_strdup("");
}

bool bsh_http_request_is_connected(const bsh_http_request_t *request)
{
	ssize_t n;
	char byte;

	if (request->aborted || request->mhd == NULL)
		return false;
	if (request->connection == NULL || request->connection->fd < 0)
		return true;
	n = recv(request->connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

void bsh_http_request_set_handler(bsh_http_request_t *request,
				  const bsh_http_request_handler_t *handler,
				  void *ctx)
{
	request->handler = *handler;
	request->handler_ctx = ctx;
}

void bsh_http_response_add_header(bsh_http_request_t *request, const char *name,
				  const char *value)
{
	g_ptr_array_add(request->headers, g_strdup(name));
	g_ptr_array_add(request->headers, g_strdup(value));
}

static void note_progress(const bsh_http_request_t *request)
{
	if (request->connection != NULL)
		request->connection->moved_us =
			bsh_loop_now_us(request->server->loop);
}

static void begin_response(bsh_http_request_t *request, int status,
			   struct MHD_Response *response)
{
	GPtrArray *headers = request->headers;

	request->status = status;
	request->response = response;
	note_progress(request);
	/* libmicrohttpd rejects a header with a control character in its
	 * value; the response is sent without it. */
	for (guint i = 0; i + 1 < headers->len; i += 2)
		MHD_add_response_header(response, g_ptr_array_index(headers, i),
					g_ptr_array_index(headers, i + 1));
	if (request->server->closing)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	http_server_resume(request);
}

void bsh_http_response_send(bsh_http_request_t *request, int status,
			    const char *body, size_t size)
{
	if (request->reviewing) {
		http_server_send_refusal(request, status, body, size);
		return;
	}
	/* Queueing a second response would end the first as if complete. */
	if (request->response != NULL) {
		bsh_log(BSH_LOG_ERROR,
			"response-aborted begun_status=%d second_status=%d",
			request->status, status);
		bsh_http_response_abort(request);
		return;
	}
	request->ended = true;
	request->copied_bytes = size;
	http_server_buffered(request, (ssize_t)size);
	begin_response(request, status,
		       MHD_create_response_from_buffer(size,
						       (void *)(uintptr_t)body,
						       MHD_RESPMEM_MUST_COPY));
}

static size_t buffered_bytes(const bsh_http_request_t *request)
{
	return request->out->len - request->out_start;
}

bool http_server_has_unread(const bsh_http_request_t *request)
{
	if (request->response == NULL)
		return false;
	return request->out == NULL || buffered_bytes(request) > 0;
}

static void reset_write_buffer(bsh_http_request_t *request)
{
	request->out_start = 0;
	if (request->out->allocated_len > BUFFER_KEEP_MAX_BYTES) {
		g_string_free(request->out, TRUE);
		request->out = g_string_new(NULL);
	} else {
		g_string_truncate(request->out, 0);
	}
	if (request->want_drained) {
		request->want_drained = false;
		bsh_loop_task_schedule(&request->drained_task);
	}
}

static ssize_t read_response(void *ctx, uint64_t position, char *buffer,
			     size_t max)
{
	bsh_http_request_t *request = ctx;
	size_t n = MIN(max, buffered_bytes(request));

	(void)position;
	if (n > 0) {
		memcpy(buffer, request->out->str + request->out_start, n);
		request->out_start += n;
		note_progress(request);
		http_server_buffered(request, -(ssize_t)n);
		if (buffered_bytes(request) == 0)
			reset_write_buffer(request);
		return (ssize_t)n;
	}
	if (request->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (request->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	http_server_suspend(request);
	return 0;
}

void bsh_http_response_begin(bsh_http_request_t *request, int status,
			     int64_t content_length)
{
	request->out = g_string_new(NULL);
	begin_response(request, status,
		       MHD_create_response_from_callback(
			       content_length < 0 ? MHD_SIZE_UNKNOWN
						  : (uint64_t)content_length,
			       RESPONSE_BLOCK_BYTES, read_response, request,
			       NULL));
}

size_t bsh_http_response_write(bsh_http_request_t *request, const char *data,
			       size_t size)
{
	if (request->out_start > 0 &&
	    request->out_start >= request->out->len / 2) {
		g_string_erase(request->out, 0, (gssize)request->out_start);
		request->out_start = 0;
	}
	/* Until now there was nothing to read. */
	if (buffered_bytes(request) == 0)
		note_progress(request);
	g_string_append_len(request->out, data, (gssize)size);
	http_server_buffered(request, (ssize_t)size);
	if (buffered_bytes(request) > BSH_HTTP_HIGH_WATERMARK_BYTES)
		request->want_drained = true;
	http_server_resume(request);
	return buffered_bytes(request);
}

void bsh_http_response_end(bsh_http_request_t *request)
{
	request->ended = true;
	http_server_resume(request);
}

void bsh_http_response_abort(bsh_http_request_t *request)
{
	request->aborted = true;
	http_server_resume(request);
}
