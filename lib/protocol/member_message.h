#ifndef BSH_PROTOCOL_MEMBER_MESSAGE_H
#define BSH_PROTOCOL_MEMBER_MESSAGE_H

/*
 * NAME
 *	member_message - bodies of the membership datagrams
 *
 * DESCRIPTION
 *	The fields after `incarnation` of a datagram's msgpack array.  The
 *	frame layer adds type, stamp, sender and incarnation, and checks the
 *	MAC and the sequence.
 *
 *	A datagram holds at most 1,200 bytes.  The frame takes up to
 *	BSH_MEMBER_HEADER_MAX_BYTES of it: length 4, MAC 16, sequence 8, array
 *	header 3, type 2, stamp 14, sender 65, incarnation 9, and 7 spare.
 *
 * ERRORS
 *	bsh_member_message_decode() returns BSH_ERR_INVALID for truncated or
 *	malformed input, BSH_ERR_TOO_LARGE above the size limit, and
 *	increments bsh_member_message_malformed_total for both.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

#define BSH_MEMBER_DATAGRAM_MAX_BYTES 1200
#define BSH_MEMBER_HEADER_MAX_BYTES   128
#define BSH_MEMBER_BODY_MAX_BYTES                                              \
	(BSH_MEMBER_DATAGRAM_MAX_BYTES - BSH_MEMBER_HEADER_MAX_BYTES)

#define BSH_MEMBER_UPDATES_MAX	24
#define BSH_MEMBER_SYNC_BUCKETS 64
#define BSH_MEMBER_AGE_NONE_MS	UINT32_MAX

typedef enum {
	BSH_MEMBER_PING = 0, /* probe; answered by ACK */
	BSH_MEMBER_PING_REQ, /* asks a third member to probe `target` */
	BSH_MEMBER_ACK,
	BSH_MEMBER_GOSSIP,	 /* news sent ahead of the next probe */
	BSH_MEMBER_SYNC_REQUEST, /* digests; answered by records that differ */
	BSH_MEMBER_SYNC,
	BSH_MEMBER_KINDS
} bsh_member_kind_t;

typedef enum {
	BSH_MEMBER_ALIVE = 0,
	BSH_MEMBER_SUSPECT, /* did not answer, has time to refute */
	BSH_MEMBER_DEAD,    /* did not refute; still tried now and then */
	BSH_MEMBER_GONE,    /* the platform's list says so; final */
	BSH_MEMBER_STATES
} bsh_member_state_t;

typedef enum {
	BSH_UPDATE_MEMBER = 0, /* state of an instance */
	BSH_UPDATE_TARGET,     /* a leaving target */
	BSH_UPDATE_CELL,       /* hint: who owns a cell */
	BSH_UPDATE_TYPES
} bsh_update_type_t;

typedef struct {
	char zone[BSH_NAME_SIZE];
	char gossip[BSH_ADDRESS_SIZE]; /* IP:port of the UDP datagrams */
	char link[BSH_ADDRESS_SIZE];   /* IP:port of the TCP frames */
	char entry[BSH_ADDRESS_SIZE];  /* IP:port that callers connect to */
} bsh_member_place_t;

typedef struct {
	bsh_update_type_t type;
	char name[BSH_NAME_SIZE]; /* instance, target or cell */
	uint64_t incarnation;	  /* of the process; epoch of a cell */
	uint32_t revision; /* raised to refute, per incarnation; of a target:
			    * minutes since it was found leaving */
	bsh_member_state_t state;
	bool leaving;
	bool has_place; /* BSH_UPDATE_MEMBER: place is filled in */
	bsh_member_place_t place;
	char owner[BSH_NAME_SIZE]; /* BSH_UPDATE_CELL */
} bsh_member_update_t;

typedef struct {
	bsh_member_kind_t kind;
	uint64_t sequence; /* an ACK or SYNC repeats that of the question */
	char target[BSH_NAME_SIZE]; /* PING: whom it is meant for, may be
				     * empty for a seed; PING_REQ: whom to
				     * probe; ACK: who is alive */
	uint64_t generation;	    /* adopted by the sender, 0: none */
	uint64_t hash;		    /* of that document */
	uint32_t confirm_age_ms;    /* informative; see adoption.h */
	uint64_t cursor; /* SYNC_ASK: rank from which records are wanted */
	uint32_t leaving_digest; /* of the leaving flags the sender has */
	uint32_t digests[BSH_MEMBER_SYNC_BUCKETS]; /* SYNC_ASK only */
	uint32_t n_updates;
	bsh_member_update_t updates[BSH_MEMBER_UPDATES_MAX];
} bsh_member_message_t;

/*
 * bsh_member_message_encode - write the body into buf.
 *
 * Updates that do not fit into size bytes are left out from the end.
 *
 * RETURN VALUE
 *	The length; *n_written (may be NULL) is the number of updates written.
 *	0 if not even the fixed part fits.
 */
size_t bsh_member_message_encode(const bsh_member_message_t *msg, uint8_t *buf,
				 size_t size, uint32_t *n_written);

bsh_error_t bsh_member_message_decode(bsh_member_message_t *msg,
				      const uint8_t *buf, size_t size);

/* bsh_member_update_bytes - encoded size of one update, an upper bound. */
size_t bsh_member_update_bytes(const bsh_member_update_t *update);

#endif
