#include "transport/http_check.h"

#include <glib.h>
#include <string.h>

#define STATUS_DIGITS	       3
#define STATUS_SWITCHING       101
#define STATUS_NO_CONTENT      204
#define STATUS_NOT_MODIFIED    304
#define HEXADECIMAL_DIGIT_BITS 4

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static bool is_token_char(char c)
{
	return g_ascii_isalnum(c) ||
	       (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Any byte but a control byte; a tab is none. */
static bool is_text_char(char c)
{
	return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

static bool is_text(const char *text, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (!is_text_char(text[i]))
			return false;
	return true;
}

static bool is_name(const char *name, size_t size, const char *expected)
{
	return strlen(expected) == size &&
	       g_ascii_strncasecmp(name, expected, size) == 0;
}

void bsh_http_check_init(bsh_http_check_t *check)
{
	memset(check, 0, sizeof(*check));
}

bool bsh_http_check_is_interim(const bsh_http_check_t *check)
{
	return check->status >= 100 && check->status < 200;
}

static bool has_no_body(const bsh_http_check_t *check)
{
	return check->status == STATUS_NO_CONTENT ||
	       check->status == STATUS_NOT_MODIFIED;
}

bool bsh_http_check_is_delimited(const bsh_http_check_t *check)
{
	return check->head_complete &&
	       (has_no_body(check) || check->chunked || check->has_length);
}

bool bsh_http_check_is_complete(const bsh_http_check_t *check)
{
	if (!bsh_http_check_is_delimited(check))
		return false;
	if (has_no_body(check))
		return true;
	if (check->chunked)
		return check->chunk_state == BSH_HTTP_CHUNK_DONE;
	return check->body_bytes >= check->length_bytes;
}

/* The blank behind the status may be missing if there is no reason. */
static const char *check_status_line(bsh_http_check_t *check, const char *line,
				     size_t size)
{
	static const char start[] = "HTTP/1.";
	const size_t version_at = sizeof(start) - 1;
	const size_t status_at = version_at + 2;
	const size_t reason_at = status_at + STATUS_DIGITS;
	int status = 0;

	if (size < reason_at || memcmp(line, start, version_at) != 0 ||
	    (line[version_at] != '0' && line[version_at] != '1') ||
	    line[version_at + 1] != ' ' ||
	    (size > reason_at && line[reason_at] != ' ') ||
	    !is_text(line, size))
		return "malformed status line";
	for (size_t i = status_at; i < reason_at; i++) {
		if (!g_ascii_isdigit(line[i]))
			return "malformed status line";
		status = status * 10 + (line[i] - '0');
	}
	if (status < 100 || status > 599)
		return "status outside 100 to 599";
	if (status == STATUS_SWITCHING)
		return "change of protocol that was not asked for";
	check->status = status;
	check->version_1_0 = line[version_at] == '0';
	return NULL;
}

static const char *check_length(bsh_http_check_t *check, const char *value,
				size_t size)
{
	uint64_t length = 0;

	if (check->has_length)
		return "two lengths of the body";
	if (size == 0)
		return "malformed Content-Length";
	for (size_t i = 0; i < size; i++) {
		if (!g_ascii_isdigit(value[i]) || length >= INT64_MAX / 10)
			return "malformed Content-Length";
		length = length * 10 + (uint64_t)(value[i] - '0');
	}
	check->has_length = true;
	check->length_bytes = length;
	return NULL;
}

/* No other coding is asked for. */
static const char *check_coding(bsh_http_check_t *check, const char *value,
				size_t size)
{
	if (check->chunked || check->version_1_0 ||
	    !is_name(value, size, "chunked"))
		return "unknown Transfer-Encoding";
	check->chunked = true;
	return NULL;
}

static const char *check_framing(bsh_http_check_t *check, const char *name,
				 size_t name_size, const char *value,
				 size_t value_size)
{
	bool is_length = is_name(name, name_size, "Content-Length");
	bool is_coding = is_name(name, name_size, "Transfer-Encoding");
	const char *fault = NULL;

	if ((is_length || is_coding) && bsh_http_check_is_interim(check))
		return "length of the body in an interim response";
	if (is_length)
		fault = check_length(check, value, value_size);
	else if (is_coding)
		fault = check_coding(check, value, value_size);
	if (fault == NULL && check->has_length && check->chunked)
		return "both Content-Length and Transfer-Encoding";
	return fault;
}

static const char *check_field(bsh_http_check_t *check, const char *line,
			       size_t size)
{
	const char *colon = memchr(line, ':', size);
	const char *value;
	size_t value_size;

	if (colon == NULL || colon == line)
		return "line that is no field";
	for (const char *at = line; at < colon; at++)
		if (!is_token_char(*at))
			return "malformed name of a field";
	value = colon + 1;
	value_size = size - (size_t)(value - line);
	if (!is_text(value, value_size))
		return "control byte in the value of a field";
	while (value_size > 0 && is_blank(*value)) {
		value++;
		value_size--;
	}
	while (value_size > 0 && is_blank(value[value_size - 1]))
		value_size--;
	return check_framing(check, line, (size_t)(colon - line), value,
			     value_size);
}

const char *bsh_http_check_line(bsh_http_check_t *check, const char *line,
				size_t size_bytes)
{
	size_t size = size_bytes - 2;

	if (size_bytes < 2 || memcmp(line + size, "\r\n", 2) != 0)
		return "malformed line end";
	if (check->status == 0)
		return check_status_line(check, line, size);
	if (size > 0)
		return check_field(check, line, size);
	if (bsh_http_check_is_interim(check))
		check->status = 0;
	else
		check->head_complete = true;
	return NULL;
}

static const char *begin_extension(bsh_http_check_t *check, char c)
{
	if (is_blank(c))
		check->chunk_state = BSH_HTTP_CHUNK_BLANK;
	else if (c == ';')
		check->chunk_state = BSH_HTTP_CHUNK_EXTENSION;
	else if (c == '\r')
		check->chunk_state = BSH_HTTP_CHUNK_LINE_END;
	else
		return "malformed size of a chunk";
	return NULL;
}

static const char *check_chunk_size(bsh_http_check_t *check, char c)
{
	if (!g_ascii_isxdigit(c))
		return check->chunk_has_digits ? begin_extension(check, c)
					       : "malformed size of a chunk";
	if (check->chunk_bytes > INT64_MAX >> HEXADECIMAL_DIGIT_BITS)
		return "size of a chunk out of range";
	check->chunk_has_digits = true;
	check->chunk_bytes = check->chunk_bytes << HEXADECIMAL_DIGIT_BITS |
			     (uint64_t)g_ascii_xdigit_value(c);
	return NULL;
}

/* Text up to the line end, behind which next follows. */
static const char *check_text(bsh_http_check_t *check, char c,
			      bsh_http_chunk_state_t next)
{
	if (c == '\r')
		check->chunk_state = next;
	else if (!is_text_char(c))
		return "control byte in a line of a chunked body";
	return NULL;
}

static const char *check_chunk_line(bsh_http_check_t *check, char c)
{
	if (++check->chunk_line_bytes > BSH_HTTP_CHUNK_LINE_MAX_BYTES)
		return "line of a chunk too long";
	switch (check->chunk_state) {
	case BSH_HTTP_CHUNK_SIZE:
		return check_chunk_size(check, c);
	case BSH_HTTP_CHUNK_BLANK:
		return begin_extension(check, c);
	default:
		return check_text(check, c, BSH_HTTP_CHUNK_LINE_END);
	}
}

static void begin_chunk(bsh_http_check_t *check)
{
	check->chunk_state = BSH_HTTP_CHUNK_SIZE;
	check->chunk_has_digits = false;
	check->chunk_bytes = 0;
	check->chunk_line_bytes = 0;
}

/* Beginning and name of a trailer field.  Its value is text. */
static const char *check_trailer(bsh_http_check_t *check, char c)
{
	bool has_name = check->chunk_state == BSH_HTTP_CHUNK_TRAILER_NAME;

	if (c == '\r' && !has_name)
		check->chunk_state = BSH_HTTP_CHUNK_LAST_LINE_END;
	else if (c == ':' && has_name)
		check->chunk_state = BSH_HTTP_CHUNK_TRAILER_VALUE;
	else if (is_token_char(c))
		check->chunk_state = BSH_HTTP_CHUNK_TRAILER_NAME;
	else
		return "trailer that is no field";
	return NULL;
}

/* Goes on to the next state if c is the byte expected here. */
static const char *expect(bsh_http_check_t *check, char c, char expected,
			  bsh_http_chunk_state_t next)
{
	if (c != expected)
		return "malformed line end in a chunked body";
	check->chunk_state = next;
	return NULL;
}

static const char *check_chunk_byte(bsh_http_check_t *check, char c)
{
	const char *fault;

	switch (check->chunk_state) {
	case BSH_HTTP_CHUNK_LINE_END:
		return expect(check, c, '\n',
			      check->chunk_bytes > 0 ? BSH_HTTP_CHUNK_DATA
						     : BSH_HTTP_CHUNK_TRAILER);
	case BSH_HTTP_CHUNK_DATA_RETURN:
		return expect(check, c, '\r', BSH_HTTP_CHUNK_DATA_END);
	case BSH_HTTP_CHUNK_DATA_END:
		fault = expect(check, c, '\n', BSH_HTTP_CHUNK_SIZE);
		begin_chunk(check);
		return fault;
	case BSH_HTTP_CHUNK_TRAILER:
	case BSH_HTTP_CHUNK_TRAILER_NAME:
		return check_trailer(check, c);
	case BSH_HTTP_CHUNK_TRAILER_VALUE:
		return check_text(check, c, BSH_HTTP_CHUNK_TRAILER_LINE_END);
	case BSH_HTTP_CHUNK_TRAILER_LINE_END:
		return expect(check, c, '\n', BSH_HTTP_CHUNK_TRAILER);
	case BSH_HTTP_CHUNK_LAST_LINE_END:
		return expect(check, c, '\n', BSH_HTTP_CHUNK_DONE);
	case BSH_HTTP_CHUNK_DONE:
		return "bytes behind the last chunk";
	default:
		return check_chunk_line(check, c);
	}
}

static const char *check_chunks(bsh_http_check_t *check, const char *data,
				size_t size)
{
	const char *fault = NULL;

	while (size > 0 && fault == NULL) {
		size_t step = 1;

		if (check->chunk_state == BSH_HTTP_CHUNK_DATA) {
			step = (size_t)MIN(check->chunk_bytes, size);
			check->chunk_bytes -= step;
			if (check->chunk_bytes == 0)
				check->chunk_state = BSH_HTTP_CHUNK_DATA_RETURN;
		} else {
			fault = check_chunk_byte(check, *data);
		}
		data += step;
		size -= step;
	}
	return fault;
}

const char *bsh_http_check_body(bsh_http_check_t *check, const char *data,
				size_t size_bytes)
{
	if (check->chunked)
		return check_chunks(check, data, size_bytes);
	check->body_bytes += size_bytes;
	if (check->has_length && check->body_bytes > check->length_bytes)
		return "bytes behind the end of the body";
	return NULL;
}
