#ifndef BSH_PROTOCOL_EVENT_RELAY_H
#define BSH_PROTOCOL_EVENT_RELAY_H

/*
 * NAME
 *	event_relay - passes on whole server-sent events, each exactly once
 *
 * DESCRIPTION
 *	Bytes arrive in any pieces; whole events come out unchanged.  Events
 *	with a numeric id must follow each other without a gap.  After
 *	bsh_event_relay_restart() another run continues the stream: events up
 *	to the last id passed on are left out, so that none comes twice.
 *
 * SOURCE
 *	WHATWG HTML, section 9.2 (server-sent events).
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

#define BSH_EVENT_MAX_BYTES (1U << 20)

typedef struct {
	GString *pending; /* bytes of an event that is not whole yet */
	uint64_t last_id; /* of the last event passed on; 0: none */
	uint64_t passed;  /* events passed on */
} bsh_event_relay_t;

/* bsh_event_relay_init - after_id: last event that the caller has; 0: none. */
void bsh_event_relay_init(bsh_event_relay_t *relay, uint64_t after_id);
void bsh_event_relay_finish(bsh_event_relay_t *relay);

/*
 * bsh_event_relay_feed - append the whole events among the bytes to out.
 *
 * RETURN VALUE
 *	BSH_OK; BSH_ERR_MISMATCH when an id leaves a gap; BSH_ERR_TOO_LARGE
 *	for an event above BSH_EVENT_MAX_BYTES.
 */
bsh_error_t bsh_event_relay_feed(bsh_event_relay_t *relay, const char *data,
				 size_t size, GString *out);

/* bsh_event_relay_restart - drop what is unfinished; another run follows. */
void bsh_event_relay_restart(bsh_event_relay_t *relay);

/* bsh_event_relay_is_between_events - no byte of an unfinished event is left. */
bool bsh_event_relay_is_between_events(const bsh_event_relay_t *relay);

#endif
