/* What libcurl receives for a call: checked, and passed to its handler. */
#include <string.h>

#include "transport/http_call.h"

/* Bound of all header lines of a response: interim ones, final ones and
 * trailers. */
#define HEAD_MAX_BYTES (64U << 10)
/* Lowest status that is no success. */
#define STATUS_REDIRECT 300

static const char excess_fault[] = "bytes behind the end of the body";

/* Ends the call with BSH_ERR_MALFORMED; fault says what is wrong. */
static void refuse_response(bsh_http_call_t *call, const char *fault)
{
	if (call->err != BSH_OK)
		return;
	call->err = BSH_ERR_MALFORMED;
	g_strlcpy(call->detail, fault, sizeof(call->detail));
}

/* A line that bsh_http_check_line() has accepted. */
static void pass_header(bsh_http_call_t *call, const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);
	const char *value = colon + 1;
	size_t name_size = (size_t)(colon - line);
	size_t value_size = size - name_size - 1;

	while (value_size > 0 && (*value == ' ' || *value == '\t')) {
		value++;
		value_size--;
	}
	while (value_size > 0 && g_ascii_isspace(value[value_size - 1]))
		value_size--;
	if (call->handler.on_header != NULL)
		call->handler.on_header(call->ctx, line, name_size, value,
					value_size);
}

/* libcurl reads no further than the end of the body.  Bytes in the socket behind
 * it show that the server sent more than the length says.  Bytes that arrive
 * later are not detected. */
static void check_end(bsh_http_call_t *call)
{
	if (!call->has_no_body && bsh_http_check_is_complete(&call->check) &&
	    bsh_http_connection_has_input(call->connection))
		refuse_response(call, excess_fault);
}

static void on_head_complete(bsh_http_call_t *call)
{
	check_end(call);
	if (call->err != BSH_OK)
		return;
	call->status = call->check.status;
	/* From here on libcurl passes the bytes of the body before it decodes
	 * them, see on_curl_debug(). */
	curl_easy_setopt(call->easy, CURLOPT_VERBOSE, 1L);
	if (call->handler.on_head != NULL)
		call->handler.on_head(call->ctx, call->status);
}

static void check_head_line(bsh_http_call_t *call, const char *line,
			    size_t size)
{
	bool is_status_line = call->check.status == 0;
	const char *fault = bsh_http_check_line(&call->check, line, size);

	if (fault != NULL)
		refuse_response(call, fault);
	else if (call->check.head_complete)
		on_head_complete(call);
	/* The fields of an interim response are not those of the final one. */
	else if (!is_status_line && call->check.status >= 200)
		pass_header(call, line, size);
}

static size_t on_curl_header(char *data, size_t unit, size_t count, void *ctx)
{
	bsh_http_call_t *call = ctx;
	size_t size = unit * count;

	call->last_active_us = call->client->loop->now_us;
	if (call->cancelled)
		return 0;
	call->head_bytes += size;
	if (call->head_bytes > HEAD_MAX_BYTES) {
		call->err = BSH_ERR_TOO_LARGE;
		return 0;
	}
	/* Trailers are ignored; on_curl_debug() has checked them. */
	if (call->check.head_complete)
		return call->err == BSH_OK ? size : 0;
	check_head_line(call, data, size);
	return call->cancelled || call->err != BSH_OK ? 0 : size;
}

/* Called with the bytes behind the head as they were received.  Of bytes behind
 * a response without a body libcurl tells only in a message.  The call ends in
 * the next callback, or in the task if there is none: libcurl does not report the
 * extensions of chunks. */
static int on_curl_debug(CURL *easy, curl_infotype type, char *data,
			 size_t size, void *ctx)
{
	static const char excess[] = "Excess found";
	bsh_http_call_t *call = ctx;
	const char *fault = NULL;

	(void)easy;
	if (call->cancelled)
		return 0;
	if (type == CURLINFO_DATA_IN)
		fault = bsh_http_check_body(&call->check, data, size);
	else if (type == CURLINFO_TEXT && !call->has_no_body &&
		 size >= sizeof(excess) - 1 &&
		 memcmp(data, excess, sizeof(excess) - 1) == 0)
		fault = excess_fault;
	if (fault != NULL)
		refuse_response(call, fault);
	else if (type == CURLINFO_DATA_IN)
		check_end(call);
	if (call->err != BSH_OK && !call->cancelled)
		bsh_http_call_fail_later(call);
	return 0;
}

static size_t on_curl_data(char *data, size_t unit, size_t count, void *ctx)
{
	bsh_http_call_t *call = ctx;
	size_t size = unit * count;

	if (call->cancelled || call->err != BSH_OK)
		return 0;
	/* libcurl passes the same data again when the transfer resumes. */
	if (call->paused)
		return CURL_WRITEFUNC_PAUSE;
	call->last_active_us = call->client->loop->now_us;
	call->body_bytes += (int64_t)size;
	if (call->handler.on_data != NULL) {
		call->handler.on_data(call->ctx, data, size);
		return call->cancelled ? 0 : size;
	}
	if (call->body->len + size > call->body_max_bytes) {
		call->err = BSH_ERR_TOO_LARGE;
		return 0;
	}
	g_string_append_len(call->body, data, (gssize)size);
	return size;
}

void bsh_http_response_set_callbacks(bsh_http_call_t *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_curl_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_curl_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_curl_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

/* libcurl does not report a reset that comes while it sends, if it reads the end
 * of the connection first.  An error status is passed on even if its body may be
 * cut: servers close early on requests that are too long. */
bool bsh_http_response_ends_by_close(const bsh_http_call_t *call)
{
	curl_off_t sent_bytes = 0;

	if (call->status >= STATUS_REDIRECT)
		return true;
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
	return call->is_end_orderly &&
	       sent_bytes >= (curl_off_t)call->request_body_bytes;
}
