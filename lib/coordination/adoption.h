#ifndef BSH_COORDINATION_ADOPTION_H
#define BSH_COORDINATION_ADOPTION_H

/*
 * NAME
 *	adoption - configuration agreement with a freshness lease
 *
 * DESCRIPTION
 *	The instance adopts the highest configuration generation that it
 *	holds and never returns to a lower one.  It accepts new work only
 *	while bsh_adoption_is_fresh() is true, that is, while its latest
 *	confirmation is younger than fresh_ms.  A confirmation dated t states
 *	that no generation above the adopted one had been accepted at t.  It
 *	comes from one of
 *
 *	- a store read that started at t;
 *	- a confirmation received from a peer, with its age counted from the
 *	  time at which the query was sent; unsolicited messages have an
 *	  unknown delay and confirm nothing;
 *	- votes requested since t from a majority of the witnesses, none of
 *	  which has prepared a higher generation.
 *
 *	A confirmation of generation g dated t also holds for every higher
 *	generation: if g+1 had not been accepted at t, neither had g+2.
 *
 *	Witnesses poll the store.  Other instances query a witness or, in a
 *	large fleet, a relay that queries a witness.  An instance that
 *	receives no reply from these reads the store itself; that
 *	confirmation is valid for at most 1.5 s (a quarter of fresh_ms if
 *	that is less) and is not passed on.  An instance that confirms others
 *	records each recipient for fresh_ms and reports the lowest generation
 *	that it or one of its recipients may still run (`settled`).  A
 *	proposer therefore learns from the witnesses alone when a generation
 *	is in force on all instances.
 *
 *	A change is accepted in three steps: read the store, have a majority
 *	of the witnesses prepare the generation, and update the store object
 *	conditionally on the version that was read.  If the reply to the
 *	update is lost, the object is read back.  If its version is unchanged,
 *	the object is first rewritten as it is, so that the lost update can
 *	no longer take effect.  A witness that the platform reports gone
 *	counts as prepared.
 *
 *	A witness votes only when it has observed a store version above the
 *	first one that it read since its start: its former incarnation may
 *	have prepared a proposal, based on that version or an older one,
 *	that is still in progress.
 *
 *	The module is a state machine without I/O, clock or threads.
 *	Callbacks must not call into the module, except for the functions
 *	that take a const bsh_adoption_t.
 *
 * UNITS
 *	As in member.h.  The rates of any two clocks are assumed to differ by
 *	less than 1/16.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "coordination/member.h"
#include "protocol/adoption_message.h"

typedef struct {
	/*
	 * Send msg to a peer, as a datagram or a frame depending on
	 * msg->kind.  Delivery is not guaranteed.
	 */
	void (*send)(void *ctx, const char *peer,
		     const bsh_adoption_message_t *msg);
	/*
	 * Read config/document; complete with bsh_adoption_store_read_done().
	 * A watch_version above 0 requests watch=V&timeout_ms=T, 0 a plain
	 * read.
	 */
	void (*store_read)(void *ctx, uint64_t tag, uint64_t watch_version,
			   uint32_t timeout_ms);
	/*
	 * Update the object conditionally on object->version; complete with
	 * bsh_adoption_store_update_done().
	 */
	void (*store_update)(void *ctx, uint64_t tag,
			     const bsh_adoption_object_t *object);
	/* A higher generation was adopted. */
	void (*adopted)(void *ctx, const bsh_adoption_object_t *object);
	/*
	 * Completion of bsh_adoption_apply().
	 * BSH_OK: accepted as `generation`.
	 * BSH_ERR_CONFLICT: not accepted; `generation` is newer.
	 * BSH_ERR_STORE: not accepted; the store was unavailable before the
	 * update.
	 * BSH_ERR_STALE_CONFIG: not accepted; no majority of witnesses
	 * prepared.
	 * BSH_ERR_OUTCOME_UNKNOWN: the reply to the update was lost, and the
	 * object has since advanced by more than one generation.
	 */
	void (*apply_done)(void *ctx, uint64_t request, bsh_error_t result,
			   uint64_t generation);
	/*
	 * A generation accepted for bsh_adoption_apply() is in force: no
	 * instance accepts work under an older one.
	 */
	void (*in_force)(void *ctx, uint64_t request, uint64_t generation);
	/* Returns a new reference; NULL sends the full document instead. */
	GBytes *(*make_delta)(void *ctx, GBytes *from, GBytes *to);
	/* Returns a new reference; NULL if the delta does not apply. */
	GBytes *(*apply_delta)(void *ctx, GBytes *from, GBytes *delta);
	uint64_t (*hash)(void *ctx, GBytes *document);
} bsh_adoption_ops_t;

typedef struct {
	uint32_t fresh_ms; /* lifetime of a confirmation (setting fresh_ms) */
	uint32_t seed;	   /* of the random number generator */
} bsh_adoption_config_t;

typedef struct {
	uint64_t store_reads;
	uint64_t store_updates;
	uint64_t queries;    /* confirmation and vote requests sent */
	uint64_t fetches;    /* document requests sent */
	uint64_t deltas;     /* document requests answered with a delta */
	uint64_t fulls;	     /* document requests answered in full */
	uint64_t bad_deltas; /* deltas received with unknown base or bad hash */
	uint64_t forked;     /* two documents of one generation: a fault */
	uint64_t obsolete;   /* late messages and completions, ignored */
	uint64_t rewrites;   /* updates that left the document unchanged */
} bsh_adoption_stats_t;

typedef struct bsh_adoption bsh_adoption_t;

/* bsh_adoption_new - create; members, ops and ctx must outlive the result. */
bsh_adoption_t *bsh_adoption_new(const bsh_adoption_config_t *config,
				 bsh_members_t *members,
				 const bsh_adoption_ops_t *ops, void *ctx,
				 int64_t now_us);
void bsh_adoption_free(bsh_adoption_t *a);

/* bsh_adoption_tick - run due timers; returns the time of the next call. */
int64_t bsh_adoption_tick(bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_receive - process a decoded and authenticated message. */
void bsh_adoption_receive(bsh_adoption_t *a, int64_t now_us, const char *from,
			  uint64_t incarnation,
			  const bsh_adoption_message_t *msg);

/*
 * bsh_adoption_generation_reported - `from` reported in a membership message
 * that it holds this generation; fetch it if it is newer.
 */
void bsh_adoption_generation_reported(bsh_adoption_t *a, int64_t now_us,
				      const char *from, uint64_t generation,
				      uint64_t hash);

/*
 * bsh_adoption_store_read_done - completion of a read.
 *
 * err is BSH_OK (object is the stored one), BSH_ERR_NOT_FOUND (the object does
 * not exist), BSH_ERR_TIMEOUT with object NULL when a watch ended without a
 * change (HTTP 204), or any other value for a failure (no response, 429, 5xx).
 * The object is only used during the call.
 */
void bsh_adoption_store_read_done(bsh_adoption_t *a, int64_t now_us,
				  uint64_t tag, bsh_error_t err,
				  const bsh_adoption_object_t *object);

/*
 * bsh_adoption_store_update_done - completion of an update.
 *
 * err is BSH_OK (version is the new one); BSH_ERR_CONFLICT (409),
 * BSH_ERR_RATE_LIMITED, BSH_ERR_TOO_LARGE or BSH_ERR_CONNECT if the update was
 * definitely not applied; or any other value if the outcome is unknown.
 */
void bsh_adoption_store_update_done(bsh_adoption_t *a, int64_t now_us,
				    uint64_t tag, bsh_error_t err,
				    uint64_t version);

/*
 * bsh_adoption_apply - propose a document as the successor of base_generation.
 *
 * One proposal runs at a time.  ops->apply_done() reports its result and, if it
 * was accepted, ops->in_force() follows later; both are passed `request`.
 *
 * RETURN VALUE
 *	BSH_OK when started, BSH_ERR_IN_PROGRESS while another proposal is
 *	running, BSH_ERR_CONFLICT when a newer generation is known already,
 *	BSH_ERR_TOO_LARGE when the document exceeds
 *	BSH_ADOPTION_DOCUMENT_MAX_BYTES.
 */
bsh_error_t bsh_adoption_apply(bsh_adoption_t *a, int64_t now_us,
			       uint64_t request, uint64_t base_generation,
			       GBytes *document);

/* bsh_adoption_is_fresh - true if new work may be accepted at now_us. */
bool bsh_adoption_is_fresh(const bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_fresh_until_us - time at which is_fresh() becomes false. */
int64_t bsh_adoption_fresh_until_us(const bsh_adoption_t *a);

/*
 * bsh_adoption_age_ms - age of the confirmation that may be passed on;
 * BSH_MEMBER_AGE_NONE_MS if there is none.
 */
uint32_t bsh_adoption_age_ms(const bsh_adoption_t *a, int64_t now_us);

/* bsh_adoption_current - the adopted object; generation 0 if none yet. */
const bsh_adoption_object_t *bsh_adoption_current(const bsh_adoption_t *a);

/*
 * bsh_adoption_known_generation - highest generation reported by any peer or
 * the store; its document may not have been fetched yet.
 */
uint64_t bsh_adoption_known_generation(const bsh_adoption_t *a);

/*
 * bsh_adoption_is_witness - true if this instance polls the store.  The daemon
 * restricts regular reads of the platform's list to witnesses as well.
 */
bool bsh_adoption_is_witness(const bsh_adoption_t *a);

const bsh_adoption_stats_t *bsh_adoption_stats(const bsh_adoption_t *a);

#endif
