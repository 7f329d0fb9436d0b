#ifndef BSH_COORDINATION_ADOPTION_H
#define BSH_COORDINATION_ADOPTION_H

/*
 * NAME
 *	adoption - which configuration this instance runs, and whether it may
 *
 * DESCRIPTION
 *	The instance adopts the highest generation that it holds and never a
 *	lower one.  It takes new work only while bsh_adoption_is_fresh():
 *	its confirmation is younger than fresh_ms.  A confirmation dated t
 *	means: nothing newer than the adopted generation was accepted at t.
 *	It comes from
 *
 *	- a store read that began at t;
 *	- a peer's confirmation, with its age counted from when the peer was
 *	  asked; pushed messages cannot be dated and confirm nothing;
 *	- a majority of the witnesses asked since t, none of which has
 *	  prepared a newer generation.
 *
 *	A confirmation of generation g also confirms any higher one, as what
 *	was not accepted at t for g was not accepted for g+1 either.
 *
 *	Witnesses poll the store.  The others ask a witness, or, in a large
 *	fleet, a relay that asks a witness.  An instance that gets no answer
 *	from these reads the store itself; such a confirmation holds only for
 *	alone_ms and is not passed on.  Everyone who passes a confirmation on
 *	remembers to whom for fresh_ms and reports the lowest generation that
 *	may still run below it (`settled`), so a proposer knows from the
 *	witnesses alone when a generation is in force everywhere.
 *
 *	A change is accepted in three steps: read the store, get a majority
 *	of the witnesses to prepare, update conditionally on the version that
 *	was read.  A lost answer is read back.  If the object is unchanged it
 *	is rewritten first, so that the lost update can no longer take effect.
 *	A witness that the platform reports gone counts as prepared.
 *
 *	A witness votes only for a generation whose store version is above
 *	the first version that it read since its start: an earlier
 *	incarnation may have prepared a proposal that is still under way.
 *
 *	The module is a state machine: no I/O, no clock, no thread.  Orders
 *	must not call back into the module, except for the query functions.
 *
 * UNITS
 *	As in member.h.  Assumed: the rates of any two clocks differ by less
 *	than 1/16.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/member.h"
#include "protocol/adoption_message.h"

typedef struct {
	/* Send msg to a peer; datagram or frame by msg->kind.  May be lost. */
	void (*send)(void *ctx, const char *peer,
		     const bsh_adoption_message_t *msg);
	/*
	 * Read config/document; answer with bsh_adoption_store_read_done().
	 * watch_version above 0: watch=V&timeout_ms=T, else a plain read.
	 */
	void (*store_read)(void *ctx, uint64_t tag, uint64_t watch_version,
			   uint32_t timeout_ms);
	/*
	 * Conditional update on object->version; answer with
	 * bsh_adoption_store_update_done().
	 */
	void (*store_update)(void *ctx, uint64_t tag,
			     const bsh_adoption_object_t *object);
	/* A higher generation is now the one to run. */
	void (*adopted)(void *ctx, const bsh_adoption_object_t *object);
	/*
	 * End of bsh_adoption_apply().  BSH_OK: accepted as `generation`.
	 * BSH_ERR_CONFLICT: `generation` is newer, nothing was accepted.
	 * BSH_ERR_STORE: not accepted, store unavailable before the update.
	 * BSH_ERR_STALE: not accepted, no majority of witnesses.
	 * BSH_ERR_OUTCOME_UNKNOWN: the answer was lost and the object has
	 * moved on by more than one generation.
	 */
	void (*apply_done)(void *ctx, uint64_t request, bsh_error_t result,
			   uint64_t generation);
	/* An accepted generation of this instance's apply is in force. */
	void (*in_force)(void *ctx, uint64_t request, uint64_t generation);
	/* New reference; NULL: no delta, the full document is sent. */
	GBytes *(*make_delta)(void *ctx, GBytes *from, GBytes *to);
	/* New reference; NULL: the delta does not fit. */
	GBytes *(*apply_delta)(void *ctx, GBytes *from, GBytes *delta);
	uint64_t (*hash)(void *ctx, GBytes *document);
} bsh_adoption_ops_t;

typedef struct {
	uint32_t fresh_ms; /* settings fresh_ms */
	uint32_t seed;
} bsh_adoption_config_t;

typedef struct {
	uint64_t store_reads;
	uint64_t store_updates;
	uint64_t asks;
	uint64_t fetches;
	uint64_t deltas;
	uint64_t fulls;
	uint64_t bad_deltas; /* hash or base did not match */
	uint64_t forked;     /* two documents of one generation: a fault */
	uint64_t obsolete;   /* late messages without effect */
	uint64_t rewrites;
} bsh_adoption_stats_t;

typedef struct bsh_adoption bsh_adoption_t;

/* bsh_adoption_new - members, ops and ctx must outlive the result. */
bsh_adoption_t *bsh_adoption_new(const bsh_adoption_config_t *config,
				 bsh_members_t *members,
				 const bsh_adoption_ops_t *ops, void *ctx,
				 int64_t now_us);
void bsh_adoption_free(bsh_adoption_t *a);

/* bsh_adoption_tick - run what is due; returns the time of the next call. */
int64_t bsh_adoption_tick(bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_receive - a decoded and authenticated message. */
void bsh_adoption_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
			  uint64_t incarnation,
			  const bsh_adoption_message_t *msg);

/* bsh_adoption_heard - a membership message told that `from` holds it. */
void bsh_adoption_generation_reported(bsh_adoption_t *a, int64_t now_us, const char *from,
			uint64_t generation, uint64_t hash);

/*
 * bsh_adoption_store_read_done - end of a read.
 *
 * err is BSH_OK (object is what the store holds), BSH_ERR_NOT_FOUND (the
 * object does not exist), BSH_ERR_TIMEOUT with object NULL when a watch ended
 * without a change (HTTP 204), or anything else for a failure (no answer, 429,
 * 5xx).  The object is only used during the call.
 */
void bsh_adoption_store_read_done(bsh_adoption_t *a, int64_t now_us,
				  uint64_t tag, bsh_error_t err,
				  const bsh_adoption_object_t *object);

/*
 * bsh_adoption_store_update_done - end of an update.
 *
 * err is BSH_OK (version is the new one), BSH_ERR_CONFLICT (409, certain not to
 * have taken effect), BSH_ERR_RATE, BSH_ERR_TOO_LARGE or BSH_ERR_CONNECT
 * (certain not to have taken effect), or anything else: outcome unknown.
 */
void bsh_adoption_store_update_done(bsh_adoption_t *a, int64_t now_us,
				    uint64_t tag, bsh_error_t err,
				    uint64_t version);

/*
 * bsh_adoption_apply - propose a document on top of base_generation.
 *
 * One proposal runs at a time; the end is told by ops->apply_done(), and for an
 * accepted one later by ops->in_force(), each with `request`.
 *
 * RETURN VALUE
 *	BSH_OK when started, BSH_ERR_IN_PROGRESS when one is running,
 *	BSH_ERR_CONFLICT when a newer generation is known already,
 *	BSH_ERR_TOO_LARGE.
 */
bsh_error_t bsh_adoption_apply(bsh_adoption_t *a, int64_t now_us,
			       uint64_t request, uint64_t base_generation,
			       GBytes *document);

/* bsh_adoption_is_fresh - this instance may take new work at now_us. */
bool bsh_adoption_is_fresh(const bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_fresh_until_us - time at which is_fresh() turns false. */
int64_t bsh_adoption_fresh_until_us(const bsh_adoption_t *a);

/* bsh_adoption_age_ms - of the confirmation; BSH_MEMBER_AGE_NONE_MS: none. */
uint32_t bsh_adoption_age_ms(const bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_current - what is adopted; generation 0 before the first. */
const bsh_adoption_object_t *bsh_adoption_current(const bsh_adoption_t *a);

/* bsh_adoption_known_generation - highest heard of, perhaps not yet held. */
uint64_t bsh_adoption_known_generation(const bsh_adoption_t *a);

/*
 * bsh_adoption_is_witness - this instance polls the store.  The daemon also
 * lets only these read the platform's list regularly.
 */
bool bsh_adoption_is_witness(const bsh_adoption_t *a);

const bsh_adoption_stats_t *bsh_adoption_stats(const bsh_adoption_t *a);

#endif
