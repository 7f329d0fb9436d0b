#ifndef BSH_PROTOCOL_ADOPTION_MESSAGE_H
#define BSH_PROTOCOL_ADOPTION_MESSAGE_H

/*
 * NAME
 *	adoption_message - bodies of the configuration messages
 *
 * DESCRIPTION
 *	FRESH_ASK and FRESH travel as datagrams, the others as TCP frames.
 *	The frame layer adds type, stamp, sender and incarnation.
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

#define BSH_WITNESSES_MAX 9

/* A stored value, and so a document, has at most 1 MB; a frame 1 MiB. */
#define BSH_ADOPTION_DOCUMENT_MAX_BYTES 1000000

typedef enum {
	BSH_ADOPTION_FRESH_REQUEST = 0, /* asks for a confirmation or a vote */
	BSH_ADOPTION_FRESH,
	BSH_ADOPTION_PREPARE,
	BSH_ADOPTION_PREPARED,
	BSH_ADOPTION_CONFIG_FETCH,
	BSH_ADOPTION_CONFIG, /* full document or delta */
	BSH_ADOPTION_KINDS
} bsh_adoption_kind_t;

/* What the store holds in config/document, and its version there. */
typedef struct {
	uint64_t version;
	uint64_t generation;
	uint32_t n_witnesses;
	char witnesses[BSH_WITNESSES_MAX][BSH_NAME_SIZE];
	uint64_t hash;	  /* of the document, as by ops->hash() */
	GBytes *document; /* opaque */
} bsh_adoption_object_t;

typedef struct {
	bsh_adoption_kind_t kind;
	uint64_t sequence;   /* an answer repeats that of the question */
	uint64_t generation; /* FRESH*, CONFIG_FETCH: adopted by the sender;
			      * PREPARE*: proposed; CONFIG: carried */
	uint64_t settled;    /* FRESH*: lowest generation that may still be run
			   * by the sender or by those it confirmed */
	uint32_t confirm_age_ms; /* FRESH: BSH_MEMBER_AGE_NONE_MS for none */
	bool vote;		 /* FRESH_ASK: asked for; FRESH: granted */
	bool confirm;		 /* FRESH_ASK: a confirmation is asked for */
	bool accepted;		 /* PREPARED: granted */
	uint64_t version; /* PREPARE: store version the proposal is based on;
			   * PREPARED: version known; CONFIG: of generation */
	uint64_t from; /* CONFIG: generation the delta starts from, 0: full */
	uint64_t hash; /* CONFIG: of the resulting document */
	uint32_t n_witnesses; /* CONFIG */
	char witnesses[BSH_WITNESSES_MAX][BSH_NAME_SIZE];
	GBytes *body; /* CONFIG: document or delta, may be NULL otherwise */
} bsh_adoption_message_t;

static inline void bsh_bytes_clear(GBytes **bytes)
{
	g_bytes_unref(*bytes);
	*bytes = NULL;
}

/* bsh_adoption_message_encode - body as new bytes; NULL if too large. */
GBytes *bsh_adoption_message_encode(const bsh_adoption_message_t *msg);

/*
 * bsh_adoption_message_decode - on success msg->body is owned by the caller;
 * release with bsh_adoption_message_finish().
 */
bsh_error_t bsh_adoption_message_decode(bsh_adoption_message_t *msg,
					const uint8_t *buf, size_t size);
void bsh_adoption_message_finish(bsh_adoption_message_t *msg);

#endif
