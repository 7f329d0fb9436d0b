#ifndef BSH_PROTOCOL_SSE_H
#define BSH_PROTOCOL_SSE_H

/*
 * NAME
 *	sse - incremental parser of server-sent events
 *
 * DESCRIPTION
 *	Finds the ends of events in a stream that arrives in pieces, and the
 *	event "[DONE]" by which an engine proves that its answer is complete.
 *	Lines end with LF, CRLF or CR.  Nothing is copied but the start of
 *	the current line, and the data of the current event when on_event is
 *	set.
 *
 * SOURCE
 *	WHATWG HTML, section 9.2 (server-sent events).
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_SSE_EVENT_MAX_BYTES (1U << 20)
#define BSH_SSE_PREFIX_BYTES	16

typedef struct {
	/* Data of one event, lines joined by LF, NUL terminated; optional. */
	void (*on_event)(void *ctx, const char *data, size_t size);
	void *ctx;
	GString *data;
	size_t event_bytes; /* of the current event */
	size_t line_bytes;
	char prefix[BSH_SSE_PREFIX_BYTES]; /* start of the current line */
	uint32_t data_lines;
	bool first_is_done; /* first data line is "[DONE]" */
	bool after_cr;
	bool done;
	bool failed;
} bsh_sse_t;

typedef struct {
	size_t complete_bytes; /* of this piece, to the end of the last event */
	uint32_t events;       /* events with data that ended in it */
	bool done;	       /* [DONE] was among them */
} bsh_sse_result_t;

/* bsh_sse_init - on_event may be NULL. */
void bsh_sse_init(bsh_sse_t *sse,
		  void (*on_event)(void *ctx, const char *data, size_t size),
		  void *ctx);
void bsh_sse_finish(bsh_sse_t *sse);

/*
 * bsh_sse_feed - parse the next piece.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_TOO_LARGE for an event above BSH_SSE_EVENT_MAX_BYTES;
 *	BSH_ERR_INVALID for an event after [DONE].  After an error all
 *	further pieces are errors.
 */
bsh_error_t bsh_sse_feed(bsh_sse_t *sse, const char *piece, size_t size,
			 bsh_sse_result_t *result);

/* bsh_sse_is_between_events - no byte of an unfinished event was seen. */
bool bsh_sse_is_between_events(const bsh_sse_t *sse);

#endif
