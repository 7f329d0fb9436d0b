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
 *	when others suspect it too.  News travels on probes and answers a
 *	bounded number of times; fresh news is also sent at once to a few
 *	members, within a byte budget.  A periodic exchange of digests
 *	repairs what was missed.  Dead members are tried now and then, so
 *	two halves of a healed partition find each other.
 *
 *	A process that wakes late attributes the silence to itself: it drops
 *	its pending probes, extends its suspicions by the time it lost and
 *	announces itself with a new revision.
 *
 *	An instance or a target that is leaving stays so until a higher
 *	incarnation appears.
 *
 *	The module is a state machine: no I/O, no clock, no thread.  Calls
 *	with now_us must not go back in time; each of them but the tick is
 *	followed by bsh_members_tick() to learn when it is due next.  Orders are given through
 *	bsh_members_ops_t and must not call back into the module, except for
 *	the query functions.
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
	bool is_hint; /* only the list or a seed named it, never heard of */
	uint64_t incarnation;
	uint32_t revision;
	bsh_member_state_t state;
	bool leaving;
	uint64_t generation; /* last one it told us directly, 0: none */
	uint32_t confirm_age_ms;
	int64_t heard_us;   /* last direct message, 0: never */
	int64_t changed_us; /* last change of state */
	uint64_t rank;	    /* hash of the name, the same on all instances */

	/* Private to the module. */
	int64_t suspect_until_us;
	int64_t suspect_max_us;
	uint32_t suspect_votes;
	uint64_t suspect_from[3]; /* ranks of those who suspected it first */
	int64_t tried_us;
} bsh_member_t;

typedef struct {
	/*
	 * Send msg to the member `name` (empty for a seed) at the gossip
	 * address.  msg is only valid during the call.
	 */
	void (*send)(void *ctx, const char *name, const char *address,
		     const bsh_member_message_t *msg);
	/* A member appeared, or its state, incarnation or leaving changed. */
	void (*changed)(void *ctx, const bsh_member_t *member);
	/* A target is leaving; told once for each incarnation. */
	void (*target_leaving)(void *ctx, const char *target,
			       uint64_t incarnation);
	/* A higher epoch of a cell's ownership was heard of. */
	void (*cell_owner)(void *ctx, const char *cell, const char *owner,
			   uint64_t epoch);
	/* `from` holds this generation (pass to bsh_adoption_heard()). */
	void (*generation)(void *ctx, const char *from, uint64_t generation,
			   uint64_t hash);
} bsh_members_ops_t;

typedef struct {
	const char *name; /* of this instance; strings are copied */
	bsh_member_place_t place;
	uint64_t incarnation; /* rises with each start of the process */
	uint32_t period_ms;   /* settings probe_period_ms */
	uint32_t seed;	      /* of the random choices */
} bsh_members_config_t;

typedef struct {
	uint64_t sent;
	uint64_t received;
	uint64_t probes;
	uint64_t probes_failed; /* neither direct nor indirect answer */
	uint64_t suspicions;
	uint64_t deaths; /* declared here, by timeout */
	uint64_t refutations;
	uint64_t late_wakeups;
	uint64_t urgent;	  /* datagrams sent ahead of the next probe */
	uint64_t urgent_deferred; /* over the byte budget */
	uint64_t sync_records;
	uint64_t ignored; /* not for us, unknown or obsolete */
} bsh_members_stats_t;

typedef struct bsh_members bsh_members_t;

/* bsh_members_new - ops and ctx must outlive the result. */
bsh_members_t *bsh_members_new(const bsh_members_config_t *config,
			       const bsh_members_ops_t *ops, void *ctx,
			       int64_t now_us);
void bsh_members_free(bsh_members_t *m);

/*
 * bsh_members_tick - run what is due.
 *
 * RETURN VALUE
 *	The time of the next call, never more than one period ahead.  Calling
 *	earlier or after each message is allowed.
 */
int64_t bsh_members_tick(bsh_members_t *m, int64_t now_us);

/*
 * bsh_members_receive - a decoded and authenticated datagram.  from and
 * incarnation are the frame's sender.
 */
void bsh_members_receive(bsh_members_t *m, int64_t now_us, const char *from,
			 uint64_t incarnation, const bsh_member_message_t *msg);

/* bsh_members_add_seed - gossip address from the settings (a hint). */
void bsh_members_add_seed(bsh_members_t *m, int64_t now_us,
			  const char *address);

/*
 * bsh_members_list_item - one entry instance of the platform's list.
 *
 * The list lags: "live" is a hint where to probe and never brings a dead
 * member back; "leaving" and "gone" of an incarnation are final and are passed
 * on.  A list that shows an older incarnation than the one known is ignored.
 * place may be NULL for a member that is gone.
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

/* bsh_members_leave - this instance drains; tells everyone, never reverts. */
void bsh_members_leave(bsh_members_t *m, int64_t now_us);

/*
 * bsh_members_target_leaving - the list, the target's status or a router said
 * that this target is leaving.  Passed on once for each incarnation.
 */
void bsh_members_target_leaving(bsh_members_t *m, int64_t now_us,
				const char *target, uint64_t incarnation);

/* bsh_members_is_target_leaving - true if this incarnation is leaving. */
bool bsh_members_is_target_leaving(const bsh_members_t *m, const char *target,
				   uint64_t incarnation);

/* bsh_members_target_forget - the list no longer shows the target. */
void bsh_members_target_forget(bsh_members_t *m, const char *target);

/* bsh_members_set_cell_owner - hint; only a higher epoch replaces one. */
void bsh_members_set_cell_owner(bsh_members_t *m, int64_t now_us,
				const char *cell, const char *owner,
				uint64_t epoch);

/* bsh_members_cell_owner - last hint, or NULL. */
const char *bsh_members_cell_owner(const bsh_members_t *m, const char *cell,
				   uint64_t *epoch);

/*
 * bsh_members_set_generation - what this instance adopted.  A higher
 * generation is news and is sent ahead of the next probe.  The adoption module
 * calls this for its members; a daemon need not.
 */
void bsh_members_set_generation(bsh_members_t *m, int64_t now_us,
				uint64_t generation, uint64_t hash,
				uint32_t confirm_age_ms);

/* bsh_members_find - member by name, or NULL; own name gives the own record. */
const bsh_member_t *bsh_members_find(const bsh_members_t *m, const char *name);

/*
 * bsh_members_foreach - all members, this instance included, in order of rank.
 * Hints that were never heard of are left out.
 */
typedef void (*bsh_member_fn_t)(void *ctx, const bsh_member_t *member);
void bsh_members_foreach(const bsh_members_t *m, bsh_member_fn_t fn, void *ctx);

const bsh_member_t *bsh_members_self(const bsh_members_t *m);

/* bsh_members_live - members alive or suspected, this instance included. */
guint bsh_members_live(const bsh_members_t *m);

/* bsh_members_version - changes whenever the set of live members changes. */
uint64_t bsh_members_version(const bsh_members_t *m);

/* bsh_members_health - 0: on time; higher: this process was late lately. */
uint32_t bsh_members_health(const bsh_members_t *m);

const bsh_members_stats_t *bsh_members_stats(const bsh_members_t *m);

/* bsh_members_queued - updates that are still to be passed on. */
guint bsh_members_queued(const bsh_members_t *m);

/* bsh_members_bytes - memory held, in bytes, for the capacity measurements. */
size_t bsh_members_bytes(const bsh_members_t *m);

#endif
