#ifndef BSH_COORDINATION_FAIR_ORDER_H
#define BSH_COORDINATION_FAIR_ORDER_H

/*
 * NAME
 *	fair_order - order in which waiting requests of client accounts are sent
 *
 * DESCRIPTION
 *	Start-time fair queueing: each request gets a tag, the later of the virtual
 *	time and the end of its account's request before; that ends later by its
 *	cost divided by the weight of the account.  Lower tags go first.  So an
 *	account with many requests waits behind its own, and one with few does not
 *	wait behind those.
 *
 *	Pure: no I/O and no clock.
 *
 * SOURCE
 *	Goyal, Vin, Cheng: Start-time fair queueing, 1996.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	double virtual_time; /* tag of the last request that was sent */
	GHashTable *ends;    /* account to double */
} bsh_fair_order_t;

void bsh_fair_order_init(bsh_fair_order_t *order);
void bsh_fair_order_finish(bsh_fair_order_t *order);

/* bsh_fair_order_tag - tag of a request that has arrived.  weight: above 0, the
 * limit of the account, so that all may use the same part of theirs. */
double bsh_fair_order_tag(bsh_fair_order_t *order, uint32_t account,
			  double cost, double weight);
/* bsh_fair_order_sent - the request with this tag is sent. */
void bsh_fair_order_sent(bsh_fair_order_t *order, double tag);

#endif
