#ifndef BSH_COORDINATION_QUARANTINE_H
#define BSH_COORDINATION_QUARANTINE_H

/*
 * NAME
 *	quarantine - requests and prompt parts under which processes of targets
 *	end
 *
 * DESCRIPTION
 *	A request, or a part of its prompt, may end each process that begins to
 *	answer it.  Such suspects are known by their keys (suspect_key.h).  The
 *	table keeps, for each key, the ends of processes at which a request with
 *	it was beginning.  A later answer that gets past its beginning clears the
 *	keys of its request of the ends known until then, if it was sent after
 *	the first of them.
 *
 *	Ends of attempts that were sent before an earlier end was noticed may
 *	have one cause, a rack that lost power for example, and count as one.
 *	The state of a key follows from the ends of which it is not cleared:
 *
 *	normal		none
 *	accused		one; requests are sent as before
 *	isolated	two or more: one request at a time, at one target
 *	quarantined	three, for a request that has all rivals of the key;
 *			isolated for other requests
 *
 *	Of a request, each end counts once there were two separate events.
 *
 *	A rival is a key that explains the ends as well: a part that was at all of
 *	them, or at all but one that was not the last, as processes end for other
 *	reasons, too; or a request, or another one, with as many ends.  The next end or answer of a
 *	request that has one of the two tells which of them it is; a request with
 *	both is what has ended the processes.
 *
 *	Most requests of a route share their first part, which is at each end.
 *	It is cleared all the time by the answers to other requests, so it is
 *	not a special case.
 *
 *	The end of all processes for another reason accuses sound requests,
 *	too, and nothing clears a key that is never sent.  So one request with
 *	a quarantined key is sent by one instance some time after the last
 *	end, and its answer or the next end decides: after
 *	BSH_PROBE_FIRST_US, and after four times as long with each end.
 *
 *	A part is refused to many requests, so a quarantine of a part ends after
 *	BSH_QUARANTINE_US without a further end, and the part is then isolated.
 *	A request concerns its caller alone, and a sound one answers when it is
 *	first tried: it is tried once, and is then refused for
 *	BSH_QUARANTINE_REQUEST_US.
 *
 *	Facts (a key was at an end, and perhaps is cleared of it) are merged
 *	in any order, and repeatedly, with the same result, so instances
 *	exchange them without acknowledgement.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a monotonic clock; facts carry ages in milliseconds.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/suspect_key.h"
#include "protocol/message.h"

/* An answer that has sent events for this long is past its beginning. */
#define BSH_ANSWER_BEGINNING_US INT64_C(500000)
/* Keys at an instance.  An end accuses up to eight keys of each request there;
 * the ends of a whole rack must not displace a key that waits for its next. */
#define BSH_SUSPECTS_MAX 4096U
/* Ends until a key is isolated, and quarantined. */
#define BSH_SUSPECT_ISOLATE_ENDS    2U
#define BSH_SUSPECT_QUARANTINE_ENDS 3U
#define BSH_SUSPECT_ENDS_MAX	    16U
/* Without a further end a key is forgotten after this time if it is not
 * quarantined. */
#define BSH_SUSPECT_MEMORY_US	  INT64_C(120000000)
#define BSH_QUARANTINE_US	  INT64_C(600000000)
#define BSH_QUARANTINE_REQUEST_US INT64_C(86400000000)
#define BSH_PROBE_FIRST_US	  INT64_C(5000000)

typedef enum {
	BSH_SUSPECT_NORMAL,
	BSH_SUSPECT_ACCUSED,
	BSH_SUSPECT_ISOLATED,
	BSH_SUSPECT_QUARANTINED
} bsh_suspect_state_t;

typedef struct {
	GHashTable *records; /* key to its record */
	uint32_t limit;	     /* keys; those with the fewest ends are dropped */
	int64_t dropped_us;  /* latest end of a key that was dropped */
} bsh_quarantine_t;

/* What is known of a key, for logs. */
typedef struct {
	bsh_suspect_state_t state;
	uint32_t ends;	  /* that count */
	uint64_t process; /* of the last end that counts; 0: none */
	int64_t end_us;	  /* of that process */
} bsh_suspect_info_t;

void bsh_quarantine_init(bsh_quarantine_t *quarantine, uint32_t limit);
void bsh_quarantine_finish(bsh_quarantine_t *quarantine);

const char *bsh_suspect_state_name(bsh_suspect_state_t state);

/*
 * bsh_quarantine_merge - add a fact.
 *
 * RETURN VALUE
 *	True if it was not known: other instances may not know it either.
 */
bool bsh_quarantine_merge(bsh_quarantine_t *quarantine,
			  const bsh_suspect_fact_t *fact, int64_t now_us);

/* bsh_quarantine_state_in - state of a key for a request with these keys, one of
 * which it is. */
bsh_suspect_state_t bsh_quarantine_state_in(const bsh_quarantine_t *quarantine,
					    uint64_t key, const uint64_t *keys,
					    uint32_t n, int64_t now_us);
/* bsh_quarantine_state - the same for a request that has no other key. */
bsh_suspect_state_t bsh_quarantine_state(const bsh_quarantine_t *quarantine,
					 uint64_t key, int64_t now_us);
void bsh_quarantine_info(const bsh_quarantine_t *quarantine, uint64_t key,
			 int64_t now_us, bsh_suspect_info_t *info);

/* bsh_quarantine_foreach_probe - call fn for each key that is quarantined for some
 * requests, one of which may be sent now, with the time of its last end. */
void bsh_quarantine_foreach_probe(
	const bsh_quarantine_t *quarantine, int64_t now_us,
	void (*fn)(void *ctx, uint64_t key, int64_t end_us), void *ctx);

/* bsh_quarantine_clear - an answer to an attempt with the key, sent at attempt_us,
 * has got past its beginning.  Appends the facts that this changes to an array
 * of bsh_suspect_fact_t; returns their number. */
uint32_t bsh_quarantine_clear(bsh_quarantine_t *quarantine, uint64_t key,
			      int64_t attempt_us, int64_t now_us,
			      GArray *facts);

/* bsh_quarantine_collect - append all facts to an array of bsh_suspect_fact_t;
 * keys with more ends come first. */
void bsh_quarantine_collect(const bsh_quarantine_t *quarantine, GArray *facts,
			    int64_t now_us);
/* bsh_quarantine_collect_key - the same for one key. */
void bsh_quarantine_collect_key(const bsh_quarantine_t *quarantine,
				uint64_t key, GArray *facts, int64_t now_us);
/* bsh_quarantine_foreach_isolated - call fn for each isolated or quarantined key,
 * with the number of ends that count. */
void bsh_quarantine_foreach_isolated(
	const bsh_quarantine_t *quarantine, int64_t now_us,
	void (*fn)(void *ctx, uint64_t key, uint32_t ends), void *ctx);
/* bsh_quarantine_expire - drop what no longer counts. */
void bsh_quarantine_expire(bsh_quarantine_t *quarantine, int64_t now_us);
uint32_t bsh_quarantine_size(const bsh_quarantine_t *quarantine);
/* bsh_quarantine_count - number of keys in this state. */
uint32_t bsh_quarantine_count(const bsh_quarantine_t *quarantine,
			      bsh_suspect_state_t state, int64_t now_us);

#endif
