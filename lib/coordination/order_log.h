#ifndef BSH_COORDINATION_ORDER_LOG_H
#define BSH_COORDINATION_ORDER_LOG_H

/*
 * NAME
 *	order_log - write-ahead log of orders, at the voters of the order lease
 *
 * DESCRIPTION
 *	The successor of a holder that was killed or is frozen does not know to
 *	which targets the holder gave its last orders.  A holder that logs its
 *	orders sends the keys of their targets to the voters first, and gives an
 *	order only once a majority has acknowledged its entry.  A successor asks
 *	the voters for their entries, after which they accept no more of earlier
 *	terms.  The answers of a majority name each target to which a former
 *	holder has given an order lately or may still give one, as two
 *	majorities of one set overlap.
 *
 *	An entry permits an order for BSH_ORDER_LOG_VALID_US by the holder's
 *	clock.  A voter receives it later than it was made, so the order is at
 *	most that much later than the receipt.  No clocks are compared.
 *
 *	Each message of the holder has all its entries that are still valid, so
 *	the acknowledgement of one that was sent after an entry was made, and
 *	arrived while it is valid, covers that entry although others were lost.
 *
 *	A voter that has started lately has lost its entries and the terms that
 *	it refuses; it takes part only once no holder from before its start can
 *	have a term or a recent order.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Microseconds of a clock that continues while the machine is suspended.
 *
 * SOURCE
 *	Lamport, Paxos Made Simple, 2001, for overlapping majorities.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/order_list.h"
#include "coordination/quorum.h"
#include "coordination/voters.h"

/* Time for which an entry permits an order: two repetitions of a message at the
 * interval of 50 ms at which the holder works, and the slowest round trip. */
#define BSH_ORDER_LOG_VALID_US INT64_C(200000)
/* Valid entries of one holder, so that a message fits a datagram. */
#define BSH_ORDER_LOG_KEYS_MAX BSH_RELEASE_KEYS_MAX

/* The log at one voter. */
typedef struct {
	int64_t ready_us;    /* when it takes part */
	int64_t keep_us;     /* time for which an entry counts */
	uint64_t term;	     /* entries of earlier terms are refused */
	GHashTable *entries; /* target key to int64_t, last receipt */
} bsh_order_log_t;

/* bsh_order_log_init - the log of a process that starts now.  absent_us: longest
 * time for which a previous holder may have a term, or its order may be recent.
 * exclusion_us: time for which an order excludes its target. */
void bsh_order_log_init(bsh_order_log_t *log, int64_t absent_us,
			int64_t exclusion_us, int64_t now_us);
void bsh_order_log_finish(bsh_order_log_t *log);

/* bsh_order_log_append - false: refused, no acknowledgement may be sent. */
bool bsh_order_log_append(bsh_order_log_t *log, uint64_t term,
			  const uint32_t *keys, uint32_t n, int64_t now_us);

/*
 * bsh_order_log_read - append to a list of bsh_order_time_t the entries that may
 * stand for a recent order, with the time of their receipt, for the holder of a
 * term.
 * Entries of earlier terms are refused from now on.
 *
 * RETURN VALUE
 *	False: no answer may be sent.
 */
bool bsh_order_log_read(bsh_order_log_t *log, uint64_t term, GArray *list,
			int64_t now_us);

/* The log of the holder's term. */
typedef struct {
	uint64_t term;
	GArray *valid;	 /* bsh_order_time_t, the oldest first */
	int64_t made_us; /* last time of an entry or message */
	bsh_quorum_t acknowledged;
} bsh_order_log_writer_t;

void bsh_order_log_writer_init(bsh_order_log_writer_t *writer);
void bsh_order_log_writer_finish(bsh_order_log_writer_t *writer);
void bsh_order_log_writer_begin(bsh_order_log_writer_t *writer, uint64_t term);

/*
 * bsh_order_log_write - make an entry.
 *
 * RETURN VALUE
 *	Its time; 0: there are BSH_ORDER_LOG_KEYS_MAX valid ones.
 */
int64_t bsh_order_log_write(bsh_order_log_writer_t *writer, uint32_t key,
			    int64_t now_us);

/*
 * bsh_order_log_message - the keys of all valid entries, for a message to the
 * voters.  The time of the message is in *sent_us; voters return it.
 *
 * RETURN VALUE
 *	Number of keys.
 */
uint32_t bsh_order_log_message(bsh_order_log_writer_t *writer,
			       uint32_t keys[BSH_ORDER_LOG_KEYS_MAX],
			       int64_t *sent_us, int64_t now_us);

/* bsh_order_log_acknowledge - a voter has acknowledged a message. */
void bsh_order_log_acknowledge(bsh_order_log_writer_t *writer,
			       const char *voter, int64_t sent_us);

/* bsh_order_log_acknowledged - newest message that a majority of voters, and of
 * former_voters if it names any, has acknowledged; 0: none. */
int64_t bsh_order_log_acknowledged(const bsh_order_log_writer_t *writer,
				   const bsh_voters_t *voters,
				   const bsh_voters_t *former_voters);

/* bsh_order_log_permits - true if an order whose entry was made at written_us
 * may be given, where a majority has acknowledged the message of
 * acknowledged_us. */
bool bsh_order_log_permits(int64_t written_us, int64_t acknowledged_us,
			   int64_t now_us);

/* bsh_order_log_is_valid - false once the entry permits no order any more. */
bool bsh_order_log_is_valid(int64_t written_us, int64_t now_us);

/* Answers of the voters to a successor. */
typedef struct {
	uint64_t term;	     /* of the successor; 0: nothing is read */
	GHashTable *lists;   /* voter to bsh_order_list_t, being received */
	bsh_quorum_t voters; /* that have answered completely */
} bsh_order_log_reader_t;

void bsh_order_log_reader_init(bsh_order_log_reader_t *reader);
void bsh_order_log_reader_finish(bsh_order_log_reader_t *reader);
void bsh_order_log_reader_begin(bsh_order_log_reader_t *reader, uint64_t term);

/*
 * bsh_order_log_receive - add one part of a voter's answer.
 *
 * RETURN VALUE
 *	The list (bsh_order_time_t, times of receipt) that it has completed, or
 *	NULL.  Answers to later questions have higher revisions, so that their
 *	parts are not mixed.
 */
const GArray *bsh_order_log_receive(bsh_order_log_reader_t *reader,
				    const char *voter,
				    const bsh_msg_release_keys_t *message,
				    int64_t now_us);

/* bsh_order_log_add_answer - a voter, this instance, has answered. */
void bsh_order_log_add_answer(bsh_order_log_reader_t *reader,
			      const char *voter);

/* bsh_order_log_is_read - true if a majority of voters, and of former_voters if
 * it names any, has answered. */
bool bsh_order_log_is_read(const bsh_order_log_reader_t *reader,
			   const bsh_voters_t *voters,
			   const bsh_voters_t *former_voters);

#endif
