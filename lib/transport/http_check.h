#ifndef BSH_TRANSPORT_HTTP_CHECK_H
#define BSH_TRANSPORT_HTTP_CHECK_H

/*
 * NAME
 *	http_check - strict check of the bytes of an HTTP/1.1 response
 *
 * DESCRIPTION
 *	libcurl ignores lines of a head that it does not understand, a length
 *	among them, and then takes the end of the connection for the end of the
 *	body.  This check is run beside it, on the same bytes: the lines of all
 *	heads, and what follows the head before chunks are decoded.
 *
 *	A response is refused if a line is no status line or no field, if its
 *	length is given in a way that two readers could understand differently,
 *	or if bytes follow its end.
 *
 *	The module has no I/O and allocates nothing.
 *
 * RETURN VALUE
 *	The functions that check return NULL if the bytes are sound, otherwise
 *	a static text that says what is wrong with them.  After that the check
 *	must not be used again.
 *
 * SOURCE
 *	RFC 9112 sections 2.2 (line ends), 4 (status line), 5 (fields), 6.3
 *	(length of the body) and 7.1 (chunks); RFC 9110 sections 5.5 (values),
 *	5.6.2 (tokens), 15 (status codes).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bound of the line that begins a chunk, without its line end. */
#define BSH_HTTP_CHUNK_LINE_MAX_BYTES 4096

typedef enum {
	BSH_HTTP_CHUNK_SIZE = 0, /* digits */
	BSH_HTTP_CHUNK_BLANK,	 /* blanks behind the digits */
	BSH_HTTP_CHUNK_EXTENSION,
	BSH_HTTP_CHUNK_LINE_END, /* the line feed of the line */
	BSH_HTTP_CHUNK_DATA,
	BSH_HTTP_CHUNK_DATA_RETURN, /* the line end behind the data */
	BSH_HTTP_CHUNK_DATA_END,
	BSH_HTTP_CHUNK_TRAILER, /* beginning of a line behind the last chunk */
	BSH_HTTP_CHUNK_TRAILER_NAME,
	BSH_HTTP_CHUNK_TRAILER_VALUE,
	BSH_HTTP_CHUNK_TRAILER_LINE_END,
	BSH_HTTP_CHUNK_LAST_LINE_END, /* of the empty line */
	BSH_HTTP_CHUNK_DONE
} bsh_http_chunk_state_t;

typedef struct {
	int status; /* of the latest head; 0: its status line is to come */
	bool head_complete; /* of the final response */
	bool has_length;
	bool chunked;
	bool version_1_0;
	uint64_t length_bytes;
	uint64_t body_bytes; /* so far, without chunks */
	bsh_http_chunk_state_t chunk_state;
	bool chunk_has_digits;
	uint64_t chunk_bytes;	   /* size, then what is left of the chunk */
	uint32_t chunk_line_bytes; /* of the line that begins it */
} bsh_http_check_t;

void bsh_http_check_init(bsh_http_check_t *check);

/* bsh_http_check_line - the next line of a head, with its line end.  The heads
 * of interim responses (status 1xx) come before the final one. */
const char *bsh_http_check_line(bsh_http_check_t *check, const char *line,
				size_t size_bytes);

/* bsh_http_check_body - the next bytes behind the head of the final response,
 * chunks not decoded. */
const char *bsh_http_check_body(bsh_http_check_t *check, const char *data,
				size_t size_bytes);

/* For a method other than HEAD, whose responses have no body:
 * bsh_http_check_is_delimited - the final response says where its body ends;
 * otherwise it ends with the connection.
 * bsh_http_check_is_complete - it says so, and has come to this end. */
bool bsh_http_check_is_delimited(const bsh_http_check_t *check);
bool bsh_http_check_is_complete(const bsh_http_check_t *check);

/* bsh_http_check_is_interim - the current head is that of an interim response. */
bool bsh_http_check_is_interim(const bsh_http_check_t *check);

#endif
