#include "protocol/sse.h"

#include <string.h>

static const char done_text[] = "[DONE]";

void bsh_sse_init(bsh_sse_t *sse,
		  void (*on_event)(void *ctx, const char *data, size_t size),
		  void *ctx)
{
	memset(sse, 0, sizeof(*sse));
	sse->on_event = on_event;
	sse->ctx = ctx;
	if (on_event != NULL)
		sse->data = g_string_new(NULL);
}

void bsh_sse_finish(bsh_sse_t *sse)
{
	if (sse->data != NULL)
		g_string_free(sse->data, TRUE);
	sse->data = NULL;
}

/* Size of "data:" and an optional space at the start of the line, or 0. */
static size_t data_field_bytes(const bsh_sse_t *sse)
{
	if (sse->line_bytes < 5 || memcmp(sse->prefix, "data:", 5) != 0)
		return 0;
	return sse->line_bytes > 5 && sse->prefix[5] == ' ' ? 6 : 5;
}

static bool is_done_line(const bsh_sse_t *sse, size_t field)
{
	size_t length = sizeof(done_text) - 1;

	return sse->line_bytes == field + length &&
	       memcmp(sse->prefix + field, done_text, length) == 0;
}

static void append_line_part(bsh_sse_t *sse, const char *part, size_t size)
{
	if (sse->line_bytes < BSH_SSE_PREFIX_BYTES)
		memcpy(sse->prefix + sse->line_bytes, part,
		       MIN(size, BSH_SSE_PREFIX_BYTES - sse->line_bytes));
	sse->line_bytes += size;
	sse->event_bytes += size;
	if (sse->data != NULL)
		g_string_append_len(sse->data, part, (gssize)size);
}

/*
 * sse->data contains the completed data lines and the current line as received;
 * removes the field name from the latter, or all of it if it is no data line.
 */
static void end_data_line(bsh_sse_t *sse, size_t field)
{
	if (sse->data == NULL)
		return;
	if (field == 0) {
		g_string_truncate(sse->data, sse->data->len - sse->line_bytes);
		return;
	}
	g_string_erase(sse->data, (gssize)(sse->data->len - sse->line_bytes),
		       (gssize)field);
	g_string_append_c(sse->data, '\n');
}

static void end_line(bsh_sse_t *sse)
{
	size_t field = data_field_bytes(sse);

	if (field > 0) {
		if (sse->data_lines == 0)
			sse->first_is_done = is_done_line(sse, field);
		sse->data_lines++;
	}
	end_data_line(sse, field);
	sse->line_bytes = 0;
}

static bsh_error_t end_event(bsh_sse_t *sse, bsh_sse_result_t *result)
{
	bool has_data = sse->data_lines > 0;
	bool is_done = sse->data_lines == 1 && sse->first_is_done;

	sse->event_bytes = 0;
	sse->data_lines = 0;
	sse->first_is_done = false;
	if (!has_data)
		return BSH_OK;
	/* No data may follow the [DONE] that completes the answer. */
	if (sse->done)
		return BSH_ERR_INVALID;
	sse->done = is_done;
	result->done = is_done;
	result->events++;
	if (sse->data != NULL) {
		g_string_truncate(sse->data, sse->data->len - 1);
		sse->on_event(sse->ctx, sse->data->str, sse->data->len);
		g_string_truncate(sse->data, 0);
	}
	return BSH_OK;
}

/* Offset of the next line end, or size if there is none.  *cr caches the offset
 * of the next CR, so that a piece without CR is searched only once. */
static size_t find_line_end(const char *piece, size_t from, size_t size,
			    size_t *cr)
{
	const char *lf = memchr(piece + from, '\n', size - from);
	size_t lf_at = lf != NULL ? (size_t)(lf - piece) : size;

	if (*cr < from) {
		const char *p = memchr(piece + from, '\r', size - from);

		*cr = p != NULL ? (size_t)(p - piece) : size;
	}
	return MIN(lf_at, *cr);
}

static bsh_error_t feed(bsh_sse_t *sse, const char *piece, size_t size,
			bsh_sse_result_t *result)
{
	const char *first_cr = memchr(piece, '\r', size);
	size_t cr = first_cr != NULL ? (size_t)(first_cr - piece) : size;
	size_t at = 0;
	bsh_error_t err;

	if (sse->after_cr && piece[0] == '\n') {
		at = 1;
		/* This LF completes the CRLF that started in the last piece. */
		if (bsh_sse_is_between_events(sse))
			result->complete_bytes = 1;
	}
	sse->after_cr = false;
	while (at < size) {
		size_t end = find_line_end(piece, at, size, &cr);

		append_line_part(sse, piece + at, end - at);
		if (sse->event_bytes > BSH_SSE_EVENT_MAX_BYTES)
			return BSH_ERR_TOO_LARGE;
		if (end == size)
			break;
		at = end + 1;
		if (piece[end] == '\r') {
			if (at == size)
				sse->after_cr = true;
			else if (piece[at] == '\n')
				at++;
		}
		if (sse->line_bytes > 0) {
			end_line(sse);
			continue;
		}
		err = end_event(sse, result);
		if (err != BSH_OK)
			return err;
		result->complete_bytes = at;
	}
	return BSH_OK;
}

bsh_error_t bsh_sse_feed(bsh_sse_t *sse, const char *piece, size_t size,
			 bsh_sse_result_t *result)
{
	bsh_error_t err = BSH_OK;

	memset(result, 0, sizeof(*result));
	if (sse->failed)
		return BSH_ERR_INVALID;
	if (size > 0)
		err = feed(sse, piece, size, result);
	sse->failed = err != BSH_OK;
	return err;
}

bool bsh_sse_is_between_events(const bsh_sse_t *sse)
{
	return sse->line_bytes == 0 && sse->event_bytes == 0;
}
