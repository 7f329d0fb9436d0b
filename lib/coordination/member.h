#ifndef BSH_COORDINATION_MEMBER_H
#define BSH_COORDINATION_MEMBER_H

/*
 * NAME
 *	member - failure detector and dissemination among controllers
 *
 * DESCRIPTION
 *	A SWIM-like protocol.  In each period one member is probed: directly,
 *	then through three others.  A member that does not answer is
 *	suspected; it is declared dead when it does not refute within a
 *	timeout that grows with the log of the number of members and shrinks
 *	when others suspect it too.  Updates are piggybacked on probes and
 *	acknowledgements, each a bounded number of times; a new update is
 *	also sent at once to a few members, within a byte budget.  A periodic
 *	exchange of digests repairs losses.  Dead members are probed at a low
 *	rate, so that the two sides of a healed partition find each other.
 *
 *	A process that wakes late attributes missing answers to itself: it
 *	drops its pending probes, extends its suspicions by the time it was
 *	late and, if that was two periods or more, announces itself with a
 *	new revision.
 *
 *	An instance or a target that is leaving stays so until a higher
 *	incarnation appears.
 *
 *	The module is a state machine: no I/O, no clock, no thread.  now_us
 *	must not decrease between calls.  After any other call that takes
 *	now_us the caller calls bsh_members_tick(), which returns when it is
 *	due next.  The callbacks of bsh_members_ops_t may call only the query
 *	functions of this module.
 *
 * UNITS
 *	Times are microseconds of a monotonic clock that continues while the
 *	machine is suspended (CLOCK_BOOTTIME).
 *
 * SOURCE
 *	Das, Gupta, Motivala: SWIM, 2002.  Dadgar et al.: Lifeguard, 2017.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "protocol/member_message.h"

typedef struct {
	char name[BSH_NAME_SIZE];
	bsh_member_place_t place;
	bool has_place;
	bool is_hint; /* in the platform's list, not yet confirmed by gossip */
	uint64_t incarnation;
	uint32_t revision;
	bsh_member_state_t state;
	bool leaving;
	uint64_t generation;	 /* adopted as of its last message, 0: none */
	uint32_t confirm_age_ms; /* age of its confirmation at that time */
	int64_t received_us;	 /* last message from it, 0: none */
	/* Last change of state or incarnation; of a hint, its last listing. */
	int64_t changed_us;
	uint64_t rank; /* hash of the name, the same on all instances */

	/* Private to the module. */
	int64_t suspect_until_us; /* declared dead then */
	int64_t suspect_max_us;	  /* timeout after a single suspicion */
	uint32_t suspect_votes;	  /* members that suspect it, at most 3 */
	uint64_t suspect_from[3]; /* their ranks */
	int64_t retried_us;	  /* last probe as a hint or while dead */
} bsh_member_t;

typedef struct {
	/*
	 * Send msg to the member `name` (empty for a seed) at its gossip
	 * address.  msg is only valid during the call.
	 */
	void (*send)(void *ctx, const char *name, const char *address,
		     const bsh_member_message_t *msg);
	/* A member appeared, or its state, incarnation or leaving changed. */
	void (*changed)(void *ctx, const bsh_member_t *member);
	/* A target is leaving; called once for each incarnation. */
	void (*target_leaving)(void *ctx, const char *target,
			       uint64_t incarnation);
	/* A higher epoch of a cell's ownership was received. */
	void (*cell_owner)(void *ctx, const char *cell, const char *owner,
			   uint64_t epoch);
	/*
	 * `from` has adopted a higher generation than this instance, or the
	 * same one with another hash.  To be passed to the adoption module.
	 */
	void (*generation)(void *ctx, const char *from, uint64_t generation,
			   uint64_t hash);
} bsh_members_ops_t;

typedef struct {
	const char *name; /* of this instance; strings are copied */
	bsh_member_place_t place;
	uint64_t incarnation; /* rises with each start of the process */
	uint32_t period_ms;   /* probe period, setting probe_period_ms */
	uint32_t seed;	      /* of the random number generator */
} bsh_members_config_t;

typedef struct {
	uint64_t sent;
	uint64_t received;
	uint64_t probes;
	uint64_t probes_failed; /* no direct or indirect acknowledgement */
	uint64_t suspicions;
	uint64_t deaths; /* declared here, by timeout */
	uint64_t refutations;
	uint64_t late_wakeups;
	uint64_t urgent;	  /* datagrams of urgent updates sent */
	uint64_t urgent_deferred; /* rounds delayed by the byte budget */
	uint64_t sync_records;
	uint64_t ignored; /* for another member, unknown or obsolete */
} bsh_members_stats_t;

typedef struct bsh_members bsh_members_t;

/* bsh_members_new - ops and ctx must outlive the result. */
bsh_members_t *bsh_members_new(const bsh_members_config_t *config,
			       const bsh_members_ops_t *ops, void *ctx,
			       int64_t now_us);
void bsh_members_free(bsh_members_t *m);

/*
 * bsh_members_tick - send the probes and updates that are due, expire records.
 *
 * RETURN VALUE
 *	The time of the next call, never more than one period ahead.  Calling
 *	earlier or after each message is allowed.
 */
int64_t bsh_members_tick(bsh_members_t *m, int64_t now_us);

/*
 * bsh_members_receive - process a decoded and authenticated datagram.  from and
 * incarnation are the frame's sender.
 */
void bsh_members_receive(bsh_members_t *m, int64_t now_us, const char *from,
			 uint64_t incarnation, const bsh_member_message_t *msg);

/* bsh_members_add_seed - add a gossip address from the settings to probe. */
void bsh_members_add_seed(bsh_members_t *m, int64_t now_us,
			  const char *address);

/*
 * bsh_members_list_item - apply one entry instance of the platform's list.
 *
 * The list lags: "live" is a hint where to probe and never revives a dead
 * member; "leaving" and "gone" of an incarnation are final and are sent to the
 * other members.  An incarnation older than the known one is ignored.  place
 * may be NULL for a member that is gone.
 */
typedef enum {
	BSH_LIST_LIVE,
	BSH_LIST_LEAVING,
	BSH_LIST_GONE
} bsh_list_state_t;

void bsh_members_list_item(bsh_members_t *m, int64_t now_us, const char *name,
			   uint64_t incarnation,
			   const bsh_member_place_t *place,
			   bsh_list_state_t state);

/* bsh_members_leave - announce that this instance drains; cannot be undone. */
void bsh_members_leave(bsh_members_t *m, int64_t now_us);

/*
 * bsh_members_target_leaving - report a target as leaving, as seen in the list,
 * its status or a router's message.  Sent to the members once for each
 * incarnation.
 */
void bsh_members_target_leaving(bsh_members_t *m, int64_t now_us,
				const char *target, uint64_t incarnation);

/* bsh_members_is_target_leaving - true if this incarnation is leaving. */
bool bsh_members_is_target_leaving(const bsh_members_t *m, const char *target,
				   uint64_t incarnation);

/* bsh_members_target_forget - remove a target that the list no longer shows. */
void bsh_members_target_forget(bsh_members_t *m, const char *target);

/* bsh_members_set_cell_owner - set a hint; only a higher epoch replaces it. */
void bsh_members_set_cell_owner(bsh_members_t *m, int64_t now_us,
				const char *cell, const char *owner,
				uint64_t epoch);

/* bsh_members_cell_owner - owner by the last hint and its epoch, or NULL. */
const char *bsh_members_cell_owner(const bsh_members_t *m, const char *cell,
				   uint64_t *epoch);

/*
 * bsh_members_set_generation - set the generation that this instance adopted.
 * A higher one is sent to some members at once.  Called by the adoption module;
 * a daemon need not call it.
 */
void bsh_members_set_generation(bsh_members_t *m, int64_t now_us,
				uint64_t generation, uint64_t hash,
				uint32_t confirm_age_ms);

/* bsh_members_find - member by name, this instance included; NULL if none. */
const bsh_member_t *bsh_members_find(const bsh_members_t *m, const char *name);

/*
 * bsh_members_foreach - call fn for each member, this instance included, in
 * order of rank.  Hints are left out.
 */
typedef void (*bsh_member_fn_t)(void *ctx, const bsh_member_t *member);
void bsh_members_foreach(const bsh_members_t *m, bsh_member_fn_t fn, void *ctx);

const bsh_member_t *bsh_members_self(const bsh_members_t *m);

/* bsh_members_live - number of members alive or suspected, with this one. */
guint bsh_members_live(const bsh_members_t *m);

/* bsh_members_version - changes whenever the set of live members changes. */
uint64_t bsh_members_version(const bsh_members_t *m);

/*
 * bsh_members_health - local health score as in Lifeguard, 0 to 8.  0: healthy;
 * higher: this process woke late or had to refute a suspicion lately.
 */
uint32_t bsh_members_health(const bsh_members_t *m);

const bsh_members_stats_t *bsh_members_stats(const bsh_members_t *m);

/* bsh_members_queued - number of updates queued for gossip. */
guint bsh_members_queued(const bsh_members_t *m);

/* bsh_members_bytes - memory held, in bytes, for the capacity measurements. */
size_t bsh_members_bytes(const bsh_members_t *m);

#endif
