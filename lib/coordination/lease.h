#ifndef BSH_COORDINATION_LEASE_H
#define BSH_COORDINATION_LEASE_H

/*
 * NAME
 *	lease - which instance may give orders to targets
 *
 * DESCRIPTION
 *	The lease is one object of the platform's store.  It is taken and
 *	renewed by conditional updates, each of which raises its revision.
 *
 *	A holder gives orders for BSH_LEASE_VALID_PERCENT of the lease time
 *	after the start of its last successful renewal, and for
 *	BSH_LEASE_EXTENSION_US while a majority of the instances supports it
 *	(coordination/quorum.h), as it cannot renew while the store is away.
 *	Another instance takes the lease over when it has known one revision
 *	for most of the lease time and hears nothing of the holder, and then
 *	waits until the last order that the former holder can have given is a
 *	lease time old: it counts from the validity of the last renewal, and
 *	from when a majority supports its own term or, without one, from the
 *	longest extension.  So two holders never give orders within one lease
 *	time, however long either of them was paused or cut off; no clocks
 *	are compared.
 *
 *	A holder that stops releases the lease and leaves a list of the
 *	targets that it has ordered lately, so that its successor waits only
 *	for those.
 *
 *	The revision at which the lease was taken is the fencing number of
 *	all orders of that term.
 *
 *	The holder tells the others its revision by datagrams, so that they
 *	need not read the store.
 *
 *	Pure: no I/O and no clock.  bsh_lease_next() says which call to make;
 *	its result comes back through bsh_lease_done() before the next one.
 *
 * UNITS
 *	Microseconds of a clock that runs on while the machine is suspended.
 */

#include <stdbool.h>
#include <stdint.h>

#include "base/settings.h"

/* Share of the lease time in which the holder trusts its last renewal. */
#define BSH_LEASE_VALID_PERCENT 75
/* Longest time for which a majority extends a renewal: outages of the store
 * mostly end before, and a successor without a majority has to wait for it. */
#define BSH_LEASE_EXTENSION_US INT64_C(10000000)
/* Covers the delay of an order on its way and the error of timers. */
#define BSH_LEASE_MARGIN_US INT64_C(400000)

typedef enum {
	BSH_LEASE_NOTHING,
	BSH_LEASE_CREATE,  /* create the object */
	BSH_LEASE_REPLACE, /* replace it, if it has lease->revision */
	BSH_LEASE_READ	   /* read it */
} bsh_lease_call_t;

typedef enum {
	BSH_LEASE_DONE,	    /* carried out: revision is the new one */
	BSH_LEASE_CONFLICT, /* not carried out: the object as it is */
	BSH_LEASE_ABSENT,   /* there is no object */
	BSH_LEASE_FAILED,   /* not carried out: the store refused */
	BSH_LEASE_UNKNOWN   /* no answer: perhaps carried out */
} bsh_lease_result_t;

typedef struct {
	char self[BSH_NAME_SIZE];
	int64_t lease_us;

	/* The object as last known. */
	bool known;
	uint64_t revision;
	char holder[BSH_NAME_SIZE]; /* empty: released */
	bool active;	  /* its holder has waited for the one before it */
	bool was_read;	  /* in this revision, not only heard of */
	bool clean;	  /* released with the list of targets ordered lately */
	int64_t since_us; /* this revision is known since then */
	int64_t heard_us; /* last message of its holder */
	int64_t reached_us; /* the store answers since then; 0: it does not */

	/* The own term. */
	bool holding;
	uint64_t term;
	int64_t taken_us;
	int64_t inherited_until_us; /* the list that it was left matters */
	int64_t restarted_us; /* until when the process before this one may have
				 ordered lately; 0: there was none */
	int64_t renewed_us;   /* start of the last successful update */
	int64_t first_order_us;	    /* no order before */
	int64_t others_until_us;    /* until when another holder's last order is
				  * too young */
	int64_t others_extended_us; /* the same if it was extended */
	int64_t extended_us; /* a majority supports the term until then */
	int64_t majority_us; /* since when it has had that; 0: never */

	bsh_lease_call_t running;
	int64_t call_began_us;
	int64_t retry_us;   /* no call before */
	bool update_active; /* what the running update says of `active` */
	bool check;	    /* the outcome of an update is not known */
	bool releasing;
	uint32_t jitter_us; /* spreads the takeover attempts */
} bsh_lease_t;

/*
 * bsh_lease_delay_us - how long an instance waits before it tries to take the
 * lease: one with a larger share of a core always less than one with half of
 * it, as the holder's work grows with the fleet, and each its own time, so that
 * the others hear of the first one before they try.
 */
uint32_t bsh_lease_takeover_delay_us(const char *instance, double cpu_share);

/* bsh_lease_init - jitter_us: delay of this instance before it takes over. */
void bsh_lease_init(bsh_lease_t *lease, const char *self, uint32_t lease_ms,
		    uint32_t jitter_us, int64_t now_us);

/*
 * bsh_lease_next - the call to make now.  For CREATE and REPLACE the object
 * names lease->self as its holder, or nobody while lease->releasing, and is
 * active if lease->began_active is true.
 */
bsh_lease_call_t bsh_lease_next(bsh_lease_t *lease, int64_t now_us);

/*
 * bsh_lease_done - the result of that call.  holder, active and revision are
 * those of the object that the answer shows; holder is NULL when it shows none.
 */
void bsh_lease_done(bsh_lease_t *lease, bsh_lease_result_t result,
		    const char *holder, bool active, uint64_t revision,
		    int64_t now_us);

/* bsh_lease_heard - a holder told of its lease. */
void bsh_lease_announced(bsh_lease_t *lease, const char *holder, bool active,
			 uint64_t revision, int64_t now_us);

/*
 * bsh_lease_released - the holder of this revision tells that it gives no more
 * orders; listed: with all targets that it has ordered lately.
 *
 * RETURN VALUE
 *	False if it is not, or no longer, the holder.
 */
bool bsh_lease_released(bsh_lease_t *lease, const char *holder, bool active,
			bool listed, uint64_t revision, int64_t now_us);

/*
 * bsh_lease_hand_over - a holder that cannot reach the store gives no more
 * orders, so that another one can take the lease.  Its list of targets ordered
 * lately must then be told with this revision.
 *
 * RETURN VALUE
 *	False if it cannot be handed over now, and nothing has changed.
 */
bool bsh_lease_hand_over(bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_is_list_whole - this process knows all targets that were ordered
 * lately: they may be listed when it releases the lease. */
bool bsh_lease_is_order_list_complete(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_set_clean - the object of this revision, which was read, lists the
 * targets that its former holder has ordered lately. */
void bsh_lease_set_has_order_list(bsh_lease_t *lease, uint64_t revision);

/* bsh_lease_reached - whether the store answers this instance. */
void bsh_lease_set_store_reachable(bsh_lease_t *lease, bool reached,
				   int64_t now_us);

/* bsh_lease_supported - a majority supports the own term until then. */
void bsh_lease_supported(bsh_lease_t *lease, int64_t until_us, int64_t now_us);

/* bsh_lease_may_order - true while orders may be given. */
bool bsh_lease_may_order(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_is_holder - true from the takeover to the end of the term. */
bool bsh_lease_is_holder(const bsh_lease_t *lease, int64_t now_us);

/* bsh_lease_release - give no more orders and let another one take over. */
void bsh_lease_release(bsh_lease_t *lease);

#endif
