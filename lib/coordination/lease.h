#ifndef BSH_COORDINATION_LEASE_H
#define BSH_COORDINATION_LEASE_H

/*
 * NAME
 *	lease - lease with fencing token for the instance that gives orders
 *
 * DESCRIPTION
 *	At most one instance at a time gives load and unload orders to
 *	targets: the holder of the lease, which is one object of the
 *	platform's store.  It is acquired and renewed by conditional updates,
 *	each of which raises its revision.  The revision at which it was
 *	acquired is the term, the fencing token of all orders of that holder.
 *
 *	A holder gives orders for BSH_LEASE_VALID_PERCENT of the lease time
 *	after the start of its last successful renewal.  While the store is
 *	unavailable nobody can renew; the holder then continues until
 *	BSH_LEASE_EXTENSION_US after that start, as long as a majority of the
 *	voters supports its term (coordination/quorum.h).
 *
 *	Another instance takes the lease over when one revision has been
 *	unchanged for most of the lease time and the holder's announcements
 *	have stopped, or for the whole lease time if the holder still
 *	announces.  The new holder gives no orders until the last possible
 *	order of the former holder is a lease time old.  It computes that
 *	time from the end of the last renewal's validity and, in case the
 *	former holder was extended, from the time at which a majority
 *	supports the new term or, without a majority, from the longest
 *	extension.
 *
 *	The voters are part of the object, so that a holder and whoever
 *	replaces it count one set:
 *	- Whoever replaces the object has read it, and keeps its voters until
 *	  the orders of all former holders are over.  Only then does it name
 *	  the instances that it knows itself.
 *	- The object also names the former voters, from the update that
 *	  changes them until BSH_LEASE_FORMER_VOTERS_US after its success.
 *	  Meanwhile an extension needs a majority of both sets: the update
 *	  may be lost, carried out late, or undone by a restore of the store.
 *	  Whoever replaces the object needs only the voters to begin early,
 *	  unless the object may be from before a restore.
 *	The first object names its holder alone, which is not kept as a former
 *	set: its successor would need a holder that is lost.  After a restore
 *	such an object names nobody.
 *	An object without voters (of an earlier software version) allows no
 *	extension and no shorter wait.
 *
 *	Two holders therefore never give orders within one lease
 *	time, however long either was paused or partitioned, and no clocks
 *	are compared.
 *
 *	A holder that shuts down releases the lease and stores the targets to
 *	which it gave recent orders (the order list), so that its successor
 *	waits only for those targets.
 *
 *	The store may be restored from an older copy, which may contain an
 *	earlier state of the object or none, so a state that was written before
 *	the restore does not show who held the lease at that moment.  It ends
 *	the own term, and whoever replaces it waits as for a holder that renewed
 *	when the state was first read.  Revisions must rise across restores.
 *
 *	The holder announces its revision by datagrams, so that the other
 *	instances need not read the store.
 *
 *	Pure: no I/O and no clock.  bsh_lease_next() returns the store call
 *	to make; its result is passed to bsh_lease_done() before
 *	bsh_lease_next() returns another one.
 *
 * UNITS
 *	Microseconds of a clock that continues while the machine is suspended.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"
#include "coordination/voters.h"

/* Share of the lease time for which a renewal allows its holder to order. */
#define BSH_LEASE_VALID_PERCENT 75
/* Longest time after a renewal for which a majority extends the term.  Most
 * outages of the store are shorter; a successor without a majority has to wait
 * for all of it. */
#define BSH_LEASE_EXTENSION_US INT64_C(10000000)
/* A holder that the store has not answered for this long hands its lease over
 * to an instance that the store answers.  The holder renews six times per lease
 * time, every 500 ms by default. */
#define BSH_LEASE_HANDOVER_AFTER_US INT64_C(1200000)
/* A report that the store answers an instance holds for this time. */
#define BSH_LEASE_STORE_REACHED_MAX_AGE_US INT64_C(1000000)
/* Time after a change of the voters for which the former ones are needed too:
 * longer than the age of a copy from which the store is restored. */
#define BSH_LEASE_FORMER_VOTERS_US INT64_C(30000000)
/* Voters with which orders are logged: fewer have no majority without the
 * holder. */
#define BSH_LEASE_LOG_VOTERS_MIN 3U
/* Time for which the lease is left to larger instances. */
#define BSH_LEASE_YIELD_US INT64_C(1000000)
/* Covers the delivery delay of an order and the error of timers. */
#define BSH_LEASE_MARGIN_US INT64_C(400000)

typedef enum {
	BSH_LEASE_NOTHING, /* no call is due */
	BSH_LEASE_CREATE,  /* create the object */
	BSH_LEASE_REPLACE, /* replace the object if it has lease->revision */
	BSH_LEASE_READ	   /* read the object */
} bsh_lease_call_t;

typedef enum {
	BSH_LEASE_DONE,	    /* carried out; the new revision is known */
	BSH_LEASE_CONFLICT, /* not carried out: the object has changed */
	BSH_LEASE_ABSENT,   /* the object does not exist */
	BSH_LEASE_FAILED,   /* not carried out: the store refused the call */
	BSH_LEASE_UNKNOWN   /* no answer: may have been carried out */
} bsh_lease_result_t;

typedef struct {
	char self[BSH_NAME_SIZE];
	int64_t lease_us;

	/* Last known state of the object. */
	bool known;
	uint64_t revision;
	char holder[BSH_NAME_SIZE]; /* empty: released */
	bool active;		    /* holder has waited for the former one */
	bool was_read;	     /* this revision was read, not only announced */
	bool has_order_list; /* released, with a complete order list */
	bool restored;	     /* written before the last restore of the store */
	bool voters_known;   /* the next two are those of this revision */
	bsh_voters_t voters;
	bsh_voters_t former_voters; /* n == 0: no recent change */
	bool logged;	      /* its holder logs all orders; if voters_known */
	int64_t observed_us;  /* first observation of revision or release */
	int64_t announced_us; /* last announcement received from the holder */
	int64_t store_reachable_since_us; /* 0: the store does not answer */
	/* First observation of the store after its last restore; 0: it was
	 * never restored. */
	int64_t store_restored_us;

	/* Own term. */
	bool holding;
	uint64_t term;
	int64_t acquired_us;
	/* Time until which the former holder's order list is needed. */
	int64_t inherited_list_until_us;
	/* Until then a former holder may still give logged orders. */
	int64_t former_orders_until_us;
	/* Time until which orders of the previous process of this instance
	 * are recent; 0: the previous process did not hold the lease. */
	int64_t previous_process_until_us;
	int64_t renewed_us;	/* start of the last successful update */
	int64_t first_order_us; /* earliest time of an order */
	/* Earliest time at which the last order of a former holder is a lease
	 * time old, for a term without and with an extension. */
	int64_t former_wait_until_us;
	int64_t former_extended_wait_until_us;
	/* The replaced object says that its holder logs all orders; the two
	 * waits without that holder, and the revision replaced. */
	bool former_logged;
	int64_t unlogged_wait_until_us;
	int64_t unlogged_extended_wait_until_us;
	uint64_t former_logged_revision;
	bsh_voters_t own_voters; /* of the last own object */
	bsh_voters_t own_former_voters;
	bool former_uncertain; /* the object that was replaced may have been
				* written before a restore */
	int64_t supported_until_us; /* end of the support by a majority */
	int64_t voters_changed_us;  /* first success of an update with both
				    * sets; 0: none */
	bsh_voters_t candidates;    /* voters that this instance would name */
	int64_t majority_since_us;  /* first support by a majority; 0: none */

	bsh_lease_call_t pending_call;
	int64_t call_began_us;
	int64_t next_call_us; /* earliest time of the next call */
	bool update_active;   /* value of `active` in the pending update */
	bool update_logged;   /* value of `logged` in the pending update */
	bool may_log;	      /* all recent orders are logged, and a majority
				 acknowledges entries */
	bool must_log;	      /* an object of the own term may say so */
	bool must_read;	      /* read before the next update: the result of
				 the last one or the object is unknown */
	bool releasing;
	uint32_t jitter_us;	    /* takeover delay of this instance */
	uint32_t released_delay_us; /* the same after a release */
	bool yields;		    /* a larger instance is alive */
	int64_t silent_read_us;	    /* last read as the holder was silent */
	uint64_t silent_revision;   /* that it showed; 0: none */
} bsh_lease_t;

/*
 * bsh_lease_takeover_delay_us - time for which an instance delays its attempt
 * to acquire the lease.
 *
 * The work of the holder grows with the number of instances and targets, so an
 * instance always has a shorter delay than one with half of its CPU share.
 * Instances of one size get different delays, so that the first of them can
 * announce its lease before the others try.
 */
uint32_t bsh_lease_takeover_delay_us(const char *instance, double cpu_share);
/* bsh_lease_released_delay_us - the same for a lease that was released. */
uint32_t bsh_lease_released_delay_us(const char *instance, double cpu_share);

/* bsh_lease_init - jitter_us: takeover delay of this instance. */
void bsh_lease_init(bsh_lease_t *lease, const char *self, uint32_t lease_ms,
		    uint32_t jitter_us, int64_t now_us);
/* bsh_lease_set_released_delay - 0 until it is set. */
void bsh_lease_set_released_delay(bsh_lease_t *lease, uint32_t delay_us);
/* bsh_lease_set_yields - whether a larger instance is alive: the lease of another
 * instance is taken BSH_LEASE_YIELD_US later then.  A small one that had read the
 * object earlier than the larger ones took the lease of a frozen holder, and its
 * link could not carry the holder's messages. */
void bsh_lease_set_yields(bsh_lease_t *lease, bool yields);

/*
 * bsh_lease_next - the store call to make now.
 *
 * CREATE and REPLACE write lease->self as the holder, or an empty name while
 * lease->releasing, lease->update_active as `active`, lease->update_logged as
 * `logged`, and both sets of voters.
 */
bsh_lease_call_t bsh_lease_next(bsh_lease_t *lease, int64_t now_us);

/*
 * bsh_lease_done - pass the result of the pending call.
 *
 * holder, active and revision are those of the object in the answer; holder is
 * NULL if the answer has no object.
 */
void bsh_lease_done(bsh_lease_t *lease, bsh_lease_result_t result,
		    const char *holder, bool active, uint64_t revision,
		    int64_t now_us);

/* bsh_lease_announced - a holder's announcement of its lease was received. */
void bsh_lease_announced(bsh_lease_t *lease, const char *holder, bool active,
			 uint64_t revision, int64_t now_us);

/*
 * bsh_lease_released - the holder of this revision has announced that it gives
 * no more orders.  has_order_list: its messages list all targets to which it
 * gave recent orders.  A call without the list does not undo an earlier one with
 * it.
 *
 * RETURN VALUE
 *	False if the sender is not, or no longer, the holder.
 */
bool bsh_lease_released(bsh_lease_t *lease, const char *holder, bool active,
			bool has_order_list, uint64_t revision, int64_t now_us);

/*
 * bsh_lease_hand_over - end the own term while the store is unreachable from
 * here, so that another instance can acquire the lease.  On success the caller
 * sends the release and the order list with this revision.
 *
 * RETURN VALUE
 *	False if the lease cannot be handed over now; it is unchanged.
 */
bool bsh_lease_hand_over(bsh_lease_t *lease, int64_t now_us);

/* What a holder that the store does not answer does next. */
typedef enum {
	BSH_HANDOVER_NONE,     /* gives orders as before */
	BSH_HANDOVER_WITHHOLD, /* gives none, so that its order list gets
				* shorter */
	BSH_HANDOVER_NOW       /* hands the lease over */
} bsh_handover_t;

/*
 * bsh_lease_handover_step - decide on a handover: the store has answered another
 * instance lately, but not this one.  While it answers nobody, the holder goes
 * on with the support of a majority.
 *
 * store_age_us: time since the last answer of the store to this instance.
 * peer_age_us: time since another instance has reported that the store answers
 * it.  withholds: the last step was BSH_HANDOVER_WITHHOLD; the report is then
 * believed until a list without new orders is empty, as reports may pause for
 * longer than they are believed otherwise.  listed: targets that got an order
 * within the exclusion time; listed_max: as many as a release can list.
 */
bsh_handover_t bsh_lease_handover_step(const bsh_lease_t *lease,
				       int64_t store_age_us,
				       int64_t peer_age_us, bool withholds,
				       uint32_t listed, uint32_t listed_max,
				       int64_t now_us);

/* bsh_lease_is_order_list_complete - true if the order list of this process
 * includes all recent orders, so that a release may contain it. */
bool bsh_lease_is_order_list_complete(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_set_has_order_list - the object that was read at this revision
 * contains the order list of its former holder. */
void bsh_lease_set_has_order_list(bsh_lease_t *lease, uint64_t revision);

/* bsh_lease_set_voters - voters of the object that was read at this revision;
 * n == 0: it names none.  Without this call none are known. */
void bsh_lease_set_voters(bsh_lease_t *lease, uint64_t revision,
			  const bsh_voters_t *voters,
			  const bsh_voters_t *former_voters);

/* bsh_lease_set_candidates - the instances that this one knows; for the present
 * term, or for the object that it creates. */
void bsh_lease_set_candidates(bsh_lease_t *lease,
			      const bsh_voters_t *candidates);

/* bsh_lease_set_logged - whether the object that was read at this revision says
 * that its holder logs all orders (coordination/order_log.h). */
void bsh_lease_set_logged(bsh_lease_t *lease, uint64_t revision, bool logged);

/* bsh_lease_set_may_log - whether all orders that this instance has given within
 * the exclusion time are logged and a majority acknowledges entries.  The lease
 * object says so from the next update on; once it does, an update that revokes it
 * is due at once. */
void bsh_lease_set_may_log(bsh_lease_t *lease, bool may_log);

/* bsh_lease_must_log - true if only logged orders may be given: the successor may
 * rely on the log. */
bool bsh_lease_must_log(const bsh_lease_t *lease);

/* bsh_lease_awaits_log - true if the log of the former holder would shorten the
 * wait before the first order. */
bool bsh_lease_awaits_log(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_log_read - a majority of lease->voters, and of lease->former_voters
 * if there are any, has told its entries and accepts no more of former terms: the
 * orders of the former holder are known. */
void bsh_lease_log_read(bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_set_restored - the object that was read at this revision was written
 * before the last restore of the store. */
void bsh_lease_set_restored(bsh_lease_t *lease, uint64_t revision);

/* bsh_lease_store_restored - the store is observed for the first time since it
 * was restored.  An object that does not exist may have been lost. */
void bsh_lease_store_restored(bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_set_store_reachable - whether the store answers this instance. */
void bsh_lease_set_store_reachable(bsh_lease_t *lease, bool reachable,
				   int64_t now_us);

/* bsh_lease_supported - the support of a majority of lease->voters, and of
 * lease->former_voters if there are any, for the own term lasts to until_us. */
void bsh_lease_supported(bsh_lease_t *lease, int64_t until_us, int64_t now_us);

/* bsh_lease_voters_supported - the same of lease->voters alone: no former holder
 * is extended any more. */
void bsh_lease_voters_supported(bsh_lease_t *lease, int64_t until_us,
				int64_t now_us);

/* bsh_lease_may_order - true while orders may be given. */
bool bsh_lease_may_order(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_is_holder - true from the takeover to the end of the term. */
bool bsh_lease_is_holder(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_release - give no more orders and release the lease. */
void bsh_lease_release(bsh_lease_t *lease);

#endif
