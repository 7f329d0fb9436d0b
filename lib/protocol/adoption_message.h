#ifndef BSH_PROTOCOL_ADOPTION_MESSAGE_H
#define BSH_PROTOCOL_ADOPTION_MESSAGE_H

/*
 * NAME
 *	adoption_message - encoding of the configuration agreement messages
 *
 * DESCRIPTION
 *	Bodies of ADOPTION messages; see coordination/adoption.h for the
 *	protocol.  FRESH_REQUEST and FRESH are sent as datagrams, the others
 *	as TCP frames.  The layers below add type, stamp, sender and
 *	incarnation.
 *
 * ERRORS
 *	As for member_message; the counter is
 *	bsh_adoption_message_malformed_total.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/settings.h"

/* Witnesses are the instances that vote on a configuration. */
#define BSH_WITNESSES_MAX 9

/* The store limits a value, and so a document, to 1 MB.  A frame of 1 MiB has
 * space for it and the other fields. */
#define BSH_ADOPTION_DOCUMENT_MAX_BYTES 1000000

typedef enum {
	BSH_ADOPTION_FRESH_REQUEST = 0, /* request a confirmation or a vote */
	BSH_ADOPTION_FRESH,		/* reply to FRESH_REQUEST */
	BSH_ADOPTION_PREPARE,		/* propose a generation to a witness */
	BSH_ADOPTION_PREPARED,		/* reply to PREPARE */
	BSH_ADOPTION_CONFIG_FETCH,	/* request a document */
	BSH_ADOPTION_CONFIG,		/* document or delta */
	BSH_ADOPTION_KINDS
} bsh_adoption_kind_t;

/* Object config/document of the store. */
typedef struct {
	uint64_t version;    /* of the object in the store */
	uint64_t generation; /* of the configuration */
	uint32_t n_witnesses;
	char witnesses[BSH_WITNESSES_MAX][BSH_NAME_SIZE];
	uint64_t hash;	  /* of the document, computed by ops->hash() */
	GBytes *document; /* opaque to this module */
} bsh_adoption_object_t;

typedef struct {
	bsh_adoption_kind_t kind;
	uint64_t sequence;   /* of the request; repeated by its reply */
	uint64_t generation; /* FRESH*, CONFIG_FETCH: adopted by the sender;
			      * PREPARE*: proposed; CONFIG: of the document */
	uint64_t settled;    /* FRESH*: lowest generation that the sender, or
			      * an instance it confirmed, may still run */
	uint32_t confirm_age_ms; /* FRESH: age of the sender's confirmation;
				  * BSH_MEMBER_AGE_NONE_MS: none */
	bool vote;     /* FRESH_REQUEST: vote requested; FRESH: vote granted */
	bool confirm;  /* FRESH_REQUEST: confirmation requested */
	bool accepted; /* PREPARED: the witness accepts the proposal */
	uint64_t version; /* PREPARE: store version the proposal is based on;
			   * PREPARED: highest one the witness has observed;
			   * CONFIG: of the generation */
	uint64_t from; /* CONFIG: base generation of the delta, 0: document */
	uint64_t hash; /* CONFIG: of the document, after applying a delta */
	uint32_t n_witnesses; /* CONFIG */
	char witnesses[BSH_WITNESSES_MAX][BSH_NAME_SIZE];
	GBytes *body; /* CONFIG: document or delta; otherwise may be NULL */
} bsh_adoption_message_t;

/* bsh_bytes_clear - release *bytes, which may be NULL, and set it to NULL. */
static inline void bsh_bytes_clear(GBytes **bytes)
{
	g_bytes_unref(*bytes);
	*bytes = NULL;
}

/* bsh_adoption_message_encode - encode into a new GBytes; NULL if too large. */
GBytes *bsh_adoption_message_encode(const bsh_adoption_message_t *msg);

/*
 * bsh_adoption_message_decode - on success msg->body belongs to the caller and
 * is released by bsh_adoption_message_finish().
 */
bsh_error_t bsh_adoption_message_decode(bsh_adoption_message_t *msg,
					const uint8_t *buf, size_t size);
void bsh_adoption_message_finish(bsh_adoption_message_t *msg);

#endif
