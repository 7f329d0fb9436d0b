#ifndef BSH_PROTOCOL_SSE_H
#define BSH_PROTOCOL_SSE_H

/*
 * NAME
 *	sse - incremental parser of server-sent events
 *
 * DESCRIPTION
 *	Finds the ends of events in a stream that arrives in pieces of any
 *	size, and the event "[DONE]", with which an engine marks its answer as
 *	complete.  Lines end with LF, CRLF or CR.  Only the start of the
 *	current line is copied, and the data of the current event if on_event
 *	is set.
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
	/* Receives the data of each event, its lines joined by LF and
	 * terminated by a NUL byte; may be NULL. */
	void (*on_event)(void *ctx, const char *data, size_t size);
	void *ctx;
	GString *data; /* data of the current event; NULL without on_event */
	size_t event_bytes; /* of the current event, without line ends */
	size_t line_bytes;  /* of the current line */
	char prefix[BSH_SSE_PREFIX_BYTES]; /* start of the current line */
	uint32_t data_lines;		   /* of the current event */
	bool first_is_done;		   /* its first data line is "[DONE]" */
	bool after_cr;			   /* the last piece ended with CR */
	bool done;			   /* [DONE] was received */
	bool failed;			   /* an error was returned */
} bsh_sse_t;

typedef struct {
	size_t complete_bytes; /* of the piece, up to its last event end */
	uint32_t events;       /* events with data that ended in the piece */
	bool done;	       /* [DONE] was one of them */
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
 *	BSH_ERR_INVALID for an event after [DONE], and for every piece after
 *	an error.
 */
bsh_error_t bsh_sse_feed(bsh_sse_t *sse, const char *piece, size_t size,
			 bsh_sse_result_t *result);

/* bsh_sse_is_between_events - true if no event is incomplete. */
bool bsh_sse_is_between_events(const bsh_sse_t *sse);

#endif
