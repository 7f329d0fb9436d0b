#ifndef BSH_COORDINATION_DOCUMENT_FETCH_H
#define BSH_COORDINATION_DOCUMENT_FETCH_H

/*
 * NAME
 *	document_fetch - getting the configuration from another instance
 *
 * DESCRIPTION
 *	An instance that does not read the store gets a newer configuration in
 *	parts, by datagrams, from one that has it.  So that the instance that
 *	read it does not send it to all, the instances form a tree by their rank
 *	for that version: the first BSH_DOCUMENT_FANOUT ask the one that told of
 *	the version, the others ask one of a lower rank, a moment later.
 *
 *	A part that does not come is asked for again, after some tries from
 *	another instance, and at last the store is asked.
 *
 *	Pure: no I/O and no clock.
 *
 * UNITS
 *	Names ending in _us are microseconds of any one clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/* Instances that ask one. */
#define BSH_DOCUMENT_FANOUT 8U
/* Versions that an instance keeps to send, the one in force included. */
#define BSH_DOCUMENT_KEPT 4U
/* Parts that one query is answered with at most. */
#define BSH_DOCUMENT_WINDOW 24U

typedef enum {
	BSH_DOCUMENT_NOTHING, /* no query is due */
	BSH_DOCUMENT_PARENT,  /* ask the one above in the tree */
	BSH_DOCUMENT_TELLER,  /* ask the one that told of the version */
	BSH_DOCUMENT_ANY,     /* ask any other instance */
	BSH_DOCUMENT_STORE    /* read the store */
} bsh_document_source_t;

typedef struct {
	uint64_t known;	 /* version in force here; 0: none */
	uint64_t wanted; /* 0: nothing is fetched */
	int64_t told_us; /* when it was wanted first */
	uint32_t tries;	 /* queries without progress */
	int64_t next_us; /* of the next query */
	/* Version that the store did not have, and when it was read; 0: none */
	uint64_t absent;
	int64_t absent_us;
	bool asked_store; /* for the wanted version, as no instance sent it */
	int64_t store_again_us; /* besides, not again before */
	/* Parts received of one version. */
	uint64_t version; /* 0: none */
	uint32_t parts;
	uint32_t asked_until; /* first part behind those of the last query */
	GPtrArray *received;  /* GBytes by part; NULL: missing */
} bsh_document_fetch_t;

void bsh_document_fetch_init(bsh_document_fetch_t *fetch);
void bsh_document_fetch_finish(bsh_document_fetch_t *fetch);

/* bsh_document_fetch_want - an instance has this version.  rank: of this one for
 * the version. */
void bsh_document_fetch_want(bsh_document_fetch_t *fetch, uint64_t version,
			     uint32_t rank, int64_t now_us);

/* bsh_document_fetch_set_known - a configuration is in force; ends a fetch of
 * that version or an older one. */
void bsh_document_fetch_set_known(bsh_document_fetch_t *fetch,
				  uint64_t version);

/* bsh_document_fetch_confirmed - an instance that reads the store vouches for the
 * version as of at_us: if the store lacked it before, it is fetched again. */
void bsh_document_fetch_confirmed(bsh_document_fetch_t *fetch, uint64_t version,
				  int64_t at_us);

/* bsh_document_fetch_store_read - the store was read from began_us on, and what
 * it has is in force: a version above that, of which this instance was told
 * before and which no instance sends, is not fetched for a while, as the one that
 * told is wrong or ahead of a store that was restored.  One that was only read
 * elsewhere, as of an older copy, is still asked for. */
void bsh_document_fetch_store_read(bsh_document_fetch_t *fetch,
				   int64_t began_us, int64_t now_us);

/* bsh_document_fetch_next - where to ask now; *from is the first part to ask
 * for. */
bsh_document_source_t bsh_document_fetch_next(bsh_document_fetch_t *fetch,
					      int64_t now_us, uint32_t *from);

/* bsh_document_fetch_due_us - when bsh_document_fetch_next() has to be called
 * again; INT64_MAX: not before the next event. */
int64_t bsh_document_fetch_due_us(const bsh_document_fetch_t *fetch);

/*
 * bsh_document_fetch_part - a part was received.
 *
 * RETURN VALUE
 *	The whole document, which the caller releases, or NULL.
 */
GBytes *bsh_document_fetch_part(bsh_document_fetch_t *fetch, uint64_t version,
				uint32_t part, uint32_t parts, const void *data,
				size_t size_bytes, int64_t now_us);

/* bsh_document_fetch_refused - the received document cannot be read: it is
 * fetched again, from elsewhere. */
void bsh_document_fetch_refused(bsh_document_fetch_t *fetch, int64_t now_us);

/*
 * bsh_document_choose - which of the versions that an instance keeps, the newest
 * one first, it sends to one that has known in force and parts of partial (0:
 * none).  That one is completed if it is kept: where versions follow each other
 * faster than a document is sent, it would begin anew with each.
 *
 * RETURN VALUE
 *	Index of the version; n: none is newer.
 */
uint32_t bsh_document_choose(const uint64_t *versions, uint32_t n,
			     uint64_t known, uint64_t partial);

/* bsh_document_parent - rank of the instance above one of this rank; UINT32_MAX:
 * the one that told. */
uint32_t bsh_document_parent(uint32_t rank);

#endif
