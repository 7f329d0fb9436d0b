#ifndef BSHENTRYD_ORDERS_PRIVATE_H
#define BSHENTRYD_ORDERS_PRIVATE_H

/*
 * NAME
 *	orders_private - what orders.c and order_lease.c share
 *
 * DESCRIPTION
 *	orders.c	planners, their orders, demand and placements
 *	order_lease.c	who may give orders: the lease and its store object,
 *			support of a majority, release and handover
 */

#include "control.h"
#include "coordination/quorum.h"

/* What instances say of the store is new for this time. */
#define STORE_REACHED_MAX_AGE_US INT64_C(1000000)

typedef struct {
	orders_t *orders;
	char *service;
	bsh_planner_t *planner;
} service_t;

struct orders {
	control_t *control;
	bsh_lease_t lease;
	bool was_holder;
	GPtrArray *services; /* service_t */
	GArray *ready;	     /* view_ready_t, own or as told by the holder */
	int64_t beacon_us;
	int64_t estimate_us;
	uint32_t beacon_next;	    /* target that the next beacon repeats */
	char holder[BSH_NAME_SIZE]; /* as last heard */
	int64_t heard_us;
	int64_t contact_us; /* when the store last answered that holder */
	bsh_promise_t promise;
	bsh_quorum_t quorum;
	uint64_t quorum_term;
	uint64_t echo_term; /* of the holder's last message */
	uint64_t echo_us;   /* its sent_us */
	int64_t echo_heard_us;
	int64_t peer_reached_us; /* last time that one said so */
	int64_t first_order_us;	 /* as it was logged */
	uint64_t released_revision;
	uint32_t tell_release;	 /* times that a release is still told */
	GHashTable *ordered;	 /* target to when it was last ordered */
	uint64_t announced_term; /* of the announcements that are counted */
	uint64_t have;		 /* known without a gap up to this one */
	uint64_t last_announced;
	int64_t gap_us; /* since when announcements are missing; 0: none are */
};

static inline int64_t now_us(const orders_t *orders)
{
	return control_now_us(orders->control);
}

/* order_lease.c */
void order_lease_register(void);
/* Calls the store when due, counts support, and notes the own term. */
void order_lease_tick(orders_t *orders);
/* The target is ordered now. */
void order_lease_record_order(const orders_t *orders, const char *target);

#endif
