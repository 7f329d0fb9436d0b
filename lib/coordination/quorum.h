#ifndef BSH_COORDINATION_QUORUM_H
#define BSH_COORDINATION_QUORUM_H

/*
 * NAME
 *	quorum - majority support for the holder of the lease
 *
 * DESCRIPTION
 *	While the store is unavailable the lease can neither be renewed nor
 *	taken over.  A holder with the support of a majority of the voters
 *	that its lease object names (coordination/voters.h) continues its
 *	term.  A new holder with the support of a majority of the voters that
 *	the replaced object named can conclude that the former one has lost
 *	it, as two majorities of one set overlap.
 *
 *	Each announcement of the holder contains the time of its own clock.
 *	An instance echoes the newest time that it has received and promises
 *	to support no other term for BSH_QUORUM_PROMISE_US after it received
 *	that announcement.  The holder counts the promise from the echoed
 *	time, which is earlier, so it never relies on a promise that has
 *	ended, however long a message was delayed or a process was paused.
 *	No clocks are compared.  A process has lost its promises after a
 *	restart, so it supports no term for the first BSH_QUORUM_PROMISE_US.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a clock that continues while the machine is suspended;
 *	echoed times are of the holder's clock.
 *
 * SOURCE
 *	Gray and Cheriton, Leases, 1989; Lamport, Paxos Made Simple, 2001,
 *	for overlapping majorities.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/voters.h"

/* Several times the interval of the holder's announcements (300 ms) and of the
 * reports of an instance (250 ms), so that lost datagrams do not end the
 * support. */
#define BSH_QUORUM_PROMISE_US INT64_C(1500000)

/* Promise of one instance. */
typedef struct {
	uint64_t term;
	int64_t until_us;
} bsh_promise_t;

/* bsh_promise_init - initialize for a process that starts now. */
void bsh_promise_init(bsh_promise_t *promise, int64_t now_us);

/*
 * bsh_promise_give - support the term announced at received_us.
 *
 * RETURN VALUE
 *	False if the promise to another term has not ended or the announcement
 *	is older than BSH_QUORUM_PROMISE_US; no echo may be sent then.
 */
bool bsh_promise_give(bsh_promise_t *promise, uint64_t term,
		      int64_t received_us, int64_t now_us);

/* bsh_promise_end - the holder of the term gives no more orders. */
void bsh_promise_end(bsh_promise_t *promise, uint64_t term, int64_t now_us);

/* Promises that the holder has received during its term. */
typedef struct {
	GHashTable *echoes; /* instance to its newest echoed time */
} bsh_quorum_t;

void bsh_quorum_init(bsh_quorum_t *quorum);
void bsh_quorum_finish(bsh_quorum_t *quorum);

/* bsh_quorum_begin - begin a term without any support. */
void bsh_quorum_begin(bsh_quorum_t *quorum);

/* bsh_quorum_add - an instance, possibly this one, supports the term. */
void bsh_quorum_add(bsh_quorum_t *quorum, const char *instance,
		    int64_t echo_us);

/* bsh_quorum_support_until - end of the support by a majority of voters and, if
 * former_voters names any, by a majority of those too; 0: the voters are not
 * known or a majority has not supported the term. */
int64_t bsh_quorum_support_until(const bsh_quorum_t *quorum,
				 const bsh_voters_t *voters,
				 const bsh_voters_t *former_voters);

#endif
