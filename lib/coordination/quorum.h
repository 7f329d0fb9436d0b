#ifndef BSH_COORDINATION_QUORUM_H
#define BSH_COORDINATION_QUORUM_H

/*
 * NAME
 *	quorum - support of a majority of instances for the holder of the lease
 *
 * DESCRIPTION
 *	While the store is away nobody can renew the lease, and nobody can
 *	take it over.  A holder that a majority supports goes on; a new one
 *	that a majority supports knows that the former one has none left.
 *
 *	Each message of the holder carries its own clock.  An instance echoes
 *	the newest one that it has seen, and with it promises to support no
 *	other term for BSH_QUORUM_PROMISE_US after it came.  The holder counts
 *	the promise from the echoed time, which is earlier, so that it never
 *	relies on one that has ended, however long messages took or a process
 *	was paused; no clocks are compared.  A process that starts has
 *	forgotten its promises and supports nobody for that time.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a clock that runs on while the machine is suspended;
 *	echoes are of the holder's clock.
 *
 * SOURCE
 *	Gray and Cheriton, Leases, 1989; Lamport, Paxos Made Simple, 2001,
 *	for the majorities that overlap.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Several times the pause between the holder's messages (300 ms) and between
 * the reports of an instance (250 ms), so that lost datagrams do not end the
 * support. */
#define BSH_QUORUM_PROMISE_US INT64_C(1500000)

/* What an instance has promised. */
typedef struct {
	uint64_t term;
	int64_t until_us;
} bsh_promise_t;

/* bsh_promise_init - of a process that starts now. */
void bsh_promise_init(bsh_promise_t *promise, int64_t now_us);

/*
 * bsh_promise_give - support the term whose holder's message came at heard_us.
 *
 * RETURN VALUE
 *	False if another term still has the promise, or if that message is
 *	too old: then no echo may be sent.
 */
bool bsh_promise_give(bsh_promise_t *promise, uint64_t term, int64_t heard_us,
		      int64_t now_us);

/* bsh_promise_end - the holder of the term gives no more orders. */
void bsh_promise_end(bsh_promise_t *promise, uint64_t term, int64_t now_us);

/* What the holder has been promised during its term. */
typedef struct {
	GHashTable *echoes; /* instance to the newest echo */
	uint32_t instances; /* most that were known at a time */
	int64_t most_us;    /* when that was */
} bsh_quorum_t;

void bsh_quorum_init(bsh_quorum_t *quorum);
void bsh_quorum_finish(bsh_quorum_t *quorum);

/* bsh_quorum_begin - a new term. */
void bsh_quorum_begin(bsh_quorum_t *quorum);

/* bsh_quorum_known - how many instances there are, this one included. */
void bsh_quorum_set_instances(bsh_quorum_t *quorum, uint32_t instances,
			      int64_t now_us);

/* bsh_quorum_add - an instance, or this one itself, supports the term. */
void bsh_quorum_add(bsh_quorum_t *quorum, const char *instance,
		    int64_t echo_us);

/* bsh_quorum_until - how long a majority supports the term; 0: it never did. */
int64_t bsh_quorum_support_until(const bsh_quorum_t *quorum);

#endif
