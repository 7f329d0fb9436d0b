#ifndef BSH_BASE_TIMELINE_H
#define BSH_BASE_TIMELINE_H

/*
 * NAME
 *	timeline - ring buffer of the events of one process
 *
 * DESCRIPTION
 *	An event consists of a timestamp of a hybrid logical clock, the
 *	process, a kind and a JSON object of details (attempt ids,
 *	generations, fencing tokens, reasons of decisions).  Sorting the
 *	events of several processes by timestamp yields one timeline.  The
 *	ring keeps the newest events; a reader that falls behind detects the
 *	overwritten ones by a gap in the sequence numbers.
 *
 *	All functions but bsh_timeline_init() and bsh_timeline_finish() may be
 *	called from any thread.
 */

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

#include "base/hlc.h"

typedef struct {
	bsh_hlc_stamp_t stamp;
	uint64_t sequence;
	char *json; /* the event as one line of JSON, owned */
} bsh_timeline_event_t;

typedef struct {
	pthread_mutex_t lock;
	bsh_hlc_t *clock; /* not owned; accessed only under lock */
	char process[96]; /* "instance/program" */
	uint64_t incarnation;
	bsh_timeline_event_t *ring; /* indexed by sequence modulo capacity */
	uint32_t capacity;	    /* events */
	uint64_t next_sequence;	    /* starts at 1 */
} bsh_timeline_t;

/*
 * bsh_timeline_init - create an empty timeline of capacity events.  clock also
 * stamps the frames of the process and must outlive the timeline.  It is
 * protected by the timeline's lock, so frames must use bsh_timeline_stamp() and
 * bsh_timeline_receive() instead of the clock itself.
 */
void bsh_timeline_init(bsh_timeline_t *tl, bsh_hlc_t *clock,
		       const char *instance, const char *program,
		       uint64_t incarnation, uint32_t capacity);
void bsh_timeline_finish(bsh_timeline_t *tl);

/* bsh_timeline_stamp - timestamp for a frame that is about to be sent. */
bsh_hlc_stamp_t bsh_timeline_stamp(bsh_timeline_t *tl);

/* bsh_timeline_receive - advance the clock beyond the timestamp of a received
 * frame. */
void bsh_timeline_receive(bsh_timeline_t *tl, bsh_hlc_stamp_t remote);

/*
 * bsh_timeline_add - record an event.  format and the arguments after it are
 * those of bsh_json_pack() for one object, for example
 *	bsh_timeline_add(tl, "load-order", "{s:s, s:I}", "model", name,
 *			 "fence", (json_int_t)fence);
 * A NULL format records an event without details.
 */
void bsh_timeline_add(bsh_timeline_t *tl, const char *kind, const char *format,
		      ...);

/*
 * bsh_timeline_print - append the events with a sequence number above since to
 * out, one JSON object per line.
 *
 * RETURN VALUE
 *	The last sequence number printed, or since if there was none.
 */
uint64_t bsh_timeline_print(bsh_timeline_t *tl, uint64_t since, GString *out);

#endif
