#ifndef BSH_PROTOCOL_EVENT_RELAY_H
#define BSH_PROTOCOL_EVENT_RELAY_H

/*
 * NAME
 *	event_relay - resumable filter for a stream of server-sent events
 *
 * DESCRIPTION
 *	Takes a stream in pieces of any size and passes on complete events,
 *	unchanged.  Numeric ids must be consecutive; events without an id are
 *	not checked.  After bsh_event_relay_restart() another run of the
 *	request continues the stream; events up to the last id passed on are
 *	then dropped, so that the receiver gets each of them exactly once.
 *
 * SOURCE
 *	WHATWG HTML, section 9.2 (server-sent events).
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_EVENT_MAX_BYTES (256U << 10)

typedef struct {
	GString *pending; /* start of an incomplete event */
	uint64_t last_id; /* of the last event passed on, 0: none */
	uint64_t passed;  /* number of events passed on */
} bsh_event_relay_t;

/* bsh_event_relay_init - after_id: id of the last event that the receiver has,
 * 0: none. */
void bsh_event_relay_init(bsh_event_relay_t *relay, uint64_t after_id);
void bsh_event_relay_finish(bsh_event_relay_t *relay);

/*
 * bsh_event_relay_feed - append the complete events to out.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_MISMATCH for a gap in the ids; BSH_ERR_TOO_LARGE for an
 *	event above BSH_EVENT_MAX_BYTES.
 */
bsh_error_t bsh_event_relay_feed(bsh_event_relay_t *relay, const char *data,
				 size_t size, GString *out);

/* bsh_event_relay_restart - drop an incomplete event before another run. */
void bsh_event_relay_restart(bsh_event_relay_t *relay);

/* bsh_event_relay_is_between_events - true if no event is incomplete. */
bool bsh_event_relay_is_between_events(const bsh_event_relay_t *relay);

#endif
