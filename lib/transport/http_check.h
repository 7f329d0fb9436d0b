#ifndef BSH_TRANSPORT_HTTP_CHECK_H
#define BSH_TRANSPORT_HTTP_CHECK_H

/*
 * NAME
 *	http_check - strict check of the bytes of an HTTP/1.1 response
 *
 * DESCRIPTION
 *	libcurl ignores lines of a head that it does not understand, a length
 *	among them, and then takes the end of the connection for the end of the
 *	body.  This check is run beside it, on the lines of all heads.
 *
 *	A response is refused if a line is no status line or no field, or if
 *	its length is given in a way that two readers could understand
 *	differently.
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
 *	(length of the body); RFC 9110 sections 5.5 (values),
 *	5.6.2 (tokens), 15 (status codes).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int status; /* of the latest head; 0: its status line is to come */
	bool head_complete; /* of the final response */
	bool has_length;
	bool chunked;
	bool version_1_0;
	uint64_t length_bytes;
} bsh_http_check_t;

void bsh_http_check_init(bsh_http_check_t *check);

/* bsh_http_check_line - the next line of a head, with its line end.  The heads
 * of interim responses (status 1xx) come before the final one. */
const char *bsh_http_check_line(bsh_http_check_t *check, const char *line,
				size_t size_bytes);

/* bsh_http_check_is_interim - the current head is that of an interim response. */
bool bsh_http_check_is_interim(const bsh_http_check_t *check);

#endif
