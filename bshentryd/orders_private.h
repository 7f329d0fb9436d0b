#ifndef BSHENTRYD_ORDERS_PRIVATE_H
#define BSHENTRYD_ORDERS_PRIVATE_H

/*
 * NAME
 *	orders_private - state shared by orders.c and order_lease.c
 *
 * DESCRIPTION
 *	orders.c	planners, their orders, demand and placements
 *	order_lease.c	the lease that permits orders: its store object, the
 *			quorum that extends it, release and handover
 *	logged_orders.c	orders that wait for their entry in the log of the
 *			voters, and the log of the former holder
 *
 * UNITS
 *	Names ending in _us are microseconds of CLOCK_BOOTTIME.
 */

#include "control.h"
#include "coordination/order_list.h"
#include "coordination/order_log.h"
#include "coordination/quorum.h"

/* Planner of one service with an engine. */
typedef struct {
	orders_t *orders;
	char *name;
	bsh_planner_t *planner;
} service_t;

/* A pending order to a target, or a pending request for its report. */
typedef struct {
	orders_t *orders;
	char *service;
	char *target;
	char *description; /* of the order, for the log; NULL: a report */
	char *address;
	char *model;
	char *adapter; /* NULL: the order is for the model */
	bool load;
	uint64_t expected;  /* orders that the target has accepted before */
	int64_t written_us; /* time of its log entry */
	int64_t sent_us;    /* when its connection was begun */
	int64_t started_us;
} order_call_t;

struct orders {
	control_t *control;
	bsh_lease_t lease;
	uint32_t store_epoch;	 /* that the lease was last told of */
	bool was_holder;	 /* at the last tick */
	GPtrArray *services;	 /* service_t */
	GArray *ready;		 /* view_ready_t, computed here or announced */
	int64_t heartbeat_us;	 /* last heartbeat sent */
	int64_t estimated_us;	 /* last update of `ready` by the holder */
	uint32_t heartbeat_next; /* not used */
	char holder[BSH_NAME_SIZE]; /* last known lease holder; empty: none */
	int64_t holder_seen_us;	    /* last message of the holder, or last
				     * tick as the holder; 0: none */
	int64_t holder_contact_us;  /* last answer of the store to the holder,
				     * by its last message; 0: not known */
	bsh_promise_t promise;
	bsh_quorum_t quorum;
	uint64_t quorum_term;	     /* term that `quorum` counts */
	bsh_candidates_t candidates; /* that the voters are chosen from */
	uint64_t voters_term;	     /* term whose first voters are in it */
	bsh_voters_t next_voters;    /* the last choice */
	int64_t next_voters_us;	     /* since when it has not changed */
	int64_t voters_us;	     /* last choice of the voters; 0: none */
	int64_t yields_us;	     /* last look for larger instances */
	uint64_t echo_term;	     /* of the holder's newest message */
	uint64_t echo_us;	     /* sent_us of it, the holder's clock */
	int64_t echo_received_us;    /* when it was received */
	int64_t peer_reached_us;     /* last report of another instance that
				       * it reaches the store; 0: none */
	int64_t first_order_us;	     /* value of lease.first_order_us that was
				       * last logged */
	uint64_t released_revision;  /* of the lease at its release */
	uint32_t release_sends;	     /* RELEASE messages still to send */
	bool released_complete;	     /* its list has all recent orders */
	GArray *released;	     /* that list, bsh_order_time_t */
	bsh_order_list_t received;   /* list of a former holder, by keys */
	bool withholds;	     /* gives no orders, to hand the lease over */
	GHashTable *ordered; /* target key to its last order */
	int64_t started_us;
	bsh_announced_t announced; /* announcements of the holder */
	int64_t gap_since_us;	   /* since when announcements are missing;
				       * 0: none are */
	bsh_order_log_t log;	   /* of this instance as a voter */
	bsh_order_log_writer_t log_writer;
	bsh_order_log_reader_t log_reader;
	GPtrArray *logged;	/* order_call_t that wait for the voters */
	bool log_due;		/* an entry was made since the last message */
	bool must_log;		/* value that was last logged */
	int64_t log_sent_us;	/* last message to the voters */
	int64_t log_timely_us;	/* last acknowledgement by a majority in time */
	int64_t unlogged_us;	/* last order without an acknowledged entry */
	int64_t log_query_us;	/* last question to the voters */
	int64_t log_counted_us; /* when the targets were last counted */
	bool log_wanted;	/* there have been enough targets */
};

static inline int64_t now_us(const orders_t *orders)
{
	return control_now_us(orders->control);
}

/* orders.c */
bool orders_may_order(const orders_t *orders);
/* Sends an order, or tells its planner that it is not sent, and frees the call. */
void orders_send_call(order_call_t *call);
void orders_drop_call(order_call_t *call);

/* logged_orders.c */
void logged_orders_init(orders_t *orders);
void logged_orders_finish(orders_t *orders);
void logged_orders_begin_term(orders_t *orders);
typedef enum {
	LOGGED_ORDERS_SEND,   /* to be sent at once, without an entry */
	LOGGED_ORDERS_QUEUED, /* sent once its entry is acknowledged */
	LOGGED_ORDERS_FULL    /* cannot be sent now */
} logged_orders_result_t;
logged_orders_result_t logged_orders_add(orders_t *orders, order_call_t *call);
/* Sends entries to the voters, and orders whose entries they have acknowledged. */
void logged_orders_flush(orders_t *orders);
/* Tells the lease whether its object may say that orders are logged. */
void logged_orders_update_lease(orders_t *orders);
/* Asks the voters for the entries of a former holder, while the first order waits
 * for them. */
void logged_orders_read_former(orders_t *orders);

/* holder_list.c */
/* Follows the store while announcements are missing, this instance reads it for
 * others, or no holder has been heard yet; the holder otherwise. */
void holder_list_choose_source(orders_t *orders);

/* order_lease.c */
void order_lease_register(void);
/* Returns an empty table for orders->ordered. */
GHashTable *order_lease_new_times(void);
/* Calls the store when due, counts the quorum, hands over or releases the
 * lease, and logs changes of it. */
void order_lease_tick(orders_t *orders);
/* Gives targets of a new planner no order until the exclusion time of their last
 * order is over. */
void order_lease_defer_recent(const orders_t *orders, const service_t *service);
/* Time after an order during which no other holder may order its target. */
int64_t order_lease_exclusion_us(const orders_t *orders);
/* Number of targets that got an order, or may have, within that time. */
uint32_t order_lease_count_recent(const orders_t *orders);
/* Gives the target no order until the exclusion time of the former holder's
 * order is over.  The order is also listed when this instance releases the
 * lease. */
void order_lease_exclude_target(const orders_t *orders, uint32_t key,
				int64_t ordered_us);
/* Notes that an order is sent to the target now. */
void order_lease_record_order(const orders_t *orders, const char *target);

#endif
