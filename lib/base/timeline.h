#ifndef BSH_BASE_TIMELINE_H
#define BSH_BASE_TIMELINE_H

/*
 * NAME
 *	timeline - ring of events of one process
 *
 * DESCRIPTION
 *	Each event carries a hybrid logical clock stamp, the process, a kind
 *	and a JSON object of details (attempt ids, generations, fencing
 *	numbers, reasons of decisions).  Events of several processes merge
 *	by stamp into one time line.  The ring keeps the newest events; a
 *	reader that falls behind is told how many were lost.
 *
 *	Safe from any thread.
 */

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

#include "base/hlc.h"

typedef struct {
	bsh_hlc_stamp_t stamp;
	uint64_t sequence;
	char *json; /* the whole event as one line of JSON */
} bsh_timeline_event_t;

typedef struct {
	pthread_mutex_t lock;
	bsh_hlc_t *clock;
	char process[96]; /* instance/program */
	uint64_t incarnation;
	bsh_timeline_event_t *ring;
	uint32_t capacity;
	uint64_t next_sequence; /* sequence numbers start at 1 */
} bsh_timeline_t;

/*
 * bsh_timeline_init - clock is shared with the process's frames and is only
 * used under the time line's lock; use bsh_timeline_stamp() and
 * bsh_timeline_receive() for frames.
 */
void bsh_timeline_init(bsh_timeline_t *tl, bsh_hlc_t *clock,
		       const char *instance, const char *program,
		       uint64_t incarnation, uint32_t capacity);
void bsh_timeline_finish(bsh_timeline_t *tl);

bsh_hlc_stamp_t bsh_timeline_stamp(bsh_timeline_t *tl);
void bsh_timeline_receive(bsh_timeline_t *tl, bsh_hlc_stamp_t remote);

/*
 * bsh_timeline_add - record an event.  format is that of jansson's
 * json_pack() for one object, for example
 *	bsh_timeline_add(tl, "load-order", "{s:s, s:I}", "model", name,
 *			 "fence", (json_int_t)fence);
 * format may be NULL when there are no details.
 */
void bsh_timeline_add(bsh_timeline_t *tl, const char *kind, const char *format,
		      ...);

/*
 * bsh_timeline_print - append events with a sequence above since to out, one
 * JSON object a line.
 *
 * RETURN VALUE
 *	The last sequence printed, or since when there was none.
 */
uint64_t bsh_timeline_print(bsh_timeline_t *tl, uint64_t since, GString *out);

#endif
