#ifndef BSH_PROTOCOL_MEMBER_MESSAGE_H
#define BSH_PROTOCOL_MEMBER_MESSAGE_H

/*
 * NAME
 *	member_message - encoding of the membership protocol's datagrams
 *
 * DESCRIPTION
 *	Bodies of MEMBER messages; see coordination/member.h for the
 *	protocol.  The datagram layer adds type, stamp, sender and
 *	incarnation, and checks the MAC and the sequence number.
 *
 *	A datagram has at most 1,200 bytes.  Up to
 *	BSH_MEMBER_HEADER_MAX_BYTES of them are reserved for the other layers:
 *	length 4, MAC 16, sequence number 8, array header 3, type 2, stamp 14,
 *	sender 65, incarnation 9, and 7 spare.
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
	BSH_MEMBER_PING = 0, /* direct probe */
	BSH_MEMBER_PING_REQ, /* request to another member to probe `target` */
	BSH_MEMBER_ACK,	     /* reply to PING and PING_REQ */
	BSH_MEMBER_GOSSIP, /* updates that are sent at once, not with a probe */
	BSH_MEMBER_SYNC_REQUEST, /* digests of the sender's records */
	BSH_MEMBER_SYNC,	 /* reply: records in buckets that differ */
	BSH_MEMBER_KINDS
} bsh_member_kind_t;

typedef enum {
	BSH_MEMBER_ALIVE = 0,
	BSH_MEMBER_SUSPECT, /* probe unanswered; dead unless refuted in time */
	BSH_MEMBER_DEAD,    /* not refuted in time; probed at a low rate */
	BSH_MEMBER_GONE,    /* gone according to the platform's list; final */
	BSH_MEMBER_STATES
} bsh_member_state_t;

typedef enum {
	BSH_UPDATE_MEMBER = 0, /* state of an instance */
	BSH_UPDATE_TARGET,     /* target that is leaving */
	BSH_UPDATE_CELL,       /* owner of a cell, a hint */
	BSH_UPDATE_TYPES
} bsh_update_type_t;

/* Availability zone and addresses of an instance. */
typedef struct {
	char zone[BSH_NAME_SIZE];
	char gossip[BSH_ADDRESS_SIZE]; /* IP:port of the UDP datagrams */
	char link[BSH_ADDRESS_SIZE];   /* IP:port of the TCP frames */
	char entry[BSH_ADDRESS_SIZE];  /* IP:port that callers connect to */
} bsh_member_place_t;

typedef struct {
	bsh_update_type_t type;
	char name[BSH_NAME_SIZE]; /* of the instance, target or cell */
	uint64_t incarnation;	  /* of the process; CELL: epoch of ownership */
	uint32_t revision; /* MEMBER: raised to refute a suspicion, counted
			    * within the incarnation; TARGET: minutes since it
			    * was found leaving */
	bsh_member_state_t state;
	bool leaving;
	bool has_place; /* MEMBER: place is set */
	bsh_member_place_t place;
	char owner[BSH_NAME_SIZE]; /* CELL: instance */
} bsh_member_update_t;

typedef struct {
	bsh_member_kind_t kind;
	uint64_t sequence; /* of a probe or request; repeated by its reply */
	char target[BSH_NAME_SIZE]; /* PING_REQ: member to probe;
				     * ACK: member that is alive;
				     * otherwise intended receiver, "" for a
				     * seed */
	uint64_t generation;	    /* of the sender's configuration, 0: none */
	uint64_t hash;		    /* of the document of that generation */
	uint32_t confirm_age_ms;    /* age of the sender's confirmation
				  * (coordination/adoption.h); informative */
	uint64_t cursor; /* SYNC_REQUEST: rank of the first member to send */
	uint32_t leaving_digest; /* over the leaving instances and targets
				  * recorded by the sender */
	uint32_t digests[BSH_MEMBER_SYNC_BUCKETS]; /* SYNC_REQUEST only */
	uint32_t n_updates;
	bsh_member_update_t updates[BSH_MEMBER_UPDATES_MAX];
} bsh_member_message_t;

/*
 * bsh_member_message_encode - write the body into buf.  Updates are written in
 * order; the first that does not fit into size bytes and all later ones are
 * omitted.
 *
 * RETURN VALUE
 *	The size in bytes, or 0 if the fixed fields do not fit.  *n_written
 *	(may be NULL) is set to the number of updates written.
 */
size_t bsh_member_message_encode(const bsh_member_message_t *msg, uint8_t *buf,
				 size_t size, uint32_t *n_written);

bsh_error_t bsh_member_message_decode(bsh_member_message_t *msg,
				      const uint8_t *buf, size_t size);

/* bsh_member_update_bytes - upper bound of the encoded size of an update. */
size_t bsh_member_update_bytes(const bsh_member_update_t *update);

#endif
